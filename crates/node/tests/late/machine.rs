//! Plays that are judged only if the machine ran its processes in time, as in the soak.
use std::sync::atomic::{AtomicBool, Ordering};

use super::common::*;

/// Sleep of the thread that measures how late the machine wakes it.
const PROBE_SLEEP: Duration = Duration::from_millis(2);
/// Largest delay of that thread in a play that is judged: less than the time that is left for a
/// response to reach its client.
const MAX_LATENESS: Duration = Duration::from_millis(10);
/// How often something is played if the machine stalls its processes; after that it is not judged.
const MAX_PLAYS: usize = 4;

/// Returns the faults that a play finds, without those of plays in which the machine stalled; `None`
/// if it found some and stalled each time.
pub fn judge(play: impl Fn() -> Vec<String>) -> Option<Vec<String>> {
    for _ in 0..MAX_PLAYS {
        let stop = AtomicBool::new(false);
        let (faults, lateness) = std::thread::scope(|scope| {
            let lateness = scope.spawn(|| max_lateness(&stop));
            let faults = play();
            stop.store(true, Ordering::Relaxed);
            (faults, lateness.join().expect("a probe"))
        });
        if faults.is_empty() || lateness <= MAX_LATENESS {
            return Some(faults);
        }
        println!(
            "not judged, as the machine was {lateness:?} late: {}",
            faults.join("\n")
        );
    }
    None
}

fn max_lateness(stop: &AtomicBool) -> Duration {
    let mut longest = Duration::ZERO;
    while !stop.load(Ordering::Relaxed) {
        let started_at = Instant::now();
        std::thread::sleep(PROBE_SLEEP);
        longest = longest.max(started_at.elapsed() - PROBE_SLEEP);
    }
    longest
}
