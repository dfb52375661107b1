//! Parses and encodes RESP2 with winnow: commands of clients, replies of cache servers.
use winnow::ascii::dec_int;
use winnow::combinator::{alt, fail, preceded, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;
use winnow::token::{take, take_while};
use winnow::Partial;

use crate::limits::Limits;

/// Characters, sign included, that make a number malformed; no 64-bit number has as many.
const MAX_NUMBER_DIGITS: usize = 24;

/// Bytes of the line end after an item.
const ITEM_TERMINATOR_BYTES: usize = 2;

/// Index of the value among a command's words.
const VALUE_INDEX: i64 = 4;

type Input<'a> = Partial<&'a [u8]>;

/// Result of parsing the bytes received so far.
#[derive(Debug, PartialEq)]
pub enum Parsed<T> {
    /// A complete message and its length in bytes.
    Complete(T, usize),
    /// The start of a message.
    Incomplete,
    /// Not the start of any message.
    Malformed,
}

/// Runs a parser on the bytes received so far.
pub fn parsed<'a, T>(
    bytes: &'a [u8],
    mut parser: impl Parser<Input<'a>, T, ErrMode<ContextError>>,
) -> Parsed<T> {
    let mut input = Partial::new(bytes);
    match parser.parse_next(&mut input) {
        Ok(message) => Parsed::Complete(message, bytes.len() - input.len()),
        Err(ErrMode::Incomplete(_)) => Parsed::Incomplete,
        Err(_) => Parsed::Malformed,
    }
}

/// A reply from a server.
#[derive(Debug, PartialEq)]
pub enum Reply<'a> {
    /// `+`: a line.
    Status(&'a [u8]),
    /// `-`: a line with an error message.
    Error(&'a [u8]),
    /// `:`: an integer.
    Number(i64),
    /// `$`: bytes of a known length, or nil.
    Bulk(Option<&'a [u8]>),
    /// `*`: a list of replies, or nil.
    Array(Option<Vec<Reply<'a>>>),
}

fn line<'a>(input: &mut Input<'a>, limit: usize) -> ModalResult<&'a [u8]> {
    terminated(take_while(0..=limit, |b| b != b'\r' && b != b'\n'), b"\r\n").parse_next(input)
}

fn number(input: &mut Input) -> ModalResult<i64> {
    // Digits without end must not be awaited forever.
    if input
        .iter()
        .take(MAX_NUMBER_DIGITS)
        .filter(|b| **b != b'\r')
        .count()
        == MAX_NUMBER_DIGITS
    {
        return fail.parse_next(input);
    }
    terminated(dec_int::<_, i64, _>, b"\r\n").parse_next(input)
}

fn bulk<'a>(input: &mut Input<'a>, limit: usize) -> ModalResult<Option<&'a [u8]>> {
    match preceded(b'$', number).parse_next(input)? {
        -1 => Ok(None),
        count if count >= 0 && count as usize <= limit => terminated(take(count as usize), b"\r\n")
            .map(Some)
            .parse_next(input),
        _ => fail.parse_next(input),
    }
}

/// Parses a command: an array of bulk strings.
pub fn command<'a>(bytes: &'a [u8], limits: &Limits) -> Parsed<Vec<&'a [u8]>> {
    parsed(bytes, |input: &mut Input<'a>| {
        let count = preceded(b'*', number).parse_next(input)?;
        if count < 0 || count as usize > limits.command_arguments {
            return fail.parse_next(input);
        }
        let mut command = Vec::with_capacity(count as usize);
        for i in 0..count {
            // Only the value may be large.
            let limit = if i == VALUE_INDEX {
                limits.value_bytes
            } else {
                limits.buffered_value_bytes
            };
            match bulk(input, limit)? {
                Some(word) => command.push(word),
                None => return fail.parse_next(input),
            }
        }
        Ok(command)
    })
}

/// Whether a value of `size` bytes is too large to be buffered, but small enough to be streamed.
pub fn is_large_value(size: usize, limits: &Limits) -> bool {
    (limits.buffered_value_bytes + 1..=limits.value_bytes).contains(&size)
}

