//! One client's connection, from accept to close.
use std::ops::ControlFlow::{self, Break, Continue};
use std::rc::Rc;

use quartzhub_policy::Time;

use super::admission::MemoryWait;
use super::arrival_times::ArrivalTimes;
use super::commands::{respond_protocol_error, take_command, ProtocolError, TakeResult};
use super::delivery::Delivery;
use super::output_queue::WriteMode;
use super::outstanding::Outstanding;
use super::reading::LargeCommand;
use super::Client;
use crate::buffer::{is_open_and_idle, Buffer};
use crate::effects::EffectExecutor;
use crate::memory_budget::MemoryReservation;
use crate::messages::ClientId;

/// Serves a client until its connection ends.
pub async fn serve(executor: Rc<EffectExecutor>, id: ClientId, client: Rc<Client>) {
    Connection::new(&executor, id, &client).run().await;
    executor.partial_commands.borrow_mut().remove(id);
    executor.drop_client(id);
    executor.report(|reducer, now| reducer.on_client_disconnected(now, id));
    drop(client);
    executor.client_closed.notify_one();
}

/// The receiving half of a client's connection.
pub(super) struct Connection<'a> {
    pub(super) executor: &'a Rc<EffectExecutor>,
    pub(super) id: ClientId,
    pub(super) client: &'a Client,
    pub(super) buffer: Buffer,
    pub(super) arrivals: ArrivalTimes,
    /// Memory of the buffer; requested before the bytes are read.
    pub(super) reservation: MemoryReservation,
    /// Bytes that the buffer keeps reserved for an incomplete command whose size is known.
    pub(super) granted_bytes: usize,
    /// Set while there is no memory for the bytes that would be read next.
    pub(super) memory_wait: Option<MemoryWait>,
    pub(super) large_command: Option<LargeCommand>,
    /// Whether the last read filled the buffer, so that more may have arrived.
    pub(super) has_filled_buffer: bool,
    /// False once nothing more is read: after QUIT, a protocol error, a rejected large command or a
    /// value that is cut.
    pub(super) reading: bool,
    /// Whether the client takes what was written to it.
    delivery: Delivery,
    /// When bytes of the client were last read.
    pub(super) last_byte_at: Time,
    /// When the client last sent a command or was last written to.
    pub(super) last_active: Time,
    /// When the incomplete command in the buffer began.
    pub(super) partial_since: Option<Time>,
    /// Number of reads made while the client is being drained.
    pub(super) draining_reads: usize,
    /// Until when responses are deferred to the close although calls are open.
    pub(super) deferred_until: Option<Time>,
}

