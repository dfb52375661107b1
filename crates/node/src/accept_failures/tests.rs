use super::*;

fn error(number: i32) -> io::Error {
    io::Error::from_raw_os_error(number)
}

#[test]
fn accepts_that_fail_for_their_connection_are_followed_at_once_up_to_a_bound() {
    let mut failures = AcceptFailures::default();
    for _ in 0..3 {
        for _ in 0..MAX_CONSECUTIVE_ABORTED {
            assert_eq!(
                failures.on_failure(&error(libc::ECONNABORTED)),
                AcceptRetry::AtOnce
            );
        }
        assert_eq!(
            failures.on_failure(&error(libc::ECONNABORTED)),
            AcceptRetry::AfterPause
        );
    }
}

#[test]
fn a_connection_that_is_accepted_starts_the_count_anew() {
    let mut failures = AcceptFailures::default();
    for _ in 0..10 * MAX_CONSECUTIVE_ABORTED {
        assert_eq!(
            failures.on_failure(&error(libc::EPROTO)),
            AcceptRetry::AtOnce
        );
        failures.on_accepted();
    }
}

#[test]
fn want_of_descriptors_is_followed_by_a_pause() {
    let mut failures = AcceptFailures::default();
    assert_eq!(
        failures.on_failure(&error(libc::EMFILE)),
        AcceptRetry::AfterPause
    );
}
