//! Nodes that inherit their listening socket: a new version takes over from an old one.
use super::common::*;

#[test]
fn a_new_version_takes_over_on_the_same_socket_and_no_call_is_lost() {
    let (tell, seen) = channel();
    let (free_it, held) = channel();
    let mut held = Some(held);
    let cache = server("a", tell, move |words| {
        match held.take_if(|_| words.ends_with("id1")) {
            Some(held) => ServerAction::SayAfter(held, found("slow")),
            None => hit("v"),
        }
    });
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let config = config(&[("a", cache)], "");
    let (first, second) = (free(), free());
    let mut old = node_inheriting(&listener, &config, first);
    let (mut busy, mut idle) = (old.client(), old.client());
    assert_eq!(idle.ask(&["PING"]), "+PONG");
    busy.send(&command(&["OBJ.GET", "k1", "id1", FACTS]));
    assert_eq!(next(&seen), "a: OBJ.GET k1 id1");
    let new = node_inheriting(&listener, &config, second);
    old.signal("-TERM");
    // The idle client is let go; the one at work gets its answer first.
    assert_eq!(idle.answer(), "closed");
    let mut fresh = new.client();
    assert_eq!(fresh.ask(&["OBJ.GET", "k1", "id2", FACTS]), "v");
    free_it.send(()).expect("the server waits");
    assert_eq!(
        (busy.answer(), busy.answer()),
        ("slow".into(), "closed".into())
    );
    assert!(old.child.wait().expect("an end").success());
    assert_eq!(fresh.ask(&["OBJ.GET", "k1", "id3", FACTS]), "v");
    assert_eq!(operate(second, "GET /control/ready"), "200 OK: ready");
}

#[test]
fn an_inherited_descriptor_that_is_no_listening_socket_is_told() {
    let file = config_file(&config(&[], ""));
    let mut told = String::new();
    for (number, setup) in [("9", ""), ("4", "exec 4</dev/null;"), ("x", ""), ("2", "")] {
        let script = format!("{setup} exec \"$0\"");
        let done = Command::new("sh")
            .args(["-c", &script, env!("CARGO_BIN_EXE_quartzhub")])
            .env("LB_INHERITED_FD", number)
            .env("LB_CONFIG", &file)
            .output()
            .expect("the program runs");
        let log = String::from_utf8_lossy(&done.stderr).into_owned();
        let said = log
            .lines()
            .last()
            .unwrap_or_default()
            .rsplit("descriptor")
            .next()
            .unwrap_or_default();
        told += &format!("{number}: {}, {said}\n", done.status.success());
    }
    let _ = std::fs::remove_file(&file);
    expect_test::expect![[r#"
        9: false,  9 is not open
        4: false,  4 is not a socket
        x: false, 
        2: false, 
    "#]]
    .assert_eq(&told);
}

#[test]
fn an_upgrade_of_a_node_out_of_service_and_a_reload_amid_it() {
    let (tell, _seen) = channel();
    let cache = server("a", tell, |_| hit("v"));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let text = config(&[("a", cache)], "");
    let (first, second) = (free(), free());
    let mut old = node_inheriting(&listener, &text, first);
    let mut kept = old.client();
    assert_eq!(kept.ask(&["OBJ.GET", "k1", "id1", FACTS]), "v");
    assert_eq!(
        operate(first, "POST /control/out-of-service"),
        "200 OK: out of service"
    );
    assert_eq!(kept.answer(), "closed");
    // The new process knows nothing of the drain: it is in service, and so is the node.
    let new = node_inheriting(&listener, &text, second);
    let other = text.replace(r#""view""#, r#""new""#);
    for node in [&old, &new] {
        std::fs::write(&node.file, &other).expect("written");
        node.signal("-HUP");
    }
    let begun = std::time::Instant::now();
    while [first, second]
        .iter()
        .any(|addr| !operate(*addr, "GET /control/counters").contains(r#""config_applied":1"#))
    {
        assert!(begun.elapsed() < EVENT_TIMEOUT, "no reload");
    }
    old.signal("-TERM");
    assert!(old.child.wait().expect("an end").success());
    let mut client = new.client();
    assert_eq!(client.ask(&["PING"]), "+PONG");
    assert_eq!(client.ask(&["OBJ.GET", "k1", "id2", "c=new,d=30000"]), "v");
    assert_eq!(
        client.ask(&["OBJ.GET", "k1", "id3", FACTS]),
        "-ERR no such product"
    );
}
