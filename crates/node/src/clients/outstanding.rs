//! What a client has yet to receive before its connection may be closed.
use super::connection::Connection;

/// What a client has yet to receive.
pub(super) struct Outstanding {
    /// Calls that await a response.
    pub(super) calls: usize,
    /// Items that are not completely written to the socket.
    pub(super) unwritten: usize,
    /// Whether some of them could be written now.
    pub(super) writable: bool,
    /// Whether the items are deferred, to be written together with the FIN.
    deferred: bool,
    /// Whether a value is being streamed to the client. No command is taken meanwhile, even if the
    /// value's last byte has been written and its end only awaits a turn of the upstream's task.
    streaming: bool,
}

impl Outstanding {
    /// Returns what the client of this connection has yet to receive.
    pub(super) fn of(connection: &Connection) -> Outstanding {
        let client = connection.client;
        Outstanding {
            calls: connection.pending_responses(),
            unwritten: client.unwritten(),
            writable: client.has_writable_bytes() && !connection.defers_responses(),
            deferred: client.defers_responses() && !client.has_streamed_item(),
            streaming: connection.is_streaming(),
        }
    }

    /// Whether the client has received everything, so that it may count as idle.
    pub(super) fn is_empty(&self) -> bool {
        self.calls == 0 && self.unwritten == 0 && !self.streaming
    }

    /// Whether nothing is left except what can be written together with the FIN.
    pub(super) fn allows_close(&self) -> bool {
        self.calls == 0 && !self.streaming && (self.unwritten == 0 || self.deferred)
    }
}

impl Connection<'_> {
    /// Number of the client's commands that await a response.
    pub(super) fn pending_responses(&self) -> usize {
        self.executor
            .query(|reducer| reducer.pending_responses(self.id))
    }

    /// Whether a value is being streamed to the client.
    pub(super) fn is_streaming(&self) -> bool {
        self.executor
            .query(|reducer| reducer.is_streaming_to(self.id))
    }
}
