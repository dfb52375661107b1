//! A discrete-event emulation of a network between state machines of any kind, with loss, delay,
//! duplicates, one-way cuts, pauses, kills, restarts and clock drift.
use quartzhub_policy::{Pcg, Span, Time};

use super::node::{Buffered, Clock, Node};
use super::{EmulatedProcess, EventQueue, Launch, Links};
use crate::{Datagram, NodeId};

/// Parameters of a whole network.
#[derive(Debug, Clone)]
pub struct NetworkConfig {
    /// Minimum delay of a datagram.
    pub delay: Span,
    /// Maximum additional delay of a datagram.
    pub jitter: Span,
    /// Fraction of datagrams that arrive twice. With `None`, no random number is drawn for
    /// duplicates.
    pub duplicate_probability: Option<f64>,
    /// Datagrams that the operating system buffers for a paused process.
    pub receive_buffer: usize,
    /// Minimum time between two calls of a process's `tick`.
    pub min_tick_interval: Span,
}

#[derive(Debug)]
enum Event {
    Tick {
        node: usize,
        incarnation: u32,
    },
    Arrival {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    Resume {
        node: usize,
    },
}

/// Nodes with one process each, and the links between them.
pub struct EmulatedNetwork<P: EmulatedProcess> {
    /// The current time, by an exact clock.
    pub now: Time,
    /// Parameters of the network.
    pub config: NetworkConfig,
    /// The links, which can be cut.
    pub links: Links,
    /// Settings passed to every process when it starts.
    pub settings: P::Settings,
    nodes: Vec<Node<P>>,
    seed: u64,
    rng: Pcg,
    events: EventQueue<Event>,
}

impl<P: EmulatedProcess> EmulatedNetwork<P> {
    /// Creates a network of nodes that have not been started.
    pub fn with_config(
        nodes: usize,
        settings: P::Settings,
        config: NetworkConfig,
        seed: u64,
    ) -> EmulatedNetwork<P> {
        EmulatedNetwork {
            now: Time(0),
            config,
            settings,
            links: Links::default(),
            nodes: (0..nodes).map(|_| Node::new()).collect(),
            seed,
            rng: Pcg::new(seed),
            events: EventQueue::default(),
        }
    }

    /// Returns the number of nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether there are no nodes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Gives each node a random clock, whose rate differs from the exact one by at most the
    /// fraction `drift`, and which starts at up to `max_offset_us` microseconds.
    pub fn randomize_clocks(&mut self, drift: f64, max_offset_us: f64) {
        for node in &mut self.nodes {
            node.clock = Clock {
                rate: 1.0 + drift * (2.0 * self.rng.unit() - 1.0),
                offset: (self.rng.unit() * max_offset_us) as i64,
            };
        }
    }

    /// Sets the rate of a node's clock, where 1 is exact. To be called before the node starts.
    pub fn set_clock_rate(&mut self, node: usize, rate: f64) {
        self.nodes[node].clock.rate = rate;
    }

    /// Returns what a node's clock shows at a point of exact time.
    pub fn clock(&self, node: usize, at: Time) -> Time {
        self.nodes[node].clock.at(at)
    }

    /// Starts a new process at a node.
    pub fn start(&mut self, node: usize) {
        let nodes = self.nodes.len();
        let started = &mut self.nodes[node];
        started.incarnation += 1;
        started.paused_since = None;
        started.buffered.clear();
        let now = started.clock.at(self.now);
        let launch = Launch {
            me: NodeId(node as u16),
            nodes,
            seed: self.seed ^ (node as u64) << 20 ^ u64::from(started.incarnation) << 44,
            incarnation: started.incarnation,
            now,
        };
        let process = P::launch(&self.settings, launch);
        let delay = (process.next_tick_at() - now).times(1.0 / started.clock.rate);
        started.process = Some(process);
        self.schedule_tick(node, self.now + delay);
    }

    /// Starts all nodes.
    pub fn start_all(&mut self) {
        (0..self.len()).for_each(|node| self.start(node));
    }

    /// Ends a node's process without any announcement to others.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].process = None;
        self.nodes[node].incarnation += 1;
    }

    /// Pauses a node's process until `resume`.
    pub fn pause_until_resumed(&mut self, node: usize) {
        let now = self.now;
        self.nodes[node].paused_since.get_or_insert(now);
    }

