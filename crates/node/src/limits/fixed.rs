//! Limits that depend neither on the machine nor on the settings.
use quartzhub_policy::Span;

use super::Limits;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// The fixed limits; those derived from the machine or the settings are zero until `Limits::new`
/// sets them.
pub(super) const FIXED_LIMITS: Limits = Limits {
    sockets: 0,
    client_only_sockets: 0,
    server_only_sockets: 0,
    idle_clients: 0,
    idle_upstreams_per_server: 64,
    pooled_upstreams: 0,

    open_calls: 0,
    remembered_ids: 8 * 1024,
    // Longer than clients wait before they try again.
    id_memory: Span::ms(10_000),
    open_calls_per_client: 128,
    counted_products: 1024,
    known_servers: 16 * 1024,

    value_bytes: 4 * MIB,
    buffered_value_bytes: 64 * KIB,
    argument_bytes: KIB,
    command_arguments: 16,

    reply_line_bytes: KIB,
    reply_status_bytes: 32,
    reply_array_items: 64,
    reply_nesting: 3,
    http_header_fields: 64,
    http_interim_responses: 8,
    http_head_bytes: 16 * KIB,
    endpoint_list_line_bytes: MIB,

    buffered_bytes: 0,
    buffered_bytes_with_responses: 0,
    short_response_bytes: 64,
    idle_buffer_bytes: 4 * KIB,
    response_end_bytes: KIB,
    streaming_window_bytes: 0,
    read_bytes: 16 * KIB,
    memory_wait_timeout: Span::ms(1_500),
    memory_wait_fraction: 0.5,
    memory_retry_interval: Span::ms(50),
    // Longer than it takes to send a lost segment again.
    stalled_command_after: Span::ms(250),

    connect_timeout: Span::ZERO,
    upstream_idle_timeout: Span::ZERO,
    // A duplicate of a response arrives some milliseconds after the first.
    upstream_reuse_delay: Span::ms(10),
    upstream_full_rest: Span::ms(50),
    raised_reuse_delay_duration: Span::ms(30_000),
    // Two thirds of what operators allow, as a stall of the process adds to it.
    deadline_slack: Span::ms(100),
    large_value_write_fraction: 0.5,
    response_stalled_after: Span::ZERO,
    // Operators count a value as lost whose rest is held back for 2 s.
    value_hold_timeout: Span::ms(1_500),
    value_hold_margin: Span::ms(20),
    // Longer than it takes to send a lost segment again.
    value_stopped_after: Span::ms(250),
    value_end_timeout: Span::ms(1_500),
    streaming_stall_timeout: Span::ms(5_000),

    client_idle_timeout: Span::ms(5_000),
    client_first_call_timeout: Span::ms(2_500),
    partial_command_timeout: Span::ms(2_500),
    partial_first_command_timeout: Span::ms(2_750),
    large_command_timeout: Span::ms(15_000),
    response_write_timeout: Span::ms(5_000),
    client_evictable_after: Span::ms(2_000),
    new_client_evictable_after: Span::ms(20),
    commands_per_turn: 4,
    command_errors_per_client: 16,
    discard_timeout: Span::ms(1_000),
    discard_bytes: 64 * MIB,
    linger_timeout: Span::ms(200),
    delivery_poll_interval: Span::ms(10),
    final_read_window: Span::ms(100),

    longest_client_timeout: Span::ms(3_600_000),
    network_allowance: Span::ms(3),
    call_overdue_after: Span::ms(10),
    stall_threshold: Span::ms(20),
    stall_read_window: Span::ms(5),

    listen_retry_interval: Span::ms(20),
    listen_retry_timeout: Span::ms(10_000),
    accept_retry_interval: Span::ms(20),

    watch_silence_timeout: Span::ms(3_000),
    // The discovery agent responds at once, and the node counts as notified of every update 6 s
    // after its watch fell silent.
    watch_open_timeout: Span::ms(1_000),
    watch_slow_open_timeout: Span::ms(2_500),
    watch_first_backoff: Span::ms(50),
    watch_longest_backoff: Span::ms(700),
    first_endpoint_list_timeout: Span::ms(1_500),
    first_peer_timeout: Span::ms(400),

    shutdown_accept_min: Span::ms(500),
    shutdown_quiet_period: Span::ms(150),
    shutdown_serve_until: Span::ZERO,
    shutdown_respond_until: Span::ZERO,
    shutdown_disconnect_at: Span::ZERO,
    shutdown_exit_at: Span::ZERO,
    shutdown_final_reads_until: Span::ZERO,
    shutdown_final_polls: 4,
    shutdown_poll_interval: Span::ms(5),

    // About half a second in total, by which the system's count of open files may lag.
    reload_retries: 8,
    reload_retry_interval: Span::ms(50),
    settings_propagation: Span::ms(2_000),

    drain_notice: Span::ms(350),
    drain_close_idle_after: Span::ms(1_500),
    // Operators require that, 4 s after the drain began, no connection carries a command of the
    // last 2 s.
    drain_stop_reading_after: Span::ms(1_700),
    final_partial_command_timeout: Span::ms(500),

    // Some tools at once, and callers that keep a connection open with a partial request.
    admin_connections: 16,
    admin_request_timeout: Span::ms(5_000),
    admin_head_bytes: 8 * KIB,
    admin_body_bytes: 4 * KIB,

    log_lines_per_second: 20.0,
    log_burst_lines: 100.0,
    log_flush_timeout: Span::ms(100),
};
