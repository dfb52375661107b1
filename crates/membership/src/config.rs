//! Parameters of the membership protocol, with their units and defaults.
use quartzhub_policy::Span;

/// Parameters of the membership protocol.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// Interval between probes. With a ping and an ack of about 60 bytes each, a node sends about
    /// 400 bytes per second, regardless of the size of the fleet.
    pub probe_period: Span,
    /// Time to wait for a direct ack before requesting indirect probes: several round trips of a
    /// slow network.
    pub ack_timeout: Span,
    /// Members asked for an indirect probe of the same target. With one message in five lost in
    /// each direction, one probe in a thousand fails.
    pub indirect_probe_count: usize,
    /// Nodes that must suspect a member before it is declared dead. A smaller fleet requires fewer.
    pub required_confirmations: usize,
    /// Suspicion timeout once all required confirmations have arrived. A node that stalled for less
    /// than this refutes in time.
    pub min_suspicion_timeout: Span,
    /// Suspicion timeout with a single suspector.
    pub max_suspicion_timeout: Span,
    /// Suspicion timeout once the required number of nodes have declared the member dead. It is
    /// still long enough for a node that stalled to receive the refutation queued behind outdated
    /// rumors.
    pub confirmed_dead_timeout: Span,
    /// Probe periods without any ack after which a node considers itself isolated and suspects
    /// nobody.
    pub isolation_periods: f64,
    /// Time for which a node suspects nobody after learning that it is suspected itself, because
    /// its own links may be at fault.
    pub self_suspected_hold: Span,
    /// A member from which a datagram was received within this time is not suspected because of a
    /// failed probe.
    pub recently_heard_window: Span,
    /// Time after a refutation, or after another node's report that it receives the member's
    /// datagrams, during which outdated rumors do not renew the suspicion. Longer than a rumor
    /// circulates.
    pub suspicion_holdoff: Span,
    /// Maximum local health score, in failed probes. Each point lengthens the ack timeout and the
    /// suspicion timeout.
    pub max_local_health_score: u32,
    /// Delay of a node's own timer beyond which the node concludes that its process was stalled.
    pub stall_threshold: Span,
    /// Retransmit multiplier: each node transmits a rumor this many times the common logarithm of
    /// the fleet's size.
    pub retransmit_multiplier: f64,
    /// Minimum transmissions of a rumor by each node. In a small fleet the scaled number is so low
    /// that all of them may be lost.
    pub min_retransmits: u32,
    /// Expected number of nodes that probe a member out of turn when they learn of a suspicion.
    pub expected_confirming_probes: f64,
    /// Maximum number of rumors queued for dissemination.
    pub max_rumors: usize,
    /// Table entries sent with each datagram in addition to the rumors (anti-entropy).
    pub anti_entropy_entries: usize,
    /// Probe periods between pings of a node that is not a member (dead, left or unknown).
    pub periods_per_non_member_ping: u32,
    /// Nodes that a newly started node asks for their tables in each join round.
    pub join_fanout: usize,
    /// Join rounds in which a newly started node asks for tables.
    pub join_rounds: u32,
    /// Sustained rate of datagrams accepted from one sender, per second.
    pub datagrams_per_second: f64,
    /// Burst of datagrams accepted from one sender above that rate.
    pub datagram_burst: f64,
    /// Maximum number of concurrent indirect probes performed for other nodes.
    pub max_relayed_probes: usize,
    /// Maximum number of drain overrides stored.
    pub max_drain_overrides: usize,
    /// Members to which a node that learns of a drain override pushes it, in each push round. Six
    /// leave about one node in 400 without a push; rumors and anti-entropy reach that node.
    pub push_fanout: usize,
    /// Members to which the issuer of a drain override pushes it, in each push round.
    pub issuer_push_fanout: usize,
    /// Rounds in which a drain override is pushed.
    pub push_rounds: u32,
    /// Interval between push rounds.
    pub push_interval: Span,
    /// Maximum number of state changes recorded for operators.
    pub max_recorded_changes: usize,
    /// Protocol features that are disabled.
    pub disabled: DisabledFeatures,
}

