//! A stub cache's side of a connection: reads commands and replies with hits and misses.
use std::io;
use std::rc::Rc;

use quartzhub_node::limits::Limits;
use quartzhub_node::resp::{self, Parsed};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use super::{CacheMiss, NodeConnection, StubServers, MAX_RECORDS, MAX_REQUEST_BYTES};
use crate::server::{Health, Work};

/// Reply with a value.
const HIT: &[u8] = b"*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n";
/// Reply without a value.
const MISS: &[u8] = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n";

/// An OBJ.GET or OBJ.SET command received from a node.
struct CacheCommand {
    key: u64,
    id: String,
    attributes: String,
    /// Encoded length, in bytes.
    length: usize,
}

/// Result of parsing the bytes received so far.
enum ParsedCommand {
    Complete(CacheCommand),
    Incomplete,
    Malformed,
}

impl ParsedCommand {
    fn parse(bytes: &[u8], limits: &Limits) -> ParsedCommand {
        match resp::command(bytes, limits) {
            Parsed::Complete(words, length) if words.len() >= 4 => {
                let text = |word: &[u8]| String::from_utf8_lossy(word).into_owned();
                ParsedCommand::Complete(CacheCommand {
                    key: u64::from_str_radix(&text(words[1]), 16).unwrap_or(0),
                    id: text(words[2]),
                    attributes: text(words[3]),
                    length,
                })
            }
            Parsed::Incomplete if bytes.len() < MAX_REQUEST_BYTES => ParsedCommand::Incomplete,
            _ => ParsedCommand::Malformed,
        }
    }
}

impl StubServers {
    /// Replies to the commands of one connection until it ends.
    pub(super) async fn serve_as_cache<S: AsyncRead + AsyncWrite + Unpin>(
        self: &Rc<StubServers>,
        server: usize,
        mut connection: NodeConnection<S>,
    ) -> io::Result<()> {
        let limits = Limits::default();
        let mut buffer = Vec::new();
        let mut offset = 0;
        loop {
            let command = match ParsedCommand::parse(&buffer, &limits) {
                ParsedCommand::Complete(command) => command,
                ParsedCommand::Incomplete => {
                    if connection.stream.read_buf(&mut buffer).await? == 0 {
                        return Ok(());
                    }
                    continue;
                }
                ParsedCommand::Malformed => {
                    return connection.stream.write_all(b"-SYNTAX\r\n").await;
                }
            };
            let call = self.record_attempt(server, &connection, &command.id, offset);
            buffer.drain(..command.length);
            offset += command.length as u64;
            if self.servers[server].model.borrow().health == Health::Hung {
                return std::future::pending().await;
            }
            let Some(reply) = self.execute_command(server, call, command).await else {
                return Ok(());
            };
            connection.stream.write_all(reply).await?;
        }
    }

    /// Executes a command and returns its reply; `None` if the command overloads the server.
    async fn execute_command(
        self: &Rc<StubServers>,
        server: usize,
        call: Option<u64>,
        command: CacheCommand,
    ) -> Option<&'static [u8]> {
        let product = &self.scenario.products[self.product_index(&command.attributes)];
        let drawn_duration = self.draw_duration(product.work_ms);
        let work = Work {
            key: command.key,
            write: false,
            base_duration: drawn_duration,
            caused_by_cold_miss: false,
        };
        if !self.admit_work(server, work) {
            return None;
        }
        let (is_hit, is_cold) = {
            let mut model = self.servers[server].model.borrow_mut();
            let is_hit = model.cache.get(command.key);
            (is_hit, model.is_warming_up(self.monitor.now()))
        };
        if let Some(call) = call {
            self.monitor.record_execution(call, server, !is_hit);
        }
        let work_ratio = match is_hit {
            true => 1.0,
            false => self.scenario.caches.miss_work_ratio,
        };
        self.run_work(server, drawn_duration.times(work_ratio))
            .await;
        if is_hit {
            self.hits.set(self.hits.get() + 1);
            return Some(HIT);
        }
        self.misses.set(self.misses.get() + 1);
        let cache = server;
        self.record_miss(command.id, CacheMiss { cache, is_cold });
        Some(MISS)
    }

    /// Records that a cache missed for an API call, so that the origin's response fills it.
    fn record_miss(&self, id: String, miss: CacheMiss) {
        let mut misses = self.misses_by_call.borrow_mut();
        if misses.len() < MAX_RECORDS {
            misses.entry(id).or_default().push(miss);
        }
    }
}
