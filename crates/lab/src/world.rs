//! The emulated world: clients, nodes, servers and what lies between, by discrete events in the order of time.
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use quartzhub_names::{Calls, Line, Places, Servers};
use quartzhub_policy::{
    Answers, Ask, Balancer, CallIx, Ending, Outcome, Pcg, Product, ServerIx, Span, State, Time,
};
use rand_distr::{Distribution, Exp1, StandardNormal, Zipf};
use rustc_hash::FxHashMap;

use crate::routers::{BoundedHash, LeastInFlight, Plain, Random, Router, TwoChoices};
use crate::rules::{Deed, Watch};
use crate::scenario::{Bad, Kind, Law, Scenario};
use crate::server::{Falls, Health, Job, Server, Work, FALLEN};
use crate::stats::{End, Ended, Report};

pub const POLICIES: [&str; 5] = ["dema", "random", "least_in_flight", "two_choices", "bounded_hash"];

/// Plays a scenario under the policy that it names.
pub fn run(scenario: &Scenario) -> Result<Report, Bad> {
    scenario.check()?;
    let settings = |me| scenario.settings(me);
    Ok(match scenario.policy.as_str() {
        "dema" => World::new(scenario, |me, seed| Balancer::new(&settings(me), seed)).play(),
        "random" => World::new(scenario, |me, seed| Plain::new(Random, &settings(me), seed)).play(),
        "least_in_flight" => {
            World::new(scenario, |me, seed| Plain::new(LeastInFlight, &settings(me), seed)).play()
        }
        "two_choices" => World::new(scenario, |me, seed| Plain::new(TwoChoices, &settings(me), seed)).play(),
        "bounded_hash" => {
            World::new(scenario, |me, seed| Plain::new(BoundedHash, &settings(me), seed)).play()
        }
        other => return Err(Bad(format!("policy: {other:?} is none of {}", POLICIES.join(", ")))),
    })
}

/// The module's timer at the least, against a router that asks to be woken in no time.
const LEAST_WAKE: Span = Span::ms(1);
/// How long past its client timeout an API call is remembered by the checks: longer than any work still queued for it.
const REMEMBERED: Span = Span::ms(30_000);
/// What a final answer may come late by: the rule's slack for one timer's round.
const SLACK: Span = Span::ms(10);
/// Idle connections to a server are closed after this.
const KEPT_ALIVE: Span = Span::ms(15_000);

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrive,
    /// A client's try reaches its node.
    AtNode {
        client: u64,
        attempt: u32,
    },
    GivesUp {
        client: u64,
        attempt: u32,
    },
    Retries {
        client: u64,
    },
    /// A final answer reaches its client.
    Told {
        client: u64,
        attempt: u32,
        end: End,
        wait: Option<Span>,
    },
    AtServer {
        job: Job,
        server: usize,
        life: u64,
        fresh: bool,
    },
    Done {
        job: Job,
        server: usize,
        life: u64,
        miss: bool,
    },
    Reply {
        node: usize,
        epoch: u64,
        call: u64,
        shot: usize,
        server: usize,
        outcome: Outcome,
    },
    ShotDue {
        node: usize,
        epoch: u64,
        call: u64,
        shot: usize,
    },
    CalledOff {
        server: usize,
        life: u64,
        job: u64,
    },
    Stored {
        server: usize,
        life: u64,
        key: u64,
    },
    CallDue {
        call: u64,
    },
    Forgotten {
        call: u64,
    },
    Tick {
        node: usize,
        epoch: u64,
    },
    News {
        node: usize,
        server: usize,
        state: State,
        started: Option<Time>,
    },
    Begins(usize),
    Ends(usize),
    /// A server is back, cold.
    Back {
        server: usize,
    },
    Gone {
        server: usize,
        life: u64,
    },
    /// A node ends, and is back.
    Rolls {
        node: usize,
    },
    /// A new connection is asked for; and it is up.
    Connect {
        node: usize,
        epoch: u64,
        server: usize,
        job: Job,
    },
    Connected {
        node: usize,
        epoch: u64,
        server: usize,
        life: u64,
        job: Job,
    },
    NodeBack {
        node: usize,
    },
}

struct Due(Time, u64, Event);

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// A client's API call, with its tries.
struct Client {
    product: usize,
    key: u64,
    asked: Time,
    attempt: u32,
    tried: Time,
    node: usize,
    /// The API call that its present try is at its node.
    call: Option<u64>,
    answered: bool,
}

/// An API call at its node.
struct Open {
    call: u64,
    client: u64,
    attempt: u32,
    product: usize,
    key: u64,
    write: bool,
    until: Time,
    answered: bool,
    shots: Vec<Shot>,
    /// Caches that missed for it: they are given the value.
    missed: Vec<(usize, u64, bool)>,
}

#[derive(Clone, Copy)]
struct Shot {
    server: usize,
    life: u64,
    job: u64,
    sent: Time,
    out: bool,
    /// Its bytes are on their way.
    written: bool,
}

