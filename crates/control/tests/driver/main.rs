//! Tests of a control group in one process, connected by a network in memory.

#![expect(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod group;
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
use anvilloft_wire::command::LockedAmount;
use anvilloft_wire::command::LockedReserve;
use anvilloft_wire::command::Report;
use anvilloft_wire::command::ReportEntry;

use anvilloft_wire::control::Answer;
use anvilloft_wire::control::Query;
use anvilloft_wire::control::RenewLease;
use group::Group;
use group::Reply;
use group::budget_change;
use group::lease_change;
use group::ms;
use group::open_incarnation;
use group::top_up;
use rstest::rstest;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against losing acknowledged commands when the leader crashes, and
/// against a group that elects no new leader.
#[tokio::test]
async fn commands_survive_the_leader() {
    let mut group = Group::start(3).await;
    assert_eq!(
        group.propose(lease_change(0, 2_000)).await,
        Reply::Accepted(1)
    );
    let old = group.leader().await;
    group.crash(old);
    let start = tokio::time::Instant::now();
    let new = group.leader().await;
    println!("new leader after {:?}", start.elapsed());
    assert_ne!(new, old);
    // A change that is resent with the same id gets its first answer again.
    assert_eq!(
        group.propose(lease_change(0, 2_000)).await,
        Reply::Accepted(1)
    );
    assert_eq!(
        group.propose(lease_change(1, 2_500)).await,
        Reply::Accepted(2)
    );
    group.restart(old).await;
    group.wait_for_all(|s| s.revision == 2).await;
}

/// Guards against losing state at a restart after many changes, with and
/// without a snapshot, in a real folder.
#[rstest::rstest]
#[case::log_only(4_096)]
#[case::snapshots(64)]
#[tokio::test]
async fn a_restart_keeps_a_thousand_changes(#[case] snapshot_entries: u64) {
    let folder = tempfile::tempdir().unwrap();
    let disk = || Box::new(RealDisk::open(folder.path().join("data")).unwrap());
    let mut group = Group::default();
    group.snapshot_entries = snapshot_entries;
    group.start_member(1, disk(), true);
    for n in 0..1_000 {
        let reply = group.propose(lease_change(n, 1_000 + n)).await;
        assert_eq!(reply, Reply::Accepted(n + 1));
    }
    group.stop_member(1);
    let start = std::time::Instant::now();
    group.start_member(1, disk(), true);
    group
        .wait_for_all(|s| s.is_leader && s.revision == 1_000)
        .await;
    println!("serving {:?} after the restart", start.elapsed());
    assert_eq!(group.propose(open_incarnation("r1", 1)).await, Reply::Ok);
    let renew = RenewLease {
        router: "r1".into(),
        incarnation: 1,
        ..RenewLease::default()
    };
    assert_eq!(group.renew_lease(1, &renew).await.unwrap().valid_ms, 1_999);
}

/// Guards against leases from a leader that has lost its majority: it must
/// neither grant one nor keep the caller waiting beyond its timeout.
#[tokio::test]
async fn a_deposed_leader_grants_no_lease() {
    let group = Group::start(3).await;
    assert_eq!(group.propose(open_incarnation("r1", 1)).await, Reply::Ok);
    let renew = RenewLease {
        router: "r1".into(),
        incarnation: 1,
        ..RenewLease::default()
    };
    let old = group.leader().await;
    let lease = group
        .renew_lease(old, &renew)
        .await
        .expect("a leader answers");
    assert_eq!((lease.valid_ms, lease.routers.len()), (3_000, 1));
    assert!(lease.config.is_none(), "revision 0 is current");
    group.set_isolated(old, true);
    // Called at once, while it still believes that it is the leader.
    let handle = group.handle(old);
    let command = handle.call(lease_change(0, 2_000).into(), CALL_TIMEOUT);
    let (lease, command) = tokio::join!(group.renew_lease(old, &renew), command);
    assert_eq!(lease, None);
    // The next leader may have the command, so its outcome is unknown.
    let answer = command.unwrap().answer;
    assert!(matches!(answer, Some(Answer::Unknown(_))), "{answer:?}");
    let leader = group.leader().await;
    group.set_isolated(old, false);
    group.wait_for_all(|s| s.leader == Some(leader)).await;
    assert!(group.renew_lease(leader, &renew).await.is_some());
    let follower = if leader == 1 { 2 } else { 1 };
    let call = group
        .handle(follower)
        .call(renew.into(), CALL_TIMEOUT)
        .await;
    let hint = format!("address-{leader}");
    assert_eq!(call.unwrap().answer, Some(Answer::NotLeader(hint)));
}

