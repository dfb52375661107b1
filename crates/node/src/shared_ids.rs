//! The ids of calls that must not be executed twice, shared by the two processes of an upgrade: a
//! client may leave one of them while its call is in flight, and send the call again to the other.
//!
//! The processes share a file of a fixed size, a table of hashes. Where it can't be used, each process
//! knows its own ids only.
use std::fs::{File, OpenOptions};
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::{FileExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

use quartzhub_policy::{hash, Span};

use crate::system::monotonic_ms;

#[cfg(test)]
mod tests;

/// Number of entries; a newer id replaces an older one of the same slot.
const SLOTS: u64 = 4096;
/// Size of an entry in bytes: hash, time, process, in 8 bytes each.
const ENTRY_BYTES: usize = 24;
/// Access for the owner only.
const FILE_MODE: u32 = 0o600;

/// One id in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Entry {
    hash: u64,
    /// When it was written, on the system's monotonic clock, in milliseconds.
    written_at_ms: u64,
    process: u64,
}

impl Entry {
    fn to_bytes(self) -> [u8; ENTRY_BYTES] {
        let mut bytes = [0; ENTRY_BYTES];
        bytes[..8].copy_from_slice(&self.hash.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.written_at_ms.to_le_bytes());
        bytes[16..].copy_from_slice(&self.process.to_le_bytes());
        bytes
    }

    fn from_bytes(bytes: [u8; ENTRY_BYTES]) -> Entry {
        let number = |from: usize| {
            let mut number = [0; 8];
            number.copy_from_slice(&bytes[from..from + 8]);
            u64::from_le_bytes(number)
        };
        Entry {
            hash: number(0),
            written_at_ms: number(8),
            process: number(16),
        }
    }
}

/// The table of ids that this process shares with another.
#[derive(Debug)]
pub struct SharedIds {
    file: File,
    process: u64,
    /// How long an id is remembered.
    id_memory: Span,
}

impl SharedIds {
    /// Opens the table of the node that listens on `address`, in the folder for temporary files.
    pub fn open(address: SocketAddr, id_memory: Span) -> io::Result<SharedIds> {
        SharedIds::open_file(&table_path(address), std::process::id(), id_memory)
    }

    fn open_file(path: &Path, process: u32, id_memory: Span) -> io::Result<SharedIds> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .mode(FILE_MODE)
            .custom_flags(libc::O_NOFOLLOW)
            .open(path)?;
        Ok(SharedIds {
            file,
            process: u64::from(process),
            id_memory,
        })
    }

    /// Records an id before its call is sent to a server.
    pub fn insert(&self, id: &str) -> io::Result<()> {
        let entry = Entry {
            hash: hash(id),
            written_at_ms: monotonic_ms(),
            process: self.process,
        };
        self.file
            .write_all_at(&entry.to_bytes(), entry_offset(entry.hash))
    }

    /// Returns whether the other process has sent a call with this id to a server recently.
    pub fn sent_by_other_process(&self, id: &str) -> bool {
        let hash = hash(id);
        let mut bytes = [0; ENTRY_BYTES];
        if self
            .file
            .read_exact_at(&mut bytes, entry_offset(hash))
            .is_err()
        {
            // The table is not that long yet, or can't be read.
            return false;
        }
        let entry = Entry::from_bytes(bytes);
        let age_ms = monotonic_ms().saturating_sub(entry.written_at_ms);
        entry.hash == hash
            && entry.process != self.process
            && (age_ms as f64) < self.id_memory.as_ms()
    }
}

fn entry_offset(hash: u64) -> u64 {
    hash % SLOTS * ENTRY_BYTES as u64
}

/// The file of the node that listens on an address.
fn table_path(address: SocketAddr) -> PathBuf {
    let name = format!("quartzhub-sent-ids-{}-{}", address.ip(), address.port());
    std::env::temp_dir().join(name)
}
