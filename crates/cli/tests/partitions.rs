//! Network failures and failures of several hosts at once, with real daemon
//! processes that reach each other through proxies.

#![expect(clippy::unwrap_used, reason = "test helpers")]

mod workdir;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anvilloft_fakes::http::Call;
use anvilloft_fakes::http::Reply;
use anvilloft_fakes::proxy::Network;
use workdir::AdminCall;
use workdir::TIMEOUT;
use workdir::Workdir;
use workdir::wait_until;

const ALL_MEMBERS: [usize; 3] = [0, 1, 2];
/// Maximum time to recover: silent sessions end after 2 s, then follow an election
/// and a resend.
const RECOVERY: Duration = Duration::from_secs(6);

fn amounts(work: &Workdir, members: &[usize]) -> [u64; 4] {
    let b = work.json_at(members, &["budget", "show", "main"]);
    ["topped_up", "unspent", "allotted", "settled"]
        .map(|name| b[name].as_u64().unwrap_or_else(|| panic!("{name}: {b}")))
}

fn assert_balanced(amounts: [u64; 4]) {
    let [topped_up, unspent, allotted, settled] = amounts;
    assert_eq!(topped_up, unspent + allotted + settled, "{amounts:?}");
}

fn others(n: usize) -> Vec<usize> {
    ALL_MEMBERS.into_iter().filter(|m| *m != n).collect()
}

fn top_up(work: &Workdir, members: &[usize], id: &str, tokens: &str) -> Option<i32> {
    let args = ["budget", "topup", "main", tokens, "--reason", "paid"];
    let args = [&args[..], &["--change-id", id, "--timeout", "5"]].concat();
    work.run_at(members, &args).status.code()
}

