//! A client of the nodes' operator API; it opens one connection per HTTP request.
use std::net::SocketAddr;
use std::time::Duration;

use quartzhub_node::http;
use quartzhub_node::limits::Limits;
use quartzhub_node::resp::Parsed;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest response body that is accepted, in bytes.
const MAX_BODY_BYTES: usize = 1 << 24;
/// Time within which a node has to respond to a request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// HTTP status of a successful request.
const STATUS_OK: u16 = 200;

/// A node's response to an operator's request.
pub struct Response {
    status: u16,
    body: Vec<u8>,
}

impl Response {
    /// Whether the request succeeded.
    pub fn is_ok(&self) -> bool {
        self.status == STATUS_OK
    }

    /// Returns the body as JSON, or `None` if it is not valid JSON.
    pub fn json(&self) -> Option<serde_json::Value> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// Describes a response for the event log.
pub fn describe(response: &Option<Response>) -> String {
    match response {
        Some(response) => format!(
            "{} {}",
            response.status,
            String::from_utf8_lossy(&response.body).trim()
        ),
        None => "no response".to_owned(),
    }
}

/// Sends a GET request to a node; returns `None` without a valid response in time.
pub async fn get(addr: SocketAddr, path: &str) -> Option<Response> {
    timeout(RESPONSE_TIMEOUT, request(addr, "GET", path, ""))
        .await
        .ok()
        .flatten()
}

/// Sends a POST request to a node; returns `None` without a valid response in time.
pub async fn post(addr: SocketAddr, path: &str, body: &str) -> Option<Response> {
    timeout(RESPONSE_TIMEOUT, request(addr, "POST", path, body))
        .await
        .ok()
        .flatten()
}

async fn request(addr: SocketAddr, method: &str, path: &str, body: &str) -> Option<Response> {
    let mut stream = TcpStream::connect(addr).await.ok()?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.ok()?;
    match http::parse_response(&bytes, MAX_BODY_BYTES, true, &Limits::default()) {
        Parsed::Complete((head, body), _) => Some(Response {
            status: head.status,
            body,
        }),
        _ => None,
    }
}
