//! Parses and validates clients' commands, and reports them to the reducer.
use std::rc::Rc;

use bytes::Bytes;
use quartzhub_policy::{Span, Time};

use crate::buffer::Buffer;
use crate::effects::EffectExecutor;
use crate::limits::Limits;
use crate::messages::{ClientId, Request, RequestAttributes};
use crate::reducer::Reducer;
use crate::resp::{self, encode_bulk_string, Parsed};
use crate::shared_ids::SharedIds;

use super::arrival_times::ArrivalTimes;
use super::attributes::parse_attributes;

/// Why a command can't be executed; the client may send others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// Too few arguments, or too many.
    #[error("wrong number of arguments")]
    WrongNumberOfArguments,
    /// The command's name is not one that the node supports.
    #[error("unknown command")]
    UnknownCommand,
    /// The key is empty, too long or not printable ASCII.
    #[error("the key is no short plain text")]
    InvalidKey,
    /// The call's id is empty, too long or not printable ASCII.
    #[error("the id is no short plain text")]
    InvalidId,
    /// The attribute list is empty, too long or not printable ASCII.
    #[error("the list of names and values is no short plain text")]
    InvalidAttributes,
    /// The attribute list is malformed or lacks the remaining time (`d`).
    #[error("the list of names and values can't be read")]
    MalformedAttributes,
}

/// Why nothing more is read from a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// The bytes are not a command.
    #[error("Protocol error: commands are arrays of bulk strings")]
    MalformedCommand,
    /// The rest of a command did not arrive in time.
    #[error("Protocol error: the command did not come whole")]
    IncompleteCommand,
    /// Too many of the client's commands could not be executed.
    #[error("too many commands that can't be done")]
    TooManyCommandErrors,
}

/// Sends a client an error response and closes its connection; nothing more is read from it.
pub fn respond_protocol_error(executor: &Rc<EffectExecutor>, id: ClientId, error: ProtocolError) {
    let text = format!("-ERR {error}\r\n").into_bytes();
    executor.report(|reducer, now| reducer.respond_and_close(now, id, text));
}

/// What was taken from a client's buffer by one step.
pub enum TakeResult {
    /// One command.
    Command,
    /// Nothing: no command is complete.
    Incomplete,
    /// The last command to be taken, or a malformed one; nothing after it is read.
    EndOfInput,
}

/// What a command is checked against.
struct DispatchContext<'a> {
    limits: &'a Limits,
    shared_ids: Option<&'a SharedIds>,
}

impl DispatchContext<'_> {
    fn of(executor: &EffectExecutor) -> DispatchContext<'_> {
        DispatchContext {
            limits: &executor.limits,
            shared_ids: executor.shared_ids.get(),
        }
    }

    /// Whether the other process of an upgrade has sent a call that must not be executed twice.
    fn was_sent(&self, reducer: &Reducer, call: &ApiCall) -> bool {
        self.shared_ids.is_some_and(|ids| {
            reducer.must_not_repeat(call.attributes.product)
                && ids.sent_by_other_process(&call.request.id)
        })
    }
}

/// A parsed command and its arrival time.
struct ReceivedCommand<'a> {
    words: &'a [&'a [u8]],
    /// When its last byte was read.
    received_at: Option<Time>,
}

/// Takes one command from the buffer and reports it.
pub fn take_command(
    executor: &Rc<EffectExecutor>,
    id: ClientId,
    buffer: &mut Buffer,
    arrivals: &mut ArrivalTimes,
) -> TakeResult {
    let limits = &executor.limits;
    let result = match resp::command(buffer.unread(), limits) {
        _ if buffer.is_empty() => TakeResult::Incomplete,
        Parsed::Complete(words, consumed) => {
            let is_quit = words
                .first()
                .is_some_and(|name| name.eq_ignore_ascii_case(b"QUIT"));
            let received_at = arrivals.take(consumed);
            if consumed <= limits.buffered_value_bytes {
                let command = ReceivedCommand {
                    words: &words,
                    received_at,
                };
                let context = DispatchContext::of(executor);
                executor.report(|reducer, now| {
                    dispatch(reducer, now, id, &command, Bytes::copy_from_slice, &context)
                });
                buffer.consume(consumed);
            } else {
                drop(words);
                dispatch_large(executor, id, buffer.take(consumed), received_at);
            }
            after_command(executor, id, is_quit)
        }
        Parsed::Incomplete if buffer.unread().len() <= limits.max_command_bytes() => {
            TakeResult::Incomplete
        }
        Parsed::Incomplete | Parsed::Malformed => {
            respond_protocol_error(executor, id, ProtocolError::MalformedCommand);
            TakeResult::EndOfInput
        }
    };
    if matches!(result, TakeResult::EndOfInput) {
        buffer.clear();
    }
    buffer.shrink(limits.idle_buffer_bytes);
    result
}

