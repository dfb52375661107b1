//! Events reported to the reducer in random order.
use super::common::*;

/// A node whose clients, servers and discovery behave at random.
struct RandomRun {
    generator: Pcg,
    harness: Harness,
    /// Connected clients, and the number of responses that each has yet to get.
    pending: BTreeMap<ClientId, i64>,
    /// Open upstreams, and whether each is connected.
    upstreams: BTreeMap<UpstreamId, bool>,
    /// When each upstream had its last response, in milliseconds.
    last_responses: BTreeMap<UpstreamId, i64>,
}

/// The limits of a node that is rarely short of sockets.
const MANY_SOCKETS: &str = r#"{"memory_mb":16,"sockets":60}"#;
/// The limits of a node that is mostly short of sockets.
const FEW_SOCKETS: &str = r#"{"memory_mb":16,"sockets":34}"#;

impl RandomRun {
    fn new(seed: u64, limits: &str, reuse_delay: Span) -> RandomRun {
        RandomRun {
            generator: Pcg::new(seed),
            harness: Harness::builder()
                .limits(limits)
                .reuse_delay(reuse_delay)
                .start(),
            pending: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            last_responses: BTreeMap::new(),
        }
    }

    fn random_below(&mut self, bound: usize) -> usize {
        (self.generator.unit() * bound as f64) as usize
    }

    fn any_upstream(&mut self) -> Option<UpstreamId> {
        if self.upstreams.is_empty() {
            return None;
        }
        let index = self.random_below(self.upstreams.len());
        self.upstreams.keys().nth(index).copied()
    }

    fn any_client(&mut self) -> Option<ClientId> {
        if self.pending.is_empty() {
            return None;
        }
        let index = self.random_below(self.pending.len());
        self.pending.keys().nth(index).copied()
    }

    /// Reports one random event; `step` is the number of events before it.
    fn step(&mut self, step: usize) {
        let now = self.harness.time();
        let upstream = self.any_upstream();
        let client = self.any_client();
        match (self.random_below(12), upstream, client) {
            (0, _, _) if self.pending.len() < 8 => {
                let client = self.harness.reducer.on_client_connected(now);
                self.pending.insert(client, 0);
            }
            (1, _, Some(client)) if self.random_below(6) == 0 => {
                self.harness.reducer.on_client_disconnected(now, client);
                self.pending.remove(&client);
            }
            (1..=4, _, Some(client)) => {
                *self.pending.get_mut(&client).expect("client is connected") += 1;
                let product = ["view", "book", "none"][self.random_below(3)];
                let id = format!("{}", self.random_below(step + 5));
                self.harness.send(client, product, &id, 300);
            }
            (5..=8, Some(upstream), _) => self.report_upstream(now, upstream),
            (9, _, _) => self.update_list(step),
            (10, _, _) if self.random_below(8) == 0 => self.reload(),
            _ => {
                let ms = 5 * self.random_below(12) as i64;
                self.harness.advance(ms);
            }
        }
        let complete_writes = self.random_below(2) == 0;
        self.account_for_effects(complete_writes);
    }

    fn report_upstream(&mut self, now: Time, upstream: UpstreamId) {
        let is_connected = self.upstreams[&upstream];
        let event = self.random_below(7);
        let reducer = &mut self.harness.reducer;
        match (is_connected, event) {
            (_, 0) => {
                self.upstreams.remove(&upstream);
                reducer.on_connection_broken(now, upstream);
            }
            (false, 1) => {
                self.upstreams.remove(&upstream);
                reducer.on_local_connect_failure(now, upstream);
            }
            (false, _) => {
                self.upstreams.insert(upstream, true);
                reducer.on_connected(now, upstream);
            }
            (true, 1) => reducer.on_malformed_bytes(now, upstream),
            (true, 2) => reducer.on_partial_response(now, upstream),
            (true, 3) => reducer.on_response_paused(now, upstream),
            (true, 4) => {
                let outcome = [Outcome::Miss, Outcome::Overloaded][self.random_below(2)];
                self.respond(now, upstream, failure(outcome));
            }
            (true, _) => self.respond(now, upstream, value("v")),
        }
    }

