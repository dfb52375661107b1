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
use quartzhub_settings::Settings;

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

impl Harness {
    pub fn time(&mut self) -> Time {
        Time(self.now * 1000)
    }

    /// Advances the clock and runs expired timers, in steps of the policy's timer.
    pub fn advance(&mut self, ms: i64) {
        let end = self.now + ms;
        while self.now < end {
            self.now = (self.now + 5).min(end);
            let now = self.time();
            self.reducer.on_timer(now);
            self.print_effects(false);
        }
    }

    /// Advances the clock until the policy has released the servers that are gone.
    pub fn release_gone_servers(&mut self) {
        for _ in 0..3 {
            self.now += 31_000;
            let now = self.time();
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
        self.update_list_from_entries(full, servers.iter().map(entry).collect());
    }

    /// Applies a partial list that names servers without their addresses.
    pub fn update_list_without_addresses(&mut self, servers: &[(&str, &str)]) {
        let entry = |(id, state): &(&str, &str)| format!(r#"{{"id":"{id}","state":"{state}"}}"#);
        self.update_list_from_entries(false, servers.iter().map(entry).collect());
    }

    pub fn update_list_from_entries(&mut self, full: bool, entries: Vec<String>) {
        let text = format!(
            r#"{{"version":1,"full":{full},"servers":[{}]}}"#,
            entries.join(",")
        );
        let update: EndpointListUpdate = serde_json::from_str(&text).expect("valid endpoint list");
        let now = self.time();
        self.reducer.on_endpoint_list(now, &update, |_| None);
        self.print_effects(true);
    }

    pub fn add_client(&mut self) -> ClientId {
        let now = self.time();
        self.reducer.on_client_connected(now)
    }

    /// Makes an API call without printing anything.
    pub fn send(&mut self, client: ClientId, product: &str, id: &str, time_left: i64) {
        self.make_call(client, product, id, time_left, None);
    }

    /// Makes a write with an idempotency key, by which servers recognize a retry, and prints it.
    pub fn write(&mut self, client: ClientId, id: &str, time_left: i64) {
        self.make_call(
            client,
            "put",
            id,
            time_left,
            Some(Bytes::from_static(b"new")),
        );
        self.note(&format!("put {id}"));
    }

    fn make_call(
        &mut self,
        client: ClientId,
        product: &str,
        id: &str,
        time_left: i64,
        value: Option<Bytes>,
    ) {
        let with_idempotency_key = value.is_some();
        let request = Request {
            key: "k".into(),
            id: id.into(),
            attributes: format!("c={product}"),
            value,
        };
        let attributes = RequestAttributes {
            product: Some(product),
            time_left: Span::ms(time_left),
            has_idempotency_key: with_idempotency_key,
            ..RequestAttributes::default()
        };
        let now = self.time();
        self.reducer.on_call(now, client, request, attributes);
    }

    /// Makes an API call, and prints it.
    pub fn call(&mut self, client: ClientId, product: &str, id: &str, time_left: i64) {
        self.send(client, product, id, time_left);
        self.note(&format!("call {id}"));
    }

    /// Reports that the upstream with this id has connected.
    pub fn connect(&mut self, upstream: u64) {
        self.report(&format!("connected {upstream}"), |reducer, now| {
            reducer.on_connected(now, UpstreamId(upstream))
        });
    }

    /// Reports a response on the upstream with this id.
    pub fn respond(&mut self, label: &str, upstream: u64, response: AttemptResponse) {
        self.report(label, |reducer, now| {
            reducer.on_response(now, UpstreamId(upstream), response)
        });
    }

    /// Reports the first bytes, or further ones, of a response on the upstream with this id.
    pub fn respond_in_part(&mut self, upstream: u64) {
        self.report("partial response", |reducer, now| {
            reducer.on_partial_response(now, UpstreamId(upstream))
        });
    }

    /// Reports bytes on the upstream with this id that no attempt awaits.
    pub fn send_unsolicited(&mut self, upstream: u64) {
        self.report("unsolicited", |reducer, now| {
            reducer.on_unsolicited_bytes(now, UpstreamId(upstream))
        });
    }

    /// Reports that the upstream with this id has broken.
    pub fn disconnect(&mut self, label: &str, upstream: u64) {
        self.report(label, |reducer, now| {
            reducer.on_connection_broken(now, UpstreamId(upstream))
        });
    }

    /// Reports an event to the reducer, and prints its label.
    pub fn report(&mut self, label: &str, event: impl FnOnce(&mut Reducer, Time)) {
        let now = self.time();
        event(&mut self.reducer, now);
        self.note(label);
    }

    /// Applies changed settings, and prints it.
    pub fn reload(&mut self, settings: &str) {
        let document = serde_json::from_str(settings).expect("valid JSON");
        let settings = Settings::from_document(&document);
        self.report("reload", |reducer, now| reducer.reconfigure(now, &settings));
    }

    pub fn note(&mut self, label: &str) {
        self.trace += &format!("{} {label}\n", self.now);
        self.print_effects(true);
    }

    /// Prints the queued effects. With `complete_writes`, each write is reported as complete.
    pub fn print_effects(&mut self, complete_writes: bool) {
        while let Some(effect) = self.reducer.next_effect() {
            if let (Effect::Write { upstream, .. }, true) = (&effect, complete_writes) {
                self.reducer.on_written(*upstream);
            }
            self.trace += &format!("{}   {}\n", self.now, describe(effect));
        }
    }
}

/// Returns a successful response with a value.
pub fn value(text: &str) -> AttemptResponse {
    AttemptResponse {
        outcome: Outcome::Success,
        value: Some(text.as_bytes().to_vec()),
        reusable: true,
    }
}

/// Returns a response without a value, and with this outcome.
pub fn failure(outcome: Outcome) -> AttemptResponse {
    AttemptResponse {
        outcome,
        value: None,
        reusable: true,
    }
}
