//! Indirect probes: those that this node requests, those that it performs for others, and the acks
//! and nacks of both.
use quartzhub_policy::Time;

use crate::member::MemberState;
use crate::membership::Membership;
use crate::wire::{Head, MessageKind};
use crate::{Datagram, NodeId};

/// Random picks per indirect probe request, since a pick may hit a member that was picked before.
const PICKS_PER_RELAY: usize = 4;

/// Probe periods after which a probe performed for another node expires.
const RELAY_PERIODS: f64 = 2.0;

/// A probe performed for another node.
#[derive(Debug, Clone, Copy)]
pub(super) struct RelayedProbe {
    requester: NodeId,
    /// The requester's probe, by the sequence number of its ping.
    requester_probe: u32,
    target: NodeId,
    /// The sequence number of this node's ping of the target.
    sequence: u32,
    nack_due: Time,
    ends_at: Time,
    nacked: bool,
}

impl RelayedProbe {
    pub(super) fn due(&self) -> Time {
        if self.nacked {
            self.ends_at
        } else {
            self.nack_due
        }
    }
}

impl Membership {
    /// Asks some members to probe the target that has not responded.
    pub(crate) fn request_indirect_probes(&mut self, out: &mut Vec<Datagram>) {
        let Some(probe) = self.detector.probe else {
            return;
        };
        let relays = if self.config.disabled.indirect_probes {
            Vec::new()
        } else {
            self.choose_relays(probe.target)
        };
        for relay in &relays {
            let request = self.head(MessageKind::PingReq, probe.target, probe.sequence);
            self.send(*relay, request, None, out);
        }
        if let Some(probe) = &mut self.detector.probe {
            probe.indirect_requests = Some(relays.len());
        }
    }

    fn choose_relays(&mut self, target: NodeId) -> Vec<NodeId> {
        let count = self.config.indirect_probe_count;
        let mut relays = Vec::new();
        for _ in 0..PICKS_PER_RELAY * count {
            let random = self.rng.unit();
            let chosen = self.table.pick_other(random, |id, member| {
                member.state == MemberState::Alive && id != target
            });
            match chosen {
                Some(relay) if !relays.contains(&relay) => relays.push(relay),
                Some(_) => {}
                None => break,
            }
            if relays.len() == count {
                break;
            }
        }
        relays
    }

    /// Probes a target on behalf of the requesting node.
    pub(crate) fn on_ping_req(&mut self, now: Time, head: &Head, out: &mut Vec<Datagram>) {
        let targets_self_or_requester = head.target == self.me || head.target == head.from;
        let is_full = self.detector.relayed_probes.len() >= self.config.max_relayed_probes;
        if targets_self_or_requester || is_full {
            return;
        }
        let sequence = self.ping(head.target, None, out);
        self.detector.relayed_probes.push_back(RelayedProbe {
            requester: head.from,
            requester_probe: head.probe,
            target: head.target,
            sequence,
            nack_due: now + self.config.ack_timeout,
            ends_at: now + self.config.probe_period.times(RELAY_PERIODS),
            nacked: false,
        });
    }

    /// Sends a nack to each requester whose target has not responded in time, and drops expired
    /// probes.
    pub(crate) fn send_due_nacks(&mut self, now: Time, out: &mut Vec<Datagram>) {
        let relayed_probes = &mut self.detector.relayed_probes;
        while relayed_probes
            .front()
            .is_some_and(|first| now >= first.ends_at)
        {
            relayed_probes.pop_front();
        }
        let mut unanswered = Vec::new();
        for relayed in relayed_probes.iter_mut() {
            if !relayed.nacked && now >= relayed.nack_due {
                relayed.nacked = true;
                unanswered.push(*relayed);
            }
        }
        for relayed in unanswered {
            let nack = self.head(MessageKind::Nack, relayed.target, relayed.requester_probe);
            self.send(relayed.requester, nack, None, out);
        }
    }

    /// Handles an ack of this node's own probe, direct or relayed, or of a probe performed for
    /// another node.
    pub(crate) fn on_ack(&mut self, now: Time, head: &Head, out: &mut Vec<Datagram>) {
        if let Some(probe) = &mut self.detector.probe {
            if probe.sequence == head.probe && probe.target == head.target {
                probe.acked = true;
                self.local_health.on_response(now);
            }
        }
        if head.from != head.target {
            return;
        }
        // Matched by the sequence number of this node's own ping, so that an ack of an earlier ping
        // is ignored.
        let answered = self
            .detector
            .relayed_probes
            .iter()
            .position(|relayed| relayed.sequence == head.probe && relayed.target == head.from);
        let relayed = answered.and_then(|i| self.detector.relayed_probes.remove(i));
        if let Some(relayed) = relayed {
            let ack = self.head(MessageKind::Ack, relayed.target, relayed.requester_probe);
            self.send(relayed.requester, ack, None, out);
        }
    }

    /// Handles a nack: the relay is reachable, and its target has not responded.
    pub(crate) fn on_nack(&mut self, now: Time, head: &Head) {
        if let Some(probe) = &mut self.detector.probe {
            if probe.sequence == head.probe {
                probe.nacks += 1;
                self.local_health.on_response(now);
            }
        }
    }
}
