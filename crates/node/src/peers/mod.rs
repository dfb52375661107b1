//! Communication with the other nodes: a datagram socket, used by the membership protocol and by
//! coordination (load reports and leases). Operators can read this node's view of the fleet, and
//! their drain overrides reach every node. No API call waits for any of it.
pub mod config;
mod coordination;
mod drain_overrides;
mod logging;
#[cfg(test)]
mod tests;
mod view;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use quartzhub_coordination::{wire, Coordinator};
use quartzhub_membership::wire::{fleet_hash, MAX_DATAGRAM_BYTES};
use quartzhub_membership::{Datagram, Membership, NodeId};
use quartzhub_policy::Time;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::sleep_until;

use crate::clock::Clock;
use crate::effects::EffectExecutor;
use crate::system::bind_with_retry;
use config::PeerConfig;
pub use drain_overrides::DrainOverrideError;
use logging::LoggedState;
pub use view::{summary, CoordinationView, DrainOverrideView, MembershipView, NodeView};

/// Most datagrams received before the timers are checked. Without a bound, a flood of datagrams
/// would starve them.
const MAX_DATAGRAMS_PER_TURN: usize = 64;

/// This node's view of the other nodes, and its socket for datagrams between them.
pub struct Peers {
    config: PeerConfig,
    node_ids: HashMap<SocketAddr, NodeId>,
    socket: UdpSocket,
    clock: Clock,
    membership: RefCell<Membership>,
    /// Load reports and leases; `None` if coordination is off.
    coordinator: Option<RefCell<Coordinator>>,
    /// Number of datagrams from addresses that belong to no peer.
    unknown_senders: Cell<u64>,
    /// Revision of the drain overrides that were last passed to the reducer.
    applied_drain_overrides: Cell<u64>,
    logged: LoggedState,
    /// Notified when a datagram of another node is accepted.
    contact: Notify,
}

impl Peers {
    /// Binds the socket and starts the membership and coordination protocols.
    pub async fn open(
        config: PeerConfig,
        seed: u64,
        clock: Clock,
        limits: &crate::limits::Limits,
    ) -> io::Result<Rc<Peers>> {
        let bind = || UdpSocket::bind(config.listen);
        let socket = bind_with_retry(config.listen, clock, limits, bind).await?;
        let membership = start_membership(&config, seed, clock);
        let coordinator = config
            .coordination
            .then(|| RefCell::new(start_coordinator(&config, seed, clock)));
        let addresses = config.peers.iter().enumerate();
        let node_ids = addresses
            .map(|(i, addr)| (*addr, NodeId(i as u16)))
            .collect();
        tracing::info!(
            nodes = config.peers.len(),
            "membership: listening on {}",
            config.listen
        );
        Ok(Rc::new(Peers {
            config,
            node_ids,
            socket,
            clock,
            membership: RefCell::new(membership),
            coordinator,
            unknown_senders: Cell::new(0),
            applied_drain_overrides: Cell::new(0),
            logged: LoggedState::default(),
            contact: Notify::new(),
        }))
    }

    /// Receives datagrams and runs the timers; never returns.
    pub async fn run(self: Rc<Peers>, executor: Rc<EffectExecutor>) {
        loop {
            let due = self.clock.instant(self.next_tick_at());
            let mut out = Vec::new();
            tokio::select! {
                () = sleep_until(due) => {}
                readable = self.socket.readable() => if readable.is_ok() {
                    self.receive(&mut out);
                },
            }
            let now = self.clock.now();
            if now >= self.membership.borrow().next_tick_at() {
                self.membership.borrow_mut().tick(now, &mut out);
            }
            self.tick_coordinator(now, &executor, &mut out);
            self.send(out);
            self.apply_drain_overrides(&executor);
            self.log_changes();
            tokio::task::yield_now().await;
        }
    }

    fn next_tick_at(&self) -> Time {
        let membership = self.membership.borrow().next_tick_at();
        match &self.coordinator {
            Some(coordinator) => membership.min(coordinator.borrow().next_tick_at()),
            None => membership,
        }
    }

    /// Receives the datagrams that have arrived.
    fn receive(&self, out: &mut Vec<Datagram>) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            match self.socket.try_recv_from(&mut buffer) {
                Ok((size, from)) => self.on_datagram(from, &buffer[..size], out),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                // This error is about an earlier datagram that could not be delivered.
                Err(_) => {}
            }
        }
    }

    fn on_datagram(&self, from: SocketAddr, bytes: &[u8], out: &mut Vec<Datagram>) {
        let Some(from) = self.node_ids.get(&from).copied() else {
            self.unknown_senders.set(self.unknown_senders.get() + 1);
            return;
        };
        let now = self.clock.now();
        match &self.coordinator {
            Some(coordinator) if wire::is_coordination_datagram(bytes) => {
                coordinator.borrow_mut().receive(now, from, bytes, out);
            }
            _ => self.on_membership_datagram(now, from, bytes, out),
        }
    }

    fn on_membership_datagram(
        &self,
        now: Time,
        from: NodeId,
        bytes: &[u8],
        out: &mut Vec<Datagram>,
    ) {
        let mut membership = self.membership.borrow_mut();
        let accepted_before = membership.counters().traffic.received;
        membership.receive(now, from, bytes, out);
        // A datagram that membership dropped is no contact.
        if membership.counters().traffic.received > accepted_before {
            self.contact.notify_one();
        }
    }

    /// Sends datagrams. Those that the socket does not take at once are lost, as any datagram may
    /// be.
    fn send(&self, datagrams: Vec<Datagram>) {
        for Datagram { to, bytes } in datagrams {
            if let Some(addr) = self.config.peers.get(to.index()) {
                let _ = self.socket.try_send_to(&bytes, *addr);
            }
        }
    }

    /// Waits until a datagram of another node is accepted; it also carries the drain overrides in
    /// force. Returns at once if there is no other node.
    pub async fn wait_for_contact(&self) {
        if self.config.peers.len() > 1 {
            self.contact.notified().await;
        }
    }

    /// Notifies other nodes that this one leaves as planned.
    pub fn leave(&self) {
        let mut out = Vec::new();
        let now = self.clock.now();
        self.membership.borrow_mut().leave(now, &mut out);
        self.send(out);
    }
}

fn start_membership(config: &PeerConfig, seed: u64, clock: Clock) -> Membership {
    let membership_config = quartzhub_membership::MembershipConfig {
        disabled: config.disabled,
        ..quartzhub_membership::MembershipConfig::default()
    };
    let mut membership = Membership::new(
        NodeId(config.me),
        config.peers.len(),
        fleet_hash(&config.fleet),
        seed,
        membership_config,
    );
    membership.start(clock.now());
    membership
}

fn start_coordinator(config: &PeerConfig, seed: u64, clock: Clock) -> Coordinator {
    let mut coordinator = Coordinator::new(
        NodeId(config.me),
        config.peers.len(),
        fleet_hash(&config.fleet),
        seed,
        quartzhub_coordination::CoordinationConfig::default(),
    );
    coordinator.start(clock.now());
    coordinator
}
