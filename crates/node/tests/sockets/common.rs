//! Starts the program and speaks to it over sockets. The servers are threads that report what they read and do
//! as the test says; tests await events, never set times.
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Longest that any event may take, on a machine however slow.
const PATIENCE: Duration = Duration::from_secs(30);

const SETTINGS: &str = r#"{"Kinds":["box","origin"],"Extra":{"Mode":"aside","OriginKind":1},
    "Caps":{"MostShots":3,"MayDuplicate":true,"Cancelling":true,"ConnectTimeout":5000,"Keepalive":60000},
    "Products":[{"Name":"view","Effect":"idempotent","LatencySlo":20000,"ClientTimeout":40000},
                {"Name":"book","Effect":"at_most_once","LatencySlo":20000,"ClientTimeout":40000}]}"#;

/// What a server does with one command or request.
enum Deed {
    Say(Vec<u8>),
    /// Once the test lets it.
    SayAfter(Receiver<()>, Vec<u8>),
    /// And the end behind it, which is reported.
    Last(Vec<u8>),
    /// Half of it, then the end.
    Cut(Vec<u8>),
    /// Nothing; reports when the node closes the connection.
    Hold,
    Close,
}

type Script = Arc<Mutex<dyn FnMut(&str) -> Deed + Send>>;

/// Starts a server that reads RESP commands, or HTTP requests, and acts by a script. Reports each as
/// "name: words", and "name: closed" when a held connection ends.
fn server(
    name: &'static str,
    seen: Sender<String>,
    script: impl FnMut(&str) -> Deed + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let script: Script = Arc::new(Mutex::new(script));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (seen, script) = (seen.clone(), script.clone());
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                while let Some(words) =
                    if name == "origin" { request(&mut reader) } else { words(&mut reader) }
                {
                    let _ = seen.send(format!("{name}: {words}"));
                    let deed = script.lock().map(|mut script| script(&words));
                    let stream = reader.get_mut();
                    match deed {
                        Ok(Deed::Say(bytes)) => drop(stream.write_all(&bytes)),
                        Ok(Deed::SayAfter(free, bytes)) => {
                            let _ = free.recv_timeout(PATIENCE);
                            let _ = stream.write_all(&bytes);
                        }
                        Ok(Deed::Last(bytes)) => {
                            let _ = stream.write_all(&bytes);
                            drop(reader);
                            let _ = seen.send(format!("{name}: closed"));
                            return;
                        }
                        Ok(Deed::Cut(bytes)) => return drop(stream.write_all(&bytes[..bytes.len() / 2])),
                        Ok(Deed::Hold) => {
                            let _ = stream.read(&mut [0; 64]);
                            let _ = seen.send(format!("{name}: closed"));
                            return;
                        }
                        _ => return,
                    }
                }
            });
        }
    });
    addr
}

fn line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    Some(line.trim_end().to_owned())
}

fn bytes(reader: &mut impl Read, count: usize) -> Option<String> {
    let mut bytes = vec![0; count];
    reader.read_exact(&mut bytes).ok()?;
    Some(String::from_utf8_lossy(&bytes).into_owned())
}

/// A command's words but for the list of names and values, whose wait differs.
fn words(reader: &mut impl BufRead) -> Option<String> {
    let count: usize = line(reader)?.strip_prefix('*')?.parse().ok()?;
    let mut all = Vec::new();
    for _ in 0..count {
        let size: usize = line(reader)?.strip_prefix('$')?.parse().ok()?;
        all.push(bytes(reader, size + 2)?.trim_end().to_owned());
    }
    all.remove(3);
    Some(all.join(" "))
}

fn request(reader: &mut impl BufRead) -> Option<String> {
    let mut said = line(reader)?.replace(" HTTP/1.1", "");
    let mut size = 0;
    loop {
        let field = line(reader)?;
        if field.is_empty() {
            break;
        }
        if let Some(id) = field.strip_prefix("X-Correlation-Id: ") {
            said += &format!(" {id}");
        }
        if let Some(count) = field.strip_prefix("Content-Length: ") {
            size = count.parse().ok()?;
        }
    }
    Some(said + " " + &bytes(reader, size)?)
}

fn found(value: &str) -> Vec<u8> {
    format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len()).into_bytes()
}

fn hit(value: &str) -> Deed {
    Deed::Say(found(value))
}

fn miss() -> Deed {
    Deed::Say(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n".to_vec())
}

fn http(status: &str, body: &str) -> Deed {
    Deed::Say(format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes())
}

struct Node {
    child: Child,
    addr: SocketAddr,
    log: Option<BufReader<std::process::ChildStderr>>,
    file: std::path::PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn entry(id: &str, addr: SocketAddr, state: &str) -> String {
    let kind = if id == "origin" { "origin" } else { "box" };
    format!(r#"{{"id":"{id}","addr":"{addr}","kind":"{kind}","state":"{state}","started_ms":0}}"#)
}

fn list(full: bool, version: u64, servers: &[(&str, SocketAddr, &str)]) -> String {
    let servers: Vec<_> = servers.iter().map(|(id, addr, state)| entry(id, *addr, state)).collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, servers.join(","))
}

fn config(known: &[(&str, SocketAddr)], more: &str) -> String {
    let known: Vec<_> = known.iter().map(|(id, addr)| (*id, *addr, "in_service")).collect();
    let known = list(true, 1, &known);
    format!(r#"{{"listen":"127.0.0.1:0","seed":"7",{more}"known":{known},"settings":{SETTINGS}}}"#)
}

impl Node {
    fn start(known: &[(&str, SocketAddr)], more: &str) -> Node {
        Node::start_with(known, more, 4096)
    }

    fn start_with(known: &[(&str, SocketAddr)], more: &str, descriptors: usize) -> Node {
        Node::with(&config(known, more), descriptors)
    }

    fn with(config: &str, descriptors: usize) -> Node {
        let (mut child, file) = spawn(config, descriptors);
        let mut log = BufReader::new(child.stderr.take().expect("a pipe"));
        let told = std::iter::from_fn(|| line(&mut log)).find(|line| line.contains("serves on"));
        let addr = told.as_ref().and_then(|told| told.rsplit(' ').next()?.parse().ok());
        Node { child, addr: addr.expect("a line that tells the address"), log: Some(log), file }
    }

    /// Awaits a line of the log.
    fn says(&mut self, what: &str) {
        let log = self.log.as_mut().expect("a log");
        let found = std::iter::from_fn(|| line(log)).any(|line| line.contains(what));
        assert!(found, "no line with {what:?}");
    }

    fn client(&self) -> Client {
        let stream = TcpStream::connect(self.addr).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time limit");
        Client(BufReader::new(stream))
    }

    fn signal(&self, name: &str) {
        let done = Command::new("kill").arg(name).arg(self.child.id().to_string()).status();
        assert!(done.expect("kill").success());
    }
}

fn spawn(config: &str, descriptors: usize) -> (Child, std::path::PathBuf) {
    spawn_to(config, descriptors, Stdio::piped())
}

fn spawn_to(config: &str, descriptors: usize, log: Stdio) -> (Child, std::path::PathBuf) {
    use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("quartzhub-{}-{}.json", std::process::id(), COUNT.fetch_add(1, Relaxed));
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, config).expect("a file");
    let child = Command::new("sh")
        .arg("-c")
        .arg(format!("ulimit -n {descriptors} 2>/dev/null; exec \"$0\""))
        .arg(env!("CARGO_BIN_EXE_quartzhub"))
        .env_remove("LB_LISTEN")
        .env_remove("LB_DISCOVERY")
        .env_remove("LB_OPS")
        .env_remove("LB_INHERITED_FD")
        .env("LB_CONFIG", &file)
        .stderr(log)
        .spawn()
        .expect("the program starts");
    (child, file)
}

struct Client(BufReader<TcpStream>);

impl Client {
    fn send(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).expect("sent");
    }

    /// The next answer: a line, with a bulk string's text behind it.
    fn answer(&mut self) -> String {
        let Some(head) = line(&mut self.0) else { return "closed".to_owned() };
        match head.strip_prefix('$').and_then(|count| count.parse::<usize>().ok()) {
            Some(count) => {
                bytes(&mut self.0, count + 2).map_or("cut".into(), |text| text.trim_end().to_owned())
            }
            None => head,
        }
    }

    fn ask(&mut self, words: &[&str]) -> String {
        self.send(&command(words));
        self.answer()
    }
}

fn command(words: &[&str]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len());
    words.iter().for_each(|word| out += &format!("${}\r\n{word}\r\n", word.len()));
    out.into_bytes()
}

