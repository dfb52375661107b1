//! The one place where state changes. It owns the module and the tables of clients, API calls, shots and
//! links (connections to servers); sockets report to it by its methods, and it asks for reading and writing
//! by effects. It has no socket and no clock.
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use quartzhub_names::{place, Calls, Line, Places, Servers};
use quartzhub_policy::{
    Answers, Ask, Balancer, CallIx, Effect as Effects, Ending, Outcome, Product, ServerIx, Settings, Span,
    State, Time,
};
use rustc_hash::FxHashMap;

use crate::caches::Answer;
use crate::config::{Config, News};
use crate::figures::{Counted, Figures};
use crate::limits::Limits;
use crate::service::{Idle, Service};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// What the reducer asks for. Effects are carried out in their order.
#[derive(Debug)]
pub enum Effect {
    Connect {
        link: LinkId,
        to: SocketAddr,
        origin: bool,
    },
    /// The server is told that the node will wait so long.
    Write {
        link: LinkId,
        words: Rc<Words>,
        wait: Span,
    },
    CloseLink {
        link: LinkId,
    },
    Answer {
        client: ClientId,
        said: Said,
    },
    /// At once, as what it was being answered can't be had whole.
    CutClient {
        client: ClientId,
    },
    /// Once what it was answered is written and nothing has come from it for so long.
    CloseClient {
        client: ClientId,
        quiet: Span,
    },
}

/// What a client is told, in no protocol's form.
#[derive(Debug, PartialEq)]
pub enum Said {
    Fulfilled(Vec<u8>),
    /// With a value of so many bytes that comes by this link, and is passed on as it comes.
    Passed {
        link: LinkId,
        size: usize,
    },
    /// Trying again is harmless, after this wait.
    RateLimited(Option<Span>),
    Errored(&'static str),
    /// To a command that is no API call, in the form that it came in.
    Plain(Vec<u8>),
}

impl Said {
    /// Bytes that are held until it is written.
    pub fn size(&self) -> usize {
        match self {
            Said::Fulfilled(bytes) | Said::Plain(bytes) => bytes.len(),
            Said::Passed { .. } | Said::RateLimited(_) | Said::Errored(_) => 0,
        }
    }
}

/// Whether there is room for one more client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    Free,
    /// Once the tasks have had their turn.
    Soon,
    None,
}

/// The words of an API call that go on to servers.
#[derive(Debug, Clone)]
pub struct Words {
    pub key: String,
    pub id: String,
    pub facts: String,
    /// Of a write.
    pub value: Option<Bytes>,
}

/// What a client's list of names and values tells the node.
#[derive(Debug, Default, PartialEq)]
pub struct Facts<'a> {
    pub product: Option<&'a str>,
    pub tenant: Option<&'a str>,
    pub wait: Span,
    /// It has the mark by which a repeated write is known.
    pub mark: bool,
    pub repeat: bool,
}

struct Shot {
    server: ServerIx,
    started: Time,
    until: Time,
    link: Option<LinkId>,
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
    shots: Vec<Shot>,
}

/// A client's connection: one entry for each command not yet answered on it, in order.
#[derive(Default)]
struct Client {
    turns: VecDeque<Option<Said>>,
    /// The number of the first entry.
    first: u64,
    open: Vec<CallIx>,
    /// Links that pass a value on to it.
    passing: Vec<LinkId>,
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
        shot: usize,
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

struct Link {
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
    /// Idle links, the newest last.
    idle: Vec<LinkId>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Tick,
    Link(LinkId),
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
    links: FxHashMap<LinkId, Link>,
    due: BTreeSet<(Time, Due)>,
    /// Shots that ended and that the module has not been told of.
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
    /// Shots whose last byte is written, to a cache or to the origin.
    shots: u64,
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
                links: FxHashMap::default(),
                due: BTreeSet::new(),
                ended: VecDeque::new(),
                effects: VecDeque::new(),
                dropped: Vec::new(),
                last_id: 0,
                held: 0,
                service: Service::default(),
                counted: counts,
                passing: 0,
                shots: 0,
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

