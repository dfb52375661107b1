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
/// object whose first line ends in `{`, `[` or `,` continues up to the line that closes all of its
/// brackets, or else up to the first one that is indented no deeper than its first: after a malformed
/// line no line is awaited that would never arrive.
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
        let mut depth = nesting(first);
        loop {
            let line = lines.next()?;
            length += line.len();
            depth += nesting(line);
            if depth <= 0 || indentation(line) <= indentation(first) {
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

/// By how many levels of brackets a line of JSON nests deeper at its end than at its beginning. A
/// string ends on the line on which it begins.
fn nesting(line: &[u8]) -> i64 {
    let mut depth = 0;
    let mut in_string = false;
    let mut is_escaped = false;
    for byte in line {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if in_string => is_escaped = true,
            b'"' => in_string = !in_string,
            b'{' | b'[' if !in_string => depth += 1,
            b'}' | b']' if !in_string => depth -= 1,
            _ => {}
        }
    }
    depth
}

fn indentation(line: &[u8]) -> usize {
    line.iter()
        .take_while(|byte| matches!(byte, b' ' | b'\t'))
        .count()
}
