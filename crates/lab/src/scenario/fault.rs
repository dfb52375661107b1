//! Faults of a scenario: kind, time, and extent.
use serde::{Deserialize, Serialize};

/// The kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Caches crash, leave the endpoint list and restart cold.
    Crash,
    /// Caches hang: they accept requests but do not respond.
    Hang,
    /// Caches are slower by `factor`.
    Slow,
    /// Caches drain, leave the endpoint list and restart cold.
    Drain,
    /// Caches restart without leaving the endpoint list, cold and with empty caches.
    ColdRestart,
    /// Nodes receive no updates of the endpoint list.
    Partition,
    /// The origin is slower by `factor`.
    OriginSlow,
    /// The origin stops.
    OriginStop,
    /// The traffic rate is multiplied by `factor`.
    Burst,
    /// A fraction `share` of the API calls is for one key.
    HotKey,
    /// A fraction `share` of the API calls is for keys that are requested only once.
    Scan,
    /// Nodes restart one after the other, with nothing but the endpoint list.
    NodeRoll,
    /// Network delays are multiplied by `factor`.
    Network,
}

/// One fault of a scenario.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Its kind.
    pub kind: FaultKind,
    /// When it starts, in seconds from the start of the run.
    #[serde(rename = "at")]
    pub start_s: f64,
    /// How long it lasts, in seconds.
    #[serde(rename = "for", default = "ten")]
    pub duration_s: f64,
    /// Fraction of the caches, nodes or API calls that it affects.
    #[serde(default = "one")]
    pub share: f64,
    /// Factor by which it multiplies a duration or a rate.
    #[serde(default = "two")]
    pub factor: f64,
}

fn one() -> f64 {
    1.0
}

fn two() -> f64 {
    2.0
}

fn ten() -> f64 {
    10.0
}
