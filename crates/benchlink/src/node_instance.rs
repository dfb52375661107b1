//! One node: passes the bench's events to its balancer.
use quartzhub_policy::{AttemptResult, Balancer, CallIndex, CallRequest, Span, Time};
use quartzhub_settings::{index_of, policy_config, NameTable, Settings};

use crate::action_writer::ActionWriter;
use crate::error::EventError;
use crate::id_table::IdTable;
use crate::wire::{attempt_outcome, Event, ListedServer, MessageKind, Text};

/// Flag of a call that its client has marked as a retry.
const CLIENT_RETRY_FLAG: u64 = 2;
/// Flag of a call that writes.
const WRITE_FLAG: u64 = 4;

/// A node's balancer, and the ids and names that its events use.
pub(crate) struct NodeInstance {
    balancer: Balancer,
    ids: IdTable,
    names: NameTable,
}

impl NodeInstance {
    /// Starts a node, and appends its first actions to the response.
    pub(crate) fn start(
        settings: &Settings,
        seed: u64,
        now: Time,
        response: &mut Vec<u8>,
    ) -> NodeInstance {
        let mut instance = NodeInstance {
            balancer: Balancer::new(&policy_config(settings), seed),
            ids: IdTable::default(),
            names: NameTable::new(settings),
        };
        let mut actions = ActionWriter {
            ids: &mut instance.ids,
            response,
        };
        instance.balancer.start(now, &mut actions);
        instance
    }

    /// Handles an event. `lists` are the stored endpoint lists, which the event may refer to.
    pub(crate) fn handle_event(
        &mut self,
        now: Time,
        kind: MessageKind,
        event: Event,
        lists: &[Vec<ListedServer>],
        response: &mut Vec<u8>,
    ) -> Result<(), EventError> {
        match kind {
            MessageKind::Elapsed => {
                let mut actions = ActionWriter {
                    ids: &mut self.ids,
                    response,
                };
                self.balancer.on_timer(now, &mut actions);
                Ok(())
            }
            MessageKind::Order => self.on_call(now, &event, response),
            MessageKind::Fleet => self.on_endpoint_list(now, &event, lists, response),
            _ => {
                // The id of a released call may still appear in events.
                if let Some(call) = self.ids.call(text_or_empty(&event.call_id)) {
                    self.on_call_event(now, kind, call, &event, response);
                }
                Ok(())
            }
        }
    }

    fn on_call(
        &mut self,
        now: Time,
        event: &Event,
        response: &mut Vec<u8>,
    ) -> Result<(), EventError> {
        let Some(call) = self.ids.insert_call(text_or_empty(&event.call_id)) else {
            return Ok(());
        };
        let time_left_ms = event
            .time_left_ms
            .ok_or(MessageKind::Order.missing("Grace"))?;
        let flags = event.flags.unwrap_or(0);
        let request = CallRequest {
            product: index_of(&self.names.products, optional_text(&event.product)),
            tenant: index_of(&self.names.tenants, optional_text(&event.tenant)),
            key: optional_text(&event.key),
            write: flags & WRITE_FLAG != 0,
            client_retry: flags & CLIENT_RETRY_FLAG != 0,
            time_left: Span::from_ms(time_left_ms),
        };
        let mut actions = ActionWriter {
            ids: &mut self.ids,
            response,
        };
        self.balancer.on_call(now, call, request, &mut actions);
        Ok(())
    }

    fn on_endpoint_list(
        &mut self,
        now: Time,
        event: &Event,
        lists: &[Vec<ListedServer>],
        response: &mut Vec<u8>,
    ) -> Result<(), EventError> {
        let update = text_or_empty(&event.update);
        if update == "Error" {
            self.balancer.on_endpoint_list_failed(now);
            return Ok(());
        }
        let list_index = event.list.ok_or(MessageKind::Fleet.missing("List"))? as usize;
        let servers = lists
            .get(list_index)
            .ok_or(EventError::UnknownList(list_index))?;
        let indices: Vec<_> = servers
            .iter()
            .map(|server| self.ids.servers.intern(&server.id))
            .collect();
        let names = &self.names;
        let endpoints = servers
            .iter()
            .zip(indices)
            .map(|(server, index)| names.endpoint(index, server.entry()));
        let complete = update != "Partial";
        let mut actions = ActionWriter {
            ids: &mut self.ids,
            response,
        };
        self.balancer
            .on_endpoint_list(now, complete, endpoints, &mut actions);
        Ok(())
    }

    /// Handles an event of a known call: its cancellation by the client, a first byte, or an
    /// attempt's result.
    fn on_call_event(
        &mut self,
        now: Time,
        kind: MessageKind,
        call: CallIndex,
        event: &Event,
        response: &mut Vec<u8>,
    ) {
        let mut actions = ActionWriter {
            ids: &mut self.ids,
            response,
        };
        let attempt = event.attempt.unwrap_or(u64::MAX) as usize;
        match kind {
            MessageKind::Withdrawn => self.balancer.on_client_cancelled(now, call, &mut actions),
            MessageKind::FirstByte => {
                self.balancer
                    .on_first_byte(now, call, attempt, &mut actions);
            }
            _ => {
                let result = AttemptResult {
                    attempt,
                    outcome: attempt_outcome(text_or_empty(&event.outcome)),
                    latency: Span::from_ms(event.latency_ms.unwrap_or(0.0)),
                    call_finished: event.call_finished.unwrap_or(false),
                };
                self.balancer
                    .on_attempt_result(now, call, result, &mut actions);
            }
        }
    }
}

/// Returns the string of a field, if the field is present.
fn optional_text<'a>(field: &'a Option<Text>) -> Option<&'a str> {
    field.as_ref().map(Text::as_str)
}

/// Returns the string of a field; empty if the field is missing.
fn text_or_empty<'a>(field: &'a Option<Text>) -> &'a str {
    optional_text(field).unwrap_or("")
}
