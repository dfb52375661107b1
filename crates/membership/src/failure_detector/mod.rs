//! The failure detector (SWIM): probes one member in each period, directly and then indirectly.
mod indirect;
mod probing;
mod suspicion;

use std::collections::VecDeque;

use quartzhub_policy::{Pcg, Span, Time};

use crate::sampling::shuffle;
use crate::table::MemberTable;
use crate::NodeId;
use indirect::RelayedProbe;

/// The pending probe of the current period.
#[derive(Debug, Clone, Copy)]
struct Probe {
    target: NodeId,
    /// The sequence number of its ping.
    sequence: u32,
    started: Time,
    /// When indirect probes are requested, if no ack has arrived.
    ack_due: Time,
    ends_at: Time,
    /// Number of members asked for an indirect probe; none before that step.
    indirect_requests: Option<usize>,
    nacks: usize,
    acked: bool,
}

impl Probe {
    fn awaits_direct_ack(&self) -> bool {
        !self.acked && self.indirect_requests.is_none()
    }
}

/// The probes of this node, and those that it performs for others.
pub(crate) struct FailureDetector {
    probe: Option<Probe>,
    relayed_probes: VecDeque<RelayedProbe>,
    /// Members still to be probed in this round, the next one last.
    probe_order: Vec<NodeId>,
    next_period: Time,
    period_count: u32,
}

impl FailureDetector {
    pub(crate) fn new() -> FailureDetector {
        FailureDetector {
            probe: None,
            relayed_probes: VecDeque::new(),
            probe_order: Vec::new(),
            next_period: Time(0),
            period_count: 0,
        }
    }

    pub(crate) fn start(&mut self, first_period: Time) {
        self.next_period = first_period;
    }

    pub(crate) fn next_tick_at(&self) -> Time {
        let ack_due = self
            .probe
            .filter(Probe::awaits_direct_ack)
            .map(|probe| probe.ack_due);
        let relayed = self.relayed_probes.iter().map(RelayedProbe::due);
        relayed.chain(ack_due).fold(self.next_period, Time::min)
    }

    pub(crate) fn is_indirect_probe_due(&self, now: Time) -> bool {
        self.probe
            .filter(Probe::awaits_direct_ack)
            .is_some_and(|probe| now >= probe.ack_due && now < probe.ends_at)
    }

    pub(crate) fn is_period_over(&self, now: Time) -> bool {
        now >= self.next_period
    }

    pub(crate) fn begin_period(&mut self, now: Time, period: Span) {
        self.period_count = self.period_count.wrapping_add(1);
        self.next_period = now + period;
    }

    /// Drops all pending probes and begins a new period at once.
    pub(crate) fn reset(&mut self, now: Time) {
        self.probe = None;
        self.relayed_probes.clear();
        self.next_period = now;
    }

    /// Returns the next member to probe. Each round probes every member once, in a new random
    /// order, which bounds the time until a given member is probed.
    fn next_target(&mut self, me: NodeId, table: &MemberTable, rng: &mut Pcg) -> Option<NodeId> {
        for _ in 0..2 {
            while let Some(next) = self.probe_order.pop() {
                if next != me && table.is_member(next) {
                    return Some(next);
                }
            }
            self.probe_order = table.other_members().collect();
            shuffle(&mut self.probe_order, rng);
        }
        None
    }
}
