//! Encoding of a client's command and parsing of the node's response.
use std::time::Duration;

use quartzhub_node::resp::encode_command;
use quartzhub_policy::Time;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::rules::CallEvent;
use crate::scenario::Product;

/// Largest accepted value in a response, in bytes.
const MAX_VALUE_BYTES: usize = 4 * 1024 * 1024;
/// Prefix of the ids that clients send; the attempt's number follows in hexadecimal.
const ID_PREFIX: &str = "try-";

/// A buffered connection to a node.
pub(super) type Stream = BufReader<TcpStream>;

/// One attempt of a client, which the node handles as an API call of its own.
pub(super) struct ClientRequest<'a> {
    /// Id of the API call at the node, unique in a run.
    pub(super) call: u64,
    pub(super) key: u64,
    pub(super) product: &'a Product,
    pub(super) policy: &'a quartzhub_policy::Product,
    /// The client has sent an earlier attempt for the same API call.
    pub(super) retry: bool,
    /// `expires_at` as the monitor's time.
    pub(super) deadline: Time,
    /// When the client's timeout expires.
    pub(super) expires_at: Instant,
}

impl ClientRequest<'_> {
    /// Encodes the command, with the time that is left now as its deadline.
    pub(super) fn encode(&self) -> Vec<u8> {
        let time_left_ms = self
            .expires_at
            .saturating_duration_since(Instant::now())
            .as_millis()
            .max(1);
        let key = format!("{:x}", self.key);
        let id = format!("{ID_PREFIX}{:x}", self.call);
        let mut attributes = format!("c={},d={time_left_ms}", self.product.name);
        if self.product.write {
            attributes += &format!(",k={:x}", self.call);
        }
        if self.retry {
            attributes += ",r=1";
        }
        let (key, id, attributes) = (key.as_bytes(), id.as_bytes(), attributes.as_bytes());
        let mut bytes = Vec::new();
        match self.product.write {
            true => encode_command(&mut bytes, &[b"OBJ.SET", key, id, attributes, b"value"]),
            false => encode_command(&mut bytes, &[b"OBJ.GET", key, id, attributes]),
        }
        bytes
    }
}

/// Parses the id of an API call as sent by a client; `None` if no client of this module sent it.
pub fn parse_call_id(id: &str) -> Option<u64> {
    u64::from_str_radix(id.strip_prefix(ID_PREFIX)?, 16).ok()
}

/// A node's final response to an API call.
pub(super) enum Response {
    Value,
    Busy { retry_after: Option<Duration> },
    Error,
}

impl Response {
    /// Returns the event that the rule checks record for this response.
    pub(super) fn call_event(&self) -> CallEvent {
        match self {
            Response::Value => CallEvent::Fulfilled,
            Response::Busy { .. } => CallEvent::RateLimited,
            Response::Error => CallEvent::Errored,
        }
    }
}

/// Reads a final response; `None` if the connection ends first or the response is malformed.
pub(super) async fn read_response(stream: &mut Stream) -> Option<Response> {
    let mut line = String::new();
    if stream.read_line(&mut line).await.ok()? == 0 || !line.ends_with('\n') {
        return None;
    }
    let line = line.trim_end();
    if let Some(size) = line.strip_prefix('$') {
        let size: usize = size.parse().ok().filter(|size| *size <= MAX_VALUE_BYTES)?;
        let mut value = vec![0; size + 2];
        stream.read_exact(&mut value).await.ok()?;
        return Some(Response::Value);
    }
    Some(match line.strip_prefix("-BUSY") {
        Some(retry_after_ms) => Response::Busy {
            retry_after: retry_after_ms
                .trim()
                .parse()
                .ok()
                .map(Duration::from_millis),
        },
        None => Response::Error,
    })
}
