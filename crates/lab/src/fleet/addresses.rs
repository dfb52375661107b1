//! The loopback addresses of a run: each run claims a block, which has an address and port for each
//! listening socket of the fleet.
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

use crate::scenario::LabError;

/// Port on which a node listens for clients.
const CLIENT_PORT: u16 = 7000;
/// Port on which a node listens for operators.
const ADMIN_PORT: u16 = 7001;
/// Port on which a node listens for its peers.
const PEER_PORT: u16 = 7002;
/// Port at which a node reaches discovery.
const DISCOVERY_PORT: u16 = 7099;
/// Port at which a node reaches the first server; those of the other servers follow.
const FIRST_SERVER_PORT: u16 = 7100;
/// Port at which a node reaches the first peer; those of the other peers follow.
const FIRST_PEER_PORT: u16 = 8000;
/// Fourth byte of the address whose listening socket claims the block.
const CLAIM_BYTE: u8 = 254;
/// Port of the listening socket that claims the block.
const CLAIM_PORT: u16 = 6999;
/// Number of consecutive third bytes in a block: the first is for the nodes' own addresses, the
/// second for those of servers and discovery, the third for those of peers; the fourth is unused.
const BLOCK_SIZE: u8 = 4;
/// Highest third byte at which a block can start.
const LAST_START: u8 = 252;
/// Lowest second byte in the search for a free block.
const FIRST_SECOND_BYTE: usize = 64;
/// Number of second bytes in the search for a free block.
const SECOND_BYTES: usize = 63;
/// Number of blocks with the same second byte.
const BLOCKS_PER_BYTE: usize = 64;
/// Number of blocks in the search for a free block.
const BLOCKS: usize = SECOND_BYTES * BLOCKS_PER_BYTE;

/// The addresses of one rig: a block of loopback addresses that no other rig has claimed.
pub struct AddressBlock {
    /// Second byte of the block's addresses.
    second: u8,
    /// Lowest third byte of the block's addresses.
    third: u8,
    /// Listening socket that prevents other rigs from claiming the block.
    _claim: TcpListener,
}

impl AddressBlock {
    /// Claims the named block, such as "127.90.0", or any free one if no name is given.
    pub fn claim(named: Option<&str>) -> Result<AddressBlock, LabError> {
        match named {
            Some(named) => AddressBlock::claim_named(named),
            None => AddressBlock::claim_free(),
        }
    }

    fn claim_named(named: &str) -> Result<AddressBlock, LabError> {
        let bytes: Vec<Option<u8>> = named.split('.').map(|byte| byte.parse().ok()).collect();
        let [Some(127), Some(second), Some(third @ ..=LAST_START)] = bytes[..] else {
            return Err(LabError(format!(
                "block: {named:?} is not a block such as \"127.90.0\""
            )));
        };
        let taken = |e| LabError(format!("block: {named}.{CLAIM_BYTE}:{CLAIM_PORT}: {e}"));
        AddressBlock::bind(second, third).map_err(taken)
    }

    /// Claims the first free block. Each process starts its search at a block that depends on its
    /// id, so that processes which search at the same time rarely try the same block.
    fn claim_free() -> Result<AddressBlock, LabError> {
        let first = std::process::id() as usize;
        let mut numbers = (0..BLOCKS).map(|i| (first * 7 + i) % BLOCKS);
        let found = numbers.find_map(|number| {
            let second = (FIRST_SECOND_BYTE + number / BLOCKS_PER_BYTE) as u8;
            let third = (number % BLOCKS_PER_BYTE) as u8 * BLOCK_SIZE;
            AddressBlock::bind(second, third).ok()
        });
        found.ok_or_else(|| LabError("no free block of loopback addresses".to_owned()))
    }

    fn bind(second: u8, third: u8) -> std::io::Result<AddressBlock> {
        let claim = TcpListener::bind(address([127, second, third, CLAIM_BYTE], CLAIM_PORT))?;
        Ok(AddressBlock {
            second,
            third,
            _claim: claim,
        })
    }

    /// Returns the name of the block for use in a file name.
    pub fn name(&self) -> String {
        format!("{}-{}", self.second, self.third)
    }

    fn node(&self, node: usize, port: u16) -> SocketAddr {
        address([127, self.second, self.third, node as u8 + 1], port)
    }

    /// Returns the address on which a node listens for clients.
    pub fn clients(&self, node: usize) -> SocketAddr {
        self.node(node, CLIENT_PORT)
    }

    /// Returns the address on which a node listens for operators.
    pub fn admin(&self, node: usize) -> SocketAddr {
        self.node(node, ADMIN_PORT)
    }

    /// Returns the address on which a node listens for its peers.
    pub fn peer(&self, node: usize) -> SocketAddr {
        self.node(node, PEER_PORT)
    }

    /// Returns the address at which a node reaches a server.
    pub fn server(&self, node: usize, server: usize) -> SocketAddr {
        address(
            [127, self.second, self.third + 1, node as u8 + 1],
            FIRST_SERVER_PORT + server as u16,
        )
    }

    /// Returns the address at which a node reaches discovery.
    pub fn discovery(&self, node: usize) -> SocketAddr {
        address(
            [127, self.second, self.third + 1, node as u8 + 1],
            DISCOVERY_PORT,
        )
    }

    /// Returns the address at which a node reaches another node.
    pub fn peer_as_seen_by(&self, node: usize, other: usize) -> SocketAddr {
        address(
            [127, self.second, self.third + 2, node as u8 + 1],
            FIRST_PEER_PORT + other as u16,
        )
    }
}

fn address(ip: [u8; 4], port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from(ip)), port)
}
