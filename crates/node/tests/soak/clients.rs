//! Clients that use their connections for as long as these are open, and note what became of each
//! request.
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};

use quartzhub_policy::Pcg;

use super::common::*;

/// How a client uses its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientBehavior {
    /// One request after the other, and no pause between them.
    Sequential,
    /// Several requests open at once, and never none.
    Pipelining,
    /// Closes its connection in the middle of a request and connects again.
    Abandoning,
    /// Sends PING and is idle until the node ends the connection, then sends a request all the
    /// same.
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

/// The clients of a round that is about clients that send on without a pause.
pub const UNPAUSING_CLIENTS: [ClientBehavior; 6] = {
    use ClientBehavior::*;
    [
        Sequential, Sequential, Sequential, Sequential, Pipelining, Pipelining,
    ]
};

/// Requests that a pipelining client keeps open.
const PIPELINE_DEPTH: usize = 4;
/// Keys that requests are about.
const KEY_COUNT: f64 = 50.0;
/// Part of the requests for the product that must not run twice.
const BOOK_SHARE: f64 = 0.2;
/// Part of the requests for it or for the product with idempotency keys.
const BOOK_OR_PUT_SHARE: f64 = 0.4;
/// Between two attempts to connect.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(2);
/// After a connection on which a client was idle.
const IDLE_RECONNECT_INTERVAL: Duration = Duration::from_millis(5);

/// What became of a request.
#[derive(Debug)]
pub enum RequestOutcome {
    /// The node answered.
    Responded { at: Instant, response: String },
    /// The connection ended before its answer.
    NoResponse { ended_at: Instant },
    /// The client closed the connection.
    Abandoned { at: Instant },
}

/// A request that a client has sent.
#[derive(Debug)]
pub struct Request {
    pub id: String,
    pub product: &'static str,
    pub sent_at: Instant,
    /// How long its client waits.
    pub client_timeout: Duration,
    /// Whether its client always has another one open on the connection.
    pub is_pipelined: bool,
    /// For how long the client's thread, ready to run, has waited for a processor: until the
    /// request was sent, and until its outcome was known.
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

/// For how long this thread has waited for a processor, as the system has it.
fn processor_wait() -> Duration {
    let statistics = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let waited_ns = statistics.split_whitespace().nth(1);
    Duration::from_nanos(waited_ns.and_then(|ns| ns.parse().ok()).unwrap_or(0))
}

/// Sends requests until `stop` is set, which the end of all connections follows.
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
    /// Sends one more request, if the connection takes it.
    fn send(&mut self, connection: &mut Client) -> Option<Request> {
        self.request_count += 1;
        let id = format!("r{}-{}", self.index, self.request_count);
        let key = format!("k{}", (self.rng.unit() * KEY_COUNT) as u64);
        let (product, mark) = match self.rng.unit() {
            draw if draw < BOOK_SHARE => ("book", ""),
            draw if draw < BOOK_OR_PUT_SHARE => ("put", ",k=mark"),
            _ => ("view", ""),
        };
        let attributes = format!("c={product},d={}{mark}", self.client_timeout_ms);
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

    /// Keeps so many requests open until the connection ends.
    fn keep_open(&mut self, connection: &mut Client, depth: usize) {
        let mut waiting = VecDeque::new();
        loop {
            while waiting.len() < depth {
                match self.send(connection) {
                    Some(request) => waiting.push_back(request),
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
                self.requests.extend(waiting.into_iter().map(unanswered));
                return;
            }
            if let Some(request) = waiting.pop_front() {
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

    /// Sends a request and closes the connection at some time within its client timeout.
    fn abandon(&mut self, connection: &mut Client) {
        let Some(request) = self.send(connection) else {
            return;
        };
        let client_timeout_us = 1000.0 * self.client_timeout_ms as f64;
        let wait_us = self.rng.unit() * client_timeout_us;
        std::thread::sleep(Duration::from_micros(wait_us as u64));
        shutdown_write(connection.0.get_ref());
        self.requests.push(Request {
            outcome: RequestOutcome::Abandoned { at: Instant::now() },
            ..request
        });
    }

    /// Awaits the end of an idle connection, and sends a request after it.
    fn idle_until_closed(&mut self, connection: &mut Client) {
        if connection.ask(&["PING"]) != "+PONG" {
            return;
        }
        // The end, which the client has not heeded yet as its next request goes out.
        let _ = connection.response();
        let _ = self.send(connection);
        if self.stop.load(Ordering::Relaxed) {
            return;
        }
        std::thread::sleep(IDLE_RECONNECT_INTERVAL);
    }
}
