//! The memory that commands of clients take, whatever their form: the operators kill a node whose
//! memory exceeds its limit.
use super::common::*;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;
/// Bytes per megabyte, as operators count them.
const BYTES_PER_MB: usize = 1024 * KIB;
/// How long each flood of commands lasts: longer than the node keeps half a command.
const FLOOD_TIME: Duration = Duration::from_millis(3_000);
/// Delay between two looks at the node's memory, and between two tries to send more.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Client timeout of the usual calls during a flood, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 300;
/// The same during a flood that keeps the processor busy.
const LONG_CALL_TIMEOUT_MS: u64 = 1_000;
/// How late a final response may be, by the operators' terms on sockets.
const RESPONSE_SLACK_MS: u64 = 550;

/// A connection that sends bytes as fast as the node takes them, and stays.
struct FloodingClient {
    stream: TcpStream,
    sent: usize,
}

impl FloodingClient {
    fn connect(node: &Node) -> FloodingClient {
        let stream = TcpStream::connect(node.addr).expect("a connection");
        stream.set_nonblocking(true).expect("a socket");
        FloodingClient { stream, sent: 0 }
    }

    /// Sends what the system takes, and reads what the node has sent.
    fn advance(&mut self, bytes: &[u8]) {
        while let Ok(count @ 1..) = self.stream.write(&bytes[self.sent..]) {
            self.sent += count;
        }
        let _ = self.stream.read(&mut [0; 4096]);
    }
}

/// Floods a node that may use `memory_mb` from `clients` connections that send `bytes` each. Asserts
/// that it stays within its memory, and that it serves the calls of a usual client in time.
fn assert_memory_is_bounded(name: &str, memory_mb: usize, clients: usize, bytes: &[u8]) {
    let flood = Flood {
        name,
        memory_mb,
        clients,
        bytes,
    };
    flood.assert_calls_are_served(CALL_TIMEOUT_MS);
}

/// Bytes that bad clients send to a node.
struct Flood<'a> {
    name: &'a str,
    memory_mb: usize,
    clients: usize,
    bytes: &'a [u8],
}

impl Flood<'_> {
    /// Asserts that the node stays within its memory, and that it serves the calls of a usual client
    /// in time.
    fn assert_calls_are_served(&self, call_timeout_ms: u64) {
        let Flood {
            name,
            memory_mb,
            clients,
            bytes,
        } = *self;
        let cache = server("a", channel().0, |_| hit("v"));
        let limits = format!(r#""limits":{{"memory_mb":{memory_mb},"sockets":1024}},"#);
        let origin = server("origin", channel().0, |_| http("200 OK", "written"));
        let node = Node::start(&[("a", cache), ("origin", origin)], &limits);
        let mut usual = node.client();
        let mut flood: Vec<_> = (0..clients)
            .map(|_| FloodingClient::connect(&node))
            .collect();
        let started_at = Instant::now();
        let (mut most_bytes, mut calls, mut longest_ms) = (0, 0, 0);
        while started_at.elapsed() < FLOOD_TIME {
            for client in &mut flood {
                client.advance(bytes);
            }
            most_bytes = most_bytes.max(node.anonymous_bytes());
            calls += 1;
            let sent_at = Instant::now();
            let attributes = format!("c=view,d={call_timeout_ms}");
            let id = format!("usual{calls}");
            let words = ["OBJ.GET", "usual", &id, &attributes];
            let mut response = usual.ask(&words);
            // The node may close an idle connection, and clients then send the command once more.
            if response == "closed" {
                usual = node.client();
                response = usual.ask(&words);
            }
            let response_ms = sent_at.elapsed().as_millis() as u64;
            longest_ms = longest_ms.max(response_ms);
            assert_eq!(
                response,
                "v",
                "{name}: a usual call after {response_ms} ms, {} ms from the start",
                started_at.elapsed().as_millis()
            );
            assert!(
                response_ms <= call_timeout_ms + RESPONSE_SLACK_MS,
                "{name}: answered after {response_ms} ms"
            );
            std::thread::sleep(POLL_INTERVAL);
        }
        let limit_bytes = memory_mb * BYTES_PER_MB;
        println!(
            "{name}, {memory_mb} MB: {} KiB at most, {calls} calls, the longest took {longest_ms} ms",
            most_bytes / KIB
        );
        assert!(
            most_bytes <= limit_bytes,
            "{name}: {most_bytes} bytes of {limit_bytes}"
        );
    }
}

