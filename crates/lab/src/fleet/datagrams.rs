//! A relay of datagrams between nodes. It has a socket for each ordered pair of nodes, so that each
//! link can be impaired separately and each node sees its peers under the addresses that its
//! configuration names.
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use quartzhub_policy::Pcg;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

use super::link::Link;
use crate::rule_monitor::RuleMonitor;

/// Number of the latest datagrams of one link that are kept for replay.
const RECENT_PER_LINK: usize = 8;
/// The platform's limit on the size of a datagram, in bytes; a longer one breaks the platform rule.
pub const MAX_SIZE: usize = 256;
/// Exclusive upper bound on the size of a flood's random datagrams, in bytes.
const MAX_RANDOM_SIZE: f64 = 300.0;
/// Fraction of a flood's datagrams that are random bytes.
const RANDOM_FRACTION: f64 = 0.4;
/// Fraction of a flood's datagrams that are random bytes or have one bit flipped; the others are
/// exact repetitions.
const CORRUPT_FRACTION: f64 = 0.8;

/// An ordered pair of nodes: the sender and the receiver of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct NodePair {
    /// Index of the sending node.
    pub from: usize,
    /// Index of the receiving node.
    pub to: usize,
}

/// A datagram between two nodes.
#[derive(Debug, Clone)]
pub struct Datagram {
    /// Sender and receiver.
    pub pair: NodePair,
    /// Content of the datagram.
    pub bytes: Vec<u8>,
}

/// The sockets of all pairs, and the links between them.
pub struct DatagramRelay {
    /// By the pair (from, to): the socket to which `from` sends its datagrams for `to`, and from
    /// which `from` receives those of `to`.
    sockets: HashMap<NodePair, Rc<UdpSocket>>,
    links: HashMap<NodePair, Rc<Link>>,
    /// Address on which each node listens for its peers.
    node_addrs: Vec<SocketAddr>,
    /// The latest datagrams of each link, for replay.
    recent: RefCell<HashMap<NodePair, VecDeque<Vec<u8>>>>,
}

impl DatagramRelay {
    /// Opens a socket for each pair, at the address `relay_addr(from, to)` under which `from` sees
    /// `to`.
    pub async fn open(
        node_addrs: Vec<SocketAddr>,
        relay_addr: impl Fn(usize, usize) -> SocketAddr,
        links: HashMap<NodePair, Rc<Link>>,
    ) -> io::Result<Rc<DatagramRelay>> {
        let mut sockets = HashMap::new();
        for from in 0..node_addrs.len() {
            for to in (0..node_addrs.len()).filter(|to| *to != from) {
                let socket = UdpSocket::bind(relay_addr(from, to)).await?;
                sockets.insert(NodePair { from, to }, Rc::new(socket));
            }
        }
        Ok(Rc::new(DatagramRelay {
            sockets,
            links,
            node_addrs,
            recent: RefCell::default(),
        }))
    }

    /// Starts a task for each pair that relays its datagrams until the run ends.
    pub fn run(self: &Rc<DatagramRelay>, monitor: &Rc<RuleMonitor>) {
        for pair in self.sockets.keys() {
            spawn_local(self.clone().relay(*pair, monitor.clone()));
        }
    }

    async fn relay(self: Rc<DatagramRelay>, pair: NodePair, monitor: Rc<RuleMonitor>) {
        let socket = self.sockets[&pair].clone();
        let link = self.links[&pair].clone();
        let mut buffer = vec![0; 2 * MAX_SIZE];
        loop {
            // An error here reports that an earlier datagram reached no listening socket.
            let Ok((size, sender)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            if sender != self.node_addrs[pair.from] {
                continue;
            }
            if size > MAX_SIZE {
                let NodePair { from, to } = pair;
                monitor.record_platform_violation(&format!(
                    "node {from} sent node {to} a datagram of {size} bytes or more"
                ));
                continue;
            }
            let datagram = Datagram {
                pair,
                bytes: buffer[..size].to_vec(),
            };
            self.keep_recent(&datagram);
            for arrival in link.datagram_arrivals(size).into_iter().flatten() {
                let (relay, link, datagram) = (self.clone(), link.clone(), datagram.clone());
                spawn_local(async move {
                    sleep_until(arrival).await;
                    // A datagram in flight when a partition begins is lost.
                    if !link.impairment().partitioned {
                        link.datagrams_arrived.set(link.datagrams_arrived.get() + 1);
                        relay.deliver(&datagram).await;
                    }
                });
            }
        }
    }

    fn keep_recent(&self, datagram: &Datagram) {
        let mut recent = self.recent.borrow_mut();
        let recent = recent.entry(datagram.pair).or_default();
        recent.push_back(datagram.bytes.clone());
        if recent.len() > RECENT_PER_LINK {
            recent.pop_front();
        }
    }

    /// Returns the latest datagrams that a node has sent.
    pub fn recent_from(&self, from: usize) -> Vec<Datagram> {
        let recent = self.recent.borrow();
        let links = recent.iter().filter(|(pair, _)| pair.from == from);
        links
            .flat_map(|(&pair, datagrams)| {
                datagrams.iter().map(move |bytes| Datagram {
                    pair,
                    bytes: bytes.clone(),
                })
            })
            .collect()
    }

    /// Delivers one datagram of a flood to a node, under the address of a random peer: random
    /// bytes, the peer's last datagram with one bit flipped, or that datagram once more.
    pub async fn send_flood_datagram(&self, to: usize, rng: &mut Pcg) {
        let from = (rng.unit() * self.node_addrs.len() as f64) as usize;
        if from == to {
            return;
        }
        let pair = NodePair { from, to };
        let last = self
            .recent
            .borrow()
            .get(&pair)
            .and_then(|datagrams| datagrams.back().cloned());
        let mut bytes = last.unwrap_or_default();
        let kind = rng.unit();
        if kind < RANDOM_FRACTION || bytes.is_empty() {
            bytes = (0..(rng.unit() * MAX_RANDOM_SIZE) as usize)
                .map(|_| (rng.unit() * 256.0) as u8)
                .collect();
        } else if kind < CORRUPT_FRACTION {
            let index = (rng.unit() * bytes.len() as f64) as usize;
            bytes[index] ^= 1 << (rng.unit() * 8.0) as u8;
        }
        self.deliver(&Datagram { pair, bytes }).await;
    }

    /// Delivers a datagram from the address under which the receiver knows its sender.
    pub async fn deliver(&self, datagram: &Datagram) {
        let NodePair { from, to } = datagram.pair;
        let reverse = NodePair { from: to, to: from };
        if let Some(socket) = self.sockets.get(&reverse) {
            let _ = socket.send_to(&datagram.bytes, self.node_addrs[to]).await;
        }
    }
}
