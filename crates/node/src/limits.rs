//! All limits of the node: sizes, counts and durations. Computed once at the start and passed to
//! every component.
mod derived;
mod fixed;
mod machine_limits;
#[cfg(test)]
mod tests;

use quartzhub_policy::Span;

pub use machine_limits::MachineLimits;

/// All limits of the node, grouped by what they bound.
#[derive(Debug, Clone)]
pub struct Limits {
    // Connections.
    /// Most connections open at once, from clients and to servers together.
    pub sockets: usize,
    /// Of `sockets`, those reserved for clients, so that a further client can still get a response.
    pub client_only_sockets: usize,
    /// Of `sockets`, those reserved for connections to servers.
    pub server_only_sockets: usize,
    /// Most clients that have made API calls and are kept while idle. Must be well under a third of
    /// all descriptors, the most that clients together hold.
    pub idle_clients: usize,
    /// Most idle connections kept to one server.
    pub idle_upstreams_per_server: usize,
    /// Connections to servers, busy or idle, above which a connection is closed instead of kept
    /// idle.
    pub pooled_upstreams: usize,

    // API calls.
    /// Most open API calls of the node.
    pub open_calls: usize,
    /// Most ids of ended API calls that are remembered, as these must not be executed twice.
    pub remembered_ids: usize,
    /// How long such an id is remembered.
    pub id_memory: Span,
    /// Most open API calls of one client connection.
    pub open_calls_per_client: usize,
    /// Most products that get a response counter during the life of the process.
    pub counted_products: usize,
    /// Most servers that discovery may name during the life of the process.
    pub known_servers: usize,

    // Sizes of commands and values.
    /// Longest value, in bytes.
    pub value_bytes: usize,
    /// Longest value, in bytes, that is received whole and checked before any of it is forwarded.
    pub buffered_value_bytes: usize,
    /// Longest argument of a command, in bytes, other than its value.
    pub argument_bytes: usize,
    /// Most arguments of a command, its name included.
    pub command_arguments: usize,

    // Sizes of responses.
    /// Longest line of a RESP reply, in bytes, other than a value.
    pub reply_line_bytes: usize,
    /// Longest status of a RESP reply, such as `BUSY`, in bytes.
    pub reply_status_bytes: usize,
    /// Most items of an array in a RESP reply.
    pub reply_array_items: usize,
    /// Most levels of nested arrays in a RESP reply.
    pub reply_nesting: usize,
    /// Most header fields of an HTTP message.
    pub http_header_fields: usize,
    /// Most 1xx responses before the final HTTP response.
    pub http_interim_responses: usize,
    /// Longest head of an HTTP response, in bytes.
    pub http_head_bytes: usize,
    /// Longest line of an endpoint list, in bytes.
    pub endpoint_list_line_bytes: usize,

    // Memory.
    /// Most bytes of buffered values, unwritten responses and partial commands. Above it, new API
    /// calls are rejected and large commands wait for memory.
    pub buffered_bytes: usize,
    /// The same bound for responses, which are replaced by errors only above it.
    pub buffered_bytes_with_responses: usize,
    /// Responses shorter than this, in bytes, are buffered even when `buffered_bytes` is used up.
    pub short_response_bytes: usize,
    /// Capacity that the buffer of a connection keeps while it is empty, in bytes. It does not count
    /// towards these bounds.
    pub idle_buffer_bytes: usize,
    /// Bytes that are reserved for what follows the value of a response.
    pub response_end_bytes: usize,
    /// Most bytes of a streamed value that the node buffers.
    pub streaming_window_bytes: usize,
    /// Most bytes read from a socket at once.
    pub read_bytes: usize,
    /// Longest time for which a client with a large command waits for memory.
    pub memory_wait_timeout: Span,
    /// Fraction of a call's time, from 0 to 1, for which its command waits for memory at most: a
    /// later refusal leaves its client too little time for another node.
    pub memory_wait_fraction: f64,
    /// Delay between two tries to get memory that has not been offered meanwhile.
    pub memory_retry_interval: Span,
    /// Time without a byte after which an incomplete command is evicted if others need its memory.
    pub stalled_command_after: Span,

