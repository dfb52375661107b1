//! The time left that an attempt states to its server: what is left of the client's time at the
//! write, on every path that leads to a write.
use super::common::*;

/// Returns the writes in a trace, each as "time id time_left", with both times in milliseconds.
fn writes(trace: &str) -> Vec<String> {
    let words = |line: &str| {
        line.replace([':', ','], "")
            .split_whitespace()
            .map(str::to_owned)
            .collect()
    };
    let lines = trace.lines().map(words);
    let written =
        lines.filter(|words: &Vec<String>| words.get(1).is_some_and(|word| word == "write"));
    written
        .map(|words| {
            [&words[0], &words[3], &words[5]]
                .map(String::as_str)
                .join(" ")
        })
        .collect()
}

#[test]
fn time_left_excludes_connects_to_caches_and_the_origin() {
    let (mut harness, _) = Harness::builder().with_call("view", 400);
    harness.advance(40);
    harness.connect(2);
    harness.advance(20);
    harness.respond("miss", 2, failure(Outcome::Miss));
    harness.advance(90);
    harness.connect(3);
    assert_eq!(writes(&harness.trace), ["40 c1 357", "150 c1 247"]);
}

#[test]
fn attempt_on_a_reused_upstream_states_its_own_time_left() {
    let (mut harness, client) = Harness::builder().with_call_in_flight("view", 400);
    harness.respond("miss", 2, failure(Outcome::Miss));
    harness.connect(3);
    harness.respond("value", 3, value("v"));
    harness.call(client, "view", "c2", 400);
    harness.advance(30);
    harness.respond("miss", 2, failure(Outcome::Miss));
    assert_eq!(
        writes(&harness.trace),
        ["0 c1 397", "0 c1 397", "0 c2 397", "30 c2 367"]
    );
}

/// The origin has capacity for some of the writes; the others are queued in the node, and written
/// when capacity becomes free.
#[test]
fn time_left_excludes_time_queued_for_the_origin() {
    let mut harness = Harness::builder().start();
    let client = harness.add_client();
    for id in 0..9 {
        harness.write(client, &format!("c{id}"), 400);
    }
    assert!(
        !harness.trace.contains("connect 7"),
        "more than five attempts at once: {}",
        harness.trace
    );
    (2..7)
        .map(UpstreamId)
        .for_each(|id| harness.report("open", |reducer, now| reducer.on_connected(now, id)));
    harness.advance(50);
    harness.respond("receipt", 2, value("v"));
    harness.advance(20);
    harness.connect(7);
    assert_eq!(
        writes(&harness.trace),
        [
            "0 c0 397",
            "0 c1 397",
            "0 c2 397",
            "0 c3 397",
            "0 c4 397",
            "50 c6 347",
            "70 c5 327"
        ]
    );
}

/// Concurrent reads of a key wait while the first of them fetches it from the origin, and are then
/// sent to the cache again.
#[test]
fn time_left_excludes_waiting_for_another_fetch_of_the_key() {
    let mut harness = Harness::builder().start();
    let client = harness.add_client();
    let caches = [2, 3, 4].map(UpstreamId);
    ["c1", "c2", "c3"]
        .iter()
        .for_each(|id| harness.call(client, "view", id, 400));
    caches
        .iter()
        .for_each(|id| harness.report("open", |reducer, now| reducer.on_connected(now, *id)));
    caches.iter().for_each(|id| {
        harness.report("miss", |reducer, now| {
            reducer.on_response(now, *id, failure(Outcome::Miss))
        })
    });
    harness.report("connected at the origin", |reducer, now| {
        reducer.on_connected(now, UpstreamId(5))
    });
    harness.advance(35);
    harness.respond("value", 5, value("v"));
    assert_eq!(
        writes(&harness.trace),
        [
            "0 c1 397",
            "0 c2 397",
            "0 c3 397",
            "0 c1 397",
            "35 c2 362",
            "35 c3 362"
        ]
    );
}

/// A reused upstream breaks before the last byte of an attempt is written, and the attempt is
/// written on a new one.
#[test]
fn attempt_moved_to_a_new_upstream_states_its_own_time_left() {
    let (mut harness, client) = Harness::builder().with_successful_call("book", 400, "value");
    harness.send(client, "book", "c2", 400);
    harness.print_effects(false);
    harness.advance(60);
    harness.disconnect("broken before the write", 2);
    harness.advance(50);
    harness.connect(3);
    assert_eq!(
        writes(&harness.trace),
        ["0 c1 397", "0 c2 397", "110 c2 287"]
    );
}

/// A cache resets the connection and the origin fails; each retry states the time left at its own
/// write.
#[test]
fn retries_state_the_time_left_after_a_reset_and_an_error() {
    let (mut harness, _) = Harness::builder().with_call_in_flight("view", 450);
    harness.advance(50);
    harness.disconnect("reset 2", 2);
    harness.advance(20);
    harness.connect(3);
    harness.advance(40);
    harness.respond("error 3", 3, failure(Outcome::ServerError));
    assert_eq!(
        writes(&harness.trace),
        ["0 c1 447", "70 c1 377", "110 c1 337"]
    );
}
