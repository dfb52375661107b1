//! The log tells for each attempt and value that ends early its call, its server and the reason.
use super::common::*;

/// A value that is streamed.
const VALUE_BYTES: usize = 100_000;

fn large_value() -> String {
    "v".repeat(VALUE_BYTES)
}

/// Returns the node's log after a read with the id `id1` at a cache that acts by `action`.
fn log_after_read(action: impl FnMut(&str) -> ServerAction + Send + 'static) -> String {
    let (mut node, _reports) = Setup::new().server("a", action).start();
    let response = node.client().ask(&["OBJ.GET", "k1", "id1", ATTRIBUTES]);
    assert!(response != large_value());
    node.shut_down_and_read_log()
}

#[test]
fn broken_value_is_logged_with_its_call_and_reason() {
    let whole = hit_bytes(&large_value());
    let cut = whole[..90_000].to_vec();
    let log = log_after_read(move |_| ServerAction::Last(cut.clone()));
    assert!(
        log.contains("streamed value of call id1 from 127.0.0.1:"),
        "{log}"
    );
    assert!(
        log.contains("of 100000 bytes: the server ended the connection"),
        "{log}"
    );
    let malformed = [&whole[..whole.len() - 16], b"xx"].concat();
    let log = log_after_read(move |_| ServerAction::Respond(malformed.clone()));
    assert!(
        log.contains("of 100000 bytes: the bytes behind the value are malformed"),
        "{log}"
    );
}

#[test]
fn failed_attempt_is_logged_with_its_call_and_reason() {
    let log = log_after_read(|_| ServerAction::Respond(b"?\r\n".to_vec()));
    assert!(log.contains("attempt of call id1 at 127.0.0.1:"), "{log}");
    assert!(
        log.contains("ended: the response is malformed (state: request written"),
        "{log}"
    );
    assert!(log.contains("call id1 rejected after 1 attempts"), "{log}");
}