    // Connections to servers.
    /// Timeout of a connect to a server.
    pub connect_timeout: Span,
    /// Time after which an idle connection to a server is closed; shorter than the server's own
    /// timeout.
    pub upstream_idle_timeout: Span,
    /// How long a connection to a server must have been idle before its next request, so that stray
    /// bytes of an earlier response are noticed.
    pub upstream_reuse_delay: Span,
    /// How long a connection to a server must have been idle to be preferred to one that has been
    /// idle longer: a server that is held up sends stray bytes later than the reuse delay.
    pub upstream_full_rest: Span,
    /// How long connections to a server that has sent stray bytes late rest longer than the reuse
    /// delay.
    pub raised_reuse_delay_duration: Span,
    /// By how much the time left when the last byte of a request is written may fall short of the
    /// time left that the request states.
    pub deadline_slack: Span,
    /// Fraction of the time left, from 0 to 1, that writing a large value may take in addition to
    /// `deadline_slack`.
    pub large_value_write_fraction: f64,
    /// Time without a byte after which a response that has begun counts as stalled: other servers are
    /// asked, and it is awaited on.
    pub response_stalled_after: Span,
    /// Longest time for which a large value is held until it is complete.
    pub value_hold_timeout: Span,
    /// Time before the end of its call's time at which a large value is held no longer.
    pub value_hold_margin: Span,
    /// Time without a byte after which the server of a held value counts as having stopped.
    pub value_stopped_after: Span,
    /// Longest time from the last byte of a streamed value to the end of its response. Its client
    /// awaits that byte meanwhile.
    pub value_end_timeout: Span,
    /// How long the server or the client of a streamed value may make no progress.
    pub streaming_stall_timeout: Span,

    // Connections of clients.
    /// Time after which a client that has made API calls and has none open is closed.
    pub client_idle_timeout: Span,
    /// Time after which a client that has made no API call is closed.
    pub client_first_call_timeout: Span,
    /// Longest time from the first byte of a command to its last.
    pub partial_command_timeout: Span,
    /// Longest time from a client's connect to the last byte of its first command.
    pub partial_first_command_timeout: Span,
    /// Longest time for a large command whose bytes keep arriving.
    pub large_command_timeout: Span,
    /// Longest time for a client to read a response.
    pub response_write_timeout: Span,
    /// Idle time after which a client that has made API calls may be closed to free a socket.
    pub client_evictable_after: Span,
    /// Idle time after which a client that has made no API call may be closed to free a socket.
    pub new_client_evictable_after: Span,
    /// Commands of one client that are read before other clients get a turn.
    pub commands_per_turn: usize,
    /// Number of invalid commands after which a client is closed.
    pub command_errors_per_client: usize,
    /// How long the input of a rejected client is read and discarded before its connection is
    /// closed.
    pub discard_timeout: Span,
    /// Most bytes that are read and discarded from such a client.
    pub discard_bytes: usize,
    /// How long the input of a draining client is read and discarded before its connection is
    /// closed.
    pub linger_timeout: Span,
    /// Delay between two looks whether a client has taken its responses, or a server a large request.
    pub delivery_poll_interval: Span,
    /// How long a client that is about to be closed is still read, so that bytes which have already
    /// arrived are seen.
    pub final_read_window: Span,

    // Deadlines.
    /// Upper bound on the client timeout that a client states.
    pub longest_client_timeout: Span,
    /// Part of the client timeout that is set aside for the network between client and node, both
    /// ways.
    pub network_allowance: Span,
    /// Time after its deadline at which an API call without a final response is ended with an
    /// error.
    pub call_overdue_after: Span,
    /// Lateness of the policy's timer above which the process counts as having stalled.
    pub stall_threshold: Span,
    /// Time after a stall within which bytes that are read count as having waited for the whole
    /// stall.
    pub stall_read_window: Span,

