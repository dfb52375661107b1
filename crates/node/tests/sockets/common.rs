//! The test harness. Servers are threads that report each message they read and act as the test
//! tells them. Tests wait for events rather than for fixed times.
pub use std::io::{BufRead, BufReader, Read, Write};
pub use std::net::{SocketAddr, TcpListener, TcpStream};
pub use std::process::{Child, Command, Stdio};
pub use std::sync::mpsc::{channel, Receiver, Sender};
pub use std::sync::{Arc, Mutex};
pub use std::time::{Duration, Instant};

pub use quartzhub_node::{serve, Config, Environment};
pub use quartzhub_policy::Span;

pub use super::stub_servers::*;

// Explicit paths, as the soak test includes this module from another folder.
#[path = "common/admin.rs"]
mod admin;
#[path = "common/client.rs"]
mod client;
#[path = "common/discovery.rs"]
mod discovery;
#[path = "common/node.rs"]
mod node;
#[path = "common/setup.rs"]
mod setup;

pub use admin::*;
pub use client::*;
pub use discovery::*;
pub use node::*;
pub use setup::*;

/// Longest time that any event may take, also on a slow machine.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the next report of a server, or `nothing` after `EVENT_TIMEOUT`.
pub fn next_report(reports: &Receiver<String>) -> String {
    reports
        .recv_timeout(EVENT_TIMEOUT)
        .unwrap_or_else(|_| "nothing".to_owned())
}

/// Ports that the system does not give to sockets without a port of their own: no other test's
/// socket can take one before the node listens on it.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// Returns a local address whose port was free when this was called, and is not returned again by
/// this process.
pub fn free_address() -> SocketAddr {
    use std::sync::atomic::{AtomicU32, Ordering};
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let port_count = u32::from(PORTS.end - PORTS.start);
    // Processes that run at the same time begin at different ports.
    let first = std::process::id().wrapping_mul(1_009);
    loop {
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        assert!(count < port_count, "no port is free");
        let offset = first.wrapping_add(count) % port_count;
        let address = SocketAddr::from(([127, 0, 0, 1], PORTS.start + offset as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
