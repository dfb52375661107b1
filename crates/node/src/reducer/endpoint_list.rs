//! Applies endpoint lists from discovery, and operators' drain overrides on top of them. An
//! override can only drain: attempts go only to servers that the list itself names in service.
use std::collections::HashSet;
use std::net::SocketAddr;

use quartzhub_membership::ServerId;
use quartzhub_policy::{Endpoint, EndpointState, ServerIndex, Time};
use quartzhub_settings::{index_of, EndpointEntry, NameTable, Settings};
use rustc_hash::FxHashMap;

use super::listed_endpoint::ListedEndpoint;
use super::servers::{Server, Servers};
use crate::config::EndpointListEntry;

/// The setting by which delisted servers (dropped from the list without having drained) stay in
/// use.
const DELISTED_ENDPOINTS_STAY_USABLE: &str = "invariants.dropped_stay_open";
/// The setting that gives the index of the origin's machine kind.
const ORIGIN_KIND: &str = "extra.origin_kind";
/// The name of the origin's machine kind if the settings give no index.
const DEFAULT_ORIGIN_KIND: &str = "origin";
/// The state in the endpoint list of a server that is in use. In any state other than this and
/// `TERMINATED`, also one unknown to this version, a server gets no new attempts.
const IN_SERVICE: &str = "in_service";
/// The state in the endpoint list of a server that is gone.
const TERMINATED: &str = "terminated";

/// The result of applying an entry of the list.
pub(super) struct AppliedEntry<'a> {
    pub(super) endpoint: Endpoint<'a>,
    /// The server has another address or another process than before.
    pub(super) restarted: bool,
}

/// A server whose state changes without an entry for it in the list.
pub(super) struct ChangedServer {
    pub(super) index: ServerIndex,
    pub(super) id: String,
}

impl ChangedServer {
    fn new(index: ServerIndex, servers: &Servers) -> ChangedServer {
        ChangedServer {
            index,
            id: servers.id(index).to_owned(),
        }
    }
}

/// The rules that decide, together with the entries of the list, on the state of each server.
pub(super) struct EndpointListRules {
    /// Servers under an operator's drain override.
    drained: HashSet<ServerId>,
    /// Index of the origin's machine kind.
    origin_kind: usize,
    delisted_endpoints_stay_usable: bool,
}

/// Returns the index of the origin's machine kind: the one in the settings, or that of its default
/// name.
fn origin_kind(settings: &Settings, names: &NameTable) -> usize {
    let configured = settings.number(ORIGIN_KIND, -1.0);
    if configured >= 0.0 {
        configured as usize
    } else {
        index_of(&names.kinds, Some(DEFAULT_ORIGIN_KIND))
    }
}

/// Returns a server's state with the overrides applied. The origin has no replacement, so an
/// override never drains it.
fn effective_state(listed: EndpointState, is_origin: bool, is_drained: bool) -> EndpointState {
    if listed == EndpointState::Ready && is_drained && !is_origin {
        EndpointState::Draining
    } else {
        listed
    }
}

/// Returns when the server of an entry started. An unchanged Unix time is not converted again:
/// otherwise a step of the wall clock would look like a restart of the server.
fn start_time(
    server: &Server,
    entry: &EndpointListEntry,
    from_unix: &impl Fn(Option<f64>) -> Option<Time>,
) -> Option<Time> {
    match &server.listed {
        Some(listed) if listed.started_unix_ms == entry.started_ms => listed.started,
        _ => from_unix(entry.started_ms),
    }
}

impl EndpointListRules {
    pub(super) fn new(settings: &Settings, names: &NameTable) -> EndpointListRules {
        EndpointListRules {
            drained: HashSet::new(),
            origin_kind: origin_kind(settings, names),
            delisted_endpoints_stay_usable: settings.flag(DELISTED_ENDPOINTS_STAY_USABLE),
        }
    }

    pub(super) fn reconfigure(&mut self, settings: &Settings, names: &NameTable) {
        self.origin_kind = origin_kind(settings, names);
        self.delisted_endpoints_stay_usable = settings.flag(DELISTED_ENDPOINTS_STAY_USABLE);
    }

    /// Marks all servers as removed before a complete list is applied. The entries of that list
    /// then set the state of each server that they name.
    pub(super) fn mark_all_removed(&self, servers: &mut Servers) {
        let stay_usable = self.delisted_endpoints_stay_usable;
        for (_, server) in servers.iter_mut() {
            server.state = server.state.after_removal(stay_usable);
            if let Some(listed) = &mut server.listed {
                listed.state = listed.state.after_removal(stay_usable);
            }
        }
    }

