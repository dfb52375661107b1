//! Outlier detection: caches that fail, hang or are slow are rarely used.
use rand_distr::{Beta, Distribution};

use crate::attempt_result::{AttemptResult, Outcome};
use crate::evidence::{Evidence, MAX_EVIDENCE};
use crate::hedging::{MAX_HEDGE_DELAY_RATIO, MIN_HEDGE_DELAY_RATIO};
use crate::latency_baseline::SAMPLE_WEIGHT;
use crate::pcg::Pcg;
use crate::server::Server;
use crate::time::{Span, Time};
use crate::zone_health::ZoneHealthTable;

/// Fraction of the fleet's success ratio below which a cache, key or zone is an outlier. Relative,
/// as a fault that affects all of them singles out none.
pub(crate) const OUTLIER_SUCCESS_RATIO: f64 = 0.7;
/// Fraction of the latency objective from which a response is slow.
pub(crate) const SLOW_RESPONSE_RATIO: f64 = 0.5;
/// Assumed outcomes at the fleet's success ratio that are combined with a cache's own.
const PRIOR_OUTCOMES: f64 = 1.0;
/// Success probability that the random sample must exceed for an outlier to be used.
const MIN_SAMPLED_SUCCESS: f64 = 0.5;
/// Time without a response after which a cache in use is silent, in median response times.
const SILENCE_FACTOR: f64 = 6.0;
/// Time after which a response is considered lost, as a multiple of the 95th percentile of response
/// times.
const LOST_FACTOR: f64 = 1.5;
/// Weight of one outcome in the fleet's success ratio.
const FLEET_SAMPLE_WEIGHT: f64 = 0.2 * SAMPLE_WEIGHT;
/// Fraction of delisted caches that are assumed to be still running before there is evidence.
const DELISTED_SUCCESS_PRIOR: f64 = 0.75;
/// Weight of one outcome at a delisted cache; high, so that a few outcomes distinguish a wrong list
/// from a crash.
const DELISTED_SAMPLE_WEIGHT: f64 = 0.2;
/// Steps of the running median for a sample above and below it.
const MEDIAN_STEPS: QuantileSteps = QuantileSteps { up: 0.5, down: 0.5 };
/// Steps of the running 95th percentile.
const P95_STEPS: QuantileSteps = QuantileSteps {
    up: 0.95,
    down: 0.05,
};

/// Relative change of a running quantile by one sample, before `SAMPLE_WEIGHT`: up for a sample
/// above the quantile, down otherwise.
struct QuantileSteps {
    up: f64,
    down: f64,
}

impl QuantileSteps {
    fn updated(&self, quantile: f64, sample: f64) -> f64 {
        let step = if sample > quantile {
            self.up
        } else {
            -self.down
        };
        quantile + SAMPLE_WEIGHT * quantile * step
    }
}

/// Estimates of how the caches respond.
#[derive(Default)]
pub(crate) struct OutlierDetector {
    pub(crate) zones: ZoneHealthTable,
    /// Median response time of caches.
    pub(crate) median_micros: f64,
    /// 95th percentile of the caches' response times.
    pub(crate) p95_micros: f64,
    /// Longest latency objective of any product.
    pub(crate) longest_objective_micros: f64,
    /// Success ratio of all caches.
    pub(crate) fleet_success_ratio: f64,
    /// Fraction of attempts at delisted caches that get a response; high if the list is wrong.
    pub(crate) delisted_success_ratio: f64,
}

impl OutlierDetector {
    /// Resets the fleet's response times and success ratios to those assumed for caches about which
    /// nothing is known.
    pub(crate) fn reset(&mut self, shortest_objective: Span) {
        let objective_micros = shortest_objective.0 as f64;
        self.median_micros = objective_micros * MIN_HEDGE_DELAY_RATIO;
        self.p95_micros = objective_micros * MAX_HEDGE_DELAY_RATIO;
        self.delisted_success_ratio = DELISTED_SUCCESS_PRIOR;
        self.fleet_success_ratio = 1.0;
    }

    /// Returns how long a cache has been silent, as a multiple of the longest normal silence.
    fn silence_ratio(&self, server: &Server, now: Time) -> f64 {
        let longest_healthy = (SILENCE_FACTOR * self.median_micros)
            .max(self.p95_micros)
            .min(MAX_HEDGE_DELAY_RATIO * self.longest_objective_micros);
        server
            .silent_since
            .map_or(0.0, |since| (now - since).0 as f64 / longest_healthy)
    }

    /// Returns whether a cache is an outlier: it fails more often than others, is silent, or its
    /// zone is hard to reach.
    pub(crate) fn is_outlier(&self, server: &Server, now: Time) -> bool {
        let prior = if server.delisted_since.is_some() {
            self.delisted_success_ratio
        } else {
            self.fleet_success_ratio
        };
        let success = server.evidence.success_ratio(prior, PRIOR_OUTCOMES);
        success < OUTLIER_SUCCESS_RATIO * self.fleet_success_ratio
            || self.silence_ratio(server, now) > 1.0
            || self.zones.is_outlier(server.zone)
    }

