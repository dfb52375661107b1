//! The state of the node that the policy acts on.
use std::collections::VecDeque;
use std::rc::Rc;

use quartzhub_policy::{CallIndex, Outcome, ResponseProgress, Span, Time};

use super::calls::{AttemptEvent, AttemptId, AttemptReport, Calls};
use super::clients::Clients;
use super::sent_ids::SentIds;
use super::servers::Servers;
use super::stall::StallDetector;
use super::timers::{Timer, Timers};
use super::upstreams::Upstreams;
use crate::limits::Limits;
use crate::memory_budget::MemoryBudget;
use crate::messages::Effect;
use crate::metrics::{AttemptEndCounts, ProductCounters, UnsolicitedCounts};
use crate::service::{IdleClientPolicy, ServiceState};

/// The node's state apart from the policy: clients, API calls, upstreams, servers and timers, and
/// the effects that the sockets are to carry out.
///
/// The reducer lends it to the policy for the duration of each policy call, and the policy acts on
/// it through `PolicyActions`. Code on this type therefore can't call the policy: an event of an
/// attempt is queued in `attempt_reports`, and the reducer reports it once the policy has returned.
pub(super) struct NodeState {
    /// The time of the latest event.
    pub(super) now: Time,
    pub(super) limits: Limits,
    pub(super) servers: Servers,
    pub(super) calls: Calls,
    /// Ids of recent calls that must not be executed twice.
    pub(super) sent_ids: SentIds,
    pub(super) clients: Clients,
    pub(super) upstreams: Upstreams,
    pub(super) timers: Timers,
    pub(super) attempt_reports: VecDeque<AttemptReport>,
    pub(super) effects: VecDeque<Effect>,
    pub(super) service: ServiceState,
    pub(super) counters: ProductCounters,
    /// Number of attempts written in full, to a cache or to the origin.
    pub(super) written_attempts: u64,
    pub(super) attempt_ends: AttemptEndCounts,
    /// Number of times that a response has stalled.
    pub(super) stalled_responses: u64,
    /// Number of streamed values whose rest never came.
    pub(super) broken_values: u64,
    pub(super) unsolicited: UnsolicitedCounts,
    /// Number of attempts that waited for the end of an upstream's rest.
    pub(super) reuse_waits: u64,
    /// Counts the bytes of values and responses that the node has buffered.
    pub(super) memory: Rc<MemoryBudget>,
    /// When every API call must have its final response; set during a graceful shutdown.
    pub(super) response_deadline: Option<Time>,
    pub(super) stall: StallDetector,
    last_connection_id: u64,
}

impl NodeState {
    pub(super) fn new(limits: Limits, counters: ProductCounters) -> NodeState {
        let memory = MemoryBudget::new(&limits);
        NodeState {
            now: Time(0),
            limits,
            servers: Servers::default(),
            calls: Calls::default(),
            sent_ids: SentIds::default(),
            clients: Clients::default(),
            upstreams: Upstreams::default(),
            timers: Timers::default(),
            attempt_reports: VecDeque::new(),
            effects: VecDeque::new(),
            service: ServiceState::default(),
            counters,
            written_attempts: 0,
            attempt_ends: AttemptEndCounts::default(),
            stalled_responses: 0,
            broken_values: 0,
            unsolicited: UnsolicitedCounts::default(),
            reuse_waits: 0,
            memory,
            response_deadline: None,
            stall: StallDetector::default(),
            last_connection_id: 0,
        }
    }

    /// Returns a new id for a client or an upstream.
    pub(super) fn next_connection_id(&mut self) -> u64 {
        self.last_connection_id += 1;
        self.last_connection_id
    }

    /// Returns the number of connections from clients and to servers.
    pub(super) fn socket_count(&self) -> usize {
        self.clients.len() + self.upstreams.len()
    }

    pub(super) fn idle_client_policy(&self) -> IdleClientPolicy {
        self.service.idle_client_policy(self.now, &self.limits)
    }

    /// Remembers the id of a call that ends and may have been executed, if it must not be executed
    /// twice.
    pub(super) fn remember_id(&mut self, index: CallIndex) {
        let Some(call) = self.calls.get(index) else {
            return;
        };
        if call.must_not_repeat && !call.attempts.is_empty() {
            self.sent_ids
                .insert(&call.request.id, self.now, &self.limits);
        }
    }

    /// Queues the end of an attempt, to be reported to the policy.
    pub(super) fn finish_attempt(&mut self, attempt: AttemptId, outcome: Outcome) {
        let Some(record) = self.calls.attempt_mut(attempt) else {
            return;
        };
        record.upstream = None;
        self.attempt_ends.count(outcome);
        let event = AttemptEvent::Finished(outcome);
        self.attempt_reports
            .push_back(AttemptReport { attempt, event });
    }

    /// Queues a change in how far the response to an attempt has come, to be reported to the policy.
    pub(super) fn report_progress(&mut self, attempt: AttemptId, progress: ResponseProgress) {
        let event = AttemptEvent::Progress(progress);
        self.attempt_reports
            .push_back(AttemptReport { attempt, event });
    }

    /// Schedules the timer that ends an API call with an error if it has no final response by
    /// then, whatever the cause.
    pub(super) fn schedule_overdue_timer(&mut self, index: CallIndex, deadline: Time) {
        self.timers.schedule(
            deadline + self.limits.call_overdue_after,
            Timer::Call(index),
        );
    }

    pub(super) fn cancel_overdue_timer(&mut self, index: CallIndex, deadline: Time) {
        self.timers.cancel(
            deadline + self.limits.call_overdue_after,
            Timer::Call(index),
        );
    }

    /// Returns the duration of a stall that the process has just had, or zero if there was none.
    pub(super) fn stall_duration(&self) -> Span {
        self.stall.unread_duration(self.now, &self.limits)
    }
}
