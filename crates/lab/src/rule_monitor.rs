//! The rule checks for real processes, from what stub servers received and executed and what
//! clients received. One thread observes all events; its own lateness is measured and allowed for.
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use quartzhub_policy::{Product, Span, Time};
use tokio::time::{sleep, Instant};

use crate::rules::{CallEvent, Rule, RuleChecker, Violation};
use crate::server::LoadCheck;

/// How much later than it happened an event may be observed while the checks themselves are not
/// late: one pass over all sockets, plus the time for which a node may wait for a core.
const OBSERVATION_DELAY: Span = Span::ms(250);
/// How long after its client timeout an API call counts as without a response: the platform's
/// slack, plus time for a busy machine.
pub const RESPONSE_GRACE: Span = Span::ms(1_000);
/// How often deadlines and the lateness of the checks themselves are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Factor by which the lateness decays from one check to the next. It halves in half a second, by
/// which time the events that had accumulated have been observed.
const LATENESS_DECAY: f64 = 0.985;
/// Factor from a measured lateness to the observation lag that is allowed for it.
const LATENESS_FACTOR: f64 = 2.0;
/// How long after its client timeout an API call is tracked: longer than any attempt for it can be
/// in flight.
const CALL_RETENTION: Span = Span::ms(20_000);

/// Checks the rules while real nodes, servers and clients run; shared by all tasks of one thread.
pub struct RuleMonitor {
    started_at: Instant,
    checker: RefCell<RuleChecker>,
    /// Recent lateness of the checks, in seconds; decays by `LATENESS_DECAY`.
    lateness: Cell<f64>,
    /// Greatest lateness of the checks so far, in seconds.
    pub max_lateness: Cell<f64>,
    /// By node and server: when the node learned that the server is draining or gone.
    unavailable_since: RefCell<HashMap<(usize, usize), Time>>,
    /// By node, its API calls without a final response.
    open_calls: RefCell<HashMap<usize, Vec<u64>>>,
    /// When to check an API call: for its final response, and later to discard it.
    due_checks: RefCell<BTreeSet<(Time, u64)>>,
    /// Nodes whose processes are suspended or are being killed.
    exempt_nodes: RefCell<BTreeSet<usize>>,
    grace: Span,
}

impl RuleMonitor {
    /// Starts the periodic checks; needs a `LocalSet`.
    pub fn start(grace: Span) -> Rc<RuleMonitor> {
        let monitor = Rc::new(RuleMonitor {
            started_at: Instant::now(),
            checker: RefCell::new(RuleChecker::new(RESPONSE_GRACE)),
            lateness: Cell::new(0.0),
            max_lateness: Cell::new(0.0),
            unavailable_since: RefCell::default(),
            open_calls: RefCell::default(),
            due_checks: RefCell::default(),
            exempt_nodes: RefCell::default(),
            grace,
        });
        let periodic_monitor = monitor.clone();
        tokio::task::spawn_local(async move {
            loop {
                let due_at = Instant::now() + CHECK_INTERVAL;
                sleep(CHECK_INTERVAL).await;
                periodic_monitor.check(due_at.elapsed().as_secs_f64());
            }
        });
        monitor
    }

    fn check(&self, lateness: f64) {
        self.lateness
            .set((self.lateness.get() * LATENESS_DECAY).max(lateness));
        self.max_lateness.set(self.max_lateness.get().max(lateness));
        let lag =
            OBSERVATION_DELAY + Span::from_ms(self.lateness.get() * LATENESS_FACTOR * 1_000.0);
        let mut checker = self.checker.borrow_mut();
        checker.observation_lag = lag;
        let now = self.now();
        let mut due_checks = self.due_checks.borrow_mut();
        while let Some(&(at, call)) = due_checks.first().filter(|check| check.0 <= now - lag) {
            due_checks.pop_first();
            checker.check_deadline(now, call);
            let Some(discard_at) = checker.discard_at(call, CALL_RETENTION) else {
                continue;
            };
            if at >= discard_at {
                checker.discard(call);
            } else {
                due_checks.insert((discard_at, call));
            }
        }
    }

    /// Returns the time since the monitor started.
    pub fn now(&self) -> Time {
        self.time_of(Instant::now())
    }

    /// Converts an instant of the system's clock to time since the monitor started.
    pub fn time_of(&self, instant: Instant) -> Time {
        Time(
            instant
                .saturating_duration_since(self.started_at)
                .as_micros() as i64,
        )
    }

