//! The other nodes: a socket for datagrams between them, and the membership's core behind it. What it learns operators
//! read; no API call waits for it.
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use quartzhub_members::limits::PARTS;
use quartzhub_members::wire::{fleet, LONGEST};
use quartzhub_members::{Counts, Id, Limits, Members, Order, Post, Refused, Server, State, Without};
use quartzhub_policy::Settings;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::sleep_until;

use crate::clock::Clock;
use crate::config::Fault;
use crate::effects::Hub;

/// What a node is told of the others.
#[derive(Debug, Clone, PartialEq)]
pub struct Peering {
    pub listen: SocketAddr,
    /// By their numbers, this node's own among them.
    pub peers: Vec<SocketAddr>,
    pub me: u16,
    /// Nodes of another fleet are not spoken to.
    pub fleet: String,
    /// What a test leaves out on purpose.
    pub without: Without,
}

/// Numbers of nodes that a datagram's bounded words leave room for.
const MOST_PEERS: usize = 8_192;
/// Datagrams taken up before the timer has its turn: guards against a flood that would keep it from it.
const A_TURN: usize = 64;

impl Peering {
    /// Whether membership is on, by keys that were read; `on` where the file asks for it.
    pub fn checked(
        on: bool,
        listen: Option<SocketAddr>,
        peers: &serde_json::Value,
        fleet: Option<String>,
        without: &[String],
        settings: &Settings,
        passed_over: &mut Vec<Fault>,
    ) -> Result<Option<Peering>, Fault> {
        let fault = |what: &str| Err(Fault::new(what));
        if !on {
            return Ok(None);
        }
        if !settings.flag("caps.peers") {
            let what = "membership: the settings allow no messages between nodes (settings.Caps.Peers): off";
            passed_over.push(Fault::new(what));
            return Ok(None);
        }
        let Some(listen) = listen else { return fault("peer_listen: is needed for membership") };
        let Some(peers) = peers.as_array().filter(|peers| (1..=MOST_PEERS).contains(&peers.len())) else {
            return fault("peers: a list of addresses is needed for membership, one for each node");
        };
        let addr = |(i, peer): (usize, &serde_json::Value)| {
            let addr = peer.as_str().and_then(|text| text.parse::<SocketAddr>().ok());
            addr.ok_or_else(|| {
                Fault::new(&format!("peers[{i}]: {peer} is not an address such as 127.0.0.1:7946"))
            })
        };
        let peers = peers.iter().enumerate().map(addr).collect::<Result<Vec<_>, _>>()?;
        let me = settings.number("me", -1.0);
        if me < 0.0 || me as usize >= peers.len() {
            return fault("settings.Me: this node's place in peers is needed for membership");
        }
        let distinct: std::collections::BTreeSet<_> = peers.iter().collect();
        if distinct.len() < peers.len() {
            return fault("peers: an address stands twice");
        }
        let mut left_out = Without::default();
        for (i, part) in without.iter().enumerate() {
            if !left_out.leave_out(part) {
                let parts = PARTS.join(", ");
                return fault(&format!("membership_without[{i}]: {part:?} is none of {parts}"));
            }
            passed_over
                .push(Fault::new(&format!("membership_without: {part}: broken on purpose, for tests only")));
        }
        Ok(Some(Peering {
            listen,
            peers,
            me: me as u16,
            fleet: fleet.unwrap_or_else(|| "quartzhub".to_owned()),
            without: left_out,
        }))
    }
}

/// One node as operators read it.
#[derive(Debug, Serialize)]
pub struct Told {
    node: u16,
    addr: SocketAddr,
    state: State,
    /// The number that the node goes by: it raises it to refute, and after a restart.
    number: u32,
    since_ms: f64,
    /// Since a datagram of its present life came here.
    heard_ms: Option<f64>,
    suspected_by: Vec<u16>,
}

#[derive(Debug, Serialize)]
pub struct View {
    me: u16,
    number: u32,
    members: usize,
    configured: usize,
    /// Nobody answers: the others are gone, or this node is cut off.
    hears_nobody: bool,
    ill: u32,
    changes: u64,
    strangers: u64,
    counts: Counts,
    nodes: Vec<Told>,
    orders: Vec<Ordered>,
}