/// Dispatches a command whose value is a slice of its bytes, without a copy.
fn dispatch_large(
    executor: &Rc<EffectExecutor>,
    id: ClientId,
    bytes: Bytes,
    received_at: Option<Time>,
) {
    let limits = &executor.limits;
    if let Parsed::Complete(words, _) = resp::command(&bytes, limits) {
        let command = ReceivedCommand {
            words: &words,
            received_at,
        };
        let slice = |value: &[u8]| bytes.slice_ref(value);
        let context = DispatchContext::of(executor);
        executor.report(|reducer, now| dispatch(reducer, now, id, &command, slice, &context));
    }
}

/// Decides whether more is read after a command: not after QUIT, and not from a client that has
/// sent too many commands that can't be executed.
fn after_command(executor: &Rc<EffectExecutor>, id: ClientId, is_quit: bool) -> TakeResult {
    let errors = executor.query(|reducer| reducer.command_errors(id));
    let too_many_errors = errors >= executor.limits.command_errors_per_client;
    if too_many_errors {
        respond_protocol_error(executor, id, ProtocolError::TooManyCommandErrors);
    }
    if is_quit || too_many_errors {
        TakeResult::EndOfInput
    } else {
        TakeResult::Command
    }
}

/// Reports a command to the reducer. `to_bytes` makes an owned value from one in the buffer.
fn dispatch(
    reducer: &mut Reducer,
    now: Time,
    id: ClientId,
    command: &ReceivedCommand,
    to_bytes: impl Fn(&[u8]) -> Bytes,
    context: &DispatchContext,
) {
    let limits = context.limits;
    let (name, arguments) = match command.words.split_first() {
        Some((name, arguments)) => (name.to_ascii_uppercase(), arguments),
        None => (Vec::new(), &[][..]),
    };
    let call = match (&name[..], arguments) {
        (b"OBJ.GET", [key, id, attributes]) => parse_api_call(key, id, attributes, None, limits),
        (b"OBJ.SET", [key, id, attributes, value]) => {
            parse_api_call(key, id, attributes, Some(to_bytes(value)), limits)
        }
        (b"OBJ.GET" | b"OBJ.SET", _) | (b"PING", [_, _, ..]) => {
            Err(CommandError::WrongNumberOfArguments)
        }
        (b"PING", [text]) => {
            let mut bytes = Vec::new();
            encode_bulk_string(&mut bytes, text);
            return reducer.respond_ping(now, id, bytes);
        }
        (b"PING", []) => return reducer.respond_ping(now, id, b"+PONG\r\n".to_vec()),
        (b"CLIENT" | b"SELECT", _) => return reducer.respond_plain(now, id, b"+OK\r\n".to_vec()),
        (b"QUIT", _) => return reducer.respond_and_close(now, id, b"+OK\r\n".to_vec()),
        _ => Err(CommandError::UnknownCommand),
    };
    match call {
        Ok(call) => {
            let attributes = RequestAttributes {
                queueing_time: command.received_at.map_or(Span::ZERO, |at| now - at),
                sent_by_other_process: context.was_sent(reducer, &call),
                ..call.attributes
            };
            reducer.on_call(now, id, call.request, attributes);
        }
        Err(error) => reducer.respond_command_error(now, id, &error.to_string()),
    }
}

/// Index of the attribute list among a command's words.
const ATTRIBUTES_INDEX: usize = 3;

/// The time left that an incomplete command states for its call, once its attribute list has arrived.
pub fn stated_time_left(bytes: &[u8], limits: &Limits) -> Option<Span> {
    let list = resp::command_item(bytes, ATTRIBUTES_INDEX, limits)?;
    let list = std::str::from_utf8(list).ok()?;
    parse_attributes(list, limits).map(|attributes| attributes.time_left)
}

/// An API call parsed from a command's arguments.
struct ApiCall<'a> {
    request: Request,
    attributes: RequestAttributes<'a>,
}

/// Validates the arguments of an API call. They are forwarded to servers, where a space or a line
/// break could otherwise alter the structure of the RESP command or the HTTP request.
fn parse_api_call<'a>(
    key: &'a [u8],
    id: &'a [u8],
    attributes: &'a [u8],
    value: Option<Bytes>,
    limits: &Limits,
) -> Result<ApiCall<'a>, CommandError> {
    let text = |word: &'a [u8]| {
        let fits = (1..=limits.argument_bytes).contains(&word.len())
            && word.iter().all(u8::is_ascii_graphic);
        std::str::from_utf8(word).ok().filter(|_| fits)
    };
    let key = text(key).ok_or(CommandError::InvalidKey)?;
    let id = text(id).ok_or(CommandError::InvalidId)?;
    let list = text(attributes).ok_or(CommandError::InvalidAttributes)?;
    let attributes = parse_attributes(list, limits).ok_or(CommandError::MalformedAttributes)?;
    Ok(ApiCall {
        request: Request {
            key: key.to_owned(),
            id: id.to_owned(),
            attributes: list.to_owned(),
            value,
        },
        attributes,
    })
}
