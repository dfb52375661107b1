//! Local health (Lifeguard): whether this node's own links and timer can be trusted, before it
//! suspects other nodes.
use quartzhub_policy::Time;

use crate::membership::Membership;
use crate::MembershipConfig;

/// Score added by a stall of the process, in failed probes.
const STALL_SCORE: u32 = 2;

/// What this node knows about its own health.
#[derive(Debug)]
pub(crate) struct LocalHealth {
    /// Failed probes that this node attributes to itself; 0 is healthy.
    score: u32,
    max_score: u32,
    /// When this node last received an ack or nack for its own probe, which shows that its links
    /// work in both directions.
    last_response: Time,
    /// When this node last learned that others take it for suspect, dead or left.
    last_suspected: Option<Time>,
}

impl LocalHealth {
    pub(crate) fn new(max_score: u32) -> LocalHealth {
        LocalHealth {
            score: 0,
            max_score,
            last_response: Time(0),
            last_suspected: None,
        }
    }

    pub(crate) fn score(&self) -> u32 {
        self.score
    }

    /// Returns the local health multiplier of the ack timeout, from 1 to 2.
    pub(crate) fn ack_timeout_multiplier(&self) -> f64 {
        1.0 + f64::from(self.score) / f64::from(self.max_score)
    }

    pub(crate) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    pub(crate) fn worsen(&mut self, by: u32) {
        self.score = (self.score + by).min(self.max_score);
    }

    pub(crate) fn on_response(&mut self, now: Time) {
        self.last_response = now;
    }

    pub(crate) fn on_suspected(&mut self, now: Time) {
        self.last_suspected = Some(now);
    }

    fn no_response_for(&self, now: Time, periods: f64, config: &MembershipConfig) -> bool {
        now - self.last_response > config.probe_period.times(periods)
    }

    /// Returns whether no ack or nack has arrived for `isolation_periods` probe periods.
    pub(crate) fn is_isolated(&self, now: Time, config: &MembershipConfig) -> bool {
        self.no_response_for(now, config.isolation_periods, config)
    }

    /// Returns whether this node is more likely at fault than others: it is isolated, or it was
    /// suspected a short time ago.
    fn is_unreliable(&self, now: Time, config: &MembershipConfig) -> bool {
        let was_suspected = self
            .last_suspected
            .is_some_and(|at| now - at < config.self_suspected_hold);
        self.is_isolated(now, config) || was_suspected
    }
}

impl Membership {
    /// Returns the number of failed probes that this node attributes to itself; 0 is healthy.
    pub fn local_health_score(&self) -> u32 {
        self.local_health.score()
    }

    /// Returns whether no node responds any more. Either the other nodes have failed or this node
    /// is disconnected; it cannot tell which.
    pub fn receives_no_responses(&self, now: Time) -> bool {
        let periods = 2.0 * self.config.isolation_periods;
        self.table.member_count() > 1
            && self
                .local_health
                .no_response_for(now, periods, &self.config)
    }

    /// Returns whether this node may suspect others and declare them dead.
    pub(crate) fn may_suspect_others(&self, now: Time) -> bool {
        self.config.disabled.local_health || !self.local_health.is_unreliable(now, &self.config)
    }

    /// Detects a stall of this process by its late timer. After a stall every ack is overdue;
    /// without this check the node would suspect others for its own fault. Drops all pending
    /// probes, and extends all suspicion timeouts by the length of the stall.
    pub(crate) fn detect_stall(&mut self, now: Time) {
        let lateness = now - self.next_tick_at();
        if lateness <= self.config.stall_threshold || self.config.disabled.local_health {
            return;
        }
        self.counters.stalls += 1;
        self.detector.reset(now);
        self.table.extend_suspicions(lateness);
        self.local_health.worsen(STALL_SCORE);
        self.local_health.on_response(now);
    }
}
