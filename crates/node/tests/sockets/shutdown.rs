//! SIGTERM handling, and a process that waits for its address.
use socket2::{Domain, Socket, Type};

use super::common::*;

#[test]
fn calls_before_and_after_sigterm_are_answered() {
    let (release, script) = hold_first_response(hit_bytes("v"), |_| hit("w"));
    let (mut node, reports) = Setup::new().server("a", script).start();
    let (mut idle, mut busy) = (node.client(), node.client());
    assert_eq!(idle.ask(&["PING"]), "+PONG");
    busy.send(&command(&["OBJ.GET", "k", "id1", ATTRIBUTES]));
    assert_eq!(next_report(&reports), "a: OBJ.GET k id1");
    node.signal("-TERM");
    node.await_log("shutdown requested");
    let mut late_client = node.client();
    assert_eq!(late_client.ask(&["PING"]), "+PONG");
    // Connected clients are served until shortly before the process has to end.
    assert_eq!(idle.ask(&["OBJ.GET", "other", "id2", ATTRIBUTES]), "w");
    release.send(()).expect("released");
    assert_eq!(busy.response(), "v");
    assert_eq!(
        (idle.response(), late_client.response()),
        ("closed".into(), "closed".into())
    );
    assert_eq!(busy.response(), "closed");
    assert!(node.child.wait().expect("an exit status").success());
}

/// The client timeout of 40 s is longer than the time that a planned restart leaves (3 s and 700
/// ms). Each call has to get its final response in the time left: a response or a process end that
/// waited for the client timeout would come after `EVENT_TIMEOUT`.
#[test]
fn long_client_timeout_is_cut_to_the_shutdown_time() {
    let (sender, reports) = channel();
    let caches =
        ["a", "b", "c"].map(|name| (name, server(name, sender.clone(), |_| ServerAction::Ignore)));
    let mut node = Node::start(&caches, "");
    let (mut before, mut idle) = (node.client(), node.client());
    assert_eq!(idle.ask(&["PING"]), "+PONG");
    before.send(&command(&["OBJ.GET", "k", "id1", "c=view,d=40000"]));
    assert!(next_report(&reports).ends_with(": OBJ.GET k id1"));
    node.signal("-TERM");
    node.await_log("shutdown requested");
    // A second SIGTERM changes nothing.
    node.signal("-TERM");
    let mut after = node.client();
    after.send(&command(&["OBJ.GET", "k2", "id2", "c=view,d=40000"]));
    // Each client gets one response and then the close; the process ends too.
    for client in [&mut before, &mut after] {
        let response = client.response();
        assert!(response.starts_with('-'), "{response}");
        assert_eq!(client.response(), "closed");
    }
    assert_eq!(idle.response(), "closed");
    node.await_log("shutdown complete with 0 API calls open");
    assert!(node.child.wait().expect("an exit status").success());
}

#[test]
fn unread_command_on_idle_connection_at_sigterm_is_answered() {
    let (sender, _reports) = channel();
    let cache = server("a", sender, |_| hit("v"));
    for _ in 0..3 {
        let mut node = Node::with_config(
            &config(&[("a", cache)], "").replace("40000", "100"),
            DESCRIPTORS,
        );
        let mut clients: Vec<_> = (0..20).map(|_| node.client()).collect();
        clients
            .iter_mut()
            .for_each(|client| assert_eq!(client.ask(&["PING"]), "+PONG"));
        node.signal("-STOP");
        clients
            .iter_mut()
            .for_each(|client| client.send(&command(&["PING", "still here"])));
        node.signal("-TERM");
        node.signal("-CONT");
        for client in &mut clients {
            assert_eq!(
                (client.response(), client.response()),
                ("still here".into(), "closed".into())
            );
        }
        assert!(node.child.wait().expect("an exit status").success());
    }
}

#[test]
fn node_retries_until_its_address_is_free() {
    let occupant = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = occupant.local_addr().expect("an address");
    let config = format!(r#"{{"listen":"{addr}","settings":{SETTINGS}}}"#);
    let mut node = spawn(&config, DESCRIPTORS).into_node(addr);
    node.log = node.child.stderr.take().map(BufReader::new);
    node.await_log(&format!("quartzhub: {addr} is in use: retrying"));
    drop(occupant);
    node.await_log(&format!("quartzhub: quartzhub serves on {addr}"));
    assert_eq!(node.client().ask(&["PING"]), "+PONG");
}

/// Returns the TCP state of the node's end of a client's connection from `/proc/net/tcp`: 1 is
/// established, 4 is FIN_WAIT1 (closed by the node, the close not yet acknowledged).
fn tcp_state(node: SocketAddr, client: SocketAddr) -> Option<u8> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table");
    let port = |addr: SocketAddr| format!(":{:04X}", addr.port());
    let rows = table
        .lines()
        .map(|row| row.split_whitespace().collect::<Vec<_>>());
    let mut own =
        rows.filter(|row| row[1].ends_with(&port(node)) && row[2].ends_with(&port(client)));
    own.next()
        .and_then(|row| u8::from_str_radix(row[3], 16).ok())
}

