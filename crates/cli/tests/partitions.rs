//! Failures of the network and of several hosts at once, with real daemon
//! processes that reach each other through proxies.

#![expect(clippy::unwrap_used, reason = "helpers of tests")]

mod workdir;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anvilloft_fakes::http::Call;
use anvilloft_fakes::http::Reply;
use workdir::AdminCall;
use workdir::LIMIT;
use workdir::Workdir;
use workdir::proxy::Network;
use workdir::wait;

const ALL: [usize; 3] = [0, 1, 2];
/// Silent sessions end after 2 s; an election and a resend follow.
const RECOVERY: Duration = Duration::from_secs(6);

fn amounts(work: &Workdir, members: &[usize]) -> [u64; 4] {
    let b = work.json_at(members, &["budget", "show", "main"]);
    ["topped_up", "unspent", "allotted", "settled"]
        .map(|name| b[name].as_u64().unwrap_or_else(|| panic!("{name}: {b}")))
}

fn assert_exact(amounts: [u64; 4]) {
    let [topped_up, unspent, allotted, settled] = amounts;
    assert_eq!(topped_up, unspent + allotted + settled, "{amounts:?}");
}

fn others(n: usize) -> Vec<usize> {
    ALL.into_iter().filter(|m| *m != n).collect()
}

fn top_up(work: &Workdir, members: &[usize], id: &str, tokens: &str) -> Option<i32> {
    let args = ["budget", "topup", "main", tokens, "--reason", "paid"];
    let args = [&args[..], &["--change-id", id, "--timeout", "5"]].concat();
    work.run_at(members, &args).status.code()
}

/// Sets a default and returns the exit code and the answer.
fn set_keep(
    work: &Workdir,
    members: &[usize],
    id: &str,
    base: u64,
    value: &str,
) -> (Option<i32>, String) {
    let base = base.to_string();
    let args = ["default", "set", "keep_ms", "--value", value, "--json"];
    let change = ["--change-id", id, "--base-revision", &base];
    let rest = ["--reason", "test", "--timeout", "3"];
    let out = work.run_at(members, &[&args[..], &change, &rest].concat());
    (out.status.code(), String::from_utf8(out.stdout).unwrap())
}

fn revision_in(answer: &str) -> u64 {
    let answer: serde_json::Value = serde_json::from_str(answer).unwrap();
    answer["revision"].as_u64().unwrap()
}

