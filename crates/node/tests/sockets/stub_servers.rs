//! Stub servers: threads that report each message they read and act by the test's script.
use super::common::*;

/// What a server does after it has read a command or request.
pub enum ServerAction {
    Respond(Vec<u8>),
    /// Responds once the test has sent to the channel.
    RespondOnRelease(Receiver<()>, Vec<u8>),
    /// Sends the first half of the response, and the rest once the test has sent to the channel.
    RestOnRelease(Receiver<()>, Vec<u8>),
    /// Responds after a delay.
    RespondAfter(Duration, Vec<u8>),
    /// Responds, then closes the connection and reports that.
    Last(Vec<u8>),
    /// Sends the first half of the response and closes the connection.
    Truncate(Vec<u8>),
    /// Sends nothing, and reports when the node closes the connection.
    Ignore,
    Close,
}

/// Returns a server's action for the reported text of a message.
pub type Script = Arc<Mutex<dyn FnMut(&str) -> ServerAction + Send>>;
/// Reads one command or request and returns the text to report.
pub type ReadMessage = fn(&mut BufReader<TcpStream>) -> Option<String>;

/// Starts a server that acts by a script. It reads HTTP requests if its name is `origin`, else RESP
/// commands, and reports each as "name: words"; see `ServerAction` for the reports of "name:
/// closed".
pub fn server(
    name: &'static str,
    reports: Sender<String>,
    script: impl FnMut(&str) -> ServerAction + Send + 'static,
) -> SocketAddr {
    server_reading(
        name,
        reports,
        if name == "origin" {
            read_request
        } else {
            read_command
        },
        script,
    )
}

/// Starts a server that acts by a script; `read` reads a message and returns the text to report.
pub fn server_reading(
    name: &'static str,
    reports: Sender<String>,
    read: ReadMessage,
    script: impl FnMut(&str) -> ServerAction + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let script: Script = Arc::new(Mutex::new(script));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (reports, script) = (reports.clone(), script.clone());
            std::thread::spawn(move || serve_connection(name, stream, read, &script, &reports));
        }
    });
    addr
}

/// Reports each command or request of a connection and acts on it.
fn serve_connection(
    name: &str,
    stream: TcpStream,
    read: ReadMessage,
    script: &Script,
    reports: &Sender<String>,
) {
    let mut reader = BufReader::new(stream);
    while let Some(words) = read(&mut reader) {
        let _ = reports.send(format!("{name}: {words}"));
        let action = script.lock().map(|mut script| script(&words));
        let stream = reader.get_mut();
        match action {
            Ok(ServerAction::Respond(bytes)) => drop(stream.write_all(&bytes)),
            Ok(ServerAction::RespondOnRelease(release, bytes)) => {
                let _ = release.recv_timeout(EVENT_TIMEOUT);
                let _ = stream.write_all(&bytes);
            }
            Ok(ServerAction::RestOnRelease(release, bytes)) => {
                let (first_half, rest) = bytes.split_at(bytes.len() / 2);
                let _ = stream.write_all(first_half);
                let _ = release.recv_timeout(EVENT_TIMEOUT);
                let _ = stream.write_all(rest);
            }
            Ok(ServerAction::RespondAfter(delay, bytes)) => {
                std::thread::sleep(delay);
                let _ = stream.write_all(&bytes);
            }
            Ok(ServerAction::Last(bytes)) => {
                let _ = stream.write_all(&bytes);
                shutdown_write(stream);
                drop(reader);
                let _ = reports.send(format!("{name}: closed"));
                return;
            }
            Ok(ServerAction::Truncate(bytes)) => {
                let _ = stream.write_all(&bytes[..bytes.len() / 2]);
                return shutdown_write(stream);
            }
            Ok(ServerAction::Ignore) => {
                let _ = stream.read(&mut [0; 64]);
                let _ = reports.send(format!("{name}: closed"));
                return;
            }
            _ => return shutdown_write(stream),
        }
    }
}

/// Reads a line and returns it without its end; `None` at the end of the connection.
pub fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    Some(line.trim_end().to_owned())
}

/// Reads `count` bytes as text; `None` if the connection ends before.
pub fn read_text(reader: &mut impl Read, count: usize) -> Option<String> {
    let mut bytes = vec![0; count];
    reader.read_exact(&mut bytes).ok()?;
    Some(String::from_utf8_lossy(&bytes).into_owned())
}

/// Reads a command and returns its words, without the attribute list, whose timeout varies.
pub fn read_command(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut words_read = read_command_words(reader)?;
    words_read.remove(3);
    Some(words_read.join(" "))
}

/// Reads a command and returns its words.
pub fn read_command_words(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let count: usize = read_line(reader)?.strip_prefix('*')?.parse().ok()?;
    let mut words_read = Vec::new();
    for _ in 0..count {
        let size: usize = read_line(reader)?.strip_prefix('$')?.parse().ok()?;
        words_read.push(read_text(reader, size + 2)?.trim_end().to_owned());
    }
    Some(words_read)
}

/// Reads an HTTP request and returns "METHOD path id body".
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut text = read_line(reader)?.replace(" HTTP/1.1", "");
    let mut size = 0;
    loop {
        let field = read_line(reader)?;
        if field.is_empty() {
            break;
        }
        if let Some(id) = field.strip_prefix("X-Correlation-Id: ") {
            text += &format!(" {id}");
        }
        if let Some(count) = field.strip_prefix("Content-Length: ") {
            size = count.parse().ok()?;
        }
    }
    Some(text + " " + &read_text(reader, size)?)
}

/// Encodes the response of a cache to a hit.
pub fn hit_bytes(value: &str) -> Vec<u8> {
    format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len()).into_bytes()
}

/// Responds with a hit.
pub fn hit(value: &str) -> ServerAction {
    ServerAction::Respond(hit_bytes(value))
}

/// Responds with a miss.
pub fn miss() -> ServerAction {
    ServerAction::Respond(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n".to_vec())
}

/// Encodes an HTTP response.
pub fn http_bytes(status: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Responds with an HTTP response.
pub fn http(status: &str, body: &str) -> ServerAction {
    ServerAction::Respond(http_bytes(status, body))
}

/// Starts a server with one connection that responds to each command with these pieces, and sends
/// each piece once the test has sent to the channel.
pub fn piecewise_server(pieces: Vec<Vec<u8>>) -> (SocketAddr, Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (release, released) = channel::<()>();
    std::thread::spawn(move || {
        let mut reader = BufReader::new(listener.accept().expect("a connection").0);
        while read_command(&mut reader).is_some() {
            for piece in &pieces {
                if released.recv_timeout(EVENT_TIMEOUT).is_err() {
                    return;
                }
                let _ = reader.get_mut().write_all(piece);
            }
        }
    });
    (addr, release)
}

/// Returns a script that sends its first response once the test has sent to the channel; `others`
/// is the script of all later messages.
pub fn hold_first_response(
    first: Vec<u8>,
    mut others: impl FnMut(&str) -> ServerAction + Send + 'static,
) -> (
    Sender<()>,
    impl FnMut(&str) -> ServerAction + Send + 'static,
) {
    let (release, pending) = channel();
    let mut pending = Some((pending, first));
    let script = move |words: &str| match pending.take() {
        Some((pending, first)) => ServerAction::RespondOnRelease(pending, first),
        None => others(words),
    };
    (release, script)
}
