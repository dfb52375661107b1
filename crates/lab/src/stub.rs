//! Stub servers for caches and the origin on loopback, as a scenario describes them: cores, work, memory, and its faults.
//! They end with the task set that they run in. What they are sent and what they begin is told to the monitor.
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use quartzhub_node::limits::Limits;
use quartzhub_node::resp::{self, Parsed};
use quartzhub_policy::{Effect, Pcg, Product, Span, Time};
use rand_distr::{Distribution, Exp1, StandardNormal};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::{watch, Notify, Semaphore};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::clients::number;
use crate::rule_monitor::RuleMonitor;
use crate::scenario::{Kind, LabError, Law, Scenario};
use crate::server::{Falls, Health, Server, Work, FALLEN};

struct StubServer {
    cores: Semaphore,
    model: RefCell<Server>,
    up: watch::Sender<bool>,
}

/// An entry of the server list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    InService,
    Terminating,
    Terminated,
}

impl ListedState {
    pub fn word(self) -> &'static str {
        match self {
            ListedState::InService => "in_service",
            ListedState::Terminating => "terminating",
            ListedState::Terminated => "terminated",
        }
    }
}

/// One change of the list: what became of a server, when it was started, and when that was listed.
#[derive(Debug, Clone, Copy)]
pub struct Change {
    pub server: usize,
    pub state: ListedState,
    pub started_ms: u64,
    pub at: Time,
}

pub struct StubServers {
    pub scenario: Scenario,
    products: Vec<Product>,
    /// The caches, and the origin behind them.
    servers: Vec<StubServer>,
    pub monitor: Rc<RuleMonitor>,
    /// Which caches missed for an API call, by its id, and whether they were cold: they are given the value.
    missed: RefCell<HashMap<String, Vec<(usize, bool)>>>,
    /// Deduplicated calls that have run, by their marks.
    marks: RefCell<VecDeque<(Time, String)>>,
    chance: RefCell<Pcg>,
    pub changes: RefCell<Vec<Change>>,
    pub changed: Notify,
    pub hits: Cell<u64>,
    pub misses: Cell<u64>,
    pub fetches: Cell<u64>,
    /// Attempts to the origin by the second.
    pub origin_by_second: RefCell<Vec<u64>>,
    pub fell: Cell<u64>,
    /// When each server was last sent an attempt.
    pub last_attempt: RefCell<Vec<Time>>,
}

/// Faults that stub servers can play where nobody tells nodes of a change of the list.
const PLAYED: [Kind; 4] = [Kind::Hang, Kind::Slow, Kind::OriginSlow, Kind::HotKey];
/// And those that need one who does, or clients of the rig's.
const PLAYED_LISTED: [Kind; 5] = [Kind::Crash, Kind::ColdRestart, Kind::Drain, Kind::OriginStop, Kind::Burst];
/// API calls whose misses are remembered, marks kept, and bytes of a command or a request.
const REMEMBERED: usize = 100_000;
const MOST_BYTES: usize = 8 * 1024 * 1024;
/// A cold restart on the spot takes so long.
const RESTARTS: Duration = Duration::from_millis(500);
/// After the end of its drain a cache is back, cold, so much later.
const COMES_BACK: Duration = Duration::from_millis(5_000);

/// Who a connection belongs to, and when the bytes that have come on it were sent.
pub struct NodeConnection<S> {
    pub stream: S,
    pub node: usize,
    pub send_times: Option<Rc<SendTimes>>,
}

/// Times at which bytes were sent, by how many there were in all.
#[derive(Default)]
pub struct SendTimes(RefCell<VecDeque<(u64, Time)>>);

impl SendTimes {
    pub fn put(&self, upto: u64, at: Time) {
        self.0.borrow_mut().push_back((upto, at));
    }

    /// When the byte at this place was sent; what stands before it is forgotten.
    fn at(&self, place: u64) -> Option<Time> {
        let mut send_times = self.0.borrow_mut();
        while send_times.front().is_some_and(|first| first.0 <= place) {
            send_times.pop_front();
        }
        send_times.front().map(|first| first.1)
    }
}

