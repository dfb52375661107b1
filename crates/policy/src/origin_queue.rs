//! The queue in front of the origin.
use crate::actions::PolicyActions;
use crate::attempt::AttemptCause;
use crate::balancer::Balancer;
use crate::call::{Call, CallPhase};
use crate::deadlines::MAX_QUEUEING_RATIO;
use crate::request::CallIndex;
use crate::time::Span;

/// Priority of a call in the queue; the highest is sent first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct QueuePriority {
    write: bool,
    within_quota: bool,
    /// The bits of the priority weight, which order like the weight itself since it is not
    /// negative.
    weight_bits: u64,
}

impl QueuePriority {
    fn of(call: &Call) -> QueuePriority {
        QueuePriority {
            write: call.write,
            within_quota: !call.is_over_quota(),
            weight_bits: call.product.priority_weight.to_bits(),
        }
    }
}

impl Balancer {
    /// Routes a call to the origin: sends it, queues it for a slot, or lets it wait for another
    /// call's fetch of its key.
    pub(crate) fn route_to_origin(&mut self, index: CallIndex, actions: &mut impl PolicyActions) {
        if self.origin.servers.is_empty() {
            return self.give_up(index, actions);
        }
        let nearly_expired = self.is_nearly_expired(index);
        let call = &mut self.calls[index.0];
        if !call.write && !call.leads_fetch && !nearly_expired {
            if self.coalescing.join(index, call) {
                return self.park(index, CallPhase::AwaitingFetch, actions);
            }
            call.leads_fetch = true;
            self.coalescing.begin(index, call.key);
        }
        if self.would_queue_too_long(index) {
            return self.give_up(index, actions);
        }
        self.origin.queue.push(index);
        self.park(index, CallPhase::QueuedForOrigin, actions);
        self.send_queued(actions);
        // A nearly expired call must not wait if its slot went to another call.
        if nearly_expired && self.calls[index.0].phase == CallPhase::QueuedForOrigin {
            self.give_up(index, actions);
        }
    }

    /// Returns whether a call would wait for a slot for longer than permitted. Writes overtake all
    /// reads in the queue.
    fn would_queue_too_long(&self, index: CallIndex) -> bool {
        let call = &self.calls[index.0];
        let ahead = if call.write {
            0
        } else {
            self.origin.queue.len()
        };
        let max_delay = call.product.latency_objective.times(MAX_QUEUEING_RATIO);
        let mean_micros = self.origin.latencies.reads.mean;
        let delay_micros = mean_micros * (ahead + 1) as f64 / self.origin.limiter.limit;
        !self.origin.has_slot(call.write, self.now) && Span(delay_micros as i64) > max_delay
    }

    /// Sends queued calls to the origin while it has free slots: writes first, then calls within
    /// quota, then calls of higher weight.
    pub(crate) fn send_queued(&mut self, actions: &mut impl PolicyActions) {
        let is_waiting = !self.origin.queue.is_empty();
        self.origin.limiter.saturated |= is_waiting && !self.origin.limiter.has_capacity(self.now);
        while let Some(index) = self.pop_queued() {
            let server = self
                .origin
                .servers
                .iter()
                .copied()
                .min_by_key(|server| self.servers[server.0].in_flight);
            let sent = server.is_some_and(|server| {
                self.send_attempt(index, server, AttemptCause::Routed, actions)
            });
            if !sent {
                self.give_up(index, actions);
            }
        }
    }

    /// Removes the call of the highest priority from the queue if there is a slot for it; at equal
    /// priority the earliest one.
    fn pop_queued(&mut self) -> Option<CallIndex> {
        let queue = &self.origin.queue;
        let first = (0..queue.len())
            .rev()
            .max_by_key(|position| QueuePriority::of(&self.calls[queue[*position].0]))?;
        let write = self.calls[queue[first].0].write;
        if !self.origin.has_slot(write, self.now) {
            return None;
        }
        Some(self.origin.queue.remove(first))
    }
}
