//! The encoding of datagrams, and the messages of the membership protocol. A datagram has at most
//! 256 bytes, with a version, a hash of the fleet's name, and a checksum. postcard encodes variants
//! by index and fields by order, so the order of both must not change.
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::drain_overrides::DrainOverride;
use crate::endpoint::{DatagramEntry, DatagramHead};
use crate::NodeId;

/// Maximum size of a datagram on the platform, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;

/// The version of the membership protocol, which is the first byte of its datagrams.
pub const VERSION: u8 = 2;

/// Size of the version and the fleet's hash, in bytes.
const PREFIX_BYTES: usize = 5;

/// Size of the CRC32 at the end of a datagram, in bytes.
const CHECKSUM_BYTES: usize = 4;

/// Maximum incarnation that is accepted. A node raises its incarnation only at a restart and to
/// refute a suspicion, never a billion times.
pub(crate) const MAX_INCARNATION: u32 = 1 << 30;

/// The kind of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageKind {
    /// Requests an ack.
    Ping {
        /// Whether the sender has just started and wants as many table entries as fit.
        hello: bool,
    },
    /// Requests an indirect probe: the receiver pings the target on behalf of the sender.
    PingReq,
    /// The target has responded to a ping.
    Ack,
    /// The target has not responded to the node that performs the indirect probe. The nack also
    /// shows that this node itself is reachable.
    Nack,
}

/// What a node reports about another as of an incarnation, or a drain override.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// The node is alive.
    Alive {
        /// The node that the entry is about.
        node: NodeId,
        /// Its incarnation.
        incarnation: u32,
    },
    /// The node has not responded to a probe.
    Suspect {
        /// The node that the entry is about.
        node: NodeId,
        /// Its incarnation.
        incarnation: u32,
        /// The node whose probe failed.
        by: NodeId,
    },
    /// A datagram of the node was received after it was suspected.
    Heard {
        /// The node that the entry is about.
        node: NodeId,
        /// Its incarnation.
        incarnation: u32,
        /// The node that received the datagram.
        by: NodeId,
    },
    /// The node is declared dead.
    Dead {
        /// The node that the entry is about.
        node: NodeId,
        /// Its incarnation.
        incarnation: u32,
    },
    /// The node has left as planned.
    Left {
        /// The node that the entry is about.
        node: NodeId,
        /// Its incarnation.
        incarnation: u32,
    },
    /// An operator's drain override for a server.
    DrainOverride(DrainOverride),
}

impl Entry {
    /// Returns the incarnation, or the version of a drain override.
    pub fn incarnation(&self) -> u32 {
        match *self {
            Entry::Alive { incarnation, .. }
            | Entry::Suspect { incarnation, .. }
            | Entry::Heard { incarnation, .. }
            | Entry::Dead { incarnation, .. }
            | Entry::Left { incarnation, .. } => incarnation,
            Entry::DrainOverride(drain_override) => drain_override.version,
        }
    }

    /// Returns the node that the entry is about, or the issuer of a drain override.
    pub fn node(&self) -> NodeId {
        match *self {
            Entry::Alive { node, .. }
            | Entry::Suspect { node, .. }
            | Entry::Heard { node, .. }
            | Entry::Dead { node, .. }
            | Entry::Left { node, .. } => node,
            Entry::DrainOverride(drain_override) => drain_override.by,
        }
    }
}

impl DatagramEntry for Entry {
    /// Rejects an incarnation so high that its node could not go above it to refute a suspicion.
    fn is_valid(&self, nodes: usize) -> bool {
        self.incarnation() <= MAX_INCARNATION && self.node().index() < nodes
    }
}

/// The head of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The kind of the message.
    pub kind: MessageKind,
    /// The sender.
    pub from: NodeId,
    /// The sender's incarnation.
    pub incarnation: u32,
    /// Sequence number, which grows with each datagram of the sender's process.
    pub sequence: u32,
    /// The probe that the message belongs to, identified by the sequence number of its ping.
    pub probe: u32,
    /// The node that is probed.
    pub target: NodeId,
}

