//! The bytes of a connection that are in flight on a link, in order.
use std::collections::VecDeque;
use std::io;

use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::time::Instant;

/// Number of bytes in flight in one direction of a connection at which no more are read from the
/// sender.
const MAX_IN_FLIGHT: usize = 256 * 1024;

/// Bytes that arrive at the same time.
struct Segment {
    arrival: Instant,
    bytes: Vec<u8>,
}

/// The bytes in flight to one end of a connection. After each write to that end, `on_written` is
/// called with the total number of bytes written so far.
pub(super) struct InFlight<W, F> {
    to: W,
    on_written: F,
    total_written: u64,
    segments: VecDeque<Segment>,
    queued_bytes: usize,
}

impl<W: AsyncWrite + Unpin, F: Fn(u64)> InFlight<W, F> {
    pub(super) fn new(to: W, on_written: F) -> InFlight<W, F> {
        InFlight {
            to,
            on_written,
            total_written: 0,
            segments: VecDeque::new(),
            queued_bytes: 0,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.segments.is_empty()
    }

    pub(super) fn is_full(&self) -> bool {
        self.queued_bytes >= MAX_IN_FLIGHT
    }

    /// Returns the arrival time of the next bytes, if any are in flight.
    pub(super) fn next_arrival(&self) -> Option<Instant> {
        self.segments.front().map(|first| first.arrival)
    }

    /// Adds bytes in flight. They arrive no earlier than the bytes added before.
    pub(super) fn push(&mut self, bytes: &[u8], arrival: Instant) {
        let arrival = match self.segments.back() {
            Some(previous) => previous.arrival.max(arrival),
            None => arrival,
        };
        self.queued_bytes += bytes.len();
        self.segments.push_back(Segment {
            arrival,
            bytes: bytes.to_vec(),
        });
    }

    /// Writes the bytes that arrive next to the receiving end.
    pub(super) async fn deliver_next(&mut self) -> io::Result<()> {
        let Some(Segment { bytes, .. }) = self.segments.pop_front() else {
            return Ok(());
        };
        self.queued_bytes -= bytes.len();
        self.write(&bytes).await
    }

    /// Writes bytes to the receiving end at once.
    pub(super) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.to.write_all(bytes).await?;
        self.total_written += bytes.len() as u64;
        (self.on_written)(self.total_written);
        Ok(())
    }

    /// Closes the connection in this direction.
    pub(super) async fn shut_down(&mut self) -> io::Result<()> {
        self.to.shutdown().await
    }
}
