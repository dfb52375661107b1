//! The decisions of one quartzhub node, free of I/O, clocks and wire formats.
//!
//! Create a [`Balancer`] from a [`PolicyConfig`] and a seed, call [`Balancer::start`] once, then
//! report each event to its `on_*` method. The balancer carries out its decisions by calling the
//! [`PolicyActions`] passed along with the event.
//!
//! An API call passes through the stages below in this order; each stage may pass it on, queue it
//! or give it its final response. Results of attempts are reported back to the stages that learn
//! from them.
//!
//! 1. [`new_call`]: opens the call, using [`hot_keys`] and [`key_health`]
//! 2. [`admission`]: tenants' quotas and load shedding
//! 3. [`coalescing`]: at most one fetch from the origin for each key at a time
//! 4. [`cache_selector`]: DEMA, which consults [`outlier_detection`], [`zone_health`] and
//!    [`slow_start`] for each cache
//! 5. [`origin`] and [`origin_queue`]: a short queue in front of a [`concurrency_limiter`]
//! 6. [`dispatch`]: the only place that sends attempts, within the [`retry_policy`] and its
//!    [`retry_budget`]
//! 7. [`attempt_completion`] and [`result_recording`]: evaluate how an attempt ended
//! 8. [`finish`]: retries and the final response
//!
//! Other modules handle [`hedging`] of overdue attempts, [`stalled_responses`], [`deadlines`], the
//! [`timer`] and the [`endpoint_list`].
//!
//! # Rules
//!
//! - Rule 1, [`rules::may_be_sent`]: every call gets exactly one final response in time, and
//!   nothing is sent for it afterwards.
//! - Rule 2, [`rules::has_no_effect_twice`], [`rules::safe_retry_window`] and
//!   [`rules::may_be_rejected`]: no call takes effect twice.
//! - Rule 3, [`rules::accepts_new_attempts`]: no new attempts go to a draining or gone server.
//! - Rule 4, [`slow_start::SlowStart::has_credit`] and [`origin::Origin::has_slot`]: cold servers
//!   and the origin are not overloaded.
#![deny(missing_docs)]
// The links above point to private modules; they resolve in `cargo doc --document-private-items`.
#![allow(rustdoc::private_intra_doc_links)]

mod actions;
mod admission;
mod attempt;
mod attempt_completion;
mod attempt_result;
mod balancer;
mod cache_load;
mod cache_selector;
mod call;
mod coalescing;
mod concurrency_limiter;
mod config;
mod deadlines;
mod diagnostics;
mod dispatch;
mod endpoint;
mod endpoint_list;
mod endpoint_list_poller;
mod evidence;
mod finish;
mod hash;
mod hedging;
mod hot_keys;
mod idle_connections;
mod key_health;
mod latency_baseline;
mod new_call;
mod origin;
mod origin_queue;
mod outlier_detection;
mod pcg;
mod request;
mod result_recording;
mod retry_budget;
mod retry_policy;
mod rules;
mod server;
mod slow_start;
mod stalled_responses;
mod time;
mod timer;
mod zone_health;

pub use actions::PolicyActions;
pub use attempt::ResponseProgress;
pub use attempt_result::{AttemptResult, Outcome};
pub use balancer::Balancer;
pub use config::{
    DedupScope, EndpointListConfig, Idempotency, PolicyConfig, Product, RetryBudgetConfig,
    SlowStartConfig,
};
pub use diagnostics::{Diagnostics, NodeLoad};
pub use endpoint::{Endpoint, EndpointState, ServerIndex};
pub use hash::hash;
pub use pcg::Pcg;
pub use request::{CallIndex, CallRequest};
pub use time::{Span, Time};
