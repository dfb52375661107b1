//! Counters of what became of attempts and tries, by the second: what the causes of lost service are read from.

/// What is counted.
#[derive(Debug, Clone, Copy)]
pub enum Metric {
    /// At caches: found for an API call that still waited; found for nobody; missed.
    Hit,
    HitUnwanted,
    Miss,
    /// Called off in a queue, and at work.
    CalledOff,
    CalledOffAtWork,
    /// Turned away full.
    Full,
    /// At the origin: read and written for a call that waited, and done for nobody.
    Fetched,
    Wrote,
    OriginUnwanted,
    /// Tries of clients: first ones and later ones, and those of them that got no value.
    First,
    Again,
    FirstAway,
    AgainAway,
}

/// How many there are.
pub const METRICS: usize = Metric::AgainAway as usize + 1;

/// What each is called in a table.
pub const HEADINGS: [&str; METRICS] = [
    "hit",
    "unwanted",
    "miss",
    "off",
    "off-work",
    "full",
    "fetch",
    "write",
    "unwanted",
    "first",
    "again",
    "first-away",
    "again-away",
];
