//! Large values that are held until they are complete, as later commands of their client would get no
//! response if they broke off. A value that its server still writes when its call's time is nearly over
//! is streamed all the same: its first bytes are due, and it would be lost.
use std::rc::Rc;

use quartzhub_policy::{Span, Time};

use super::Upstream;
use crate::effects::EffectExecutor;

/// Whether a large value is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Hold {
    /// It is not held.
    None,
    /// It is held until it is complete, or until this time.
    Until(Time),
    /// Its time is over: it is streamed as soon as more of it arrives.
    Over,
}

impl Upstream {
    /// Whether a large value is held until it is complete.
    pub(super) fn is_holding(&self) -> bool {
        self.hold.get() != Hold::None
    }

    /// Whether a value that later commands wait behind is held on. Its time begins with the first call.
    pub(super) fn continues_to_hold(&self, executor: &EffectExecutor) -> bool {
        let now = executor.clock.now();
        if self.hold.get() == Hold::None {
            self.hold.set(Hold::Until(self.hold_end(executor, now)));
        }
        match self.hold.get() {
            Hold::Until(end) => now < end,
            Hold::None | Hold::Over => false,
        }
    }

    fn hold_end(&self, executor: &EffectExecutor, now: Time) -> Time {
        let limits = &executor.limits;
        let longest = now + limits.value_hold_timeout;
        let deadline = executor.query(|reducer| reducer.call_deadline(self.id));
        deadline.map_or(longest, |deadline| {
            longest.min(deadline - limits.value_hold_margin)
        })
    }

    /// Completes when the time for which a value is held is over; never if none is held.
    pub(super) async fn end_of_hold(&self, executor: &Rc<EffectExecutor>) {
        match self.hold.get() {
            Hold::Until(end) => tokio::time::sleep_until(executor.clock.instant(end)).await,
            Hold::None | Hold::Over => std::future::pending().await,
        }
    }

    /// Ends the hold. Returns whether the server still writes the value, so that it may be streamed at
    /// once; a value that has stopped is streamed only if it goes on.
    pub(super) fn end_hold(&self, executor: &EffectExecutor) -> bool {
        self.hold.set(Hold::Over);
        let silence: Span = executor.clock.now() - self.last_read_at.get();
        silence < executor.limits.value_stopped_after
    }
}
