//! Running means of response times, and estimates of them without queueing.

/// Weight of one sample in running means and quantiles, which thus reflect about the last twenty
/// samples.
pub(crate) const SAMPLE_WEIGHT: f64 = 0.05;
/// Time in which a baseline may double. With a shorter one, the baseline would follow a queue
/// within seconds at a node with many responses; with this one, servers that have become
/// permanently slower are still recognized.
const BASELINE_DOUBLING_SECONDS: f64 = 120.0;

/// A mean response time and its estimate without queueing, in microseconds.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LatencyBaseline {
    pub(crate) mean: f64,
    pub(crate) baseline: f64,
}

impl LatencyBaseline {
    /// Moves the mean towards a response time by this weight.
    pub(crate) fn record(&mut self, micros: f64, weight: f64) {
        self.mean += weight * (micros - self.mean);
    }

    /// Lets the baseline rise towards the mean over time; it never exceeds the mean.
    pub(crate) fn tick(&mut self, elapsed_seconds: f64) {
        let risen = self.baseline * 2f64.powf(elapsed_seconds / BASELINE_DOUBLING_SECONDS);
        self.baseline = risen.min(self.mean);
    }
}
