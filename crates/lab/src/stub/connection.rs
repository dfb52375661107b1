//! A node's connection to a stub server, and the times at which the node sent bytes on it.
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use quartzhub_policy::Time;

/// A connection of a node.
pub struct NodeConnection<S> {
    /// The stream that the server reads from and writes to.
    pub stream: S,
    /// Index of the node that opened it.
    pub node: usize,
    /// When the node's bytes were sent; if `None`, bytes count as sent when the server reads them.
    pub send_times: Option<Rc<SendTimes>>,
}

/// Bytes that were sent at the same time.
struct SentBytes {
    /// Number of bytes sent on the connection so far, these included.
    total: u64,
    at: Time,
}

/// Times at which the bytes of a connection were sent. Times of bytes before the last one that was
/// looked up are discarded.
#[derive(Default)]
pub struct SendTimes(RefCell<VecDeque<SentBytes>>);

impl SendTimes {
    /// Records that bytes were sent; `total` is the number of bytes sent so far, these included.
    pub fn record(&self, total: u64, at: Time) {
        self.0.borrow_mut().push_back(SentBytes { total, at });
    }

    /// Returns when the byte at this offset was sent, and discards the times of earlier bytes.
    pub(super) fn at_offset(&self, offset: u64) -> Option<Time> {
        let mut sent = self.0.borrow_mut();
        while sent.front().is_some_and(|first| first.total <= offset) {
            sent.pop_front();
        }
        sent.front().map(|first| first.at)
    }
}