const FACTS: &str = "c=view,d=30000";

fn next(seen: &Receiver<String>) -> String {
    seen.recv_timeout(PATIENCE).unwrap_or_else(|_| "nothing".to_owned())
}

#[test]
fn hits_misses_writes_and_plain_commands() {
    let (tell, seen) = channel();
    let mut asked = 0;
    let cache = server("a", tell.clone(), move |_| {
        asked += 1;
        if asked == 1 {
            miss()
        } else {
            hit("kept")
        }
    });
    let origin = server("origin", tell, |words| {
        if words.starts_with("PUT") {
            http("200 OK", "receipt")
        } else {
            http("200 OK", "fetched")
        }
    });
    let node = Node::start(&[("a", cache), ("origin", origin)], "");
    let mut client = node.client();
    assert_eq!(client.ask(&["PING"]), "+PONG");
    assert_eq!(client.ask(&["OBJ.GET", "k1", "id1", FACTS]), "fetched");
    assert_eq!((next(&seen), next(&seen)), ("a: OBJ.GET k1 id1".into(), "origin: GET /k1 id1 ".into()));
    assert_eq!(client.ask(&["OBJ.GET", "k1", "id2", FACTS]), "kept");
    assert_eq!(next(&seen), "a: OBJ.GET k1 id2");
    assert_eq!(client.ask(&["OBJ.SET", "k1", "id3", "c=book,d=30000", "new"]), "receipt");
    assert_eq!(next(&seen), "origin: PUT /k1 id3 new");
    assert_eq!(client.ask(&["SELECT", "0"]), "+OK");
    assert_eq!(client.ask(&["HELLO", "3"]), "-ERR unknown command");
    assert_eq!(client.ask(&["OBJ.GET", "k1"]), "-ERR wrong number of arguments");
    assert_eq!(client.ask(&["OBJ.GET", "k 1", "id4", FACTS]), "-ERR the key is no short plain text");
    assert_eq!(client.ask(&["QUIT"]), "+OK");
    assert_eq!(client.answer(), "closed");
}

#[test]
fn pipelined_commands_in_pieces_are_answered_in_order_with_values_of_64_kib() {
    let (tell, _seen) = channel();
    let value = "v".repeat(64 * 1024);
    let sent = value.clone();
    // The first is answered once the second has been asked for.
    let (free, held) = channel();
    let mut held = Some(held);
    let cache = server("a", tell, move |words| match held.take_if(|_| words.ends_with("id1")) {
        Some(held) => Deed::SayAfter(held, found("first")),
        None => {
            let _ = free.send(());
            hit(&sent)
        }
    });
    let node = Node::start(&[("a", cache)], "");
    let mut client = node.client();
    let mut bytes = command(&["OBJ.GET", "k1", "id1", FACTS]);
    bytes.extend(command(&["PING"]));
    bytes.extend(command(&["OBJ.GET", "k1", "id2", FACTS]));
    for piece in bytes.chunks(7) {
        client.send(piece);
    }
    assert_eq!(client.answer(), "first");
    assert_eq!(client.answer(), "+PONG");
    assert!(client.answer() == value, "the value comes whole");
    let put = client.ask(&["OBJ.SET", "k1", "id4", FACTS, &"w".repeat(64 * 1024)]);
    assert!(put.starts_with("-"), "a write needs an origin: {put}");
    client.send(
        format!("*5\r\n$7\r\nOBJ.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$1\r\nx\r\n${}\r\n", 4 * 1024 * 1024 + 1)
            .as_bytes(),
    );
    assert_eq!(client.answer(), "-ERR Protocol error: commands are arrays of bulk strings");
    assert_eq!(client.answer(), "closed");
}

#[test]
fn garbage_is_told_and_others_are_served_on() {
    let (tell, _seen) = channel();
    let cache = server("a", tell, |_| hit("v"));
    let node = Node::start(&[("a", cache)], "");
    let mut good = node.client();
    for garbage in [&b"\0\xff\xfe"[..], b"GET / HTTP/1.1\r\n\r\n", b"*3\r\n$-1\r\n", b"*99999999999\r\n"] {
        let mut bad = node.client();
        bad.send(garbage);
        assert!(bad.answer().starts_with("-ERR"), "{garbage:?}");
        assert_eq!(bad.answer(), "closed");
        assert_eq!(good.ask(&["OBJ.GET", "k", "id", FACTS]), "v");
    }
}

#[test]
fn a_client_that_says_nothing_or_half_a_command_is_let_go() {
    let node = Node::start(&[], "");
    let (mut silent, mut half) = (node.client(), node.client());
    half.send(b"*4\r\n$7\r\nOBJ.");
    assert_eq!(silent.answer(), "closed");
    assert_eq!(half.answer(), "-ERR Protocol error: the command did not come whole");
    assert_eq!(half.answer(), "closed");
}

#[test]
fn a_client_that_takes_no_answers_is_read_no_further() {
    let node = Node::start(&[], "");
    let mut client = node.client();
    client.0.get_mut().set_write_timeout(Some(Duration::from_secs(1))).expect("a time limit");
    let pings = command(&["PING"]).repeat(4096);
    // More than the sockets' own buffers take.
    let written = (0..500).all(|_| client.0.get_mut().write_all(&pings).is_ok());
    assert!(!written, "all was read, and its answers kept");
}

#[test]
fn a_client_that_is_still_sending_reads_why_it_is_turned_away() {
    let node = Node::start(&[], "");
    let mut client = node.client();
    client.send(b"*5\r\n$7\r\nOBJ.SET\r\n$1\r\nk\r\n$2\r\nid\r\n$10\r\nc=book,d=9\r\n$60000000\r\n");
    assert_eq!(client.answer(), "-ERR Protocol error: commands are arrays of bulk strings");
    // With nobody to read it, the second piece would find the connection reset.
    (0..16).for_each(|_| client.send(&[b'x'; 64 * 1024]));
    assert_eq!(client.answer(), "closed");
}

#[test]
fn a_flood_of_commands_that_can_not_be_done_ends_in_a_close_and_others_are_served_on() {
    let (tell, _seen) = channel();
    let cache = server("a", tell, |_| hit("v"));
    let node = Node::start(&[("a", cache)], "");
    let (mut bad, mut good) = (node.client(), node.client());
    let wrong =
        [["k", "id", "c=none,d=9"], ["k", "id", "c=view,d=soon"], ["k", "", FACTS], ["k", "id", "c=view"]];
    for words in wrong.iter().cycle().take(400) {
        bad.send(&command(&["OBJ.GET", words[0], words[1], words[2]]));
    }
    assert_eq!(good.ask(&["OBJ.GET", "k", "id", FACTS]), "v");
    let answers: Vec<_> =
        std::iter::repeat_with(|| bad.answer()).take_while(|answer| answer != "closed").collect();
    assert!(answers.iter().all(|answer| answer.starts_with("-ERR")) && answers.len() < 40, "{answers:?}");
}

