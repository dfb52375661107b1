//! Clients that keep several commands open on one connection until the node closes it.
use quartzhub_policy::Pcg;

use super::closes::{ClosePlan, CLIENT_TIMEOUT_MS};
use super::common::*;

/// Longest pause of a client between two batches of commands, in milliseconds.
const MAX_PAUSE_MS: f64 = 30.0;
/// Receive buffer of a client that reads slowly, in bytes.
const SMALL_BUFFER_BYTES: usize = 8 * 1024;
/// Pause of such a client after each kilobyte, in microseconds.
const PAUSE_PER_KILOBYTE_US: u64 = 500;

/// A command that a client has sent.
struct Sent {
    id: String,
    at: Instant,
}

/// A command that got no response, or a wrong one.
pub struct Failure {
    pub id: String,
    /// Time from the command to the end of the connection; `None` if the response is wrong.
    pub open: Option<Duration>,
    pub detail: String,
}

/// Sends batches of commands until the connection is closed; waits for the responses of one batch
/// before the next.
fn send_batches(
    plan: &ClosePlan,
    client: usize,
    mut stream: &TcpStream,
    sent: &Sender<Sent>,
    batch_done: &Receiver<()>,
) {
    let mut rng = Pcg::new(plan.seed * 100 + client as u64 + 1);
    let value = "w".repeat(plan.write_bytes);
    let attributes = format!("c=view,d={CLIENT_TIMEOUT_MS}");
    for batch in 0.. {
        for number in 0..plan.depth {
            let id = format!("c{client}-{batch}-{number}-");
            let bytes = if number == 0 || rng.unit() < 0.5 {
                command(&["OBJ.GET", "k", &id, &attributes])
            } else {
                command(&["OBJ.SET", "k", &id, &attributes, &value])
            };
            if stream.write_all(&bytes).is_err() {
                return;
            }
            let at = Instant::now();
            if sent.send(Sent { id, at }).is_err() {
                return;
            }
        }
        if batch_done.recv().is_err() {
            return;
        }
        let pause_ms = rng.unit() * MAX_PAUSE_MS;
        std::thread::sleep(Duration::from_micros((1000.0 * pause_ms) as u64));
    }
}

/// Reads through a stream slowly, a kilobyte at a time.
struct SlowReader<'a>(&'a TcpStream);

impl Read for SlowReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        std::thread::sleep(Duration::from_micros(PAUSE_PER_KILOBYTE_US));
        let size = buffer.len().min(1024);
        self.0.read(&mut buffer[..size])
    }
}

/// Reads a response; `None` if the connection ends before the response does.
fn read_response(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line).ok()?;
    let line = String::from_utf8(line).ok()?;
    let head = line.strip_suffix("\r\n")?;
    match head.strip_prefix('$') {
        Some(size) => read_text(reader, size.parse::<usize>().ok()? + 2),
        None => Some(head.to_owned()),
    }
}

/// Reads the responses to all commands that were sent. Returns those that failed.
fn read_responses(
    plan: &ClosePlan,
    stream: &TcpStream,
    sent: &Receiver<Sent>,
    batch_done: &Sender<()>,
) -> Vec<Failure> {
    let mut reader: Box<dyn BufRead> = if plan.reads_slowly {
        Box::new(BufReader::with_capacity(1024, SlowReader(stream)))
    } else {
        Box::new(BufReader::new(stream))
    };
    let mut failures = Vec::new();
    let mut ended_at = None;
    for (index, Sent { id, at }) in sent.iter().enumerate() {
        let response = match ended_at {
            None => read_response(&mut reader),
            Some(_) => None,
        };
        match response {
            Some(response) if response.starts_with(&id) || response.starts_with('-') => {}
            Some(response) => failures.push(Failure {
                id,
                open: None,
                detail: format!("got {response:.40}"),
            }),
            None => {
                let end = *ended_at.get_or_insert_with(Instant::now);
                shutdown_write(stream);
                failures.push(Failure {
                    id,
                    open: Some(end.saturating_duration_since(at)),
                    detail: String::new(),
                });
            }
        }
        if (index + 1) % plan.depth == 0 && batch_done.send(()).is_err() {
            break;
        }
    }
    failures
}

/// Runs one client until its connection is closed.
pub fn run_client(plan: &ClosePlan, client: usize, addr: SocketAddr) -> Vec<Failure> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket");
    if plan.reads_slowly {
        let sized = socket.set_recv_buffer_size(SMALL_BUFFER_BYTES);
        sized.expect("a size");
    }
    socket.connect(&addr.into()).expect("a connection");
    let stream = TcpStream::from(socket);
    stream
        .set_read_timeout(Some(EVENT_TIMEOUT))
        .expect("a timeout");
    let (sender, sent) = channel();
    let (batch_done, batches) = channel();
    std::thread::scope(|scope| {
        let stream = &stream;
        scope.spawn(move || send_batches(plan, client, stream, &sender, &batches));
        read_responses(plan, stream, &sent, &batch_done)
    })
}
