//! Values too large to be buffered, and bodies without a content length.
use super::common::*;

/// Reads the head of a bulk string; `closed` at the end of the connection.
fn bulk_head(client: &mut Client) -> String {
    read_line(&mut client.0).unwrap_or_else(|| "closed".to_owned())
}

#[test]
fn large_value_is_forwarded_as_it_arrives() {
    let size = 300_000;
    let value = "v".repeat(size);
    let whole = hit_bytes(&value);
    let (first, rest) = whole.split_at(100_000);
    let (cache, release) = piecewise_server(vec![
        first.to_vec(),
        rest[..150_000].to_vec(),
        rest[150_000..].to_vec(),
    ]);
    let node = Node::start(&[("a", cache)], "");
    let mut client = node.client();
    client.send(&command(&["OBJ.GET", "k1", "id1", ATTRIBUTES]));
    client.send(&command(&["PING"]));
    for round in 0..2 {
        release.send(()).expect("the server waits");
        assert_eq!(bulk_head(&mut client), format!("${size}"));
        // The client gets the first part before the cache has sent the rest.
        let some = read_text(&mut client.0, 90_000).expect("the first bytes");
        release.send(()).expect("the server waits");
        let more = read_text(&mut client.0, 120_000).expect("more");
        release.send(()).expect("the server waits");
        let last = read_text(&mut client.0, size - 210_000 + 2).expect("the rest");
        assert!(
            some + &more + &last == value.clone() + "\r\n",
            "round {round}"
        );
        assert_eq!(client.response(), "+PONG");
        // The next call uses the same upstream, once it is idle.
        std::thread::sleep(Duration::from_millis(30));
        client.send(&command(&[
            "OBJ.GET",
            "k1",
            &format!("again{round}"),
            ATTRIBUTES,
        ]));
        client.send(&command(&["PING"]));
    }
}

#[test]
fn truncated_or_malformed_large_value_closes_the_client() {
    let value = "v".repeat(100_000);
    let malformed = format!("*3\r\n${}\r\n{value}xx$3\r\nhit\r\n$-1\r\n", value.len()).into_bytes();
    for bytes_sent in [hit_bytes(&value)[..90_000].to_vec(), malformed] {
        let (node, reports) = Setup::new()
            .server("a", move |_| ServerAction::Last(bytes_sent.clone()))
            .start();
        let mut client = node.client();
        client.send(&command(&["OBJ.GET", "k1", "id1", ATTRIBUTES]));
        let mut response = Vec::new();
        client.0.read_to_end(&mut response).expect("an end");
        assert!(
            response.len() < value.len() + 9,
            "{} bytes were forwarded",
            response.len()
        );
        // The response to the client has begun, so there is no retry.
        assert_eq!(next_report(&reports), "a: OBJ.GET k1 id1");
        assert_eq!(next_report(&reports), "a: closed");
        assert_eq!(node.client().ask(&["PING"]), "+PONG");
        assert!(reports.try_recv().is_err());
    }
}

