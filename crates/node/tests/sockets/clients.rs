//! Clients that send malformed commands, are slow or disconnect, and limits of sockets and
//! descriptors.
use super::common::*;

#[test]
fn malformed_bytes_get_an_error_and_a_close() {
    let (node, _reports) = Setup::new().server("a", |_| hit("v")).start();
    let mut good = node.client();
    for malformed in [
        &b"\0\xff\xfe"[..],
        b"GET / HTTP/1.1\r\n\r\n",
        b"*3\r\n$-1\r\n",
        b"*99999999999\r\n",
    ] {
        let mut bad = node.client();
        bad.send(malformed);
        assert!(bad.response().starts_with("-ERR"), "{malformed:?}");
        assert_eq!(bad.response(), "closed");
        assert_eq!(good.ask(&["OBJ.GET", "k", "id", ATTRIBUTES]), "v");
    }
}

#[test]
fn silent_client_or_half_command_is_closed() {
    let node = Node::start(&[], "");
    let (mut silent, mut half) = (node.client(), node.client());
    half.send(b"*4\r\n$7\r\nOBJ.");
    assert_eq!(silent.response(), "closed");
    assert_eq!(
        half.response(),
        "-ERR Protocol error: the command did not come whole"
    );
    assert_eq!(half.response(), "closed");
}

#[test]
fn node_stops_reading_from_a_client_that_does_not_read() {
    let node = Node::start(&[], "");
    let mut client = node.client();
    client
        .0
        .get_mut()
        .set_write_timeout(Some(Duration::from_secs(1)))
        .expect("a timeout");
    let pings = command(&["PING"]).repeat(4096);
    // More than the socket buffers hold.
    let written = (0..500).all(|_| client.0.get_mut().write_all(&pings).is_ok());
    assert!(
        !written,
        "all commands were read and their responses buffered"
    );
}

#[test]
fn client_reads_the_error_while_it_is_still_sending() {
    let node = Node::start(&[], "");
    let mut client = node.client();
    client
        .send(b"*5\r\n$7\r\nOBJ.SET\r\n$1\r\nk\r\n$2\r\nid\r\n$10\r\nc=book,d=9\r\n$60000000\r\n");
    assert_eq!(
        client.response(),
        "-ERR Protocol error: commands are arrays of bulk strings"
    );
    // If the node did not go on reading, the second write would fail with a reset.
    (0..16).for_each(|_| client.send(&[b'x'; 64 * 1024]));
    assert_eq!(client.response(), "closed");
}

#[test]
fn client_with_too_many_invalid_commands_is_closed() {
    let (node, _reports) = Setup::new().server("a", |_| hit("v")).start();
    let (mut bad, mut good) = (node.client(), node.client());
    let invalid_calls = [
        ["k", "id", "c=none,d=9"],
        ["k", "id", "c=view,d=soon"],
        ["k", "", ATTRIBUTES],
        ["k", "id", "c=view"],
    ];
    for words in invalid_calls.iter().cycle().take(400) {
        bad.send(&command(&["OBJ.GET", words[0], words[1], words[2]]));
    }
    assert_eq!(good.ask(&["OBJ.GET", "k", "id", ATTRIBUTES]), "v");
    let responses: Vec<_> = std::iter::repeat_with(|| bad.response())
        .take_while(|response| response != "closed")
        .collect();
    assert!(
        responses
            .iter()
            .all(|response| response.starts_with("-ERR"))
            && responses.len() < 40,
        "{responses:?}"
    );
}

// Regression test: a client that went on using a product which the settings had dropped was closed
// over commands of other products.
#[test]
fn calls_behind_many_of_an_unknown_product_are_answered() {
    const UNKNOWN_CALLS: usize = 40;
    let node = Node::start(&[("a", server("a", channel().0, |_| hit("v")))], "");
    let mut client = node.client();
    let mut bytes = Vec::new();
    for index in 0..UNKNOWN_CALLS {
        let id = format!("unknown{index}");
        bytes.extend(command(&["OBJ.GET", "k", &id, "c=dropped,d=30000"]));
    }
    bytes.extend(command(&["OBJ.GET", "k", "known", ATTRIBUTES]));
    client.send(&bytes);
    for _ in 0..UNKNOWN_CALLS {
        assert_eq!(client.response(), "-ERR no such product");
    }
    assert_eq!(client.response(), "v");
}

