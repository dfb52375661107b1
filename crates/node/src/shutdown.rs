//! Graceful shutdown at SIGTERM: the node goes on serving while it may, answers all API calls that it has taken, and ends.
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

/// Ready at SIGTERM or SIGINT. From this call on, neither ends the process at once.
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

/// The steps of a shutdown, counted from SIGTERM.
#[derive(Clone, Copy)]
struct Schedule {
    /// Until when clients are served on.
    serve: Span,
    /// Until when all is answered.
    respond: Span,
    /// When clients that are still there are closed.
    disconnect: Span,
    /// The end.
    limit: Span,
    /// From when on a further stall does not put off the end.
    final_reads: Span,
}

impl Schedule {
    fn of(limits: &Limits) -> Schedule {
        Schedule {
            serve: limits.shutdown_serve,
            respond: limits.shutdown_respond,
            disconnect: limits.shutdown_disconnect,
            limit: limits.shutdown_limit,
            final_reads: limits.shutdown_final_reads,
        }
    }

    /// The schedule by the settings, also by those that were replaced shortly before.
    fn current(executor: &EffectExecutor) -> Schedule {
        executor.query(|reducer| {
            let schedule = Schedule::of(reducer.limits());
            let before = reducer
                .limits_before(executor.clock.now())
                .map(Schedule::of);
            before.map_or(schedule, |before| schedule.earliest(before))
        })
    }

    /// The earlier time of each step. Guards against settings with shorter client timeouts that come amid the shutdown:
    /// the kill follows the longest timeout that they tell.
    fn earliest(self, other: Schedule) -> Schedule {
        Schedule {
            serve: self.serve.min(other.serve),
            respond: self.respond.min(other.respond),
            disconnect: self.disconnect.min(other.disconnect),
            limit: self.limit.min(other.limit),
            final_reads: self.final_reads.min(other.final_reads),
        }
    }
}

/// Waits for `stop`, and then until the node may end. The node goes on serving its clients for nearly as long as
/// operators allow, as they may have no other node yet.
///
/// Where the next process accepts clients from the same socket, `listener_is_shared`, accepting ends at once, and clients
/// are closed between answers from then on, so that they connect to the next process.
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

/// A shutdown that is under way.
struct Shutdown {
    executor: Rc<EffectExecutor>,
    /// When the signal came.
    signalled_at: Time,
    schedule: Schedule,
    /// None once no client is accepted any more.
    acceptor: Option<Acceptor>,
    /// Whether the next process accepts clients from the same socket.
    listener_is_shared: bool,
    last_poll_at: Time,
    /// Whether the process ends as soon as the clients at hand have.
    ending: bool,
    /// Polls for clients that have not ended when the time is up.
    final_polls: u32,
}

impl Shutdown {
    fn begin(
        executor: Rc<EffectExecutor>,
        acceptor: Acceptor,
        listener_is_shared: bool,
    ) -> Shutdown {
        // Guards against a signal that is seen late, as the process stalled: the kill counts from its coming.
        let signalled_at = executor.report(|reducer, now| now - reducer.stall_duration(now));
        Shutdown {
            signalled_at,
            schedule: Schedule::current(&executor),
            acceptor: Some(acceptor),
            listener_is_shared,
            last_poll_at: executor.clock.now(),
            ending: false,
            final_polls: executor.limits.shutdown_final_polls,
            executor,
        }
    }

    async fn hand_over_listener(&mut self) {
        if let Some(acceptor) = self.acceptor.take() {
            acceptor.abort().await;
        }
    }

    /// Waits for the next poll and does what is due by then; true once the node may end.
    async fn poll(&mut self) -> bool {
        let executor = self.executor.clone();
        let limits = &executor.limits;
        self.schedule = self.schedule.earliest(Schedule::current(&executor));
        let respond_by = self.signalled_at + self.schedule.respond;
        executor.report(|reducer, _| reducer.set_response_deadline(respond_by));
        tokio::time::sleep(duration(limits.shutdown_poll_interval)).await;
        let now = executor.clock.now();
        let is_late = now - self.last_poll_at > limits.stall_threshold;
        self.last_poll_at = now;
        let elapsed = now - self.signalled_at;
        if self.listener_is_shared || elapsed >= self.schedule.serve {
            executor.report(|reducer, now| reducer.on_shutdown(now));
        }
        // Guards against clients whose next command always comes in time: at the end of the process it would be cut off.
        if self.ending || elapsed >= self.schedule.disconnect {
            self.drain_clients();
        }
        if !self.ending {
            self.ending = elapsed >= self.schedule.limit || self.is_done(now);
            if self.ending {
                self.stop_accepting().await;
            }
            // Who was accepted last has still to be read.
            return false;
        }
        self.is_over(elapsed, is_late)
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

    /// Clients whose connections have not been ended.
    fn open_client_count(&self) -> usize {
        let clients = self.executor.clients.borrow();
        clients
            .values()
            .filter(|client| !client.is_write_closed())
            .count()
    }

    /// Whether all is answered and no new client is expected.
    fn is_done(&self, now: Time) -> bool {
        let limits = &self.executor.limits;
        let is_quiet = self.acceptor.as_ref().is_none_or(|acceptor| {
            now - acceptor.last_accepted() >= limits.shutdown_quiet
                && now - self.signalled_at >= limits.shutdown_accept
        });
        is_quiet
            && self.executor.query(Reducer::open_call_count) == 0
            && self.executor.clients.borrow().is_empty()
    }

    /// Whether every client has ended, or the time for that is up.
    fn is_over(&mut self, elapsed: Span, is_late: bool) -> bool {
        let time_is_up = elapsed >= self.schedule.limit;
        let calls_are_answered = self.executor.query(Reducer::open_call_count) == 0;
        if self.open_client_count() == 0 && (calls_are_answered || time_is_up) {
            return true;
        }
        if !time_is_up {
            return false;
        }
        // Guards against a process that was stalled and ends unread what came meanwhile.
        if is_late && elapsed < self.schedule.final_reads {
            self.final_polls = self.executor.limits.shutdown_final_polls;
        }
        self.final_polls = self.final_polls.saturating_sub(1);
        self.final_polls == 0
    }
}
