//! System calls that fail with errors that Linux documents. A library that is preloaded into the
//! node injects them (`syscalls.c`).
use std::path::PathBuf;
use std::sync::OnceLock;

use super::common::*;

/// Returns the path of the library, which is compiled once for all tests.
pub fn library() -> PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    let build = || {
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/sockets/syscalls.c");
        let library =
            std::env::temp_dir().join(format!("quartzhub-syscalls-{}.so", std::process::id()));
        let mut compiler = Command::new("cc");
        compiler
            .args(["-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o"])
            .arg(&library)
            .arg(source);
        assert!(compiler.status().expect("a C compiler").success());
        library
    };
    BUILT.get_or_init(build).clone()
}

/// Starts a node whose system calls fail as `faults` says; `syscalls.c` documents the format.
pub fn node_with(faults: &str, known: &[(&str, SocketAddr)], extra_keys: &str) -> Node {
    let environment = [("LD_PRELOAD", library()), ("FAULTS", PathBuf::from(faults))];
    Node::with_environment(&config(known, extra_keys), DESCRIPTORS, &environment)
}

const EINTR: i32 = 4;
const ENFILE: i32 = 23;
const EADDRNOTAVAIL: i32 = 99;
const ENETUNREACH: i32 = 101;
const ECONNABORTED: i32 = 103;
const ENOBUFS: i32 = 105;
const ETIMEDOUT: i32 = 110;
const EHOSTUNREACH: i32 = 113;
/// Time within which a node has to serve a client once the system calls succeed again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(8);

/// Each accept that fails with ECONNABORTED stands for a client that disconnected before it was
/// accepted. The next client in the listen queue must not be delayed.
#[test]
fn client_behind_many_aborted_ones_is_accepted_at_once() {
    let (sender, _reports) = channel();
    let cache = server("a", sender, |_| hit("v"));
    let node = node_with(
        &format!("accept4:{ECONNABORTED}:1:1000:1"),
        &[("a", cache)],
        "",
    );
    let started_at = Instant::now();
    assert_eq!(node.client().ask(&["OBJ.GET", "k", "id", ATTRIBUTES]), "v");
    assert!(
        started_at.elapsed() < RECOVERY_TIMEOUT,
        "accepted after {:?}",
        started_at.elapsed()
    );
}

/// Accepts fail for a short time because the system has no descriptors or buffers left. The waiting
/// clients have to be accepted afterwards.
#[test]
fn clients_are_accepted_once_descriptors_are_available() {
    let (sender, _reports) = channel();
    let cache = server("a", sender, |_| hit("v"));
    let faults = format!("accept4:{ENFILE}:1:3:1,accept4:{ENOBUFS}:5:3:1");
    let node = node_with(&faults, &[("a", cache)], "");
    let mut clients = [node.client(), node.client(), node.client()];
    for (i, client) in clients.iter_mut().enumerate() {
        assert_eq!(
            client.ask(&["OBJ.GET", "k", &format!("id{i}"), ATTRIBUTES]),
            "v"
        );
    }
}

