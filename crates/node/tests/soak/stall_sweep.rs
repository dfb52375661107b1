//! Stalls of the process at each moment of its shutdown, while clients send without a pause.
use super::plan::{Plan, Stall, BETWEEN_STALLS_MS};
use super::{assert_no_faults, round};

/// Environment variable with the time between two moments in milliseconds, for a finer sweep by
/// hand.
const STEP_VARIABLE: &str = "SOAK_SWEEP_STEP_MS";
/// Time between two moments in CI, in milliseconds.
const STEP_MS: u64 = 12;
/// Client timeouts, in milliseconds.
const CLIENT_TIMEOUTS_MS: [u64; 2] = [100, 300];
/// Lengths of a stall, in milliseconds: longer than the node waits for a pause of its client, and
/// nearly the longest stall that is allowed.
const STALL_LENGTHS_MS: [u64; 2] = [105, 145];
/// Time from the client timeout to the end of the shutdown, in milliseconds. Later moments are not
/// tested.
const END_AFTER_TIMEOUT_MS: u64 = 540;

fn plans(step_ms: u64) -> Vec<Plan> {
    let mut plans = Vec::new();
    for (index, client_timeout_ms) in CLIENT_TIMEOUTS_MS.into_iter().enumerate() {
        let last_ms = client_timeout_ms + END_AFTER_TIMEOUT_MS;
        // The sweeps of the two client timeouts are offset, so that each has moments that the other
        // leaves out.
        let first_ms = BETWEEN_STALLS_MS + index as u64 * step_ms / 2;
        for after_ms in (first_ms..last_ms).step_by(step_ms as usize) {
            let seed = plans.len() as u64;
            let stall = Stall {
                after_ms,
                length_ms: STALL_LENGTHS_MS[(seed / 2) as usize % STALL_LENGTHS_MS.len()],
            };
            plans.push(Plan::with_stall(seed, client_timeout_ms, stall));
        }
    }
    plans
}

// Regression test: a request arrives during a stall, and the node closes the connection after the
// stall without reading it again. The unread request is lost.
#[test]
fn no_request_is_lost_whenever_a_shutdown_is_stalled() {
    let step_ms = std::env::var(STEP_VARIABLE).map_or(STEP_MS, |text| {
        text.parse().expect("SOAK_SWEEP_STEP_MS: milliseconds")
    });
    assert_no_faults(&plans(step_ms), round::play);
}