async fn revision(work: &Workdir, n: usize) -> u64 {
    let start = Instant::now();
    loop {
        match work.reading(n, "/admin/v1/ranks").send(LIMIT).await {
            Ok(reply) if reply.status == 200 => {
                return reply.json()["revision"].as_u64().unwrap();
            }
            other => assert!(start.elapsed() < LIMIT, "c{n}: {other:?}"),
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn tokens(reply: &Reply) -> u64 {
    let usage = &reply.json()["usage"]["total_tokens"];
    usage.as_u64().unwrap_or_else(|| panic!("{}", reply.text()))
}

/// Reads the budget until told to stop. No answer may be older than what was
/// acknowledged before the request. Returns the number of answers.
async fn read_through(call: AdminCall, acknowledged: Arc<AtomicU64>, stop: Arc<AtomicBool>) -> u64 {
    let mut answers = 0;
    while !stop.load(Ordering::SeqCst) {
        let floor = acknowledged.load(Ordering::SeqCst);
        if let Ok(reply) = call.send(LIMIT).await
            && reply.status == 200
        {
            let shown = reply.json()["budget"]["topped_up"].as_u64().unwrap();
            assert!(shown >= floor, "a stale answer: {shown} after {floor}");
            answers += 1;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    answers
}

/// Guards against a deposed leader that answers from old state, and against
/// top-ups or changes that are lost, doubled or reverted when it returns.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_isolated_leader_returns_without_harm() {
    let net = Network::default();
    let mut work = Workdir::proxied(3, 0, &net);
    work.start_fleet(3, 0, "1000");
    let old = work.leader(&ALL);
    let rest = others(old);
    let mut base = revision(&work, old).await;
    let acknowledged = Arc::new(AtomicU64::new(1000));
    let stop = Arc::new(AtomicBool::new(false));
    let reader = tokio::spawn(read_through(
        work.reading(old, "/admin/v1/budgets/main"),
        acknowledged.clone(),
        stop.clone(),
    ));
    net.isolate(&format!("c{old}"));

    let (made, lost) = std::thread::scope(|scope| {
        // The old leader writes this one to its own log. Its outcome is unknown
        // to the operator, who sends it again later.
        let lost = scope.spawn(|| top_up(&work, &[old], "lost", "7"));
        let start = Instant::now();
        let mut made = 0;
        while start.elapsed() < Duration::from_secs(4) {
            let id = format!("t{made}");
            let via = [rest[made % 2]];
            assert_eq!(top_up(&work, &via, &id, "10"), Some(0), "{id}");
            acknowledged.fetch_add(10, Ordering::SeqCst);
            let value = (2000 + made).to_string();
            let (code, answer) = set_keep(&work, &via, &format!("k{made}"), base, &value);
            assert_eq!(code, Some(0), "change {made}: {answer}");
            base = revision_in(&answer);
            made += 1;
            std::thread::sleep(Duration::from_millis(100));
        }
        (made, lost.join().unwrap())
    });
    assert!(matches!(lost, Some(5 | 6)), "without a majority: {lost:?}");
    assert!(made > 2, "{made} top-ups during the isolation");

    net.rejoin(&format!("c{old}"));
    let start = Instant::now();
    // The reader checks each answer of the old leader meanwhile.
    assert_eq!(revision(&work, old).await, base, "the old leader went back");
    let took = start.elapsed();
    println!("{made} top-ups while isolated; answers again after {took:?}");
    assert!(took < RECOVERY, "no answer for {took:?} after the return");
    tokio::time::sleep(Duration::from_secs(1)).await;
    stop.store(true, Ordering::SeqCst);
    let answers = reader.await.unwrap();
    assert!(answers > 5, "{answers} answers after the return");
    let expected = 1000 + 10 * made as u64;
    // The old leader's log may not bring back what was never committed.
    assert_eq!(amounts(&work, &ALL)[0], expected);
    for n in ALL {
        assert_eq!(revision(&work, n).await, base, "c{n} went back");
        assert_eq!(top_up(&work, &[n], "lost", "7"), Some(0));
        for id in 0..made {
            assert_eq!(top_up(&work, &[n], &format!("t{id}"), "10"), Some(0));
        }
        assert_eq!(amounts(&work, &[n])[0], expected + 7, "through c{n}");
    }
    assert_exact(amounts(&work, &ALL));
}

/// Guards against a router that takes work without a lease, that cuts off its
/// streams, or whose settlements are lost or doubled after an isolation.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_isolated_router_refuses_and_settles_later() {
    let net = Network::default();
    let mut work = Workdir::proxied(3, 2, &net);
    // Above `small_budget_tokens` a grant exceeds the need.
    work.start_fleet(3, 2, "10000000");
    work.emulate("eng", &["--model", "m", "--token-ms", "800"]);
    work.emulate("shop", &["--service", "orders"]);
    for (router, id) in [("r0-caller", "o-0"), ("r1-caller", "o-1")] {
        work.until_ok(router, &work.order(id)).await;
    }
    // A router learns of others with a renewal, up to 1 s after they register.
    // Before that it knows no address to name.
    let entry = Call::get("/v1/entry?team=carvers");
    let other = work.addr("r1-caller").to_string();
    let start = Instant::now();
    loop {
        let reply = entry.send(work.addr("r0-caller"), LIMIT).await.unwrap();
        if reply.text().contains(&other) {
            break;
        }
        assert!(start.elapsed() < LIMIT, "r0 doesn't know r1");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // The first call of each router waits for the engine's announcement.
    let call = work.chat("same prompt", true);
    let mut open = loop {
        let mut open = call.open(work.addr("r0-caller")).await.unwrap();
        if open.read_until("data:", Duration::from_secs(3)).await {
            break open;
        }
    };
    let before = amounts(&work, &ALL);
    assert_eq!(before[3], 6, "two orders at 3 tokens");
    net.isolate("r0");
    let cut = Instant::now();
    // The router holds an allotment, so only the lease keeps it from new work.
    let mut inside = call.open(work.addr("r0-caller")).await.unwrap();
    assert!(
        inside.read_until("data:", Duration::from_secs(2)).await,
        "refused within the lease: {}",
        inside.reply().text()
    );
    let left = Duration::from_millis(3500).saturating_sub(cut.elapsed());
    tokio::time::sleep(left).await;
    for late in [work.chat("late", false), work.order("late")] {
        let sent = Instant::now();
        let reply = late.send(work.addr("r0-caller"), LIMIT).await.unwrap();
        let error = reply.json()["error"].clone();
        assert_eq!(error["run"], "no", "{}", reply.text());
        assert_eq!(error["code"], "no_lease", "{}", reply.text());
        assert!(
            error["try"].to_string().contains(&other),
            "{}",
            reply.text()
        );
        assert!(sent.elapsed() < Duration::from_secs(1), "a late refusal");
    }
    inside.read_to_end(LIMIT).await;
    assert!(inside.reply().complete && inside.reply().text().contains("[DONE]"));
    open.read_to_end(LIMIT).await;
    assert!(open.reply().complete && open.reply().text().contains("[DONE]"));
    assert!(
        cut.elapsed() > Duration::from_millis(3500),
        "the stream was too short for the case"
    );
    assert_eq!(amounts(&work, &ALL)[3], 6, "settled through a cut network");

    let same = work.chat("same prompt", false);
    let used = tokens(&work.until_ok("r1-caller", &same).await);
    net.rejoin("r0");
    // The three calls have the same prompt and length, so the same price.
    wait("the settlements arrive", || {
        amounts(&work, &ALL)[3] >= 6 + 3 * used
    });
    work.until_ok("r0-caller", &work.order("o-2")).await;
    wait("the order is settled", || {
        amounts(&work, &ALL)[3] == 9 + 3 * used
    });
    assert_exact(amounts(&work, &ALL));
    assert_eq!(amounts(&work, &ALL)[0], 10_000_000);
}

/// Guards against sessions that stay silent for good while new connections
/// work: between control members, and between routers and control members.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_connections_are_replaced() {
    let net = Network::default();
    let mut work = Workdir::proxied(3, 2, &net);
    work.start_fleet(3, 2, "100000");
    work.emulate("shop", &["--service", "orders"]);
    for (router, id) in [("r0-caller", "o-0"), ("r1-caller", "o-1")] {
        work.until_ok(router, &work.order(id)).await;
    }
    let mut done = 2;
    for case in ["control-control", "router-control", "all"] {
        let frozen = net.freeze_open(|from, to| match case {
            "control-control" => from.starts_with('c') && to.starts_with('c'),
            "router-control" => from.starts_with('r') != to.starts_with('r'),
            _ => true,
        });
        assert!(frozen >= 2, "{case}: {frozen} connections");
        let start = Instant::now();
        // One after the other, so that each path has to recover.
        for n in ALL {
            let code = top_up(&work, &[n], &format!("{case}-{n}"), "10");
            assert_eq!(code, Some(0), "{case}: through c{n}");
        }
        for router in ["r0-caller", "r1-caller"] {
            let call = work.order(&format!("{case}-{router}"));
            work.until_ok(router, &call).await;
            done += 1;
        }
        let took = start.elapsed();
        println!("{case}: {frozen} connections frozen, recovered in {took:?}");
        assert!(took < RECOVERY, "{case}: {took:?}");
    }
    wait("all orders are settled", || {
        amounts(&work, &ALL)[3] == 3 * done
    });
    let last = amounts(&work, &ALL);
    assert_exact(last);
    assert_eq!(last[0], 100_090);
}

/// Guards against a new member that gets its vote without having the entries:
/// a second failure right after the promotion would then lose changes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_member_dies_after_a_replacement() {
    let net = Network::default();
    let mut work = Workdir::proxied(3, 0, &net);
    work.start_fleet(3, 0, "1000");
    let lost = work.leader(&ALL);
    let old_id = work.member_id(lost);
    work.kill(&format!("c{lost}"));
    work.lose_disk(lost);
    let rest = others(lost);
    for n in 0..40 {
        let code = top_up(&work, &rest, &format!("a{n}"), "10");
        assert_eq!(code, Some(0));
    }
    work.start(&format!("c{lost}"));
    let new_id = work.member_id(lost);
    assert_ne!(new_id, old_id, "a member without its disk kept its id");
    let addr = work.addr(&format!("c{lost}-peer")).to_string();
    work.json_at(&rest, &["member", "replace", &old_id, &new_id, &addr]);
    let mut made = 40;
    wait("the successor votes", || {
        assert_eq!(top_up(&work, &rest, &format!("a{made}"), "10"), Some(0));
        made += 1;
        let list = work.json_at(&rest, &["member", "list"]);
        let members = list["members"].as_array().unwrap();
        members
            .iter()
            .any(|m| m["id"] == new_id.as_str() && m["voter"] == true)
    });
    let second = work.leader(&rest);
    work.kill(&format!("c{second}"));
    let left = others(second);
    let expected = 1000 + 10 * made as u64;
    assert_eq!(amounts(&work, &left)[0], expected, "a top-up was lost");
    assert_eq!(top_up(&work, &left, "after", "5"), Some(0));
    assert_eq!(amounts(&work, &[lost])[0], expected + 5);
    for n in 0..made {
        let code = top_up(&work, &[lost], &format!("a{n}"), "10");
        assert_eq!(code, Some(0));
    }
    assert_eq!(amounts(&work, &left)[0], expected + 5, "applied twice");
    assert_exact(amounts(&work, &left));
}

/// Races nine changes with one base revision while the leader is killed after
/// `delay`, and sends each of them again. Returns the winner and its revision.
async fn race(work: &mut Workdir, name: &str, delay: Duration) -> (usize, u64) {
    let base = revision(work, 0).await;
    let leader = work.leader(&ALL);
    let id = |n: usize| format!("{name}-{n}");
    let value = |n: usize| (3000 + n).to_string();
    let first: Vec<(Option<i32>, String)> = std::thread::scope(|scope| {
        let work = &*work;
        let racers: Vec<_> = (0..9)
            .map(|n| scope.spawn(move || set_keep(work, &[n % 3], &id(n), base, &value(n))))
            .collect();
        std::thread::sleep(delay);
        work.kill_shared(&format!("c{leader}"));
        racers.into_iter().map(|r| r.join().unwrap()).collect()
    });
    work.kill(&format!("c{leader}"));
    // Each operator sends the same change again, through a member that lives.
    let rest = others(leader);
    let mut won = Vec::new();
    for (n, (code, answer)) in first.iter().enumerate() {
        let again = set_keep(work, &rest, &id(n), base, &value(n));
        match code {
            Some(0) => assert_eq!((again.0, &again.1), (Some(0), answer)),
            Some(4) => assert_eq!(again.0, Some(4), "a conflict became a change"),
            Some(5 | 6) => assert!(matches!(again.0, Some(0 | 4)), "{again:?}"),
            other => panic!("racer {n}: {other:?}"),
        }
        if again.0 == Some(0) {
            won.push(n);
        }
    }
    let codes: Vec<Option<i32>> = first.iter().map(|(code, _)| *code).collect();
    println!("{name}: killed after {delay:?}, exit codes {codes:?}, won {won:?}");
    assert_eq!(won.len(), 1, "winners: {won:?}");
    assert_eq!(revision(work, rest[0]).await, base + 1);
    work.start(&format!("c{leader}"));
    assert_eq!(revision(work, leader).await, base + 1);
    (won[0], base + 1)
}

/// Guards against two winners among changes with one base revision, against a
/// resent change that is made again, and against a revision that goes back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_race_while_the_leader_dies() {
    let net = Network::default();
    let mut work = Workdir::proxied(3, 0, &net);
    work.start_fleet(3, 0, "1000");
    // The command needs some milliseconds to start and to send.
    race(&mut work, "early", Duration::from_millis(8)).await;
    let (won, first) = race(&mut work, "late", Duration::from_millis(20)).await;

    // The connection ends with the answer unread. Whether the change was made
    // by then or not, resending it through each member makes it once.
    let mut at = first + 1;
    let body = serde_json::json!({
        "change_id": "dropped", "base_revision": first, "reason": "test",
        "ops": [{"set": {"kind": "defaults", "item": {"name": "keep_ms", "value": 5000}}}],
    });
    let change = |n| work.changing(n, "/admin/v1/changes", &body.to_string());
    let unread = change(0).open().await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(unread);
    for n in ALL {
        let again = change(n).send(LIMIT).await.unwrap();
        assert_eq!(again.json()["revision"], at, "{}", again.text());
        assert_eq!(revision(&work, n).await, at);
    }
    for n in 0..200 {
        let via = [n % 3];
        let value = (4000 + n).to_string();
        let (code, answer) = set_keep(&work, &via, &format!("many{n}"), at, &value);
        assert_eq!(code, Some(0), "change {n}");
        at = revision_in(&answer);
    }
    for n in ALL {
        work.kill(&format!("c{n}"));
    }
    for n in ALL {
        work.start(&format!("c{n}"));
    }
    for n in ALL {
        assert_eq!(revision(&work, n).await, at, "c{n} went back");
    }
    let shown = work.json(&["default", "show", "keep_ms"]);
    assert_eq!(shown["value"], 4199);
    // The winner's answer outlives the restart.
    let (id, value) = (format!("late-{won}"), (3000 + won).to_string());
    let (code, answer) = set_keep(&work, &ALL, &id, first - 1, &value);
    assert_eq!(code, Some(0));
    assert_eq!(revision_in(&answer), first, "not the first answer");
}
