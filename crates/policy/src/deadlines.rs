//! Deadlines of calls: calls that wait with no attempt in flight, and attempts that become overdue.
use std::collections::BTreeSet;

use crate::actions::PolicyActions;
use crate::balancer::Balancer;
use crate::call::{CallHandle, CallPhase};
use crate::request::CallIndex;
use crate::time::{Span, Time};
use crate::timer::TICK_INTERVAL;

/// Fraction of its latency objective that a call may wait with no attempt in flight.
pub(crate) const MAX_QUEUEING_RATIO: f64 = 0.5;
/// Time before its client's timeout from which a call is nearly expired, in ticks.
const NEARLY_EXPIRED_TICKS: f64 = 2.0;
/// Least time until a deadline, as a fraction of a tick.
const MIN_DEADLINE_TICKS: f64 = 0.25;

/// A time at which a call's phase is checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Deadline {
    at: Time,
    call: CallHandle,
}

/// Deadlines in the order of time. Superseded deadlines remain until they are due, and are then
/// ignored.
pub(crate) type DeadlineQueue = BTreeSet<Deadline>;

impl Balancer {
    /// Returns whether a call's client is about to time out. Such a call must not wait: it would be
    /// checked again only after the client's timeout.
    pub(crate) fn is_nearly_expired(&self, index: CallIndex) -> bool {
        self.calls[index.0].client_deadline < self.now + TICK_INTERVAL.times(NEARLY_EXPIRED_TICKS)
    }

    /// Lets a call wait with no attempt in flight for a fraction of its latency objective.
    pub(crate) fn park(
        &mut self,
        index: CallIndex,
        phase: CallPhase,
        actions: &mut impl PolicyActions,
    ) {
        self.calls[index.0].phase = phase;
        if phase == CallPhase::AwaitingFetch && self.is_nearly_expired(index) {
            return self.give_up(index, actions);
        }
        let call = &self.calls[index.0];
        let time_left = call
            .product
            .latency_objective
            .min(call.client_deadline - self.now);
        let path_delay = Span(self.origin.path_delay_micros as i64);
        let delay = time_left.times(MAX_QUEUEING_RATIO) + path_delay;
        let max_delay = Span(time_left.0 - TICK_INTERVAL.0);
        self.set_deadline(index, self.now + delay.min(max_delay));
    }

    /// Sets the deadline of a call's current phase. A deadline in the past is moved to the near
    /// future: otherwise it could be due again and again within one event.
    pub(crate) fn set_deadline(&mut self, index: CallIndex, at: Time) {
        let at = at.max(self.now + TICK_INTERVAL.times(MIN_DEADLINE_TICKS));
        let call = &mut self.calls[index.0];
        call.phase_deadline = at;
        let call = call.handle(index);
        self.deadlines.insert(Deadline { at, call });
    }

    /// Handles all calls whose deadline has passed.
    pub(crate) fn run_deadlines(&mut self, actions: &mut impl PolicyActions) {
        while let Some(deadline) = self.pop_due() {
            let index = deadline.call.index;
            let is_current = self.calls.get(index.0).is_some_and(|call| {
                call.serial == deadline.call.serial
                    && call.phase_deadline == deadline.at
                    && call.live
                    && !call.finished
            });
            if !is_current {
                continue;
            }
            let call = &self.calls[index.0];
            match call.phase {
                CallPhase::QueuedForOrigin => self.give_up(index, actions),
                CallPhase::AwaitingFetch if call.missed => self.give_up(index, actions),
                CallPhase::AwaitingFetch => self.route_to_cache(index, actions),
                CallPhase::InFlight => self.on_attempt_overdue(index, actions),
                CallPhase::Routing => {}
            }
        }
    }

    fn pop_due(&mut self) -> Option<Deadline> {
        let first = self.deadlines.first()?;
        if first.at > self.now {
            return None;
        }
        self.deadlines.pop_first()
    }
}
