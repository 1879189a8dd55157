//! From a request's id to its cause, by the logs of relays alone.

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

use crate::common::Fleet;
use crate::common::WAIT;
use crate::common::call;
use crate::common::chunk;
use crate::common::event;
use crate::common::eventually;
use crate::common::send;
use crate::common::stream_head;
use crate::common::whole_stream;

/// Keeps what is logged.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<u8>>>);

impl Write for Log {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Log {
    /// Returns the story of a request once its end is written, which begins with
    /// `cause`. An earlier refusal of the same request is no end: it is sent until
    /// the relay knows an endpoint.
    async fn story(&self, id: &str, cause: &str) -> RequestTrace {
        let read = || {
            let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
            RequestTrace::from_logs(id, text.lines())
        };
        eventually("the end is written", || read().cause.starts_with(cause)).await;
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

/// Starts a relay that writes to a log, with a table in which the team has paid
/// for `prepaid` tokens.
async fn start(prepaid: u64) -> (Log, LogGuard, Fleet) {
    let log = Log::default();
    let dropped = IntCounter::new("dropped", "dropped").unwrap();
    let (logger, guard) = anvilloft_telemetry::start_logger_to(options(), dropped, log.clone());
    let fleet = Fleet::start_logging(1, &logger).await;
    fleet.publish(1, prepaid).await;
    (log, guard, fleet)
}

/// Guards against a refusal whose lines don't lead to the lost contact with
/// control.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_leads_to_the_cut_from_control() {
    let (log, _guard, fleet) = start(300).await;
    let engine = RawEndpoint::start(|s| whole_stream(&s, 1));
    let engine = engine.await.unwrap();
    fleet.announce("e", engine.addr, "engines");
    assert_eq!(fleet.send(0, "/stream/x", "warm").await.status, 200);
    fleet.control.kill().await.unwrap();
    // The router counts as cut off after 3 s.
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    let mut id = String::new();
    for n in 0..8 {
        id = format!("cut-{n}");
        let call = call("/stream/x", "body", &id);
        let reply = call.send(fleet.relays[0].address(), WAIT).await;
        if reply.unwrap().status != 200 {
            break;
        }
    }
    let story = log.story(&id, "host r0 was cut off from control").await;
    let cut = story.lines.iter().find(|l| l.msg == "control").unwrap();
    let expected = format!("host r0 was cut off from control since {}: ", cut.ts);
    assert!(story.cause.starts_with(&expected), "{story:?}");
    assert!(story.missing.is_empty(), "{story:?}");
}

/// Guards against a broken stream whose lines don't name the endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_leads_to_its_endpoint() {
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
    let story = log.story("s-1", expected).await;
    assert!(story.cause.starts_with(expected), "{story:?}");
}

/// Guards against an unknown outcome whose lines don't say who may know it.
#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_outcome_leads_to_the_endpoint_that_may_have_run_it() {
    let (log, _guard, fleet) = start(0).await;
    let broken = RawEndpoint::start(|_| vec![Step::Close]).await.unwrap();
    fleet.announce("shop", broken.addr, "plain");
    let reply = fleet.send(0, "/once/x", "order-1").await;
    assert_eq!(reply.status, 502, "{}", reply.text());
    let expected = "endpoint shop failed after it got the request";
    let story = log.story("order-1", expected).await;
    assert!(story.cause.starts_with(expected), "{story:?}");
}
