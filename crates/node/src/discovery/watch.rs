//! One watch on discovery, from its request to its end.
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use quartzhub_policy::{Span, Time};
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{timeout, timeout_at};

use super::backoff::WatchOutcome;
use super::decoder::{next_event, WatchEvent};
use crate::buffer::Buffer;
use crate::clock::duration;
use crate::config::EndpointListUpdate;
use crate::effects::EffectExecutor;
use crate::http::{self, Body};
use crate::resp::Parsed;

/// HTTP status of a watch response.
const STATUS_OK: u16 = 200;

/// Why a watch ended.
#[derive(Debug, Error)]
pub(super) enum WatchError {
    #[error("the response ended")]
    EndOfStream,
    #[error("connecting timed out")]
    ConnectTimedOut,
    #[error("connecting failed")]
    ConnectFailed,
    #[error("sending the request timed out")]
    RequestTimedOut,
    #[error("sending the request failed")]
    RequestFailed,
    #[error("no complete line received within the timeout")]
    LineTimedOut,
    #[error("reading from the connection failed")]
    ReadFailed,
    #[error("the HTTP head or a chunk is too long")]
    MessageTooLong,
    #[error("the response is malformed or its status is not 200")]
    UnexpectedResponse,
    #[error("a chunk is malformed or too long")]
    MalformedChunk,
    #[error("an endpoint list update is malformed")]
    MalformedUpdate,
    #[error("a line is too long")]
    LineTooLong,
}

/// A watch on discovery.
pub(super) struct Watch {
    executor: Rc<EffectExecutor>,
    discovery: SocketAddr,
    /// Timeout for the first complete line.
    open_timeout: Span,
    /// Notified at each update.
    updated: Rc<Notify>,
    /// Version of the known endpoint list, since which changes are requested; 0 requests the full
    /// list.
    version: u64,
    /// When the first complete line was received.
    first_line_at: Option<Time>,
    /// When the last complete line was received, or else when the watch was created.
    last_line_at: Time,
    /// Received bytes that are not decoded yet: the head, then the encoded body.
    received: Buffer,
    /// Received bytes of the decoded body that are not handled yet.
    text: Buffer,
    /// How the body is delimited, once the head is parsed.
    body: Option<Body>,
}

impl Watch {
    pub(super) fn new(
        executor: Rc<EffectExecutor>,
        discovery: SocketAddr,
        version: u64,
        open_timeout: Span,
        updated: Rc<Notify>,
    ) -> Watch {
        let last_line_at = executor.clock.now();
        Watch {
            executor,
            discovery,
            open_timeout,
            updated,
            version,
            first_line_at: None,
            last_line_at,
            received: Buffer::default(),
            text: Buffer::default(),
            body: None,
        }
    }

    /// Version of the known endpoint list.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// What the watch has received by its end; `version_before` is the version with which it was created.
    pub(super) fn outcome(&self, version_before: u64) -> WatchOutcome {
        let now = self.executor.clock.now();
        WatchOutcome {
            lived: self.first_line_at.map(|first_line_at| now - first_line_at),
            version_changed: self.version != version_before,
        }
    }

    /// Follows the watch until it ends.
    pub(super) async fn run(&mut self) -> Result<Infallible, WatchError> {
        let stream = self.open().await?;
        loop {
            let mut ended = !self.read(&stream).await?;
            self.parse_head()?;
            ended = self.decode_body(ended)?;
            self.executor.sample_wall_clock();
            self.handle_events()?;
            if ended {
                return Err(WatchError::EndOfStream);
            }
        }
    }

    async fn open(&self) -> Result<TcpStream, WatchError> {
        let limits = &self.executor.limits;
        let connect = timeout(
            duration(limits.connect_timeout.min(self.open_timeout)),
            TcpStream::connect(self.discovery),
        )
        .await;
        let mut stream = connect
            .map_err(|_| WatchError::ConnectTimedOut)?
            .map_err(|_| WatchError::ConnectFailed)?;
        let request = format!(
            "GET /api/targets?stream=1&index={} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n",
            self.version, self.discovery
        );
        let written = timeout(
            duration(self.open_timeout),
            stream.write_all(request.as_bytes()),
        )
        .await;
        written
            .map_err(|_| WatchError::RequestTimedOut)?
            .map_err(|_| WatchError::RequestFailed)?;
        Ok(stream)
    }

