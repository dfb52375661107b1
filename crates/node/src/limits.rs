//! Every limit of the node: sizes, counts and times. Filled once at start and handed down.
mod derived;
mod fixed;
mod machine_limits;
#[cfg(test)]
mod tests;

use quartzhub_policy::Span;

pub use machine_limits::MachineLimits;

/// Every limit of the node, grouped by what it bounds.
#[derive(Debug, Clone)]
pub struct Limits {
    // Connections.
    /// Connections from clients and to servers at once, together.
    pub sockets: usize,
    /// How many of `sockets` only clients get, so that one more can be told something.
    pub client_only_sockets: usize,
    /// How many of `sockets` only servers get.
    pub server_only_sockets: usize,
    /// Idle clients kept that have made API calls: well under the third of all descriptors that clients hold at most.
    pub idle_clients: usize,
    /// Idle connections kept to one server.
    pub idle_upstreams_per_server: usize,
    /// Connections to servers beyond which none is kept idle.
    pub pooled_upstreams: usize,

    // API calls.
    /// API calls open at once.
    pub open_calls: usize,
    /// API calls open at once on one client's connection.
    pub open_calls_per_client: usize,
    /// Products whose answers are counted in the node's life.
    pub counted_products: usize,
    /// Servers that discovery may name in the node's life.
    pub known_servers: usize,

    // Sizes of commands and values.
    /// Bytes of a value.
    pub value_bytes: usize,
    /// Bytes of a value up to which it is read whole and checked before any of it is forwarded.
    pub buffered_value_bytes: usize,
    /// Bytes of an argument of a command that is no value.
    pub argument_bytes: usize,
    /// Arguments of a command, its name included.
    pub command_arguments: usize,

    // Sizes of answers.
    /// Bytes of a line of a RESP reply that is no value.
    pub reply_line_bytes: usize,
    /// Bytes of the word of a RESP reply on how the command went.
    pub reply_status_bytes: usize,
    /// Items of an array in a RESP reply.
    pub reply_array_items: usize,
    /// How deep arrays nest in a RESP reply, in levels.
    pub reply_nesting: usize,
    /// Fields in the head of an HTTP message.
    pub http_header_fields: usize,
    /// Heads of 1xx answers ahead of an HTTP answer.
    pub http_interim_responses: usize,
    /// Bytes of the head of an HTTP answer.
    pub http_head_bytes: usize,
    /// Bytes of one line of an endpoint list.
    pub endpoint_list_line_bytes: usize,

    // Memory.
    /// Bytes of values, unwritten answers and partial commands in all; beyond it new API calls are rejected, and
    /// large commands wait.
    pub buffered_bytes: usize,
    /// Bytes under which an answer is never too long to be buffered.
    pub short_response_bytes: usize,
    /// Bytes of buffer that a connection with nothing in it keeps.
    pub idle_buffer_bytes: usize,
    /// Bytes of a streamed value that the node holds at most.
    pub streaming_window_bytes: usize,
    /// Bytes asked of a socket in one read.
    pub read_bytes: usize,
    /// How long a client with a large command waits for memory.
    pub capacity_wait: Span,

    // Connections to servers.
    /// For a connection to a server to be up.
    pub connect_timeout: Span,
    /// After which an idle connection to a server is closed: before the server does.
    pub upstream_idle_timeout: Span,
    /// How long a connection to a server is idle before it is used again, so that stray bytes are seen.
    pub upstream_reuse_delay: Span,
    /// How much longer than an attempt tells its server may be left at its first byte than at its last.
    pub deadline_slack: Span,
    /// Part of the time left, from 0 to 1, that a large value may take to be written beyond `deadline_slack`.
    pub large_value_write_share: f64,
    /// From some of an answer to more of it.
    pub response_gap_timeout: Span,
    /// How long the server or the client of a streamed value may stand still.
    pub streaming_stall_timeout: Span,