impl StubServers {
    pub fn new(scenario: &Scenario, monitor: Rc<RuleMonitor>) -> Result<Rc<StubServers>, LabError> {
        let mut chance = Pcg::new(scenario.seed);
        let [from, to] = scenario.caches.speed;
        let servers = (0..=scenario.caches.count).map(|i| {
            let origin = i == scenario.caches.count;
            let speed = if origin { 1.0 } else { from + (to - from) * chance.unit() };
            let model = Server::of(scenario, origin, speed);
            StubServer {
                cores: Semaphore::new(model.cores),
                model: RefCell::new(model),
                up: watch::Sender::new(true),
            }
        });
        let servers = servers.collect();
        Ok(Rc::new(StubServers {
            scenario: scenario.clone(),
            products: scenario.settings(0).products(),
            servers,
            monitor,
            missed: RefCell::default(),
            marks: RefCell::default(),
            chance: RefCell::new(chance),
            changes: RefCell::default(),
            changed: Notify::new(),
            hits: Cell::new(0),
            misses: Cell::new(0),
            fetches: Cell::new(0),
            origin_by_second: RefCell::default(),
            fell: Cell::new(0),
            last_attempt: RefCell::new(vec![Time(0); scenario.caches.count + 1]),
        }))
    }

    /// Which of a scenario's faults can't be played here; `listed`: somebody tells nodes of changes of the list.
    pub fn playable(scenario: &Scenario, listed: bool) -> Result<(), LabError> {
        let can = |kind: &Kind| PLAYED.contains(kind) || listed && PLAYED_LISTED.contains(kind);
        match scenario.faults.iter().position(|fault| !can(&fault.kind)) {
            Some(i) if listed => {
                Err(LabError(format!("scenario.fault[{i}].kind: stub servers can't play it; [[fault]] may")))
            }
            Some(i) => Err(LabError(format!(
                "fault[{i}].kind: stub servers play hang, slow, origin_slow and hot_key only"
            ))),
            None => Ok(()),
        }
    }

