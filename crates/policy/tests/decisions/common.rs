//! A node under test: passes events to the balancer and records its actions as lines of text.
use std::fmt::Write;

use expect_test::Expect;
use quartzhub_policy::{
    AttemptResult, Balancer, CallIndex, CallRequest, Endpoint, EndpointState, Outcome,
    PolicyActions, PolicyConfig, ServerIndex, Span, Time,
};
use quartzhub_settings::{policy_config, Settings, Value};

/// Records the actions of a balancer as text.
#[derive(Default)]
pub struct Trace(pub String);

impl PolicyActions for Trace {
    fn dispatch(&mut self, call: CallIndex, server: ServerIndex, deadline: Time, write_by: Time) {
        let limit = if write_by < deadline {
            format!(", written by {}", write_by.ms())
        } else {
            String::new()
        };
        let _ = writeln!(
            self.0,
            "  call {} -> server {} until {}{limit}",
            call.0,
            server.0,
            deadline.ms()
        );
    }
    fn cancel(&mut self, call: CallIndex, attempt: usize) {
        let _ = writeln!(self.0, "  call {} cancels attempt {attempt}", call.0);
    }
    fn rate_limit(&mut self, call: CallIndex, retry_after: Option<Span>) {
        let suffix = if retry_after.is_some() {
            " with Retry-After"
        } else {
            ""
        };
        let _ = writeln!(self.0, "  call {} rate-limited{suffix}", call.0);
    }
    fn fail(&mut self, call: CallIndex) {
        let _ = writeln!(self.0, "  call {} failed", call.0);
    }
    fn release_call(&mut self, _call: CallIndex) {}
    fn release_server(&mut self, server: ServerIndex) {
        let _ = writeln!(self.0, "  server {} released", server.0);
    }
    fn set_timer(&mut self, _after: Span) {}
    fn poll_endpoints(&mut self) {
        let _ = writeln!(self.0, "  polls for the endpoint list");
    }
    fn close_idle_connections(&mut self, server: ServerIndex) {
        let _ = writeln!(self.0, "  connections to server {} closed", server.0);
    }
}

/// A node under test, with a clock of its own.
pub struct Node {
    pub balancer: Balancer,
    pub trace: Trace,
    pub now: f64,
    /// The tenant of subsequent calls.
    pub tenant: usize,
}

/// Returns the configuration of the tests: product 0 is an idempotent read, 1 a deduplicated write,
/// 2 a non-idempotent write, and 3 a read whose late responses are worth nothing. `extra` adds or
/// replaces settings.
pub fn config(extra: &[(&str, Value)]) -> PolicyConfig {
    let mut map = Settings::default();
    let effects = ["idempotent", "deduplicated", "at_most_once", "idempotent"];
    for (i, effect) in effects.iter().enumerate() {
        let mut insert = |field: &str, value| map.0.insert(format!("products.{i}.{field}"), value);
        insert("effect", Value::Text(effect.to_string()));
        insert("key_scope", Value::Text("all".into()));
        insert("latency_slo", Value::Number(400.0));
        insert("client_timeout", Value::Number(2000.0));
        insert("window", Value::Number(500.0));
        insert("billed_value", Value::Number(1.0));
        insert(
            "tardy_billed_value",
            Value::Number(if i == 3 { 0.0 } else { 0.5 }),
        );
    }
    for (name, value) in [
        ("extra.mode", Value::Text("aside".into())),
        ("extra.origin_kind", Value::Number(1.0)),
        ("caps.most_shots", Value::Number(3.0)),
        ("caps.max_retry_after", Value::Number(500.0)),
        ("caps.may_duplicate", Value::Flag(true)),
        ("caps.cancelling", Value::Flag(true)),
        ("caps.retry_after", Value::Flag(true)),
        ("invariants.cold_from", Value::Number(0.3)),
        ("invariants.warm_within", Value::Number(10_000.0)),
    ] {
        map.0.insert(name.into(), value);
    }
    map.0.extend(
        extra
            .iter()
            .map(|(name, value)| (name.to_string(), value.clone())),
    );
    policy_config(&map)
}