/// An operators' order about a server.
#[derive(Debug, Serialize)]
pub struct Ordered {
    /// Its id, or a hash of it where this node's list has no such server.
    server: String,
    drain: bool,
    version: u32,
    by: u16,
    since_ms: f64,
}

pub struct Peers {
    members: RefCell<Members>,
    named: Peering,
    ids: HashMap<SocketAddr, Id>,
    socket: UdpSocket,
    clock: Clock,
    /// Datagrams from addresses that no peer has.
    strangers: Cell<u64>,
    /// Changes that the log has been told of.
    logged: Cell<u64>,
    was_alone: Cell<bool>,
    /// Changes of orders that the reducer has been told of.
    ordered: Cell<u64>,
    /// Another node was heard for the first time.
    heard: Notify,
}

impl Peers {
    pub async fn open(named: Peering, seed: u64, clock: Clock) -> io::Result<Rc<Peers>> {
        let socket = UdpSocket::bind(named.listen).await?;
        let of = fleet(&named.fleet);
        let limits = Limits { without: named.without, ..Limits::default() };
        let mut members = Members::new(Id(named.me), named.peers.len(), of, seed, limits);
        members.start(clock.now());
        let ids = named.peers.iter().enumerate().map(|(i, addr)| (*addr, Id(i as u16))).collect();
        let (strangers, logged, was_alone) = (Cell::new(0), Cell::new(0), Cell::new(false));
        let members = RefCell::new(members);
        tracing::info!(peers = named.peers.len(), "membership: listens on {}", named.listen);
        let (ordered, heard) = (Cell::new(0), Notify::new());
        Ok(Rc::new(Peers {
            members,
            named,
            ids,
            socket,
            clock,
            strangers,
            logged,
            was_alone,
            ordered,
            heard,
        }))
    }

    /// For ever.
    pub async fn run(self: Rc<Peers>, hub: Rc<Hub>) {
        let mut buffer = [0; LONGEST + 1];
        loop {
            let due = self.clock.instant(self.members.borrow().due());
            let mut out = Vec::new();
            tokio::select! {
                () = sleep_until(due) => {}
                came = self.socket.readable() => if came.is_ok() {
                    for _ in 0..A_TURN {
                        // An error is of an earlier datagram that found nobody.
                        match self.socket.try_recv_from(&mut buffer) {
                            Ok((size, from)) => self.take(from, &buffer[..size], &mut out),
                            Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                            Err(_) => {}
                        }
                    }
                },
            }
            let now = self.clock.now();
            if now >= self.members.borrow().due() {
                self.members.borrow_mut().tick(now, &mut out);
            }
            self.post(out);
            self.apply(&hub);
            self.log();
            tokio::task::yield_now().await;
        }
    }

    fn take(&self, from: SocketAddr, bytes: &[u8], out: &mut Vec<Post>) {
        match self.ids.get(&from) {
            Some(id) => {
                let mut members = self.members.borrow_mut();
                let before = members.counts.received;
                members.receive(self.clock.now(), *id, bytes, out);
                // Guards against taking noise for word of another node.
                if members.counts.received > before {
                    self.heard.notify_one();
                }
            }
            None => self.strangers.set(self.strangers.get() + 1),
        }
    }

    /// What does not go out at once is lost, as any datagram may be.
    fn post(&self, out: Vec<Post>) {
        for Post { to, bytes } in out {
            if let Some(addr) = self.named.peers.get(to.0 as usize) {
                let _ = self.socket.try_send_to(&bytes, *addr);
            }
        }
    }

    fn log(&self) {
        let members = self.members.borrow();
        let new = (members.changed() - self.logged.replace(members.changed())) as usize;
        let kept = members.changes().count();
        for change in members.changes().skip(kept.saturating_sub(new)) {
            let word = |state: State| format!("{state:?}").to_lowercase();
            let (from, to, of) = (word(change.from), word(change.to), change.of.0);
            let by: Vec<_> = change.suspectors.iter().map(|by| by.0.to_string()).collect();
            let by = if by.is_empty() { String::new() } else { format!(", suspected by {}", by.join(" ")) };
            tracing::info!(
                of,
                from,
                to,
                number = change.number,
                "membership: node {of} was {from}, is {to}{by}"
            );
        }
        let alone = members.hears_nobody(self.clock.now());
        if alone != self.was_alone.replace(alone) {
            let what =
                if alone { "nobody answers; who is alive is not known" } else { "others answer again" };
            tracing::warn!(alone, "membership: {what}");
        }
    }

