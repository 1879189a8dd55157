//! Tracing of a request to the cause of its outcome, from the logs of relays alone.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use anvilloft_fakes::raw::RawEndpoint;
use anvilloft_fakes::raw::Step;
use anvilloft_settings::LogFormat;
use anvilloft_settings::LogLevel;
use anvilloft_telemetry::LogGuard;
use anvilloft_telemetry::LogOptions;
use anvilloft_telemetry::RequestTrace;
use prometheus::IntCounter;

use crate::common::CALL_TIMEOUT;
use crate::common::Fleet;
use crate::common::call;
use crate::common::chunk;
use crate::common::event;
use crate::common::eventually;
use crate::common::send;
use crate::common::stream_head;
use crate::common::whole_stream;

/// Captures the log of a fleet.
#[derive(Clone, Default)]
struct CapturedLog(Arc<Mutex<Vec<u8>>>);

impl Write for CapturedLog {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl CapturedLog {
    /// Returns the trace of a request once its cause begins with `cause`.
    ///
    /// An earlier refusal in the log is not the end of the request, which is repeated
    /// until the relay knows an endpoint.
    async fn trace(&self, id: &str, cause: &str) -> RequestTrace {
        let read = || {
            let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
            RequestTrace::from_logs(id, text.lines())
        };
        eventually("the end of the request is logged", || {
            read().cause.starts_with(cause)
        })
        .await;
        read()
    }
}

fn options() -> LogOptions {
    LogOptions {
        level: LogLevel::Info,
        format: LogFormat::Json,
        queue_lines: 4_096,
    }
}

/// Starts a relay that writes to a log, with a route table in which the team has
/// `prepaid` tokens.
async fn start(prepaid: u64) -> (CapturedLog, LogGuard, Fleet) {
    let log = CapturedLog::default();
    let dropped = IntCounter::new("dropped", "dropped").unwrap();
    let (logger, guard) = anvilloft_telemetry::start_logger_to(options(), dropped, log.clone());
    let fleet = Fleet::start_logging(1, &logger).await;
    fleet.publish(1, prepaid).await;
    (log, guard, fleet)
}

/// Guards against a refusal whose log lines don't show that the router was cut off
/// from control.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_is_traced_to_the_lost_contact_with_control() {
    let (log, _guard, fleet) = start(300).await;
    let engine = RawEndpoint::start(|s| whole_stream(&s, 1));
    let engine = engine.await.unwrap();
    fleet.announce("e", engine.addr, "engines");
    assert_eq!(fleet.send(0, "/stream/x", "warm").await.status, 200);
    fleet.control.kill().await.unwrap();
    // The router considers itself cut off after 3 s.
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    let mut id = String::new();
    for n in 0..8 {
        id = format!("cut-{n}");
        let call = call("/stream/x", "body", &id);
        let reply = call.send(fleet.relays[0].address(), CALL_TIMEOUT).await;
        if reply.unwrap().status != 200 {
            break;
        }
    }
    let trace = log.trace(&id, "host r0 was cut off from control").await;
    let lost_contact = trace.lines.iter().find(|l| l.msg == "control").unwrap();
    let expected = format!(
        "host r0 was cut off from control since {}: ",
        lost_contact.ts
    );
    assert!(trace.cause.starts_with(&expected), "{trace:?}");
    assert!(trace.missing.is_empty(), "{trace:?}");
}

/// Guards against a broken stream whose log lines don't name the endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_is_traced_to_its_endpoint() {
    let (log, _guard, fleet) = start(100_000).await;
    let broken = RawEndpoint::start(|s| {
        vec![
            send(stream_head(&s.attempt) + &chunk(&event(1))),
            Step::Wait(Duration::from_millis(50)),
            Step::Close,
        ]
    });
    let broken = broken.await.unwrap();
    fleet.announce("e", broken.addr, "engines");
    let reply = fleet.send(0, "/stream/x", "s-1").await;
    assert!(!reply.complete);
    let expected = "endpoint e broke off after 1 events";
    let trace = log.trace("s-1", expected).await;
    assert!(trace.cause.starts_with(expected), "{trace:?}");
}

/// Guards against an unknown outcome whose log lines don't name the endpoint that
/// may have run the request.
#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_outcome_is_traced_to_the_endpoint_that_may_have_run_it() {
    let (log, _guard, fleet) = start(0).await;
    let broken = RawEndpoint::start(|_| vec![Step::Close]).await.unwrap();
    fleet.announce("shop", broken.addr, "plain");
    let reply = fleet.send(0, "/once/x", "order-1").await;
    assert_eq!(reply.status, 502, "{}", reply.text());
    let expected = "endpoint shop failed after it got the request";
    let trace = log.trace("order-1", expected).await;
    assert!(trace.cause.starts_with(expected), "{trace:?}");
}

/// Guards against a stream that fails before its first event whose log lines don't name
/// the endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_refused_before_its_first_event_is_traced_to_its_endpoint() {
    let (log, _guard, fleet) = start(100_000).await;
    let broken = RawEndpoint::start(|s| vec![send(stream_head(&s.attempt)), Step::Close]);
    fleet.announce("e", broken.await.unwrap().addr, "engines");
    let reply = fleet.send(0, "/stream/x", "s-1").await;
    assert_eq!(reply.status, 502, "{}", reply.text());
    let expected = "endpoint e failed after it got the request";
    let trace = log.trace("s-1", expected).await;
    assert!(trace.cause.starts_with(expected), "{trace:?}");
}

/// Guards against log lines that don't tell an endpoint that broke off from one that
/// this router gave up for its silence.
#[rstest::rstest]
#[case::endpoint(Step::Close, "endpoint")]
#[case::router(Step::Wait(Duration::from_secs(3)), "router")]
#[tokio::test(flavor = "multi_thread")]
async fn the_log_tells_who_ended_an_attempt(#[case] last: Step, #[case] by: &'static str) {
    let (log, _guard, fleet) = start(100_000).await;
    for name in ["e1", "e2"] {
        let last = last.clone();
        let endpoint = RawEndpoint::start(move |s| {
            if s.attempt != "s-1" || s.head.contains("last-event-id: ") {
                return whole_stream(&s, 3);
            }
            let begun = send(stream_head(&s.attempt) + &chunk(&event(1)));
            vec![begun, Step::Wait(Duration::from_millis(50)), last.clone()]
        });
        let endpoint = endpoint.await.unwrap();
        fleet.announce(name, endpoint.addr, "engines");
    }
    fleet.send(0, "/stream/x", "warm").await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let reply = fleet.send(0, "/stream/x", "s-1").await;
    assert!(reply.complete, "{}", reply.text());
    let trace = log.trace("s-1", "the stream ended").await;
    let count = |msg: &str| trace.lines.iter().filter(|l| l.msg == msg).count();
    let ended = trace.lines.iter().find(|l| l.msg == "endpoint broke off");
    assert_eq!(ended.unwrap().field("by"), by, "{trace:?}");
    assert_eq!(count("endpoint silent"), usize::from(by == "router"));
}
