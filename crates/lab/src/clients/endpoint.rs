//! A node as clients see it: a pool of connections to it, and the exchange of one attempt on one of
//! them.
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use super::request::{read_response, ClientRequest, Response, Stream};
use crate::rule_monitor::RuleMonitor;
use crate::rules::CallEvent;
use crate::stats::CallOutcome;

/// A node as clients see it: its address, a pool of idle connections, and whether the load balancer
/// in front of the nodes sends clients to it.
pub struct NodeEndpoint {
    /// Index of the node.
    pub node: usize,
    addr: SocketAddr,
    /// Whether the load balancer in front of the nodes sends clients to this node.
    pub in_rotation: Cell<bool>,
    /// Incremented whenever the process that serves at this address starts or ends.
    pub incarnation: Cell<u64>,
    idle: RefCell<Vec<IdleConnection>>,
    connection_slots: Semaphore,
    /// Number of connections that were found closed after a request was written on them; the
    /// request was then sent once more on a new connection.
    pub connections_closed_in_call: Cell<u64>,
    /// Number of connections that were found closed when a client took them from the pool.
    pub idle_connections_closed: Cell<u64>,
}

struct IdleConnection {
    stream: Stream,
    incarnation: u64,
    /// Id of the API call whose response was the last one read on it.
    last_call: u64,
}

/// Result of one request on one connection.
enum Exchange {
    Responded(Response),
    /// The connection ended before the request was written.
    NotWritten,
    /// The connection ended after the request was written and before a complete response.
    NoResponse,
}

/// Result of one attempt of a client.
pub(super) struct AttemptResult {
    pub(super) outcome: CallOutcome,
    pub(super) retry_after: Option<Duration>,
}

impl AttemptResult {
    pub(super) fn new(outcome: CallOutcome) -> AttemptResult {
        AttemptResult {
            outcome,
            retry_after: None,
        }
    }
}

impl NodeEndpoint {
    /// Returns the endpoint of a node in rotation, to which clients open at most `max_connections`.
    pub fn new(node: usize, addr: SocketAddr, max_connections: usize) -> Rc<NodeEndpoint> {
        Rc::new(NodeEndpoint {
            node,
            addr,
            in_rotation: Cell::new(true),
            incarnation: Cell::new(0),
            idle: RefCell::default(),
            connection_slots: Semaphore::new(max_connections),
            connections_closed_in_call: Cell::new(0),
            idle_connections_closed: Cell::new(0),
        })
    }

    /// Takes an idle connection to the current process out of the pool. Bytes received on an idle
    /// connection are an unsolicited response, which is reported as an error of its last call.
    fn take_idle(&self, monitor: &RuleMonitor) -> Option<Stream> {
        while let Some(idle) = self.idle.borrow_mut().pop() {
            if idle.incarnation != self.incarnation.get() {
                continue;
            }
            match idle.stream.get_ref().try_read(&mut [0; 1]) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Some(idle.stream),
                Ok(1..) => monitor.record_response(idle.last_call, self.node, CallEvent::Errored),
                _ => self
                    .idle_connections_closed
                    .set(self.idle_connections_closed.get() + 1),
            }
        }
        None
    }

    async fn connect(&self) -> Option<Stream> {
        let stream = TcpStream::connect(self.addr).await.ok()?;
        let _ = stream.set_nodelay(true);
        Some(BufReader::new(stream))
    }

    /// Sends one attempt and waits for its response. As the protocol requires, the request is sent
    /// once more, on a new connection, if a reused connection turns out to be closed; but not if
    /// another process serves at this address by then.
    pub(super) async fn send(
        &self,
        monitor: &RuleMonitor,
        request: &ClientRequest<'_>,
    ) -> AttemptResult {
        let Ok(_slot) = self.connection_slots.acquire().await else {
            return AttemptResult::new(CallOutcome::NotAccepted);
        };
        let incarnation = self.incarnation.get();
        for is_resend in [false, true] {
            // A request that was written once may have been accepted by the node, so the call
            // counts as lost with its connection rather than as not accepted.
            let outcome_if_not_written = match is_resend {
                true => CallOutcome::ConnectionClosed,
                false => CallOutcome::NotAccepted,
            };
            let idle = match is_resend {
                true => None,
                false => self.take_idle(monitor),
            };
            let is_new_connection = idle.is_none();
            let stream = match idle {
                Some(stream) => Some(stream),
                None => self.connect().await,
            };
            let Some(mut stream) = stream else {
                return AttemptResult::new(outcome_if_not_written);
            };
            let exchange = self.exchange(&mut stream, monitor, request).await;
            let may_resend = !is_new_connection && incarnation == self.incarnation.get();
            match exchange {
                Exchange::Responded(response) => {
                    self.return_to_pool(stream, incarnation, request.call, monitor);
                    return response.into();
                }
                Exchange::NotWritten if may_resend => {}
                Exchange::NotWritten => return AttemptResult::new(outcome_if_not_written),
                Exchange::NoResponse if may_resend => {
                    self.connections_closed_in_call
                        .set(self.connections_closed_in_call.get() + 1);
                }
                Exchange::NoResponse => return AttemptResult::new(CallOutcome::ConnectionClosed),
            }
        }
        AttemptResult::new(CallOutcome::ConnectionClosed)
    }

    /// Writes a request and reads its response.
    async fn exchange(
        &self,
        stream: &mut Stream,
        monitor: &RuleMonitor,
        request: &ClientRequest<'_>,
    ) -> Exchange {
        let written = stream.get_mut().write_all(&request.encode()).await;
        if written.is_err() {
            return Exchange::NotWritten;
        }
        monitor.record_accepted(request.call, self.node, request.policy, request.deadline);
        let Some(response) = read_response(stream).await else {
            return Exchange::NoResponse;
        };
        monitor.record_response(request.call, self.node, response.call_event());
        Exchange::Responded(response)
    }

    /// Returns a connection to the pool, unless more bytes follow the response: they are a second
    /// response, which is reported as an error of the call.
    fn return_to_pool(
        &self,
        stream: Stream,
        incarnation: u64,
        last_call: u64,
        monitor: &RuleMonitor,
    ) {
        if !stream.buffer().is_empty() {
            monitor.record_response(last_call, self.node, CallEvent::Errored);
            return;
        }
        self.idle.borrow_mut().push(IdleConnection {
            stream,
            incarnation,
            last_call,
        });
    }
}

impl From<Response> for AttemptResult {
    fn from(response: Response) -> AttemptResult {
        match response {
            Response::Value => AttemptResult::new(CallOutcome::Fulfilled),
            Response::Error => AttemptResult::new(CallOutcome::Errored),
            Response::Busy { retry_after } => AttemptResult {
                outcome: CallOutcome::RateLimited,
                retry_after,
            },
        }
    }
}