    // Connections of clients.
    /// After which a client without an open API call is closed.
    pub client_idle_timeout: Span,
    /// After which a client is closed that has made no API call.
    pub client_first_call_timeout: Span,
    /// For a command, from its first byte to its last.
    pub partial_command_timeout: Span,
    /// For a client's first command, from the client's connect.
    pub partial_first_command_timeout: Span,
    /// For a large command that goes on coming.
    pub large_command_timeout: Span,
    /// For a client to take an answer.
    pub response_write_timeout: Span,
    /// From when on an idle client that has made API calls may be closed for another.
    pub client_evictable_after: Span,
    /// From when on an idle client that has made no API call may be closed for another.
    pub new_client_evictable_after: Span,
    /// Commands of one client that are read before other clients have their turn.
    pub commands_per_turn: usize,
    /// Faulty commands after which a client is closed.
    pub command_errors_per_client: usize,
    /// For reading and dropping what a client sends that was told its fault, before it is closed.
    pub discard_timeout: Span,
    /// Bytes that are read and dropped from such a client.
    pub discard_bytes: usize,
    /// For reading and dropping what a draining client sends, before it is closed.
    pub linger_timeout: Span,
    /// For what lies unread at a client that is to be closed to be at hand.
    pub final_read_window: Span,

    // Deadlines.
    /// Longest client timeout that a client may name.
    pub longest_client_timeout: Span,
    /// Part of the client's wait that is kept for the way there and back.
    pub network_allowance: Span,
    /// After its client timeout, when an API call without an answer is ended.
    pub call_overdue_after: Span,
    /// Lateness of the policy's timer from which on the process counts as having been stalled.
    pub stall_threshold: Span,
    /// How long after a stall what is read counts as having waited for as long as the stall.
    pub stall_read_window: Span,

    // Listening.
    /// Between two attempts to listen on an address that is in use.
    pub listen_retry_interval: Span,
    /// For all attempts to listen on an address that is in use.
    pub listen_retry_limit: Span,
    /// After an accept that failed for want of descriptors.
    pub accept_retry_interval: Span,

    // Discovery.
    /// Without a whole line on a watch after which it is opened again: more than the time between two keep-alives, less
    /// than the time after which all that discovery has counts as notified.
    pub watch_silence_timeout: Span,
    /// For the first whole line of a watch that was just opened.
    pub watch_open_timeout: Span,
    /// The same for each third one in a row, as an agent may be slow.
    pub watch_slow_open_timeout: Span,
    /// Backoff after a watch that brought an update.
    pub watch_first_backoff: Span,
    /// Longest backoff, before jitter.
    pub watch_longest_backoff: Span,
    /// For the first update of discovery before clients are taken.
    pub first_endpoint_list_timeout: Span,
    /// For the first datagram of another node, with its drain overrides, before clients are taken.
    pub first_peer_timeout: Span,

    // Shutdown; times are counted from SIGTERM.
    /// Until when new connections are accepted at least.
    pub shutdown_accept: Span,
    /// For how long no new connection must have come before the end.
    pub shutdown_quiet: Span,
    /// Until when clients are served on.
    pub shutdown_serve: Span,
    /// Until when all API calls are answered.
    pub shutdown_respond: Span,
    /// When clients that are still there are closed.
    pub shutdown_disconnect: Span,
    /// The end.
    pub shutdown_limit: Span,
    /// From when on a further stall does not put off the end.
    pub shutdown_final_reads: Span,
    /// Polls at the end, or after a stall there, for clients to be read and closed.
    pub shutdown_final_polls: u32,
    /// Between two polls of whether all is answered.
    pub shutdown_poll_interval: Span,

    // Reload.
    /// How often a configuration that can't be read at SIGHUP is tried again.
    pub reload_attempts: usize,
    /// Between two of these tries.
    pub reload_retry_interval: Span,
    /// From new settings until all clients go by them.
    pub settings_propagation: Span,

    // Draining of clients; times are counted from when operators ask for it, or SIGTERM hands clients over.
    /// Until the front sends no new clients.
    pub leave_notice: Span,
    /// From when on clients are closed in the shortest pause.
    pub leave_close_any_pause: Span,
    /// From when on nothing more is read from clients.
    pub leave_stop_reading: Span,
    /// For the rest of a partial command.
    pub final_partial_command: Span,

    // Operators' calls.
    /// Operators' calls at once.
    pub admin_connections: usize,
    /// For an operators' call, from its connect to the end of its answer.
    pub admin_request_timeout: Span,
    /// Bytes of the head of an operators' call.
    pub admin_head_bytes: usize,
    /// Bytes of the body of an operators' call.
    pub admin_body_bytes: usize,

    // Log.
    /// Log lines a second.
    pub log_lines_per_second: f64,
    /// Log lines at once, and those that wait to be written.
    pub log_burst_lines: f64,
    /// For the last lines to be written at the end of the process.
    pub log_flush_timeout: Span,
}
