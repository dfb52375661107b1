//! Limits derived from the machine and from the settings.
use quartzhub_policy::Span;
use quartzhub_settings::{products, Settings};

use super::fixed::FIXED_LIMITS;
use super::{Limits, MachineLimits};

/// Descriptors reserved for the listener, discovery, the event queue, signals, standard streams and
/// libraries.
const RESERVED_DESCRIPTORS: usize = 24;
/// Lower bound of `sockets`, even if the machine allows fewer.
const MIN_SOCKETS: usize = 8;
/// Lower bound of `client_only_sockets`.
const MIN_CLIENT_ONLY_SOCKETS: usize = 2;

/// Bytes per megabyte, as the configuration counts them.
const BYTES_PER_MB: f64 = 1e6;
/// Lower bound of the memory that limits are derived from, in megabytes.
const MIN_MEMORY_MB: f64 = 16.0;
/// Upper bound of the memory that limits are derived from, in megabytes.
const MAX_MEMORY_MB: f64 = 65536.0;
/// Most memory that an open API call takes without its value, in bytes.
const BYTES_PER_CALL: f64 = 4096.0;
/// Open API calls may take up the memory divided by this number.
const CALLS_MEMORY_DIVISOR: f64 = 8.0;
/// Share of the memory that values and buffers may take up.
const BUFFERS_MEMORY_SHARE: f64 = 1.0 / 3.0;
/// The same with responses.
const RESPONSES_MEMORY_SHARE: f64 = 0.43;
/// Lower bound of `streaming_window_bytes`.
const MIN_STREAMING_WINDOW_BYTES: usize = 8 * 1024;
/// Upper bound of `streaming_window_bytes`.
const MAX_STREAMING_WINDOW_BYTES: usize = 128 * 1024;
/// Most bytes counted per argument in the size of a command: few arguments are as long as allowed.
const MAX_COUNTED_ARGUMENT_BYTES: usize = 256;
/// Bytes of a command or a reply in addition to its arguments and its value.
const FRAMING_BYTES: usize = 4096;
/// Most open API calls if the settings give no number.
const DEFAULT_OPEN_CALLS: f64 = 40_000.0;

/// Longest client timeout if the settings name no product.
const DEFAULT_CLIENT_TIMEOUT: Span = Span::ms(1_000);
/// Connect timeout if the settings give none.
const DEFAULT_CONNECT_TIMEOUT: Span = Span::ms(250);
/// Lower bound of the connect timeout.
const MIN_CONNECT_TIMEOUT: Span = Span::ms(1);
/// Lower bound of `response_stalled_after`.
const MIN_RESPONSE_STALLED_AFTER: Span = Span::ms(50);
/// How long servers keep idle connections open if the settings don't say.
const DEFAULT_KEEPALIVE: Span = Span::ms(15_000);
/// Fraction of the servers' keep-alive time for which the node keeps idle connections: it has to
/// close them before the server does.
const KEEPALIVE_SHARE: f64 = 0.8;

/// Upper bound of the client timeout that a planned restart waits for after SIGTERM.
const MAX_SHUTDOWN_TIMEOUT: Span = Span::ms(3_000);
/// Time from the end of that timeout to SIGKILL, in milliseconds.
const KILL_AFTER_MS: i64 = 700;
/// Longest stall of the process before its last write, in milliseconds.
const MAX_STALL_MS: i64 = 150;
/// Largest lateness of the process's own timers, in milliseconds.
const TIMER_LATENESS_MS: i64 = 30;
/// Time from the end of the longest client timeout until clients are no longer served.
const SERVE_AFTER: Span = Span::ms(300);
/// Time from the end of the longest client timeout until every API call has its final response.
const RESPOND_AFTER: Span = Span::ms(420);
/// Time from the end of the longest client timeout until clients are closed: overdue API calls have
/// got their final response by then, and clients still have time to read it.
const DISCONNECT_AFTER: Span = Span::ms(440);

impl Default for Limits {
    fn default() -> Limits {
        Limits::new(MachineLimits::default(), &Settings::default())
    }
}

impl Limits {
    /// Returns the limits for a machine, with the timeouts that follow from the settings.
    pub fn new(machine: MachineLimits, settings: &Settings) -> Limits {
        let mut limits = FIXED_LIMITS;
        limits.set_socket_counts(machine);
        limits.set_memory_shares(machine, settings);
        limits.set_timeouts(settings);
        limits
    }

