//! The stub origin's side of a connection: reads HTTP requests, responds with values, and fills the
//! caches that missed.
use std::io;
use std::rc::Rc;

use quartzhub_policy::Idempotency;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use super::{attribute, ExecutedKey, NodeConnection, StubServers, MAX_RECORDS, MAX_REQUEST_BYTES};
use crate::server::{Health, Work};

/// Response to every request.
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue";
/// End of a request's head.
const HEAD_END: &[u8] = b"\r\n\r\n";

impl StubServers {
    /// Responds to the requests of one connection until it ends.
    pub(super) async fn serve_as_origin<S: AsyncRead + AsyncWrite + Unpin>(
        self: &Rc<StubServers>,
        mut connection: NodeConnection<S>,
    ) -> io::Result<()> {
        let origin = self.origin_index();
        let mut buffer = Vec::new();
        let mut offset = 0;
        loop {
            let Some(request) = OriginRequest::parse(&buffer) else {
                let is_end = buffer.len() >= MAX_REQUEST_BYTES
                    || connection.stream.read_buf(&mut buffer).await? == 0;
                if is_end {
                    return Ok(());
                }
                continue;
            };
            let call = self.record_attempt(origin, &connection, &request.id, offset);
            buffer.drain(..request.length);
            offset += request.length as u64;
            if self.servers[origin].model.borrow().health == Health::Hung {
                return std::future::pending().await;
            }
            self.count_origin_attempt();
            if !self.execute_request(call, request).await {
                return Ok(());
            }
            connection.stream.write_all(RESPONSE).await?;
        }
    }

    fn count_origin_attempt(&self) {
        self.origin_attempts.set(self.origin_attempts.get() + 1);
        let second = self.monitor.now().0 as usize / 1_000_000;
        let mut by_second = self.origin_attempts_by_second.borrow_mut();
        let seconds = by_second.len().max(second + 1);
        by_second.resize(seconds, 0);
        by_second[second] += 1;
    }

    /// Executes a request. A read fills the caches that missed, a write removes its key from all
    /// caches. Returns false if the request overloads the origin.
    async fn execute_request(
        self: &Rc<StubServers>,
        call: Option<u64>,
        request: OriginRequest,
    ) -> bool {
        let origin = self.origin_index();
        let misses = self
            .misses_by_call
            .borrow_mut()
            .remove(&request.id)
            .unwrap_or_default();
        let drawn_duration = self.draw_duration(self.scenario.origin.work_ms);
        let work = Work {
            key: request.key,
            write: request.write,
            base_duration: drawn_duration,
            caused_by_cold_miss: misses.iter().any(|miss| miss.is_cold),
        };
        if !self.admit_work(origin, work) {
            return false;
        }
        if let Some(call) = call.filter(|_| !self.is_repeat(&request.attributes)) {
            self.monitor.record_execution(call, origin, false);
        }
        self.run_work(origin, drawn_duration).await;
        if request.write {
            for server in &self.servers {
                server.model.borrow_mut().cache.remove(request.key);
            }
        } else {
            for miss in &misses {
                let mut model = self.servers[miss.cache].model.borrow_mut();
                model.cache.put(request.key);
            }
        }
        true
    }

    /// Whether a deduplicated call with the same idempotency key was executed within its window; if
    /// not, records the key. A repeat has no effect, so it is not reported as an execution.
    fn is_repeat(&self, attributes: &str) -> bool {
        let product = &self.products[self.product_index(attributes)];
        if product.idempotency != Idempotency::Deduplicated {
            return false;
        }
        let Some(key) = attribute(attributes, "k=") else {
            return false;
        };
        let now = self.monitor.now();
        let is_expired = |executed: &ExecutedKey| now - executed.at > product.dedup_window;
        let mut executed_keys = self.executed_keys.borrow_mut();
        while executed_keys.front().is_some_and(is_expired) || executed_keys.len() > MAX_RECORDS {
            executed_keys.pop_front();
        }
        if executed_keys.iter().any(|executed| executed.key == key) {
            return true;
        }
        executed_keys.push_back(ExecutedKey {
            at: now,
            key: key.to_owned(),
        });
        false
    }
}

/// An HTTP request that a node sent to the origin.
struct OriginRequest {
    key: u64,
    write: bool,
    id: String,
    attributes: String,
    /// Length of head and body, in bytes.
    length: usize,
}

impl OriginRequest {
    /// Parses a request; `None` if it is not complete.
    fn parse(bytes: &[u8]) -> Option<OriginRequest> {
        let head_length = bytes
            .windows(HEAD_END.len())
            .position(|window| window == HEAD_END)?;
        let text = String::from_utf8_lossy(&bytes[..head_length]);
        let mut lines = text.split("\r\n");
        let request_line = lines.next()?;
        let key = request_line
            .split(' ')
            .nth(1)
            .map(|path| path.trim_start_matches('/'))
            .and_then(|key| u64::from_str_radix(key, 16).ok());
        let mut request = OriginRequest {
            key: key.unwrap_or(0),
            write: request_line.starts_with("PUT"),
            id: String::new(),
            attributes: String::new(),
            length: 0,
        };
        let mut body_length = 0;
        for line in lines {
            match line.split_once(": ") {
                Some(("X-Correlation-Id", value)) => request.id = value.to_owned(),
                Some(("X-Facts", value)) => request.attributes = value.to_owned(),
                Some(("Content-Length", value)) => body_length = value.parse().unwrap_or(0usize),
                _ => {}
            }
        }
        request.length = head_length + HEAD_END.len() + body_length.min(MAX_REQUEST_BYTES);
        (bytes.len() >= request.length).then_some(request)
    }
}
