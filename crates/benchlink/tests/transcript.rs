//! Runs the adapter as a process: one output line for each input line.
use std::io::Write;
use std::process::{Command, Stdio};

use expect_test::expect;

fn run(args: &[&str], input: &str) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_quartzhub-benchlink"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child
        .stdin
        .take()
        .expect("a pipe")
        .write_all(input.as_bytes())
        .ok();
    let output = child.wait_with_output().expect("the adapter ends");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let (out, err) = (text(&output.stdout), text(&output.stderr));
    format!("{out}{err}exit {}\n", output.status.code().unwrap_or(-1))
}

const VALID_INPUT: &str = concat!(
    r#"{"SimTime":10.0,"nodes":[]}"#,
    "\n",
    r#"{"SimTime":10.5,"nodes":[{"NodeId":"node/1","news":["#,
    r#"{"msg":"Create","Prng":5,"Setup":{"Extra":{"Mode":"aside","OriginKind":1},"Kinds":["box","origin"],"#,
    r#""Caps":{"MostShots":3},"Strange":[{"New":1}],"Products":[{"Name":"view","Effect":"idempotent","#,
    r#""LatencySlo":100,"ClientTimeout":500}]}},"#,
    r#"{"msg":"Manifest","List":0,"Members":[{"Server":"10.0.0.1:1","FamilyType":"box","Availability":"on"},"#,
    r#"{"Server":"10.0.0.9:1","FamilyType":"origin","Availability":"on","Launched":null}]},"#,
    r#"{"msg":"Fleet","Kind":"Persisted","Revision":1,"List":0}]}]}"#,
    "\n",
    r#"{"SimTime":11.25,"nodes":[{"NodeId":"node/1","news":["#,
    r#"{"msg":"Order","Ticket":"a","Grace":400.0,"Band":"view","Bitmap":0,"PartitionKey":"k","Realm":0},"#,
    r#"{"msg":"Order","Ticket":"b","Grace":400.0,"Band":"unknown","Bitmap":4,"PartitionKey":null},"#,
    r#"{"msg":"Done","Ticket":"zz","Copy":0,"Lag":1,"Server":"x","DoneFlag":false,"Result":"OK"}]}]}"#,
    "\n",
    r#"{"SimTime":12.0,"nodes":[{"NodeId":"node/1","news":["#,
    r#"{"msg":"Done","Ticket":"a","Copy":0,"Lag":0.75,"Server":"10.0.0.1:1","DoneFlag":false,"Result":"NOT_FOUND"},"#,
    r#"{"msg":"Done","Ticket":"b","Copy":0,"Lag":0.75,"Server":"10.0.0.9:1","DoneFlag":false,"Result":"NEW"},"#,
    r#"{"msg":"HealthResult","Server":"10.0.0.1:1","Lag":1,"Result":"OK","Gauge":null},{"msg":"Mail","Who":2,"Body":"hi"}]}]}"#,
    "\n",
);

#[test]
fn valid_lines_with_unusual_events_are_handled() {
    expect![[r#"
        {"nodes":[]}
        {"nodes":[{"NodeId":"node/1","steps":[{"msg":"SetAlarm","FromNow":20.0,"Label":"tick"}]}]}
        {"nodes":[{"NodeId":"node/1","steps":[{"msg":"Dispatch","Ticket":"a","Server":"10.0.0.1:1","Until":411.25},{"msg":"Dispatch","Ticket":"b","Server":"10.0.0.9:1","Until":411.25}]}]}
        {"nodes":[{"NodeId":"node/1","steps":[{"msg":"Dispatch","Ticket":"a","Server":"10.0.0.9:1","Until":411.25},{"msg":"RespondError","Ticket":"b"}]}]}
        exit 0
    "#]].assert_eq(&run(&[], VALID_INPUT));
}

#[test]
fn node_can_halt_and_start_in_one_batch() {
    let input = VALID_INPUT.replace(r#"{"msg":"Create""#, r#"{"msg":"Halt"},{"msg":"Create""#);
    assert_eq!(run(&[], &input), run(&[], VALID_INPUT));
}

#[test]
fn malformed_lines_and_arguments_fail() {
    let mut outputs = String::new();
    for line in [
        "{oops\n",
        "{\"nodes\":[]}\n",
        "{\"SimTime\":1,\"nodes\":[{\"NodeId\":\"node/1\",\"news\":[{\"msg\":\"Dance\"}]}]}\n",
    ] {
        outputs.push_str(&run(&[], line));
    }
    outputs.push_str(&run(&["--version"], ""));
    outputs.push_str(run(&["--fast"], "").lines().next().unwrap_or_default());
    expect![[r#"
        quartzhub-benchlink: line 1: not a batch: key must be a string at line 1 column 2
        exit 1
        quartzhub-benchlink: line 1: not a batch: missing field `SimTime` at line 1 column 12
        exit 1
        quartzhub-benchlink: line 1: node/1: unknown message "Dance"
        exit 1
        quartzhub-benchlink 0.1.0
        exit 0
        error: unexpected argument '--fast' found"#]]
    .assert_eq(&outputs);
    assert!(run(&["--fast"], "").ends_with("exit 2\n"));
}

#[test]
fn error_names_the_line_the_node_and_the_missing_field() {
    let mut outputs = String::new();
    for events in [
        r#"{"msg":"Create"}"#,
        r#"{"msg":"Manifest"}"#,
        r#"{"msg":"Manifest","List":5000}"#,
        r#"{"msg":"Manifest","List":1}"#,
        r#"{"msg":"Create","Setup":{}},{"msg":"Order","Ticket":"a"}"#,
        r#"{"msg":"Create","Setup":{}},{"msg":"Fleet"}"#,
        r#"{"msg":"Create","Setup":{}},{"msg":"Fleet","List":3}"#,
    ] {
        let line = format!(r#"{{"SimTime":1,"nodes":[{{"NodeId":"n","news":[{events}]}}]}}"#);
        outputs.push_str(&run(&[], &(line + "\n")));
    }
    expect![[r#"
        quartzhub-benchlink: line 1: n: Create without Setup
        exit 1
        quartzhub-benchlink: line 1: n: Manifest without List
        exit 1
        quartzhub-benchlink: line 1: n: Manifest number 5000 out of range
        exit 1
        quartzhub-benchlink: line 1: n: Manifest without Members
        exit 1
        quartzhub-benchlink: line 1: n: Order without Grace
        exit 1
        quartzhub-benchlink: line 1: n: Fleet without List
        exit 1
        quartzhub-benchlink: line 1: n: Fleet names list 3, never given
        exit 1
    "#]]
    .assert_eq(&outputs);
}
