//! The operators' calls: readiness, counters, taking a node out of service.
use super::common::*;

#[test]
fn operators_read_figures_send_clients_away_and_call_them_back() {
    let addr = free();
    let (mut node, _seen) = Setup::new()
        .server("a", |_| hit("v"))
        .keys(&format!(r#""ops":"{addr}","#))
        .start();
    let mut client = node.client();
    assert_eq!(client.ask(&["OBJ.GET", "k1", "id1", FACTS]), "v");
    // Callers with half a call, more than are kept, hold up nobody.
    let half: Vec<_> = (0..40)
        .map(|_| TcpStream::connect(addr).expect("a connection"))
        .collect();
    half.iter()
        .for_each(|mut stream| drop(stream.write_all(b"GET /control/re")));
    let mut told = String::new();
    for call in [
        "GET /control/ready",
        "GET /control/counters",
        "POST /control/ready",
        "GET /nothing",
    ] {
        told += &format!("{call}: {}\n", operate(addr, call));
    }
    for broken in [
        &b"\0\xff\r\n\r\n"[..],
        &[b"GET /".to_vec(), vec![b'x'; 20_000]].concat(),
    ] {
        let said = ops(addr, broken);
        told += &format!(
            "{}: {}\n",
            broken.len(),
            said.lines().next().unwrap_or_default()
        );
    }
    told += &format!(
        "POST /control/out-of-service: {}\n",
        operate(addr, "POST /control/out-of-service")
    );
    told += &format!(
        "GET /control/ready: {}\n",
        operate(addr, "GET /control/ready")
    );
    let mut front = node.client();
    told += &format!("PING: {}\n", front.ask(&["PING"]));
    // What still comes is served; a kept connection is closed between answers.
    told += &format!(
        "OBJ.GET: {}\n",
        client.ask(&["OBJ.GET", "k1", "id2", FACTS])
    );
    told += &format!("then: {}\n", client.answer());
    told += &format!(
        "POST /control/in-service: {}\n",
        operate(addr, "POST /control/in-service")
    );
    told += &format!(
        "GET /control/ready: {}\n",
        operate(addr, "GET /control/ready")
    );
    told += &format!("PING: {}\n", node.client().ask(&["PING"]));
    drop(half);
    node.says("admin API: node put back in service");
    expect_test::expect![[r#"
        GET /control/ready: 200 OK: ready
        GET /control/counters: 200 OK: {"responses":{"book":{"ok":0,"shed":0,"errors":0},"view":{"ok":1,"shed":0,"errors":0}},"tries":1,"active":0,"pool_size":1,"pool_ejected":0,"config_applied":0,"config_rejected":0}
        POST /control/ready: 405 Method Not Allowed: another method is needed
        GET /nothing: 404 Not Found: no such call
        6: HTTP/1.1 400 Bad Request
        20005: HTTP/1.1 431 Request Header Fields Too Large
        POST /control/out-of-service: 200 OK: out of service
        GET /control/ready: 503 Service Unavailable: not ready
        PING: -ERR out of service
        OBJ.GET: v
        then: closed
        POST /control/in-service: 200 OK: in service
        GET /control/ready: 200 OK: ready
        PING: +PONG
    "#]]
    .assert_eq(&told);
}

/// A client that sends its next command before it has the last answer is never idle. Operators leave 4 s from when they send
/// clients away, and no connection may then have a command of the last 2 s.
#[test]
fn a_client_that_is_never_idle_is_sent_away_in_time() {
    let addr = free();
    let (node, _seen) = Setup::new()
        .server("a", |_| {
            ServerAction::SayLater(Duration::from_millis(30), found("v"))
        })
        .keys(&format!(r#""ops":"{addr}","#))
        .start();
    let mut client = node.client();
    let ask = |i: usize| command(&["OBJ.GET", &format!("k{i}"), &format!("id{i}"), FACTS]);
    (0..3).for_each(|i| client.send(&ask(i)));
    assert_eq!(
        operate(addr, "POST /control/out-of-service"),
        "200 OK: out of service"
    );
    let (begun, mut sent) = (Instant::now(), 3);
    let last = loop {
        let answer = client.answer();
        if answer != "v" {
            break answer;
        }
        assert!(
            begun.elapsed() < Duration::from_secs(4),
            "still served after 4 s"
        );
        // One that crosses the close goes elsewhere.
        let _ = client.0.get_mut().write_all(&ask(sent));
        sent += 1;
    };
    assert_eq!(last, "closed");
    assert!(
        begun.elapsed() < Duration::from_secs(4),
        "closed after {:?}",
        begun.elapsed()
    );
}

#[test]
fn figures_are_told_and_true_in_a_flood() {
    let addr = free();
    let (node, _seen) = Setup::new()
        .server("a", |_| hit("v"))
        .keys(&format!(r#""ops":"{addr}","#))
        .start();
    const EACH: usize = 300;
    std::thread::scope(|scope| {
        for i in 0..8 {
            let node = &node;
            scope.spawn(move || {
                let mut client = node.client();
                for j in 0..EACH {
                    assert_eq!(
                        client.ask(&["OBJ.GET", "k1", &format!("id{i}-{j}"), FACTS]),
                        "v"
                    );
                }
            });
        }
        for _ in 0..20 {
            assert!(operate(addr, "GET /control/counters").starts_with("200 OK"));
        }
    });
    let told = operate(addr, "GET /control/counters");
    let wanted = format!(
        r#""view":{{"ok":{},"shed":0,"errors":0}}}},"tries":"#,
        8 * EACH
    );
    assert!(
        told.contains(&wanted) && told.contains(r#""active":0"#),
        "{told}"
    );
}
