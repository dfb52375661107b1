//! The incomplete commands that hold memory, and which of them are evicted when others wait for it.
//! Uses no clock and no I/O.
use quartzhub_policy::{Span, Time};
use rustc_hash::FxHashMap;

use crate::messages::ClientId;
use crate::reducer::shrink;

#[cfg(test)]
mod tests;

/// An incomplete command whose client may send its rest.
#[derive(Debug, Clone, Copy)]
struct PartialCommand {
    reserved_bytes: usize,
    last_byte_at: Time,
}

/// All incomplete commands that hold memory, at most one for each client.
#[derive(Debug, Default)]
pub struct PartialCommands {
    records: FxHashMap<ClientId, PartialCommand>,
}

impl PartialCommands {
    /// Records that a client's incomplete command holds memory and is being read.
    pub fn insert(&mut self, client: ClientId, reserved_bytes: usize, last_byte_at: Time) {
        let record = PartialCommand {
            reserved_bytes,
            last_byte_at,
        };
        self.records.insert(client, record);
    }

    /// Records that a client has no such command.
    pub fn remove(&mut self, client: ClientId) {
        if self.records.remove(&client).is_some() {
            shrink(&mut self.records);
        }
    }

    /// Removes and returns the clients whose commands are evicted so that `missing_bytes` are freed:
    /// those that have sent nothing for `stalled_after`, the longest first. None if all of them
    /// together hold less.
    pub fn take_stalled(
        &mut self,
        now: Time,
        missing_bytes: usize,
        stalled_after: Span,
    ) -> Vec<ClientId> {
        let mut stalled: Vec<_> = self
            .records
            .iter()
            .filter(|(_, command)| now - command.last_byte_at >= stalled_after)
            .map(|(client, command)| (command.last_byte_at, *client, command.reserved_bytes))
            .collect();
        stalled.sort_unstable();
        let mut freed_bytes = 0;
        let mut clients = Vec::new();
        for (_, client, reserved_bytes) in stalled {
            if freed_bytes >= missing_bytes {
                break;
            }
            freed_bytes += reserved_bytes;
            clients.push(client);
        }
        if freed_bytes < missing_bytes {
            return Vec::new();
        }
        clients.iter().for_each(|client| self.remove(*client));
        clients
    }
}
