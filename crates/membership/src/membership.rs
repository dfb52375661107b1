//! The membership state machine: its state, its timer, and the queries that callers can make.
use quartzhub_policy::{Pcg, Time};
use serde::Serialize;

use crate::dissemination::Dissemination;
use crate::drain_overrides::DrainOverrides;
use crate::endpoint::{DatagramEndpoint, EndpointConfig, TrafficCounters};
use crate::failure_detector::FailureDetector;
use crate::local_health::LocalHealth;
use crate::member::{Member, StateChange};
use crate::register::{ConflictResolution, Register};
use crate::table::MemberTable;
use crate::transmit::TransmitCursors;
use crate::{wire, Datagram, MembershipConfig, NodeId};

/// Counters of the datagrams and of the protocol.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct MembershipCounters {
    /// Datagrams sent, received and dropped.
    #[serde(flatten)]
    pub traffic: TrafficCounters,
    /// Probes, stalls and outdated datagrams.
    #[serde(flatten)]
    pub protocol: ProtocolCounters,
}

/// Counters of the protocol. Fields with a `rename` attribute keep the names that operators read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ProtocolCounters {
    /// Outdated datagrams received: of an earlier incarnation, reordered or replayed.
    #[serde(rename = "old")]
    pub outdated: u64,
    /// Stalls of this node's process, detected by its own late timer.
    pub stalls: u64,
    /// Probes sent.
    pub probes: u64,
    /// Probes without any ack, direct or indirect.
    #[serde(rename = "failed")]
    pub failed_probes: u64,
}

/// One node's view of which nodes are alive.
pub struct Membership {
    pub(crate) me: NodeId,
    /// Raised above every incarnation under which other nodes suspect this node, or know an earlier
    /// process of it.
    pub(crate) incarnation: u32,
    pub(crate) config: MembershipConfig,
    pub(crate) rng: Pcg,
    pub(crate) endpoint: DatagramEndpoint,
    pub(crate) table: MemberTable,
    pub(crate) dissemination: Dissemination,
    pub(crate) drain_overrides: DrainOverrides,
    pub(crate) detector: FailureDetector,
    pub(crate) local_health: LocalHealth,
    pub(crate) transmit_cursors: TransmitCursors,
    pub(crate) join_rounds_left: u32,
    pub(crate) is_leaving: bool,
    pub(crate) counters: ProtocolCounters,
}

impl Membership {
    /// Creates the state machine of node `me`. `nodes` is the number of configured nodes, including
    /// this one.
    pub fn new(
        me: NodeId,
        nodes: usize,
        fleet: u32,
        seed: u64,
        config: MembershipConfig,
    ) -> Membership {
        let endpoint = DatagramEndpoint::new(EndpointConfig {
            version: wire::VERSION,
            fleet,
            me,
            nodes,
            datagrams_per_second: config.datagrams_per_second,
            datagram_burst: config.datagram_burst,
        });
        let conflict_resolution = if config.disabled.versions {
            ConflictResolution::LastReceived
        } else {
            ConflictResolution::ByVersion
        };
        Membership {
            me,
            incarnation: 1,
            rng: Pcg::new(seed),
            endpoint,
            table: MemberTable::new(me, nodes, config.max_recorded_changes),
            dissemination: Dissemination::new(config.max_rumors),
            drain_overrides: Register::with_conflict_resolution(
                config.max_drain_overrides,
                conflict_resolution,
            ),
            detector: FailureDetector::new(),
            local_health: LocalHealth::new(config.max_local_health_score),
            transmit_cursors: TransmitCursors::default(),
            join_rounds_left: config.join_rounds,
            is_leaving: false,
            counters: ProtocolCounters::default(),
            config,
        }
    }

    /// Starts the timer. The first probe period has a random length, so that nodes started at the
    /// same time do not probe in lockstep.
    pub fn start(&mut self, now: Time) {
        self.table.start(now);
        self.local_health.on_response(now);
        let first_period = self.config.probe_period.times(self.rng.unit());
        self.detector.start(now + first_period);
    }

    /// Returns this node's id.
    pub fn me(&self) -> NodeId {
        self.me
    }

    /// Returns this node's incarnation.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Returns all configured nodes, in the order of their ids.
    pub fn all_nodes(&self) -> impl Iterator<Item = (NodeId, &Member)> {
        self.table.all_nodes()
    }

    /// Returns what is known about a node; none if it is not configured.
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.table.get(node)
    }

    /// Returns the number of members, including this node.
    pub fn member_count(&self) -> usize {
        self.table.member_count()
    }

    /// Returns the most recent state changes.
    pub fn recorded_changes(&self) -> impl Iterator<Item = &StateChange> {
        self.table.recorded_changes()
    }

    /// Returns the total number of state changes, including those no longer recorded.
    pub fn change_count(&self) -> u64 {
        self.table.change_count()
    }

    /// Returns the counters of the datagrams and of the protocol.
    pub fn counters(&self) -> MembershipCounters {
        MembershipCounters {
            traffic: self.endpoint.traffic(),
            protocol: self.counters,
        }
    }

    /// Returns the time at which `tick` has to be called next.
    pub fn next_tick_at(&self) -> Time {
        let push = self.drain_overrides.next_push();
        push.into_iter()
            .fold(self.detector.next_tick_at(), Time::min)
    }

    /// Performs all actions that are due: probes, suspicion timeouts, nacks and pushes.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Datagram>) {
        self.detect_stall(now);
        self.send_due_nacks(now, out);
        self.push_drain_overrides(now, out);
        if self.detector.is_indirect_probe_due(now) {
            self.request_indirect_probes(out);
        }
        if !self.detector.is_period_over(now) {
            return;
        }
        self.conclude_probe(now);
        if self.may_suspect_others(now) {
            self.expire_suspicions(now);
        }
        self.detector.begin_period(now, self.config.probe_period);
        self.send_join_requests(out);
        self.ping_non_member(out);
        self.solicit_heard_reports(now, out);
        self.probe_next_member(now, out);
    }
}