impl<'a> Connection<'a> {
    fn new(executor: &'a Rc<EffectExecutor>, id: ClientId, client: &'a Client) -> Connection<'a> {
        let mut arrivals = ArrivalTimes::default();
        if let Some(since) = client.accept_paused_since {
            arrivals.pause_reading(since);
        }
        Connection {
            executor,
            id,
            client,
            buffer: Buffer::default(),
            arrivals,
            reservation: MemoryReservation::new(&executor.memory),
            granted_bytes: 0,
            memory_wait: None,
            large_command: None,
            has_filled_buffer: false,
            reading: true,
            delivery: Delivery::default(),
            last_byte_at: executor.clock.now(),
            last_active: executor.clock.now(),
            partial_since: None,
            draining_reads: 0,
            deferred_until: None,
        }
    }

    async fn run(&mut self) {
        loop {
            // Commands ahead of the FIN of a disconnected client must not cause attempts.
            if self.client.broken.get() || self.client.disconnect_reported().await {
                return;
            }
            self.reading &= !self.client.value_is_cut.get();
            let taken = self.take_commands();
            self.client.has_buffered_input.set(!self.buffer.is_empty());
            // A client that floods commands must not starve the other tasks of this thread.
            if taken == self.executor.limits.commands_per_turn {
                tokio::task::yield_now().await;
                continue;
            }
            if self.client.eviction_requested.take() && taken == 0 {
                self.evict_partial_command();
            }
            self.trim_buffer();
            let outstanding = Outstanding::of(self);
            let close_after_quiet_period = self.client.close_after_quiet_period.get();
            // Commands that have arrived, read or not, are responded to before the close.
            let flow = match close_after_quiet_period.filter(|_| outstanding.allows_close()) {
                Some(quiet_period) => self.close_if_quiet(quiet_period).await,
                None => self.handle_event(&outstanding).await,
            };
            if flow.is_break() {
                return;
            }
        }
    }

    /// Takes buffered commands as far as the limits allow, and returns their number.
    pub(super) fn take_commands(&mut self) -> usize {
        let executor = self.executor;
        let limits = &executor.limits;
        let mut taken = 0;
        while self.reading && taken < limits.commands_per_turn && !self.is_streaming() {
            if self.is_at_call_limit() {
                break;
            }
            match take_command(executor, self.id, &mut self.buffer, &mut self.arrivals) {
                TakeResult::Command => taken += 1,
                TakeResult::Incomplete => break,
                TakeResult::EndOfInput => self.reading = false,
            }
        }
        if taken > 0 {
            self.large_command = None;
            self.granted_bytes = 0;
            self.memory_wait = None;
            self.last_active = executor.clock.now();
            self.partial_since = None;
            // Its responses are a new delivery.
            self.delivery = Delivery::default();
        }
        taken
    }

    /// Frees memory that the bytes in the buffer and the rest of their command don't need.
    fn trim_buffer(&mut self) {
        let idle_bytes = self.executor.limits.idle_buffer_bytes;
        self.buffer.trim(self.granted_bytes.max(idle_bytes));
        self.reservation.set(self.buffer.capacity());
    }

    /// Whether responses are deferred although calls are open.
    pub(super) fn defers_responses(&self) -> bool {
        let now = self.executor.clock.now();
        self.deferred_until.is_some_and(|until| now < until)
    }

    /// When the client counts as idle or too slow, if no event occurs before.
    fn deadline(&mut self, outstanding: &Outstanding) -> Time {
        let executor = self.executor;
        let limits = &executor.limits;
        if outstanding.writable {
            return self.last_active + limits.response_write_timeout;
        }
        if let Some(until) = self.deferred_until.filter(|_| self.defers_responses()) {
            return until;
        }
        if !outstanding.is_empty() || self.memory_wait.is_some() {
            // A client that awaits a response or memory is not idle.
            return executor.clock.now() + limits.longest_client_timeout;
        }
        let has_made_calls = executor.query(|reducer| reducer.has_made_calls(self.id));
        if has_made_calls && !self.has_partial_command() {
            return self.last_active + limits.client_idle_timeout;
        }
        if has_made_calls {
            return self.partial_since(executor.clock.now()) + limits.partial_command_timeout;
        }
        // Limits new clients that send nothing, or only a few bytes at a time.
        let first_call_deadline = self.last_active + limits.client_first_call_timeout;
        if !self.has_partial_command() {
            return first_call_deadline;
        }
        let partial_deadline =
            self.partial_since(executor.clock.now()) + limits.partial_command_timeout;
        partial_deadline
            .min(self.last_active + limits.partial_first_command_timeout)
            .max(first_call_deadline)
    }

    /// Waits until the client can be read or written, disconnects, or its deadline passes.
    pub(super) async fn handle_event(&mut self, outstanding: &Outstanding) -> ControlFlow<()> {
        let executor = self.executor;
        let client = self.client;
        let limits = &executor.limits;
        let deadline = self.deadline(outstanding);
        let at_call_limit = outstanding.at_call_limit;
        // At the call limit up to `read_bytes` are read ahead, to time the next commands' arrival.
        let reads_ahead = at_call_limit && self.buffer.unread().len() < limits.read_bytes;
        // While streaming nothing is read: if the value breaks off, commands read get no response.
        let may_read = self.reading
            && !self.is_streaming()
            && (!at_call_limit || reads_ahead)
            && client.close_after_quiet_period.get().is_none();
        if may_read {
            self.reserve_rest_of_command();
        } else {
            self.pause_reading();
        }
        self.record_partial_command(may_read && !at_call_limit);
        let reads = may_read && self.memory_wait.is_none();
        let end_of_memory_wait = self.end_of_memory_wait();
        tokio::select! {
            ready = client.stream.readable(), if reads => match ready {
                Ok(()) => self.on_readable().await,
                Err(_) => Break(()),
            },
            () = end_of_memory_wait => self.read_available(),
            ready = client.stream.writable(), if outstanding.writable => match ready {
                Ok(()) => self.flush(),
                Err(_) => Break(()),
            },
            // Stops work for a client that disconnects while nothing is read from it.
            () = client.disconnected(), if !reads => Break(()),
            () = client.wake.notified() => self.flush(),
            () = tokio::time::sleep_until(executor.clock.instant(deadline)) => self.on_deadline(outstanding).await,
        }
    }

    /// Writes as much as the socket accepts, and reports it.
    fn flush(&mut self) -> ControlFlow<()> {
        if self.may_write() {
            self.write_responses(WriteMode::Immediate);
        }
        Continue(())
    }

    /// Writes deferred responses now, as the close may be delayed.
    pub(super) fn write_deferred_responses(&mut self) {
        if self.client.unwritten() > 0 {
            self.write_responses(WriteMode::Immediate);
        }
    }

    /// Writes the last responses, so that the client receives them together with the FIN.
    pub(super) fn write_last_responses(&mut self) {
        if self.client.unwritten() > 0 {
            self.write_responses(WriteMode::WithFin);
        }
    }

    fn write_responses(&mut self, mode: WriteMode) {
        let written_size = self.client.flush(mode);
        self.last_active = self.executor.clock.now();
        self.executor
            .report(|reducer, _| reducer.on_delivered(self.id, written_size));
    }

    /// Whether the client has taken all that was written to it, or takes nothing any more. Until
    /// then a close could destroy responses: a command that arrives after it causes a reset.
    pub(super) fn delivery_is_over(&mut self) -> bool {
        let now = self.executor.clock.now();
        let stall_timeout = self.executor.limits.response_write_timeout;
        self.delivery
            .is_over(now, self.client.unsent_bytes(), stall_timeout)
    }

    async fn on_deadline(&mut self, outstanding: &Outstanding) -> ControlFlow<()> {
        let idle = outstanding.is_empty();
        let has_input = !is_open_and_idle(&self.client.stream);
        if outstanding.writable {
            return Break(());
        }
        if idle && !self.has_partial_command() && !has_input {
            if self.delivery_is_over() {
                return Break(());
            }
            // A client that still takes its response is not idle.
            self.last_active = self.executor.clock.now();
        }
        if idle && self.rejected_bytes() > 0 && !has_input {
            // The command has its response already.
            return Break(());
        }
        if idle && !self.buffer.is_empty() && !self.receives_rest_of_command().await? {
            self.reading = false;
            respond_protocol_error(self.executor, self.id, ProtocolError::IncompleteCommand);
        }
        // Lets the runtime see bytes that have just arrived.
        tokio::task::yield_now().await;
        Continue(())
    }
}
