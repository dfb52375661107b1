//! The log: `tracing` events on standard error, as text or JSON lines, at a limited rate. A
//! separate thread writes them.
use std::cell::Cell;
use std::fmt;
use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::mpsc::{channel, sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields, MakeWriter};
use tracing_subscriber::registry::LookupSpan;

use crate::clock::duration;
use crate::limits::Limits;

#[cfg(test)]
mod tests;

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Format {
    /// Only the message, for people.
    #[default]
    Text,
    /// One object per line with time, level and fields, for programs.
    Json,
}

impl Format {
    /// Returns the format with this name, if there is one.
    pub fn from_name(name: &str) -> Option<Format> {
        match name {
            "text" => Some(Format::Text),
            "json" => Some(Format::Json),
            _ => None,
        }
    }
}

/// Limits the rate of lines by a token bucket, and queues them for the thread that writes them. If
/// the node wrote lines itself, a reader of the log that stops reading would block it once the pipe
/// is full.
struct LineLimiter {
    lines_per_second: f64,
    burst_lines: f64,
    /// Number of lines that may be written now.
    tokens: f64,
    refilled_at: Instant,
    /// Number of lines dropped since the last written one.
    dropped: u64,
    queue: SyncSender<Vec<u8>>,
}

/// Whether the format of lines is JSON.
static IS_JSON: AtomicBool = AtomicBool::new(false);
/// Limiter of the log; `None` before the node starts and after it has ended, when lines are written
/// directly.
static LIMITER: OnceLock<Mutex<Option<LineLimiter>>> = OnceLock::new();

thread_local! {
    /// Whether this thread is writing a line. Events that the writing itself causes are dropped, as
    /// they would recurse.
    static IS_WRITING: Cell<bool> = const { Cell::new(false) };
}

/// Installs the log's subscriber. Until `start_writer`, lines are written directly. A program that
/// embeds a node may install its own subscriber instead.
pub fn init(format: Format) {
    IS_JSON.store(format == Format::Json, Relaxed);
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(Level::INFO)
        .event_format(EventFormatter)
        .with_writer(LineWriter);
    // A subscriber may already be installed, as in a test that runs several nodes.
    let _ = subscriber.try_init();
}

/// Handle of the thread that writes lines. The thread ends once the limiter is removed.
pub struct WriterThread {
    /// Disconnects when the thread ends.
    ended: Receiver<()>,
}

/// Starts the thread that writes lines. From now on their rate is limited.
pub fn start_writer(limits: &Limits) -> WriterThread {
    let (queue, lines) = sync_channel::<Vec<u8>>(limits.log_burst_lines as usize);
    let (thread_guard, ended) = channel();
    std::thread::spawn(move || {
        lines.iter().for_each(|line| write_to_stderr(&line));
        drop(thread_guard);
    });
    set_limiter(Some(LineLimiter {
        lines_per_second: limits.log_lines_per_second,
        burst_lines: limits.log_burst_lines,
        tokens: limits.log_burst_lines,
        refilled_at: Instant::now(),
        dropped: 0,
        queue,
    }));
    WriterThread { ended }
}

fn set_limiter(limiter: Option<LineLimiter>) {
    let mut current = LIMITER
        .get_or_init(Mutex::default)
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    *current = limiter;
}

impl WriterThread {
    /// Waits until all queued lines are written, for at most `log_flush_timeout`.
    pub fn finish(self, limits: &Limits) {
        set_limiter(None);
        let _ = self.ended.recv_timeout(duration(limits.log_flush_timeout));
    }
}

impl LineLimiter {
    /// Queues a line if the rate allows it, preceded by a notice of the lines dropped before it.
    fn write_line(&mut self, line: &[u8], now: Instant) {
        let Some(dropped) = self.take_token(now) else {
            return;
        };
        if dropped > 0 {
            self.enqueue(dropped_lines_notice(dropped));
        }
        self.enqueue(line.to_vec());
    }

    /// Takes a token for one line. Returns how many lines were dropped before it, or `None` if
    /// there is no token.
    fn take_token(&mut self, now: Instant) -> Option<u64> {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.lines_per_second).min(self.burst_lines);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            self.dropped += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.dropped))
    }

    fn enqueue(&mut self, line: Vec<u8>) {
        if let Err(TrySendError::Full(_)) = self.queue.try_send(line) {
            self.dropped += 1;
        }
    }
}

fn dropped_lines_notice(dropped: u64) -> Vec<u8> {
    let line = if IS_JSON.load(Relaxed) {
        format!(
            r#"{{"level":"WARN","fields":{{"message":"{dropped} lines dropped","dropped":{dropped}}}}}"#
        )
    } else {
        format!("quartzhub: {dropped} lines dropped")
    };
    (line + "\n").into_bytes()
}

/// Writes to standard error and ignores errors. `eprintln` would panic, and so abort the node, once
/// nobody reads it.
fn write_to_stderr(line: &[u8]) {
    let _ = io::stderr().write_all(line);
}

/// Receives formatted lines from `tracing`, one line per write.
struct LineWriter;

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if !IS_WRITING.replace(true) {
            let limiter = LIMITER.get_or_init(Mutex::default).lock();
            match limiter
                .unwrap_or_else(|poisoned| poisoned.into_inner())
                .as_mut()
            {
                Some(limiter) => limiter.write_line(line, Instant::now()),
                None => write_to_stderr(line),
            }
            IS_WRITING.set(false);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl MakeWriter<'_> for LineWriter {
    type Writer = LineWriter;

    fn make_writer(&self) -> LineWriter {
        LineWriter
    }
}

/// Formats an event as a line of the selected format.
struct EventFormatter;

impl<S, N> FormatEvent<S, N> for EventFormatter
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut writer: format::Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        if IS_JSON.load(Relaxed) {
            let json: format::Format<format::Json> = format::Format::default()
                .json()
                .with_current_span(false)
                .with_span_list(false);
            return json.format_event(context, writer, event);
        }
        let mut visitor = MessageVisitor::default();
        event.record(&mut visitor);
        writeln!(writer, "quartzhub: {}", visitor.message)
    }
}

/// Extracts the message of an event. Its other fields are only written as JSON.
#[derive(Default)]
struct MessageVisitor {
    message: String,
}

impl tracing::field::Visit for MessageVisitor {
    fn record_debug(&mut self, field: &tracing::field::Field, value: &dyn fmt::Debug) {
        if field.name() == "message" {
            self.message = format!("{value:?}");
        }
    }
}
