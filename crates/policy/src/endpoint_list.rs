//! Handling of updates of the endpoint list.
use crate::actions::PolicyActions;
use crate::balancer::Balancer;
use crate::endpoint::{Endpoint, EndpointState, ServerIndex};
use crate::hash::{hash, unit_position};
use crate::server::Server;
use crate::time::{Span, Time};
use crate::timer::TICK_INTERVAL;

/// Whether an update lists ready servers of a role, and whether any of them was known before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum FleetChange {
    #[default]
    NoneReady,
    AllNew,
    SomeKnown,
}

impl FleetChange {
    fn observe(&mut self, is_known: bool) {
        if is_known || *self == FleetChange::SomeKnown {
            *self = FleetChange::SomeKnown;
        } else {
            *self = FleetChange::AllNew;
        }
    }
}

/// The changes that an update makes to the servers of each role.
#[derive(Default)]
struct FleetChanges {
    caches: FleetChange,
    origins: FleetChange,
}

impl FleetChanges {
    fn for_role(&mut self, is_origin: bool) -> &mut FleetChange {
        if is_origin {
            &mut self.origins
        } else {
            &mut self.caches
        }
    }
}

/// How a removal from the endpoint list applies to a server.
#[derive(Debug, Clone, Copy)]
struct Removal {
    /// Whether a server that was delisted without having drained may still be used.
    stays_usable: bool,
    /// Success ratio of servers delisted earlier; the good outcomes of a newly delisted server are
    /// multiplied by it.
    evidence_kept_ratio: f64,
    now: Time,
}

impl Balancer {
    /// Starts the balancer; must be called once, before any other event.
    pub fn start(&mut self, now: Time, actions: &mut impl PolicyActions) {
        self.now = now;
        self.last_tick = now;
        self.admission.updated = now;
        self.endpoint_list.start(now, &mut self.rng);
        actions.set_timer(TICK_INTERVAL);
    }

    /// Handles a failed poll for the endpoint list, or the end of its subscription. The list as
    /// last received remains in use.
    pub fn on_endpoint_list_failed(&mut self, now: Time) {
        self.endpoint_list.record_failure(now, &mut self.rng);
    }

    /// Handles an update of the endpoint list. If it is `complete`, servers that it does not list
    /// are gone.
    pub fn on_endpoint_list<'a>(
        &mut self,
        now: Time,
        complete: bool,
        endpoints: impl Iterator<Item = Endpoint<'a>>,
        actions: &mut impl PolicyActions,
    ) {
        self.now = now;
        self.endpoint_list.record_update();
        let removal = Removal {
            stays_usable: self.delisted_endpoints_stay_usable,
            evidence_kept_ratio: self.outliers.delisted_success_ratio,
            now,
        };
        if complete {
            for server in &mut self.servers {
                server.delist(removal);
            }
        }
        let had_caches = !self.cache_selector.caches.is_empty();
        let mut changes = FleetChanges::default();
        for endpoint in endpoints {
            let is_origin = self.cache_aside && Some(endpoint.kind) == self.origin_kind;
            if endpoint.state == EndpointState::Ready {
                let known = self.servers.get(endpoint.server.0);
                let is_known = known.is_some_and(Server::is_known);
                changes.for_role(is_origin).observe(is_known);
            }
            self.update_server(&endpoint, is_origin, removal);
        }
        self.collect_ready();
        if complete {
            self.reset_new_fleets(&changes);
        }
        if !had_caches || complete && changes.caches == FleetChange::AllNew {
            self.cache_selector.spread_evenly(&mut self.servers);
        }
        self.send_queued(actions);
    }

    /// Resets the estimates about a role if all of its servers are new: after a migration to other
    /// servers only the traffic stays the same.
    fn reset_new_fleets(&mut self, changes: &FleetChanges) {
        if changes.origins == FleetChange::AllNew {
            self.origin.reset(self.nodes);
        }
        if changes.caches == FleetChange::AllNew {
            self.reset_caches();
        }
    }

    fn update_server(&mut self, endpoint: &Endpoint, is_origin: bool, removal: Removal) {
        let table_size = self.servers.len().max(endpoint.server.0 + 1);
        self.servers.resize_with(table_size, Server::unknown);
        let server = &mut self.servers[endpoint.server.0];
        // A stale list may be received again, but a process never gets an earlier start time.
        let restarted = server.started < endpoint.started;
        if restarted || endpoint.state != EndpointState::Ready {
            // The server refused these connections because it was restarting or had stopped, not
            // because it was full.
            let refused = std::mem::take(&mut server.refused_connections);
            self.idle_connections.forget_refused(refused);
        }
        // A known server that returns keeps its moving average; only an unknown server gets a new
        // one.
        if !server.is_known() {
            let position = unit_position(hash(endpoint.id));
            server.initial_position = Some(position);
            server.moving_average = position;
        }
        if restarted {
            // Random, so that out of hundreds of nodes some use it immediately.
            let credit = self.rng.unit();
            server.restart(endpoint.started, credit, self.start_time_skew, self.now);
        }
        if endpoint.state == EndpointState::Gone {
            server.delist(removal);
        } else {
            server.state = endpoint.state;
            server.delisted_since = None;
        }
        server.is_origin = is_origin;
        server.zone = endpoint.zone;
        server.cell = endpoint.cell;
        server.started = server.started.max(endpoint.started);
        server.scale = if endpoint.scale > 0.0 {
            endpoint.scale
        } else {
            1.0
        };
    }

    /// Sorts the ready servers into caches and origins.
    fn collect_ready(&mut self) {
        let servers = &self.servers;
        let (origins, caches) = (0..servers.len())
            .map(ServerIndex)
            .filter(|server| servers[server.0].state == EndpointState::Ready)
            .partition(|server| servers[server.0].is_origin);
        self.origin.servers = origins;
        self.cache_selector.caches = caches;
    }
}

impl Server {
    /// Records that the endpoint list marks the server as gone or omits it. Lists may be wrong,
    /// truncated, empty or stale: if delisted servers stay usable, its responses show whether it
    /// still runs.
    fn delist(&mut self, removal: Removal) {
        self.state = self.state.after_removal(removal.stays_usable);
        if self.delisted_since.is_none() {
            self.delisted_since = Some(removal.now);
            self.evidence.good *= removal.evidence_kept_ratio;
            self.slow_start_credit = 0.0;
            self.credit_updated = removal.now;
        }
    }

    /// Resets what was learnt about the server, which does not apply to its new process.
    fn restart(&mut self, started: Option<Time>, credit: f64, start_time_skew: Span, now: Time) {
        self.evidence = Default::default();
        self.silent_since = None;
        self.capacity = f64::INFINITY;
        self.slow_start_credit = credit;
        self.credit_updated = now;
        // Clocks may differ, but the server has started before this node first sees it in the list.
        self.slow_start_from = started.map(|at| at.max(now.min(at + start_time_skew)));
    }
}
