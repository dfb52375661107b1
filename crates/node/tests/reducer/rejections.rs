//! Limits on how long a node that could serve calls rejects all of them.
use super::common::*;

/// Milliseconds between two calls.
const CALL_INTERVAL_MS: i64 = 50;
/// Longest time, in milliseconds, for which a node may reject at least 15 calls in a row without
/// making an attempt.
const MAX_REJECTION_MS: i64 = 4_000;

/// How servers react to attempts.
#[derive(Clone, Copy)]
enum ServerBehavior {
    /// They refuse connections.
    Refuse,
    /// They accept connections, and reset them when a request is written.
    Reset,
    Overload,
    Respond,
}

/// The ways in which servers fail, with their descriptions.
const FAILURES: [(&str, ServerBehavior); 3] = [
    ("refuse connections", ServerBehavior::Refuse),
    ("reset connections", ServerBehavior::Reset),
    ("are overloaded", ServerBehavior::Overload),
];

fn two_caches() -> Harness {
    let mut harness = Harness::builder().start();
    harness.update_list(false, &[("b", 2, "in_service")]);
    harness
}

/// Makes calls for `ms` milliseconds against servers that behave as given, and adds their number to
/// `calls`. Returns the times of all attempts, which are connects started and requests written.
fn run_calls(
    harness: &mut Harness,
    servers: ServerBehavior,
    ms: i64,
    calls: &mut usize,
) -> Vec<i64> {
    let client = harness.add_client();
    let end = harness.now + ms;
    let mut attempts = Vec::new();
    while harness.now < end {
        *calls += 1;
        let product = ["view", "book"][*calls % 2];
        harness.trace.clear();
        harness.call(client, product, &format!("c{calls}"), 400);
        while !harness.trace.is_empty() {
            for line in std::mem::take(&mut harness.trace).lines() {
                if apply_behavior(harness, servers, line) {
                    attempts.push(harness.now);
                }
            }
            harness.print_effects(true);
        }
        harness.advance(CALL_INTERVAL_MS);
    }
    let now = harness.time();
    harness.reducer.on_client_disconnected(now, client);
    attempts
}

/// Reports the servers' reaction to a printed effect. Returns whether the effect is an attempt: a
/// connect started or a request written.
fn apply_behavior(harness: &mut Harness, servers: ServerBehavior, line: &str) -> bool {
    let words: Vec<_> = line
        .split([' ', ':'])
        .filter(|word| !word.is_empty())
        .collect();
    let upstream = || UpstreamId(words[2].parse().expect("upstream id"));
    let now = harness.time();
    let reducer = &mut harness.reducer;
    match (words[1], servers) {
        ("connect", ServerBehavior::Refuse) => reducer.on_connection_broken(now, upstream()),
        ("connect", _) => reducer.on_connected(now, upstream()),
        ("write", ServerBehavior::Reset | ServerBehavior::Refuse) => {
            reducer.on_connection_broken(now, upstream());
        }
        ("write", ServerBehavior::Overload) => {
            reducer.on_response(now, upstream(), failure(Outcome::Overloaded));
        }
        ("write", ServerBehavior::Respond) => reducer.on_response(now, upstream(), value("v")),
        _ => return false,
    }
    true
}

/// Returns the longest time without an attempt between `from` and `to`, in milliseconds.
fn longest_gap(from: i64, attempts: &[i64], to: i64) -> i64 {
    let times: Vec<_> = std::iter::once(from)
        .chain(attempts.iter().copied())
        .chain([to])
        .collect();
    times
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .max()
        .unwrap_or(0)
}

/// Returns the number of reads served so far.
fn served_reads(harness: &Harness) -> u64 {
    harness.reducer.metrics(Time(harness.now * 1000)).responses["view"].fulfilled
}

#[test]
fn first_calls_after_a_long_idle_period_are_forwarded() {
    for idle in [0, 1_000, 60_000, 600_000] {
        let mut harness = two_caches();
        harness.advance(idle);
        let from = harness.now;
        let mut calls = 0;
        let attempts = run_calls(&mut harness, ServerBehavior::Respond, 1_000, &mut calls);
        let gap = longest_gap(from, &attempts, harness.now);
        assert!(
            gap <= CALL_INTERVAL_MS,
            "{gap} ms with no attempt after {idle} ms without a call"
        );
    }
}

#[test]
fn node_never_rejects_all_calls_for_long_while_servers_fail() {
    for (name, servers) in FAILURES {
        let mut harness = two_caches();
        let mut calls = 0;
        run_calls(&mut harness, ServerBehavior::Respond, 2_000, &mut calls);
        let from = harness.now;
        let mut attempts = run_calls(&mut harness, servers, 10_000, &mut calls);
        attempts.extend(run_calls(
            &mut harness,
            ServerBehavior::Respond,
            5_000,
            &mut calls,
        ));
        let gap = longest_gap(from, &attempts, harness.now);
        assert!(
            gap < MAX_REJECTION_MS / 2,
            "{gap} ms with no attempt while servers {name}"
        );
    }
}

/// Once servers have recovered from an outage, calls must be served again: the failures of the
/// outage must not keep the node rejecting them.
#[test]
fn calls_are_served_soon_after_an_outage() {
    for (name, servers) in FAILURES {
        let mut harness = two_caches();
        let mut calls = 0;
        run_calls(&mut harness, servers, 10_000, &mut calls);
        let before = served_reads(&harness);
        run_calls(
            &mut harness,
            ServerBehavior::Respond,
            MAX_REJECTION_MS,
            &mut calls,
        );
        let served = served_reads(&harness) - before;
        let reads = MAX_REJECTION_MS / CALL_INTERVAL_MS / 2;
        assert!(
            served * 2 > reads as u64,
            "{served} of {reads} reads served after servers {name}"
        );
    }
}

// A client may leave while its call is in flight, and come again with the same call. Servers can't
// tell a repeat of a call that must not run twice.
#[test]
fn id_that_may_have_been_executed_is_not_sent_again() {
    let (mut harness, client) = Harness::builder().with_call_in_flight("book", 400);
    harness.report("disconnect", |reducer, now| {
        reducer.on_client_disconnected(now, client)
    });
    let again = harness.add_client();
    harness.call(again, "book", "c1", 400);
    harness.advance(10_000);
    harness.call(again, "book", "c1", 400);
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 connected 2
        0   write 2: c1, time_left 397
        0 disconnect
        0   close upstream 2
        0 call c1
        0   answer 3: plain
        10000 call c1
        10000   connect 4 to 1
    "#]]
    .assert_eq(&harness.trace);
}

// What that is not to prevent: a retry of a call that provably never ran.
#[test]
fn id_that_has_not_been_executed_may_come_again() {
    let (mut harness, client) = Harness::builder().with_call_in_flight("book", 400);
    harness.respond("full", 2, failure(Outcome::Overloaded));
    harness.connect(3);
    harness.respond("full", 3, failure(Outcome::Overloaded));
    harness.respond("full", 3, failure(Outcome::Overloaded));
    harness.call(client, "book", "c1", 400);
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 connected 2
        0   write 2: c1, time_left 397
        0 full
        0   connect 3 to 9
        0 connected 3
        0   write 3: c1, time_left 397
        0 full
        0   write 3: c1, time_left 397
        0 full
        0   answer 1: RateLimited(None)
        0 call c1
        0   write 3: c1, time_left 397
    "#]]
    .assert_eq(&harness.trace);
}
