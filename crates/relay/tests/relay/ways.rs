//! Forms of requests and answers, and what the caller gets.

use std::time::Duration;

use anvilloft_fakes::raw::RawEndpoint;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::common::CALL_TIMEOUT;
use crate::common::Fleet;
use crate::common::call;
use crate::common::send;

/// Sends bytes to the relay, and returns all that comes back.
async fn raw(fleet: &Fleet, request: &str) -> String {
    let mut stream = TcpStream::connect(fleet.relays[0].address()).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let read = tokio::time::timeout(CALL_TIMEOUT, stream.read_to_end(&mut answer)).await;
    read.unwrap().ok();
    String::from_utf8_lossy(&answer).into_owned()
}

fn request(method: &str, path: &str, id: &str, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: 127.0.0.1\r\nx-key: k\r\n\
         x-anvilloft-attempt: {id}\r\n{more}\r\n"
    )
}

/// Guards against requests of less usual forms that get no final answer.
#[tokio::test(flavor = "multi_thread")]
async fn every_form_of_request_and_answer_gets_a_final_answer() {
    struct Case {
        name: &'static str,
        request: String,
        /// Answer of the endpoint; `{a}` is the attempt.
        answer: &'static str,
        status: &'static str,
        body: &'static str,
        answers: usize,
    }
    const LAST: &str = "connection: close\r\n";
    let post = |id: &str, more: &str, body: &str| request("POST", "/once/x", id, more) + body;
    let cases = [
        Case {
            name: "interim answers before the final one",
            request: request("GET", "/once/x", "c1", LAST),
            answer: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n\
                     HTTP/1.1 200 OK\r\nx-anvilloft-attempt: {a}\r\ncontent-length: 2\r\n\r\nok",
            status: "HTTP/1.1 200 ",
            body: "ok",
            answers: 1,
        },
        Case {
            name: "answer without content",
            request: request("GET", "/once/x", "c3", LAST),
            answer: "HTTP/1.1 204 No Content\r\nx-anvilloft-attempt: {a}\r\n\r\n",
            status: "HTTP/1.1 204 ",
            body: "",
            answers: 1,
        },
        Case {
            name: "unchanged content, with the length that it would have",
            request: request("GET", "/once/x", "c4", LAST),
            answer: "HTTP/1.1 304 Not Modified\r\nx-anvilloft-attempt: {a}\r\n\
                     content-length: 10\r\n\r\n",
            status: "HTTP/1.1 304 ",
            body: "",
            answers: 1,
        },
        Case {
            name: "head of an answer",
            request: request("HEAD", "/once/x", "c5", LAST),
            answer: "HTTP/1.1 200 OK\r\nx-anvilloft-attempt: {a}\r\ncontent-length: 10\r\n\r\n",
            status: "HTTP/1.1 200 ",
            body: "",
            answers: 1,
        },
        Case {
            name: "head of a stream",
            request: request("HEAD", "/stream/x", "c6", LAST),
            answer: "HTTP/1.1 200 OK\r\nx-anvilloft-attempt: {a}\r\ncontent-length: 10\r\n\r\n",
            status: "HTTP/1.1 200 ",
            body: "",
            answers: 1,
        },
        Case {
            name: "body that waits for permission",
            request: post(
                "c7",
                "connection: close\r\nexpect: 100-continue\r\ncontent-length: 4\r\n",
                "body",
            ),
            answer: "HTTP/1.1 200 OK\r\nx-anvilloft-attempt: {a}\r\ncontent-length: 2\r\n\r\nok",
            status: "HTTP/1.1 ",
            body: "ok",
            answers: 1,
        },
        Case {
            name: "body in chunks with a trailer",
            request: post(
                "c8",
                "connection: close\r\ntransfer-encoding: chunked\r\ntrailer: x\r\n",
                "4\r\nbody\r\n0\r\nx: y\r\n\r\n",
            ),
            answer: "HTTP/1.1 200 OK\r\nx-anvilloft-attempt: {a}\r\ncontent-length: 2\r\n\r\nok",
            status: "HTTP/1.1 200 ",
            body: "ok",
            answers: 1,
        },
        Case {
            name: "two requests at once",
            request: request("GET", "/once/x", "c9", "") + &request("GET", "/once/x", "c10", LAST),
            answer: "HTTP/1.1 200 OK\r\nx-anvilloft-attempt: {a}\r\ncontent-length: 2\r\n\r\nok",
            status: "HTTP/1.1 200 ",
            body: "ok",
            answers: 2,
        },
    ];
    for case in cases {
        let fleet = Fleet::start(1).await;
        fleet.publish(1, 100_000).await;
        let answer = case.answer;
        let endpoint = RawEndpoint::start(move |s| vec![send(answer.replace("{a}", &s.attempt))]);
        let endpoint = endpoint.await.unwrap();
        fleet.announce("e", endpoint.addr, "plain");
        fleet.announce("g", endpoint.addr, "engines");
        tokio::time::sleep(Duration::from_millis(300)).await;
        let got = raw(&fleet, &case.request).await;
        let name = case.name;
        assert!(got.starts_with(case.status), "{name}: {got:?}");
        assert_eq!(
            got.matches("x-anvilloft-attempt").count(),
            case.answers,
            "{name}: {got:?}"
        );
        let (_, body) = got.rsplit_once("\r\n\r\n").unwrap_or(("", "no answer"));
        assert_eq!(body, case.body, "{name}: {got:?}");
    }
}

