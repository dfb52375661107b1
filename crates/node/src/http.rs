//! Parses HTTP/1.1 responses with winnow: a head, then a body that is delimited by its length, by
//! chunks, or by the end of the connection.
use winnow::ascii::{dec_uint, hex_uint, space0};
use winnow::combinator::{delimited, fail, opt, preceded, repeat, terminated};
use winnow::prelude::*;
use winnow::token::{take, take_while};
use winnow::Partial;

use crate::limits::Limits;
use crate::resp::{parsed, Parsed};

type Input<'a> = Partial<&'a [u8]>;

/// How the length of a body is determined.
#[derive(Debug, PartialEq, Clone, Copy)]
pub enum Body {
    /// By a length in bytes.
    ContentLength(usize),
    /// By chunks, of which the last is empty.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// The parts of a response's head that the node uses.
#[derive(Debug, PartialEq, Clone, Copy)]
pub struct Head {
    /// The status code.
    pub status: u16,
    /// The body that follows.
    pub body: Body,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
    /// Whether the server states that it has not executed the API call (`X-Unprocessed: 1`).
    pub unprocessed: bool,
}

struct HeaderField<'a> {
    name: &'a [u8],
    value: &'a [u8],
}

struct HeaderFields<'a>(Vec<HeaderField<'a>>);

impl<'a> HeaderFields<'a> {
    fn values(&self, name: &'static [u8]) -> impl Iterator<Item = &'a [u8]> + '_ {
        self.0
            .iter()
            .filter(move |field| field.name.eq_ignore_ascii_case(name))
            .map(|field| field.value.trim_ascii())
    }

    /// Whether the first field of this name has this value.
    fn first_is(&self, name: &'static [u8], expected: &[u8]) -> bool {
        self.values(name)
            .next()
            .is_some_and(|value| value.eq_ignore_ascii_case(expected))
    }
}

fn text<'a>(input: &mut Input<'a>) -> ModalResult<&'a [u8]> {
    take_while(0.., |b| b != b'\r' && b != b'\n').parse_next(input)
}

fn line_end<'a>(input: &mut Input<'a>) -> ModalResult<&'a [u8]> {
    (opt(b'\r'), b'\n').take().parse_next(input)
}

fn header_field<'a>(input: &mut Input<'a>) -> ModalResult<HeaderField<'a>> {
    let name = terminated(
        take_while(1.., |b: u8| b.is_ascii_graphic() && b != b':'),
        b':',
    );
    (name, delimited(space0, text, line_end))
        .map(|(name, value)| HeaderField { name, value })
        .parse_next(input)
}

fn parse_head(input: &mut Input, max_fields: usize) -> ModalResult<Head> {
    let minor_version = preceded(b"HTTP/1.", terminated(take(1usize), b' ')).parse_next(input)?;
    let status = dec_uint::<_, u16, _>
        .verify(|code| (100..1000).contains(code))
        .parse_next(input)?;
    (text, line_end).void().parse_next(input)?;
    let fields = repeat(0..max_fields, header_field)
        .map(HeaderFields)
        .parse_next(input)?;
    line_end.void().parse_next(input)?;
    let Some(body) = body_length(&fields, status) else {
        return fail.parse_next(input);
    };
    let keep_alive = minor_version == b"1"
        && !fields.first_is(b"Connection", b"close")
        && body != Body::UntilClose;
    Ok(Head {
        status,
        body,
        keep_alive,
        unprocessed: fields.first_is(b"X-Unprocessed", b"1"),
    })
}

/// Determines the body's length; `None` if the header fields are contradictory or invalid.
fn body_length(fields: &HeaderFields, status: u16) -> Option<Body> {
    let chunked = fields.first_is(b"Transfer-Encoding", b"chunked");
    let mut lengths = fields.values(b"Content-Length");
    let length = lengths.next();
    // With two lengths one is wrong, and the start of the next response would be misread.
    if lengths.any(|other| Some(other) != length) || length.is_some() && chunked {
        return None;
    }
    match length {
        _ if chunked => Some(Body::Chunked),
        Some(length) => parse_length(length).map(Body::ContentLength),
        None if status == 204 || status == 304 => Some(Body::ContentLength(0)),
        None => Some(Body::UntilClose),
    }
}

