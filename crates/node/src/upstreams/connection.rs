//! One connection to a server, from connect to close.
use std::io;
use std::ops::ControlFlow::{self, Break, Continue};
use std::rc::Rc;

use tokio::net::TcpStream;

use super::streaming::{stream_value, StreamStart};
use super::{ReadResult, Upstream, WriteResult};
use crate::attempt_response::AttemptResponse;
use crate::clock::duration;
use crate::effects::EffectExecutor;
use crate::resp::Parsed;
use crate::system::unsent_bytes;

/// Connects, then reads and writes until the server or the node closes the connection.
pub async fn run(executor: Rc<EffectExecutor>, upstream: Rc<Upstream>) {
    if let Some(stream) = connect(&executor, &upstream).await {
        serve(&executor, &upstream, stream).await;
    }
    upstream.release_memory();
}

/// Connects to the server; `None` if that fails or the upstream is closed meanwhile.
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
            // A failure to set it only adds latency.
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
        executor.report(|reducer, now| reducer.on_local_connect_failure(now, upstream.id));
        executor.close_upstream(upstream.id);
    } else {
        report_broken(executor, upstream);
    }
    None
}

/// Whether a failed connect is the server's fault, not caused by this machine running out of
/// descriptors, ports or memory.
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
                upstream.log_broken_value(error);
                return report_broken(executor, upstream);
            }
            continue;
        }
        let unwritten = upstream.request_unwritten.get();
        let reads = !unwritten && !upstream.awaits_memory();
        let poll_interval = duration(executor.limits.delivery_poll_interval);
        let flow = tokio::select! {
            ready = stream.writable(), if unwritten => match ready {
                Ok(()) => continue_write(executor, upstream),
                Err(_) => Break(()),
            },
            ready = stream.readable(), if reads => match ready {
                Ok(()) => read_response(executor, upstream, stream),
                Err(_) => Break(()),
            },
            () = tokio::time::sleep(poll_interval), if upstream.is_delivering.get() => {
                check_delivery(executor, upstream, stream);
                Continue(())
            }
            () = upstream.end_of_memory_wait(executor) => read_response(executor, upstream, stream),
            () = upstream.end_of_hold(executor) => end_hold(executor, upstream),
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

/// Continues to write a request; breaks if the connection can't be used any more.
fn continue_write(executor: &Rc<EffectExecutor>, upstream: &Upstream) -> ControlFlow<()> {
    match upstream.continue_writing() {
        WriteResult::Complete => executor.report(|reducer, _| reducer.on_written(upstream.id)),
        WriteResult::Buffered => executor.report(|reducer, _| reducer.on_buffered(upstream.id)),
        WriteResult::Partial => {}
        WriteResult::ClientDisconnected => {
            executor.report(|reducer, now| reducer.on_write_skipped(now, upstream.id))
        }
        WriteResult::UnsolicitedBytes | WriteResult::ConnectionBroken => return Break(()),
    }
    Continue(())
}

/// Reports the request as written once the system has sent all of it.
fn check_delivery(executor: &Rc<EffectExecutor>, upstream: &Upstream, stream: &TcpStream) {
    if unsent_bytes(stream) == 0 {
        report_delivered(executor, upstream);
    }
}

fn report_delivered(executor: &Rc<EffectExecutor>, upstream: &Upstream) {
    upstream.is_delivering.set(false);
    upstream.requester.take();
    executor.report(|reducer, _| reducer.on_written(upstream.id));
}

/// Continues to read a response and reports progress; breaks if the connection can't be used any
/// more.
fn read_response(
    executor: &Rc<EffectExecutor>,
    upstream: &Upstream,
    stream: &TcpStream,
) -> ControlFlow<()> {
    // A server that responds has all of the request, or needs no more of it.
    if upstream.is_delivering.get() {
        report_delivered(executor, upstream);
    }
    let Some(max_unread) = upstream.admit_read(executor) else {
        executor.report(|reducer, now| reducer.on_response_paused(now, upstream.id));
        return Continue(());
    };
    let read = upstream.read(stream, max_unread, &executor.limits);
    upstream.last_read_at.set(executor.clock.now());
    // Unsolicited bytes must not be taken for the response to the next attempt.
    if !upstream.awaiting_response.get() && !upstream.buffer.borrow().is_empty() {
        executor.report(|reducer, now| reducer.on_unsolicited_bytes(now, upstream.id));
        return Break(());
    }
    if let Some(flow) = try_streaming(executor, upstream) {
        return flow;
    }
    let response = next_response(executor, upstream, read == ReadResult::EndOfStream);
    if response == Parsed::Incomplete {
        upstream.reserve_received_bytes();
    } else {
        // The response counts as one that is not written yet from now on.
        upstream.release_memory();
    }
    let open = read == ReadResult::Open;
    report_response(executor, upstream, response, open);
    if open {
        Continue(())
    } else {
        Break(())
    }
}

/// Starts to stream a large value if one is being received, or fails if it is malformed. If the server
/// has already closed its side, the next read returns that again.
fn try_streaming(executor: &Rc<EffectExecutor>, upstream: &Upstream) -> Option<ControlFlow<()>> {
    match upstream.start_streaming(executor) {
        StreamStart::NotStreamed => None,
        StreamStart::Started(size) => {
            upstream.reserve_used_bytes();
            executor.report(|reducer, now| reducer.on_streaming_started(now, upstream.id, size));
            Some(Continue(()))
        }
        StreamStart::Malformed => {
            report_response(executor, upstream, Parsed::Malformed, false);
            Some(Break(()))
        }
    }
}

/// Streams a value that has been held for its longest time, if its server still writes it.
fn end_hold(executor: &Rc<EffectExecutor>, upstream: &Upstream) -> ControlFlow<()> {
    if upstream.end_hold(executor) {
        try_streaming(executor, upstream).unwrap_or(Continue(()))
    } else {
        Continue(())
    }
}

/// Parses the response from the received bytes; `at_eof` means that no more will arrive.
fn next_response(
    executor: &Rc<EffectExecutor>,
    upstream: &Upstream,
    at_eof: bool,
) -> Parsed<AttemptResponse> {
    match upstream.read_unsized_body(at_eof, &executor.limits) {
        // The head of a large value may arrive without any of its bytes; it is not malformed.
        Parsed::Incomplete if !at_eof && upstream.large_value(&executor.limits).is_some() => {
            Parsed::Incomplete
        }
        Parsed::Incomplete if upstream.unsized_body.borrow().is_some() => Parsed::Incomplete,
        Parsed::Incomplete => upstream.parse_response(at_eof, &executor.limits),
        response => response,
    }
}

fn report_response(
    executor: &Rc<EffectExecutor>,
    upstream: &Upstream,
    response: Parsed<AttemptResponse>,
    open: bool,
) {
    match response {
        Parsed::Complete(mut response, _) => {
            // An upstream that the server closed after its response can't carry another attempt.
            response.reusable &= open;
            executor.report(|reducer, now| reducer.on_response(now, upstream.id, response));
        }
        Parsed::Incomplete => {
            let has_started =
                !upstream.buffer.borrow().is_empty() || upstream.unsized_body.borrow().is_some();
            if has_started {
                executor.report(|reducer, now| reducer.on_partial_response(now, upstream.id));
            }
        }
        Parsed::Malformed => {
            executor.report(|reducer, now| reducer.on_malformed_bytes(now, upstream.id));
        }
    }
}
