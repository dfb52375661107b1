//! An emulated network round many of these state machines, for experiments and tests: loss, delay, one-sided cuts, pauses,
//! kills and restarts; the same run from the same seed.
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};

use quartzhub_policy::{Pcg, Span, Time};

use crate::{Datagram, Id, Limits, Members, State};

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick { node: u16, life: u32 },
    Arrives { from: u16, to: u16, bytes: Vec<u8> },
    Wakes { node: u16 },
}

struct Node {
    members: Option<Members>,
    life: u32,
    paused: bool,
    /// What came while it stood still: the system keeps it, up to a bound.
    waiting: Vec<(u16, Vec<u8>)>,
}

/// Datagrams that a machine keeps for a process that stands still.
const KEPT: usize = 800;

pub struct Net {
    pub now: Time,
    nodes: Vec<Node>,
    limits: Limits,
    seed: u64,
    chance: Pcg,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    number: u64,
    pub loss: f64,
    /// One way: the least, and what may come on top.
    pub delay: Span,
    pub jitter: Span,
    pub duplicates: f64,
    /// Ways that are cut, by sender and receiver.
    pub cuts: HashSet<(u16, u16)>,
    pub sent: u64,
    pub sent_bytes: u64,
    pub longest: usize,
}

pub const FLEET: &str = "emulated";