    /// Has the reducer go by the orders that hold now.
    fn apply(&self, hub: &Rc<Hub>) {
        let changed = self.members.borrow().orders_changed();
        if self.ordered.replace(changed) == changed {
            return;
        }
        let held = |held: &quartzhub_members::Held| held.fact.drain.then_some(held.fact.server);
        let drained: HashSet<Server> = self.members.borrow().orders().filter_map(held).collect();
        tracing::info!(drained = drained.len(), "orders: servers drained by operators: {}", drained.len());
        hub.tell(|reducer, now| reducer.ordered(now, drained));
    }

    /// An operator's order about a server; why not, if it is not taken.
    pub fn order(&self, hub: &Rc<Hub>, id: &str, drain: bool) -> Result<Order, &'static str> {
        let server = Server::named(id);
        let known = self.members.borrow().orders().any(|held| held.fact.server == server);
        if drain {
            hub.ask(|reducer| reducer.drainable(id))?;
        } else if !known {
            return Err("no order about it is known");
        }
        let mut out = Vec::new();
        let given = self.members.borrow_mut().order(self.clock.now(), server, drain, &mut out);
        self.post(out);
        self.apply(hub);
        let order = given.map_err(|refused| match refused {
            Refused::Started => {
                "this node has just started and may not know what holds; ask again in some seconds"
            }
            Refused::Full => "as many servers are drained as orders are kept",
        })?;
        let what = if drain { "drained" } else { "in service again" };
        tracing::info!(version = order.version, "orders: operators want {id} {what}");
        Ok(order)
    }

    /// Until another node has been heard of, from which orders come too.
    pub async fn informed(&self) {
        if self.named.peers.len() > 1 {
            self.heard.notified().await;
        }
    }

    /// This node ends as planned.
    pub fn leave(&self) {
        let mut out = Vec::new();
        self.members.borrow_mut().leave(self.clock.now(), &mut out);
        self.post(out);
    }

    /// `id`: what a server that an order names is called.
    pub fn view(&self, id: impl Fn(Server) -> Option<String>) -> View {
        let (members, now) = (self.members.borrow(), self.clock.now());
        let told = |(id, member): (Id, &quartzhub_members::Member)| Told {
            node: id.0,
            addr: self.named.peers[id.0 as usize],
            state: member.state,
            number: member.number,
            since_ms: (now - member.since).as_ms(),
            heard_ms: member.heard.map(|heard| (now - heard).as_ms()),
            suspected_by: member.suspectors.iter().map(|by| by.0).collect(),
        };
        let ordered = |held: &quartzhub_members::Held| Ordered {
            server: id(held.fact.server).unwrap_or_else(|| format!("#{:016x}", held.fact.server.0)),
            drain: held.fact.drain,
            version: held.fact.version,
            by: held.fact.by.0,
            since_ms: (now - held.since).as_ms(),
        };
        View {
            me: self.named.me,
            number: members.number(),
            members: members.living(),
            configured: self.named.peers.len(),
            hears_nobody: members.hears_nobody(now),
            ill: members.ill(),
            changes: members.changed(),
            strangers: self.strangers.get(),
            counts: members.counts,
            nodes: members.all().map(told).collect(),
            orders: members.orders().map(ordered).collect(),
        }
    }
}

/// States by how many nodes have them, for one line.
pub fn summary(view: &serde_json::Value) -> String {
    let mut states: BTreeMap<&str, usize> = BTreeMap::new();
    for node in view["nodes"].as_array().into_iter().flatten() {
        *states.entry(node["state"].as_str().unwrap_or("unknown")).or_default() += 1;
    }
    let states: Vec<_> = states.iter().map(|(state, count)| format!("{count} {state}")).collect();
    let alone = if view["hears_nobody"] == true { "; hears nobody" } else { "" };
    format!("node {}: {}{alone}", view["me"], states.join(", "))
}
