//! Upstreams (connections to servers), and the current use of each.
use quartzhub_policy::{ResponseProgress, ServerIndex, Time};
use rustc_hash::FxHashMap;

use super::calls::AttemptId;
use super::shrink;
use crate::messages::{ClientId, UpstreamId};
use crate::metrics::CounterIndex;

/// The client to which a value is streamed.
#[derive(Clone, Copy, PartialEq)]
pub(super) struct StreamTarget {
    pub(super) client: ClientId,
    /// The response counter of the API call's product.
    pub(super) counter: Option<CounterIndex>,
}

/// The current use of an upstream.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum UpstreamUse {
    /// It is connecting, and will carry this attempt.
    Connecting { attempt: AttemptId },
    /// It rests after a response, and will then carry this attempt.
    Reserved { attempt: AttemptId },
    /// An attempt is in flight on it.
    InFlight {
        attempt: AttemptId,
        /// The last byte of the request is written: the server may execute it.
        request_written: bool,
        /// The system has sent the last byte of the request.
        request_sent: bool,
        /// The attempt is the first on this connection.
        new_connection: bool,
        response: ResponseProgress,
    },
    /// The value of a response is forwarded to a client as it is received. The response is final:
    /// the API call gets no other.
    Streaming(StreamTarget),
    /// It is available for the next attempt.
    Idle,
    /// It has streamed its value, and is about to become idle or be closed.
    Closing,
}

/// A connection to a server.
#[derive(Clone, Copy)]
pub(super) struct Upstream {
    pub(super) server: ServerIndex,
    pub(super) current_use: UpstreamUse,
    /// When the current use times out.
    pub(super) deadline: Time,
    /// When it was last written to or read from, or began to connect.
    pub(super) last_progress: Time,
    /// When its last response ended; `None` before the first.
    pub(super) last_response: Option<Time>,
}

impl Upstream {
    /// Returns the attempt in flight on this upstream.
    pub(super) fn attempt_in_flight(&self) -> Option<AttemptId> {
        match self.current_use {
            UpstreamUse::InFlight { attempt, .. } => Some(attempt),
            _ => None,
        }
    }

    /// Returns whether the last byte of the attempt in flight is written.
    pub(super) fn is_request_written(&self) -> bool {
        matches!(
            self.current_use,
            UpstreamUse::InFlight {
                request_written: true,
                ..
            }
        )
    }
}

/// All upstreams.
#[derive(Default)]
pub(super) struct Upstreams {
    records: FxHashMap<UpstreamId, Upstream>,
    /// Number of upstreams that are streaming a value.
    streaming: usize,
}

impl Upstreams {
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of upstreams that are streaming a value to a client.
    pub(super) fn streaming_count(&self) -> usize {
        self.streaming
    }

    pub(super) fn contains(&self, id: UpstreamId) -> bool {
        self.records.contains_key(&id)
    }

    pub(super) fn get(&self, id: UpstreamId) -> Option<&Upstream> {
        self.records.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: UpstreamId) -> Option<&mut Upstream> {
        self.records.get_mut(&id)
    }

    pub(super) fn insert(&mut self, id: UpstreamId, upstream: Upstream) {
        self.records.insert(id, upstream);
    }

    pub(super) fn remove(&mut self, id: UpstreamId) -> Option<Upstream> {
        let upstream = self.records.remove(&id)?;
        if matches!(upstream.current_use, UpstreamUse::Streaming(_)) {
            self.streaming -= 1;
        }
        Some(upstream)
    }

    pub(super) fn start_streaming(&mut self, id: UpstreamId, target: StreamTarget) {
        if let Some(upstream) = self.records.get_mut(&id) {
            upstream.current_use = UpstreamUse::Streaming(target);
            self.streaming += 1;
        }
    }

    pub(super) fn finish_streaming(&mut self, id: UpstreamId) {
        if let Some(upstream) = self.records.get_mut(&id) {
            upstream.current_use = UpstreamUse::Closing;
            self.streaming -= 1;
        }
    }

    pub(super) fn longest_idle(&self) -> Option<UpstreamId> {
        self.records
            .iter()
            .filter(|(_, upstream)| upstream.current_use == UpstreamUse::Idle)
            .min_by_key(|(id, upstream)| (upstream.deadline, **id))
            .map(|(id, _)| *id)
    }

    /// Returns the upstream whose response has stalled longest, and its attempt.
    pub(super) fn longest_stalled(&self) -> Option<(UpstreamId, AttemptId)> {
        self.records
            .iter()
            .filter_map(|(id, upstream)| match upstream.current_use {
                UpstreamUse::InFlight {
                    attempt,
                    response: ResponseProgress::Stalled,
                    ..
                } => Some((upstream.last_progress, *id, attempt)),
                _ => None,
            })
            .min_by_key(|(since, id, _)| (*since, *id))
            .map(|(_, id, attempt)| (id, attempt))
    }

    /// Returns the reserved upstreams, each with the attempt that waits for it and its server.
    pub(super) fn reserved(&self) -> Vec<(UpstreamId, AttemptId, ServerIndex)> {
        self.records
            .iter()
            .filter_map(|(id, upstream)| match upstream.current_use {
                UpstreamUse::Reserved { attempt } => Some((*id, attempt, upstream.server)),
                _ => None,
            })
            .collect()
    }

    pub(super) fn ids_of_server(&self, server: ServerIndex) -> Vec<UpstreamId> {
        self.records
            .iter()
            .filter(|(_, upstream)| upstream.server == server)
            .map(|(id, _)| *id)
            .collect()
    }

    pub(super) fn shrink(&mut self) {
        shrink(&mut self.records);
    }
}
