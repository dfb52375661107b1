//! The balancer of one node: its state, its configuration and the figures that it reports. Events
//! are handled in these modules:
//!
//! - `endpoint_list`: `start`, `on_endpoint_list`, `on_endpoint_list_failed`
//! - `new_call`: `on_call`, `on_client_cancelled`
//! - `attempt_completion`: `on_attempt_result`, `on_first_byte`
//! - `timer`: `on_timer`
use crate::admission::Admission;
use crate::cache_load::CacheLoad;
use crate::cache_selector::CacheSelector;
use crate::call::Call;
use crate::coalescing::Coalescing;
use crate::config::{PolicyConfig, Product};
use crate::deadlines::DeadlineQueue;
use crate::diagnostics::{Diagnostics, NodeLoad};
use crate::endpoint::ServerIndex;
use crate::endpoint_list_poller::EndpointListPoller;
use crate::evidence::Evidence;
use crate::hedging::HedgeTokens;
use crate::hot_keys::HotKeyTracker;
use crate::idle_connections::IdleConnections;
use crate::key_health::KeyHealth;
use crate::origin::Origin;
use crate::outlier_detection::OutlierDetector;
use crate::pcg::Pcg;
use crate::retry_policy::RetryPolicy;
use crate::server::Server;
use crate::slow_start::SlowStart;
use crate::time::{Span, Time};

/// Latency objective if no product is configured.
const DEFAULT_LATENCY_OBJECTIVE: Span = Span::ms(1_000);

/// Makes the routing decisions of one node. Each event handler calls the resulting actions on the
/// `PolicyActions` passed to it.
#[derive(Default)]
pub struct Balancer {
    /// The configured products, followed by one that stands for all unknown products.
    pub(crate) products: Vec<Product>,
    pub(crate) shortest_objective: Span,
    pub(crate) nodes: f64,
    pub(crate) cache_aside: bool,
    pub(crate) origin_kind: Option<u32>,
    pub(crate) max_retry_after: Option<Span>,
    /// Whether a server that was delisted without having drained may still be used.
    pub(crate) delisted_endpoints_stay_usable: bool,
    pub(crate) deadline_drift: Span,
    pub(crate) start_time_skew: Span,
    pub(crate) rng: Pcg,
    /// Time of the event that is being handled.
    pub(crate) now: Time,
    pub(crate) last_tick: Time,
    pub(crate) servers: Vec<Server>,
    pub(crate) calls: Vec<Call>,
    pub(crate) last_serial: u32,
    pub(crate) deadlines: DeadlineQueue,
    pub(crate) endpoint_list: EndpointListPoller,
    pub(crate) admission: Admission,
    pub(crate) coalescing: Coalescing,
    pub(crate) hot_keys: HotKeyTracker,
    pub(crate) key_health: KeyHealth,
    pub(crate) cache_selector: CacheSelector,
    pub(crate) cache_load: CacheLoad,
    pub(crate) idle_connections: IdleConnections,
    pub(crate) slow_start: SlowStart,
    pub(crate) outliers: OutlierDetector,
    pub(crate) origin: Origin,
    pub(crate) retry_policy: RetryPolicy,
    pub(crate) hedge_tokens: HedgeTokens,
}

impl Balancer {
    /// Returns a balancer that knows no server yet. `seed` determines all random choices.
    pub fn new(config: &PolicyConfig, seed: u64) -> Balancer {
        let mut balancer = Balancer {
            rng: Pcg::new(seed),
            ..Balancer::default()
        };
        balancer.reconfigure(config);
        balancer.origin.reset(balancer.nodes);
        balancer.reset_caches();
        balancer
    }

    /// Applies another configuration. Open calls keep their product's rules, and servers keep their
    /// role until the next endpoint list. Learnt values are kept if they still apply under the new
    /// configuration, such as response times and rates. Limits at the origin are rescaled to the
    /// number of nodes; outcomes and load shedding are reset if the latency objectives change, and
    /// the success ratio of additional attempts if two attempts of a call may now be in flight, or
    /// no longer may.
    pub fn reconfigure(&mut self, config: &PolicyConfig) {
        self.cache_aside = config.cache_aside;
        self.origin_kind = config.origin_kind;
        self.max_retry_after = config.max_retry_after;
        self.delisted_endpoints_stay_usable = config.delisted_endpoints_stay_usable;
        self.deadline_drift = config.deadline_drift;
        self.start_time_skew = config.start_time_skew;
        self.admission.configure(config);
        self.slow_start.config = config.slow_start;
        self.idle_connections.configure(config.keepalive);
        self.endpoint_list.config = config.endpoint_list;
        self.key_health.late_responses_are_failures = config.late_responses_count_against_keys;
        self.configure_products(config);
        let previous_nodes = std::mem::replace(&mut self.nodes, config.nodes);
        self.origin
            .configure(self.shortest_objective, self.nodes, previous_nodes);
        let could_duplicate = self.retry_policy.may_duplicate;
        self.retry_policy.configure(config);
        if could_duplicate != self.retry_policy.may_duplicate {
            self.hedge_tokens.reset();
        }
    }

    fn configure_products(&mut self, config: &PolicyConfig) {
        let objectives = || config.products.iter().map(|p| p.latency_objective);
        let shortest = objectives().min().unwrap_or(DEFAULT_LATENCY_OBJECTIVE);
        let longest = objectives().max().unwrap_or(DEFAULT_LATENCY_OBJECTIVE);
        self.products = config.products.clone();
        self.products.push(Product::unknown(shortest));
        if self.cache_load.latencies.len() != self.products.len() {
            self.cache_load.reset_latencies(&self.products);
        }
        let longest_micros = longest.0 as f64;
        let objectives_changed = self.shortest_objective != shortest
            || self.outliers.longest_objective_micros != longest_micros;
        self.shortest_objective = shortest;
        self.outliers.longest_objective_micros = longest_micros;
        if objectives_changed {
            self.admission.reset_shedding();
            self.outliers.fleet_success_ratio = 1.0;
            for server in &mut self.servers {
                server.evidence = Evidence::default();
            }
        }
    }

    /// Resets the caches' response times, the outlier estimates, the limit on idle connections and
    /// the hedge tokens to their initial values, for caches about which nothing is known.
    pub(crate) fn reset_caches(&mut self) {
        self.cache_load.reset_latencies(&self.products);
        self.idle_connections.connected_ratio = 1.0;
        self.outliers.reset(self.shortest_objective);
        self.hedge_tokens.reset();
    }

    /// Returns what the node has learnt about the fleet and this server.
    pub fn diagnostics(&self, server: ServerIndex) -> Diagnostics {
        let moving_average = self
            .servers
            .get(server.0)
            .map_or(f64::NAN, |server| server.moving_average);
        Diagnostics {
            median_latency_ms: self.outliers.median_micros / 1000.0,
            origin_limit: self.origin.limiter.limit,
            fleet_success_ratio: self.outliers.fleet_success_ratio,
            responses_per_second: self.cache_load.responses_per_second,
            moving_average,
        }
    }

    /// Returns this node's own load, to be reported to other nodes.
    pub fn load(&self) -> NodeLoad {
        NodeLoad {
            mean_in_flight: self.cache_load.mean_in_flight,
            responses_per_second: self.cache_load.responses_per_second,
        }
    }

    /// Returns the number of ready caches that are outliers and therefore rarely used.
    pub fn outlier_count(&self, now: Time) -> usize {
        self.cache_selector
            .caches
            .iter()
            .filter(|cache| self.outliers.is_outlier(&self.servers[cache.0], now))
            .count()
    }
}
