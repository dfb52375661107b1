//! A TCP proxy between one node and one server. There is a listening socket for each such pair, so
//! that the link between the two can be impaired separately, in each direction.
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{split, DuplexStream};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::link::Link;
use crate::rule_monitor::RuleMonitor;
use crate::stub::SendTimes;

/// Length of the queue of connections that the proxy has not accepted yet.
const BACKLOG: u32 = 1024;
/// Delay before another attempt to listen on an address that is still in use.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Size of the buffer between the link and the stub server, in bytes.
const BUFFER_SIZE: usize = 64 * 1024;
/// Longest wait for the next connection in the queue while a listener is unblocked, until the
/// connection that fills the queue has been taken out.
const UNBLOCK_TIMEOUT: Duration = Duration::from_millis(50);

/// How the proxy treats connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptMode {
    /// Accepts new connections.
    Accept,
    /// Leaves new connections without a reply, as if their packets were lost.
    Ignore,
    /// Refuses new connections and resets open ones.
    Refuse,
}

/// A proxy, with the links to and from the server.
pub struct Proxy {
    addr: SocketAddr,
    to_server: Rc<Link>,
    to_node: Rc<Link>,
    accept_mode: watch::Sender<AcceptMode>,
    /// Number of active faults that reset connections; while it is not 0, connections are refused.
    pub resetting_faults: Cell<usize>,
    listening: Cell<bool>,
}

/// The server's end of a connection from the node.
pub struct Connection {
    /// Stream that the server reads and writes.
    pub stream: DuplexStream,
    /// Times at which the node sent its bytes.
    pub send_times: Rc<SendTimes>,
    /// Progress of the bytes delivered to the node.
    pub delivered: Rc<Delivered>,
}

/// Number of bytes delivered to the node on one connection.
#[derive(Default)]
pub struct Delivered {
    bytes: Cell<u64>,
    increased: Notify,
}

impl Delivered {
    /// Waits until at least this number of bytes has been delivered.
    pub async fn wait_for(&self, bytes: u64) {
        loop {
            let increased = self.increased.notified();
            if self.bytes.get() >= bytes {
                return;
            }
            increased.await;
        }
    }

    fn set(&self, bytes: u64) {
        self.bytes.set(bytes);
        self.increased.notify_waiters();
    }
}

fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// A listening socket that can be blocked by a full queue.
struct Listener {
    socket: TcpListener,
    /// The connection that fills the queue while the listener is blocked.
    queue_filler: Option<TcpStream>,
}

impl Listener {
    fn new(socket: TcpListener) -> Listener {
        Listener {
            socket,
            queue_filler: None,
        }
    }

    /// Blocks new connections: shortens the queue to one connection, passes the queued ones to
    /// `relay`, and fills the queue with a connection of its own. While the queue is full, the
    /// system ignores a connect as if its first packet had been lost.
    async fn block(&mut self, addr: SocketAddr, relay: impl Fn(TcpStream)) {
        if self.queue_filler.is_some() {
            return;
        }
        let _ = SockRef::from(&self.socket).listen(0);
        while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, self.socket.accept()).await {
            relay(stream);
        }
        self.queue_filler = TcpStream::connect(addr).await.ok();
    }

    /// Allows new connections again: takes the filling connection out of the queue, and passes the
    /// connections queued before it to `relay`.
    async fn unblock(&mut self, relay: impl Fn(TcpStream)) {
        let Some(queue_filler) = self.queue_filler.take() else {
            return;
        };
        let _ = SockRef::from(&self.socket).listen(BACKLOG as i32);
        let filler_addr = queue_filler.local_addr().ok();
        while let Ok(Ok((stream, from))) = timeout(UNBLOCK_TIMEOUT, self.socket.accept()).await {
            if Some(from) == filler_addr {
                break;
            }
            relay(stream);
        }
    }
}

impl Proxy {
    /// Creates a proxy that does not listen yet.
    pub fn new(addr: SocketAddr, to_server: Rc<Link>, to_node: Rc<Link>) -> Rc<Proxy> {
        Rc::new(Proxy {
            addr,
            to_server,
            to_node,
            accept_mode: watch::Sender::new(AcceptMode::Accept),
            resetting_faults: Cell::new(0),
            listening: Cell::new(false),
        })
    }

