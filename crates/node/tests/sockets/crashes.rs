//! Processes that die, and connections that close without a command or a response.
use super::common::*;

/// Closes a connection with a reset, as the system does for a process that dies with unread bytes.
fn reset(stream: TcpStream) {
    let socket = socket2::Socket::from(stream);
    socket.set_linger(Some(Duration::ZERO)).expect("a socket");
}

/// A node is killed with a call open, an idle client and a client that has just connected and sent
/// nothing. All three clients and the server of the attempt have to see the close at once, and the
/// next process has to serve on the same address.
#[test]
fn next_process_serves_on_the_address_of_a_killed_one() {
    let (sender, reports) = channel();
    let mut first = true;
    let cache = server("a", sender, move |_| match std::mem::take(&mut first) {
        true => ServerAction::Ignore,
        false => hit("v"),
    });
    let addr = free_address();
    let config = config(&[("a", cache)], "").replacen("127.0.0.1:0", &addr.to_string(), 1);
    let mut node = Node::with_config(&config, DESCRIPTORS);
    let (mut calling, mut silent) = (node.client(), node.client());
    assert_eq!(silent.ask(&["PING"]), "+PONG");
    calling.send(&command(&["OBJ.GET", "k", "id1", ATTRIBUTES]));
    assert_eq!(next_report(&reports), "a: OBJ.GET k id1");
    let mut fresh = node.client();
    node.child.kill().expect("it runs");
    node.child.wait().expect("an exit status");
    assert_eq!(next_report(&reports), "a: closed");
    for client in [&mut calling, &mut silent, &mut fresh] {
        assert_eq!(client.response(), "closed");
    }
    let restarted = Node::with_config(&config, DESCRIPTORS);
    assert_eq!(restarted.addr, addr);
    assert_eq!(
        restarted.client().ask(&["OBJ.GET", "k", "id2", ATTRIBUTES]),
        "v"
    );
}

/// Servers die right after they accept, with nothing read or sent. A read is retried at another
/// server; a write that may not be repeated gets one response, and the origin reads it once at
/// most.
#[test]
fn server_death_after_accept_repeats_no_write() {
    let dying_server = |times: usize, name: &'static str, reports: Sender<String>| {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        let backend = server(name, reports, |_| http("200 OK", "of the origin"));
        std::thread::spawn(move || {
            for (count, stream) in listener.incoming().flatten().enumerate() {
                if count < times {
                    reset(stream);
                    continue;
                }
                // From then on it forwards to a normal server.
                let backend_stream = TcpStream::connect(backend).expect("a connection");
                let (mut from_node, mut to_node) = (stream.try_clone().expect("a socket"), stream);
                let (mut to_backend, mut from_backend) = (
                    backend_stream.try_clone().expect("a socket"),
                    backend_stream,
                );
                std::thread::spawn(move || std::io::copy(&mut from_node, &mut to_backend));
                std::thread::spawn(move || std::io::copy(&mut from_backend, &mut to_node));
            }
        });
        addr
    };
    for round in 0..10 {
        let (sender, reports) = channel();
        let cache = dying_server(usize::MAX, "a", sender.clone());
        let origin = dying_server(0, "origin", sender.clone());
        let node = Node::start(&[("a", cache), ("origin", origin)], "");
        assert_eq!(
            node.client().ask(&["OBJ.GET", "k", "id1", ATTRIBUTES]),
            "of the origin",
            "round {round}"
        );
        assert_eq!(next_report(&reports), "origin: GET /k id1 ");
        let origin = dying_server(1, "origin", sender);
        let node = Node::start(&[("origin", origin)], "");
        let response = node
            .client()
            .ask(&["OBJ.SET", "k", "id2", "c=book,d=30000", "w"]);
        match response.as_str() {
            // Nothing had been written on the connection that was reset, so a retry was safe.
            "of the origin" => assert_eq!(
                next_report(&reports),
                "origin: PUT /k id2 w",
                "round {round}"
            ),
            other => assert!(other.starts_with("-ERR"), "round {round}: {other}"),
        }
        assert!(
            reports.try_recv().is_err(),
            "round {round}: a write was read twice"
        );
    }
}

