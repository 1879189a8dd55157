//! Requests in flight while what they began with goes away.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anvilloft_fakes::raw::RawEndpoint;
use anvilloft_fakes::raw::ReceivedRequest;
use anvilloft_fakes::raw::Step;
use anvilloft_fakes::raw::whole_answer;
use anvilloft_wire::frame::EndpointUpdate;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::common::CALL_TIMEOUT;
use crate::common::Fleet;
use crate::common::call;
use crate::common::chunk;
use crate::common::event;
use crate::common::eventually;
use crate::common::send;
use crate::common::stream_head;
use crate::common::whole_stream;

/// What goes away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    /// Routes, services and teams.
    Table,
    /// All endpoints say that they are leaving.
    Leaving,
}

/// Time until the endpoints go on, in which the change takes effect.
const PAUSE: Duration = Duration::from_millis(2_400);
const PATHS: [&str; 4] = ["/any/x", "/once/x", "/fragile/x", "/stream/x"];
const SERVICES: [&str; 2] = ["plain", "engines"];

/// Returns an answer that takes longer than the change. The stream that can be resumed
/// breaks off after the change, unless `is_whole`.
fn answer(req: &ReceivedRequest, is_whole: bool) -> Vec<Step> {
    if req.attempt == "warm" || req.head.contains("last-event-id: ") {
        return match req.head.contains("/x") && !req.head.contains("stream") {
            true => vec![send(whole_answer(&req.attempt, "done"))],
            false => whole_stream(req, 2),
        };
    }
    let path = req.head.split_ascii_whitespace().nth(1).unwrap_or_default();
    if !path.starts_with("/stream") && !path.starts_with("/fragile") {
        return vec![Step::Wait(PAUSE), send(whole_answer(&req.attempt, "done"))];
    }
    let mut steps = vec![
        send(stream_head(&req.attempt) + &chunk(&event(1))),
        Step::Wait(PAUSE),
    ];
    match path.starts_with("/fragile") || is_whole {
        true => steps.push(send(chunk(&event(2)) + "0\r\n\r\n")),
        false => steps.push(Step::Close),
    }
    steps
}

async fn apply(fleet: &Fleet, change: Change, names: &[String], address: SocketAddr) {
    if change == Change::Table {
        return fleet.put_source(2, 1_000_000, "2 1000000 empty").await;
    }
    for (name, service) in names.iter().zip(SERVICES.iter().cycle()) {
        fleet.control.peers().announce(EndpointUpdate {
            id: name.clone(),
            incarnation: 1,
            seq: 2,
            address: address.to_string(),
            data_centre: "a".into(),
            pool: (*service).into(),
            slots: 8,
            leaving: true,
            ..EndpointUpdate::default()
        });
    }
}

/// Guards against requests that end without their answer because their route, service,
/// team or endpoint goes away while they are in flight.
#[rstest::rstest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_in_flight_outlast_a_change(
    #[values(Change::Table, Change::Leaving)] change: Change,
) {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 1_000_000).await;
    let mut names = Vec::new();
    let is_whole = change == Change::Leaving;
    let endpoint = RawEndpoint::start(move |req| answer(&req, is_whole)).await;
    let endpoint = endpoint.unwrap();
    for n in 0..2 {
        for service in SERVICES {
            let name = format!("e{n}-{service}");
            fleet.announce(&name, endpoint.addr, service);
            names.push(name);
        }
    }
    for path in ["/any/x", "/stream/x"] {
        while fleet.send(0, path, "warm").await.status != 200 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    let address = fleet.relays[0].address();
    let before = endpoint.request_count.load(Ordering::Relaxed);
    let calls = PATHS.map(|path| {
        let call = call(path, "body", &format!("id{}", path.replace('/', "-")));
        tokio::spawn(async move { call.send(address, CALL_TIMEOUT).await })
    });
    eventually("the endpoint has the requests", || {
        endpoint.request_count.load(Ordering::Relaxed) == before + 4
    })
    .await;
    apply(&fleet, change, &names, endpoint.addr).await;
    let code = match change {
        Change::Table => "unknown_route",
        Change::Leaving => "no_endpoint",
    };
    let mut is_applied = false;
    let changed_at = Instant::now();
    while changed_at.elapsed() < PAUSE * 3 / 4 {
        is_applied |= fleet
            .try_send(0, "/any/x", "warm")
            .await
            .text()
            .contains(code);
        if is_applied {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(is_applied, "the change has no effect");
    for (path, reply) in PATHS.iter().zip(calls) {
        let reply = reply.await.unwrap().unwrap();
        let text = match path.starts_with("/any") || path.starts_with("/once") {
            true => "done".to_owned(),
            false => event(1) + &event(2),
        };
        assert_eq!(reply.status, 200, "{path}: {}", reply.text());
        assert!(reply.complete, "{path}: broken off after {}", reply.text());
        assert_eq!(reply.text(), text, "{path}");
    }
}

/// Guards against a request that is closed or refused because a table removes its route,
/// or shortens the idle limit, while its body arrives.
#[rstest::rstest]
#[case::route_removed("2 1000000 empty")]
#[case::idle_limit_shortened("2 1000000 1000")]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_arrives_across_a_change_is_answered(#[case] source: &str) {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 1_000_000).await;
    let endpoint = RawEndpoint::start(|req| vec![send(whole_answer(&req.attempt, "done"))]).await;
    let endpoint = endpoint.unwrap();
    fleet.announce("e", endpoint.addr, "plain");
    assert_eq!(fleet.send(0, "/any/x", "warm").await.status, 200);
    let address = fleet.relays[0].address();
    let mut caller = TcpStream::connect(address).await.unwrap();
    let begun = "POST /any/x HTTP/1.1\r\nhost: 127.0.0.1\r\nx-key: k\r\nconnection: close\r\n\
                 x-anvilloft-attempt: slow\r\ncontent-length: 8\r\n\r\nhalf";
    caller.write_all(begun.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.put_source(2, 1_000_000, source).await;
    tokio::time::sleep(PAUSE).await;
    if source.ends_with("empty") {
        let reply = fleet.try_send(0, "/any/x", "warm").await;
        assert!(
            reply.text().contains("unknown_route"),
            "the change has no effect"
        );
    }
    caller.write_all(b"rest").await.unwrap();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("done"), "{answer}");
}
