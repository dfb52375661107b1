//! Blocking HTTP client for the admin API of a running node.
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use thiserror::Error;

use crate::http;
use crate::limits::Limits;
use crate::resp::Parsed;

/// Timeout of the connect, and of each read of the response.
const IO_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024;

/// Why a call to the admin API of a node failed.
#[derive(Debug, Error)]
pub enum AdminCallError {
    /// The given address can't be parsed.
    #[error("not an address such as 127.0.0.1:7001")]
    InvalidAddress,
    /// The connection could not be established, or failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The node responded with a status other than 200.
    #[error("HTTP status {status}: {body}")]
    Rejected {
        /// HTTP status of the response.
        status: u16,
        /// Body of the response, which states the reason.
        body: String,
    },
    /// The response is not HTTP, or is truncated.
    #[error("malformed HTTP response")]
    MalformedResponse,
    /// The body of the response is not the expected JSON.
    #[error(transparent)]
    MalformedBody(#[from] serde_json::Error),
}

/// HTTP method of a request.
#[derive(Debug, Clone, Copy)]
pub(super) enum Method {
    Get,
    Post,
}

impl Method {
    fn name(self) -> &'static str {
        match self {
            Method::Get => "GET",
            Method::Post => "POST",
        }
    }
}

/// Sends a request to the node at `address` and returns the body of its response.
pub(super) fn call(
    address: &str,
    method: Method,
    path: &str,
    body: &str,
) -> Result<Vec<u8>, AdminCallError> {
    let address: SocketAddr = address
        .parse()
        .map_err(|_| AdminCallError::InvalidAddress)?;
    let mut stream = TcpStream::connect_timeout(&address, IO_TIMEOUT)?;
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    let request = format!(
        "{} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {}\r\n\r\n{body}",
        method.name(),
        body.len()
    );
    stream.write_all(request.as_bytes())?;
    let mut response = Vec::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_end(&mut response)?;
    parse_response(&response)
}

fn parse_response(response: &[u8]) -> Result<Vec<u8>, AdminCallError> {
    let max_body_bytes = MAX_RESPONSE_BYTES as usize;
    match http::parse_response(response, max_body_bytes, true, &Limits::default()) {
        Parsed::Complete((head, body), _) if head.status == 200 => Ok(body),
        Parsed::Complete((head, body), _) => Err(AdminCallError::Rejected {
            status: head.status,
            body: String::from_utf8_lossy(&body).trim_end().to_owned(),
        }),
        _ => Err(AdminCallError::MalformedResponse),
    }
}
