//! Property test with random endpoint lists and calls in between. It fails if the tables of the
//! node disagree on which servers exist.
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;

use super::common::*;

const IDS: [&str; 6] = ["a", "b", "c", "d", "e", "o"];
const PORTS: [u16; 4] = [1, 2, 3, 9];
const STATES: [&str; 4] = ["in_service", "terminating", "terminated", "unheard_of"];
const KINDS: [&str; 3] = ["box", "origin", "unheard_of"];
const PRODUCTS: [&str; 3] = ["view", "book", "none"];

#[derive(Debug, Clone)]
struct ListedServer {
    id: &'static str,
    port: Option<u16>,
    state: Option<&'static str>,
    kind: Option<&'static str>,
}

#[derive(Debug, Clone)]
enum Step {
    List {
        complete: bool,
        servers: Vec<ListedServer>,
    },
    Drain(Vec<&'static str>),
    Call(&'static str),
    /// An event of the open upstream at this position, counted from the newest. An upstream that is
    /// not connected yet connects, unless it breaks.
    Upstream(usize, UpstreamEvent),
    Advance(i64),
    /// Time passes until servers that are gone are released.
    Release,
}

#[derive(Debug, Clone, Copy)]
enum UpstreamEvent {
    Value,
    Miss,
    Broken,
}

#[derive(Debug, Clone, Copy)]
struct OpenUpstream {
    id: UpstreamId,
    is_connected: bool,
}

fn one_of<T: Copy + std::fmt::Debug + 'static>(values: &'static [T]) -> impl Strategy<Value = T> {
    proptest::sample::select(values)
}

fn listed_server() -> impl Strategy<Value = ListedServer> {
    let port = option::weighted(0.7, one_of(&PORTS));
    let state = option::weighted(0.9, one_of(&STATES));
    let kind = option::weighted(0.6, one_of(&KINDS));
    (one_of(&IDS), port, state, kind).prop_map(|(id, port, state, kind)| ListedServer {
        id,
        port,
        state,
        kind,
    })
}

fn step() -> impl Strategy<Value = Step> {
    use UpstreamEvent::*;
    let event = one_of(&[Value, Miss, Broken]);
    prop_oneof![
        3 => (any::<bool>(), vec(listed_server(), 0..6))
            .prop_map(|(complete, servers)| Step::List { complete, servers }),
        1 => vec(one_of(&IDS), 0..4).prop_map(Step::Drain),
        4 => one_of(&PRODUCTS).prop_map(Step::Call),
        6 => (0usize..4, event).prop_map(|(position, event)| Step::Upstream(position, event)),
        2 => (0i64..600).prop_map(Step::Advance),
        1 => Just(Step::Release),
    ]
}

/// What the lists so far have reported about a server.
#[derive(Default)]
struct ServerModel {
    ports: Vec<u16>,
    in_service: bool,
}

struct Run {
    harness: Harness,
    client: ClientId,
    calls: usize,
    responses: usize,
    servers: BTreeMap<&'static str, ServerModel>,
    /// Upstreams that are not closed, the newest last.
    upstreams: Vec<OpenUpstream>,
}

impl Run {
    fn start() -> Run {
        let mut harness = Harness::builder().start();
        let client = harness.add_client();
        let mut run = Run {
            harness,
            client,
            calls: 0,
            responses: 0,
            servers: BTreeMap::new(),
            upstreams: Vec::new(),
        };
        let listed = |(id, port)| ListedServer {
            id,
            port: Some(port),
            state: Some("in_service"),
            kind: None,
        };
        run.record_list(true, &[("a", 1), ("o", 9)].map(listed));
        run
    }

    fn record_list(&mut self, complete: bool, servers: &[ListedServer]) {
        if complete {
            self.servers
                .values_mut()
                .for_each(|server| server.in_service = false);
        }
        for listed in servers {
            let server = self.servers.entry(listed.id).or_default();
            server.in_service = listed.state == Some("in_service");
            server.ports.extend(listed.port);
        }
    }

