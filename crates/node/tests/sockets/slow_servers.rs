//! Servers that read large requests slowly: the final response comes in time, and what the system
//! still holds of a request that is given up is not sent.
use socket2::{Domain, Socket, Type};

use super::common::*;
use super::remaining_time::timeout_ms_in;

/// Sizes of the values that are written, in bytes. The node's system could hold each of them whole.
const VALUE_BYTES: [usize; 4] = [100_000, 300_000, 1 << 20, 2 << 20];
/// Client timeout of the writes, in milliseconds.
const CLIENT_TIMEOUT_MS: u64 = 600;
/// How late a final response may be, by the operators' rules on sockets.
const SLACK: Duration = Duration::from_millis(50);
/// By how much the time that a server is told may exceed what is left, by the operators' rules.
const TOLD_TIME_SLACK: Duration = Duration::from_millis(150);

/// An origin whose system holds a few kilobytes of what it has not read.
fn small_buffered_listener() -> TcpListener {
    const RECEIVE_BUFFER_BYTES: usize = 4096;
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .expect("a small buffer");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any_port.into()).expect("a port");
    socket.listen(8).expect("a listener");
    TcpListener::from(socket)
}

/// A connection whose request the test reads itself.
struct ServerSide {
    reader: BufReader<TcpStream>,
    told_timeout: Duration,
}

impl ServerSide {
    /// Accepts a connection and reads the head of its request.
    fn accept(listener: &TcpListener) -> ServerSide {
        let (stream, _) = listener.accept().expect("a connection");
        stream
            .set_read_timeout(Some(EVENT_TIMEOUT))
            .expect("a timeout");
        let mut reader = BufReader::with_capacity(1024, stream);
        let mut told_timeout = None;
        while let Some(field) = read_line(&mut reader).filter(|field| !field.is_empty()) {
            let attributes = field.strip_prefix("X-Facts: ");
            told_timeout = told_timeout.or(attributes.and_then(timeout_ms_in));
        }
        ServerSide {
            reader,
            told_timeout: Duration::from_millis(told_timeout.expect("a timeout")),
        }
    }

    /// Reads up to `count` bytes, with a pause behind each part; returns how many have come.
    fn read(&mut self, count: usize, part_bytes: usize, pause: Duration) -> usize {
        let mut part = vec![0; part_bytes];
        let mut total = 0;
        while total < count {
            let wanted = part_bytes.min(count - total);
            match self.reader.read(&mut part[..wanted]) {
                Ok(read) if read > 0 => total += read,
                _ => break,
            }
            std::thread::sleep(pause);
        }
        total
    }
}

/// Sends a write of a value of this many bytes.
fn send_write(node: &Node, value_bytes: usize) -> (Client, Instant) {
    let mut client = node.client();
    let attributes = format!("c=book,d={CLIENT_TIMEOUT_MS}");
    let value = "w".repeat(value_bytes);
    client.send(&command(&["OBJ.SET", "k", "id1", &attributes, &value]));
    (client, Instant::now())
}

#[test]
fn write_that_a_server_has_not_received_is_not_sent_after_its_call() {
    for value_bytes in VALUE_BYTES {
        let listener = small_buffered_listener();
        let node = Node::start(
            &[("origin", listener.local_addr().expect("an address"))],
            "",
        );
        let (mut client, sent_at) = send_write(&node, value_bytes);
        let mut server = ServerSide::accept(&listener);
        assert!(client.response().starts_with('-'));
        let response_after = sent_at.elapsed();
        assert!(
            response_after <= Duration::from_millis(CLIENT_TIMEOUT_MS) + SLACK,
            "{value_bytes} bytes: a response after {response_after:?}"
        );
        let received = server.read(value_bytes, 64 << 10, Duration::ZERO);
        assert!(
            received < value_bytes,
            "the origin got all {received} bytes after the response"
        );
    }
}

#[test]
fn write_that_a_server_has_not_received_is_not_sent_after_its_client_has_left() {
    for value_bytes in VALUE_BYTES {
        let listener = small_buffered_listener();
        let node = Node::start(
            &[("origin", listener.local_addr().expect("an address"))],
            "",
        );
        let (client, _) = send_write(&node, value_bytes);
        let mut server = ServerSide::accept(&listener);
        drop(client);
        // The operators' rules leave 100 ms for attempts in flight.
        std::thread::sleep(Duration::from_millis(100));
        let received = server.read(value_bytes, 64 << 10, Duration::ZERO);
        assert!(
            received < value_bytes,
            "the origin got all {received} bytes without a client"
        );
    }
}

#[test]
fn server_that_reads_slowly_is_told_at_most_the_time_left() {
    for value_bytes in VALUE_BYTES {
        for read_percent in [30, 60, 90, 150] {
            let listener = small_buffered_listener();
            let node = Node::start(
                &[("origin", listener.local_addr().expect("an address"))],
                "",
            );
            let (mut client, sent_at) = send_write(&node, value_bytes);
            let client_timeout = Duration::from_millis(CLIENT_TIMEOUT_MS);
            let response = std::thread::spawn(move || (client.response(), sent_at.elapsed()));
            let mut server = ServerSide::accept(&listener);
            let pause = client_timeout * read_percent / 100 / 20;
            let received = server.read(value_bytes, value_bytes / 20 + 1, pause);
            let told_until = sent_at.elapsed() + server.told_timeout;
            let (response, response_after) = response.join().expect("a client");
            assert!(
                response_after <= client_timeout + SLACK,
                "{value_bytes} bytes at {read_percent}%: {response} after {response_after:?}"
            );
            assert!(
                received < value_bytes || told_until <= client_timeout + TOLD_TIME_SLACK,
                "{value_bytes} bytes at {read_percent}%: told a time until {told_until:?}"
            );
        }
    }
}
