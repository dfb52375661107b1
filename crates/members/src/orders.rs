//! Operators' orders about servers: given to one node, they reach every other. Each server has at most one order, and the
//! newest holds; a revocation is kept as an order that says so, since an older order may still be on its way.
use quartzhub_policy::{Span, Time};
use serde::{Deserialize, Serialize};

use crate::Id;

/// A server's id as orders name it: a hash, so that an order has a bounded size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Server(pub u64);

impl Server {
    pub fn named(id: &str) -> Server {
        Server(quartzhub_policy::hash(id))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    pub server: Server,
    /// One more than that of the order which its issuer knew.
    pub version: u32,
    /// Nothing new goes to the server; or it was taken back.
    pub drain: bool,
    pub by: Id,
}

impl Order {
    /// Which of two orders about one server holds, the same at every node. Of two given at once on both sides of a cut the
    /// drain does: it costs capacity, the other may cost API calls.
    fn outranks(&self, other: &Order) -> bool {
        (self.version, self.drain, self.by) > (other.version, other.drain, other.by)
    }
}

/// Why an order is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// This node has yet to hear what holds: it would give an order that is older than it knows.
    Started,
    /// As many drains hold as are kept.
    Full,
}

#[derive(Debug, Clone, Copy)]
pub struct Held {
    pub order: Order,
    pub since: Time,
    /// Rounds in which it is yet to be pushed, and when the next is.
    rounds: u32,
    next: Time,
}

/// The orders that hold, bounded in number.
pub(crate) struct Orders {
    held: Vec<Held>,
    most: usize,
    /// The last word heard holds, whatever its version: broken on purpose.
    last_word: bool,
    /// Whose turn it is to ride along.
    turn: usize,
    /// Grows with each change.
    pub changed: u64,
}

impl Orders {
    pub fn new(most: usize, last_word: bool) -> Orders {
        Orders { held: Vec::new(), most, last_word, turn: 0, changed: 0 }
    }

    pub fn all(&self) -> impl Iterator<Item = &Held> {
        self.held.iter()
    }

    /// What an operator orders here.
    pub fn give(
        &mut self,
        now: Time,
        by: Id,
        server: Server,
        drain: bool,
        rounds: u32,
    ) -> Result<Order, Refused> {
        let known = self.held.iter().find(|held| held.order.server == server).map(|held| held.order);
        if let Some(known) = known.filter(|known| known.drain == drain) {
            return Ok(known);
        }
        let version = known.map_or(1, |known| known.version.saturating_add(1));
        let order = Order { server, version, drain, by };
        if self.put(now, order, rounds) {
            Ok(order)
        } else {
            Err(Refused::Full)
        }
    }

    /// Takes an order that is newer than the one held. Whether it was.
    pub fn put(&mut self, now: Time, order: Order, rounds: u32) -> bool {
        let new = Held { order, since: now, rounds, next: now };
        match self.held.iter_mut().find(|held| held.order.server == order.server) {
            Some(held) if held.order == order => return false,
            Some(held) if !order.outranks(&held.order) && !self.last_word => return false,
            Some(held) => *held = new,
            None => {
                // Guards against orders without end: the oldest that was taken back gives way. A drain never does.
                if self.held.len() >= self.most {
                    let back = self.held.iter().enumerate().filter(|(_, held)| !held.order.drain);
                    let Some((oldest, _)) = back.min_by_key(|(_, held)| held.since) else { return false };
                    self.held.swap_remove(oldest);
                }
                self.held.push(new);
            }
        }
        self.changed += 1;
        true
    }

    /// The next in turn, for those whom a rumour has missed.
    pub fn turn(&mut self) -> Option<Order> {
        self.turn = (self.turn + 1) % self.held.len().max(1);
        self.held.get(self.turn).map(|held| held.order)
    }

    pub fn len(&self) -> usize {
        self.held.len()
    }

    pub fn due(&self) -> Option<Time> {
        self.held.iter().filter(|held| held.rounds > 0).map(|held| held.next).min()
    }

    /// One that is to be pushed now.
    pub fn take_due(&mut self, now: Time, apart: Span) -> Option<Order> {
        let held = self.held.iter_mut().find(|held| held.rounds > 0 && now >= held.next)?;
        (held.rounds, held.next) = (held.rounds - 1, now + apart);
        Some(held.order)
    }
}