/// Guards against a replacement member that never becomes a voter, that lacks
/// the state of a snapshot, or whose predecessor stays in the group. After the
/// repair the group must survive the failure of a second host.
#[tokio::test]
async fn a_second_host_may_fail_after_a_repair() {
    let mut group = Group::start(3).await;
    for n in 0..60 {
        group.propose(lease_change(n, 2_000 + n)).await;
    }
    let leader = group.leader().await;
    let lost = leader % 3 + 1;
    group.crash(lost);
    group.start_member(4, Box::new(MemDisk::new()), false);
    group.add_learner(4, &format!("address-{lost}")).await;
    group
        .wait_for_all(|s| {
            let m = &s.membership;
            s.revision == 60
                && m.is_voter(4)
                && m.get(lost).is_none()
                && m.voters().count() == 3
                && !s.membership_changing
        })
        .await;
    // The new member takes snapshots of its own afterwards.
    let received = group.snapshots(4);
    for n in 60..100 {
        group.propose(lease_change(n, 1_500 + n)).await;
    }
    let took_snapshot = |_: &Status| group.snapshots(4) > received;
    group.wait_for_all(took_snapshot).await;
    let second = group.leader().await;
    group.crash(second);
    assert_eq!(
        group.propose(lease_change(100, 2_000)).await,
        Reply::Accepted(101)
    );
}

/// Guards against refusing a grant while other routers hold idle tokens, and
/// against holding a grant when no router can return any.
#[tokio::test]
async fn a_grant_waits_for_recalled_tokens() {
    let group = Group::start(1).await;
    group.propose(budget_change("b")).await;
    group.propose(top_up("b", 1_000)).await;
    group
        .propose(group::default_change(1, "recall_wait_ms", 1_500))
        .await;
    for router in ["r1", "r2"] {
        assert_eq!(group.propose(open_incarnation(router, 1)).await, Reply::Ok);
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
        group.propose(grant("r1", 1, 900)).await,
        Reply::Granted(900)
    );
    // No other router holds tokens, so the grant isn't held.
    let start = tokio::time::Instant::now();
    let refused = group.propose(grant("r1", 2, 500)).await;
    assert_eq!(refused, Reply::Insufficient(100, 900));
    assert!(start.elapsed() < ms(1_000));
    let start = tokio::time::Instant::now();
    let waiting = {
        let group = group.clone();
        let grant = grant("r2", 1, 500);
        tokio::spawn(async move { group.propose(grant).await })
    };
    group.wait_for_recall("r1", "b").await;
    let renew = RenewLease {
        router: "r1".into(),
        incarnation: 1,
        ..RenewLease::default()
    };
    let lease = group.renew_lease(1, &renew).await.unwrap();
    assert_eq!(lease.recalls, ["b"]);
    let report = Body::Report(Report {
        router: "r1".into(),
        incarnation: 1,
        seq: 1,
        locked: None,
        entries: vec![ReportEntry {
            budget: "b".into(),
            returned: 600,
            ..ReportEntry::default()
        }],
    });
    assert_eq!(group.propose(report).await, Reply::Ok);
    assert_eq!(waiting.await.unwrap(), Reply::Granted(500));
    assert!(
        start.elapsed() < ms(1_400),
        "granted once the tokens were returned"
    );
    // If no tokens are returned, the grant is refused after the wait.
    let start = tokio::time::Instant::now();
    let refused = group.propose(grant("r2", 2, 900)).await;
    assert_eq!(refused, Reply::Insufficient(200, 800));
    assert!(start.elapsed() >= ms(1_500) && start.elapsed() < ms(4_000));
}