/// Protocol features that can be disabled one by one. Only tests do so, to show the failure that
/// each feature prevents.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DisabledFeatures {
    /// No indirect probes are requested.
    pub indirect_probes: bool,
    /// A suspected node does not refute.
    pub refutation: bool,
    /// A node never considers itself stalled, isolated or suspected (Lifeguard's local health).
    pub local_health: bool,
    /// Nodes do not report that they receive datagrams from a suspected member.
    pub heard_reports: bool,
    /// A single suspector is enough to declare a member dead.
    pub confirmations: bool,
    /// The drain override received last wins, regardless of its version.
    pub versions: bool,
}

/// Names of the features in the configuration file.
pub const FEATURE_NAMES: [&str; 6] = [
    "helpers",
    "refutation",
    "own_health",
    "vouching",
    "observers",
    "versions",
];

impl DisabledFeatures {
    /// Disables a feature by its name in the configuration file; returns false if the name is
    /// unknown.
    pub fn disable(&mut self, name: &str) -> bool {
        match name {
            "helpers" => self.indirect_probes = true,
            "refutation" => self.refutation = true,
            "own_health" => self.local_health = true,
            "vouching" => self.heard_reports = true,
            "observers" => self.confirmations = true,
            "versions" => self.versions = true,
            _ => return false,
        }
        true
    }
}

impl Default for MembershipConfig {
    fn default() -> MembershipConfig {
        MembershipConfig {
            probe_period: Span::ms(250),
            ack_timeout: Span::ms(80),
            indirect_probe_count: 3,
            required_confirmations: 3,
            min_suspicion_timeout: Span::ms(1_000),
            max_suspicion_timeout: Span::ms(5_000),
            confirmed_dead_timeout: Span::ms(400),
            isolation_periods: 4.0,
            self_suspected_hold: Span::ms(5_000),
            recently_heard_window: Span::ms(1_000),
            suspicion_holdoff: Span::ms(4_000),
            max_local_health_score: 8,
            stall_threshold: Span::ms(150),
            retransmit_multiplier: 4.0,
            min_retransmits: 10,
            expected_confirming_probes: 6.0,
            max_rumors: 512,
            anti_entropy_entries: 3,
            periods_per_non_member_ping: 4,
            join_fanout: 4,
            join_rounds: 8,
            datagrams_per_second: 40.0,
            datagram_burst: 80.0,
            max_relayed_probes: 64,
            max_drain_overrides: 128,
            push_fanout: 6,
            issuer_push_fanout: 32,
            push_rounds: 2,
            push_interval: Span::ms(100),
            max_recorded_changes: 64,
            disabled: DisabledFeatures::default(),
        }
    }
}

impl MembershipConfig {
    /// Returns the parameters of plain SWIM: indirect probes, a fixed suspicion timeout, a single
    /// suspector, and no local health.
    pub fn plain() -> MembershipConfig {
        let disabled = DisabledFeatures {
            local_health: true,
            heard_reports: true,
            confirmations: true,
            ..DisabledFeatures::default()
        };
        let min_suspicion_timeout = MembershipConfig::default().min_suspicion_timeout;
        MembershipConfig {
            max_suspicion_timeout: min_suspicion_timeout,
            disabled,
            ..MembershipConfig::default()
        }
    }

    /// Returns the time from a suspicion to the declaration of death. More suspectors shorten it; a
    /// worse local health score of the observer lengthens it.
    pub(crate) fn suspicion_timeout(&self, suspectors: usize, local_health_score: u32) -> Span {
        let max = self.max_suspicion_timeout.0 as f64;
        let min = self.min_suspicion_timeout.0 as f64;
        let confirmed =
            (suspectors.max(1) as f64).ln() / (self.required_confirmations.max(2) as f64).ln();
        let timeout = max - (max - min) * confirmed.min(1.0);
        let score = if self.disabled.local_health {
            0.0
        } else {
            f64::from(local_health_score)
        };
        Span((timeout * (1.0 + score * 0.5)) as i64)
    }
}
