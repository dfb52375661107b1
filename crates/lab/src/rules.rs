//! Checks of the four rules and of the platform's requirements, made on every run from observed
//! events: the emulator or the rig reports what the nodes did and what the servers executed. A
//! violation keeps the history of the API call that it concerns.
mod call_history;

use quartzhub_policy::{Idempotency, Product, Span, Time};
use rustc_hash::FxHashMap;

pub use call_history::CallEvent;
use call_history::CallHistory;

/// A rule that every run is checked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// An accepted API call gets exactly one final response, in time, and nothing is sent for it
    /// afterwards.
    OneAnswer,
    /// No effect is executed twice.
    NoEffectTwice,
    /// No new attempt is sent to a draining or gone server after the grace period.
    Drains,
    /// No cold server is overloaded, nor the origin by the misses of cold caches.
    ColdServers,
    /// The platform's requirements of a node's process: no datagram over the size limit, no exit by
    /// itself.
    Platform,
}

/// A violation of a rule.
#[derive(Debug, Clone)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// When the violation was observed.
    pub at: Time,
    /// How the rule was violated.
    pub description: String,
    /// The events of the API call that it concerns; empty if it concerns none.
    pub history: String,
}

/// Violations of each rule that are kept with their history; further ones are only counted.
const MAX_VIOLATIONS: usize = 5;

/// Tracks every API call of a run and collects violations.
pub struct RuleChecker {
    histories: FxHashMap<u64, CallHistory>,
    /// The first violations of each rule.
    pub violations: Vec<Violation>,
    /// Number of all violations, including those that are not kept.
    pub violation_count: u64,
    /// How long after the client timeout a missing final response is reported. On sockets, also the
    /// shortest delay after that timeout from which a final response counts as late.
    response_slack: Span,
    /// How much later than it happened an event may be observed. Zero in the emulator. On sockets,
    /// the process that runs the checks may have been suspended; it then observes events in any
    /// order.
    pub observation_lag: Span,
}

impl RuleChecker {
    /// Creates a checker without API calls; `response_slack` is how long after the client timeout a
    /// missing final response is reported.
    pub fn new(response_slack: Span) -> RuleChecker {
        RuleChecker {
            histories: FxHashMap::default(),
            violations: Vec::new(),
            violation_count: 0,
            response_slack,
            observation_lag: Span::ZERO,
        }
    }

    /// Records that a node has accepted an API call whose client waits until `client_deadline`.
    pub fn record_accepted(
        &mut self,
        now: Time,
        call: u64,
        node: usize,
        product: Product,
        client_deadline: Time,
    ) {
        let mut history = CallHistory::new(call, product, client_deadline);
        history.record(now, CallEvent::Taken { node });
        self.histories.insert(call, history);
    }

    /// Whether the API call was accepted and has not been discarded.
    pub fn is_tracked(&self, call: u64) -> bool {
        self.histories.contains_key(&call)
    }

    fn record(&mut self, now: Time, call: u64, event: CallEvent) -> Option<&mut CallHistory> {
        let history = self.histories.get_mut(&call)?;
        history.record(now, event);
        Some(history)
    }

    /// Records that a node has sent an attempt; `unavailable_since`: when the node learned that the
    /// server is draining or gone.
    pub fn record_sent(
        &mut self,
        now: Time,
        call: u64,
        server: usize,
        unavailable_since: Option<Time>,
        grace: Span,
    ) {
        let lag = self.observation_lag;
        let Some(history) = self.record(now, call, CallEvent::Sent { server }) else {
            return;
        };
        let closed_at = history.closed_at();
        if closed_at.is_some_and(|closed_at| now - closed_at > lag || lag == Span::ZERO) {
            let description = "an attempt was sent for an API call that has its answer";
            self.record_violation(Rule::OneAnswer, now, description, Some(call));
        }
        if unavailable_since.is_some_and(|since| now - since > grace + lag) {
            let description = "an attempt was sent to a server known to drain or be gone";
            self.record_violation(Rule::Drains, now, description, Some(call));
        }
    }