/// What the headers that have arrived tell of the size of an incomplete command, whatever its number
/// of items.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CommandSize {
    /// Bytes that the command has at least: up to the end of the last item whose header has arrived.
    pub bytes: usize,
    /// Whether that item is the last, so that the command has exactly as many bytes.
    pub is_final: bool,
    /// Length of that item in bytes.
    pub last_item_bytes: usize,
}

/// Returns the size of an incomplete command, as far as it is known.
pub fn command_size(bytes: &[u8], limits: &Limits) -> CommandSize {
    let mut size = CommandSize::default();
    let Parsed::Complete(items, array_header_bytes) = array_header(bytes) else {
        return size;
    };
    size.bytes = array_header_bytes;
    for item in 1..=items {
        let Parsed::Complete(length, header_bytes) =
            bulk_header(bytes.get(size.bytes..).unwrap_or_default())
        else {
            break;
        };
        let Some(length) = usize::try_from(length)
            .ok()
            .filter(|length| *length <= limits.value_bytes)
        else {
            break;
        };
        size.bytes += header_bytes + length + ITEM_TERMINATOR_BYTES;
        size.is_final = item == items;
        size.last_item_bytes = length;
    }
    size
}

/// Returns an item of an incomplete command, counted from zero, if all of its bytes have arrived.
pub fn command_item<'a>(bytes: &'a [u8], index: usize, limits: &Limits) -> Option<&'a [u8]> {
    let mut input = Partial::new(bytes);
    preceded(b'*', number).parse_next(&mut input).ok()?;
    for _ in 0..index {
        bulk(&mut input, limits.value_bytes).ok()?;
    }
    bulk(&mut input, limits.value_bytes).ok()?
}

/// Parses the header of a bulk string: its length, or -1 for nil.
pub fn bulk_header(bytes: &[u8]) -> Parsed<i64> {
    parsed(bytes, |input: &mut Input| {
        preceded(b'$', number).parse_next(input)
    })
}

/// Parses the header of an array: its number of items, or -1 for nil.
pub fn array_header(bytes: &[u8]) -> Parsed<i64> {
    parsed(bytes, |input: &mut Input| {
        preceded(b'*', number).parse_next(input)
    })
}

/// Parses a server's reply, within the limits for replies.
pub fn reply<'a>(bytes: &'a [u8], limits: &Limits) -> Parsed<Reply<'a>> {
    parsed(bytes, |input: &mut Input<'a>| {
        item(input, limits, limits.reply_nesting)
    })
}

fn item<'a>(input: &mut Input<'a>, limits: &Limits, depth: usize) -> ModalResult<Reply<'a>> {
    if input.first() == Some(&b'*') {
        let count = preceded(b'*', number).parse_next(input)?;
        if count == -1 {
            return Ok(Reply::Array(None));
        }
        if count < 0 || count as usize > limits.reply_array_items || depth == 0 {
            return fail.parse_next(input);
        }
        let mut items = Vec::with_capacity(count as usize);
        for _ in 0..count {
            items.push(item(input, limits, depth - 1)?);
        }
        return Ok(Reply::Array(Some(items)));
    }
    let line = |input: &mut Input<'a>| line(input, limits.reply_line_bytes);
    alt((
        preceded(b'+', line).map(Reply::Status),
        preceded(b'-', line).map(Reply::Error),
        preceded(b':', number).map(Reply::Number),
        (|input: &mut Input<'a>| bulk(input, limits.buffered_value_bytes)).map(Reply::Bulk),
    ))
    .parse_next(input)
}

/// Appends a command's words as an array of bulk strings.
pub fn encode_command(out: &mut Vec<u8>, words: &[&[u8]]) {
    out.extend_from_slice(format!("*{}\r\n", words.len()).as_bytes());
    words.iter().for_each(|word| encode_bulk_string(out, word));
}

/// Appends a bulk string.
pub fn encode_bulk_string(out: &mut Vec<u8>, value: &[u8]) {
    out.reserve(value.len() + 16);
    out.extend_from_slice(format!("${}\r\n", value.len()).as_bytes());
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

#[cfg(test)]
mod tests;
