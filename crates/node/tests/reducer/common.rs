//! A harness that drives the reducer without sockets and prints its effects.
pub use std::collections::BTreeMap;

pub use bytes::Bytes;
pub use expect_test::expect;
pub use quartzhub_membership::ServerId;
pub use quartzhub_node::attempt_response::AttemptResponse;
pub use quartzhub_node::config::{Config, EndpointListUpdate, Environment};
pub use quartzhub_node::reducer::{
    AcceptCapacity, ClientId, Effect, Reducer, Request, RequestAttributes, Response, UpstreamId,
};
pub use quartzhub_policy::{Outcome, Pcg, Span, Time};

use super::trace::describe;

pub const SETTINGS: &str = r#"{"Kinds":["box","origin"],"Extra":{"Mode":"aside","OriginKind":1},
    "Caps":{"MostShots":3,"MayDuplicate":true,"Cancelling":true,"ConnectTimeout":100,"Keepalive":1000},
    "Products":[{"Name":"view","Effect":"idempotent","LatencySlo":100,"ClientTimeout":500},
                {"Name":"book","Effect":"at_most_once","LatencySlo":100,"ClientTimeout":500},
                {"Name":"put","Effect":"deduplicated","Window":200,"LatencySlo":100,"ClientTimeout":500}]}"#;

/// A reducer, the time of its clock in milliseconds, and the effects printed so far.
pub struct Harness {
    pub reducer: Reducer,
    pub now: i64,
    pub trace: String,
}

/// How a harness starts: with a cache `a` and an origin `o`, and with an API call if the test begins with one.
pub struct HarnessBuilder {
    limits: String,
    settings: String,
    reuse_delay: Span,
}

impl HarnessBuilder {
    /// Limits of the configuration, as JSON.
    pub fn limits(mut self, limits: &str) -> HarnessBuilder {
        self.limits = limits.to_owned();
        self
    }

    pub fn settings(mut self, settings: &str) -> HarnessBuilder {
        self.settings = settings.to_owned();
        self
    }

    /// How long an upstream is idle before it is used again.
    pub fn reuse_delay(mut self, reuse_delay: Span) -> HarnessBuilder {
        self.reuse_delay = reuse_delay;
        self
    }

    pub fn start(self) -> Harness {
        let HarnessBuilder {
            limits, settings, ..
        } = &self;
        let text = format!(
            r#"{{"listen":"127.0.0.1:1","seed":"5","limits":{limits},"settings":{settings}}}"#
        );
        let mut config = Config::parse(&text, Environment::default()).expect("a configuration");
        config.limits.upstream_reuse_delay = self.reuse_delay;
        let mut harness = Harness {
            reducer: Reducer::new(&config),
            now: 0,
            trace: String::new(),
        };
        harness.reducer.start(Time(0));
        harness.update_list(true, &[("a", 1, "in_service"), ("o", 9, "in_service")]);
        harness.trace.clear();
        harness
    }

    /// Starts with a client, 1, and its API call `c1`.
    pub fn with_call(self, product: &str, wait: i64) -> (Harness, ClientId) {
        let mut harness = self.start();
        let client = harness.client();
        harness.call(client, product, "c1", wait);
        (harness, client)
    }

    /// The same, with the call written on upstream 2.
    pub fn with_call_in_flight(self, product: &str, wait: i64) -> (Harness, ClientId) {
        let (mut harness, client) = self.with_call(product, wait);
        harness.connect(2);
        (harness, client)
    }

    /// The same, with the call answered by the value `v`; the trace says `what` then.
    pub fn with_served_call(self, product: &str, wait: i64, what: &str) -> (Harness, ClientId) {
        let (mut harness, client) = self.with_call_in_flight(product, wait);
        harness.respond(what, 2, value("v"));
        (harness, client)
    }
}

impl Harness {
    /// Upstreams are used again at once, but for the tests that are about it, so that traces stay short.
    pub fn builder() -> HarnessBuilder {
        HarnessBuilder {
            limits: "{}".to_owned(),
            settings: SETTINGS.to_owned(),
            reuse_delay: Span::ZERO,
        }
    }

    pub fn at(&mut self) -> Time {
        Time(self.now * 1000)
    }

    /// Lets time pass in steps of the policy's timer, as sockets would.
    pub fn advance(&mut self, ms: i64) {
        let end = self.now + ms;
        while self.now < end {
            self.now = (self.now + 5).min(end);
            let now = self.at();
            self.reducer.on_timer(now);
            self.effects(false);
        }
    }

