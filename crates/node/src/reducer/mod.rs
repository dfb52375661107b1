//! The reducer: the only code that changes the node's state. It owns the policy and the tables of
//! clients, API calls, attempts, upstreams and servers. The sockets report events by calling its
//! methods, and carry out the effects that it queues (connect, write, close). It has no socket and
//! no clock of its own: the caller passes the time with each event.
//!
//! - `*_events`: the events that the reducer handles, one module for each source;
//! - `calls`, `clients`, `upstreams`, `servers`, `endpoint_list`, `timers`: one table each, with
//!   its records;
//! - `node_state`: all tables together; the policy acts on them through `policy_actions`;
//! - `attempts`, `upstream_reuse`, `responses`, `connections`: steps that involve several tables.
use std::rc::Rc;

use quartzhub_policy::{AttemptResult, Balancer, CallIndex, NodeLoad, Outcome, Product, Time};
use quartzhub_settings::{policy_config, products, NameTable, Settings};
use rustc_hash::FxHashMap;

use crate::config::Config;
use crate::limits::Limits;
use crate::memory_budget::MemoryBudget;
use crate::metrics::{CounterIndex, ProductCounters};

mod attempt_end;
mod attempts;
mod call_events;
mod calls;
mod client_events;
mod clients;
mod connections;
mod endpoint_events;
mod endpoint_list;
mod listed_endpoint;
mod node_state;
mod policy_actions;
mod response_events;
mod responses;
mod reuse_delay;
mod sent_ids;
mod servers;
mod service_events;
mod stall;
mod timers;
mod upstream_events;
mod upstream_reuse;
mod upstreams;

use calls::{AttemptEvent, AttemptId, AttemptReport, Call};
pub use endpoint_events::DrainRejected;
use endpoint_list::EndpointListRules;
use node_state::NodeState;
use timers::{Timer, TimerEntry};

pub use crate::messages::{
    AcceptCapacity, ClientId, Effect, Request, RequestAttributes, Response, UpstreamId,
};

/// The state and logic of the node, without its sockets. Methods that handle an event take the
/// time of that event.
pub struct Reducer {
    balancer: Balancer,
    state: NodeState,
    names: NameTable,
    products: Vec<Product>,
    /// The response counter of each product, by the product's index.
    product_counters: Vec<Option<CounterIndex>>,
    endpoint_list_rules: EndpointListRules,
    replaced_limits: Option<ReplacedLimits>,
    applied_reloads: u64,
    rejected_reloads: u64,
}

/// The limits in force before the settings last changed. After several changes in quick
/// succession, those with the shortest shutdown.
struct ReplacedLimits {
    replaced_at: Time,
    limits: Limits,
}

/// Returns the response counter of each product in `names`.
fn product_counters(
    names: &NameTable,
    counters: &mut ProductCounters,
    limits: &Limits,
) -> Vec<Option<CounterIndex>> {
    names
        .products
        .iter()
        .map(|name| counters.index_of(name, limits.counted_products))
        .collect()
}

impl Reducer {
    /// Creates a node that has not started, with no servers and no clients.
    pub fn new(config: &Config) -> Reducer {
        let names = NameTable::new(&config.settings);
        let mut counters = ProductCounters::default();
        let product_counters = product_counters(&names, &mut counters, &config.limits);
        Reducer {
            balancer: Balancer::new(&policy_config(&config.settings), config.seed),
            state: NodeState::new(config.limits.clone(), counters),
            endpoint_list_rules: EndpointListRules::new(&config.settings, &names),
            names,
            products: products(&config.settings),
            product_counters,
            replaced_limits: None,
            applied_reloads: 0,
            rejected_reloads: 0,
        }
    }

