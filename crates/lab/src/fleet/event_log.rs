//! The event log of a run, and the membership changes that can be read from it.
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use quartzhub_policy::Time;
use serde::Serialize;

use crate::rule_monitor::RuleMonitor;

/// Most events that are kept; later ones are discarded.
const MAX_EVENTS: usize = 20_000;

/// One event of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Event {
    /// Time of recording, in milliseconds from the start of the run; negative during the setup.
    pub at_ms: f64,
    /// The process or the part of the rig that the event concerns.
    #[serde(rename = "who")]
    pub source: String,
    /// Description of the event, or the message that the process logged.
    #[serde(rename = "what")]
    pub message: String,
}

/// The events of a run, in the order of recording.
pub struct EventLog {
    monitor: Rc<RuleMonitor>,
    start: RefCell<Time>,
    events: RefCell<Vec<Event>>,
}

impl EventLog {
    /// Creates an empty log whose time starts now.
    pub fn new(monitor: Rc<RuleMonitor>) -> Rc<EventLog> {
        let start = RefCell::new(monitor.now());
        Rc::new(EventLog {
            monitor,
            start,
            events: RefCell::default(),
        })
    }

    /// Restarts the log's time at 0; the events recorded before get negative times.
    pub fn restart_clock(&self) {
        let now = self.monitor.now();
        let shift_ms = (now - self.start()).0 as f64 / 1000.0;
        self.events
            .borrow_mut()
            .iter_mut()
            .for_each(|event| event.at_ms -= shift_ms);
        *self.start.borrow_mut() = now;
    }

    /// Returns the monitor's time at the log's time 0.
    pub fn start(&self) -> Time {
        *self.start.borrow()
    }

    /// Records an event with the current time.
    pub fn record(&self, source: &str, message: impl Into<String>) {
        let at_ms = (self.monitor.now() - self.start()).0 as f64 / 1000.0;
        let mut events = self.events.borrow_mut();
        if events.len() < MAX_EVENTS {
            events.push(Event {
                at_ms,
                source: source.to_owned(),
                message: message.into(),
            });
        }
    }

    /// Returns the events recorded so far.
    pub fn events(&self) -> Vec<Event> {
        self.events.borrow().clone()
    }
}

/// Formats the events as lines of text.
pub fn format_events(events: &[Event]) -> String {
    let line = |event: &Event| {
        format!(
            "{:9.3} s  {:<10} {}\n",
            event.at_ms / 1000.0,
            event.source,
            event.message
        )
    };
    events.iter().map(line).collect()
}

/// A change of a node's membership state, as logged by another node.
struct StateChange<'a> {
    node: &'a str,
    from: &'a str,
    to: &'a str,
}

impl StateChange<'_> {
    /// Parses the node's log line "membership: node {node} was {from}, is {to}".
    fn parse(message: &str) -> Option<StateChange<'_>> {
        let (node, states) = message
            .strip_prefix("membership: node ")?
            .split_once(" was ")?;
        let (from, to) = states.split_once(", is ")?;
        Some(StateChange { node, from, to })
    }

    /// Whether the change removed the node from the members or added it again; adding it for the
    /// first time does not count.
    fn is_membership_change(&self) -> bool {
        let is_member = |state: &str| state.starts_with("alive") || state.starts_with("suspect");
        is_member(self.from) != is_member(self.to) && !self.from.starts_with("absent")
    }
}

/// The membership changes of one node as logged by one observer.
pub struct Flapping {
    /// Number of times that the observer removed the node from the members or added it again.
    pub changes: usize,
    /// Observer, node and number of changes, for a verdict line.
    pub description: String,
}

/// Returns the pair of an observer and a node with the most membership changes.
pub fn worst_flapping(events: &[Event]) -> Flapping {
    let mut counts = BTreeMap::<(&str, &str), usize>::new();
    for event in events {
        let Some(change) = StateChange::parse(&event.message) else {
            continue;
        };
        if change.is_membership_change() {
            *counts.entry((&event.source, change.node)).or_default() += 1;
        }
    }
    match counts.into_iter().max_by_key(|pair| pair.1) {
        Some(((observer, node), changes)) => Flapping {
            changes,
            description: format!("{observer} removed or re-added node-{node} {changes} times"),
        },
        None => Flapping {
            changes: 0,
            description: "no node removed another".to_owned(),
        },
    }
}
