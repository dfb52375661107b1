//! The one place where state changes. It owns the policy and the tables of clients, API calls, attempts, upstreams and
//! servers; sockets report to it by its methods, and it asks them for reading and writing by effects. It has no socket
//! and no clock.
//!
//! - `*_events`: what is reported to the reducer, by who reports it;
//! - `calls`, `clients`, `upstreams`, `servers`, `endpoint_list`, `timers`: a table each, with its records;
//! - `node_state`: the tables together, on which the policy acts by `policy_actions`;
//! - `attempts`, `responses`, `connections`: the steps that concern several tables.
use quartzhub_policy::{AttemptResult, Balancer, CallIndex, NodeLoad, Product, Time};
use quartzhub_settings::{policy_config, products, NameTable, Settings};
use rustc_hash::FxHashMap;

use crate::config::Config;
use crate::limits::Limits;
use crate::metrics::{CounterIndex, ProductCounters};

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
mod responses;
mod servers;
mod service_events;
mod stall;
mod timers;
mod upstream_events;
mod upstreams;

use calls::Call;
pub use endpoint_events::DrainRejected;
use endpoint_list::EndpointListRules;
use node_state::NodeState;
use timers::{Timer, TimerEntry};

pub use crate::messages::{
    AcceptCapacity, ClientId, Effect, Request, RequestAttributes, Response, UpstreamId,
};

/// The node without its sockets. Each report takes the time at which it is made.
pub struct Reducer {
    balancer: Balancer,
    state: NodeState,
    names: NameTable,
    products: Vec<Product>,
    /// Each product's response counter.
    product_counters: Vec<Option<CounterIndex>>,
    endpoint_list_rules: EndpointListRules,
    replaced_limits: Option<ReplacedLimits>,
    applied_reloads: u64,
    rejected_reloads: u64,
}

/// Limits that held until the settings changed. After changes in quick succession, those with the shortest shutdown.
struct ReplacedLimits {
    replaced_at: Time,
    limits: Limits,
}

/// The response counter of each product in `names`.
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
    /// A node that has not started, with no servers and no clients.
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

    /// Applies other settings. Open API calls keep the rules that they started under, counters go on, and the policy
    /// keeps what it learnt where that still means the same.
    pub fn reconfigure(&mut self, now: Time, settings: &Settings) {
        self.advance_clock(now);
        self.names.update(settings);
        self.endpoint_list_rules.reconfigure(settings, &self.names);
        self.product_counters =
            product_counters(&self.names, &mut self.state.counters, &self.state.limits);
        self.products = products(settings);
        let new_limits = self.state.limits.retuned(settings);
        let before = std::mem::replace(&mut self.state.limits, new_limits);
        let shortest = match self.limits_before(now) {
            Some(earlier) if earlier.shutdown_limit < before.shutdown_limit => earlier.clone(),
            _ => before,
        };
        self.replaced_limits = Some(ReplacedLimits {
            replaced_at: now,
            limits: shortest,
        });
        self.balancer.reconfigure(&policy_config(settings));
    }

    /// The limits that hold now.
    pub fn limits(&self) -> &Limits {
        &self.state.limits
    }

    /// The limits that held until the settings changed, where that was so shortly before that clients may not know of
    /// it.
    pub fn limits_before(&self, now: Time) -> Option<&Limits> {
        let replaced = self.replaced_limits.as_ref()?;
        let is_recent = now - replaced.replaced_at < self.state.limits.settings_propagation;
        is_recent.then_some(&replaced.limits)
    }

    /// Starts the policy.
    pub fn start(&mut self, now: Time) {
        self.advance_clock(now);
        self.balancer.start(now, &mut self.state);
        self.report_finished_attempts();
    }

    /// The next effect to be carried out. Guards against an attempt that is cancelled between being asked for and being
    /// written: what concerns an upstream that is no more is left out.
    pub fn next_effect(&mut self) -> Option<Effect> {
        loop {
            match self.state.effects.pop_front()? {
                Effect::Write { upstream, .. } | Effect::Connect { upstream, .. }
                    if !self.state.upstreams.contains(upstream) => {}
                effect => return Some(effect),
            }
        }
    }

    /// When `on_timer` is to be called.
    pub fn next_timer(&self) -> Option<Time> {
        self.state.timers.next_expiry()
    }

    /// Bytes held for API calls and responses.
    pub fn buffered_bytes(&self) -> usize {
        self.state.buffered_bytes
    }

    /// This node's own load, for the others.
    pub fn load(&self) -> NodeLoad {
        self.balancer.load()
    }

    /// API calls that are open, and values that are being streamed.
    pub fn open_call_count(&self) -> usize {
        self.state.calls.len() + self.state.upstreams.streaming_count()
    }

    /// Does what is due by now.
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
            self.report_finished_attempts();
        }
    }

    /// Guards against an API call that would never be answered, whatever went wrong.
    fn on_call_overdue(&mut self, now: Time, index: CallIndex) {
        let overdue_after = self.state.limits.call_overdue_after;
        let is_overdue = |call: &Call| !call.answered && call.deadline + overdue_after <= now;
        if !self.state.calls.get(index).is_some_and(is_overdue) {
            return;
        }
        tracing::warn!("API call still open at its client timeout");
        self.state
            .finish_call(index, Response::Error("no answer in time"));
        self.balancer
            .on_client_cancelled(now, index, &mut self.state);
    }

    fn advance_clock(&mut self, now: Time) {
        self.state.now = self.state.now.max(now);
    }

    /// Tells the policy of attempts that ended, until none is left.
    fn report_finished_attempts(&mut self) {
        while let Some(finished) = self.state.finished_attempts.pop_front() {
            let id = finished.attempt;
            let Some(call) = self.state.calls.get(id.call) else {
                continue;
            };
            let Some(attempt) = call.attempts.get(id.number) else {
                continue;
            };
            let result = AttemptResult {
                attempt: id.number,
                outcome: finished.outcome,
                latency: self.state.now - attempt.started,
                call_finished: call.answered,
            };
            self.balancer
                .on_attempt_result(self.state.now, id.call, result, &mut self.state);
        }
    }
}

/// A table that fills less than this part of its capacity is shrunk.
const SPARSE_PART: usize = 8;
/// The capacity that it keeps, as a multiple of its entries.
const KEPT_CAPACITY: usize = 2;

/// Gives back memory that a table took in its busiest minute.
pub fn shrink<K: Eq + std::hash::Hash, T>(table: &mut FxHashMap<K, T>) {
    if table.len() < table.capacity() / SPARSE_PART {
        table.shrink_to(KEPT_CAPACITY * table.len());
    }
}