/// A node but for its router: what sockets and tables are to the real one.
struct Side {
    me: usize,
    epoch: u64,
    up: bool,
    servers: Servers,
    /// By the node's indices, which servers these are.
    at: Vec<usize>,
    calls: Calls<Open>,
    indices: FxHashMap<u64, CallIx>,
    /// Idle connections to each server, with the life they belong to and since when.
    idle: Vec<VecDeque<(u64, Time)>>,
    /// What it was told of each server, and since when it has known that one drains or is gone.
    told: Vec<(State, Option<Time>)>,
    deaf: bool,
}

struct Node<R> {
    side: Side,
    router: R,
}

/// All that nodes share.
struct Field {
    scenario: Scenario,
    now: Time,
    end: Time,
    seq: u64,
    due: BinaryHeap<Reverse<Due>>,
    chance: Pcg,
    products: Vec<Product>,
    shares: Vec<f64>,
    servers: Vec<Server>,
    /// What the list says of each server.
    listed: Vec<(State, Option<Time>)>,
    clients: FxHashMap<u64, Client>,
    zipf: Option<Zipf<f64>>,
    /// Ranks are shifted by this as popularity drifts.
    drifted: u64,
    burst: f64,
    hot: f64,
    scan: f64,
    network: f64,
    next: u64,
    fresh_keys: u64,
    watch: Watch,
    report: Report,
}

pub struct World<R, F> {
    field: Field,
    nodes: Vec<Node<R>>,
    make: F,
    places: Places,
    names: Vec<String>,
}

/// The caches come first, then the origin.
impl Field {
    fn at(&mut self, at: Time, event: Event) {
        self.seq += 1;
        self.due.push(Reverse(Due(at.max(self.now), self.seq, event)));
    }

    fn after(&mut self, wait: Span, event: Event) {
        self.at(self.now + wait, event);
    }

    fn id(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// One way through the network.
    fn way(&mut self) -> Span {
        let net = &self.scenario.network;
        let jitter: f64 = Exp1.sample(&mut self.chance);
        let mut ms = (net.delay_ms + net.jitter_ms * jitter) * self.network;
        if net.loss > 0.0 && self.chance.unit() < net.loss {
            ms += net.retransmit_ms;
        }
        Span::from_ms(ms)
    }

    fn between(&mut self, [from, to]: [f64; 2]) -> f64 {
        from + (to - from) * self.chance.unit()
    }

    /// Work of this mean, in one of the laws.
    fn work(&mut self, ms: f64) -> Span {
        let factor: f64 = match self.scenario.caches.work {
            Law::Fixed => 1.0,
            Law::Exponential => Exp1.sample(&mut self.chance),
            Law::Lognormal => {
                let normal: f64 = StandardNormal.sample(&mut self.chance);
                // Mean 1 and variance 1: sigma² = ln 2.
                let sigma2 = std::f64::consts::LN_2;
                (normal * sigma2.sqrt() - sigma2 / 2.0).exp()
            }
        };
        Span::from_ms(ms * factor)
    }

    fn key(&mut self) -> u64 {
        if self.scan > 0.0 && self.chance.unit() < self.scan {
            self.fresh_keys += 1;
            return u64::MAX - self.fresh_keys;
        }
        if self.hot > 0.0 && self.chance.unit() < self.hot {
            return 0;
        }
        let count = self.scenario.keys.count;
        let rank = match &self.zipf {
            Some(zipf) => (zipf.sample(&mut self.chance) as u64).clamp(1, count) - 1,
            None => ((self.chance.unit() * count as f64) as u64).min(count - 1),
        };
        // What is at a rank moves on as popularity drifts, one rank at a time.
        (rank + self.drifted * ((rank % 7 == 3) as u64)) % count
    }

    fn origin(&self) -> usize {
        self.servers.len() - 1
    }

    fn reset_jobs(&mut self, server: usize, outcome: Outcome) {
        for job in self.servers[server].stop() {
            let wait = self.way();
            let (node, call, shot) = (job.node, job.call, job.shot);
            self.after(wait, Event::Reply { node, epoch: u64::MAX, call, shot, server, outcome });
        }
    }

    fn down(&mut self, server: usize) {
        self.servers[server].health = Health::Down;
        self.reset_jobs(server, Outcome::Reset);
    }

    /// Starts, with nothing kept and cold.
    fn up(&mut self, server: usize) {
        let now = self.now;
        self.servers[server].restart(now);
    }

    fn begin_work(&mut self, server: usize) {
        let now = self.now;
        while let Some(job) = {
            let it = &mut self.servers[server];
            let free = it.health == Health::Up && it.running.len() < it.cores;
            if free {
                it.queue.pop_front()
            } else {
                None
            }
        } {
            let it = &mut self.servers[server];
            let miss = !it.origin && !job.write && !it.kept.get(job.key);
            it.begun += 1;
            it.found += u64::from(!miss);
            let part = if miss { self.scenario.caches.miss_part } else { 1.0 };
            let takes = it.takes(job.work.times(part), now);
            it.busy = it.busy + takes;
            it.running.push(job);
            let life = it.life;
            self.watch.began(now, job.call, server, miss);
            self.after(takes, Event::Done { job, server, life, miss });
        }
    }

    /// Work comes in at a server. Rule 4: a cold one that is sent too much falls over, and so does the origin.
    fn demand(&mut self, job: &Job, server: usize) -> bool {
        let now = self.now;
        let Job { key, write, work: takes, of_cold, .. } = *job;
        let work = Work { key, write, takes, of_cold };
        let falls = self.servers[server].takes_in(now, work, &self.scenario);
        match falls {
            Falls::No => return true,
            Falls::Origin { .. } => self.report.origin_fell += 1,
            Falls::Cold => self.report.caches_fell += 1,
        }
        if let Some(what) = falls.broken(server) {
            self.watch.pushed_over(now, what);
        }
        self.down(server);
        self.after(FALLEN, Event::Back { server });
        false
    }

    /// The list changes; each node hears of it late.
    fn list(&mut self, server: usize, state: State, nodes: usize) {
        let started = self.servers[server].started;
        self.listed[server] = (state, started);
        for node in 0..nodes {
            let late = Span::from_ms(self.between(self.scenario.network.list_late_ms));
            self.after(late, Event::News { node, server, state, started });
        }
    }
}

/// What the module asks for goes straight to the world.
struct Desk<'a> {
    field: &'a mut Field,
    side: &'a mut Side,
}

