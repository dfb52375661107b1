//! The outcome of a run: its figures as a table, a table row or a JSON record, and the files with
//! the results.
use std::path::{Path, PathBuf};

use serde::Serialize;

use super::event_log::{self, Event};
use super::io_error;
use super::plan::Plan;
use super::timeline::{self, FaultPeriod};
use crate::rules::Violation;
use crate::scenario::LabError;
use crate::stats::{Counts, Report};

/// Most characters of an API call's history that are printed.
const MAX_HISTORY: usize = 1_500;

/// Numbers of datagrams between nodes.
#[derive(Debug, Clone, Copy, Default)]
pub struct DatagramCounts {
    /// Number of datagrams that nodes sent.
    pub sent: u64,
    /// Number of datagrams that arrived; a duplicated datagram counts twice.
    pub arrived: u64,
}

/// The results of a run.
pub struct Outcome {
    /// Statistics of the clients' API calls.
    pub report: Report,
    /// The first violations of each rule, with the history of the API call concerned.
    pub violations: Vec<Violation>,
    /// Number of all violations.
    pub violation_count: u64,
    /// The event log.
    pub events: Vec<Event>,
    /// Period of each fault.
    pub fault_periods: Vec<FaultPeriod>,
    /// Number of processes that serve at the end.
    pub nodes_up: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of attempts to caches that were hits.
    pub hits: u64,
    /// Number of attempts to caches that were misses.
    pub misses: u64,
    /// Number of attempts to the origin.
    pub origin_attempts: u64,
    /// Number of times that a server failed because of too many attempts.
    pub overloads: u64,
    /// Number of attempts to the origin in each second.
    pub origin_attempts_by_second: Vec<u64>,
    /// Numbers of datagrams between nodes.
    pub datagrams: DatagramCounts,
    /// Greatest lateness of the rig's own checks, in seconds.
    pub max_lateness_s: f64,
    /// Time of the last attempt to each server, in seconds from the start of the run.
    pub last_attempts: Vec<f64>,
    pub(super) missed_expectations: Vec<String>,
}

/// A row of the table.
struct Row {
    name: &'static str,
    value: String,
}

impl Row {
    fn new(name: &'static str, value: String) -> Row {
        Row { name, value }
    }
}

impl Outcome {
    /// Describes all failures: first the violations of rules, then the missed expectations.
    pub fn failures(&self) -> Vec<String> {
        let violations = self.violations.iter().map(|violation| {
            let history: String = violation.history.chars().take(MAX_HISTORY).collect();
            format!(
                "{:?} broken at {:.1} ms: {}. {history}",
                violation.rule,
                violation.at.ms(),
                violation.description
            )
        });
        violations
            .chain(self.missed_expectations.iter().cloned())
            .collect()
    }

    /// Returns the fraction of the billed value that was served in each second.
    pub fn service_by_second(&self) -> Vec<f64> {
        self.report.windows.iter().map(Counts::service).collect()
    }

    fn worst_second_service(&self) -> f64 {
        self.service_by_second().into_iter().fold(1.0, f64::min)
    }

    fn origin_peak(&self) -> u64 {
        self.origin_attempts_by_second
            .iter()
            .copied()
            .max()
            .unwrap_or(0)
    }

    /// Formats the figures as a table.
    pub fn table(&self) -> String {
        self.client_rows()
            .into_iter()
            .chain(self.fleet_rows())
            .map(|Row { name, value }| format!("{name:<36}{value}\n"))
            .collect()
    }

    fn client_rows(&self) -> [Row; 6] {
        let all = &self.report.all;
        [
            Row::new(
                "API calls of clients",
                format!("{} ({} tries)", all.total, self.report.client_attempts),
            ),
            Row::new(
                "fulfilled",
                format!("{} ({} in the SLO)", all.in_slo + all.late, all.in_slo),
            ),
            Row::new(
                "rate-limited, errored",
                format!("{}, {}", all.rate_limited, all.errored),
            ),
            Row::new(
                "no answer, closed, never taken",
                format!(
                    "{}, {}, {}",
                    all.timed_out, all.connection_closed, all.not_accepted
                ),
            ),
            Row::new(
                "service, worst 10 s, worst second",
                format!(
                    "{:.4}, {:.4}, {:.4}",
                    all.service(),
                    self.report.worst_service(),
                    self.worst_second_service()
                ),
            ),
            Row::new(
                "p50, p99 from the first try",
                format!(
                    "{:.1} ms, {:.1} ms",
                    self.latency_ms(0.5),
                    self.latency_ms(0.99)
                ),
            ),
        ]
    }

