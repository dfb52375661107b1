//! Writes the policy's actions into the response to a batch.
use quartzhub_policy::{CallIndex, PolicyActions, ServerIndex, Span, Time};

use crate::id_table::IdTable;

/// Writes one node's actions directly into the response.
pub(crate) struct ActionWriter<'a> {
    pub(crate) ids: &'a mut IdTable,
    pub(crate) response: &'a mut Vec<u8>,
}

impl ActionWriter<'_> {
    fn call_action(&mut self, name: &str, call: CallIndex) -> Action<'_> {
        Action::begin(self.response, name).field("Ticket", self.ids.call_id(call))
    }
}

impl PolicyActions for ActionWriter<'_> {
    fn dispatch(&mut self, call: CallIndex, server: ServerIndex, deadline: Time, _write_by: Time) {
        Action::begin(self.response, "Dispatch")
            .field("Ticket", self.ids.call_id(call))
            .field("Server", self.ids.servers.id(server))
            .field("Until", deadline.ms())
            .end();
    }

    fn cancel(&mut self, call: CallIndex, attempt: usize) {
        self.call_action("AbortAttempt", call)
            .field("Copy", attempt)
            .end();
    }

    fn rate_limit(&mut self, call: CallIndex, retry_after: Option<Span>) {
        let action = self.call_action("Reject", call);
        match retry_after {
            Some(delay) => action.field("RetryIn", delay.as_ms()).end(),
            None => action.end(),
        }
    }

    fn fail(&mut self, call: CallIndex) {
        self.call_action("RespondError", call).end();
    }

    fn release_call(&mut self, call: CallIndex) {
        self.ids.release_call(call);
    }

    fn release_server(&mut self, server: ServerIndex) {
        self.ids.servers.release(server);
    }

    fn set_timer(&mut self, after: Span) {
        Action::begin(self.response, "SetAlarm")
            .field("FromNow", after.as_ms())
            .field("Label", "tick")
            .end();
    }

    fn poll_endpoints(&mut self) {
        Action::begin(self.response, "Watch")
            .field("On", true)
            .end();
    }

    fn close_idle_connections(&mut self, server: ServerIndex) {
        Action::begin(self.response, "Close")
            .field("Server", self.ids.servers.id(server))
            .end();
    }
}

/// Appends one action to a response: its name, then its fields.
struct Action<'a>(&'a mut Vec<u8>);

impl<'a> Action<'a> {
    fn begin(response: &'a mut Vec<u8>, name: &str) -> Action<'a> {
        if response.last() == Some(&b'}') {
            response.push(b',');
        }
        response.extend_from_slice(b"{\"msg\":\"");
        response.extend_from_slice(name.as_bytes());
        response.push(b'"');
        Action(response)
    }

    fn field(self, name: &str, value: impl serde::Serialize) -> Action<'a> {
        self.0.extend_from_slice(b",\"");
        self.0.extend_from_slice(name.as_bytes());
        self.0.extend_from_slice(b"\":");
        // Writing a number or a string to memory cannot fail.
        let _ = serde_json::to_writer(&mut *self.0, &value);
        self
    }

    fn end(self) {
        self.0.push(b'}');
    }
}
