//! A stub of discovery, seen by each node as its own agent. It serves watches that report changes
//! of the endpoint list, with a random delay that differs between nodes.
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use quartzhub_policy::{Pcg, Span, Time};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout, Instant};

use super::proxy::Connection;
use crate::stub::{EndpointListChange, ListedState, StubServers};

/// Time without an event after which a watch sends a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Length beyond which a request without a complete head is abandoned, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Shortest delay until a watch looks for the next change, in microseconds.
const MIN_DELAY_US: i64 = 1_000;
/// Head of the response that carries a watch.
const RESPONSE_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The discovery stub of one node.
pub struct DiscoveryStub {
    /// The listed servers.
    pub stubs: Rc<StubServers>,
    /// Index of the watching node.
    pub node: usize,
    /// Address at which the node reaches each server.
    pub addrs: Vec<SocketAddr>,
}

/// The changes that are due for the node by now.
struct DueChanges {
    /// Number of due changes.
    count: usize,
    /// Time until the next change is due; `None` if no further change is known.
    until_next: Option<Span>,
}

/// The availability of one server in the endpoint list.
struct ServerAvailability {
    server: usize,
    /// The list shows the server as draining or no longer names it.
    unavailable: bool,
}

/// An event of a watch.
struct WatchEvent {
    json: serde_json::Value,
    /// Availability of the servers that the event reports.
    servers: Vec<ServerAvailability>,
}

/// An open watch.
struct Watch {
    connection: Connection,
    /// Number of bytes written to the connection so far.
    written: u64,
}

impl Watch {
    /// Writes a line as one HTTP chunk.
    async fn write_line(&mut self, text: &str) -> io::Result<()> {
        let chunk = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
        self.connection.stream.write_all(chunk.as_bytes()).await?;
        self.written += chunk.len() as u64;
        Ok(())
    }

    /// Whether the node has closed the connection; it sends nothing after its request.
    async fn is_closed(&mut self) -> bool {
        let mut byte = [0; 1];
        let read = timeout(Duration::ZERO, self.connection.stream.read(&mut byte)).await;
        matches!(read, Ok(Ok(0)))
    }
}

impl DiscoveryStub {
    fn due_changes(&self) -> DueChanges {
        let now = self.stubs.monitor.now();
        let changes = self.stubs.list_changes.borrow();
        let mut due = Time(0);
        for (index, change) in changes.iter().enumerate() {
            due = due.max(change.at + self.delay_of(index));
            if due > now {
                return DueChanges {
                    count: index,
                    until_next: Some(due - now),
                };
            }
        }
        DueChanges {
            count: changes.len(),
            until_next: None,
        }
    }

    fn delay_of(&self, change_index: usize) -> Span {
        let scenario = &self.stubs.scenario;
        let [from, to] = scenario.network.endpoint_list_delay_ms;
        let seed = scenario.seed ^ (self.node as u64) << 20 ^ (change_index as u64) << 40;
        Span::from_ms(from + (to - from) * Pcg::new(seed).unit())
    }

    /// Serves one connection of the node.
    pub async fn serve(self: Rc<DiscoveryStub>, mut connection: Connection) {
        let Some(head) = read_head(&mut connection).await else {
            return;
        };
        let index = head.split("index=").nth(1).and_then(|text| {
            text.split(|c: char| !c.is_ascii_digit())
                .next()?
                .parse::<usize>()
                .ok()
        });
        let _ = self.watch(connection, index.unwrap_or(0)).await;
    }