    /// Returns whether a cache may be used. An outlier may be used if a random sample from the
    /// posterior distribution of its success probability is high enough, so it is rarely used but
    /// still probed.
    pub(crate) fn accepts(&self, server: &Server, now: Time, rng: &mut Pcg) -> bool {
        if !self.is_outlier(server, now) {
            return true;
        }
        let evidence = match self.zones.outlier(server.zone) {
            Some(zone) => zone.evidence,
            None => self.evidence_with_silence(server, now),
        };
        Beta::new(evidence.good + 1.0, evidence.bad + 1.0)
            .is_ok_and(|posterior| posterior.sample(rng) > MIN_SAMPLED_SUCCESS)
    }

    /// Returns a cache's evidence, with its attempts in flight counted as failures while it is
    /// silent. Without this, a long record of successes would hide that a cache has just hung.
    fn evidence_with_silence(&self, server: &Server, now: Time) -> Evidence {
        let silence = self.silence_ratio(server, now).max(1.0);
        let unanswered = if silence > 1.0 {
            silence * f64::from(server.in_flight)
        } else {
            0.0
        };
        Evidence {
            good: server.evidence.good / silence,
            bad: server.evidence.bad + unanswered,
        }
    }

    /// Returns whether delisted caches have mostly stopped responding. If so, a delisted cache that
    /// still responds may have restarted.
    pub(crate) fn is_delisting_reliable(&self) -> bool {
        self.delisted_success_ratio < OUTLIER_SUCCESS_RATIO
    }

    /// Returns the response time from which a response is slow for this latency objective.
    pub(crate) fn slow_micros(&self, latency_objective: Span) -> f64 {
        (SLOW_RESPONSE_RATIO * latency_objective.0 as f64).max(self.p95_micros)
    }

    /// Returns whether the response to an attempt in flight for this long is considered lost.
    pub(crate) fn is_lost(&self, in_flight_for: Span) -> bool {
        in_flight_for.0 as f64 > LOST_FACTOR * self.p95_micros
    }

    /// Records how an attempt at a cache ended. `key_is_limited` means that its key fails at every
    /// cache, which is not the fault of this one.
    pub(crate) fn record(
        &mut self,
        server: &mut Server,
        result: &AttemptResult,
        latency_objective: Span,
        key_is_limited: bool,
        now: Time,
    ) {
        use Outcome::{Cancelled, Miss, NotSent, Overloaded, ServerError, Success};
        let outcome = result.outcome;
        let responded = matches!(outcome, Success | Miss | Overloaded | ServerError);
        let succeeded = matches!(outcome, Success | Miss);
        let latency_micros = result.latency.0 as f64;
        let slow = latency_micros > self.slow_micros(latency_objective);
        if responded || server.in_flight == 0 {
            server.silent_since = (server.in_flight > 0).then_some(now);
        }
        if !matches!(outcome, NotSent | Cancelled) {
            self.record_delisted(server, responded);
        }
        if slow || !matches!(outcome, Cancelled | NotSent) {
            self.zones.record(server.zone, responded && !slow);
        }
        let zone_is_outlier = self.zones.is_outlier(server.zone);
        if succeeded && !zone_is_outlier {
            self.record_latency(latency_micros);
        }
        if outcome == Overloaded {
            server.capacity = f64::from(server.in_flight);
            server.overloaded_at = now;
        }
        let is_inconclusive =
            matches!(outcome, Overloaded | NotSent) || outcome == Cancelled && !slow;
        let good = succeeded && !slow;
        // A failure of a key at every cache, or of the network path to the zone, is not the fault
        // of this cache.
        let has_other_cause = (key_is_limited || zone_is_outlier) && !good;
        if !is_inconclusive && !has_other_cause {
            self.record_evidence(server, good);
        }
    }

    fn record_latency(&mut self, micros: f64) {
        self.median_micros = MEDIAN_STEPS.updated(self.median_micros, micros);
        self.p95_micros = P95_STEPS.updated(self.p95_micros, micros);
    }

    /// Records whether a delisted cache responded, which shows whether the list is right.
    fn record_delisted(&mut self, server: &mut Server, responded: bool) {
        if server.delisted_since.is_none() {
            return;
        }
        let response = f64::from(u8::from(responded));
        self.delisted_success_ratio +=
            DELISTED_SAMPLE_WEIGHT * (response - self.delisted_success_ratio);
        // A failed attempt confirms the list, so earlier successes no longer count.
        server.evidence.good *= response;
    }

    fn record_evidence(&mut self, server: &mut Server, good: bool) {
        server.evidence.record(good);
        let kept_ratio = MAX_EVIDENCE / server.evidence.total().max(MAX_EVIDENCE);
        server.evidence.decay(kept_ratio);
        let success = f64::from(u8::from(good));
        self.fleet_success_ratio += FLEET_SAMPLE_WEIGHT * (success - self.fleet_success_ratio);
    }

    /// Decays what was learnt about zones and delisted caches.
    pub(crate) fn tick(&mut self, kept_ratio: f64) {
        self.zones.tick(kept_ratio);
        self.delisted_success_ratio = DELISTED_SUCCESS_PRIOR
            + kept_ratio * (self.delisted_success_ratio - DELISTED_SUCCESS_PRIOR);
    }
}
