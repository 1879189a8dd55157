//! Traces of requests from log lines.

use anvilloft_telemetry::RequestTrace;

fn line(ts: u32, host: &str, msg: &str, rest: &str) -> String {
    format!("{{\"msg\":\"{msg}\",\"level\":\"INFO\",\"ts\":\"{ts:02}\",\"host\":\"{host}\"{rest}}}")
}

/// Guards against a trace that mixes requests or hosts, or has its lines out of
/// order.
#[test]
fn a_trace_has_the_lines_of_one_request_in_order_after_the_state_of_its_host() {
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
    let trace = RequestTrace::from_logs("r1", logs.iter().map(String::as_str));
    let order: Vec<&str> = trace.lines.iter().map(|l| l.ts.as_str()).collect();
    assert_eq!(order, ["03", "04", "08", "09"]);
    assert_eq!(trace.cause, "answered with status 200");
    assert!(trace.missing.is_empty());
}

/// Guards against a trace that doesn't report what is missing from the logs.
#[test]
fn missing_parts_are_reported() {
    let decision = line(8, "a", "decision", ",\"request\":\"r1\",\"endpoint\":\"e\"");
    let trace = RequestTrace::from_logs("r1", [decision.as_str()]);
    assert!(trace.missing[0].contains("the log ends"), "{trace:?}");
    let restart = line(9, "a", "serves callers", "");
    let trace = RequestTrace::from_logs("r1", [decision.as_str(), restart.as_str()]);
    assert!(trace.missing[0].contains("restarted at 09"), "{trace:?}");
    let trace = RequestTrace::from_logs("r2", [decision.as_str()]);
    assert!(trace.lines.is_empty());
    assert_eq!(trace.missing, ["none of 1 lines has request \"r2\""]);
}