#[test]
fn large_writes_and_fetches_are_whole_and_bound_by_memory() {
    let value = "w".repeat(4 * 1024 * 1024);
    let value_sent = value.clone();
    let addr = free_address();
    let ops_key = format!(r#""ops":"{addr}","limits":{{"memory_mb":32}},"#);
    let (node, reports) = Setup::new()
        .server("origin", move |words| match words.starts_with("PUT") {
            true => http("200 OK", &(words.len() - "PUT /k1 id1 ".len()).to_string()),
            false => http("200 OK", &value_sent),
        })
        .keys(&ops_key)
        .start();
    let mut client = node.client();
    let write_response = client.ask(&["OBJ.SET", "k1", "id1", "c=book,d=30000", &value]);
    assert_eq!(write_response, value.len().to_string());
    drop(next_report(&reports));
    // More writes than the memory limit holds at once, each sent in pieces: each is accepted in
    // the end, or rejected before.
    let write_responses: Vec<String> = std::thread::scope(|scope| {
        let start_write = |i: usize| {
            let (node, value) = (&node, &value);
            scope.spawn(move || {
                let mut client = node.client();
                let bytes = command(&[
                    "OBJ.SET",
                    "k1",
                    &format!("i{i:02}"),
                    "c=book,d=30000",
                    value,
                ]);
                for piece in bytes.chunks(200_000) {
                    if client.0.get_mut().write_all(piece).is_err() {
                        break;
                    }
                }
                client.response()
            })
        };
        let all: Vec<_> = (0..6).map(start_write).collect();
        all.into_iter()
            .map(|write| write.join().expect("a client"))
            .collect()
    });
    let stored = write_responses
        .iter()
        .filter(|response| **response == value.len().to_string())
        .count();
    let rejected = write_responses
        .iter()
        .filter(|response| response.starts_with('-'))
        .count();
    assert!(stored >= 2 && stored + rejected == 6, "{write_responses:?}");
    let fetched = node.client().ask(&["OBJ.GET", "k2", "id2", ATTRIBUTES]);
    assert!(
        fetched == value || fetched.starts_with('-'),
        "{} bytes",
        fetched.len()
    );
    let counters = admin_call(addr, "GET /control/counters");
    assert!(counters.contains(r#""active":0"#), "{counters}");
}

#[test]
fn disconnect_within_a_large_value_ends_the_attempt() {
    let value = "v".repeat(4 * 1024 * 1024);
    let addr = free_address();
    let (node, reports) = Setup::new()
        .server("a", move |_| hit(&value))
        .keys(&format!(r#""ops":"{addr}","#))
        .start();
    let mut client = node.client();
    client.send(&command(&["OBJ.GET", "k1", "id1", ATTRIBUTES]));
    assert_eq!(bulk_head(&mut client), "$4194304");
    assert_eq!(next_report(&reports), "a: OBJ.GET k1 id1");
    assert!(admin_call(addr, "GET /control/counters").contains(r#""active":1"#));
    drop(client);
    let started_at = std::time::Instant::now();
    while !admin_call(addr, "GET /control/counters").contains(r#""active":0"#) {
        assert!(
            started_at.elapsed() < EVENT_TIMEOUT,
            "the API call is still open"
        );
    }
}

#[test]
fn large_chunked_body_with_trailers_is_accepted() {
    let (sender, reports) = channel();
    let value = "v".repeat(1_000_000);
    let mut chunked = "HTTP/1.1 200 \r\ntransfer-encoding:chunked\r\n\r\n".to_owned();
    for part in [&value[..3], &value[..700_000], &value[..299_997]] {
        chunked += &format!("{:06x};part=1\r\n{part}\r\n", part.len());
    }
    chunked += "0\r\nX-Sum: 5f3a\r\nX-Done: 1\r\n\r\n";
    let (mut request_count, to_the_end) = (0, format!("HTTP/1.1 200 OK\r\n\r\n{value}"));
    let origin = server("origin", sender, move |_| {
        request_count += 1;
        match request_count {
            1 | 2 => ServerAction::Respond(chunked.clone().into_bytes()),
            3 => ServerAction::Last(to_the_end.clone().into_bytes()),
            _ => ServerAction::Respond(
                [
                    &b"HTTP/1.1 200 \r\nTransfer-Encoding: chunked\r\n\r\n"[..],
                    &b"9\r\n".repeat(9),
                ]
                .concat(),
            ),
        }
    });
    let node = Node::start(&[("origin", origin)], "");
    let mut client = node.client();
    for id in ["id1", "id2", "id3"] {
        assert!(
            client.ask(&["OBJ.GET", "k1", id, ATTRIBUTES]) == value,
            "{id}"
        );
        assert_eq!(next_report(&reports), format!("origin: GET /k1 {id} "));
    }
    assert_eq!(next_report(&reports), "origin: closed");
    assert!(client
        .ask(&["OBJ.SET", "k1", "id4", "c=book,d=30000", "w"])
        .starts_with("-ERR"));
}

/// The node reads the head of a large value without any byte of the value. Regression test: this
/// was treated as a malformed response.
#[test]
fn head_of_a_large_value_may_arrive_alone() {
    let value = "v".repeat(66_000);
    let whole = hit_bytes(&value);
    let (head, rest) = whole.split_at("*3\r\n$66000\r\n".len());
    let (cache, release) = piecewise_server(vec![head.to_vec(), rest.to_vec()]);
    let node = Node::start(&[("a", cache)], "");
    let (mut client, mut other) = (node.client(), node.client());
    client.send(&command(&["OBJ.GET", "k1", "id1", ATTRIBUTES]));
    release.send(()).expect("the server waits");
    // The node reads the head during these round trips.
    (0..200).for_each(|_| assert_eq!(other.ask(&["PING"]), "+PONG"));
    release.send(()).expect("the server waits");
    assert!(client.response() == value);
}

/// While a value is forwarded, nothing is read from the client. The command behind it has to be
/// accepted as soon as the value is whole.
#[test]
fn command_after_a_large_value_is_accepted_at_once() {
    let value = "v".repeat(300_000);
    let value_sent = value.clone();
    let (node, _reports) = Setup::new().server("a", move |_| hit(&value_sent)).start();
    let mut client = node.client();
    let started_at = Instant::now();
    for round in 0..20 {
        let response = client.ask(&["OBJ.GET", "k1", &format!("id{round}"), ATTRIBUTES]);
        assert!(response == value, "{} bytes", response.len());
        assert_eq!(client.ask(&["PING"]), "+PONG");
    }
    // A command that had to wait would have waited for seconds.
    assert!(
        started_at.elapsed() < Duration::from_secs(4),
        "{:?}",
        started_at.elapsed()
    );
}
