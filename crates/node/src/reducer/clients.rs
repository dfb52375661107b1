//! Clients' connections, and the order of responses on each.
use std::collections::VecDeque;

use quartzhub_policy::{CallIndex, Time};
use rustc_hash::FxHashMap;

use super::shrink;
use crate::limits::Limits;
use crate::messages::{ClientId, Response, UpstreamId};

/// The position of a command's response in its client's order of responses, counted from the
/// client's first command.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ResponseSlot(u64);

/// A client's connection.
#[derive(Default)]
pub(super) struct Client {
    /// One entry for each command whose response has not been sent, in the order of the commands.
    /// `Some` is a response that is ready but must follow earlier ones.
    responses: VecDeque<Option<Response>>,
    /// The slot of the first entry of `responses`.
    first_slot: u64,
    pub(super) open_calls: Vec<CallIndex>,
    /// Upstreams that are streaming a value to this client.
    pub(super) streaming: Vec<UpstreamId>,
    /// Bytes of its responses that are not written yet, sent or not.
    pub(super) buffered_bytes: usize,
    /// The connection is to be closed once the pending responses are sent.
    pub(super) closing: bool,
    /// Since when nothing is owed to it and its late input is only discarded.
    pub(super) lingering_since: Option<Time>,
    /// All further API calls of this client are rejected.
    pub(super) rejects_calls: bool,
    pub(super) last_active: Time,
    /// The client has made an API call.
    pub(super) has_made_calls: bool,
    /// Number of its commands that the node rejected with an error.
    pub(super) command_errors: usize,
}

impl Client {
    pub(super) fn connected(now: Time) -> Client {
        Client {
            last_active: now,
            ..Client::default()
        }
    }

    /// Returns whether the client is not closing, has no pending response and receives no streamed
    /// value. Without the last check, a client that is receiving a large value could be evicted.
    pub(super) fn is_idle(&self) -> bool {
        self.responses.is_empty() && self.streaming.is_empty() && !self.closing
    }

    pub(super) fn pending_responses(&self) -> usize {
        self.responses.len()
    }

    /// Reserves the slot for the response to the next command.
    pub(super) fn reserve_slot(&mut self) -> ResponseSlot {
        self.responses.push_back(None);
        ResponseSlot(self.first_slot + self.responses.len() as u64 - 1)
    }

    /// Returns whether the response of this slot has not been sent.
    pub(super) fn is_pending(&self, slot: ResponseSlot) -> bool {
        let offset = slot.0.checked_sub(self.first_slot);
        offset.is_some_and(|offset| (offset as usize) < self.responses.len())
    }

    /// Returns whether all responses before this slot are written.
    pub(super) fn is_next(&self, slot: ResponseSlot) -> bool {
        let unsent = self.responses.iter().flatten().map(Response::size);
        slot.0 == self.first_slot && self.buffered_bytes == unsent.sum::<usize>()
    }

    /// Sets the response of a pending slot.
    pub(super) fn fill_slot(&mut self, slot: ResponseSlot, response: Response) {
        let offset = (slot.0 - self.first_slot) as usize;
        self.responses[offset] = Some(response);
    }

    /// Takes the response that is next in order, if it is ready.
    pub(super) fn pop_ready_response(&mut self) -> Option<Response> {
        let response = self.responses.front_mut()?.take()?;
        self.responses.pop_front();
        self.first_slot += 1;
        Some(response)
    }

    /// Returns whether no API call is pending after this slot. Commands that the node answers
    /// itself do not count.
    pub(super) fn has_no_later_call(&self, slot: ResponseSlot) -> bool {
        let next_offset = (slot.0 + 1).saturating_sub(self.first_slot) as usize;
        self.responses
            .iter()
            .skip(next_offset)
            .all(|response| matches!(response, Some(Response::Plain(_))))
    }

    /// Replaces the response that this upstream streams, if it has not been sent. Returns whether
    /// it was replaced.
    pub(super) fn replace_streamed(&mut self, id: UpstreamId, replacement: Response) -> bool {
        let streamed = self.responses.iter_mut().flatten().find(
            |response| matches!(response, Response::Streamed { upstream, .. } if *upstream == id),
        );
        match streamed {
            Some(response) => {
                *response = replacement;
                true
            }
            None => false,
        }
    }
}

/// All clients.
#[derive(Default)]
pub(super) struct Clients {
    records: FxHashMap<ClientId, Client>,
}

impl Clients {
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    pub(super) fn get(&self, id: ClientId) -> Option<&Client> {
        self.records.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: ClientId) -> Option<&mut Client> {
        self.records.get_mut(&id)
    }

    pub(super) fn insert(&mut self, id: ClientId, client: Client) {
        self.records.insert(id, client);
    }

    pub(super) fn remove(&mut self, id: ClientId) -> Option<Client> {
        self.records.remove(&id)
    }

    pub(super) fn ids(&self) -> impl Iterator<Item = ClientId> + '_ {
        self.records.keys().copied()
    }

    /// Returns the clients that have no pending response.
    pub(super) fn without_pending_responses(&self) -> Vec<ClientId> {
        let idle = self
            .records
            .iter()
            .filter(|(_, client)| client.responses.is_empty());
        idle.map(|(id, _)| *id).collect()
    }

    /// Returns the client that has lingered longest, if it has had the time to read its last response.
    pub(super) fn longest_lingering(&self, now: Time, limits: &Limits) -> Option<ClientId> {
        self.records
            .iter()
            .filter_map(|(id, client)| Some((client.lingering_since?, *id)))
            .filter(|(since, _)| now - *since >= limits.new_client_evictable_after)
            .min()
            .map(|(_, id)| id)
    }

    /// Returns the idle client to evict first. Clients that have made no API call precede those
    /// that have, and among equals the one idle longest is first. Without this order, clients that
    /// connect and send nothing could displace those that make calls.
    pub(super) fn first_evictable(&self, now: Time, limits: &Limits) -> Option<ClientId> {
        let is_evictable = |client: &Client| {
            let after = if client.has_made_calls {
                limits.client_evictable_after
            } else {
                limits.new_client_evictable_after
            };
            client.is_idle() && now - client.last_active >= after
        };
        self.records
            .iter()
            .filter(|(_, client)| is_evictable(client))
            .min_by_key(|(id, client)| (client.has_made_calls, client.last_active, **id))
            .map(|(id, _)| *id)
    }

    /// Returns the client that has been idle longest, if more clients that have made API calls are
    /// connected than the limit of idle clients. Without this, clients that make one call and keep
    /// their connections open would reach the number of connections that all clients may hold
    /// together, and could make no more calls.
    pub(super) fn surplus_idle(&self, now: Time, limits: &Limits) -> Option<ClientId> {
        if self.records.len() <= limits.idle_clients {
            return None;
        }
        let callers = || {
            self.records
                .iter()
                .filter(|(_, client)| client.has_made_calls && !client.closing)
        };
        if callers().count() <= limits.idle_clients {
            return None;
        }
        callers()
            .filter(|(_, client)| {
                client.is_idle() && now - client.last_active >= limits.new_client_evictable_after
            })
            .min_by_key(|(id, client)| (client.last_active, **id))
            .map(|(id, _)| *id)
    }

    pub(super) fn longest_idle(&self) -> Option<ClientId> {
        self.records
            .iter()
            .filter(|(_, client)| client.is_idle())
            .min_by_key(|(id, client)| (client.last_active, **id))
            .map(|(id, _)| *id)
    }

    pub(super) fn shrink(&mut self) {
        shrink(&mut self.records);
    }
}
