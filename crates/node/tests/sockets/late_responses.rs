//! Responses that a server writes late, but within the time of their call.
use super::common::*;

/// Sizes of values in bytes: buffered ones, and streamed ones.
const VALUE_BYTES: [usize; 5] = [1_000, 60_000, 100_000, 300_000, 4 << 20];
/// Client timeouts, in milliseconds.
const CLIENT_TIMEOUTS_MS: [u64; 3] = [300, 1_200, 3_000];
/// The late part comes after this share of the client timeout, in percent.
const DELAY_PERCENT: u64 = 75;
/// Slack of the operators' rules on sockets, in milliseconds.
const SLACK_MS: u64 = 50;

/// Settings of a deployment with a short connect timeout.
struct Deployment {
    client_timeout_ms: u64,
    may_duplicate: bool,
}

impl Deployment {
    fn config(&self, known: &[(&'static str, SocketAddr)]) -> String {
        let Deployment {
            client_timeout_ms,
            may_duplicate,
        } = self;
        let known: Vec<_> = known
            .iter()
            .map(|(id, address)| (*id, *address, "in_service"))
            .collect();
        let known = endpoint_list(true, 1, &known);
        format!(
            r#"{{"listen":"127.0.0.1:0","seed":"7","known":{known},"settings":{{
            "Kinds":["box","origin"],"Extra":{{"Mode":"aside","OriginKind":1}},
            "Caps":{{"MostShots":3,"MayDuplicate":{may_duplicate},"Cancelling":true,"ConnectTimeout":100,"Keepalive":15000}},
            "Products":[{{"Name":"view","Effect":"idempotent","LatencySlo":300,"ClientTimeout":{client_timeout_ms}}},
                        {{"Name":"book","Effect":"at_most_once","LatencySlo":300,"ClientTimeout":{client_timeout_ms}}}]}}}}"#
        )
    }
}

/// How a read ended for its client.
#[derive(Debug, PartialEq)]
enum Served {
    InTime,
    Late,
    Not(String),
}

/// Reads a value, with a further read behind it if `is_pipelined`. A value over 64 KiB is in time if
/// its first bytes are.
fn read_value(
    node: SocketAddr,
    response: &LateResponse,
    key: &str,
    timeout_ms: u64,
    is_pipelined: bool,
) -> Served {
    const BUFFERED_VALUE_BYTES: usize = 64 << 10;
    let mut client = Client::connect(node);
    let attributes = format!("c=view,d={timeout_ms}");
    let mut bytes = command(&["OBJ.GET", key, key, &attributes]);
    if is_pipelined {
        bytes.extend(command(&[
            "OBJ.GET",
            "behind",
            &format!("{key}-2"),
            &attributes,
        ]));
    }
    let sent_at = Instant::now();
    client.send(&bytes);
    let _ = client.0.fill_buf();
    let first_byte_after = sent_at.elapsed();
    let text = client.response();
    let whole_after = sent_at.elapsed();
    if text != response.value(key) {
        return Served::Not(text.chars().take(20).collect());
    }
    if is_pipelined {
        let behind = client.response();
        if behind != "behind" && !behind.starts_with('-') {
            return Served::Not(format!("behind it: {behind}"));
        }
    }
    let timed = if response.value_bytes > BUFFERED_VALUE_BYTES {
        first_byte_after
    } else {
        whole_after
    };
    if timed <= Duration::from_millis(timeout_ms + SLACK_MS) {
        Served::InTime
    } else {
        Served::Late
    }
}

/// Reads each response at one node, a few at a time, and returns those that were not served in time.
fn unserved(
    deployment: &Deployment,
    responses: &[LateResponse],
    is_pipelined: bool,
) -> Vec<String> {
    const PARALLEL_READS: usize = 4;
    let (sender, reports) = channel();
    let known = late_servers(&sender, &["a", "b", "c"]);
    let node = Node::with_config(&deployment.config(&known), DESCRIPTORS);
    let timeout_ms = deployment.client_timeout_ms;
    let failures = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for worker in 0..PARALLEL_READS {
            let (failures, node) = (&failures, node.addr);
            scope.spawn(move || {
                let chosen = responses
                    .iter()
                    .enumerate()
                    .skip(worker)
                    .step_by(PARALLEL_READS);
                for (index, response) in chosen {
                    let key = response.key(&format!("k{index}"));
                    let served = read_value(node, response, &key, timeout_ms, is_pipelined);
                    if served != Served::InTime {
                        let text = format!("{timeout_ms} ms, {response:?}, key {key}: {served:?}");
                        failures.lock().expect("a list").push(text);
                    }
                }
            });
        }
    });
    for report in reports.try_iter() {
        println!("{report}");
    }
    failures.into_inner().expect("a list")
}

/// All responses that a server of these framings may write late in these parts.
fn late_responses(
    framings: &[Framing],
    late_parts: &[LatePart],
    timeout_ms: u64,
) -> Vec<LateResponse> {
    let mut responses = Vec::new();
    for framing in framings {
        for late_part in late_parts {
            for value_bytes in VALUE_BYTES {
                responses.push(LateResponse {
                    framing: *framing,
                    late_part: *late_part,
                    value_bytes,
                    delay: Duration::from_millis(timeout_ms * DELAY_PERCENT / 100),
                    never_ends: false,
                });
            }
        }
    }
    responses
}

/// Reads responses that are late in these parts at deployments with and without second attempts in
/// parallel, with each client timeout.
fn assert_served(framings: &[Framing], late_parts: &[LatePart], is_pipelined: bool) {
    let mut failures = Vec::new();
    for client_timeout_ms in CLIENT_TIMEOUTS_MS {
        for may_duplicate in [true, false] {
            let deployment = Deployment {
                client_timeout_ms,
                may_duplicate,
            };
            let responses = late_responses(framings, late_parts, client_timeout_ms);
            let found = unserved(&deployment, &responses, is_pipelined);
            failures.extend(
                found
                    .into_iter()
                    .map(|text| format!("duplicates {may_duplicate}: {text}")),
            );
        }
    }
    assert!(
        failures.is_empty(),
        "{} of them:\n{}",
        failures.len(),
        failures.join("\n")
    );
}

#[test]
fn late_body_of_a_sound_response_is_not_cut_off() {
    assert_served(&[Framing::Reply, Framing::Length], &[LatePart::Body], false);
}

#[test]
fn late_rest_of_a_sound_response_is_not_cut_off() {
    let parts = [LatePart::SecondHalf, LatePart::LastByte];
    assert_served(&[Framing::Reply, Framing::Length], &parts, false);
}

#[test]
fn late_part_of_a_body_without_a_length_is_not_cut_off() {
    let parts = [LatePart::Body, LatePart::SecondHalf, LatePart::LastByte];
    assert_served(&[Framing::Chunks, Framing::UntilClose], &parts, false);
}

#[test]
fn late_response_ahead_of_a_command_is_not_cut_off() {
    let parts = [LatePart::Body, LatePart::SecondHalf, LatePart::LastByte];
    assert_served(&[Framing::Reply, Framing::Length], &parts, true);
}