    fn fleet_rows(&self) -> [Row; 7] {
        [
            Row::new(
                "hits, misses, attempts to the origin",
                format!("{}, {}, {}", self.hits, self.misses, self.origin_attempts),
            ),
            Row::new(
                "origin's greatest second",
                format!("{} attempts", self.origin_peak()),
            ),
            Row::new("servers that fell", self.overloads.to_string()),
            Row::new(
                "datagrams sent, arrived",
                format!("{}, {}", self.datagrams.sent, self.datagrams.arrived),
            ),
            Row::new(
                "processes up at the end",
                format!("{} of {}", self.nodes_up, self.nodes),
            ),
            Row::new("rules broken", self.violation_count.to_string()),
            Row::new(
                "the rig's own greatest lateness",
                format!("{:.0} ms", self.max_lateness_s * 1000.0),
            ),
        ]
    }

    fn latency_ms(&self, quantile: f64) -> f64 {
        self.report.latency.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns the heading for `summary_row`.
    pub fn summary_heading() -> String {
        let names = [
            "service",
            "worst 10 s",
            "worst s",
            "p99 ms",
            "origin",
            "peak s",
            "fell",
            "lost",
            "broken",
        ];
        let names: Vec<_> = names.iter().map(|name| format!("{name:>10}")).collect();
        format!("{:<16}{}", "play", names.concat())
    }

    /// Formats the main figures as one row, to compare several runs.
    pub fn summary_row(&self, name: &str) -> String {
        let all = &self.report.all;
        let worst_second_service = self.worst_second_service();
        let origin_peak = self.origin_peak();
        let figures = [
            all.service(),
            self.report.worst_service(),
            worst_second_service,
        ]
        .map(|figure| format!("{figure:>10.4}"));
        let p99 = self.latency_ms(0.99);
        let lost = all.timed_out + all.connection_closed + all.not_accepted;
        let counts = [
            self.origin_attempts,
            origin_peak,
            self.overloads,
            lost,
            self.violation_count,
        ]
        .map(|count| format!("{count:>10}"));
        format!(
            "{name:<16}{}{p99:>10.1}{}",
            figures.concat(),
            counts.concat()
        )
    }

    /// Returns all results as JSON; of the histories of API calls, only those of failures.
    pub fn record(&self, plan: &Plan) -> serde_json::Value {
        #[derive(Serialize)]
        struct Second {
            asked: u64,
            fulfilled_in_slo: u64,
            service: f64,
            origin: u64,
        }
        let origin = |second: usize| {
            self.origin_attempts_by_second
                .get(second)
                .copied()
                .unwrap_or(0)
        };
        let seconds = self
            .report
            .windows
            .iter()
            .enumerate()
            .map(|(i, counts)| Second {
                asked: counts.total,
                fulfilled_in_slo: counts.in_slo,
                service: counts.service(),
                origin: origin(i),
            });
        let seconds: Vec<_> = seconds.collect();
        let all = &self.report.all;
        serde_json::json!({
            "plan": plan, "seconds": seconds, "events": self.events, "faults": self.fault_periods,
            "service": all.service(), "worst_10s": self.report.worst_service(), "asked": all.total, "in_slo": all.in_slo,
            "late": all.late, "rate_limited": all.rate_limited, "errored": all.errored, "no_answer": all.timed_out,
            "closed": all.connection_closed, "never_taken": all.not_accepted, "hits": self.hits, "misses": self.misses,
            "origin_attempts": self.origin_attempts, "fell": self.overloads, "up": self.nodes_up, "datagrams": self.datagrams.sent,
            "rules_broken": self.violation_count, "failures": self.failures(), "rig_late_s": self.max_lateness_s,
        })
    }

    /// Writes the JSON record, the event log as text, and the timeline plot; returns the files.
    pub fn write_files(
        &self,
        plan: &Plan,
        folder: &Path,
        name: &str,
    ) -> Result<Vec<PathBuf>, LabError> {
        let files =
            ["json", "txt", "svg"].map(|extension| folder.join(format!("{name}.{extension}")));
        let [record, events, timeline] = &files;
        write(record, &self.record(plan).to_string())?;
        write(events, &event_log::format_events(&self.events))?;
        timeline::draw(
            timeline,
            &plan.title,
            &self.service_by_second(),
            &self.fault_periods,
        )?;
        Ok(files.into())
    }
}

fn write(file: &Path, text: &str) -> Result<(), LabError> {
    std::fs::write(file, text).map_err(io_error(&file.display().to_string()))
}
