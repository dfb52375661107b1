//! Clients that use their connections for as long as these are open, and record the outcome of each
//! request.
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};

use quartzhub_policy::Pcg;

use super::common::*;

/// How a client uses its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientBehavior {
    /// Sends one request after the other, without a pause between them.
    Sequential,
    /// Keeps several requests open at all times.
    Pipelining,
    /// Closes its connection during a request and connects again.
    Abandoning,
    /// Sends PING, is idle until the node closes the connection, and then still sends a request.
    IdleUntilClosed,
}

/// The clients of a round.
pub const CLIENTS: [ClientBehavior; 10] = {
    use ClientBehavior::*;
    [
        Sequential,
        Sequential,
        Sequential,
        Sequential,
        Pipelining,
        Pipelining,
        Pipelining,
        Abandoning,
        Abandoning,
        IdleUntilClosed,
    ]
};

/// The clients of a round in which every client sends without a pause.
pub const UNPAUSING_CLIENTS: [ClientBehavior; 6] = {
    use ClientBehavior::*;
    [
        Sequential, Sequential, Sequential, Sequential, Pipelining, Pipelining,
    ]
};

/// Number of requests that a pipelining client keeps open.
const PIPELINE_DEPTH: usize = 4;
/// Number of keys that are requested.
const KEY_COUNT: f64 = 50.0;
/// Fraction of the requests for `book`, the product that must not run twice.
const BOOK_SHARE: f64 = 0.2;
/// Fraction of the requests for `book` or for `put`, the product with idempotency keys.
const BOOK_OR_PUT_SHARE: f64 = 0.4;
/// Delay after a failed connect.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(2);
/// Delay before a client connects again after it was idle until the close.
const IDLE_RECONNECT_INTERVAL: Duration = Duration::from_millis(5);

/// The outcome of a request.
#[derive(Debug)]
pub enum RequestOutcome {
    /// The node responded.
    Responded { at: Instant, response: String },
    /// The connection was closed before a response.
    NoResponse { ended_at: Instant },
    /// The client closed the connection itself.
    Abandoned { at: Instant },
}

/// A request that a client has sent.
#[derive(Debug)]
pub struct Request {
    pub id: String,
    pub product: &'static str,
    pub sent_at: Instant,
    /// How long its client waits for a response.
    pub client_timeout: Duration,
    /// Whether its client always has another request open on the connection.
    pub is_pipelined: bool,
    /// Total time for which the client's thread, ready to run, had waited for a processor: when the
    /// request was sent, and when its outcome was known.
    pub processor_waits: [Duration; 2],
    pub outcome: RequestOutcome,
}

struct LoadClient<'a> {
    index: usize,
    client_timeout_ms: u64,
    is_pipelining: bool,
    rng: Pcg,
    stop: &'a AtomicBool,
    request_count: usize,
    requests: Vec<Request>,
}

/// Returns the total time for which this thread has waited for a processor, from
/// `/proc/thread-self/schedstat`.
fn processor_wait() -> Duration {
    let statistics = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let waited_ns = statistics.split_whitespace().nth(1);
    Duration::from_nanos(waited_ns.and_then(|ns| ns.parse().ok()).unwrap_or(0))
}

/// Sends requests until `stop` is set, which happens just before all connections are closed by the
/// kill.
pub fn run(
    behavior: ClientBehavior,
    index: usize,
    node: SocketAddr,
    client_timeout_ms: u64,
    seed: u64,
    stop: &AtomicBool,
) -> Vec<Request> {
    let mut client = LoadClient {
        index,
        client_timeout_ms,
        is_pipelining: behavior == ClientBehavior::Pipelining,
        rng: Pcg::new(seed * 100 + index as u64 + 7),
        stop,
        request_count: 0,
        requests: Vec::new(),
    };
    while !stop.load(Ordering::Relaxed) {
        let Ok(stream) = TcpStream::connect(node) else {
            std::thread::sleep(RECONNECT_INTERVAL);
            continue;
        };
        let _ = stream.set_nodelay(true);
        stream
            .set_read_timeout(Some(EVENT_TIMEOUT))
            .expect("a timeout");
        let mut connection = Client(BufReader::new(stream));
        match behavior {
            ClientBehavior::Sequential => client.keep_open(&mut connection, 1),
            ClientBehavior::Pipelining => client.keep_open(&mut connection, PIPELINE_DEPTH),
            ClientBehavior::Abandoning => client.abandon(&mut connection),
            ClientBehavior::IdleUntilClosed => client.idle_until_closed(&mut connection),
        }
    }
    client.requests
}