    // Listening.
    /// Delay between two attempts to listen after a transient failure, such as an address in use.
    pub listen_retry_interval: Span,
    /// Time after the start of the process until which attempts to listen are repeated after a
    /// transient failure.
    pub listen_retry_timeout: Span,
    /// Delay after an accept that failed because descriptors or other resources ran out.
    pub accept_retry_interval: Span,

    // Discovery.
    /// How long a watch may deliver no whole line before it is reopened: longer than the interval
    /// of discovery's keep-alives, shorter than the time after which the node counts as notified of
    /// every update.
    pub watch_silence_timeout: Span,
    /// Timeout for the first whole line of a watch that was just opened.
    pub watch_open_timeout: Span,
    /// The same for every third watch in a row without a line, as discovery may be slow.
    pub watch_slow_open_timeout: Span,
    /// Backoff after a watch that delivered an update, or lived for as long as the longest backoff.
    pub watch_first_backoff: Span,
    /// Longest backoff, before jitter.
    pub watch_longest_backoff: Span,
    /// How long the start waits for the first update of discovery before clients are accepted.
    pub first_endpoint_list_timeout: Span,
    /// How long the start waits for the first datagram of another node, which carries its drain
    /// overrides, before clients are accepted.
    pub first_peer_timeout: Span,

    // Shutdown; durations are measured from SIGTERM.
    /// Shortest time for which new connections are still accepted.
    pub shutdown_accept_min: Span,
    /// Time without a new connection after which the process may exit early.
    pub shutdown_quiet_period: Span,
    /// Until when clients are served as before.
    pub shutdown_serve_until: Span,
    /// Until when every API call gets its final response.
    pub shutdown_respond_until: Span,
    /// When the clients that are still connected are closed.
    pub shutdown_disconnect_at: Span,
    /// When the exit begins at the latest.
    pub shutdown_exit_at: Span,
    /// Time from which a further stall no longer postpones the exit.
    pub shutdown_final_reads_until: Span,
    /// Polls at the exit, or after a stall during it, in which clients are still read and closed.
    pub shutdown_final_polls: u32,
    /// Delay between two polls of whether the shutdown is complete.
    pub shutdown_poll_interval: Span,

    // Reload.
    /// Most retries of reading a configuration file that can't be read at SIGHUP.
    pub reload_retries: usize,
    /// Delay between two of these retries.
    pub reload_retry_interval: Span,
    /// Time from new settings until all clients use them.
    pub settings_propagation: Span,

    // Draining of clients; durations are measured from the operators' request, or from the SIGTERM
    // of a process that hands its clients over.
    /// Time until the front load balancer no longer sends new clients.
    pub drain_notice: Span,
    /// Time after which a client is closed as soon as it is idle, however briefly.
    pub drain_close_idle_after: Span,
    /// Time after which no further commands are read from clients.
    pub drain_stop_reading_after: Span,
    /// How long a client that is about to be closed may take for the rest of a partial command.
    pub final_partial_command_timeout: Span,

    // Admin API.
    /// Most connections to the admin API at once.
    pub admin_connections: usize,
    /// Longest time for a request to the admin API, from its connect to the end of its response.
    pub admin_request_timeout: Span,
    /// Longest head of a request to the admin API, in bytes.
    pub admin_head_bytes: usize,
    /// Longest body of a request to the admin API, in bytes.
    pub admin_body_bytes: usize,

    // Log.
    /// Sustained rate of log lines, per second.
    pub log_lines_per_second: f64,
    /// Most log lines in a burst, and most lines that wait to be written.
    pub log_burst_lines: f64,
    /// How long the exit of the process waits for the last log lines to be written.
    pub log_flush_timeout: Span,
}
