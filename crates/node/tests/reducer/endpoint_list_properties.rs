//! Endpoint lists of every form, and calls among them. Guards against tables that disagree on which servers there are.
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
    /// What becomes of the upstream opened last but so many. One that is not connected yet connects, unless it breaks.
    Upstream(usize, UpstreamEvent),
    Wait(i64),
    /// Servers that are gone are released.
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
        6 => (0usize..4, event).prop_map(|(back, event)| Step::Upstream(back, event)),
        2 => (0i64..600).prop_map(Step::Wait),
        1 => Just(Step::Release),
    ]
}

/// What the lists so far say of a server.
#[derive(Default)]
struct ServerModel {
    ports: Vec<u16>,
    in_service: bool,
}

struct Run {
    harness: Harness,
    client: ClientId,
    calls: usize,
    answers: usize,
    servers: BTreeMap<&'static str, ServerModel>,
    /// Upstreams that are not closed, the newest last.
    upstreams: Vec<OpenUpstream>,
}

impl Run {
    fn start() -> Run {
        let mut harness = Harness::builder().start();
        let client = harness.client();
        let mut run = Run {
            harness,
            client,
            calls: 0,
            answers: 0,
            servers: BTreeMap::new(),
            upstreams: Vec::new(),
        };
        let listed = |(id, port)| ListedServer {
            id,
            port: Some(port),
            state: Some("in_service"),
            kind: None,
        };
        run.note_list(true, &[("a", 1), ("o", 9)].map(listed));
        run
    }

    fn note_list(&mut self, complete: bool, servers: &[ListedServer]) {
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
        let now = self.harness.at();
        match step {
            Step::List { complete, servers } => {
                self.note_list(*complete, servers);
                let entries = servers.iter().map(ListedServer::entry).collect();
                self.harness.update_list_by_entries(*complete, entries);
            }
            Step::Drain(ids) => {
                let drained = ids.iter().map(|id| ServerId::named(id)).collect();
                self.harness.reducer.on_drain_overrides(now, drained);
            }
            Step::Call(product) => {
                self.calls += 1;
                let id = format!("call-{}", self.calls);
                self.harness.send(self.client, product, &id, 400);
            }
            Step::Upstream(back, event) => self.report_upstream(now, *back, *event),
            Step::Wait(ms) => self.harness.advance(*ms),
            Step::Release => self.harness.release_gone_servers(),
        }
        self.account_for_effects();
    }

    fn report_upstream(&mut self, now: Time, back: usize, event: UpstreamEvent) {
        let Some(upstream) = self.upstreams.iter_mut().rev().nth(back) else {
            return;
        };
        let id = upstream.id;
        let was_connected = std::mem::replace(&mut upstream.is_connected, true);
        let reducer = &mut self.harness.reducer;
        match (event, was_connected) {
            (UpstreamEvent::Broken, true) => reducer.on_connection_broken(now, id),
            (UpstreamEvent::Broken, false) => reducer.on_connect_failed(now, id),
            (_, false) => reducer.on_connected(now, id),
            (UpstreamEvent::Value, true) => reducer.on_response(now, id, value("v")),
            (UpstreamEvent::Miss, true) => reducer.on_response(now, id, failure(Outcome::Miss)),
        }
        if matches!(event, UpstreamEvent::Broken) {
            self.upstreams.retain(|upstream| upstream.id != id);
        }
    }

    /// Counts answers, and checks that each new upstream goes to a server that is in service at this address.
    fn account_for_effects(&mut self) {
        self.harness.effects(true);
        for line in std::mem::take(&mut self.harness.trace).lines() {
            let words: Vec<_> = line
                .split([' ', ':'])
                .filter(|word| !word.is_empty())
                .collect();
            let number = |at: usize| words[at].parse::<u64>().expect("a number");
            match words[1] {
                "connect" => {
                    let port = number(4) as u16;
                    let is_server =
                        |server: &ServerModel| server.in_service && server.ports.contains(&port);
                    assert!(self.servers.values().any(is_server), "{line}");
                    self.upstreams.push(OpenUpstream {
                        id: UpstreamId(number(2)),
                        is_connected: false,
                    });
                }
                "close" if words[2] == "upstream" => {
                    self.upstreams.retain(|upstream| upstream.id.0 != number(3));
                }
                "answer" => self.answers += 1,
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
    // The same cases every time: a failure is repeatable.
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn whatever_lists_name_each_call_gets_one_answer_and_goes_where_the_list_says(
        steps in vec(step(), 1..60),
    ) {
        let mut run = Run::start();
        for step in &steps {
            run.step(step);
        }
        run.step(&Step::Wait(2_000));
        prop_assert_eq!(run.answers, run.calls);
        prop_assert_eq!(run.harness.reducer.open_call_count(), 0);
    }
}
