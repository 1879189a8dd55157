//! Answers of model engines as callers receive them.

mod common;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilloft_fakes::Fault;
use anvilloft_fakes::raw::RawEndpoint;
use anvilloft_fakes::raw::Step;
use anvilloft_fakes::raw::chat_body;
use anvilloft_fakes::raw::whole_answer;
use common::*;

/// Guards against lost, duplicated or wrongly billed answers without any failure.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_and_streamed_answers_are_complete_and_billed_by_usage() {
    let fleet = Fleet::start(1, 1_000_000).await;
    let fake = fleet.fake(engine("e1")).await;
    for stream in [false, true] {
        let reply = chat("oak", stream)
            .send(fleet.addr(0), TIMEOUT)
            .await
            .unwrap();
        assert_eq!(reply.status, 200);
        assert!(reply.complete);
        assert_eq!(reply.content(), "[oak] t1 t2 t3 t4 t5 t6 t7");
        assert_eq!(stream, reply.events().last().is_some_and(|e| e == "[DONE]"));
        // The caller didn't request the usage event.
        assert!(!stream || !reply.text().contains("usage"));
    }
    let body = r#"{"model":"m","prompt":"elm","max_tokens":3,"stream":true,"stream_options":{"include_usage":true}}"#;
    let call = anvilloft_fakes::http::Call::post("/v1/completions", body).key(KEY);
    let reply = call.send(fleet.addr(0), TIMEOUT).await.unwrap();
    assert!(reply.text().contains("\"usage\""));
    assert!(reply.text().contains("[elm]"));
    // 1 prompt token each, and 8, 8 and 3 generated tokens.
    assert_eq!(fleet.settled().await, 9 + 9 + 4);
    assert_eq!(fake.counts().run_count("oak"), 2);
}

/// Guards against interrupted streams that look complete, against reported usage
/// above the reservation, and against streams that exceed their reservation.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn broken_streams_end_with_an_error_and_cost_at_most_the_reservation() {
    struct Case {
        name: &'static str,
        fault: Fault,
        interrupted: bool,
    }
    let cases = [
        Case {
            name: "break",
            fault: Fault::BreakAfter(3),
            interrupted: true,
        },
        Case {
            name: "no end",
            fault: Fault::MissingDone,
            interrupted: true,
        },
        Case {
            name: "endless",
            fault: Fault::Endless,
            interrupted: true,
        },
        Case {
            name: "huge usage",
            fault: Fault::OverstatedUsage,
            interrupted: false,
        },
        Case {
            name: "no usage",
            fault: Fault::MissingUsage,
            interrupted: false,
        },
    ];
    let fleet = Fleet::start(1, 1_000_000).await;
    let mut options = engine("e1");
    // Delays the tokens so that the start of a stream is sent before it breaks.
    options.token_delay = Duration::from_millis(5);
    let fake = fleet.fake(options).await;
    let mut billed = 0;
    for case in cases {
        fake.set_fault(case.fault);
        let reply = chat(case.name, true)
            .send(fleet.addr(0), TIMEOUT)
            .await
            .unwrap();
        assert_eq!(reply.status, 200, "{}", case.name);
        assert!(reply.complete, "{}", case.name);
        assert_eq!(
            interrupted(&reply),
            case.interrupted,
            "{}: {}",
            case.name,
            reply.text()
        );
        assert!(reply.content().starts_with(&format!("[{}]", case.name)));
        let now = fleet.settled().await;
        let cost = now - billed;
        billed = now;
        assert!(cost >= 4, "{} cost {cost}", case.name);
        // The reservation is the body's length plus 50 tokens.
        assert!(cost < 50 + 150, "{} cost {cost}", case.name);
    }
}

/// Guards against engines that keep working for callers that disconnected.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn disconnect_cancels_the_attempt_and_bills_the_tokens_sent() {
    let fleet = Fleet::start(1, 1_000_000).await;
    let mut options = engine("e1");
    options.tokens = 1000;
    options.token_delay = Duration::from_millis(10);
    let fake = fleet.fake(options).await;
    let mut open = chat("gone", true).open(fleet.addr(0)).await.unwrap();
    assert!(open.read_until(" t3", TIMEOUT).await);
    drop(open);
    wait_until(|| fake.running() == 0).await;
    wait_until(|| fake.counts().cancel_calls.load(Ordering::Relaxed) == 1).await;
    let settled = fleet.settled().await;
    assert!((4..100).contains(&settled), "settled {settled}");
}

