//! Responses that a server sends twice, and truncated values before other responses of their
//! client.
use super::common::*;

/// Starts a cache that responds to each command with its id. It sends the first response on each
/// connection a second time after `delay`, and takes twice as long for each later response.
fn repeating_server(delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
                let mut first = true;
                while let Some(words) = read_command_words(&mut reader) {
                    let response = hit_bytes(&words[2]);
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

/// The client sends its next command after the first response and before its duplicate arrives. The
/// duplicate must not be taken for the response to the next command.
#[test]
fn duplicate_response_is_not_matched_to_the_next_command() {
    let cache = repeating_server(Duration::from_millis(6));
    for round in 0..10 {
        let node = Node::start(&[("a", cache)], "");
        let mut client = node.client();
        let first = format!("first{round}");
        assert_eq!(client.ask(&["OBJ.GET", "k1", &first, ATTRIBUTES]), first);
        std::thread::sleep(Duration::from_millis(3));
        let second = format!("second{round}");
        assert_eq!(client.ask(&["OBJ.GET", "k2", &second, ATTRIBUTES]), second);
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