#[test]
fn attempt_is_cancelled_when_its_client_disconnects() {
    let (node, reports) = Setup::new().server("a", |_| ServerAction::Ignore).start();
    let mut client = node.client();
    client.send(&command(&["OBJ.GET", "k", "id", ATTRIBUTES]));
    assert_eq!(next_report(&reports), "a: OBJ.GET k id");
    drop(client);
    assert_eq!(next_report(&reports), "a: closed");
    assert_eq!(node.client().ask(&["PING"]), "+PONG");
}

#[test]
fn idle_client_is_closed_for_a_new_one_at_the_limit() {
    let (node, _reports) = Setup::new()
        .server("a", |_| hit("v"))
        .keys(r#""limits":{"sockets":64,"memory_mb":32},"#)
        .start();
    let mut clients: Vec<_> = (0..100).map(|_| node.client()).collect();
    // Some of the first clients were closed for later ones; the last client is served.
    let last = clients.last_mut().expect("a client");
    assert_eq!(last.ask(&["OBJ.GET", "k", "id", ATTRIBUTES]), "v");
}

#[test]
fn node_with_fewer_descriptors_than_configured_serves() {
    let (node, _reports) = Setup::new()
        .server("a", |_| hit("v"))
        .keys(r#""limits":{"sockets":1024},"#)
        .descriptors(56)
        .start();
    let mut clients: Vec<_> = (0..100).map(|_| node.client()).collect();
    for client in clients.iter_mut().rev().take(10) {
        assert_eq!(client.ask(&["OBJ.GET", "k", "id", ATTRIBUTES]), "v");
    }
}

/// A client with 128 open commands is not read any further, so the end of its connection lies
/// behind unread bytes. All its attempts still have to be cancelled when it disconnects.
#[test]
fn attempts_are_cancelled_behind_unread_commands() {
    let (node, reports) = Setup::new().server("a", |_| ServerAction::Ignore).start();
    let mut client = node.client();
    for i in 0..400 {
        client.send(&command(&[
            "OBJ.GET",
            &format!("k{i}"),
            &format!("id{i}"),
            "c=view,d=40000",
        ]));
    }
    assert!(next_report(&reports).starts_with("a: OBJ.GET"));
    // Once another client is served, the node has read all that it reads from the first one.
    assert_eq!(node.client().ask(&["PING"]), "+PONG");
    drop(client);
    // Every attempt that has begun is cancelled.
    let (mut begun, mut closed) = (1, 0);
    while closed < begun {
        match next_report(&reports).as_str() {
            "a: closed" => closed += 1,
            report => {
                assert!(
                    report.starts_with("a: OBJ.GET"),
                    "{report} with {begun} begun, {closed} closed"
                );
                begun += 1;
            }
        }
    }
}

/// After a malformed command nothing more is read, while the call before it is still open. Its
/// attempt still has to be cancelled when the client disconnects.
#[test]
fn attempt_is_cancelled_after_a_malformed_command() {
    let (node, reports) = Setup::new().server("a", |_| ServerAction::Ignore).start();
    let mut client = node.client();
    client.send(&command(&["OBJ.GET", "k", "id", "c=view,d=40000"]));
    client.send(b"garbage\r\nand more of it\r\n");
    assert_eq!(next_report(&reports), "a: OBJ.GET k id");
    assert_eq!(node.client().ask(&["PING"]), "+PONG");
    drop(client);
    assert_eq!(next_report(&reports), "a: closed");
}

/// Bad clients that connect at once, more than a node of `FEW_SOCKETS` sockets has room for.
const BAD_CLIENTS: usize = 150;
const FEW_SOCKETS: &str = r#""limits":{"sockets":64,"memory_mb":32},"#;

// Regression test: clients that stayed after their error kept their sockets for a second, and new
// clients waited in the listen queue until their calls' time was over.
#[test]
fn clients_that_stay_after_their_error_make_room_for_others() {
    let cache = server("a", channel().0, |_| hit("v"));
    let node = Node::start(&[("a", cache)], FEW_SOCKETS);
    // Each sends at once: new clients that have sent nothing may be closed after 20 ms.
    let mut bad_clients: Vec<_> = (0..BAD_CLIENTS)
        .map(|_| {
            let mut client = node.client();
            client.send(b"noise\r\n");
            client
        })
        .collect();
    let mut usual = node.client();
    let sent_at = Instant::now();
    let response = usual.ask(&["OBJ.GET", "k", "id", "c=view,d=1000"]);
    assert_eq!(response, "v", "after {:?}", sent_at.elapsed());
    for client in &mut bad_clients {
        let response = client.response();
        assert!(response.starts_with("-ERR Protocol error"), "{response}");
    }
}
