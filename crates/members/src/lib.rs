//! Who of a fleet's nodes is alive, as one of them knows it: a state machine without sockets and clock. It is handed datagrams
//! and the time, and gives datagrams and the time of its next step; the same code runs in the node, in the emulator
//! and under tests. `docs/membership.md` says what it promises, and what was weighed.
pub mod limits;
pub mod orders;
pub mod sim;
mod table;
pub mod wire;

use std::collections::VecDeque;

use quartzhub_policy::{Pcg, Span, Time};
use serde::{Deserialize, Serialize};

pub use limits::{Limits, Without};
use orders::Orders;
pub use orders::{Held, Order, Refused, Server};
pub use table::{Change, Member, State};
use table::{Rumours, Table};
use wire::{Entry, Fault, Head, Kind, Packet};

/// A node's number, by its place in the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id(pub u16);

/// The greatest number that is believed: a node raises its own at a restart and to refute, not a billion times.
const MOST_NUMBER: u32 = 1 << 30;

/// Orders in the answer to a node that knows of nobody: half of a datagram.
const HELLO_ORDERS: usize = 7;

/// A datagram to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Post {
    pub to: Id,
    pub bytes: Vec<u8>,
}

/// What came, what went, and what was dropped and why.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    /// Too short, too long, of a wrong checksum, version or fleet, or not to be read.
    pub spoilt: u64,
    /// Said to be from another than its address is, or about nobody.
    pub forged: u64,
    /// Over the rate of its sender.
    pub flood: u64,
    /// From a former life, or seen before.
    pub old: u64,
    pub stalls: u64,
    pub probes: u64,
    pub failed: u64,
}

/// A probe that is out.
#[derive(Debug, Clone, Copy)]
struct Probe {
    target: Id,
    number: u32,
    began: Time,
    asks_others: Time,
    ends: Time,
    /// How many others were asked to try, once that is done.
    asked: Option<usize>,
    nacks: usize,
    answered: bool,
}

/// A probe made in another's place.
#[derive(Debug, Clone, Copy)]
struct Relay {
    for_: Id,
    probe: u32,
    target: Id,
    number: u32,
    nack_at: Time,
    ends: Time,
    nacked: bool,
}

/// What one sender may still send.
#[derive(Debug, Clone, Copy, Default)]
struct Allowance {
    saved: f64,
    at: Time,
}

pub struct Members {
    me: Id,
    fleet: u32,
    /// Raised above whatever others say of this node.
    number: u32,
    limits: Limits,
    chance: Pcg,
    table: Table,
    rumours: Rumours,
    orders: Orders,
    allowances: Vec<Allowance>,
    probe: Option<Probe>,
    relays: VecDeque<Relay>,
    /// Members in the order in which they are probed.
    order: Vec<Id>,
    /// When the next probe begins.
    next: Time,
    periods: u32,
    count: u32,
    /// Failed probes that this node lays to itself.
    ill: u32,
    /// When somebody last answered, which shows that both ways work.
    answered: Time,
    /// When this node last heard that others take it for less than alive.
    doubted: Option<Time>,
    joins: u32,
    leaving: bool,
    fill: usize,
    pub counts: Counts,
}

impl Members {
    /// `nodes`: how many are configured, this one among them.
    pub fn new(me: Id, nodes: usize, fleet: u32, seed: u64, limits: Limits) -> Members {
        let burst = limits.burst;
        let joins = limits.join_rounds;
        Members {
            me,
            fleet,
            number: 1,
            chance: Pcg::new(seed),
            table: Table::new(me, nodes, limits.changes),
            rumours: Rumours::new(limits.rumours),
            orders: Orders::new(limits.orders, limits.without.versions),
            allowances: vec![Allowance { saved: burst, at: Time(0) }; nodes],
            limits,
            probe: None,
            relays: VecDeque::new(),
            order: Vec::new(),
            next: Time(0),
            periods: 0,
            count: 0,
            ill: 0,
            answered: Time(0),
            doubted: None,
            joins,
            leaving: false,
            fill: 0,
            counts: Counts::default(),
        }
    }

    pub fn start(&mut self, now: Time) {
        self.table.begin(now);
        self.answered = now;
        // Guards against a fleet that started at once and probes in step.
        self.next = now + self.limits.period.times(self.chance.unit());
    }

    pub fn me(&self) -> Id {
        self.me
    }

