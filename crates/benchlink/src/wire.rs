//! The bench's messages. Maps the names of the wire format to the policy's terms.
use std::borrow::Cow;
use std::fmt;

use quartzhub_policy::{EndpointState, Outcome, Time};
use quartzhub_settings::EndpointEntry;
use serde::de::{Deserialize, Deserializer, Error, Visitor};

use crate::error::EventError;

/// A string that is borrowed from the input line unless it contains escapes.
#[derive(Debug, Clone, Default)]
pub(crate) struct Text<'a>(Cow<'a, str>);

impl Text<'_> {
    /// Returns the string.
    pub(crate) fn as_str(&self) -> &str {
        &self.0
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for Text<'a> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct TextVisitor;
        impl<'de> Visitor<'de> for TextVisitor {
            type Value = Text<'de>;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a string")
            }
            fn visit_borrowed_str<E: Error>(self, text: &'de str) -> Result<Text<'de>, E> {
                Ok(Text(Cow::Borrowed(text)))
            }
            fn visit_str<E: Error>(self, text: &str) -> Result<Text<'de>, E> {
                Ok(Text(Cow::Owned(text.to_owned())))
            }
            // In simulations without tenants, the field may hold the number 0 for none.
            fn visit_u64<E: Error>(self, _: u64) -> Result<Text<'de>, E> {
                Ok(Text::default())
            }
        }
        from.deserialize_any(TextVisitor)
    }
}

/// A line of the input.
#[derive(serde::Deserialize)]
pub(crate) struct Batch<'a> {
    #[serde(rename = "SimTime")]
    pub(crate) now_ms: f64,
    #[serde(borrow, default)]
    pub(crate) nodes: Vec<NodeEvents<'a>>,
}

/// The events of one node in a batch.
#[derive(serde::Deserialize)]
pub(crate) struct NodeEvents<'a> {
    #[serde(rename = "NodeId", borrow)]
    pub(crate) id: Text<'a>,
    #[serde(rename = "news", borrow, default)]
    pub(crate) events: Vec<Event<'a>>,
}

/// The kind of an event. The variants have the names of the wire format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MessageKind {
    /// A node starts.
    Create,
    /// A node stops.
    Halt,
    /// An endpoint list, which later updates refer to by index.
    Manifest,
    /// An update of a node's endpoint list.
    Fleet,
    /// An API call.
    Order,
    /// The first byte of a streamed response.
    FirstByte,
    /// The result of an attempt.
    Done,
    /// A client has disconnected.
    Withdrawn,
    /// The timer has expired.
    Elapsed,
    /// The result of a health check.
    HealthResult,
    /// A message from another node.
    Mail,
}

impl MessageKind {
    /// Returns the kind with this name.
    pub(crate) fn parse(name: &str) -> Result<MessageKind, EventError> {
        Ok(match name {
            "Create" => MessageKind::Create,
            "Halt" => MessageKind::Halt,
            "Manifest" => MessageKind::Manifest,
            "Fleet" => MessageKind::Fleet,
            "Order" => MessageKind::Order,
            "FirstByte" => MessageKind::FirstByte,
            "Done" => MessageKind::Done,
            "Withdrawn" => MessageKind::Withdrawn,
            "Elapsed" => MessageKind::Elapsed,
            "HealthResult" => MessageKind::HealthResult,
            "Mail" => MessageKind::Mail,
            other => return Err(EventError::UnknownMessage(other.to_owned())),
        })
    }

    /// Returns the error for a message of this kind that lacks a field.
    pub(crate) fn missing(self, field: &'static str) -> EventError {
        EventError::MissingField {
            message: self,
            field,
        }
    }
}

/// An event of any kind: the union of the fields of all kinds. Unknown fields are skipped.
#[derive(serde::Deserialize)]
pub(crate) struct Event<'a> {
    #[serde(rename = "msg", borrow)]
    pub(crate) message: Text<'a>,
    #[serde(rename = "Ticket", borrow)]
    pub(crate) call_id: Option<Text<'a>>,
    #[serde(rename = "Band", borrow)]
    pub(crate) product: Option<Text<'a>>,
    #[serde(rename = "PartitionKey", borrow)]
    pub(crate) key: Option<Text<'a>>,
    #[serde(rename = "Realm", borrow)]
    pub(crate) tenant: Option<Text<'a>>,
    #[serde(rename = "Result", borrow)]
    pub(crate) outcome: Option<Text<'a>>,
    #[serde(rename = "Kind", borrow)]
    pub(crate) update: Option<Text<'a>>,
    #[serde(rename = "Grace")]
    pub(crate) time_left_ms: Option<f64>,
    #[serde(rename = "Bitmap")]
    pub(crate) flags: Option<u64>,
    #[serde(rename = "Lag")]
    pub(crate) latency_ms: Option<f64>,
    #[serde(rename = "Copy")]
    pub(crate) attempt: Option<u64>,
    #[serde(rename = "DoneFlag")]
    pub(crate) call_finished: Option<bool>,
    #[serde(rename = "List")]
    pub(crate) list: Option<u64>,
    #[serde(rename = "Members")]
    pub(crate) servers: Option<Vec<ListedServer>>,
    #[serde(rename = "Prng")]
    pub(crate) seed: Option<u64>,
    #[serde(rename = "Setup")]
    pub(crate) settings: Option<Box<serde_json::Value>>,
}

/// An entry of an endpoint list. It owns its strings because lists are kept after their batch.
#[derive(serde::Deserialize)]
pub(crate) struct ListedServer {
    #[serde(rename = "Server")]
    pub(crate) id: String,
    #[serde(rename = "RegionPart")]
    zone: Option<String>,
    #[serde(rename = "FamilyType")]
    kind: Option<String>,
    #[serde(rename = "Bay")]
    cell: Option<u32>,
    #[serde(rename = "Availability")]
    state: Option<String>,
    #[serde(rename = "Scale")]
    scale: Option<f64>,
    #[serde(rename = "Launched")]
    started_ms: Option<f64>,
}

impl ListedServer {
    /// Returns the state. An unknown state counts as draining, so that the server gets no new
    /// attempts.
    fn state(&self) -> EndpointState {
        match self.state.as_deref() {
            Some("on") => EndpointState::Ready,
            Some("off") => EndpointState::Gone,
            _ => EndpointState::Draining,
        }
    }

    /// Returns the entry in the policy's terms. A start time of 0 means that the time is unknown.
    pub(crate) fn entry(&self) -> EndpointEntry<'_> {
        EndpointEntry {
            id: &self.id,
            zone: self.zone.as_deref(),
            kind: self.kind.as_deref(),
            cell: self.cell,
            state: self.state(),
            scale: self.scale,
            started: self.started_ms.filter(|at| *at != 0.0).map(Time::from_ms),
        }
    }
}

/// Returns the outcome of an attempt by its result code.
pub(crate) fn attempt_outcome(code: &str) -> Outcome {
    match code {
        "OK" => Outcome::Success,
        "INTERNAL" => Outcome::ServerError,
        "RESOURCE_EXHAUSTED" => Outcome::Overloaded,
        "DEADLINE_EXCEEDED" => Outcome::TimedOut,
        "UNAVAILABLE" => Outcome::Unreachable,
        "ABORTED" => Outcome::Reset,
        "CANCELLED" => Outcome::Cancelled,
        "TOO_LATE" => Outcome::NotSent,
        "NOT_FOUND" => Outcome::Miss,
        _ => Outcome::Unrecognized,
    }
}
