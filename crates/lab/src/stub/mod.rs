//! Stub caches and a stub origin on loopback, with the cores, work, memory and faults that a
//! scenario describes. They stop with the `LocalSet` that they run in. The attempts that they
//! receive and the work that they start are reported to the rule monitor.
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
pub use list::{EndpointListChange, ListedState};

/// Upper limit of API calls with recorded misses, and of recorded idempotency keys.
const MAX_RECORDS: usize = 100_000;
/// Longest accepted command or HTTP request, in bytes.
const MAX_REQUEST_BYTES: usize = 8 * 1024 * 1024;

/// One server: its model, and what its connections wait for.
struct StubServer {
    cores: Semaphore,
    model: RefCell<Server>,
    /// Whether the server accepts connections.
    up: watch::Sender<bool>,
}

/// A cache that missed for an API call.
struct CacheMiss {
    cache: usize,
    /// Whether the cache was warming up.
    is_cold: bool,
}

/// The idempotency key of a call that the origin has executed.
struct ExecutedKey {
    at: Time,
    key: String,
}

/// All servers of a scenario, with their counters.
pub struct StubServers {
    /// The scenario that describes the servers.
    pub scenario: Scenario,
    products: Vec<Product>,
    /// The caches, followed by the origin.
    servers: Vec<StubServer>,
    /// Checks the rules on the attempts and the work that the servers report.
    pub monitor: Rc<RuleMonitor>,
    /// Caches that missed for an API call, by the call's id; the origin's response fills them.
    misses_by_call: RefCell<HashMap<String, Vec<CacheMiss>>>,
    /// Idempotency keys of executed calls, the oldest first.
    executed_keys: RefCell<VecDeque<ExecutedKey>>,
    rng: RefCell<Pcg>,
    /// Changes of the endpoint list, the oldest first.
    pub list_changes: RefCell<Vec<EndpointListChange>>,
    /// Notified at each change of the endpoint list.
    pub list_changed: Notify,
    /// Number of attempts for which a cache had the value.
    pub hits: Cell<u64>,
    /// Number of attempts for which a cache did not have the value.
    pub misses: Cell<u64>,
    /// Number of attempts to the origin.
    pub origin_attempts: Cell<u64>,
    /// Number of attempts to the origin in each second since the monitor started.
    pub origin_attempts_by_second: RefCell<Vec<u64>>,
    /// How often an overloaded server went down.
    pub overloads: Cell<u64>,
    /// When the last attempt was sent to each server, by server index; 0 before the first one.
    pub last_attempt_at: RefCell<Vec<Time>>,
}

impl StubServers {
    /// Returns the servers of a scenario, all of them up.
    pub fn new(scenario: &Scenario, monitor: Rc<RuleMonitor>) -> Result<Rc<StubServers>, LabError> {
        let mut rng = Pcg::new(scenario.seed);
        let [from, to] = scenario.caches.speed;
        let servers = (0..=scenario.caches.count).map(|index| {
            let origin = index == scenario.caches.count;
            let speed = match origin {
                true => 1.0,
                false => from + (to - from) * rng.unit(),
            };
            let model = Server::from_scenario(scenario, origin, speed);
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
            misses_by_call: RefCell::default(),
            executed_keys: RefCell::default(),
            rng: RefCell::new(rng),
            list_changes: RefCell::default(),
            list_changed: Notify::new(),
            hits: Cell::new(0),
            misses: Cell::new(0),
            origin_attempts: Cell::new(0),
            origin_attempts_by_second: RefCell::default(),
            overloads: Cell::new(0),
            last_attempt_at: RefCell::new(vec![Time(0); scenario.caches.count + 1]),
        }))
    }

    /// Listens on loopback for a single node without proxies, starts the faults' schedule, and
    /// returns the endpoint list.
    pub async fn listen(self: Rc<StubServers>) -> Result<serde_json::Value, LabError> {
        StubServers::check_faults_supported(&self.scenario, false)?;
        let stub_error = |e: io::Error| LabError(format!("a stub server: {e}"));
        let mut addrs = Vec::new();
        for server in 0..self.servers.len() {
            let listener = TcpListener::bind("127.0.0.1:0").await.map_err(stub_error)?;
            addrs.push(listener.local_addr().map_err(stub_error)?);
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
        self.clone().start_faults();
        Ok(self.endpoint_list(|server| addrs[server]))
    }

    /// Returns the index of the origin, which is the last server.
    pub fn origin_index(&self) -> usize {
        self.servers.len() - 1
    }

    /// Returns the number of servers, the origin included.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Returns a receiver of whether a server accepts connections, notified at each change.
    pub fn subscribe_up(&self, server: usize) -> watch::Receiver<bool> {
        self.servers[server].up.subscribe()
    }

    /// Stops a server: its connections end and it accepts no new ones.
    fn take_down(&self, server: usize) {
        let server = &self.servers[server];
        let mut model = server.model.borrow_mut();
        model.health = Health::Down;
        model.demand = Default::default();
        drop(model);
        server.up.send_replace(false);
    }

    /// Starts a stopped server again, with an empty memory.
    fn bring_up(&self, server: usize) {
        let server = &self.servers[server];
        server.model.borrow_mut().restart(self.monitor.now());
        server.up.send_replace(true);
    }

    /// Returns the index of the product that a list of attributes names; 0 if there is none.
    fn product_index(&self, attributes: &str) -> usize {
        let name = attribute(attributes, "c=");
        let product = self
            .scenario
            .products
            .iter()
            .position(|product| Some(product.name.as_str()) == name);
        product.unwrap_or(0)
    }

    /// Serves one connection until it ends or the server stops.
    pub async fn serve<S: AsyncRead + AsyncWrite + Unpin>(
        self: Rc<StubServers>,
        server: usize,
        connection: NodeConnection<S>,
    ) {
        let mut up = self.subscribe_up(server);
        let serving = async {
            // An I/O error is expected here: a node cancels an attempt by closing its connection.
            let _ = match server == self.origin_index() {
                true => self.serve_as_origin(connection).await,
                false => self.serve_as_cache(server, connection).await,
            };
        };
        tokio::select! {
            () = serving => {}
            _ = up.wait_for(|up| !up) => {}
        }
    }

    /// Reports an attempt, with the time at which it was sent, to the monitor. Returns the id of
    /// the API call if a client of this crate sent it.
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
            .and_then(|send_times| send_times.at_offset(offset))
            .unwrap_or(self.monitor.now());
        self.monitor
            .record_sent(sent_at, call, connection.node, server);
        self.last_attempt_at.borrow_mut()[server] = sent_at;
        Some(call)
    }
}

/// Returns the value of an attribute; `name` includes the equals sign.
fn attribute<'a>(attributes: &'a str, name: &str) -> Option<&'a str> {
    attributes
        .split(',')
        .find_map(|attribute| attribute.strip_prefix(name))
}