/// Sets the default `keep_ms`. Returns the exit code and the printed response.
fn set_keep_ms(
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
        match work.admin_get(n, "/admin/v1/ranks").send(TIMEOUT).await {
            Ok(reply) if reply.status == 200 => {
                return reply.json()["revision"].as_u64().unwrap();
            }
            other => assert!(start.elapsed() < TIMEOUT, "c{n}: {other:?}"),
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn tokens(reply: &Reply) -> u64 {
    let usage = &reply.json()["usage"]["total_tokens"];
    usage.as_u64().unwrap_or_else(|| panic!("{}", reply.text()))
}

/// Reads the budget until `stop` is set and asserts that each response includes all
/// top-ups acknowledged before its request. Returns the number of responses.
async fn read_continuously(
    call: AdminCall,
    acknowledged: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
) -> u64 {
    let mut answers = 0;
    while !stop.load(Ordering::SeqCst) {
        let min_topped_up = acknowledged.load(Ordering::SeqCst);
        if let Ok(reply) = call.send(TIMEOUT).await
            && reply.status == 200
        {
            let shown = reply.json()["budget"]["topped_up"].as_u64().unwrap();
            assert!(
                shown >= min_topped_up,
                "a stale answer: {shown} after {min_topped_up}"
            );
            answers += 1;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    answers
}

/// Guards against a deposed leader that serves reads from stale state, and against
/// top-ups or changes that are lost, applied twice or reverted when it returns.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_isolated_leader_rejoins_without_stale_reads_or_lost_changes() {
    let net = Network::default();
    let mut work = Workdir::with_proxies(3, 0, &net);
    work.start_fleet(3, 0, "1000");
    let old_leader = work.leader(&ALL_MEMBERS);
    let rest = others(old_leader);
    let mut base = revision(&work, old_leader).await;
    let acknowledged = Arc::new(AtomicU64::new(1000));
    let stop = Arc::new(AtomicBool::new(false));
    let reader = tokio::spawn(read_continuously(
        work.admin_get(old_leader, "/admin/v1/budgets/main"),
        acknowledged.clone(),
        stop.clone(),
    ));
    net.isolate(&format!("c{old_leader}"));

    let (top_up_count, lost) = std::thread::scope(|scope| {
        // The old leader appends this top-up to its log but can't commit it. The
        // operator doesn't know its outcome and resends it later.
        let lost = scope.spawn(|| top_up(&work, &[old_leader], "lost", "7"));
        let start = Instant::now();
        let mut top_up_count = 0;
        while start.elapsed() < Duration::from_secs(4) {
            let id = format!("t{top_up_count}");
            let via = [rest[top_up_count % 2]];
            assert_eq!(top_up(&work, &via, &id, "10"), Some(0), "{id}");
            acknowledged.fetch_add(10, Ordering::SeqCst);
            let value = (2000 + top_up_count).to_string();
            let (code, answer) =
                set_keep_ms(&work, &via, &format!("k{top_up_count}"), base, &value);
            assert_eq!(code, Some(0), "change {top_up_count}: {answer}");
            base = revision_in(&answer);
            top_up_count += 1;
            std::thread::sleep(Duration::from_millis(100));
        }
        (top_up_count, lost.join().unwrap())
    });
    assert!(
        matches!(lost, Some(5 | 6)),
        "top-up without a majority exited with {lost:?}"
    );
    assert!(
        top_up_count > 2,
        "{top_up_count} top-ups during the isolation"
    );

    net.rejoin(&format!("c{old_leader}"));
    let start = Instant::now();
    // `reader` checks each response of the old leader meanwhile.
    assert_eq!(
        revision(&work, old_leader).await,
        base,
        "the old leader shows another revision"
    );
    let took = start.elapsed();
    println!("{top_up_count} top-ups while isolated; answers again after {took:?}");
    assert!(
        took < RECOVERY,
        "no answer for {took:?} after the leader rejoined"
    );
    tokio::time::sleep(Duration::from_secs(1)).await;
    stop.store(true, Ordering::SeqCst);
    let answers = reader.await.unwrap();
    assert!(answers > 5, "{answers} answers from the old leader");
    let expected = 1000 + 10 * top_up_count as u64;
    // The uncommitted entry in the old leader's log must not be applied.
    assert_eq!(amounts(&work, &ALL_MEMBERS)[0], expected);
    for n in ALL_MEMBERS {
        assert_eq!(
            revision(&work, n).await,
            base,
            "c{n} shows another revision"
        );
        assert_eq!(top_up(&work, &[n], "lost", "7"), Some(0));
        for id in 0..top_up_count {
            assert_eq!(top_up(&work, &[n], &format!("t{id}"), "10"), Some(0));
        }
        assert_eq!(amounts(&work, &[n])[0], expected + 7, "through c{n}");
    }
    assert_balanced(amounts(&work, &ALL_MEMBERS));
}

/// Guards against an isolated router that accepts requests without a lease or cuts
/// off its streams, and against settlements that are lost or applied twice after
/// it rejoins.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_isolated_router_refuses_and_settles_later() {
    let net = Network::default();
    let mut work = Workdir::with_proxies(3, 2, &net);
    // Budgets above `small_budget_tokens` are granted more than the request needs,
    // so the router holds an allotment while it is isolated.
    work.start_fleet(3, 2, "10000000");
    work.emulate("eng", &["--model", "m", "--token-ms", "800"]);
    work.emulate("shop", &["--service", "orders"]);
    for (router, id) in [("r0-caller", "o-0"), ("r1-caller", "o-1")] {
        work.until_ok(router, &work.order(id)).await;
    }
    // A router receives the addresses of others with a lease renewal, up to 1 s
    // after they register. Before that its refusals can't name another router.
    let entry = Call::get("/v1/entry?team=carvers");
    let other = work.addr("r1-caller").to_string();
    let start = Instant::now();
    loop {
        let reply = entry.send(work.addr("r0-caller"), TIMEOUT).await.unwrap();
        if reply.text().contains(&other) {
            break;
        }
        assert!(start.elapsed() < TIMEOUT, "r0 doesn't know r1");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // The first call to each router may wait for the engine's announcement.
    let call = work.chat("same prompt", true);
    let mut open = loop {
        let mut open = call.open(work.addr("r0-caller")).await.unwrap();
        if open.read_until("data:", Duration::from_secs(3)).await {
            break open;
        }
    };
    let before = amounts(&work, &ALL_MEMBERS);
    assert_eq!(before[3], 6, "two orders at 3 tokens");
    net.isolate("r0");
    let isolated_at = Instant::now();
    // The router holds an allotment, so only the lease can make it refuse.
    let mut within_lease = call.open(work.addr("r0-caller")).await.unwrap();
    assert!(
        within_lease
            .read_until("data:", Duration::from_secs(2))
            .await,
        "refused within the lease: {}",
        within_lease.reply().text()
    );
    let until_expiry = Duration::from_millis(3500).saturating_sub(isolated_at.elapsed());
    tokio::time::sleep(until_expiry).await;
    for late in [work.chat("late", false), work.order("late")] {
        let sent = Instant::now();
        let reply = late.send(work.addr("r0-caller"), TIMEOUT).await.unwrap();
        let error = reply.json()["error"].clone();
        assert_eq!(error["run"], "no", "{}", reply.text());
        assert_eq!(error["code"], "no_lease", "{}", reply.text());
        assert!(
            error["try"].to_string().contains(&other),
            "{}",
            reply.text()
        );
        assert!(
            sent.elapsed() < Duration::from_secs(1),
            "the refusal took over 1 s"
        );
    }
    within_lease.read_to_end(TIMEOUT).await;
    assert!(within_lease.reply().complete && within_lease.reply().text().contains("[DONE]"));
    open.read_to_end(TIMEOUT).await;
    assert!(open.reply().complete && open.reply().text().contains("[DONE]"));
    assert!(
        isolated_at.elapsed() > Duration::from_millis(3500),
        "the stream ended before the lease had expired"
    );
    assert_eq!(
        amounts(&work, &ALL_MEMBERS)[3],
        6,
        "settled while the router was isolated"
    );

    let same = work.chat("same prompt", false);
    let used = tokens(&work.until_ok("r1-caller", &same).await);
    net.rejoin("r0");
    // The three calls have the same prompt and length, so they use the same tokens.
    wait_until("the settlements arrive", || {
        amounts(&work, &ALL_MEMBERS)[3] >= 6 + 3 * used
    });
    work.until_ok("r0-caller", &work.order("o-2")).await;
    wait_until("the order is settled", || {
        amounts(&work, &ALL_MEMBERS)[3] == 9 + 3 * used
    });
    assert_balanced(amounts(&work, &ALL_MEMBERS));
    assert_eq!(amounts(&work, &ALL_MEMBERS)[0], 10_000_000);
}

/// Guards against sessions that hang on a dead connection although new connections
/// work: between control members, and between routers and control members.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_connections_are_replaced() {
    let net = Network::default();
    let mut work = Workdir::with_proxies(3, 2, &net);
    work.start_fleet(3, 2, "100000");
    work.emulate("shop", &["--service", "orders"]);
    for (router, id) in [("r0-caller", "o-0"), ("r1-caller", "o-1")] {
        work.until_ok(router, &work.order(id)).await;
    }
    let mut order_count = 2;
    for case in ["control-control", "router-control", "all"] {
        let frozen = net.freeze_open(|from, to| match case {
            "control-control" => from.starts_with('c') && to.starts_with('c'),
            "router-control" => from.starts_with('r') != to.starts_with('r'),
            _ => true,
        });
        assert!(frozen >= 2, "{case}: {frozen} connections");
        let start = Instant::now();
        // One member after the other, so that every path has to recover.
        for n in ALL_MEMBERS {
            let code = top_up(&work, &[n], &format!("{case}-{n}"), "10");
            assert_eq!(code, Some(0), "{case}: through c{n}");
        }
        for router in ["r0-caller", "r1-caller"] {
            let call = work.order(&format!("{case}-{router}"));
            work.until_ok(router, &call).await;
            order_count += 1;
        }
        let took = start.elapsed();
        println!("{case}: {frozen} connections frozen, recovered in {took:?}");
        assert!(took < RECOVERY, "{case}: {took:?}");
    }
    wait_until("all orders are settled", || {
        amounts(&work, &ALL_MEMBERS)[3] == 3 * order_count
    });
    let last = amounts(&work, &ALL_MEMBERS);
    assert_balanced(last);
    assert_eq!(last[0], 100_090);
}

/// Guards against a new member that becomes a voter before it has the committed
/// entries: a second failure right after the promotion would then lose changes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_member_dies_after_a_replacement() {
    let net = Network::default();
    let mut work = Workdir::with_proxies(3, 0, &net);
    work.start_fleet(3, 0, "1000");
    let replaced = work.leader(&ALL_MEMBERS);
    let old_id = work.member_id(replaced);
    work.kill(&format!("c{replaced}"));
    work.lose_disk(replaced);
    let rest = others(replaced);
    for n in 0..40 {
        let code = top_up(&work, &rest, &format!("a{n}"), "10");
        assert_eq!(code, Some(0));
    }
    work.start(&format!("c{replaced}"));
    let new_id = work.member_id(replaced);
    assert_ne!(new_id, old_id, "a member that lost its disk kept its id");
    let addr = work.addr(&format!("c{replaced}-peer")).to_string();
    work.json_at(&rest, &["member", "replace", &old_id, &new_id, &addr]);
    let mut top_up_count = 40;
    wait_until("the new member is a voter", || {
        assert_eq!(
            top_up(&work, &rest, &format!("a{top_up_count}"), "10"),
            Some(0)
        );
        top_up_count += 1;
        let list = work.json_at(&rest, &["member", "list"]);
        let members = list["members"].as_array().unwrap();
        members
            .iter()
            .any(|m| m["id"] == new_id.as_str() && m["voter"] == true)
    });
    let second_leader = work.leader(&rest);
    work.kill(&format!("c{second_leader}"));
    let survivors = others(second_leader);
    let expected = 1000 + 10 * top_up_count as u64;
    assert_eq!(amounts(&work, &survivors)[0], expected, "a top-up was lost");
    assert_eq!(top_up(&work, &survivors, "after", "5"), Some(0));
    assert_eq!(amounts(&work, &[replaced])[0], expected + 5);
    for n in 0..top_up_count {
        let code = top_up(&work, &[replaced], &format!("a{n}"), "10");
        assert_eq!(code, Some(0));
    }
    assert_eq!(
        amounts(&work, &survivors)[0],
        expected + 5,
        "a top-up was applied twice"
    );
    assert_balanced(amounts(&work, &survivors));
}

/// Sends nine concurrent changes with the same base revision, kills the leader after
/// `delay`, and resends each change. Returns the change that won and its revision.
async fn race_changes(work: &mut Workdir, name: &str, delay: Duration) -> (usize, u64) {
    let base = revision(work, 0).await;
    let leader = work.leader(&ALL_MEMBERS);
    let id = |n: usize| format!("{name}-{n}");
    let value = |n: usize| (3000 + n).to_string();
    let first: Vec<(Option<i32>, String)> = std::thread::scope(|scope| {
        let work = &*work;
        let senders: Vec<_> = (0..9)
            .map(|n| scope.spawn(move || set_keep_ms(work, &[n % 3], &id(n), base, &value(n))))
            .collect();
        std::thread::sleep(delay);
        work.send_sigkill(&format!("c{leader}"));
        senders.into_iter().map(|r| r.join().unwrap()).collect()
    });
    work.kill(&format!("c{leader}"));
    // Each operator resends its change through a surviving member.
    let rest = others(leader);
    let mut won = Vec::new();
    for (n, (code, answer)) in first.iter().enumerate() {
        let resent = set_keep_ms(work, &rest, &id(n), base, &value(n));
        match code {
            Some(0) => assert_eq!((resent.0, &resent.1), (Some(0), answer)),
            Some(4) => assert_eq!(resent.0, Some(4), "a conflict became a change"),
            Some(5 | 6) => assert!(matches!(resent.0, Some(0 | 4)), "{resent:?}"),
            other => panic!("change {n}: unexpected exit code {other:?}"),
        }
        if resent.0 == Some(0) {
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

/// Guards against two accepted changes with the same base revision, against a resent
/// change that is applied twice, and against a revision that goes back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_changes_have_one_winner_when_the_leader_dies() {
    let net = Network::default();
    let mut work = Workdir::with_proxies(3, 0, &net);
    work.start_fleet(3, 0, "1000");
    // The command takes some milliseconds to start and to send its request.
    race_changes(&mut work, "early", Duration::from_millis(8)).await;
    let (winner, first_revision) = race_changes(&mut work, "late", Duration::from_millis(20)).await;

    // Close the connection without reading the response. Whether or not the change
    // was applied by then, resending it through each member applies it once.
    let mut expected = first_revision + 1;
    let body = serde_json::json!({
        "change_id": "dropped", "base_revision": first_revision, "reason": "test",
        "ops": [{"set": {"kind": "defaults", "item": {"name": "keep_ms", "value": 5000}}}],
    });
    let change = |n| work.admin_post(n, "/admin/v1/changes", &body.to_string());
    let unread = change(0).open().await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(unread);
    for n in ALL_MEMBERS {
        let reply = change(n).send(TIMEOUT).await.unwrap();
        assert_eq!(reply.json()["revision"], expected, "{}", reply.text());
        assert_eq!(revision(&work, n).await, expected);
    }
    for n in 0..200 {
        let via = [n % 3];
        let value = (4000 + n).to_string();
        let (code, answer) = set_keep_ms(&work, &via, &format!("many{n}"), expected, &value);
        assert_eq!(code, Some(0), "change {n}");
        expected = revision_in(&answer);
    }
    for n in ALL_MEMBERS {
        work.kill(&format!("c{n}"));
    }
    for n in ALL_MEMBERS {
        work.start(&format!("c{n}"));
    }
    for n in ALL_MEMBERS {
        assert_eq!(
            revision(&work, n).await,
            expected,
            "c{n} shows another revision"
        );
    }
    let shown = work.json(&["default", "show", "keep_ms"]);
    assert_eq!(shown["value"], 4199);
    // The response to the winning change must survive the restart.
    let (id, value) = (format!("late-{winner}"), (3000 + winner).to_string());
    let (code, answer) = set_keep_ms(&work, &ALL_MEMBERS, &id, first_revision - 1, &value);
    assert_eq!(code, Some(0));
    assert_eq!(
        revision_in(&answer),
        first_revision,
        "the resent change got another response"
    );
}