/// The beginning of an array of `count` bulk strings that have these lengths; the last one may be
/// cut.
fn items(count: usize, lengths: &[usize]) -> Vec<u8> {
    let mut bytes = format!("*{count}\r\n").into_bytes();
    for length in lengths {
        bytes.extend(format!("${length}\r\n").into_bytes());
        bytes.extend(vec![b'x'; *length]);
        bytes.extend(b"\r\n");
    }
    bytes
}

/// A write of `value_bytes` as clients send it, but for the number of items that it states.
fn write_stating(count: usize, value_bytes: usize) -> Vec<u8> {
    let words = ["OBJ.SET", "k", "flood", "c=book,d=640"];
    let mut bytes = command(&words).split_off("*4\r\n".len());
    bytes.splice(..0, format!("*{count}\r\n").into_bytes());
    bytes.extend(items(1, &[value_bytes]).split_off("*1\r\n".len()));
    bytes
}

// Regression test: memory was reserved only for large commands of five items with four short ones
// ahead. Of any other form, each connection could send 4 MiB, and the node was killed for its memory.
#[test]
fn commands_with_a_wrong_number_of_items_stay_within_the_memory() {
    assert_memory_is_bounded("6 items", 192, 64, &write_stating(6, 4 * MIB));
    assert_memory_is_bounded("6 items", 32, 64, &write_stating(6, 4 * MIB));
    assert_memory_is_bounded("16 items", 32, 200, &items(16, &[60 * KIB; 15]));
}

// The same with the long item at another place.
#[test]
fn commands_with_a_long_item_stay_within_the_memory() {
    let long_first = items(5, &[2 * KIB, 8, 8, 8, 4 * MIB - 8 * KIB]);
    let cut = &long_first[..long_first.len() - KIB];
    assert_memory_is_bounded("first item too long", 32, 64, cut);
    let all_long = items(5, &[60 * KIB, 60 * KIB, 60 * KIB, 60 * KIB, 3 * MIB]);
    let cut = &all_long[..all_long.len() - KIB];
    assert_memory_is_bounded("all items long", 64, 64, cut);
}

// Regression test: half commands of up to 64 KiB were not counted before they were read.
#[test]
fn half_commands_of_many_connections_stay_within_the_memory() {
    let half_write = write_stating(5, 60 * KIB);
    let half_write = &half_write[..59 * KIB];
    assert_memory_is_bounded("half writes of 60 KiB", 32, 600, half_write);
    let mut pipelined = command(&["PING"]).repeat(20);
    pipelined.extend(&write_stating(5, 40 * KIB)[..15 * KIB]);
    assert_memory_is_bounded("half writes of 15 KiB", 32, 600, &pipelined);
}

// What the limits are not to prevent.
#[test]
fn sound_large_writes_stay_within_the_memory() {
    assert_memory_is_bounded("whole writes", 32, 40, &write_stating(5, 4 * MIB));
    let half_write = write_stating(5, 4 * MIB);
    assert_memory_is_bounded("half writes", 64, 40, &half_write[..2 * MIB]);
}

// Whole commands, few or many at once, whose clients read little of the responses. Regression test: a
// client that sent more than was read at once was read up to 128 times before others.
#[test]
fn pipelined_commands_of_many_connections_stay_within_the_memory() {
    let long_text = "x".repeat(60 * KIB);
    let long_echoes = command(&["PING", &long_text]).repeat(20);
    let echoes = command(&["PING", &long_text[..3 * KIB]]).repeat(300);
    let pings = command(&["PING"]).repeat(2_000);
    let read = |index| command(&["OBJ.GET", "k", &format!("id{index}"), "c=view,d=640"]);
    let reads = (0..120).flat_map(read).collect();
    for (name, clients, bytes) in [
        ("echoes of 60 KiB", 300, long_echoes),
        ("echoes of 3 KiB", 700, echoes),
        ("short commands", 300, pings),
        ("short reads", 700, reads),
    ] {
        let flood = Flood {
            name,
            memory_mb: 32,
            clients,
            bytes: &bytes,
        };
        flood.assert_calls_are_served(LONG_CALL_TIMEOUT_MS);
    }
}
