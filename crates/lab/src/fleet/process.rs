//! The process of one node: its start, its signals and its exit. The rig signals only processes
//! that it started itself, by the ids returned at their start. If the rig dies, they are killed
//! too.
use std::cell::{Cell, RefCell};
use std::io;
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};
use tokio::process::{Child, Command};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::event_log::EventLog;
use crate::clients::NodeEndpoint;
use crate::rule_monitor::RuleMonitor;

/// Delay from the start of a graceful shutdown until the front stops sending clients to the node.
const SHUTDOWN_NOTICE_DELAY: Duration = Duration::from_millis(300);
/// Environment variables that would override the configuration file.
const CLEARED_VARIABLES: [&str; 5] = [
    "LB_NAME",
    "LB_LISTEN",
    "LB_DISCOVERY",
    "LB_OPS",
    "LB_INHERITED_FD",
];

/// The program to start as a node, and the program that makes it end together with the rig.
#[derive(Debug, Clone)]
pub struct Programs {
    /// The node program.
    pub node: PathBuf,
    /// Arguments of the node program.
    pub args: Vec<String>,
    /// The laboratory's program, whose `guard` command starts the node program.
    pub lab: PathBuf,
}

/// The state of a node's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    /// There is no process.
    Down,
    /// The process has been started, but does not serve yet.
    Starting,
    /// The process serves.
    Up,
    /// The process is suspended by SIGSTOP.
    Paused,
    /// The process was sent SIGKILL or SIGTERM and has not exited yet.
    Stopping,
}

/// How a node is started, and how late the front is notified of changes.
#[derive(Debug, Clone)]
pub struct ProcessSpec {
    /// Index of the node.
    pub node: usize,
    /// Configuration file of the node.
    pub config: PathBuf,
    /// File to which the node's log is appended.
    pub log: PathBuf,
    /// The programs to start.
    pub programs: Programs,
    /// Delay until the front is notified that the process serves or has exited.
    pub front_delay: Duration,
}

/// One node, whose process can be stopped and started again.
pub struct NodeProcess {
    pub(super) spec: ProcessSpec,
    /// Name of the node in its configuration and in the event log.
    pub name: String,
    pub(super) monitor: Rc<RuleMonitor>,
    event_log: Rc<EventLog>,
    /// The node as clients see it.
    pub endpoint: Rc<NodeEndpoint>,
    state: Cell<ProcessState>,
    state_changed: Notify,
    pid: Cell<Option<Pid>>,
    /// The rig has sent the process a signal to end, so its exit breaks no rule.
    exit_expected: Cell<bool>,
    /// Number of processes started so far.
    start_count: Cell<u64>,
    /// Last line of the node's log.
    pub(super) last_log_line: RefCell<String>,
}

impl NodeProcess {
    /// Creates a node whose process is not started yet.
    pub fn new(
        spec: ProcessSpec,
        monitor: Rc<RuleMonitor>,
        event_log: Rc<EventLog>,
        endpoint: Rc<NodeEndpoint>,
    ) -> Rc<NodeProcess> {
        Rc::new(NodeProcess {
            name: format!("node-{}", spec.node),
            spec,
            monitor,
            event_log,
            endpoint,
            state: Cell::new(ProcessState::Down),
            state_changed: Notify::new(),
            pid: Cell::new(None),
            exit_expected: Cell::new(false),
            start_count: Cell::new(0),
            last_log_line: RefCell::default(),
        })
    }

    /// Returns the index of the node.
    pub fn node(&self) -> usize {
        self.spec.node
    }

    /// Returns the state of the process.
    pub fn state(&self) -> ProcessState {
        self.state.get()
    }

    /// Returns the number of processes started so far, which tells one process from the previous.
    pub fn start_count(&self) -> u64 {
        self.start_count.get()
    }

    pub(super) fn record(&self, message: impl Into<String>) {
        self.event_log.record(&self.name, message);
    }

    pub(super) fn set_state(&self, state: ProcessState) {
        self.state.set(state);
        self.state_changed.notify_waiters();
    }

    /// Waits until `wanted` returns true for the state.
    pub async fn wait_for(&self, wanted: impl Fn(ProcessState) -> bool) {
        loop {
            let changed = self.state_changed.notified();
            if wanted(self.state.get()) {
                return;
            }
            changed.await;
        }
    }

