//! Where attempts and tries went, counted by the second: what the causes of lost service are read from.

#[derive(Debug, Clone, Copy)]
pub enum Went {
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

pub const WENT: usize = Went::AgainAway as usize + 1;

/// What each is called in a table.
pub const HEADS: [&str; WENT] = [
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