    /// Applies an entry of the list. `from_unix` converts the Unix time of the server's start.
    pub(super) fn apply_entry<'a>(
        &self,
        entry: &'a EndpointListEntry,
        names: &NameTable,
        servers: &mut Servers,
        from_unix: &impl Fn(Option<f64>) -> Option<Time>,
    ) -> AppliedEntry<'a> {
        let index = servers.intern(&entry.id);
        let id = ServerId::from_endpoint_id(&entry.id);
        let server = &mut servers[index];
        let listed_state = self.listed_state(server, entry);
        let started = start_time(server, entry, from_unix);
        let restarted = server.update_process(entry.addr, started);
        // A kind that the settings do not name changes nothing. Otherwise the node would address
        // an origin as a cache while a deployment has replaced the settings but not the list yet.
        let kind = index_of(&names.kinds, entry.kind.as_deref());
        if kind != usize::MAX {
            server.is_origin = kind == self.origin_kind;
        }
        server.state = effective_state(listed_state, server.is_origin, self.drained.contains(&id));

        let endpoint = self.policy_endpoint(index, entry, server, names);
        let listed = ListedEndpoint::new(id, listed_state, &endpoint, entry.started_ms);
        server.listed = Some(listed);
        AppliedEntry {
            endpoint,
            restarted,
        }
    }

    /// Returns an entry in the form passed to the policy.
    fn policy_endpoint<'a>(
        &self,
        index: ServerIndex,
        entry: &'a EndpointListEntry,
        server: &Server,
        names: &NameTable,
    ) -> Endpoint<'a> {
        let is_terminated = entry.state.as_deref() == Some(TERMINATED);
        let named = EndpointEntry {
            id: &entry.id,
            zone: entry.zone.as_deref(),
            kind: entry.kind.as_deref(),
            cell: entry.cell,
            // The policy gets a termination as the list states it, even if the server stays in use.
            state: if is_terminated {
                EndpointState::Gone
            } else {
                server.state
            },
            scale: entry.weight,
            started: server.started,
        };
        let mut endpoint = names.endpoint(index, named);
        if server.is_origin {
            endpoint.kind = self.origin_kind as u32;
        }
        endpoint
    }

    /// Returns the state that an entry gives its server. It depends on the state that the list
    /// gave the server before.
    fn listed_state(&self, server: &Server, entry: &EndpointListEntry) -> EndpointState {
        let previous = server
            .listed
            .as_ref()
            .map_or(EndpointState::Gone, |listed| listed.state);
        match entry.state.as_deref() {
            Some(IN_SERVICE) => EndpointState::Ready,
            Some(TERMINATED) => previous.after_removal(self.delisted_endpoints_stay_usable),
            _ => EndpointState::Draining,
        }
    }

    /// Replaces all drain overrides by these. Returns the servers whose state changes.
    pub(super) fn override_drained(
        &mut self,
        drained: HashSet<ServerId>,
        servers: &mut Servers,
    ) -> Vec<ChangedServer> {
        self.drained = drained;
        let mut changed = Vec::new();
        for (index, server) in servers.iter_mut() {
            let Some(listed) = &server.listed else {
                continue;
            };
            let is_drained = self.drained.contains(&listed.id);
            let state = effective_state(listed.state, server.is_origin, is_drained);
            if state != server.state {
                server.state = state;
                changed.push(index);
            }
        }
        changed
            .into_iter()
            .map(|index| ChangedServer::new(index, servers))
            .collect()
    }
}

/// Marks servers as gone that the list does not report as gone, but whose address now belongs to
/// one of `endpoints`. Without this, attempts for the earlier server would be written to the new
/// one. Returns the servers marked.
pub(super) fn remove_superseded(
    endpoints: &[Endpoint],
    servers: &mut Servers,
) -> Vec<ChangedServer> {
    let ready_by_addr: FxHashMap<SocketAddr, ServerIndex> = endpoints
        .iter()
        .filter(|endpoint| endpoint.state == EndpointState::Ready)
        .filter_map(|endpoint| Some((servers[endpoint.server].addr?, endpoint.server)))
        .collect();
    let is_in_update =
        |index: ServerIndex| endpoints.iter().any(|endpoint| endpoint.server == index);
    let mut superseded = Vec::new();
    for (index, server) in servers.iter_mut() {
        if server.state == EndpointState::Gone || server.is_origin {
            continue;
        }
        let successor = server.addr.and_then(|addr| ready_by_addr.get(&addr));
        if successor.is_none_or(|successor| *successor == index) || is_in_update(index) {
            continue;
        }
        server.state = EndpointState::Gone;
        if let Some(listed) = &mut server.listed {
            listed.state = EndpointState::Gone;
        }
        superseded.push(index);
    }
    superseded
        .into_iter()
        .map(|index| ChangedServer::new(index, servers))
        .collect()
}

/// Returns the index of the listed server with this id.
pub(super) fn find_server(servers: &Servers, id: ServerId) -> Option<ServerIndex> {
    let has_id = |server: &Server| server.listed.as_ref().is_some_and(|listed| listed.id == id);
    servers
        .iter()
        .find(|(_, server)| has_id(server))
        .map(|(index, _)| index)
}