#[test]
fn a_non_idempotent_write_that_may_have_run_is_not_sent_again() {
    let cut = || Deed::Cut(b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nreceipt".to_vec());
    let never = || http("503 Busy\r\nX-Unprocessed: 1", "");
    type Way = (&'static str, fn() -> Deed, usize);
    let ways: [Way; 5] = [
        ("reset", || Deed::Close, 1),
        ("cut", cut, 1),
        ("500", || http("500 Oops", ""), 1),
        ("503, may have run", || http("503 Busy", ""), 1),
        ("503, never ran", never, 3),
    ];
    for (name, deed, most) in ways {
        let (tell, seen) = channel();
        let origin = server("origin", tell, move |_| deed());
        let node = Node::start(&[("origin", origin)], "");
        let answer = node.client().ask(&["OBJ.SET", "k", "id", "c=book,d=30000", "v"]);
        let safe = if most > 1 { "-BUSY" } else { "-ERR" };
        assert!(answer.starts_with(safe), "{name}: {answer}");
        let shots = seen.try_iter().count();
        assert!((1..=most).contains(&shots), "{name}: {shots} shots");
    }
}

#[test]
fn a_client_that_leaves_takes_its_shot_with_it() {
    let (tell, seen) = channel();
    let cache = server("a", tell, |_| Deed::Hold);
    let node = Node::start(&[("a", cache)], "");
    let mut client = node.client();
    client.send(&command(&["OBJ.GET", "k", "id", FACTS]));
    assert_eq!(next(&seen), "a: OBJ.GET k id");
    drop(client);
    assert_eq!(next(&seen), "a: closed");
    assert_eq!(node.client().ask(&["PING"]), "+PONG");
}

/// A discovery whose watches say what the test gives them, one watch after another.
fn discovery(watches: Vec<Receiver<String>>, asked: Sender<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for (stream, says) in listener.incoming().flatten().zip(watches) {
            let asked = asked.clone();
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                let _ = asked.send(request(&mut reader).unwrap_or_default());
                let stream = reader.get_mut();
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                for text in says.iter() {
                    let _ = stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
                }
            });
        }
        std::thread::park();
    });
    addr
}

