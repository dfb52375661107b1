//! A client that speaks RESP to a node.
use super::*;

/// An attribute list for a read.
pub const ATTRIBUTES: &str = "c=view,d=30000";

/// A connection to a node.
pub struct Client(pub BufReader<TcpStream>);

/// Ends the sending side of a connection that is about to be dropped. Without this, the drop may
/// not close the connection: a process that another test starts at that moment briefly holds a copy
/// of the descriptor.
pub fn shutdown_write(stream: &TcpStream) {
    let _ = stream.shutdown(std::net::Shutdown::Write);
}

impl Drop for Client {
    fn drop(&mut self) {
        shutdown_write(self.0.get_ref());
    }
}

impl Client {
    /// Connects with a read timeout of `EVENT_TIMEOUT`.
    pub fn connect(to: SocketAddr) -> Client {
        let stream = TcpStream::connect(to).expect("a connection");
        stream
            .set_read_timeout(Some(EVENT_TIMEOUT))
            .expect("a timeout");
        Client(BufReader::new(stream))
    }

    /// Connects with a receive buffer of a few kilobytes: the rest of a longer response stays on the
    /// node's machine until the client reads.
    pub fn connect_with_small_buffer(to: SocketAddr) -> Client {
        const RECEIVE_BUFFER_BYTES: usize = 4096;
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
            .expect("a socket");
        socket
            .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
            .expect("a size");
        socket.connect(&to.into()).expect("a connection");
        socket
            .set_read_timeout(Some(EVENT_TIMEOUT))
            .expect("a timeout");
        Client(BufReader::new(socket.into()))
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).expect("sent");
    }

    /// Returns the next response: the line, or for a bulk string its text. `closed` if the
    /// connection has ended, `cut` if it ends within a bulk string.
    pub fn response(&mut self) -> String {
        let Some(head) = read_line(&mut self.0) else {
            return "closed".to_owned();
        };
        match head
            .strip_prefix('$')
            .and_then(|count| count.parse::<usize>().ok())
        {
            Some(count) => read_text(&mut self.0, count + 2)
                .map_or("cut".into(), |text| text.trim_end().to_owned()),
            None => head,
        }
    }

    /// Sends a command and returns its response.
    pub fn ask(&mut self, words: &[&str]) -> String {
        self.send(&command(words));
        self.response()
    }
}

/// Encodes a command as a RESP array of bulk strings.
pub fn command(words: &[&str]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len());
    words
        .iter()
        .for_each(|word| out += &format!("${}\r\n{word}\r\n", word.len()));
    out.into_bytes()
}