impl Desk<'_> {
    /// Writes a shot, if it is still wanted: as the real node, which looks when its bytes are due.
    fn carry(&mut self, server: usize, life: u64, job: Job, fresh: bool) {
        let (field, side) = (&mut *self.field, &mut *self.side);
        let now = field.now;
        let ix = side.indices.get(&job.call).copied();
        let ready = side.told[server].0 == State::Ready;
        let wanted =
            ix.and_then(|ix| side.calls.get_mut(ix)).filter(|open| !open.answered && now < open.until);
        let shot =
            wanted.and_then(|open| open.shots.get_mut(job.shot)).filter(|shot| shot.out && (ready || !fresh));
        let Some(shot) = shot else {
            if field.servers[server].life == life {
                side.idle[server].push_back((life, now));
            }
            let (node, epoch, call, shot) = (side.me, side.epoch, job.call, job.shot);
            let outcome = Outcome::TooLate;
            return field.after(Span::ZERO, Event::Reply { node, epoch, call, shot, server, outcome });
        };
        (shot.written, shot.life) = (true, life);
        field.watch.sent(now, job.call, server, side.told[server].1, field.scenario.grace());
        field.report.shots += 1;
        if server == field.origin() {
            field.report.fetches += 1;
            if let Some(second) = field.report.origin.get_mut((now.0 / 1_000_000) as usize) {
                *second += 1;
            }
        }
        let way = field.way();
        field.after(way, Event::AtServer { job, server, life, fresh });
    }

    fn answer(&mut self, ix: CallIx, end: End, deed: Deed, wait: Option<Span>) {
        let Some(open) = self.side.calls.get_mut(ix) else { return };
        self.field.watch.answered(self.field.now, open.call, deed);
        self.field.report.mark(self.field.now, open.call ^ end as u64);
        if std::mem::replace(&mut open.answered, true) {
            return;
        }
        let (client, attempt, way) = (open.client, open.attempt, self.field.way());
        self.field.after(way, Event::Told { client, attempt, end, wait });
    }
}

impl Answers for Desk<'_> {
    fn dispatch(&mut self, call: CallIx, server: ServerIx, until: Time) {
        let (field, side) = (&mut *self.field, &mut *self.side);
        let Some(&at) = side.at.get(server.0) else { return };
        let Some(open) = side.calls.get_mut(call) else { return };
        let now = field.now;
        field.report.mark(now, open.call ^ (at as u64) << 40);
        let origin = at == field.origin();
        let mean = if origin {
            field.scenario.origin.work_ms
        } else {
            field.scenario.products[open.product].work_ms
        };
        let (work, id) = (field.work(mean), field.id());
        let of_cold = open.missed.iter().any(|missed| missed.2);
        let shot = open.shots.len();
        let life = field.servers[at].life;
        open.shots.push(Shot { server: at, life, job: id, sent: now, out: true, written: false });
        let job =
            Job { id, node: side.me, call: open.call, shot, key: open.key, write: open.write, work, of_cold };
        // A connection that stands is used again; a new one takes a round more.
        let idle = &mut side.idle[at];
        while idle.front().is_some_and(|first| first.0 != life || now - first.1 > KEPT_ALIVE) {
            let (of, _) = idle.pop_front().unwrap_or_default();
            if of == life {
                field.servers[at].connections = field.servers[at].connections.saturating_sub(1);
            }
        }
        let fresh = idle.pop_back().is_none();
        let (node, epoch, number) = (side.me, side.epoch, open.call);
        field.at(until, Event::ShotDue { node, epoch, call: number, shot });
        if fresh {
            field.report.handshakes += 1;
            let way = field.way();
            field.after(way, Event::Connect { node, epoch, server: at, job });
        } else {
            self.carry(at, life, job, false);
        }
    }

    fn cancel(&mut self, call: CallIx, shot: usize) {
        let (field, side) = (&mut *self.field, &mut *self.side);
        let Some(open) = side.calls.get_mut(call) else { return };
        let Some(record) = open.shots.get_mut(shot).filter(|shot| shot.out) else { return };
        let (server, life, job, written) = (record.server, record.life, record.job, record.written);
        if written {
            let way = field.way();
            field.after(way, Event::CalledOff { server, life, job });
        }
        let outcome = if written { Outcome::Cancelled } else { Outcome::TooLate };
        let (node, epoch, call) = (side.me, side.epoch, open.call);
        field.after(Span::ZERO, Event::Reply { node, epoch, call, shot, server, outcome });
    }

    fn rate_limit(&mut self, call: CallIx, retry_in: Option<Span>) {
        self.answer(call, End::RateLimited, Deed::RateLimited, retry_in);
    }

    fn error(&mut self, call: CallIx) {
        self.answer(call, End::Errored, Deed::Errored, None);
    }

    fn forget(&mut self, call: CallIx) {
        if let Some(open) = self.side.calls.take(call) {
            self.side.indices.remove(&open.call);
        }
    }

    fn drop_server(&mut self, _server: ServerIx) {}

    fn wake(&mut self, after: Span) {
        let (node, epoch) = (self.side.me, self.side.epoch);
        self.field.after(after.max(LEAST_WAKE), Event::Tick { node, epoch });
    }

    fn close(&mut self, server: ServerIx) {
        let Some(&at) = self.side.at.get(server.0) else { return };
        let life = self.field.servers[at].life;
        let closed = self.side.idle[at].drain(..).filter(|idle| idle.0 == life).count();
        let it = &mut self.field.servers[at];
        it.connections = it.connections.saturating_sub(closed);
    }
}