    /// Records that a node has accepted an API call: its last byte was written to a connection that
    /// the node's machine accepted.
    pub fn record_accepted(
        &self,
        call: u64,
        node: usize,
        product: &Product,
        client_deadline: Time,
    ) {
        let mut checker = self.checker.borrow_mut();
        if checker.is_tracked(call) {
            return;
        }
        checker.record_accepted(self.now(), call, node, *product, client_deadline);
        // Between a signal and its effect, the kernel still accepts calls for the process.
        if self.exempt_nodes.borrow().contains(&node) {
            checker.exempt(call);
        }
        self.open_calls
            .borrow_mut()
            .entry(node)
            .or_default()
            .push(call);
        self.due_checks
            .borrow_mut()
            .insert((client_deadline + RESPONSE_GRACE, call));
    }

    /// Records that a node sent an attempt at time `at`.
    pub fn record_sent(&self, at: Time, call: u64, node: usize, server: usize) {
        let unavailable_since = self.unavailable_since.borrow();
        let since = unavailable_since.get(&(node, server)).copied();
        self.checker
            .borrow_mut()
            .record_sent(at, call, server, since, self.grace);
    }

    /// Records that a server has begun to execute the effect, or has found that the value is
    /// missing.
    pub fn record_execution(&self, call: u64, server: usize, miss: bool) {
        self.checker
            .borrow_mut()
            .record_execution(self.now(), call, server, miss);
    }

    /// Records that a final response has reached the client.
    pub fn record_response(&self, call: u64, node: usize, event: CallEvent) {
        self.checker
            .borrow_mut()
            .record_response(self.now(), call, event);
        self.close_call(call, node);
    }

    /// Records that the client has disconnected, at its timeout or before.
    pub fn record_client_disconnect(&self, call: u64, node: usize) {
        let now = self.now();
        self.checker.borrow_mut().check_deadline(now, call);
        self.checker
            .borrow_mut()
            .record_client_disconnect(now, call);
        self.close_call(call, node);
    }

    /// Records that the connection ended without a response to the API call.
    pub fn record_connection_closed(&self, call: u64, node: usize) {
        let now = self.now();
        let mut checker = self.checker.borrow_mut();
        if checker.requires_response(call) {
            let description = "its connection ended with no answer to it";
            checker.record_violation(Rule::OneAnswer, now, description, Some(call));
        }
        checker.exempt(call);
        drop(checker);
        self.close_call(call, node);
    }

    fn close_call(&self, call: u64, node: usize) {
        if let Some(open_calls) = self.open_calls.borrow_mut().get_mut(&node) {
            open_calls.retain(|other| *other != call);
        }
    }

    /// Exempts a node whose process is suspended or being killed: no response is required to its
    /// open API calls, nor to those that it accepts until it runs again.
    pub fn exempt_node(&self, node: usize) {
        self.exempt_nodes.borrow_mut().insert(node);
        let open_calls = std::mem::take(self.open_calls.borrow_mut().entry(node).or_default());
        let mut checker = self.checker.borrow_mut();
        for call in open_calls {
            checker.exempt(call);
        }
    }

    /// Ends the exemption of a node whose process runs again.
    pub fn end_exemption(&self, node: usize) {
        self.exempt_nodes.borrow_mut().remove(&node);
    }

    /// Records that a node has a new process, which does not know the endpoint states that the one
    /// before was notified of.
    pub fn record_node_restart(&self, node: usize) {
        self.end_exemption(node);
        self.unavailable_since
            .borrow_mut()
            .retain(|key, _| key.0 != node);
    }

    /// Records that the node was notified that a server is draining or gone, or is in service.
    pub fn record_endpoint_state(&self, node: usize, server: usize, unavailable: bool) {
        let now = self.now();
        let mut unavailable_since = self.unavailable_since.borrow_mut();
        if unavailable {
            unavailable_since.entry((node, server)).or_insert(now);
        } else {
            unavailable_since.remove(&(node, server));
        }
    }

    /// Records that a server was sent more work than it can handle, if that violates rule 4.
    pub fn record_overload(&self, server: usize, load_check: LoadCheck) {
        if let Some(description) = load_check.violation(server) {
            self.checker
                .borrow_mut()
                .record_overload(self.now(), &description);
        }
    }

    /// Records a violation of the platform's requirements.
    pub fn record_platform_violation(&self, description: &str) {
        self.checker
            .borrow_mut()
            .record_violation(Rule::Platform, self.now(), description, None);
    }

    /// Returns the violations that are kept, and the number of all violations.
    pub fn violations(&self) -> (Vec<Violation>, u64) {
        let checker = self.checker.borrow();
        (checker.violations.clone(), checker.violation_count)
    }
}