    async fn watch(
        self: &Rc<DiscoveryStub>,
        connection: Connection,
        index: usize,
    ) -> io::Result<()> {
        let mut watch = Watch {
            connection,
            written: RESPONSE_HEAD.len() as u64,
        };
        watch.connection.stream.write_all(RESPONSE_HEAD).await?;
        let mut sent = self.due_changes().count;
        let first = self.first_event(index, sent);
        self.send(&mut watch, first).await?;
        // The heartbeat is timed from the last write: changes that are not due yet wake the loop,
        // but do not postpone it.
        let mut last_write = Instant::now();
        loop {
            let changed = self.stubs.list_changed.notified();
            let due = self.due_changes();
            if due.count > sent {
                let event = self.changes_event(sent, due.count);
                sent = due.count;
                self.send(&mut watch, event).await?;
                last_write = Instant::now();
                continue;
            }
            let heartbeat = last_write + HEARTBEAT_INTERVAL;
            let wake = match due.until_next {
                Some(span) => heartbeat.min(Instant::now() + at_least_min_delay(span)),
                None => heartbeat,
            };
            tokio::select! {
                () = changed => {}
                () = sleep_until(wake) => {}
            }
            if Instant::now() >= heartbeat {
                watch.write_line("").await?;
                last_write = Instant::now();
                if watch.is_closed().await {
                    return Ok(());
                }
            }
        }
    }

    /// Writes an event. The node counts as notified once all bytes of the event have reached it.
    async fn send(
        self: &Rc<DiscoveryStub>,
        watch: &mut Watch,
        event: WatchEvent,
    ) -> io::Result<()> {
        watch.write_line(&event.json.to_string()).await?;
        let discovery = self.clone();
        let delivered = watch.connection.delivered.clone();
        let written = watch.written;
        spawn_local(async move {
            delivered.wait_for(written).await;
            let monitor = &discovery.stubs.monitor;
            for ServerAvailability {
                server,
                unavailable,
            } in event.servers
            {
                monitor.record_endpoint_state(discovery.node, server, unavailable);
            }
        });
        Ok(())
    }

    /// Returns the changes since the index that the node has requested, or the full list if the
    /// index is out of range.
    fn first_event(&self, index: usize, change_count: usize) -> WatchEvent {
        match (1..=change_count + 1).contains(&index) {
            true => self.changes_event(index - 1, change_count),
            false => self.full_list_event(change_count),
        }
    }

    /// Returns the full list as of the first `change_count` changes.
    fn full_list_event(&self, change_count: usize) -> WatchEvent {
        let json = self
            .stubs
            .endpoint_list_at(change_count, |server| self.addrs[server]);
        let changes = self.stubs.list_changes.borrow();
        let servers = (0..self.stubs.server_count()).map(|server| {
            let last = changes[..change_count]
                .iter()
                .rev()
                .find(|change| change.server == server);
            ServerAvailability {
                server,
                unavailable: last.is_some_and(|last| last.state != ListedState::InService),
            }
        });
        WatchEvent {
            json,
            servers: servers.collect(),
        }
    }

    /// Returns the changes in the index range `from..to`.
    fn changes_event(&self, from: usize, to: usize) -> WatchEvent {
        let changes = &self.stubs.list_changes.borrow()[from..to];
        let entry = |change: &EndpointListChange| {
            self.stubs.endpoint_entry(
                change.server,
                self.addrs[change.server],
                change.state,
                change.started_ms,
            )
        };
        let entries: Vec<_> = changes.iter().map(entry).collect();
        let servers = changes.iter().map(|change| ServerAvailability {
            server: change.server,
            unavailable: change.state != ListedState::InService,
        });
        WatchEvent {
            json: serde_json::json!({"version": to + 1, "full": false, "servers": entries}),
            servers: servers.collect(),
        }
    }
}

fn at_least_min_delay(span: Span) -> Duration {
    Duration::from_micros(span.0.max(MIN_DELAY_US) as u64)
}

/// Reads the head of a request; returns `None` if it is too long or the connection ends.
async fn read_head(connection: &mut Connection) -> Option<String> {
    let mut head = Vec::new();
    while !head.windows(4).any(|four| four == b"\r\n\r\n") {
        if head.len() > MAX_HEAD_BYTES {
            return None;
        }
        let read = connection.stream.read_buf(&mut head).await;
        if !matches!(read, Ok(1..)) {
            return None;
        }
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}
