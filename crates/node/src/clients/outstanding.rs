//! What a client has yet to receive before its connection may be closed.
use super::connection::Connection;

/// What a client has yet to receive.
pub(super) struct Outstanding {
    /// Calls that await a response.
    pub(super) calls: usize,
    /// Items that are not completely written to the socket.
    pub(super) unwritten: usize,
    /// Whether no further command is taken until some of these calls and items are done.
    pub(super) at_call_limit: bool,
    /// Whether some of the items could be written now.
    pub(super) writable: bool,
    /// Whether the items are deferred, to be written together with the FIN. At the call limit they
    /// are not: further commands may be in the buffer, and can only be taken once these are written.
    deferred: bool,
    /// Whether a value is being streamed to the client. No command is taken meanwhile, even if the
    /// value's last byte has been written and its end only awaits a turn of the upstream's task.
    streaming: bool,
    /// Whether a value is cut, so that nothing may be written behind it.
    value_is_cut: bool,
}

impl Outstanding {
    /// Returns what the client of this connection has yet to receive.
    pub(super) fn of(connection: &Connection) -> Outstanding {
        let client = connection.client;
        let at_call_limit = connection.is_at_call_limit();
        Outstanding {
            calls: connection.pending_responses(),
            unwritten: client.unwritten(),
            at_call_limit,
            writable: client.has_writable_bytes() && connection.may_write(),
            deferred: client.defers_responses() && !client.has_streamed_value() && !at_call_limit,
            streaming: connection.is_streaming(),
            value_is_cut: client.value_is_cut.get(),
        }
    }

    /// Whether the client has received everything, so that it may count as idle.
    pub(super) fn is_empty(&self) -> bool {
        self.calls == 0 && self.unwritten == 0 && !self.streaming
    }

    /// Whether nothing is left except what can be written together with the FIN.
    pub(super) fn allows_close(&self) -> bool {
        let is_responded = self.calls == 0 && (self.unwritten == 0 || self.deferred);
        !self.streaming && (is_responded || self.value_is_cut)
    }
}

impl Connection<'_> {
    /// Number of the client's commands that await a response.
    pub(super) fn pending_responses(&self) -> usize {
        self.executor
            .query(|reducer| reducer.pending_responses(self.id))
    }

    /// Whether so many responses are pending or unwritten that no further command is taken. Unwritten
    /// ones count as well, for clients that send calls but read no responses.
    pub(super) fn is_at_call_limit(&self) -> bool {
        self.pending_responses() + self.client.unwritten()
            >= self.executor.limits.open_calls_per_client
    }

    /// Whether responses may be written now, not only together with the FIN.
    pub(super) fn may_write(&self) -> bool {
        !self.defers_responses() || self.is_at_call_limit()
    }

    /// Whether a value is being streamed to the client.
    pub(super) fn is_streaming(&self) -> bool {
        self.executor
            .query(|reducer| reducer.is_streaming_to(self.id))
    }
}