/// The admin API has to respond within a second, also while accepts fail.
#[test]
fn admin_api_responds_in_time_while_accepts_fail() {
    let addr = free_address();
    let faults = format!("accept4:{ENFILE}:1:10:1,accept4:{ECONNABORTED}:11:500:1");
    let _node = node_with(&faults, &[], &format!(r#""ops":"{addr}","#));
    let started_at = Instant::now();
    assert_eq!(admin_call(addr, "GET /control/ready"), "200 OK: ready");
    assert!(
        started_at.elapsed() < Duration::from_secs(1),
        "after {:?}",
        started_at.elapsed()
    );
}

/// Every third recv, peek and send on a socket is interrupted (EINTR), and every second recv and
/// send moves one byte only.
#[test]
fn calls_survive_interrupted_and_short_reads_and_writes() {
    let (sender, _reports) = channel();
    let cache = server("a", sender.clone(), |_| miss());
    let origin = server("origin", sender, |_| http("200 OK", "v"));
    let interrupted = ["recv", "peek", "send"].map(|call| format!("{call}:{EINTR}:3:100000:3"));
    let short = ["recv", "send"].map(|call| format!("{call}:0:2:100000:2"));
    let faults = [&interrupted[..], &short[..]].concat().join(",");
    let node = node_with(&faults, &[("a", cache), ("origin", origin)], "");
    for client in 0..4 {
        let mut stream = node.client();
        for call in 0..8 {
            let id = format!("id{client}-{call}");
            assert_eq!(stream.ask(&["OBJ.GET", "k", &id, ATTRIBUTES]), "v", "{id}");
        }
    }
}

#[test]
fn node_starts_although_its_first_sockets_fail() {
    let (sender, _reports) = channel();
    let cache = server("a", sender, |_| hit("v"));
    for faults in [
        format!("socket:{ENFILE}:1:3:1"),
        format!("socket:{ENOBUFS}:1:3:1"),
        format!("bind:{EADDRNOTAVAIL}:1:3:1"),
    ] {
        let node = node_with(&faults, &[("a", cache)], "");
        assert_eq!(
            node.client().ask(&["OBJ.GET", "k", "id", ATTRIBUTES]),
            "v",
            "{faults}"
        );
    }
}

/// If a connect fails locally, nothing has reached the server, so even a write that must not run
/// twice may be retried. Each call gets one response and runs once at most.
#[test]
fn local_connect_failure_never_runs_a_call_twice() {
    let (sender, reports) = channel();
    let cache = server("a", sender.clone(), |_| hit("v"));
    let second = server("b", sender.clone(), |_| hit("v"));
    let origin = server("origin", sender, |_| http("200 OK", "stored"));
    for error in [
        EADDRNOTAVAIL,
        ENETUNREACH,
        ENOBUFS,
        ETIMEDOUT,
        EHOSTUNREACH,
        EINTR,
    ] {
        let known = [("a", cache), ("b", second), ("origin", origin)];
        let node = node_with(&format!("connect:{error}:1:1:1"), &known, "");
        let mut client = node.client();
        let response = client.ask(&["OBJ.GET", "k", &format!("read{error}"), ATTRIBUTES]);
        assert_eq!(response, "v", "errno {error}");
        assert!(next_report(&reports).ends_with(&format!("read{error}")));
        let node = node_with(&format!("connect:{error}:1:1:1"), &known, "");
        let mut client = node.client();
        let write = [
            "OBJ.SET",
            "k",
            &format!("write{error}"),
            "c=book,d=30000",
            "new",
        ];
        let response = client.ask(&write);
        match response.as_str() {
            "stored" => assert!(next_report(&reports).contains(&format!("write{error}"))),
            // The call failed and nothing was sent.
            _ => assert!(response.starts_with('-'), "errno {error}: {response}"),
        }
        assert!(reports.try_recv().is_err(), "errno {error}: sent twice");
    }
}

/// A connection that fails during a call that may have run can report any of these errors. None may
/// lead to a second write.
#[test]
fn connection_errors_never_repeat_a_write() {
    let (sender, reports) = channel();
    let (reads, writes) = (sender.clone(), sender);
    let cache = server("a", reads.clone(), |_| hit("v"));
    let second = server("b", reads, |_| hit("v"));
    let origin = server("origin", writes, |_| http("200 OK", "stored"));
    for error in [ETIMEDOUT, EHOSTUNREACH, ENETUNREACH] {
        // Reads of sockets: those of the client's command, then that of a server's response, which
        // fails.
        let faults = format!("recv:{error}:4:1:1");
        let node = node_with(
            &faults,
            &[("a", cache), ("b", second), ("origin", origin)],
            "",
        );
        let mut client = node.client();
        let response = client.ask(&[
            "OBJ.SET",
            "k",
            &format!("write{error}"),
            "c=book,d=30000",
            "new",
        ]);
        assert!(
            ["stored", "-ERR failed", "closed"].contains(&response.as_str()),
            "errno {error}: {response}"
        );
        let mut writes = 0;
        while let Ok(report) = reports.try_recv() {
            writes += usize::from(report.contains("write"));
        }
        assert!(writes <= 1, "errno {error}: {writes} times");
    }
}
