//! Follows discovery: a watch that stands always.
use std::net::SocketAddr;
use std::rc::Rc;

use quartzhub_policy::{Pcg, Span};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::timeout;

use crate::buffer::Buffer;
use crate::clock::duration;
use crate::config::News;
use crate::effects::Hub;
use crate::http::{self, Body};
use crate::limits::Limits;
use crate::resp::Parsed;

type Named = watch::Receiver<Option<SocketAddr>>;

/// Follows the discovery that is named, for ever, and moves when another is. Guards against a time without news:
/// what is known stands, and the watch before goes on until the new one has told its list.
pub async fn follow(hub: Rc<Hub>, mut named: Named, mut version: u64, seed: u64) {
    let mut standing: Option<JoinHandle<()>> = None;
    loop {
        let from = *named.borrow_and_update();
        if let Some(from) = from {
            let heard = Rc::new(Notify::new());
            let next = spawn_local(keep_watching(hub.clone(), from, version, seed, heard.clone()));
            // Another discovery may count its versions in another way.
            version = 0;
            let moved = tokio::select! {
                () = heard.notified() => false,
                _ = named.changed() => true,
            };
            if moved && standing.is_some() {
                next.abort();
                continue;
            }
            if let Some(before) = standing.replace(next) {
                tracing::info!("discovery: moved to {from}");
                before.abort();
            }
            if moved {
                continue;
            }
        }
        if named.changed().await.is_err() {
            return;
        }
    }
}

/// How long a watch is borne that says nothing, and the wait before the next.
struct Pace {
    limits: Limits,
    /// Watches in a row that said nothing at all.
    silent: u32,
    wait: Span,
}

impl Pace {
    fn new(limits: &Limits) -> Pace {
        Pace { limits: limits.clone(), silent: 0, wait: limits.watch_first }
    }

    /// Guards against two silences in a row that together outlast the time after which all counts as told; and, as it
    /// grows, against asking a slow discovery ever again.
    fn opening(&self) -> Span {
        self.limits.watch_open.times(f64::from(1u32 << self.silent.min(4))).min(self.limits.watch_silence)
    }

    /// A watch ended. Guards against all nodes asking in step.
    fn ended(&mut self, said: bool, news: bool, chance: &mut Pcg) -> Span {
        self.silent = if said { 0 } else { self.silent + 1 };
        self.wait =
            if news { self.limits.watch_first } else { self.wait.times(2.0).min(self.limits.watch_longest) };
        self.wait.times(0.5 + chance.unit())
    }
}

/// What is silent, ends or can't be read is watched again after a jittered wait; meanwhile what is known stands.
async fn keep_watching(hub: Rc<Hub>, from: SocketAddr, mut version: u64, seed: u64, heard: Rc<Notify>) {
    let mut pace = Pace::new(&hub.limits);
    let mut chance = Pcg::new(seed);
    loop {
        let (before, mut said) = (version, false);
        let what = match lines(&hub, from, pace.opening(), &mut said, &mut version, &heard).await {
            Ok(()) => "the watch ended",
            Err(what) => what,
        };
        tracing::warn!(%from, "discovery: {what}");
        tokio::time::sleep(duration(pace.ended(said, version != before, &mut chance))).await;
    }
}

type Fault = &'static str;

async fn ask(hub: &Hub, from: SocketAddr, silence: Span, path: &str) -> Result<TcpStream, Fault> {
    let connect = timeout(duration(hub.limits.connect.min(silence)), TcpStream::connect(from)).await;
    let mut stream = connect.map_err(|_| "no connection in time")?.map_err(|_| "no connection")?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {from}\r\nAccept: application/json\r\n\r\n");
    let written = timeout(duration(silence), stream.write_all(request.as_bytes())).await;
    written.map_err(|_| "not asked in time")?.map_err(|_| "not asked")?;
    Ok(stream)
}

