//! The reducer without sockets: what it asks for, as a short printed trace.
use std::collections::BTreeMap;

use expect_test::expect;
use quartzhub_members::Server as Name;
use quartzhub_node::caches::Answer;
use quartzhub_node::config::{Config, Environment, News};
use quartzhub_node::reducer::{ClientId, Effect, Facts, LinkId, Reducer, Room, Said, Words};
use quartzhub_policy::{Outcome, Pcg, Span, Time};

const SETTINGS: &str = r#"{"Kinds":["box","origin"],"Extra":{"Mode":"aside","OriginKind":1},
    "Caps":{"MostShots":3,"MayDuplicate":true,"Cancelling":true,"ConnectTimeout":100,"Keepalive":1000},
    "Products":[{"Name":"view","Effect":"idempotent","LatencySlo":100,"ClientTimeout":500},
                {"Name":"book","Effect":"at_most_once","LatencySlo":100,"ClientTimeout":500},
                {"Name":"put","Effect":"deduplicated","LatencySlo":100,"ClientTimeout":500}]}"#;

struct Rig {
    reducer: Reducer,
    now: i64,
    trace: String,
}

impl Rig {
    fn new(limits: &str) -> Rig {
        let text =
            format!(r#"{{"listen":"127.0.0.1:1","seed":"5","limits":{limits},"settings":{SETTINGS}}}"#);
        let config = Config::parse(&text, Environment::default()).expect("a configuration");
        let mut rig = Rig { reducer: Reducer::new(&config), now: 0, trace: String::new() };
        rig.reducer.start(Time(0));
        rig.list(true, &[("a", 1, "in_service"), ("o", 9, "in_service")]);
        rig.trace.clear();
        rig
    }

    fn at(&mut self) -> Time {
        Time(self.now * 1000)
    }

    /// Lets time pass in steps of the module's timer, as sockets would.
    fn pass(&mut self, ms: i64) {
        let end = self.now + ms;
        while self.now < end {
            self.now = (self.now + 5).min(end);
            let now = self.at();
            self.reducer.due(now);
            self.effects(false);
        }
    }

    fn list(&mut self, full: bool, servers: &[(&str, u16, &str)]) {
        let entry = |(id, port, state): &(&str, u16, &str)| {
            let kind = if *id == "o" { "origin" } else { "box" };
            format!(r#"{{"id":"{id}","addr":"127.0.0.1:{port}","kind":"{kind}","state":"{state}"}}"#)
        };
        let servers: Vec<_> = servers.iter().map(entry).collect();
        let text = format!(r#"{{"version":1,"full":{full},"servers":[{}]}}"#, servers.join(","));
        let news: News = serde_json::from_str(&text).expect("a list");
        let now = self.at();
        self.reducer.list(now, &news, true, |_| None);
        self.effects(true);
    }

    fn client(&mut self) -> ClientId {
        let now = self.at();
        self.reducer.client_came(now)
    }

    fn ask(&mut self, client: ClientId, product: &str, id: &str, wait: i64) {
        let words = Words { key: "k".into(), id: id.into(), facts: format!("c={product}"), value: None };
        let facts = Facts { product: Some(product), wait: Span::ms(wait), ..Facts::default() };
        let now = self.at();
        self.reducer.call(now, client, words, facts);
    }

    fn call(&mut self, client: ClientId, product: &str, id: &str, wait: i64) {
        self.ask(client, product, id, wait);
        self.note(&format!("call {id}"));
    }

    fn tell(&mut self, what: &str, report: impl FnOnce(&mut Reducer, Time)) {
        let now = self.at();
        report(&mut self.reducer, now);
        self.note(what);
    }

    fn note(&mut self, what: &str) {
        self.trace += &format!("{} {what}\n", self.now);
        self.effects(true);
    }

    /// Prints the effects; `written`: each write is done at once.
    fn effects(&mut self, written: bool) {
        while let Some(effect) = self.reducer.next_effect() {
            let line = match effect {
                Effect::Connect { link, to, .. } => format!("connect {} to {}", link.0, to.port()),
                Effect::Write { link, words, wait } => {
                    if written {
                        self.reducer.written(link);
                    }
                    format!("write {}: {}, wait {}", link.0, words.id, wait.as_ms())
                }
                Effect::CloseLink { link } => format!("close link {}", link.0),
                Effect::Answer { client, said: Said::Fulfilled(value) } => {
                    format!("answer {}: {}", client.0, String::from_utf8_lossy(&value))
                }
                Effect::Answer { client, said: Said::Plain(_) } => format!("answer {}: plain", client.0),
                Effect::Answer { client, said } => format!("answer {}: {said:?}", client.0),
                Effect::CloseClient { client, quiet: Span::ZERO } => format!("close client {}", client.0),
                Effect::CloseClient { client, quiet } => {
                    format!("close client {} after {} ms of silence", client.0, quiet.as_ms())
                }
                Effect::CutClient { client } => format!("cut client {}", client.0),
            };
            self.trace += &format!("{}   {line}\n", self.now);
        }
    }
}

fn value(text: &str) -> Answer {
    Answer { outcome: Outcome::Fulfilled, value: Some(text.as_bytes().to_vec()), reusable: true }
}

fn bare(outcome: Outcome) -> Answer {
    Answer { outcome, value: None, reusable: true }
}

#[test]
fn a_miss_goes_to_the_origin_and_links_are_used_again_until_idle_too_long() {
    let mut rig = Rig::new("{}");
    let client = rig.client();
    rig.call(client, "view", "c1", 400);
    rig.tell("up 2", |r, now| r.connected(now, LinkId(2)));
    rig.tell("miss", |r, now| r.answered(now, LinkId(2), bare(Outcome::Miss)));
    rig.tell("up 3", |r, now| r.connected(now, LinkId(3)));
    rig.tell("value", |r, now| r.answered(now, LinkId(3), value("v")));
    rig.call(client, "view", "c2", 400);
    rig.tell("hit", |r, now| r.answered(now, LinkId(2), value("w")));
    rig.pass(900);
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 up 2
        0   write 2: c1, wait 397
        0 miss
        0   connect 3 to 9
        0 up 3
        0   write 3: c1, wait 397
        0 value
        0   answer 1: v
        0 call c2
        0   write 2: c2, wait 397
        0 hit
        0   answer 1: w
        800   close link 2
        800   close link 3
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn answers_keep_the_order_of_the_commands() {
    let mut rig = Rig::new("{}");
    let client = rig.client();
    rig.call(client, "view", "c1", 400);
    rig.call(client, "view", "c2", 400);
    rig.tell("ping", |r, now| r.plain(now, client, b"+PONG\r\n".to_vec()));
    rig.tell("up 2", |r, now| r.connected(now, LinkId(2)));
    rig.tell("up 3", |r, now| r.connected(now, LinkId(3)));
    rig.tell("second", |r, now| r.answered(now, LinkId(3), value("2")));
    rig.tell("first", |r, now| r.answered(now, LinkId(2), value("1")));
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 call c2
        0   connect 3 to 1
        0 ping
        0 up 2
        0   write 2: c1, wait 397
        0 up 3
        0   write 3: c2, wait 397
        0 second
        0 first
        0   answer 1: 1
        0   answer 1: 2
        0   answer 1: plain
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn a_connect_that_finishes_late_writes_nothing_for_a_call_that_ended() {
    let mut rig = Rig::new("{}");
    let client = rig.client();
    rig.call(client, "view", "c1", 400);
    rig.tell("client left", |r, now| r.client_left(now, client));
    rig.tell("up 2", |r, now| r.connected(now, LinkId(2)));
    expect![[r#"
           0 call c1
           0   connect 2 to 1
           0 client left
           0   close link 2
           0 up 2
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn a_connect_that_finishes_after_the_drain_writes_nothing() {
    let mut rig = Rig::new("{}");
    let client = rig.client();
    rig.call(client, "view", "c1", 400);
    rig.list(false, &[("a", 1, "terminating"), ("b", 2, "in_service")]);
    rig.tell("up 2", |r, now| r.connected(now, LinkId(2)));
    rig.tell("up 3", |r, now| r.connected(now, LinkId(3)));
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 up 2
        0   close link 2
        0   connect 3 to 2
        0 up 3
        0   write 3: c1, wait 397
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn an_operators_order_drains_at_once_is_taken_back_and_sends_nothing_the_list_does_not_name() {
    let mut rig = Rig::new("{}");
    let client = rig.client();
    rig.list(false, &[("b", 2, "in_service")]);
    let drained = |ids: &[&str]| ids.iter().map(|id| Name::named(id)).collect();
    rig.call(client, "view", "c1", 400);
    rig.tell("a is ordered drained", |r, now| r.ordered(now, drained(&["a", "o", "elsewhere"])));
    let said = ["a", "b", "o", "elsewhere"].map(|id| rig.reducer.drainable(id));
    rig.note(&format!("{said:?}"));
    rig.tell("up 2", |r, now| r.connected(now, LinkId(2)));
    rig.tell("up 3", |r, now| r.connected(now, LinkId(3)));
    rig.note("the list says again that a is in service");
    rig.list(false, &[("a", 1, "in_service")]);
    for call in ["c2", "c3", "c4"] {
        rig.call(client, "view", call, 400);
    }
    rig.note("the list takes a out, and then the order ends: nothing goes there");
    rig.list(false, &[("a", 1, "terminating")]);
    rig.tell("no orders", |r, now| r.ordered(now, drained(&[])));
    rig.call(client, "view", "c5", 400);
    expect![[r#"
        0 call c1
        0   connect 2 to 2
        0 a is ordered drained
        0 [Ok(()), Err("no cache in service would be left"), Err("the origin can't be drained"), Err("this node's list names no such server")]
        0 up 2
        0   write 2: c1, wait 397
        0 up 3
        0 the list says again that a is in service
        0 call c2
        0   connect 3 to 2
        0 call c3
        0   connect 4 to 2
        0 call c4
        0   connect 5 to 2
        0 the list takes a out, and then the order ends: nothing goes there
        0 no orders
        0 call c5
        0   connect 6 to 2
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn only_an_unwritten_shot_is_made_again_for_a_non_idempotent_call() {
    let mut rig = Rig::new("{}");
    let client = rig.client();
    rig.call(client, "book", "c1", 400);
    rig.tell("up 2", |r, now| r.connected(now, LinkId(2)));
    rig.tell("value", |r, now| r.answered(now, LinkId(2), value("v")));
    rig.ask(client, "book", "c2", 400);
    rig.effects(false);
    rig.tell("broke unwritten", |r, now| r.broke(now, LinkId(2)));
    rig.tell("up 3", |r, now| r.connected(now, LinkId(3)));
    rig.tell("broke written", |r, now| r.broke(now, LinkId(3)));
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 up 2
        0   write 2: c1, wait 397
        0 value
        0   answer 1: v
        0   write 2: c2, wait 397
        0 broke unwritten
        0   connect 3 to 1
        0 up 3
        0   write 3: c2, wait 397
        0 broke written
        0   answer 1: Errored("failed")
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn a_shot_called_off_before_it_is_written_is_not_written() {
    let mut rig = Rig::new("{}");
    let client = rig.client();
    rig.call(client, "view", "c1", 400);
    rig.tell("up 2", |r, now| r.connected(now, LinkId(2)));
    rig.tell("hit", |r, now| r.answered(now, LinkId(2), value("v")));
    rig.ask(client, "view", "c2", 400);
    rig.tell("call c2, client left", |r, now| r.client_left(now, client));
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 up 2
        0   write 2: c1, wait 397
        0 hit
        0   answer 1: v
        0 call c2, client left
        0   close link 2
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn a_silent_server_ends_in_one_error_in_time() {
    let mut rig = Rig::new("{}");
    let client = rig.client();
    rig.call(client, "book", "c1", 300);
    rig.tell("up 2", |r, now| r.connected(now, LinkId(2)));
    rig.pass(400);
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 up 2
        0   write 2: c1, wait 297
        300   close link 2
        300   answer 1: Errored("failed")
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn what_lay_unread_while_the_node_stood_still_has_that_much_less_time() {
    let mut rig = Rig::new("{}");
    let client = rig.client();
    rig.pass(100);
    rig.now += 500;
    rig.call(client, "view", "c1", 400);
    rig.tell("due", |r, now| r.due(now));
    rig.call(client, "view", "c2", 400);
    rig.pass(20);
    rig.call(client, "view", "c3", 400);
    expect![[r#"
        600 call c1
        600   answer 1: RateLimited(None)
        600 due
        600 call c2
        600   answer 1: RateLimited(None)
        620 call c3
        620   connect 2 to 1
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn a_full_node_turns_calls_away_and_keeps_no_answer_that_it_has_no_room_for() {
    let mut rig = Rig::new(r#"{"memory_mb":16,"sockets":34}"#);
    let client = rig.client();
    for id in 0..9 {
        rig.call(client, "view", &format!("c{id}"), 400);
    }
    let big = "x".repeat(3_900_000);
    rig.tell("up 2", |r, now| r.connected(now, LinkId(2)));
    rig.tell("up 3", |r, now| r.connected(now, LinkId(3)));
    rig.tell("c1 has a value", |r, now| r.answered(now, LinkId(3), value(&big)));
    rig.tell("c0 has too large a value", |r, now| r.answered(now, LinkId(2), value(&big)));
    let trace = rig.trace.replace(&big, "...");
    expect![[r#"
        0 call c0
        0   connect 2 to 1
        0 call c1
        0   connect 3 to 1
        0 call c2
        0   connect 4 to 1
        0 call c3
        0   connect 5 to 1
        0 call c4
        0   connect 6 to 1
        0 call c5
        0   connect 7 to 1
        0 call c6
        0   connect 8 to 1
        0 call c7
        0 call c8
        0 up 2
        0   write 2: c0, wait 397
        0 up 3
        0   write 3: c1, wait 397
        0 c1 has a value
        0 c0 has too large a value
        0   answer 1: Errored("no room for the answer")
        0   answer 1: ...
    "#]]
    .assert_eq(&trace);
}

#[test]
fn at_the_end_clients_are_closed_between_answers() {
    let mut rig = Rig::new("{}");
    let (idle, busy) = (rig.client(), rig.client());
    rig.call(busy, "view", "c1", 400);
    rig.tell("up 3", |r, now| r.connected(now, LinkId(3)));
    rig.tell("stop", |r, now| r.stop(now));
    let late = rig.client();
    rig.tell("ping", |r, now| r.plain(now, late, b"+PONG\r\n".to_vec()));
    rig.tell("hit", |r, now| r.answered(now, LinkId(3), value("v")));
    assert_ne!(idle, busy);
    expect![[r#"
        0 call c1
        0   connect 3 to 1
        0 up 3
        0   write 3: c1, wait 397
        0 stop
        0   close client 1 after 100 ms of silence
        0 ping
        0   answer 4: plain
        0   close client 4 after 100 ms of silence
        0 hit
        0   answer 2: v
        0   close client 2 after 100 ms of silence
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn a_spoilt_answer_ends_its_link_and_may_have_run() {
    let mut rig = Rig::new("{}");
    let client = rig.client();
    rig.call(client, "book", "c1", 400);
    rig.tell("up 2", |r, now| r.connected(now, LinkId(2)));
    rig.tell("spoilt", |r, now| r.spoilt(now, LinkId(2)));
    rig.call(client, "view", "c2", 400);
    rig.tell("up 3", |r, now| r.connected(now, LinkId(3)));
    rig.tell("spoilt", |r, now| r.spoilt(now, LinkId(3)));
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 up 2
        0   write 2: c1, wait 397
        0 spoilt
        0   close link 2
        0   answer 1: Errored("failed")
        0 call c2
        0   connect 3 to 1
        0 up 3
        0   write 3: c2, wait 397
        0 spoilt
        0   close link 3
        0   connect 4 to 9
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn an_answer_that_begins_and_does_not_end_is_given_up_early() {
    let mut rig = Rig::new("{}");
    let client = rig.client();
    rig.call(client, "book", "c1", 400);
    rig.tell("up 2", |r, now| r.connected(now, LinkId(2)));
    rig.tell("began", |r, now| r.began(now, LinkId(2)));
    rig.pass(200);
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 up 2
        0   write 2: c1, wait 397
        0 began
        100   close link 2
        100   answer 1: Errored("failed")
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn a_link_on_which_something_comes_unasked_is_closed() {
    let mut rig = Rig::new("{}");
    let client = rig.client();
    rig.call(client, "view", "c1", 400);
    rig.tell("up 2", |r, now| r.connected(now, LinkId(2)));
    rig.tell("hit", |r, now| r.answered(now, LinkId(2), value("v")));
    rig.tell("again", |r, now| r.answered(now, LinkId(2), value("v")));
    rig.call(client, "view", "c2", 400);
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 up 2
        0   write 2: c1, wait 397
        0 hit
        0   answer 1: v
        0 again
        0   close link 2
        0 call c2
        0   connect 3 to 1
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn the_link_that_has_rested_is_used_before_the_one_just_answered_on() {
    let mut rig = Rig::new("{}");
    let client = rig.client();
    rig.call(client, "view", "c1", 400);
    rig.call(client, "view", "c2", 400);
    rig.tell("up 2", |r, now| r.connected(now, LinkId(2)));
    rig.tell("up 3", |r, now| r.connected(now, LinkId(3)));
    rig.tell("hit", |r, now| r.answered(now, LinkId(3), value("w")));
    rig.pass(10);
    rig.tell("hit", |r, now| r.answered(now, LinkId(2), value("v")));
    rig.call(client, "view", "c3", 400);
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 call c2
        0   connect 3 to 1
        0 up 2
        0   write 2: c1, wait 397
        0 up 3
        0   write 3: c2, wait 397
        0 hit
        10 hit
        10   answer 1: v
        10   answer 1: w
        10 call c3
        10   write 3: c3, wait 397
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn what_no_server_could_use_gets_an_error_and_reaches_none() {
    let mut rig = Rig::new("{}");
    let (client, other) = (rig.client(), rig.client());
    rig.call(client, "view", "c1", 400);
    rig.call(other, "view", "c1", 400);
    rig.call(other, "none", "c2", 400);
    rig.call(other, "put", "c3", 400);
    rig.tell("up 3", |r, now| r.connected(now, LinkId(3)));
    rig.tell("hit", |r, now| r.answered(now, LinkId(3), value("v")));
    rig.call(other, "view", "c1", 400);
    expect![[r#"
        0 call c1
        0   connect 3 to 1
        0 call c1
        0   answer 2: plain
        0 call c2
        0   answer 2: plain
        0 call c3
        0   answer 2: plain
        0 up 3
        0   write 3: c1, wait 397
        0 hit
        0   answer 1: v
        0 call c1
        0   write 3: c1, wait 397
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn a_server_at_the_address_of_one_that_has_gone_gets_new_links() {
    let mut rig = Rig::new("{}");
    let client = rig.client();
    rig.call(client, "view", "c1", 400);
    rig.tell("up 2", |r, now| r.connected(now, LinkId(2)));
    rig.tell("hit", |r, now| r.answered(now, LinkId(2), value("v")));
    rig.trace += "b is at the address of a, which the list does not name\n";
    rig.list(false, &[("b", 1, "in_service")]);
    rig.call(client, "view", "c2", 400);
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 up 2
        0   write 2: c1, wait 397
        0 hit
        0   answer 1: v
        b is at the address of a, which the list does not name
        0   close link 2
        0 call c2
        0   connect 3 to 1
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn servers_are_taken_up_for_ever_as_others_go() {
    let mut rig = Rig::new("{}");
    let client = rig.client();
    for round in 0..4 {
        let names: Vec<_> = (0..6000).map(|i| format!("r{round}-{i}")).collect();
        let mut servers: Vec<_> = names.iter().map(|id| (id.as_str(), 2, "terminating")).collect();
        let last = format!("last {round}");
        servers.push((&last, 100 + round, "in_service"));
        rig.list(true, &servers);
        for _ in 0..3 {
            rig.now += 31_000;
            let now = rig.at();
            rig.reducer.due(now);
        }
        rig.list(true, &[(&last, 100 + round, "in_service")]);
        rig.pass(100);
        rig.trace.clear();
        rig.call(client, "view", &format!("c{round}"), 400);
        assert!(rig.trace.contains(&format!("to {}", 100 + round)), "{}", rig.trace);
        rig.now += 31_000;
        let now = rig.at();
        rig.reducer.due(now);
        rig.pass(100);
    }
}

#[test]
fn a_silent_client_makes_room_before_one_that_has_asked() {
    let mut rig = Rig::new(r#"{"sockets":34}"#);
    let asked = rig.client();
    rig.call(asked, "view", "c1", 400);
    rig.tell("up 2", |r, now| r.connected(now, LinkId(2)));
    rig.tell("hit", |r, now| r.answered(now, LinkId(2), value("v")));
    rig.pass(300);
    let silent: Vec<_> = (0..7).map(|_| rig.client()).collect();
    rig.pass(50);
    rig.tell("one more", |r, now| assert_eq!(r.make_room(now), Room::Soon));
    assert_eq!(silent[0], ClientId(3));
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 up 2
        0   write 2: c1, wait 397
        0 hit
        0   answer 1: v
        350 one more
        350   close client 3
    "#]]
    .assert_eq(&rig.trace);
}

/// Reports in any order: each command of a client that stays gets one answer, nothing is written on a link that is not
/// up, and when all have gone nothing is left.
#[test]
fn whatever_is_reported_each_call_gets_one_answer_and_nothing_is_left() {
    for seed in 0..150 {
        let mut chance = Pcg::new(seed);
        let mut below = |most: usize| (chance.unit() * most as f64) as usize;
        let mut rig = Rig::new(r#"{"memory_mb":16,"sockets":60}"#);
        let (mut owed, mut links) = (BTreeMap::new(), BTreeMap::new());
        for step in 0..400 {
            let now = rig.at();
            let some = (!links.is_empty()).then(|| *links.keys().nth(below(links.len())).expect("a link"));
            let client = (!owed.is_empty()).then(|| *owed.keys().nth(below(owed.len())).expect("a client"));
            match (below(12), some, client) {
                (0, _, _) if owed.len() < 8 => drop(owed.insert(rig.reducer.client_came(now), 0)),
                (1, _, Some(client)) if below(6) == 0 => {
                    rig.reducer.client_left(now, client);
                    owed.remove(&client);
                }
                (1..=4, _, Some(client)) => {
                    *owed.get_mut(&client).expect("it stays") += 1;
                    rig.ask(client, ["view", "book", "none"][below(3)], &format!("{}", below(step + 5)), 300);
                }
                (5..=8, Some(link), _) => match (links[&link], below(6)) {
                    (_, 0) => {
                        links.remove(&link);
                        rig.reducer.broke(now, link);
                    }
                    (false, 1) => {
                        links.remove(&link);
                        rig.reducer.not_opened(now, link);
                    }
                    (false, _) => {
                        links.insert(link, true);
                        rig.reducer.connected(now, link);
                    }
                    (true, 1) => rig.reducer.spoilt(now, link),
                    (true, 2) => rig.reducer.began(now, link),
                    (true, 3) => {
                        rig.reducer.answered(now, link, bare([Outcome::Miss, Outcome::Full][below(2)]))
                    }
                    (true, _) => rig.reducer.answered(now, link, value("v")),
                },
                (9, _, _) => {
                    let states = ["in_service", "in_service", "terminating", "terminated"];
                    let ids: Vec<_> = (0..3).map(|i| format!("s{}", i + step / 100)).collect();
                    let servers: Vec<_> =
                        ids.iter().map(|id| (id.as_str(), 1 + below(3) as u16, states[below(4)])).collect();
                    rig.list(false, &servers);
                }
                _ => rig.pass(5 * below(12) as i64),
            }
            settle(&mut rig, &mut owed, &mut links, below(2) == 0);
        }
        rig.pass(2_000);
        settle(&mut rig, &mut owed, &mut links, false);
        assert!(owed.values().all(|owed| *owed == 0), "seed {seed}: {owed:?} answers owed");
        assert_eq!(rig.reducer.open_calls(), 0, "seed {seed}");
        assert!(links.is_empty(), "seed {seed}: {links:?} open");
    }
}

/// Takes what the effects printed into account: answers given, links opened and closed.
fn settle(
    rig: &mut Rig,
    owed: &mut BTreeMap<ClientId, i64>,
    links: &mut BTreeMap<LinkId, bool>,
    written: bool,
) {
    rig.effects(written);
    for line in std::mem::take(&mut rig.trace).lines() {
        let words: Vec<_> = line.split([' ', ':']).filter(|word| !word.is_empty()).collect();
        let number = |at: usize| words.get(at).and_then(|word| word.parse().ok()).expect("a number");
        match words[1] {
            "connect" => drop(links.insert(LinkId(number(2)), false)),
            "write" => assert_eq!(links.get(&LinkId(number(2))), Some(&true), "{line}"),
            "close" if words[2] == "link" => drop(links.remove(&LinkId(number(3)))),
            "answer" => {
                if let Some(owed) = owed.get_mut(&ClientId(number(2))) {
                    *owed -= 1;
                    assert!(*owed >= 0, "one answer too many");
                }
            }
            _ => {}
        }
    }
}

#[test]
fn of_clients_that_ask_once_and_stay_the_idlest_are_let_go() {
    let mut rig = Rig::new(r#"{"sockets":40}"#);
    for id in 0..13 {
        let client = rig.client();
        rig.call(client, "view", &format!("c{id}"), 400);
        if id == 0 {
            rig.tell("up 2", |r, now| r.connected(now, LinkId(2)));
        }
        rig.tell("hit", |r, now| r.answered(now, LinkId(2), value("v")));
        rig.pass(25);
    }
    let closed: String =
        rig.trace.lines().filter(|line| line.contains("close")).map(|line| format!("{line}\n")).collect();
    expect![[r#"
        250   close client 1
        275   close client 3
        300   close client 4
    "#]]
    .assert_eq(&closed);
}

#[test]
fn clients_sent_away_are_closed_between_answers_once_the_front_knows() {
    let mut rig = Rig::new("{}");
    rig.reducer.takes_clients();
    let (idle, busy) = (rig.client(), rig.client());
    rig.call(busy, "view", "c1", 450);
    rig.tell("up 3", |r, now| r.connected(now, LinkId(3)));
    rig.tell("out of service", |r, now| r.out_of_service(now));
    rig.tell("and again", |r, now| r.out_of_service(now));
    let front = rig.client();
    rig.tell("ping", |r, now| r.ping(now, front, b"+PONG\r\n".to_vec()));
    rig.pass(360);
    let late = rig.client();
    rig.call(late, "view", "c2", 450);
    rig.tell("value", |r, now| r.answered(now, LinkId(3), value("v")));
    rig.pass(1200);
    rig.trace += &format!("ready: {}\n", rig.reducer.is_ready());
    for client in [idle, front] {
        rig.tell("gone", |r, now| r.client_left(now, client));
    }
    rig.tell("in service", |r, now| r.in_service(now));
    rig.tell("ping", |r, now| r.ping(now, busy, b"+PONG\r\n".to_vec()));
    rig.trace += &format!("ready: {}\n", rig.reducer.is_ready());
    expect![[r#"
        0 call c1
        0   connect 3 to 1
        0 up 3
        0   write 3: c1, wait 447
        0 out of service
        0 and again
        0 ping
        0   answer 4: plain
        60   connect 5 to 9
        160   close link 5
        350   close client 4 after 100 ms of silence
        350   close client 1 after 100 ms of silence
        360 call c2
        360   connect 7 to 1
        360 value
        360   answer 2: v
        360   close client 2 after 100 ms of silence
        420   connect 8 to 9
        460   close link 7
        520   close link 8
        520   connect 9 to 9
        620   close link 9
        620   answer 6: RateLimited(None)
        620   close client 6 after 100 ms of silence
        1160   close link 3
        1500   close client 1
        1500   close client 6
        1500   close client 4
        1500   close client 2
        ready: false
        1560 gone
        1560 gone
        1560 in service
        1560 ping
        1560   answer 2: plain
        1560   close client 2
        ready: true
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn figures_count_answers_where_they_are_owed_and_shots_once_written() {
    let mut rig = Rig::new("{}");
    let told =
        |rig: &Rig| serde_json::to_string(&rig.reducer.figures(Time(rig.now * 1000))).expect("figures");
    let mut all = told(&rig) + "\n";
    let client = rig.client();
    rig.call(client, "view", "c1", 400);
    rig.tell("up", |r, now| r.connected(now, LinkId(2)));
    rig.tell("miss", |r, now| r.answered(now, LinkId(2), bare(Outcome::Miss)));
    rig.tell("up", |r, now| r.connected(now, LinkId(3)));
    all += &(told(&rig) + "\n");
    rig.tell("value", |r, now| r.answered(now, LinkId(3), value("v")));
    // The same id twice, an unknown product, one that is left by its client, and one that no shot is left for.
    rig.call(client, "view", "c2", 400);
    rig.call(client, "view", "c2", 400);
    rig.call(client, "none", "c3", 400);
    let other = rig.client();
    rig.call(other, "view", "c4", 400);
    rig.tell("left", |r, now| r.client_left(now, other));
    rig.call(client, "book", "c5", 400);
    rig.list(false, &[("a", 1, "terminating"), ("b", 2, "in_service"), ("o", 9, "terminated")]);
    rig.tell("taken", |r, _| r.configured(true));
    rig.tell("turned down", |r, _| r.configured(false));
    rig.pass(500);
    all += &(told(&rig) + "\n");
    expect![[r#"
        {"responses":{"book":{"ok":0,"shed":0,"errors":0},"put":{"ok":0,"shed":0,"errors":0},"view":{"ok":0,"shed":0,"errors":0}},"tries":0,"active":0,"pool_size":1,"pool_ejected":0,"config_applied":0,"config_rejected":0}
        {"responses":{"book":{"ok":0,"shed":0,"errors":0},"put":{"ok":0,"shed":0,"errors":0},"view":{"ok":0,"shed":0,"errors":0}},"tries":2,"active":1,"pool_size":1,"pool_ejected":0,"config_applied":0,"config_rejected":0}
        {"responses":{"book":{"ok":0,"shed":1,"errors":0},"put":{"ok":0,"shed":0,"errors":0},"view":{"ok":1,"shed":1,"errors":1}},"tries":3,"active":0,"pool_size":2,"pool_ejected":1,"config_applied":1,"config_rejected":1}
    "#]]
    .assert_eq(&all);
}

#[test]
fn open_calls_keep_the_rules_they_came_under_and_a_dropped_product_is_no_more() {
    let mut rig = Rig::new("{}");
    let settings = |products: &str, shots: usize| {
        let (caps, _) = SETTINGS.split_once(r#""Products""#).expect("products");
        let caps = caps.replace(r#""MostShots":3"#, &format!(r#""MostShots":{shots}"#));
        let text = format!(r#"{caps}"Products":[{products}]}}"#);
        quartzhub_names::settings(&serde_json::from_str(&text).expect("settings"))
    };
    let client = rig.client();
    rig.call(client, "view", "c1", 400);
    rig.call(client, "book", "c2", 400);
    let other = settings(r#"{"Name":"book","Effect":"idempotent","LatencySlo":100,"ClientTimeout":500}"#, 1);
    rig.tell("view is dropped, book may run again, one shot each", |r, now| r.retune(now, &other));
    rig.tell("up 2", |r, now| r.connected(now, LinkId(2)));
    rig.tell("up 3", |r, now| r.connected(now, LinkId(3)));
    rig.tell("miss", |r, now| r.answered(now, LinkId(2), bare(Outcome::Miss)));
    rig.tell("broken", |r, now| r.answered(now, LinkId(3), bare(Outcome::Broken)));
    rig.tell("up 4", |r, now| r.connected(now, LinkId(4)));
    rig.tell("value", |r, now| r.answered(now, LinkId(4), value("v")));
    rig.call(client, "view", "c3", 400);
    rig.call(client, "book", "c4", 400);
    rig.tell("broken", |r, now| r.answered(now, LinkId(2), bare(Outcome::Broken)));
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 call c2
        0   connect 3 to 1
        0 view is dropped, book may run again, one shot each
        0 up 2
        0   write 2: c1, wait 397
        0 up 3
        0   write 3: c2, wait 397
        0 miss
        0   connect 4 to 9
        0 broken
        0 up 4
        0   write 4: c1, wait 397
        0 value
        0   answer 1: v
        0   answer 1: Errored("failed")
        0 call c3
        0   answer 1: plain
        0 call c4
        0   write 2: c4, wait 397
        0 broken
        0   answer 1: RateLimited(None)
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn a_client_that_is_sent_a_large_value_is_not_the_one_to_make_room() {
    let mut rig = Rig::new(r#"{"sockets":32}"#);
    let taker = rig.client();
    rig.call(taker, "view", "c1", 400);
    rig.tell("up", |r, now| r.connected(now, LinkId(2)));
    rig.tell("a large value begins", |r, now| r.passes(now, LinkId(2), 100_000));
    rig.trace += &format!("active: {}\n", rig.reducer.figures(Time(0)).active);
    rig.pass(2500);
    // Others come until there is no place: none is made at the taker's cost.
    let others: Vec<_> = (0..8).map(|_| rig.client()).collect();
    let now = rig.at();
    let mut rooms = Vec::new();
    for _ in 0..3 {
        rooms.push(rig.reducer.make_room(now));
        rig.note("one more");
    }
    rig.trace += &format!("{rooms:?}\n");
    others.into_iter().for_each(|id| rig.reducer.client_left(now, id));
    rig.tell("whole", |r, now| r.passed(now, LinkId(2), true));
    rig.call(taker, "view", "c2", 400);
    rig.tell("a large value begins", |r, now| r.passes(now, LinkId(2), 100_000));
    rig.tell("broke", |r, now| r.broke(now, LinkId(2)));
    let figures = rig.reducer.figures(Time(0));
    rig.trace += &format!("active {}, {:?}\n", figures.active, figures.responses["view"]);
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 up
        0   write 2: c1, wait 397
        0 a large value begins
        0   answer 1: Passed { link: LinkId(2), size: 100000 }
        active: 1
        2500 one more
        2500 one more
        2500 one more
        [None, None, None]
        2500 whole
        2500 call c2
        2500   write 2: c2, wait 397
        2500 a large value begins
        2500   answer 1: Passed { link: LinkId(2), size: 100000 }
        2500 broke
        2500   cut client 1
        active 0, Answers { fulfilled: 1, rate_limited: 0, errored: 1 }
    "#]]
    .assert_eq(&rig.trace);
}
