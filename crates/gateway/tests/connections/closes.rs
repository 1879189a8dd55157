//! Requests that arrive while a server is about to close their connection.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use anvilloft_gateway::metrics::Metrics;
use anvilloft_gateway::serve::ConnectionLimits;
use anvilloft_gateway::serve::Handler;
use anvilloft_gateway::serve::HandlerService;
use anvilloft_gateway::serve::Server;
use anvilloft_gateway::serve::Timeouts;
use http::Request;
use http::Response;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use volo_http::body::Body;

use crate::common::STEP_TIMEOUT;
use crate::common::head;

struct Done;

impl Handler for Done {
    async fn handle(&self, _: Request<Body>) -> Response<Body> {
        Response::new(Body::from("done"))
    }
}

/// A connection on which a request is sent at a moment or later, while the thread of the
/// server is busy.
type Pending = Arc<Mutex<Option<(Instant, TcpStream)>>>;

fn send_if_due(pending: &Pending) {
    let mut pending = pending.lock().unwrap();
    if pending
        .as_ref()
        .is_some_and(|(at, _)| *at <= Instant::now())
    {
        let (_, mut caller) = pending.take().unwrap();
        caller.write_all(&head("/late", "")).unwrap();
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn read_answer(caller: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"done") {
        let mut buf = [0; 1_024];
        match caller.read(&mut buf) {
            Ok(len @ 1..) => bytes.extend_from_slice(&buf[..len]),
            end => return format!("{end:?}"),
        }
    }
    String::from_utf8(bytes).unwrap()
}

/// Guards against a request that has arrived, but is closed unread with its connection,
/// because the thread was busy since it last asked for events.
#[rstest::rstest]
#[case::idle(Duration::from_millis(300), false)]
#[case::planned_stop(Duration::from_secs(10), true)]
#[tokio::test]
async fn a_request_that_arrives_before_a_close_is_answered(
    #[case] idle: Duration,
    #[case] stops: bool,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let pending = Pending::default();
    let (stop, finish) = (CancellationToken::new(), CancellationToken::new());
    let source = Arc::clone(&pending);
    let server = Server::new(
        ConnectionLimits::default(),
        Arc::new(Metrics::new().unwrap()),
    )
    .timeouts(Arc::new(move || {
        send_if_due(&source);
        Timeouts {
            header: STEP_TIMEOUT,
            idle,
        }
    }));
    tokio::spawn(server.serve(listener, HandlerService(Done), stop, finish.clone()));
    let first = tokio::task::spawn_blocking(move || {
        let mut caller = TcpStream::connect(address).unwrap();
        caller.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
        // The first check of the idle limit comes before its end.
        std::thread::sleep(Duration::from_millis(100));
        caller.write_all(&head("/first", "")).unwrap();
        assert!(read_answer(&mut caller).starts_with("HTTP/1.1 200"));
        caller
    });
    let mut caller = first.await.unwrap();
    let due = match stops {
        true => Instant::now(),
        false => Instant::now() + idle - Duration::from_millis(20),
    };
    *pending.lock().unwrap() = Some((due, caller.try_clone().unwrap()));
    if stops {
        finish.cancel();
    }
    let second = tokio::task::spawn_blocking(move || read_answer(&mut caller));
    let answer = second.await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}
