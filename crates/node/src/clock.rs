//! The one monotonic clock, and where Unix time stood when it began.
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use quartzhub_policy::{Span, Time};

#[derive(Debug, Clone, Copy)]
pub struct Clock {
    zero: Instant,
    unix_ms: f64,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { zero: Instant::now(), unix_ms: unix.as_secs_f64() * 1000.0 }
    }

    pub fn now(&self) -> Time {
        Time(self.zero.elapsed().as_micros() as i64)
    }

    /// A server's start, told in Unix time; none for long ago.
    pub fn started(&self, unix_ms: Option<f64>) -> Option<Time> {
        unix_ms.filter(|at| at.is_finite() && *at > 0.0).map(|at| Time::from_ms(at - self.unix_ms))
    }

    /// The instant at which a point in time is reached.
    pub fn instant(&self, at: Time) -> tokio::time::Instant {
        (self.zero + duration(at - Time(0))).into()
    }
}

pub fn duration(span: Span) -> std::time::Duration {
    std::time::Duration::from_micros(span.0.max(0) as u64)
}
