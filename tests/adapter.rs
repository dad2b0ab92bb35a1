//! The simulator adapter, as a process that is given hand-written lines of the simulator's protocol.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const BORN: &str = r#"{"verb":"Born","gateway-id":3,"nonce64":5,"news":1,"settings":{"azs":["z"],"extra":{},
"ceilings":{"cancel":true,"max-attempts":3,"max-retry-after":1000,"retry-after":true},"discovery":"pushed",
"family-info":{"cold-units":40.0,"usual-units":2.0,"writes":[false]},
"grades":[{"name":"g","group":"all","hard-limit":1000000,"idempotency":"repeatable","promise":100000,"worth":1.0}],
"policies":[{"name":"p","nominal":5.0,"weight":1.0,"floor-rate":0.0,"never-over":0.0}],
"report":{"fields":["depth"],"how":"answers"},
"rules":{"cold-from":0.2,"drain-grace":1000000,"fall-multiple":3.0,"tip-after":1000000,"warm-within":9000000},
"siblings":2}}"#;
const LIST: &str = r#"{"verb":"Membership","gateway-id":3,"mode":"C","generation":1,"rows-in":[
{"store":"10.0.0.1:7000","hall":"z","flavor":"f","bay":0,"state":"IN","weight":1.5,"since":null}]}"#;

fn inbound(id: &str) -> String {
    format!(
        r#"{{"verb":"Inbound","gateway-id":3,"xid":"{id}","cls":"g","policy-no":"p","chunk":"obj:k",
        "client-deadline":2000000,"volume":"p:v","size-units":2,"lies-in":0,"set-size":1,"marks":1,"new":0}}"#
    )
}

fn batch(now: u64, events: &[&str]) -> String {
    format!("{{\"at-time\":{now},\"arrivals\":[{}]}}", events.join(",")).replace('\n', "") + "\n"
}

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_rowanglade-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter can be started");
    // The adapter stops at a bad line and closes its input, so this write may fail.
    let _ = child.stdin.take().expect("stdin is piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter exits")
}

fn replies(output: &Output) -> Vec<serde_json::Value> {
    let text = String::from_utf8(output.stdout.clone()).expect("the output is UTF-8");
    text.lines().map(|line| serde_json::from_str(line).expect("a reply is JSON")).collect()
}

#[test]
fn a_request_is_sent_and_finished_by_its_outcome() {
    let resolved = r#"{"verb":"Resolved","gateway-id":3,"xid":"a-1","go":0,"store":"10.0.0.1:7000",
        "state-code":"pass","delay-seen":900,"last":true,"metered":null,"others-got":0,"metrics":[3]}"#;
    let input = [
        batch(0, &[]),
        batch(1_000_000, &[BORN, LIST]),
        batch(1_000_100, &[&inbound("a-1")]),
        batch(1_001_000, &[resolved]),
    ];
    let output = run(&input.concat());
    assert_eq!(output.status.code(), Some(0));
    let replies = replies(&output);
    assert_eq!(replies.len(), 4);
    assert_eq!(replies[0], serde_json::json!({"do": []}));
    let sent = &replies[2]["do"][0];
    assert_eq!(*sent, serde_json::json!({"verb":"Issue","gateway-id":3,"xid":"a-1","store":"10.0.0.1:7000"}));
    assert!(
        replies[3]["do"]
            .as_array()
            .expect("the reply has a list of actions")
            .iter()
            .all(|a| a["verb"] == "WakeAt")
    );
}

#[test]
fn an_unknown_class_fails_and_an_unknown_request_is_ignored() {
    let client_gone = r#"{"verb":"Withdrawn","gateway-id":3,"xid":"nobody"}"#;
    let unknown_class = inbound("b-2").replace("\"cls\":\"g\"", "\"cls\":\"h\"");
    let output = run(&[batch(10, &[BORN, LIST]), batch(20, &[client_gone, &unknown_class])].concat());
    assert_eq!(replies(&output)[1]["do"][0]["verb"], "RespondError");
}

#[test]
fn invalid_settings_are_reported_as_a_panic_action() {
    let born = BORN.replace("\"max-attempts\":3", "\"max-attempts\":0");
    let output = run(&batch(10, &[&born]));
    let action = &replies(&output)[0]["do"][0];
    assert_eq!(action["verb"], "Panic");
    assert!(action["line"].as_str().expect("the line is a string").contains("attempts"));
}

#[test]
fn an_invalid_line_stops_the_adapter_with_its_number_and_the_field() {
    for (invalid, expected) in [
        ("no json\n".to_string(), "line 2"),
        (batch(20, &[r#"{"verb":"Withdrawn","gateway-id":3}"#]), "xid"),
        ("{\"arrivals\":[]}\n".to_string(), "at-time"),
    ] {
        let output = run(&[batch(10, &[BORN, LIST]), invalid].concat());
        assert_ne!(output.status.code(), Some(0));
        let error = String::from_utf8(output.stderr).expect("the error is UTF-8");
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(error.contains("line 2") && error.contains(expected), "{error}");
        assert_eq!(output.stdout.iter().filter(|byte| **byte == b'\n').count(), 1);
    }
}

#[test]
fn initiators_are_separate_and_a_destroyed_one_loses_its_requests() {
    let destroy = r#"{"verb":"Destroy","gateway-id":3}"#;
    let input = [
        batch(1_000_000, &[BORN, LIST]),
        batch(1_000_100, &[&inbound("c-1")]),
        batch(1_000_200, &[destroy, BORN, LIST]),
        batch(1_000_300, &[r#"{"verb":"Withdrawn","gateway-id":3,"xid":"c-1"}"#, &inbound("c-2")]),
    ];
    let replies = replies(&run(&input.concat()));
    assert_eq!(replies[3]["do"][0]["xid"], "c-2");
}
