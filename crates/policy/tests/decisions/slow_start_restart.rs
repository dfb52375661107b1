//! A cache that starts cold when most others vanish, or that restarts repeatedly: responses that
//! many caches achieved together must not give it credit.
use quartzhub_policy::{Endpoint, EndpointState, Pcg, ServerIndex, Time};

use crate::fleet::{max_within_a_second, Fleet};

const SERVER_IDS: [&str; 14] = [
    "o", "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m",
];
/// Number of caches before most of them vanish.
const CACHES: usize = 12;
/// Server index of the cache that starts cold.
const COLD_CACHE: usize = CACHES + 1;
/// Reads per second of all nodes together.
const READS_PER_SECOND: f64 = 600.0;
/// Time at which all but the remaining caches vanish and the cold one starts, in milliseconds.
const VANISH_AT_MS: f64 = 3_000.0;
const END_AT_MS: f64 = VANISH_AT_MS + 3_000.0;

fn ready(server: usize, started: Option<f64>) -> Endpoint<'static> {
    Endpoint {
        server: ServerIndex(server),
        id: SERVER_IDS[server],
        zone: 0,
        kind: u32::from(server == 0),
        cell: 0,
        state: EndpointState::Ready,
        scale: 1.0,
        started: started.map(Time::from_ms),
    }
}

/// Returns the largest number of reads within one second that `nodes` nodes send to the cold cache
/// if only `remaining` of the other caches stay, and if it restarts every `restart_every_ms`.
fn max_sent(nodes: usize, remaining: usize, restart_every_ms: Option<usize>) -> usize {
    let mut rng = Pcg::new(nodes as u64);
    let all: Vec<_> = (0..=CACHES).map(|server| ready(server, None)).collect();
    let mut fleet = Fleet::new((0..nodes).map(|i| i as u64 + 1), &all);
    let cold_attempt = format!("-> server {COLD_CACHE} ");
    let mut sent = Vec::new();
    let mut now = 0.0;
    while now < END_AT_MS {
        now += 1.0;
        let at = Time::from_ms(now);
        let started = ready(COLD_CACHE, Some(now));
        let since_vanished = now - VANISH_AT_MS;
        for node in 0..fleet.len() {
            if now == VANISH_AT_MS {
                let mut left = all[..=remaining].to_vec();
                left.push(started);
                fleet.update_list(node, at, true, &left);
            }
            let restarts = restart_every_ms.is_some_and(|every| {
                since_vanished > 0.0 && (since_vanished as usize).is_multiple_of(every)
            });
            if restarts {
                fleet.update_list(node, at, false, &[started]);
            }
            if (now as usize + node).is_multiple_of(20) {
                fleet.tick(node, at);
            }
            if rng.unit() >= READS_PER_SECOND / 1000.0 / nodes as f64 {
                continue;
            }
            let key = format!("key-{}", (rng.unit() * 1000.0) as u64);
            if fleet.read(node, at, &key).contains(&cold_attempt) {
                sent.push(now);
            }
        }
    }
    max_within_a_second(&sent)
}

/// A cache's capacity is twice its share of the traffic, 0.3 of that when cold; it fails at three
/// times its capacity.
#[test]
fn cold_cache_is_not_overloaded_when_most_others_vanish() {
    let max_load = 3.0 * 0.3 * 2.0 * READS_PER_SECOND / CACHES as f64;
    let allowed = max_load + 2.0 * max_load.sqrt() + 2.0;
    for nodes in [1, 30, 300] {
        for remaining in [0, 1, 3] {
            let sent_within_a_second = max_sent(nodes, remaining, None);
            assert!(
                (sent_within_a_second as f64) < allowed,
                "{nodes} nodes, {remaining} others remain: {sent_within_a_second} of {allowed:.0}"
            );
        }
    }
}

/// Each restart begins a new slow start and discards the credit accumulated before.
#[test]
fn repeatedly_restarting_cache_gets_no_more_than_a_cold_one() {
    let max_load = 3.0 * 0.3 * 2.0 * READS_PER_SECOND / CACHES as f64;
    let allowed = max_load + 2.0 * max_load.sqrt() + 2.0;
    for nodes in [1, 30, 300] {
        for restart_every_ms in [50, 200, 700] {
            let sent_within_a_second = max_sent(nodes, CACHES, Some(restart_every_ms));
            assert!(
                (sent_within_a_second as f64) < allowed,
                "{nodes} nodes, restart every {restart_every_ms} ms: {sent_within_a_second} of {allowed:.0}"
            );
        }
    }
}
