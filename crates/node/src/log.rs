//! Log lines: one macro on standard error, at a bounded rate.
use std::cell::Cell;
use std::io::Write;
use std::time::Instant;

use crate::limits::Limits;

struct Gate {
    rate: f64,
    burst: f64,
    saved: f64,
    at: Instant,
    dropped: u64,
}

thread_local! {
    static GATE: Cell<Option<Gate>> = const { Cell::new(None) };
}

/// Sets the rate for this thread; before it, every line passes.
pub fn limit(limits: &Limits) {
    let (rate, burst) = (limits.log_rate, limits.log_burst);
    GATE.set(Some(Gate { rate, burst, saved: burst, at: Instant::now(), dropped: 0 }));
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
pub fn line(text: std::fmt::Arguments) {
    let _ = writeln!(std::io::stderr(), "quartzhub: {text}");
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
        limit(&limits);
        assert_eq!([pass(), pass(), pass(), pass()], [Some(0), Some(0), None, None]);
        GATE.set(GATE.take().map(|gate| Gate { rate: 1e9, ..gate }));
        while pass().is_none_or(|dropped| dropped < 2) {}
    }
}
