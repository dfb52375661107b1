//! One connection to a server from its connect to its end.
use std::io;
use std::ops::ControlFlow::{self, Break, Continue};
use std::rc::Rc;

use tokio::net::TcpStream;

use super::streaming::stream_value;
use super::{ReadResult, Upstream, WriteResult};
use crate::attempt_response::AttemptResponse;
use crate::clock::duration;
use crate::effects::EffectExecutor;
use crate::resp::Parsed;

/// Connects, then reads and writes until the connection ends or is closed.
pub async fn run(executor: Rc<EffectExecutor>, upstream: Rc<Upstream>) {
    if let Some(stream) = connect(&executor, &upstream).await {
        serve(&executor, &upstream, stream).await;
    }
    upstream.reserve(&executor, 0);
}

/// The connection, unless it failed or the upstream was closed meanwhile.
async fn connect<'a>(
    executor: &Rc<EffectExecutor>,
    upstream: &'a Upstream,
) -> Option<&'a TcpStream> {
    let address = upstream.address;
    let connect_timeout = executor.query(|reducer| reducer.limits().connect_timeout);
    let connect = tokio::time::timeout(duration(connect_timeout), TcpStream::connect(address));
    let connected = tokio::select! {
        connected = connect => connected,
        () = upstream.wake.notified() => return None,
    };
    let failure = match connected {
        Ok(Ok(stream)) if !upstream.closed.get() => {
            // Without it a response may come later; nothing else hangs on it.
            let _ = stream.set_nodelay(true);
            let _ = upstream.stream.set(stream);
            executor.report(|reducer, now| reducer.on_connected(now, upstream.id));
            return upstream.stream.get();
        }
        Ok(Err(error)) => Some(error),
        _ => None,
    };
    if let Some(error) = &failure {
        tracing::warn!(server = %address, %error, "connecting to {address} failed: {error}");
    }
    if failure.is_some_and(|error| !is_server_fault(&error)) {
        executor.report(|reducer, now| reducer.on_connect_failed(now, upstream.id));
        executor.close_upstream(upstream.id);
    } else {
        report_broken(executor, upstream);
    }
    None
}

/// Whether a connect that failed tells of the server, and not of this machine's want of descriptors, ports or
/// memory.
fn is_server_fault(e: &io::Error) -> bool {
    use io::ErrorKind::*;
    matches!(
        e.kind(),
        ConnectionRefused
            | ConnectionReset
            | ConnectionAborted
            | TimedOut
            | HostUnreachable
            | NetworkUnreachable
    )
}

async fn serve(executor: &Rc<EffectExecutor>, upstream: &Upstream, stream: &TcpStream) {
    while !upstream.closed.get() {
        if upstream.streaming.get() {
            if let Err(error) = stream_value(executor, upstream, stream).await {
                tracing::warn!(server = %upstream.address, "{error}");
                return report_broken(executor, upstream);
            }
            continue;
        }
        let unwritten = upstream.request_unwritten.get();
        let flow = tokio::select! {
            ready = stream.writable(), if unwritten => match ready {
                Ok(()) => continue_write(executor, upstream),
                Err(_) => Break(()),
            },
            ready = stream.readable(), if !unwritten => match ready {
                Ok(()) => read_response(executor, upstream, stream),
                Err(_) => Break(()),
            },
            () = upstream.wake.notified() => Continue(()),
        };
        if flow.is_break() {
            return report_broken(executor, upstream);
        }
    }
}

fn report_broken(executor: &Rc<EffectExecutor>, upstream: &Upstream) {
    executor.report(|reducer, now| reducer.on_connection_broken(now, upstream.id));
    executor.close_upstream(upstream.id);
}

/// Writes on in a request; breaks if the connection is of no further use.
fn continue_write(executor: &Rc<EffectExecutor>, upstream: &Upstream) -> ControlFlow<()> {
    match upstream.continue_writing() {
        WriteResult::Complete => executor.report(|reducer, _| reducer.on_written(upstream.id)),
        WriteResult::Partial => {}
        WriteResult::ClientDisconnected => {
            executor.report(|reducer, now| reducer.on_write_skipped(now, upstream.id))
        }
        WriteResult::ConnectionBroken => return Break(()),
    }
    Continue(())
}

/// Reads on in a response and reports what has come of it; breaks if the connection is of no further use.
fn read_response(
    executor: &Rc<EffectExecutor>,
    upstream: &Upstream,
    stream: &TcpStream,
) -> ControlFlow<()> {
    let read = upstream.read(stream, &executor.limits);
    // Guards against what comes unasked being taken for the response to the next attempt.
    if !upstream.awaiting_response.get() && !upstream.buffer.borrow().is_empty() {
        return Break(());
    }
    let streamed_size = upstream.start_streaming(executor);
    let buffered_bytes = upstream.buffer.borrow().capacity();
    if upstream.buffers_whole_value.get() && !upstream.reserve(executor, buffered_bytes) {
        let address = upstream.address;
        tracing::warn!(server = %address, "no memory to buffer a response of {address}");
        executor.report(|reducer, now| reducer.on_malformed_bytes(now, upstream.id));
        return Break(());
    }
    if let Some(size) = streamed_size {
        executor.report(|reducer, now| reducer.on_streaming_started(now, upstream.id, size));
        // An end that has come already is met again by the next read.
        return Continue(());
    }
    let response = next_response(executor, upstream, read == ReadResult::Ended);
    let open = read == ReadResult::Open;
    report_response(executor, upstream, response, open);
    if open {
        Continue(())
    } else {
        Break(())
    }
}

/// The response, once it is complete; `ended`: no more will come.
fn next_response(
    executor: &Rc<EffectExecutor>,
    upstream: &Upstream,
    ended: bool,
) -> Parsed<AttemptResponse> {
    match upstream.read_unsized_body(executor, ended) {
        // Guards against taking for malformed what only announces a large value: its head may come by itself.
        Parsed::Incomplete if !ended && upstream.large_value(&executor.limits).is_some() => {
            Parsed::Incomplete
        }
        Parsed::Incomplete if upstream.unsized_body.borrow().is_some() => Parsed::Incomplete,
        Parsed::Incomplete => upstream.parse_response(ended, &executor.limits),
        response => {
            upstream.reserve(executor, 0);
            response
        }
    }
}

fn report_response(
    executor: &Rc<EffectExecutor>,
    upstream: &Upstream,
    response: Parsed<AttemptResponse>,
    open: bool,
) {
    match response {
        Parsed::Complete(mut answer, _) => {
            // Guards against a next attempt on an upstream that the server has closed behind its response.
            answer.reusable &= open;
            executor.report(|reducer, now| reducer.on_response(now, upstream.id, answer));
        }
        Parsed::Incomplete => {
            let begun =
                !upstream.buffer.borrow().is_empty() || upstream.unsized_body.borrow().is_some();
            if begun {
                executor.report(|reducer, now| reducer.on_partial_response(now, upstream.id));
            }
        }
        Parsed::Malformed => {
            let address = upstream.address;
            tracing::warn!(server = %address, "malformed response from {address}");
            executor.report(|reducer, now| reducer.on_malformed_bytes(now, upstream.id));
        }
    }
}
