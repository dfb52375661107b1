//! Counters of attempt outcomes by second; they show the causes of lost service.

/// A counted event.
#[derive(Debug, Clone, Copy)]
pub enum Metric {
    /// A cache had the value, and the API call was still open.
    Hit,
    /// A cache had the value, but the API call was no longer open.
    HitForClosedCall,
    /// A cache did not have the value.
    Miss,
    /// An attempt was cancelled while queued at a server.
    CancelledInQueue,
    /// An attempt was cancelled while a server worked on it.
    CancelledWhileRunning,
    /// A server rejected an attempt for lack of capacity.
    Overloaded,
    /// The origin read a value for an API call that was still open.
    OriginRead,
    /// The origin wrote a value for an API call that was still open.
    OriginWrite,
    /// The origin worked for an API call that was no longer open.
    OriginWorkForClosedCall,
    /// A client made the first attempt of an API call.
    FirstAttempt,
    /// A client made a retry.
    Retry,
    /// A client's first attempt got a response without a value.
    FirstAttemptFailed,
    /// A client's retry got a response without a value.
    RetryFailed,
}

/// Number of metrics.
pub const METRICS: usize = Metric::RetryFailed as usize + 1;

/// Column headings of the table by second, in the order of `Metric`.
pub const HEADINGS: [&str; METRICS] = [
    "hit",
    "unwanted",
    "miss",
    "off",
    "off-work",
    "full",
    "fetch",
    "write",
    "unwanted",
    "first",
    "again",
    "first-away",
    "again-away",
];
