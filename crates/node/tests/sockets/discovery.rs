//! The watch on the endpoint list.
use super::common::*;

#[test]
fn malformed_event_is_requested_again_and_drain_is_applied() {
    let (sender, reports) = channel();
    let a = server("a", sender.clone(), |_| hit("of a"));
    let b = server("b", sender, |_| hit("of b"));
    let WatchedDiscovery {
        addr: discovery_addr,
        watches: [first, second],
        requests,
    } = watched_discovery();
    // A keepalive: the node accepts clients once discovery has responded.
    first.send("\n".into()).expect("sent");
    let node = Node::start(&[("a", a)], &format!(r#""discovery":"{discovery_addr}","#));
    let mut client = node.client();
    assert_eq!(next_report(&requests), "GET /api/targets?stream=1&index=1 ");
    assert_eq!(client.ask(&["OBJ.GET", "k", "id1", ATTRIBUTES]), "of a");
    // Malformed: the known endpoint list stays in force, and the full list is requested.
    first
        .send("{\"version\":2,\"servers\":[{\"id\":\n".into())
        .expect("sent");
    drop(first);
    assert_eq!(next_report(&requests), "GET /api/targets?stream=1&index=0 ");
    assert_eq!(client.ask(&["OBJ.GET", "k", "id2", ATTRIBUTES]), "of a");
    // A list in two pieces, with keepalives around them.
    let event = endpoint_list(true, 3, &[("a", a, "terminating"), ("b", b, "in_service")]);
    let (head, tail) = event.split_at(40);
    [format!("\n\n{head}"), format!("{tail}\n\n")]
        .into_iter()
        .for_each(|t| second.send(t).expect("sent"));
    let started_at = Instant::now();
    while client.ask(&["OBJ.GET", "k", "id3", ATTRIBUTES]) != "of b" {
        assert!(
            started_at.elapsed() < EVENT_TIMEOUT,
            "the endpoint list in two pieces is not used"
        );
    }
    reports.try_iter().for_each(drop);
    for _ in 0..50 {
        assert_eq!(client.ask(&["OBJ.GET", "k", "id4", ATTRIBUTES]), "of b");
        assert_eq!(next_report(&reports), "b: OBJ.GET k id4");
    }
}

/// Starts a node with one server and waits for its first watch.
fn start_watching(discovery: SocketAddr, requests: &Receiver<String>) -> Node {
    let (node, _reports) = Setup::new()
        .server("a", |_| hit("v"))
        .keys(&format!(r#""discovery":"{discovery}","#))
        .start();
    assert_eq!(next_report(requests), "GET /api/targets?stream=1&index=1 ");
    node
}

#[test]
fn silent_watch_is_replaced() {
    // Both watches stay open and silent for as long as their senders exist.
    let WatchedDiscovery {
        addr: discovery_addr,
        watches: [_first, _second],
        requests,
    } = watched_discovery();
    let node = start_watching(discovery_addr, &requests);
    assert_eq!(node.client().ask(&["OBJ.GET", "k", "id", ATTRIBUTES]), "v");
    assert_eq!(next_report(&requests), "GET /api/targets?stream=1&index=1 ");
}

/// A watch falls silent before its first byte, in its head or within a line, or it ends after a
/// line. Each time the node has to start another watch from the last version received, and apply
/// the drain that the last one reports.
#[test]
fn watch_silent_at_any_point_is_replaced() {
    let (sender, reports) = channel();
    let a = server("a", sender.clone(), |_| hit("of a"));
    let b = server("b", sender, |_| hit("of b"));
    let (request_sender, requests) = channel();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let discovery_addr = listener.local_addr().expect("an address");
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunk = |text: &str| format!("{head}{:x}\r\n{text}\r\n", text.len());
    let drain = endpoint_list(true, 4, &[("a", a, "terminating"), ("b", b, "in_service")]) + "\n";
    let unchanged = endpoint_list(false, 2, &[]) + "\n";
    let messages = [
        "".into(),
        head[..20].into(),
        chunk(&drain[..30]),
        chunk(&unchanged),
        chunk(&drain),
    ]
    .map(Some);
    std::thread::spawn(move || {
        let mut open_watches = Vec::new();
        for (index, (stream, mut messages)) in
            listener.incoming().flatten().zip(messages).enumerate()
        {
            let mut reader = BufReader::new(stream);
            let _ = request_sender.send(read_request(&mut reader).unwrap_or_default());
            let _ = reader
                .get_mut()
                .write_all(messages.take().unwrap_or_default().as_bytes());
            // The fourth watch ends after its line; the others stay open and silent.
            if index != 3 {
                open_watches.push(reader);
            }
        }
        std::thread::park();
    });
    let node = Node::start(&[("a", a)], &format!(r#""discovery":"{discovery_addr}","#));
    for index in [1, 1, 1, 1, 2] {
        assert_eq!(
            next_report(&requests),
            format!("GET /api/targets?stream=1&index={index} ")
        );
    }
    let mut client = node.client();
    while client.ask(&["OBJ.GET", "k", "id", ATTRIBUTES]) != "of b" {}
    reports.try_iter().for_each(drop);
    assert_eq!(client.ask(&["OBJ.GET", "k", "last", ATTRIBUTES]), "of b");
    assert_eq!(next_report(&reports), "b: OBJ.GET k last");
}

#[test]
fn endless_line_is_abandoned_and_requested_again() {
    let WatchedDiscovery {
        addr: discovery_addr,
        watches: [first, _second],
        requests,
    } = watched_discovery();
    let node = start_watching(discovery_addr, &requests);
    (0..40).for_each(|_| first.send(" ".repeat(64 * 1024)).expect("sent"));
    assert_eq!(next_report(&requests), "GET /api/targets?stream=1&index=1 ");
    assert_eq!(node.client().ask(&["OBJ.GET", "k", "id", ATTRIBUTES]), "v");
}

#[test]
fn sighup_moves_discovery_and_ignores_a_faulty_file() {
    let (sender, reports) = channel();
    let (release, released) = channel();
    let mut released = Some(released);
    let a = server("a", sender.clone(), move |words| {
        match released.take_if(|_| words.ends_with("id1")) {
            Some(released) => ServerAction::RespondOnRelease(released, hit_bytes("of a")),
            None => hit("of a"),
        }
    });
    let b = server("b", sender, |_| hit("of b"));
    let (_first, first_messages) = channel();
    let (second, second_messages) = channel();
    let (request_sender, requests) = channel();
    let [old, new] = [first_messages, second_messages]
        .map(|messages| discovery(vec![messages], request_sender.clone()));
    let known = [("a", a)];
    let mut node = Node::start(&known, &format!(r#""discovery":"{old}","#));
    let (mut client, mut other) = (node.client(), node.client());
    assert_eq!(next_report(&requests), "GET /api/targets?stream=1&index=1 ");
    client.send(&command(&["OBJ.GET", "k", "id1", ATTRIBUTES]));
    assert_eq!(next_report(&reports), "a: OBJ.GET k id1");
    let mut reload_with = |text: &str, line: &str| {
        std::fs::write(&node.config_path, text).expect("a new file");
        node.signal("-HUP");
        node.await_log(line);
    };
    let moved_key = format!(r#""discovery":"{new}","#);
    let truncated = config(&known, &moved_key);
    reload_with(
        &truncated[..truncated.len() / 2],
        "; the previous one stays in force",
    );
    reload_with(
        &config(&known, r#""discovery":"here","#),
        "discovery: \"here\" is not an address",
    );
    assert_eq!(other.ask(&["OBJ.GET", "k", "id2", ATTRIBUTES]), "of a");
    reload_with(
        &config(&known, &(moved_key + r#""limits":{"sockets":99},"#)),
        "limits: takes effect at a restart only",
    );
    assert_eq!(next_report(&requests), "GET /api/targets?stream=1&index=0 ");
    second
        .send(endpoint_list(true, 1, &[("a", a, "terminating"), ("b", b, "in_service")]) + "\n")
        .expect("sent");
    while other.ask(&["OBJ.GET", "k", "id3", ATTRIBUTES]) != "of b" {}
    release.send(()).expect("released");
    assert_eq!(client.response(), "of a");
}

/// Bytes keep arriving on a watch, but no line ends; on another one the head never ends. Each has
/// to be abandoned, and the next watch reports what was missed.
#[test]
fn watch_without_a_line_end_is_replaced() {
    let (sender, reports) = channel();
    let a = server("a", sender.clone(), |_| hit("of a"));
    let b = server("b", sender, |_| hit("of b"));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let discovery_addr = listener.local_addr().expect("an address");
    let (request_sender, requests) = channel();
    std::thread::spawn(move || {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let full_list = chunk(
            &(endpoint_list(true, 5, &[("a", a, "in_service"), ("b", b, "in_service")]) + "\n"),
        );
        let drain = chunk(&(endpoint_list(false, 6, &[("a", a, "terminating")]) + "\n"));
        let beginnings = [
            format!("{head}{full_list}"),
            "HTTP/1.1 200 OK\r\nX-Slow: ".to_owned(),
            format!("{head}{drain}"),
        ];
        let continuations = [chunk(" "), "x".to_owned(), chunk("\n")];
        for (stream, (beginning, continuation)) in listener
            .incoming()
            .flatten()
            .zip(beginnings.into_iter().zip(continuations))
        {
            let request_sender = request_sender.clone();
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                let _ = request_sender.send(read_request(&mut reader).unwrap_or_default());
                let stream = reader.get_mut();
                let mut written = stream.write_all(beginning.as_bytes());
                // A few bytes every 50 ms, until the node closes the connection.
                while written.is_ok() {
                    std::thread::sleep(Duration::from_millis(50));
                    written = stream.write_all(continuation.as_bytes());
                }
            });
        }
    });
    let node = Node::start(&[("a", a)], &format!(r#""discovery":"{discovery_addr}","#));
    assert_eq!(next_report(&requests), "GET /api/targets?stream=1&index=1 ");
    assert_eq!(next_report(&requests), "GET /api/targets?stream=1&index=5 ");
    assert_eq!(next_report(&requests), "GET /api/targets?stream=1&index=5 ");
    let mut client = node.client();
    let (mut in_a_row_at_b, mut call_count) = (0, 0);
    // The third watch reports the drain: soon no request goes to `a`.
    while in_a_row_at_b < 100 {
        call_count += 1;
        assert!(call_count < 5_000, "a still gets requests");
        assert_eq!(
            client
                .ask(&[
                    "OBJ.GET",
                    &format!("k{call_count}"),
                    &format!("id{call_count}"),
                    ATTRIBUTES
                ])
                .len(),
            4
        );
        in_a_row_at_b = if next_report(&reports).starts_with("b:") {
            in_a_row_at_b + 1
        } else {
            0
        };
    }
}
