//! Admission control: tenants' quotas and load shedding.
use crate::config::PolicyConfig;
use crate::latency_baseline::SAMPLE_WEIGHT;
use crate::outlier_detection::SLOW_RESPONSE_RATIO;
use crate::pcg::Pcg;
use crate::time::Time;

/// Seconds of unused quota that a tenant may accumulate for a burst.
const MIN_QUOTA_BURST_SECONDS: f64 = 2.0;
/// Least burst size of a tenant, in calls: with a smaller one, random clustering of calls would
/// look like a burst.
const MIN_QUOTA_BURST_CALLS: f64 = 6.0;
/// Averaging time of the node's own traffic; long compared to a burst.
const TRAFFIC_AVERAGING_SECONDS: f64 = 20.0;
/// Least sum of all tenants' effective quotas, as a multiple of the node's mean traffic.
const MIN_QUOTA_TO_TRAFFIC_RATIO: f64 = 2.0;
/// Least coverage that the traffic mean is divided by, so that the first calls do not yield an
/// extreme rate.
const MIN_TRAFFIC_COVERAGE_RATIO: f64 = 0.1;
/// Least over-quota ratio of a call that finds its tenant's token bucket empty.
const MIN_OVER_QUOTA_RATIO: f64 = 0.05;
/// Fraction of attempts rejected as overloaded above which calls over quota are shed.
const OVERLOAD_REJECTION_RATIO: f64 = 0.06;
/// Queueing delay at caches, as a fraction of the latency objective, above which calls over quota
/// are shed.
const OVER_QUOTA_QUEUEING_RATIO: f64 = 0.3;
/// Queueing delay at caches, as a fraction of the latency objective, above which calls within quota
/// are shed.
const IN_QUOTA_QUEUEING_RATIO: f64 = SLOW_RESPONSE_RATIO;
/// Probability of shedding a call at twice its quota once `shed_probability` has reached 1. Above
/// 1, so that clients' retries are shed before first calls.
const OVER_QUOTA_SHED_FACTOR: f64 = 1.5;
/// Increase of the shed probability per tick: from 0 to 1 in half a second.
const SHED_RISE_PER_TICK: f64 = 0.04;
/// Decrease of the shed probability per tick: from 1 to 0 in two seconds.
const SHED_FALL_PER_TICK: f64 = 0.01;

/// The token bucket of a tenant's quota at this node.
struct Tenant {
    quota_per_second: f64,
    tokens: f64,
    /// Calls per second, a running mean.
    call_rate: f64,
    updated: Time,
}

/// Decides which API calls are admitted.
#[derive(Default)]
pub(crate) struct Admission {
    tenants: Vec<Tenant>,
    /// Sum of all tenants' quotas at this node, in calls per second.
    total_quota_per_second: f64,
    /// Calls per second of all tenants with a quota, a running mean.
    call_rate: f64,
    /// Fraction of a full averaging period that `call_rate` covers.
    rate_coverage: f64,
    /// When `call_rate` was last updated.
    pub(crate) updated: Time,
    /// Fraction of attempts that caches rejected as overloaded, a running mean.
    rejection_ratio: f64,
    /// Probability with which a call at twice its quota is shed, before `OVER_QUOTA_SHED_FACTOR`.
    shed_probability: f64,
}

impl Admission {
    /// Sets each tenant's quota at this node: its total quota divided by the number of nodes. The
    /// token buckets are kept if no quota has changed.
    pub(crate) fn configure(&mut self, config: &PolicyConfig) {
        let quotas: Vec<f64> = config
            .tenant_quotas
            .iter()
            .map(|quota| quota / config.nodes)
            .collect();
        let configured = self.tenants.iter().map(|tenant| &tenant.quota_per_second);
        if quotas.iter().eq(configured) {
            return;
        }
        let tenant = |quota_per_second: f64| Tenant {
            quota_per_second,
            tokens: (quota_per_second * MIN_QUOTA_BURST_SECONDS).max(MIN_QUOTA_BURST_CALLS),
            call_rate: 0.0,
            updated: self.updated,
        };
        self.total_quota_per_second = quotas.iter().sum();
        self.tenants = quotas.into_iter().map(tenant).collect();
    }

    /// Resets the shed probability and the rejection ratio, which were measured against other
    /// latency objectives.
    pub(crate) fn reset_shedding(&mut self) {
        self.shed_probability = 0.0;
        self.rejection_ratio = 0.0;
    }

