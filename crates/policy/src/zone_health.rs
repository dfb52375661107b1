//! How well each zone can be reached from this node, over all of the zone's servers.
use rustc_hash::FxHashMap;

use crate::evidence::{Evidence, MAX_EVIDENCE};
use crate::outlier_detection::OUTLIER_SUCCESS_RATIO;

/// Assumed successes that are combined with a zone's own outcomes, since two failures in a row are
/// little evidence.
const PRIOR_SUCCESSES: f64 = 4.0;

/// Outcomes of attempts at a zone's servers: good if a response arrived in good time.
#[derive(Default)]
pub(crate) struct ZoneHealth {
    pub(crate) evidence: Evidence,
    is_outlier: bool,
}

impl ZoneHealth {
    fn success_ratio(&self) -> f64 {
        self.evidence.success_ratio(1.0, PRIOR_SUCCESSES)
    }
}

/// The health of each zone by its index.
#[derive(Default)]
pub(crate) struct ZoneHealthTable {
    zones: FxHashMap<u32, ZoneHealth>,
}

impl ZoneHealthTable {
    /// Records how an attempt at one of a zone's servers ended.
    pub(crate) fn record(&mut self, zone: u32, good: bool) {
        self.zones.entry(zone).or_default().evidence.record(good);
    }

    /// Returns the zone's health if it is hard to reach while another zone is not. A fault that
    /// affects all zones is not a fault of the path to one.
    pub(crate) fn outlier(&self, zone: u32) -> Option<&ZoneHealth> {
        self.zones.get(&zone).filter(|health| health.is_outlier)
    }

    /// Returns whether this zone is hard to reach while another one is not.
    pub(crate) fn is_outlier(&self, zone: u32) -> bool {
        self.outlier(zone).is_some()
    }

    /// Compares the zones with each other and decays what was recorded.
    pub(crate) fn tick(&mut self, kept_ratio: f64) {
        let best = self
            .zones
            .values()
            .map(ZoneHealth::success_ratio)
            .fold(0.0, f64::max);
        for zone in self.zones.values_mut() {
            zone.is_outlier = zone.success_ratio() < OUTLIER_SUCCESS_RATIO * best;
            let within_limit = MAX_EVIDENCE / zone.evidence.total();
            zone.evidence.decay(kept_ratio.min(within_limit));
        }
    }
}
