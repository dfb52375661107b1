//! A router that breaks one rule on purpose, to test that the rule's check detects it.
use quartzhub_policy::{
    AttemptResult, CallIndex, CallRequest, Endpoint, EndpointState, PolicyActions, ServerIndex,
    Span, Time,
};

use super::Router;

/// Timeout of an attempt that repeats one that may have been executed.
const REPEAT_TIMEOUT: Span = Span::ms(100);

/// Wraps a router and breaks one rule on purpose, to test that the rule's check detects it.
pub struct FaultyRouter<R> {
    inner: R,
    misbehavior: Misbehavior,
    /// Server that receives repeated attempts.
    repeat_server: Option<ServerIndex>,
    /// The draining, delisted or warming-up cache to which all attempts are sent.
    forbidden_server: Option<ServerIndex>,
}

/// How the router misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Misbehavior {
    /// Gives two final responses to each API call.
    RespondsTwice,
    /// Gives no final response.
    NeverResponds,
    /// Repeats an attempt that may have been executed, regardless of the product's idempotency.
    RepeatsExecutedAttempts,
    /// Sends all attempts to a cache that drains or is delisted.
    SendsToDrainingCache,
    /// Sends all attempts to a cache that is warming up.
    OverloadsColdCache,
}

impl<R> FaultyRouter<R> {
    /// Wraps a router that follows the rules.
    pub fn new(inner: R, misbehavior: Misbehavior) -> FaultyRouter<R> {
        FaultyRouter {
            inner,
            misbehavior,
            repeat_server: None,
            forbidden_server: None,
        }
    }

    /// Sets the server to which attempts are repeated.
    pub fn with_repeat_server(mut self, server: ServerIndex) -> FaultyRouter<R> {
        self.repeat_server = Some(server);
        self
    }
}

impl<R: Router> Router for FaultyRouter<R> {
    fn on_start<A: PolicyActions>(&mut self, now: Time, actions: &mut A) {
        self.inner.on_start(now, actions);
    }

    fn on_endpoint_list<'a, A: PolicyActions>(
        &mut self,
        now: Time,
        complete: bool,
        endpoints: impl Iterator<Item = Endpoint<'a>>,
        actions: &mut A,
    ) {
        let endpoints: Vec<_> = endpoints.collect();
        let draining = endpoints
            .iter()
            .find(|endpoint| endpoint.kind == 0 && endpoint.state != EndpointState::Ready);
        self.forbidden_server = draining
            .map(|endpoint| endpoint.server)
            .or(self.forbidden_server);
        let warming_up = endpoints.iter().find(|endpoint| {
            endpoint.kind == 0
                && endpoint.started.is_some()
                && endpoint.state == EndpointState::Ready
        });
        if let (Misbehavior::OverloadsColdCache, Some(endpoint)) = (self.misbehavior, warming_up) {
            self.forbidden_server = Some(endpoint.server);
        }
        self.inner
            .on_endpoint_list(now, complete, endpoints.into_iter(), actions);
    }

    fn on_call<A: PolicyActions>(
        &mut self,
        now: Time,
        call: CallIndex,
        request: CallRequest,
        actions: &mut A,
    ) {
        match (self.misbehavior, self.forbidden_server) {
            (Misbehavior::NeverResponds, _) => {}
            (Misbehavior::RespondsTwice, _) => {
                actions.fail(call);
                actions.fail(call);
                actions.release_call(call);
            }
            (Misbehavior::SendsToDrainingCache | Misbehavior::OverloadsColdCache, Some(server)) => {
                let deadline = now + request.time_left;
                actions.dispatch(call, server, deadline, deadline)
            }
            _ => {
                self.inner.on_call(now, call, request, actions);
            }
        }
    }

    fn on_client_cancelled<A: PolicyActions>(
        &mut self,
        now: Time,
        call: CallIndex,
        actions: &mut A,
    ) {
        match self.misbehavior {
            Misbehavior::NeverResponds => actions.release_call(call),
            Misbehavior::RespondsTwice => {}
            _ => self.inner.on_client_cancelled(now, call, actions),
        }
    }

    fn on_attempt_result<A: PolicyActions>(
        &mut self,
        now: Time,
        call: CallIndex,
        result: AttemptResult,
        actions: &mut A,
    ) {
        let may_have_executed = !result.outcome.proves_not_executed() && !result.call_finished;
        if self.misbehavior == Misbehavior::RepeatsExecutedAttempts && may_have_executed {
            if let Some(server) = self.repeat_server {
                let deadline = now + REPEAT_TIMEOUT;
                return actions.dispatch(call, server, deadline, deadline);
            }
        }
        self.inner.on_attempt_result(now, call, result, actions);
    }

    fn on_timer<A: PolicyActions>(&mut self, now: Time, actions: &mut A) {
        self.inner.on_timer(now, actions);
    }
}
