//! Load reports: the load of each node, as reported by the node itself. Only the newest report of a
//! node counts, its weight halves with its age, and no node moves the sum by more than a bound.
mod bounded_sum;

use quartzhub_membership::NodeId;
use quartzhub_policy::{NodeLoad, Span, Time};
use serde::{Deserialize, Serialize};

use crate::CoordinationConfig;
use bounded_sum::{attempt_time, WeightedLoad};

/// Maximum value of a report, in hundredths: a million responses per second.
const MAX_REPORTED_HUNDREDTHS: u32 = 100_000_000;

/// The fleet's load, computed from the reports of its nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetLoad {
    /// Number of nodes whose reports count.
    pub reporting_nodes: usize,
    /// Mean duration of an attempt at a cache, in seconds, by Little's law.
    pub attempt_seconds: f64,
}

/// A report as nodes pass it on. It carries its age, so that clocks of different nodes are never
/// compared. It is sent with postcard: the order of its fields must not change.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The node whose load is reported.
    pub node: NodeId,
    /// The node's incarnation.
    pub incarnation: u32,
    /// Sequence number, which grows with each report of an incarnation.
    pub sequence: u32,
    /// Time since the node created the report, in milliseconds.
    pub age_ms: u16,
    /// Mean number of attempts in flight, in hundredths.
    pub in_flight_hundredths: u32,
    /// Responses per second, in hundredths.
    pub answers_hundredths: u32,
}

impl LoadReport {
    fn is_plausible(&self) -> bool {
        self.in_flight_hundredths <= MAX_REPORTED_HUNDREDTHS
            && self.answers_hundredths <= MAX_REPORTED_HUNDREDTHS
    }
}

#[derive(Debug, Clone, Copy)]
struct KnownReport {
    report: LoadReport,
    /// When its node created it, by this node's clock.
    made: Time,
    transmissions: u32,
}

/// The newest known report of each node.
#[derive(Debug)]
pub struct LoadReports {
    me: NodeId,
    /// Indexed by node.
    known: Vec<Option<KnownReport>>,
    own_load: NodeLoad,
    /// The sequence number of this node's last report.
    sequence: u32,
    half_life: Span,
    max_age: Span,
    min_reporting_nodes: usize,
    max_report_medians: f64,
    max_transmissions: u32,
}

impl LoadReports {
    /// Creates an empty set of reports for `nodes` configured nodes.
    pub fn new(me: NodeId, nodes: usize, config: &CoordinationConfig) -> LoadReports {
        LoadReports {
            me,
            known: vec![None; nodes],
            own_load: NodeLoad::default(),
            sequence: 0,
            half_life: config.report_half_life,
            max_age: config.max_report_age,
            min_reporting_nodes: config.min_reporting_nodes,
            max_report_medians: config.max_report_medians,
            max_transmissions: config.max_report_transmissions,
        }
    }

    /// Sets this node's own current load.
    pub fn set_own_load(&mut self, load: NodeLoad) {
        self.own_load = load;
    }

    /// Creates a new report of this node's own load.
    pub fn record_own(&mut self, now: Time, incarnation: u32) {
        self.sequence = self.sequence.wrapping_add(1);
        let report = LoadReport {
            node: self.me,
            incarnation,
            sequence: self.sequence,
            age_ms: 0,
            in_flight_hundredths: hundredths(self.own_load.mean_in_flight),
            answers_hundredths: hundredths(self.own_load.responses_per_second),
        };
        self.known[self.me.index()] = Some(KnownReport {
            report,
            made: now,
            transmissions: 0,
        });
    }

    /// Stores a report if it is newer than the known one of its node. Reports about this node are
    /// ignored, since no other node knows its load.
    pub fn on_report(&mut self, now: Time, report: LoadReport) {
        if report.node == self.me || !report.is_plausible() {
            return;
        }
        let made = now - Span::ms(i64::from(report.age_ms));
        let max_age = self.max_age;
        if now - made > max_age {
            return;
        }
        let Some(known) = self.known.get_mut(report.node.index()) else {
            return;
        };
        // A report that is too old gives way to any other. Without this, a wrongly high incarnation
        // or sequence number would suppress all further reports of its node.
        let is_newer = known.as_ref().is_none_or(|stored| {
            (report.incarnation, report.sequence)
                > (stored.report.incarnation, stored.report.sequence)
                || now - stored.made > max_age
        });
        if is_newer {
            *known = Some(KnownReport {
                report,
                made,
                transmissions: 0,
            });
        }
    }

    /// Passes reports to `add` while they fit: this node's own first, then the least transmitted,
    /// then the newest.
    pub fn piggyback(&mut self, now: Time, mut add: impl FnMut(LoadReport) -> bool) {
        let me = self.me;
        let max_age = self.max_age;
        let max_transmissions = self.max_transmissions;
        let mut pending: Vec<&mut KnownReport> = self
            .known
            .iter_mut()
            .flatten()
            .filter(|known| now - known.made <= max_age && known.transmissions < max_transmissions)
            .collect();
        pending.sort_by_key(|known| {
            (
                known.report.node != me,
                known.transmissions,
                now - known.made,
            )
        });
        for known in pending {
            let age_ms = (now - known.made).as_ms();
            let report = LoadReport {
                age_ms: age_ms.clamp(0.0, f64::from(u16::MAX)) as u16,
                ..known.report
            };
            if !add(report) {
                return;
            }
            known.transmissions += 1;
        }
    }

    /// Returns the fleet's load according to the reports of other nodes; none if too few are
    /// recent. Each report is limited to a multiple of the median, which bounds the effect of a
    /// faulty node, a stalled one or a wrong clock on the result.
    pub fn fleet_load(&self, now: Time) -> Option<FleetLoad> {
        let recent: Vec<WeightedLoad> = self
            .known
            .iter()
            .flatten()
            .filter(|known| known.report.node != self.me && now - known.made <= self.max_age)
            .map(|known| self.weighted(now, known))
            .collect();
        if recent.len() < self.min_reporting_nodes {
            return None;
        }
        let attempt_seconds = attempt_time(&recent, self.max_report_medians)?;
        Some(FleetLoad {
            reporting_nodes: recent.len(),
            attempt_seconds,
        })
    }

    fn weighted(&self, now: Time, known: &KnownReport) -> WeightedLoad {
        let age = (now - known.made).seconds().max(0.0);
        WeightedLoad {
            weight: 0.5f64.powf(age / self.half_life.seconds()),
            attempts_in_flight: f64::from(known.report.in_flight_hundredths) / 100.0,
            responses_per_second: f64::from(known.report.answers_hundredths) / 100.0,
        }
    }
}

fn hundredths(value: f64) -> u32 {
    ((value.max(0.0) * 100.0) as u32).min(MAX_REPORTED_HUNDREDTHS)
}
