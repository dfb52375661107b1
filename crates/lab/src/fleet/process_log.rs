//! Follows the log of a node's process: appends its lines to a file, records them as events, and
//! detects from them that the node serves.
use std::fs::OpenOptions;
use std::io::Write;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::ChildStderr;

use super::process::{NodeProcess, ProcessState};

/// Longest log line that is kept, in bytes; the rest of a longer line is cut off.
const MAX_LINE_BYTES: usize = 2_000;
/// Text in the log line that a node writes once it serves.
const SERVING_MARKER: &str = "serves on";

impl NodeProcess {
    /// Reads the log until the process closes it.
    pub(super) async fn follow_log(self: Rc<NodeProcess>, log: ChildStderr) {
        let mut lines = BufReader::new(log).lines();
        let mut file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.spec.log)
            .ok();
        while let Ok(Some(mut line)) = lines.next_line().await {
            line.truncate(line.floor_char_boundary(MAX_LINE_BYTES));
            if let Some(file) = &mut file {
                let _ = writeln!(file, "{line}");
            }
            let message = extract_message(&line);
            if message.contains(SERVING_MARKER) && self.state() == ProcessState::Starting {
                self.set_state(ProcessState::Up);
                self.notify_front(true, self.front_notice_delay());
            }
            self.record(message.clone());
            self.last_log_line.replace(message);
        }
    }

    /// Returns the delay until the front is notified that the process serves. The first start is
    /// part of the setup, so the front is notified at once.
    fn front_notice_delay(&self) -> Duration {
        match self.start_count() {
            1 => Duration::ZERO,
            _ => self.spec.front_delay,
        }
    }
}

/// Returns the message of a JSON log line with its fields, or a plain text line as it is.
fn extract_message(line: &str) -> String {
    let json: Option<serde_json::Value> = serde_json::from_str(line).ok();
    let Some(fields) = json
        .as_ref()
        .and_then(|json| json.get("fields")?.as_object())
    else {
        return line.strip_prefix("quartzhub: ").unwrap_or(line).to_owned();
    };
    let mut message = fields
        .get("message")
        .and_then(|text| text.as_str())
        .unwrap_or_default()
        .to_owned();
    for (name, value) in fields.iter().filter(|field| field.0 != "message") {
        let value = value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned);
        message += &format!(" {name}={value}");
    }
    message
}