    /// Applies changed settings. Open API calls keep the rules that they started under, counters
    /// are not reset, and the policy keeps the learnt state that is still valid.
    pub fn reconfigure(&mut self, now: Time, settings: &Settings) {
        self.advance_clock(now);
        self.names.update(settings);
        self.endpoint_list_rules.reconfigure(settings, &self.names);
        self.product_counters =
            product_counters(&self.names, &mut self.state.counters, &self.state.limits);
        self.products = products(settings);
        let new_limits = self.state.limits.with_settings(settings);
        let replaced = std::mem::replace(&mut self.state.limits, new_limits);
        let shortest_shutdown = match self.previous_limits(now) {
            Some(older) if older.shutdown_exit_at < replaced.shutdown_exit_at => older.clone(),
            _ => replaced,
        };
        self.replaced_limits = Some(ReplacedLimits {
            replaced_at: now,
            limits: shortest_shutdown,
        });
        self.balancer.reconfigure(&policy_config(settings));
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> &Limits {
        &self.state.limits
    }

    /// Returns the limits in force before the settings last changed, if that change is so recent
    /// that clients may still use the earlier settings.
    pub fn previous_limits(&self, now: Time) -> Option<&Limits> {
        let replaced = self.replaced_limits.as_ref()?;
        let is_recent = now - replaced.replaced_at < self.state.limits.settings_propagation;
        is_recent.then_some(&replaced.limits)
    }

    /// Starts the policy.
    pub fn start(&mut self, now: Time) {
        self.advance_clock(now);
        self.balancer.start(now, &mut self.state);
        self.report_attempt_events();
    }

    /// Takes the next effect to carry out. Writes and connects of an upstream that is closed
    /// already are skipped: without this, an attempt that was cancelled after its effect had been
    /// queued would still be written.
    pub fn next_effect(&mut self) -> Option<Effect> {
        loop {
            match self.state.effects.pop_front()? {
                Effect::Write { upstream, .. } | Effect::Connect { upstream, .. }
                    if !self.state.upstreams.contains(upstream) => {}
                effect => return Some(effect),
            }
        }
    }

    /// Returns the time at which `on_timer` is to be called next.
    pub fn next_timer(&self) -> Option<Time> {
        self.state.timers.next_expiry()
    }

    /// Returns the memory that is shared by the buffers of connections, API calls and responses.
    pub fn memory(&self) -> &Rc<MemoryBudget> {
        &self.state.memory
    }

    /// Returns this node's own load, as it is reported to the other nodes.
    pub fn load(&self) -> NodeLoad {
        self.balancer.load()
    }

    /// Returns the number of open API calls and of values being streamed, together.
    pub fn open_call_count(&self) -> usize {
        self.state.calls.len() + self.state.upstreams.streaming_count()
    }

    /// Runs every timer that has expired by `now`.
    pub fn on_timer(&mut self, now: Time) {
        self.advance_clock(now);
        while let Some(TimerEntry { at, timer }) = self.state.timers.pop_expired(now) {
            match timer {
                Timer::PolicyTick => {
                    self.state.stall.on_tick(at, now, &self.state.limits);
                    self.balancer.on_timer(now, &mut self.state);
                }
                Timer::Upstream(id) => self.state.on_upstream_deadline(id, at),
                Timer::IdleClients => self.state.close_idle_clients(),
                Timer::Call(index) => self.on_call_overdue(now, index),
            }
            self.report_attempt_events();
        }
    }

    /// Ends an API call that has no final response `call_overdue_after` past its deadline. Without
    /// this, a fault that loses track of a call would leave its client without any response.
    fn on_call_overdue(&mut self, now: Time, index: CallIndex) {
        let overdue_after = self.state.limits.call_overdue_after;
        let is_overdue = |call: &Call| !call.finished && call.deadline + overdue_after <= now;
        if !self.state.calls.get(index).is_some_and(is_overdue) {
            return;
        }
        tracing::warn!("API call still open after its client timeout");
        self.state
            .finish_call(index, Response::Error("no answer in time"));
        self.balancer
            .on_client_cancelled(now, index, &mut self.state);
    }

    fn advance_clock(&mut self, now: Time) {
        self.state.now = self.state.now.max(now);
    }

    /// Reports events of attempts to the policy until the queue is empty, including those that the
    /// policy itself causes in response.
    fn report_attempt_events(&mut self) {
        while let Some(AttemptReport { attempt, event }) = self.state.attempt_reports.pop_front() {
            match event {
                AttemptEvent::Progress(progress) => self.balancer.on_response_progress(
                    self.state.now,
                    attempt.call,
                    attempt.index,
                    progress,
                    &mut self.state,
                ),
                AttemptEvent::Finished(outcome) => self.report_finished_attempt(attempt, outcome),
            }
        }
    }

    fn report_finished_attempt(&mut self, id: AttemptId, outcome: Outcome) {
        let Some(call) = self.state.calls.get(id.call) else {
            return;
        };
        let Some(attempt) = call.attempts.get(id.index) else {
            return;
        };
        let result = AttemptResult {
            attempt: id.index,
            outcome,
            latency: self.state.now - attempt.started,
            call_finished: call.finished,
        };
        self.balancer
            .on_attempt_result(self.state.now, id.call, result, &mut self.state);
    }
}

/// A table with fewer entries than its capacity divided by this is shrunk.
const SPARSE_DIVISOR: usize = 8;
/// Capacity that a shrunk table keeps, as a multiple of its entries.
const KEPT_CAPACITY_FACTOR: usize = 2;

/// Releases capacity that a table gained at peak load and no longer needs.
pub fn shrink<K: Eq + std::hash::Hash, T>(table: &mut FxHashMap<K, T>) {
    if table.len() < table.capacity() / SPARSE_DIVISOR {
        table.shrink_to(KEPT_CAPACITY_FACTOR * table.len());
    }
}
