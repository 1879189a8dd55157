//! Tests of the administration API: access of roles and teams, changes that
//! must be applied exactly once, and secrets that must be shown only once.

#![expect(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilloft_control::admin::Access;
use anvilloft_control::admin::Admin;
use anvilloft_control::admin::AdminOptions;
use anvilloft_control::admin::CALLS;
use anvilloft_control::admin::hash_secret;
use anvilloft_wire::CallError;
use anvilloft_wire::Control;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::OpenIncarnation;
use anvilloft_wire::command::OrderBegin;
use anvilloft_wire::command::Reply;
use anvilloft_wire::command::RouterState;
use anvilloft_wire::control::Answer;
use serde_json::Value;
use serde_json::json;
use slog::Discard;
use slog::Logger;
use slog::o;
use support::OneLedger;

/// Secret of the first operator key.
const OPERATOR_SECRET: &str = "root-secret";

struct Fixture {
    admin: Admin,
    control: Arc<OneLedger>,
}

impl Fixture {
    fn new() -> Self {
        let control = Arc::new(OneLedger::default());
        let options = AdminOptions {
            timeout: Duration::from_secs(1),
            max_body_bytes: 1 << 20,
            operator_hash: Some(hash_secret(OPERATOR_SECRET)),
        };
        let log = Logger::root(Discard, o!());
        let admin = Admin::new(control.clone(), options, log);
        Self { admin, control }
    }

    async fn call(&self, secret: &str, method: &str, path: &str, body: Value) -> (u16, Value) {
        let auth = format!("Bearer {secret}");
        let body = if body.is_null() {
            Vec::new()
        } else {
            body.to_string().into_bytes()
        };
        let reply = self
            .admin
            .handle(method, path, "", Some(&auth), &body)
            .await;
        (reply.status, reply.body)
    }

    /// Calls with the operator's key and expects success.
    async fn call_ok(&self, method: &str, path: &str, body: Value) -> Value {
        let (status, reply) = self.call(OPERATOR_SECRET, method, path, body).await;
        assert!(status < 300, "{method} {path}: {status} {reply}");
        reply
    }

    async fn revision(&self) -> u64 {
        self.call_ok("GET", "/admin/v1/ranks", Value::Null).await["revision"]
            .as_u64()
            .unwrap()
    }

    /// Adds the metadata of a change based on the current revision.
    async fn change_body(&self, id: &str, mut body: Value) -> Value {
        body["change_id"] = json!(id);
        body["base_revision"] = json!(self.revision().await);
        body["reason"] = json!("test");
        body
    }

    async fn put_item(&self, path: &str, item: Value) -> Value {
        let body = self
            .change_body(&path.replace('/', "-"), json!({ "item": item }))
            .await;
        self.call_ok("PUT", &format!("/admin/v1/{path}"), body)
            .await
    }

    /// Creates a team with a budget, a top-up, an exception, a key and an open
    /// order. Returns the key's secret.
    async fn create_team(&self, team: &str, amount: u64) -> String {
        self.put_item(&format!("teams/{team}"), json!({ "weight": 3 }))
            .await;
        self.put_item(&format!("budgets/{team}-budget"), json!({ "team": team }))
            .await;
        let top_up = json!({ "id": format!("{team}-topup"), "amount": amount, "reason": format!("{team}-paid") });
        self.call_ok(
            "POST",
            &format!("/admin/v1/budgets/{team}-budget/topups"),
            top_up,
        )
        .await;
        let exception = json!({ "value": 60, "reason": format!("{team}-why") });
        self.put_item(
            &format!("exceptions/{team}/urgent_share_percent"),
            exception,
        )
        .await;
        let key = json!({ "name": format!("{team}-key"), "team": team, "budget": format!("{team}-budget"), "role": "team" });
        let body = self.change_body(&format!("{team}-make"), key).await;
        let created = self.call_ok("POST", "/admin/v1/keys", body).await;
        let begin = OrderBegin {
            team: team.into(),
            key: format!("{team}-order"),
            body_hash: vec![1; 32],
            router: "r1".into(),
            incarnation: 1,
            attempt: vec![1; 16],
        };
        for body in [
            Body::OpenIncarnation(open_incarnation()),
            Body::OrderBegin(begin),
        ] {
            let reply = self.control.call(body.into(), Duration::from_secs(1)).await;
            let Some(Answer::Applied(reply)) = reply.unwrap().answer else {
                panic!("not applied");
            };
            let refused = matches!(reply.reply, None | Some(Reply::Refused(_)));
            assert!(!refused, "{reply:?}");
        }
        created["secret"].as_str().unwrap().to_owned()
    }
}

