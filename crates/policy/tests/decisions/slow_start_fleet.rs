//! The load that all nodes of a fleet together, each with a fraction of the traffic, put on a cold
//! cache.
use quartzhub_policy::{Balancer, EndpointState, Outcome, Pcg, Time};

use crate::common::{config, endpoint, Node};
use crate::fleet::{max_within_a_second, Fleet};

const CACHES: usize = 4;
/// Time at which cache 2 starts cold, in milliseconds.
const START_AT_MS: f64 = 2_000.0;
/// Time at which the traffic changes, in milliseconds.
const SHIFT_AT_MS: f64 = 9_000.0;
const END_AT_MS: f64 = 10_500.0;
/// Start time of cache 2 in the endpoint list, which marks it as cold.
const COLD: Option<f64> = Some(START_AT_MS);

/// How the traffic changes.
#[derive(Clone, Copy, PartialEq)]
enum Shift {
    /// At first no reads are for keys of the cold cache, then all are.
    AllKeys,
    /// Three times as many reads arrive, a quarter of them for keys of the cold cache.
    MoreReads,
}

struct Keys {
    of_cold_cache: Vec<String>,
    of_others: Vec<String>,
}

/// Returns keys grouped by the cache that they go to at first, which is the same at all nodes.
fn keys() -> Keys {
    let is_cold_cache = |key: &String| {
        let mut node = Node::new(CACHES, &[]);
        node.call(0, 0, key, false);
        node.trace.0.contains("-> server 2 ")
    };
    let (of_cold_cache, of_others) = (0..400)
        .map(|i| format!("key-{i}"))
        .partition(is_cold_cache);
    Keys {
        of_cold_cache,
        of_others,
    }
}

/// Returns the largest number of attempts at the cold cache within one second, and the allowed
/// number: one and a half times its capacity, plus twice the square root of that and two for random
/// variation.
fn max_sent_and_allowed(
    nodes: usize,
    reads_per_second: f64,
    shift: Shift,
    seed: u64,
    started: Option<f64>,
) -> (usize, f64) {
    let keys = keys();
    let mut rng = Pcg::new(seed);
    let ready = |server| endpoint(server, EndpointState::Ready, None);
    let all: Vec<_> = (0..=CACHES).map(ready).collect();
    let mut fleet = Fleet::new((0..nodes).map(|i| seed * 1000 + i as u64), &all);
    let restarted = [endpoint(2, EndpointState::Ready, started)];
    let mut sent = Vec::new();
    let mut now = 0.0;
    while now < END_AT_MS {
        now += 1.0;
        let at = Time::from_ms(now);
        let is_shifted = now >= SHIFT_AT_MS;
        let more_reads = is_shifted && shift == Shift::MoreReads;
        let factor = if more_reads { 3.0 } else { 1.0 };
        for node in 0..fleet.len() {
            if now == START_AT_MS {
                fleet.update_list(node, at, false, &restarted);
            }
            if (now as usize + node).is_multiple_of(20) {
                fleet.tick(node, at);
            }
            if rng.unit() >= factor * reads_per_second / 1000.0 / nodes as f64 {
                continue;
            }
            let is_others = match shift {
                Shift::AllKeys => !is_shifted,
                Shift::MoreReads => rng.unit() < 0.75,
            };
            let keys = if is_others {
                &keys.of_others
            } else {
                &keys.of_cold_cache
            };
            let key = &keys[(rng.unit() * keys.len() as f64) as usize];
            let trace = fleet.read(node, at, key);
            if trace.contains("-> server 2 ") && now > START_AT_MS {
                sent.push(now);
            }
        }
    }
    // A cache's capacity is twice its share of the traffic; it starts at 0.3 of that and is warm
    // after 10 s.
    let warm_ratio = 0.3 + 0.7 * (SHIFT_AT_MS - START_AT_MS) / 10_000.0;
    let max_load = 1.5 * warm_ratio * 2.0 * reads_per_second / CACHES as f64;
    (
        max_within_a_second(&sent),
        max_load + 2.0 * max_load.sqrt() + 2.0,
    )
}

/// Neither credit accumulated while a cold cache was unused nor additional reads may overload it,
/// however the same traffic is distributed over nodes.
#[test]
fn cold_cache_is_not_overloaded_by_all_nodes_together() {
    for shift in [Shift::AllKeys, Shift::MoreReads] {
        for nodes in [1, 20, 30, 60, 300] {
            for (reads_per_second, seed) in
                [(60.0, 0), (60.0, 1), (60.0, 2), (300.0, 3), (300.0, 4)]
            {
                let (max_sent, allowed) =
                    max_sent_and_allowed(nodes, reads_per_second, shift, seed, COLD);
                assert!(
                    (max_sent as f64) < allowed,
                    "{nodes} nodes, seed {seed}: {max_sent} of {allowed:.0}"
                );
            }
        }
    }
}

/// The same without slow start: shows that these tests detect an overloaded cache.
#[test]
fn without_slow_start_a_cold_cache_is_overloaded() {
    let (max_sent, allowed) = max_sent_and_allowed(30, 300.0, Shift::MoreReads, 3, None);
    assert!(max_sent as f64 > allowed, "{max_sent} of {allowed:.0}");
}

/// Of 200 nodes with two calls per second each, some must send a call to a restarted cache within
/// its first three seconds.
#[test]
fn some_nodes_with_few_calls_use_restarted_cache_immediately() {
    let keys = keys();
    let uses = |seed: u64| {
        let mut node = Node::new(CACHES, &[]);
        node.balancer = Balancer::new(&config(&[]), seed);
        node.replace_list(
            &[0, 1, 2, 3, 4].map(|server| endpoint(server, EndpointState::Ready, None)),
        );
        for (call, key) in keys.of_others.iter().take(20).enumerate() {
            node.call(call, 0, key, false);
            node.advance(500.0);
            node.end_attempt(call, 0, Outcome::Success, 20.0);
        }
        node.update_list(&[endpoint(2, EndpointState::Ready, Some(node.now))]);
        let before = node.trace.0.len();
        for (call, key) in keys.of_cold_cache.iter().take(6).enumerate() {
            node.call(100 + call, 0, key, false);
            node.advance(500.0);
            node.end_attempt(100 + call, 0, Outcome::Success, 20.0);
        }
        node.trace.0[before..].contains("-> server 2 ")
    };
    let users = (0..200).filter(|seed| uses(*seed)).count();
    assert!((20..150).contains(&users), "{users} of 200 nodes use it");
}