/// Returns an entry of the endpoint list; servers 0 and 6 are origins.
pub fn endpoint(server: usize, state: EndpointState, started: Option<f64>) -> Endpoint<'static> {
    const SERVER_IDS: [&str; 8] = [
        "10.0.0.0:1",
        "10.0.0.1:1",
        "10.0.0.2:1",
        "10.0.0.3:1",
        "10.0.0.4:1",
        "10.0.0.5:1",
        "10.0.0.6:1",
        "10.0.0.7:1",
    ];
    let (kind, started) = (
        u32::from(server == 0 || server == 6),
        started.map(Time::from_ms),
    );
    Endpoint {
        server: ServerIndex(server),
        id: SERVER_IDS[server],
        zone: 0,
        kind,
        cell: 0,
        state,
        scale: 1.0,
        started,
    }
}

impl Node {
    /// Returns a node where server 0 is the origin and servers 1 to `caches` are warm caches.
    pub fn new(caches: usize, extra: &[(&str, Value)]) -> Node {
        let mut node = Node {
            balancer: Balancer::new(&config(extra), 7),
            trace: Trace::default(),
            now: 0.0,
            tenant: 0,
        };
        node.balancer.start(Time(0), &mut node.trace);
        let endpoints = (0..=caches).map(|server| endpoint(server, EndpointState::Ready, None));
        node.balancer
            .on_endpoint_list(Time(0), true, endpoints, &mut node.trace);
        node
    }
    /// Adds a line to the trace.
    pub fn note(&mut self, what: &str) {
        let _ = writeln!(self.trace.0, "{} ms: {what}", self.now);
    }
    /// Returns the current time.
    pub fn time(&self) -> Time {
        Time::from_ms(self.now)
    }
    /// Applies a complete update of the endpoint list.
    pub fn replace_list(&mut self, endpoints: &[Endpoint]) {
        self.balancer.on_endpoint_list(
            self.time(),
            true,
            endpoints.iter().copied(),
            &mut self.trace,
        );
    }
    /// Applies an update of the endpoint list that contains only the changed entries.
    pub fn update_list(&mut self, endpoints: &[Endpoint]) {
        let at = Time::from_ms(self.now);
        self.balancer
            .on_endpoint_list(at, false, endpoints.iter().copied(), &mut self.trace);
    }
    /// Makes an API call with a client timeout of two seconds.
    pub fn call(&mut self, call: usize, product: usize, key: &str, client_retry: bool) {
        self.send_call(call, product, key, client_retry, 2000);
    }
    /// Makes an API call with a client timeout of `ms` milliseconds.
    pub fn call_within(&mut self, call: usize, product: usize, key: &str, ms: i64) {
        self.send_call(call, product, key, false, ms);
    }
    fn send_call(&mut self, call: usize, product: usize, key: &str, client_retry: bool, ms: i64) {
        let write = product == 1 || product == 2;
        let request = CallRequest {
            product,
            tenant: self.tenant,
            key: Some(key),
            write,
            client_retry,
            time_left: Span::ms(ms),
        };
        self.balancer.on_call(
            Time::from_ms(self.now),
            CallIndex(call),
            request,
            &mut self.trace,
        );
    }
    /// Reports the end of an attempt; a success is the call's final response.
    pub fn end_attempt(&mut self, call: usize, attempt: usize, outcome: Outcome, latency_ms: f64) {
        let call_finished = outcome == Outcome::Success;
        let result = AttemptResult {
            attempt,
            outcome,
            latency: Span::from_ms(latency_ms),
            call_finished,
        };
        self.balancer.on_attempt_result(
            Time::from_ms(self.now),
            CallIndex(call),
            result,
            &mut self.trace,
        );
    }
    /// Advances the clock, with a tick every 20 ms.
    pub fn advance(&mut self, ms: f64) {
        let until = self.now + ms;
        while self.now + 20.0 <= until {
            self.now += 20.0;
            self.balancer
                .on_timer(Time::from_ms(self.now), &mut self.trace);
        }
        self.now = until;
    }
    /// Makes a second of reads without overload, for other keys and without a trace, so that the
    /// node has learnt response rates and response times.
    pub fn run_light_load(&mut self, from: usize) {
        let before = self.trace.0.len();
        for i in 0..50 {
            self.call(from + i, 0, &format!("calm-{i}"), false);
            self.advance(20.0);
            self.end_attempt(from + i, 0, Outcome::Success, 20.0);
        }
        self.trace.0.truncate(before);
    }
}

/// Compares the trace with the expected one.
pub fn assert_trace(node: Node, expected: Expect) {
    expected.assert_eq(&node.trace.0);
}
