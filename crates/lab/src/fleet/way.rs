//! One direction of what lies between two ends: what befalls it now, and what that does to bytes and datagrams.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use quartzhub_policy::Pcg;
use rand_distr::{Distribution, Exp1};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

use super::plan::Fault;

#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Shape {
    pub cut: bool,
    pub loss: f64,
    pub delay: Duration,
    pub jitter: Duration,
    pub duplicate: f64,
    pub reorder: f64,
    pub bytes_per_s: Option<f64>,
}

impl Shape {
    pub fn of(fault: &Fault, cut: bool) -> Shape {
        let span = |ms: f64| Duration::from_secs_f64(ms / 1000.0);
        let Fault { loss, duplicate, reorder, bytes_per_s, .. } = *fault;
        let (delay, jitter) = (span(fault.delay_ms), span(fault.jitter_ms));
        Shape { cut, loss, delay, jitter, duplicate, reorder, bytes_per_s }
    }

    /// Both at once.
    fn and(self, other: Shape) -> Shape {
        let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        let least = [self.bytes_per_s, other.bytes_per_s].into_iter().flatten().reduce(f64::min);
        Shape {
            cut: self.cut || other.cut,
            loss: either(self.loss, other.loss),
            delay: self.delay + other.delay,
            jitter: self.jitter + other.jitter,
            duplicate: either(self.duplicate, other.duplicate),
            reorder: either(self.reorder, other.reorder),
            bytes_per_s: least,
        }
    }
}

/// A lost piece of a connection comes after a retransmission.
const RETRANSMITS: Duration = Duration::from_millis(200);
/// A datagram that is overtaken comes so much later.
const OVERTAKEN: Duration = Duration::from_millis(20);
/// Bytes under way on a connection; more are not taken from who sends them.
const UNDER_WAY: usize = 256 * 1024;
/// And how long a datagram waits at most where the bandwidth is small: then the queue is full.
const QUEUE: Duration = Duration::from_millis(500);

pub struct Way {
    shapes: RefCell<Vec<(usize, Shape)>>,
    now: Cell<Shape>,
    chance: RefCell<Pcg>,
    free: Cell<Instant>,
    pub changed: Notify,
    /// Datagrams and bytes that were handed in, and datagrams that came through.
    pub datagrams: Cell<u64>,
    pub bytes: Cell<u64>,
    pub arrived: Cell<u64>,
}

impl Way {
    pub fn new(seed: u64) -> Rc<Way> {
        Rc::new(Way {
            shapes: RefCell::default(),
            now: Cell::default(),
            chance: RefCell::new(Pcg::new(seed)),
            free: Cell::new(Instant::now()),
            changed: Notify::new(),
            datagrams: Cell::new(0),
            bytes: Cell::new(0),
            arrived: Cell::new(0),
        })
    }

    pub fn shape(&self) -> Shape {
        self.now.get()
    }

    pub fn begin(&self, fault: usize, shape: Shape) {
        self.shapes.borrow_mut().push((fault, shape));
        self.settle();
    }

    pub fn end(&self, fault: usize) {
        self.shapes.borrow_mut().retain(|shape| shape.0 != fault);
        self.settle();
    }

    fn settle(&self) {
        let all = self.shapes.borrow().iter().fold(Shape::default(), |all, shape| all.and(shape.1));
        self.now.set(all);
        self.changed.notify_waiters();
    }

    fn chance(&self, part: f64) -> bool {
        part > 0.0 && self.chance.borrow_mut().unit() < part
    }

    /// When something of this size arrives that sets out now, but for losses and cuts.
    fn arrives(&self, size: usize) -> Instant {
        let shape = self.shape();
        let now = Instant::now();
        let more: f64 =
            if shape.jitter.is_zero() { 0.0 } else { Exp1.sample(&mut *self.chance.borrow_mut()) };
        let mut leaves = now;
        if let Some(rate) = shape.bytes_per_s {
            leaves = self.free.get().max(now) + Duration::from_secs_f64(size as f64 / rate);
            self.free.set(leaves);
        }
        leaves + shape.delay + shape.jitter.mul_f64(more.min(20.0))
    }

    /// When a datagram arrives: never, once or twice.
    pub fn datagram(&self, size: usize) -> [Option<Instant>; 2] {
        self.datagrams.set(self.datagrams.get() + 1);
        self.bytes.set(self.bytes.get() + size as u64);
        let shape = self.shape();
        if shape.cut || self.chance(shape.loss) {
            return [None, None];
        }
        let arrives = self.arrives(size);
        if self.free.get().saturating_duration_since(Instant::now()) > QUEUE {
            return [None, None];
        }
        let later = if self.chance(shape.reorder) { OVERTAKEN } else { Duration::ZERO };
        [Some(arrives + later), self.chance(shape.duplicate).then_some(arrives + OVERTAKEN / 2)]
    }

    /// Carries a connection's bytes in their order until it ends. `read` is told of all bytes so far as they are
    /// taken, `written` as they are handed on. While the way is cut nothing arrives, and nothing is told of it.
    pub async fn carry(
        &self,
        mut from: impl AsyncRead + Unpin,
        mut to: impl AsyncWrite + Unpin,
        read: impl Fn(u64),
        written: impl Fn(u64),
    ) -> io::Result<()> {
        let (mut queue, mut held) = (VecDeque::<(Instant, Vec<u8>)>::new(), 0);
        let (mut taken, mut told, mut ended) = (0u64, 0u64, false);
        let mut buffer = vec![0; 16 * 1024];
        loop {
            let changed = self.changed.notified();
            let shape = self.shape();
            let due = queue.front().map(|first| first.0).filter(|_| !shape.cut);
            if queue.is_empty() && ended && !shape.cut {
                return to.shutdown().await;
            }
            tokio::select! {
                count = from.read(&mut buffer), if !ended && held < UNDER_WAY => {
                    let count = count?;
                    ended = count == 0;
                    taken += count as u64;
                    if ended {
                        continue;
                    }
                    read(taken);
                    self.bytes.set(self.bytes.get() + count as u64);
                    if queue.is_empty() && shape == Shape::default() {
                        to.write_all(&buffer[..count]).await?;
                        told += count as u64;
                        written(told);
                        continue;
                    }
                    let lost = self.chance(shape.loss);
                    let arrives = self.arrives(count) + if lost { RETRANSMITS } else { Duration::ZERO };
                    let arrives = queue.back().map_or(arrives, |last| last.0.max(arrives));
                    held += count;
                    queue.push_back((arrives, buffer[..count].to_vec()));
                }
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                    let Some((_, bytes)) = queue.pop_front() else { continue };
                    held -= bytes.len();
                    to.write_all(&bytes).await?;
                    told += bytes.len() as u64;
                    written(told);
                }
                () = changed => {}
            }
        }
    }
}
