//! Encodes requests to cache servers and parses their replies, in RESP.
use quartzhub_policy::{Outcome, Span};

use crate::attempt_response::AttemptResponse;
use crate::limits::Limits;
use crate::messages::Request;
use crate::resp::{self, Parsed, Reply};

/// Position of a value in the bytes of a response, as its header states it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatedValue {
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

/// Finds the value of a reply, of which the header has to have arrived; `VALUE_TERMINATOR` follows it.
pub fn stated_value(bytes: &[u8], limits: &Limits) -> Option<StatedValue> {
    let Parsed::Complete(3, head) = resp::array_header(bytes) else {
        return None;
    };
    let Parsed::Complete(size, length) = resp::bulk_header(&bytes[head..]) else {
        return None;
    };
    let size = usize::try_from(size)
        .ok()
        .filter(|size| *size <= limits.value_bytes)?;
    Some(StatedValue {
        offset: head + length,
        size,
    })
}

/// Terminator after the bytes of a value.
pub const VALUE_TERMINATOR: &[u8] = b"\r\n";

/// The first bytes of a reply with a value.
const REPLY_START: &[u8] = b"*3\r\n$";

/// Parses what follows a value: its terminator, then the status and the load report.
pub fn value_end(bytes: &[u8], limits: &Limits) -> Parsed<LoadReport> {
    match bytes.strip_prefix(VALUE_TERMINATOR) {
        Some(trailer) => match trailer_of(trailer, limits) {
            Parsed::Complete(report, length) => {
                Parsed::Complete(report, VALUE_TERMINATOR.len() + length)
            }
            other => other,
        },
        None if VALUE_TERMINATOR.starts_with(bytes) => Parsed::Incomplete,
        None => Parsed::Malformed,
    }
}

/// Whether the load report at the end of a reply can be read. One that can't does not invalidate the
/// value: only the connection is not reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadReport {
    /// A bulk string or nil.
    Readable,
    /// Anything else; where it ends is unknown.
    Unreadable,
}

/// Parses the status and the load report. The load report has to begin: without it an item is
/// missing, and the bytes before may belong to other items than they seem to.
fn trailer_of(bytes: &[u8], limits: &Limits) -> Parsed<LoadReport> {
    let status_length = match status(bytes, limits) {
        Parsed::Complete((), length) => length,
        Parsed::Incomplete => return Parsed::Incomplete,
        Parsed::Malformed => return Parsed::Malformed,
    };
    let report = &bytes[status_length..];
    match resp::reply(report, limits) {
        _ if report.is_empty() => Parsed::Incomplete,
        Parsed::Complete(Reply::Bulk(_), length) => {
            Parsed::Complete(LoadReport::Readable, status_length + length)
        }
        // The next reply follows in place of the load report.
        _ if report.starts_with(REPLY_START) => Parsed::Malformed,
        _ => Parsed::Complete(LoadReport::Unreadable, bytes.len()),
    }
}

/// Parses the status: a short word, or nil.
fn status(bytes: &[u8], limits: &Limits) -> Parsed<()> {
    match resp::bulk_header(bytes) {
        Parsed::Complete(length, _) if length > limits.reply_status_bytes as i64 => {
            return Parsed::Malformed
        }
        _ => {}
    }
    match bulk_string(bytes, limits) {
        Parsed::Complete(Some(word), _) if !is_status_word(word) => Parsed::Malformed,
        Parsed::Complete(_, length) => Parsed::Complete((), length),
        Parsed::Incomplete => Parsed::Incomplete,
        Parsed::Malformed => Parsed::Malformed,
    }
}

/// Whether a text may be a status. Names with values are a load report.
fn is_status_word(text: &[u8]) -> bool {
    text.iter().all(|b| b.is_ascii_graphic() && *b != b'=')
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
    let (value, trailer_start) = match array_value(bytes, limits) {
        Parsed::Complete(value, length) => (value, length),
        Parsed::Incomplete => return Parsed::Incomplete,
        Parsed::Malformed => return Parsed::Malformed,
    };
    let (report, trailer_length) = match trailer_of(&bytes[trailer_start..], limits) {
        Parsed::Complete(report, length) => (report, length),
        Parsed::Incomplete => return Parsed::Incomplete,
        Parsed::Malformed => return Parsed::Malformed,
    };
    let consumed = trailer_start + trailer_length;
    let outcome = if value.is_some() {
        Outcome::Success
    } else {
        Outcome::Miss
    };
    Parsed::Complete(
        AttemptResponse {
            outcome,
            value: value.map(<[u8]>::to_vec),
            reusable: report == LoadReport::Readable && consumed == bytes.len(),
        },
        consumed,
    )
}

/// Parses an array reply up to the end of its value.
fn array_value<'a>(bytes: &'a [u8], limits: &Limits) -> Parsed<Option<&'a [u8]>> {
    let header_length = match resp::array_header(bytes) {
        Parsed::Complete(3, length) => length,
        Parsed::Incomplete => return Parsed::Incomplete,
        _ => return Parsed::Malformed,
    };
    match bulk_string(&bytes[header_length..], limits) {
        Parsed::Complete(value, length) => Parsed::Complete(value, header_length + length),
        other => other,
    }
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
