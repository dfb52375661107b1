//! Schedules polls for the endpoint list if its updates are not pushed.
use crate::actions::PolicyActions;
use crate::config::EndpointListConfig;
use crate::pcg::Pcg;
use crate::time::Time;

/// Fraction of `poll_interval` over which the nodes' polls are spread.
const SPREAD_RATIO: f64 = 0.5;
/// Factor by which that time grows with each failure in a row.
const BACKOFF_FACTOR: f64 = 2.0;
/// Failures in a row after which the delay grows no further.
const MAX_BACKOFF_FAILURES: u32 = 2;

/// Polls for the endpoint list until updates are pushed, and again after the subscription has
/// failed.
#[derive(Default)]
pub(crate) struct EndpointListPoller {
    pub(crate) config: EndpointListConfig,
    polled: bool,
    /// Whether updates are pushed.
    subscribed: bool,
    next_poll: Time,
    /// Failures in a row.
    failures: u32,
}

impl EndpointListPoller {
    /// Schedules the first poll, if the node has to poll.
    pub(crate) fn start(&mut self, now: Time, rng: &mut Pcg) {
        if self.config.polled {
            self.schedule(now, rng);
        }
    }

    /// Schedules the next poll at random with exponential backoff: nodes that start or lose their
    /// subscription at the same time would otherwise overload a discovery service that can serve
    /// only a few nodes at a time.
    fn schedule(&mut self, now: Time, rng: &mut Pcg) {
        let backoff = BACKOFF_FACTOR.powi(self.failures.min(MAX_BACKOFF_FAILURES) as i32);
        let delay_ratio = SPREAD_RATIO * backoff * rng.unit();
        self.next_poll = now + self.config.poll_interval.times(delay_ratio);
    }

    /// Records an update: the first one after a poll confirms the subscription.
    pub(crate) fn record_update(&mut self) {
        self.subscribed = self.polled;
        self.failures = 0;
    }

    /// Records a failed poll or a lost subscription; the caller does not distinguish them.
    pub(crate) fn record_failure(&mut self, now: Time, rng: &mut Pcg) {
        self.polled = false;
        self.subscribed = false;
        self.failures += 1;
        self.schedule(now, rng);
    }

    /// Polls if a poll is due.
    pub(crate) fn tick(&mut self, now: Time, actions: &mut impl PolicyActions) {
        if self.config.polled && !self.subscribed && now >= self.next_poll {
            self.polled = true;
            self.next_poll = now + self.config.poll_interval;
            actions.poll_endpoints();
        }
    }
}
