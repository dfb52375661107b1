//! Discovery: sends the full endpoint list, and heartbeats after it if the request is a watch.
use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::http::RequestHead;
use crate::{CACHES, ORIGIN};

/// Interval between two heartbeats of a watch.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Serves one connection from a node: a watch, or a single response with the list.
pub(crate) fn serve(stream: TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream);
    let Some(head) = RequestHead::read(&mut reader)? else {
        return Ok(());
    };
    println!("discovery: {}", head.request_line);
    let list = endpoint_list();
    let mut stream = reader.into_inner();
    if !head.request_line.contains("stream=1") {
        return write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
            list.len()
        );
    }
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    )?;
    write!(stream, "{:x}\r\n{list}\n\r\n", list.len() + 1)?;
    loop {
        thread::sleep(HEARTBEAT_INTERVAL);
        write!(stream, "1\r\n\n\r\n")?;
    }
}

/// Returns the full endpoint list as JSON.
fn endpoint_list() -> String {
    let entry = |id: String, addr: &str, kind: &str| {
        format!(
            r#"{{"id":"{id}","addr":"{addr}","zone":"store","kind":"{kind}","state":"in_service"}}"#
        )
    };
    let caches = CACHES
        .iter()
        .enumerate()
        .map(|(index, addr)| entry(format!("box-{}", index + 1), addr, "box"));
    let entries: Vec<_> = caches
        .chain([entry("vault".to_owned(), ORIGIN, "origin")])
        .collect();
    format!(
        r#"{{"version":1,"full":true,"servers":[{}]}}"#,
        entries.join(",")
    )
}