impl DatagramHead for Head {
    fn sender(&self) -> NodeId {
        self.from
    }

    /// Rejects an incarnation so high that its node could not go above it to refute a suspicion.
    fn is_valid(&self, nodes: usize) -> bool {
        self.incarnation <= MAX_INCARNATION && self.target.index() < nodes
    }
}

/// The reason why a datagram cannot be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DatagramError {
    /// The datagram is too short or too long.
    Length,
    /// The checksum does not match.
    Checksum,
    /// The datagram is of another protocol or version.
    Version,
    /// The datagram is of another fleet.
    Fleet,
    /// The content does not parse as a head and entries.
    Malformed,
}

/// A datagram that is being built. Entries are added while they fit.
pub struct Packet {
    bytes: [u8; MAX_DATAGRAM_BYTES],
    used: usize,
}

impl Packet {
    /// Starts a datagram with a head and no entries.
    pub fn new(version: u8, fleet: u32, head: &impl Serialize) -> Packet {
        let mut packet = Packet {
            bytes: [0; MAX_DATAGRAM_BYTES],
            used: PREFIX_BYTES,
        };
        packet.bytes[0] = version;
        packet.bytes[1..PREFIX_BYTES].copy_from_slice(&fleet.to_le_bytes());
        packet.add(head);
        packet
    }

    /// Adds an entry; returns false if it does not fit.
    pub fn add(&mut self, entry: &impl Serialize) -> bool {
        let available = &mut self.bytes[self.used..MAX_DATAGRAM_BYTES - CHECKSUM_BYTES];
        match postcard::to_slice(entry, available) {
            Ok(written) => {
                self.used += written.len();
                true
            }
            Err(_) => false,
        }
    }

    /// Appends the checksum and returns the datagram.
    pub fn finish(mut self) -> Vec<u8> {
        let checksum = crc32fast::hash(&self.bytes[..self.used]).to_le_bytes();
        let end = self.used + CHECKSUM_BYTES;
        self.bytes[self.used..end].copy_from_slice(&checksum);
        self.bytes[..end].to_vec()
    }
}

/// Decodes a datagram of the membership protocol, completely or not at all.
pub fn decode_datagram(bytes: &[u8], fleet: u32) -> Result<(Head, Vec<Entry>), DatagramError> {
    decode(VERSION, bytes, fleet)
}

/// Decodes a datagram of any protocol of this encoding, completely or not at all.
pub fn decode<H, E>(version: u8, bytes: &[u8], fleet: u32) -> Result<(H, Vec<E>), DatagramError>
where
    H: DeserializeOwned,
    E: DeserializeOwned,
{
    if bytes.len() > MAX_DATAGRAM_BYTES || bytes.len() < PREFIX_BYTES + CHECKSUM_BYTES {
        return Err(DatagramError::Length);
    }
    let (body, checksum) = bytes.split_at(bytes.len() - CHECKSUM_BYTES);
    if crc32fast::hash(body).to_le_bytes() != checksum {
        return Err(DatagramError::Checksum);
    }
    if body[0] != version {
        return Err(DatagramError::Version);
    }
    if body[1..PREFIX_BYTES] != fleet.to_le_bytes() {
        return Err(DatagramError::Fleet);
    }
    let (head, mut rest) =
        postcard::take_from_bytes(&body[PREFIX_BYTES..]).map_err(|_| DatagramError::Malformed)?;
    let mut entries = Vec::new();
    while !rest.is_empty() {
        let (entry, remaining) =
            postcard::take_from_bytes(rest).map_err(|_| DatagramError::Malformed)?;
        entries.push(entry);
        rest = remaining;
    }
    Ok((head, entries))
}

/// Returns the hash that identifies a fleet by its name in each datagram.
pub fn fleet_hash(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}
