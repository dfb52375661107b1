//! What goes between nodes: datagrams of 256 bytes at most, beside the membership's and of another version, so that a node of
//! the version before drops them and takes no harm. What can't be read is told apart by its fault, and dropped.
use quartzhub_members::wire::read_as;
pub use quartzhub_members::wire::{Fault, Packet, LONGEST};
use quartzhub_members::Id;
use serde::{Deserialize, Serialize};

use crate::leases::Ask;
use crate::load_reports::LoadReport;

/// The first byte. The membership's are 1 and 2.
pub const VERSION: u8 = 3;

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// What a node says of its own load, passed on.
    Report(LoadReport),
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
            Entry::Report(report) => report.of,
            Entry::Ask(ask) | Entry::Grant(ask) | Entry::Free(ask) => ask.part,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    pub from: Id,
    /// Reports are wanted in return.
    pub asks: bool,
}

/// Whether a datagram is one of these, and not the membership's.
pub fn is_mine(bytes: &[u8]) -> bool {
    bytes.first() == Some(&VERSION)
}

/// Reads a datagram whole or not at all.
pub fn read(bytes: &[u8], fleet: u32) -> Result<(Head, Vec<Entry>), Fault> {
    read_as(VERSION, bytes, fleet)
}
