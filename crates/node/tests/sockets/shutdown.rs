//! SIGTERM, and the address of a process that is about to end.
use socket2::{Domain, Socket, Type};

use super::common::*;

#[test]
fn sigterm_answers_what_was_taken_and_what_still_comes() {
    let (free, script) = first_when_freed(found("v"), |_| hit("w"));
    let (mut node, seen) = Setup::new().server("a", script).start();
    let (mut idle, mut busy) = (node.client(), node.client());
    assert_eq!(idle.ask(&["PING"]), "+PONG");
    busy.send(&command(&["OBJ.GET", "k", "id1", FACTS]));
    assert_eq!(next(&seen), "a: OBJ.GET k id1");
    node.signal("-TERM");
    node.says("shutdown requested");
    let mut late = node.client();
    assert_eq!(late.ask(&["PING"]), "+PONG");
    // Those that it has are served on until its time is nearly over.
    assert_eq!(idle.ask(&["OBJ.GET", "other", "id2", FACTS]), "w");
    free.send(()).expect("freed");
    assert_eq!(busy.answer(), "v");
    assert_eq!(
        (idle.answer(), late.answer()),
        ("closed".into(), "closed".into())
    );
    assert_eq!(busy.answer(), "closed");
    assert!(node.child.wait().expect("an end").success());
}

/// The client timeout of 40 s is more than a planned restart leaves (3 s and 700 ms): an answer or an end that waited for it would
/// come after `EVENT_TIMEOUT`.
#[test]
fn at_sigterm_a_call_with_a_long_client_timeout_is_answered_in_the_time_that_is_left() {
    let (tell, seen) = channel();
    let caches =
        ["a", "b", "c"].map(|name| (name, server(name, tell.clone(), |_| ServerAction::Hold)));
    let mut node = Node::start(&caches, "");
    let (mut before, mut idle) = (node.client(), node.client());
    assert_eq!(idle.ask(&["PING"]), "+PONG");
    before.send(&command(&["OBJ.GET", "k", "id1", "c=view,d=40000"]));
    assert!(next(&seen).ends_with(": OBJ.GET k id1"));
    node.signal("-TERM");
    node.says("shutdown requested");
    // A second one changes nothing.
    node.signal("-TERM");
    let mut after = node.client();
    after.send(&command(&["OBJ.GET", "k2", "id2", "c=view,d=40000"]));
    // Each has its one answer and then the end, and so has the process.
    for client in [&mut before, &mut after] {
        let answer = client.answer();
        assert!(answer.starts_with('-'), "{answer}");
        assert_eq!(client.answer(), "closed");
    }
    assert_eq!(idle.answer(), "closed");
    node.says("shutdown complete with 0 API calls open");
    assert!(node.child.wait().expect("an end").success());
}

#[test]
fn what_lies_unread_on_an_idle_connection_at_the_end_is_answered() {
    let (tell, _seen) = channel();
    let cache = server("a", tell, |_| hit("v"));
    for _ in 0..3 {
        let mut node = Node::with(
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
                (client.answer(), client.answer()),
                ("still here".into(), "closed".into())
            );
        }
        assert!(node.child.wait().expect("an end").success());
    }
}

#[test]
fn an_address_that_is_in_use_is_waited_for() {
    let before = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = before.local_addr().expect("an address");
    let config = format!(r#"{{"listen":"{addr}","settings":{SETTINGS}}}"#);
    let mut node = spawn(&config, DESCRIPTORS).into_node(addr);
    node.log = node.child.stderr.take().map(BufReader::new);
    node.says(&format!("quartzhub: {addr} is in use: retrying"));
    drop(before);
    node.says(&format!("quartzhub: quartzhub serves on {addr}"));
    assert_eq!(node.client().ask(&["PING"]), "+PONG");
}

/// The state of the node's end of a client's connection, as the system has it: 1 is open, 4 has sent its end and waits.
fn state_at(node: SocketAddr, client: SocketAddr) -> Option<u8> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table");
    let end = |addr: SocketAddr| format!(":{:04X}", addr.port());
    let row = table
        .lines()
        .map(|row| row.split_whitespace().collect::<Vec<_>>());
    let mut ours = row.filter(|row| row[1].ends_with(&end(node)) && row[2].ends_with(&end(client)));
    ours.next()
        .and_then(|row| u8::from_str_radix(row[3], 16).ok())
}

