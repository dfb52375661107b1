//! The node's closes of pipelined connections: clients keep several commands open, with values of
//! any size, while the node is taken out of service, shut down, or replaced by a new process.
use std::collections::HashSet;
use std::sync::atomic::AtomicBool;

use quartzhub_policy::Pcg;

use super::common::*;
use super::pipelined_clients::{run_client, Failure};
use super::round::{measure_max_lateness, RoundResult, MAX_LATENESS};
use super::{assert_no_faults, seeds};

/// Sizes of values that are read, in bytes: buffered ones and streamed ones.
const READ_BYTES: [usize; 5] = [1_000, 60_000, 100_000, 300_000, 4 << 20];
/// Sizes of values that are written, in bytes.
const WRITE_BYTES: [usize; 3] = [100, 50_000, 200_000];
/// Numbers of commands that a client keeps open. The node takes 128 at a time.
const DEPTHS: [usize; 4] = [2, 8, 32, 200];
/// Most bytes of values that a client has open at once.
const MAX_OPEN_BYTES: usize = 12 << 20;
/// Number of clients of a round.
const CLIENT_COUNT: usize = 4;
/// Client timeout of the settings, in milliseconds.
pub const CLIENT_TIMEOUT_MS: u64 = 800;
/// Time from the start of the clients to the end of service.
const SERVICE_TIME: Duration = Duration::from_millis(200);
/// Time from the client timeout after SIGTERM to SIGKILL.
const KILL_AFTER: Duration = Duration::from_millis(700);
/// A command without a response that was sent less than this before the close crosses it.
const MAX_CROSSING: Duration = Duration::from_millis(100);

/// Why the node closes its clients.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Reason {
    OutOfService,
    Shutdown,
    Takeover,
}

/// What happens in a round, drawn from its seed.
#[derive(Debug)]
pub struct ClosePlan {
    pub seed: u64,
    reason: Reason,
    pub read_bytes: usize,
    pub write_bytes: usize,
    pub depth: usize,
    /// Whether clients read slowly. Only out of service, as nobody waits for them elsewhere.
    pub reads_slowly: bool,
}

impl ClosePlan {
    /// Draws a plan from a seed. Neighbouring seeds have different reasons and sizes.
    fn from_seed(seed: u64) -> ClosePlan {
        let mut rng = Pcg::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        let mut draw = |count: usize| (rng.unit() * count as f64) as usize;
        let reason = [Reason::OutOfService, Reason::Shutdown, Reason::Takeover][seed as usize % 3];
        let read_bytes = READ_BYTES[seed as usize % READ_BYTES.len()];
        let write_bytes = WRITE_BYTES[draw(WRITE_BYTES.len())];
        let max_depth = MAX_OPEN_BYTES / read_bytes.max(write_bytes);
        ClosePlan {
            seed,
            reason,
            read_bytes,
            write_bytes,
            depth: DEPTHS[draw(DEPTHS.len())].min(max_depth).max(2),
            reads_slowly: reason == Reason::OutOfService && draw(3) == 0 && read_bytes < 1 << 20,
        }
    }

    fn config(&self, caches: &[(&str, SocketAddr)], extra_keys: &str) -> String {
        config(caches, extra_keys).replace("40000", &CLIENT_TIMEOUT_MS.to_string())
    }
}

/// Starts a cache whose values are made of the command's id, and an origin that takes writes. Both
/// record the ids that reach them.
fn start_servers(read_bytes: usize, arrived: &Arc<Mutex<HashSet<String>>>) -> [SocketAddr; 2] {
    let record = |arrived: Arc<Mutex<HashSet<String>>>, words: &str| {
        let id = words.split(' ').nth(2).unwrap_or_default().to_owned();
        arrived.lock().expect("a set").insert(id.clone());
        id
    };
    let (at_cache, at_origin) = (arrived.clone(), arrived.clone());
    let cache = server("a", channel().0, move |words| {
        let id = record(at_cache.clone(), words);
        hit(&id.repeat(read_bytes / id.len() + 1)[..read_bytes])
    });
    let origin = server("origin", channel().0, move |words| {
        http("200 OK", &record(at_origin.clone(), words))
    });
    [cache, origin]
}

/// Ends the node's service for the plan's reason, and waits until its clients have been closed.
fn end_service(plan: &ClosePlan, node: &mut Node, ops: SocketAddr) {
    std::thread::sleep(SERVICE_TIME);
    if plan.reason == Reason::OutOfService {
        admin_call(ops, "POST /control/out-of-service");
        return;
    }
    node.signal("-TERM");
    std::thread::sleep(Duration::from_millis(CLIENT_TIMEOUT_MS) + KILL_AFTER);
    let _ = node.child.kill();
}

/// Plays a round and judges it, unless the machine stalled.
fn play(plan: &ClosePlan) -> RoundResult {
    let arrived = Arc::default();
    let [cache, origin] = start_servers(plan.read_bytes, &arrived);
    let known = [("a", cache), ("origin", origin)];
    let ops = free_address();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut node = match plan.reason {
        Reason::Takeover => node_inheriting(&listener, &plan.config(&known, ""), ops),
        _ => Node::with_config(
            &plan.config(&known, &format!(r#""ops":"{ops}","#)),
            DESCRIPTORS,
        ),
    };
    let (stop, addr) = (AtomicBool::new(false), node.addr);
    let (failures, lateness) = std::thread::scope(|scope| {
        let lateness = scope.spawn(|| measure_max_lateness(&stop));
        let clients: Vec<_> = (0..CLIENT_COUNT)
            .map(|client| scope.spawn(move || run_client(plan, client, addr)))
            .collect();
        end_service(plan, &mut node, ops);
        let failures: Vec<_> = clients
            .into_iter()
            .flat_map(|client| client.join().expect("a client"))
            .collect();
        stop.store(true, std::sync::atomic::Ordering::Relaxed);
        (failures, lateness.join().expect("a watch"))
    });
    let arrived = arrived.lock().expect("a set");
    let faults = faults(plan, &failures, &arrived);
    println!(
        "{plan:?}: {} crossing, {} faults",
        failures.len(),
        faults.len()
    );
    if lateness > MAX_LATENESS {
        return RoundResult::MachineStalled;
    }
    RoundResult::Judged(faults)
}

/// Returns the commands that were lost: without a response although they reached a server or were
/// sent well before the close, or with the response of another. When a slow reader sees the end of
/// its connection says nothing about when the node closed it.
fn faults(plan: &ClosePlan, failures: &[Failure], arrived: &HashSet<String>) -> Vec<String> {
    let is_lost = |failure: &&Failure| match failure.open {
        None => true,
        Some(_) if arrived.contains(&failure.id) => true,
        Some(open) => open > MAX_CROSSING && !plan.reads_slowly,
    };
    let describe = |failure: &Failure| {
        format!(
            "{} was open for {:?}, reached a server: {} {} ({plan:?})",
            failure.id,
            failure.open,
            arrived.contains(&failure.id),
            failure.detail
        )
    };
    failures.iter().filter(is_lost).map(describe).collect()
}

// Guards against commands that are read and never answered when their client is closed.
#[test]
fn no_command_of_a_pipelined_connection_is_lost_at_its_close() {
    let plans: Vec<_> = seeds().into_iter().map(ClosePlan::from_seed).collect();
    assert_no_faults(&plans, play);
}