/// Guards against answers of other requests (invariant I3), from wrong or missing
/// attempt ids and from late or duplicated answers on a reused connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn mismatched_and_late_answers_never_reach_a_caller() {
    let fleet = Fleet::start(1, 1_000_000).await;
    let fake = fleet.fake(engine("e1")).await;
    for fault in [Fault::WrongAttempt, Fault::MissingAttempt] {
        fake.set_fault(fault);
        for stream in [false, true] {
            let reply = chat("mine", stream)
                .send(fleet.addr(0), TIMEOUT)
                .await
                .unwrap();
            assert_eq!(reply.status, 502, "{fault:?}");
            assert!(!reply.text().contains("[mine]"));
        }
    }
    drop(fake);
    // A stray second answer directly follows the first one, arrives later on an
    // idle connection, or is read in place of the next request's answer.
    let fleet = Fleet::start(1, 1_000_000).await;
    let raw = RawEndpoint::start(|req| {
        let prompt = req.body.split("\"content\":\"").nth(1).unwrap_or_default();
        let prompt = prompt.split('"').next().unwrap_or_default().to_owned();
        let own = whole_answer(&req.attempt, &chat_body(&prompt));
        let stray = whole_answer(&req.attempt, &chat_body("stray"));
        match req.number % 3 {
            0 => vec![Step::Send([own, stray].concat())],
            1 => vec![
                Step::Send(own),
                Step::Wait(Duration::from_millis(5)),
                Step::Send(stray),
            ],
            _ => vec![Step::Send(own)],
        }
    })
    .await
    .unwrap();
    raw.announce(fleet.addr(0), ENDPOINT_KEY, "raw", "m", 1)
        .await;
    for n in 0..30 {
        let prompt = format!("p{n}");
        let reply = chat(&prompt, false)
            .send(fleet.addr(0), TIMEOUT)
            .await
            .unwrap();
        if reply.status == 200 {
            assert_eq!(reply.content(), prompt);
        } else {
            assert!(!reply.text().contains("stray"));
        }
        tokio::time::sleep(Duration::from_millis(n % 4 * 4)).await;
        raw.announce(fleet.addr(0), ENDPOINT_KEY, "raw", "m", n + 2)
            .await;
    }
}

/// Guards against truncated answers that are taken for complete ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn truncated_answer_is_a_failure() {
    let fleet = Fleet::start(1, 1_000_000).await;
    let raw = RawEndpoint::start(|req| {
        let body = chat_body("cut");
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-anvilloft-attempt: {}\r\n",
            req.attempt
        );
        let bytes = match req.number % 3 {
            // Shorter than the content length.
            0 => format!("{head}content-length: {}\r\n\r\n{body}", body.len() + 1),
            // Without the terminal chunk.
            1 => format!(
                "{head}transfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n",
                body.len()
            ),
            // Ended only by the close of the connection.
            _ => format!("{head}connection: close\r\n\r\n{body}"),
        };
        vec![Step::Send(bytes.into_bytes()), Step::Close]
    })
    .await
    .unwrap();
    for n in 0..3 {
        raw.announce(fleet.addr(0), ENDPOINT_KEY, "raw", "m", 2 * n + 1)
            .await;
        let announcer = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            raw.announce(fleet.addr(0), ENDPOINT_KEY, "raw", "m", 2 * n + 2)
                .await;
        };
        let call = chat("cut", false);
        let (reply, ()) = tokio::join!(call.send(fleet.addr(0), TIMEOUT), announcer);
        let reply = reply.unwrap();
        assert_eq!(reply.status, 502, "case {n}: {}", reply.text());
        assert_eq!(error(&reply).0, "unknown");
    }
    assert_eq!(fleet.settled().await, 0);
}

/// Guards against an engine's 429 or 503 that doesn't say that the request was not run,
/// after which the caller is told so.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unmarked_refusal_of_an_engine_is_no_promise() {
    let fleet = Fleet::start(1, 1_000_000).await;
    let raw = RawEndpoint::start(|req| {
        let status = if req.body.contains("busy-429") {
            429
        } else {
            503
        };
        let mark = match req.body.contains("marked") {
            true => "x-anvilloft-refused: not-run\r\n",
            false => "",
        };
        let answer = format!(
            "HTTP/1.1 {status} No\r\nx-anvilloft-attempt: {}\r\n{mark}content-length: 0\r\n\r\n",
            req.attempt
        );
        vec![Step::Send(answer.into_bytes())]
    });
    let raw = raw.await.unwrap();
    let cases = [
        ("busy-429", "unknown"),
        ("busy-503", "unknown"),
        ("marked busy-429", "no"),
        ("marked busy-503", "no"),
    ];
    for (seq, (prompt, run)) in (1..).zip(cases) {
        raw.announce(fleet.addr(0), ENDPOINT_KEY, "raw", "m", seq)
            .await;
        let reply = chat(prompt, false).send(fleet.addr(0), TIMEOUT).await;
        let reply = reply.unwrap();
        assert_eq!(error(&reply).0, run, "{prompt}: {}", reply.text());
    }
    assert_eq!(fleet.settled().await, 0);
}

