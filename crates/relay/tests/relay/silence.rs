//! Sound endpoints that fall silent for a while and go on.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anvilloft_fakes::http::Reply;
use anvilloft_fakes::raw::RawEndpoint;
use anvilloft_fakes::raw::ReceivedRequest;
use anvilloft_fakes::raw::Step;
use anvilloft_fakes::raw::whole_answer;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::common::Fleet;
use crate::common::chunk;
use crate::common::event;
use crate::common::eventually;
use crate::common::send;
use crate::common::stream_head;
use crate::common::whole_stream;

/// Id of the request that meets the silence.
const ID: &str = "silent";

/// What an endpoint does with the request once another one has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Other {
    /// There is no other endpoint.
    None,
    /// It refuses as full.
    Full,
    /// It answers with a failure.
    Fails,
    /// It answers at once.
    Answers,
    /// It sends its header after a while.
    AnswersLate(Duration),
}

#[derive(Clone, Copy)]
struct Case {
    path: &'static str,
    silence: Duration,
    other: Other,
    /// Retries in excess of the ratio, which is 0.
    retries: f64,
    /// Requests that may reach an endpoint after the first.
    max_moves: u64,
}

/// Maximum time for which two endpoints may work on one stream.
const MAX_OVERLAP: Duration = Duration::from_millis(300);

const CASE: Case = Case {
    path: "/stream/x",
    silence: Duration::from_secs(2),
    other: Other::None,
    retries: 10.0,
    max_moves: 1,
};

fn refusal(attempt: &str) -> Vec<Step> {
    vec![send(format!(
        "HTTP/1.1 503 Full\r\nx-anvilloft-refused: not-run\r\nx-anvilloft-attempt: {attempt}\r\n\
         content-length: 0\r\n\r\n"
    ))]
}

fn failure(attempt: &str) -> Vec<Step> {
    vec![send(format!(
        "HTTP/1.1 500 Failed\r\nx-anvilloft-attempt: {attempt}\r\ncontent-length: 0\r\n\r\n"
    ))]
}

fn is_plain(req: &ReceivedRequest) -> bool {
    req.head.starts_with("post /any/") || req.head.starts_with("post /once/")
}

fn answer(req: &ReceivedRequest) -> Vec<Step> {
    match is_plain(req) {
        true => vec![send(whole_answer(&req.attempt, "done"))],
        false => whole_stream(req, 3),
    }
}

/// Returns the answer of an endpoint that is silent midway, or before the header of a
/// plain answer.
fn silent_answer(req: &ReceivedRequest, silence: Duration) -> Vec<Step> {
    if is_plain(req) {
        return vec![
            Step::Wait(silence),
            send(whole_answer(&req.attempt, "done")),
        ];
    }
    vec![
        send(stream_head(&req.attempt) + &chunk(&event(1)) + &chunk("id: 2\nda")),
        Step::Wait(silence),
        send(chunk("ta: t2\n\n") + &chunk(&event(3)) + "0\r\n\r\n"),
    ]
}