/// A node within the test, whose times are the test's, serves a client that has yet to read its answer. The node is told to end and
/// closes the connection; then, and only then, a further command comes, as a client's may that has not seen the close yet.
#[test]
fn a_command_that_crosses_the_close_at_the_end_does_not_cost_the_answer_before_it() {
    let (tell, seen) = channel();
    let value = "v".repeat(32 * 1024);
    let sent = value.clone();
    let cache = server("a", tell, move |_| hit(&sent));
    let text = config(&[("a", cache)], "").replace("40000", "100");
    let mut config = Config::parse(&text, Environment::default()).expect("a configuration");
    config.limits.linger_timeout = Span::ms(EVENT_TIMEOUT.as_millis() as i64);
    config.limits.shutdown_limit = Span::ms(EVENT_TIMEOUT.as_millis() as i64);
    let node = Embedded::start(config);
    let addr = node.addr;
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    // So small that most of the answer stays with the node's system.
    socket.set_recv_buffer_size(2048).expect("a small buffer");
    socket.connect(&addr.into()).expect("a connection");
    let stream = TcpStream::from(socket);
    stream
        .set_read_timeout(Some(EVENT_TIMEOUT))
        .expect("a time limit");
    let own = stream.local_addr().expect("an address");
    let mut client = Client(BufReader::new(stream));
    client.send(&command(&["OBJ.GET", "k", "id", FACTS]));
    assert_eq!(next(&seen), "a: OBJ.GET k id");
    let ended = node.stop();
    while state_at(addr, own) == Some(1) {
        std::thread::yield_now();
    }
    client.send(&command(&["OBJ.GET", "k", "crossing", FACTS]));
    assert!(client.answer() == value, "the answer comes whole");
    assert_eq!(client.answer(), "closed");
    drop(client);
    ended.join().expect("a node").expect("an end");
    // What crossed was not sent on.
    assert!(seen.try_recv().is_err());
}

/// It has taken nothing, so it ends, instead of waiting on for its address and then serving.
#[test]
fn a_process_that_is_told_to_end_before_it_serves_ends() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = taken.local_addr().expect("an address");
    let config = config(&[], "").replace("127.0.0.1:0", &addr.to_string());
    let Process { mut child, file } = spawn(&config, DESCRIPTORS);
    let mut log = BufReader::new(child.stderr.take().expect("a pipe"));
    let waits = std::iter::from_fn(|| line(&mut log)).any(|line| line.contains("is in use"));
    assert!(waits, "it waits for its address");
    let told = Command::new("kill")
        .arg("-TERM")
        .arg(child.id().to_string())
        .status();
    assert!(told.expect("kill").success());
    assert!(child.wait().expect("an end").success());
    std::fs::remove_file(file).expect("a file");
}

// A server drains amid the shutdown while the other one hangs: what comes from then on goes to neither of them in vain.
#[test]
fn a_server_that_drains_amid_the_shutdown_gets_nothing_more() {
    let (tell, seen) = channel();
    let a = server("a", tell.clone(), |_| hit("of a"));
    let b = server("b", tell.clone(), |_| hit("of b"));
    let hanging = server("h", tell, |_| ServerAction::Hold);
    let Watched {
        addr: from,
        watches: [watch],
        ..
    } = watched_discovery();
    let known = [("a", a), ("b", b), ("h", hanging)];
    watch.send("\n".into()).expect("said");
    let text = config(&known, &format!(r#""discovery":"{from}","#)).replace("40000", "3000");
    let mut node = Node::with(&text, DESCRIPTORS);
    let mut client = node.client();
    assert_eq!(client.ask(&["PING"]), "+PONG");
    node.signal("-TERM");
    node.says("shutdown requested");
    let drain = list(
        false,
        2,
        &[("a", a, "terminating"), ("h", hanging, "terminating")],
    );
    watch.send(format!("{drain}\n")).expect("said");
    // Within the grace the list is applied.
    std::thread::sleep(Duration::from_millis(300));
    seen.try_iter().for_each(drop);
    for i in 0..50 {
        let (key, id) = (format!("k{i}"), format!("late{i}"));
        assert_eq!(client.ask(&["OBJ.GET", &key, &id, FACTS]), "of b");
        assert_eq!(next(&seen), format!("b: OBJ.GET {key} {id}"));
    }
    assert_eq!(client.answer(), "closed");
    assert!(node.child.wait().expect("an end").success());
}
