//! What goes between nodes: datagrams of 256 bytes at most, beside the membership's and of another version, so that a node of
//! the version before drops them and takes no harm. What can't be read is told apart by its fault, and dropped.
pub use quartzhub_members::wire::{Fault, LONGEST};
use quartzhub_members::Id;
use serde::{Deserialize, Serialize};

use crate::leases::Ask;
use crate::words::Word;

/// The first byte. The membership's are 1 and 2.
pub const VERSION: u8 = 3;
const CHECK: usize = 4;

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// What a node says of its own load, passed on.
    Word(Word),
    /// The sender asks for a part.
    Ask(Ask),
    /// The sender, of its committee, holds to it.
    Grant(Ask),
    /// The sender uses it no more, and will not by that round's grants.
    Free(Ask),
}

impl Entry {
    /// Whom it names.
    pub fn of(&self) -> Id {
        match *self {
            Entry::Word(word) => word.of,
            Entry::Ask(ask) | Entry::Grant(ask) | Entry::Free(ask) => ask.part,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    pub from: Id,
    /// Words are wanted in return.
    pub asks: bool,
}

/// A datagram in the making: entries are added while they fit.
pub struct Packet {
    bytes: [u8; LONGEST],
    used: usize,
}

impl Packet {
    pub fn new(fleet: u32, head: &Head) -> Packet {
        let mut packet = Packet { bytes: [0; LONGEST], used: 5 };
        packet.bytes[0] = VERSION;
        packet.bytes[1..5].copy_from_slice(&fleet.to_le_bytes());
        packet.put(head);
        packet
    }

    fn put<T: Serialize>(&mut self, what: &T) -> bool {
        let written = postcard::to_slice(what, &mut self.bytes[self.used..LONGEST - CHECK]).map(|w| w.len());
        self.used += *written.as_ref().unwrap_or(&0);
        written.is_ok()
    }

    /// Whether there was room for it.
    pub fn add(&mut self, entry: &Entry) -> bool {
        self.put(entry)
    }

    pub fn done(mut self) -> Vec<u8> {
        let sum = crc32fast::hash(&self.bytes[..self.used]).to_le_bytes();
        self.bytes[self.used..self.used + CHECK].copy_from_slice(&sum);
        self.bytes[..self.used + CHECK].to_vec()
    }
}

/// Whether a datagram is one of these, and not the membership's.
pub fn is_mine(bytes: &[u8]) -> bool {
    bytes.first() == Some(&VERSION)
}

/// Reads a datagram whole or not at all.
pub fn read(bytes: &[u8], fleet: u32) -> Result<(Head, Vec<Entry>), Fault> {
    if bytes.len() > LONGEST || bytes.len() < 5 + CHECK {
        return Err(Fault::Length);
    }
    let (body, sum) = bytes.split_at(bytes.len() - CHECK);
    if crc32fast::hash(body).to_le_bytes() != sum {
        return Err(Fault::Checksum);
    }
    if body[0] != VERSION {
        return Err(Fault::Version);
    }
    if body[1..5] != fleet.to_le_bytes() {
        return Err(Fault::Fleet);
    }
    let (head, mut rest) = postcard::take_from_bytes::<Head>(&body[5..]).map_err(|_| Fault::Form)?;
    let mut entries = Vec::new();
    while !rest.is_empty() {
        let (entry, after) = postcard::take_from_bytes::<Entry>(rest).map_err(|_| Fault::Form)?;
        entries.push(entry);
        rest = after;
    }
    Ok((head, entries))
}
