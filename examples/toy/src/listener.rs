//! Listening sockets that serve each connection on its own thread.
use std::io::{self, Read};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// Largest number of bytes read at once.
const READ_SIZE_BYTES: usize = 4096;

/// Starts to listen, and calls `handle` on a new thread for each connection.
pub(crate) fn serve(
    addr: &str,
    handle: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<()> {
    let listener =
        TcpListener::bind(addr).map_err(|e| io::Error::new(e.kind(), format!("{addr}: {e}")))?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            // Errors are ignored: the peer reconnects after a broken connection.
            thread::spawn(move || handle(stream).ok());
        }
    });
    Ok(())
}

/// Reads available bytes and appends them to the buffer; returns false at the end of the stream.
pub(crate) fn read_more(stream: &mut impl Read, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut chunk = [0; READ_SIZE_BYTES];
    let count = stream.read(&mut chunk)?;
    buffer.extend_from_slice(&chunk[..count]);
    Ok(count > 0)
}