    /// Guards against a shot that is called off between being asked for and being written: what concerns a
    /// link that is no more is not carried out.
    pub fn next_effect(&mut self) -> Option<Effect> {
        loop {
            match self.world.effects.pop_front()? {
                Effect::Write { link, .. } | Effect::Connect { link, .. }
                    if !self.world.links.contains_key(&link) => {}
                effect => return Some(effect),
            }
        }
    }

    pub fn next_due(&self) -> Option<Time> {
        self.world.due.first().map(|due| due.0)
    }

    pub fn stood_still(&self, now: Time) -> bool {
        self.world.stood_still(now)
    }

    /// Bytes held for API calls and answers.
    pub fn held(&self) -> usize {
        self.world.held
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
        for link in client.passing {
            self.world.close_link(link);
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
        let link_helps = world.clients.len() < most;
        // Guards against a crowd of new connections, bad clients' among them, that drives out those at work.
        if self.world.close_spare_client() || link_helps && self.world.close_idlest_link() {
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
        let given = Span((facts.wait.0 - self.world.limits.way.0 - self.world.waited().0).max(0));
        let left = self.world.end.map_or(given, |end| given.min((end - now).max(Span::ZERO)));
        let until = now + left;
        let tenant = place(&self.places.tenants, facts.tenant);
        let (key, write, name) = (words.key.clone(), words.value.is_some(), words.id.clone());
        let words = Rc::new(words);
        let call = Call { words, client: id, counted, turn, until, answered: false, shots: Vec::new() };
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

    /// A link is up: what waited for it is written, if it is still wanted.
    pub fn connected(&mut self, now: Time, id: LinkId) {
        self.at(now);
        if let Some(Link { used: Use::Connecting(call, shot), .. }) = self.world.links.get(&id) {
            let (call, shot) = (*call, *shot);
            self.world.carry(id, call, shot, true);
        }
        self.settle();
    }

    /// The last byte of what a link carries is written.
    pub fn written(&mut self, id: LinkId) {
        let world = &mut self.world;
        let Some(link) = world.links.get_mut(&id) else { return };
        if let Use::Carrying { written, .. } = &mut link.used {
            world.shots += u64::from(!std::mem::replace(written, true));
        }
    }

    /// A link never came up, or broke, or ended.
    pub fn broke(&mut self, now: Time, id: LinkId) {
        self.at(now);
        let Some(link) = self.world.drop_link(id) else { return };
        match link.used {
            Use::Idle | Use::Closing => {}
            Use::Connecting(call, shot) => self.world.end_shot(call, shot, Outcome::Unreachable),
            Use::Carrying { call, shot, written: true, .. } => {
                self.world.end_shot(call, shot, Outcome::Reset);
            }
            Use::Carrying { call, shot, fresh: true, .. } => {
                self.world.end_shot(call, shot, Outcome::Unreachable);
            }
            Use::Passing { client, counted } => self.world.passing_failed(id, client, counted),
            // Guards against blaming a server for an idle link that it had just closed: the last byte was
            // not written, so the shot has not been made yet, and a new link carries it.
            Use::Carrying { call, shot, .. } => self.world.open(call, shot),
        }
        self.settle();
    }

    /// A link could not be opened for want of something on this machine. Guards against blaming a server.
    pub fn not_opened(&mut self, now: Time, id: LinkId) {
        self.at(now);
        if let Some(Link { used: Use::Connecting(call, shot), .. }) = self.world.drop_link(id) {
            self.world.end_shot(call, shot, Outcome::TooLate);
        }
        self.settle();
    }

    /// A server has answered what the link carried.
    pub fn answered(&mut self, now: Time, id: LinkId, answer: Answer) {
        self.at(now);
        let Some(link) = self.world.links.get(&id) else { return };
        let Use::Carrying { call, shot, written, .. } = link.used else {
            // Nothing was asked: whatever this is, the link can't be trusted.
            self.world.close_link(id);
            return self.settle();
        };
        if answer.reusable && written {
            self.world.rest(id);
        } else {
            self.world.drop_link(id);
            self.world.effects.push_back(Effect::CloseLink { link: id });
        }
        if let (Outcome::Fulfilled, Some(value)) = (answer.outcome, answer.value) {
            self.world.final_answer(call, Said::Fulfilled(value));
        }
        self.world.end_shot(call, shot, answer.outcome);
        self.settle();
    }

    /// A value too large to be kept has begun to come. From here on the answer is settled: there is no other shot
    /// and no other answer. The module is told of the success now, as its time is that of the first bytes, and a
    /// client that takes the rest slowly says nothing of the server.
    pub fn passes(&mut self, now: Time, id: LinkId, size: usize) {
        self.at(now);
        let world = &mut self.world;
        let Some(Link { used: Use::Carrying { call, shot, written, .. }, .. }) = world.links.get(&id) else {
            return;
        };
        let (ix, shot, written) = (*call, *shot, *written);
        let call = world.calls.get(ix).filter(|call| !call.answered && written);
        let Some((client, counted)) = call.map(|call| (call.client, call.counted)) else {
            world.close_link(id);
            world.end_shot(ix, shot, Outcome::Broken);
            return self.settle();
        };
        if let Some(link) = world.links.get_mut(&id) {
            link.used = Use::Passing { client, counted };
            world.due.remove(&(link.due, Due::Link(id)));
        }
        if let Some(client) = world.clients.get_mut(&client) {
            client.passing.push(id);
        }
        world.passing += 1;
        world.final_answer(ix, Said::Passed { link: id, size });
        world.end_shot(ix, shot, Outcome::Fulfilled);
        self.settle();
    }

    /// The client has taken the whole value that this link passed on.
    pub fn passed(&mut self, now: Time, id: LinkId, reusable: bool) {
        self.at(now);
        let world = &mut self.world;
        let Some(Link { used: Use::Passing { client, counted }, .. }) = world.links.get(&id) else { return };
        let (client, counted) = (*client, *counted);
        world.counted.count(counted, &Said::Passed { link: id, size: 0 });
        if let Some(link) = world.links.get_mut(&id) {
            link.used = Use::Closing;
            world.passing -= 1;
        }
        if let Some(client) = world.clients.get_mut(&client) {
            client.passing.retain(|link| *link != id);
            client.last = now;
        }
        if reusable {
            world.rest(id);
        } else {
            world.close_link(id);
        }
        self.settle();
    }

    /// More of an answer has come, but not all. Guards against one that is said to be longer than it is: the rest
    /// never comes, and the shot would stay out until its call's time is up.
    pub fn began(&mut self, now: Time, id: LinkId) {
        self.at(now);
        let whole = now + self.world.limits.answer_whole;
        let Some(Link { used: Use::Carrying { call, shot, begun, .. }, .. }) = self.world.links.get_mut(&id)
        else {
            return;
        };
        *begun = true;
        let shot = self.world.calls.get(*call).and_then(|call| call.shots.get(*shot));
        if let Some(until) = shot.map(|shot| shot.until) {
            self.world.set_due(id, until.min(whole));
        }
    }

    /// What a server answered can't be read. The shot may have run, and the link is of no further use.
    pub fn spoilt(&mut self, now: Time, id: LinkId) {
        self.answered(now, id, Answer { outcome: Outcome::Broken, value: None, reusable: false });
    }

    /// News of discovery, or the list known from before (`fresh`: not).
    pub fn list(
        &mut self,
        now: Time,
        news: &News,
        fresh: bool,
        started: impl Fn(Option<f64>) -> Option<Time>,
    ) {
        self.at(now);
        self.news |= fresh;
        let complete = news.full || !fresh;
        if complete {
            self.world.servers.iter_mut().for_each(|server| server.state = State::Gone);
        }
        let mut lines = Vec::with_capacity(news.servers.len());
        for entry in &news.servers {
            // Guards against a discovery that names new servers without end.
            if self.servers.len() >= self.world.limits.servers && !self.servers.knows(&entry.id) {
                tracing::info!(
                    "discovery: more than {} servers, {:?} is passed over",
                    self.servers.len(),
                    entry.id
                );
                continue;
            }
            let ix = self.servers.index(&entry.id);
            let state = match entry.state.as_deref() {
                Some("in_service") => State::Ready,
                Some("terminated") => State::Gone,
                // One that this build does not know gets nothing new.
                _ => State::Draining,
            };
            let len = self.world.servers.len().max(ix.0 + 1);
            self.world.servers.resize_with(len, Server::default);
            let server = &mut self.world.servers[ix.0];
            let started = started(entry.started_ms);
            let addr = entry.addr.or(server.addr);
            let moved = server.addr != addr || server.started != started;
            (server.addr, server.started) = (addr, started);
            server.state = state;
            let kind = place(&self.places.kinds, entry.kind.as_deref());
            // Guards against speaking to an origin as to a cache while the settings are those of the deployment to
            // come and the list is still the old one: a kind without a name changes nothing.
            server.origin = if kind == usize::MAX { server.origin } else { kind == self.origin_kind };
            let origin = server.origin;
            // Guards against writing to a process that is no more.
            if moved {
                self.world.close_idle(ix);
            }
            let line = Line {
                name: &entry.id,
                zone: entry.zone.as_deref(),
                kind: entry.kind.as_deref(),
                cell: entry.cell,
                state,
                scale: entry.weight,
                started,
            };
            let mut line = self.places.listing(ix, line);
            if origin {
                line.kind = self.origin_kind as u32;
            }
            lines.push(line);
        }
        // Guards against writing to a new server what was meant for the one that had its address before, and
        // has gone, although the list does not say so yet.
        let fresh_at: FxHashMap<SocketAddr, ServerIx> = lines
            .iter()
            .filter(|line| line.state == State::Ready)
            .filter_map(|line| Some((self.world.servers[line.server.0].addr?, line.server)))
            .collect();
        for (i, server) in self.world.servers.iter_mut().enumerate() {
            let heir = server.addr.and_then(|addr| fresh_at.get(&addr));
            if server.state != State::Gone && !server.origin && heir.is_some_and(|heir| heir.0 != i) {
                let named = lines.iter().any(|line| line.server.0 == i);
                if !named {
                    server.state = State::Gone;
                    let line = Line { name: self.servers.id(ServerIx(i)), ..Line::default() };
                    lines.push(self.places.listing(ServerIx(i), line));
                }
            }
        }
        for ix in (0..self.world.servers.len()).map(ServerIx) {
            if self.world.servers[ix.0].state != State::Ready {
                self.world.close_idle(ix);
            }
        }
        self.balancer.list(now, complete, lines.into_iter(), &mut self.world);
        self.settle();
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
                Due::Link(id) => self.world.link_due(id, at),
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

    /// From now on no API call is given longer than until `end`.
    pub fn answer_all_by(&mut self, end: Time) {
        self.world.end = Some(end);
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
            shots: self.world.shots,
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

    /// Tells the module of shots that ended, until none is left.
    fn settle(&mut self) {
        while let Some((ix, shot, outcome)) = self.world.ended.pop_front() {
            let Some(call) = self.world.calls.get(ix) else { continue };
            let Some(started) = call.shots.get(shot).map(|shot| shot.started) else { continue };
            let took = self.world.now - started;
            let ending = Ending { shot, outcome, took, call_ended: call.answered };
            self.balancer.outcome(self.world.now, ix, ending, &mut self.world);
        }
        self.world.dropped.drain(..).for_each(|ix| self.servers.free(ix));
    }
}

impl World {
    /// How long what is read now may have lain unread. Guards against a wait that counts from the reading
    /// although the node's process had stood still since the client sent the API call.
    fn waited(&self) -> Span {
        let late = self.now - self.tick;
        if late > self.limits.stalled {
            late
        } else if self.now - self.stall.0 < self.limits.stall_read {
            self.stall.1
        } else {
            Span::ZERO
        }
    }

    /// The node stood still just now: what lies unread may be of clients that have gone meanwhile.
    fn stood_still(&self, now: Time) -> bool {
        let (since, lasted) = self.stall;
        now - self.tick > self.limits.stalled || lasted > Span::ZERO && now - since < self.limits.stall_gone
    }

    fn id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// A place in the client's order of answers.
    fn turn(&mut self, id: ClientId) -> Option<u64> {
        let now = self.now;
        let client = self.clients.get_mut(&id)?;
        client.last = now;
        client.turns.push_back(None);
        Some(client.first + client.turns.len() as u64 - 1)
    }

    /// Gives one command its answer; it goes out once those before it have.
    fn answer(&mut self, id: ClientId, turn: u64, said: Said) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let behind = turn.checked_sub(client.first).map(|behind| behind as usize);
        let Some(place) = behind.and_then(|behind| client.turns.get_mut(behind)) else { return };
        // Guards against a client that takes no answers, or many at once, filling the memory.
        let fits = self.held + said.size() <= self.limits.held || said.size() < self.limits.short_answer;
        let said = if fits { said } else { Said::Errored("no room for the answer") };
        self.held += said.size();
        client.held += said.size();
        *place = Some(said);
        client.last = self.now;
        while let Some(said) = client.turns.front_mut().and_then(Option::take) {
            client.turns.pop_front();
            client.first += 1;
            self.effects.push_back(Effect::Answer { client: id, said });
        }
        let closing = client.closing || self.service.idle(self.now, &self.limits) != Idle::Kept;
        if client.turns.is_empty() && closing {
            self.close_client(id);
        }
    }

    /// The one final answer of an API call.
    fn final_answer(&mut self, ix: CallIx, said: Said) {
        let Some(call) = self.calls.get_mut(ix).filter(|call| !call.answered) else { return };
        call.answered = true;
        self.ids.remove(&call.words.id);
        let (client, turn) = (call.client, call.turn);
        // One that is passed on counts once it has been.
        if !matches!(said, Said::Passed { .. }) {
            self.counted.count(call.counted, &said);
        }
        if let Some(client) = self.clients.get_mut(&client) {
            client.open.retain(|open| *open != ix);
        }
        self.answer(client, turn, said);
    }

    fn close_client(&mut self, id: ClientId) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.closing = true;
            let quiet = match self.service.idle(self.now, &self.limits) {
                Idle::Closed(quiet) => quiet,
                Idle::Kept => Span::ZERO,
            };
            self.effects.push_back(Effect::CloseClient { client: id, quiet });
        }
    }

    /// Clients are to leave: those that are idle do so now, or when they are due to.
    fn move_clients(&mut self) {
        for after in [self.limits.leave_front, self.limits.leave_firm] {
            self.due.insert((self.now + after, Due::Service));
        }
        self.close_idle_clients();
    }

    fn close_idle_clients(&mut self) {
        if self.service.idle(self.now, &self.limits) == Idle::Kept {
            return;
        }
        let idle = self.clients.iter().filter(|(_, client)| client.turns.is_empty());
        let idle: Vec<_> = idle.map(|(id, _)| *id).collect();
        idle.into_iter().for_each(|id| self.close_client(id));
    }

    fn end_shot(&mut self, call: CallIx, shot: usize, outcome: Outcome) {
        let Some(record) = self.calls.get_mut(call).and_then(|call| call.shots.get_mut(shot)) else { return };
        record.link = None;
        self.ended.push_back((call, shot, outcome));
    }

    fn set_due(&mut self, id: LinkId, at: Time) {
        if let Some(link) = self.links.get_mut(&id) {
            self.due.remove(&(link.due, Due::Link(id)));
            link.due = at;
            self.due.insert((at, Due::Link(id)));
        }
    }

    /// A value that was being passed on has no end. Guards against a client that would wait for it or take the next
    /// answer for its rest; one that was told nothing yet gets an error.
    fn passing_failed(&mut self, id: LinkId, client: ClientId, counted: Option<usize>) {
        self.counted.count(counted, &Said::Errored(""));
        let Some(record) = self.clients.get_mut(&client) else { return };
        record.passing.retain(|link| *link != id);
        let waits = |said: &Option<Said>| matches!(said, Some(Said::Passed { link, .. }) if *link == id);
        match record.turns.iter().position(waits) {
            Some(turn) => record.turns[turn] = Some(Said::Errored("failed")),
            None => self.effects.push_back(Effect::CutClient { client }),
        }
    }

    /// Takes a link out of all tables; its socket is closed by an effect or is gone already.
    fn drop_link(&mut self, id: LinkId) -> Option<Link> {
        let link = self.links.remove(&id)?;
        self.passing -= usize::from(matches!(link.used, Use::Passing { .. }));
        self.due.remove(&(link.due, Due::Link(id)));
        if link.used == Use::Idle {
            self.servers[link.server.0].idle.retain(|idle| *idle != id);
        }
        Some(link)
    }

    fn close_link(&mut self, id: LinkId) -> Option<Link> {
        let link = self.drop_link(id)?;
        self.effects.push_back(Effect::CloseLink { link: id });
        Some(link)
    }

    fn close_idle(&mut self, server: ServerIx) {
        for id in std::mem::take(&mut self.servers[server.0].idle) {
            self.close_link(id);
        }
    }

    /// A link has no more to carry.
    fn rest(&mut self, id: LinkId) {
        let links = self.links.len();
        let Some(link) = self.links.get_mut(&id) else { return };
        link.used = Use::Idle;
        let server = &mut self.servers[link.server.0];
        let enough = server.idle.len() >= self.limits.idle_links || links > self.limits.links_kept;
        if server.state != State::Ready || enough {
            self.close_link(id);
            return;
        }
        server.idle.push(id);
        let due = self.now + self.limits.link_idle;
        self.set_due(id, due);
    }

    fn sockets(&self) -> usize {
        self.clients.len() + self.links.len()
    }

    /// Closes a client that is idle and need not be kept, if there is one: one without an API call before others.
    /// Guards against silent clients that take the places of those that are at work.
    fn close_spare_client(&mut self) -> bool {
        let (now, limits) = (self.now, &self.limits);
        let spare = |client: &Client| {
            let after = if client.asked { limits.client_spare } else { limits.client_new };
            client.idle() && now - client.last >= after
        };
        let spares = self.clients.iter().filter(|(_, client)| spare(client));
        let best = spares.min_by_key(|(id, client)| (client.asked, client.last, **id)).map(|(id, _)| *id);
        best.map(|id| self.close_client(id)).is_some()
    }

    /// Closes the client idle longest where more have made API calls than are worth keeping. Guards against clients
    /// that ask once and keep their connections: together they may hold only so many, and could ask no more.
    fn thin_out_clients(&mut self) {
        if self.clients.len() <= self.limits.clients_kept {
            return;
        }
        let asked = self.clients.iter().filter(|(_, client)| client.asked && !client.closing);
        let idle = |client: &Client| client.idle() && self.now - client.last >= self.limits.client_new;
        let (mut count, mut idlest) = (0, None);
        for (id, client) in asked {
            count += 1;
            if idle(client) && idlest.is_none_or(|best| (client.last, *id) < best) {
                idlest = Some((client.last, *id));
            }
        }
        if let Some((_, id)) = idlest.filter(|_| count > self.limits.clients_kept) {
            self.close_client(id);
        }
    }

    /// Closes the client that has been idle longest, if one is.
    fn close_idlest_client(&mut self) -> bool {
        let idle = self.clients.iter().filter(|(_, client)| client.idle());
        let idlest = idle.min_by_key(|(id, client)| (client.last, **id)).map(|(id, _)| *id);
        idlest.map(|id| self.close_client(id)).is_some()
    }

    /// The same of links.
    fn close_idlest_link(&mut self) -> bool {
        let idle = self.links.iter().filter(|(_, link)| link.used == Use::Idle);
        let idlest = idle.min_by_key(|(id, link)| (link.due, **id)).map(|(id, _)| *id);
        idlest.and_then(|id| self.close_link(id)).is_some()
    }

    /// Gives a shot the newest idle link to its server that has rested, else the oldest, else a new one. Guards
    /// against stray bytes behind an answer that are still on their way when the next shot is written.
    fn launch(&mut self, call: CallIx, shot: usize, server: ServerIx) {
        let rested = self.now + self.limits.link_idle - self.limits.link_rest;
        let idle = &self.servers[server.0].idle;
        let fits = |id: &LinkId| self.links.get(id).is_some_and(|link| link.due <= rested);
        if idle.is_empty() {
            return self.open(call, shot);
        }
        let place = idle.iter().rposition(fits).unwrap_or(0);
        let id = self.servers[server.0].idle.remove(place);
        self.carry(id, call, shot, false);
    }

    fn open(&mut self, ix: CallIx, shot: usize) {
        let Some(record) = self.calls.get(ix).and_then(|call| call.shots.get(shot)) else { return };
        let (server, until) = (record.server, record.until);
        let Some(to) = self.servers[server.0].addr else {
            return self.end_shot(ix, shot, Outcome::Unreachable);
        };
        // Guards against running out of descriptors: the connection idle longest makes room; if there is
        // none, the shot is not made, and no server is blamed.
        let crowded = self.sockets() + self.limits.for_clients >= self.limits.sockets;
        let room = |world: &mut World| {
            world.close_spare_client() || world.close_idlest_link() || world.close_idlest_client()
        };
        if crowded && !room(self) {
            return self.end_shot(ix, shot, Outcome::TooLate);
        }
        let link = LinkId(self.id());
        let due = until.min(self.now + self.limits.connect);
        self.links.insert(link, Link { server, used: Use::Connecting(ix, shot), due });
        self.due.insert((due, Due::Link(link)));
        if let Some(record) = self.calls.get_mut(ix).and_then(|call| call.shots.get_mut(shot)) {
            record.link = Some(link);
        }
        self.effects.push_back(Effect::Connect { link, to, origin: self.servers[server.0].origin });
    }

    /// Writes a shot on a link that is up: only here do bytes go to a server. A connect may have taken its
    /// time, so whether the shot is still wanted is looked at now.
    fn carry(&mut self, id: LinkId, ix: CallIx, shot: usize, fresh: bool) {
        let wanted = self.calls.get(ix).filter(|call| !call.answered);
        let record = wanted.and_then(|call| call.shots.get(shot).map(|shot| (call, shot)));
        let fits = record
            .filter(|(_, shot)| self.now < shot.until && self.servers[shot.server.0].state == State::Ready);
        let Some((call, record)) = fits else {
            self.rest(id);
            return self.end_shot(ix, shot, Outcome::TooLate);
        };
        let (until, words) = (record.until, call.words.clone());
        if let Some(link) = self.links.get_mut(&id) {
            link.used = Use::Carrying { call: ix, shot, written: false, fresh, begun: false };
        }
        if let Some(record) = self.calls.get_mut(ix).and_then(|call| call.shots.get_mut(shot)) {
            record.link = Some(id);
        }
        self.set_due(id, until);
        self.effects.push_back(Effect::Write { link: id, words, wait: until - self.now });
    }

    /// A link's present use has lasted too long.
    fn link_due(&mut self, id: LinkId, at: Time) {
        if self.links.get(&id).is_none_or(|link| link.due != at) {
            return;
        }
        let Some(link) = self.close_link(id) else { return };
        match link.used {
            Use::Idle | Use::Closing | Use::Passing { .. } => {}
            Use::Connecting(call, shot) => self.end_shot(call, shot, Outcome::Unreachable),
            Use::Carrying { call, shot, begun: true, .. } => self.end_shot(call, shot, Outcome::Broken),
            Use::Carrying { call, shot, written: true, .. } => self.end_shot(call, shot, Outcome::TimedOut),
            Use::Carrying { call, shot, .. } => self.end_shot(call, shot, Outcome::Unreachable),
        }
    }
}

/// Gives back room that a table took in its worst minute.
pub fn shrink<K: Eq + std::hash::Hash, T>(table: &mut FxHashMap<K, T>) {
    if table.len() < table.capacity() / 8 {
        table.shrink_to(2 * table.len());
    }
}

/// What the module asks for.
impl Answers for World {
    fn dispatch(&mut self, call: CallIx, server: ServerIx, until: Time) {
        let now = self.now;
        let Some(record) = self.calls.get_mut(call) else { return };
        record.shots.push(Shot { server, started: now, until: until.min(record.until), link: None });
        let shot = record.shots.len() - 1;
        self.launch(call, shot, server);
    }

    fn cancel(&mut self, call: CallIx, shot: usize) {
        let record = self.calls.get(call).and_then(|call| call.shots.get(shot));
        let Some(id) = record.and_then(|shot| shot.link) else { return };
        let Some(link) = self.close_link(id) else { return };
        let written = matches!(link.used, Use::Carrying { written: true, .. });
        self.end_shot(call, shot, if written { Outcome::Cancelled } else { Outcome::TooLate });
    }

    fn rate_limit(&mut self, call: CallIx, retry_in: Option<Span>) {
        self.final_answer(call, Said::RateLimited(retry_in));
    }

    fn error(&mut self, call: CallIx) {
        self.final_answer(call, Said::Errored("failed"));
    }

    fn forget(&mut self, call: CallIx) {
        if let Some(record) = self.calls.take(call) {
            self.held = self.held.saturating_sub(record.words.value.as_ref().map_or(0, Bytes::len));
            self.due.remove(&(record.until + self.limits.overdue, Due::Call(call)));
            if let Some(client) = self.clients.get_mut(&record.client) {
                client.open.retain(|open| *open != call);
            }
        }
    }

    /// Guards against a table that grows with every server there ever was, and against a link to one that has
    /// gone being taken for one to the next under its index.
    fn drop_server(&mut self, server: ServerIx) {
        let to = self.links.iter().filter(|(_, link)| link.server == server);
        let to: Vec<_> = to.map(|(id, _)| *id).collect();
        for id in to {
            // What one passes on ends with it.
            if let Some(Link { used: Use::Passing { client, counted }, .. }) = self.close_link(id) {
                self.passing_failed(id, client, counted);
            }
        }
        if let Some(record) = self.servers.get_mut(server.0) {
            *record = Server::default();
        }
        let used = self.servers.iter().rposition(|server| server.addr.is_some());
        self.servers.truncate(used.map_or(0, |last| last + 1));
        shrink(&mut self.clients);
        shrink(&mut self.links);
        self.dropped.push(server);
    }

    fn wake(&mut self, after: Span) {
        self.tick = self.now + after;
        self.due.insert((self.tick, Due::Tick));
    }

    fn close(&mut self, server: ServerIx) {
        if server.0 < self.servers.len() {
            self.close_idle(server);
        }
    }
}
