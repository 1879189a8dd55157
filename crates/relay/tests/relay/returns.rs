//! Endpoints that were left because they were silent, and are asked again.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use anvilloft_fakes::http::Reply;
use anvilloft_fakes::raw::RawEndpoint;
use anvilloft_fakes::raw::ReceivedRequest;
use anvilloft_fakes::raw::Step;

use crate::common::Fleet;
use crate::common::chunk;
use crate::common::event;
use crate::common::eventually;
use crate::common::next_event;
use crate::common::send;
use crate::common::stream_head;
use crate::common::whole_stream;

/// Id of the request that meets the silence.
const ID: &str = "silent";
/// Silence that is longer than three pauses of the route.
const SILENCE: Duration = Duration::from_secs(2);
/// Silence that is longer than three pauses of the route, and shorter than six.
const SILENCE_OF_LEAVING: Duration = Duration::from_millis(1_500);
/// Time after which the next endpoint ends its part: longer than a handover.
const LATER: Duration = Duration::from_millis(500);

/// Sends a request to a fleet with these engines, and returns the answer with the names of
/// the engines that got it, in order. `script` returns what an engine does with it; the
/// last of the names that it gets is the engine's own.
async fn play(
    names: &'static [&'static str],
    script: impl Fn(&[&'static str], &ReceivedRequest) -> Vec<Step> + Copy + Send + Sync + 'static,
) -> (Reply, Vec<&'static str>) {
    play_leaving(names, None, script).await
}

/// Does the same, and lets the first engine announce that it leaves once this many engines
/// have got the request.
async fn play_leaving(
    names: &'static [&'static str],
    leaves_at: Option<usize>,
    script: impl Fn(&[&'static str], &ReceivedRequest) -> Vec<Step> + Copy + Send + Sync + 'static,
) -> (Reply, Vec<&'static str>) {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 1_000_000).await;
    let asked = Arc::new(Mutex::new(Vec::new()));
    let mut addresses = HashMap::new();
    for name in names.iter().copied() {
        let asked = Arc::clone(&asked);
        let endpoint = RawEndpoint::start(move |req| {
            if req.attempt != ID {
                return whole_stream(&req, 3);
            }
            let mut asked = asked.lock().unwrap();
            asked.push(name);
            script(&asked, &req)
        });
        let address = endpoint.await.unwrap().addr;
        addresses.insert(name, address);
        fleet.announce(name, address, "engines");
    }
    while fleet.send(0, "/stream/x", "warm").await.status == 429 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let (reply, ()) = tokio::join!(fleet.send(0, "/stream/x", ID), async {
        let Some(leaves_at) = leaves_at else { return };
        let count = || asked.lock().unwrap().len();
        eventually("the engines have the request", || count() >= leaves_at).await;
        let first = asked.lock().unwrap()[0];
        fleet.announce_leaving(first, addresses[first], "engines");
    });
    let asked = asked.lock().unwrap().clone();
    (reply, asked)
}

/// Asserts that the answer has all three events.
fn assert_whole(reply: &Reply, asked: &[&str]) {
    assert!(
        reply.complete,
        "broken off after {:?}, asked {asked:?}",
        reply.text()
    );
    assert_eq!(reply.text(), event(1) + &event(2) + &event(3));
}

/// How the next endpoint ends its part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Fails,
    BreaksOff,
    Refuses,
    /// It is another endpoint by now.
    AnswersForAnother,
}

fn next_steps(next: Next, req: &ReceivedRequest) -> Vec<Step> {
    let status = match next {
        Next::Fails => "500 Failed\r\n",
        Next::BreaksOff => return vec![Step::Wait(LATER), Step::Close],
        Next::Refuses => "503 Full\r\nx-anvilloft-refused: not-run\r\n",
        Next::AnswersForAnother => "200 Ok\r\ncontent-type: text/plain\r\n",
    };
    let answer = format!(
        "HTTP/1.1 {status}x-anvilloft-attempt: {}\r\ncontent-length: 0\r\n\r\n",
        req.attempt
    );
    vec![Step::Wait(LATER), send(answer)]
}

/// Guards against a stream that the router breaks off because it left a silent endpoint
/// for one that fails, although the first one is sound.
#[rstest::rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_returns_to_the_silent_endpoint_that_it_left_when_the_next_one_fails(
    #[values(Next::Fails, Next::BreaksOff, Next::Refuses, Next::AnswersForAnother)] next: Next,
) {
    let (reply, mut asked) = play(&["e1", "e2", "e3"], move |asked, req| match asked {
        [_] => vec![
            send(stream_head(ID) + &chunk(&event(1))),
            Step::Wait(SILENCE),
            send(chunk(&event(2)) + &chunk(&event(3)) + "0\r\n\r\n"),
        ],
        [first, .., last] if first == last => whole_stream(req, 3),
        _ => next_steps(next, req),
    })
    .await;
    assert_whole(&reply, &asked);
    asked.sort_unstable();
    asked.dedup();
    assert_eq!(asked.len(), 2, "endpoints that were asked: {asked:?}");
}