    /// Starts a new process, which keeps no state of the previous one. Does nothing while there is
    /// a process.
    pub fn start(self: &Rc<NodeProcess>) -> io::Result<()> {
        if self.state.get() != ProcessState::Down {
            return Ok(());
        }
        let mut child = self.command().spawn()?;
        self.pid
            .set(child.id().and_then(|id| Pid::from_raw(id as i32)));
        self.exit_expected.set(false);
        self.start_count.set(self.start_count.get() + 1);
        self.monitor.record_node_restart(self.spec.node);
        self.set_state(ProcessState::Starting);
        self.record(format!(
            "process {} started, start number {}",
            child.id().unwrap_or(0),
            self.start_count.get()
        ));
        if let Some(log) = child.stderr.take() {
            spawn_local(self.clone().follow_log(log));
        }
        spawn_local(self.clone().wait_for_exit(child));
        Ok(())
    }

    fn command(&self) -> Command {
        let programs = &self.spec.programs;
        let mut command = Command::new(&programs.lab);
        command
            .arg("guard")
            .arg(std::process::id().to_string())
            .arg(&programs.node)
            .args(&programs.args);
        for name in CLEARED_VARIABLES {
            command.env_remove(name);
        }
        command
            .env("LB_CONFIG", &self.spec.config)
            .env("LB_LOG", "json")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        command
    }

    async fn wait_for_exit(self: Rc<NodeProcess>, mut child: Child) {
        let status = child.wait().await;
        self.pid.set(None);
        self.endpoint
            .incarnation
            .set(self.endpoint.incarnation.get() + 1);
        let status = status.map_or_else(|e| e.to_string(), |status| status.to_string());
        self.record(format!("process exited: {status}"));
        if !self.exit_expected.get() {
            self.monitor.record_platform_violation(&format!(
                "{} exited by itself, {status}; last log line: {}",
                self.name,
                self.last_log_line.borrow()
            ));
        }
        self.set_state(ProcessState::Down);
        self.notify_front(false, self.spec.front_delay);
    }

    /// Puts the node into the front's rotation, or takes it out, after the delay, unless the state
    /// has changed back by then.
    pub(super) fn notify_front(self: &Rc<NodeProcess>, up: bool, delay: Duration) {
        let process = self.clone();
        spawn_local(async move {
            sleep(delay).await;
            let state = process.state.get();
            if up == matches!(state, ProcessState::Up | ProcessState::Paused) {
                process.endpoint.in_rotation.set(up);
            }
        });
    }

    fn signal(&self, signal: Signal) -> bool {
        self.pid
            .get()
            .is_some_and(|pid| kill_process(pid, signal).is_ok())
    }

    /// Kills the process with SIGKILL. Its open API calls are lost; the rules exempt them.
    pub fn kill(&self) {
        self.exit_expected.set(true);
        self.monitor.exempt_node(self.spec.node);
        if self.signal(Signal::KILL) {
            self.record("killed");
            self.set_state(ProcessState::Stopping);
        }
    }

    /// Starts a graceful shutdown with SIGTERM. The process must still respond to its open API
    /// calls.
    pub fn terminate(self: &Rc<NodeProcess>) {
        self.exit_expected.set(true);
        if self.signal(Signal::TERM) {
            self.record("sent SIGTERM");
            self.set_state(ProcessState::Stopping);
            self.notify_front(false, SHUTDOWN_NOTICE_DELAY);
        }
    }

    /// Suspends the process with SIGSTOP until it is resumed.
    pub fn pause(&self) {
        if self.state.get() == ProcessState::Up && self.signal(Signal::STOP) {
            self.monitor.exempt_node(self.spec.node);
            self.record("paused");
            self.set_state(ProcessState::Paused);
        }
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self) {
        if self.state.get() == ProcessState::Paused && self.signal(Signal::CONT) {
            // API calls accepted during the pause stay exempt from the rules: the process could
            // not see them in time.
            self.monitor.end_exemption(self.spec.node);
            self.record("resumed");
            self.set_state(ProcessState::Up);
        }
    }
}
