//! The timeout that an attempt passes to its server: the client timeout less the time from the last
//! byte of the client's command to the first byte of the attempt.
use socket2::{Domain, Socket, Type};

use super::common::*;

/// Client timeout of these tests in milliseconds, longer than any delay in them.
pub const CLIENT_TIMEOUT_MS: u64 = 30_000;
/// How long a test delays an attempt or leaves a command incomplete.
const HOLD_DURATION: Duration = Duration::from_millis(300);

/// Returns the timeout in an attribute list, in milliseconds.
pub fn timeout_ms_in(attributes: &str) -> Option<u64> {
    attributes
        .split(',')
        .find_map(|attribute| attribute.strip_prefix("d="))
        .and_then(|timeout_ms| timeout_ms.parse().ok())
}

/// Reads a command at a cache and returns "id timeout".
pub fn read_cache_timeout(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let words = read_command_words(reader)?;
    Some(format!("{} {}", words[2], timeout_ms_in(&words[3])?))
}

/// Reads a request at the origin, with its body, and returns "id timeout".
pub fn read_origin_timeout(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let (mut id, mut timeout_ms, mut size) = (String::new(), None, 0);
    loop {
        let field = read_line(reader)?;
        match field.split_once(": ") {
            _ if field.is_empty() => break,
            Some(("X-Correlation-Id", value)) => id = value.to_owned(),
            Some(("X-Facts", value)) => timeout_ms = timeout_ms_in(value),
            Some(("Content-Length", value)) => size = value.parse().ok()?,
            _ => {}
        }
    }
    read_text(reader, size)?;
    Some(format!("{id} {}", timeout_ms?))
}

/// Returns the timeout in the next report, which has to begin with `attempt`, in milliseconds.
pub fn next_timeout_ms(reports: &Receiver<String>, attempt: &str) -> u64 {
    let report = next_report(reports);
    assert!(
        report.starts_with(attempt),
        "{report:?} where {attempt:?} was expected"
    );
    reported_timeout_ms(&report)
}