/// Guards against a stream that is broken off because the silent endpoint that it left for
/// one that fails has begun to leave meanwhile.
#[rstest::rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_returns_to_a_silent_endpoint_that_has_just_begun_to_leave(
    #[values(Next::Fails, Next::BreaksOff, Next::Refuses)] next: Next,
) {
    let (reply, asked) = play_leaving(&["e1", "e2"], Some(2), move |asked, req| {
        match asked.len() {
            1 => vec![
                send(stream_head(ID) + &chunk(&event(1))),
                Step::Wait(SILENCE),
            ],
            2 => next_steps(next, req),
            _ => whole_stream(req, 3),
        }
    })
    .await;
    assert_whole(&reply, &asked);
    assert_eq!(asked.len(), 3, "requests at endpoints: {asked:?}");
}

/// Guards against a stream that is broken off because it leaves a silent endpoint, to which
/// it can't return, for one that fails.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_stays_longer_at_a_silent_endpoint_that_is_leaving() {
    let (reply, asked) = play_leaving(&["e1", "e2"], Some(1), move |asked, req| {
        let pause = Step::Wait(Duration::from_millis(500));
        match asked.len() {
            1 => vec![
                send(stream_head(ID) + &chunk(&event(1))),
                pause.clone(),
                send(chunk(&event(2))),
                pause,
                send(chunk(&event(3))),
                Step::Wait(SILENCE_OF_LEAVING),
                send("0\r\n\r\n"),
            ],
            _ => next_steps(Next::Fails, req),
        }
    })
    .await;
    assert_whole(&reply, &asked);
    assert_eq!(asked.len(), 1, "requests at endpoints: {asked:?}");
}

/// Guards against a stream that stays for ever at a leaving endpoint that is gone.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_leaves_a_leaving_endpoint_that_stays_silent() {
    let (reply, asked) = play_leaving(&["e1", "e2"], Some(1), move |asked, req| {
        match asked.len() {
            1 => vec![
                send(stream_head(ID) + &chunk(&event(1))),
                Step::Wait(Duration::from_millis(700)),
                send(chunk(&event(2))),
                Step::Wait(Duration::from_secs(10)),
            ],
            _ => whole_stream(req, 3),
        }
    })
    .await;
    assert_whole(&reply, &asked);
    assert_eq!(asked.len(), 2, "requests at endpoints: {asked:?}");
}

/// Guards against a request that fails because the router left a silent endpoint, which had
/// sent nothing yet, for one that fails.
#[rstest::rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_returns_to_the_silent_endpoint_that_it_left_before_an_answer(
    #[values(Next::Fails, Next::BreaksOff, Next::Refuses)] next: Next,
    #[values(false, true)] sends_header: bool,
) {
    let (reply, asked) = play(&["e1", "e2"], move |asked, req| match asked.len() {
        1 => vec![Step::Wait(SILENCE), whole_stream(req, 3).remove(0)],
        2 if sends_header => vec![send(stream_head(ID)), Step::Wait(LATER), Step::Close],
        2 => next_steps(next, req),
        _ => whole_stream(req, 3),
    })
    .await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_whole(&reply, &asked);
    assert_eq!(asked.len(), 3, "requests at endpoints: {asked:?}");
}

/// Guards against a stream that breaks off with its endpoint, which was silent before, though
/// the one that it didn't need then could go on.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_returns_to_an_endpoint_that_it_did_not_need_before() {
    let (reply, asked) = play(&["e1", "e2"], move |asked, req| match asked.len() {
        1 => vec![
            send(stream_head(ID) + &chunk(&event(1))),
            Step::Wait(Duration::from_millis(1_000)),
            send(chunk(&event(2))),
            Step::Wait(Duration::from_millis(50)),
            Step::Close,
        ],
        2 => vec![
            Step::Wait(Duration::from_millis(400)),
            whole_stream(req, 3).remove(0),
        ],
        _ => whole_stream(req, 3),
    })
    .await;
    assert_whole(&reply, &asked);
    assert_eq!(asked.last(), asked.get(1), "{asked:?}");
}

/// What the next endpoint sends after the header of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterHeader {
    End,
    Break,
    /// An event that can't follow.
    Foreign,
}

