//! Log lines: one macro on standard error, at a bounded rate.
use std::cell::Cell;
use std::io::Write;
use std::sync::mpsc::{channel, sync_channel, Receiver, SyncSender};
use std::time::Instant;

use crate::clock::duration;
use crate::limits::Limits;

struct Gate {
    rate: f64,
    burst: f64,
    saved: f64,
    at: Instant,
    dropped: u64,
    out: SyncSender<String>,
}

thread_local! {
    static GATE: Cell<Option<Gate>> = const { Cell::new(None) };
}

/// The thread that writes this thread's lines. Guards against a reader of the log that stands still: a write
/// to its full pipe would hold up the node.
pub struct Writer(Receiver<()>);

/// Bounds the rate of this thread's lines and has them written by another; before it, every line passes.
pub fn start(limits: &Limits) -> Writer {
    let (out, lines) = sync_channel::<String>(limits.log_burst as usize);
    let (ends, ended) = channel();
    std::thread::spawn(move || {
        lines.iter().for_each(write);
        drop(ends);
    });
    let (rate, burst) = (limits.log_rate, limits.log_burst);
    GATE.set(Some(Gate { rate, burst, saved: burst, at: Instant::now(), dropped: 0, out }));
    Writer(ended)
}

impl Writer {
    /// Waits, not for ever, until the lines so far are written.
    pub fn end(self, limits: &Limits) {
        drop(GATE.take());
        let _ = self.0.recv_timeout(duration(limits.log_last));
    }
}

/// Whether one more line may be written, and how many were dropped before it.
pub fn pass() -> Option<u64> {
    let Some(mut gate) = GATE.take() else { return Some(0) };
    let now = Instant::now();
    gate.saved = (gate.saved + now.duration_since(gate.at).as_secs_f64() * gate.rate).min(gate.burst);
    gate.at = now;
    let passed = gate.saved >= 1.0;
    let dropped = if passed {
        gate.saved -= 1.0;
        Some(std::mem::take(&mut gate.dropped))
    } else {
        gate.dropped += 1;
        None
    };
    GATE.set(Some(gate));
    dropped
}

/// What `eprintln` does, but for the panic when nobody reads standard error any more: with `eprintln` the
/// node aborted at its next line once the reader of its log had gone.
fn write(line: String) {
    let _ = writeln!(std::io::stderr(), "quartzhub: {line}");
}

pub fn line(text: std::fmt::Arguments) {
    let Some(mut gate) = GATE.take() else { return write(text.to_string()) };
    gate.dropped += u64::from(gate.out.try_send(text.to_string()).is_err());
    GATE.set(Some(gate));
}

#[macro_export]
macro_rules! log {
    ($($text:tt)*) => {
        if let Some(dropped) = $crate::log::pass() {
            if dropped > 0 {
                $crate::log::line(format_args!("{dropped} lines dropped"));
            }
            $crate::log::line(format_args!($($text)*));
        }
    };
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_over_the_rate_are_dropped_and_counted() {
        let mut limits = Limits::default();
        (limits.log_rate, limits.log_burst) = (1e-6, 2.0);
        let writer = start(&limits);
        assert_eq!([pass(), pass(), pass(), pass()], [Some(0), Some(0), None, None]);
        GATE.set(GATE.take().map(|gate| Gate { rate: 1e9, ..gate }));
        while pass().is_none_or(|dropped| dropped < 2) {}
        writer.end(&limits);
        assert_eq!(pass(), Some(0));
    }
}
