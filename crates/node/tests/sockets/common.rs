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

/// Returns a local address whose port was free when this was called.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .expect("a port")
        .local_addr()
        .expect("an address")
}
