//! Open API calls and their attempts.
use std::collections::HashMap;
use std::rc::Rc;

use bytes::Bytes;
use quartzhub_policy::{CallIndex, Idempotency, Outcome, ResponseProgress, ServerIndex, Time};
use quartzhub_settings::CallTable;

use super::clients::ResponseSlot;
use crate::messages::{ClientId, Request, UpstreamId};
use crate::metrics::CounterIndex;

/// Identifies an attempt: the index of its API call, and its own index among the call's attempts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct AttemptId {
    pub(super) call: CallIndex,
    pub(super) index: usize,
}

/// An attempt of an API call at one server.
pub(super) struct Attempt {
    pub(super) server: ServerIndex,
    pub(super) started: Time,
    /// When its response must have arrived.
    pub(super) deadline: Time,
    /// When its last byte must be written.
    pub(super) write_by: Time,
    pub(super) upstream: Option<UpstreamId>,
}

/// What the policy is to be told of an attempt.
#[derive(Debug, Clone, Copy)]
pub(super) enum AttemptEvent {
    /// Its response has begun, has stalled, or goes on.
    Progress(ResponseProgress),
    /// It has ended.
    Finished(Outcome),
}

/// An event of an attempt that has not been reported to the policy yet.
pub(super) struct AttemptReport {
    pub(super) attempt: AttemptId,
    pub(super) event: AttemptEvent,
}

/// An API call, and the client that made it.
pub(super) struct Call {
    pub(super) request: Rc<Request>,
    pub(super) client: ClientId,
    /// The response counter of its product.
    pub(super) counter: Option<CounterIndex>,
    /// Whether it must not be executed twice, and servers can't tell a repeat.
    pub(super) must_not_repeat: bool,
    /// The slot of its response in the client's order of responses.
    pub(super) slot: ResponseSlot,
    pub(super) deadline: Time,
    /// The call has its final response, or its client has disconnected.
    pub(super) finished: bool,
    pub(super) attempts: Vec<Attempt>,
}

impl Call {
    pub(super) fn new(
        request: Rc<Request>,
        client: ClientId,
        slot: ResponseSlot,
        deadline: Time,
        counter: Option<CounterIndex>,
    ) -> Call {
        Call {
            request,
            client,
            counter,
            must_not_repeat: false,
            slot,
            deadline,
            finished: false,
            attempts: Vec::new(),
        }
    }

    /// Marks the call as one that must not be executed twice, if it is not idempotent.
    pub(super) fn with_idempotency(mut self, idempotency: Idempotency) -> Call {
        self.must_not_repeat = idempotency == Idempotency::NonIdempotent;
        self
    }

    /// Returns the size in bytes of the value that the call writes; zero for a read.
    pub(super) fn value_bytes(&self) -> usize {
        self.request.value.as_ref().map_or(0, Bytes::len)
    }
}

/// All API calls that the policy has not released.
#[derive(Default)]
pub(super) struct Calls {
    records: CallTable<Call>,
    /// Calls without a final response, by the ids that their clients gave them.
    unfinished: HashMap<String, CallIndex>,
}

impl Calls {
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    pub(super) fn get(&self, index: CallIndex) -> Option<&Call> {
        self.records.get(index)
    }

    pub(super) fn get_mut(&mut self, index: CallIndex) -> Option<&mut Call> {
        self.records.get_mut(index)
    }

    pub(super) fn insert(&mut self, call: Call) -> CallIndex {
        let id = call.request.id.clone();
        let index = self.records.insert(call);
        self.unfinished.insert(id, index);
        index
    }

    pub(super) fn remove(&mut self, index: CallIndex) -> Option<Call> {
        self.records.remove(index)
    }

    /// Marks a call as finished: its client gets no further response to it, and its id may be used
    /// again. Returns whether there is such a call.
    pub(super) fn mark_finished(&mut self, index: CallIndex) -> bool {
        let Some(call) = self.records.get_mut(index) else {
            return false;
        };
        call.finished = true;
        self.unfinished.remove(&call.request.id);
        true
    }

    /// Returns whether there is a call with this id and without a final response.
    pub(super) fn is_unfinished(&self, id: &str) -> bool {
        self.unfinished.contains_key(id)
    }

    pub(super) fn unfinished_count(&self) -> usize {
        self.unfinished.len()
    }

    pub(super) fn unfinished(&self) -> Vec<CallIndex> {
        self.unfinished.values().copied().collect()
    }

    pub(super) fn attempt(&self, id: AttemptId) -> Option<&Attempt> {
        self.records.get(id.call)?.attempts.get(id.index)
    }

    pub(super) fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.records.get_mut(id.call)?.attempts.get_mut(id.index)
    }
}
