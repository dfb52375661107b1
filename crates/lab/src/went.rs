//! Where shots and tries went, counted by the second: what the causes of lost service are read from.
use crate::stats::Report;

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

const HEADS: [&str; WENT] = [
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

/// A line a second, with what was served of the API calls begun then.
pub fn table(report: &Report) -> String {
    let mut table =
        format!("second  service in-time   late  {}\n", HEADS.map(|head| format!("{head:>10}")).concat());
    for (second, (went, counts)) in report.went.iter().zip(&report.windows).enumerate() {
        let went: String = went.iter().map(|count| format!("{count:>10}")).collect();
        let (service, in_time, late) = (counts.service(), counts.in_slo, counts.late);
        table += &format!("{second:>6}  {service:>7.3} {in_time:>7} {late:>6}  {went}\n");
    }
    table
}
