//! Clients' connections, and the order of responses on each.
use std::collections::VecDeque;

use quartzhub_policy::{CallIndex, Time};
use rustc_hash::FxHashMap;

use super::shrink;
use crate::limits::Limits;
use crate::messages::{ClientId, Response, UpstreamId};

/// The place of a command's response in its client's order of responses, counted from the first command.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ResponseSlot(u64);

/// A client's connection.
#[derive(Default)]
pub(super) struct Client {
    /// An entry for each command without a response, in order; some have their response and wait for those before.
    responses: VecDeque<Option<Response>>,
    first_slot: u64,
    pub(super) open_calls: Vec<CallIndex>,
    /// Upstreams that stream a value to it.
    pub(super) streaming: Vec<UpstreamId>,
    /// Bytes of responses not yet written.
    pub(super) buffered_bytes: usize,
    pub(super) closing: bool,
    /// Its further API calls are rejected.
    pub(super) rejects_calls: bool,
    pub(super) last_active: Time,
    /// It has made an API call.
    pub(super) has_made_calls: bool,
    /// Commands that could not be done.
    pub(super) command_errors: usize,
}

impl Client {
    pub(super) fn connected(now: Time) -> Client {
        Client {
            last_active: now,
            ..Client::default()
        }
    }

    /// Nothing is owed to it. Guards against taking one that is sent a large value for one that can make room.
    pub(super) fn is_idle(&self) -> bool {
        self.responses.is_empty() && self.streaming.is_empty() && !self.closing
    }

    pub(super) fn pending_responses(&self) -> usize {
        self.responses.len()
    }

    /// The slot of the next command.
    pub(super) fn reserve_slot(&mut self) -> ResponseSlot {
        self.responses.push_back(None);
        ResponseSlot(self.first_slot + self.responses.len() as u64 - 1)
    }

    /// Whether the response of this slot has not gone out.
    pub(super) fn is_pending(&self, slot: ResponseSlot) -> bool {
        let behind_first = slot.0.checked_sub(self.first_slot);
        behind_first.is_some_and(|behind| (behind as usize) < self.responses.len())
    }

    /// Sets the response of a pending slot.
    pub(super) fn fill_slot(&mut self, slot: ResponseSlot, response: Response) {
        let behind_first = (slot.0 - self.first_slot) as usize;
        self.responses[behind_first] = Some(response);
    }

    /// Takes the next response, if that of every command before is out.
    pub(super) fn pop_ready_response(&mut self) -> Option<Response> {
        let response = self.responses.front_mut()?.take()?;
        self.responses.pop_front();
        self.first_slot += 1;
        Some(response)
    }

    /// Whether no API call waits behind this slot.
    pub(super) fn has_no_call_behind(&self, slot: ResponseSlot) -> bool {
        let behind = (slot.0 + 1).saturating_sub(self.first_slot) as usize;
        self.responses
            .iter()
            .skip(behind)
            .all(|response| matches!(response, Some(Response::Plain(_))))
    }

    /// Replaces the response that would be streamed by this upstream, if it has not gone out.
    pub(super) fn replace_streamed(&mut self, from: UpstreamId, replacement: Response) -> bool {
        let streamed = self.responses.iter_mut().flatten().find(
            |response| matches!(response, Response::Streamed { upstream, .. } if *upstream == from),
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

    /// Clients that are owed no response.
    pub(super) fn without_pending_responses(&self) -> Vec<ClientId> {
        let idle = self
            .records
            .iter()
            .filter(|(_, client)| client.responses.is_empty());
        idle.map(|(id, _)| *id).collect()
    }

    /// The idle client that is the first to make room, one without an API call before others. Guards against silent
    /// clients that take the places of those that are at work.
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

    /// The client idle longest, where more have made API calls than are worth keeping. Guards against clients that ask
    /// once and keep their connections: together they may hold only so many, and could ask no more.
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
