//! Encodes requests to cache servers and parses their replies, in RESP.
use quartzhub_policy::{Outcome, Span};

use crate::attempt_response::AttemptResponse;
use crate::limits::Limits;
use crate::messages::Request;
use crate::resp::{self, is_large_value, Parsed, Reply};

/// Position of a value that is too large to be buffered, in the bytes of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LargeValue {
    /// Offset of its first byte.
    pub offset: usize,
    /// Its length in bytes.
    pub size: usize,
}

/// Encodes a request to a cache server: the client's command, with the attempt's remaining time.
/// The value and its terminator are written after it.
pub fn encode_request(request: &Request, time_left: Span) -> Vec<u8> {
    let attributes = request.attributes_with_time_left(time_left);
    let (name, count) = if request.value.is_some() {
        ("OBJ.SET", 5)
    } else {
        ("OBJ.GET", 4)
    };
    let mut out = format!("*{count}\r\n").into_bytes();
    [name, &request.key, &request.id, &attributes]
        .iter()
        .for_each(|word| resp::encode_bulk_string(&mut out, word.as_bytes()));
    if let Some(value) = &request.value {
        out.extend_from_slice(format!("${}\r\n", value.len()).as_bytes());
    }
    out
}

/// Finds a value that is too large to be buffered in a reply; `VALUE_TERMINATOR` follows it.
pub fn large_value(bytes: &[u8], limits: &Limits) -> Option<LargeValue> {
    let Parsed::Complete(3, head) = resp::array_header(bytes) else {
        return None;
    };
    let Parsed::Complete(size, length) = resp::bulk_header(&bytes[head..]) else {
        return None;
    };
    let size = usize::try_from(size)
        .ok()
        .filter(|size| is_large_value(*size, limits))?;
    Some(LargeValue {
        offset: head + length,
        size,
    })
}

/// Terminator after the bytes of a value.
pub const VALUE_TERMINATOR: &[u8] = b"\r\n";

/// Whether the bytes after a value and its terminator are a well-formed end of the reply: the
/// status and the load report, and nothing more.
pub fn is_valid_trailer(bytes: &[u8], limits: &Limits) -> bool {
    let Parsed::Complete(_, status_length) = bulk_string(bytes, limits) else {
        return false;
    };
    let load_report = bulk_string(&bytes[status_length..], limits);
    matches!(load_report, Parsed::Complete(_, length) if status_length + length == bytes.len())
}

/// Parses a reply that has to be a bulk string or nil.
fn bulk_string<'a>(bytes: &'a [u8], limits: &Limits) -> Parsed<Option<&'a [u8]>> {
    match resp::reply(bytes, limits) {
        // Any other reply is malformed from its first byte on.
        _ if bytes.first().is_some_and(|first| *first != b'$') => Parsed::Malformed,
        Parsed::Complete(Reply::Bulk(bulk), length) => Parsed::Complete(bulk, length),
        Parsed::Incomplete => Parsed::Incomplete,
        _ => Parsed::Malformed,
    }
}

/// Parses a reply. Hits and misses are arrays of the value, a status word and a load report. Value
/// and status have to be well-formed, so that no bytes of a malformed reply are taken for a value.
pub fn parse_response(bytes: &[u8], limits: &Limits) -> Parsed<AttemptResponse> {
    if bytes.first() != Some(&b'*') {
        return parse_simple_reply(bytes, limits);
    }
    let (value, mut consumed) = match value_and_status(bytes, limits) {
        Parsed::Complete(value, consumed) => (value, consumed),
        Parsed::Incomplete => return Parsed::Incomplete,
        Parsed::Malformed => return Parsed::Malformed,
    };
    // A malformed or incomplete load report does not invalidate the value: only the connection is
    // not reused.
    let reusable = match resp::reply(&bytes[consumed..], limits) {
        Parsed::Complete(Reply::Bulk(_), length) => {
            consumed += length;
            consumed == bytes.len()
        }
        _ => {
            consumed = bytes.len();
            false
        }
    };
    let outcome = if value.is_some() {
        Outcome::Success
    } else {
        Outcome::Miss
    };
    let value = value.map(<[u8]>::to_vec);
    Parsed::Complete(
        AttemptResponse {
            outcome,
            value,
            reusable,
        },
        consumed,
    )
}

/// Parses the value and checks the status of an array reply. The parsed length ends before the load
/// report.
fn value_and_status<'a>(bytes: &'a [u8], limits: &Limits) -> Parsed<Option<&'a [u8]>> {
    let mut consumed = match resp::array_header(bytes) {
        Parsed::Complete(3, consumed) => consumed,
        Parsed::Incomplete => return Parsed::Incomplete,
        _ => return Parsed::Malformed,
    };
    let mut texts = [None; 2];
    for text in &mut texts {
        match bulk_string(&bytes[consumed..], limits) {
            Parsed::Complete(bulk, length) => {
                *text = bulk;
                consumed += length;
            }
            Parsed::Incomplete => return Parsed::Incomplete,
            Parsed::Malformed => return Parsed::Malformed,
        }
    }
    let [value, status] = texts;
    if status.is_some_and(|status| !is_plain_status(status, limits)) {
        return Parsed::Malformed;
    }
    Parsed::Complete(value, consumed)
}

fn is_plain_status(status: &[u8], limits: &Limits) -> bool {
    status.len() <= limits.reply_status_bytes && status.iter().all(u8::is_ascii_graphic)
}

/// Parses a reply that is not an array.
fn parse_simple_reply(bytes: &[u8], limits: &Limits) -> Parsed<AttemptResponse> {
    let (reply, consumed) = match resp::reply(bytes, limits) {
        Parsed::Complete(reply, consumed) => (reply, consumed),
        Parsed::Incomplete => return Parsed::Incomplete,
        Parsed::Malformed => return Parsed::Malformed,
    };
    let outcome = match reply {
        // Random bytes are no proof of what the server did.
        Reply::Error(text) if !text.iter().all(|b| (b' '..=b'~').contains(b)) => {
            return Parsed::Malformed
        }
        Reply::Error(text) if text.split(|b| *b == b' ').next() == Some(b"BUSY") => {
            Outcome::Overloaded
        }
        Reply::Error(_) => Outcome::ServerError,
        _ => return Parsed::Malformed,
    };
    Parsed::Complete(
        AttemptResponse {
            outcome,
            value: None,
            reusable: consumed == bytes.len(),
        },
        consumed,
    )
}

#[cfg(test)]
mod tests;
