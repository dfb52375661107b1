//! Responses that a server sends twice, and truncated values before other responses of their
//! client.
use super::common::*;

/// Reads one message of a node and returns the response to it.
type Respond = fn(&mut BufReader<TcpStream>) -> Option<Vec<u8>>;

/// Reads a command and responds with its id.
fn respond_as_cache(reader: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let words = read_command_words(reader)?;
    Some(hit_bytes(&words[2]))
}

/// Reads a request and responds with its id.
fn respond_as_origin(reader: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let request = read_request(reader)?;
    Some(http_bytes("200 OK", request.split(' ').nth(2)?))
}

/// Starts a server that sends the first response on each connection a second time after `delay`,
/// and takes twice as long for each later response.
fn repeating_server(delay: Duration, respond: Respond) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
                let mut first = true;
                while let Some(response) = respond(&mut reader) {
                    if !first {
                        std::thread::sleep(2 * delay);
                    }
                    let _ = (&stream).write_all(&response);
                    if std::mem::take(&mut first) {
                        let duplicate_stream = stream.try_clone().expect("a copy");
                        std::thread::spawn(move || {
                            std::thread::sleep(delay);
                            (&duplicate_stream).write_all(&response)
                        });
                    }
                }
            });
        }
    });
    addr
}

/// How long after a response its duplicate comes.
const DUPLICATE_DELAY: Duration = Duration::from_millis(6);
/// How long after a response the client sends its next command: before the duplicate comes.
const COMMAND_DELAY: Duration = Duration::from_millis(3);

/// The client sends its next command after the first response and before its duplicate arrives. The
/// duplicate must not be taken for the response to the next command.
#[test]
fn duplicate_response_is_not_matched_to_the_next_command() {
    let cache = repeating_server(DUPLICATE_DELAY, respond_as_cache);
    for round in 0..10 {
        let node = Node::start(&[("a", cache)], "");
        let mut client = node.client();
        let first = format!("first{round}");
        assert_eq!(client.ask(&["OBJ.GET", "k1", &first, ATTRIBUTES]), first);
        std::thread::sleep(COMMAND_DELAY);
        let second = format!("second{round}");
        assert_eq!(client.ask(&["OBJ.GET", "k2", &second, ATTRIBUTES]), second);
    }
}

/// Guards against foreign receipts from the origin: an upstream to it was used again at once, and
/// the late duplicate of a response was taken for the response to the next request.
#[test]
fn duplicate_of_an_origin_response_is_not_matched_to_the_next_request() {
    let origin = repeating_server(DUPLICATE_DELAY, respond_as_origin);
    let write =
        |client: &mut Client, id: &str| client.ask(&["OBJ.SET", "k", id, "c=book,d=30000", "new"]);
    for round in 0..10 {
        let node = Node::start(&[("origin", origin)], "");
        let mut client = node.client();
        let first = format!("first{round}");
        assert_eq!(write(&mut client, &first), first);
        std::thread::sleep(COMMAND_DELAY);
        for later in ["second", "third"] {
            let later = format!("{later}{round}");
            assert_eq!(write(&mut client, &later), later);
        }
    }
}

/// A large value is truncated while a write behind it is already at the origin. The client still
/// has to get the response to that write.
#[test]
fn truncated_large_value_costs_no_other_command() {
    let value = hit_bytes(&"v".repeat(1024 * 1024));
    let (half, _) = value.split_at(value.len() / 2);
    let (truncating_cache, release) = piecewise_server(vec![half.to_vec()]);
    let (sender, reports) = channel();
    let origin = server("origin", sender, |_| http("200 OK", "stored"));
    let node = Node::start(&[("a", truncating_cache), ("origin", origin)], "");
    let mut client = node.client();
    // Sent together, so the node reads and accepts both.
    let both = [
        command(&["OBJ.GET", "k", "large", ATTRIBUTES]),
        command(&["OBJ.SET", "k2", "write", "c=book,d=30000", "new"]),
    ];
    client.send(&both.concat());
    assert_eq!(next_report(&reports), "origin: PUT /k2 write new");
    release.send(()).expect("half of it");
    // The server closes the connection within the value.
    drop(release);
    // The read has failed or was retried at the origin: its response was not begun, as it could not
    // have been completed.
    let first = client.response();
    assert!(
        first.starts_with('-') || first == "stored",
        "{} bytes",
        first.len()
    );
    assert_eq!(client.response(), "stored");
}
