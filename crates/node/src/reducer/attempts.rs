//! Opens upstreams for attempts and writes attempts on them.
use std::rc::Rc;

use quartzhub_policy::{CallIndex, EndpointState, Outcome, ResponseProgress, Span, Time};

use super::calls::AttemptId;
use super::node_state::NodeState;
use super::timers::Timer;
use super::upstreams::{Upstream, UpstreamUse};
use crate::messages::{ClientId, Effect, Request, UpstreamId};

/// The data to write for an attempt that may still be made.
struct WritableAttempt {
    client: ClientId,
    request: Rc<Request>,
    deadline: Time,
    write_by: Time,
    must_not_repeat: bool,
}

/// Returns the outcome of a cancelled attempt.
pub(super) fn cancelled_outcome(request_written: bool) -> Outcome {
    if request_written {
        Outcome::Cancelled
    } else {
        Outcome::NotSent
    }
}

impl NodeState {
    /// Opens an upstream for an attempt. At the socket limit, an idle connection is closed first,
    /// so that the process does not run out of file descriptors; if no connection is idle, the
    /// attempt is not made, and the server is not blamed.
    pub(super) fn open_upstream(&mut self, attempt: AttemptId) {
        let Some(record) = self.calls.attempt(attempt) else {
            return;
        };
        let server = record.server;
        let latest_connect = record.deadline.min(record.write_by);
        let Some(address) = self.servers[server].addr else {
            return self.finish_attempt(attempt, Outcome::Unreachable);
        };
        if self.is_short_of_sockets() && !self.free_socket_for_upstream() {
            return self.finish_attempt(attempt, Outcome::NotSent);
        }
        let id = UpstreamId(self.next_connection_id());
        let deadline = latest_connect.min(self.now + self.limits.connect_timeout);
        let upstream = Upstream {
            server,
            current_use: UpstreamUse::Connecting { attempt },
            deadline,
            last_progress: self.now,
            last_response: None,
        };
        self.upstreams.insert(id, upstream);
        self.timers.schedule(deadline, Timer::Upstream(id));
        if let Some(record) = self.calls.attempt_mut(attempt) {
            record.upstream = Some(id);
        }
        self.effects.push_back(Effect::Connect {
            upstream: id,
            address,
            is_origin: self.servers[server].is_origin,
        });
    }

    /// Writes an attempt on a connected upstream; all requests to servers are written here. The
    /// connect may have taken long, so this checks again whether the attempt may still be made.
    pub(super) fn write_attempt(
        &mut self,
        id: UpstreamId,
        attempt: AttemptId,
        new_connection: bool,
    ) {
        let Some(writable) = self.writable_attempt(attempt) else {
            self.return_upstream_to_pool(id);
            return self.finish_attempt(attempt, Outcome::NotSent);
        };
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.last_progress = self.now;
            upstream.current_use = UpstreamUse::InFlight {
                attempt,
                request_written: false,
                request_sent: false,
                new_connection,
                response: ResponseProgress::Awaited,
            };
        }
        if let Some(record) = self.calls.attempt_mut(attempt) {
            record.upstream = Some(id);
        }
        // Past this deadline the attempt is not completed: the server's deduplication window for a
        // repeated write would be over, or the server would start the work with less time left
        // than the request states.
        let time_left = writable.deadline - self.now;
        let written_at = self.now + self.write_time(&writable.request, time_left);
        let write_deadline = writable
            .deadline
            .min(writable.write_by)
            .min(written_at + self.limits.deadline_slack);
        self.set_upstream_deadline(id, write_deadline);
        self.effects.push_back(Effect::Write {
            upstream: id,
            client: writable.client,
            request: writable.request,
            time_left: writable.deadline - written_at,
            must_not_repeat: writable.must_not_repeat,
        });
    }

    /// Returns the data to write for this attempt, or `None` if its call is finished, its time is
    /// over or its server is no longer ready.
    fn writable_attempt(&self, attempt: AttemptId) -> Option<WritableAttempt> {
        let call = self.calls.get(attempt.call)?;
        let record = self.calls.attempt(attempt)?;
        let in_time = self.now < record.deadline.min(record.write_by);
        if call.finished || !in_time || self.servers[record.server].state != EndpointState::Ready {
            return None;
        }
        Some(WritableAttempt {
            client: call.client,
            request: call.request.clone(),
            deadline: record.deadline,
            write_by: record.write_by,
            must_not_repeat: call.must_not_repeat,
        })
    }

    /// Returns the time allowed for writing a request: a fraction of the time left if its value is
    /// large, else zero, as a small request is written at once.
    fn write_time(&self, request: &Request, time_left: Span) -> Span {
        let is_large = request
            .value
            .as_ref()
            .is_some_and(|value| value.len() > self.limits.buffered_value_bytes);
        if is_large {
            time_left.times(self.limits.large_value_write_fraction)
        } else {
            Span::ZERO
        }
    }

    /// Returns whether it is too late to write this attempt, as the work could take effect twice.
    pub(super) fn is_past_write_deadline(&self, attempt: AttemptId) -> bool {
        self.calls
            .attempt(attempt)
            .is_some_and(|attempt| attempt.write_by <= self.now)
    }

    /// Ends the attempts of an API call that are not sent in full. Their servers have not started the
    /// work, so this is done even where the settings do not allow cancelling attempts.
    pub(super) fn cancel_unsent_attempts(&mut self, call_index: CallIndex) {
        let Some(call) = self.calls.get(call_index) else {
            return;
        };
        let with_upstream: Vec<_> = call
            .attempts
            .iter()
            .enumerate()
            .filter_map(|(index, attempt)| Some((index, attempt.upstream?)))
            .collect();
        for (index, id) in with_upstream {
            self.release_reserved_upstream(id);
            let current_use = self.upstreams.get(id).map(|upstream| upstream.current_use);
            if let Some(UpstreamUse::InFlight {
                request_written,
                request_sent: false,
                ..
            }) = current_use
            {
                let attempt = AttemptId {
                    call: call_index,
                    index,
                };
                self.close_upstream(id);
                self.finish_attempt(attempt, cancelled_outcome(request_written));
            }
        }
    }
}
