//! The one place where state changes. It owns the module and the tables of clients, API calls, attempts and
//! upstreams (connections to servers); sockets report to it by its methods, and it asks for reading and writing
//! by effects. It has no socket and no clock.
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use quartzhub_members::Server as Name;
use quartzhub_names::{place, Calls, Line, Places, Servers};
use quartzhub_policy::{
    Answers, Ask, Balancer, CallIx, Effect as Effects, Ending, Listing, Outcome, Product, ServerIx, Settings,
    Span, State, Time,
};
use rustc_hash::FxHashMap;

use crate::caches::Answer;
use crate::config::{Config, News};
use crate::figures::{Counted, Figures};
use crate::limits::Limits;
use crate::service::{Idle, Service};

mod lists;
mod world;

pub use crate::words::*;

struct Attempt {
    server: ServerIx,
    started: Time,
    until: Time,
    /// When its last byte must be written.
    by: Time,
    upstream: Option<UpstreamId>,
}

struct Call {
    words: Rc<Words>,
    client: ClientId,
    /// Where its answer is counted.
    counted: Option<usize>,
    /// Which of its client's commands this is.
    turn: u64,
    until: Time,
    /// The client has its final answer, or has gone.
    answered: bool,
    attempts: Vec<Attempt>,
}

/// A client's connection: one entry for each command not yet answered on it, in order.
#[derive(Default)]
struct Client {
    turns: VecDeque<Option<Said>>,
    /// The number of the first entry.
    first: u64,
    open: Vec<CallIx>,
    /// Upstreams that pass a value on to it.
    passing: Vec<UpstreamId>,
    /// Bytes of answers not yet written.
    held: usize,
    closing: bool,
    last: Time,
    /// It has made an API call; and commands that could not be done.
    asked: bool,
    faults: usize,
}