impl LoadClient<'_> {
    /// Sends one more request; `None` if the connection does not accept it.
    fn send(&mut self, connection: &mut Client) -> Option<Request> {
        self.request_count += 1;
        let id = format!("r{}-{}", self.index, self.request_count);
        let key = format!("k{}", (self.rng.unit() * KEY_COUNT) as u64);
        let (product, idempotency_key) = match self.rng.unit() {
            draw if draw < BOOK_SHARE => ("book", ""),
            draw if draw < BOOK_OR_PUT_SHARE => ("put", ",k=mark"),
            _ => ("view", ""),
        };
        let attributes = format!("c={product},d={}{idempotency_key}", self.client_timeout_ms);
        let bytes = match product {
            "view" => command(&["OBJ.GET", &key, &id, &attributes]),
            _ => command(&["OBJ.SET", &key, &id, &attributes, "value"]),
        };
        let sent_at = Instant::now();
        let written = connection.0.get_mut().write_all(&bytes);
        written.ok().map(|()| Request {
            id,
            product,
            sent_at,
            client_timeout: Duration::from_millis(self.client_timeout_ms),
            is_pipelined: self.is_pipelining,
            processor_waits: [processor_wait(); 2],
            outcome: RequestOutcome::NoResponse { ended_at: sent_at },
        })
    }

    /// Keeps `depth` requests open until the connection is closed.
    fn keep_open(&mut self, connection: &mut Client, depth: usize) {
        let mut open_requests = VecDeque::new();
        loop {
            while open_requests.len() < depth {
                match self.send(connection) {
                    Some(request) => open_requests.push_back(request),
                    None => break,
                }
            }
            let response = connection.response();
            let now = Instant::now();
            if ["closed", "cut"].contains(&response.as_str()) {
                let unanswered = |request: Request| Request {
                    outcome: RequestOutcome::NoResponse { ended_at: now },
                    ..request
                };
                self.requests
                    .extend(open_requests.into_iter().map(unanswered));
                return;
            }
            if let Some(request) = open_requests.pop_front() {
                let mut processor_waits = request.processor_waits;
                if now.duration_since(request.sent_at) > request.client_timeout {
                    processor_waits[1] = processor_wait();
                }
                self.requests.push(Request {
                    outcome: RequestOutcome::Responded { at: now, response },
                    processor_waits,
                    ..request
                });
            }
        }
    }

    /// Sends a request and closes the connection at a random time within the client timeout.
    fn abandon(&mut self, connection: &mut Client) {
        let Some(request) = self.send(connection) else {
            return;
        };
        let client_timeout_us = 1000.0 * self.client_timeout_ms as f64;
        let delay_us = self.rng.unit() * client_timeout_us;
        std::thread::sleep(Duration::from_micros(delay_us as u64));
        shutdown_write(connection.0.get_ref());
        self.requests.push(Request {
            outcome: RequestOutcome::Abandoned { at: Instant::now() },
            ..request
        });
    }

    /// Waits until the node closes an idle connection, and sends a request after that.
    fn idle_until_closed(&mut self, connection: &mut Client) {
        if connection.ask(&["PING"]) != "+PONG" {
            return;
        }
        // The close, of which the client takes no notice before it sends its next request.
        let _ = connection.response();
        let _ = self.send(connection);
        if self.stop.load(Ordering::Relaxed) {
            return;
        }
        std::thread::sleep(IDLE_RECONNECT_INTERVAL);
    }
}
