//! The origin: it stores written values, and fills the caches that missed.
use std::io::{self, BufReader, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::http::RequestHead;
use crate::state::SharedState;

/// Delay of each response.
const RESPONSE_DELAY: Duration = Duration::from_millis(40);
/// Longest accepted request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Serves one connection from a node.
pub(crate) fn serve(stream: TcpStream, state: &SharedState) -> io::Result<()> {
    let mut reader = BufReader::new(stream);
    while let Some(head) = RequestHead::read(&mut reader)? {
        let body_size: usize = head.field("Content-Length").parse().unwrap_or(0);
        let mut body = vec![0; body_size.min(MAX_BODY_BYTES)];
        reader.read_exact(&mut body)?;
        thread::sleep(RESPONSE_DELAY);
        let mut parts = head.request_line.split(' ');
        let method = parts.next().unwrap_or("");
        let key = parts.next().unwrap_or("").trim_start_matches('/');
        println!("origin: {method} {key}");
        let response_body = match method {
            "PUT" => put(key, body, state),
            _ => get(key, head.field("X-Correlation-Id"), state),
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
            response_body.len()
        );
        reader
            .get_mut()
            .write_all(&[head.into_bytes(), response_body].concat())?;
    }
    Ok(())
}

/// Stores a value and removes its key from all caches.
fn put(key: &str, value: Vec<u8>, state: &SharedState) -> Vec<u8> {
    let mut state = state.lock();
    for cached in &mut state.cached {
        cached.remove(key);
    }
    state.stored.insert(key.to_owned(), value);
    b"stored".to_vec()
}

/// Returns a key's value, and stores it in the caches that missed for the API call.
fn get(key: &str, call_id: &str, state: &SharedState) -> Vec<u8> {
    let mut state = state.lock();
    let value = match state.stored.get(key) {
        Some(value) => value.clone(),
        None => format!("what the origin has under {key}").into_bytes(),
    };
    for cache in state.misses_by_call.remove(call_id).unwrap_or_default() {
        state.cached[cache].insert(key.to_owned(), value.clone());
    }
    value
}
