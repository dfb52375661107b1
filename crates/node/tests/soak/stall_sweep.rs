//! A stall of the process at each moment of its shutdown, while clients send on without a pause.
use super::assert_no_faults;
use super::plan::{Plan, Stall, BETWEEN_STALLS_MS};

/// Variable that names the milliseconds between two moments, for a finer sweep by hand.
const STEP_VARIABLE: &str = "SOAK_SWEEP_STEP_MS";
/// The same in CI.
const STEP_MS: u64 = 12;
/// Client timeouts, in milliseconds.
const CLIENT_TIMEOUTS_MS: [u64; 2] = [100, 300];
/// Lengths of a stall, in milliseconds: longer than the node waits for a pause of its client, and
/// nearly the longest that a process may be stalled for.
const STALL_LENGTHS_MS: [u64; 2] = [105, 145];
/// When the shutdown ends, in milliseconds beyond the client timeout: no later moment is of
/// interest.
const ENDS_AFTER_MS: u64 = 540;

fn plans(step_ms: u64) -> Vec<Plan> {
    let mut plans = Vec::new();
    for (index, client_timeout_ms) in CLIENT_TIMEOUTS_MS.into_iter().enumerate() {
        let last_ms = client_timeout_ms + ENDS_AFTER_MS;
        // The sweeps interleave, so that each has moments that the others leave out.
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

// Guards against requests that lie unread through a stall and are closed over by a node that has
// not looked again.
#[test]
fn no_request_is_lost_whenever_a_shutdown_is_stalled() {
    let step_ms = std::env::var(STEP_VARIABLE).map_or(STEP_MS, |text| {
        text.parse().expect("SOAK_SWEEP_STEP_MS: milliseconds")
    });
    assert_no_faults(&plans(step_ms));
}