    /// The number that this node goes by now.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// All that are configured, in their order.
    pub fn all(&self) -> impl Iterator<Item = (Id, &Member)> {
        self.table.all()
    }

    pub fn member(&self, of: Id) -> Option<&Member> {
        self.table.get(of)
    }

    /// Members that are taken to serve: alive, or suspected only; this node is one.
    pub fn living(&self) -> usize {
        self.table.living()
    }

    pub fn changes(&self) -> impl Iterator<Item = &Change> {
        self.table.changes.iter()
    }

    /// Changes so far, also those that are no longer kept.
    pub fn changed(&self) -> u64 {
        self.table.changed
    }

    /// Nobody answers: the others may be gone, or this node may be cut off; it can't know which, and blames nobody.
    pub fn hears_nobody(&self, now: Time) -> bool {
        self.table.living() > 1
            && now - self.answered > self.limits.period.times(2.0 * self.limits.deaf_after)
    }

    /// Who hears nobody, and who is told that others don't hear it, is more likely cut off itself: it suspects and
    /// removes nobody.
    fn doubts_itself(&self, now: Time) -> bool {
        let doubted = self.doubted.is_some_and(|doubted| now - doubted < self.limits.doubted);
        (self.is_deaf(now) || doubted) && !self.limits.without.own_health
    }

    fn is_deaf(&self, now: Time) -> bool {
        now - self.answered > self.limits.period.times(self.limits.deaf_after)
    }

    /// Own health: 0 is well.
    pub fn ill(&self) -> u32 {
        self.ill
    }

    pub fn due(&self) -> Time {
        let probe = self
            .probe
            .filter(|probe| !probe.answered && probe.asked.is_none())
            .map(|probe| probe.asks_others);
        let relays = self.relays.iter().map(|relay| if relay.nacked { relay.ends } else { relay.nack_at });
        relays.chain(probe).chain(self.orders.due()).fold(self.next, Time::min)
    }