/// Reads on; false at the end.
async fn more(hub: &Hub, stream: &TcpStream, silence: Span, buffer: &mut Buffer) -> Result<bool, Fault> {
    loop {
        let ready = timeout(duration(silence), stream.readable()).await;
        ready.map_err(|_| "silent")?.map_err(|_| "broken")?;
        // Guards against a head, a chunk's mark or a body without end.
        if buffer.filled().len() > hub.limits.list_line + hub.limits.http_head {
            return Err("more than fits");
        }
        match buffer.read(stream, hub.limits.read) {
            Ok(count) => return Ok(count > 0),
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return Err("broken"),
        }
    }
}

/// One watch, until it ends. `said`: whether anything came on it.
async fn lines(
    hub: &Rc<Hub>,
    from: SocketAddr,
    opening: Span,
    said: &mut bool,
    version: &mut u64,
    heard: &Notify,
) -> Result<(), Fault> {
    let stream = ask(hub, from, opening, &format!("/api/targets?stream=1&index={version}")).await?;
    // What has come, and of that what stands between the chunks' marks.
    let (mut buffer, mut text) = (Buffer::default(), Buffer::default());
    let mut body = None;
    loop {
        let silence = if *said { hub.limits.watch_silence } else { opening };
        let goes_on = more(hub, &stream, silence, &mut buffer).await?;
        *said = true;
        if body.is_none() {
            body = match http::head(buffer.filled(), &hub.limits) {
                Parsed::Whole(head, used) if head.status == 200 => {
                    buffer.consume(used);
                    Some(head.body)
                }
                Parsed::Part if buffer.filled().len() <= hub.limits.http_head => None,
                _ => return Err("no watch"),
            };
        }
        let mut ended = !goes_on;
        match body {
            Some(Body::Chunked) => loop {
                match http::chunk(buffer.filled(), hub.limits.list_line, &hub.limits) {
                    Parsed::Whole(part, used) => {
                        ended |= part.is_empty();
                        text.put(part);
                        buffer.consume(used);
                        if ended {
                            break;
                        }
                    }
                    Parsed::Part => break,
                    Parsed::Broken => return Err("chunks that can't be read"),
                }
            },
            Some(_) => {
                text.put(buffer.filled());
                buffer.clear();
            }
            None => {}
        }
        while let Some(end) = text.filled().iter().position(|b| *b == b'\n') {
            let line = text.filled()[..end].trim_ascii();
            if !line.is_empty() {
                // A line that can't be read may have held a change: all is asked for again.
                let news: News = serde_json::from_slice(line).map_err(|_| {
                    *version = 0;
                    "news that can't be read"
                })?;
                *version = news.version;
                tell(hub, &news);
                heard.notify_one();
            }
            text.consume(end + 1);
        }
        if text.filled().len() > hub.limits.list_line {
            return Err("a line without end");
        }
        if ended {
            return Ok(());
        }
    }
}

fn tell(hub: &Rc<Hub>, news: &News) {
    let clock = hub.clock;
    hub.tell(|reducer, now| reducer.list(now, news, true, |unix| clock.started(unix)));
    hub.news.notify_one();
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What a watch that falls silent missed counts as told 6 s later, and 4 s after SIGHUP what a new discovery holds,
    /// whether or not it came: so another watch is asked for in time, also where one or two in a row say nothing.
    #[test]
    fn silences_in_a_row_are_over_before_all_counts_as_told() {
        let limits = Limits::default();
        for seed in 0..200 {
            let mut chance = Pcg::new(seed);
            // One that stood falls silent; the next says nothing; when is the one behind it asked for?
            let mut pace = Pace::new(&limits);
            let stood = limits.watch_silence + pace.ended(true, true, &mut chance);
            let next = stood + pace.opening() + pace.ended(false, false, &mut chance);
            assert!(next < Span::ms(5_000), "asked after {next:?}");
            // A discovery just named: two in a row say nothing.
            let mut pace = Pace::new(&limits);
            let first = pace.opening() + pace.ended(false, false, &mut chance);
            let second = first + pace.opening() + pace.ended(false, false, &mut chance);
            assert!(second < Span::ms(3_500), "asked after {second:?}");
            // One that never speaks is asked ever less often.
            for _ in 0..10 {
                pace.ended(false, false, &mut chance);
            }
            assert_eq!(pace.opening(), limits.watch_silence);
        }
    }
}
