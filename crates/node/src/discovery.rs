//! Follows discovery: a watch that stands always.
use std::net::SocketAddr;
use std::rc::Rc;

use quartzhub_policy::Pcg;
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

/// What is silent, ends or can't be read is watched again after a jittered wait; meanwhile what is known stands.
async fn keep_watching(hub: Rc<Hub>, from: SocketAddr, mut version: u64, seed: u64, heard: Rc<Notify>) {
    let mut wait = hub.limits.watch_first;
    let mut chance = Pcg::new(seed);
    loop {
        let before = version;
        let what = one_watch(&hub, from, &mut version, &heard).await;
        tracing::warn!(%from, "discovery: {what}");
        wait = if version == before {
            wait.times(2.0).min(hub.limits.watch_longest)
        } else {
            hub.limits.watch_first
        };
        // Guards against all nodes asking in step.
        let part = 0.5 + chance.unit();
        tokio::time::sleep(duration(wait.times(part))).await;
    }
}

type Fault = &'static str;

async fn ask(hub: &Hub, from: SocketAddr, path: &str) -> Result<TcpStream, Fault> {
    let silence = duration(hub.limits.watch_silence);
    let connect = timeout(duration(hub.limits.connect), TcpStream::connect(from)).await;
    let mut stream = connect.map_err(|_| "no connection in time")?.map_err(|_| "no connection")?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {from}\r\nAccept: application/json\r\n\r\n");
    let written = timeout(silence, stream.write_all(request.as_bytes())).await;
    written.map_err(|_| "not asked in time")?.map_err(|_| "not asked")?;
    Ok(stream)
}

/// Reads on; false at the end.
async fn more(hub: &Hub, stream: &TcpStream, buffer: &mut Buffer) -> Result<bool, Fault> {
    loop {
        let ready = timeout(duration(hub.limits.watch_silence), stream.readable()).await;
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

/// One watch, until it ends; tells why it did.
async fn one_watch(hub: &Rc<Hub>, from: SocketAddr, version: &mut u64, heard: &Notify) -> Fault {
    match lines(hub, from, version, heard).await {
        Ok(()) => "the watch ended",
        Err(what) => what,
    }
}

async fn lines(hub: &Rc<Hub>, from: SocketAddr, version: &mut u64, heard: &Notify) -> Result<(), Fault> {
    let stream = ask(hub, from, &format!("/api/targets?stream=1&index={version}")).await?;
    // What has come, and of that what stands between the chunks' marks.
    let (mut buffer, mut text) = (Buffer::default(), Buffer::default());
    let mut body = None;
    loop {
        let goes_on = more(hub, &stream, &mut buffer).await?;
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
