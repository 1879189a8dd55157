//! The whole fleet as separate processes: three control members, two routers
//! and emulated endpoints.

mod workdir;

use std::time::Duration;
use std::time::Instant;

use anvilloft_fakes::http::Call;
use workdir::TIMEOUT;
use workdir::Workdir;
use workdir::wait_until;

fn amounts(work: &Workdir) -> (u64, u64, u64, u64) {
    let b = work.json(&["budget", "show", "main"]);
    let n = |name: &str| b[name].as_u64().unwrap_or_else(|| panic!("{name}: {b}"));
    (n("topped_up"), n("unspent"), n("allotted"), n("settled"))
}

/// Guards against balances, orders or configuration that are lost or applied twice
/// when the control leader and a router are killed with SIGKILL, against a dead
/// router that stays in entry answers, and against engines that no router reports
/// to control.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_processes_lose_and_repeat_nothing() {
    let mut work = Workdir::new(3, 2);
    work.start_fleet(3, 2, "100000");
    work.emulate("eng", &["--model", "m", "--count", "2", "--token-ms", "1"]);
    work.emulate("shop", &["--service", "orders"]);

    let first = work.until_ok("r0-caller", &work.chat("one", true)).await;
    assert!(first.complete && first.text().contains("[DONE]"));
    let order = work.until_ok("r1-caller", &work.order("o-1")).await.text();

    // Routers report model engines to control, but not plain services.
    wait_until("the engines are listed", || {
        let list = work.json(&["endpoint", "list"]);
        let serves_m = |e: &serde_json::Value| e["models"] == serde_json::json!(["m"]);
        list.as_array()
            .is_some_and(|all| all.len() == 2 && all.iter().all(serves_m))
    });

    // Kill the leader. Top-ups and both routers must keep working.
    work.kill("c0");
    let before = amounts(&work);
    work.json(&["budget", "topup", "main", "500", "--reason", "during"]);
    for router in ["r0-caller", "r1-caller"] {
        work.until_ok(router, &work.chat("two", false)).await;
    }
    assert_eq!(amounts(&work).0, before.0 + 500);
    work.start("c0");

    // Kill a router. The other one must return the order's first response.
    work.kill("r1");
    let repeated = work.until_ok("r0-caller", &work.order("o-1")).await.text();
    assert_eq!(repeated, order, "the order ran again");
    let entry = Call::get("/v1/entry?team=carvers");
    let start = Instant::now();
    let dead = work.addr("r1-caller").to_string();
    loop {
        let reply = entry.send(work.addr("r0-caller"), TIMEOUT).await.unwrap();
        if !reply.text().contains(&dead) {
            break;
        }
        assert!(
            start.elapsed() < Duration::from_secs(6),
            "a dead router is still in the entry answer"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    work.start("r1");
    work.until_ok("r1-caller", &work.chat("three", false)).await;

    // Restart the whole control group from its data folders.
    for c in ["c0", "c1", "c2"] {
        work.kill(c);
    }
    for c in ["c0", "c1", "c2"] {
        work.start(c);
    }
    wait_until("control is available again", || {
        work.run(&["member", "list"]).status.success()
    });
    let (topped_up, unspent, allotted, settled) = amounts(&work);
    assert_eq!(topped_up, 100_500, "a top-up was lost or applied twice");
    assert_eq!(topped_up, unspent + allotted + settled);
    assert!(settled >= before.3);
    assert!(work.log("r0").contains("\"decision\":\"route\""));
}

/// Guards against a planned stop that cuts off a stream in flight (invariant
/// I7).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_terminated_router_finishes_its_streams() {
    let mut work = Workdir::new(1, 2);
    work.start_fleet(1, 2, "100000");
    // A stopping router stays up for as long as callers keep entry answers, so a
    // short `keep_ms` shortens the stop.
    work.json(&[
        "default", "set", "keep_ms", "--value", "1000", "--reason", "test",
    ]);
    // Eight tokens in four seconds outlast `keep_ms`.
    work.emulate("eng", &["--model", "m", "--token-ms", "500"]);
    work.until_ok("r0-caller", &work.chat("warm", false)).await;
    let mut streams = Vec::new();
    for n in 0..4 {
        let call = work.chat(&format!("stream {n}"), true);
        let mut open = call.open(work.addr("r0-caller")).await.unwrap();
        assert!(open.read_until("data:", TIMEOUT).await);
        streams.push(open);
    }
    let stop = tokio::task::spawn_blocking(move || {
        let code = work.terminate("r0");
        (work, code)
    });
    for mut open in streams {
        open.read_to_end(TIMEOUT).await;
        let reply = open.reply();
        assert!(reply.complete, "a stream was cut off: {}", reply.text());
        assert!(reply.text().contains("[DONE]"));
    }
    let (mut work, code) = stop.await.unwrap();
    assert_eq!(code, Some(0), "{}", work.log("r0"));
    let (topped_up, unspent, allotted, settled) = amounts(&work);
    assert_eq!(topped_up, unspent + allotted + settled);
    assert_eq!(allotted, 0, "the stopped router kept an allotment");
    // Guards against an emulator that ignores SIGTERM: its HTTP library installs a
    // handler of its own, which doesn't end the process.
    assert_eq!(work.terminate("eng"), Some(0));
}
