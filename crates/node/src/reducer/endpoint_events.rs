//! Events from discovery and operators about servers: endpoint lists and drain overrides.
use std::collections::HashSet;

use quartzhub_membership::ServerId;
use quartzhub_policy::{Endpoint, EndpointState, Time};
use quartzhub_settings::EndpointEntry;
use thiserror::Error;

use super::endpoint_list::{find_server, remove_superseded, ChangedServer};
use super::Reducer;
use crate::config::{EndpointListEntry, EndpointListUpdate};

/// The reason why operators may not drain a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum DrainRejected {
    /// The server is not in this node's endpoint list.
    #[error("this node's list names no such server")]
    UnknownServer,
    /// The server is the origin, which has no replacement.
    #[error("the origin can't be drained")]
    Origin,
    /// Every other cache is draining or gone.
    #[error("no cache in service would be left")]
    LastReadyCache,
}

impl Reducer {
    /// Applies an update of the endpoint list. `from_unix` converts the Unix time of a server's
    /// start.
    pub fn on_endpoint_list(
        &mut self,
        now: Time,
        update: &EndpointListUpdate,
        from_unix: impl Fn(Option<f64>) -> Option<Time>,
    ) {
        self.advance_clock(now);
        if update.full {
            self.endpoint_list_rules
                .mark_all_removed(&mut self.state.servers);
        }
        let mut endpoints = self.apply_entries(&update.servers, &from_unix);
        let superseded = remove_superseded(&endpoints, &mut self.state.servers);
        for server in &superseded {
            // Where the settings keep delisted servers in use, the policy stops using a server only
            // once it is draining, so it gets that state first.
            for state in [EndpointState::Draining, EndpointState::Gone] {
                let entry = EndpointEntry {
                    id: &server.id,
                    state,
                    ..EndpointEntry::default()
                };
                endpoints.push(self.names.endpoint(server.index, entry));
            }
        }
        self.state.close_idle_upstreams_of_unready_servers();
        self.state.release_reserved_upstreams_of_unready_servers();
        self.balancer
            .on_endpoint_list(now, update.full, endpoints.into_iter(), &mut self.state);
        self.report_attempt_events();
    }

    /// Applies the entries of an update, in their order. New servers beyond the limit are ignored,
    /// as discovery could name them without end. Idle upstreams to a server that has restarted are
    /// closed, so that nothing is written to a process that has ended.
    fn apply_entries<'a>(
        &mut self,
        entries: &'a [EndpointListEntry],
        from_unix: &impl Fn(Option<f64>) -> Option<Time>,
    ) -> Vec<Endpoint<'a>> {
        let state = &mut self.state;
        let mut endpoints = Vec::with_capacity(entries.len());
        for entry in entries {
            let known = state.servers.len();
            if known >= state.limits.known_servers && !state.servers.contains(&entry.id) {
                let id = &entry.id;
                tracing::info!(
                    id,
                    known,
                    "discovery: server {id:?} ignored: {known} servers are known, which is the limit"
                );
                continue;
            }
            let applied = self.endpoint_list_rules.apply_entry(
                entry,
                &self.names,
                &mut state.servers,
                from_unix,
            );
            if applied.restarted {
                state.close_idle_upstreams(applied.endpoint.server);
                state.replace_reserved_upstreams(applied.endpoint.server);
            }
            endpoints.push(applied.endpoint);
        }
        endpoints
    }

    /// Replaces all of the operators' drain overrides: these servers are drained, and no others.
    pub fn on_drain_overrides(&mut self, now: Time, drained: HashSet<ServerId>) {
        self.advance_clock(now);
        let changed = self
            .endpoint_list_rules
            .override_drained(drained, &mut self.state.servers);
        if changed.is_empty() {
            return;
        }
        let endpoints: Vec<_> = changed
            .iter()
            .filter_map(|server| self.changed_endpoint(server))
            .collect();
        self.state.close_idle_upstreams_of_unready_servers();
        self.state.release_reserved_upstreams_of_unready_servers();
        self.balancer
            .on_endpoint_list(now, false, endpoints.into_iter(), &mut self.state);
        self.report_attempt_events();
    }

    /// Returns a listed server in the form passed to the policy, in its current state.
    fn changed_endpoint<'a>(&self, changed: &'a ChangedServer) -> Option<Endpoint<'a>> {
        let server = self.state.servers.get(changed.index)?;
        let listed = server.listed.as_ref()?;
        Some(listed.endpoint(changed.index, &changed.id, server.state))
    }

    /// Checks whether operators may drain a server by an override on this node.
    pub fn check_drainable(&self, id: &str) -> Result<(), DrainRejected> {
        let servers = &self.state.servers;
        let Some(index) = find_server(servers, ServerId::from_endpoint_id(id)) else {
            return Err(DrainRejected::UnknownServer);
        };
        if servers[index].is_origin {
            return Err(DrainRejected::Origin);
        }
        let another_is_ready = servers.iter().any(|(other, server)| {
            other != index && server.state == EndpointState::Ready && !server.is_origin
        });
        if another_is_ready {
            Ok(())
        } else {
            Err(DrainRejected::LastReadyCache)
        }
    }

    /// Returns the id of a server that an override names, if this node's list has it.
    pub fn server_id(&self, name: ServerId) -> Option<&str> {
        let servers = &self.state.servers;
        Some(servers.id(find_server(servers, name)?))
    }
}
