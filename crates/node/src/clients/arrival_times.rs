//! Arrival times of a client's bytes, for commands that queue in its buffer behind others. Uses no
//! clock and no I/O.
use std::collections::VecDeque;

use quartzhub_policy::{Span, Time};

#[cfg(test)]
mod tests;

/// Reads within this window are merged into one, at the time of the first. This bounds the number
/// of records for a slow client that sends a few bytes at a time.
const READ_MERGE_WINDOW: Span = Span::ms(5);

struct Read {
    at: Time,
    /// Total bytes read up to its end, since the connection was accepted.
    end: u64,
}

/// The reads whose bytes are still in a connection's buffer.
#[derive(Default)]
pub struct ArrivalTimes {
    reads: VecDeque<Read>,
    /// Bytes taken from the buffer since the connection was accepted.
    consumed: u64,
    /// Start of the pause in reading, if there is one: bytes may have been unread since then.
    paused_since: Option<Time>,
    /// How long reading the current command was suspended, which blocked its sender.
    read_delay: Span,
}

impl ArrivalTimes {
    /// Records that reading is paused from now on.
    pub fn pause_reading(&mut self, now: Time) {
        self.paused_since.get_or_insert(now);
    }

    /// Records that all bytes that have arrived are read.
    pub fn caught_up(&mut self) {
        self.paused_since = None;
    }

    /// Records that reading the current command was suspended for `delay`. Its last byte may have
    /// been sent that much before it arrived: a full TCP window kept it at the client.
    pub fn add_read_delay(&mut self, delay: Span) {
        self.read_delay = self.read_delay + delay;
    }

    /// Records that `count` more bytes have been read. After a pause they may have arrived long
    /// before they were read: `last_byte_age` then returns how long ago the last byte arrived,
    /// which is the time of the last command, and all earlier bytes count as arrived when the pause
    /// began.
    pub fn read(&mut self, now: Time, count: usize, last_byte_age: impl FnOnce() -> Option<Span>) {
        let before = self.reads.back().map_or(self.consumed, |last| last.end);
        let end = before + count as u64;
        if let Some(since) = self.paused_since {
            let last = last_byte_age().map_or(since, |age| (now - age).max(since));
            if end - 1 > before {
                self.reads.push_back(Read {
                    at: since,
                    end: end - 1,
                });
            }
            self.reads.push_back(Read { at: last, end });
            return;
        }
        let at = now - self.read_delay;
        match self
            .reads
            .back_mut()
            .filter(|last| at - last.at < READ_MERGE_WINDOW)
        {
            Some(last) => last.end = end,
            None => self.reads.push_back(Read { at, end }),
        }
    }

    /// Records that a command of `count` bytes is taken from the buffer. Returns when its last byte
    /// was read, if that is known.
    pub fn take(&mut self, count: usize) -> Option<Time> {
        self.consumed += count as u64;
        self.read_delay = Span::ZERO;
        while self
            .reads
            .front()
            .is_some_and(|first| first.end < self.consumed)
        {
            self.reads.pop_front();
        }
        let at = self.reads.front().map(|first| first.at);
        if self
            .reads
            .front()
            .is_some_and(|first| first.end == self.consumed)
        {
            self.reads.pop_front();
        }
        at
    }
}
