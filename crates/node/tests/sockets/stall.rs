//! Commands that arrive while the process is stalled.
use super::common::*;

#[test]
fn command_expired_during_a_stall_is_rejected_unsent() {
    let (node, reports) = Setup::new().server("a", |_| hit("v")).start();
    let mut client = node.client();
    assert_eq!(client.ask(&["OBJ.GET", "k", "id1", ATTRIBUTES]), "v");
    assert_eq!(next_report(&reports), "a: OBJ.GET k id1");
    node.suspend();
    client.send(&command(&["OBJ.GET", "k", "id2", "c=view,d=300"]));
    // Longer than the client timeout of 300 ms.
    std::thread::sleep(Duration::from_millis(400));
    node.signal("-CONT");
    assert!(client.response().starts_with('-'));
    assert_eq!(client.ask(&["OBJ.GET", "k", "id3", ATTRIBUTES]), "v");
    assert_eq!(next_report(&reports), "a: OBJ.GET k id3");
}

#[test]
fn clients_disconnected_during_a_stall_cause_no_request() {
    let (node, reports) = Setup::new().server("a", |_| hit("v")).start();
    let mut staying = node.client();
    assert_eq!(staying.ask(&["OBJ.GET", "k", "id", ATTRIBUTES]), "v");
    assert_eq!(next_report(&reports), "a: OBJ.GET k id");
    let mut disconnecting: Vec<_> = (0..50).map(|_| node.client()).collect();
    disconnecting
        .iter_mut()
        .for_each(|client| assert_eq!(client.ask(&["PING"]), "+PONG"));
    node.suspend();
    for (i, client) in disconnecting.iter_mut().enumerate() {
        client.send(&command(&["OBJ.GET", "k", &format!("gone{i}"), ATTRIBUTES]));
    }
    drop(disconnecting);
    // Long enough to be detected as a stall.
    std::thread::sleep(Duration::from_millis(100));
    node.signal("-CONT");
    assert_eq!(staying.ask(&["OBJ.GET", "k", "last", ATTRIBUTES]), "v");
    assert_eq!(next_report(&reports), "a: OBJ.GET k last");
}

/// A command arrives together with the close of its connection, in a pause too short to be detected
/// as a stall.
#[test]
fn command_followed_by_a_disconnect_is_not_sent() {
    let (node, reports) = Setup::new().server("a", |_| hit("v")).start();
    let mut staying = node.client();
    for round in 0..20 {
        let mut disconnecting = node.client();
        assert_eq!(disconnecting.ask(&["PING"]), "+PONG");
        node.suspend();
        disconnecting.send(&command(&[
            "OBJ.GET",
            "k",
            &format!("gone{round}"),
            ATTRIBUTES,
        ]));
        drop(disconnecting);
        node.signal("-CONT");
        assert_eq!(
            staying.ask(&["OBJ.GET", "k", &format!("id{round}"), ATTRIBUTES]),
            "v"
        );
        assert_eq!(next_report(&reports), format!("a: OBJ.GET k id{round}"));
    }
}