fn open_incarnation() -> OpenIncarnation {
    OpenIncarnation {
        router: "r1".into(),
        incarnation: 1,
        caller_address: "127.0.0.1:8000".into(),
        peer_address: "127.0.0.1:8001".into(),
        data_centre: "dc1".into(),
        state: RouterState::Draining as i32,
    }
}

#[tokio::test]
async fn a_team_key_gets_no_data_of_another_team_from_any_call() {
    let f = Fixture::new();
    f.create_team("alder", 7_777_777).await;
    let birch_key = f.create_team("birch", 5_555_555).await;
    let before = f.call_ok("GET", "/admin/v1/config", Value::Null).await;
    let mut call_count = 0;
    for spec in CALLS {
        for kind in ["teams", "keys", "budgets", "exceptions"] {
            let name = match kind {
                "teams" => "alder",
                "keys" => "alder-key",
                "budgets" => "alder-budget",
                _ => "urgent_share_percent",
            };
            let path = spec
                .path
                .replace("{kind}", kind)
                .replace("{team}", "alder")
                .replace("{name}", name)
                .replace("{id}", "0000000000000001");
            let item = json!({ "item": { "team": "birch" }, "amount": 1, "id": "x" });
            let bodies = [Value::Null, f.change_body("steal", item).await];
            for body in bodies {
                let (status, reply) = f.call(&birch_key, spec.method, &path, body).await;
                call_count += 1;
                let text = reply.to_string();
                // An error may repeat the names that the request contains.
                let data = text.replace(&format!("{name} "), "");
                let data = match status {
                    404 => data.replace("alder", ""),
                    _ => data,
                };
                for secret in ["alder", "7777777", "sha256"] {
                    assert!(
                        !data.contains(secret),
                        "{} {path}: {status} {text}",
                        spec.method
                    );
                }
                if spec.access != Access::Team {
                    assert_eq!(status, 403, "{} {path}: {text}", spec.method);
                }
            }
        }
    }
    assert_eq!(call_count, CALLS.len() * 8);
    // An item of another team and a missing one give the same response.
    let other = f
        .call(
            &birch_key,
            "GET",
            "/admin/v1/budgets/alder-budget",
            Value::Null,
        )
        .await;
    let missing = f
        .call(
            &birch_key,
            "GET",
            "/admin/v1/budgets/cedar-budget",
            Value::Null,
        )
        .await;
    assert_eq!(other.0, 404);
    assert_eq!(
        other.1.to_string().replace("alder", ""),
        missing.1.to_string().replace("cedar", "")
    );
    // The key sees the data of its own team, and its calls changed nothing.
    let own_item = f
        .call(
            &birch_key,
            "GET",
            "/admin/v1/budgets/birch-budget",
            Value::Null,
        )
        .await;
    assert_eq!(own_item.1["budget"]["topped_up"], 5_555_555);
    assert_eq!(
        f.call_ok("GET", "/admin/v1/config", Value::Null).await,
        before
    );
}

#[tokio::test]
async fn every_call_checks_the_role() {
    let f = Fixture::new();
    let key = json!({ "name": "viewer", "role": "read-only" });
    let body = f.change_body("viewer", key).await;
    let viewer_key = f.call_ok("POST", "/admin/v1/keys", body).await["secret"].clone();
    f.create_team("alder", 10).await;
    let key = json!({ "name": "caller", "team": "alder" });
    let body = f.change_body("caller", key).await;
    let caller_key = f.call_ok("POST", "/admin/v1/keys", body).await["secret"].clone();
    for spec in CALLS {
        let path = spec.path.replace(['{', '}'], "");
        let body = Value::Null;
        for unknown in ["", "wrong", "avl_00"] {
            let (status, _) = f.call(unknown, spec.method, &path, body.clone()).await;
            assert_eq!(status, 401, "{} {path}", spec.method);
        }
        // A key without a role is only for requests to the routers.
        let (status, _) = f
            .call(
                caller_key.as_str().unwrap(),
                spec.method,
                &path,
                body.clone(),
            )
            .await;
        assert_eq!(status, 403, "{} {path}", spec.method);
        let (status, reply) = f
            .call(viewer_key.as_str().unwrap(), spec.method, &path, body)
            .await;
        assert_eq!(
            status == 403,
            spec.access == Access::Operator,
            "{} {path}",
            spec.method
        );
        assert!(
            !reply.to_string().contains("sha256"),
            "{} {path}",
            spec.method
        );
    }
}