/// The client has not read its response yet when the node shuts down and closes the connection.
/// Only then does the client send its next command, as it has not seen the close. A reset that this
/// command causes would discard the response.
#[test]
fn command_crossing_the_close_keeps_the_previous_response() {
    let (sender, reports) = channel();
    let value = "v".repeat(32 * 1024);
    let value_sent = value.clone();
    let cache = server("a", sender, move |_| hit(&value_sent));
    let text = config(&[("a", cache)], "").replace("40000", "100");
    let mut config = Config::parse(&text, Environment::default()).expect("a configuration");
    config.limits.linger_timeout = Span::ms(EVENT_TIMEOUT.as_millis() as i64);
    config.limits.shutdown_exit_at = Span::ms(EVENT_TIMEOUT.as_millis() as i64);
    let node = Embedded::start(config);
    let addr = node.addr;
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    // So small that most of the response stays in the node's send buffer.
    socket.set_recv_buffer_size(2048).expect("a small buffer");
    socket.connect(&addr.into()).expect("a connection");
    let stream = TcpStream::from(socket);
    stream
        .set_read_timeout(Some(EVENT_TIMEOUT))
        .expect("a timeout");
    let client_addr = stream.local_addr().expect("an address");
    let mut client = Client(BufReader::new(stream));
    client.send(&command(&["OBJ.GET", "k", "id", ATTRIBUTES]));
    assert_eq!(next_report(&reports), "a: OBJ.GET k id");
    let node_thread = node.shut_down();
    while tcp_state(addr, client_addr) == Some(1) {
        std::thread::yield_now();
    }
    client.send(&command(&["OBJ.GET", "k", "crossing", ATTRIBUTES]));
    assert!(client.response() == value, "the response arrives whole");
    assert_eq!(client.response(), "closed");
    drop(client);
    node_thread.join().expect("a node").expect("an end");
    // The crossing command was not sent to a server.
    assert!(reports.try_recv().is_err());
}

/// The process has accepted nothing, so it has to end at once, instead of waiting for its address
/// and then serving.
#[test]
fn sigterm_while_waiting_for_the_address_ends_the_process() {
    let occupant = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = occupant.local_addr().expect("an address");
    let config = config(&[], "").replace("127.0.0.1:0", &addr.to_string());
    let Process {
        mut child,
        config_path,
    } = spawn(&config, DESCRIPTORS);
    let mut log = BufReader::new(child.stderr.take().expect("a pipe"));
    let waits = std::iter::from_fn(|| read_line(&mut log)).any(|line| line.contains("is in use"));
    assert!(waits, "the node waits for its address");
    let kill_status = Command::new("kill")
        .arg("-TERM")
        .arg(child.id().to_string())
        .status();
    assert!(kill_status.expect("kill").success());
    assert!(child.wait().expect("an exit status").success());
    std::fs::remove_file(config_path).expect("a file");
}

// During the shutdown one server drains and another one hangs and drains. Requests sent to either
// of them after that would be lost.
#[test]
fn server_that_drains_during_shutdown_gets_no_request() {
    let (sender, reports) = channel();
    let a = server("a", sender.clone(), |_| hit("of a"));
    let b = server("b", sender.clone(), |_| hit("of b"));
    let hanging = server("h", sender, |_| ServerAction::Ignore);
    let WatchedDiscovery {
        addr: discovery_addr,
        watches: [watch],
        ..
    } = watched_discovery();
    let known = [("a", a), ("b", b), ("h", hanging)];
    watch.send("\n".into()).expect("sent");
    let text =
        config(&known, &format!(r#""discovery":"{discovery_addr}","#)).replace("40000", "3000");
    let mut node = Node::with_config(&text, DESCRIPTORS);
    let mut client = node.client();
    assert_eq!(client.ask(&["PING"]), "+PONG");
    node.signal("-TERM");
    node.await_log("shutdown requested");
    let update = endpoint_list(
        false,
        2,
        &[("a", a, "terminating"), ("h", hanging, "terminating")],
    );
    watch.send(format!("{update}\n")).expect("sent");
    // The grace in which the endpoint list has to be applied.
    std::thread::sleep(Duration::from_millis(300));
    reports.try_iter().for_each(drop);
    for i in 0..50 {
        let (key, id) = (format!("k{i}"), format!("late{i}"));
        assert_eq!(client.ask(&["OBJ.GET", &key, &id, ATTRIBUTES]), "of b");
        assert_eq!(next_report(&reports), format!("b: OBJ.GET {key} {id}"));
    }
    assert_eq!(client.response(), "closed");
    assert!(node.child.wait().expect("an exit status").success());
}
