//! The routing policies of an emulated node behind one trait: the project's policy, and baselines
//! to compare it with. A baseline picks a cache by a textbook rule, sends misses and writes to the
//! origin, and retries where rule 2 (no effect twice) allows it.
mod baseline;
mod faulty;
mod pick;

use quartzhub_policy::{
    AttemptResult, Balancer, CallIndex, CallRequest, Endpoint, PolicyActions, Time,
};

pub use baseline::Baseline;
pub use faulty::{FaultyRouter, Misbehavior};
pub use pick::{BoundedHash, CacheState, LeastInFlight, Pick, Random, TwoChoices};

/// A routing policy. A node notifies it of events, and it acts by calling `PolicyActions`.
pub trait Router: Sized {
    /// Handles the start of the node.
    fn on_start<A: PolicyActions>(&mut self, now: Time, actions: &mut A);

    /// Handles an endpoint list or an update of it. If `complete`, servers that it doesn't name are
    /// delisted.
    fn on_endpoint_list<'a, A: PolicyActions>(
        &mut self,
        now: Time,
        complete: bool,
        endpoints: impl Iterator<Item = Endpoint<'a>>,
        actions: &mut A,
    );

    /// Handles a new API call.
    fn on_call<A: PolicyActions>(
        &mut self,
        now: Time,
        call: CallIndex,
        request: CallRequest,
        actions: &mut A,
    );

    /// Handles the disconnection of an API call's client.
    fn on_client_cancelled<A: PolicyActions>(
        &mut self,
        now: Time,
        call: CallIndex,
        actions: &mut A,
    );

    /// Handles the result of an attempt.
    fn on_attempt_result<A: PolicyActions>(
        &mut self,
        now: Time,
        call: CallIndex,
        result: AttemptResult,
        actions: &mut A,
    );

    /// Handles the expiry of the timer that the router has set.
    fn on_timer<A: PolicyActions>(&mut self, now: Time, actions: &mut A);
}

impl Router for Balancer {
    fn on_start<A: PolicyActions>(&mut self, now: Time, actions: &mut A) {
        Balancer::start(self, now, actions);
    }

    fn on_endpoint_list<'a, A: PolicyActions>(
        &mut self,
        now: Time,
        complete: bool,
        endpoints: impl Iterator<Item = Endpoint<'a>>,
        actions: &mut A,
    ) {
        Balancer::on_endpoint_list(self, now, complete, endpoints, actions);
    }

    fn on_call<A: PolicyActions>(
        &mut self,
        now: Time,
        call: CallIndex,
        request: CallRequest,
        actions: &mut A,
    ) {
        Balancer::on_call(self, now, call, request, actions);
    }

    fn on_client_cancelled<A: PolicyActions>(
        &mut self,
        now: Time,
        call: CallIndex,
        actions: &mut A,
    ) {
        Balancer::on_client_cancelled(self, now, call, actions);
    }

    fn on_attempt_result<A: PolicyActions>(
        &mut self,
        now: Time,
        call: CallIndex,
        result: AttemptResult,
        actions: &mut A,
    ) {
        Balancer::on_attempt_result(self, now, call, result, actions);
    }

    fn on_timer<A: PolicyActions>(&mut self, now: Time, actions: &mut A) {
        Balancer::on_timer(self, now, actions);
    }
}
