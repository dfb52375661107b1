//! Slow start: limits the traffic to a recently started cache (rule 4).
use crate::cache_load::CacheLoad;
use crate::config::SlowStartConfig;
use crate::server::Server;
use crate::time::Time;

/// Fraction of an average cache's traffic that a cache may get at the end of its slow start.
const MAX_LOAD_RATIO: f64 = 0.8;
/// Largest credit of a cache, in attempts, so that accumulated credit allows no large burst.
const MAX_CREDIT_ATTEMPTS: f64 = 2.0;
/// Longest time for which credit is added at once.
const MAX_CREDITED_SECONDS: f64 = 1.0;
/// Least duration of a slow start, so that ages can be divided by it.
const MIN_DURATION_SECONDS: f64 = 1e-6;

/// Limits recently started caches to a growing fraction of an average cache's traffic.
#[derive(Default)]
pub(crate) struct SlowStart {
    pub(crate) config: SlowStartConfig,
}

impl SlowStart {
    /// Rule 4: returns whether a cache may be sent an attempt. A warm cache always may. Before
    /// that, its credit grows with the response rate of an average cache, scaled down to the load
    /// that it can bear at its age. `delisted_may_restart` means that a delisted cache may have
    /// restarted without being listed again yet.
    ///
    /// The response rate per cache is computed with at least the mean number of caches: after
    /// caches are removed, the mean rate still includes their responses.
    pub(crate) fn has_credit(
        &self,
        server: &mut Server,
        load: &CacheLoad,
        caches: usize,
        delisted_may_restart: bool,
        now: Time,
    ) -> bool {
        let delisted = server.delisted_since.filter(|_| delisted_may_restart);
        let Some(started) = delisted.or(server.slow_start_from) else {
            return true;
        };
        let duration_seconds = self.config.duration.seconds().max(MIN_DURATION_SECONDS);
        let age = (now - started).seconds().max(0.0) / duration_seconds;
        let load_ratio =
            self.config.initial_load_ratio + (1.0 - self.config.initial_load_ratio) * age;
        if load_ratio >= 1.0 {
            return true;
        }
        let elapsed = (now - server.credit_updated)
            .seconds()
            .clamp(0.0, MAX_CREDITED_SECONDS);
        let responses_per_cache =
            load.responses_per_second / load.mean_cache_count.max(caches as f64).max(1.0);
        let earned =
            elapsed * responses_per_cache * load_ratio * MAX_LOAD_RATIO * server.scale.min(1.0);
        server.slow_start_credit = (server.slow_start_credit + earned).min(MAX_CREDIT_ATTEMPTS);
        server.credit_updated = now;
        server.slow_start_credit >= 1.0
    }
}
