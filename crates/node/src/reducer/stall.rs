//! Detects stalls, times in which the process did not run, by the lateness of the policy's timer.
use quartzhub_policy::{Span, Time};

use crate::limits::Limits;

/// A time in which the process did not run.
#[derive(Default)]
struct Stall {
    detected_at: Time,
    duration: Span,
}

/// The time at which the policy's timer is due next, and the last stall.
#[derive(Default)]
pub(super) struct StallDetector {
    next_tick: Time,
    last_stall: Stall,
}

impl StallDetector {
    /// Records when the policy's timer is due next.
    pub(super) fn expect_tick(&mut self, at: Time) {
        self.next_tick = at;
    }

    /// Records a stall if the policy's timer, which was due at `due`, runs only much later, at
    /// `now`.
    pub(super) fn on_tick(&mut self, due: Time, now: Time, limits: &Limits) {
        let lateness = now - due;
        if lateness > limits.stall_threshold {
            let ms = lateness.as_ms();
            tracing::warn!(ms, "event loop stalled for {ms:.0} ms");
            self.last_stall = Stall {
                detected_at: now,
                duration: lateness,
            };
        }
    }

    /// Returns for how long input that is read at `now` may have lain unread because of a stall.
    /// Without this, the timeout of an API call that arrived during a stall would be counted from
    /// the read, and its response would come too late for the client.
    pub(super) fn unread_duration(&self, now: Time, limits: &Limits) -> Span {
        let lateness = now - self.next_tick;
        if lateness > limits.stall_threshold {
            lateness
        } else if now - self.last_stall.detected_at < limits.stall_read_window {
            self.last_stall.duration
        } else {
            Span::ZERO
        }
    }
}
