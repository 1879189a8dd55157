//! Traces of requests, from written lines.

use anvilloft_telemetry::RequestTrace;

fn line(ts: u32, host: &str, msg: &str, rest: &str) -> String {
    format!("{{\"msg\":\"{msg}\",\"level\":\"INFO\",\"ts\":\"{ts:02}\",\"host\":\"{host}\"{rest}}}")
}

/// Guards against a story that mixes requests or hosts, or is out of order.
#[test]
fn lines_of_one_request_come_in_order_with_the_beliefs_before() {
    let logs = [
        line(9, "a", "answered", ",\"request\":\"r1\",\"status\":200"),
        line(8, "a", "decision", ",\"request\":\"r1\",\"endpoint\":\"e\""),
        line(7, "a", "refused", ",\"request\":\"r2\""),
        line(3, "a", "route table", ",\"version\":4"),
        line(5, "b", "route table", ",\"version\":5"),
        line(2, "a", "route table", ",\"version\":3"),
        "not JSON".to_owned(),
        format!("1.22 a {}", line(4, "a", "control", ",\"in_touch\":true")),
    ];
    let story = RequestTrace::from_logs("r1", logs.iter().map(String::as_str));
    let order: Vec<&str> = story.lines.iter().map(|l| l.ts.as_str()).collect();
    assert_eq!(order, ["03", "04", "08", "09"]);
    assert_eq!(story.cause, "answered with status 200");
    assert!(story.missing.is_empty());
}

/// Guards against a story that hides what the logs don't have.
#[test]
fn missing_parts_are_named() {
    let sent = line(8, "a", "decision", ",\"request\":\"r1\",\"endpoint\":\"e\"");
    let story = RequestTrace::from_logs("r1", [sent.as_str()]);
    assert!(story.missing[0].contains("the log ends"), "{story:?}");
    let anew = line(9, "a", "serves callers", "");
    let story = RequestTrace::from_logs("r1", [sent.as_str(), anew.as_str()]);
    assert!(story.missing[0].contains("started anew at 09"), "{story:?}");
    let story = RequestTrace::from_logs("r2", [sent.as_str()]);
    assert!(story.lines.is_empty());
    assert_eq!(story.missing, ["none of 1 lines has request \"r2\""]);
}