#[tokio::test]
async fn the_first_change_on_a_base_revision_wins_and_its_resend_gets_the_same_reply() {
    let f = Fixture::new();
    let change = |id: &str, weight: u32| {
        json!({
            "change_id": id, "base_revision": 0, "reason": "race", "item": { "weight": weight },
        })
    };
    let path = "/admin/v1/teams/alder";
    let first = f.call(OPERATOR_SECRET, "PUT", path, change("a", 2)).await;
    assert_eq!(first, (200, json!({ "revision": 1 })));
    let (status, reply) = f.call(OPERATOR_SECRET, "PUT", path, change("b", 3)).await;
    assert_eq!((status, &reply["error"]["current"]), (409, &json!(1)));
    let resent = f.call(OPERATOR_SECRET, "PUT", path, change("a", 2)).await;
    assert_eq!(resent, first);
    let (status, reply) = f.call(OPERATOR_SECRET, "PUT", path, change("a", 9)).await;
    assert_eq!(
        (status, &reply["error"]["code"]),
        (422, &json!("change_id_reused"))
    );
    assert_eq!(
        f.call_ok("GET", path, Value::Null).await["team"]["weight"],
        2
    );
    let history = f.call_ok("GET", "/admin/v1/history", Value::Null).await;
    assert_eq!(history["changes"].as_array().unwrap().len(), 1);
    assert_eq!(history["changes"][0]["author"], "bootstrap");
    assert_eq!(history["changes"][0]["reason"], "race");
}

#[tokio::test]
async fn invalid_requests_are_refused_and_change_nothing() {
    struct Case {
        method: &'static str,
        path: &'static str,
        body: Value,
        status: u16,
        code: &'static str,
    }
    let f = Fixture::new();
    f.create_team("alder", 10).await;
    let base = f.revision().await;
    let change_body = |extra: Value| {
        let mut body = json!({ "change_id": "c", "base_revision": base, "reason": "r" });
        for (field, value) in extra.as_object().unwrap() {
            body[field] = value.clone();
        }
        body
    };
    let item = |item: Value| change_body(json!({ "item": item }));
    let cases = [
        Case {
            method: "PUT",
            path: "teams/x",
            body: json!({ "item": {} }),
            status: 400,
            code: "bad_request",
        },
        Case {
            method: "PUT",
            path: "teams/x",
            body: change_body(json!({ "item": {}, "wieght": 1 })),
            status: 400,
            code: "bad_request",
        },
        Case {
            method: "PUT",
            path: "teams/x",
            body: item(json!({ "wieght": 1 })),
            status: 400,
            code: "bad_request",
        },
        Case {
            method: "PUT",
            path: "teams/x",
            body: item(json!({ "name": "y" })),
            status: 400,
            code: "bad_request",
        },
        Case {
            method: "PUT",
            path: "teams/x",
            body: change_body(json!({ "item": {}, "reason": " " })),
            status: 400,
            code: "bad_request",
        },
        Case {
            method: "PUT",
            path: "trams/x",
            body: item(json!({})),
            status: 404,
            code: "not_found",
        },
        Case {
            method: "PUT",
            path: "teams/a%2Fb",
            body: item(json!({})),
            status: 404,
            code: "not_found",
        },
        Case {
            method: "PUT",
            path: "budgets/b",
            body: item(json!({ "team": "none" })),
            status: 422,
            code: "dangling_reference",
        },
        Case {
            method: "PUT",
            path: "exceptions/alder/keep_ms",
            body: item(json!({ "value": 1, "reason": "r" })),
            status: 422,
            code: "out_of_range",
        },
        Case {
            method: "PUT",
            path: "exceptions/alder/urgent_share_percent",
            body: item(json!({ "value": 50, "reason": "" })),
            status: 422,
            code: "empty_reason",
        },
        Case {
            method: "DELETE",
            path: "teams/alder",
            body: change_body(json!({})),
            status: 422,
            code: "dangling_reference",
        },
        Case {
            method: "POST",
            path: "budgets/alder-budget/topups",
            body: json!({ "id": "c", "amount": -11, "reason": "r" }),
            status: 422,
            code: "insufficient_unspent",
        },
        Case {
            method: "POST",
            path: "budgets/alder-budget/topups",
            body: json!({ "id": "c", "amount": 1.5, "reason": "r" }),
            status: 400,
            code: "bad_request",
        },
        Case {
            method: "POST",
            path: "members",
            body: json!({ "id": "1", "address": "127.0.0.1:1" }),
            status: 400,
            code: "bad_request",
        },
        Case {
            method: "POST",
            path: "apply",
            body: change_body(json!({ "file": { "teems": [] } })),
            status: 400,
            code: "bad_request",
        },
    ];
    for case in cases {
        let path = format!("/admin/v1/{}", case.path);
        let (status, reply) = f
            .call(OPERATOR_SECRET, case.method, &path, case.body.clone())
            .await;
        let context = format!("{} {path} {}: {reply}", case.method, case.body);
        assert_eq!(status, case.status, "{context}");
        assert_eq!(reply["error"]["code"], case.code, "{context}");
    }
    assert_eq!(f.revision().await, base);
    let budget = f
        .call_ok("GET", "/admin/v1/budgets/alder-budget", Value::Null)
        .await;
    assert_eq!(budget["budget"]["unspent"], 10);
}

