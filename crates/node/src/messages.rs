//! Messages between the reducer and the socket tasks.
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use quartzhub_policy::Span;

/// Identifies a client's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// Identifies a connection to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub u64);

/// An action that the reducer requests of the socket tasks. Effects are performed in order.
#[derive(Debug)]
pub enum Effect {
    /// Connect to a server.
    Connect {
        /// The new connection.
        upstream: UpstreamId,
        /// The server's address.
        address: SocketAddr,
        /// Whether the server is the origin instead of a cache.
        is_origin: bool,
    },
    /// Write the request of an attempt.
    Write {
        /// The connection that carries the attempt.
        upstream: UpstreamId,
        /// The client that made the API call.
        client: ClientId,
        /// The request, shared by all attempts of the call.
        request: Rc<Request>,
        /// Remaining time of the attempt, as sent to the server.
        time_left: Span,
        /// Whether the call must not be executed twice, and servers can't tell a repeat.
        must_not_repeat: bool,
    },
    /// Close a connection to a server.
    CloseUpstream {
        /// The connection.
        upstream: UpstreamId,
    },
    /// Send a response.
    Respond {
        /// The receiving client.
        client: ClientId,
        /// The response.
        response: Response,
    },
    /// Stop reading from a client, and close its connection once its responses are written.
    DrainClient {
        /// The client.
        client: ClientId,
    },
    /// Close a client's connection without waiting for more late input.
    EndLinger {
        /// The client.
        client: ClientId,
    },
    /// Break off the streamed value of a client, as the rest of it can't be had.
    BreakOffValue {
        /// The client.
        client: ClientId,
    },
    /// Close a client's connection once its responses are written and it has been silent for a
    /// while.
    CloseClient {
        /// The client.
        client: ClientId,
        /// How long the client must have sent nothing.
        after_silence: Span,
    },
}

/// A response to a client, independent of the client's protocol.
#[derive(Debug, PartialEq)]
pub enum Response {
    /// The value of a read, or the receipt of a write.
    Success(Vec<u8>),
    /// A value that is streamed to the client while it is received.
    Streamed {
        /// The connection from which it is received.
        upstream: UpstreamId,
        /// Its length in bytes.
        size: usize,
    },
    /// The call was not executed: a retry is safe after this delay, if one is given.
    RateLimited(Option<Span>),
    /// The call failed; it may have been executed.
    Error(&'static str),
    /// Response to a command that is not an API call, already encoded.
    Plain(Vec<u8>),
}

impl Response {
    /// The response to a call whose value breaks off before any of it is written.
    pub const BROKEN_VALUE: Response = Response::Error("failed");

    /// Bytes that count as buffered until the response is written.
    pub fn size(&self) -> usize {
        match self {
            Response::Success(bytes) | Response::Plain(bytes) => bytes.len(),
            Response::Streamed { .. } | Response::RateLimited(_) | Response::Error(_) => 0,
        }
    }
}

/// Whether there is capacity for one more client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptCapacity {
    /// A client can be accepted now.
    Free,
    /// A client can be accepted after other tasks have run.
    Soon,
    /// No client can be accepted until a connection ends.
    None,
}

/// The arguments of an API call, which are forwarded to servers.
#[derive(Debug, Clone)]
pub struct Request {
    /// The object's key.
    pub key: String,
    /// The call's id.
    pub id: String,
    /// The attribute list, as the client sent it.
    pub attributes: String,
    /// The value of a write; `None` for a read.
    pub value: Option<Bytes>,
}

impl Request {
    /// The attribute list for a server: `d` is replaced by the time left, in ms, when this attempt
    /// is written. Caches and the origin get the same list.
    pub fn attributes_with_time_left(&self, time_left: Span) -> String {
        let time_left = format!("d={}", (time_left.as_ms() as i64).max(1));
        let mut pairs: Vec<_> = self
            .attributes
            .split(',')
            .filter(|pair| !pair.is_empty())
            .collect();
        match pairs.iter_mut().find(|pair| pair.starts_with("d=")) {
            Some(pair) => *pair = &time_left,
            None => pairs.push(&time_left),
        }
        pairs.join(",")
    }
}

/// The attributes of an API call that the node itself uses.
#[derive(Debug, Default, PartialEq)]
pub struct RequestAttributes<'a> {
    /// Name of the product.
    pub product: Option<&'a str>,
    /// Name of the tenant.
    pub tenant: Option<&'a str>,
    /// Remaining time until the client times out.
    pub time_left: Span,
    /// Queueing time of the command behind other commands of its client, included in `time_left`.
    pub queueing_time: Span,
    /// Whether the call has an idempotency key, by which servers recognize a repeated write.
    pub has_idempotency_key: bool,
    /// Whether another process of the node has sent the call to a server.
    pub sent_by_other_process: bool,
    /// Whether the call is a retry by the client.
    pub is_client_retry: bool,
}