/// Guards against a silent endpoint that is left for one whose answer brings no event,
/// such as the end of a stream that was silent before its own end only.
#[rstest::rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_endpoint_is_kept_until_the_next_one_sends_an_event(
    #[values(1, 3)] events_before: u32,
    #[values(AfterHeader::End, AfterHeader::Break, AfterHeader::Foreign)] next: AfterHeader,
) {
    let (reply, asked) = play(&["e1", "e2"], move |asked, _| {
        let events = |ids: std::ops::RangeInclusive<u32>| -> String {
            ids.map(|id| chunk(&event(id))).collect()
        };
        match (asked.len(), next) {
            (1, _) => vec![
                send(stream_head(ID) + &events(1..=events_before)),
                Step::Wait(SILENCE),
                send(events(events_before + 1..=3) + "0\r\n\r\n"),
            ],
            (_, AfterHeader::End) => vec![send(stream_head(ID) + "0\r\n\r\n")],
            (_, AfterHeader::Break) => vec![
                send(stream_head(ID)),
                Step::Wait(Duration::from_millis(50)),
                Step::Close,
            ],
            (_, AfterHeader::Foreign) => {
                vec![send(stream_head(ID) + &events(1..=3) + "0\r\n\r\n")]
            }
        }
    })
    .await;
    assert_whole(&reply, &asked);
    assert_eq!(asked.len(), 2, "requests at endpoints: {asked:?}");
}

/// Splits the answer to a request into its events with what precedes them, and its end.
fn split_stream(req: &ReceivedRequest, is_framed: bool) -> (Step, Step) {
    if !is_framed {
        let head = stream_head(&req.attempt).replace("transfer-encoding: chunked\r\n", "");
        let events: String = (next_event(req)..=3).map(event).collect();
        return (send(head + &events), Step::Close);
    }
    let Step::Send(answer) = whole_stream(req, 3).remove(0) else {
        unreachable!("an answer");
    };
    let answer = String::from_utf8(answer).unwrap();
    let (begun, end) = answer.split_at(answer.len() - "0\r\n\r\n".len());
    (send(begun), send(end))
}

/// Guards against a whole stream that is broken off because its endpoint was silent, and
/// was left, between the last event and the end.
#[rstest::rstest]
#[case::framed(true, 3)]
// An end that nothing marks is confirmed by a second one.
#[case::unframed(false, 4)]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_was_left_after_its_last_event_ends_where_it_began(
    #[case] is_framed: bool,
    #[case] request_count: usize,
) {
    let (reply, asked) = play(&["e1", "e2"], move |asked, req| {
        // The first one is resumed after the last event, too.
        let (events, end) = split_stream(req, is_framed);
        match asked.len() {
            1 => vec![events, Step::Wait(SILENCE), end],
            2 => vec![Step::Wait(LATER), events, end],
            _ => vec![events, end],
        }
    })
    .await;
    assert_whole(&reply, &asked);
    assert_eq!(asked.len(), request_count, "requests at {asked:?}");
}

/// Guards against a stream that looks complete because its endpoint crashed after the header
/// of an answer without a length or chunks.
#[tokio::test(flavor = "multi_thread")]
async fn an_unmarked_end_of_a_returned_stream_is_not_taken_for_its_end_without_a_second_one() {
    let (reply, asked) = play(&["e1", "e2"], move |asked, req| {
        let (events, end) = split_stream(req, false);
        match asked.len() {
            1 => vec![events, Step::Wait(SILENCE), end],
            2 => vec![Step::Wait(LATER), Step::Close],
            3 => vec![events, end],
            _ => vec![Step::Close],
        }
    })
    .await;
    assert!(!reply.complete, "whole after requests at {asked:?}");
    assert_eq!(asked.len(), 4, "requests at endpoints: {asked:?}");
}

/// Guards against a stream that looks complete because an endpoint without its last event
/// ended it: the endpoint had been left before, and has nothing more to send.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_not_ended_by_an_endpoint_that_did_not_send_its_last_event() {
    let (reply, asked) = play(&["e1", "e2"], move |asked, _| match asked.len() {
        1 => vec![
            send(stream_head(ID) + &chunk(&event(1))),
            Step::Wait(SILENCE),
        ],
        2 => vec![
            send(stream_head(ID) + &chunk(&event(2))),
            Step::Wait(LATER),
            Step::Close,
        ],
        _ => vec![send(stream_head(ID) + "0\r\n\r\n")],
    })
    .await;
    assert_eq!(reply.text(), event(1) + &event(2));
    assert!(!reply.complete, "whole after requests at {asked:?}");
    assert_eq!(asked.len(), 3, "requests at endpoints: {asked:?}");
}