/// Sends a request, and repeats it while it was not run for want of tokens.
async fn send_request(fleet: &Fleet, path: &str, id: &str) -> Reply {
    loop {
        let reply = fleet.send(0, path, id).await;
        if reply.status != 429 {
            return reply;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Plays a case, with a change of the configuration while the endpoint is silent.
/// Returns the reply and the number of requests after the first.
async fn play(case: Case, publish: bool) -> (Reply, u64) {
    let configure = |o: anvilloft_relay::RelayOptionsBuilder| {
        o.retries(Duration::from_secs(10), 0.0, case.retries)
    };
    let fleet = Fleet::start_with(1, configure).await;
    fleet.publish(1, 1_000_000).await;
    let count = Arc::new(AtomicU64::new(0));
    // Both endpoints behave alike, so that it doesn't matter which of them is first.
    let names: &[&str] = match case.other {
        Other::None => &["e1"],
        _ => &["e1", "e2"],
    };
    for name in names {
        let count = Arc::clone(&count);
        let endpoint = RawEndpoint::start(move |req| {
            if req.attempt != ID {
                return answer(&req);
            }
            if count.fetch_add(1, Ordering::Relaxed) == 0 {
                return silent_answer(&req, case.silence);
            }
            match case.other {
                Other::None | Other::Full => refusal(&req.attempt),
                Other::Fails => failure(&req.attempt),
                Other::Answers => answer(&req),
                Other::AnswersLate(wait) => {
                    let mut steps = vec![Step::Wait(wait)];
                    steps.extend(answer(&req));
                    steps
                }
            }
        });
        let endpoint = endpoint.await.unwrap();
        for service in ["plain", "engines"] {
            fleet.announce(&format!("{name}-{service}"), endpoint.addr, service);
        }
    }
    let warm = send_request(&fleet, case.path, "warm").await;
    assert_eq!(warm.status, 200);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let (reply, ()) = tokio::join!(send_request(&fleet, case.path, ID), async {
        if publish {
            tokio::time::sleep(Duration::from_millis(500)).await;
            fleet.publish(2, 1_000_000).await;
        }
    });
    (reply, count.load(Ordering::Relaxed).saturating_sub(1))
}

/// Guards against a request that the router breaks off because a sound endpoint is
/// silent for a while, although no other endpoint takes it over.
#[rstest::rstest]
#[case::stream_alone(Case { max_moves: 0, ..CASE })]
#[case::stream_other_full(Case { other: Other::Full, ..CASE })]
#[case::stream_other_fails(Case { other: Other::Fails, ..CASE })]
#[case::stream_endpoint_limit(Case { path: "/single/x", other: Other::Answers, max_moves: 0, ..CASE })]
#[case::stream_no_retries(Case { other: Other::Answers, retries: 0.0, max_moves: 0, ..CASE })]
#[case::fragile(Case { path: "/fragile/x", other: Other::Answers, max_moves: 0, ..CASE })]
#[case::plain_alone(Case { path: "/any/x", max_moves: 0, ..CASE })]
#[case::plain_other_full(Case { path: "/any/x", other: Other::Full, ..CASE })]
#[case::plain_other_fails(Case { path: "/any/x", other: Other::Fails, ..CASE })]
#[case::plain_no_retries(Case {
    path: "/any/x", other: Other::Answers, retries: 0.0, max_moves: 0, ..CASE
})]
#[case::once(Case { path: "/once/x", other: Other::Answers, max_moves: 0, ..CASE })]
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_endpoint_is_not_given_up_before_another_takes_over(
    #[case] case: Case,
    #[values(false, true)] publish: bool,
) {
    check(case, publish).await;
}

/// Guards against a piece that is missing or comes twice while two endpoints have the
/// same request.
#[rstest::rstest]
#[case::at_once(Case { other: Other::Answers, ..CASE })]
#[case::before_the_hand_over(Case {
    other: Other::AnswersLate(Duration::from_millis(100)), ..CASE
})]
#[case::after_the_hand_over(Case {
    other: Other::AnswersLate(Duration::from_millis(500)), ..CASE
})]
#[case::the_first_goes_on(Case {
    silence: Duration::from_millis(980),
    other: Other::AnswersLate(Duration::from_millis(600)),
    ..CASE
})]
#[case::plain(Case { path: "/any/x", other: Other::Answers, ..CASE })]
#[tokio::test(flavor = "multi_thread")]
async fn a_move_to_another_endpoint_keeps_the_answer_whole(#[case] case: Case) {
    check(case, false).await;
}

async fn check(case: Case, publish: bool) {
    let (reply, moves) = play(case, publish).await;
    let text = match case.path {
        "/any/x" | "/once/x" => "done".to_owned(),
        _ => event(1) + &event(2) + &event(3),
    };
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert!(reply.complete, "broken off after {:?}", reply.text());
    assert_eq!(reply.text(), text);
    assert!(moves <= case.max_moves, "moved {moves} times");
}

/// Guards against a stream that ends because the next endpoint is full for a moment
/// when its own one breaks off.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_outlasts_a_refusal_of_the_next_endpoint() {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 1_000_000).await;
    let count = Arc::new(AtomicU64::new(0));
    for name in ["e1", "e2"] {
        let count = Arc::clone(&count);
        let endpoint = RawEndpoint::start(move |req| {
            if req.attempt != ID {
                return answer(&req);
            }
            let begun = send(stream_head(&req.attempt) + &chunk(&event(1)));
            match count.fetch_add(1, Ordering::Relaxed) {
                0 => vec![begun, Step::Wait(Duration::from_millis(50)), Step::Close],
                1 | 2 => refusal(&req.attempt),
                _ => answer(&req),
            }
        });
        let endpoint = endpoint.await.unwrap();
        fleet.announce(name, endpoint.addr, "engines");
    }
    send_request(&fleet, "/stream/x", "warm").await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let reply = send_request(&fleet, "/stream/x", ID).await;
    assert!(reply.complete, "broken off after {:?}", reply.text());
    assert_eq!(reply.text(), event(1) + &event(2) + &event(3));
}

