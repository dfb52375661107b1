//! The endpoint list that this node uses: what discovery says of each server, and operators' drain overrides on top of
//! it. An override only drains: attempts go only to servers that the list itself names in service.
use std::collections::HashSet;
use std::net::SocketAddr;

use quartzhub_membership::ServerId;
use quartzhub_policy::{Endpoint, EndpointState, ServerIndex, Time};
use quartzhub_settings::{index_of, EndpointEntry, NameTable, Settings};
use rustc_hash::FxHashMap;

use super::listed_endpoint::ListedEndpoint;
use super::servers::{Server, Servers};
use crate::config::EndpointListEntry;

/// The setting by which a server that the list drops without having drained may still be used.
const DROPPED_ENDPOINTS_STAY_USABLE: &str = "invariants.dropped_stay_open";
/// The setting that says which of the machine kinds is the origin's.
const ORIGIN_KIND: &str = "extra.origin_kind";
/// The origin's machine kind where the settings do not say which it is.
const DEFAULT_ORIGIN_KIND: &str = "origin";
/// States of the endpoint list. A server in one that this build does not know gets nothing new.
const IN_SERVICE: &str = "in_service";
const TERMINATED: &str = "terminated";

/// An entry of the list that was applied.
pub(super) struct AppliedEntry<'a> {
    pub(super) endpoint: Endpoint<'a>,
    /// The server is at another address, or its process is another one.
    pub(super) restarted: bool,
}

/// A server whose state changes although no entry of the list says so.
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

/// What decides on a server's state, apart from its entry in the list.
pub(super) struct EndpointListRules {
    /// Servers that operators have ordered drained.
    drained: HashSet<ServerId>,
    /// Index of the origin's machine kind.
    origin_kind: usize,
    dropped_endpoints_stay_usable: bool,
}

/// The index of the origin's machine kind: as the settings say, or by its name.
fn origin_kind(settings: &Settings, names: &NameTable) -> usize {
    let configured = settings.number(ORIGIN_KIND, -1.0);
    if configured >= 0.0 {
        configured as usize
    } else {
        index_of(&names.kinds, Some(DEFAULT_ORIGIN_KIND))
    }
}

/// The state with the overrides applied. The origin has no replacement, so it is never drained by an override.
fn overridden(listed: EndpointState, is_origin: bool, is_drained: bool) -> EndpointState {
    if listed == EndpointState::Ready && is_drained && !is_origin {
        EndpointState::Draining
    } else {
        listed
    }
}

/// When the server of an entry started. Guards against a server that seems to start again when the wall clock is
/// stepped: the time is converted once.
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
            dropped_endpoints_stay_usable: settings.flag(DROPPED_ENDPOINTS_STAY_USABLE),
        }
    }

    pub(super) fn reconfigure(&mut self, settings: &Settings, names: &NameTable) {
        self.origin_kind = origin_kind(settings, names);
        self.dropped_endpoints_stay_usable = settings.flag(DROPPED_ENDPOINTS_STAY_USABLE);
    }

    /// A complete list is to follow: until it names them, all servers are removed.
    pub(super) fn mark_all_removed(&self, servers: &mut Servers) {
        let stay_usable = self.dropped_endpoints_stay_usable;
        for (_, server) in servers.iter_mut() {
            server.state = server.state.after_removal(stay_usable);
            if let Some(listed) = &mut server.listed {
                listed.state = listed.state.after_removal(stay_usable);
            }
        }
    }

    /// Applies an entry of the list. `started` converts the Unix time of the server's start.
    pub(super) fn apply_entry<'a>(
        &self,
        entry: &'a EndpointListEntry,
        names: &NameTable,
        servers: &mut Servers,
        started: &impl Fn(Option<f64>) -> Option<Time>,
    ) -> AppliedEntry<'a> {
        let index = servers.intern(&entry.id);
        let id = ServerId::named(&entry.id);
        let server = &mut servers[index];
        let listed_state = self.listed_state(server, entry);
        let started = start_time(server, entry, started);
        let restarted = server.update_process(entry.addr, started);
        // Guards against speaking to an origin as to a cache while the settings are those of the deployment to
        // come and the list is still the old one: a kind without a name changes nothing.
        let kind = index_of(&names.kinds, entry.kind.as_deref());
        if kind != usize::MAX {
            server.is_origin = kind == self.origin_kind;
        }
        server.state = overridden(listed_state, server.is_origin, self.drained.contains(&id));

        let endpoint = self.policy_endpoint(index, entry, server, names);
        let listed = ListedEndpoint::new(id, listed_state, &endpoint, entry.started_ms);
        server.listed = Some(listed);
        AppliedEntry {
            endpoint,
            restarted,
        }
    }

    /// An entry as the policy is told of it.
    fn policy_endpoint<'a>(
        &self,
        index: ServerIndex,
        entry: &'a EndpointListEntry,
        server: &Server,
        names: &NameTable,
    ) -> Endpoint<'a> {
        let is_terminated = entry.state.as_deref() == Some(TERMINATED);
        let named = EndpointEntry {
            name: &entry.id,
            zone: entry.zone.as_deref(),
            kind: entry.kind.as_deref(),
            cell: entry.cell,
            // The policy is told of the loss as it stands in the list.
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

    /// The state that an entry gives its server, by the state that the list gave it before.
    fn listed_state(&self, server: &Server, entry: &EndpointListEntry) -> EndpointState {
        let before = server
            .listed
            .as_ref()
            .map_or(EndpointState::Gone, |listed| listed.state);
        match entry.state.as_deref() {
            Some(IN_SERVICE) => EndpointState::Ready,
            Some(TERMINATED) => before.after_removal(self.dropped_endpoints_stay_usable),
            _ => EndpointState::Draining,
        }
    }

    /// Applies these drain overrides, and no others. Returns the servers whose state changes by it.
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
            let state = overridden(listed.state, server.is_origin, is_drained);
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

/// Removes servers whose address one of `endpoints` has now, although the list does not say that they have gone.
/// Guards against writing to the new server what was meant for the one before.
pub(super) fn remove_superseded(
    endpoints: &[Endpoint],
    servers: &mut Servers,
) -> Vec<ChangedServer> {
    let ready_by_addr: FxHashMap<SocketAddr, ServerIndex> = endpoints
        .iter()
        .filter(|endpoint| endpoint.state == EndpointState::Ready)
        .filter_map(|endpoint| Some((servers[endpoint.server].addr?, endpoint.server)))
        .collect();
    let is_named = |index: ServerIndex| endpoints.iter().any(|endpoint| endpoint.server == index);
    let mut superseded = Vec::new();
    for (index, server) in servers.iter_mut() {
        if server.state == EndpointState::Gone || server.is_origin {
            continue;
        }
        let successor = server.addr.and_then(|addr| ready_by_addr.get(&addr));
        if successor.is_none_or(|successor| *successor == index) || is_named(index) {
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

/// The index of a listed server.
pub(super) fn position(servers: &Servers, id: ServerId) -> Option<ServerIndex> {
    let is_named = |server: &Server| server.listed.as_ref().is_some_and(|listed| listed.id == id);
    servers
        .iter()
        .find(|(_, server)| is_named(server))
        .map(|(index, _)| index)
}
