//! The limit on idle connections that this node keeps open to caches.
use crate::actions::PolicyActions;
use crate::endpoint::ServerIndex;
use crate::server::Server;
use crate::time::{Span, Time};

/// How long a server keeps an idle connection open if the settings do not state it.
const DEFAULT_KEEPALIVE: Span = Span::ms(15_000);
/// Time since its last use within which a connection is likely to be used again and is not closed.
const MIN_IDLE_TIME: Span = Span::ms(100);
/// Factor applied to `connected_ratio` for each refused connection.
const REFUSED_CONNECTION_FACTOR: f64 = 0.85;
/// Factor applied to `connected_ratio` for each response.
const RESPONSE_FACTOR: f64 = 1.002;
/// Least value of `connected_ratio`.
const MIN_CONNECTED_RATIO: f64 = 0.01;

/// Limits idle connections once caches refuse connections, which happens if there are more nodes
/// than a cache accepts connections from. The limit does not change which cache gets a key.
#[derive(Default)]
pub(crate) struct IdleConnections {
    /// Fraction of the ready caches to which idle connections may stay open.
    pub(crate) connected_ratio: f64,
    keepalive: Span,
}

impl IdleConnections {
    /// Sets how long servers keep idle connections open.
    pub(crate) fn configure(&mut self, keepalive: Option<Span>) {
        self.keepalive = keepalive.unwrap_or(DEFAULT_KEEPALIVE);
    }

    /// Records that a cache refused a connection.
    pub(crate) fn record_refused(&mut self) {
        self.connected_ratio =
            (self.connected_ratio * REFUSED_CONNECTION_FACTOR).max(MIN_CONNECTED_RATIO);
    }

    /// Records a response of a cache.
    pub(crate) fn record_response(&mut self) {
        self.connected_ratio = (self.connected_ratio * RESPONSE_FACTOR).min(1.0);
    }

    /// Undoes the effect of refused connections after the cache turns out to have been restarting
    /// or gone, and not full.
    pub(crate) fn forget_refused(&mut self, refused: u32) {
        self.connected_ratio =
            (self.connected_ratio / REFUSED_CONNECTION_FACTOR.powi(refused as i32)).min(1.0);
    }

    /// Closes the idle connections in excess of the limit, the least recently used first.
    pub(crate) fn close_surplus_idle(
        &self,
        caches: &[ServerIndex],
        servers: &mut [Server],
        now: Time,
        actions: &mut impl PolicyActions,
    ) {
        if self.connected_ratio >= 1.0 {
            return;
        }
        let is_idle = |cache: &&ServerIndex| servers[cache.0].is_idle(now, self.keepalive);
        let mut idle: Vec<ServerIndex> = caches.iter().filter(is_idle).copied().collect();
        idle.sort_by_key(|cache| servers[cache.0].last_used);
        let permitted = (self.connected_ratio * caches.len() as f64) as usize;
        let surplus = idle.len().saturating_sub(permitted);
        for cache in idle.into_iter().take(surplus) {
            let server = &mut servers[cache.0];
            if now - server.last_used > MIN_IDLE_TIME {
                server.connected = false;
                actions.close_idle_connections(cache);
            }
        }
    }
}
