//! The watch on the server list.
use super::common::*;

#[test]
fn garbled_news_are_asked_for_again_and_a_drain_is_kept() {
    let (tell, seen) = channel();
    let a = server("a", tell.clone(), |_| hit("of a"));
    let b = server("b", tell, |_| hit("of b"));
    let Watched {
        addr: from,
        watches: [first, second],
        asks,
    } = watched_discovery();
    // A sign of life: the node takes clients once it has heard of discovery.
    first.send("\n".into()).expect("said");
    let node = Node::start(&[("a", a)], &format!(r#""discovery":"{from}","#));
    let mut client = node.client();
    assert_eq!(next(&asks), "GET /api/targets?stream=1&index=1 ");
    assert_eq!(client.ask(&["OBJ.GET", "k", "id1", FACTS]), "of a");
    // Garbled: what is known stands, and the whole list is asked for.
    first
        .send("{\"version\":2,\"servers\":[{\"id\":\n".into())
        .expect("said");
    drop(first);
    assert_eq!(next(&asks), "GET /api/targets?stream=1&index=0 ");
    assert_eq!(client.ask(&["OBJ.GET", "k", "id2", FACTS]), "of a");
    // In two pieces, with signs of life between.
    let news = list(true, 3, &[("a", a, "terminating"), ("b", b, "in_service")]);
    let (head, tail) = news.split_at(40);
    [format!("\n\n{head}"), format!("{tail}\n\n")]
        .into_iter()
        .for_each(|t| second.send(t).expect("said"));
    let begun = Instant::now();
    while client.ask(&["OBJ.GET", "k", "id3", FACTS]) != "of b" {
        assert!(
            begun.elapsed() < EVENT_TIMEOUT,
            "the list in two pieces is not gone by"
        );
    }
    seen.try_iter().for_each(drop);
    for _ in 0..50 {
        assert_eq!(client.ask(&["OBJ.GET", "k", "id4", FACTS]), "of b");
        assert_eq!(next(&seen), "b: OBJ.GET k id4");
    }
}

/// Starts a node with one server, and awaits its first watch.
fn start_watching(discovery: SocketAddr, asks: &Receiver<String>) -> Node {
    let (node, _seen) = Setup::new()
        .server("a", |_| hit("v"))
        .keys(&format!(r#""discovery":"{discovery}","#))
        .start();
    assert_eq!(next(asks), "GET /api/targets?stream=1&index=1 ");
    node
}

#[test]
fn a_silent_discovery_is_asked_again() {
    // Both say nothing for as long as their senders are there.
    let Watched {
        addr: from,
        watches: [_first, _second],
        asks,
    } = watched_discovery();
    let node = start_watching(from, &asks);
    assert_eq!(node.client().ask(&["OBJ.GET", "k", "id", FACTS]), "v");
    assert_eq!(next(&asks), "GET /api/targets?stream=1&index=1 ");
}

/// A watch may fall silent before its first byte, in its head, within a line, or end in a reset: each time another is
/// asked for, from where the news had got to, and the drain that it tells is kept.
#[test]
fn a_watch_that_falls_silent_at_any_point_is_begun_anew() {
    let (tell, seen) = channel();
    let a = server("a", tell.clone(), |_| hit("of a"));
    let b = server("b", tell, |_| hit("of b"));
    let (asked, asks) = channel();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let from = listener.local_addr().expect("an address");
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunk = |text: &str| format!("{head}{:x}\r\n{text}\r\n", text.len());
    let news = list(true, 4, &[("a", a, "terminating"), ("b", b, "in_service")]) + "\n";
    let unchanged = list(false, 2, &[]) + "\n";
    let says = [
        "".into(),
        head[..20].into(),
        chunk(&news[..30]),
        chunk(&unchanged),
        chunk(&news),
    ]
    .map(Some);
    std::thread::spawn(move || {
        let mut held = Vec::new();
        for (number, (stream, mut says)) in listener.incoming().flatten().zip(says).enumerate() {
            let mut reader = BufReader::new(stream);
            let _ = asked.send(request(&mut reader).unwrap_or_default());
            let _ = reader
                .get_mut()
                .write_all(says.take().unwrap_or_default().as_bytes());
            // The fourth ends behind its line, the others stay open and say no more.
            if number != 3 {
                held.push(reader);
            }
        }
        std::thread::park();
    });
    let node = Node::start(&[("a", a)], &format!(r#""discovery":"{from}","#));
    for index in [1, 1, 1, 1, 2] {
        assert_eq!(
            next(&asks),
            format!("GET /api/targets?stream=1&index={index} ")
        );
    }
    let mut client = node.client();
    while client.ask(&["OBJ.GET", "k", "id", FACTS]) != "of b" {}
    seen.try_iter().for_each(drop);
    assert_eq!(client.ask(&["OBJ.GET", "k", "last", FACTS]), "of b");
    assert_eq!(next(&seen), "b: OBJ.GET k last");
}

#[test]
fn news_without_end_are_given_up_and_asked_for_again() {
    let Watched {
        addr: from,
        watches: [first, _second],
        asks,
    } = watched_discovery();
    let node = start_watching(from, &asks);
    (0..40).for_each(|_| first.send(" ".repeat(64 * 1024)).expect("said"));
    assert_eq!(next(&asks), "GET /api/targets?stream=1&index=1 ");
    assert_eq!(node.client().ask(&["OBJ.GET", "k", "id", FACTS]), "v");
}

#[test]
fn sighup_moves_discovery_and_drops_no_call_and_a_faulty_file_changes_nothing() {
    let (tell, seen) = channel();
    let (free, held) = channel();
    let mut held = Some(held);
    let a = server("a", tell.clone(), move |words| {
        match held.take_if(|_| words.ends_with("id1")) {
            Some(held) => ServerAction::SayAfter(held, found("of a")),
            None => hit("of a"),
        }
    });
    let b = server("b", tell, |_| hit("of b"));
    let (_first, first_says) = channel();
    let (second, second_says) = channel();
    let (asked, asks) = channel();
    let [old, new] = [first_says, second_says].map(|says| discovery(vec![says], asked.clone()));
    let known = [("a", a)];
    let mut node = Node::start(&known, &format!(r#""discovery":"{old}","#));
    let (mut client, mut other) = (node.client(), node.client());
    assert_eq!(next(&asks), "GET /api/targets?stream=1&index=1 ");
    client.send(&command(&["OBJ.GET", "k", "id1", FACTS]));
    assert_eq!(next(&seen), "a: OBJ.GET k id1");
    let mut again = |text: &str, says: &str| {
        std::fs::write(&node.file, text).expect("a new file");
        node.signal("-HUP");
        node.says(says);
    };
    let moved = format!(r#""discovery":"{new}","#);
    let cut = config(&known, &moved);
    again(&cut[..cut.len() / 2], "; the previous one stays in force");
    again(
        &config(&known, r#""discovery":"here","#),
        "discovery: \"here\" is not an address",
    );
    assert_eq!(other.ask(&["OBJ.GET", "k", "id2", FACTS]), "of a");
    again(
        &config(&known, &(moved + r#""limits":{"sockets":99},"#)),
        "limits: takes effect at a restart only",
    );
    assert_eq!(next(&asks), "GET /api/targets?stream=1&index=0 ");
    second
        .send(list(true, 1, &[("a", a, "terminating"), ("b", b, "in_service")]) + "\n")
        .expect("said");
    while other.ask(&["OBJ.GET", "k", "id3", FACTS]) != "of b" {}
    free.send(()).expect("freed");
    assert_eq!(client.answer(), "of a");
}

/// A watch may live and say nothing: bytes come, but no line ends; and the head of one never ends. Each is given up, and what was
/// missed meanwhile is told by the next.
#[test]
fn a_watch_on_which_no_line_ends_is_begun_anew_however_much_comes() {
    let (tell, seen) = channel();
    let a = server("a", tell.clone(), |_| hit("of a"));
    let b = server("b", tell, |_| hit("of b"));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let from = listener.local_addr().expect("an address");
    let (asked, asks) = channel();
    std::thread::spawn(move || {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let first =
            chunk(&(list(true, 5, &[("a", a, "in_service"), ("b", b, "in_service")]) + "\n"));
        let drain = chunk(&(list(false, 6, &[("a", a, "terminating")]) + "\n"));
        let begins = [
            format!("{head}{first}"),
            "HTTP/1.1 200 OK\r\nX-Slow: ".to_owned(),
            format!("{head}{drain}"),
        ];
        let goes_on = [chunk(" "), "x".to_owned(), chunk("\n")];
        for (stream, (begin, more)) in listener
            .incoming()
            .flatten()
            .zip(begins.into_iter().zip(goes_on))
        {
            let asked = asked.clone();
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                let _ = asked.send(request(&mut reader).unwrap_or_default());
                let stream = reader.get_mut();
                let mut goes_on = stream.write_all(begin.as_bytes());
                // A byte now and then, up to the node's close.
                while goes_on.is_ok() {
                    std::thread::sleep(Duration::from_millis(50));
                    goes_on = stream.write_all(more.as_bytes());
                }
            });
        }
    });
    let node = Node::start(&[("a", a)], &format!(r#""discovery":"{from}","#));
    assert_eq!(next(&asks), "GET /api/targets?stream=1&index=1 ");
    assert_eq!(next(&asks), "GET /api/targets?stream=1&index=5 ");
    assert_eq!(next(&asks), "GET /api/targets?stream=1&index=5 ");
    let mut client = node.client();
    let (mut at_b, mut asked) = (0, 0);
    // The drain has been told on the third: soon nothing goes to it any more.
    while at_b < 100 {
        asked += 1;
        assert!(asked < 5_000, "a is still asked");
        assert_eq!(
            client
                .ask(&[
                    "OBJ.GET",
                    &format!("k{asked}"),
                    &format!("id{asked}"),
                    FACTS
                ])
                .len(),
            4
        );
        at_b = if next(&seen).starts_with("b:") {
            at_b + 1
        } else {
            0
        };
    }
}