    /// Serves one node straight on loopback, without relays; gives the list of servers.
    pub async fn listen(self: Rc<StubServers>) -> Result<serde_json::Value, LabError> {
        StubServers::playable(&self.scenario, false)?;
        let bad = |e: io::Error| LabError(format!("a stub server: {e}"));
        let mut addrs = Vec::new();
        for server in 0..self.servers.len() {
            let listener = TcpListener::bind("127.0.0.1:0").await.map_err(bad)?;
            addrs.push(listener.local_addr().map_err(bad)?);
            let stubs = self.clone();
            spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let _ = stream.set_nodelay(true);
                    let line = NodeConnection { stream, node: 0, send_times: None };
                    spawn_local(stubs.clone().serve(server, line));
                }
            });
        }
        self.clone().play_faults();
        Ok(self.list(|server| addrs[server]))
    }

    pub fn play_faults(self: Rc<StubServers>) {
        for i in 0..self.scenario.faults.len() {
            spawn_local(fault(self.clone(), i));
        }
    }

    /// The server list as it stands, in discovery's form.
    pub fn list(&self, addr: impl Fn(usize) -> SocketAddr) -> serde_json::Value {
        let changes = self.changes.borrow();
        self.list_at(changes.len(), addr)
    }

    /// As it was after so many changes, which is its version less one.
    pub fn list_at(&self, upto: usize, addr: impl Fn(usize) -> SocketAddr) -> serde_json::Value {
        let changes = self.changes.borrow();
        let entries = (0..self.servers.len()).filter_map(|server| {
            let last = changes[..upto].iter().rev().find(|change| change.server == server);
            let (state, started) =
                last.map_or((ListedState::InService, 0), |last| (last.state, last.started_ms));
            (state != ListedState::Terminated).then(|| self.entry(server, addr(server), state, started))
        });
        let entries: Vec<_> = entries.collect();
        serde_json::json!({"version": upto + 1, "full": true, "servers": entries})
    }

    pub fn entry(
        &self,
        server: usize,
        addr: SocketAddr,
        state: ListedState,
        started: u64,
    ) -> serde_json::Value {
        let kind = if server == self.origin() { "origin" } else { "cache" };
        serde_json::json!({"id": self.id(server), "addr": addr.to_string(), "kind": kind, "zone": "lab", "cell": 0,
                           "state": state.word(), "started_ms": started})
    }

    /// What a server is called in the list.
    pub fn id(&self, server: usize) -> String {
        if server == self.origin() {
            "origin".to_owned()
        } else {
            format!("cache-{server}")
        }
    }

    pub fn origin(&self) -> usize {
        self.servers.len() - 1
    }

    pub fn servers(&self) -> usize {
        self.servers.len()
    }

    /// Whether a server's machine takes connections, and each change of that.
    pub fn up(&self, server: usize) -> watch::Receiver<bool> {
        self.servers[server].up.subscribe()
    }

    fn change(&self, server: usize, state: ListedState) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started_ms = match state {
            ListedState::InService => unix.as_millis() as u64,
            _ => 0,
        };
        let at = self.monitor.now();
        self.changes.borrow_mut().push(Change { server, state, started_ms, at });
        self.changed.notify_waiters();
    }

    fn down(&self, server: usize) {
        let it = &self.servers[server];
        it.model.borrow_mut().health = Health::Down;
        it.model.borrow_mut().demand = Default::default();
        it.up.send_replace(false);
    }

    fn back(&self, server: usize) {
        let it = &self.servers[server];
        it.model.borrow_mut().restart(self.monitor.now());
        it.up.send_replace(true);
    }

    /// Holds a core for work of this mean; `draw`: by which it is multiplied.
    async fn work(&self, server: usize, takes: Span) {
        let it = &self.servers[server];
        let Ok(_core) = it.cores.acquire().await else { return };
        let takes = it.model.borrow().takes(takes, self.monitor.now());
        sleep(Duration::from_micros(takes.0.clamp(0, 60_000_000) as u64)).await;
    }

    fn draw(&self, ms: f64) -> Span {
        let chance = &mut *self.chance.borrow_mut();
        let factor = match self.scenario.caches.work {
            Law::Fixed => 1.0,
            Law::Exponential => Exp1.sample(chance),
            Law::Lognormal => {
                let normal: f64 = StandardNormal.sample(chance);
                let sigma2 = std::f64::consts::LN_2;
                (normal * sigma2.sqrt() - sigma2 / 2.0).exp()
            }
        };
        Span::from_ms(ms * factor)
    }

    /// Work comes in; one that is sent too much falls, and is away for a while.
    fn takes_in(self: &Rc<StubServers>, server: usize, work: Work) -> bool {
        let falls =
            self.servers[server].model.borrow_mut().takes_in(self.monitor.now(), work, &self.scenario);
        if falls == Falls::No {
            return true;
        }
        self.monitor.fell(server, falls);
        self.fell.set(self.fell.get() + 1);
        self.down(server);
        let stubs = self.clone();
        spawn_local(async move {
            sleep(Duration::from_micros(FALLEN.0 as u64)).await;
            stubs.back(server);
        });
        false
    }

    fn note_miss(&self, id: String, cache: usize, cold: bool) {
        let mut missed = self.missed.borrow_mut();
        if missed.len() < REMEMBERED {
            missed.entry(id).or_default().push((cache, cold));
        }
    }

    fn product(&self, facts: &str) -> usize {
        let named = facts.split(',').find_map(|fact| fact.strip_prefix("c="));
        let product = self.scenario.products.iter().position(|product| Some(product.name.as_str()) == named);
        product.unwrap_or(0)
    }

    /// Whether a deduplicated call has run already and is within its window: a repeat is dropped.
    fn is_repeat(&self, product: usize, facts: &str) -> bool {
        if self.products[product].effect != Effect::Deduplicated {
            return false;
        }
        let Some(mark) = facts.split(',').find_map(|fact| fact.strip_prefix("k=")) else { return false };
        let (now, window) = (self.monitor.now(), self.products[product].window);
        let mut marks = self.marks.borrow_mut();
        while marks.front().is_some_and(|first| now - first.0 > window) || marks.len() > REMEMBERED {
            marks.pop_front();
        }
        if marks.iter().any(|known| known.1 == mark) {
            return true;
        }
        marks.push_back((now, mark.to_owned()));
        false
    }

    /// Serves one connection until it ends, or the server does.
    pub async fn serve<S: AsyncRead + AsyncWrite + Unpin>(
        self: Rc<StubServers>,
        server: usize,
        line: NodeConnection<S>,
    ) {
        let mut up = self.up(server);
        let serves = async {
            // A connection that ends in the middle is the node's way to call an attempt off.
            let _ = match server == self.origin() {
                true => self.as_origin(line).await,
                false => self.as_cache(server, line).await,
            };
        };
        tokio::select! {
            () = serves => {}
            _ = up.wait_for(|up| !up) => {}
        }
    }

    /// The API call's number and when the attempt for it was sent, as the monitor wants them.
    fn sent<S>(&self, server: usize, line: &NodeConnection<S>, id: &str, place: u64) -> Option<u64> {
        let number = number(id)?;
        let at = line.send_times.as_ref().and_then(|send_times| send_times.at(place));
        let at = at.unwrap_or(self.monitor.now());
        self.monitor.sent(at, number, line.node, server);
        self.last_attempt.borrow_mut()[server] = at;
        Some(number)
    }

    async fn as_cache<S: AsyncRead + AsyncWrite + Unpin>(
        self: &Rc<StubServers>,
        server: usize,
        mut line: NodeConnection<S>,
    ) -> io::Result<()> {
        let (limits, mut bytes, mut place) = (Limits::default(), Vec::new(), 0);
        loop {
            let (key, id, facts, used) = loop {
                match resp::command(&bytes, &limits) {
                    Parsed::Whole(words, used) if words.len() >= 4 => {
                        let text = |word: &[u8]| String::from_utf8_lossy(word).into_owned();
                        break (text(words[1]), text(words[2]), text(words[3]), used);
                    }
                    Parsed::Part if bytes.len() < MOST_BYTES => {
                        if line.stream.read_buf(&mut bytes).await? == 0 {
                            return Ok(());
                        }
                    }
                    _ => return line.stream.write_all(b"-SYNTAX\r\n").await,
                }
            };
            let call = self.sent(server, &line, &id, place);
            bytes.drain(..used);
            place += used as u64;
            let key = u64::from_str_radix(&key, 16).unwrap_or(0);
            let it = &self.servers[server];
            if it.model.borrow().health == Health::Hung {
                return std::future::pending().await;
            }
            let takes = self.draw(self.scenario.products[self.product(&facts)].work_ms);
            if !self.takes_in(server, Work { key, write: false, takes, of_cold: false }) {
                return Ok(());
            }
            let (found, cold) = {
                let mut model = it.model.borrow_mut();
                (model.kept.get(key), model.is_cold(self.monitor.now()))
            };
            let part = if found { 1.0 } else { self.scenario.caches.miss_part };
            if let Some(call) = call {
                self.monitor.began(call, server, !found);
            }
            self.work(server, takes.times(part)).await;
            let count = if found { &self.hits } else { &self.misses };
            count.set(count.get() + 1);
            if found {
                line.stream.write_all(b"*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n").await?;
            } else {
                self.note_miss(id, server, cold);
                line.stream.write_all(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n").await?;
            }
        }
    }

    async fn as_origin<S: AsyncRead + AsyncWrite + Unpin>(
        self: &Rc<StubServers>,
        mut line: NodeConnection<S>,
    ) -> io::Result<()> {
        let (server, mut bytes, mut place) = (self.origin(), Vec::new(), 0);
        loop {
            let asked = loop {
                match Request::read(&bytes) {
                    Some(asked) => break asked,
                    None if bytes.len() < MOST_BYTES => {
                        if line.stream.read_buf(&mut bytes).await? == 0 {
                            return Ok(());
                        }
                    }
                    None => return Ok(()),
                }
            };
            let call = self.sent(server, &line, &asked.id, place);
            bytes.drain(..asked.used);
            place += asked.used as u64;
            let Request { key, write, id, facts, .. } = asked;
            if self.servers[server].model.borrow().health == Health::Hung {
                return std::future::pending().await;
            }
            self.fetches.set(self.fetches.get() + 1);
            {
                let (second, mut by) =
                    (self.monitor.now().0 as usize / 1_000_000, self.origin_by_second.borrow_mut());
                let len = by.len().max(second + 1);
                by.resize(len, 0);
                by[second] += 1;
            }
            let missed = self.missed.borrow_mut().remove(&id).unwrap_or_default();
            let of_cold = missed.iter().any(|missed| missed.1);
            let takes = self.draw(self.scenario.origin.work_ms);
            if !self.takes_in(server, Work { key, write, takes, of_cold }) {
                return Ok(());
            }
            if let Some(call) = call.filter(|_| !self.is_repeat(self.product(&facts), &facts)) {
                self.monitor.began(call, server, false);
            }
            self.work(server, takes).await;
            match write {
                true => self.servers.iter().for_each(|it| it.model.borrow_mut().kept.remove(key)),
                false => missed.iter().for_each(|at| self.servers[at.0].model.borrow_mut().kept.put(key)),
            }
            line.stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue").await?;
        }
    }
}

