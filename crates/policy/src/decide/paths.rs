//! Paths: how well each zone can be reached from this node, whichever cache there is asked.
use super::*;

impl Paths {
    /// The path to a zone that is reached badly while another is reached well: common trouble blames none.
    pub fn doubtful(&self, zone: u32) -> Option<&Path> {
        self.zones.get(&zone).filter(|path| path.doubtful)
    }

    pub fn tick(&mut self, kept: f64) {
        let success = |path: &Path| (path.good + PATH_PRIOR) / (path.good + path.bad + PATH_PRIOR);
        let best = self.zones.values().map(success).fold(0.0, f64::max);
        for path in self.zones.values_mut() {
            path.doubtful = success(path) < DOUBT * best;
            let kept = kept.min(EVIDENCE / (path.good + path.bad));
            (path.good, path.bad) = (path.good * kept, path.bad * kept);
        }
    }
}