/// Guards against a refusal of the second engine that hides that the first one may have
/// run the request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_later_refusal_does_not_hide_an_earlier_run() {
    let fleet = Fleet::start(1, 1_000_000).await;
    let first = AtomicBool::new(true);
    let first = Arc::new(first);
    let mut engines = Vec::new();
    for id in ["e1", "e2"] {
        let first = Arc::clone(&first);
        let raw = RawEndpoint::start(move |req| {
            let mark = match first.swap(false, Ordering::Relaxed) {
                true => "",
                false => "x-anvilloft-refused: not-run\r\n",
            };
            let answer = format!(
                "HTTP/1.1 503 No\r\nx-anvilloft-attempt: {}\r\n{mark}content-length: 0\r\n\r\n",
                req.attempt
            );
            vec![Step::Send(answer.into_bytes())]
        });
        let raw = raw.await.unwrap();
        raw.announce(fleet.addr(0), ENDPOINT_KEY, id, "m", 1).await;
        engines.push(raw);
    }
    let reply = chat("x", false).send(fleet.addr(0), TIMEOUT).await.unwrap();
    let sent: u64 = engines
        .iter()
        .map(|e| e.request_count.load(Ordering::Relaxed))
        .sum();
    assert!(sent >= 2, "sent {sent} times");
    assert_eq!(error(&reply).0, "unknown", "{}", reply.text());
}

/// Guards against requests that hang at a silent endpoint while others work.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_leave_silent_endpoints_within_the_timeouts() {
    let fleet = Fleet::start_with(1, 1_000_000, |o| {
        o.client.first_byte = Duration::from_millis(300);
        o.client.gap = Duration::from_millis(300);
    })
    .await;
    let silent = fleet.fake(engine("e1")).await;
    let healthy = fleet.fake(engine("e2")).await;
    silent.set_fault(Fault::StallAfter(0));
    for n in 0..6 {
        let reply = chat(&format!("s{n}"), true)
            .send(fleet.addr(0), TIMEOUT)
            .await
            .unwrap();
        assert_eq!(reply.status, 200);
        assert_eq!(reply.events().last().map(String::as_str), Some("[DONE]"));
    }
    // A stream that has started isn't retried, but ends with an error.
    silent.set_fault(Fault::StallAfter(2));
    healthy.set_fault(Fault::StallAfter(2));
    let started_at = std::time::Instant::now();
    let reply = chat("middle", true)
        .send(fleet.addr(0), TIMEOUT)
        .await
        .unwrap();
    assert!(interrupted(&reply), "{}", reply.text());
    assert!(started_at.elapsed() < Duration::from_secs(3));
}

/// Guards against a caller that stops reading and so holds an engine and its tokens for
/// ever.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_stops_reading_is_cut_off() {
    let fleet = Fleet::start_with(1, 10_000_000, |o| {
        o.api.write_timeout = Duration::from_millis(500);
    })
    .await;
    let raw = RawEndpoint::start(|req| {
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
             x-anvilloft-attempt: {}\r\ntransfer-encoding: chunked\r\n\r\n",
            req.attempt
        );
        let text = "x".repeat(100_000);
        let data = format!(
            "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n"
        );
        let event = format!("{:x}\r\n{data}\r\n", data.len());
        vec![
            Step::Send(head.into_bytes()),
            Step::Repeat(event.into_bytes(), Duration::ZERO),
        ]
    });
    let raw = raw.await.unwrap();
    raw.announce(fleet.addr(0), ENDPOINT_KEY, "raw", "m", 1)
        .await;
    let body = r#"{"model":"m","prompt":"elm","max_tokens":1000,"stream":true}"#;
    let call = anvilloft_fakes::http::Call::post("/v1/completions", body).key(KEY);
    let mut open = call.open(fleet.addr(0)).await.unwrap();
    assert!(open.read_until("data: ", TIMEOUT).await);
    let metrics = fleet.routers[0].metrics();
    assert_eq!(metrics.in_flight.get(), 1);
    let started_at = std::time::Instant::now();
    wait_until(|| metrics.in_flight.get() == 0).await;
    let elapsed = started_at.elapsed();
    drop(open);
    assert!(elapsed < Duration::from_secs(5), "{elapsed:?}");
    assert!(fleet.settled().await > 0);
}
