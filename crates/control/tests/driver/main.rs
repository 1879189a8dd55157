//! Control threads of several members in one process, over a network in
//! memory.

#![expect(clippy::unwrap_used, reason = "helpers of tests fail like tests")]

mod fleet;
mod placement;

use std::sync::LazyLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anvilloft_control::driver::Status;
use anvilloft_storage::MemDisk;
use anvilloft_storage::RealDisk;
use anvilloft_types::Clock;
use anvilloft_wire::CallError;
use anvilloft_wire::Control;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::Grant;
use anvilloft_wire::command::Report;
use anvilloft_wire::command::ReportEntry;

use anvilloft_wire::control::Answer;
use anvilloft_wire::control::Query;
use anvilloft_wire::control::RenewLease;
use fleet::Fleet;
use fleet::Reply;
use fleet::budget_change;
use fleet::ms;
use fleet::open;
use fleet::top_up;
use fleet::value_change;

const LIMIT: Duration = Duration::from_secs(5);

/// Guards against commands that are acknowledged and not kept, across the
/// death of the leader, and against a group that stays without a leader.
#[tokio::test]
async fn commands_survive_the_leader() {
    let mut fleet = Fleet::start(3).await;
    assert_eq!(
        fleet.propose(value_change(0, 2_000)).await,
        Reply::Accepted(1)
    );
    let old = fleet.leader().await;
    fleet.kill(old);
    let began = tokio::time::Instant::now();
    let new = fleet.leader().await;
    println!("new leader after {:?}", began.elapsed());
    assert_ne!(new, old);
    // Resent with the same id, a change gets its first answer.
    assert_eq!(
        fleet.propose(value_change(0, 2_000)).await,
        Reply::Accepted(1)
    );
    assert_eq!(
        fleet.propose(value_change(1, 2_500)).await,
        Reply::Accepted(2)
    );
    fleet.restart(old).await;
    fleet.wait(|s| s.revision == 2).await;
}

/// Guards against loss of state at a restart after many changes, with and
/// without a snapshot, on a real folder.
#[rstest::rstest]
#[case::log_only(4_096)]
#[case::snapshots(64)]
#[tokio::test]
async fn a_restart_keeps_a_thousand_changes(#[case] snapshot_entries: u64) {
    let folder = tempfile::tempdir().unwrap();
    let disk = || Box::new(RealDisk::open(folder.path().join("data")).unwrap());
    let mut fleet = Fleet::default();
    fleet.snapshot_entries = snapshot_entries;
    fleet.launch(1, disk(), true);
    for n in 0..1_000 {
        let reply = fleet.propose(value_change(n, 1_000 + n)).await;
        assert_eq!(reply, Reply::Accepted(n + 1));
    }
    fleet.stop(1);
    let began = std::time::Instant::now();
    fleet.launch(1, disk(), true);
    fleet.wait(|s| s.is_leader && s.revision == 1_000).await;
    println!("serving {:?} after the restart", began.elapsed());
    assert_eq!(fleet.propose(open("r1", 1)).await, Reply::Ok);
    let renew = RenewLease {
        router: "r1".into(),
        incarnation: 1,
        ..RenewLease::default()
    };
    assert_eq!(fleet.lease(1, &renew).await.unwrap().valid_ms, 1_999);
}

/// Guards against leases from a leader that no majority follows any more: it
/// must neither answer nor keep the caller waiting beyond its limit.
#[tokio::test]
async fn a_deposed_leader_grants_no_lease() {
    let fleet = Fleet::start(3).await;
    assert_eq!(fleet.propose(open("r1", 1)).await, Reply::Ok);
    let renew = RenewLease {
        router: "r1".into(),
        incarnation: 1,
        ..RenewLease::default()
    };
    let old = fleet.leader().await;
    let lease = fleet.lease(old, &renew).await.expect("a leader answers");
    assert_eq!((lease.valid_ms, lease.routers.len()), (3_000, 1));
    assert!(lease.config.is_none(), "revision 0 is current");
    fleet.cut(old, true);
    // Asked at once, when it still thinks that it leads.
    let handle = fleet.handle(old);
    let command = handle.call(value_change(0, 2_000).into(), LIMIT);
    let (lease, command) = tokio::join!(fleet.lease(old, &renew), command);
    assert_eq!(lease, None);
    // The next leader may have the command, so its outcome is open.
    let answer = command.unwrap().answer;
    assert!(matches!(answer, Some(Answer::Unknown(_))), "{answer:?}");
    let leader = fleet.leader().await;
    fleet.cut(old, false);
    fleet.wait(|s| s.leader == Some(leader)).await;
    assert!(fleet.lease(leader, &renew).await.is_some());
    let follower = if leader == 1 { 2 } else { 1 };
    let call = fleet.handle(follower).call(renew.into(), LIMIT).await;
    let hint = format!("address-{leader}");
    assert_eq!(call.unwrap().answer, Some(Answer::NotLeader(hint)));
}

