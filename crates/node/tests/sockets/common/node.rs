//! Nodes: the program in a process of its own, or one within the test.
use super::*;

/// Settings: reads and writes that may be repeated, and writes that may not.
pub const SETTINGS: &str = r#"{"Kinds":["box","origin"],"Extra":{"Mode":"aside","OriginKind":1},
    "Caps":{"MostShots":3,"MayDuplicate":true,"Cancelling":true,"ConnectTimeout":5000,"Keepalive":60000},
    "Products":[{"Name":"view","Effect":"idempotent","LatencySlo":20000,"ClientTimeout":40000},
                {"Name":"book","Effect":"at_most_once","LatencySlo":20000,"ClientTimeout":40000}]}"#;

/// How many descriptors a node may have, where a test does not say.
pub const DESCRIPTORS: usize = 4096;

/// The program in a process of its own.
pub struct Node {
    pub child: Child,
    pub addr: SocketAddr,
    pub log: Option<BufReader<std::process::ChildStderr>>,
    pub file: std::path::PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A server in an endpoint list, as discovery writes it.
pub fn entry(id: &str, addr: SocketAddr, state: &str) -> String {
    let kind = if id == "origin" { "origin" } else { "box" };
    format!(r#"{{"id":"{id}","addr":"{addr}","kind":"{kind}","state":"{state}","started_ms":0}}"#)
}

/// A message of discovery: the endpoint list, or a change to it.
pub fn list(full: bool, version: u64, servers: &[(&str, SocketAddr, &str)]) -> String {
    let servers: Vec<_> = servers
        .iter()
        .map(|(id, addr, state)| entry(id, *addr, state))
        .collect();
    format!(
        r#"{{"version":{version},"full":{full},"servers":[{}]}}"#,
        servers.join(",")
    )
}

/// A configuration whose list of servers is known from the start, with further keys.
pub fn config(known: &[(&str, SocketAddr)], more: &str) -> String {
    let known: Vec<_> = known
        .iter()
        .map(|(id, addr)| (*id, *addr, "in_service"))
        .collect();
    let known = list(true, 1, &known);
    format!(r#"{{"listen":"127.0.0.1:0","seed":"7",{more}"known":{known},"settings":{SETTINGS}}}"#)
}

impl Node {
    pub fn start(known: &[(&str, SocketAddr)], more: &str) -> Node {
        Node::start_with(known, more, DESCRIPTORS)
    }

    pub fn start_with(known: &[(&str, SocketAddr)], more: &str, descriptors: usize) -> Node {
        Node::with(&config(known, more), descriptors)
    }

    pub fn with(config: &str, descriptors: usize) -> Node {
        Node::with_environment(config, descriptors, &[])
    }

    /// With further variables of the environment.
    pub fn with_environment(
        config: &str,
        descriptors: usize,
        environment: &[(&str, std::path::PathBuf)],
    ) -> Node {
        let Process { mut child, file } =
            spawn_to(config, descriptors, Stdio::piped(), environment);
        let mut log = BufReader::new(child.stderr.take().expect("a pipe"));
        let told = std::iter::from_fn(|| line(&mut log)).find(|line| line.contains("serves on"));
        let addr = told
            .as_ref()
            .and_then(|told| told.rsplit(' ').next()?.parse().ok());
        Node {
            child,
            addr: addr.expect("a line that tells the address"),
            log: Some(log),
            file,
        }
    }

    /// Awaits a line of the log.
    pub fn says(&mut self, what: &str) {
        let log = self.log.as_mut().expect("a log");
        let found = std::iter::from_fn(|| line(log)).any(|line| line.contains(what));
        assert!(found, "no line with {what:?}");
    }

    pub fn client(&self) -> Client {
        Client::connect(self.addr)
    }

    /// Has the process stand still, and awaits that it does.
    pub fn stop(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&stat)
            .expect("a process")
            .contains(") T ")
        {
            std::thread::yield_now();
        }
    }

    pub fn signal(&self, name: &str) {
        let done = Command::new("kill")
            .arg(name)
            .arg(self.child.id().to_string())
            .status();
        assert!(done.expect("kill").success());
    }
}

/// The program, before it is known to serve.
pub struct Process {
    pub child: Child,
    /// Its configuration.
    pub file: std::path::PathBuf,
}

impl Process {
    /// A node that will serve on this address.
    pub fn into_node(self, addr: SocketAddr) -> Node {
        Node {
            child: self.child,
            addr,
            log: None,
            file: self.file,
        }
    }
}

/// Writes a configuration to a file of its own.
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

/// Starts the program, with its log to be read by the test.
pub fn spawn(config: &str, descriptors: usize) -> Process {
    spawn_to(config, descriptors, Stdio::piped(), &[])
}

/// Starts the program, with its log going to `log` and further variables of the environment.
pub fn spawn_to(
    config: &str,
    descriptors: usize,
    log: Stdio,
    environment: &[(&str, std::path::PathBuf)],
) -> Process {
    let file = config_file(config);
    let child = Command::new("sh")
        .arg("-c")
        .arg(format!("ulimit -n {descriptors} 2>/dev/null; exec \"$0\""))
        .arg(env!("CARGO_BIN_EXE_quartzhub"))
        .env_remove("LB_LISTEN")
        .env_remove("LB_DISCOVERY")
        .env_remove("LB_OPS")
        .env_remove("LB_INHERITED_FD")
        .env("LB_CONFIG", &file)
        .envs(environment.iter().cloned())
        .stderr(log)
        .spawn()
        .expect("the program starts");
    Process { child, file }
}

/// A node that inherits the listener as descriptor 4, once it is ready.
pub fn node_inheriting(listener: &TcpListener, config: &str, ops: SocketAddr) -> Node {
    let file = config_file(config);
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
        .env("LB_CONFIG", &file)
        .spawn()
        .expect("the program starts");
    let addr = listener.local_addr().expect("an address");
    let begun = std::time::Instant::now();
    while begun.elapsed() < EVENT_TIMEOUT {
        if TcpStream::connect(ops).is_ok() && operate(ops, "GET /control/ready").starts_with("200")
        {
            break;
        }
        std::thread::yield_now();
    }
    Process { child, file }.into_node(addr)
}

/// A node within the test, whose limits are the test's.
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
        let (stop, asked) = tokio::sync::oneshot::channel::<()>();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            let served = serve(
                config,
                Some(listener),
                async { drop(asked.await) },
                Default::default(),
            );
            tokio::task::LocalSet::new().block_on(&runtime, served)
        });
        Embedded { addr, stop, thread }
    }

    pub fn client(&self) -> Client {
        Client::connect(self.addr)
    }

    /// Asks it to end, as SIGTERM would; gives what awaits the end.
    pub fn stop(self) -> std::thread::JoinHandle<std::io::Result<()>> {
        self.stop.send(()).expect("it runs");
        self.thread
    }
}