/// Guards against a lending router that gets no tokens while others hold locked ones,
/// which they can't lend, and against waiting for locked tokens that are too few.
#[tokio::test]
async fn a_lending_grant_waits_for_locked_tokens_that_cover_it() {
    let group = Group::start(1).await;
    group.propose(budget_change("b")).await;
    group.propose(top_up("b", 1_000)).await;
    group
        .propose(group::default_change(1, "recall_wait_ms", 1_500))
        .await;
    for router in ["r1", "r2"] {
        assert_eq!(group.propose(open_incarnation(router, 1)).await, Reply::Ok);
    }
    let grant = |router: &str, seq, need| {
        Body::Grant(Grant {
            router: router.into(),
            incarnation: 1,
            seq,
            budget: "b".into(),
            need,
            want: need,
            lending: true,
        })
    };
    let report = |seq, entries, locked: Option<u64>| {
        let locked = locked.map(|amount| LockedReserve {
            acked_seq: seq - 1,
            unlock_ms: 3_000,
            amounts: vec![LockedAmount {
                budget: "b".into(),
                amount,
            }],
        });
        Body::Report(Report {
            router: "r1".into(),
            incarnation: 1,
            seq,
            locked,
            entries,
        })
    };
    assert_eq!(
        group.propose(grant("r1", 1, 900)).await,
        Reply::Granted(900)
    );
    // Idle tokens that aren't locked are lent instead.
    let start = tokio::time::Instant::now();
    let refused = group.propose(grant("r2", 1, 500)).await;
    assert_eq!(refused, Reply::Insufficient(100, 900));
    assert_eq!(group.propose(report(1, vec![], None)).await, Reply::Ok);
    assert_eq!(group.propose(report(2, vec![], Some(600))).await, Reply::Ok);
    let refused = group.propose(grant("r2", 2, 701)).await;
    assert_eq!(refused, Reply::Insufficient(100, 900));
    assert!(start.elapsed() < ms(1_000));
    let waiting = {
        let group = group.clone();
        let grant = grant("r2", 3, 700);
        tokio::spawn(async move { group.propose(grant).await })
    };
    group.wait_for_recall("r1", "b").await;
    let returned = ReportEntry {
        budget: "b".into(),
        returned: 600,
        ..ReportEntry::default()
    };
    let reply = group.propose(report(3, vec![returned], None)).await;
    assert_eq!(reply, Reply::Ok);
    assert_eq!(waiting.await.unwrap(), Reply::Granted(700));
    let start = tokio::time::Instant::now();
    let refused = group.propose(grant("r2", 4, 300)).await;
    assert_eq!(
        refused,
        Reply::Insufficient(0, 1_000),
        "nothing is locked any more"
    );
    assert!(start.elapsed() < ms(1_000));
}

/// Guards against a member that keeps running after its disk has failed, when
/// what it acknowledges may be lost.
#[tokio::test]
async fn a_failed_disk_stops_the_member() {
    let mut group = Group::default();
    let disk = MemDisk::new();
    group.start_member(1, Box::new(disk.clone()), true);
    group.leader().await;
    disk.fail_syncs(1);
    let handle = group.handle(1);
    let call = handle
        .call(lease_change(0, 2_000).into(), CALL_TIMEOUT)
        .await;
    assert!(matches!(call, Err(CallError::Unknown(_))));
    let query = Query {
        kind: "status".into(),
        ..Query::default()
    };
    let call = handle.call(query.into(), CALL_TIMEOUT).await;
    assert!(matches!(call, Err(CallError::Unavailable(_))));
    assert!(group.status(1).failure.contains("injected"));
}

/// Guards against a member that ends when its disk is full, acknowledges what it can't
/// store, or does not go on once there is room.
#[rstest]
#[case::leader(|leader, id| id == leader)]
#[case::follower(|leader, id| id == leader % 3 + 1)]
#[case::all(|_, _| true)]
#[tokio::test]
async fn a_member_waits_while_its_disk_is_full(#[case] is_full: fn(u64, u64) -> bool) {
    let group = Group::start(3).await;
    let leader = group.leader().await;
    let full: Vec<u64> = (1..=3).filter(|id| is_full(leader, *id)).collect();
    for id in &full {
        group.disk(*id).set_room(Some(10));
    }
    let handle = group.handle(leader);
    let call = handle.call(lease_change(0, 2_000).into(), ms(1_500)).await;
    let is_applied = matches!(&call, Ok(reply) if matches!(reply.answer, Some(Answer::Applied(_))));
    assert_eq!(is_applied, full.len() == 1 && full[0] != leader);
    if full.len() == 1 {
        group.propose(lease_change(0, 2_000)).await;
        group
            .propose(group::default_change(1, "stream_limit_ms", 9_000))
            .await;
    }
    for id in &full {
        let status = group.status(*id);
        assert_eq!((status.failure.as_str(), status.disk_full), ("", true));
        group.disk(*id).set_room(None);
    }
    group.propose(open_incarnation("r1", 1)).await;
    group
        .wait_for_all(|s| s.routers.len() == 1 && !s.disk_full && s.failure.is_empty())
        .await;
}