    /// Returns these limits with the timeouts that follow from `settings`, for settings that are
    /// reloaded while the node runs.
    pub fn with_settings(&self, settings: &Settings) -> Limits {
        let mut limits = self.clone();
        limits.set_timeouts(settings);
        limits
    }

    /// Returns these limits for a process that shares its listening socket, and at times the
    /// machine, with the process before or after it: neither may use more than half of the memory,
    /// or keep idle upstreams beyond a quarter of the sockets. The sockets of clients need no
    /// split, as each client is connected to one of the two processes.
    pub fn with_shared_listener(mut self) -> Limits {
        self.buffered_bytes /= 2;
        self.buffered_bytes_with_responses /= 2;
        self.streaming_window_bytes =
            (self.streaming_window_bytes / 2).max(MIN_STREAMING_WINDOW_BYTES);
        self.pooled_upstreams = self.sockets / 4;
        self
    }

    /// Returns these limits with descriptors reserved for the admin API.
    pub fn with_admin_connections(mut self) -> Limits {
        self.sockets = self
            .sockets
            .saturating_sub(self.admin_connections)
            .max(MIN_SOCKETS);
        self
    }

    /// Most bytes that the connection of a client buffers: one whole command.
    pub fn max_command_bytes(&self) -> usize {
        self.value_bytes
            + self.command_arguments * self.argument_bytes.min(MAX_COUNTED_ARGUMENT_BYTES)
            + FRAMING_BYTES
    }

    /// Most bytes that a connection to a server buffers: one whole reply, or the beginning of a
    /// larger one.
    pub fn max_reply_bytes(&self) -> usize {
        self.buffered_value_bytes + self.http_head_bytes + FRAMING_BYTES
    }

    fn set_socket_counts(&mut self, machine: MachineLimits) {
        let sockets = machine
            .sockets
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(MIN_SOCKETS);
        self.sockets = sockets;
        self.client_only_sockets = (sockets / 16).max(MIN_CLIENT_ONLY_SOCKETS);
        self.server_only_sockets = sockets / 4;
        self.idle_clients = machine.sockets / 4;
        self.pooled_upstreams = sockets;
    }

    fn set_memory_shares(&mut self, machine: MachineLimits, settings: &Settings) {
        let memory_bytes = machine.memory_mb.clamp(MIN_MEMORY_MB, MAX_MEMORY_MB) * BYTES_PER_MB;
        let configured_calls = settings.number("caps.most_held", DEFAULT_OPEN_CALLS);
        let calls_in_memory = memory_bytes / CALLS_MEMORY_DIVISOR / BYTES_PER_CALL;
        self.open_calls = (configured_calls.max(1.0) as usize).min(calls_in_memory as usize);
        self.buffered_bytes = (memory_bytes * BUFFERS_MEMORY_SHARE) as usize;
        self.buffered_bytes_with_responses = (memory_bytes * RESPONSES_MEMORY_SHARE) as usize;
        // A quarter of the memory if half of the sockets have clients that read slowly.
        self.streaming_window_bytes = ((memory_bytes / 2.0) as usize / self.sockets)
            .clamp(MIN_STREAMING_WINDOW_BYTES, MAX_STREAMING_WINDOW_BYTES);
    }

    fn set_timeouts(&mut self, settings: &Settings) {
        let connect_timeout = settings.span("caps.connect_timeout", DEFAULT_CONNECT_TIMEOUT);
        let keepalive = settings.span("caps.keepalive", DEFAULT_KEEPALIVE);
        self.connect_timeout = connect_timeout.max(MIN_CONNECT_TIMEOUT);
        self.response_stalled_after = connect_timeout.max(MIN_RESPONSE_STALLED_AFTER);
        self.upstream_idle_timeout = keepalive.times(KEEPALIVE_SHARE);
        let longest_timeout = products(settings)
            .iter()
            .map(|product| product.client_timeout)
            .max();
        let client_timeout = longest_timeout
            .unwrap_or(DEFAULT_CLIENT_TIMEOUT)
            .min(MAX_SHUTDOWN_TIMEOUT);
        self.shutdown_serve_until = client_timeout + SERVE_AFTER;
        self.shutdown_respond_until = client_timeout + RESPOND_AFTER;
        self.shutdown_disconnect_at = client_timeout + DISCONNECT_AFTER;
        self.shutdown_exit_at =
            client_timeout + Span::ms(KILL_AFTER_MS - MAX_STALL_MS - TIMER_LATENESS_MS);
        self.shutdown_final_reads_until =
            client_timeout + Span::ms(KILL_AFTER_MS - TIMER_LATENESS_MS);
    }
}