#[tokio::test]
async fn a_dry_run_returns_the_diff_and_changes_nothing() {
    let f = Fixture::new();
    f.put_item("teams/alder", json!({ "weight": 1 })).await;
    let mut body = f
        .change_body("dry", json!({ "item": { "weight": 4 } }))
        .await;
    body["dry_run"] = json!(true);
    let reply = f.call_ok("PUT", "/admin/v1/teams/alder", body).await;
    assert_eq!(reply["diff"][0]["op"], "change");
    assert_eq!(reply["diff"][0]["before"]["weight"], 1);
    assert_eq!(reply["diff"][0]["after"]["weight"], 4);
    assert_eq!(
        f.call_ok("GET", "/admin/v1/teams/alder", Value::Null).await["team"]["weight"],
        1
    );
}

#[tokio::test]
async fn applying_a_file_is_idempotent() {
    let f = Fixture::new();
    f.create_team("alder", 10).await;
    let file = json!({
        "teams": [{ "name": "alder", "weight": 3 }, { "name": "birch" }],
        "budgets": [{ "name": "alder-budget", "team": "alder" }, { "name": "b2", "team": "birch" }],
        "defaults": [{ "name": "keep_ms", "value": 12_000 }],
    });
    let request = |id: &str, file: &Value, prune: bool| {
        json!({
            "change_id": id, "reason": "file", "file": file, "prune": prune,
        })
    };
    let first = f
        .call_ok("POST", "/admin/v1/apply", request("f1", &file, false))
        .await;
    assert_eq!(first["operations"], 3);
    let revision = f.revision().await;
    for id in ["f1", "f2"] {
        let resent = f
            .call_ok("POST", "/admin/v1/apply", request(id, &file, true))
            .await;
        assert_eq!(
            resent,
            json!({ "revision": revision, "operations": 0, "diff": [] })
        );
    }
    // The response of GET can be applied as a file, keys included.
    let config = f.call_ok("GET", "/admin/v1/config", Value::Null).await;
    let resent = f
        .call_ok("POST", "/admin/v1/apply", request("f3", &config, true))
        .await;
    assert_eq!(resent["operations"], 0);
    let smaller = json!({ "teams": [{ "name": "alder", "weight": 3 }], "budgets": [file["budgets"][0]], "defaults": [] });
    let pruned = f
        .call_ok("POST", "/admin/v1/apply", request("f4", &smaller, true))
        .await;
    assert_eq!(pruned["operations"], 3);
    let config = f.call_ok("GET", "/admin/v1/config", Value::Null).await;
    assert_eq!(config["teams"].as_array().unwrap().len(), 1);
    assert_eq!(config["keys"].as_array().unwrap().len(), 1);
}

