//! System calls and error codes of Linux that the standard library and tokio leave to the caller.
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;

use quartzhub_policy::{Span, Time};

use crate::clock::{duration, Clock};
use crate::limits::Limits;

/// Most repetitions of a system call that a signal interrupts.
const MAX_INTERRUPTED_CALLS: usize = 1000;

/// Makes a system call, and repeats it while a signal interrupts it before it has done anything.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 0..MAX_INTERRUPTED_CALLS {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
    call()
}

/// Whether the peer of a connection has shut down its sending side, or the connection has failed.
/// Asks the system, so the result is correct even while received bytes are unread.
pub fn peer_has_closed(socket: &impl AsRawFd) -> bool {
    let closed_events = libc::POLLRDHUP | libc::POLLHUP | libc::POLLERR;
    poll_now(socket, libc::POLLRDHUP) & closed_events != 0
}

/// Whether a socket has something to read or to accept. Asks the system instead of relying on the
/// runtime's events.
pub fn is_readable(socket: &impl AsRawFd) -> bool {
    poll_now(socket, libc::POLLIN) & libc::POLLIN != 0
}

/// Polls a socket without waiting. Returns the events that are ready, including error events, or 0
/// if the call fails.
#[allow(unsafe_code)]
fn poll_now(socket: &impl AsRawFd, events: libc::c_short) -> libc::c_short {
    let mut polled = libc::pollfd {
        fd: socket.as_raw_fd(),
        events,
        revents: 0,
    };
    let poll = || {
        // SAFETY: the single `pollfd` outlives the call, and its descriptor is open, as the socket
        // is borrowed.
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

/// Returns how long ago the last bytes of a connection were received, whether or not they have been
/// read, or `None` if the system does not report it.
#[allow(unsafe_code)]
pub fn time_since_last_receive(socket: &impl AsRawFd) -> Option<Span> {
    // SAFETY: the structure consists of integers, for all of which zero is a valid value.
    let mut info: libc::tcp_info = unsafe { std::mem::zeroed() };
    let mut size = std::mem::size_of_val(&info) as libc::socklen_t;
    let fd = socket.as_raw_fd();
    let info_pointer = std::ptr::from_mut(&mut info).cast();
    // SAFETY: the system writes at most `size` bytes, the size of the structure, and both outlive
    // the call.
    let failed = unsafe {
        libc::getsockopt(
            fd,
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info_pointer,
            &mut size,
        )
    } != 0;
    (!failed).then(|| Span::ms(info.tcpi_last_data_recv.into()))
}

/// Returns how many bytes written to a connection the system has not sent yet, as its peer has no
/// room for them, or 0 if the system does not report it.
#[allow(unsafe_code)]
pub fn unsent_bytes(socket: &impl AsRawFd) -> usize {
    let mut count: libc::c_int = 0;
    // SAFETY: the system writes one integer, which outlives the call.
    let failed = unsafe { libc::ioctl(socket.as_raw_fd(), libc::SIOCOUTQNSD, &mut count) } != 0;
    if failed {
        0
    } else {
        usize::try_from(count).unwrap_or(0)
    }
}

/// Returns the time of the system's monotonic clock in milliseconds, which is the same for all processes.
#[allow(unsafe_code)]
pub fn monotonic_ms() -> u64 {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the system writes the structure, which outlives the call.
    unsafe { libc::clock_gettime(libc::CLOCK_MONOTONIC, &mut time) };
    const MS_PER_S: u64 = 1_000;
    const NS_PER_MS: u64 = 1_000_000;
    time.tv_sec as u64 * MS_PER_S + time.tv_nsec as u64 / NS_PER_MS
}

/// Resets a connection at once: what the system has not sent of it is discarded. Returns whether the
/// system has done so.
#[allow(unsafe_code)]
pub fn reset_connection(socket: &impl AsRawFd) -> bool {
    // SAFETY: the structure consists of integers, for all of which zero is a valid value.
    let mut address: libc::sockaddr = unsafe { std::mem::zeroed() };
    // A connect to no address ends the connection of a stream socket.
    address.sa_family = libc::AF_UNSPEC as libc::sa_family_t;
    let size = std::mem::size_of_val(&address) as libc::socklen_t;
    // SAFETY: the system reads `size` bytes of the structure, which outlives the call.
    unsafe { libc::connect(socket.as_raw_fd(), &address, size) == 0 }
}

/// Whether a system call failed because descriptors or memory ran out, so that an immediate retry
/// is likely to fail too.
pub fn is_resource_shortage(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error(),
        Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM)
    )
}

/// Whether an accept failed only because the connection that it would have returned was aborted.
/// accept(2) lists these errors.
pub fn is_aborted_connection(error: &io::Error) -> bool {
    use libc::*;
    let aborted = [
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
    error
        .raw_os_error()
        .is_some_and(|code| aborted.contains(&code))
}

/// Binds a socket to an address, and retries after transient failures until `listen_retry_timeout`
/// after the start of the process. Otherwise a node would not restart if the previous process is
/// still exiting, or if descriptors or buffers run out for a moment.
pub async fn bind_with_retry<T, F: Future<Output = io::Result<T>>>(
    address: SocketAddr,
    clock: Clock,
    limits: &Limits,
    bind: impl Fn() -> F,
) -> io::Result<T> {
    let mut failure_logged = false;
    loop {
        let may_retry = |error: &io::Error| {
            is_transient(error) && clock.now() - Time(0) < limits.listen_retry_timeout
        };
        let error = match bind().await {
            Err(error) if may_retry(&error) => error,
            result => return result,
        };
        if !failure_logged {
            log_bind_failure(address, &error);
        }
        failure_logged = true;
        tokio::time::sleep(duration(limits.listen_retry_interval)).await;
    }
}

fn log_bind_failure(address: SocketAddr, error: &io::Error) {
    if error.kind() == io::ErrorKind::AddrInUse {
        tracing::info!(%address, "{address} is in use: retrying");
    } else {
        tracing::warn!(%address, %error, "binding {address} failed, retrying: {error}");
    }
}

fn is_transient(error: &io::Error) -> bool {
    use io::ErrorKind::*;
    matches!(error.kind(), AddrInUse | AddrNotAvailable | Interrupted)
        || is_resource_shortage(error)
}
