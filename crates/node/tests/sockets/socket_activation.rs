//! Nodes that inherit their listening socket, so that a new process takes over from an old one.
use super::common::*;

#[test]
fn new_process_takes_over_the_socket_without_losing_a_call() {
    let (sender, reports) = channel();
    let (release, released) = channel();
    let mut released = Some(released);
    let cache = server("a", sender, move |words| {
        match released.take_if(|_| words.ends_with("id1")) {
            Some(released) => ServerAction::RespondOnRelease(released, hit_bytes("slow")),
            None => hit("v"),
        }
    });
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let config = config(&[("a", cache)], "");
    let (old_ops, new_ops) = (free_address(), free_address());
    let mut old = node_inheriting(&listener, &config, old_ops);
    let (mut busy, mut idle) = (old.client(), old.client());
    assert_eq!(idle.ask(&["PING"]), "+PONG");
    busy.send(&command(&["OBJ.GET", "k1", "id1", ATTRIBUTES]));
    assert_eq!(next_report(&reports), "a: OBJ.GET k1 id1");
    let new = node_inheriting(&listener, &config, new_ops);
    old.signal("-TERM");
    // The idle client is closed; the one with an open call gets its response first.
    assert_eq!(idle.response(), "closed");
    let mut new_client = new.client();
    assert_eq!(new_client.ask(&["OBJ.GET", "k1", "id2", ATTRIBUTES]), "v");
    release.send(()).expect("the server waits");
    assert_eq!(
        (busy.response(), busy.response()),
        ("slow".into(), "closed".into())
    );
    assert!(old.child.wait().expect("an exit status").success());
    assert_eq!(new_client.ask(&["OBJ.GET", "k1", "id3", ATTRIBUTES]), "v");
    assert_eq!(admin_call(new_ops, "GET /control/ready"), "200 OK: ready");
}

#[test]
fn inherited_descriptor_must_be_a_listening_socket() {
    let file = config_file(&config(&[], ""));
    let mut results = String::new();
    for (number, setup) in [("9", ""), ("4", "exec 4</dev/null;"), ("x", ""), ("2", "")] {
        let script = format!("{setup} exec \"$0\"");
        let output = Command::new("sh")
            .args(["-c", &script, env!("CARGO_BIN_EXE_quartzhub")])
            .env("LB_INHERITED_FD", number)
            .env("LB_CONFIG", &file)
            .output()
            .expect("the program runs");
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        let message = log
            .lines()
            .last()
            .unwrap_or_default()
            .rsplit("descriptor")
            .next()
            .unwrap_or_default();
        results += &format!("{number}: {}, {message}\n", output.status.success());
    }
    let _ = std::fs::remove_file(&file);
    expect_test::expect![[r#"
        9: false,  9 is not open
        4: false,  4 is not a socket
        x: false, 
        2: false, 
    "#]]
    .assert_eq(&results);
}

#[test]
fn node_out_of_service_is_replaced_during_a_reload() {
    let (sender, _reports) = channel();
    let cache = server("a", sender, |_| hit("v"));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let text = config(&[("a", cache)], "");
    let (old_ops, new_ops) = (free_address(), free_address());
    let mut old = node_inheriting(&listener, &text, old_ops);
    let mut kept_client = old.client();
    assert_eq!(kept_client.ask(&["OBJ.GET", "k1", "id1", ATTRIBUTES]), "v");
    leave_service(old_ops);
    assert_eq!(kept_client.response(), "closed");
    // The new process does not know that the old one was out of service, so the node is back in
    // service.
    let new = node_inheriting(&listener, &text, new_ops);
    let new_config = text.replace(r#""view""#, r#""new""#);
    for node in [&old, &new] {
        std::fs::write(&node.config_path, &new_config).expect("written");
        node.signal("-HUP");
    }
    let started_at = std::time::Instant::now();
    while [old_ops, new_ops]
        .iter()
        .any(|addr| !admin_call(*addr, "GET /control/counters").contains(r#""config_applied":1"#))
    {
        assert!(started_at.elapsed() < EVENT_TIMEOUT, "no reload");
    }
    old.signal("-TERM");
    assert!(old.child.wait().expect("an exit status").success());
    let mut client = new.client();
    assert_eq!(client.ask(&["PING"]), "+PONG");
    assert_eq!(client.ask(&["OBJ.GET", "k1", "id2", "c=new,d=30000"]), "v");
    assert_eq!(
        client.ask(&["OBJ.GET", "k1", "id3", ATTRIBUTES]),
        "-ERR no such product"
    );
}
