//! Direct probes, their conclusion, and additional pings.
use quartzhub_policy::Time;

use super::Probe;
use crate::membership::Membership;
use crate::wire::MessageKind;
use crate::Datagram;

impl Membership {
    pub(crate) fn probe_next_member(&mut self, now: Time, out: &mut Vec<Datagram>) {
        let target = self
            .detector
            .next_target(self.me, &self.table, &mut self.rng);
        let Some(target) = target else {
            return;
        };
        self.counters.probes += 1;
        let sequence = self.ping(target, None, out);
        let multiplier = self.local_health.ack_timeout_multiplier();
        self.detector.probe = Some(Probe {
            target,
            sequence,
            started: now,
            ack_due: now + self.config.ack_timeout.times(multiplier),
            ends_at: self.detector.next_period,
            indirect_requests: None,
            nacks: 0,
            acked: false,
        });
    }

    /// Every `periods_per_non_member_ping` periods, pings a node that is not a member: the node or
    /// the link to it may have recovered.
    pub(crate) fn ping_non_member(&mut self, out: &mut Vec<Datagram>) {
        let interval = self.config.periods_per_non_member_ping;
        if !self.detector.period_count.is_multiple_of(interval) {
            return;
        }
        let random = self.rng.unit();
        let non_member = self
            .table
            .pick_other(random, |_, member| !member.state.is_member());
        if let Some(to) = non_member {
            self.ping(to, None, out);
        }
    }

    /// Pings additional members while this node is isolated. Others may still receive its
    /// datagrams, and one of them can then report this before the node is declared dead.
    pub(crate) fn solicit_heard_reports(&mut self, now: Time, out: &mut Vec<Datagram>) {
        let is_isolated = self.local_health.is_isolated(now, &self.config);
        if !is_isolated || self.config.disabled.heard_reports {
            return;
        }
        for _ in 0..self.config.indirect_probe_count {
            let random = self.rng.unit();
            let member = self
                .table
                .pick_other(random, |_, member| member.state.is_member());
            if let Some(to) = member {
                self.ping(to, None, out);
            }
        }
    }

    /// Asks several nodes for their tables, for some rounds after the start.
    pub(crate) fn send_join_requests(&mut self, out: &mut Vec<Datagram>) {
        if self.join_rounds_left == 0 || self.is_leaving {
            return;
        }
        self.join_rounds_left -= 1;
        for _ in 0..self.config.join_fanout {
            let random = self.rng.unit();
            let unheard = self
                .table
                .pick_other(random, |_, member| member.last_heard_at.is_none());
            let Some(to) = unheard else {
                return;
            };
            let head = self.head(MessageKind::Ping { hello: true }, to, 0);
            self.send(to, head, None, out);
        }
    }

    /// Ends the probe of the previous period. Its target is suspected if no ack has arrived, direct
    /// or relayed, and this node has received no datagram from the target since the probe began.
    pub(crate) fn conclude_probe(&mut self, now: Time) {
        let Some(probe) = self.detector.probe.take() else {
            return;
        };
        if probe.acked {
            self.local_health.improve();
            return;
        }
        self.counters.failed_probes += 1;
        // A nack shows that the link to its sender works. If none of the requested relays responds,
        // a local fault is more likely.
        let has_asked_relays = probe.indirect_requests.is_some_and(|requests| requests > 0);
        if has_asked_relays && probe.nacks == 0 && !self.config.disabled.local_health {
            self.local_health.worsen(1);
        }
        if !self.may_suspect_others(now) {
            return;
        }
        let Some(member) = self.table.get(probe.target) else {
            return;
        };
        let was_heard_since = member.last_heard_at.is_some_and(|heard| {
            now - heard < self.config.recently_heard_window && heard > probe.started
        });
        let is_known_alive = was_heard_since && !self.config.disabled.heard_reports;
        if member.state.is_member() && !is_known_alive {
            let incarnation = member.incarnation;
            self.suspect(now, probe.target, incarnation, self.me);
        }
    }
}
