//! Decodes watch events: empty lines, and JSON objects in one line or, indented, in several.
use crate::config::EndpointListUpdate;

#[cfg(test)]
mod tests;

/// An event of a watch.
#[derive(Debug)]
pub enum WatchEvent {
    /// An empty line: discovery is alive and has no update.
    KeepAlive,
    /// An endpoint list, full or as changes.
    Update(EndpointListUpdate),
    /// Anything else.
    Malformed,
}

/// Returns the next complete event and its length in bytes; `None` while it is incomplete. An
/// object whose first line ends in `{`, `[` or `,` continues up to the first line that is indented
/// no deeper than its first. Line ends and indentation alone thus decide where an event ends: each
/// line is read once, and after a malformed one no line is awaited that would never arrive.
pub fn next_event(text: &[u8]) -> Option<(WatchEvent, usize)> {
    let mut lines = text
        .split_inclusive(|byte| *byte == b'\n')
        .filter(|line| line.ends_with(b"\n"));
    let first = lines.next()?;
    if first.trim_ascii().is_empty() {
        return Some((WatchEvent::KeepAlive, first.len()));
    }
    let mut length = first.len();
    if is_continued(first) {
        loop {
            let line = lines.next()?;
            length += line.len();
            if indentation(line) <= indentation(first) {
                break;
            }
        }
    }
    let event = match serde_json::from_slice(text[..length].trim_ascii()) {
        Ok(update) => WatchEvent::Update(update),
        Err(_) => WatchEvent::Malformed,
    };
    Some((event, length))
}

fn is_continued(line: &[u8]) -> bool {
    matches!(line.trim_ascii().last(), Some(b'{' | b'[' | b','))
}

fn indentation(line: &[u8]) -> usize {
    line.iter()
        .take_while(|byte| matches!(byte, b' ' | b'\t'))
        .count()
}