/// Guards against a group that takes no changes, or a member that takes no part, after
/// the disks of all members were full one after the other.
#[rstest]
#[case::leader_first(0, 16)]
#[case::follower_first(1, 16)]
#[case::snapshots_due(0, 2)]
#[tokio::test]
async fn members_whose_disks_were_full_in_turn_take_part_again(
    #[case] first: u64,
    #[case] snapshot_entries: u64,
    #[values(None, Some(0), Some(1), Some(2))] refuses_after: Option<u32>,
) {
    let group = Group::start_with_snapshots(3, snapshot_entries).await;
    let leader = group.leader().await;
    let mut revision = 0;
    let mut change = async || {
        group
            .propose(lease_change(revision, 2_000 + revision))
            .await;
        revision += 1;
    };
    for turn in 0..3 {
        let id = (leader + first + turn - 1) % 3 + 1;
        group.disk(id).set_room(Some(10));
        group.disk(id).fill_after(refuses_after);
        for _ in 0..6 {
            change().await;
        }
        group.disk(id).set_room(None);
        group.disk(id).fill_after(None);
        group.wait_for_all(|s| !s.disk_full).await;
    }
    change().await;
    group
        .wait_for_all(|s| s.revision == 19 && s.failure.is_empty())
        .await;
    // Each of them is still needed for a majority with any other one.
    for id in 1..=3 {
        group.set_isolated(id, true);
        change().await;
        group.set_isolated(id, false);
    }
    group.wait_for_all(|s| s.revision == 22).await;
}

/// Guards against entries that count as durable before they are: a member whose
/// sync fails must not have acknowledged them.
#[tokio::test]
async fn a_follower_acknowledges_after_its_sync() {
    let group = Group::start(2).await;
    let leader = group.leader().await;
    group.disk(3 - leader).fail_syncs(1);
    let handle = group.handle(leader);
    let call = handle.call(lease_change(0, 2_000).into(), ms(1_000)).await;
    assert!(
        !matches!(&call, Ok(reply) if matches!(reply.answer, Some(Answer::Applied(_)))),
        "{call:?}"
    );
    assert_eq!(group.status(leader).revision, 0);
}

/// Guards against declaring a router lost while it renews its lease, and
/// against never declaring a silent one lost.
#[tokio::test]
async fn a_silent_router_is_marked_lost() {
    let mut group = Group::start(1).await;
    // The shortest limits that the ledger accepts: 0.5 s and 1 s.
    group.propose(lease_change(0, 500)).await;
    group
        .propose(group::default_change(1, "stream_limit_ms", 1_000))
        .await;
    // A leader applies the longest limits of its own term, so a new term is
    // needed.
    group.crash(1);
    group.restart(1).await;
    for router in ["silent", "renewing"] {
        group.propose(open_incarnation(router, 1)).await;
    }
    let renew = |router: &str| RenewLease {
        router: router.into(),
        incarnation: 1,
        ..RenewLease::default()
    };
    for _ in 0..9 {
        tokio::time::sleep(ms(300)).await;
        let lease = group.renew_lease(1, &renew("renewing")).await.unwrap();
        assert_eq!(lease.valid_ms, 500);
    }
    let lease = group.renew_lease(1, &renew("silent")).await.unwrap();
    assert_eq!(lease.valid_ms, 0, "a lost incarnation gets no lease");
}

/// How long the host in `a_suspension_counts_as_silence` was suspended, in
/// milliseconds.
static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);
static BOOT: LazyLock<Instant> = LazyLock::new(Instant::now);

fn host_time() -> Duration {
    BOOT.elapsed() + ms(SUSPENDED_MS.load(Ordering::Relaxed))
}

/// Guards against a clock that stops while the host is suspended: routers
/// without contact for longer than their lease must be reported as silent
/// afterwards.
#[tokio::test]
async fn a_suspension_counts_as_silence() {
    let mut group = Group::default();
    group.clock = Clock::with_source(host_time);
    group.start_member(1, Box::new(MemDisk::new()), true);
    group.wait_for_all(|s| s.is_leader).await;
    assert_eq!(group.propose(open_incarnation("r1", 1)).await, Reply::Ok);
    assert_eq!(group.propose(open_incarnation("r2", 1)).await, Reply::Ok);
    let renew = |router: &str| RenewLease {
        router: router.into(),
        incarnation: 1,
        ..RenewLease::default()
    };
    assert!(
        group
            .renew_lease(1, &renew("r1"))
            .await
            .unwrap()
            .silent_routers
            .is_empty()
    );
    SUSPENDED_MS.fetch_add(10_000, Ordering::Relaxed);
    // Longer than the built-in lease of 3 s.
    let lease = group.renew_lease(1, &renew("r2")).await.unwrap();
    assert_eq!(lease.silent_routers, ["r1"]);
}
