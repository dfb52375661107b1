//! The endpoint list: what its updates change.
use crate::actions::PolicyActions;
use crate::balancer::Balancer;
use crate::endpoint::{Endpoint, EndpointState, ServerIndex};
use crate::hash::{hash, unit_position};
use crate::server::Server;
use crate::time::{Span, Time};
use crate::timer::TICK_INTERVAL;

/// Whether an update names ready servers of a role, and any that was known before.
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

/// What an update changes for the servers of each role.
#[derive(Default)]
struct FleetChanges {
    caches: FleetChange,
    origins: FleetChange,
}

impl FleetChanges {
    fn of_role(&mut self, is_origin: bool) -> &mut FleetChange {
        if is_origin {
            &mut self.origins
        } else {
            &mut self.caches
        }
    }
}

/// A removal from the endpoint list, as far as it is believed.
#[derive(Debug, Clone, Copy)]
struct Removal {
    /// A server that the list drops without having drained may still be used.
    stays_usable: bool,
    /// Success ratio of the servers dropped before, by which a server's own evidence is cut.
    evidence_kept_ratio: f64,
    now: Time,
}

impl Balancer {
    /// The node starts; to be called once, before anything else.
    pub fn start(&mut self, now: Time, actions: &mut impl PolicyActions) {
        self.now = now;
        self.last_tick = now;
        self.admission.updated = now;
        self.endpoint_list.start(now, &mut self.rng);
        actions.set_timer(TICK_INTERVAL);
    }

    /// A poll for the endpoint list failed, or no changes will come any more; the list as it is
    /// known stays.
    pub fn on_endpoint_list_failed(&mut self, now: Time) {
        self.endpoint_list.record_failure(now, &mut self.rng);
    }

    /// An update of the endpoint list. `complete`: what it does not name is gone.
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
            stays_usable: self.dropped_endpoints_stay_usable,
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
                changes.of_role(is_origin).observe(is_known);
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

    /// Guards against estimates of servers that are all others now: after a move the traffic is
    /// what stays the same.
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
        // Guards against an old list that comes again: a process is never older than it was.
        let restarted = server.started < endpoint.started;
        if restarted || endpoint.state != EndpointState::Ready {
            // Guards against taking a dead cache for a full one.
            let refused = std::mem::take(&mut server.refused_connections);
            self.idle_connections.forget_refused(refused);
        }
        // One that comes back keeps its moving average; only one never seen gets a new one.
        if !server.is_known() {
            let position = unit_position(hash(endpoint.name));
            server.initial_position = Some(position);
            server.moving_average = position;
        }
        if restarted {
            // Drawn, so that of hundreds of nodes some use it at once.
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

    /// Collects the ready servers by their role.
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
    /// The endpoint list calls it gone. Guards against lists that are wrong, cut short, empty or
    /// old: where only draining binds it stays usable, and its answers tell whether it runs.
    fn delist(&mut self, removal: Removal) {
        self.state = self.state.after_removal(removal.stays_usable);
        if self.delisted_since.is_none() {
            self.delisted_since = Some(removal.now);
            self.evidence.good *= removal.evidence_kept_ratio;
            self.slow_start_credit = 0.0;
            self.credit_updated = removal.now;
        }
    }

    /// Its process is another one: what was learnt of the former says nothing.
    fn restart(&mut self, started: Option<Time>, credit: f64, start_time_skew: Span, now: Time) {
        self.evidence = Default::default();
        self.silent_since = None;
        self.capacity = f64::INFINITY;
        self.slow_start_credit = credit;
        self.credit_updated = now;
        // Guards against clocks that differ: it has started before it is first named here.
        self.slow_start_from = started.map(|at| at.max(now.min(at + start_time_skew)));
    }
}
