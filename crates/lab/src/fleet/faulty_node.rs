//! A faulty node for tests of the rig: it takes the place of a node and breaks one rule on purpose,
//! which the rig must detect. It implements only as much of the protocol as that needs.
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use quartzhub_node::limits::Limits;
use quartzhub_node::resp::{self, encode_command, Parsed};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

/// The misbehaviors to choose from; `good` breaks no rule.
pub const MISBEHAVIORS: [&str; 9] = [
    "good",
    "answers-twice",
    "never-answers",
    "closes",
    "sends-after-answer",
    "writes-twice",
    "goes-on-to-drained",
    "floods-cold",
    "ends-by-itself",
];

/// Number of attempts for one call that overloads a cache which is warming up.
const FLOOD_ATTEMPTS: usize = 60;
/// Delay before a watch that has ended is opened again.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time for which the node serves before it exits by itself.
const EXIT_DELAY: Duration = Duration::from_millis(1_500);
/// Delay from the response to a call until one more attempt is sent for the call.
const LATE_ATTEMPT_DELAY: Duration = Duration::from_millis(900);
/// Time for which the connection of an attempt whose response is not read stays open.
const UNREAD_ATTEMPT_TIME: Duration = Duration::from_millis(300);
/// Response to a successful call.
const VALUE_RESPONSE: &[u8] = b"$5\r\nvalue\r\n";
/// Response to a failed call.
const ERROR_RESPONSE: &[u8] = b"-ERR failed\r\n";

/// The words of a client's command.
type CommandWords = Vec<Vec<u8>>;

/// The misbehavior of the node, and the addresses from its configuration.
struct Context {
    misbehavior: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    caches: Vec<SocketAddr>,
    origin: SocketAddr,
}

impl Context {
    fn parse(misbehavior: &str, config: &str) -> io::Result<Context> {
        let missing = |key: &str| io::Error::new(io::ErrorKind::InvalidInput, key.to_owned());
        let config: serde_json::Value = serde_json::from_str(config)?;
        let addr = |value: &serde_json::Value| {
            value
                .as_str()
                .and_then(|text| text.parse::<SocketAddr>().ok())
        };
        let listen = addr(&config["listen"]).ok_or_else(|| missing("listen"))?;
        let discovery = addr(&config["discovery"]).ok_or_else(|| missing("discovery"))?;
        let servers = config["known"]["servers"]
            .as_array()
            .ok_or_else(|| missing("known"))?;
        let addrs_of_kind = |kind: &str| {
            let servers = servers.iter().filter(|server| server["kind"] == *kind);
            servers
                .filter_map(|server| addr(&server["addr"]))
                .collect::<Vec<_>>()
        };
        let origin = *addrs_of_kind("origin")
            .first()
            .ok_or_else(|| missing("origin"))?;
        Ok(Context {
            misbehavior: misbehavior.to_owned(),
            listen,
            discovery,
            caches: addrs_of_kind("cache"),
            origin,
        })
    }

    fn cache_of(&self, key: usize) -> SocketAddr {
        self.caches[key % self.caches.len()]
    }
}

/// Serves on the addresses of the configuration, with the given misbehavior.
pub fn run(misbehavior: &str, config: &str) -> io::Result<()> {
    let context: &'static Context = Box::leak(Box::new(Context::parse(misbehavior, config)?));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, serve(context))
}

async fn serve(context: &'static Context) -> io::Result<()> {
    let listener = TcpListener::bind(context.listen).await?;
    spawn_local(async move {
        loop {
            let _ = watch_list(context.discovery).await;
            sleep(WATCH_RETRY_DELAY).await;
        }
    });
    eprintln!("faulty node serves on {}", context.listen);
    if context.misbehavior == "ends-by-itself" {
        sleep(EXIT_DELAY).await;
        return Ok(());
    }
    loop {
        let (stream, _) = listener.accept().await?;
        spawn_local(async move { serve_client(stream, context).await });
    }
}

async fn serve_client(mut stream: TcpStream, context: &'static Context) -> io::Result<()> {
    let mut buffer = Vec::new();
    while let Some(words) = read_command(&mut stream, &mut buffer).await? {
        if words.len() < 4 {
            stream.write_all(b"+PONG\r\n").await?;
            continue;
        }
        match context.misbehavior.as_str() {
            "never-answers" => continue,
            "closes" => return Ok(()),
            _ => respond(&mut stream, context, words).await?,
        }
    }
    Ok(())
}

