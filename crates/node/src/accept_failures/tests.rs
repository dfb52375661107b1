use super::*;

fn error(number: i32) -> io::Error {
    io::Error::from_raw_os_error(number)
}

#[test]
fn aborted_connections_cause_no_pause_up_to_a_limit() {
    let mut failures = AcceptFailures::default();
    for _ in 0..3 {
        for _ in 0..MAX_CONSECUTIVE_ABORTED {
            assert_eq!(
                failures.on_failure(&error(libc::ECONNABORTED)),
                AcceptRetry::Immediate
            );
        }
        assert_eq!(
            failures.on_failure(&error(libc::ECONNABORTED)),
            AcceptRetry::AfterPause
        );
    }
}

#[test]
fn accepted_connection_resets_the_failure_count() {
    let mut failures = AcceptFailures::default();
    for _ in 0..10 * MAX_CONSECUTIVE_ABORTED {
        assert_eq!(
            failures.on_failure(&error(libc::EPROTO)),
            AcceptRetry::Immediate
        );
        failures.on_accepted();
    }
}

#[test]
fn running_out_of_descriptors_causes_a_pause() {
    let mut failures = AcceptFailures::default();
    assert_eq!(
        failures.on_failure(&error(libc::EMFILE)),
        AcceptRetry::AfterPause
    );
}