impl<R: Router, F: Fn(usize, u64) -> R> World<R, F> {
    pub fn new(scenario: &Scenario, make: F) -> World<R, F> {
        let seed = scenario.seed;
        let mut chance = Pcg::new(seed);
        let settings = scenario.settings(0);
        let products = settings.products();
        let sum: f64 = scenario.products.iter().map(|p| p.share).sum();
        let mut upto = 0.0;
        let shares = scenario.products.iter().map(|product| {
            upto += product.share / sum;
            upto
        });
        let shares = shares.collect();
        let caches = &scenario.caches;
        let mut server = |origin: bool| {
            let speed = if origin {
                1.0
            } else {
                caches.speed[0] + (caches.speed[1] - caches.speed[0]) * chance.unit()
            };
            Server::of(scenario, origin, speed)
        };
        let mut servers: Vec<_> = (0..caches.count).map(|_| server(false)).collect();
        servers.push(server(true));
        let names = (0..caches.count).map(|i| format!("cache-{i}")).chain(["origin".to_owned()]).collect();
        let zipf = Some(scenario.keys.skew).filter(|skew| *skew > 0.0);
        let zipf = zipf.and_then(|skew| Zipf::new(scenario.keys.count as f64, skew).ok());
        let field = Field {
            scenario: scenario.clone(),
            now: Time(0),
            end: Time::from_ms(scenario.seconds * 1000.0),
            seq: 0,
            due: BinaryHeap::new(),
            chance,
            products,
            shares,
            listed: vec![(State::Ready, None); servers.len()],
            servers,
            clients: FxHashMap::default(),
            zipf,
            drifted: 0,
            burst: 1.0,
            hot: 0.0,
            scan: 0.0,
            network: 1.0,
            next: 0,
            fresh_keys: 0,
            watch: Watch::new(SLACK),
            report: Report::new(scenario),
        };
        let mut world = World { field, nodes: Vec::new(), make, places: Places::new(&settings), names };
        for me in 0..scenario.nodes {
            let node = world.node(me, 0);
            world.nodes.push(node);
        }
        world
    }

