//! The description of an emulation: types of the keys of a scenario file.
mod checks;
mod defaults;
mod error;
mod fault;
mod parse;
mod settings;
#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

pub use error::LabError;
pub use fault::{Fault, FaultKind};
pub use parse::{one_line, parse_document};

/// A fleet, its traffic and its faults.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// Seed of all random draws.
    pub seed: u64,
    /// Length of the run, in seconds.
    pub seconds: f64,
    /// Time at the start of the run that is not counted, in seconds.
    pub settle: f64,
    /// Name of the policy that the nodes use.
    pub policy: String,
    /// Number of nodes. Clients' attempts are spread evenly over them, as by a load balancer.
    pub nodes: usize,
    /// Number of nodes in the nodes' settings, to emulate settings that don't match the fleet; 0:
    /// the same as `nodes`.
    #[serde(rename = "nodes_told")]
    pub configured_nodes: usize,
    /// The network between clients, nodes and servers.
    pub network: Network,
    /// How clients behave.
    pub clients: Clients,
    /// The rate of API calls.
    pub traffic: Traffic,
    /// The keys of API calls.
    pub keys: Keys,
    /// The caches.
    pub caches: Caches,
    /// The origin behind the caches.
    pub origin: Origin,
    /// Limits of the rules that are checked.
    pub rules: Rules,
    /// Most attempts of a node for an API call.
    #[serde(rename = "attempts")]
    pub max_attempts: usize,
    /// The products: classes of API calls.
    #[serde(rename = "product")]
    pub products: Vec<Product>,
    /// The injected faults.
    #[serde(rename = "fault")]
    pub faults: Vec<Fault>,
}

/// The network between clients, nodes and servers.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// Shortest one-way delay.
    pub delay_ms: f64,
    /// Mean of the random delay added to the shortest one.
    pub jitter_ms: f64,
    /// Fraction of messages that are lost, and arrive after a retransmission.
    pub loss: f64,
    /// Additional delay of a lost message.
    pub retransmit_ms: f64,
    /// Shortest and longest delay until a node learns of a change of the endpoint list.
    #[serde(rename = "list_late_ms")]
    pub endpoint_list_delay_ms: [f64; 2],
}

/// How clients behave.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Most retries of an API call.
    pub retries: usize,
    /// Mean delay before a retry.
    #[serde(rename = "wait_ms")]
    pub retry_wait_ms: f64,
    /// Range from which an attempt's timeout is drawn, as a ratio of the client timeout.
    #[serde(rename = "patience")]
    pub client_timeout_factor: [f64; 2],
}

/// The rate of API calls.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// API calls per second over all nodes; arrivals are a Poisson process.
    pub rate: f64,
}

/// The keys of API calls.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Keys {
    /// Number of keys.
    pub count: u64,
    /// Exponent of the Zipf distribution of popularity; 0: all keys are equally popular.
    pub skew: f64,
    /// Popularity drift: number of keys by which every seventh rank moves per second, as a ratio of
    /// `count`.
    pub drift: f64,
}

/// Distribution of the durations of work around their mean.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkDistribution {
    /// Always the mean.
    Fixed,
    /// Exponential.
    Exponential,
    /// Log-normal, with a standard deviation equal to the mean.
    Lognormal,
}

/// The caches.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Caches {
    /// Number of caches.
    pub count: usize,
    /// Cores of each cache.
    pub cores: usize,
    /// Range from which each cache's speed is drawn; 1 is normal.
    pub speed: [f64; 2],
    /// Most jobs queued while all cores are busy.
    pub queue: usize,
    /// Most objects held by each cache.
    pub memory: usize,
    /// Distribution of the durations of work.
    pub work: WorkDistribution,
    /// Work of a miss, as a ratio of that of a hit.
    #[serde(rename = "miss_part")]
    pub miss_work_ratio: f64,
    /// Ratio of the speed right after a restart to the full speed.
    #[serde(rename = "cold")]
    pub cold_speed_ratio: f64,
    /// Time from a restart until the full speed is reached.
    #[serde(rename = "warm_ms")]
    pub slow_start_ms: f64,
    /// Most connections to each cache.
    pub connections: usize,
    /// Work of accepting a new connection.
    pub handshake_ms: f64,
    /// The caches hold the most popular keys when the run starts.
    #[serde(rename = "filled")]
    pub prefilled: bool,
}

/// The origin behind the caches.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Origin {
    /// Its cores.
    pub cores: usize,
    /// Mean work of a read or a write.
    pub work_ms: f64,
    /// Most jobs queued while all cores are busy.
    pub queue: usize,
    /// It stops for some time when its load exceeds this multiple of its capacity.
    #[serde(rename = "falls_at")]
    pub max_load: f64,
    /// Window over which the load is measured.
    #[serde(rename = "falls_after_ms")]
    pub load_window_ms: f64,
}

/// Limits of the rules that are checked.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// How long a node may still send to a server after learning that it is draining or gone.
    pub grace_ms: f64,
    /// A cache that is warming up stops when its load exceeds this multiple of its capacity.
    #[serde(rename = "overload")]
    pub max_load: f64,
    /// Window over which the load is measured.
    #[serde(rename = "overload_ms")]
    pub load_window_ms: f64,
}

/// Whether a product's API calls may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Any number of times.
    Idempotent,
    /// Servers drop repeated calls for some time.
    Deduplicated,
    /// Never.
    AtMostOnce,
}

/// A class of API calls with the same objectives.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Product {
    /// Its name in settings and tables.
    pub name: String,
    /// Its share of the traffic, relative to the shares of the other products.
    pub share: f64,
    /// Whether its calls may be executed more than once.
    #[serde(default = "idempotent")]
    pub effect: Effect,
    /// Its calls write their keys.
    #[serde(default)]
    pub write: bool,
    /// Latency within which a response earns its full value.
    pub slo_ms: f64,
    /// The client timeout.
    pub timeout_ms: f64,
    /// Mean work at a cache.
    pub work_ms: f64,
    /// Value of a response within the latency objective.
    #[serde(rename = "value", default = "one")]
    pub priority_weight: f64,
    /// Value of a later response, as a ratio of the full value.
    #[serde(rename = "late_value", default)]
    pub late_priority_weight: f64,
    /// How long servers drop repeated calls of a deduplicated product.
    #[serde(default, rename = "window_ms")]
    pub dedup_window_ms: f64,
}

fn idempotent() -> Effect {
    Effect::Idempotent
}

fn one() -> f64 {
    1.0
}
