//! Protocols of the servers: RESP for caches, HTTP/1.1 for the origin.
use std::net::SocketAddr;

use quartzhub_policy::Span;

use crate::attempt_response::AttemptResponse;
use crate::caches::{self, LoadReport, StatedValue};
use crate::http;
use crate::limits::Limits;
use crate::messages::Request;
use crate::origin;
use crate::resp::Parsed;

/// The protocol of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// RESP, for a cache server.
    Resp,
    /// HTTP/1.1, for the origin.
    Http,
}

impl Protocol {
    /// Encodes the request without its value, which is written after it.
    pub(super) fn encode_request(
        self,
        request: &Request,
        address: SocketAddr,
        time_left: Span,
    ) -> Vec<u8> {
        match self {
            Protocol::Resp => caches::encode_request(request, time_left),
            Protocol::Http => origin::encode_request(request, address, time_left),
        }
    }

    /// Parses a response from received bytes; `at_eof` means that no more will arrive.
    pub(super) fn parse_response(
        self,
        bytes: &[u8],
        at_eof: bool,
        limits: &Limits,
    ) -> Parsed<AttemptResponse> {
        match self {
            Protocol::Resp => caches::parse_response(bytes, limits),
            Protocol::Http => origin::parse_response(bytes, at_eof, limits),
        }
    }

    /// Finds the value of a response whose header states its length.
    pub(super) fn stated_value(self, bytes: &[u8], limits: &Limits) -> Option<StatedValue> {
        match self {
            Protocol::Resp => caches::stated_value(bytes, limits),
            Protocol::Http => origin::stated_value(bytes, limits),
        }
    }

    /// The bytes that terminate a value, in requests and responses.
    pub(super) fn value_terminator(self) -> &'static [u8] {
        match self {
            Protocol::Resp => caches::VALUE_TERMINATOR,
            Protocol::Http => b"",
        }
    }

    /// Whether the server keeps the connection open after the response that starts here.
    pub(super) fn keeps_alive(self, response: &[u8], limits: &Limits) -> bool {
        match self {
            Protocol::Resp => true,
            Protocol::Http => {
                matches!(http::head(response, limits), Parsed::Complete(head, _) if head.keep_alive)
            }
        }
    }

    /// Parses what follows a large value: the rest of its response.
    pub(super) fn value_end(self, bytes: &[u8], limits: &Limits) -> Parsed<LoadReport> {
        match self {
            Protocol::Resp => caches::value_end(bytes, limits),
            Protocol::Http => Parsed::Complete(LoadReport::Readable, 0),
        }
    }
}
