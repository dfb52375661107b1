//! Work sent to a server in a sliding time window.
use std::collections::VecDeque;

use quartzhub_policy::{Span, Time};

#[derive(Debug)]
struct SentWork {
    at: Time,
    core_seconds: f64,
    caused_by_cold_miss: bool,
}

impl SentWork {
    fn cold_miss_seconds(&self) -> f64 {
        if self.caused_by_cold_miss {
            self.core_seconds
        } else {
            0.0
        }
    }
}

/// Work sent in a time window that ends now.
#[derive(Debug, Default)]
pub struct Demand {
    sent: VecDeque<SentWork>,
    core_seconds: f64,
    cold_miss_seconds: f64,
}

/// Rate at which a server is sent work.
#[derive(Debug, Clone, Copy)]
pub struct DemandRate {
    /// Seconds of a full-speed core, per second.
    pub rate: f64,
    /// Fraction of the work that was caused by misses at caches that were warming up.
    pub cold_miss_ratio: f64,
}

impl Demand {
    /// Adds work that arrives now; returns the demand over the last `window`.
    pub fn add(
        &mut self,
        now: Time,
        work: Span,
        caused_by_cold_miss: bool,
        window: Span,
    ) -> DemandRate {
        let sent = SentWork {
            at: now,
            core_seconds: work.seconds(),
            caused_by_cold_miss,
        };
        self.core_seconds += sent.core_seconds;
        self.cold_miss_seconds += sent.cold_miss_seconds();
        self.sent.push_back(sent);
        while let Some(oldest) = self.sent.front() {
            if now - oldest.at <= window {
                break;
            }
            self.core_seconds -= oldest.core_seconds;
            self.cold_miss_seconds -= oldest.cold_miss_seconds();
            self.sent.pop_front();
        }
        DemandRate {
            rate: self.core_seconds / window.seconds().max(1e-6),
            cold_miss_ratio: self.cold_miss_seconds / self.core_seconds.max(1e-12),
        }
    }
}
