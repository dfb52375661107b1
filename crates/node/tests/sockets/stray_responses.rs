//! Responses that a server sends twice, and truncated values before other responses of their
//! client.
use std::sync::atomic::{AtomicU64, Ordering};

use super::common::*;

/// Reads one message of a node and returns the response to it.
type Respond = fn(&mut BufReader<TcpStream>) -> Option<Vec<u8>>;

/// Reads a command and responds with its id.
fn respond_as_cache(reader: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let words = read_command_words(reader)?;
    Some(hit_bytes(&words[2]))
}

/// Reads a request and responds with its id.
fn respond_as_origin(reader: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let request = read_request(reader)?;
    Some(http_bytes("200 OK", request.split(' ').nth(2)?))
}

/// A server that sends the first response on each connection a second time after `DUPLICATE_DELAY`.
struct RepeatingServer {
    addr: SocketAddr,
    /// How long after its response a duplicate was really sent, in microseconds: the longest delay
    /// since the last look.
    longest_delay_us: Arc<AtomicU64>,
}

impl RepeatingServer {
    /// Starts the server, which takes twice as long for each later response.
    fn start(respond: Respond) -> RepeatingServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        let longest_delay_us = Arc::new(AtomicU64::new(0));
        let delay_us = longest_delay_us.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let delay_us = delay_us.clone();
                std::thread::spawn(move || serve_with_duplicate(&stream, respond, &delay_us));
            }
        });
        RepeatingServer {
            addr,
            longest_delay_us,
        }
    }

    /// Whether the duplicates since the last look were sent while the node still lets their
    /// connections rest. On a busy machine the server's thread may wake later than that.
    fn duplicates_were_in_time(&self) -> bool {
        let delay = Duration::from_micros(self.longest_delay_us.swap(0, Ordering::SeqCst));
        delay > Duration::ZERO && delay < REUSE_DELAY
    }
}

/// Responds to all messages of a connection, and to the first one twice.
fn serve_with_duplicate(stream: &TcpStream, respond: Respond, delay_us: &Arc<AtomicU64>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
    let mut first = true;
    while let Some(response) = respond(&mut reader) {
        if !first {
            std::thread::sleep(2 * DUPLICATE_DELAY);
        }
        let mut stream = stream;
        let _ = stream.write_all(&response);
        if std::mem::take(&mut first) {
            let responded_at = Instant::now();
            let mut duplicate_stream = stream.try_clone().expect("a copy");
            let delay_us = delay_us.clone();
            std::thread::spawn(move || {
                std::thread::sleep(DUPLICATE_DELAY);
                let delay = responded_at.elapsed().as_micros() as u64;
                delay_us.fetch_max(delay, Ordering::SeqCst);
                duplicate_stream.write_all(&response)
            });
        }
    }
}

/// How long after a response its duplicate comes.
const DUPLICATE_DELAY: Duration = Duration::from_millis(6);
/// How long after a response the client sends its next command: before the duplicate comes.
const COMMAND_DELAY: Duration = Duration::from_millis(3);
/// How long the node lets a connection rest after a response.
const REUSE_DELAY: Duration = Duration::from_millis(10);
/// Number of rounds that are judged.
const ROUNDS: usize = 10;
/// Most rounds that are played for that.
const MAX_ROUNDS: usize = 10 * ROUNDS;

/// Plays rounds until `ROUNDS` of them had their duplicate in time, and asserts that each of these
/// got the responses to its own commands. `play` returns the responses that it got and those that it
/// expects.
fn assert_own_responses(
    server: &RepeatingServer,
    play: impl Fn(usize) -> (Vec<String>, Vec<String>),
) {
    let mut judged = 0;
    for round in 0..MAX_ROUNDS {
        let (responses, expected) = play(round);
        if server.duplicates_were_in_time() {
            assert_eq!(responses, expected);
            judged += 1;
        }
        if judged == ROUNDS {
            return;
        }
    }
    panic!("the machine delayed the duplicates of all but {judged} rounds");
}

/// The client sends its next command after the first response and before its duplicate arrives. The
/// duplicate must not be taken for the response to the next command.
#[test]
fn duplicate_response_is_not_matched_to_the_next_command() {
    let cache = RepeatingServer::start(respond_as_cache);
    assert_own_responses(&cache, |round| {
        let node = Node::start(&[("a", cache.addr)], "");
        let mut client = node.client();
        let ids = ["first", "second"].map(|id| format!("{id}{round}"));
        let mut responses = vec![client.ask(&["OBJ.GET", "k1", &ids[0], ATTRIBUTES])];
        std::thread::sleep(COMMAND_DELAY);
        responses.push(client.ask(&["OBJ.GET", "k2", &ids[1], ATTRIBUTES]));
        (responses, ids.to_vec())
    });
}

/// Guards against foreign receipts from the origin: an upstream to it was used again at once, and
/// the late duplicate of a response was taken for the response to the next request.
#[test]
fn duplicate_of_an_origin_response_is_not_matched_to_the_next_request() {
    let origin = RepeatingServer::start(respond_as_origin);
    let write =
        |client: &mut Client, id: &str| client.ask(&["OBJ.SET", "k", id, "c=book,d=30000", "new"]);
    assert_own_responses(&origin, |round| {
        let node = Node::start(&[("origin", origin.addr)], "");
        let mut client = node.client();
        let ids = ["first", "second", "third"].map(|id| format!("{id}{round}"));
        let mut responses = vec![write(&mut client, &ids[0])];
        std::thread::sleep(COMMAND_DELAY);
        responses.extend(ids[1..].iter().map(|id| write(&mut client, id)));
        (responses, ids.to_vec())
    });
}

/// A large value is truncated while a write behind it is already at the origin. The client still
/// has to get the response to that write.
#[test]
fn truncated_large_value_costs_no_other_command() {
    let value = hit_bytes(&"v".repeat(1024 * 1024));
    let (half, _) = value.split_at(value.len() / 2);
    let (truncating_cache, release) = piecewise_server(vec![half.to_vec()]);
    let (sender, reports) = channel();
    let origin = server("origin", sender, |_| http("200 OK", "stored"));
    let node = Node::start(&[("a", truncating_cache), ("origin", origin)], "");
    let mut client = node.client();
    // Sent together, so the node reads and accepts both.
    let both = [
        command(&["OBJ.GET", "k", "large", ATTRIBUTES]),
        command(&["OBJ.SET", "k2", "write", "c=book,d=30000", "new"]),
    ];
    client.send(&both.concat());
    assert_eq!(next_report(&reports), "origin: PUT /k2 write new");
    release.send(()).expect("half of it");
    // The server closes the connection within the value.
    drop(release);
    // The read has failed or was retried at the origin: its response was not begun, as it could not
    // have been completed.
    let first = client.response();
    assert!(
        first.starts_with('-') || first == "stored",
        "{} bytes",
        first.len()
    );
    assert_eq!(client.response(), "stored");
}
