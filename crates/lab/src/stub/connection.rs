//! A node's connection to a stub server, and when the bytes on it were sent.
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use quartzhub_policy::Time;

/// Who a connection belongs to, and when the bytes that have come on it were sent.
pub struct NodeConnection<S> {
    pub stream: S,
    pub node: usize,
    pub send_times: Option<Rc<SendTimes>>,
}

/// Times at which bytes were sent, by how many there were in all.
#[derive(Default)]
pub struct SendTimes(RefCell<VecDeque<(u64, Time)>>);

impl SendTimes {
    pub fn put(&self, upto: u64, at: Time) {
        self.0.borrow_mut().push_back((upto, at));
    }

    /// When the byte at this place was sent; what stands before it is forgotten.
    pub(super) fn at(&self, place: u64) -> Option<Time> {
        let mut send_times = self.0.borrow_mut();
        while send_times.front().is_some_and(|first| first.0 <= place) {
            send_times.pop_front();
        }
        send_times.front().map(|first| first.1)
    }
}
