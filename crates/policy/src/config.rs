//! The policy's configuration: products, quotas, what the deployment permits and the parameters of
//! its rules.
//!
//! The program that embeds the policy fills it in from its own settings; the policy itself knows no
//! file format and no names of settings.
use crate::time::Span;

/// Whether an API call may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// May be executed any number of times.
    Idempotent,
    /// Servers discard repeats of the call within the product's window and scope.
    Deduplicated,
    /// Must not be executed twice.
    NonIdempotent,
}

/// Which servers discard repeats of a deduplicated API call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// Every server knows every attempt.
    All,
    /// Servers of one zone know each other's attempts.
    Zone,
    /// Servers of one cell know each other's attempts.
    Cell,
    /// Each server knows only its own attempts.
    One,
}

/// A class of API calls with the same objectives and rules.
#[derive(Debug, Clone, Copy)]
pub struct Product {
    /// Responses within this time have their full value.
    pub latency_objective: Span,
    /// Time after which the client gives up.
    pub client_timeout: Span,
    /// Value of a response in time, relative to other products.
    pub priority_weight: f64,
    /// Fraction of the weight that a response after the objective still has.
    pub late_priority_weight: f64,
    /// Whether its calls may be executed more than once.
    pub idempotency: Idempotency,
    /// Which servers discard repeats of a deduplicated call.
    pub dedup_scope: DedupScope,
    /// How long repeats of a deduplicated call are discarded.
    pub dedup_window: Span,
}

impl Product {
    /// Returns the stand-in for products that the settings do not name: its calls are never
    /// executed twice and have no weight.
    pub fn unknown(latency_objective: Span) -> Product {
        Product {
            latency_objective,
            client_timeout: latency_objective,
            priority_weight: 0.0,
            late_priority_weight: 0.0,
            idempotency: Idempotency::NonIdempotent,
            dedup_scope: DedupScope::One,
            dedup_window: Span::ZERO,
        }
    }
}

impl Default for Product {
    fn default() -> Product {
        Product::unknown(Span::ZERO)
    }
}

/// A limit on attempts beyond each API call's first, over a sliding window.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RetryBudgetConfig {
    /// Length of the window; zero if there is no limit.
    pub window: Span,
    /// Additional attempts that are always allowed within a window.
    pub free_attempts: f64,
    /// Additional attempts allowed for each API call received within the window.
    pub attempts_per_call: f64,
}

/// The load that a recently started server can bear.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartConfig {
    /// Fraction of its full load that it can bear at the start, from 0 to 1.
    pub initial_load_ratio: f64,
    /// Time until it can bear its full load.
    pub duration: Span,
}

impl Default for SlowStartConfig {
    fn default() -> SlowStartConfig {
        SlowStartConfig {
            initial_load_ratio: 0.0,
            duration: Span::ms(60_000),
        }
    }
}

/// How updates of the endpoint list reach the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointListConfig {
    /// Whether the node has to poll for updates; otherwise they are pushed.
    pub polled: bool,
    /// Longest permitted time until the node polls.
    pub poll_interval: Span,
}

impl Default for EndpointListConfig {
    fn default() -> EndpointListConfig {
        EndpointListConfig {
            polled: false,
            poll_interval: Span::ms(5_000),
        }
    }
}

/// The configuration of the policy.
#[derive(Debug, Clone)]
pub struct PolicyConfig {
    /// Products by their index in the settings.
    pub products: Vec<Product>,
    /// Quotas of tenants by their index in the settings, in API calls per second over all nodes.
    pub tenant_quotas: Vec<f64>,
    /// Number of nodes, at least 1.
    pub nodes: f64,
    /// Whether caches respond with misses and the node itself fetches from the origin
    /// (cache-aside).
    pub cache_aside: bool,
    /// Machine kind of origin servers, by its index in the settings.
    pub origin_kind: Option<u32>,
    /// Longest Retry-After that a rejection may state; `None` if rejections state none.
    pub max_retry_after: Option<Span>,
    /// Largest number of attempts for an API call, including the first.
    pub max_attempts: usize,
    /// Whether two attempts of one API call may be in flight at once.
    pub may_duplicate: bool,
    /// Whether an attempt in flight may be cancelled.
    pub may_cancel: bool,
    /// Limit on additional attempts.
    pub retry_budget: RetryBudgetConfig,
    /// The load that a recently started server can bear.
    pub slow_start: SlowStartConfig,
    /// How long a server keeps an idle connection open; `None` if the settings do not state it.
    pub keepalive: Option<Span>,
    /// How updates of the endpoint list reach the node.
    pub endpoint_list: EndpointListConfig,
    /// Whether a server that was delisted without having drained may still be used.
    pub delisted_endpoints_stay_usable: bool,
    /// Whether a late response counts as a failure of its key.
    pub late_responses_count_against_keys: bool,
    /// Largest error of a client's stated remaining time, as clocks differ.
    pub deadline_drift: Span,
    /// Largest error of the start times in the endpoint list.
    pub start_time_skew: Span,
}

impl Default for PolicyConfig {
    /// The safe defaults: no duplicates, no cancelling, no Retry-After, one attempt.
    fn default() -> PolicyConfig {
        PolicyConfig {
            products: Vec::new(),
            tenant_quotas: Vec::new(),
            nodes: 1.0,
            cache_aside: false,
            origin_kind: None,
            max_retry_after: None,
            max_attempts: 1,
            may_duplicate: false,
            may_cancel: false,
            retry_budget: RetryBudgetConfig::default(),
            slow_start: SlowStartConfig::default(),
            keepalive: None,
            endpoint_list: EndpointListConfig::default(),
            delisted_endpoints_stay_usable: false,
            late_responses_count_against_keys: false,
            deadline_drift: Span::ZERO,
            start_time_skew: Span::ZERO,
        }
    }
}