#[test]
fn garbled_news_are_asked_for_again_and_a_drain_is_kept() {
    let (tell, seen) = channel();
    let a = server("a", tell.clone(), |_| hit("of a"));
    let b = server("b", tell, |_| hit("of b"));
    let (first, first_says) = channel();
    let (second, second_says) = channel();
    let (asked, asks) = channel();
    let from = discovery(vec![first_says, second_says], asked);
    let node = Node::start(&[("a", a)], &format!(r#""discovery":"{from}","#));
    let mut client = node.client();
    assert_eq!(next(&asks), "GET /api/targets?stream=1&index=1 ");
    assert_eq!(client.ask(&["OBJ.GET", "k", "id1", FACTS]), "of a");
    // Garbled: what is known stands, and the whole list is asked for.
    first.send("{\"version\":2,\"servers\":[{\"id\":\n".into()).expect("said");
    drop(first);
    assert_eq!(next(&asks), "GET /api/targets?stream=1&index=0 ");
    assert_eq!(client.ask(&["OBJ.GET", "k", "id2", FACTS]), "of a");
    // In two pieces, with signs of life between.
    let news = list(true, 3, &[("a", a, "terminating"), ("b", b, "in_service")]);
    let (head, tail) = news.split_at(40);
    [format!("\n\n{head}"), format!("{tail}\n\n")].into_iter().for_each(|t| second.send(t).expect("said"));
    while client.ask(&["OBJ.GET", "k", "id3", FACTS]) != "of b" {}
    seen.try_iter().for_each(drop);
    for _ in 0..50 {
        assert_eq!(client.ask(&["OBJ.GET", "k", "id4", FACTS]), "of b");
        assert_eq!(next(&seen), "b: OBJ.GET k id4");
    }
}

#[test]
fn sigterm_answers_what_was_taken_and_what_still_comes() {
    let (tell, seen) = channel();
    let (free, held) = channel();
    let mut held = Some(held);
    let cache = server("a", tell, move |_| match held.take() {
        Some(held) => Deed::SayAfter(held, found("v")),
        None => hit("w"),
    });
    let mut node = Node::start(&[("a", cache)], "");
    let (mut idle, mut busy) = (node.client(), node.client());
    assert_eq!(idle.ask(&["PING"]), "+PONG");
    busy.send(&command(&["OBJ.GET", "k", "id1", FACTS]));
    assert_eq!(next(&seen), "a: OBJ.GET k id1");
    node.signal("-TERM");
    node.says("asked to stop");
    let mut late = node.client();
    assert_eq!(late.ask(&["PING"]), "+PONG");
    // Those that it has are served on until its time is nearly over.
    assert_eq!(idle.ask(&["OBJ.GET", "other", "id2", FACTS]), "w");
    assert_eq!((idle.answer(), late.answer()), ("closed".into(), "closed".into()));
    free.send(()).expect("freed");
    assert_eq!(busy.answer(), "v");
    assert_eq!(busy.answer(), "closed");
    assert!(node.child.wait().expect("an end").success());
}

#[test]
fn what_lies_unread_on_an_idle_connection_at_the_end_is_answered() {
    let (tell, _seen) = channel();
    let cache = server("a", tell, |_| hit("v"));
    for _ in 0..3 {
        let mut node = Node::with(&config(&[("a", cache)], "").replace("40000", "100"), 4096);
        let mut clients: Vec<_> = (0..20).map(|_| node.client()).collect();
        clients.iter_mut().for_each(|client| assert_eq!(client.ask(&["PING"]), "+PONG"));
        node.signal("-STOP");
        clients.iter_mut().for_each(|client| client.send(&command(&["PING", "still here"])));
        node.signal("-TERM");
        node.signal("-CONT");
        for client in &mut clients {
            assert_eq!((client.answer(), client.answer()), ("still here".into(), "closed".into()));
        }
        assert!(node.child.wait().expect("an end").success());
    }
}

#[test]
fn with_all_places_taken_an_idle_client_makes_room() {
    let (tell, _seen) = channel();
    let cache = server("a", tell, |_| hit("v"));
    let node = Node::start(&[("a", cache)], r#""limits":{"sockets":64,"memory_mb":32},"#);
    let mut clients: Vec<_> = (0..100).map(|_| node.client()).collect();
    // Some of the first were closed for others; whoever came last is served.
    let last = clients.last_mut().expect("a client");
    assert_eq!(last.ask(&["OBJ.GET", "k", "id", FACTS]), "v");
}

#[test]
fn a_process_with_fewer_descriptors_than_told_serves_on() {
    let (tell, _seen) = channel();
    let cache = server("a", tell, |_| hit("v"));
    let node = Node::start_with(&[("a", cache)], r#""limits":{"sockets":1024},"#, 56);
    let mut clients: Vec<_> = (0..100).map(|_| node.client()).collect();
    for client in clients.iter_mut().rev().take(10) {
        assert_eq!(client.ask(&["OBJ.GET", "k", "id", FACTS]), "v");
    }
}

#[test]
fn a_client_that_does_not_read_holds_up_nobody_and_gets_all_in_the_end() {
    let (tell, _seen) = channel();
    let value = "v".repeat(64 * 1024);
    let sent = value.clone();
    let cache = server("a", tell, move |_| hit(&sent));
    let node = Node::start(&[("a", cache)], "");
    let (mut lazy, mut other) = (node.client(), node.client());
    for id in 0..150 {
        lazy.send(&command(&["OBJ.GET", "k", &format!("id{id}"), FACTS]));
    }
    assert!(other.ask(&["OBJ.GET", "k", "id", FACTS]) == value);
    for id in 0..150 {
        // More shots at once than one cache may have are turned away; no value is cut or out of its place.
        let answer = lazy.answer();
        assert!(answer == value || answer.starts_with("-BUSY"), "{id}: {} bytes", answer.len());
    }
    assert_eq!(lazy.ask(&["PING"]), "+PONG");
}

#[test]
fn a_server_that_closes_behind_each_answer_costs_no_call() {
    let (tell, seen) = channel();
    // Three, as the end of one connection may still cross a shot on its way.
    let caches = ["a", "b", "c"].map(|name| (name, server(name, tell.clone(), |_| Deed::Last(found("v")))));
    let node = Node::start(&caches, "");
    let mut client = node.client();
    for id in 0..30 {
        assert_eq!(client.ask(&["OBJ.GET", "k", &format!("id{id}"), FACTS]), "v");
        assert!(next(&seen).ends_with(&format!(": OBJ.GET k id{id}")));
        assert!(next(&seen).ends_with(": closed"));
    }
}

#[test]
fn what_came_while_the_process_stood_still_too_long_is_turned_away_unsent() {
    let (tell, seen) = channel();
    let cache = server("a", tell, |_| hit("v"));
    let node = Node::start(&[("a", cache)], "");
    let mut client = node.client();
    assert_eq!(client.ask(&["OBJ.GET", "k", "id1", FACTS]), "v");
    assert_eq!(next(&seen), "a: OBJ.GET k id1");
    node.signal("-STOP");
    client.send(&command(&["OBJ.GET", "k", "id2", "c=view,d=300"]));
    // The client's wait passes: time is what this is about.
    std::thread::sleep(Duration::from_millis(400));
    node.signal("-CONT");
    assert!(client.answer().starts_with('-'));
    assert_eq!(client.ask(&["OBJ.GET", "k", "id3", FACTS]), "v");
    assert_eq!(next(&seen), "a: OBJ.GET k id3");
}

#[test]
fn for_clients_that_left_while_the_process_stood_still_nothing_is_sent() {
    let (tell, seen) = channel();
    let cache = server("a", tell, |_| hit("v"));
    let node = Node::start(&[("a", cache)], "");
    let mut stays = node.client();
    assert_eq!(stays.ask(&["OBJ.GET", "k", "id", FACTS]), "v");
    assert_eq!(next(&seen), "a: OBJ.GET k id");
    let mut leave: Vec<_> = (0..50).map(|_| node.client()).collect();
    leave.iter_mut().for_each(|client| assert_eq!(client.ask(&["PING"]), "+PONG"));
    node.signal("-STOP");
    for (i, client) in leave.iter_mut().enumerate() {
        client.send(&command(&["OBJ.GET", "k", &format!("gone{i}"), FACTS]));
    }
    drop(leave);
    // Long enough to be seen as a stall.
    std::thread::sleep(Duration::from_millis(100));
    node.signal("-CONT");
    assert_eq!(stays.ask(&["OBJ.GET", "k", "last", FACTS]), "v");
    assert_eq!(next(&seen), "a: OBJ.GET k last");
}

#[test]
fn a_silent_discovery_is_asked_again() {
    let (tell, _seen) = channel();
    let cache = server("a", tell, |_| hit("v"));
    // Both say nothing for as long as their senders are there.
    let (_first, first_says) = channel();
    let (_second, second_says) = channel();
    let (asked, asks) = channel();
    let from = discovery(vec![first_says, second_says], asked);
    let node = Node::start(&[("a", cache)], &format!(r#""discovery":"{from}","#));
    assert_eq!(next(&asks), "GET /api/targets?stream=1&index=1 ");
    assert_eq!(node.client().ask(&["OBJ.GET", "k", "id", FACTS]), "v");
    assert_eq!(next(&asks), "GET /api/targets?stream=1&index=1 ");
}

/// A watch may fall silent before its first byte, in its head, within a line, or end in a reset: each time another is
/// asked for, from where the news had got to, and the drain that it tells is kept.
#[test]
fn a_watch_that_falls_silent_at_any_point_is_begun_anew() {
    let (tell, seen) = channel();
    let a = server("a", tell.clone(), |_| hit("of a"));
    let b = server("b", tell, |_| hit("of b"));
    let (asked, asks) = channel();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let from = listener.local_addr().expect("an address");
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunk = |text: &str| format!("{head}{:x}\r\n{text}\r\n", text.len());
    let news = list(true, 4, &[("a", a, "terminating"), ("b", b, "in_service")]) + "\n";
    let unchanged = list(false, 2, &[]) + "\n";
    let says = ["".into(), head[..20].into(), chunk(&news[..30]), chunk(&unchanged), chunk(&news)].map(Some);
    std::thread::spawn(move || {
        let mut held = Vec::new();
        for (number, (stream, mut says)) in listener.incoming().flatten().zip(says).enumerate() {
            let mut reader = BufReader::new(stream);
            let _ = asked.send(request(&mut reader).unwrap_or_default());
            let _ = reader.get_mut().write_all(says.take().unwrap_or_default().as_bytes());
            // The fourth ends behind its line, the others stay open and say no more.
            if number != 3 {
                held.push(reader);
            }
        }
        std::thread::park();
    });
    let node = Node::start(&[("a", a)], &format!(r#""discovery":"{from}","#));
    for index in [1, 1, 1, 1, 2] {
        assert_eq!(next(&asks), format!("GET /api/targets?stream=1&index={index} "));
    }
    let mut client = node.client();
    while client.ask(&["OBJ.GET", "k", "id", FACTS]) != "of b" {}
    seen.try_iter().for_each(drop);
    assert_eq!(client.ask(&["OBJ.GET", "k", "last", FACTS]), "of b");
    assert_eq!(next(&seen), "b: OBJ.GET k last");
}

#[test]
fn news_without_end_are_given_up_and_asked_for_again() {
    let (tell, _seen) = channel();
    let cache = server("a", tell, |_| hit("v"));
    let (first, first_says) = channel();
    let (_second, second_says) = channel();
    let (asked, asks) = channel();
    let from = discovery(vec![first_says, second_says], asked);
    let node = Node::start(&[("a", cache)], &format!(r#""discovery":"{from}","#));
    assert_eq!(next(&asks), "GET /api/targets?stream=1&index=1 ");
    (0..40).for_each(|_| first.send(" ".repeat(64 * 1024)).expect("said"));
    assert_eq!(next(&asks), "GET /api/targets?stream=1&index=1 ");
    assert_eq!(node.client().ask(&["OBJ.GET", "k", "id", FACTS]), "v");
}

#[test]
fn sighup_moves_discovery_and_drops_no_call_and_a_faulty_file_changes_nothing() {
    let (tell, seen) = channel();
    let (free, held) = channel();
    let mut held = Some(held);
    let a = server("a", tell.clone(), move |words| match held.take_if(|_| words.ends_with("id1")) {
        Some(held) => Deed::SayAfter(held, found("of a")),
        None => hit("of a"),
    });
    let b = server("b", tell, |_| hit("of b"));
    let (_first, first_says) = channel();
    let (second, second_says) = channel();
    let (asked, asks) = channel();
    let [old, new] = [first_says, second_says].map(|says| discovery(vec![says], asked.clone()));
    let known = [("a", a)];
    let mut node = Node::start(&known, &format!(r#""discovery":"{old}","#));
    let (mut client, mut other) = (node.client(), node.client());
    assert_eq!(next(&asks), "GET /api/targets?stream=1&index=1 ");
    client.send(&command(&["OBJ.GET", "k", "id1", FACTS]));
    assert_eq!(next(&seen), "a: OBJ.GET k id1");
    let mut again = |text: &str, says: &str| {
        std::fs::write(&node.file, text).expect("a new file");
        node.signal("-HUP");
        node.says(says);
    };
    let moved = format!(r#""discovery":"{new}","#);
    let cut = config(&known, &moved);
    again(&cut[..cut.len() / 2], "; the one before is kept");
    again(&config(&known, r#""discovery":"here","#), "discovery: \"here\" is not an address");
    assert_eq!(other.ask(&["OBJ.GET", "k", "id2", FACTS]), "of a");
    again(&config(&known, &(moved + r#""limits":{"sockets":99},"#)), "limits: changes at a restart only");
    assert_eq!(next(&asks), "GET /api/targets?stream=1&index=0 ");
    second.send(list(true, 1, &[("a", a, "terminating"), ("b", b, "in_service")]) + "\n").expect("said");
    while other.ask(&["OBJ.GET", "k", "id3", FACTS]) != "of b" {}
    free.send(()).expect("freed");
    assert_eq!(client.answer(), "of a");
}

#[test]
fn a_log_that_nobody_reads_stops_nothing() {
    let (tell, _seen) = channel();
    let cache = server("a", tell, |_| hit("v"));
    let gone =
        TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port that is free again");
    let mut node = Node::start(&[("a", cache)], &format!(r#""discovery":"{gone}","#));
    drop(node.log.take());
    let mut client = node.client();
    // The node is asked to stop and its watch is refused: both are worth a line.
    assert_eq!(client.ask(&["OBJ.GET", "k", "id", FACTS]), "v");
    node.signal("-TERM");
    assert!(node.child.wait().expect("an end").success());
}

#[test]
fn a_log_whose_reader_stands_still_holds_up_nothing() {
    let (_reader, mut log) = std::io::pipe().expect("a pipe");
    // As much as it takes.
    log.write_all(&[b'.'; 64 * 1024]).expect("filled");
    let before = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = before.local_addr().expect("an address");
    let (_says, said) = channel();
    let (asked, asks) = channel();
    let from = discovery(vec![said], asked);
    let config = format!(r#"{{"listen":"{addr}","discovery":"{from}","settings":{SETTINGS}}}"#);
    drop(before);
    let (child, file) = spawn_to(&config, 4096, log.into());
    let mut node = Node { child, addr, log: None, file };
    // By then it listens.
    assert_eq!(next(&asks), "GET /api/targets?stream=1&index=0 ");
    assert_eq!(node.client().ask(&["PING"]), "+PONG");
    node.signal("-TERM");
    assert!(node.child.wait().expect("an end").success());
}

#[test]
fn an_address_that_is_in_use_is_waited_for() {
    let before = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = before.local_addr().expect("an address");
    let (child, file) = spawn(&format!(r#"{{"listen":"{addr}","settings":{SETTINGS}}}"#), 4096);
    let mut node = Node { child, addr, log: None, file };
    node.log = node.child.stderr.take().map(BufReader::new);
    node.says(&format!("quartzhub: {addr} is in use: waiting for it"));
    drop(before);
    node.says(&format!("quartzhub: quartzhub serves on {addr}"));
    assert_eq!(node.client().ask(&["PING"]), "+PONG");
}

#[test]
fn a_faulty_configuration_is_told_with_its_key() {
    let (child, file) = spawn(r#"{"listen":"here","settings":{}}"#, 4096);
    let output = child.wait_with_output().expect("an end");
    let _ = std::fs::remove_file(file);
    assert!(!output.status.success());
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(said.contains(r#"listen: "here" is not an address"#), "{said}");
}

/// What the operators' front answers to these bytes, up to its close.
fn ops(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).expect("a connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time limit");
    stream.write_all(bytes).expect("sent");
    let mut said = String::new();
    stream.read_to_string(&mut said).expect("a close");
    said
}

fn operate(addr: SocketAddr, call: &str) -> String {
    let said = ops(addr, format!("{call} HTTP/1.1\r\nHost: node\r\n\r\n").as_bytes());
    let head = said.lines().next().unwrap_or_default().replace("HTTP/1.1 ", "");
    let body = said.split_once("\r\n\r\n").map_or("", |parts| parts.1);
    format!("{head}: {body}").trim_end().to_owned()
}

/// A port that was free a moment ago.
fn free() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address")
}

#[test]
fn operators_read_figures_send_clients_away_and_call_them_back() {
    let (tell, _seen) = channel();
    let cache = server("a", tell, |_| hit("v"));
    let addr = free();
    let mut node = Node::start(&[("a", cache)], &format!(r#""ops":"{addr}","#));
    let mut client = node.client();
    assert_eq!(client.ask(&["OBJ.GET", "k1", "id1", FACTS]), "v");
    // Callers with half a call, more than are kept, hold up nobody.
    let half: Vec<_> = (0..40).map(|_| TcpStream::connect(addr).expect("a connection")).collect();
    half.iter().for_each(|mut stream| drop(stream.write_all(b"GET /control/re")));
    let mut told = String::new();
    for call in ["GET /control/ready", "GET /control/counters", "POST /control/ready", "GET /nothing"] {
        told += &format!("{call}: {}\n", operate(addr, call));
    }
    for broken in [&b"\0\xff\r\n\r\n"[..], &[b"GET /".to_vec(), vec![b'x'; 20_000]].concat()] {
        let said = ops(addr, broken);
        told += &format!("{}: {}\n", broken.len(), said.lines().next().unwrap_or_default());
    }
    told += &format!("POST /control/out-of-service: {}\n", operate(addr, "POST /control/out-of-service"));
    told += &format!("GET /control/ready: {}\n", operate(addr, "GET /control/ready"));
    let mut front = node.client();
    told += &format!("PING: {}\n", front.ask(&["PING"]));
    // What still comes is served; a kept connection is closed between answers.
    told += &format!("OBJ.GET: {}\n", client.ask(&["OBJ.GET", "k1", "id2", FACTS]));
    told += &format!("then: {}\n", client.answer());
    told += &format!("POST /control/in-service: {}\n", operate(addr, "POST /control/in-service"));
    told += &format!("GET /control/ready: {}\n", operate(addr, "GET /control/ready"));
    told += &format!("PING: {}\n", node.client().ask(&["PING"]));
    drop(half);
    node.says("operators: in service");
    expect_test::expect![[r#"
        GET /control/ready: 200 OK: ready
        GET /control/counters: 200 OK: {"responses":{"book":{"ok":0,"shed":0,"errors":0},"view":{"ok":1,"shed":0,"errors":0}},"tries":1,"active":0,"pool_size":1,"pool_ejected":0,"config_applied":0,"config_rejected":0}
        POST /control/ready: 405 Method Not Allowed: another method is needed
        GET /nothing: 404 Not Found: no such call
        6: HTTP/1.1 400 Bad Request
        20005: HTTP/1.1 431 Request Header Fields Too Large
        POST /control/out-of-service: 200 OK: out of service
        GET /control/ready: 503 Service Unavailable: not ready
        PING: -ERR out of service
        OBJ.GET: v
        then: closed
        POST /control/in-service: 200 OK: in service
        GET /control/ready: 200 OK: ready
        PING: +PONG
    "#]]
    .assert_eq(&told);
}

/// A node that inherits the listener as descriptor 4, once it says yes.
fn heir(listener: &TcpListener, config: &str, ops: SocketAddr) -> Node {
    static COUNT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    let count = COUNT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let file = std::env::temp_dir().join(format!("quartzhub-heir-{}-{count}.json", std::process::id()));
    std::fs::write(&file, config).expect("a file");
    let inherited = std::os::fd::OwnedFd::from(listener.try_clone().expect("a descriptor"));
    let child = Command::new("sh")
        .args(["-c", "exec 4<&0 0</dev/null; exec \"$0\"", env!("CARGO_BIN_EXE_quartzhub")])
        .stdin(Stdio::from(inherited))
        .env_remove("LB_LISTEN")
        .env_remove("LB_DISCOVERY")
        .env("LB_OPS", ops.to_string())
        .env("LB_INHERITED_FD", "4")
        .env("LB_CONFIG", &file)
        .spawn()
        .expect("the program starts");
    let addr = listener.local_addr().expect("an address");
    let begun = std::time::Instant::now();
    while begun.elapsed() < PATIENCE {
        if TcpStream::connect(ops).is_ok() && operate(ops, "GET /control/ready").starts_with("200") {
            break;
        }
        std::thread::yield_now();
    }
    Node { child, addr, log: None, file }
}

#[test]
fn a_new_version_takes_over_on_the_same_socket_and_no_call_is_lost() {
    let (tell, seen) = channel();
    let (free_it, held) = channel();
    let mut held = Some(held);
    let cache = server("a", tell, move |words| match held.take_if(|_| words.ends_with("id1")) {
        Some(held) => Deed::SayAfter(held, found("slow")),
        None => hit("v"),
    });
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let config = config(&[("a", cache)], "");
    let (first, second) = (free(), free());
    let mut old = heir(&listener, &config, first);
    let (mut busy, mut idle) = (old.client(), old.client());
    assert_eq!(idle.ask(&["PING"]), "+PONG");
    busy.send(&command(&["OBJ.GET", "k1", "id1", FACTS]));
    assert_eq!(next(&seen), "a: OBJ.GET k1 id1");
    let new = heir(&listener, &config, second);
    old.signal("-TERM");
    // The idle client is let go; the one at work gets its answer first.
    assert_eq!(idle.answer(), "closed");
    let mut fresh = new.client();
    assert_eq!(fresh.ask(&["OBJ.GET", "k1", "id2", FACTS]), "v");
    free_it.send(()).expect("the server waits");
    assert_eq!((busy.answer(), busy.answer()), ("slow".into(), "closed".into()));
    assert!(old.child.wait().expect("an end").success());
    assert_eq!(fresh.ask(&["OBJ.GET", "k1", "id3", FACTS]), "v");
    assert_eq!(operate(second, "GET /control/ready"), "200 OK: ready");
}

#[test]
fn an_inherited_descriptor_that_is_no_listening_socket_is_told() {
    let file = std::env::temp_dir().join(format!("quartzhub-fd-{}.json", std::process::id()));
    std::fs::write(&file, config(&[], "")).expect("a file");
    let mut told = String::new();
    for (number, setup) in [("9", ""), ("4", "exec 4</dev/null;"), ("x", ""), ("2", "")] {
        let script = format!("{setup} exec \"$0\"");
        let done = Command::new("sh")
            .args(["-c", &script, env!("CARGO_BIN_EXE_quartzhub")])
            .env("LB_INHERITED_FD", number)
            .env("LB_CONFIG", &file)
            .output()
            .expect("the program runs");
        let log = String::from_utf8_lossy(&done.stderr).into_owned();
        let said = log.lines().last().unwrap_or_default().rsplit("descriptor").next().unwrap_or_default();
        told += &format!("{number}: {}, {said}\n", done.status.success());
    }
    let _ = std::fs::remove_file(&file);
    expect_test::expect![[r#"
        9: false,  9 is not open
        4: false,  4: no socket
        x: false, 
        2: false, 
    "#]]
    .assert_eq(&told);
}

#[test]
fn sighup_adds_and_drops_products_and_counts_what_it_turned_down() {
    let (tell, seen) = channel();
    let cache = server("a", tell, |_| hit("v"));
    let addr = free();
    let before = config(&[("a", cache)], &format!(r#""ops":"{addr}","#));
    let mut node = Node::with(&before, 4096);
    let mut client = node.client();
    assert_eq!(client.ask(&["OBJ.GET", "k1", "id1", "c=new,d=30000"]), "-ERR no such product");
    let mut again = |text: &str, line: &str| {
        std::fs::write(&node.file, text).expect("written");
        node.signal("-HUP");
        node.says(line);
    };
    again(&before.replace(r#""view""#, r#""new""#), "configuration read again, with other settings");
    again(&before[..before.len() / 2], "the one before is kept");
    assert_eq!(client.ask(&["OBJ.GET", "k1", "id2", "c=new,d=30000"]), "v");
    assert_eq!(next(&seen), "a: OBJ.GET k1 id2");
    assert_eq!(client.ask(&["OBJ.GET", "k1", "id3", FACTS]), "-ERR no such product");
    let told = operate(addr, "GET /control/counters");
    expect_test::expect![[r#"
        200 OK: {"responses":{"book":{"ok":0,"shed":0,"errors":0},"new":{"ok":1,"shed":0,"errors":0},"view":{"ok":0,"shed":0,"errors":0}},"tries":1,"active":0,"pool_size":1,"pool_ejected":0,"config_applied":1,"config_rejected":1}
    "#]]
    .assert_eq(&(told + "\n"));
}

/// A server that answers one command with these pieces, each once the test lets it, and reports when it is read no more.
fn in_pieces(pieces: Vec<Vec<u8>>) -> (SocketAddr, Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (go, let_go) = channel::<()>();
    std::thread::spawn(move || {
        let mut reader = BufReader::new(listener.accept().expect("a connection").0);
        while words(&mut reader).is_some() {
            for piece in &pieces {
                if let_go.recv_timeout(PATIENCE).is_err() {
                    return;
                }
                let _ = reader.get_mut().write_all(piece);
            }
        }
    });
    (addr, go)
}

/// The head of a bulk string, and the text of so many of its bytes.
fn bulk_head(client: &mut Client) -> String {
    line(&mut client.0).unwrap_or_else(|| "closed".to_owned())
}

#[test]
fn a_large_value_is_passed_on_as_it_comes() {
    let size = 300_000;
    let value = "v".repeat(size);
    let whole = found(&value);
    let (first, rest) = whole.split_at(100_000);
    let (cache, go) = in_pieces(vec![first.to_vec(), rest[..150_000].to_vec(), rest[150_000..].to_vec()]);
    let node = Node::start(&[("a", cache)], "");
    let mut client = node.client();
    client.send(&command(&["OBJ.GET", "k1", "id1", FACTS]));
    client.send(&command(&["PING"]));
    for round in 0..2 {
        go.send(()).expect("the server waits");
        assert_eq!(bulk_head(&mut client), format!("${size}"));
        // What has come is there before the rest has.
        let some = bytes(&mut client.0, 90_000).expect("the first bytes");
        go.send(()).expect("the server waits");
        let more = bytes(&mut client.0, 120_000).expect("more");
        go.send(()).expect("the server waits");
        let last = bytes(&mut client.0, size - 210_000 + 2).expect("the rest");
        assert!(some + &more + &last == value.clone() + "\r\n", "round {round}");
        assert_eq!(client.answer(), "+PONG");
        // The same link carries the next.
        client.send(&command(&["OBJ.GET", "k1", &format!("again{round}"), FACTS]));
        client.send(&command(&["PING"]));
    }
}

#[test]
fn a_large_value_that_breaks_off_or_has_no_good_end_closes_the_client() {
    let value = "v".repeat(100_000);
    let spoilt = format!("*3\r\n${}\r\n{value}xx$3\r\nhit\r\n$-1\r\n", value.len()).into_bytes();
    for bytes_sent in [found(&value)[..90_000].to_vec(), spoilt] {
        let (tell, seen) = channel();
        let cache = server("a", tell, move |_| Deed::Last(bytes_sent.clone()));
        let node = Node::start(&[("a", cache)], "");
        let mut client = node.client();
        client.send(&command(&["OBJ.GET", "k1", "id1", FACTS]));
        let mut said = Vec::new();
        client.0.read_to_end(&mut said).expect("an end");
        assert!(said.len() < value.len() + 9, "{} bytes were passed on", said.len());
        // It has begun, so there is no other shot.
        assert_eq!(next(&seen), "a: OBJ.GET k1 id1");
        assert_eq!(next(&seen), "a: closed");
        assert_eq!(node.client().ask(&["PING"]), "+PONG");
        assert!(seen.try_recv().is_err());
    }
}

#[test]
fn large_writes_and_fetches_go_whole_to_and_from_the_origin_and_memory_bounds_them() {
    let (tell, seen) = channel();
    let value = "w".repeat(4 * 1024 * 1024);
    let sent = value.clone();
    let origin = server("origin", tell, move |words| match words.starts_with("PUT") {
        true => http("200 OK", &(words.len() - "PUT /k1 id1 ".len()).to_string()),
        false => http("200 OK", &sent),
    });
    let addr = free();
    let ops_key = format!(r#""ops":"{addr}","limits":{{"memory_mb":32}},"#);
    let node = Node::start(&[("origin", origin)], &ops_key);
    let mut client = node.client();
    let put = client.ask(&["OBJ.SET", "k1", "id1", "c=book,d=30000", &value]);
    assert_eq!(put, value.len().to_string());
    drop(next(&seen));
    // More than fit at once, each in pieces: all are taken in the end, or turned away before they are.
    let told: Vec<String> = std::thread::scope(|scope| {
        let one = |i: usize| {
            let (node, value) = (&node, &value);
            scope.spawn(move || {
                let mut client = node.client();
                let bytes = command(&["OBJ.SET", "k1", &format!("i{i:02}"), "c=book,d=30000", value]);
                for piece in bytes.chunks(200_000) {
                    if client.0.get_mut().write_all(piece).is_err() {
                        break;
                    }
                }
                client.answer()
            })
        };
        let all: Vec<_> = (0..6).map(one).collect();
        all.into_iter().map(|one| one.join().expect("a client")).collect()
    });
    let good = told.iter().filter(|said| **said == value.len().to_string()).count();
    let turned_away = told.iter().filter(|said| said.starts_with('-')).count();
    assert!(good >= 2 && good + turned_away == 6, "{told:?}");
    let fetched = node.client().ask(&["OBJ.GET", "k2", "id2", FACTS]);
    assert!(fetched == value || fetched.starts_with('-'), "{} bytes", fetched.len());
    let figures = operate(addr, "GET /control/counters");
    assert!(figures.contains(r#""active":0"#), "{figures}");
}

#[test]
fn a_client_that_leaves_in_the_middle_of_a_value_ends_its_shot() {
    let (tell, seen) = channel();
    let value = "v".repeat(4 * 1024 * 1024);
    let cache = server("a", tell, move |_| hit(&value));
    let addr = free();
    let node = Node::start(&[("a", cache)], &format!(r#""ops":"{addr}","#));
    let mut client = node.client();
    client.send(&command(&["OBJ.GET", "k1", "id1", FACTS]));
    assert_eq!(bulk_head(&mut client), "$4194304");
    assert_eq!(next(&seen), "a: OBJ.GET k1 id1");
    assert!(operate(addr, "GET /control/counters").contains(r#""active":1"#));
    drop(client);
    let begun = std::time::Instant::now();
    while !operate(addr, "GET /control/counters").contains(r#""active":0"#) {
        assert!(begun.elapsed() < PATIENCE, "the API call is still open");
    }
}

#[test]
fn a_body_in_chunks_is_taken_with_its_last_fields_also_when_it_is_large() {
    let (tell, seen) = channel();
    let value = "v".repeat(1_000_000);
    let mut large = "HTTP/1.1 200 \r\ntransfer-encoding:chunked\r\n\r\n".to_owned();
    for part in [&value[..3], &value[..700_000], &value[..299_997]] {
        large += &format!("{:06x};part=1\r\n{part}\r\n", part.len());
    }
    large += "0\r\nX-Sum: 5f3a\r\nX-Done: 1\r\n\r\n";
    let (mut count, to_the_end) = (0, format!("HTTP/1.1 200 OK\r\n\r\n{value}"));
    let origin = server("origin", tell, move |_| {
        count += 1;
        match count {
            1 | 2 => Deed::Say(large.clone().into_bytes()),
            3 => Deed::Last(to_the_end.clone().into_bytes()),
            _ => Deed::Say(
                [&b"HTTP/1.1 200 \r\nTransfer-Encoding: chunked\r\n\r\n"[..], &b"9\r\n".repeat(9)].concat(),
            ),
        }
    });
    let node = Node::start(&[("origin", origin)], "");
    let mut client = node.client();
    for id in ["id1", "id2", "id3"] {
        assert!(client.ask(&["OBJ.GET", "k1", id, FACTS]) == value, "{id}");
        assert_eq!(next(&seen), format!("origin: GET /k1 {id} "));
    }
    assert_eq!(next(&seen), "origin: closed");
    assert!(client.ask(&["OBJ.SET", "k1", "id4", "c=book,d=30000", "w"]).starts_with("-ERR"));
}

#[test]
fn an_upgrade_of_a_node_out_of_service_and_a_reload_amid_it() {
    let (tell, _seen) = channel();
    let cache = server("a", tell, |_| hit("v"));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let text = config(&[("a", cache)], "");
    let (first, second) = (free(), free());
    let mut old = heir(&listener, &text, first);
    let mut kept = old.client();
    assert_eq!(kept.ask(&["OBJ.GET", "k1", "id1", FACTS]), "v");
    assert_eq!(operate(first, "POST /control/out-of-service"), "200 OK: out of service");
    assert_eq!(kept.answer(), "closed");
    // The new process knows nothing of the drain: it is in service, and so is the node.
    let new = heir(&listener, &text, second);
    let other = text.replace(r#""view""#, r#""new""#);
    for node in [&old, &new] {
        std::fs::write(&node.file, &other).expect("written");
        node.signal("-HUP");
    }
    let begun = std::time::Instant::now();
    while [first, second]
        .iter()
        .any(|addr| !operate(*addr, "GET /control/counters").contains(r#""config_applied":1"#))
    {
        assert!(begun.elapsed() < PATIENCE, "no reload");
    }
    old.signal("-TERM");
    assert!(old.child.wait().expect("an end").success());
    let mut client = new.client();
    assert_eq!(client.ask(&["PING"]), "+PONG");
    assert_eq!(client.ask(&["OBJ.GET", "k1", "id2", "c=new,d=30000"]), "v");
    assert_eq!(client.ask(&["OBJ.GET", "k1", "id3", FACTS]), "-ERR no such product");
}

// What announced a large value was taken for a spoilt answer where it came by itself, and the call was turned away.
#[test]
fn the_head_of_a_large_value_may_come_by_itself() {
    let value = "v".repeat(66_000);
    let whole = found(&value);
    let (head, rest) = whole.split_at("*3\r\n$66000\r\n".len());
    let (cache, go) = in_pieces(vec![head.to_vec(), rest.to_vec()]);
    let node = Node::start(&[("a", cache)], "");
    let (mut client, mut other) = (node.client(), node.client());
    client.send(&command(&["OBJ.GET", "k1", "id1", FACTS]));
    go.send(()).expect("the server waits");
    // The node reads the head among these.
    (0..200).for_each(|_| assert_eq!(other.ask(&["PING"]), "+PONG"));
    go.send(()).expect("the server waits");
    assert!(client.answer() == value);
}

#[test]
fn peers_that_write_a_byte_at_a_time_are_served() {
    let value = "v".repeat(66_000);
    let small = found("small").into_iter().map(|byte| vec![byte]).collect();
    let (cache, go) = in_pieces(small);
    let node = Node::start(&[("a", cache)], "");
    let mut client = node.client();
    for byte in command(&["OBJ.GET", "k1", "id1", FACTS]) {
        client.send(&[byte]);
    }
    for _ in found("small") {
        go.send(()).expect("the server waits");
    }
    assert_eq!(client.answer(), "small");
    // A large one, of which the beginning and the end come byte by byte.
    let whole = found(&value);
    let (head, rest) = whole.split_at(40);
    let (middle, tail) = rest.split_at(rest.len() - 40);
    let bytes_of = |part: &[u8]| part.iter().map(|byte| vec![*byte]).collect::<Vec<_>>();
    let pieces = [bytes_of(head), vec![middle.to_vec()], bytes_of(tail)].concat();
    let count = pieces.len();
    let (cache, go) = in_pieces(pieces);
    let node = Node::start(&[("a", cache)], "");
    let mut client = node.client();
    client.send(&command(&["OBJ.GET", "k1", "id1", FACTS]));
    for _ in 0..count {
        go.send(()).expect("the server waits");
    }
    assert!(client.answer() == value);
}

#[test]
fn figures_are_told_and_true_in_a_flood() {
    let (tell, _seen) = channel();
    let cache = server("a", tell, |_| hit("v"));
    let addr = free();
    let node = Node::start(&[("a", cache)], &format!(r#""ops":"{addr}","#));
    const EACH: usize = 300;
    std::thread::scope(|scope| {
        for i in 0..8 {
            let node = &node;
            scope.spawn(move || {
                let mut client = node.client();
                for j in 0..EACH {
                    assert_eq!(client.ask(&["OBJ.GET", "k1", &format!("id{i}-{j}"), FACTS]), "v");
                }
            });
        }
        for _ in 0..20 {
            assert!(operate(addr, "GET /control/counters").starts_with("200 OK"));
        }
    });
    let told = operate(addr, "GET /control/counters");
    let wanted = format!(r#""view":{{"ok":{},"shed":0,"errors":0}}}},"tries":"#, 8 * EACH);
    assert!(told.contains(&wanted) && told.contains(r#""active":0"#), "{told}");
}

#[test]
fn a_configuration_is_checked_without_being_served() {
    let folder = std::env::temp_dir();
    let name = |form: &str| folder.join(format!("quartzhub-check-{}.{form}", std::process::id()));
    let good = config(&[], "");
    let toml = "listen = \"127.0.0.1:0\"\n[[settings.Products]]\nName = \"view\"\nLatencySlo = 0\nClientTimeout = 9\n";
    let mut told = String::new();
    for (form, text) in
        [("json", &good[..]), ("json", &good[..99]), ("toml", toml), ("toml", &toml.replace("= 0", "= 5"))]
    {
        std::fs::write(name(form), text).expect("a file");
        let program = Command::new(env!("CARGO_BIN_EXE_quartzhub"))
            .args(["check", "--config"])
            .arg(name(form))
            .output()
            .expect("the program runs");
        let said = [program.stdout, program.stderr].concat();
        let said = String::from_utf8_lossy(&said).replace(&*name(form).to_string_lossy(), "file");
        told += &format!("{}: {said}", program.status.success());
        let _ = std::fs::remove_file(name(form));
    }
    expect_test::expect![[r#"
        true: file: can be served
        false: quartzhub: file: settings.?: EOF while parsing a string at line 1 column 99
        false: quartzhub: file: settings.Products[0].LatencySlo: a number of milliseconds above 0 is needed
        true: file: can be served
    "#]]
    .assert_eq(&told);
}

// A move needed a restart, as kinds and zones were read at the start only: an origin under another number would have
// been spoken to as a cache.
#[test]
fn a_move_to_another_deployment_and_back_drops_no_call_and_keeps_its_rules() {
    let (tell, seen) = channel();
    let (free_old, held_old) = channel();
    let (free_new, held_new) = channel();
    let (mut held_old, mut held_new) = (Some(held_old), Some(held_new));
    let a = server("a", tell.clone(), move |words| match held_old.take_if(|_| words.ends_with("id1")) {
        Some(held) => Deed::SayAfter(held, found("of a")),
        None => hit("of a"),
    });
    let b = server("b", tell.clone(), move |words| match words.rsplit(' ').next() {
        Some("id3") => miss(),
        Some("id4") => held_new.take().map_or_else(miss, |held| Deed::SayAfter(held, found("of b, late"))),
        _ => hit("of b"),
    });
    let origin = server("origin", tell, |_| http("200 OK", "of the origin"));
    let (old_says, old_news) = channel();
    let (new_says, new_news) = channel();
    let (back_says, back_news) = channel();
    let (asked, asks) = channel();
    let old = discovery(vec![old_news, back_news], asked.clone());
    let new = discovery(vec![new_news], asked);
    let known = [("a", a)];
    let plain = |discovery: SocketAddr| {
        config(&known, &format!(r#""discovery":"{discovery}","#))
            .replace(r#""Kinds""#, r#""Projects":[],"Kinds""#)
    };
    let before = plain(old);
    // Other kinds in another order, forty nodes, never two shots at once, a read that is late soon.
    let after = plain(new)
        .replace(r#"["box","origin"]"#, r#"["origin","twin","box"]"#)
        .replace(r#""OriginKind":1"#, r#""OriginKind":0"#)
        .replace(r#""MayDuplicate":true"#, r#""MayDuplicate":false"#)
        .replace(r#""Projects":[]"#, r#""Projects":[{"Name":"t","QuotaPerS":50}]"#)
        .replace(r#""Kinds""#, r#""Balancers":40,"Localities":["east"],"Kinds""#)
        .replacen("20000", "100", 1);
    let mut node = Node::with(&before, 4096);
    let (mut client, mut other) = (node.client(), node.client());
    old_says.send(list(true, 1, &[("a", a, "in_service")]) + "\n").expect("said");
    client.send(&command(&["OBJ.GET", "k", "id1", FACTS]));
    assert_eq!(next(&seen), "a: OBJ.GET k id1");
    let mut again = |text: &str| {
        std::fs::write(&node.file, text).expect("a new file");
        node.signal("-HUP");
        node.says("configuration read again, with other settings");
    };
    again(&after);
    // Until the new list is there, what is known serves on by the new rules.
    assert_eq!(other.ask(&["OBJ.GET", "k", "id2", FACTS]), "of a");
    assert_eq!(next(&seen), "a: OBJ.GET k id2");
    new_says
        .send(list(true, 7, &[("b", b, "in_service"), ("origin", origin, "in_service")]) + "\n")
        .expect("said");
    while other.ask(&["OBJ.GET", "k2", "id0", FACTS]) != "of b" {
        assert_eq!(next(&seen), "a: OBJ.GET k2 id0");
    }
    assert_eq!(next(&seen), "b: OBJ.GET k2 id0");
    // The first seconds: a miss is fetched from the origin under its new number, and a late read has one shot.
    assert_eq!(other.ask(&["OBJ.GET", "k3", "id3", FACTS]), "of the origin");
    assert_eq!([next(&seen), next(&seen)], ["b: OBJ.GET k3 id3", "origin: GET /k3 id3 "]);
    other.send(&command(&["OBJ.GET", "k4", "id4", FACTS]));
    assert_eq!(next(&seen), "b: OBJ.GET k4 id4");
    let mut third = node.client();
    for round in 0..50 {
        assert_eq!(third.ask(&["OBJ.GET", "k5", "id5", FACTS]), "of b");
        assert_eq!(next(&seen), "b: OBJ.GET k5 id5", "round {round}: a second shot at once");
        std::thread::sleep(Duration::from_millis(10));
    }
    free_new.send(()).expect("freed");
    assert_eq!(other.answer(), "of b, late");
    // The call that was open has come under the old rules and is answered; and back again.
    free_old.send(()).expect("freed");
    assert_eq!(client.answer(), "of a");
    let mut back = |text: &str| {
        std::fs::write(&node.file, text).expect("a new file");
        node.signal("-HUP");
        node.says("configuration read again, with other settings");
    };
    back(&before);
    back_says.send(list(true, 9, &[("a", a, "in_service")]) + "\n").expect("said");
    while client.ask(&["OBJ.GET", "k", "id6", FACTS]) != "of a" {}
    drop(asks);
}
