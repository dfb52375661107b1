//! How long upstreams to one server rest after a response.
use quartzhub_policy::{Span, Time};

use crate::limits::Limits;

/// Factor from the delay of unsolicited bytes to the rest that covers later ones.
const SAFETY_FACTOR: f64 = 1.5;

/// The rest of upstreams to one server. It is longer for a while after the server has sent
/// unsolicited bytes late, as the next ones may come as late.
#[derive(Debug, Default)]
pub(super) struct ReuseDelay {
    /// The rest until `raised_until`, if it is longer than that of all servers.
    raised: Span,
    raised_until: Time,
}

impl ReuseDelay {
    /// Returns the rest in force.
    pub(super) fn current(&self, now: Time, limits: &Limits) -> Span {
        if now < self.raised_until {
            self.raised.max(limits.upstream_reuse_delay)
        } else {
            limits.upstream_reuse_delay
        }
    }

    /// Records bytes that no attempt awaited, `delay` after a response.
    pub(super) fn record_unsolicited(&mut self, now: Time, delay: Span, limits: &Limits) {
        let covering = delay.times(SAFETY_FACTOR).min(limits.upstream_full_rest);
        self.raised = covering.max(self.current(now, limits));
        self.raised_until = now + limits.raised_reuse_delay_duration;
    }
}
