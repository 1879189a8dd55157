//! Answers of plain services.

mod common;

use std::time::Duration;

use anvilloft_fakes::http::Call;
use anvilloft_fakes::raw::RawEndpoint;
use anvilloft_fakes::raw::Step;
use common::*;

/// Guards against an encoded body that is passed on as if it were the plain one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_encoded_answer_of_a_service_is_a_failure() {
    let fleet = Fleet::start(1, 1_000_000).await;
    let raw = RawEndpoint::start(|req| {
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-anvilloft-attempt: {}\r\n",
            req.attempt
        );
        let answer = format!("{head}content-encoding: gzip\r\ncontent-length: 6\r\n\r\npacked");
        vec![Step::Send(answer.into_bytes())]
    })
    .await
    .unwrap();
    let announce = async |seq: u64| {
        let announcement = serde_json::json!({
            "id": "s1", "incarnation": 1, "seq": seq, "address": raw.addr.to_string(),
            "data_centre": "dc1", "pool": "stock", "kind": "service", "slots": 8,
        });
        let call = Call::post("/v1/endpoints/announce", announcement.to_string());
        let call = call.key(ENDPOINT_KEY);
        call.send(fleet.addr(0), TIMEOUT).await
    };
    announce(1).await.unwrap();
    let call = Call::post("/v1/services/stock/count", "{}").key(KEY);
    let later = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        announce(2).await
    };
    let (reply, _) = tokio::join!(call.send(fleet.addr(0), TIMEOUT), later);
    let reply = reply.unwrap();
    assert_eq!(reply.status, 502, "{}", reply.text());
    assert_eq!(error(&reply), ("unknown".into(), "endpoint_failed".into()));
}
