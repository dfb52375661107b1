//! One direction of a network link between two endpoints: its current impairment, and the effect
//! on connections and datagrams.
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use quartzhub_policy::Pcg;
use rand_distr::{Distribution, Exp1};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite};
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

use super::in_flight::InFlight;
use super::plan::{Fault, FaultKind};

/// Added delay of lost bytes of a connection, which arrive after a retransmission.
const RETRANSMISSION_DELAY: Duration = Duration::from_millis(200);
/// Added delay of a datagram that later ones overtake.
const REORDER_DELAY: Duration = Duration::from_millis(20);
/// Longest queueing delay on a link of limited bandwidth; beyond it the queue is full, and
/// datagrams are dropped.
const MAX_QUEUE_DELAY: Duration = Duration::from_millis(500);
/// Upper bound on the random delay, as a multiple of its mean.
const MAX_JITTER_FACTOR: f64 = 20.0;
/// Most bytes read from a connection at once.
const READ_SIZE: usize = 16 * 1024;

/// The impairment of a link.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Impairment {
    /// The link carries nothing.
    pub partitioned: bool,
    /// Probability that a datagram is lost, or that bytes of a connection are retransmitted.
    pub loss: f64,
    /// Added delay.
    pub delay: Duration,
    /// Mean of the added, exponentially distributed delay.
    pub jitter: Duration,
    /// Probability that a datagram arrives twice.
    pub duplicate: f64,
    /// Probability that a datagram is overtaken by later ones.
    pub reorder: f64,
    /// Bandwidth, in bytes per second; `None` if unlimited.
    pub bytes_per_s: Option<f64>,
}

impl Impairment {
    /// Returns the impairment that a fault causes on its links.
    pub fn from_fault(fault: &Fault) -> Impairment {
        let from_ms = |ms: f64| Duration::from_secs_f64(ms / 1000.0);
        Impairment {
            partitioned: fault.kind == FaultKind::Partition,
            loss: fault.loss,
            delay: from_ms(fault.delay_ms),
            jitter: from_ms(fault.jitter_ms),
            duplicate: fault.duplicate,
            reorder: fault.reorder,
            bytes_per_s: fault.bytes_per_s,
        }
    }

    /// Returns the joint effect of two independent impairments.
    fn combined_with(self, other: Impairment) -> Impairment {
        let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        let bytes_per_s = [self.bytes_per_s, other.bytes_per_s]
            .into_iter()
            .flatten()
            .reduce(f64::min);
        Impairment {
            partitioned: self.partitioned || other.partitioned,
            loss: either(self.loss, other.loss),
            delay: self.delay + other.delay,
            jitter: self.jitter + other.jitter,
            duplicate: either(self.duplicate, other.duplicate),
            reorder: either(self.reorder, other.reorder),
            bytes_per_s,
        }
    }
}

/// A fault that currently affects a link, by its index in the plan, with its impairment.
struct ActiveFault {
    fault_index: usize,
    impairment: Impairment,
}

/// One direction of a link; several faults may affect it at once.
pub struct Link {
    active_faults: RefCell<Vec<ActiveFault>>,
    /// Joint impairment of all active faults.
    impairment: Cell<Impairment>,
    impairment_changed: Notify,
    rng: RefCell<Pcg>,
    /// Time at which the last byte sent so far leaves a link of limited bandwidth.
    busy_until: Cell<Instant>,
    /// Number of datagrams sent on the link.
    pub datagrams_sent: Cell<u64>,
    /// Number of datagrams that arrived.
    pub datagrams_arrived: Cell<u64>,
}

impl Link {
    /// Creates a link without impairments.
    pub fn new(seed: u64) -> Rc<Link> {
        Rc::new(Link {
            active_faults: RefCell::default(),
            impairment: Cell::default(),
            impairment_changed: Notify::new(),
            rng: RefCell::new(Pcg::new(seed)),
            busy_until: Cell::new(Instant::now()),
            datagrams_sent: Cell::new(0),
            datagrams_arrived: Cell::new(0),
        })
    }

    /// Returns the current impairment of the link.
    pub fn impairment(&self) -> Impairment {
        self.impairment.get()
    }

    /// Adds a fault that affects the link from now on.
    pub fn add_fault(&self, fault_index: usize, impairment: Impairment) {
        self.active_faults.borrow_mut().push(ActiveFault {
            fault_index,
            impairment,
        });
        self.update_impairment();
    }

