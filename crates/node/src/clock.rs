//! The monotonic clock that all times are measured by, and the steps of the wall clock relative to
//! it.
use std::collections::VecDeque;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use quartzhub_policy::{Span, Time};

#[cfg(test)]
mod tests;

/// Least change of the wall clock relative to the monotonic clock that counts as a step, in
/// milliseconds.
const MIN_STEP_MS: f64 = 20.0;
/// Most offsets of the wall clock that are kept; each step adds one.
const MAX_OFFSETS: usize = 8;
/// Start times up to this far in the future count as now, in milliseconds: the clocks of two
/// machines may differ a little.
const MAX_CLOCK_SKEW_MS: f64 = 1000.0;
/// Milliseconds per second.
const MS_PER_SECOND: f64 = 1000.0;

/// The monotonic clock, which shows the time since the start of the node.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Starts a clock at 0.
    pub fn start() -> Clock {
        Clock {
            started_at: Instant::now(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        Time(self.started_at.elapsed().as_micros() as i64)
    }

    /// Returns the tokio instant that corresponds to a time of this clock.
    pub fn instant(&self, at: Time) -> tokio::time::Instant {
        (self.started_at + duration(at - Time(0))).into()
    }
}

/// Converts a span to a duration of the standard library; a negative span becomes zero.
pub fn duration(span: Span) -> std::time::Duration {
    std::time::Duration::from_micros(span.0.max(0) as u64)
}

/// Returns the Unix time of the wall clock, in milliseconds.
pub fn unix_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
        * MS_PER_SECOND
}

/// Offsets of the wall clock from the monotonic clock, before and after each of its most recent
/// steps.
#[derive(Debug, Default)]
pub struct WallClock {
    /// Unix time minus monotonic time, in milliseconds; the current offset is the last.
    offsets: VecDeque<f64>,
}

impl WallClock {
    /// Samples the wall clock, and records a new offset if it was stepped since the last sample.
    pub fn sample(&mut self, now: Time, unix_ms: f64) {
        let offset = unix_ms - now.ms();
        let is_unchanged = self
            .offsets
            .back()
            .is_some_and(|last| (offset - last).abs() < MIN_STEP_MS);
        if is_unchanged {
            return;
        }
        if self.offsets.len() == MAX_OFFSETS {
            self.offsets.pop_front();
        }
        self.offsets.push_back(offset);
    }

    /// Converts a server's start in Unix time to the latest time that it can mean, given the
    /// recorded steps; `None` means long ago. With the current offset alone, a server could count
    /// as warm only because the wall clock was stepped.
    pub fn server_start_time(&self, now: Time, unix_ms: Option<f64>) -> Option<Time> {
        let unix_ms = unix_ms.filter(|unix_ms| unix_ms.is_finite() && *unix_ms > 0.0)?;
        let candidates_ms = self.offsets.iter().map(|offset| unix_ms - offset);
        let latest_ms = candidates_ms
            .filter(|start_ms| *start_ms <= now.ms() + MAX_CLOCK_SKEW_MS)
            .max_by(f64::total_cmp);
        Some(latest_ms.map_or(now, |start_ms| Time::from_ms(start_ms).min(now)))
    }
}
