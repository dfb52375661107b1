//! Steps of the wall clock while a node runs.
use std::time::{SystemTime, UNIX_EPOCH};

use super::common::*;
use super::syscalls::library;

/// Settings of the warm-up of a cache, put before `Kinds`.
const WARM_UP_SETTINGS: &str = r#""Invariants":{"ColdFrom":0.1,"WarmWithin":20000,"OverloadFactor":3,"OverloadFor":1000},"Kinds""#;

/// Steps the wall clock by `step_s` seconds, adds a cache that starts after that, and returns how
/// many of `read_count` reads reach it.
fn count_reads_at_new_cache(step_s: i64, read_count: usize) -> usize {
    let (sender, reports) = channel();
    let (warm, cold) = (
        server("warm", sender.clone(), |_| hit("v")),
        server("cold", sender, |_| hit("v")),
    );
    let WatchedDiscovery {
        addr: discovery_addr,
        watches: [watch],
        requests,
    } = watched_discovery();
    let known = [("warm", warm)];
    watch
        .send(endpoint_list(true, 1, &[("warm", warm, "in_service")]) + "\n")
        .expect("sent");
    let step_file =
        std::env::temp_dir().join(format!("quartzhub-step-{}-{step_s}", std::process::id()));
    std::fs::write(&step_file, "0").expect("a file");
    let environment = [("LD_PRELOAD", library()), ("WALL_STEP", step_file.clone())];
    let text = config(&known, &format!(r#""discovery":"{discovery_addr}","#))
        .replace(r#""Kinds""#, WARM_UP_SETTINGS);
    let node = Node::with_environment(&text, DESCRIPTORS, &environment);
    requests.recv_timeout(EVENT_TIMEOUT).expect("a watch");
    std::fs::write(&step_file, step_s.to_string()).expect("stepped");
    let unix_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a time")
        .as_millis() as i64
        + step_s * 1000;
    let update = endpoint_list(false, 2, &[("cold", cold, "in_service")]);
    let update = update.replace(r#""started_ms":0"#, &format!(r#""started_ms":{unix_ms}"#));
    watch.send(update + "\n").expect("sent");
    let mut client = node.client();
    for i in 0..read_count {
        assert_eq!(
            client.ask(&["OBJ.GET", &format!("k{i}"), &format!("id{i}"), ATTRIBUTES]),
            "v"
        );
    }
    std::fs::remove_file(step_file).expect("removed");
    reports
        .try_iter()
        .filter(|report| report.starts_with("cold:"))
        .count()
}

#[test]
fn cache_started_after_a_clock_step_is_cold() {
    for step_s in [0, -3600, -30, 30, 3600] {
        let at_cold = count_reads_at_new_cache(step_s, 400);
        assert!(
            at_cold < 100,
            "{at_cold} of 400 reads at a cold cache after a step of {step_s} s"
        );
    }
}
