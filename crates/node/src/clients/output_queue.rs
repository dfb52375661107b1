//! Responses to one client that are not completely written to its socket yet, in their order.
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;

use tokio::io::Interest;
use tokio::net::TcpStream;

use super::response;
use crate::messages::Response;
use crate::system::retry_interrupted;
use crate::upstreams::Upstream;

/// Line end behind a streamed value.
const VALUE_TERMINATOR: &[u8] = b"\r\n";

/// One item of the queue.
enum Item {
    Bytes {
        bytes: Vec<u8>,
        /// Size in bytes that the reducer has counted for it as buffered.
        counted_size: usize,
    },
    /// A value that is streamed from this upstream, between its header and its terminator.
    Streamed(Rc<Upstream>),
}

/// Result of writing to the socket from the first item.
enum WriteProgress {
    Complete,
    /// This many more bytes have been written, and others are left.
    Partial(usize),
    /// All bytes of a value that the upstream has received so far.
    AwaitsUpstream,
}

/// Whether the FIN is about to follow the bytes that are written.
#[derive(Clone, Copy, PartialEq)]
pub enum WriteMode {
    Immediate,
    /// The kernel holds the bytes back (`MSG_MORE`) until the FIN follows, and sends both together.
    /// Otherwise, if the process stalled between the two, the client would send its next command.
    WithFin,
}

/// What a client can be told of a streamed value that breaks off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenValue {
    /// Nothing of it had been written: an error follows in its place.
    Replaced,
    /// A part of it has been written: nothing may follow, and only the end of the connection tells.
    Cut,
    /// All of it has been written.
    Whole,
}

/// Responses that are not completely written yet.
#[derive(Default)]
pub struct OutputQueue {
    items: VecDeque<Item>,
    /// Bytes of the first item that have been written.
    front_written: usize,
}

impl OutputQueue {
    /// Number of items that are not completely written.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether everything is written.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Whether there are bytes that could be written to the socket now.
    pub fn has_writable_bytes(&self) -> bool {
        match self.items.front() {
            Some(Item::Bytes { .. }) => true,
            Some(Item::Streamed(upstream)) => upstream.streamable_bytes() > 0,
            None => false,
        }
    }

    /// Whether a streamed value is among the items.
    pub fn has_streamed_value(&self) -> bool {
        let is_streamed = |item: &Item| matches!(item, Item::Streamed(_));
        self.items.iter().any(is_streamed)
    }

    /// Appends a response; `upstream` carries the value of a streamed one.
    pub fn push(&mut self, response: Response, upstream: Option<Rc<Upstream>>) {
        let counted_size = response.size();
        self.push_bytes(response::encode(response), counted_size);
        if let Some(upstream) = upstream {
            self.items.push_back(Item::Streamed(upstream));
            self.push_bytes(VALUE_TERMINATOR.to_vec(), 0);
        }
    }

    fn push_bytes(&mut self, bytes: Vec<u8>, counted_size: usize) {
        self.items.push_back(Item::Bytes {
            bytes,
            counted_size,
        });
    }

    /// Ends the streamed value, as it breaks off. The responses ahead of it are kept.
    pub fn break_off_value(&mut self, error: Response) -> BrokenValue {
        let is_streamed = |item: &Item| matches!(item, Item::Streamed(_));
        let Some(value) = self.items.iter().position(is_streamed) else {
            return BrokenValue::Whole;
        };
        let Some(header) = value.checked_sub(1) else {
            self.items.clear();
            return BrokenValue::Cut;
        };
        if header == 0 && self.front_written > 0 {
            self.items.clear();
            return BrokenValue::Cut;
        }
        let later_items = self.items.split_off(value + 2);
        self.items.truncate(header);
        self.push(error, None);
        self.items.extend(later_items);
        BrokenValue::Replaced
    }

    /// Writes as much as the socket accepts. Returns the counted size of the responses that are now
    /// completely written.
    pub fn write(&mut self, stream: &TcpStream, mode: WriteMode) -> io::Result<usize> {
        let mut written_size = 0;
        while let Some(first) = self.items.front() {
            match write_item(first, self.front_written, stream, mode) {
                Ok(WriteProgress::Complete) => {
                    if let Item::Bytes { counted_size, .. } = first {
                        written_size += counted_size;
                    }
                    self.items.pop_front();
                    self.front_written = 0;
                }
                Ok(WriteProgress::Partial(count)) => self.front_written += count,
                Ok(WriteProgress::AwaitsUpstream) => break,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        Ok(written_size)
    }
}

/// Writes an item, of which `written` bytes have been written before.
fn write_item(
    item: &Item,
    written: usize,
    stream: &TcpStream,
    mode: WriteMode,
) -> io::Result<WriteProgress> {
    let bytes = match item {
        Item::Bytes { bytes, .. } => bytes,
        Item::Streamed(upstream) => {
            return upstream.write_streamed(stream).map(|complete| {
                if complete {
                    WriteProgress::Complete
                } else {
                    WriteProgress::AwaitsUpstream
                }
            })
        }
    };
    let unwritten = &bytes[written..];
    let count = retry_interrupted(|| write_bytes(stream, unwritten, mode))?;
    if count == 0 {
        return Err(io::ErrorKind::WriteZero.into());
    }
    Ok(if count == unwritten.len() {
        WriteProgress::Complete
    } else {
        WriteProgress::Partial(count)
    })
}

fn write_bytes(stream: &TcpStream, bytes: &[u8], mode: WriteMode) -> io::Result<usize> {
    match mode {
        WriteMode::Immediate => stream.try_write(bytes),
        WriteMode::WithFin => stream.try_io(Interest::WRITABLE, || {
            socket2::SockRef::from(stream).send_with_flags(bytes, libc::MSG_MORE)
        }),
    }
}