    /// Pauses a node's process for a duration.
    pub fn pause(&mut self, node: usize, duration: Span) {
        self.pause_until_resumed(node);
        self.events
            .schedule(self.now + duration, Event::Resume { node });
    }

    /// Resumes a paused process. Whether its timer or the buffered datagrams come first is random,
    /// since an operating system may do either.
    pub fn resume(&mut self, node: usize) {
        let resumed = &mut self.nodes[node];
        if resumed.paused_since.take().is_none() {
            return;
        }
        let buffered = std::mem::take(&mut resumed.buffered);
        let now = self.now;
        let is_timer_first = self.config.receive_buffer == 0 || self.rng.unit() < 0.5;
        if is_timer_first {
            self.schedule_tick(node, now);
        }
        for Buffered { from, bytes } in buffered {
            self.inject(from, node, bytes);
        }
        if !is_timer_first {
            self.schedule_tick(node, now);
        }
    }

    /// Returns a node's process, if it runs or is paused.
    pub fn process(&self, node: usize) -> Option<&P> {
        self.nodes[node].process.as_ref()
    }

    /// Returns a mutable reference to a node's process, if it runs or is paused.
    pub fn process_mut(&mut self, node: usize) -> Option<&mut P> {
        self.nodes[node].process.as_mut()
    }

    /// Returns since when a node's process has been paused, if it is.
    pub fn paused_since(&self, node: usize) -> Option<Time> {
        self.nodes[node].paused_since
    }

    /// Delivers a datagram now, regardless of the links.
    pub fn inject(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let arrival = Event::Arrival { from, to, bytes };
        self.events.schedule(self.now, arrival);
    }

    /// Sends datagrams over the links, which may lose, delay or duplicate them.
    pub fn send(&mut self, from: usize, datagrams: Vec<Datagram>) {
        for Datagram { to, bytes } in datagrams {
            let to = to.index();
            let is_delivered = self.links.delivers(from, to, bytes.len(), &mut self.rng);
            if !is_delivered {
                continue;
            }
            for _ in 0..self.copy_count() {
                let delay = self.config.delay + self.config.jitter.times(self.rng.unit());
                let bytes = bytes.clone();
                let arrival = Event::Arrival { from, to, bytes };
                self.events.schedule(self.now + delay, arrival);
            }
        }
    }

    fn copy_count(&mut self) -> usize {
        match self.config.duplicate_probability {
            Some(probability) if self.rng.unit() < probability => 2,
            _ => 1,
        }
    }

    /// Runs the emulation for a span of time.
    pub fn run_for(&mut self, span: Span) {
        let until = self.now + span;
        while self.step(until) {}
    }

    /// Handles the next event up to `until`. If there is none, advances the time to `until` and
    /// returns false.
    pub fn step(&mut self, until: Time) -> bool {
        let Some((at, event)) = self.events.pop_until(until) else {
            self.now = until;
            return false;
        };
        self.now = at.max(self.now);
        match event {
            Event::Tick { node, incarnation } => self.on_tick(node, incarnation),
            Event::Arrival { from, to, bytes } => self.on_arrival(from, to, bytes),
            Event::Resume { node } => self.resume(node),
        }
        true
    }

    fn schedule_tick(&mut self, node: usize, at: Time) {
        let incarnation = self.nodes[node].incarnation;
        self.events.schedule(at, Event::Tick { node, incarnation });
    }

    fn on_tick(&mut self, at: usize, incarnation: u32) {
        let node = &mut self.nodes[at];
        if node.incarnation != incarnation || node.paused_since.is_some() {
            return;
        }
        let Some(process) = &mut node.process else {
            return;
        };
        let now = node.clock.at(self.now);
        let mut out = Vec::new();
        process.tick(now, &mut out);
        let delay = (process.next_tick_at() - now).max(self.config.min_tick_interval);
        let delay = delay.times(1.0 / node.clock.rate);
        self.schedule_tick(at, self.now + delay);
        self.send(at, out);
    }

    fn on_arrival(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let node = &mut self.nodes[to];
        if node.paused_since.is_some() {
            if node.buffered.len() < self.config.receive_buffer {
                node.buffered.push(Buffered { from, bytes });
            }
            return;
        }
        let Some(process) = &mut node.process else {
            return;
        };
        let now = node.clock.at(self.now);
        let mut out = Vec::new();
        process.receive(now, NodeId(from as u16), &bytes, &mut out);
        self.send(to, out);
    }
}
