//! Late responses while the node is taken out of service, shut down, replaced, or short of memory.
use super::common::*;
use super::late_servers::{Framing, LatePart, LateResponse};
use super::site::{Deployment, LateSite, Served};

/// Sizes of values in bytes: a buffered one, and streamed ones.
const VALUE_BYTES: [usize; 4] = [1_000, 60_000, 100_000, 1 << 20];
/// Client timeout, in milliseconds.
const CLIENT_TIMEOUT_MS: u64 = 1_200;
/// When the late part comes.
const DELAY: Duration = Duration::from_millis(800);
/// When the event comes amid the reads.
const EVENT_AFTER: Duration = Duration::from_millis(200);

/// Starts a read of each kind on a connection of its own, runs `event` while they are in flight, and
/// returns those that were lost.
fn lost_reads_amid(site: &LateSite, event: impl FnOnce(&LateSite)) -> Vec<String> {
    let mut responses = Vec::new();
    for framing in [Framing::Reply, Framing::Length, Framing::Chunks] {
        for late_part in [LatePart::Body, LatePart::SecondHalf, LatePart::LastByte] {
            for value_bytes in VALUE_BYTES {
                responses.push(LateResponse {
                    framing,
                    late_part,
                    value_bytes,
                    delay: DELAY,
                    endless_attempts: 0,
                });
            }
        }
    }
    let lost = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for (index, response) in responses.iter().enumerate() {
            let lost = &lost;
            scope.spawn(move || {
                let served = site.read(response, &format!("k{index}"), false);
                if let Served::Lost(text) = served {
                    lost.lock().expect("a list").push(text);
                }
            });
        }
        std::thread::sleep(EVENT_AFTER);
        event(site);
    });
    lost.into_inner().expect("a list")
}

#[test]
fn late_responses_are_served_while_the_node_leaves_service() {
    let ops = free_address();
    let mut deployment = Deployment::new(CLIENT_TIMEOUT_MS, true);
    deployment.keys = format!(r#""ops":"{ops}","#);
    let lost = lost_reads_amid(&LateSite::start(&deployment), |_| {
        admin_call(ops, "POST /control/out-of-service");
    });
    assert!(lost.is_empty(), "{}", lost.join("\n"));
}

#[test]
fn late_responses_are_served_during_a_shutdown() {
    let site = LateSite::start(&Deployment::new(CLIENT_TIMEOUT_MS, true));
    let lost = lost_reads_amid(&site, |site| site.node.signal("-TERM"));
    assert!(lost.is_empty(), "{}", lost.join("\n"));
}

#[test]
fn late_responses_are_served_by_a_process_that_is_replaced() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let deployment = Deployment::new(CLIENT_TIMEOUT_MS, true);
    let site = LateSite::start_inheriting(&deployment, &listener, free_address());
    let lost = lost_reads_amid(&site, |site| site.node.signal("-TERM"));
    assert!(lost.is_empty(), "{}", lost.join("\n"));
}

#[test]
fn late_responses_are_served_with_scarce_memory() {
    let mut deployment = Deployment::new(CLIENT_TIMEOUT_MS, true);
    deployment.keys = r#""limits":{"memory_mb":32,"sockets":1024},"#.to_owned();
    let lost = lost_reads_amid(&LateSite::start(&deployment), |_| {});
    assert!(lost.is_empty(), "{}", lost.join("\n"));
}