/// Returns the timeout in a report, in milliseconds.
pub fn reported_timeout_ms(report: &str) -> u64 {
    let timeout_ms = report
        .rsplit(' ')
        .next()
        .and_then(|timeout_ms| timeout_ms.parse().ok());
    timeout_ms.unwrap_or_else(|| panic!("{report:?} has no timeout"))
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

#[test]
fn origin_timeout_excludes_the_time_of_a_slow_miss() {
    let response = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n".to_vec();
    let (release, script) = hold_first_response(response, |_| miss());
    let (node, reports) = Setup::new()
        .server_reading("a", read_cache_timeout, script)
        .server_reading("origin", read_origin_timeout, |_| http("200 OK", "v"))
        .start();
    let mut client = node.client();
    client.send(&command(&["OBJ.GET", "k", "id1", "c=view,d=30000,size=3"]));
    assert!(next_timeout_ms(&reports, "a: id1") <= CLIENT_TIMEOUT_MS);
    std::thread::sleep(HOLD_DURATION);
    release.send(()).expect("released");
    assert!(next_timeout_ms(&reports, "origin: id1") <= CLIENT_TIMEOUT_MS - millis(HOLD_DURATION));
    assert_eq!(client.response(), "v");
}

/// 128 responses are open on the connection, so commands behind them wait, read or unread by the
/// node.
#[test]
fn timeout_excludes_time_behind_other_commands() {
    let (release, script) = hold_first_response(hit_bytes("first"), |_| hit("v"));
    let (node, reports) = Setup::new()
        .server_reading("a", read_cache_timeout, script)
        .start();
    let (mut client, mut other) = (node.client(), node.client());
    // The node has read what was sent before once another client has finished three round trips.
    let mut is_read = || (0..3).for_each(|_| assert_eq!(other.ask(&["PING"]), "+PONG"));
    let mut bytes = command(&["OBJ.GET", "k1", "id1", ATTRIBUTES]);
    bytes.extend(command(&["PING"]).repeat(127));
    client.send(&bytes);
    assert!(next_timeout_ms(&reports, "a: id1") <= CLIENT_TIMEOUT_MS);
    // Two commands are sent one after the other, while the node accepts none.
    client.send(&command(&["OBJ.GET", "k2", "id2", ATTRIBUTES]));
    is_read();
    std::thread::sleep(HOLD_DURATION);
    let third_sent_at = Instant::now();
    client.send(&command(&["OBJ.GET", "k3", "id3", ATTRIBUTES]));
    is_read();
    std::thread::sleep(HOLD_DURATION);
    release.send(()).expect("released");
    // Each attempt uses its own connection, so either may be reported first.
    let mut reports = [next_report(&reports), next_report(&reports)];
    reports.sort();
    let [second, third] = reports.each_ref().map(|report| reported_timeout_ms(report));
    assert!(
        reports[0].starts_with("a: id2 ") && reports[1].starts_with("a: id3 "),
        "{reports:?}"
    );
    assert!(
        second <= CLIENT_TIMEOUT_MS - 2 * millis(HOLD_DURATION),
        "a timeout of {second} ms"
    );
    let (min_ms, max_ms) = (
        CLIENT_TIMEOUT_MS - millis(third_sent_at.elapsed()) - 10,
        CLIENT_TIMEOUT_MS - millis(HOLD_DURATION),
    );
    assert!(
        (min_ms..=max_ms).contains(&third),
        "a timeout of {third} ms, between {min_ms} and {max_ms} ms left"
    );
    assert_eq!(client.response(), "first");
    (0..127).for_each(|_| assert_eq!(client.response(), "+PONG"));
    assert_eq!(
        (client.response(), client.response()),
        ("v".into(), "v".into())
    );
}

/// A client's timeout counts from the last byte of its command.
#[test]
fn timeout_counts_from_the_last_byte_of_a_command() {
    let (sender, reports) = channel();
    let origin = server_reading("origin", sender, read_origin_timeout, |_| {
        http("200 OK", "receipt")
    });
    let node = Node::start(&[("origin", origin)], "");
    let mut client = node.client();
    let bytes = command(&["OBJ.SET", "k", "id1", "c=book,d=30000", &"w".repeat(9_000)]);
    let (first, last) = bytes.split_at(bytes.len() - 1);
    for piece in first.chunks(3_000) {
        client.send(piece);
        std::thread::sleep(HOLD_DURATION / 3);
    }
    let sent_at = Instant::now();
    client.send(last);
    let timeout_ms = next_timeout_ms(&reports, "origin: id1");
    let min_ms = CLIENT_TIMEOUT_MS - millis(sent_at.elapsed()) - 10;
    assert!(
        (min_ms..=CLIENT_TIMEOUT_MS).contains(&timeout_ms),
        "a timeout of {timeout_ms} ms, at least {min_ms} ms left"
    );
    assert_eq!(client.response(), "receipt");
}

/// A large value is sent in pieces after the timeout, which goes out with the first byte. A server
/// that has not read the value whole within that timeout must never get the last byte, so that it
/// can't begin a write that no client waits for.
#[test]
fn value_not_received_within_its_timeout_stays_partial() {
    let value = "w".repeat(4 * 1024 * 1024);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    // So small that the socket buffers can't hold the whole value.
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .expect("a port");
    socket.listen(8).expect("a listener");
    let listener = TcpListener::from(socket);
    let addr = listener.local_addr().expect("an address");
    let node = Node::start(&[("origin", addr)], "");
    let mut client = node.client();
    client.send(&command(&["OBJ.SET", "k", "id1", "c=book,d=500", &value]));
    let (stream, _) = listener.accept().expect("a connection");
    stream
        .set_read_timeout(Some(EVENT_TIMEOUT))
        .expect("a timeout");
    let mut reader = BufReader::new(stream);
    let timeout_ms = std::iter::from_fn(|| read_line(&mut reader)).find_map(|field| {
        let attributes = field.strip_prefix("X-Facts: ")?;
        timeout_ms_in(attributes)
    });
    assert!(
        timeout_ms.is_some_and(|timeout_ms| timeout_ms <= 500),
        "a timeout of {timeout_ms:?} ms"
    );
    // The origin reads no further until the client has got its final response.
    assert!(client.response().starts_with('-'));
    let mut rest = Vec::new();
    let _ = reader.take(value.len() as u64).read_to_end(&mut rest);
    assert!(
        rest.len() < value.len(),
        "the origin got the whole value after the timeout"
    );
}
