//! Figures of a report: those that experiments select by name, and the table by second.
use std::ops::Range;

use super::{Counts, Report};
use crate::metric::HEADINGS;

/// Length of the period used for the worst service, in seconds.
const WORST_SECONDS: usize = 10;

/// Names of the figures that experiments can select.
pub const FIGURES: [&str; 14] = [
    "service",
    "worst_10s",
    "after",
    "tries_per_call",
    "p50_ms",
    "p99_ms",
    "mean_ms",
    "hit_ratio",
    "attempts_per_call",
    "fetches_per_s",
    "rate_limited",
    "origin_fell",
    "caches_fell",
    "broken",
];

/// Ratio of the earned to the offered value over all these windows; none if no value was offered.
fn service(windows: &[Counts]) -> Option<f64> {
    let earned: f64 = windows.iter().map(|window| window.earned_value).sum();
    let offered: f64 = windows.iter().map(|window| window.offered_value).sum();
    (offered > 0.0).then(|| earned / offered)
}

impl Report {
    /// Returns the fraction of reads at caches that found their value.
    pub fn hit_ratio(&self) -> f64 {
        self.hits as f64 / (self.hits + self.misses).max(1) as f64
    }

    /// Returns the lowest service over any `WORST_SECONDS` consecutive counted seconds.
    pub fn worst_service(&self) -> f64 {
        let first = (self.settled_at.0 / 1_000_000) as usize;
        let counted = self.windows.get(first..).unwrap_or_default();
        counted
            .windows(WORST_SECONDS.min(counted.len().max(1)))
            .map(|windows| service(windows).unwrap_or(1.0))
            .fold(1.0, f64::min)
    }

    /// Returns the service in the five seconds that start 3 s after the last fault, as a ratio to
    /// that before the first fault; not a number if one of the two periods has no API calls.
    pub fn service_after_faults(&self) -> f64 {
        let service_in = |period: &Range<usize>| {
            let windows = self.windows.get(period.clone()).unwrap_or_default();
            service(windows).unwrap_or(f64::NAN)
        };
        service_in(&self.fault_free_periods.after_faults)
            / service_in(&self.fault_free_periods.before_faults)
    }

    /// Formats a table with a line for each second: outcomes of the API calls started in it, and
    /// events of nodes' and clients' attempts.
    pub fn table_by_second(&self) -> String {
        let mut table = format!(
            "second  service in-time   late  {}\n",
            HEADINGS.map(|heading| format!("{heading:>10}")).concat()
        );
        for (second, (metrics, counts)) in
            self.metrics_by_second.iter().zip(&self.windows).enumerate()
        {
            let metrics: String = metrics.iter().map(|count| format!("{count:>10}")).collect();
            let (service, in_time, late) = (counts.service(), counts.in_slo, counts.late);
            table += &format!("{second:>6}  {service:>7.3} {in_time:>7} {late:>6}  {metrics}\n");
        }
        table
    }

    /// Returns the figure with this name; none if there is no such figure.
    pub fn figure(&self, name: &str) -> Option<f64> {
        let quantile = |q| self.latency.value_at_quantile(q) as f64 / 1000.0;
        Some(match name {
            "service" => self.all.service(),
            "worst_10s" => self.worst_service(),
            "after" => self.service_after_faults(),
            "tries_per_call" => self.client_attempts as f64 / self.started.max(1) as f64,
            "p50_ms" => quantile(0.5),
            "p99_ms" => quantile(0.99),
            "mean_ms" => self.latency.mean() / 1000.0,
            "hit_ratio" => self.hit_ratio(),
            "attempts_per_call" => self.attempts as f64 / self.started.max(1) as f64,
            "fetches_per_s" => self.origin_attempts as f64 / self.windows.len().max(1) as f64,
            "rate_limited" => self.all.rate_limited as f64 / self.all.total.max(1) as f64,
            "origin_fell" => self.origin_overloads as f64,
            "caches_fell" => self.cache_overloads as f64,
            "broken" => self.violation_count as f64,
            _ => return None,
        })
    }
}
