//! Watches that fall silent late, endpoint lists in one piece, and drains reported during a reload.
use super::common::*;

/// Sends calls for many keys until 100 in a row get `value`, that is, until only the server with
/// this value gets requests.
fn wait_until_all_responses_are(value: &str, client: &mut Client) {
    let started_at = Instant::now();
    let (mut in_a_row, mut call_count) = (0, 0);
    while in_a_row < 100 {
        assert!(
            started_at.elapsed() < EVENT_TIMEOUT,
            "servers other than that of {value:?} still get requests"
        );
        call_count += 1;
        let response = client.ask(&[
            "OBJ.GET",
            &format!("k{call_count}"),
            &format!("id{call_count}"),
            ATTRIBUTES,
        ]);
        in_a_row = if response == value { in_a_row + 1 } else { 0 };
    }
}

/// After the reload the new discovery service is still silent, so the watch on the old one stays in
/// use, and a drain that it reports has to be applied.
#[test]
fn drain_from_the_old_watch_during_a_reload_is_applied() {
    let (sender, _reports) = channel();
    let a = server("a", sender.clone(), |_| hit("of a"));
    let b = server("b", sender, |_| hit("of b"));
    let (old_watch, old_messages) = channel();
    let (new_watch, new_messages) = channel();
    let (request_sender, requests) = channel();
    let [old, new] = [old_messages, new_messages]
        .map(|messages| discovery(vec![messages], request_sender.clone()));
    // A keepalive: the node accepts clients once discovery has responded.
    old_watch.send("\n".into()).expect("sent");
    let mut node = Node::start(&[("a", a)], &format!(r#""discovery":"{old}","#));
    let mut client = node.client();
    assert_eq!(next_report(&requests), "GET /api/targets?stream=1&index=1 ");
    let both = [("a", a, "in_service"), ("b", b, "in_service")];
    old_watch
        .send(endpoint_list(true, 2, &both) + "\n")
        .expect("sent");
    std::fs::write(
        &node.config_path,
        config(&[("a", a)], &format!(r#""discovery":"{new}","#)),
    )
    .expect("a file");
    node.signal("-HUP");
    node.await_log("configuration reloaded");
    assert_eq!(next_report(&requests), "GET /api/targets?stream=1&index=0 ");
    old_watch
        .send(endpoint_list(false, 3, &[("a", a, "terminating")]) + "\n")
        .expect("sent");
    wait_until_all_responses_are("of b", &mut client);
    // The new discovery service reports another drain, which the old one never did.
    let c = server("b", channel().0, |_| hit("of c"));
    let new_list = [
        ("a", a, "terminating"),
        ("b", b, "terminating"),
        ("c", c, "in_service"),
    ];
    new_watch
        .send(endpoint_list(true, 1, &new_list) + "\n")
        .expect("sent");
    wait_until_all_responses_are("of c", &mut client);
}

/// Events that a watch misses count as delivered 6 s after it fell silent. The first watch falls
/// silent after a while and the second one never sends anything: a third has to be started within
/// the 6 s, and reports the drain.
#[test]
fn watch_that_falls_silent_late_is_replaced_within_6_s() {
    let (sender, _reports) = channel();
    let a = server("a", sender.clone(), |_| hit("of a"));
    let b = server("b", sender, |_| hit("of b"));
    let WatchedDiscovery {
        addr: discovery_addr,
        watches: [first_watch, _second_watch, third_watch],
        requests,
    } = watched_discovery();
    // A keepalive: the node accepts clients once discovery has responded.
    first_watch.send("\n".into()).expect("sent");
    let node = Node::start(&[("a", a)], &format!(r#""discovery":"{discovery_addr}","#));
    assert_eq!(next_report(&requests), "GET /api/targets?stream=1&index=1 ");
    let both = [("a", a, "in_service"), ("b", b, "in_service")];
    first_watch
        .send(endpoint_list(true, 5, &both) + "\n")
        .expect("sent");
    for _ in 0..4 {
        std::thread::sleep(Duration::from_millis(200));
        first_watch.send("\n".into()).expect("sent");
    }
    let silent_from = Instant::now();
    assert_eq!(next_report(&requests), "GET /api/targets?stream=1&index=5 ");
    assert_eq!(next_report(&requests), "GET /api/targets?stream=1&index=5 ");
    assert!(
        silent_from.elapsed() < Duration::from_secs(6),
        "{:?} without an event",
        silent_from.elapsed()
    );
    third_watch
        .send(endpoint_list(false, 6, &[("a", a, "terminating")]) + "\n")
        .expect("sent");
    wait_until_all_responses_are("of b", &mut node.client());
}

/// The head and a full list with many servers arrive in one write, on one line or indented, in either
/// form, with nothing after them. The list has to be applied without a second request.
#[test]
fn full_list_in_one_write_is_applied() {
    let (sender, _reports) = channel();
    let a = server("a", sender.clone(), |_| hit("of a"));
    let b = server("b", sender, |_| hit("of b"));
    let names: Vec<_> = (0..400).map(|i| format!("gone-{i}")).collect();
    let mut servers: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), a, "terminating"))
        .collect();
    servers.extend([("a", a, "terminating"), ("b", b, "in_service")]);
    let one_line = endpoint_list(true, 9, &servers);
    let value: serde_json::Value = serde_json::from_str(&one_line).expect("a list");
    let indented = serde_json::to_string_pretty(&value).expect("a list");
    let closed_behind_an_entry = one_line.replace("[{", "[\n  {").replace("},{", "},\n  {");
    for list in [one_line, indented, closed_behind_an_entry] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let discovery_addr = listener.local_addr().expect("an address");
        let (request_sender, requests) = channel();
        std::thread::spawn(move || {
            let mut open_watches = Vec::new();
            for stream in listener.incoming().flatten() {
                let mut reader = BufReader::new(stream);
                let _ = request_sender.send(read_request(&mut reader).unwrap_or_default());
                let body = format!("{:x}\r\n{list}\n\r\n", list.len() + 1);
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let _ = reader
                    .get_mut()
                    .write_all((head.to_owned() + &body).as_bytes());
                open_watches.push(reader);
            }
        });
        let node = Node::start(&[("a", a)], &format!(r#""discovery":"{discovery_addr}","#));
        wait_until_all_responses_are("of b", &mut node.client());
        assert_eq!(next_report(&requests), "GET /api/targets?stream=1&index=1 ");
        assert!(requests.try_recv().is_err(), "the list was requested again");
    }
}

/// The events that discovery has at the start of a process count as delivered from its first
/// moment. Here discovery takes 500 ms to send them: the node must not use its configured, stale
/// list until then.
#[test]
fn new_process_with_a_stale_list_skips_drained_servers() {
    let (sender, reports) = channel();
    let (old, new) = (
        server("old", sender.clone(), |_| hit("v")),
        server("new", sender, |_| hit("v")),
    );
    let WatchedDiscovery {
        addr: discovery_addr,
        watches: [watch],
        requests,
    } = watched_discovery();
    let event = endpoint_list(
        true,
        2,
        &[("old", old, "terminating"), ("new", new, "in_service")],
    );
    std::thread::spawn(move || {
        requests.recv_timeout(EVENT_TIMEOUT).expect("a watch");
        std::thread::sleep(Duration::from_millis(500));
        watch.send(event + "\n").expect("sent");
        std::thread::park();
    });
    let node = Node::start(
        &[("old", old)],
        &format!(r#""discovery":"{discovery_addr}","#),
    );
    for i in 0..20 {
        assert_eq!(
            node.client()
                .ask(&["OBJ.GET", &format!("k{i}"), &format!("id{i}"), ATTRIBUTES]),
            "v"
        );
        let report = next_report(&reports);
        assert!(report.starts_with("new:"), "{report}");
    }
}

/// How long each of a series of watches lives.
const WATCH_LIFE: Duration = Duration::from_millis(800);
/// Within what time a drain has to be heeded once discovery has it, by the strictest deployment.
const DRAIN_GRACE: Duration = Duration::from_millis(250);

// Regression test: of watches that were reset with no change between, each was reopened later than
// the one before, up to a second.
#[test]
fn watches_reset_without_a_change_are_reopened_in_time_for_a_drain() {
    let server = server("a", channel().0, |_| hit("v"));
    let WatchedDiscovery {
        addr: discovery_addr,
        watches,
        requests,
    } = watched_discovery::<6>();
    let keep_alives = watches.each_ref().map(|watch| watch.send("\n".into()));
    assert!(keep_alives.iter().all(Result::is_ok));
    let discovery_key = format!(r#""discovery":"{discovery_addr}","#);
    let _node = Node::start(&[("a", server)], &discovery_key);
    next_report(&requests);
    for watch in watches.into_iter().take(5) {
        std::thread::sleep(WATCH_LIFE);
        drop(watch);
        let ended_at = Instant::now();
        next_report(&requests);
        let reopened_after = ended_at.elapsed();
        assert!(reopened_after < DRAIN_GRACE, "{reopened_after:?}");
    }
}