    /// Records that a server has begun to execute the effect, or has found that the value is
    /// missing.
    pub fn record_execution(&mut self, now: Time, call: u64, server: usize, miss: bool) {
        let lag = self.observation_lag;
        let event = if miss {
            CallEvent::Missed { server }
        } else {
            CallEvent::Began { server }
        };
        let Some(history) = self.record(now, call, event) else {
            return;
        };
        if miss {
            return;
        }
        let forbidden = history.forbids_execution(now, lag);
        history.first_execution.get_or_insert(now);
        if forbidden {
            let description = "an effect was begun twice";
            self.record_violation(Rule::NoEffectTwice, now, description, Some(call));
        }
    }

    /// Records that a node has sent a final response.
    pub fn record_response(&mut self, now: Time, call: u64, event: CallEvent) {
        let tolerance = if self.observation_lag == Span::ZERO {
            Span::ZERO
        } else {
            self.observation_lag.max(self.response_slack)
        };
        let Some(history) = self.record(now, call, event) else {
            return;
        };
        let is_duplicate = history.responded_at.is_some();
        let is_late = now > history.client_deadline + tolerance && !history.exempt;
        history.responded_at.get_or_insert(now);
        // A rate-limited response tells the client that a retry is safe.
        let denies_execution = matches!(event, CallEvent::RateLimited)
            && history.first_execution.is_some()
            && history.product.idempotency == Idempotency::NonIdempotent;
        if is_duplicate {
            let description = "a second final answer";
            self.record_violation(Rule::OneAnswer, now, description, Some(call));
        } else if is_late {
            let description = "a final answer after the client timeout";
            self.record_violation(Rule::OneAnswer, now, description, Some(call));
        }
        if denies_execution {
            let description = "a rate-limited response for an API call that has been executed";
            self.record_violation(Rule::NoEffectTwice, now, description, Some(call));
        }
    }

    /// Records that the client disconnected before its timeout: no response is required.
    pub fn record_client_disconnect(&mut self, now: Time, call: u64) {
        if let Some(history) = self.record(now, call, CallEvent::Left) {
            history.client_disconnected_at = Some(now);
        }
    }

    /// Exempts an API call whose node can't respond: no response is required.
    pub fn exempt(&mut self, call: u64) {
        if let Some(history) = self.histories.get_mut(&call) {
            history.exempt = true;
        }
    }

    /// Records a violation if the client timeout has passed without a required response.
    pub fn check_deadline(&mut self, now: Time, call: u64) {
        let Some(history) = self.histories.get(&call) else {
            return;
        };
        if history.requires_response() && now >= history.client_deadline + self.response_slack {
            let description = "no final answer before the client timeout";
            self.record_violation(Rule::OneAnswer, now, description, Some(call));
        }
    }

    /// Whether a final response is still required.
    pub fn requires_response(&self, call: u64) -> bool {
        self.histories
            .get(&call)
            .is_some_and(CallHistory::requires_response)
    }

    /// When the API call may be discarded: `retention` after its client timeout.
    pub fn discard_at(&self, call: u64, retention: Span) -> Option<Time> {
        self.histories
            .get(&call)
            .map(|history| history.client_deadline + retention)
    }

    /// Discards an API call for which no more events can occur.
    pub fn discard(&mut self, call: u64) {
        self.histories.remove(&call);
    }

    /// Number of tracked API calls.
    pub fn tracked_calls(&self) -> usize {
        self.histories.len()
    }

    /// Records that a server was overloaded in a way that rule 4 forbids.
    pub fn record_overload(&mut self, now: Time, description: &str) {
        self.record_violation(Rule::ColdServers, now, description, None);
    }

    /// Records a violation of a rule, with the history of the API call if one is given.
    pub fn record_violation(&mut self, rule: Rule, at: Time, description: &str, call: Option<u64>) {
        self.violation_count += 1;
        let of_rule = self.violations.iter().filter(|kept| kept.rule == rule);
        if of_rule.count() >= MAX_VIOLATIONS {
            return;
        }
        let history = call.and_then(|call| self.histories.get(&call));
        self.violations.push(Violation {
            rule,
            at,
            description: description.to_owned(),
            history: history
                .map(|history| history.describe())
                .unwrap_or_default(),
        });
    }
}
