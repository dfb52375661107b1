//! A cache server: it replies from memory, and records each miss with its API call, so that the
//! origin fills the cache.
use std::io::{self, Write};
use std::net::TcpStream;

use quartzhub_node::limits::Limits;
use quartzhub_node::resp::{self, Parsed};

use crate::listener::read_more;
use crate::state::SharedState;

/// Serves one connection from a node.
pub(crate) fn serve(index: usize, mut stream: TcpStream, state: &SharedState) -> io::Result<()> {
    let mut buffer = Vec::new();
    loop {
        let result = match resp::command(&buffer, &Limits::default()) {
            Parsed::Complete(words, length) => Some((execute(index, &words, state), length)),
            Parsed::Incomplete => None,
            Parsed::Malformed => return Ok(()),
        };
        if let Some((reply, length)) = result {
            stream.write_all(&reply)?;
            buffer.drain(..length);
        } else if !read_more(&mut stream, &mut buffer)? {
            return Ok(());
        }
    }
}

/// Executes a command and returns the encoded reply.
fn execute(index: usize, words: &[&[u8]], state: &SharedState) -> Vec<u8> {
    let text = |word: &[u8]| String::from_utf8_lossy(word).into_owned();
    let [b"OBJ.GET", key, id, ..] = words else {
        return b"-ERR only OBJ.GET is known here\r\n".to_vec();
    };
    let mut state = state.lock();
    let mut reply = b"*3\r\n".to_vec();
    let result = match state.cached[index].get(&text(key)) {
        Some(value) => {
            resp::encode_bulk_string(&mut reply, value);
            "hit"
        }
        None => {
            reply.extend_from_slice(b"$-1\r\n");
            state
                .misses_by_call
                .entry(text(id))
                .or_default()
                .push(index);
            "miss"
        }
    };
    println!("cache {}: {} {result}", index + 1, text(key));
    resp::encode_bulk_string(&mut reply, result.as_bytes());
    reply.extend_from_slice(b"$-1\r\n");
    reply
}
