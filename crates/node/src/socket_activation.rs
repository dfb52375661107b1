//! Socket activation: the platform keeps a listening socket open and passes it to each process, so
//! that no connection is refused while one process replaces another.
use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

use socket2::{SockRef, Type};

/// Highest descriptor of the standard streams.
const LAST_STANDARD_STREAM: RawFd = 2;

/// Takes ownership of an inherited descriptor, which must be a listening socket. Must be called at
/// most once, before the process opens any other descriptor.
pub fn listener(descriptor: RawFd) -> io::Result<TcpListener> {
    let owned = take_ownership(descriptor)?;
    let socket = SockRef::from(&owned);
    // Another program may have left something else open under this number.
    let socket_type = socket
        .r#type()
        .map_err(|_| invalid(descriptor, " is not a socket"))?;
    if socket_type != Type::STREAM {
        return Err(invalid(descriptor, " is not a stream socket"));
    }
    if !socket.is_listener()? {
        return Err(invalid(descriptor, " is not listening"));
    }
    let listener = TcpListener::from(owned);
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Turns a number into a descriptor that this process owns. This is the only place that does so.
#[allow(unsafe_code)]
fn take_ownership(descriptor: RawFd) -> io::Result<OwnedFd> {
    // Rejects a number under which nothing is open, and the standard streams.
    let is_open = std::fs::symlink_metadata(format!("/proc/self/fd/{descriptor}")).is_ok();
    if descriptor <= LAST_STANDARD_STREAM || !is_open {
        return Err(invalid(descriptor, " is not open"));
    }
    // SAFETY: the descriptor is open, as checked above, and nothing else in this process owns it:
    // it was inherited, and `run` calls this once, before it opens a socket or file.
    Ok(unsafe { OwnedFd::from_raw_fd(descriptor) })
}

fn invalid(descriptor: RawFd, reason: &str) -> io::Error {
    io::Error::new(
        io::ErrorKind::InvalidInput,
        format!("descriptor {descriptor}{reason}"),
    )
}
