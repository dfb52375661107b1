//! SIGTERM, and the address of a process that is about to end.
use super::common::*;

#[test]
fn sigterm_answers_what_was_taken_and_what_still_comes() {
    let (tell, seen) = channel();
    let (free, held) = channel();
    let mut held = Some(held);
    let cache = server("a", tell, move |_| match held.take() {
        Some(held) => Deed::SayAfter(held, found("v")),
        None => hit("w"),
    });
    let mut node = Node::start(&[("a", cache)], "");
    let (mut idle, mut busy) = (node.client(), node.client());
    assert_eq!(idle.ask(&["PING"]), "+PONG");
    busy.send(&command(&["OBJ.GET", "k", "id1", FACTS]));
    assert_eq!(next(&seen), "a: OBJ.GET k id1");
    node.signal("-TERM");
    node.says("asked to stop");
    let mut late = node.client();
    assert_eq!(late.ask(&["PING"]), "+PONG");
    // Those that it has are served on until its time is nearly over.
    assert_eq!(idle.ask(&["OBJ.GET", "other", "id2", FACTS]), "w");
    free.send(()).expect("freed");
    assert_eq!(busy.answer(), "v");
    assert_eq!((idle.answer(), late.answer()), ("closed".into(), "closed".into()));
    assert_eq!(busy.answer(), "closed");
    assert!(node.child.wait().expect("an end").success());
}

/// The client timeout of 40 s is more than a planned restart leaves (3 s and 700 ms): an answer or an end that waited for it would
/// come after `PATIENCE`.
#[test]
fn at_sigterm_a_call_with_a_long_client_timeout_is_answered_in_the_time_that_is_left() {
    let (tell, seen) = channel();
    let caches = ["a", "b", "c"].map(|name| (name, server(name, tell.clone(), |_| Deed::Hold)));
    let mut node = Node::start(&caches, "");
    let (mut before, mut idle) = (node.client(), node.client());
    assert_eq!(idle.ask(&["PING"]), "+PONG");
    before.send(&command(&["OBJ.GET", "k", "id1", "c=view,d=40000"]));
    assert!(next(&seen).ends_with(": OBJ.GET k id1"));
    node.signal("-TERM");
    node.says("asked to stop");
    let mut after = node.client();
    after.send(&command(&["OBJ.GET", "k2", "id2", "c=view,d=40000"]));
    // Each has its one answer and then the end, and so has the process.
    for client in [&mut before, &mut after] {
        let answer = client.answer();
        assert!(answer.starts_with('-'), "{answer}");
        assert_eq!(client.answer(), "closed");
    }
    assert_eq!(idle.answer(), "closed");
    node.says("stopped with 0 API calls open");
    assert!(node.child.wait().expect("an end").success());
}

#[test]
fn what_lies_unread_on_an_idle_connection_at_the_end_is_answered() {
    let (tell, _seen) = channel();
    let cache = server("a", tell, |_| hit("v"));
    for _ in 0..3 {
        let mut node = Node::with(&config(&[("a", cache)], "").replace("40000", "100"), 4096);
        let mut clients: Vec<_> = (0..20).map(|_| node.client()).collect();
        clients.iter_mut().for_each(|client| assert_eq!(client.ask(&["PING"]), "+PONG"));
        node.signal("-STOP");
        clients.iter_mut().for_each(|client| client.send(&command(&["PING", "still here"])));
        node.signal("-TERM");
        node.signal("-CONT");
        for client in &mut clients {
            assert_eq!((client.answer(), client.answer()), ("still here".into(), "closed".into()));
        }
        assert!(node.child.wait().expect("an end").success());
    }
}

#[test]
fn an_address_that_is_in_use_is_waited_for() {
    let before = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = before.local_addr().expect("an address");
    let (child, file) = spawn(&format!(r#"{{"listen":"{addr}","settings":{SETTINGS}}}"#), 4096);
    let mut node = Node { child, addr, log: None, file };
    node.log = node.child.stderr.take().map(BufReader::new);
    node.says(&format!("quartzhub: {addr} is in use: waiting for it"));
    drop(before);
    node.says(&format!("quartzhub: quartzhub serves on {addr}"));
    assert_eq!(node.client().ask(&["PING"]), "+PONG");
}