/// Returns the number of sent bytes that the peer's host has not acknowledged, or `None`
/// for a connection that has ended.
fn send_queue_len(stream: &TcpStream) -> Option<u64> {
    let ports = [stream.local_addr().ok()?, stream.peer_addr().ok()?].map(|a| a.port());
    let [local, peer] = ports.map(|port| format!(":{port:04X}"));
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let queues = table.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_match = fields.get(1)?.ends_with(&local) && fields.get(2)?.ends_with(&peer);
        is_match.then(|| fields[4].to_owned())
    });
    let queues = queues?;
    u64::from_str_radix(queues.split(':').next()?, 16).ok()
}

/// Guards against an answer that is lost because its endpoint didn't read the whole
/// request and reset the connection after the answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_before_the_end_of_the_request_arrives() {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 100_000).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let early = tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buf = vec![0; 1024];
                stream.read_exact(&mut buf).await.ok();
                let head = String::from_utf8_lossy(&buf).to_ascii_lowercase();
                let id = head
                    .split("x-anvilloft-attempt: ")
                    .nth(1)
                    .unwrap_or_default();
                let id = id.lines().next().unwrap_or_default();
                let body = "x".repeat(200_000);
                let answer = anvilloft_fakes::raw::whole_answer(id, &body);
                let answer = String::from_utf8_lossy(&answer)
                    .replace("content-type", "connection: close\r\ncontent-type");
                stream.write_all(answer.as_bytes()).await.ok();
                // A reset drops what the relay's host has not acknowledged.
                while send_queue_len(&stream).is_some_and(|len| len > 0) {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
                // Dropping the stream resets it, as bytes of the request are unread.
            });
        }
    });
    fleet.announce("e", address, "plain");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut failed = Vec::new();
    for n in 0..20 {
        let call = call("/once/x", &"b".repeat(2_000_000), &format!("l{n}"));
        let reply = call.send(fleet.relays[0].address(), CALL_TIMEOUT).await;
        let reply = reply.unwrap();
        if reply.status != 200 || reply.text().len() != 200_000 || !reply.complete {
            failed.push((n, reply.status, reply.text().len()));
        }
    }
    assert!(failed.is_empty(), "{failed:?}");
    early.abort();
}

/// Guards against a request whose only answer is an interim one, as an endpoint switched
/// protocols though nobody had asked for it.
#[tokio::test(flavor = "multi_thread")]
async fn a_switch_of_protocols_is_no_answer() {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 100_000).await;
    let endpoint = RawEndpoint::start(|s| {
        let head = "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x";
        vec![send(format!(
            "{head}\r\nx-anvilloft-attempt: {}\r\n\r\n",
            s.attempt
        ))]
    });
    let endpoint = endpoint.await.unwrap();
    fleet.announce("e", endpoint.addr, "plain");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let got = raw(
        &fleet,
        &request("GET", "/once/x", "s1", "connection: close\r\n"),
    )
    .await;
    assert!(got.starts_with("HTTP/1.1 502 "), "{got:?}");
}
