//! Graceful shutdown on SIGTERM or SIGINT: the node keeps serving for as long as it may, responds
//! to all accepted API calls, and exits.
use std::future::Future;
use std::io;
use std::rc::Rc;

use quartzhub_policy::{Span, Time};
use tokio::signal::unix::{signal, SignalKind};

use crate::clients::Acceptor;
use crate::clock::duration;
use crate::effects::EffectExecutor;
use crate::limits::Limits;
use crate::reducer::Reducer;

/// Returns a future that is ready at SIGTERM or SIGINT. From this call on, neither signal
/// terminates the process by itself.
pub fn stop_signal() -> io::Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}

/// The steps of a shutdown, as durations from the signal.
#[derive(Clone, Copy)]
struct Schedule {
    /// Until when clients are served as usual.
    serve_until: Span,
    /// When all API calls must have responses.
    respond_by: Span,
    /// When clients that are still connected are drained.
    disconnect_at: Span,
    /// When the exit begins at the latest.
    exit_at: Span,
    /// From when on a stall no longer postpones the exit.
    postpone_until: Span,
}

impl Schedule {
    fn of(limits: &Limits) -> Schedule {
        Schedule {
            serve_until: limits.shutdown_serve_until,
            respond_by: limits.shutdown_respond_until,
            disconnect_at: limits.shutdown_disconnect_at,
            exit_at: limits.shutdown_exit_at,
            postpone_until: limits.shutdown_final_reads_until,
        }
    }

    /// The schedule of the current settings, combined with that of settings replaced shortly
    /// before.
    fn current(executor: &EffectExecutor) -> Schedule {
        executor.query(|reducer| {
            let schedule = Schedule::of(reducer.limits());
            let before = reducer
                .previous_limits(executor.clock.now())
                .map(Schedule::of);
            before.map_or(schedule, |before| schedule.earliest(before))
        })
    }

    /// Takes the earlier time of each step. Settings with shorter client timeouts may be loaded
    /// during the shutdown, and SIGKILL follows after the longest client timeout that they name.
    fn earliest(self, other: Schedule) -> Schedule {
        Schedule {
            serve_until: self.serve_until.min(other.serve_until),
            respond_by: self.respond_by.min(other.respond_by),
            disconnect_at: self.disconnect_at.min(other.disconnect_at),
            exit_at: self.exit_at.min(other.exit_at),
            postpone_until: self.postpone_until.min(other.postpone_until),
        }
    }
}

/// Waits for `stop`, and then until the node may exit. The node keeps serving its clients for
/// nearly as long as operators allow, as the clients may have no other node yet.
///
/// With `listener_is_shared`, the next process accepts clients from the same socket. Accepting then
/// stops at once, and clients are closed between responses, so that they connect to that process.
pub async fn run(
    executor: Rc<EffectExecutor>,
    stop: impl Future<Output = ()>,
    acceptor: Acceptor,
    listener_is_shared: bool,
) {
    stop.await;
    let open = executor.query(Reducer::open_call_count);
    tracing::info!(open, "shutdown requested with {open} API calls open");
    let mut shutdown = Shutdown::begin(executor, acceptor, listener_is_shared);
    if listener_is_shared {
        shutdown.hand_over_listener().await;
    }
    shutdown.last_poll_at = shutdown.executor.clock.now();
    while !shutdown.poll().await {}
    let open = shutdown.executor.query(Reducer::open_call_count);
    let clients = shutdown.open_client_count();
    tracing::info!(
        open,
        clients,
        "shutdown complete with {open} API calls open, {clients} clients cut off"
    );
}

/// A shutdown in progress.
struct Shutdown {
    executor: Rc<EffectExecutor>,
    /// When the signal was sent.
    signalled_at: Time,
    schedule: Schedule,
    /// `None` once no more clients are accepted.
    acceptor: Option<Acceptor>,
    /// Whether the next process accepts clients from the same socket.
    listener_is_shared: bool,
    last_poll_at: Time,
    /// Whether the process exits as soon as the connected clients are closed.
    exiting: bool,
    /// Remaining polls for clients that are still connected at the exit deadline.
    final_polls: u32,
}