/// Serves requests with an answer that never goes on, and returns when the connection of
/// the request `ID` was closed.
async fn serve_silently(listener: TcpListener) -> Instant {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\nbody") {
            if stream.read_buf(&mut head).await.unwrap() == 0 {
                break;
            }
        }
        let head = String::from_utf8(head).unwrap();
        if head.contains(ID) {
            let begun = stream_head(ID) + &chunk(&event(1));
            stream.write_all(begun.as_bytes()).await.unwrap();
            let mut rest = Vec::new();
            stream.read_to_end(&mut rest).await.ok();
            return Instant::now();
        }
    }
}

/// Guards against two endpoints that work on one stream for long: the silent one is
/// told to stop once another one has the request.
#[rstest::rstest]
#[case::answers(Duration::ZERO)]
#[case::accepts(Duration::from_millis(700))]
#[tokio::test(flavor = "multi_thread")]
async fn two_endpoints_do_not_work_on_a_stream_for_long(#[case] header_after: Duration) {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 1_000_000).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let resumed_at = Arc::new(Mutex::new(None));
    let closed_at = tokio::spawn(serve_silently(listener));
    fleet.announce("e1", address, "engines");
    let seen = Arc::clone(&resumed_at);
    let other = RawEndpoint::start(move |req| {
        *seen.lock().unwrap() = Some(Instant::now());
        let mut steps = vec![Step::Wait(header_after)];
        steps.extend(answer(&req));
        steps
    });
    let other = other.await.unwrap();
    let (reply, ()) = tokio::join!(send_request(&fleet, "/stream/x", ID), async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet.announce("e2", other.addr, "engines");
    });
    assert!(reply.complete, "broken off after {:?}", reply.text());
    assert_eq!(reply.text(), event(1) + &event(2) + &event(3));
    let closed_at = closed_at.await.unwrap();
    let resumed_at = resumed_at.lock().unwrap().unwrap();
    let overlap = closed_at.saturating_duration_since(resumed_at);
    assert!(overlap < MAX_OVERLAP, "overlap of {overlap:?}");
}

/// Serves requests until another endpoint has the request `ID`, then accepts no more
/// connections and answers nothing. The endpoint that has it is silent for a while.
async fn serve_until_unreachable(
    listener: TcpListener,
    me: usize,
    holder: Arc<watch::Sender<Option<usize>>>,
) {
    let mut held = holder.subscribe();
    loop {
        tokio::select! {
            _ = held.wait_for(|at| at.is_some_and(|at| at != me)) => return,
            accepted = listener.accept() => {
                let (stream, _) = accepted.unwrap();
                tokio::spawn(serve_connection(stream, me, Arc::clone(&holder)));
            }
        }
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    me: usize,
    holder: Arc<watch::Sender<Option<usize>>>,
) {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\nbody") {
            if stream.read_buf(&mut head).await.unwrap_or(0) == 0 {
                return;
            }
        }
        let head = String::from_utf8(head).unwrap().to_lowercase();
        let mut attempts = head.lines().filter_map(|l| l.split_once("attempt: "));
        let attempt = attempts.next().unwrap().1.trim().to_owned();
        let req = ReceivedRequest {
            attempt,
            head: head.clone(),
            ..ReceivedRequest::default()
        };
        let steps = match req.attempt == ID {
            true if holder.send_if_modified(|at| at.replace(me).is_none()) => {
                silent_answer(&req, CASE.silence)
            }
            true => return std::future::pending().await,
            false => vec![
                Step::Wait(Duration::from_millis(100)),
                answer(&req).remove(0),
            ],
        };
        for step in steps {
            match step {
                Step::Send(bytes) => stream.write_all(&bytes).await.unwrap(),
                Step::Wait(time) => tokio::time::sleep(time).await,
                Step::Repeat(..) | Step::Close | Step::Crash => return,
            }
        }
    }
}

/// Guards against a silent endpoint that is given up for one that can't be reached any
/// more, because the router has an idle connection to it.
#[rstest::rstest]
#[case::stream("/stream/x")]
#[case::plain("/any/x")]
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_connection_to_a_lost_endpoint_takes_over_no_request(#[case] path: &str) {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 1_000_000).await;
    let holder = Arc::new(watch::Sender::new(None));
    for me in 0..2 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(serve_until_unreachable(listener, me, Arc::clone(&holder)));
        for service in ["plain", "engines"] {
            fleet.announce(&format!("e{me}-{service}"), address, service);
        }
    }
    send_request(&fleet, "/any/x", "first").await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    // Requests at the same time leave an idle connection to each endpoint.
    let warm = (0..6).map(|_| send_request(&fleet, "/any/x", "warm"));
    futures::future::join_all(warm).await;
    let reply = send_request(&fleet, path, ID).await;
    let text = match path {
        "/any/x" => "done".to_owned(),
        _ => event(1) + &event(2) + &event(3),
    };
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert!(reply.complete, "broken off after {:?}", reply.text());
    assert_eq!(reply.text(), text);
}

