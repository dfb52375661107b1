//! A node of an emulated network.
use quartzhub_policy::Time;

/// A datagram buffered for a paused process.
pub(super) struct Buffered {
    pub(super) from: usize,
    pub(super) bytes: Vec<u8>,
}

/// A node's clock, which may run fast or slow.
#[derive(Debug, Clone, Copy)]
pub(super) struct Clock {
    /// Its rate, where 1 is exact.
    pub(super) rate: f64,
    /// What it shows at time zero, in microseconds.
    pub(super) offset: i64,
}

impl Clock {
    const EXACT: Clock = Clock {
        rate: 1.0,
        offset: 0,
    };

    pub(super) fn at(self, now: Time) -> Time {
        Time(self.offset + (now.0 as f64 * self.rate) as i64)
    }
}

pub(super) struct Node<P> {
    pub(super) process: Option<P>,
    pub(super) incarnation: u32,
    pub(super) clock: Clock,
    pub(super) paused_since: Option<Time>,
    pub(super) buffered: Vec<Buffered>,
}

impl<P> Node<P> {
    pub(super) fn new() -> Node<P> {
        Node {
            process: None,
            incarnation: 0,
            clock: Clock::EXACT,
            paused_since: None,
            buffered: Vec::new(),
        }
    }
}