    /// Does what is due. Guards first against the own sleep: a node that stood still finds every answer overdue, and would
    /// suspect all others.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Post>) {
        self.wakes(now);
        self.relays(now, out);
        self.push_orders(now, out);
        if let Some(probe) = self.probe {
            if !probe.answered && probe.asked.is_none() && now >= probe.asks_others && now < probe.ends {
                self.ask_others(now, out);
            }
        }
        if now < self.next {
            return;
        }
        if let Some(probe) = self.probe.take() {
            self.judge(now, probe);
        }
        if !self.doubts_itself(now) {
            let late = self.limits.suspect_late;
            self.table.expire(now, late, |count| self.limits.suspicion(count, self.ill), &mut self.rumours);
        }
        self.periods = self.periods.wrapping_add(1);
        self.next = now + self.limits.period;
        self.join(now, out);
        self.probe_next(now, out);
    }

    fn wakes(&mut self, now: Time) {
        let late = now - self.due();
        if late <= self.limits.stalled || self.limits.without.own_health {
            return;
        }
        self.counts.stalls += 1;
        // Blames nobody for its own sleep: what is out is void, and what others are suspected of starts anew.
        self.probe = None;
        self.relays.clear();
        self.table.slept(late);
        self.ill = (self.ill + 2).min(self.limits.ill_most);
        self.answered = now;
        self.next = now;
    }

    /// What became of a probe.
    fn judge(&mut self, now: Time, probe: Probe) {
        let well = self.limits.without.own_health;
        if probe.answered {
            self.ill = self.ill.saturating_sub(1);
            return;
        }
        self.counts.failed += 1;
        // Helpers that say so show that the way to them works; silence of all of them is more likely one's own.
        if !well && probe.asked.is_some_and(|asked| asked > 0) && probe.nacks == 0 {
            self.ill = (self.ill + 1).min(self.limits.ill_most);
        }
        if self.doubts_itself(now) {
            return;
        }
        let Some(member) = self.table.get(probe.target) else { return };
        let fresh = member.heard.is_some_and(|heard| now - heard < self.limits.fresh && heard > probe.began);
        if member.state.is_member() && (!fresh || self.limits.without.vouching) {
            let (of, number, by) = (probe.target, member.number, self.me);
            self.suspect(now, of, number, by);
        }
    }

    fn suspect(&mut self, now: Time, of: Id, number: u32, by: Id) {
        if of == self.me {
            return self.refute(now, number);
        }
        let needed = self.needed();
        if !self.table.suspect(now, of, number, by, needed) {
            return;
        }
        self.rumours.put(Entry::Suspect { of, number, by });
        // Some look for themselves, by lot, so that those who have to agree need not come upon it by chance.
        let first = self.table.get(of).is_some_and(|member| member.suspectors.len() == 1);
        if by != self.me && first && self.chance.unit() * (self.table.living() as f64) < self.limits.look {
            self.order.push(of);
        }
        // A probe fails a period after it began: who was heard within one was heard after that.
        let heard = self.table.get(of).and_then(|member| member.heard);
        if by != self.me
            && !self.limits.without.vouching
            && heard.is_some_and(|at| now - at < self.limits.period)
        {
            self.vouch(now, of, number);
        }
    }

    /// Suspectors that have to agree: several where there are several, so that no node is removed on the word of one.
    fn needed(&self) -> usize {
        if self.limits.without.observers {
            return 1;
        }
        self.limits.observers.min(self.table.living().saturating_sub(2)).max(1)
    }

    /// Others take this node for less than alive.
    fn refute(&mut self, now: Time, number: u32) {
        self.doubted = Some(now);
        // One that leaves lets them: it will be gone.
        if number < self.number || self.leaving || self.limits.without.refutation {
            return;
        }
        self.rise(now, number);
    }

    /// Goes above a number that is known of it.
    fn rise(&mut self, now: Time, number: u32) {
        self.number = number.saturating_add(1).min(MOST_NUMBER);
        let (of, number) = (self.me, self.number);
        self.table.renumber(now, of, number);
        self.rumours.put(Entry::Alive { of, number });
    }

    fn probe_next(&mut self, now: Time, out: &mut Vec<Post>) {
        if self.periods.is_multiple_of(self.limits.strangers) {
            if let Some(stranger) = self.stranger() {
                self.ping(now, stranger, stranger, None, out);
            }
        }
        // Who hears nobody may yet be heard: it calls out to more, so that somebody says so before it is removed.
        if self.is_deaf(now) && !self.limits.without.vouching {
            for _ in 0..self.limits.helpers {
                let draw = self.chance.unit();
                if let Some(to) = self.table.drawn(draw, |member| member.state.is_member()) {
                    self.ping(now, to, to, None, out);
                }
            }
        }
        let Some(target) = self.next_target() else { return };
        self.counts.probes += 1;
        let count = self.ping(now, target, target, None, out);
        // The worse the own health, the more time an answer has; the rest of the period is the others'.
        let wait = self.limits.direct.times(1.0 + self.ill as f64 / self.limits.ill_most as f64);
        self.probe = Some(Probe {
            target,
            number: count,
            began: now,
            asks_others: now + wait,
            ends: self.next,
            asked: None,
            nacks: 0,
            answered: false,
        });
    }

    /// Every member comes once in a round, in an order drawn anew: the time until each is probed has a bound.
    fn next_target(&mut self) -> Option<Id> {
        for _ in 0..2 {
            while let Some(next) = self.order.pop() {
                if next != self.me && self.table.get(next).is_some_and(|member| member.state.is_member()) {
                    return Some(next);
                }
            }
            self.order = self.table.members().filter(|id| *id != self.me).collect();
            for i in (1..self.order.len()).rev() {
                let j = (self.chance.unit() * (i + 1) as f64) as usize;
                self.order.swap(i, j);
            }
        }
        None
    }

    /// One that is configured and no member: it may be back, or the way to it.
    fn stranger(&mut self) -> Option<Id> {
        let draw = self.chance.unit();
        self.table.drawn(draw, |member| !member.state.is_member())
    }

    /// A new node asks several at once for what they know, for some rounds.
    fn join(&mut self, now: Time, out: &mut Vec<Post>) {
        if self.joins == 0 || self.leaving {
            return;
        }
        self.joins -= 1;
        for _ in 0..self.limits.joins {
            let draw = self.chance.unit();
            let Some(to) = self.table.drawn(draw, |member| member.heard.is_none()) else { return };
            let head = self.head(Kind::Ping { hello: true }, to, 0);
            self.send(now, to, head, None, out);
        }
    }

    fn ask_others(&mut self, now: Time, out: &mut Vec<Post>) {
        let Some(mut probe) = self.probe else { return };
        let target = probe.target;
        let mut asked = Vec::new();
        if !self.limits.without.helpers {
            for _ in 0..4 * self.limits.helpers {
                let draw = self.chance.unit();
                let me = self.me;
                let helps =
                    |id: Id, member: &Member| member.state == State::Alive && id != me && id != target;
                match self.table.drawn_with(draw, helps) {
                    Some(helper) if !asked.contains(&helper) => asked.push(helper),
                    Some(_) => {}
                    None => break,
                }
                if asked.len() == self.limits.helpers {
                    break;
                }
            }
            for helper in &asked {
                let head = self.head(Kind::Try, target, probe.number);
                self.send(now, *helper, head, None, out);
            }
        }
        probe.asked = Some(asked.len());
        self.probe = Some(probe);
    }

    fn relays(&mut self, now: Time, out: &mut Vec<Post>) {
        while self.relays.front().is_some_and(|first| now >= first.ends) {
            self.relays.pop_front();
        }
        let mut due = Vec::new();
        for relay in self.relays.iter_mut().filter(|relay| !relay.nacked && now >= relay.nack_at) {
            relay.nacked = true;
            due.push(*relay);
        }
        for relay in due {
            let head = self.head(Kind::Nack, relay.target, relay.probe);
            self.send(now, relay.for_, head, None, out);
        }
    }

    fn head(&mut self, kind: Kind, about: Id, probe: u32) -> Head {
        self.count = self.count.wrapping_add(1);
        Head { kind, from: self.me, number: self.number, count: self.count, probe, about }
    }

    /// Gives the ping's count, by which its answer is known.
    fn ping(&mut self, now: Time, to: Id, about: Id, first: Option<Entry>, out: &mut Vec<Post>) -> u32 {
        let mut head = self.head(Kind::Ping { hello: false }, about, 0);
        head.probe = head.count;
        self.send(now, to, head, first, out);
        head.count
    }

    /// Sends, with the rumours that are most urgent, and some entries of the own table behind them, so that what a
    /// rumour has not reached is heard later.
    fn send(&mut self, _now: Time, to: Id, head: Head, first: Option<Entry>, out: &mut Vec<Post>) {
        let mut packet = Packet::new(self.fleet, &head);
        // What is said of whom this goes to comes first: it can answer to it.
        let told = first.or_else(|| self.table.news_of(to));
        if let Some(entry) = &told {
            packet.add(entry);
        }
        let most = (self.limits.times * (self.table.len() as f64 + 1.0).log10()).ceil() as u32;
        self.rumours.take(most.max(self.limits.times_least), |entry| packet.add(entry));
        let hello =
            matches!(head.kind, Kind::Ack) && self.table.get(to).is_some_and(|member| member.wants_all);
        // Orders ride along in turn, for a new node more of them.
        for _ in 0..self.orders.len().min(if hello { HELLO_ORDERS } else { 1 }) {
            if let Some(order) = self.orders.turn() {
                packet.add(&Entry::Order(order));
            }
        }
        let fill = if hello { usize::MAX } else { self.limits.fill };
        let mut filled = 0;
        for _ in 0..self.table.len().min(fill.saturating_mul(8)) {
            if filled >= fill {
                break;
            }
            self.fill = (self.fill + 1) % self.table.len();
            let Some(entry) = self.table.entry(Id(self.fill as u16), self.me) else { continue };
            if !packet.add(&entry) {
                break;
            }
            filled += 1;
        }
        let bytes = packet.done();
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        out.push(Post { to, bytes });
    }

    /// A datagram from the address of this node.
    pub fn receive(&mut self, now: Time, from: Id, bytes: &[u8], out: &mut Vec<Post>) {
        if from == self.me || from.0 as usize >= self.table.len() {
            self.counts.forged += 1;
            return;
        }
        if !self.allows(now, from) {
            self.counts.flood += 1;
            return;
        }
        let (head, entries) = match wire::read(bytes, self.fleet) {
            Ok(read) => read,
            Err(Fault::Length | Fault::Checksum | Fault::Version | Fault::Fleet | Fault::Form) => {
                self.counts.spoilt += 1;
                return;
            }
        };
        let known = |id: Id| (id.0 as usize) < self.table.len();
        // Guards against a number that nobody could go above.
        let numbers = entries.iter().map(Entry::number).chain([head.number]);
        let sane = numbers.into_iter().all(|number| number <= MOST_NUMBER);
        if head.from != from || !sane || !known(head.about) || !entries.iter().all(|entry| known(entry.of()))
        {
            self.counts.forged += 1;
            return;
        }
        self.counts.received += 1;
        self.wakes(now);
        let hello = matches!(head.kind, Kind::Ping { hello: true });
        let current = self.hears(now, &head, hello);
        // The view of a former life, or of one that this node has given up, is worth nothing but for what it says of
        // this node. What it asks is answered, so that it learns what it is known by.
        let me = self.me;
        // An order counts whoever says it and however late: an older one changes nothing.
        let counts = |entry: &&Entry| current || entry.of() == me || matches!(entry, Entry::Order(_));
        for entry in entries.iter().filter(counts) {
            self.news(now, from, entry);
        }
        self.push_orders(now, out);
        match head.kind {
            Kind::Ping { .. } => {
                let answer = self.head(Kind::Ack, self.me, head.probe);
                self.send(now, from, answer, None, out);
            }
            Kind::Try => self.tries(now, &head, out),
            Kind::Ack => self.acknowledged(now, &head, out),
            Kind::Nack => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == head.probe) {
                    probe.nacks += 1;
                    self.answered = now;
                }
            }
        }
    }

    fn allows(&mut self, now: Time, from: Id) -> bool {
        let allowance = &mut self.allowances[from.0 as usize];
        let passed = (now - allowance.at).seconds().max(0.0);
        allowance.saved = (allowance.saved + passed * self.limits.rate).min(self.limits.burst);
        allowance.at = allowance.at.max(now);
        let allowed = allowance.saved >= 1.0;
        if allowed {
            allowance.saved -= 1.0;
        }
        allowed
    }

    /// A datagram is a sign of life, unless it is of a former life or was seen before. Whether it is current.
    fn hears(&mut self, now: Time, head: &Head, hello: bool) -> bool {
        let (of, number) = (head.from, head.number);
        let Some(member) = self.table.get(of) else { return false };
        let (state, was) = (member.state, member.number);
        if number < was {
            self.counts.old += 1;
            return false;
        }
        if number > was || state == State::Absent {
            if self.table.alive(now, of, number, self.limits.spared) {
                self.rumours.put(Entry::Alive { of, number });
            }
        } else if !self.table.sign_of_life(of, head.count) {
            // Reordered or replayed: what it says may be true, but it shows nothing of now.
            self.counts.old += 1;
            return true;
        }
        self.table.heard(now, of, head.count, hello);
        let suspected = self.table.get(of).is_some_and(|member| member.state == State::Suspect);
        if suspected && !self.limits.without.vouching {
            self.vouch(now, of, number);
        }
        !matches!(state, State::Gone | State::Left) || number > was
    }

    /// Tells that this node hears one that others don't.
    fn vouch(&mut self, now: Time, of: Id, number: u32) {
        let by = self.me;
        self.table.spare(now, of, self.limits.spared);
        self.rumours.put(Entry::Heard { of, number, by });
    }

    fn news(&mut self, now: Time, from: Id, entry: &Entry) {
        let of = entry.of();
        if of == self.me {
            return match *entry {
                Entry::Alive { number, .. } | Entry::Heard { number, .. } if number <= self.number => {}
                // Of a former life.
                Entry::Alive { number, .. } | Entry::Heard { number, .. } => self.rise(now, number),
                Entry::Order(order) => self.hears_order(now, order),
                Entry::Suspect { number, .. } | Entry::Gone { number, .. } | Entry::Left { number, .. } => {
                    self.refute(now, number)
                }
            };
        }
        match *entry {
            Entry::Order(order) => self.hears_order(now, order),
            Entry::Alive { of, number } => {
                if self.table.alive(now, of, number, self.limits.spared) {
                    self.rumours.put(*entry);
                }
            }
            Entry::Suspect { of, number, by } => self.suspect(now, of, number, by),
            Entry::Heard { of, number, .. } => {
                let suspected =
                    self.table.get(of).is_some_and(|m| m.state == State::Suspect && m.number <= number);
                if suspected && !self.limits.without.vouching {
                    self.table.spare(now, of, self.limits.spared);
                    self.rumours.put(*entry);
                }
            }
            // Who takes it for gone is one more that suspects it, and no more than that.
            Entry::Gone { of, number } if !self.limits.without.observers => {
                self.suspect(now, of, number, from);
                self.table.given_up(of, number, from);
            }
            Entry::Gone { of, number } => {
                if self.table.gone(now, of, number) {
                    self.rumours.put(*entry);
                }
            }
            Entry::Left { of, number } => {
                if self.table.left(now, of, number) {
                    self.rumours.put(*entry);
                }
            }
        }
    }

    fn tries(&mut self, now: Time, head: &Head, out: &mut Vec<Post>) {
        if head.about == self.me || head.about == head.from || self.relays.len() >= self.limits.relays {
            return;
        }
        let number = self.ping(now, head.about, head.about, None, out);
        let ends = now + self.limits.period.times(2.0);
        let nack_at = now + self.limits.direct;
        let (for_, probe, target) = (head.from, head.probe, head.about);
        self.relays.push_back(Relay { for_, probe, target, number, nack_at, ends, nacked: false });
    }

    fn acknowledged(&mut self, now: Time, head: &Head, out: &mut Vec<Post>) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == head.probe) {
            if probe.target == head.about {
                probe.answered = true;
                self.answered = now;
            }
        }
        // By the own probe's count, so that an answer of an earlier one counts for nothing.
        if head.from == head.about {
            let found =
                self.relays.iter().position(|relay| relay.number == head.probe && relay.target == head.from);
            if let Some(relay) = found.and_then(|found| self.relays.remove(found)) {
                let answer = self.head(Kind::Ack, relay.target, relay.probe);
                self.send(now, relay.for_, answer, None, out);
            }
        }
    }

    /// An operator's order about a server, from now on at this node, and soon at every one that can be reached.
    pub fn order(
        &mut self,
        now: Time,
        server: Server,
        drain: bool,
        out: &mut Vec<Post>,
    ) -> Result<Order, Refused> {
        let alone = self.table.len() == 1;
        if self.joins > 0 && !alone {
            return Err(Refused::Started);
        }
        let order = self.orders.give(now, self.me, server, drain, self.limits.push_rounds)?;
        self.rumours.put(Entry::Order(order));
        self.push_orders(now, out);
        Ok(order)
    }

    pub fn orders(&self) -> impl Iterator<Item = &Held> {
        self.orders.all()
    }

    /// Changes of orders so far.
    pub fn orders_changed(&self) -> u64 {
        self.orders.changed
    }

    fn hears_order(&mut self, now: Time, order: Order) {
        if self.orders.put(now, order, self.limits.push_rounds) {
            self.rumours.put(Entry::Order(order));
        }
    }

    /// Guards against rumours that take a second or more round a large fleet: who hears of an order first hands it on at once.
    fn push_orders(&mut self, now: Time, out: &mut Vec<Post>) {
        while let Some(order) = self.orders.take_due(now, self.limits.push_apart) {
            let most = if order.by == self.me { self.limits.first_pushes } else { self.limits.pushes };
            let mut to: Vec<Id> = self.table.members().filter(|id| *id != self.me).collect();
            while to.len() > most {
                let drop = (self.chance.unit() * to.len() as f64) as usize;
                to.swap_remove(drop);
            }
            for to in to {
                self.ping(now, to, to, Some(Entry::Order(order)), out);
            }
        }
    }

    /// Tells others that this node leaves as planned, which is no failure.
    pub fn leave(&mut self, now: Time, out: &mut Vec<Post>) {
        self.leaving = true;
        let (of, number) = (self.me, self.number);
        self.table.left(now, of, number);
        let entry = Entry::Left { of, number };
        self.rumours.put(entry);
        let mut told: Vec<Id> = self.table.members().filter(|id| *id != of).collect();
        while told.len() > 2 * self.limits.helpers {
            let drop = (self.chance.unit() * told.len() as f64) as usize;
            told.swap_remove(drop);
        }
        for to in told {
            self.ping(now, to, to, Some(entry), out);
        }
    }
}

impl Limits {
    /// How long a suspicion lasts that so many share, by one whose own health is so.
    fn suspicion(&self, suspectors: usize, ill: u32) -> Span {
        let (least, most) = (self.suspect_least, self.suspect_most);
        let agreed = (suspectors.max(1) as f64).ln() / (self.observers.max(2) as f64).ln();
        let span = most.0 as f64 - (most.0 - least.0) as f64 * agreed.min(1.0);
        let ill = if self.without.own_health { 0.0 } else { ill as f64 };
        Span((span * (1.0 + ill * 0.5)) as i64)
    }
}
