//! When what a client has sent was read, for commands that wait in its buffer behind others. No clock, no I/O.
use std::collections::VecDeque;

use quartzhub_policy::{Span, Time};

#[cfg(test)]
mod tests;

/// Reads this close together count as one, at the time of the first: it bounds how many are kept of a slow peer's pieces.
const TOGETHER: Span = Span::ms(5);

struct Read {
    at: Time,
    /// Bytes read up to and including it, since the connection came.
    end: u64,
}

/// The reads whose bytes still lie in a connection's buffer.
#[derive(Default)]
pub struct Arrivals {
    reads: VecDeque<Read>,
    taken: u64,
}

impl Arrivals {
    /// So many more bytes have been read.
    pub fn read(&mut self, now: Time, count: usize) {
        let end = self.reads.back().map_or(self.taken, |last| last.end) + count as u64;
        match self.reads.back_mut().filter(|last| now - last.at < TOGETHER) {
            Some(last) => last.end = end,
            None => self.reads.push_back(Read { at: now, end }),
        }
    }

    /// A command of so many bytes is taken from the buffer: tells when its last byte was read, if it is known.
    pub fn take(&mut self, count: usize) -> Option<Time> {
        self.taken += count as u64;
        while self.reads.front().is_some_and(|first| first.end < self.taken) {
            self.reads.pop_front();
        }
        let at = self.reads.front().map(|first| first.at);
        if self.reads.front().is_some_and(|first| first.end == self.taken) {
            self.reads.pop_front();
        }
        at
    }
}
