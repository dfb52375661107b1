//! The verdict on a run: the members that each process reports, the missed expectations, and the
//! figures.
use std::collections::BTreeMap;

use quartzhub_policy::Time;
use serde_json::Value;

use super::Rig;
use crate::fleet::event_log;
use crate::fleet::operators;
use crate::fleet::outcome::{DatagramCounts, Outcome};
use crate::fleet::plan::Endpoint;
use crate::fleet::process::ProcessState;
use crate::fleet::timeline::FaultPeriod;
use crate::stats::Report;

/// The membership that each process reports through the operator API, by its node.
type MembershipViews = BTreeMap<usize, Value>;

impl Rig {
    /// Queries the membership view of each serving process; a process with membership off has none.
    pub(super) async fn membership_views(&self) -> MembershipViews {
        let mut views = BTreeMap::new();
        for process in &self.processes {
            if process.state() != ProcessState::Up {
                continue;
            }
            let node = process.node();
            let response = operators::get(self.admin_addrs[node], "/control/members").await;
            let response = response.filter(operators::Response::is_ok);
            let Some(view) = response.and_then(|response| response.json()) else {
                continue;
            };
            let summary = quartzhub_node::peers::summary(&view);
            self.event_log
                .record(&process.name, format!("membership at the end: {summary}"));
            views.insert(node, view);
        }
        views
    }

    fn nodes_up(&self) -> Vec<usize> {
        self.processes
            .iter()
            .filter(|process| process.state() == ProcessState::Up)
            .map(|process| process.node())
            .collect()
    }

    /// Describes each difference between the membership views and the processes that serve.
    fn disagreements(&self, views: &MembershipViews) -> Vec<String> {
        let nodes_up = self.nodes_up();
        let mut disagreements: Vec<_> = nodes_up
            .iter()
            .filter(|node| !views.contains_key(node))
            .map(|node| format!("node-{node} reports no members"))
            .collect();
        for (observer, view) in views {
            for member in view["nodes"].as_array().into_iter().flatten() {
                let node = member["node"].as_u64().unwrap_or(u64::MAX) as usize;
                let state = &member["state"];
                let is_member = matches!(state.as_str(), Some("alive" | "suspect"));
                if is_member != nodes_up.contains(&node) {
                    disagreements.push(format!("node-{observer} reports node-{node} as {state}"));
                }
            }
        }
        disagreements
    }

    /// Returns the missed expectations of the plan, each with its key.
    fn missed_expectations(&self, report: &Report, views: &MembershipViews) -> Vec<String> {
        let expect = &self.plan.expect;
        let service = report.all.service();
        let nodes_up = self.nodes_up().len();
        let mut missed = Vec::new();
        if report.all.total == 0 {
            missed.push("no API call was sent and counted".to_owned());
        }
        if service < expect.service {
            missed.push(format!(
                "expect.service: {service:.4} is below {}",
                expect.service
            ));
        }
        if expect.nodes_up.is_some_and(|expected| expected != nodes_up) {
            missed.push(format!("expect.up: {nodes_up} processes serve at the end"));
        }
        if expect.members_agree {
            for disagreement in self.disagreements(views) {
                missed.push(format!("expect.members_agree: {disagreement}"));
            }
        }
        let flapping = event_log::worst_flapping(&self.event_log.events());
        if expect
            .max_membership_changes
            .is_some_and(|max| flapping.changes > max)
        {
            missed.push(format!("expect.flips: {}", flapping.description));
        }
        missed
    }

    /// Returns the period of each fault: first those of processes and links, then those of servers.
    fn fault_periods(&self) -> Vec<FaultPeriod> {
        let end = self.plan.scenario.seconds;
        let process_and_link_faults = self.plan.faults.iter().map(|fault| FaultPeriod {
            name: fault.kind.key().to_owned(),
            from: fault.start_s,
            to: fault
                .duration_s
                .map_or(end, |duration_s| fault.start_s + duration_s),
        });
        let server_faults = self.plan.scenario.faults.iter().map(|fault| FaultPeriod {
            name: format!("{:?} of servers", fault.kind).to_lowercase(),
            from: fault.start_s,
            to: fault.start_s + fault.duration_s,
        });
        process_and_link_faults.chain(server_faults).collect()
    }

    /// Counts the datagrams on all links between nodes.
    fn datagram_counts(&self) -> DatagramCounts {
        let mut counts = DatagramCounts::default();
        for (id, link) in &self.links {
            if let (Endpoint::Node(_), Endpoint::Node(_)) = (id.from, id.to) {
                counts.sent += link.datagrams_sent.get();
                counts.arrived += link.datagrams_arrived.get();
            }
        }
        counts
    }

    /// Returns the number of attempts to the origin in each second of the run.
    fn origin_attempts_by_second(&self) -> Vec<u64> {
        let first_second = (self.event_log.start().0 / 1_000_000) as usize;
        self.stubs
            .origin_attempts_by_second
            .borrow()
            .iter()
            .skip(first_second)
            .copied()
            .collect()
    }

    pub(super) fn outcome(&self, report: Report, views: &MembershipViews) -> Outcome {
        let (violations, violation_count) = self.monitor.violations();
        let start = self.event_log.start();
        let seconds_since_start = |at: &Time| (*at - start).seconds();
        Outcome {
            missed_expectations: self.missed_expectations(&report, views),
            violations,
            violation_count,
            events: self.event_log.events(),
            fault_periods: self.fault_periods(),
            nodes_up: self.nodes_up().len(),
            nodes: self.processes.len(),
            hits: self.stubs.hits.get(),
            misses: self.stubs.misses.get(),
            origin_attempts: self.stubs.origin_attempts.get(),
            overloads: self.stubs.overloads.get(),
            origin_attempts_by_second: self.origin_attempts_by_second(),
            datagrams: self.datagram_counts(),
            max_lateness_s: self.monitor.max_lateness.get(),
            last_attempts: self
                .stubs
                .last_attempt_at
                .borrow()
                .iter()
                .map(seconds_since_start)
                .collect(),
            report,
        }
    }
}