    /// Checks that the proxy can listen on its address.
    pub fn check_address(&self) -> io::Result<()> {
        listen(self.addr).map(drop)
    }

    /// Whether the proxy has started to listen.
    pub fn is_listening(&self) -> bool {
        self.listening.get()
    }

    /// Accepts, ignores or refuses connections from now on, depending on the impairments of the
    /// links and on whether the server is up.
    pub fn update_accept_mode(&self, server_up: bool) {
        let partitioned =
            self.to_server.impairment().partitioned || self.to_node.impairment().partitioned;
        let resets = self.resetting_faults.get() > 0;
        let accept_mode = match (resets, partitioned, server_up) {
            (true, ..) => AcceptMode::Refuse,
            // During a partition, no refusal reaches the node either.
            (_, true, _) => AcceptMode::Ignore,
            (_, _, false) => AcceptMode::Refuse,
            _ => AcceptMode::Accept,
        };
        self.accept_mode
            .send_if_modified(|current| std::mem::replace(current, accept_mode) != accept_mode);
    }

    /// Accepts connections until the run ends, and passes the server's end of each to `serve`.
    pub async fn run(
        self: Rc<Proxy>,
        monitor: Rc<RuleMonitor>,
        serve: impl Fn(Connection) + Clone + 'static,
    ) {
        let relay = |stream: TcpStream| {
            spawn_local(self.clone().relay(stream, monitor.clone(), serve.clone()));
        };
        let mut accept_mode = self.accept_mode.subscribe();
        let mut listener: Option<Listener> = None;
        loop {
            let current = *accept_mode.borrow_and_update();
            if current == AcceptMode::Refuse {
                listener = None;
                if accept_mode.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let Some(listener) = &mut listener else {
                listener = self.open_listener().await;
                continue;
            };
            if current == AcceptMode::Ignore {
                listener.block(self.addr, relay).await;
                if accept_mode.changed().await.is_err() {
                    return;
                }
                continue;
            }
            listener.unblock(relay).await;
            tokio::select! {
                accepted = listener.socket.accept() => if let Ok((stream, _)) = accepted {
                    relay(stream);
                },
                changed = accept_mode.changed() => if changed.is_err() {
                    return;
                },
            }
        }
    }

    /// Opens the listening socket. If the address is still in use, returns `None` after a delay.
    async fn open_listener(&self) -> Option<Listener> {
        let Ok(socket) = listen(self.addr) else {
            sleep(BIND_RETRY_DELAY).await;
            return None;
        };
        self.listening.set(true);
        Some(Listener::new(socket))
    }

    async fn relay(
        self: Rc<Proxy>,
        mut stream: TcpStream,
        monitor: Rc<RuleMonitor>,
        serve: impl Fn(Connection),
    ) {
        let _ = stream.set_nodelay(true);
        let (proxy_end, server_end) = tokio::io::duplex(BUFFER_SIZE);
        let send_times = Rc::new(SendTimes::default());
        let delivered = Rc::new(Delivered::default());
        serve(Connection {
            stream: server_end,
            send_times: send_times.clone(),
            delivered: delivered.clone(),
        });
        let mut accept_mode = self.accept_mode.subscribe();
        let reset = {
            let (from_node, to_node) = stream.split();
            let (from_server, to_server) = split(proxy_end);
            let on_sent = |total: u64| send_times.record(total, monitor.now());
            let on_delivered = |total: u64| delivered.set(total);
            let both_directions = async {
                tokio::try_join!(
                    self.to_server.carry(from_node, to_server, on_sent, |_| {}),
                    self.to_node
                        .carry(from_server, to_node, |_| {}, on_delivered),
                )
            };
            tokio::select! {
                _ = both_directions => false,
                _ = accept_mode.wait_for(|accept_mode| *accept_mode == AcceptMode::Refuse) => true,
            }
        };
        if reset {
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    }
}