/// Guards against a replaced host that never gets a vote, that lacks the state
/// of a snapshot, or whose old identity stays: after the repair, a second host
/// may fail.
#[tokio::test]
async fn a_second_host_may_fail_after_a_repair() {
    let mut fleet = Fleet::start(3).await;
    for n in 0..60 {
        fleet.propose(value_change(n, 2_000 + n)).await;
    }
    let leader = fleet.leader().await;
    let lost = leader % 3 + 1;
    fleet.kill(lost);
    fleet.launch(4, Box::new(MemDisk::new()), false);
    fleet.add_learner(4, &format!("address-{lost}")).await;
    fleet
        .wait(|s| {
            let m = &s.membership;
            s.revision == 60
                && m.is_voter(4)
                && m.get(lost).is_none()
                && m.voters().count() == 3
                && !s.membership_changing
        })
        .await;
    // The new member goes on to make snapshots of its own.
    let received = fleet.snapshots(4);
    for n in 60..100 {
        fleet.propose(value_change(n, 1_500 + n)).await;
    }
    let made = |_: &Status| fleet.snapshots(4) > received;
    fleet.wait(made).await;
    let second = fleet.leader().await;
    fleet.kill(second);
    assert_eq!(
        fleet.propose(value_change(100, 2_000)).await,
        Reply::Accepted(101)
    );
}

/// Guards against false refusals while other routers hold idle tokens, and
/// against grants that wait for tokens that nobody can return.
#[tokio::test]
async fn a_grant_waits_for_recalled_tokens() {
    let fleet = Fleet::start(1).await;
    fleet.propose(budget_change("b")).await;
    fleet.propose(top_up("b", 1_000)).await;
    fleet
        .propose(fleet::default_change(1, "recall_wait_ms", 1_500))
        .await;
    for router in ["r1", "r2"] {
        assert_eq!(fleet.propose(open(router, 1)).await, Reply::Ok);
    }
    let grant = |router: &str, seq, need| {
        Body::Grant(Grant {
            router: router.into(),
            incarnation: 1,
            seq,
            budget: "b".into(),
            need,
            want: need,
            lending: false,
        })
    };
    assert_eq!(
        fleet.propose(grant("r1", 1, 900)).await,
        Reply::Granted(900)
    );
    // Nobody else holds anything that r1 could wait for.
    let began = tokio::time::Instant::now();
    let refused = fleet.propose(grant("r1", 2, 500)).await;
    assert_eq!(refused, Reply::Insufficient(100, 900));
    assert!(began.elapsed() < ms(1_000));
    let began = tokio::time::Instant::now();
    let waiting = {
        let fleet = fleet.clone();
        let grant = grant("r2", 1, 500);
        tokio::spawn(async move { fleet.propose(grant).await })
    };
    fleet.recalled("r1", "b").await;
    let renew = RenewLease {
        router: "r1".into(),
        incarnation: 1,
        ..RenewLease::default()
    };
    let lease = fleet.lease(1, &renew).await.unwrap();
    assert_eq!(lease.recalls, ["b"]);
    let report = Body::Report(Report {
        router: "r1".into(),
        incarnation: 1,
        seq: 1,
        entries: vec![ReportEntry {
            budget: "b".into(),
            returned: 600,
            ..ReportEntry::default()
        }],
    });
    assert_eq!(fleet.propose(report).await, Reply::Ok);
    assert_eq!(waiting.await.unwrap(), Reply::Granted(500));
    assert!(
        began.elapsed() < ms(1_400),
        "granted when the return arrived"
    );
    // Without returns, the answer comes after the wait.
    let began = tokio::time::Instant::now();
    let refused = fleet.propose(grant("r2", 2, 900)).await;
    assert_eq!(refused, Reply::Insufficient(200, 800));
    assert!(began.elapsed() >= ms(1_500) && began.elapsed() < ms(4_000));
}

