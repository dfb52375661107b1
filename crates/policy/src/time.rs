//! Points in time and durations, in whole microseconds of the caller's clock.
use std::ops::{Add, Sub};

/// A point in time, in microseconds of the caller's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Time(pub i64);

/// A duration, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Span(pub i64);

impl Time {
    /// Returns the point in time `ms` milliseconds after the start of the clock.
    pub fn from_ms(ms: f64) -> Time {
        Time((ms * 1000.0).round() as i64)
    }
    /// Returns the milliseconds since the start of the clock.
    pub fn ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl Span {
    /// The zero duration.
    pub const ZERO: Span = Span(0);
    /// Returns a duration of `ms` whole milliseconds.
    pub const fn ms(ms: i64) -> Span {
        Span(ms * 1000)
    }
    /// Returns a duration of `ms` milliseconds, rounded to whole microseconds.
    pub fn from_ms(ms: f64) -> Span {
        Span((ms * 1000.0).round() as i64)
    }
    /// Returns the duration in milliseconds.
    pub fn as_ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }
    /// Returns the duration in seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// Returns the duration multiplied by `factor`, rounded towards zero.
    pub fn times(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor) as i64)
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Sub for Time {
    type Output = Span;
    fn sub(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}
