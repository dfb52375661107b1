//! One node's endpoint of a datagram protocol: counts the datagrams sent, and admits or drops those
//! received.
use quartzhub_policy::Time;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::wire::{self, Packet};
use crate::{Datagram, NodeId, RateLimiter};

/// Counters of datagrams sent, received and dropped. Fields with a `rename` attribute keep the
/// names that operators read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct TrafficCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams received and admitted.
    pub received: u64,
    /// Datagrams dropped because they are too short, too long, or not decodable, or because the
    /// checksum, version or fleet does not match.
    #[serde(rename = "spoilt")]
    pub malformed: u64,
    /// Datagrams dropped because their sender does not match their address, or because their
    /// content is impossible, such as an entry about a node that is not configured.
    #[serde(rename = "forged")]
    pub rejected_sender: u64,
    /// Datagrams dropped because their sender exceeded its rate.
    #[serde(rename = "flood")]
    pub rate_limited: u64,
}

/// The head of a datagram.
pub trait DatagramHead: DeserializeOwned {
    /// Returns the node that the datagram claims to come from.
    fn sender(&self) -> NodeId;

    /// Returns whether its content is possible in a fleet of this many configured nodes.
    fn is_valid(&self, nodes: usize) -> bool;
}

/// An entry of a datagram, which carries any number of entries.
pub trait DatagramEntry: DeserializeOwned {
    /// Returns whether its content is possible in a fleet of this many configured nodes.
    fn is_valid(&self, nodes: usize) -> bool;
}

/// An admitted datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received<H, E> {
    /// Its head.
    pub head: H,
    /// Its entries, in the order of the datagram.
    pub entries: Vec<E>,
}

/// The protocol, fleet and node of an endpoint, and its rate limits.
#[derive(Debug, Clone, Copy)]
pub struct EndpointConfig {
    /// The protocol's version, which is the first byte of each datagram.
    pub version: u8,
    /// The hash of the fleet's name, which is part of each datagram.
    pub fleet: u32,
    /// The id of this node.
    pub me: NodeId,
    /// The number of configured nodes.
    pub nodes: usize,
    /// Sustained rate of datagrams accepted from one sender, per second.
    pub datagrams_per_second: f64,
    /// Burst of datagrams accepted from one sender above that rate.
    pub datagram_burst: f64,
}

/// One node's endpoint of a datagram protocol.
#[derive(Debug)]
pub struct DatagramEndpoint {
    config: EndpointConfig,
    rate_limiter: RateLimiter,
    traffic: TrafficCounters,
}

impl DatagramEndpoint {
    /// Creates an endpoint with all counters at zero.
    pub fn new(config: EndpointConfig) -> DatagramEndpoint {
        let rate_limiter = RateLimiter::new(
            config.nodes,
            config.datagrams_per_second,
            config.datagram_burst,
        );
        DatagramEndpoint {
            config,
            rate_limiter,
            traffic: TrafficCounters::default(),
        }
    }

    /// Returns the counters of datagrams sent, received and dropped.
    pub fn traffic(&self) -> TrafficCounters {
        self.traffic
    }

    /// Starts a packet with this head, to which entries can be added.
    pub fn packet(&self, head: &impl Serialize) -> Packet {
        Packet::new(self.config.version, self.config.fleet, head)
    }

    /// Finishes a packet and appends it to the datagrams to send.
    pub fn send(&mut self, to: NodeId, packet: Packet, out: &mut Vec<Datagram>) {
        let bytes = packet.finish();
        self.traffic.sent += 1;
        self.traffic.sent_bytes += bytes.len() as u64;
        out.push(Datagram { to, bytes });
    }

    /// Decodes and admits a datagram received from the address of a node, or drops it. The rate is
    /// checked first because decoding costs time.
    pub fn receive<H: DatagramHead, E: DatagramEntry>(
        &mut self,
        now: Time,
        from: NodeId,
        bytes: &[u8],
    ) -> Option<Received<H, E>> {
        let nodes = self.config.nodes;
        if from == self.config.me || from.index() >= nodes {
            self.traffic.rejected_sender += 1;
            return None;
        }
        if !self.rate_limiter.admits(now, from) {
            self.traffic.rate_limited += 1;
            return None;
        }
        let decoded = wire::decode::<H, E>(self.config.version, bytes, self.config.fleet);
        let Ok((head, entries)) = decoded else {
            self.traffic.malformed += 1;
            return None;
        };
        let is_valid = head.sender() == from
            && head.is_valid(nodes)
            && entries.iter().all(|entry| entry.is_valid(nodes));
        if !is_valid {
            self.traffic.rejected_sender += 1;
            return None;
        }
        self.traffic.received += 1;
        Some(Received { head, entries })
    }
}
