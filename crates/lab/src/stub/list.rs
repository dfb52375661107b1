//! The endpoint list with the changes that faults of the stub servers have made, in discovery's
//! format.
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use quartzhub_policy::Time;

use super::StubServers;

/// State of a server in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// The server accepts attempts.
    InService,
    /// The server drains.
    Terminating,
    /// The server has been removed from the list.
    Terminated,
}

impl ListedState {
    /// Returns the state's name in the list.
    pub fn name(self) -> &'static str {
        match self {
            ListedState::InService => "in_service",
            ListedState::Terminating => "terminating",
            ListedState::Terminated => "terminated",
        }
    }
}

/// One change of the endpoint list.
#[derive(Debug, Clone, Copy)]
pub struct EndpointListChange {
    /// Index of the server that changed.
    pub server: usize,
    /// The server's new state.
    pub state: ListedState,
    /// When the server was started, in milliseconds of Unix time; 0 unless it is in service.
    pub started_ms: u64,
    /// When the change was listed.
    pub at: Time,
}

impl StubServers {
    /// Returns the current endpoint list in discovery's format.
    pub fn endpoint_list(&self, addr: impl Fn(usize) -> SocketAddr) -> serde_json::Value {
        let changes = self.list_changes.borrow();
        self.endpoint_list_at(changes.len(), addr)
    }

    /// Returns the endpoint list as it was after the first `change_count` changes. Its version is
    /// that count plus one.
    pub fn endpoint_list_at(
        &self,
        change_count: usize,
        addr: impl Fn(usize) -> SocketAddr,
    ) -> serde_json::Value {
        let changes = self.list_changes.borrow();
        let entries = (0..self.servers.len()).filter_map(|server| {
            let last = changes[..change_count]
                .iter()
                .rev()
                .find(|change| change.server == server);
            let (state, started_ms) = last.map_or((ListedState::InService, 0), |last| {
                (last.state, last.started_ms)
            });
            (state != ListedState::Terminated)
                .then(|| self.endpoint_entry(server, addr(server), state, started_ms))
        });
        let entries: Vec<_> = entries.collect();
        serde_json::json!({"version": change_count + 1, "full": true, "servers": entries})
    }

    /// Returns a server's entry of the list.
    pub fn endpoint_entry(
        &self,
        server: usize,
        addr: SocketAddr,
        state: ListedState,
        started_ms: u64,
    ) -> serde_json::Value {
        let kind = match server == self.origin_index() {
            true => "origin",
            false => "cache",
        };
        serde_json::json!({"id": self.server_id(server), "addr": addr.to_string(), "kind": kind, "zone": "lab", "cell": 0,
                           "state": state.name(), "started_ms": started_ms})
    }

    /// Returns a server's id in the list.
    pub fn server_id(&self, server: usize) -> String {
        match server == self.origin_index() {
            true => "origin".to_owned(),
            false => format!("cache-{server}"),
        }
    }

    /// Records a change and notifies the watches of the list.
    pub(super) fn record_change(&self, server: usize, state: ListedState) {
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let started_ms = match state {
            ListedState::InService => unix_time.as_millis() as u64,
            _ => 0,
        };
        let at = self.monitor.now();
        self.list_changes.borrow_mut().push(EndpointListChange {
            server,
            state,
            started_ms,
            at,
        });
        self.list_changed.notify_waiters();
    }
}