    /// Deadline for the next complete line, counted from the last one. Partial lines do not extend
    /// it, as an endless head or a byte now and then would keep a dead watch open.
    fn line_deadline(&self) -> Time {
        let limits = &self.executor.limits;
        let line_timeout = if self.first_line_at.is_some() {
            limits.watch_silence_timeout
        } else {
            self.open_timeout
        };
        self.last_line_at + line_timeout
    }

    /// Reads more bytes; returns false at end-of-file.
    async fn read(&mut self, stream: &TcpStream) -> Result<bool, WatchError> {
        let line_deadline = self.line_deadline();
        let limits = &self.executor.limits;
        loop {
            let ready = timeout_at(
                self.executor.clock.instant(line_deadline),
                stream.readable(),
            )
            .await;
            ready
                .map_err(|_| WatchError::LineTimedOut)?
                .map_err(|_| WatchError::ReadFailed)?;
            // With bytes always ready to be read, the timeout above never fires.
            if self.executor.clock.now() >= line_deadline {
                return Err(WatchError::LineTimedOut);
            }
            // A head, chunk header or chunk without end must not exhaust the memory.
            let max_bytes = limits.endpoint_list_line_bytes + limits.http_head_bytes;
            if self.received.unread().len() > max_bytes {
                return Err(WatchError::MessageTooLong);
            }
            match self.received.read(stream, limits.read_bytes) {
                Ok(count) => return Ok(count > 0),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return Err(WatchError::ReadFailed),
            }
        }
    }

    fn parse_head(&mut self) -> Result<(), WatchError> {
        if self.body.is_some() {
            return Ok(());
        }
        let limits = &self.executor.limits;
        match http::head(self.received.unread(), limits) {
            Parsed::Complete(head, length) if head.status == STATUS_OK => {
                self.received.consume(length);
                self.body = Some(head.body);
                Ok(())
            }
            Parsed::Incomplete if self.received.unread().len() <= limits.http_head_bytes => Ok(()),
            _ => Err(WatchError::UnexpectedResponse),
        }
    }

    /// Decodes received bytes of the body from `received` to `text`. Both `ended` and the result
    /// tell whether the body ends there.
    fn decode_body(&mut self, ended: bool) -> Result<bool, WatchError> {
        match self.body {
            Some(Body::Chunked) => self.decode_chunks(ended),
            Some(_) => {
                self.text.put(self.received.unread());
                self.received.clear();
                Ok(ended)
            }
            None => Ok(ended),
        }
    }

    fn decode_chunks(&mut self, mut ended: bool) -> Result<bool, WatchError> {
        let limits = &self.executor.limits;
        loop {
            let max_bytes = limits.endpoint_list_line_bytes;
            match http::chunk(self.received.unread(), max_bytes, limits) {
                Parsed::Complete(chunk, length) => {
                    ended |= chunk.is_empty();
                    self.text.put(chunk);
                    self.received.consume(length);
                    if ended {
                        return Ok(true);
                    }
                }
                Parsed::Incomplete => return Ok(ended),
                Parsed::Malformed => return Err(WatchError::MalformedChunk),
            }
        }
    }

    /// Handles all complete events.
    fn handle_events(&mut self) -> Result<(), WatchError> {
        while let Some((event, length)) = next_event(self.text.unread()) {
            match event {
                WatchEvent::KeepAlive => {}
                WatchEvent::Update(update) => {
                    self.version = update.version;
                    report_update(&self.executor, &update);
                    self.updated.notify_one();
                }
                WatchEvent::Malformed => {
                    // It may have contained a change: the next watch requests the full list.
                    self.version = 0;
                    return Err(WatchError::MalformedUpdate);
                }
            }
            let now = self.executor.clock.now();
            self.last_line_at = now;
            self.first_line_at.get_or_insert(now);
            self.executor.on_discovery_update();
            self.text.consume(length);
        }
        if self.text.unread().len() > self.executor.limits.endpoint_list_line_bytes {
            return Err(WatchError::LineTooLong);
        }
        Ok(())
    }
}

fn report_update(executor: &Rc<EffectExecutor>, update: &EndpointListUpdate) {
    executor.report(|reducer, now| {
        reducer.on_endpoint_list(now, update, |unix_ms| {
            executor.server_start_time(now, unix_ms)
        })
    });
}
