//! The periodic tick: decay of learnt values, recovery of limits, and release of unused entries.
use crate::actions::PolicyActions;
use crate::balancer::Balancer;
use crate::endpoint::{EndpointState, ServerIndex};
use crate::latency_baseline::LatencyBaseline;
use crate::server::Server;
use crate::time::{Span, Time};

/// Interval between ticks: a small fraction of any latency objective.
pub(crate) const TICK_INTERVAL: Span = Span::ms(20);
/// Least time that is assumed between two ticks, so that rates can be divided by it.
const MIN_ELAPSED_SECONDS: f64 = 1e-6;
/// Least half-life of evidence; short compared to typical faults.
const MIN_EVIDENCE_HALF_LIFE_SECONDS: f64 = 2.0;
/// Largest half-life of evidence, at nodes with few calls.
const MAX_EVIDENCE_HALF_LIFE_SECONDS: f64 = 10.0;
/// Half-life of evidence in responses of one cache.
const EVIDENCE_HALF_LIFE_RESPONSES: f64 = 3.0;
/// Least responses per second of one cache that the half-life is computed with.
const MIN_RESPONSES_PER_SECOND: f64 = 1e-3;
/// How long the state of a gone server is kept, so that it is still known if it restarts.
const GONE_SERVER_RETENTION: Span = Span::ms(30_000);

impl Balancer {
    /// Handles the expiry of the timer set by `PolicyActions::set_timer`.
    pub fn on_timer(&mut self, now: Time, actions: &mut impl PolicyActions) {
        let elapsed_seconds = (now - self.last_tick).seconds().max(MIN_ELAPSED_SECONDS);
        self.now = now;
        self.last_tick = now;
        actions.set_timer(TICK_INTERVAL);
        let kept_ratio = self.kept_evidence_ratio(elapsed_seconds);
        self.decay_and_release_servers(kept_ratio, actions);
        self.remove_unready();
        self.shrink_tables();
        self.update_load(elapsed_seconds);
        self.key_health.tick(elapsed_seconds, now);
        self.outliers.tick(kept_ratio);
        self.update_origin_path_delay();
        self.idle_connections.close_surplus_idle(
            &self.cache_selector.caches,
            &mut self.servers,
            now,
            actions,
        );
        self.endpoint_list.tick(now, actions);
        self.run_deadlines(actions);
        self.send_queued(actions);
    }

    /// Returns the fraction of evidence that is kept over this time. The half-life grows at nodes
    /// that send each cache few attempts: otherwise each outcome would have decayed before the next
    /// one.
    fn kept_evidence_ratio(&self, elapsed_seconds: f64) -> f64 {
        let caches = self.cache_selector.caches.len().max(1) as f64;
        let responses_per_cache = self.cache_load.responses_per_second / caches;
        let half_life = (EVIDENCE_HALF_LIFE_RESPONSES
            / responses_per_cache.max(MIN_RESPONSES_PER_SECOND))
        .clamp(
            MIN_EVIDENCE_HALF_LIFE_SECONDS,
            MAX_EVIDENCE_HALF_LIFE_SECONDS,
        );
        0.5f64.powf(elapsed_seconds / half_life)
    }

    /// Decays the servers' evidence, and releases servers that have been gone for long.
    fn decay_and_release_servers(&mut self, kept_ratio: f64, actions: &mut impl PolicyActions) {
        let now = self.now;
        let is_expired = |since: Time| now - since > GONE_SERVER_RETENTION;
        for (i, server) in self.servers.iter_mut().enumerate() {
            server.evidence.decay(kept_ratio);
            if server.delisted_since.is_some_and(is_expired) {
                server.state = EndpointState::Gone;
            }
            if server.state != EndpointState::Gone || server.pending_attempts > 0 {
                server.last_listed = now;
            } else if server.is_known() && is_expired(server.last_listed) {
                *server = Server::unknown();
                actions.release_server(ServerIndex(i));
            }
        }
    }

    fn remove_unready(&mut self) {
        let servers = &self.servers;
        let is_ready = |server: &ServerIndex| servers[server.0].state == EndpointState::Ready;
        self.cache_selector.caches.retain(is_ready);
        self.origin.servers.retain(is_ready);
    }

    /// Shrinks the tables to their used part, so that they do not keep the size of the peak load.
    fn shrink_tables(&mut self) {
        let last_server = self.servers.iter().rposition(Server::is_known);
        self.servers.truncate(last_server.map_or(0, |i| i + 1));
        let last_call = self.calls.iter().rposition(|call| call.live);
        self.calls.truncate(last_call.map_or(0, |i| i + 1));
    }

    /// Updates the means of the load, and the limits that depend on them.
    fn update_load(&mut self, elapsed_seconds: f64) {
        self.cache_load
            .tick(elapsed_seconds, self.cache_selector.caches.len());
        let queueing_delay_ratio = self
            .products
            .iter()
            .enumerate()
            .map(|(index, product)| {
                self.cache_load
                    .queueing_delay_ratio(index, product.latency_objective)
            })
            .fold(0.0, f64::max);
        self.admission.tick(queueing_delay_ratio);
        self.origin.limiter.recover(elapsed_seconds);
        self.origin.write_limiter.recover(elapsed_seconds);
        let tick = |latencies: &mut LatencyBaseline| latencies.tick(elapsed_seconds);
        tick(&mut self.origin.latencies.reads);
        tick(&mut self.origin.latencies.writes);
        self.cache_load.latencies.iter_mut().for_each(tick);
    }

    fn update_origin_path_delay(&mut self) {
        let zone_is_outlier = self.origin.servers.first().is_some_and(|server| {
            let zone = self.servers[server.0].zone;
            self.outliers.zones.is_outlier(zone)
        });
        self.origin.update_path_delay(zone_is_outlier);
    }
}
