//! Invalid and oversized input.

mod common;

use std::time::Duration;

use anvilloft_fakes::http::Call;
use anvilloft_fakes::http::send_raw;
use common::*;

/// Guards against panics, hangs and unspecific errors on oversized, malformed,
/// truncated and wrongly typed requests, after which the router must still serve.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_requests_get_clear_errors() {
    let fleet = Fleet::start_with(1, 1_000_000, |o| {
        o.api.max_body_bytes = 64 * 1024;
        o.api.body_idle_timeout = Duration::from_millis(200);
    })
    .await;
    let fake = fleet.fake(engine("e1")).await;
    struct Case {
        name: &'static str,
        body: String,
        status: u16,
        code: &'static str,
    }
    let case = |name, body: &str, status, code| Case {
        name,
        body: body.into(),
        status,
        code,
    };
    let huge_body = format!("{{\"model\":\"m\",\"prompt\":\"{}\"}}", "x".repeat(100_000));
    let deep_json = "[".repeat(20_000);
    let cases = [
        case("empty", "", 400, "invalid_request"),
        case("not JSON", "{model:m}", 400, "invalid_request"),
        case("cut", r#"{"model":"m","prompt":"a"#, 400, "invalid_request"),
        case("list", "[]", 400, "invalid_request"),
        case("deep", &deep_json, 400, "invalid_request"),
        case(
            "not UTF-8",
            "{\"model\":\"\\ud800\"}",
            400,
            "invalid_request",
        ),
        case("no model", r#"{"prompt":"a"}"#, 400, "invalid_request"),
        case(
            "model number",
            r#"{"model":1,"prompt":"a"}"#,
            400,
            "invalid_request",
        ),
        case(
            "other model",
            r#"{"model":"x","prompt":"a"}"#,
            404,
            "model_not_found",
        ),
        case("no prompt", r#"{"model":"m"}"#, 400, "invalid_request"),
        case(
            "prompt list",
            r#"{"model":"m","prompt":["a"]}"#,
            400,
            "invalid_request",
        ),
        case(
            "negative",
            r#"{"model":"m","prompt":"a","max_tokens":-1}"#,
            400,
            "invalid_request",
        ),
        case(
            "zero",
            r#"{"model":"m","prompt":"a","max_tokens":0}"#,
            400,
            "invalid_request",
        ),
        case(
            "text",
            r#"{"model":"m","prompt":"a","max_tokens":"9"}"#,
            400,
            "invalid_request",
        ),
        case(
            "huge tokens",
            r#"{"model":"m","prompt":"a","max_tokens":18446744073709551615}"#,
            400,
            "invalid_request",
        ),
        case(
            "stream",
            r#"{"model":"m","prompt":"a","stream":"yes"}"#,
            400,
            "invalid_request",
        ),
        case(
            "n",
            r#"{"model":"m","prompt":"a","n":2}"#,
            400,
            "invalid_request",
        ),
        case(
            "options",
            r#"{"model":"m","prompt":"a","stream":true,"stream_options":3}"#,
            400,
            "invalid_request",
        ),
        case("too long", &huge_body, 413, "body_too_large"),
    ];
    let addr = fleet.addr(0);
    for c in cases {
        let call = Call::post("/v1/completions", c.body.clone()).key(KEY);
        let reply = call.send(addr, TIMEOUT).await.unwrap();
        assert_eq!(
            (reply.status, error(&reply).1.as_str()),
            (c.status, c.code),
            "{}: {}",
            c.name,
            reply.text()
        );
        assert_eq!(error(&reply).0, "no", "{}", c.name);
    }
    let chat_cases = [
        r#"{"model":"m","messages":[]}"#,
        r#"{"model":"m","messages":["a"]}"#,
        r#"{"model":"m","messages":{"role":"user"}}"#,
    ];
    for body in chat_cases {
        let call = Call::post("/v1/chat/completions", body).key(KEY);
        assert_eq!(
            call.send(addr, TIMEOUT).await.unwrap().status,
            400,
            "{body}"
        );
    }
    let good = r#"{"model":"m","prompt":"a"}"#;
    struct Raw {
        name: &'static str,
        bytes: Vec<u8>,
        status: u16,
    }
    let head =
        format!("POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n");
    let raw_cases = [
        Raw {
            name: "no HTTP",
            bytes: b"\x16\x03\x01\x02\x00\x01\r\n\r\n".to_vec(),
            status: 400,
        },
        Raw {
            name: "bad length",
            bytes: format!("{head}content-length: -5\r\n\r\n").into_bytes(),
            status: 400,
        },
        Raw {
            name: "bad chunk",
            bytes: format!("{head}transfer-encoding: chunked\r\n\r\nzz\r\n").into_bytes(),
            status: 400,
        },
        Raw {
            name: "stalled body",
            bytes: format!("{head}content-length: 50\r\n\r\n{{\"mod").into_bytes(),
            status: 408,
        },
        Raw {
            name: "claimed length",
            bytes: format!("{head}content-length: 99999999999\r\n\r\n{{").into_bytes(),
            status: 413,
        },
        Raw {
            name: "many headers",
            bytes: format!("{head}{}\r\n", "a: b\r\n".repeat(200)).into_bytes(),
            status: 431,
        },
        Raw {
            name: "long header",
            bytes: format!(
                "{head}a: {}\r\ncontent-length: {}\r\n\r\n{good}",
                "b".repeat(40_000),
                good.len()
            )
            .into_bytes(),
            status: 431,
        },
    ];
    for raw in raw_cases {
        let reply = send_raw(addr, &raw.bytes, Duration::from_secs(3))
            .await
            .unwrap();
        assert_eq!(reply.status, raw.status, "{}", raw.name);
    }
    for (header, value) in [("x-anvilloft-rank", "royal"), ("Idempotency-Key", "")] {
        let call = Call::post("/v1/completions", good)
            .key(KEY)
            .header(header, value);
        assert_eq!(
            call.send(addr, TIMEOUT).await.unwrap().status,
            400,
            "{header}"
        );
    }
    for key in ["", "wrong", KEY.to_uppercase().as_str()] {
        let call = Call::post("/v1/completions", good).key(key);
        assert_eq!(call.send(addr, TIMEOUT).await.unwrap().status, 401, "{key}");
    }
    // None of these requests reached the endpoint, and the router still serves.
    assert_eq!(
        fake.counts()
            .arrived
            .load(std::sync::atomic::Ordering::Relaxed),
        0
    );
    let call = Call::post("/v1/completions", good).key(KEY);
    assert_eq!(call.send(addr, TIMEOUT).await.unwrap().status, 200);
    for path in ["/healthz", "/readyz", "/metrics"] {
        let reply = Call::get(path).send(addr, TIMEOUT).await.unwrap();
        assert_eq!(reply.status, 200, "{path}");
        assert!(!reply.text().contains("team"), "{path} names a team");
    }
}

/// Guards against unbounded memory for many large bodies at once, and against
/// bytes that stay counted after their requests ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn total_size_of_buffered_bodies_is_limited() {
    let fleet = Fleet::start_with(1, 100_000_000, |o| o.api.max_buffered_bytes = 150_000).await;
    let mut options = engine("e1");
    options.first_token = Duration::from_millis(200);
    let _fake = fleet.fake(options).await;
    let addr = fleet.addr(0);
    let prompt = "x".repeat(100_000);
    let calls = (0..2).map(|_| {
        let call = chat(&prompt, false);
        async move { call.send(addr, TIMEOUT).await.unwrap() }
    });
    let replies = futures::future::join_all(calls).await;
    let refused: Vec<_> = replies.iter().filter(|r| r.status == 503).collect();
    assert_eq!(refused.len(), 1);
    assert_eq!(error(refused[0]), ("no".into(), "overloaded".into()));
    wait_until(|| fleet.routers[0].metrics().body_bytes.get() == 0).await;
    let reply = chat(&prompt, false).send(addr, TIMEOUT).await.unwrap();
    assert_eq!(reply.status, 200, "{}", reply.text());
}

/// Guards against announcements without the endpoint key, and against invalid
/// fields that exhaust memory or crash the directory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn announcements_need_the_key_and_valid_fields() {
    let fleet = Fleet::start(1, 1_000_000).await;
    let good = serde_json::json!({
        "id": "x", "incarnation": 1, "seq": 1, "address": "127.0.0.1:9", "data_centre": "dc1",
        "pool": "p", "kind": "model", "models": [{"name": "m"}], "slots": 1,
    });
    let send = async |key: &str, body: String| {
        let call = Call::post("/v1/endpoints/announce", body).key(key);
        call.send(fleet.addr(0), TIMEOUT).await.unwrap().status
    };
    assert_eq!(send("other", good.to_string()).await, 401);
    assert_eq!(send(KEY, good.to_string()).await, 401);
    for (field, value) in [
        ("id", serde_json::json!("")),
        ("address", serde_json::json!("example.org")),
        ("kind", serde_json::json!("cluster")),
        ("slots", serde_json::json!(0)),
        ("slots", serde_json::json!(-1)),
        ("seq", serde_json::json!("one")),
        ("load", serde_json::json!({"kv_used": 7.0})),
    ] {
        let mut bad = good.clone();
        bad[field] = value;
        assert_eq!(send(ENDPOINT_KEY, bad.to_string()).await, 400, "{field}");
    }
    assert_eq!(fleet.routers[0].endpoint_count(), 0);
    assert_eq!(send(ENDPOINT_KEY, good.to_string()).await, 200);
}
