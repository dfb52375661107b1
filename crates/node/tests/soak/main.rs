//! Soak test of the shutdown. Nodes under load get a series of signals and are killed as soon as
//! the operators' page allows it, while their clients use open connections until the kill.
//! `SOAK_SEEDS` (a count, or `from..to`) plays other seeds than the few of CI.
mod clients;
mod closes;
#[allow(dead_code, unused_imports)]
#[path = "../sockets/common.rs"]
mod common;
mod evidence;
mod pipelined_clients;
mod plan;
mod round;
mod rule_check;
mod servers;
mod stall_sweep;
#[allow(dead_code)]
#[path = "../sockets/stub_servers.rs"]
mod stub_servers;

use std::fmt::Debug;
use std::sync::Mutex;

use plan::Plan;
use round::RoundResult;

/// Environment variable with the seeds to play.
const SEEDS_VARIABLE: &str = "SOAK_SEEDS";
/// Seeds that CI plays; the last one has found a fault.
const CI_SEEDS: [u64; 19] = [
    0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 63,
];
/// Number of rounds that are played at the same time.
const PARALLEL_ROUNDS: usize = 3;
/// How often a round is played if the machine stalls its processes for longer than the page allows;
/// after that it is not judged.
const MAX_PLAYS: usize = 4;

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var(SEEDS_VARIABLE) else {
        return CI_SEEDS.to_vec();
    };
    let number = |text: &str| {
        text.parse::<u64>()
            .expect("SOAK_SEEDS: a count, or from..to")
    };
    match text.split_once("..") {
        Some((from, to)) => (number(from)..number(to)).collect(),
        None => (0..number(&text)).collect(),
    }
}

/// Lock of the machine: tests that play at the same time would stall one another's processes.
static MACHINE: Mutex<()> = Mutex::new(());

/// Plays a plan's round until it can be judged and returns its faults; `None` if the machine
/// stalled it each time.
fn judge<P>(plan: &P, play: impl Fn(&P) -> RoundResult) -> Option<Vec<String>> {
    (0..MAX_PLAYS)
        .map(|_| play(plan))
        .find_map(|result| match result {
            RoundResult::Judged(faults) => Some(faults),
            RoundResult::MachineStalled => None,
        })
}

#[test]
fn no_request_is_lost_or_repeated_by_a_node_that_is_told_to_end() {
    let plans: Vec<_> = seeds().into_iter().map(Plan::from_seed).collect();
    assert_no_faults(&plans, round::play);
}

/// Plays the rounds, several at the same time, and fails if any fault is found.
fn assert_no_faults<P: Debug + Sync>(plans: &[P], play: impl Fn(&P) -> RoundResult + Sync) {
    let _machine = MACHINE
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    let faults = Mutex::new(Vec::new());
    let judged = Mutex::new(0);
    std::thread::scope(|scope| {
        for worker in 0..PARALLEL_ROUNDS {
            let (faults, judged, play) = (&faults, &judged, &play);
            scope.spawn(move || {
                for plan in plans.iter().skip(worker).step_by(PARALLEL_ROUNDS) {
                    match judge(plan, play) {
                        Some(round_faults) => {
                            *judged.lock().expect("a count") += 1;
                            faults.lock().expect("a list").extend(round_faults);
                        }
                        None => println!(
                            "not judged, as the machine stalled {MAX_PLAYS} times: {plan:?}"
                        ),
                    }
                }
            });
        }
    });
    let (faults, judged) = (
        faults.into_inner().expect("a list"),
        judged.into_inner().expect("a count"),
    );
    println!(
        "{judged} of {} seeds judged, {} faults",
        plans.len(),
        faults.len()
    );
    assert!(faults.is_empty(), "{}", faults.join("\n"));
    assert!(2 * judged >= plans.len(), "the machine stalled too often");
}