/// What a node asks of the origin.
struct Request {
    key: u64,
    write: bool,
    id: String,
    facts: String,
    used: usize,
}

impl Request {
    fn read(bytes: &[u8]) -> Option<Request> {
        let head = bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
        let text = String::from_utf8_lossy(&bytes[..head]);
        let mut lines = text.split("\r\n");
        let first = lines.next()?;
        let mut request = Request {
            key: 0,
            write: first.starts_with("PUT"),
            id: String::new(),
            facts: String::new(),
            used: 0,
        };
        let path = first.split(' ').nth(1).map(|path| path.trim_start_matches('/'));
        request.key = path.and_then(|path| u64::from_str_radix(path, 16).ok()).unwrap_or(0);
        let mut size = 0;
        for line in lines {
            match line.split_once(": ") {
                Some(("X-Correlation-Id", value)) => request.id = value.to_owned(),
                Some(("X-Facts", value)) => request.facts = value.to_owned(),
                Some(("Content-Length", value)) => size = value.parse().unwrap_or(0usize),
                _ => {}
            }
        }
        request.used = head + 4 + size.min(MOST_BYTES);
        (bytes.len() >= request.used).then_some(request)
    }
}

async fn fault(stubs: Rc<StubServers>, i: usize) {
    let fault = &stubs.scenario.faults[i];
    let (count, origin) = (stubs.origin(), stubs.origin());
    let all = ((count as f64 * fault.share).round() as usize).clamp(1, count);
    let lasts = Duration::from_secs_f64(fault.lasts);
    let some: Vec<usize> = (0..all).map(|j| (i * 7 + j * count / all) % count).collect();
    let slow = |server: usize, factor| stubs.servers[server].model.borrow_mut().slow = factor;
    sleep(Duration::from_secs_f64(fault.at)).await;
    match fault.kind {
        Kind::Hang => {
            some.iter().for_each(|at| stubs.servers[*at].model.borrow_mut().health = Health::Hung);
            sleep(lasts).await;
            some.iter().for_each(|at| stubs.servers[*at].model.borrow_mut().health = Health::Up);
        }
        Kind::Slow => {
            some.iter().for_each(|at| slow(*at, fault.factor));
            sleep(lasts).await;
            some.iter().for_each(|at| slow(*at, 1.0));
        }
        Kind::OriginSlow => {
            slow(origin, fault.factor);
            sleep(lasts).await;
            slow(origin, 1.0);
        }
        Kind::OriginStop => {
            stubs.down(origin);
            sleep(lasts).await;
            stubs.back(origin);
        }
        Kind::Crash => {
            for at in &some {
                stubs.down(*at);
                stubs.change(*at, ListedState::Terminated);
            }
            sleep(lasts).await;
            for at in &some {
                stubs.back(*at);
                stubs.change(*at, ListedState::InService);
            }
        }
        Kind::ColdRestart => {
            some.iter().for_each(|at| stubs.down(*at));
            sleep(RESTARTS).await;
            for at in &some {
                stubs.back(*at);
                stubs.change(*at, ListedState::InService);
            }
        }
        Kind::Drain => {
            some.iter().for_each(|at| stubs.change(*at, ListedState::Terminating));
            sleep(lasts).await;
            for at in &some {
                stubs.down(*at);
                stubs.change(*at, ListedState::Terminated);
            }
            sleep(COMES_BACK).await;
            for at in &some {
                stubs.back(*at);
                stubs.change(*at, ListedState::InService);
            }
        }
        _ => {}
    }
}
