//! Byte buffer of a connection: grows on demand and is compacted in place.
use std::io;

use bytes::{BufMut, Bytes};
use tokio::net::TcpStream;

use crate::system::retry_interrupted;

/// Bytes that are read but not consumed yet, or that are to be written.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    /// Index of the first byte that is not consumed.
    start: usize,
}

impl Buffer {
    /// The bytes that are not consumed yet.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Whether everything has been consumed.
    pub fn is_empty(&self) -> bool {
        self.start == self.bytes.len()
    }

    /// Allocated memory in bytes.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Appends bytes.
    pub fn put(&mut self, bytes: &[u8]) {
        self.compact();
        self.bytes.extend_from_slice(bytes);
    }

    /// Removes the first `count` bytes.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.bytes.len());
        if self.is_empty() {
            self.clear();
        }
    }

    /// Removes and returns the first `count` bytes without copying them, for large values.
    pub fn take(&mut self, count: usize) -> Bytes {
        let start = std::mem::take(&mut self.start);
        let mut bytes = std::mem::take(&mut self.bytes);
        self.bytes = bytes.split_off((start + count).min(bytes.len()));
        Bytes::from(bytes).slice(start..)
    }

    /// Reserves capacity for `count` bytes in total, unread ones included.
    pub fn reserve_total(&mut self, count: usize) {
        self.compact();
        self.bytes
            .reserve_exact(count.saturating_sub(self.bytes.len()));
    }

    /// Discards all bytes.
    pub fn clear(&mut self) {
        self.bytes.clear();
        self.start = 0;
    }

    /// Frees all memory if the buffer is empty and its capacity exceeds `max_capacity` bytes. Shrunk
    /// in place, many buffers would leave the heap in pieces too small for the next ones.
    pub fn shrink(&mut self, max_capacity: usize) {
        if self.is_empty() && self.bytes.capacity() > max_capacity {
            self.bytes = Vec::new();
        }
    }

    /// Frees capacity beyond `min_capacity` bytes that the unread bytes don't need.
    pub fn trim(&mut self, min_capacity: usize) {
        let capacity = self.unread().len().max(min_capacity);
        if self.bytes.capacity() <= capacity {
            return;
        }
        let mut bytes = Vec::new();
        if !self.is_empty() {
            bytes.reserve_exact(capacity);
            bytes.extend_from_slice(self.unread());
        }
        self.bytes = bytes;
        self.start = 0;
    }

    fn compact(&mut self) {
        if self.start > 0 {
            self.bytes.copy_within(self.start.., 0);
            self.bytes.truncate(self.bytes.len() - self.start);
            self.start = 0;
        }
    }

    /// Reads available bytes, at most about `count`. Returns the number read; 0 means end-of-file.
    pub fn read(&mut self, stream: &TcpStream, count: usize) -> io::Result<usize> {
        if self.bytes.capacity() - self.bytes.len() < count / 4 {
            self.compact();
            self.bytes.reserve_exact(count);
        }
        retry_interrupted(|| stream.try_read_buf(&mut self.bytes))
    }

    /// Reads available bytes, at most `count`, into a buffer that may hold `max_unread` bytes in
    /// all and allocates no more than that. Returns the number read; 0 means end-of-file.
    pub fn read_within(
        &mut self,
        stream: &TcpStream,
        count: usize,
        max_unread: usize,
    ) -> io::Result<usize> {
        let room = max_unread.saturating_sub(self.unread().len()).min(count);
        if self.bytes.capacity() - self.bytes.len() < room.min(count / 4) {
            self.compact();
            self.bytes.reserve_exact(room);
        }
        retry_interrupted(|| stream.try_read_buf(&mut (&mut self.bytes).limit(room)))
    }

    /// Writes and consumes as much as the socket accepts.
    pub fn write(&mut self, stream: &TcpStream) -> io::Result<()> {
        while !self.is_empty() {
            match retry_interrupted(|| stream.try_write(self.unread())) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => self.consume(count),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

/// What a connection has to read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readable {
    /// It is open and has nothing to read.
    Nothing,
    /// Bytes.
    Bytes,
    /// Its end, or an error.
    End,
}

/// Returns what a connection has to read. Asks the kernel, as tokio may not have seen an event yet.
pub fn readable(stream: &TcpStream) -> Readable {
    let socket = socket2::SockRef::from(stream);
    match retry_interrupted(|| socket.peek(&mut [std::mem::MaybeUninit::uninit()])) {
        Ok(0) => Readable::End,
        Ok(_) => Readable::Bytes,
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Readable::Nothing,
        Err(_) => Readable::End,
    }
}

/// Whether a connection is open and has no bytes to read.
pub fn is_open_and_idle(stream: &TcpStream) -> bool {
    readable(stream) == Readable::Nothing
}

#[cfg(test)]
mod tests;