/// Guards against a silent endpoint that is given up while the connection to the next
/// one is still being opened.
#[rstest::rstest]
#[case::stream("/stream/x")]
#[case::plain("/any/x")]
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_accepts_no_connection_takes_over_no_request(#[case] path: &str) {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 1_000_000).await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let full = socket.listen(1).unwrap();
    let address = full.local_addr().unwrap();
    // The backlog is full after a few of them, and further ones wait.
    let connects = (0..8).map(|_| timeout(Duration::from_millis(100), TcpStream::connect(address)));
    let waiting = futures::future::join_all(connects).await;
    assert!(
        waiting.iter().any(Result::is_err),
        "the backlog is not full"
    );
    let sound = RawEndpoint::start(move |req| silent_answer(&req, CASE.silence));
    let sound = sound.await.unwrap();
    for service in ["plain", "engines"] {
        fleet.announce(&format!("e1-{service}"), sound.addr, service);
    }
    let (reply, ()) = tokio::join!(send_request(&fleet, path, ID), async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        for service in ["plain", "engines"] {
            fleet.announce(&format!("e2-{service}"), address, service);
        }
    });
    let text = match path {
        "/any/x" => "done".to_owned(),
        _ => event(1) + &event(2) + &event(3),
    };
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert!(reply.complete, "broken off after {:?}", reply.text());
    assert_eq!(reply.text(), text);
}

/// Guards against an end within an event that cancels the endpoint that was just asked.
#[tokio::test(flavor = "multi_thread")]
async fn an_end_within_an_event_leaves_the_stream_to_the_endpoint_that_was_asked() {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 1_000_000).await;
    let count = Arc::new(AtomicU64::new(0));
    for name in ["e1", "e2", "e3"] {
        let count = Arc::clone(&count);
        let endpoint = RawEndpoint::start(move |req| {
            if req.attempt != ID {
                return answer(&req);
            }
            if count.fetch_add(1, Ordering::Relaxed) == 0 {
                let head = format!(
                    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                     x-anvilloft-attempt: {}\r\n\r\n",
                    req.attempt
                );
                return vec![
                    send(head + &event(1) + "id: 2\nda"),
                    Step::Wait(Duration::from_secs(1)),
                    Step::Close,
                ];
            }
            let mut steps = vec![Step::Wait(Duration::from_millis(400))];
            steps.extend(answer(&req));
            steps
        });
        fleet.announce(name, endpoint.await.unwrap().addr, "engines");
    }
    send_request(&fleet, "/stream/x", "warm").await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let reply = send_request(&fleet, "/stream/x", ID).await;
    assert!(reply.complete, "broken off after {:?}", reply.text());
    assert_eq!(
        count.load(Ordering::Relaxed),
        2,
        "endpoints that were asked"
    );
}

