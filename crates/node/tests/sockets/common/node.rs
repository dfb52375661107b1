//! Nodes under test: the program in its own process, or a node embedded in the test's process.
use super::*;

/// Settings with a product that may be repeated (`view`) and one that may not (`book`).
pub const SETTINGS: &str = r#"{"Kinds":["box","origin"],"Extra":{"Mode":"aside","OriginKind":1},
    "Caps":{"MostShots":3,"MayDuplicate":true,"Cancelling":true,"ConnectTimeout":5000,"Keepalive":60000},
    "Products":[{"Name":"view","Effect":"idempotent","LatencySlo":20000,"ClientTimeout":40000},
                {"Name":"book","Effect":"at_most_once","LatencySlo":20000,"ClientTimeout":40000}]}"#;

/// Default limit of a node's file descriptors.
pub const DESCRIPTORS: usize = 4096;

/// The program in its own process, once it serves.
pub struct Node {
    pub child: Child,
    /// The address on which it serves.
    pub addr: SocketAddr,
    /// Its log, if the test reads it.
    pub log: Option<BufReader<std::process::ChildStderr>>,
    /// The file of its configuration, removed with the node.
    pub config_path: std::path::PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.config_path);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a server's entry in an endpoint list, in the format of the discovery service.
pub fn endpoint_entry(id: &str, addr: SocketAddr, state: &str) -> String {
    let kind = if id == "origin" { "origin" } else { "box" };
    format!(r#"{{"id":"{id}","addr":"{addr}","kind":"{kind}","state":"{state}","started_ms":0}}"#)
}

/// Returns a watch event: the full endpoint list, or an update to it.
pub fn endpoint_list(full: bool, version: u64, servers: &[(&str, SocketAddr, &str)]) -> String {
    let servers: Vec<_> = servers
        .iter()
        .map(|(id, addr, state)| endpoint_entry(id, *addr, state))
        .collect();
    format!(
        r#"{{"version":{version},"full":{full},"servers":[{}]}}"#,
        servers.join(",")
    )
}

/// Returns a configuration with an endpoint list that is known from the start. `extra_keys`:
/// further keys, each with a comma behind it.
pub fn config(known: &[(&str, SocketAddr)], extra_keys: &str) -> String {
    let known: Vec<_> = known
        .iter()
        .map(|(id, addr)| (*id, *addr, "in_service"))
        .collect();
    let known = endpoint_list(true, 1, &known);
    format!(
        r#"{{"listen":"127.0.0.1:0","seed":"7",{extra_keys}"known":{known},"settings":{SETTINGS}}}"#
    )
}

impl Node {
    /// Starts a node that knows some servers and waits until it serves.
    pub fn start(known: &[(&str, SocketAddr)], extra_keys: &str) -> Node {
        Node::start_with_descriptors(known, extra_keys, DESCRIPTORS)
    }

    pub fn start_with_descriptors(
        known: &[(&str, SocketAddr)],
        extra_keys: &str,
        descriptors: usize,
    ) -> Node {
        Node::with_config(&config(known, extra_keys), descriptors)
    }

    pub fn with_config(config: &str, descriptors: usize) -> Node {
        Node::with_environment(config, descriptors, &[])
    }

    /// Starts a node with further environment variables and waits until it serves.
    pub fn with_environment(
        config: &str,
        descriptors: usize,
        environment: &[(&str, std::path::PathBuf)],
    ) -> Node {
        let Process {
            mut child,
            config_path,
        } = spawn_to(config, descriptors, Stdio::piped(), environment);
        let mut log = BufReader::new(child.stderr.take().expect("a pipe"));
        let serves_line =
            std::iter::from_fn(|| read_line(&mut log)).find(|line| line.contains("serves on"));
        let addr = serves_line
            .as_ref()
            .and_then(|line| line.rsplit(' ').next()?.parse().ok());
        Node {
            child,
            addr: addr.expect("a log line with the address"),
            log: Some(log),
            config_path,
        }
    }

    /// Reads the log up to a line that contains `text`.
    pub fn await_log(&mut self, text: &str) {
        let log = self.log.as_mut().expect("a log");
        let found = std::iter::from_fn(|| read_line(log)).any(|line| line.contains(text));
        assert!(found, "no log line with {text:?}");
    }

    /// Shuts the process down and returns the part of its log that has not been read yet.
    pub fn shut_down_and_read_log(&mut self) -> String {
        self.signal("-TERM");
        let mut text = String::new();
        let log = self.log.as_mut().expect("a log");
        log.read_to_string(&mut text).expect("a log");
        text
    }

    pub fn client(&self) -> Client {
        Client::connect(self.addr)
    }

    /// Anonymous memory of the process, in bytes.
    pub fn anonymous_bytes(&self) -> usize {
        const BYTES_PER_KIB: usize = 1024;
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("a process");
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"));
        let kib = line.and_then(|line| line.trim().strip_suffix(" kB"));
        kib.expect("a line").parse::<usize>().expect("a number") * BYTES_PER_KIB
    }

    /// Stops the process by SIGSTOP and waits until the system reports it as stopped.
    pub fn suspend(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&stat)
            .expect("a process")
            .contains(") T ")
        {
            std::thread::yield_now();
        }
    }

    /// Sends a signal, named as an option of `kill`.
    pub fn signal(&self, name: &str) {
        let done = Command::new("kill")
            .arg(name)
            .arg(self.child.id().to_string())
            .status();
        assert!(done.expect("kill").success());
    }
}

