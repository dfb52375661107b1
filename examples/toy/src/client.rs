//! A client that sends one command to the node and prints the response.
use std::io::{self, Write};
use std::net::TcpStream;

use quartzhub_node::limits::Limits;
use quartzhub_node::resp::{self, Parsed};

use crate::listener::read_more;
use crate::NODE;

/// Sends the arguments as one command and prints the response.
pub(crate) fn send_command(arguments: Vec<String>) -> io::Result<()> {
    let arguments: Vec<&[u8]> = arguments
        .iter()
        .map(|argument| argument.as_bytes())
        .collect();
    let mut command = Vec::new();
    resp::encode_command(&mut command, &arguments);
    let mut stream = TcpStream::connect(NODE)?;
    stream.write_all(&command)?;
    let mut response = Vec::new();
    loop {
        match resp::reply(&response, &Limits::default()) {
            Parsed::Complete(..) => {
                print!("{}", String::from_utf8_lossy(&response));
                return Ok(());
            }
            Parsed::Incomplete => {}
            Parsed::Malformed => return Err(io::Error::other("the response is malformed")),
        }
        if !read_more(&mut stream, &mut response)? {
            return Err(io::Error::other("the node closed the connection"));
        }
    }
}