/// Guards against a slow endpoint that is given up for one that only accepts requests,
/// although it answers others.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_answers_other_requests_is_kept() {
    let fleet = Arc::new(Fleet::start(1).await);
    fleet.publish(1, 1_000_000).await;
    let slow = RawEndpoint::start(|req| match req.attempt.as_str() {
        ID => silent_answer(&req, CASE.silence),
        "early" => {
            let mut steps = vec![send(stream_head(&req.attempt) + &chunk(&event(1)))];
            steps.push(Step::Wait(Duration::from_millis(700)));
            steps.push(send("0\r\n\r\n"));
            steps
        }
        _ => answer(&req),
    });
    fleet.announce("slow", slow.await.unwrap().addr, "engines");
    send_request(&fleet, "/stream/x", "warm").await;
    let early = Arc::clone(&fleet);
    let early = tokio::spawn(async move { send_request(&early, "/stream/x", "early").await });
    let late = Arc::clone(&fleet);
    let late = tokio::spawn(async move { send_request(&late, "/stream/x", ID).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let hung = RawEndpoint::start(|_| vec![Step::Wait(Duration::from_secs(10))]).await;
    let hung = hung.unwrap();
    fleet.announce("hung", hung.addr, "engines");
    assert!(early.await.unwrap().complete);
    let reply = late.await.unwrap();
    assert!(reply.complete, "broken off after {:?}", reply.text());
    assert_eq!(
        hung.request_count.load(Ordering::Relaxed),
        1,
        "it was asked"
    );
}

/// Guards against a sound endpoint that is left for one that only queues the request.
#[rstest::rstest]
#[case::plain("/any/x", None)]
#[case::plain_other_full("/any/x", Some("/once/x"))]
#[case::stream_other_full("/stream/x", Some("/fragile/x"))]
#[tokio::test(flavor = "multi_thread")]
async fn a_sound_endpoint_is_not_left_for_one_that_may_have_queued_the_request(
    #[case] path: &'static str,
    #[case] occupied_by: Option<&'static str>,
) {
    const SILENCE: Duration = Duration::from_millis(1_500);
    let fleet = Arc::new(Fleet::start(1).await);
    fleet.publish(1, 1_000_000).await;
    let queueing = RawEndpoint::start(|_| vec![Step::Wait(Duration::from_secs(10))]).await;
    let queueing = queueing.unwrap();
    let announce = |id: &str, address| {
        for service in ["plain", "engines"] {
            fleet.announce_slots(&format!("{id}-{service}"), address, service, 1);
        }
    };
    if let Some(path) = occupied_by {
        announce("queueing", queueing.addr);
        let occupier = Arc::clone(&fleet);
        tokio::spawn(async move { send_request(&occupier, path, "occupier").await });
        let count = Arc::clone(&queueing.request_count);
        eventually("its slot is taken", || count.load(Ordering::Relaxed) == 1).await;
    }
    let sound = RawEndpoint::start(|req| silent_answer(&req, SILENCE)).await;
    announce("sound", sound.unwrap().addr);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let (reply, ()) = tokio::join!(send_request(&fleet, path, ID), async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        announce("queueing", queueing.addr);
    });
    let text = match path {
        "/any/x" => "done".to_owned(),
        _ => event(1) + &event(2) + &event(3),
    };
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert!(reply.complete, "broken off after {:?}", reply.text());
    assert_eq!(reply.text(), text);
    // One that is full isn't asked.
    assert_eq!(queueing.request_count.load(Ordering::Relaxed), 1);
}

/// Guards against a silent endpoint that keeps its request for ever while all others are
/// full.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_is_silent_for_long_is_left_for_a_full_one() {
    // The stream is offered to one with a free slot after 900 ms, to any after twice that.
    const SILENCE: Duration = Duration::from_millis(1_800);
    let fleet = Arc::new(Fleet::start(1).await);
    fleet.publish(1, 1_000_000).await;
    let full = RawEndpoint::start(|req| match req.attempt.as_str() {
        ID => answer(&req),
        _ => vec![Step::Wait(Duration::from_secs(10))],
    });
    let full = full.await.unwrap();
    fleet.announce_slots("full", full.addr, "engines", 1);
    let occupier = Arc::clone(&fleet);
    tokio::spawn(async move { send_request(&occupier, "/fragile/x", "occupier").await });
    let count = Arc::clone(&full.request_count);
    eventually("its slot is taken", || count.load(Ordering::Relaxed) == 1).await;
    let dead = RawEndpoint::start(|req| silent_answer(&req, Duration::from_secs(10))).await;
    fleet.announce("dead", dead.unwrap().addr, "engines");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let started = Instant::now();
    let reply = send_request(&fleet, "/stream/x", ID).await;
    assert!(reply.complete, "broken off after {:?}", reply.text());
    assert_eq!(reply.text(), event(1) + &event(2) + &event(3));
    let elapsed = started.elapsed();
    assert!(elapsed >= SILENCE, "left after {elapsed:?}");
}

/// Guards against a request that stays at two dead endpoints though its route allows a
/// third one.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_reaches_a_third_endpoint_when_two_stay_silent() {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 1_000_000).await;
    let count = Arc::new(AtomicU64::new(0));
    for name in ["e1", "e2", "e3"] {
        let count = Arc::clone(&count);
        let endpoint = RawEndpoint::start(move |req| {
            let answered = vec![send(whole_answer(&req.attempt, "done"))];
            match req.attempt == ID && count.fetch_add(1, Ordering::Relaxed) < 2 {
                true => vec![Step::Wait(Duration::from_secs(10))],
                false => answered,
            }
        });
        fleet.announce(name, endpoint.await.unwrap().addr, "plain");
    }
    send_request(&fleet, "/persistent/x", "warm").await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let reply = send_request(&fleet, "/persistent/x", ID).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(count.load(Ordering::Relaxed), 3);
}