    /// Charges a call to its tenant's quota and returns how far over the quota it is: 0 within it,
    /// 1 at twice it. A client's retry takes no token; its ratio is `lost_weight_ratio`, the
    /// fraction of its priority weight that it has lost by being late.
    pub(crate) fn over_quota_ratio(
        &mut self,
        tenant: usize,
        lost_weight_ratio: f64,
        now: Time,
    ) -> f64 {
        let has_quota = |tenant: &Tenant| tenant.quota_per_second > 0.0;
        if !self.tenants.get(tenant).is_some_and(has_quota) {
            return lost_weight_ratio;
        }
        let min_total_quota = self.record_traffic(now);
        let tenant = &mut self.tenants[tenant];
        // A tenant's quota at a node may be less than a call per second, and a front end may send
        // one node far more than its fraction of the traffic, up to the fractions of other nodes as
        // well. With the plain quota and burst, such a node would treat most calls as over quota.
        let quota_per_second =
            tenant.quota_per_second * (min_total_quota / self.total_quota_per_second).max(1.0);
        let burst_seconds = (MIN_QUOTA_BURST_CALLS / quota_per_second).max(MIN_QUOTA_BURST_SECONDS);
        tenant.record_call(quota_per_second, burst_seconds, now);
        if lost_weight_ratio > 0.0 {
            return lost_weight_ratio;
        }
        if tenant.tokens >= 1.0 {
            tenant.tokens -= 1.0;
            return 0.0;
        }
        (tenant.call_rate / quota_per_second - 1.0).clamp(MIN_OVER_QUOTA_RATIO, 1.0)
    }

    /// Records a call and returns the least sum of all quotas that is assumed at this node, in
    /// calls per second.
    fn record_traffic(&mut self, now: Time) -> f64 {
        let decay_factor = (-(now - self.updated).seconds() / TRAFFIC_AVERAGING_SECONDS).exp();
        self.call_rate = self.call_rate * decay_factor + 1.0 / TRAFFIC_AVERAGING_SECONDS;
        self.rate_coverage = self.rate_coverage * decay_factor + 1.0 - decay_factor;
        self.updated = now;
        MIN_QUOTA_TO_TRAFFIC_RATIO * self.call_rate
            / self.rate_coverage.max(MIN_TRAFFIC_COVERAGE_RATIO)
    }

    /// Decides at random whether a call is admitted. `queueing_delay_ratio` is the queueing delay
    /// at caches as a fraction of the latency objective, and `confidence` the weight from 0 to 1
    /// that it gets. Without this weight, nodes with few responses would shed reads because of a
    /// single slow call or overloaded cache.
    pub(crate) fn admit(
        &self,
        over_quota_ratio: f64,
        queueing_delay_ratio: f64,
        confidence: f64,
        rng: &mut Pcg,
    ) -> bool {
        let confidence = if self.rejection_ratio > OVERLOAD_REJECTION_RATIO {
            1.0
        } else {
            confidence
        };
        let overload = confidence * (queueing_delay_ratio - IN_QUOTA_QUEUEING_RATIO)
            / (1.0 - IN_QUOTA_QUEUEING_RATIO);
        // Both terms shed calls over quota first; otherwise clients' retries would displace first
        // calls.
        rng.unit()
            >= overload.max(0.0) + OVER_QUOTA_SHED_FACTOR * self.shed_probability * over_quota_ratio
    }

    /// Records whether a cache that is no outlier rejected an attempt.
    pub(crate) fn record_attempt(&mut self, rejected: bool) {
        self.rejection_ratio +=
            SAMPLE_WEIGHT * (f64::from(u8::from(rejected)) - self.rejection_ratio);
    }

    /// Adjusts the shed probability to the overload observed at the caches.
    pub(crate) fn tick(&mut self, queueing_delay_ratio: f64) {
        let is_overloaded = self.rejection_ratio > OVERLOAD_REJECTION_RATIO
            || queueing_delay_ratio > OVER_QUOTA_QUEUEING_RATIO;
        let change = if is_overloaded {
            SHED_RISE_PER_TICK
        } else {
            -SHED_FALL_PER_TICK
        };
        self.shed_probability = (self.shed_probability + change).clamp(0.0, 1.0);
    }
}

impl Tenant {
    fn record_call(&mut self, quota_per_second: f64, burst_seconds: f64, now: Time) {
        let elapsed = (now - self.updated).seconds();
        self.updated = now;
        self.call_rate = self.call_rate * (-elapsed / burst_seconds).exp() + 1.0 / burst_seconds;
        self.tokens =
            (self.tokens + elapsed * quota_per_second).min(quota_per_second * burst_seconds);
    }
}