impl Client {
    /// Nothing is owed to it. Guards against taking one that is sent a large value for one that can make room.
    fn idle(&self) -> bool {
        self.turns.is_empty() && self.passing.is_empty() && !self.closing
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Use {
    Connecting(CallIx, usize),
    /// `written`: its last byte is.
    Carrying {
        call: CallIx,
        attempt: usize,
        written: bool,
        fresh: bool,
        /// The first bytes of its answer have come.
        begun: bool,
    },
    /// Its value goes to a client as it comes; nothing of the API call is left to decide.
    Passing {
        client: ClientId,
        counted: Option<usize>,
    },
    Idle,
    /// It has done what it was for.
    Closing,
}

struct Upstream {
    server: ServerIx,
    used: Use,
    /// When the present use ends by itself.
    due: Time,
}

#[derive(Default)]
struct Server {
    addr: Option<SocketAddr>,
    started: Option<Time>,
    origin: bool,
    state: State,
    /// Idle upstreams, the newest last.
    idle: Vec<UpstreamId>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Tick,
    Upstream(UpstreamId),
    Call(CallIx),
    /// Clients are closed in another way from now on.
    Service,
}

/// All but the module, which acts on it through `Answers`.
struct World {
    now: Time,
    limits: Limits,
    servers: Vec<Server>,
    calls: Calls<Call>,
    /// API calls without a final answer, by their ids.
    ids: HashMap<String, CallIx>,
    clients: FxHashMap<ClientId, Client>,
    upstreams: FxHashMap<UpstreamId, Upstream>,
    due: BTreeSet<(Time, Due)>,
    /// Attempts that ended and that the module has not been told of.
    ended: VecDeque<(CallIx, usize, Outcome)>,
    effects: VecDeque<Effect>,
    /// Servers that have gone for good and whose ids are to be forgotten.
    dropped: Vec<ServerIx>,
    last_id: u64,
    held: usize,
    service: Service,
    counted: Counted,
    /// Values that are being passed on.
    passing: usize,
    /// Attempts whose last byte is written, to a cache or to the origin.
    attempts: u64,
    /// When all must be answered, as the node is about to end.
    end: Option<Time>,
    /// When the module's timer is due, and the last time that it was far too late, and by how much.
    tick: Time,
    stall: (Time, Span),
}

pub struct Reducer {
    balancer: Balancer,
    world: World,
    places: Places,
    products: Vec<Product>,
    /// Where the answers to each product are counted.
    counted: Vec<Option<usize>>,
    servers: Servers,
    origin_kind: usize,
    /// Discovery has told a list since the start.
    news: bool,
    /// What the list said of each server last, by its index; and those that operators have ordered drained.
    listed: Vec<Option<lists::Listed>>,
    drained: HashSet<Name>,
    /// Configurations read at SIGHUP: taken, and turned down.
    applied: u64,
    rejected: u64,
}

/// The place of the origin's kind among the kinds: as told, or the one of that name.
fn origin_kind(settings: &Settings, places: &Places) -> usize {
    let told = settings.number("extra.origin_kind", -1.0);
    if told >= 0.0 {
        told as usize
    } else {
        place(&places.kinds, Some("origin"))
    }
}

/// Reports of the sockets. Each takes the time at which it is made.
impl Reducer {
    pub fn new(config: &Config) -> Reducer {
        let places = Places::new(&config.settings);
        let mut counts = Counted::default();
        let most = config.limits.products;
        let counted = places.products.iter().map(|name| counts.place(name, most)).collect();
        Reducer {
            counted,
            news: false,
            listed: Vec::new(),
            drained: HashSet::new(),
            applied: 0,
            rejected: 0,
            balancer: Balancer::new(&config.settings, config.seed),
            origin_kind: origin_kind(&config.settings, &places),
            places,
            products: config.settings.products(),
            servers: Servers::default(),
            world: World {
                now: Time(0),
                limits: config.limits.clone(),
                servers: Vec::new(),
                calls: Calls::default(),
                ids: HashMap::new(),
                clients: FxHashMap::default(),
                upstreams: FxHashMap::default(),
                due: BTreeSet::new(),
                ended: VecDeque::new(),
                effects: VecDeque::new(),
                dropped: Vec::new(),
                last_id: 0,
                held: 0,
                service: Service::default(),
                counted: counts,
                passing: 0,
                attempts: 0,
                end: None,
                tick: Time(0),
                stall: (Time(0), Span::ZERO),
            },
        }
    }

    /// Goes by other settings from now on. Open API calls keep the rules that they came under, counts go on, and the
    /// module keeps what it learnt where it still means the same.
    pub fn retune(&mut self, now: Time, settings: &Settings) {
        self.at(now);
        self.places.renew(settings);
        self.origin_kind = origin_kind(settings, &self.places);
        let (names, most) = (&self.places.products, self.world.limits.products);
        self.counted = names.iter().map(|name| self.world.counted.place(name, most)).collect();
        self.products = settings.products();
        self.world.limits = self.world.limits.retuned(settings);
        self.balancer.retune(settings);
    }

    pub fn limits(&self) -> &Limits {
        &self.world.limits
    }

    pub fn start(&mut self, now: Time) {
        self.at(now);
        self.balancer.start(now, &mut self.world);
        self.settle();
    }

    /// Guards against an attempt that is called off between being asked for and being written: what concerns a
    /// upstream that is no more is not carried out.
    pub fn next_effect(&mut self) -> Option<Effect> {
        loop {
            match self.world.effects.pop_front()? {
                Effect::Write { upstream, .. } | Effect::Connect { upstream, .. }
                    if !self.world.upstreams.contains_key(&upstream) => {}
                effect => return Some(effect),
            }
        }
    }

    pub fn next_due(&self) -> Option<Time> {
        self.world.due.first().map(|due| due.0)
    }

    /// Bytes held for API calls and answers.
    pub fn held(&self) -> usize {
        self.world.held
    }

    /// This node's own load, for the others: attempts out at caches, and their answers a second.
    pub fn load(&self) -> [f64; 2] {
        self.balancer.load()
    }

    pub fn open_calls(&self) -> usize {
        self.world.calls.len() + self.world.passing
    }

    /// Commands of this client that have no answer yet.
    pub fn waiting(&self, client: ClientId) -> usize {
        self.world.clients.get(&client).map_or(0, |client| client.turns.len())
    }

    /// Whether this client has made an API call.
    pub fn has_asked(&self, client: ClientId) -> bool {
        self.world.clients.get(&client).is_some_and(|client| client.asked)
    }

    /// How many commands of this client could not be done.
    pub fn faults(&self, client: ClientId) -> usize {
        self.world.clients.get(&client).map_or(0, |client| client.faults)
    }

    pub fn client_came(&mut self, now: Time) -> ClientId {
        self.at(now);
        let id = ClientId(self.world.id());
        self.world.clients.insert(id, Client { last: now, ..Client::default() });
        id
    }

    /// A client closed its connection, or it broke: what it asked is called off.
    pub fn client_left(&mut self, now: Time, id: ClientId) {
        self.at(now);
        let Some(client) = self.world.clients.remove(&id) else { return };
        self.world.held = self.world.held.saturating_sub(client.held);
        for upstream in client.passing {
            self.world.close_upstream(upstream);
        }
        for ix in client.open {
            if let Some(call) = self.world.calls.get_mut(ix) {
                call.answered = true;
                self.world.ids.remove(&call.words.id);
                self.balancer.withdrawn(now, ix, &mut self.world);
            }
        }
        self.settle();
    }

    /// Whether one more client can be taken. If not, the connection that has been idle longest is closed: to a
    /// server, or else a client's.
    pub fn make_room(&mut self, now: Time) -> Room {
        self.at(now);
        let (world, limits) = (&self.world, &self.world.limits);
        let most = limits.sockets - limits.for_servers;
        if world.sockets() < limits.sockets && world.clients.len() < most {
            return Room::Free;
        }
        let upstream_helps = world.clients.len() < most;
        // Guards against a crowd of new connections, bad clients' among them, that drives out those at work.
        if self.world.close_spare_client() || upstream_helps && self.world.close_idlest_upstream() {
            Room::Soon
        } else {
            Room::None
        }
    }

    /// Answers of so many bytes were written to a client.
    pub fn delivered(&mut self, id: ClientId, bytes: usize) {
        if let Some(client) = self.world.clients.get_mut(&id) {
            let bytes = bytes.min(client.held);
            client.held -= bytes;
            self.world.held = self.world.held.saturating_sub(bytes);
        }
    }

    /// A command that the node answers by itself.
    pub fn plain(&mut self, now: Time, id: ClientId, answer: Vec<u8>) {
        self.at(now);
        if let Some(turn) = self.world.turn(id) {
            self.world.answer(id, turn, Said::Plain(answer));
        }
    }

    /// Whether new clients are welcome here; asked by the front, and answered in RESP's form.
    pub fn ping(&mut self, now: Time, id: ClientId, welcome: Vec<u8>) {
        let out = || b"-ERR out of service\r\n".to_vec();
        let answer = if self.world.service.welcomes() { welcome } else { out() };
        self.plain(now, id, answer);
    }

    /// A command that can't be done; it gets an error and reaches no server.
    pub fn faulty(&mut self, now: Time, id: ClientId, what: &str) {
        if let Some(client) = self.world.clients.get_mut(&id) {
            client.faults += 1;
        }
        self.plain(now, id, format!("-ERR {what}\r\n").into_bytes());
    }

    /// Nothing more is read from this client; it is closed once it has its answers.
    pub fn last_answer(&mut self, now: Time, id: ClientId, answer: Vec<u8>) {
        self.plain(now, id, answer);
        if let Some(client) = self.world.clients.get_mut(&id) {
            client.closing = true;
            if client.turns.is_empty() {
                self.world.close_client(id);
            }
        }
    }

    /// An API call.
    pub fn call(&mut self, now: Time, id: ClientId, words: Words, facts: Facts) {
        self.at(now);
        // Guards against what no server can use, or would take for another API call.
        let product = place(&self.places.products, facts.product);
        let what = match self.products.get(product) {
            None => Some("no such product"),
            Some(product) if product.effect == Effects::Deduplicated && !facts.mark => {
                Some("this product needs a mark for repeated writes")
            }
            _ if self.world.ids.contains_key(&words.id) => Some("an API call with this id is open"),
            _ => None,
        };
        let counted = self.counted.get(product).copied().flatten();
        if let Some(what) = what {
            self.world.counted.count(counted, &Said::Errored(what));
            return self.faulty(now, id, what);
        }
        let Some(turn) = self.world.turn(id) else { return };
        // Guards against running out of memory: what is over the limits is turned away before it is taken.
        let size = words.value.as_ref().map_or(0, Bytes::len);
        let (calls, limits) = (self.world.calls.len(), &self.world.limits);
        if calls >= limits.calls || self.world.held + size > limits.held {
            self.world.counted.count(counted, &Said::RateLimited(None));
            return self.world.answer(id, turn, Said::RateLimited(None));
        }
        self.world.held += size;
        let unread = self.world.waited().max(facts.queued);
        let given = Span((facts.wait.0 - self.world.limits.way.0 - unread.0).max(0));
        let left = self.world.end.map_or(given, |end| given.min((end - now).max(Span::ZERO)));
        let until = now + left;
        let tenant = place(&self.places.tenants, facts.tenant);
        let (key, write, name) = (words.key.clone(), words.value.is_some(), words.id.clone());
        let words = Rc::new(words);
        let call = Call { words, client: id, counted, turn, until, answered: false, attempts: Vec::new() };
        let ix = self.world.calls.put(call);
        self.world.due.insert((until + self.world.limits.overdue, Due::Call(ix)));
        self.world.ids.insert(name, ix);
        if let Some(client) = self.world.clients.get_mut(&id) {
            client.open.push(ix);
            if !std::mem::replace(&mut client.asked, true) {
                self.world.thin_out_clients();
            }
        }
        let ask = Ask { product, tenant, key: Some(&key), write, repeat: facts.repeat, left };
        self.balancer.call(now, ix, ask, &mut self.world);
        self.settle();
    }

    /// An upstream is up: what waited for it is written, if it is still wanted.
    pub fn connected(&mut self, now: Time, id: UpstreamId) {
        self.at(now);
        if let Some(Upstream { used: Use::Connecting(call, attempt), .. }) = self.world.upstreams.get(&id) {
            let (call, attempt) = (*call, *attempt);
            self.world.carry(id, call, attempt, true);
        }
        self.settle();
    }

    /// The last byte of what an upstream carries is written.
    pub fn written(&mut self, id: UpstreamId) {
        let world = &mut self.world;
        let Some(upstream) = world.upstreams.get_mut(&id) else { return };
        let Use::Carrying { call, attempt, written, begun, .. } = &mut upstream.used else { return };
        world.attempts += u64::from(!std::mem::replace(written, true));
        let record = world.calls.get(*call).and_then(|call| call.attempts.get(*attempt));
        // Only what had to be out sooner has more time for its answer now, and not where that has begun.
        if let Some(until) =
            record.filter(|attempt| attempt.by < attempt.until && !*begun).map(|attempt| attempt.until)
        {
            world.set_due(id, until);
        }
    }

    /// An upstream never came up, or broke, or ended.
    pub fn broke(&mut self, now: Time, id: UpstreamId) {
        self.at(now);
        let Some(upstream) = self.world.drop_upstream(id) else { return };
        match upstream.used {
            Use::Idle | Use::Closing => {}
            Use::Connecting(call, attempt) => self.world.end_attempt(call, attempt, Outcome::Unreachable),
            Use::Carrying { call, attempt, written: true, .. } => {
                self.world.end_attempt(call, attempt, Outcome::Reset);
            }
            Use::Carrying { call, attempt, fresh: true, .. } => {
                self.world.end_attempt(call, attempt, Outcome::Unreachable);
            }
            Use::Passing { client, counted } => self.world.passing_failed(id, client, counted),
            // Guards against blaming a server for an idle upstream that it had just closed: the last byte was
            // not written, so the attempt has not been made yet, and a new upstream carries it.
            Use::Carrying { call, attempt, .. } => self.world.open(call, attempt),
        }
        self.settle();
    }

    /// An upstream could not be opened for want of something on this machine. Guards against blaming a server.
    pub fn not_opened(&mut self, now: Time, id: UpstreamId) {
        self.at(now);
        if let Some(Upstream { used: Use::Connecting(call, attempt), .. }) = self.world.drop_upstream(id) {
            self.world.end_attempt(call, attempt, Outcome::TooLate);
        }
        self.settle();
    }

    /// A server has answered what the upstream carried.
    pub fn answered(&mut self, now: Time, id: UpstreamId, answer: Answer) {
        self.at(now);
        let Some(upstream) = self.world.upstreams.get(&id) else { return };
        let Use::Carrying { call, attempt, written, .. } = upstream.used else {
            // Nothing was asked: whatever this is, the upstream can't be trusted.
            self.world.close_upstream(id);
            return self.settle();
        };
        if answer.reusable && written {
            self.world.rest(id);
        } else {
            self.world.drop_upstream(id);
            self.world.effects.push_back(Effect::CloseUpstream { upstream: id });
        }
        if let (Outcome::Fulfilled, Some(value)) = (answer.outcome, answer.value) {
            self.world.final_answer(call, Said::Fulfilled(value));
        }
        self.world.end_attempt(call, attempt, answer.outcome);
        self.settle();
    }

    /// A value too large to be kept has begun to come. From here on the answer is settled: there is no other attempt
    /// and no other answer. The module is told of the success now, as its time is that of the first bytes, and a
    /// client that takes the rest slowly says nothing of the server.
    pub fn passes(&mut self, now: Time, id: UpstreamId, size: usize) {
        self.at(now);
        let world = &mut self.world;
        let Some(Upstream { used: Use::Carrying { call, attempt, written, .. }, .. }) =
            world.upstreams.get(&id)
        else {
            return;
        };
        let (ix, attempt, written) = (*call, *attempt, *written);
        let call = world.calls.get(ix).filter(|call| !call.answered && written);
        let Some((client, counted)) = call.map(|call| (call.client, call.counted)) else {
            world.close_upstream(id);
            world.end_attempt(ix, attempt, Outcome::Broken);
            return self.settle();
        };
        if let Some(upstream) = world.upstreams.get_mut(&id) {
            upstream.used = Use::Passing { client, counted };
            world.due.remove(&(upstream.due, Due::Upstream(id)));
        }
        if let Some(client) = world.clients.get_mut(&client) {
            client.passing.push(id);
        }
        world.passing += 1;
        world.final_answer(ix, Said::Passed { upstream: id, size });
        world.end_attempt(ix, attempt, Outcome::Fulfilled);
        self.settle();
    }

    /// The client has taken the whole value that this upstream passed on.
    pub fn passed(&mut self, now: Time, id: UpstreamId, reusable: bool) {
        self.at(now);
        let world = &mut self.world;
        let Some(Upstream { used: Use::Passing { client, counted }, .. }) = world.upstreams.get(&id) else {
            return;
        };
        let (client, counted) = (*client, *counted);
        world.counted.count(counted, &Said::Passed { upstream: id, size: 0 });
        if let Some(upstream) = world.upstreams.get_mut(&id) {
            upstream.used = Use::Closing;
            world.passing -= 1;
        }
        if let Some(client) = world.clients.get_mut(&client) {
            client.passing.retain(|upstream| *upstream != id);
            client.last = now;
        }
        if reusable {
            world.rest(id);
        } else {
            world.close_upstream(id);
        }
        self.settle();
    }

    /// More of an answer has come, but not all. Guards against one that is said to be longer than it is: the rest
    /// never comes, and the attempt would stay out until its call's time is up.
    pub fn began(&mut self, now: Time, id: UpstreamId) {
        self.at(now);
        let whole = now + self.world.limits.answer_whole;
        let Some(Upstream { used: Use::Carrying { call, attempt, begun, .. }, .. }) =
            self.world.upstreams.get_mut(&id)
        else {
            return;
        };
        *begun = true;
        let attempt = self.world.calls.get(*call).and_then(|call| call.attempts.get(*attempt));
        if let Some(until) = attempt.map(|attempt| attempt.until) {
            self.world.set_due(id, until.min(whole));
        }
    }

    /// What a server answered can't be read. The attempt may have run, and the upstream is of no further use.
    pub fn spoilt(&mut self, now: Time, id: UpstreamId) {
        self.answered(now, id, Answer { outcome: Outcome::Broken, value: None, reusable: false });
    }

    /// What is due by now.
    pub fn due(&mut self, now: Time) {
        self.at(now);
        while let Some((at, due)) = self.world.due.first().copied().filter(|due| due.0 <= now) {
            self.world.due.pop_first();
            match due {
                Due::Tick => {
                    if now - at > self.world.limits.stalled {
                        let ms = (now - at).as_ms();
                        tracing::warn!(ms, "stood still for {ms:.0} ms");
                        self.world.stall = (now, now - at);
                    }
                    self.balancer.tick(now, &mut self.world);
                }
                Due::Upstream(id) => self.world.upstream_due(id, at),
                Due::Service => self.world.close_idle_clients(),
                // Guards against an API call that would never be answered, whatever went wrong: its
                // answer is owed now.
                Due::Call(ix) => {
                    let over = |call: &&Call| !call.answered && call.until + self.world.limits.overdue <= now;
                    if self.world.calls.get(ix).as_ref().is_some_and(over) {
                        tracing::warn!("an API call was still open at its client timeout");
                        self.world.final_answer(ix, Said::Errored("no answer in time"));
                        self.balancer.withdrawn(now, ix, &mut self.world);
                    }
                }
            }
            self.settle();
        }
    }

    /// No API call is given longer than until `end`, those that are open included. Guards against a client timeout
    /// beyond the time that a planned restart leaves: the end of the process would take the call's answer with it.
    pub fn answer_all_by(&mut self, end: Time) {
        let end = *self.world.end.get_or_insert(end);
        let overdue = self.world.limits.overdue;
        for ix in self.world.ids.values().copied() {
            let Some(call) = self.world.calls.get_mut(ix).filter(|call| call.until > end) else { continue };
            self.world.due.remove(&(call.until + overdue, Due::Call(ix)));
            call.until = end;
            self.world.due.insert((end + overdue, Due::Call(ix)));
        }
    }

    /// From now on clients are closed between answers, for good.
    pub fn stop(&mut self, now: Time) {
        self.at(now);
        self.world.service.stop(now);
        self.world.move_clients();
    }

    /// The process takes clients.
    pub fn takes_clients(&mut self) {
        self.world.service.starts();
    }

    /// Operators send clients away: the front is told no, and once it knows, clients are closed between answers.
    pub fn out_of_service(&mut self, now: Time) {
        self.at(now);
        self.world.service.leave(now);
        self.world.move_clients();
    }

    pub fn in_service(&mut self, now: Time) {
        self.at(now);
        self.world.service.come_back();
    }

    /// Clients are closed between answers: operators send them away, or the process ends.
    pub fn sends_away(&self) -> bool {
        self.world.service.idle(self.world.now, &self.world.limits) != Idle::Kept
    }

    pub fn is_ready(&self) -> bool {
        self.world.service.is_in()
    }

    /// Whether discovery has told a list.
    pub fn has_news(&self) -> bool {
        self.news
    }

    /// A configuration was read again, and taken or turned down.
    pub fn configured(&mut self, taken: bool) {
        *(if taken { &mut self.applied } else { &mut self.rejected }) += 1;
    }

    pub fn figures(&self, now: Time) -> Figures<'_> {
        let listed = self.world.servers.iter().filter(|server| server.state != State::Gone && !server.origin);
        Figures {
            responses: self.world.counted.all(),
            attempts: self.world.attempts,
            active: self.world.ids.len() + self.world.passing,
            pool_size: listed.count(),
            pool_ejected: self.balancer.avoided(now),
            config_applied: self.applied,
            config_rejected: self.rejected,
        }
    }

    fn at(&mut self, now: Time) {
        self.world.now = self.world.now.max(now);
    }

    /// Tells the module of attempts that ended, until none is left.
    fn settle(&mut self) {
        while let Some((ix, attempt, outcome)) = self.world.ended.pop_front() {
            let Some(call) = self.world.calls.get(ix) else { continue };
            let Some(started) = call.attempts.get(attempt).map(|attempt| attempt.started) else { continue };
            let took = self.world.now - started;
            let ending = Ending { attempt, outcome, took, call_ended: call.answered };
            self.balancer.outcome(self.world.now, ix, ending, &mut self.world);
        }
        for ix in self.world.dropped.drain(..) {
            self.servers.free(ix);
            if let Some(listed) = self.listed.get_mut(ix.0) {
                *listed = None;
            }
        }
    }
}

/// Gives back room that a table took in its worst minute.
pub fn shrink<K: Eq + std::hash::Hash, T>(table: &mut FxHashMap<K, T>) {
    if table.len() < table.capacity() / 8 {
        table.shrink_to(2 * table.len());
    }
}
