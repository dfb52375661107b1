//! Servers that respond, are late, reject, fail or hang, and record each command that reaches them
//! whole.
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};

use quartzhub_policy::Pcg;

use super::common::*;
use super::plan::Plan;

/// The server that is the origin; the others are caches.
const ORIGIN: &str = "origin";
/// All servers of a round.
const SERVERS: [&str; 4] = ["a", "b", "c", ORIGIN];
/// Longest delay of a response, in microseconds.
const MAX_RESPONSE_DELAY_US: f64 = 20_000.0;
/// Fraction of the responses whose second half is late.
const LATE_REST_SHARE: f64 = 0.15;
/// Longest delay of the second half, as a fraction of the client timeout.
const MAX_LATE_REST: f64 = 0.8;
/// Fraction of the commands that get no response once servers hang.
const HANGING_SHARE: f64 = 0.5;

// Upper bounds, for a random number from 0 to 1, of what a server does; above them it responds
// normally.
/// The server sends no response.
const SILENT_BELOW: f64 = 0.05;
/// The server closes the connection.
const CLOSE_BELOW: f64 = 0.10;
/// The server rejects the command.
const REJECT_BELOW: f64 = 0.15;
/// A cache reports a failure.
const FAIL_BELOW: f64 = 0.20;
/// A read misses.
const MISS_BELOW: f64 = 0.40;

/// A command that has reached a server whole.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub server: &'static str,
    /// Whether the server's response proves that the command was not executed.
    pub is_not_executed: bool,
}

/// The arrivals at all servers, by request id.
#[derive(Clone, Default)]
pub struct Arrivals(Arc<Mutex<HashMap<String, Vec<Arrival>>>>);

impl Arrivals {
    /// Returns the arrivals of a request.
    pub fn of(&self, id: &str) -> Vec<Arrival> {
        self.0
            .lock()
            .expect("a table")
            .get(id)
            .cloned()
            .unwrap_or_default()
    }

    fn record(&self, id: &str, server: &'static str, is_not_executed: bool) {
        let arrival = Arrival {
            at: Instant::now(),
            server,
            is_not_executed,
        };
        self.0
            .lock()
            .expect("a table")
            .entry(id.to_owned())
            .or_default()
            .push(arrival);
    }
}

/// A running server.
pub struct Server {
    pub id: &'static str,
    pub addr: SocketAddr,
}

/// The reaction of a server to a command.
struct Reaction {
    action: ServerAction,
    is_not_executed: bool,
}

/// Starts three caches and an origin. Once `hang` is set, half of the commands get no response.
pub fn start(plan: &Plan, arrivals: &Arrivals, hang: &Arc<AtomicBool>) -> Vec<Server> {
    let (seed, is_instant) = (plan.seed, plan.servers_are_instant);
    let start_one = |(index, id): (usize, &&'static str)| {
        let (arrivals, hang, id) = (arrivals.clone(), hang.clone(), *id);
        let mut rng = Pcg::new(seed * 4 + index as u64 + 1);
        let mut late_rest = LateRest::new(plan, index);
        let script = move |words: &str| {
            let mut words = words.split(' ');
            let verb = words.next().unwrap_or_default();
            let request_id = words.nth(1).unwrap_or_default();
            let reaction = if is_instant {
                react_at_once(id, request_id, &mut rng, &hang)
            } else {
                late_rest.delay(react(id, verb, request_id, &mut rng, &hang))
            };
            arrivals.record(request_id, id, reaction.is_not_executed);
            reaction.action
        };
        let addr = server(id, channel().0, script);
        Server { id, addr }
    };
    SERVERS.iter().enumerate().map(start_one).collect()
}

/// Makes the second half of some responses late. Its random numbers are its own, so that they change
/// nothing else of a seed's round.
struct LateRest {
    rng: Pcg,
    max_delay: Duration,
}

impl LateRest {
    fn new(plan: &Plan, server_index: usize) -> LateRest {
        let client_timeout = Duration::from_millis(plan.client_timeout_ms);
        LateRest {
            rng: Pcg::new(plan.seed * 1_000 + server_index as u64 + 500),
            max_delay: client_timeout.mul_f64(MAX_LATE_REST),
        }
    }

    fn delay(&mut self, reaction: Reaction) -> Reaction {
        let is_late = self.rng.unit() < LATE_REST_SHARE;
        let delay = self.max_delay.mul_f64(self.rng.unit());
        let action = match reaction.action {
            ServerAction::RespondAfter(_, bytes) if is_late => {
                ServerAction::RestOnRelease(released_after(delay), bytes)
            }
            action => action,
        };
        Reaction { action, ..reaction }
    }
}

/// Returns a channel that receives after a delay.
fn released_after(delay: Duration) -> Receiver<()> {
    let (release, released) = channel();
    std::thread::spawn(move || {
        std::thread::sleep(delay);
        let _ = release.send(());
    });
    released
}

fn react_at_once(server: &str, request_id: &str, rng: &mut Pcg, hang: &AtomicBool) -> Reaction {
    let hangs = hang.load(Ordering::Relaxed) && rng.unit() < HANGING_SHARE;
    let action = match server {
        _ if hangs => ServerAction::Ignore,
        ORIGIN => ServerAction::Respond(http_value(request_id)),
        _ => ServerAction::Respond(hit_bytes(request_id)),
    };
    Reaction {
        action,
        is_not_executed: false,
    }
}

fn react(server: &str, verb: &str, request_id: &str, rng: &mut Pcg, hang: &AtomicBool) -> Reaction {
    let draw = rng.unit();
    let delay = Duration::from_micros((rng.unit() * MAX_RESPONSE_DELAY_US) as u64);
    let hangs = hang.load(Ordering::Relaxed) && rng.unit() < HANGING_SHARE;
    let is_origin = server == ORIGIN;
    let (action, is_not_executed) = match draw {
        _ if hangs => (ServerAction::Ignore, false),
        draw if draw < SILENT_BELOW => (ServerAction::Ignore, false),
        draw if draw < CLOSE_BELOW => (ServerAction::Close, false),
        draw if draw < REJECT_BELOW && is_origin => {
            (ServerAction::RespondAfter(delay, unavailable()), true)
        }
        draw if draw < REJECT_BELOW => (
            ServerAction::RespondAfter(delay, b"-BUSY\r\n".to_vec()),
            true,
        ),
        draw if draw < FAIL_BELOW && !is_origin => (
            ServerAction::RespondAfter(delay, b"-ERR failed\r\n".to_vec()),
            false,
        ),
        draw if draw < MISS_BELOW && verb == "OBJ.GET" => (miss(), true),
        _ if is_origin => (
            ServerAction::RespondAfter(delay, http_value(request_id)),
            false,
        ),
        _ => (
            ServerAction::RespondAfter(delay, hit_bytes(request_id)),
            false,
        ),
    };
    Reaction {
        action,
        is_not_executed,
    }
}

fn unavailable() -> Vec<u8> {
    b"HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".to_vec()
}

fn http_value(value: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{value}",
        value.len()
    )
    .into_bytes()
}