#[tokio::test]
async fn items_are_read_in_pages_and_a_change_reads_no_other_items() {
    let f = Fixture::new();
    let ops: Vec<Value> = (0..2_500)
        .map(|n| json!({ "set": { "kind": "teams", "item": { "name": format!("t{n:04}") } } }))
        .collect();
    let body = f.change_body("many", json!({ "ops": ops })).await;
    f.call_ok("POST", "/admin/v1/changes", body).await;
    let mut names = Vec::new();
    let mut query = String::new();
    while names.len() <= 2_500 {
        let auth = format!("Bearer {OPERATOR_SECRET}");
        let page = f
            .admin
            .handle("GET", "/admin/v1/teams", &query, Some(&auth), &[])
            .await;
        assert!(page.body.to_string().len() < 256 * 1024);
        let teams = page.body["teams"].as_array().unwrap().clone();
        names.extend(teams.iter().map(|t| t["name"].as_str().unwrap().to_owned()));
        match page.body["next"].as_str() {
            Some(next) => query = format!("after={next}"),
            None => break,
        }
    }
    let expected: Vec<String> = (0..2_500).map(|n| format!("t{n:04}")).collect();
    assert_eq!(names, expected);
    // The replies of the ledger to a change of one item must not grow with the
    // number of items.
    f.control.largest.store(0, Ordering::SeqCst);
    f.put_item("teams/t0007", json!({ "weight": 2 })).await;
    assert!(f.control.largest.load(Ordering::SeqCst) < 4_096);
    let config = f.call_ok("GET", "/admin/v1/config", Value::Null).await;
    assert_eq!(config["teams"].as_array().unwrap().len(), 2_500);
}

#[tokio::test]
async fn a_secret_is_shown_once_and_invalid_after_rotation_or_revocation() {
    let f = Fixture::new();
    let first = f.create_team("alder", 10).await;
    let status_code = async |secret: &str| {
        f.call(secret, "GET", "/admin/v1/status", Value::Null)
            .await
            .0
    };
    assert_eq!(status_code(&first).await, 200);
    let config = f.call_ok("GET", "/admin/v1/config", Value::Null).await;
    assert!(!config.to_string().contains(&first));
    assert_eq!(
        config["keys"][0]["sha256"],
        hex::encode(hash_secret(&first))
    );
    let body = f.change_body("rotate", json!({})).await;
    let rotated = f
        .call_ok("POST", "/admin/v1/keys/alder-key/rotate", body)
        .await;
    let second = rotated["secret"].as_str().unwrap();
    assert_eq!(
        (status_code(&first).await, status_code(second).await),
        (401, 200)
    );
    // With a hash made by the client, a resend has the same content.
    let own = json!({ "sha256": hex::encode(hash_secret("own")) });
    let body = f.change_body("rotate-2", own).await;
    let rotated = f
        .call_ok("POST", "/admin/v1/keys/alder-key/rotate", body.clone())
        .await;
    assert!(rotated.get("secret").is_none());
    assert_eq!(
        f.call_ok("POST", "/admin/v1/keys/alder-key/rotate", body)
            .await,
        rotated
    );
    assert_eq!(
        (status_code(second).await, status_code("own").await),
        (401, 200)
    );
    let body = f.change_body("revoke", json!({})).await;
    f.call_ok("DELETE", "/admin/v1/keys/alder-key", body).await;
    assert_eq!(status_code("own").await, 401);
}

#[tokio::test]
async fn group_errors_tell_not_run_from_unknown_outcome() {
    let f = Fixture::new();
    let errors = [
        (
            CallError::Unavailable("no majority".into()),
            503,
            "unavailable",
        ),
        (CallError::Unknown("lost".into()), 504, "unknown"),
    ];
    for (err, status, code) in errors {
        *f.control.fail.lock().unwrap() = Some(err);
        let (got, reply) = f
            .call(OPERATOR_SECRET, "GET", "/admin/v1/config", Value::Null)
            .await;
        assert_eq!((got, &reply["error"]["code"]), (status, &json!(code)));
    }
}

#[tokio::test]
async fn status_lists_errors_first() {
    let f = Fixture::new();
    f.create_team("alder", 10).await;
    let status = f.call_ok("GET", "/admin/v1/status", Value::Null).await;
    assert_eq!(status["ok"], false);
    let problems = status["problems"].as_array().unwrap();
    assert_eq!(problems[0]["severity"], "error", "{status}");
    assert!(problems[0]["what"].as_str().unwrap().contains("no router"));
    assert!(status["problems"].to_string().contains("alder-budget"));
}
