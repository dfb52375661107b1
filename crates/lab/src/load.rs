//! Load on one real node over loopback, and the comparison of a real node with the emulator.
use std::fmt::Display;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use quartzhub_node::{Config, Environment};
use quartzhub_policy::Span;
use tokio::runtime::Builder;
use tokio::sync::Notify;
use tokio::task::{spawn_local, LocalSet};

use crate::clients::{drive, NodeEndpoint};
use crate::rule_monitor::RuleMonitor;
use crate::rules::Violation;
use crate::scenario::{LabError, Scenario};
use crate::stats::Report;
use crate::stub::StubServers;

/// Highest rate of API calls, per second.
const MAX_CALLS_PER_S: f64 = 50_000.0;
/// Longest run, in seconds.
const MAX_DURATION_S: f64 = 600.0;
/// Most client connections.
const MAX_CONNECTIONS: usize = 2_000;
/// Client connections to the node in a comparison.
const COMPARE_CONNECTIONS: usize = 256;

/// Formats a real node's report as one line.
pub fn summary_line(report: &Report) -> String {
    let latency_ms = |q| report.latency.value_at_quantile(q) as f64 / 1000.0;
    let all = &report.all;
    format!(
        "asked {}, fulfilled {} ({} in the SLO), rate-limited {}, errored {}, no answer {}, connection closed with no \
         answer {}, never taken {}; connections that ended while idle {}, under a call {}; service {:.4}; p50 {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms from the intended send",
        all.total, all.in_slo + all.late, all.in_slo, all.rate_limited, all.errored, all.timed_out, all.connection_closed,
        all.not_accepted, report.idle_connections_closed, report.connections_closed_in_call, all.service(), latency_ms(0.5), latency_ms(0.99), latency_ms(0.999)
    )
}

/// Returns an error if the node is not on loopback, or if the load exceeds the limits.
pub fn check_bounds(
    scenario: &Scenario,
    node: SocketAddr,
    connections: usize,
) -> Result<(), LabError> {
    if !node.ip().is_loopback() {
        return Err(LabError(format!("{node} is not on loopback")));
    }
    let check_range = |key: &str, value: f64, max: f64| match value > 0.0 && value <= max {
        true => Ok(()),
        false => Err(LabError(format!(
            "{key}: {value} is out of range: above 0, at most {max}"
        ))),
    };
    check_range("traffic.rate", scenario.traffic.rate, MAX_CALLS_PER_S)?;
    check_range("seconds", scenario.seconds, MAX_DURATION_S)?;
    check_range("connections", connections as f64, MAX_CONNECTIONS as f64)
}

/// Runs the scenario's clients against a node. Must be called in a `LocalSet`. The rules are
/// checked only as far as clients observe them.
pub async fn load(
    scenario: &Scenario,
    node: SocketAddr,
    connections: usize,
) -> Result<Report, LabError> {
    check_bounds(scenario, node, connections)?;
    let monitor = RuleMonitor::start(scenario.grace());
    let endpoint = NodeEndpoint::new(0, node, connections);
    let report = drive(scenario, std::slice::from_ref(&endpoint), &monitor).await;
    check_rules(&monitor)?;
    Ok(report)
}

/// Returns an error with the history of the first offending API call if a rule was broken.
fn check_rules(monitor: &RuleMonitor) -> Result<(), LabError> {
    let (broken, count) = monitor.violations();
    let Some(first) = broken.first() else {
        return Ok(());
    };
    let Violation {
        rule,
        at,
        description,
        history,
    } = first;
    let at_ms = at.ms();
    Err(LabError(format!(
        "rules broken {count} times, first at {at_ms:.1} ms, {rule:?}: {description}. {history}"
    )))
}

/// Results of one scenario in the emulator and with a real node.
pub struct Comparison {
    /// The emulator's report.
    pub emulated: Report,
    /// The real node's report.
    pub real: Report,
    /// The hit ratio of the caches behind the real node.
    pub real_hit_ratio: f64,
    /// Number of attempts that the real node sent to the origin.
    pub real_origin_attempts: u64,
}

/// Runs a scenario of one node in the emulator, then with a real node in this process and stub
/// servers on loopback.
pub fn compare(scenario: &Scenario) -> Result<Comparison, LabError> {
    if scenario.nodes != 1 || scenario.clients.retries != 0 || scenario.policy != "dema" {
        return Err(LabError(
            "nodes, clients.retries, policy: a comparison needs 1, 0 and \"dema\"".to_owned(),
        ));
    }
    let emulated = crate::run(scenario)?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(real_node_error)?;
    LocalSet::new().block_on(&runtime, compare_real(scenario, emulated))
}

/// Runs a scenario with a real node and returns its results beside the emulator's.
async fn compare_real(scenario: &Scenario, emulated: Report) -> Result<Comparison, LabError> {
    let monitor = RuleMonitor::start(Span::from_ms(scenario.rules.grace_ms));
    let stubs = StubServers::new(scenario, monitor.clone())?;
    let endpoint_list = stubs.clone().listen().await?;
    let listener = TcpListener::bind("127.0.0.1:0").map_err(real_node_error)?;
    listener.set_nonblocking(true).map_err(real_node_error)?;
    let addr = listener.local_addr().map_err(real_node_error)?;
    let config = serde_json::json!({
        "name": "lab", "listen": addr.to_string(), "seed": format!("{:x}", scenario.seed),
        "known": endpoint_list, "settings": scenario.settings_json(0),
    });
    let config =
        Config::parse(&config.to_string(), Environment::default()).map_err(real_node_error)?;
    let reload = Rc::new(Notify::new());
    let node = spawn_local(quartzhub_node::serve(
        config,
        Some(listener),
        std::future::pending(),
        reload,
    ));
    let endpoint = NodeEndpoint::new(0, addr, COMPARE_CONNECTIONS);
    let real = drive(scenario, &[endpoint], &monitor).await;
    node.abort();
    check_rules(&monitor)?;
    let hits = stubs.hits.get() as f64;
    let misses = stubs.misses.get() as f64;
    Ok(Comparison {
        emulated,
        real,
        real_hit_ratio: hits / (hits + misses).max(1.0),
        real_origin_attempts: stubs.origin_attempts.get(),
    })
}

/// Adds to an error that it came from the real node.
fn real_node_error(error: impl Display) -> LabError {
    LabError(format!("the real node: {error}"))
}