impl Net {
    pub fn new(nodes: usize, limits: Limits, seed: u64) -> Net {
        let empty = || Node { members: None, life: 0, paused: false, waiting: Vec::new() };
        Net {
            now: Time(0),
            nodes: (0..nodes).map(|_| empty()).collect(),
            limits,
            seed,
            chance: Pcg::new(seed),
            events: BinaryHeap::new(),
            number: 0,
            loss: 0.0,
            delay: Span::ms(1),
            jitter: Span::ms(1),
            duplicates: 0.0,
            cuts: HashSet::new(),
            sent: 0,
            sent_bytes: 0,
            longest: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Starts a node from nothing.
    pub fn start(&mut self, node: usize) {
        let it = &mut self.nodes[node];
        it.life += 1;
        (it.paused, it.waiting) = (false, Vec::new());
        let seed = self.seed ^ (node as u64) << 20 ^ (it.life as u64) << 44;
        let count = self.nodes.len();
        let mut members =
            Members::new(Id(node as u16), count, crate::wire::fleet(FLEET), seed, self.limits.clone());
        members.start(self.now);
        let (due, life) = (members.due(), self.nodes[node].life);
        self.nodes[node].members = Some(members);
        self.at(due, Event::Tick { node: node as u16, life });
    }

    pub fn start_all(&mut self) {
        (0..self.len()).for_each(|node| self.start(node));
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].members = None;
        self.nodes[node].life += 1;
    }

    pub fn leave(&mut self, node: usize) {
        let (now, mut out) = (self.now, Vec::new());
        if let Some(members) = &mut self.nodes[node].members {
            members.leave(now, &mut out);
        }
        self.post(node, out);
        self.kill(node);
    }

    /// An operator's order, given to one node.
    pub fn order(
        &mut self,
        node: usize,
        server: crate::Server,
        drain: bool,
    ) -> Result<crate::Order, crate::Refused> {
        let (now, mut out) = (self.now, Vec::new());
        let Some(members) = &mut self.nodes[node].members else { return Err(crate::Refused::Started) };
        let order = members.order(now, server, drain, &mut out);
        self.post(node, out);
        order
    }

    pub fn pause(&mut self, node: usize, lasts: Span) {
        self.nodes[node].paused = true;
        self.at(self.now + lasts, Event::Wakes { node: node as u16 });
    }

    /// Cuts what goes from any of these to any of those.
    pub fn cut(&mut self, from: &[usize], to: &[usize]) {
        let pairs = from.iter().flat_map(|from| to.iter().map(move |to| (*from as u16, *to as u16)));
        self.cuts.extend(pairs.filter(|pair| pair.0 != pair.1));
    }

    pub fn get(&self, node: usize) -> Option<&Members> {
        self.nodes[node].members.as_ref()
    }

    pub fn state(&self, of: usize, at: usize) -> Option<State> {
        self.get(at)?.member(Id(of as u16)).map(|member| member.state)
    }

    /// Hands a datagram over now, whatever the network does.
    pub fn inject(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.at(self.now, Event::Arrives { from: from as u16, to: to as u16, bytes });
    }

    fn at(&mut self, at: Time, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number, event)));
    }

    fn post(&mut self, from: usize, out: Vec<Datagram>) {
        for Datagram { to, bytes } in out {
            self.sent += 1;
            self.sent_bytes += bytes.len() as u64;
            self.longest = self.longest.max(bytes.len());
            if self.cuts.contains(&(from as u16, to.0)) || self.chance.unit() < self.loss {
                continue;
            }
            let copies = if self.chance.unit() < self.duplicates { 2 } else { 1 };
            for _ in 0..copies {
                let way = self.delay + self.jitter.times(self.chance.unit());
                let (from, to, bytes) = (from as u16, to.0, bytes.clone());
                self.at(self.now + way, Event::Arrives { from, to, bytes });
            }
        }
    }

    /// Plays on for so long.
    pub fn play(&mut self, span: Span) {
        let until = self.now + span;
        while self.events.peek().is_some_and(|next| next.0 .0 <= until) {
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = at.max(self.now);
            self.happens(event);
        }
        self.now = until;
    }

    fn happens(&mut self, event: Event) {
        let (now, mut out) = (self.now, Vec::new());
        match event {
            Event::Tick { node, life } => {
                let it = &mut self.nodes[node as usize];
                if it.life != life || it.paused {
                    return;
                }
                let Some(members) = &mut it.members else { return };
                members.tick(now, &mut out);
                let due = members.due().max(now + Span::ms(1));
                self.at(due, Event::Tick { node, life });
                self.post(node as usize, out);
            }
            Event::Arrives { from, to, bytes } => {
                let it = &mut self.nodes[to as usize];
                if it.paused {
                    if it.waiting.len() < KEPT {
                        it.waiting.push((from, bytes));
                    }
                    return;
                }
                let Some(members) = &mut it.members else { return };
                members.receive(now, Id(from), &bytes, &mut out);
                self.post(to as usize, out);
            }
            Event::Wakes { node } => {
                let it = &mut self.nodes[node as usize];
                if !it.paused {
                    return;
                }
                it.paused = false;
                let life = it.life;
                let waiting = std::mem::take(&mut it.waiting);
                // What a process finds first, its timer or what has come, is up to the system.
                let timer_first = self.chance.unit() < 0.5;
                if timer_first {
                    self.at(now, Event::Tick { node, life });
                }
                for (from, bytes) in waiting {
                    self.at(now, Event::Arrives { from, to: node, bytes });
                }
                if !timer_first {
                    self.at(now, Event::Tick { node, life });
                }
            }
        }
    }

    /// Pairs in which a node that runs takes another that runs for no member.
    pub fn wrong(&self) -> usize {
        let runs = |node: usize| self.nodes[node].members.is_some() && !self.nodes[node].paused;
        let all = (0..self.len()).filter(|at| runs(*at));
        all.map(|at| (0..self.len()).filter(|of| runs(*of) && !self.holds(*of, at)).count()).sum()
    }

    /// Pairs in which a node that runs takes one for a member that does not.
    pub fn unknown(&self) -> usize {
        let runs = |node: usize| self.nodes[node].members.is_some();
        let all = (0..self.len()).filter(|at| runs(*at));
        all.map(|at| (0..self.len()).filter(|of| !runs(*of) && self.holds(*of, at)).count()).sum()
    }

    fn holds(&self, of: usize, at: usize) -> bool {
        self.state(of, at).is_some_and(State::is_member)
    }
}
