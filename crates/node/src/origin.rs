//! Encodes requests to the origin and parses its responses, in HTTP/1.1.
use std::net::SocketAddr;

use quartzhub_policy::{Outcome, Span};

use crate::attempt_response::AttemptResponse;
use crate::caches::StatedValue;
use crate::http::{self, Body};
use crate::limits::Limits;
use crate::messages::Request;
use crate::resp::Parsed;

/// Encodes a request to the origin, with the attempt's remaining time. A value is written after it
/// as the body.
pub fn encode_request(request: &Request, address: SocketAddr, time_left: Span) -> Vec<u8> {
    let method = if request.value.is_some() {
        "PUT"
    } else {
        "GET"
    };
    let key = percent_encode(&request.key);
    let id = &request.id;
    let attributes = request.attributes_with_time_left(time_left);
    let mut out = format!(
        "{method} /{key} HTTP/1.1\r\nHost: {address}\r\nX-Correlation-Id: {id}\r\nX-Facts: {attributes}\r\n"
    )
    .into_bytes();
    if let Some(value) = &request.value {
        out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", value.len()).as_bytes());
    } else {
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// Percent-encodes a key as one path segment.
fn percent_encode(key: &str) -> String {
    let mut out = String::with_capacity(key.len());
    for byte in key.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~:".contains(&byte) {
            out.push(byte as char);
        } else {
            out.push_str(&format!("%{byte:02X}"));
        }
    }
    out
}

/// Finds the body of a response that is a value, of which the head has to have arrived.
pub fn stated_value(bytes: &[u8], limits: &Limits) -> Option<StatedValue> {
    let Parsed::Complete(head, offset) = http::head(bytes, limits) else {
        return None;
    };
    match head.body {
        Body::ContentLength(size) if head.status == 200 && size <= limits.value_bytes => {
            Some(StatedValue { offset, size })
        }
        _ => None,
    }
}

/// Parses a response; `at_eof` means that no more bytes will arrive.
pub fn parse_response(bytes: &[u8], at_eof: bool, limits: &Limits) -> Parsed<AttemptResponse> {
    let ((head, body), consumed) =
        match http::parse_response(bytes, limits.buffered_value_bytes, at_eof, limits) {
            Parsed::Complete(response, consumed) => (response, consumed),
            Parsed::Incomplete => return Parsed::Incomplete,
            Parsed::Malformed => return Parsed::Malformed,
        };
    let (outcome, value) = match head.status {
        200 => (Outcome::Success, Some(body)),
        503 | 504 if head.unprocessed => (Outcome::Overloaded, None),
        _ => (Outcome::ServerError, None),
    };
    let reusable = head.keep_alive && !at_eof && consumed == bytes.len();
    Parsed::Complete(
        AttemptResponse {
            outcome,
            value,
            reusable,
        },
        consumed,
    )
}

#[cfg(test)]
mod tests;