/// Guards against a member that goes on after its disk failed: what it
/// acknowledges then may be lost.
#[tokio::test]
async fn a_failed_disk_stops_the_member() {
    let mut fleet = Fleet::default();
    let disk = MemDisk::new();
    fleet.launch(1, Box::new(disk.clone()), true);
    fleet.leader().await;
    disk.fail_syncs(1);
    let handle = fleet.handle(1);
    let call = handle.call(value_change(0, 2_000).into(), LIMIT).await;
    assert!(matches!(call, Err(CallError::Unknown(_))));
    let query = Query {
        kind: "status".into(),
        ..Query::default()
    };
    let call = handle.call(query.into(), LIMIT).await;
    assert!(matches!(call, Err(CallError::Unavailable(_))));
    assert!(fleet.status(1).failure.contains("injected"));
}

/// Guards against entries that count as kept before they are: a member whose
/// sync fails must not have acknowledged them.
#[tokio::test]
async fn a_follower_acknowledges_after_its_sync() {
    let fleet = Fleet::start(2).await;
    let leader = fleet.leader().await;
    fleet.disk(3 - leader).fail_syncs(1);
    let handle = fleet.handle(leader);
    let call = handle.call(value_change(0, 2_000).into(), ms(1_000)).await;
    assert!(
        !matches!(&call, Ok(reply) if matches!(reply.answer, Some(Answer::Applied(_)))),
        "{call:?}"
    );
    assert_eq!(fleet.status(leader).revision, 0);
}

/// Guards against routers that are declared lost while they renew, or never.
#[tokio::test]
async fn a_silent_router_is_marked_lost() {
    let mut fleet = Fleet::start(1).await;
    // The shortest limits that the ledger accepts: 0.5 s and 1 s.
    fleet.propose(value_change(0, 500)).await;
    fleet
        .propose(fleet::default_change(1, "stream_limit_ms", 1_000))
        .await;
    // A leader goes by the longest limits of its own term.
    fleet.kill(1);
    fleet.restart(1).await;
    for router in ["silent", "heard"] {
        fleet.propose(open(router, 1)).await;
    }
    let renew = |router: &str| RenewLease {
        router: router.into(),
        incarnation: 1,
        ..RenewLease::default()
    };
    for _ in 0..9 {
        tokio::time::sleep(ms(300)).await;
        let lease = fleet.lease(1, &renew("heard")).await.unwrap();
        assert_eq!(lease.valid_ms, 500);
    }
    let lease = fleet.lease(1, &renew("silent")).await.unwrap();
    assert_eq!(lease.valid_ms, 0, "a lost incarnation gets no lease");
}

/// How long the host of the next test was suspended, in milliseconds.
static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);
static BOOT: LazyLock<Instant> = LazyLock::new(Instant::now);

fn host_time() -> Duration {
    BOOT.elapsed() + ms(SUSPENDED_MS.load(Ordering::Relaxed))
}

/// Guards against a member that, after a suspension of its host, still takes
/// routers for alive that had no contact with control for longer than their
/// limits.
#[tokio::test]
async fn a_suspension_counts_as_silence() {
    let mut fleet = Fleet::default();
    fleet.clock = Clock::with_source(host_time);
    fleet.launch(1, Box::new(MemDisk::new()), true);
    fleet.wait(|s| s.is_leader).await;
    assert_eq!(fleet.propose(open("r1", 1)).await, Reply::Ok);
    assert_eq!(fleet.propose(open("r2", 1)).await, Reply::Ok);
    let renew = |router: &str| RenewLease {
        router: router.into(),
        incarnation: 1,
        ..RenewLease::default()
    };
    assert!(
        fleet
            .lease(1, &renew("r1"))
            .await
            .unwrap()
            .silent_routers
            .is_empty()
    );
    SUSPENDED_MS.fetch_add(10_000, Ordering::Relaxed);
    // Longer than the built-in lease of 3 s.
    let lease = fleet.lease(1, &renew("r2")).await.unwrap();
    assert_eq!(lease.silent_routers, ["r1"]);
}