    fn respond(&mut self, now: Time, upstream: UpstreamId, response: AttemptResponse) {
        self.last_responses.insert(upstream, self.harness.now);
        self.harness.reducer.on_response(now, upstream, response);
    }

    /// Applies settings with another time for which servers keep idle connections.
    fn reload(&mut self) {
        let keepalive = 500 * (1 + self.random_below(3));
        let settings = SETTINGS.replace(
            r#""Keepalive":1000"#,
            &format!(r#""Keepalive":{keepalive}"#),
        );
        self.harness.reload(&settings);
    }

    /// Checks that an upstream on which an attempt is written at `now` is connected and has rested.
    fn check_write(&self, line: &str, now: i64, upstream: UpstreamId) {
        assert_eq!(self.upstreams.get(&upstream), Some(&true), "{line}");
        let delay = self.harness.reducer.limits().upstream_reuse_delay;
        let rest = self
            .last_responses
            .get(&upstream)
            .map_or(delay, |response| Span::ms(now - response));
        assert!(rest >= delay, "{line}: {rest:?} after the last response");
    }

    fn update_list(&mut self, step: usize) {
        let states = ["in_service", "in_service", "terminating", "terminated"];
        let ids: Vec<_> = (0..3).map(|i| format!("s{}", i + step / 100)).collect();
        let servers: Vec<_> = ids
            .iter()
            .map(|id| {
                let port = 1 + self.random_below(3) as u16;
                (id.as_str(), port, states[self.random_below(4)])
            })
            .collect();
        self.harness.update_list(false, &servers);
    }

    /// Updates the model by the printed effects: responses sent, upstreams opened and closed.
    fn account_for_effects(&mut self, complete_writes: bool) {
        self.harness.print_effects(complete_writes);
        for line in std::mem::take(&mut self.harness.trace).lines() {
            let words: Vec<_> = line
                .split([' ', ':'])
                .filter(|word| !word.is_empty())
                .collect();
            let number = |at: usize| {
                words
                    .get(at)
                    .and_then(|word| word.parse().ok())
                    .expect("numeric id")
            };
            match words[1] {
                "connect" => {
                    self.upstreams.insert(UpstreamId(number(2)), false);
                }
                "write" => self.check_write(line, number(0) as i64, UpstreamId(number(2))),
                "close" if words[2] == "upstream" => {
                    self.upstreams.remove(&UpstreamId(number(3)));
                }
                "answer" => {
                    if let Some(pending) = self.pending.get_mut(&ClientId(number(2))) {
                        *pending -= 1;
                        assert!(*pending >= 0, "more responses than commands");
                    }
                }
                _ => {}
            }
        }
    }
}

/// Plays random events. Each command of a client that stays connected gets one response, nothing is
/// written on an upstream that is not connected or has not rested, and in the end no call and no
/// upstream is left open.
fn play(seed: u64, limits: &str, reuse_delay: Span) {
    let mut run = RandomRun::new(seed, limits, reuse_delay);
    for step in 0..400 {
        run.step(step);
    }
    run.harness.advance(2_000);
    run.account_for_effects(false);
    let RandomRun {
        harness,
        pending,
        upstreams,
        ..
    } = run;
    assert!(
        pending.values().all(|pending| *pending == 0),
        "seed {seed}: {pending:?} responses pending"
    );
    assert_eq!(harness.reducer.open_call_count(), 0, "seed {seed}");
    assert!(upstreams.is_empty(), "seed {seed}: {upstreams:?} open");
}

#[test]
fn any_event_order_yields_one_response_and_leaves_no_state() {
    for seed in 0..150 {
        play(seed, MANY_SOCKETS, Span::ZERO);
    }
}

/// A late duplicate of a response is taken for another's if its upstream is written on before.
#[test]
fn any_event_order_lets_upstreams_rest_after_a_response() {
    for seed in 0..150 {
        play(seed, MANY_SOCKETS, Span::ms(10));
        play(seed, FEW_SOCKETS, Span::ms(10));
    }
}
