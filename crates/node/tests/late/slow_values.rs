//! Values that a server writes slowly without a pause, for longer than the call's time.
use super::common::*;

/// Client timeout, in milliseconds.
const CLIENT_TIMEOUT_MS: u64 = 600;
const VALUE_BYTES: usize = 300_000;
/// The value takes this long.
const WRITING_TIME: Duration = Duration::from_millis(1_500);
const PIECES: u32 = 50;

/// Starts a cache that writes a value slowly, or stops after `pieces_written` pieces, and responds to
/// `behind` at once.
fn slow_cache(pieces_written: u32) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve_slowly(stream, pieces_written));
        }
    });
    address
}

fn serve_slowly(stream: TcpStream, pieces_written: u32) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Some(words) = read_command(&mut reader) {
        let stream = reader.get_mut();
        if words.contains("behind") {
            let _ = stream.write_all(&hit_bytes("behind"));
            continue;
        }
        let whole = hit_bytes(&"v".repeat(VALUE_BYTES));
        let pieces = whole.chunks(whole.len() / PIECES as usize + 1);
        for piece in pieces.take(pieces_written as usize) {
            if stream.write_all(piece).is_err() {
                return;
            }
            std::thread::sleep(WRITING_TIME / PIECES);
        }
        if pieces_written < PIECES {
            let _ = stream.read(&mut [0; 1]);
            return;
        }
    }
}

/// Reads the slow value, with a read behind it if `is_pipelined`, and returns the responses.
fn read_slow_value(cache: SocketAddr, is_pipelined: bool) -> (String, Option<String>, Duration) {
    let settings_keys = "";
    let node = Node::start(&[("a", cache)], settings_keys);
    let mut client = node.client();
    let attributes = format!("c=view,d={CLIENT_TIMEOUT_MS}");
    client.send(&command(&["OBJ.GET", "slow", "id1", &attributes]));
    if is_pipelined {
        client.send(&command(&["OBJ.GET", "behind", "id2", &attributes]));
    }
    let sent_at = Instant::now();
    let _ = client.0.fill_buf();
    let first_byte_after = sent_at.elapsed();
    let value = client.response();
    let behind = is_pipelined.then(|| client.response());
    (value, behind, first_byte_after)
}

// The first bytes of a value over 64 KiB are timed, and its server still writes it when the call's time
// is over.
#[test]
fn value_that_is_still_written_at_the_deadline_is_forwarded() {
    for is_pipelined in [false, true] {
        let (value, behind, first_byte_after) = read_slow_value(slow_cache(PIECES), is_pipelined);
        assert!(
            value == "v".repeat(VALUE_BYTES),
            "{is_pipelined}: {value:.20}"
        );
        assert!(first_byte_after <= Duration::from_millis(CLIENT_TIMEOUT_MS + 50));
        let is_answered = |text: &String| text == "behind" || text.starts_with('-');
        assert!(behind.as_ref().is_none_or(is_answered), "{behind:?}");
    }
}

// What holding a value is for: one that is no longer written at the deadline costs only its own call.
#[test]
fn value_that_has_stopped_by_the_deadline_costs_no_later_command() {
    let (value, behind, _) = read_slow_value(slow_cache(5), true);
    assert!(value.starts_with('-'), "{value:.20}");
    assert_eq!(behind.as_deref(), Some("behind"));
}