/// The origin sends a body without a length, which ends with the close, and its connection is reset
/// within the body. A reset is no orderly close, so the part received must not be used as a value.
#[test]
fn reset_does_not_end_a_body_without_a_length() {
    for (product, is_repeatable) in [("c=view,d=30000", true), ("c=book,d=30000", false)] {
        let (sender, reports) = channel();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let origin = listener.local_addr().expect("an address");
        let (release, released) = channel::<()>();
        std::thread::spawn(move || {
            for (count, stream) in listener.incoming().flatten().enumerate() {
                let mut reader = BufReader::new(stream);
                while let Some(words) = read_request(&mut reader) {
                    let _ = sender.send(words);
                    if count > 0 {
                        let whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
                        let _ = reader.get_mut().write_all(whole.as_bytes());
                        continue;
                    }
                    let _ = reader
                        .get_mut()
                        .write_all(b"HTTP/1.1 200 OK\r\n\r\nonly a part");
                    let _ = released.recv_timeout(EVENT_TIMEOUT);
                    reset(reader.into_inner());
                    break;
                }
            }
        });
        let node = Node::start(&[("origin", origin)], "");
        let (mut client, mut other) = (node.client(), node.client());
        let read = command(&["OBJ.GET", "k", "id", product]);
        let write = command(&["OBJ.SET", "k", "id", product, "w"]);
        client.send(if is_repeatable { &read } else { &write });
        let first = next_report(&reports);
        // The node reads the part of the body during these round trips.
        (0..50).for_each(|_| assert_eq!(other.ask(&["PING"]), "+PONG"));
        release.send(()).expect("the server waits");
        let response = client.response();
        if is_repeatable {
            assert_eq!((response.as_str(), next_report(&reports)), ("whole", first));
        } else {
            assert!(response.starts_with("-ERR"), "{response}");
            assert!(reports.try_recv().is_err(), "the write was sent again");
        }
    }
}

/// Clients connect and close without a command, many times more than the limits of sockets and
/// descriptors. A leak of either would leave later clients unserved.
#[test]
fn clients_that_close_without_a_command_leak_no_slot() {
    let (node, _reports) = Setup::new()
        .server("a", |_| hit("v"))
        .keys(r#""limits":{"sockets":64,"memory_mb":32},"#)
        .descriptors(128)
        .start();
    for round in 0..20 {
        let clients: Vec<_> = (0..40).map(|_| node.client()).collect();
        for (i, client) in clients.into_iter().enumerate() {
            match i % 2 {
                0 => drop(client),
                _ => reset(client.0.get_ref().try_clone().expect("a socket")),
            }
        }
        let response = node
            .client()
            .ask(&["OBJ.GET", "k", &format!("id{round}"), ATTRIBUTES]);
        assert_eq!(response, "v", "round {round}");
    }
}

/// More new clients than the limit of sockets have sent their commands before the first of them is
/// accepted. Each has to get a response before its connection is closed in favour of others.
#[test]
fn new_clients_of_a_burst_are_closed_only_after_a_response() {
    let (node, _reports) = Setup::new()
        .server("a", |_| hit("v"))
        .keys(r#""limits":{"sockets":64,"memory_mb":32},"#)
        .start();
    node.suspend();
    let mut clients: Vec<_> = (0..90).map(|_| node.client()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(&command(&["OBJ.GET", "k", &format!("id{i}"), ATTRIBUTES]));
    }
    node.signal("-CONT");
    for (i, client) in clients.iter_mut().enumerate() {
        let response = client.response();
        assert!(
            response == "v" || response.starts_with("-BUSY"),
            "client {i}: {response}"
        );
    }
}
