//! Accepts clients' connections while there is capacity for them.
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use quartzhub_policy::Time;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use super::connection::serve;
use super::Client;
use crate::accept_failures::{AcceptFailures, AcceptRetry};
use crate::clock::{duration, Clock};
use crate::effects::EffectExecutor;
use crate::limits::Limits;
use crate::messages::AcceptCapacity;
use crate::system::{bind_with_retry, is_readable};

/// Most connections accepted from the listen queue when accepting is stopped.
const MAX_FINAL_ACCEPTS: usize = 1024;

/// Listens on an address; retries while the address is in use.
pub async fn listen(address: SocketAddr, clock: Clock, limits: &Limits) -> io::Result<TcpListener> {
    bind_with_retry(address, clock, limits, || TcpListener::bind(address)).await
}

/// The task that accepts clients.
pub struct Acceptor {
    task: JoinHandle<()>,
    last_accepted: Rc<Cell<Time>>,
    stop_requested: Rc<Notify>,
}

impl Acceptor {
    /// Starts to accept connections while there is capacity for them.
    pub fn start(executor: Rc<EffectExecutor>, listener: TcpListener) -> Acceptor {
        let last_accepted = Rc::new(Cell::new(executor.clock.now()));
        let stop_requested = Rc::new(Notify::new());
        let accept_loop = AcceptLoop {
            executor,
            listener,
            last_accepted: last_accepted.clone(),
            paused_since: None,
            accept_count: 0,
            failures: AcceptFailures::default(),
        };
        Acceptor {
            task: tokio::task::spawn_local(accept_loop.run(stop_requested.clone())),
            last_accepted,
            stop_requested,
        }
    }

    /// When the last connection was accepted, or accepting started.
    pub fn last_accepted(&self) -> Time {
        self.last_accepted.get()
    }

    /// Accepts the connections in the listen queue, then closes the socket.
    pub async fn stop(self) {
        self.stop_requested.notify_one();
        let _ = self.task.await;
    }

    /// Closes the socket at once; the listen queue is left to the process that shares the socket.
    pub async fn abort(self) {
        self.task.abort();
        // The task owns the socket: once it has ended, it can't accept a connection that is then
        // lost.
        let _ = self.task.await;
    }
}

/// The state of the task that accepts clients.
struct AcceptLoop {
    executor: Rc<EffectExecutor>,
    listener: TcpListener,
    last_accepted: Rc<Cell<Time>>,
    /// Start of the current pause in accepting: clients may have waited in the queue since then.
    paused_since: Option<Time>,
    /// Calls of accept so far; counted to let other tasks run at regular intervals.
    accept_count: usize,
    failures: AcceptFailures,
}

impl AcceptLoop {
    async fn run(mut self, stop_requested: Rc<Notify>) {
        tokio::select! {
            () = self.accept_all() => {}
            () = stop_requested.notified() => {}
        }
        self.empty_listen_queue().await;
    }

    async fn accept_all(&mut self) {
        loop {
            // With all descriptors in use, accept fails at once and would be retried in a busy
            // loop. Instead an idle connection is closed, and the next client is accepted after
            // that.
            match self.ensure_accept_capacity() {
                AcceptCapacity::Free => self.accept_next().await,
                AcceptCapacity::Soon => tokio::task::yield_now().await,
                AcceptCapacity::None => self.wait_for_descriptor().await,
            }
        }
    }

    /// Accepts connections that are already queued. Polls the socket directly, as after a stall the
    /// runtime may not have seen them yet.
    async fn empty_listen_queue(&mut self) {
        for _ in 0..MAX_FINAL_ACCEPTS {
            if !is_readable(&self.listener) || self.ensure_accept_capacity() != AcceptCapacity::Free
            {
                return;
            }
            // Lets the runtime poll its sockets.
            tokio::task::yield_now().await;
            tokio::select! {
                biased;
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _)) => self.serve(stream),
                    Err(error) => tracing::info!(%error, "accept failed during shutdown: {error}"),
                },
                () = std::future::ready(()) => {}
            }
        }
    }

    fn ensure_accept_capacity(&self) -> AcceptCapacity {
        self.executor
            .report(|reducer, now| reducer.ensure_accept_capacity(now))
    }

    async fn wait_for_descriptor(&mut self) {
        tracing::info!("all descriptors are in use: accepting is paused");
        self.pause();
        let _ = tokio::time::timeout(
            duration(self.executor.limits.accept_retry_interval),
            self.executor.client_closed.notified(),
        )
        .await;
    }

    fn pause(&mut self) {
        self.paused_since.get_or_insert(self.executor.clock.now());
    }

    async fn accept_next(&mut self) {
        self.accept_count += 1;
        if self
            .accept_count
            .is_multiple_of(self.executor.limits.commands_per_turn)
        {
            tokio::task::yield_now().await;
        }
        let accepted = tokio::select! {
            biased;
            accepted = self.listener.accept() => accepted,
            // The listen queue is empty.
            () = std::future::ready(()) => {
                self.paused_since = None;
                self.listener.accept().await
            }
        };
        match accepted {
            Ok((stream, _)) => self.serve(stream),
            Err(error) => self.on_failure(error).await,
        }
    }

    fn serve(&mut self, stream: TcpStream) {
        self.failures.on_accepted();
        self.last_accepted.set(self.executor.clock.now());
        let _ = stream.set_nodelay(true);
        let id = self
            .executor
            .report(|reducer, now| reducer.on_client_connected(now));
        let client = Rc::new(Client::new(stream, self.paused_since));
        self.executor
            .clients
            .borrow_mut()
            .insert(id, client.clone());
        tokio::task::spawn_local(serve(self.executor.clone(), id, client));
    }

    async fn on_failure(&mut self, error: io::Error) {
        if self.failures.on_failure(&error) == AcceptRetry::Immediate {
            tracing::info!(%error, "accept failed for an aborted connection: {error}");
            return;
        }
        self.pause();
        tracing::warn!(%error, "accept failed: {error}");
        tokio::time::sleep(duration(self.executor.limits.accept_retry_interval)).await;
    }
}