    fn node(&self, me: usize, epoch: u64) -> Node<R> {
        let count = self.field.servers.len();
        let seed =
            self.field.scenario.seed ^ (me as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ epoch << 48;
        let side = Side {
            me,
            epoch,
            up: true,
            servers: Servers::default(),
            at: Vec::new(),
            calls: Calls::default(),
            indices: FxHashMap::default(),
            idle: vec![VecDeque::new(); count],
            told: vec![(State::Gone, None); count],
            deaf: false,
        };
        Node { side, router: (self.make)(me, seed) }
    }

    fn desk<T>(&mut self, node: usize, act: impl FnOnce(&mut R, &mut Desk, Time) -> T) -> T {
        let now = self.field.now;
        let Node { side, router } = &mut self.nodes[node];
        act(router, &mut Desk { field: &mut self.field, side }, now)
    }

    /// Tells a node of servers; `complete`: of all that there are.
    fn tell(&mut self, node: usize, complete: bool, news: &[(usize, State, Option<Time>)]) {
        let now = self.field.now;
        let side = &mut self.nodes[node].side;
        let mut lines = Vec::with_capacity(news.len());
        for &(server, state, started) in news {
            let ix = side.servers.index(&self.names[server]);
            side.at.resize(side.at.len().max(ix.0 + 1), 0);
            side.at[ix.0] = server;
            let since = side.told[server].1.or(Some(now)).filter(|_| state != State::Ready);
            side.told[server] = (state, since);
            let origin = server + 1 == self.names.len();
            let kind = Some(if origin { "origin" } else { "cache" });
            let name = &self.names[server];
            let line = Line { name, zone: Some("lab"), kind, cell: Some(0), state, scale: None, started };
            lines.push(self.places.listing(ix, line));
        }
        let Node { side, router } = &mut self.nodes[node];
        router.list(now, complete, lines.into_iter(), &mut Desk { field: &mut self.field, side });
    }

    fn tell_all(&mut self, node: usize) {
        let all: Vec<_> = self.field.listed.iter().enumerate().map(|(i, told)| (i, told.0, told.1)).collect();
        self.tell(node, true, &all);
    }

    pub fn play(mut self) -> Report {
        if self.field.scenario.caches.filled {
            self.fill();
        }
        for node in 0..self.nodes.len() {
            self.desk(node, |router, desk, now| router.start(now, desk));
            self.tell_all(node);
        }
        for (i, fault) in self.field.scenario.faults.clone().iter().enumerate() {
            self.field.at(Time::from_ms(fault.at * 1000.0), Event::Begins(i));
        }
        self.field.after(Span::ZERO, Event::Arrive);
        // After the end nothing new comes, and what is open has its time.
        let last = self.field.end + Span::ms(120_000);
        while let Some(Reverse(Due(at, _, event))) = self.field.due.pop() {
            if at > last
                || at > self.field.end && self.field.clients.is_empty() && self.field.watch.open() == 0
            {
                break;
            }
            self.field.now = at;
            self.event(event);
        }
        let Field { mut report, watch, clients, .. } = self.field;
        (report.broken, report.broken_count) = (watch.broken, watch.count);
        report.open = clients.len() as u64;
        report
    }

    /// Each cache keeps an even part of what is most popular: what a fleet that has run for long would hold.
    fn fill(&mut self) {
        let caches = self.field.servers.len() - 1;
        let room = self.field.scenario.caches.memory * caches;
        let most = (room as u64).min(self.field.scenario.keys.count);
        // Nearest points and hashes both spread keys by their hash; which cache has which is for the run to find.
        for key in (0..most).rev() {
            let at = (key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) as usize % caches;
            self.field.servers[at].kept.put(key);
        }
    }

    fn event(&mut self, event: Event) {
        let now = self.field.now;
        match event {
            Event::Arrive => self.arrive(),
            Event::AtNode { client, attempt } => self.at_node(client, attempt),
            Event::GivesUp { client, attempt } => self.gives_up(client, attempt),
            Event::Retries { client } => self.attempt(client),
            Event::Told { client, attempt, end, wait } => self.told(client, attempt, end, wait),
            Event::AtServer { job, server, life, fresh } => self.at_server(job, server, life, fresh),
            Event::Done { job, server, life, miss } => self.done(job, server, life, miss),
            Event::Reply { node, epoch, call, shot, server, outcome } => {
                if epoch == u64::MAX || self.nodes[node].side.epoch == epoch {
                    self.reply(node, call, shot, server, outcome);
                }
            }
            Event::ShotDue { node, epoch, call, shot } => self.shot_due(node, epoch, call, shot),
            Event::CalledOff { server, life, job } => {
                let it = &mut self.field.servers[server];
                if it.life == life && it.health != Health::Down {
                    it.queue.retain(|other| other.id != job);
                    it.running.retain(|other| other.id != job);
                    // The connection goes with it.
                    it.connections = it.connections.saturating_sub(1);
                    self.field.begin_work(server);
                }
            }
            Event::Stored { server, life, key } => {
                if self.field.servers[server].life == life {
                    self.field.servers[server].kept.put(key);
                }
            }
            Event::CallDue { call } => {
                self.field.watch.due(now, call);
                self.field.after(REMEMBERED, Event::Forgotten { call });
            }
            Event::Forgotten { call } => self.field.watch.forget(call),
            Event::Tick { node, epoch } => {
                if self.nodes[node].side.up
                    && self.nodes[node].side.epoch == epoch
                    && now <= self.field.end + REMEMBERED
                {
                    self.desk(node, |router, desk, now| router.tick(now, desk));
                }
            }
            Event::News { node, server, state, started } => {
                let side = &self.nodes[node].side;
                if side.up && !side.deaf {
                    self.tell(node, false, &[(server, state, started)]);
                }
            }
            Event::Begins(i) => self.fault(i, true),
            Event::Ends(i) => self.fault(i, false),
            Event::Back { server } => {
                self.field.up(server);
                self.field.list(server, State::Ready, self.nodes.len());
            }
            Event::Gone { server, life } => {
                if self.field.servers[server].life == life {
                    self.field.down(server);
                    self.field.list(server, State::Gone, self.nodes.len());
                }
            }
            Event::Rolls { node } => self.end_node(node),
            Event::Connect { node, epoch, server, job } => self.connect(node, epoch, server, job),
            Event::Connected { node, epoch, server, life, job } => {
                if self.nodes[node].side.epoch == epoch && self.nodes[node].side.up {
                    self.desk(node, |_, desk, _| desk.carry(server, life, job, true));
                } else if self.field.servers[server].life == life {
                    let it = &mut self.field.servers[server];
                    it.connections = it.connections.saturating_sub(1);
                }
            }
            Event::NodeBack { node } => {
                let epoch = self.nodes[node].side.epoch;
                self.nodes[node] = self.node(node, epoch);
                self.desk(node, |router, desk, now| router.start(now, desk));
                self.tell_all(node);
            }
        }
    }

    fn arrive(&mut self) {
        let field = &mut self.field;
        let gap: f64 = Exp1.sample(&mut field.chance);
        let rate = field.scenario.traffic.rate * field.burst;
        let next = field.now + Span::from_ms(gap / rate * 1000.0);
        if next < field.end {
            field.at(next, Event::Arrive);
        }
        field.drifted =
            (field.scenario.keys.drift * field.scenario.keys.count as f64 * field.now.ms() / 1000.0) as u64;
        let draw = field.chance.unit();
        let product = field.shares.iter().position(|upto| draw < *upto).unwrap_or(field.shares.len() - 1);
        let key = field.key();
        let (id, asked) = (field.id(), field.now);
        let client =
            Client { product, key, asked, attempt: 0, tried: asked, node: 0, call: None, answered: false };
        field.clients.insert(id, client);
        field.report.begun += 1;
        self.attempt(id);
    }

    /// A client makes its next try, at a node by chance.
    fn attempt(&mut self, id: u64) {
        let nodes = self.nodes.len();
        let field = &mut self.field;
        let node = ((field.chance.unit() * nodes as f64) as usize).min(nodes - 1);
        let patience = field.between(field.scenario.clients.patience);
        let Some(client) = field.clients.get_mut(&id) else { return };
        client.tried = field.now;
        (client.attempt, client.node, client.call, client.answered) = (client.attempt + 1, node, None, false);
        let (attempt, timeout) = (client.attempt, field.products[client.product].timeout);
        field.report.tries += 1;
        let way = field.way();
        field.after(way, Event::AtNode { client: id, attempt });
        field.after(timeout.times(patience), Event::GivesUp { client: id, attempt });
    }

    fn at_node(&mut self, id: u64, attempt: u32) {
        let now = self.field.now;
        let Some(client) = self.field.clients.get(&id).filter(|client| client.attempt == attempt) else {
            return;
        };
        let (node, product, key) = (client.node, client.product, client.key);
        if !self.nodes[node].side.up {
            // Refused at once: nothing was taken.
            let way = self.field.way();
            return self
                .field
                .after(way, Event::Told { client: id, attempt, end: End::RateLimited, wait: None });
        }
        let rules = self.field.products[product];
        let write = self.field.scenario.products[product].write;
        let left = rules.timeout;
        let left = Span((left.0 - Span::ms(3).0).max(0));
        let (call, until) = (self.field.id(), now + left);
        if let Some(client) = self.field.clients.get_mut(&id) {
            client.call = Some(call);
        }
        self.field.watch.taken(now, call, node, rules, until + Span::ms(3));
        self.field.at(until + Span::ms(3) + SLACK, Event::CallDue { call });
        let open = Open {
            call,
            client: id,
            attempt,
            product,
            key,
            write,
            until,
            answered: false,
            shots: Vec::new(),
            missed: Vec::new(),
        };
        let side = &mut self.nodes[node].side;
        let ix = side.calls.put(open);
        side.indices.insert(call, ix);
        let text = format!("{key:x}");
        let ask = Ask { product, tenant: usize::MAX, key: Some(&text), write, repeat: attempt > 1, left };
        self.desk(node, |router, desk, now| router.call(now, ix, ask, desk));
    }

    /// A try has had its time: the client closes, and may ask again.
    fn gives_up(&mut self, id: u64, attempt: u32) {
        let Some(client) = self.field.clients.get(&id).filter(|client| client.attempt == attempt) else {
            return;
        };
        if client.answered {
            return;
        }
        let (node, call) = (client.node, client.call);
        let early = self.field.now - client.tried < self.field.products[client.product].timeout;
        if let Some(call) = call {
            // One that stayed to its client timeout was owed an answer.
            if early {
                self.field.watch.left(self.field.now, call);
            }
            let side = &mut self.nodes[node].side;
            if let Some(&ix) = side.indices.get(&call).filter(|_| side.up) {
                let owed =
                    side.calls.get_mut(ix).is_some_and(|open| !std::mem::replace(&mut open.answered, true));
                if owed {
                    self.desk(node, |router, desk, now| router.withdrawn(now, ix, desk));
                }
            }
        }
        self.next_try(id, End::GaveUp, None);
    }

    fn told(&mut self, id: u64, attempt: u32, end: End, wait: Option<Span>) {
        let Some(client) = self.field.clients.get_mut(&id).filter(|client| client.attempt == attempt) else {
            return;
        };
        if std::mem::replace(&mut client.answered, true) {
            return;
        }
        if end != End::Fulfilled {
            return self.next_try(id, end, wait);
        }
        let Some(client) = self.field.clients.remove(&id) else { return };
        let took = self.field.now - client.asked;
        let rules = self.field.products[client.product];
        let in_slo = took <= rules.slo;
        let part = if in_slo { 1.0 } else { rules.late_value };
        let (product, asked, worth) = (client.product, client.asked, rules.value);
        self.field.report.end(Ended { product, asked, took, end, in_slo, worth, part });
    }

    /// Asks again where clients do, or ends without a value.
    fn next_try(&mut self, id: u64, end: End, wait: Option<Span>) {
        let field = &mut self.field;
        let Some(client) = field.clients.get_mut(&id) else { return };
        let effect = field.products[client.product].effect;
        let harmless = effect != quartzhub_policy::Effect::NonIdempotent || end == End::RateLimited;
        if harmless && (client.attempt as usize) <= field.scenario.clients.retries && field.now < field.end {
            client.answered = true;
            let mean = wait.map_or(field.scenario.clients.wait_ms, Span::as_ms);
            let wait = Span::from_ms(mean * (0.5 + field.chance.unit()));
            return field.after(wait, Event::Retries { client: id });
        }
        if let Some(client) = field.clients.remove(&id) {
            let (took, worth) = (field.now - client.asked, field.products[client.product].value);
            let (product, asked) = (client.product, client.asked);
            field.report.end(Ended { product, asked, took, end, in_slo: false, worth, part: 0.0 });
        }
    }

    fn connect(&mut self, node: usize, epoch: u64, server: usize, job: Job) {
        let field = &mut self.field;
        let way = field.way();
        let most = field.scenario.caches.connections;
        let it = &mut field.servers[server];
        if it.health == Health::Down || !it.origin && it.connections >= most {
            field.report.refused += 1;
            let (call, shot, outcome) = (job.call, job.shot, Outcome::Unreachable);
            return field.after(way, Event::Reply { node, epoch, call, shot, server, outcome });
        }
        it.connections += 1;
        let life = it.life;
        field.after(way, Event::Connected { node, epoch, server, life, job });
    }

    fn at_server(&mut self, job: Job, server: usize, life: u64, fresh: bool) {
        let field = &mut self.field;
        let way = field.way();
        let (node, call, shot) = (job.node, job.call, job.shot);
        let reply = |outcome| Event::Reply { node, epoch: u64::MAX, call, shot, server, outcome };
        let it = &mut field.servers[server];
        if it.health == Health::Down || it.life != life {
            // The connection was to an earlier life; what it had been sent may have run there.
            return field.after(way, reply(Outcome::Reset));
        }
        if it.health == Health::Hung {
            return it.queue.push_back(job);
        }
        if !field.demand(&job, server) {
            return field.after(way, reply(Outcome::Reset));
        }
        let it = &mut field.servers[server];
        if it.is_full() {
            return field.after(way, reply(Outcome::Full));
        }
        let mut job = job;
        if fresh {
            job.work = job.work + Span::from_ms(field.scenario.caches.handshake_ms);
        }
        field.servers[server].queue.push_back(job);
        field.begin_work(server);
    }

    fn done(&mut self, job: Job, server: usize, life: u64, miss: bool) {
        let it = &mut self.field.servers[server];
        let at = it.running.iter().position(|other| other.id == job.id).filter(|_| it.life == life);
        let Some(at) = at else { return };
        it.running.swap_remove(at);
        if it.health == Health::Hung {
            // The work is done and nobody is told.
            return;
        }
        let (cold, origin) = (it.is_cold(self.field.now), it.origin);
        let outcome = if miss { Outcome::Miss } else { Outcome::Fulfilled };
        if !origin {
            *(if miss { &mut self.field.report.misses } else { &mut self.field.report.hits }) += 1;
        }
        let side = &mut self.nodes[job.node].side;
        let open = side.indices.get(&job.call).copied().and_then(|ix| side.calls.get_mut(ix));
        if let Some(open) = open {
            if miss {
                open.missed.push((server, life, cold));
            } else if origin && !job.write {
                // The value is stored where the API call missed.
                for (server, life, _) in open.missed.clone() {
                    let way = self.field.way();
                    self.field.after(way, Event::Stored { server, life, key: job.key });
                }
            }
        }
        if origin && job.write {
            self.field.servers.iter_mut().for_each(|server| server.kept.remove(job.key));
        }
        let way = self.field.way();
        let (node, call, shot) = (job.node, job.call, job.shot);
        self.field.after(way, Event::Reply { node, epoch: u64::MAX, call, shot, server, outcome });
        self.field.begin_work(server);
    }

    /// A shot has ended for its node: its connection may carry another.
    fn reply(&mut self, node: usize, call: u64, shot: usize, server: usize, outcome: Outcome) {
        let now = self.field.now;
        let side = &mut self.nodes[node].side;
        if !side.up {
            return;
        }
        let Some(&ix) = side.indices.get(&call) else { return };
        let Some(open) = side.calls.get_mut(ix) else { return };
        let Some(record) = open.shots.get_mut(shot).filter(|shot| shot.out) else { return };
        record.out = false;
        let (sent, life) = (record.sent, record.life);
        self.field.report.mark(now, call ^ (outcome as u64) << 8);
        let kept = matches!(outcome, Outcome::Fulfilled | Outcome::Miss | Outcome::Full);
        if kept && side.told[server].0 == State::Ready {
            side.idle[server].push_back((life, now));
        } else if kept && self.field.servers[server].life == life {
            let it = &mut self.field.servers[server];
            it.connections = it.connections.saturating_sub(1);
        }
        let late = now >= open.until;
        if outcome == Outcome::Fulfilled && !open.answered && !late {
            self.desk(node, |_, desk, _| desk.answer(ix, End::Fulfilled, Deed::Fulfilled, None));
        }
        let call_ended = self.nodes[node].side.calls.get(ix).is_none_or(|open| open.answered);
        let ending = Ending { shot, outcome, took: now - sent, call_ended };
        self.desk(node, |router, desk, now| router.outcome(now, ix, ending, desk));
    }

    fn shot_due(&mut self, node: usize, epoch: u64, call: u64, shot: usize) {
        let side = &self.nodes[node].side;
        if side.epoch != epoch {
            return;
        }
        let open = side.indices.get(&call).and_then(|ix| side.calls.get(*ix));
        let Some(record) = open.and_then(|open| open.shots.get(shot)).filter(|shot| shot.out) else { return };
        let (server, life, job, written) = (record.server, record.life, record.job, record.written);
        if written {
            let way = self.field.way();
            self.field.after(way, Event::CalledOff { server, life, job });
        }
        self.reply(node, call, shot, server, if written { Outcome::TimedOut } else { Outcome::Unreachable });
    }

    fn fault(&mut self, i: usize, begins: bool) {
        let fault = self.field.scenario.faults[i].clone();
        let (nodes, caches) = (self.nodes.len(), self.field.servers.len() - 1);
        let lasts = Span::from_ms(fault.lasts * 1000.0);
        let part = |count: usize| ((count as f64 * fault.share).round() as usize).clamp(1, count);
        // The same ones at its beginning and its end: every so many, from a place that the fault's number gives.
        let some = |count: usize| {
            let (from, all) = (i * 7 % count, part(count));
            (0..all).map(move |j| (from + j * count / all) % count)
        };
        if begins {
            self.field.after(lasts, Event::Ends(i));
        }
        match fault.kind {
            Kind::Crash | Kind::ColdRestart if begins => {
                for server in some(caches) {
                    self.field.down(server);
                    match fault.kind {
                        Kind::Crash => {
                            self.field.list(server, State::Gone, nodes);
                            self.field.after(lasts, Event::Back { server });
                        }
                        _ => self.field.after(Span::ms(500), Event::Back { server }),
                    }
                }
            }
            Kind::Hang => {
                for server in some(caches) {
                    if begins {
                        self.field.servers[server].health = Health::Hung;
                    } else if self.field.servers[server].health == Health::Hung {
                        // What it had is forgotten: its clients have left long ago.
                        self.field.reset_jobs(server, Outcome::Reset);
                        self.field.servers[server].health = Health::Up;
                    }
                }
            }
            Kind::Slow => {
                some(caches).for_each(|server| {
                    self.field.servers[server].slow = if begins { fault.factor } else { 1.0 }
                });
            }
            Kind::Drain if begins => {
                for server in some(caches) {
                    self.field.list(server, State::Draining, nodes);
                    let life = self.field.servers[server].life;
                    self.field.after(lasts, Event::Gone { server, life });
                    self.field.after(lasts + Span::ms(5_000), Event::Back { server });
                }
            }
            Kind::Partition => {
                for node in some(nodes) {
                    self.nodes[node].side.deaf = begins;
                    if !begins && self.nodes[node].side.up {
                        self.tell_all(node);
                    }
                }
            }
            Kind::OriginSlow => {
                let origin = self.field.origin();
                self.field.servers[origin].slow = if begins { fault.factor } else { 1.0 };
            }
            Kind::OriginStop if begins => {
                let server = self.field.origin();
                self.field.down(server);
                self.field.after(lasts, Event::Back { server });
            }
            Kind::Burst => self.field.burst = if begins { fault.factor } else { 1.0 },
            Kind::HotKey => self.field.hot = if begins { fault.share } else { 0.0 },
            Kind::Scan => self.field.scan = if begins { fault.share } else { 0.0 },
            Kind::Network => self.field.network = if begins { fault.factor } else { 1.0 },
            Kind::NodeRoll if begins => {
                let all: Vec<_> = some(nodes).collect();
                // One after the other over its time; each is away for half a second.
                for (j, node) in all.iter().enumerate() {
                    let at = Span((lasts.0 as f64 * j as f64 / all.len() as f64) as i64);
                    self.field.after(at, Event::Rolls { node: *node });
                }
            }
            _ => {}
        }
    }

    /// A node ends, with all that it has, and comes back with nothing but the list.
    fn end_node(&mut self, node: usize) {
        let side = &mut self.nodes[node].side;
        if !side.up {
            return;
        }
        (side.up, side.epoch) = (false, side.epoch + 1);
        let open: Vec<_> = side.indices.iter().map(|(call, ix)| (*call, *ix)).collect();
        for (call, ix) in open {
            self.field.watch.lost_with_node(call);
            let Some(open) = self.nodes[node].side.calls.get(ix) else { continue };
            let (client, attempt, answered) = (open.client, open.attempt, open.answered);
            let shots: Vec<_> = open.shots.iter().filter(|shot| shot.out).copied().collect();
            for shot in shots {
                let way = self.field.way();
                let Shot { server, life, job, .. } = shot;
                self.field.after(way, Event::CalledOff { server, life, job });
            }
            if !answered {
                let way = self.field.way();
                self.field.after(way, Event::Told { client, attempt, end: End::Errored, wait: None });
            }
        }
        for server in 0..self.field.servers.len() {
            let life = self.field.servers[server].life;
            let idle = self.nodes[node].side.idle[server].iter().filter(|idle| idle.0 == life).count();
            let it = &mut self.field.servers[server];
            it.connections = it.connections.saturating_sub(idle);
        }
        self.field.after(Span::ms(500), Event::NodeBack { node });
    }
}