impl Shutdown {
    fn begin(
        executor: Rc<EffectExecutor>,
        acceptor: Acceptor,
        listener_is_shared: bool,
    ) -> Shutdown {
        // After a stall the signal is seen late, but SIGKILL is timed from when it was sent.
        let signalled_at = executor.report(|reducer, now| now - reducer.stall_duration(now));
        Shutdown {
            signalled_at,
            schedule: Schedule::current(&executor),
            acceptor: Some(acceptor),
            listener_is_shared,
            last_poll_at: executor.clock.now(),
            exiting: false,
            final_polls: executor.limits.shutdown_final_polls,
            executor,
        }
    }

    async fn hand_over_listener(&mut self) {
        if let Some(acceptor) = self.acceptor.take() {
            acceptor.abort().await;
        }
    }

    /// Waits for the next poll and performs the steps that are due; returns whether the node may
    /// exit.
    async fn poll(&mut self) -> bool {
        let executor = self.executor.clone();
        let limits = &executor.limits;
        self.schedule = self.schedule.earliest(Schedule::current(&executor));
        let respond_by = self.signalled_at + self.schedule.respond_by;
        executor.report(|reducer, _| reducer.set_response_deadline(respond_by));
        tokio::time::sleep(duration(limits.shutdown_poll_interval)).await;
        let now = executor.clock.now();
        let has_stalled = now - self.last_poll_at > limits.stall_threshold;
        self.last_poll_at = now;
        let elapsed = now - self.signalled_at;
        if self.listener_is_shared || elapsed >= self.schedule.serve_until {
            executor.report(|reducer, now| reducer.on_shutdown(now));
        }
        // A client that sends commands back to back would always have one open, which the exit of
        // the process would cut off.
        if self.exiting || elapsed >= self.schedule.disconnect_at {
            self.drain_clients();
        }
        if !self.exiting {
            self.exiting = elapsed >= self.schedule.exit_at || self.is_idle(now);
            if self.exiting {
                self.stop_accepting().await;
            }
            // The commands of clients that were accepted last have yet to be read.
            return false;
        }
        self.may_exit(elapsed, has_stalled)
    }

    fn drain_clients(&self) {
        let clients = self.executor.clients.borrow();
        clients.values().for_each(|client| client.drain());
    }

    async fn stop_accepting(&mut self) {
        if let Some(acceptor) = self.acceptor.take() {
            acceptor.stop().await;
        }
    }

    /// Number of clients to which responses may still be sent.
    fn open_client_count(&self) -> usize {
        let clients = self.executor.clients.borrow();
        clients
            .values()
            .filter(|client| !client.is_write_closed())
            .count()
    }

    /// Whether all API calls have responses, no client is connected and no new one is expected.
    fn is_idle(&self, now: Time) -> bool {
        let limits = &self.executor.limits;
        let is_quiet = self.acceptor.as_ref().is_none_or(|acceptor| {
            now - acceptor.last_accepted() >= limits.shutdown_quiet_period
                && now - self.signalled_at >= limits.shutdown_accept_min
        });
        is_quiet
            && self.executor.query(Reducer::open_call_count) == 0
            && self.executor.clients.borrow().is_empty()
    }

    /// Whether every client is closed, or the time for that has run out.
    fn may_exit(&mut self, elapsed: Span, has_stalled: bool) -> bool {
        let deadline_passed = elapsed >= self.schedule.exit_at;
        let no_open_calls = self.executor.query(Reducer::open_call_count) == 0;
        if self.open_client_count() == 0 && (no_open_calls || deadline_passed) {
            return true;
        }
        if !deadline_passed {
            return false;
        }
        // After a stall, commands that arrived meanwhile are read before the exit.
        if has_stalled && elapsed < self.schedule.postpone_until {
            self.final_polls = self.executor.limits.shutdown_final_polls;
        }
        self.final_polls = self.final_polls.saturating_sub(1);
        self.final_polls == 0
    }
}
