//! System calls and their errors as Linux documents them, where the standard library and tokio leave them to the caller.
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;

use quartzhub_policy::{Span, Time};

use crate::clock::{duration, Clock};
use crate::limits::Limits;

/// Most times that a call is made again after a signal interrupted it.
const MAX_INTERRUPTED_CALLS: usize = 1000;

/// Makes a call again that a signal interrupted before it had done anything.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 0..MAX_INTERRUPTED_CALLS {
        match call() {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
    call()
}

/// Whether the other side of a connection has ended its sending, or the connection has broken, as the system has it now:
/// also behind bytes that lie unread.
pub fn peer_has_closed(socket: &impl AsRawFd) -> bool {
    let ended = libc::POLLRDHUP | libc::POLLHUP | libc::POLLERR;
    poll_now(socket, libc::POLLRDHUP) & ended != 0
}

/// Whether there is something to read, or to accept, as the system has it now.
pub fn is_readable(socket: &impl AsRawFd) -> bool {
    poll_now(socket, libc::POLLIN) & libc::POLLIN != 0
}

/// Which of these events, and which errors, the system has for a socket now; none if it can't tell.
#[allow(unsafe_code)]
fn poll_now(socket: &impl AsRawFd, events: libc::c_short) -> libc::c_short {
    let mut polled = libc::pollfd {
        fd: socket.as_raw_fd(),
        events,
        revents: 0,
    };
    let poll = || {
        // SAFETY: the one structure outlives the call, and its descriptor is open, as the socket is borrowed.
        let ready = unsafe { libc::poll(&mut polled, 1, 0) };
        if ready < 0 {
            Err(io::Error::last_os_error())
        } else {
            Ok(ready)
        }
    };
    match retry_interrupted(poll) {
        Ok(_) => polled.revents,
        Err(_) => 0,
    }
}

/// How long ago the last bytes of a connection came, whether they have been read or not; none where the system does not tell.
#[allow(unsafe_code)]
pub fn time_since_last_receive(socket: &impl AsRawFd) -> Option<Span> {
    // SAFETY: the structure is plain numbers, for all of which zero is a value.
    let mut info: libc::tcp_info = unsafe { std::mem::zeroed() };
    let mut size = std::mem::size_of_val(&info) as libc::socklen_t;
    let fd = socket.as_raw_fd();
    let to = std::ptr::from_mut(&mut info).cast();
    // SAFETY: the system writes at most `size` bytes, which the structure has, and both outlive the call.
    let failed =
        unsafe { libc::getsockopt(fd, libc::IPPROTO_TCP, libc::TCP_INFO, to, &mut size) } != 0;
    (!failed).then(|| Span::ms(info.tcpi_last_data_recv.into()))
}

/// Whether a call failed as descriptors or memory ran out, so that the same call is likely to fail again at once.
pub fn is_resource_shortage(e: &io::Error) -> bool {
    matches!(
        e.raw_os_error(),
        Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM)
    )
}

/// Whether an accept failed only for the connection that it would have returned, which has gone: accept(2) names these.
pub fn is_aborted_connection(e: &io::Error) -> bool {
    use libc::*;
    let gone = [
        ECONNABORTED,
        ECONNRESET,
        EHOSTDOWN,
        EHOSTUNREACH,
        EINTR,
        ENETDOWN,
        ENETUNREACH,
        ENONET,
        ENOPROTOOPT,
        EOPNOTSUPP,
        EPERM,
        EPROTO,
        ETIMEDOUT,
    ];
    e.raw_os_error().is_some_and(|error| gone.contains(&error))
}

/// Binds a socket to an address, and retries while the failure may pass. Guards against a node that does not come back
/// because the one before it is still about to end, or because descriptors or buffers run out for a moment.
pub async fn bind_with_retry<T, F: Future<Output = io::Result<T>>>(
    address: SocketAddr,
    clock: Clock,
    limits: &Limits,
    bind: impl Fn() -> F,
) -> io::Result<T> {
    let mut reported = false;
    loop {
        let may_retry = |error: &io::Error| {
            is_transient(error) && clock.now() - Time(0) < limits.listen_retry_limit
        };
        let error = match bind().await {
            Err(error) if may_retry(&error) => error,
            result => return result,
        };
        if !reported {
            report_bind_failure(address, &error);
        }
        reported = true;
        tokio::time::sleep(duration(limits.listen_retry_interval)).await;
    }
}

fn report_bind_failure(address: SocketAddr, error: &io::Error) {
    if error.kind() == io::ErrorKind::AddrInUse {
        tracing::info!(%address, "{address} is in use: retrying");
    } else {
        tracing::warn!(%address, %error, "binding {address} failed, retrying: {error}");
    }
}

fn is_transient(e: &io::Error) -> bool {
    use io::ErrorKind::*;
    matches!(e.kind(), AddrInUse | AddrNotAvailable | Interrupted) || is_resource_shortage(e)
}