    fn step(&mut self, step: &Step) {
        let now = self.harness.time();
        match step {
            Step::List { complete, servers } => {
                self.record_list(*complete, servers);
                let entries = servers.iter().map(ListedServer::entry).collect();
                self.harness.update_list_from_entries(*complete, entries);
            }
            Step::Drain(ids) => {
                let drained = ids
                    .iter()
                    .map(|id| ServerId::from_endpoint_id(id))
                    .collect();
                self.harness.reducer.on_drain_overrides(now, drained);
            }
            Step::Call(product) => {
                self.calls += 1;
                let id = format!("call-{}", self.calls);
                self.harness.send(self.client, product, &id, 400);
            }
            Step::Upstream(position, event) => self.report_upstream(now, *position, *event),
            Step::Advance(ms) => self.harness.advance(*ms),
            Step::Release => self.harness.release_gone_servers(),
        }
        self.account_for_effects();
    }

    fn report_upstream(&mut self, now: Time, position: usize, event: UpstreamEvent) {
        let Some(upstream) = self.upstreams.iter_mut().rev().nth(position) else {
            return;
        };
        let id = upstream.id;
        let was_connected = std::mem::replace(&mut upstream.is_connected, true);
        let reducer = &mut self.harness.reducer;
        match (event, was_connected) {
            (UpstreamEvent::Broken, true) => reducer.on_connection_broken(now, id),
            (UpstreamEvent::Broken, false) => reducer.on_local_connect_failure(now, id),
            (_, false) => reducer.on_connected(now, id),
            (UpstreamEvent::Value, true) => reducer.on_response(now, id, value("v")),
            (UpstreamEvent::Miss, true) => reducer.on_response(now, id, failure(Outcome::Miss)),
        }
        if matches!(event, UpstreamEvent::Broken) {
            self.upstreams.retain(|upstream| upstream.id != id);
        }
    }

    /// Counts the responses, and checks that each new upstream goes to the address of a server that
    /// is in service.
    fn account_for_effects(&mut self) {
        self.harness.print_effects(true);
        for line in std::mem::take(&mut self.harness.trace).lines() {
            let words: Vec<_> = line
                .split([' ', ':'])
                .filter(|word| !word.is_empty())
                .collect();
            let number = |at: usize| words[at].parse::<u64>().expect("number in the trace");
            match words[1] {
                "connect" => {
                    let port = number(4) as u16;
                    let is_in_service_at_port =
                        |server: &ServerModel| server.in_service && server.ports.contains(&port);
                    assert!(self.servers.values().any(is_in_service_at_port), "{line}");
                    self.upstreams.push(OpenUpstream {
                        id: UpstreamId(number(2)),
                        is_connected: false,
                    });
                }
                "close" if words[2] == "upstream" => {
                    self.upstreams.retain(|upstream| upstream.id.0 != number(3));
                }
                "answer" => self.responses += 1,
                _ => {}
            }
        }
    }
}

impl ListedServer {
    fn entry(&self) -> String {
        let field = |name: &str, value: Option<String>| {
            value.map_or(String::new(), |value| format!(r#","{name}":"{value}""#))
        };
        let text = |value: Option<&str>| value.map(str::to_owned);
        let address = self.port.map(|port| format!("127.0.0.1:{port}"));
        format!(
            r#"{{"id":"{}"{}{}{}}}"#,
            self.id,
            field("addr", address),
            field("state", text(self.state)),
            field("kind", text(self.kind)),
        )
    }
}

proptest! {
    // A fixed seed, so that a failure is reproducible.
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_lists_yield_one_response_per_call_from_listed_servers(
        steps in vec(step(), 1..60),
    ) {
        let mut run = Run::start();
        for step in &steps {
            run.step(step);
        }
        run.step(&Step::Advance(2_000));
        prop_assert_eq!(run.responses, run.calls);
        prop_assert_eq!(run.harness.reducer.open_call_count(), 0);
    }
}
