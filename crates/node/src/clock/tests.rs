//! Conversion of servers' start times from Unix time, around steps of the wall clock.
use super::*;

const UNIX_MS: f64 = 1_700_000_000_000.0;
const HOUR_MS: f64 = 3_600_000.0;

fn at(ms: i64) -> Time {
    Time(ms * 1000)
}

/// Returns a clock that shows `UNIX_MS` at 0, and is stepped by `step_ms` at 10 s.
fn clock_stepped_by(step_ms: f64) -> WallClock {
    let mut clock = WallClock::default();
    clock.sample(at(0), UNIX_MS);
    clock.sample(at(9_000), UNIX_MS + 9_000.0);
    clock.sample(at(10_000), UNIX_MS + 10_000.0 + step_ms);
    clock
}

#[test]
fn start_near_a_step_of_the_wall_clock_is_converted_correctly() {
    for step_ms in [HOUR_MS, -HOUR_MS, 30_000.0, -30_000.0] {
        let clock = clock_stepped_by(step_ms);
        // Started 1 s before and 1 s after the step, converted 2 s after it.
        assert_eq!(
            clock.server_start_time(at(12_000), Some(UNIX_MS + 9_000.0)),
            Some(at(9_000)),
            "{step_ms}"
        );
        assert_eq!(
            clock.server_start_time(at(12_000), Some(UNIX_MS + 11_000.0 + step_ms)),
            Some(at(11_000)),
            "{step_ms}"
        );
    }
}

#[test]
fn start_long_ago_stays_so_and_start_in_the_future_is_now() {
    let clock = clock_stepped_by(HOUR_MS);
    assert_eq!(clock.server_start_time(at(12_000), Some(0.0)), None);
    assert_eq!(clock.server_start_time(at(12_000), None), None);
    assert_eq!(clock.server_start_time(at(12_000), Some(f64::NAN)), None);
    let early_start = clock
        .server_start_time(at(12_000), Some(UNIX_MS - 5.0 * HOUR_MS))
        .expect("a time");
    assert!(early_start <= at(-4 * HOUR_MS as i64), "{early_start:?}");
    assert_eq!(
        clock.server_start_time(at(12_000), Some(UNIX_MS + 9.0 * HOUR_MS)),
        Some(at(12_000))
    );
}

#[test]
fn small_changes_are_no_steps_and_offsets_are_bounded() {
    let mut clock = WallClock::default();
    for i in 0..1_000 {
        clock.sample(at(i), UNIX_MS + i as f64 + (i % 10) as f64);
    }
    assert_eq!(clock.offsets.len(), 1);
    for i in 0..1_000 {
        clock.sample(at(i), UNIX_MS + i as f64 * 1_000.0);
    }
    assert_eq!(clock.offsets.len(), MAX_OFFSETS);
}