/// The program in its own process, before it is known to serve.
pub struct Process {
    pub child: Child,
    /// The file of its configuration.
    pub config_path: std::path::PathBuf,
}

impl Process {
    /// Converts this to a node that serves, or will serve, on `addr`.
    pub fn into_node(self, addr: SocketAddr) -> Node {
        Node {
            child: self.child,
            addr,
            log: None,
            config_path: self.config_path,
        }
    }
}

/// Writes a configuration to a new file and returns the path.
pub fn config_file(text: &str) -> std::path::PathBuf {
    use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let name = format!(
        "quartzhub-{}-{}.json",
        std::process::id(),
        COUNT.fetch_add(1, Relaxed)
    );
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, text).expect("a file");
    file
}

/// Starts the program with a log that the test can read.
pub fn spawn(config: &str, descriptors: usize) -> Process {
    spawn_to(config, descriptors, Stdio::piped(), &[])
}

/// Starts the program with a limit of its descriptors, its log sent to `log` and further
/// environment variables.
pub fn spawn_to(
    config: &str,
    descriptors: usize,
    log: Stdio,
    environment: &[(&str, std::path::PathBuf)],
) -> Process {
    let config_path = config_file(config);
    let child = Command::new("sh")
        .arg("-c")
        .arg(format!("ulimit -n {descriptors} 2>/dev/null; exec \"$0\""))
        .arg(env!("CARGO_BIN_EXE_quartzhub"))
        .env_remove("LB_LISTEN")
        .env_remove("LB_DISCOVERY")
        .env_remove("LB_OPS")
        .env_remove("LB_INHERITED_FD")
        .env("LB_CONFIG", &config_path)
        .envs(environment.iter().cloned())
        .stderr(log)
        .spawn()
        .expect("the program starts");
    Process { child, config_path }
}

/// Starts a node that inherits the listener as descriptor 4 and returns it once it is ready.
pub fn node_inheriting(listener: &TcpListener, config: &str, ops: SocketAddr) -> Node {
    let config_path = config_file(config);
    let inherited = std::os::fd::OwnedFd::from(listener.try_clone().expect("a descriptor"));
    let child = Command::new("sh")
        .args([
            "-c",
            "exec 4<&0 0</dev/null; exec \"$0\"",
            env!("CARGO_BIN_EXE_quartzhub"),
        ])
        .stdin(Stdio::from(inherited))
        .env_remove("LB_LISTEN")
        .env_remove("LB_DISCOVERY")
        .env("LB_OPS", ops.to_string())
        .env("LB_INHERITED_FD", "4")
        .env("LB_CONFIG", &config_path)
        .spawn()
        .expect("the program starts");
    let addr = listener.local_addr().expect("an address");
    let started_at = std::time::Instant::now();
    while started_at.elapsed() < EVENT_TIMEOUT {
        if TcpStream::connect(ops).is_ok()
            && admin_call(ops, "GET /control/ready").starts_with("200")
        {
            break;
        }
        std::thread::yield_now();
    }
    Process { child, config_path }.into_node(addr)
}

/// A node within the test's process, for tests that need limits of their own.
pub struct Embedded {
    pub addr: SocketAddr,
    stop: tokio::sync::oneshot::Sender<()>,
    thread: std::thread::JoinHandle<std::io::Result<()>>,
}

impl Embedded {
    pub fn start(config: Config) -> Embedded {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("a socket");
        let addr = listener.local_addr().expect("an address");
        let (stop, stop_requested) = tokio::sync::oneshot::channel::<()>();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            let served = serve(
                config,
                Some(listener),
                async { drop(stop_requested.await) },
                Default::default(),
            );
            tokio::task::LocalSet::new().block_on(&runtime, served)
        });
        Embedded { addr, stop, thread }
    }

    pub fn client(&self) -> Client {
        Client::connect(self.addr)
    }

    /// Begins the graceful shutdown, as SIGTERM does, and returns the handle that waits for its
    /// end.
    pub fn shut_down(self) -> std::thread::JoinHandle<std::io::Result<()>> {
        self.stop.send(()).expect("it runs");
        self.thread
    }
}
