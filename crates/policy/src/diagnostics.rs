//! Figures that a balancer reports about itself, for inspection and for other nodes.

/// What a node has learnt about the fleet and about one server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Diagnostics {
    /// Median response time of caches, in milliseconds.
    pub median_latency_ms: f64,
    /// Number of attempts that may be in flight at the origin.
    pub origin_limit: f64,
    /// Fraction of attempts at caches that succeed.
    pub fleet_success_ratio: f64,
    /// Responses per second from caches.
    pub responses_per_second: f64,
    /// The server's moving average of key positions; NaN for an unknown server.
    pub moving_average: f64,
}

/// A node's own load.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct NodeLoad {
    /// Mean number of attempts in flight at caches that are no outliers.
    pub mean_in_flight: f64,
    /// Responses per second from caches.
    pub responses_per_second: f64,
}
