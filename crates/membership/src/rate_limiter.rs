//! A rate limiter with one token bucket for each sender.
use quartzhub_policy::Time;

use crate::NodeId;

#[derive(Debug, Clone)]
struct Bucket {
    tokens: f64,
    updated: Time,
}

/// Limits the datagrams of each sender to a rate and a burst.
///
/// ```
/// use quartzhub_membership::{NodeId, RateLimiter};
/// use quartzhub_policy::{Span, Time};
///
/// let mut limiter = RateLimiter::new(2, 10.0, 3.0);
/// let admitted = (0..5).filter(|_| limiter.admits(Time(0), NodeId(1))).count();
/// assert_eq!(admitted, 3);
/// // Another sender has its own bucket, and after 100 ms there is one more token.
/// assert!(limiter.admits(Time(0), NodeId(0)));
/// assert!(limiter.admits(Time(0) + Span::ms(100), NodeId(1)));
/// ```
#[derive(Debug)]
pub struct RateLimiter {
    per_second: f64,
    burst: f64,
    buckets: Vec<Bucket>,
}

impl RateLimiter {
    /// Creates a limiter for `senders` senders, each with a full bucket.
    pub fn new(senders: usize, per_second: f64, burst: f64) -> RateLimiter {
        let full = Bucket {
            tokens: burst,
            updated: Time(0),
        };
        RateLimiter {
            per_second,
            burst,
            buckets: vec![full; senders],
        }
    }

    /// Takes a token from the sender's bucket; returns false if it is empty.
    pub fn admits(&mut self, now: Time, from: NodeId) -> bool {
        let Some(bucket) = self.buckets.get_mut(from.index()) else {
            return false;
        };
        let elapsed = (now - bucket.updated).seconds().max(0.0);
        bucket.tokens = (bucket.tokens + elapsed * self.per_second).min(self.burst);
        bucket.updated = bucket.updated.max(now);
        let admitted = bucket.tokens >= 1.0;
        if admitted {
            bucket.tokens -= 1.0;
        }
        admitted
    }
}