    /// Removes a fault, which no longer affects the link.
    pub fn remove_fault(&self, fault_index: usize) {
        self.active_faults
            .borrow_mut()
            .retain(|active| active.fault_index != fault_index);
        self.update_impairment();
    }

    fn update_impairment(&self) {
        let combined = self
            .active_faults
            .borrow()
            .iter()
            .fold(Impairment::default(), |combined, active| {
                combined.combined_with(active.impairment)
            });
        self.impairment.set(combined);
        self.impairment_changed.notify_waiters();
    }

    fn happens(&self, probability: f64) -> bool {
        probability > 0.0 && self.rng.borrow_mut().unit() < probability
    }

    /// Returns when `size` bytes sent now arrive, if there is no loss and no partition.
    fn arrival(&self, size: usize) -> Instant {
        let impairment = self.impairment();
        let now = Instant::now();
        let jitter_factor: f64 = match impairment.jitter.is_zero() {
            true => 0.0,
            false => Exp1.sample(&mut *self.rng.borrow_mut()),
        };
        let mut departure = now;
        if let Some(bytes_per_s) = impairment.bytes_per_s {
            let transmission = Duration::from_secs_f64(size as f64 / bytes_per_s);
            departure = self.busy_until.get().max(now) + transmission;
            self.busy_until.set(departure);
        }
        let jitter = impairment
            .jitter
            .mul_f64(jitter_factor.min(MAX_JITTER_FACTOR));
        departure + impairment.delay + jitter
    }

    /// Counts a datagram sent now, and returns the times at which it arrives: none, one or two.
    pub fn datagram_arrivals(&self, size: usize) -> [Option<Instant>; 2] {
        self.datagrams_sent.set(self.datagrams_sent.get() + 1);
        let impairment = self.impairment();
        if impairment.partitioned || self.happens(impairment.loss) {
            return [None, None];
        }
        let arrival = self.arrival(size);
        let queue_delay = self
            .busy_until
            .get()
            .saturating_duration_since(Instant::now());
        if queue_delay > MAX_QUEUE_DELAY {
            return [None, None];
        }
        let first = match self.happens(impairment.reorder) {
            true => arrival + REORDER_DELAY,
            false => arrival,
        };
        let second = self
            .happens(impairment.duplicate)
            .then_some(arrival + REORDER_DELAY / 2);
        [Some(first), second]
    }

    /// Carries the bytes of a connection, in order, until the sender closes it. `on_read` is called
    /// with the total number of bytes read so far after each read, and `on_written` with the total
    /// written after each write. During a partition neither bytes nor the close arrive.
    pub async fn carry(
        &self,
        mut from: impl AsyncRead + Unpin,
        to: impl AsyncWrite + Unpin,
        on_read: impl Fn(u64),
        on_written: impl Fn(u64),
    ) -> io::Result<()> {
        let mut in_flight = InFlight::new(to, on_written);
        let mut total_read = 0u64;
        let mut ended = false;
        let mut buffer = vec![0; READ_SIZE];
        loop {
            let changed = self.impairment_changed.notified();
            let impairment = self.impairment();
            let due = in_flight.next_arrival().filter(|_| !impairment.partitioned);
            if in_flight.is_empty() && ended && !impairment.partitioned {
                return in_flight.shut_down().await;
            }
            tokio::select! {
                count = from.read(&mut buffer), if !ended && !in_flight.is_full() => {
                    let bytes = &buffer[..count?];
                    if bytes.is_empty() {
                        ended = true;
                        continue;
                    }
                    total_read += bytes.len() as u64;
                    on_read(total_read);
                    if in_flight.is_empty() && impairment == Impairment::default() {
                        in_flight.write(bytes).await?;
                    } else {
                        in_flight.push(bytes, self.retransmitted_arrival(bytes.len(), impairment.loss));
                    }
                }
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                    in_flight.deliver_next().await?;
                }
                () = changed => {}
            }
        }
    }

    /// Returns when bytes of a connection arrive; lost bytes arrive after a retransmission.
    fn retransmitted_arrival(&self, size: usize, loss: f64) -> Instant {
        let lost = self.happens(loss);
        let arrival = self.arrival(size);
        match lost {
            true => arrival + RETRANSMISSION_DELAY,
            false => arrival,
        }
    }
}