fn parse_length(text: &[u8]) -> Option<usize> {
    if !text.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}

/// Parses the head of the final HTTP response; skips 1xx responses before it.
pub fn head(bytes: &[u8], limits: &Limits) -> Parsed<Head> {
    let mut consumed = 0;
    for _ in 0..=limits.http_interim_responses {
        match parsed(&bytes[consumed..], |input: &mut Input| {
            parse_head(input, limits.http_header_fields)
        }) {
            Parsed::Complete(head, count) if (100..200).contains(&head.status) => consumed += count,
            Parsed::Complete(head, count) => return Parsed::Complete(head, consumed + count),
            // A head without end must not be awaited forever.
            Parsed::Incomplete if bytes.len() - consumed > limits.http_head_bytes => break,
            other => return other,
        }
    }
    Parsed::Malformed
}

/// Parses one chunk. An empty chunk is the last; trailer fields after it are consumed with it. The
/// data ends with the same line end as the line with its size: otherwise the first byte of the line
/// end could be taken for the last byte of the data.
pub fn chunk<'a>(bytes: &'a [u8], max_bytes: usize, limits: &Limits) -> Parsed<&'a [u8]> {
    parsed(bytes, |input: &mut Input<'a>| {
        let count = terminated(hex_uint::<_, u32, _>, text).parse_next(input)? as usize;
        let size_line_end = line_end.parse_next(input)?;
        // Trailer fields without end must not be awaited forever.
        if count > max_bytes || count == 0 && input.len() > limits.http_head_bytes {
            return fail.parse_next(input);
        }
        if count == 0 {
            repeat::<_, _, (), _, _>(0..limits.http_header_fields, header_field)
                .parse_next(input)?;
            return line_end.map(|_| &b""[..]).parse_next(input);
        }
        terminated(take(count), size_line_end).parse_next(input)
    })
}

/// Parses a complete response with a body of up to `max_body_bytes`; `at_eof` means that no more
/// bytes will arrive.
pub fn parse_response(
    bytes: &[u8],
    max_body_bytes: usize,
    at_eof: bool,
    limits: &Limits,
) -> Parsed<(Head, Vec<u8>)> {
    let (head, consumed) = match head(bytes, limits) {
        Parsed::Complete(head, consumed) => (head, consumed),
        Parsed::Incomplete => return Parsed::Incomplete,
        Parsed::Malformed => return Parsed::Malformed,
    };
    let rest = &bytes[consumed..];
    match head.body {
        Body::ContentLength(count) if count > max_body_bytes => Parsed::Malformed,
        Body::ContentLength(count) if rest.len() < count => Parsed::Incomplete,
        Body::ContentLength(count) => {
            Parsed::Complete((head, rest[..count].to_vec()), consumed + count)
        }
        Body::UntilClose if rest.len() > max_body_bytes => Parsed::Malformed,
        Body::UntilClose if at_eof => Parsed::Complete((head, rest.to_vec()), bytes.len()),
        Body::UntilClose => Parsed::Incomplete,
        Body::Chunked => match chunked_body(rest, max_body_bytes, limits) {
            Parsed::Complete(body, count) => Parsed::Complete((head, body), consumed + count),
            Parsed::Incomplete => Parsed::Incomplete,
            Parsed::Malformed => Parsed::Malformed,
        },
    }
}

fn chunked_body(bytes: &[u8], max_body_bytes: usize, limits: &Limits) -> Parsed<Vec<u8>> {
    let mut body = Vec::new();
    let mut consumed = 0;
    loop {
        match chunk(&bytes[consumed..], max_body_bytes, limits) {
            Parsed::Complete([], count) => return Parsed::Complete(body, consumed + count),
            Parsed::Complete(chunk, count) if body.len() + chunk.len() <= max_body_bytes => {
                body.extend_from_slice(chunk);
                consumed += count;
            }
            Parsed::Incomplete => return Parsed::Incomplete,
            _ => return Parsed::Malformed,
        }
    }
}

#[cfg(test)]
mod tests;
