//! The budget of memory that all connections share: for the bytes of commands that are being read,
//! for values, and for responses that are not written yet.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::time::{timeout_at, Instant};

use crate::limits::Limits;
use crate::messages::ClientId;

#[cfg(test)]
mod tests;

/// What memory is requested for. The nearer a call is to its response, the more of the memory it
/// may take: as the budget is used up, long commands wait first, and responses are dropped last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryUse {
    /// A long command, or a value that is held until it is complete.
    LongMessage,
    /// A response that is not written yet, or is received and next in its client's order.
    Response,
}

/// Bytes that are in use or reserved, and how many may be.
#[derive(Debug)]
pub struct MemoryBudget {
    long_message_limit: usize,
    response_limit: usize,
    /// Bytes that each connection may use in addition: they are set aside from the start, so that a
    /// short command never waits.
    bytes_per_connection: usize,
    /// Bytes used by or reserved for the buffers of connections.
    reserved: Cell<usize>,
    /// Bytes of the values of open calls and of responses that are not written yet.
    buffered: Cell<usize>,
    /// Requests that wait for memory, by their tickets: the oldest first.
    waiting: RefCell<BTreeMap<u64, WaitingRequest>>,
    last_ticket: Cell<u64>,
}

/// A request for which there was no memory.
#[derive(Debug)]
struct WaitingRequest {
    bytes: usize,
    memory_use: MemoryUse,
    /// The client for whose response it is, if it is for one.
    client: Option<ClientId>,
    available: Rc<Notify>,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(limits: &Limits) -> Rc<MemoryBudget> {
        Rc::new(MemoryBudget {
            long_message_limit: limits.buffered_bytes,
            response_limit: limits.buffered_bytes_with_responses,
            bytes_per_connection: limits.idle_buffer_bytes,
            reserved: Cell::new(0),
            buffered: Cell::new(0),
            waiting: RefCell::default(),
            last_ticket: Cell::new(0),
        })
    }

    /// Bytes of the values of open calls and of responses that are not written yet.
    pub fn buffered(&self) -> usize {
        self.buffered.get()
    }

    /// Whether `bytes` more may be used.
    pub fn has_room(&self, bytes: usize, memory_use: MemoryUse) -> bool {
        self.missing(bytes, memory_use) == 0
    }

    /// How many bytes have to be freed before `bytes` more may be used.
    pub fn missing(&self, bytes: usize, memory_use: MemoryUse) -> usize {
        let limit = match memory_use {
            MemoryUse::LongMessage => self.long_message_limit,
            MemoryUse::Response => self.response_limit,
        };
        (self.reserved.get() + self.buffered.get() + bytes).saturating_sub(limit)
    }

    /// Records that `bytes` more are buffered.
    pub fn add_buffered(&self, bytes: usize) {
        self.buffered.set(self.buffered.get() + bytes);
    }

    /// Records that `bytes` are no longer buffered.
    pub fn remove_buffered(&self, bytes: usize) {
        self.buffered.set(self.buffered.get().saturating_sub(bytes));
        self.notify_waiting();
    }

    /// Notifies the requests for responses to a client: one of them may be next in order now, and may
    /// take more of the memory.
    pub fn notify_requests_for(&self, client: ClientId) {
        for request in self.waiting.borrow().values() {
            if request.client == Some(client) {
                request.available.notify_one();
            }
        }
    }

    /// Notifies the requests for which there is memory now, in the order of their age. A younger one
    /// may precede an older one that needs more than there is.
    fn notify_waiting(&self) {
        let mut promised_bytes = 0;
        for request in self.waiting.borrow().values() {
            let bytes = promised_bytes + request.bytes;
            if self.has_room(bytes, request.memory_use) {
                promised_bytes = bytes;
                request.available.notify_one();
            }
        }
    }
}

/// The bytes that one connection's buffer uses or has reserved, beyond those that each connection
/// has of its own. Dropping it frees them.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: Rc<MemoryBudget>,
    counted_bytes: usize,
}

