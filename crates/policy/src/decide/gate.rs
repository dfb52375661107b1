//! Gate: an adaptive limit on what is out, under one place a rate.
use super::*;

impl Gate {
    /// Under few places the limit is a rate of attempts, too: hundreds of nodes have a place each.
    pub fn room(&self, now: Time) -> bool {
        f64::from(self.out) < (self.limit * (1.0 + self.path)).floor()
            || self.limit < ORIGIN_SAVED && self.saved(now) >= 1.0
    }

    pub fn saved(&self, now: Time) -> f64 {
        (self.saved + (now - self.saved_at).0 as f64 * self.limit / self.target).min(ORIGIN_SAVED)
    }

    pub fn take(&mut self, now: Time) {
        self.out += 1;
        (self.saved, self.saved_at) = ((self.saved(now) - 1.0).max(0.0), now);
    }

    /// What an answer left of the time aimed at, as a part of it; below 0 it took longer, or was lost.
    pub fn ended(&mut self, spare: f64) {
        if spare < 0.0 || self.pressed || self.limit < self.unasked {
            let step = ORIGIN_STEP.min(ORIGIN_PART * self.limit);
            self.limit = (self.limit + step * spare.max(-1.0)).max(self.least);
        }
    }

    /// Guards against what slows at once: late attempts count before their answers come.
    pub fn late(&mut self, now: Time) {
        self.ended(-1.0);
        (self.saved, self.saved_at) = (0.0, now);
    }

    /// Guards against answers far between at hundreds of nodes; bounded, lest all grow in calm, spent at once.
    pub fn regrow(&mut self, passed: f64) {
        if self.limit < self.unasked.min(1.0) {
            self.limit *= 1.0 + passed / ORIGIN_DOUBLES;
        }
    }
}