/// Reads the next command; returns `None` when the connection ends or the command is malformed.
async fn read_command(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<CommandWords>> {
    let limits = Limits::default();
    loop {
        match resp::command(buffer, &limits) {
            Parsed::Complete(words, used) => {
                let words = words.iter().map(|word| word.to_vec()).collect();
                buffer.drain(..used);
                return Ok(Some(words));
            }
            Parsed::Incomplete => {
                if stream.read_buf(buffer).await? == 0 {
                    return Ok(None);
                }
            }
            Parsed::Malformed => return Ok(None),
        }
    }
}

/// Executes a call and responds to it, with the misbehavior.
async fn respond(
    stream: &mut TcpStream,
    context: &'static Context,
    words: CommandWords,
) -> io::Result<()> {
    let write = words[0] == b"OBJ.SET";
    let misbehavior = context.misbehavior.as_str();
    let key = usize::from_str_radix(&String::from_utf8_lossy(&words[1]), 16).unwrap_or(0);
    if misbehavior == "floods-cold" && !write {
        for _ in 0..FLOOD_ATTEMPTS {
            let words = words.clone();
            spawn_local(async move { send_unread(context.cache_of(key), &words).await });
        }
        return stream.write_all(VALUE_RESPONSE).await;
    }
    // The endpoint list is ignored, so that attempts still go to draining servers.
    let result = match write {
        true => put(context, &words).await,
        false => get(context, key, &words).await,
    };
    if write && misbehavior == "writes-twice" {
        let _ = put(context, &words).await;
    }
    let response = if result.is_ok() {
        VALUE_RESPONSE
    } else {
        ERROR_RESPONSE
    };
    stream.write_all(response).await?;
    match misbehavior {
        "answers-twice" => stream.write_all(ERROR_RESPONSE).await?,
        "sends-after-answer" if !write => drop(spawn_local(async move {
            sleep(LATE_ATTEMPT_DELAY).await;
            let _ = get(context, key, &words).await;
        })),
        _ => {}
    }
    Ok(())
}

/// Receives all updates of the endpoint list and ignores them.
async fn watch_list(discovery: SocketAddr) -> io::Result<()> {
    let mut stream = TcpStream::connect(discovery).await?;
    stream
        .write_all(b"GET /api/targets?stream=1&index=0 HTTP/1.1\r\n\r\n")
        .await?;
    while stream.read(&mut [0; 4096]).await? > 0 {}
    Ok(())
}

fn command_bytes(words: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = Vec::new();
    let words: Vec<&[u8]> = words.iter().map(Vec::as_slice).collect();
    encode_command(&mut bytes, &words);
    bytes
}

/// Sends an attempt without waiting for its response.
async fn send_unread(cache: SocketAddr, words: &[Vec<u8>]) -> io::Result<()> {
    let mut stream = TcpStream::connect(cache).await?;
    stream.write_all(&command_bytes(words)).await?;
    sleep(UNREAD_ATTEMPT_TIME).await;
    Ok(())
}

async fn get(context: &Context, key: usize, words: &[Vec<u8>]) -> io::Result<()> {
    let stream = TcpStream::connect(context.cache_of(key)).await?;
    let mut reader = BufReader::new(stream);
    reader.get_mut().write_all(&command_bytes(words)).await?;
    let mut line = String::new();
    reader.read_line(&mut line).await?;
    line.clear();
    reader.read_line(&mut line).await?;
    if line.starts_with("$-1") {
        request_origin(context, "GET", words).await?;
    }
    Ok(())
}

async fn put(context: &Context, words: &[Vec<u8>]) -> io::Result<()> {
    request_origin(context, "PUT", words).await
}

async fn request_origin(context: &Context, method: &str, words: &[Vec<u8>]) -> io::Result<()> {
    let mut stream = TcpStream::connect(context.origin).await?;
    let text = |word: &[u8]| String::from_utf8_lossy(word).into_owned();
    let key = text(&words[1]);
    let id = text(&words[2]);
    let attributes = text(&words[3]);
    let value = words.get(4).map(|value| text(value)).unwrap_or_default();
    let fields = format!(
        "X-Correlation-Id: {id}\r\nX-Facts: {attributes}\r\nContent-Length: {}\r\n",
        value.len()
    );
    stream
        .write_all(format!("{method} /{key} HTTP/1.1\r\n{fields}\r\n{value}").as_bytes())
        .await?;
    match stream.read(&mut [0; 256]).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}
