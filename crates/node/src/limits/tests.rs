//! Relations that the limits must keep to one another and to the longest stall of the process.
use super::*;
use quartzhub_settings::{Settings, Value};

/// Time within which operators require that a misbehaving client gets a response or is closed.
const BAD_CLIENT_LIMIT: Span = Span::ms(3_000);
/// Time from the end of the longest client timeout after SIGTERM to SIGKILL.
const KILL_AFTER: Span = Span::ms(700);
/// Longest stall of the process.
const MAX_STALL: Span = Span::ms(150);

#[test]
fn misbehaving_client_is_closed_in_time_despite_a_stall() {
    let limits = Limits::default();
    for timeout in [
        limits.client_first_call_timeout,
        limits.partial_command_timeout,
        limits.partial_first_command_timeout,
    ] {
        assert!(
            timeout + limits.accept_retry_interval + MAX_STALL < BAD_CLIENT_LIMIT,
            "{timeout:?}"
        );
    }
}

#[test]
fn shutdown_steps_are_in_order_and_end_before_the_kill() {
    for timeout in [20.0, 100.0, 3_000.0, 40_000.0] {
        let name = "products.0.client_timeout".to_owned();
        let limits = Limits::new(
            MachineLimits::default(),
            &Settings([(name, Value::Number(timeout))].into()),
        );
        let client_timeout = Span::from_ms(timeout).min(Span::ms(3_000));
        let steps = [
            limits.shutdown_serve_until,
            limits.shutdown_respond_until + limits.call_overdue_after,
            limits.shutdown_disconnect_at,
            limits.shutdown_exit_at,
            limits.shutdown_final_reads_until,
        ];
        assert!(steps.is_sorted(), "{steps:?}");
        assert!(
            limits.shutdown_exit_at + MAX_STALL < client_timeout + KILL_AFTER
                && limits.shutdown_final_reads_until < client_timeout + KILL_AFTER
        );
        // New connections keep arriving for 0.4 s after SIGTERM.
        assert!(
            limits.shutdown_accept_min >= Span::ms(400)
                && limits.shutdown_exit_at >= Span::ms(400) + client_timeout
        );
    }
}
