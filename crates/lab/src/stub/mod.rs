//! Stub servers for caches and the origin on loopback, as a scenario describes them: cores, work, memory, and its faults.
//! They end with the task set that they run in. What they are sent and what they begin is reported to the monitor.
mod cache;
mod connection;
mod faults;
mod list;
mod origin;
mod work;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::rc::Rc;

use quartzhub_policy::{Pcg, Product, Time};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpListener;
use tokio::sync::{watch, Notify, Semaphore};
use tokio::task::spawn_local;

use crate::clients::parse_call_id;
use crate::rule_monitor::RuleMonitor;
use crate::scenario::{LabError, Scenario};
use crate::server::{Health, Server};

pub use connection::{NodeConnection, SendTimes};
pub use list::{Change, ListedState};

/// API calls whose misses are remembered, and idempotency keys that are.
const MAX_REMEMBERED: usize = 100_000;
/// Longest command or request, in bytes.
const MAX_REQUEST: usize = 8 * 1024 * 1024;

/// One server: its model, and what connections to it wait for.
struct StubServer {
    cores: Semaphore,
    model: RefCell<Server>,
    up: watch::Sender<bool>,
}

/// A cache that missed for an API call.
struct CacheMiss {
    cache: usize,
    /// It was warming up.
    cold: bool,
}

/// An idempotency key that has been seen.
struct SeenKey {
    at: Time,
    key: String,
}

/// All servers of a scenario, with what they have seen.
pub struct StubServers {
    /// What the servers are like.
    pub scenario: Scenario,
    products: Vec<Product>,
    /// The caches, and the origin behind them.
    servers: Vec<StubServer>,
    /// Judges what the servers see.
    pub monitor: Rc<RuleMonitor>,
    /// Which caches missed for an API call, by its id: they are given the value.
    missed: RefCell<HashMap<String, Vec<CacheMiss>>>,
    /// Idempotency keys of calls that have run, the oldest first.
    seen_keys: RefCell<VecDeque<SeenKey>>,
    rng: RefCell<Pcg>,
    /// Changes of the server list.
    pub changes: RefCell<Vec<Change>>,
    /// Notified at each change of the server list.
    pub changed: Notify,
    /// Attempts that caches had the value for.
    pub hits: Cell<u64>,
    /// Attempts that caches did not have the value for.
    pub misses: Cell<u64>,
    /// Attempts to the origin.
    pub origin_attempts: Cell<u64>,
    /// Attempts to the origin by the second.
    pub origin_attempts_by_second: RefCell<Vec<u64>>,
    /// How often a server went down under too many attempts.
    pub overloads: Cell<u64>,
    /// When each server was last sent an attempt.
    pub last_attempt: RefCell<Vec<Time>>,
}

impl StubServers {
    /// The servers of a scenario, all up.
    pub fn new(scenario: &Scenario, monitor: Rc<RuleMonitor>) -> Result<Rc<StubServers>, LabError> {
        let mut rng = Pcg::new(scenario.seed);
        let [from, to] = scenario.caches.speed;
        let servers = (0..=scenario.caches.count).map(|i| {
            let origin = i == scenario.caches.count;
            let speed = match origin {
                true => 1.0,
                false => from + (to - from) * rng.unit(),
            };
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
            products: scenario.policy_config(0).products,
            servers,
            monitor,
            missed: RefCell::default(),
            seen_keys: RefCell::default(),
            rng: RefCell::new(rng),
            changes: RefCell::default(),
            changed: Notify::new(),
            hits: Cell::new(0),
            misses: Cell::new(0),
            origin_attempts: Cell::new(0),
            origin_attempts_by_second: RefCell::default(),
            overloads: Cell::new(0),
            last_attempt: RefCell::new(vec![Time(0); scenario.caches.count + 1]),
        }))
    }

    /// Serves one node straight on loopback, without relays; gives the list of servers.
    pub async fn listen(self: Rc<StubServers>) -> Result<serde_json::Value, LabError> {
        StubServers::playable(&self.scenario, false)?;
        let in_stub = |e: io::Error| LabError(format!("a stub server: {e}"));
        let mut addrs = Vec::new();
        for server in 0..self.servers.len() {
            let listener = TcpListener::bind("127.0.0.1:0").await.map_err(in_stub)?;
            addrs.push(listener.local_addr().map_err(in_stub)?);
            let stubs = self.clone();
            spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let _ = stream.set_nodelay(true);
                    let connection = NodeConnection {
                        stream,
                        node: 0,
                        send_times: None,
                    };
                    spawn_local(stubs.clone().serve(server, connection));
                }
            });
        }
        self.clone().play_faults();
        Ok(self.list(|server| addrs[server]))
    }

    /// The origin's place among the servers: the last.
    pub fn origin(&self) -> usize {
        self.servers.len() - 1
    }

    /// Number of servers, the origin included.
    pub fn servers(&self) -> usize {
        self.servers.len()
    }

    /// Whether a server's machine takes connections, and each change of that.
    pub fn up(&self, server: usize) -> watch::Receiver<bool> {
        self.servers[server].up.subscribe()
    }

    fn take_down(&self, server: usize) {
        let server = &self.servers[server];
        let mut model = server.model.borrow_mut();
        model.health = Health::Down;
        model.demand = Default::default();
        drop(model);
        server.up.send_replace(false);
    }

    fn bring_up(&self, server: usize) {
        let server = &self.servers[server];
        server.model.borrow_mut().restart(self.monitor.now());
        server.up.send_replace(true);
    }

    /// The product that a list of attributes names, by its place.
    fn product(&self, attributes: &str) -> usize {
        let name = attribute(attributes, "c=");
        let product = self
            .scenario
            .products
            .iter()
            .position(|product| Some(product.name.as_str()) == name);
        product.unwrap_or(0)
    }

    /// Serves one connection until it ends, or the server does.
    pub async fn serve<S: AsyncRead + AsyncWrite + Unpin>(
        self: Rc<StubServers>,
        server: usize,
        connection: NodeConnection<S>,
    ) {
        let mut up = self.up(server);
        let served = async {
            // A connection that ends in the middle is the node's way to cancel an attempt.
            let _ = match server == self.origin() {
                true => self.serve_as_origin(connection).await,
                false => self.serve_as_cache(server, connection).await,
            };
        };
        tokio::select! {
            () = served => {}
            _ = up.wait_for(|up| !up) => {}
        }
    }

    /// Reports an attempt to the monitor as of when it was sent; gives the API call's number, if its id holds one.
    fn record_attempt<S>(
        &self,
        server: usize,
        connection: &NodeConnection<S>,
        id: &str,
        offset: u64,
    ) -> Option<u64> {
        let call = parse_call_id(id)?;
        let sent_at = connection
            .send_times
            .as_ref()
            .and_then(|send_times| send_times.of_byte(offset))
            .unwrap_or(self.monitor.now());
        self.monitor.sent(sent_at, call, connection.node, server);
        self.last_attempt.borrow_mut()[server] = sent_at;
        Some(call)
    }
}

/// The value of an attribute, by its name with the equals sign.
fn attribute<'a>(attributes: &'a str, name: &str) -> Option<&'a str> {
    attributes
        .split(',')
        .find_map(|attribute| attribute.strip_prefix(name))
}
