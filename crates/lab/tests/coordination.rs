//! Tests of budget sharing between several node processes, and of their behavior under overload,
//! with faults. Assertions are on events, counts and generous bounds, never on exact times.
mod common;

use std::collections::BTreeMap;

use common::{assert_holds, example_plan};
use quartzhub_lab::fleet::event_log::Event;

/// The share of the budgets that a node may use from a point of time on.
struct BudgetShare {
    /// Time, in milliseconds from the start of the run.
    at_ms: f64,
    node: String,
    /// Fraction of the budgets.
    share: f64,
}

impl BudgetShare {
    /// Parses the node's log line "coordination: this node may use {share} ..."; a killed
    /// process may use nothing.
    fn parse(event: &Event) -> Option<BudgetShare> {
        let share = match event.message.contains("SIGKILL") {
            true => 0.0,
            false => event
                .message
                .strip_prefix("coordination: this node may use ")?
                .split(' ')
                .next()?
                .parse()
                .ok()?,
        };
        Some(BudgetShare {
            at_ms: event.at_ms,
            node: event.source.clone(),
            share,
        })
    }
}

/// Longest delay of a process's log lines, in milliseconds, beyond the 0.6 s that pass between the
/// end of one lease and the start of the next. If a process logs a smaller share within this delay,
/// the smaller share counts.
const MAX_LOG_DELAY_MS: f64 = 1_500.0;

/// Returns the smallest share that each node may be using at the time; its log lines may be late.
fn shares_at(shares: &[BudgetShare], at_ms: f64) -> BTreeMap<&str, f64> {
    let mut current = last_shares(shares.iter().filter(|share| share.at_ms <= at_ms));
    let is_soon_after =
        |share: &&BudgetShare| share.at_ms > at_ms && share.at_ms <= at_ms + MAX_LOG_DELAY_MS;
    for later in shares.iter().filter(is_soon_after) {
        current
            .entry(&later.node)
            .and_modify(|share| *share = share.min(later.share));
    }
    current
}

fn last_shares<'a>(shares: impl Iterator<Item = &'a BudgetShare>) -> BTreeMap<&'a str, f64> {
    shares
        .map(|share| (share.node.as_str(), share.share))
        .collect()
}

#[test]
fn budget_shares_sum_to_at_most_one_during_partition() {
    let outcome = assert_holds(&example_plan("shared-cut.toml"));
    let shares: Vec<_> = outcome
        .events
        .iter()
        .filter_map(BudgetShare::parse)
        .collect();
    let mut reduced = 0;
    for BudgetShare { at_ms: at, .. } in &shares {
        let current = shares_at(&shares, *at);
        let sum: f64 = current.values().sum();
        assert!(sum <= 1.0 + 0.001, "{sum} at {at} ms: {current:?}");
        reduced += usize::from(*at > 12_000.0 && *at < 20_000.0 && sum < 0.95);
    }
    assert!(
        reduced > 0,
        "no node reduced its share during the partition"
    );
    let last = last_shares(shares.iter());
    assert!(
        last.len() == 12
            && last
                .values()
                .all(|share| (share - 1.0 / 12.0).abs() < 0.001),
        "{last:?}"
    );
}

#[test]
fn overload_with_crashes_and_pauses_meets_expectations() {
    assert_holds(&example_plan("overload.toml"));
}
