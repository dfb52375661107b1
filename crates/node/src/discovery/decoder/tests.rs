//! Complete, truncated and malformed events of a watch.
use super::*;

fn decode_all(text: &str) -> String {
    let mut rest = text.as_bytes();
    let mut decoded = Vec::new();
    while let Some((event, length)) = next_event(rest) {
        decoded.push(match event {
            WatchEvent::KeepAlive => "keep-alive".to_owned(),
            WatchEvent::Update(update) => {
                format!("{} of {}", update.servers.len(), update.version)
            }
            WatchEvent::Malformed => "malformed".to_owned(),
        });
        rest = &rest[length..];
    }
    format!("{}; {} left", decoded.join(", "), rest.len())
}

const COMPACT: &str = r#"{"version":7,"full":true,"servers":[{"id":"a","state":"in_service"}]}"#;

#[test]
fn objects_are_decoded_from_one_line_or_several() {
    let value: serde_json::Value = serde_json::from_str(COMPACT).expect("an object");
    let indented = serde_json::to_string_pretty(&value).expect("text");
    let shifted: String = indented
        .lines()
        .map(|line| format!("    {line}\n"))
        .collect();
    assert_eq!(
        decode_all(&format!("{COMPACT}\n\n{COMPACT}\n")),
        "1 of 7, keep-alive, 1 of 7; 0 left"
    );
    assert_eq!(
        decode_all(&format!("{indented}\n\n  {COMPACT}\r\n")),
        "1 of 7, keep-alive, 1 of 7; 0 left"
    );
    assert_eq!(
        decode_all(&format!("{shifted}{shifted}\n")),
        "1 of 7, 1 of 7, keep-alive; 0 left"
    );
    // Every prefix of the object is incomplete.
    for cut in 0..indented.len() {
        assert_eq!(decode_all(&indented[..cut]), format!("; {cut} left"));
    }
}

/// An object whose last bracket stands behind its last, indented entry.
const CLOSED_BEHIND_AN_ENTRY: &str = r#"{"version":8,"full":true,"servers":[
  {"id":"a]}","state":"in_service"},
  {"id":"\"b","state":"terminating"}]}
"#;

// Regression test: such an object was decoded with the next line only, seconds later.
#[test]
fn object_closed_behind_an_indented_entry_is_complete() {
    assert_eq!(decode_all(CLOSED_BEHIND_AN_ENTRY), "2 of 8; 0 left");
    let twice = CLOSED_BEHIND_AN_ENTRY.repeat(2);
    assert_eq!(decode_all(&twice), "2 of 8, 2 of 8; 0 left");
    for cut in 0..CLOSED_BEHIND_AN_ENTRY.len() {
        let prefix = &CLOSED_BEHIND_AN_ENTRY[..cut];
        assert_eq!(decode_all(prefix), format!("; {cut} left"));
    }
}

/// A truncated line is reported as malformed with the next line at the latest, even if it ends like
/// the first line of an object of several lines.
#[test]
fn truncated_line_is_malformed_by_the_next_line() {
    for cut in 1..COMPACT.len() {
        let decoded = decode_all(&format!("{}\n{COMPACT}\n", &COMPACT[..cut]));
        assert!(decoded.starts_with("malformed"), "{cut}: {decoded}");
        let decoded = decode_all(&format!("{}\n\n", &COMPACT[..cut]));
        assert!(decoded.starts_with("malformed"), "{cut}: {decoded}");
    }
}