    /// Lets so much time pass that the policy releases the servers that are gone.
    pub fn release_gone_servers(&mut self) {
        for _ in 0..3 {
            self.now += 31_000;
            let now = self.at();
            self.reducer.on_timer(now);
        }
    }

    pub fn update_list(&mut self, full: bool, servers: &[(&str, u16, &str)]) {
        let entry = |(id, port, state): &(&str, u16, &str)| {
            let kind = if *id == "o" { "origin" } else { "box" };
            format!(
                r#"{{"id":"{id}","addr":"127.0.0.1:{port}","kind":"{kind}","state":"{state}"}}"#
            )
        };
        self.update_list_by_entries(full, servers.iter().map(entry).collect());
    }

    /// Names servers, and no address of theirs.
    pub fn update_list_without_addresses(&mut self, servers: &[(&str, &str)]) {
        let entry = |(id, state): &(&str, &str)| format!(r#"{{"id":"{id}","state":"{state}"}}"#);
        self.update_list_by_entries(false, servers.iter().map(entry).collect());
    }

    pub fn update_list_by_entries(&mut self, full: bool, entries: Vec<String>) {
        let text = format!(
            r#"{{"version":1,"full":{full},"servers":[{}]}}"#,
            entries.join(",")
        );
        let news: EndpointListUpdate = serde_json::from_str(&text).expect("a list");
        let now = self.at();
        self.reducer.on_endpoint_list(now, &news, |_| None);
        self.effects(true);
    }

    pub fn client(&mut self) -> ClientId {
        let now = self.at();
        self.reducer.on_client_connected(now)
    }

    /// Makes an API call without printing anything.
    pub fn send(&mut self, client: ClientId, product: &str, id: &str, wait: i64) {
        self.make_call(client, product, id, wait, None);
    }

    /// Makes a write with the mark by which servers know a repeat.
    pub fn write(&mut self, client: ClientId, id: &str, wait: i64) {
        self.make_call(client, "put", id, wait, Some(Bytes::from_static(b"new")));
        self.note(&format!("put {id}"));
    }

    fn make_call(
        &mut self,
        client: ClientId,
        product: &str,
        id: &str,
        wait: i64,
        value: Option<Bytes>,
    ) {
        let mark = value.is_some();
        let request = Request {
            key: "k".into(),
            id: id.into(),
            attributes: format!("c={product}"),
            value,
        };
        let facts = RequestAttributes {
            product: Some(product),
            time_left: Span::ms(wait),
            has_idempotency_key: mark,
            ..RequestAttributes::default()
        };
        let now = self.at();
        self.reducer.on_call(now, client, request, facts);
    }

    /// Makes an API call, and prints it.
    pub fn call(&mut self, client: ClientId, product: &str, id: &str, wait: i64) {
        self.send(client, product, id, wait);
        self.note(&format!("call {id}"));
    }

    /// The upstream of this number is up.
    pub fn connect(&mut self, upstream: u64) {
        self.report(&format!("up {upstream}"), |reducer, now| {
            reducer.on_connected(now, UpstreamId(upstream))
        });
    }

    /// The upstream of this number has answered.
    pub fn respond(&mut self, what: &str, upstream: u64, response: AttemptResponse) {
        self.report(what, |reducer, now| {
            reducer.on_response(now, UpstreamId(upstream), response)
        });
    }

    /// The upstream of this number has broken.
    pub fn disconnect(&mut self, what: &str, upstream: u64) {
        self.report(what, |reducer, now| {
            reducer.on_connection_broken(now, UpstreamId(upstream))
        });
    }

    /// Makes a report to the reducer, and prints what it is.
    pub fn report(&mut self, what: &str, report: impl FnOnce(&mut Reducer, Time)) {
        let now = self.at();
        report(&mut self.reducer, now);
        self.note(what);
    }

    pub fn note(&mut self, what: &str) {
        self.trace += &format!("{} {what}\n", self.now);
        self.effects(true);
    }

    /// Prints the effects; `written`: each write is done at once.
    pub fn effects(&mut self, written: bool) {
        while let Some(effect) = self.reducer.next_effect() {
            if let (Effect::Write { upstream, .. }, true) = (&effect, written) {
                self.reducer.on_written(*upstream);
            }
            self.trace += &format!("{}   {}\n", self.now, describe(effect));
        }
    }
}

/// An answer with a value.
pub fn value(text: &str) -> AttemptResponse {
    AttemptResponse {
        outcome: Outcome::Success,
        value: Some(text.as_bytes().to_vec()),
        reusable: true,
    }
}

/// An answer without a value.
pub fn failure(outcome: Outcome) -> AttemptResponse {
    AttemptResponse {
        outcome,
        value: None,
        reusable: true,
    }
}