impl MemoryReservation {
    /// Creates a reservation of zero bytes.
    pub fn new(budget: &Rc<MemoryBudget>) -> MemoryReservation {
        MemoryReservation {
            budget: budget.clone(),
            counted_bytes: 0,
        }
    }

    /// The bytes by which the reservation reduces the budget.
    pub fn counted_bytes(&self) -> usize {
        self.counted_bytes
    }

    /// Whether a buffer of `bytes` would need more than is reserved.
    pub fn is_less_than(&self, bytes: usize) -> bool {
        self.counted_bytes < self.counted(bytes)
    }

    /// Bytes of a buffer of `bytes` by which it reduces the budget.
    fn counted(&self, bytes: usize) -> usize {
        bytes.saturating_sub(self.budget.bytes_per_connection)
    }

    /// Sets the bytes that the buffer may have, even if they exceed the budget.
    pub fn set(&mut self, bytes: usize) {
        let counted_bytes = self.counted(bytes);
        let budget = &self.budget;
        let previous = std::mem::replace(&mut self.counted_bytes, counted_bytes);
        let reserved = budget.reserved.get() - previous + counted_bytes;
        budget.reserved.set(reserved);
        if counted_bytes < previous {
            budget.notify_waiting();
        }
    }

    /// Sets the bytes that the buffer may have if they are no more than before or the budget has room
    /// for them. Returns whether they were set.
    pub fn try_set(&mut self, bytes: usize, memory_use: MemoryUse) -> bool {
        let has_room = self.missing(bytes, memory_use) == 0;
        if has_room {
            self.set(bytes);
        }
        has_room
    }

    /// Requests `bytes` in all, for which there is no memory now.
    pub fn request(&self, bytes: usize, memory_use: MemoryUse) -> MemoryRequest {
        let ticket = self.budget.last_ticket.get() + 1;
        self.budget.last_ticket.set(ticket);
        let request = MemoryRequest {
            budget: self.budget.clone(),
            ticket,
            client: None,
            available: Rc::default(),
        };
        self.change_request(&request, bytes, memory_use);
        request
    }

    /// Changes a request that waits, which keeps its age.
    pub fn change_request(&self, request: &MemoryRequest, bytes: usize, memory_use: MemoryUse) {
        let waiting = WaitingRequest {
            bytes: self.counted(bytes).saturating_sub(self.counted_bytes),
            memory_use,
            client: request.client,
            available: request.available.clone(),
        };
        let mut all = self.budget.waiting.borrow_mut();
        all.insert(request.ticket, waiting);
    }

    /// How many bytes have to be freed before `bytes` can be reserved in all.
    pub fn missing(&self, bytes: usize, memory_use: MemoryUse) -> usize {
        match self.counted(bytes).checked_sub(self.counted_bytes) {
            None | Some(0) => 0,
            Some(added) => self.budget.missing(added, memory_use),
        }
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// A request that waits for memory. Dropping it withdraws it.
#[derive(Debug)]
pub struct MemoryRequest {
    budget: Rc<MemoryBudget>,
    ticket: u64,
    client: Option<ClientId>,
    available: Rc<Notify>,
}

impl MemoryRequest {
    /// Names the client for whose response the memory is requested.
    pub fn for_client(mut self, client: Option<ClientId>) -> MemoryRequest {
        self.client = client;
        if let Some(waiting) = self.budget.waiting.borrow_mut().get_mut(&self.ticket) {
            waiting.client = client;
        }
        self
    }

    /// Completes when there may be memory for the request, or at `retry_at`. The memory is not
    /// reserved yet: another connection may be faster.
    pub fn offered_by(&self, retry_at: Instant) -> impl Future<Output = ()> {
        let available = self.available.clone();
        async move {
            let _ = timeout_at(retry_at, available.notified()).await;
        }
    }
}

impl Drop for MemoryRequest {
    fn drop(&mut self) {
        self.budget.waiting.borrow_mut().remove(&self.ticket);
    }
}
