//! Counts of good and bad outcomes, from which success ratios are estimated.

/// Largest total weight of a record, in outcomes, so that new outcomes replace old ones.
pub(crate) const MAX_EVIDENCE: f64 = 20.0;

/// Weighted counts of good and bad outcomes; their weight decays over time.
#[derive(Clone, Copy, Default)]
pub(crate) struct Evidence {
    pub(crate) good: f64,
    pub(crate) bad: f64,
}

impl Evidence {
    /// Records one outcome.
    pub(crate) fn record(&mut self, good: bool) {
        if good {
            self.good += 1.0;
        } else {
            self.bad += 1.0;
        }
    }

    /// Multiplies both counts by `kept_ratio`.
    pub(crate) fn decay(&mut self, kept_ratio: f64) {
        self.good *= kept_ratio;
        self.bad *= kept_ratio;
    }

    /// Returns the total weight of all outcomes.
    pub(crate) fn total(&self) -> f64 {
        self.good + self.bad
    }

    /// Returns the success ratio, combined with `prior_weight` assumed outcomes with the success
    /// ratio `prior`, which dominate while there are few outcomes.
    pub(crate) fn success_ratio(&self, prior: f64, prior_weight: f64) -> f64 {
        (self.good + prior_weight * prior) / (self.good + self.bad + prior_weight)
    }
}
