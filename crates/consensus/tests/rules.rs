//! One test for each consensus rule that the random schedules might not exercise.

#![expect(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "helpers of tests fail like tests"
)]

mod cluster;

use anvilloft_consensus::Effects;
use anvilloft_consensus::Entry;
use anvilloft_consensus::HardState;
use anvilloft_consensus::MemberChange;
use anvilloft_consensus::Membership;
use anvilloft_consensus::Message;
use anvilloft_consensus::Node;
use anvilloft_consensus::NodeConfig;
use anvilloft_consensus::ProposeError;
use anvilloft_consensus::RestoredState;
use anvilloft_consensus::Role;
use anvilloft_consensus::Snapshot;
use anvilloft_consensus::message::AppendEntries;
use anvilloft_consensus::message::AppendEntriesReply;
use anvilloft_consensus::message::Body;
use anvilloft_consensus::message::InstallSnapshot;
use anvilloft_consensus::message::InstallSnapshotReply;
use anvilloft_consensus::message::VoteReply;
use anvilloft_consensus::message::VoteRequest;
use cluster::Cluster;
use cluster::ms;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rstest::rstest;
use std::sync::Arc;

fn wait_for_leader(cluster: &mut Cluster) -> u64 {
    let has_ready_leader = |c: &Cluster| {
        c.leader()
            .and_then(|id| c.node(id))
            .is_some_and(Node::is_leader_ready)
    };
    assert!(cluster.wait_until(ms(5_000), has_ready_leader), "no leader");
    cluster.leader().unwrap()
}

fn add_learner(cluster: &mut Cluster, id: u64) {
    let leader = wait_for_leader(cluster);
    cluster.add_host(id);
    cluster.start(id);
    let change = MemberChange::AddLearner {
        id,
        address: String::new(),
    };
    assert!(cluster.change(leader, change));
    cluster.run_for(ms(1_000));
}

fn initial_snapshot(members: &[u64]) -> Option<Arc<Snapshot>> {
    let membership = Membership::from_voters(members.iter().map(|m| (*m, "")));
    Some(Arc::new(Snapshot {
        membership: Some(membership),
        ..Snapshot::default()
    }))
}

fn new_member(id: u64, members: &[u64]) -> Node {
    let restored = RestoredState {
        snapshot: initial_snapshot(members),
        ..RestoredState::default()
    };
    Node::new(NodeConfig::new(id, 0), restored, ms(0), 1)
}

fn message(to: u64, term: u64, body: Body) -> Message {
    Message {
        group: 0,
        to,
        term,
        body: Some(body),
    }
}

/// Guards against a learner that counts towards a majority: with one of two
/// voters down, the other and a learner must neither elect nor commit.
#[test]
fn a_learner_does_not_count_towards_a_majority() {
    let mut cluster = Cluster::new(1, 2);
    add_learner(&mut cluster, 3);
    let leader = wait_for_leader(&mut cluster);
    cluster.crash(3 - leader);
    let before = cluster.node(leader).unwrap().commit_index();
    cluster.propose(leader);
    cluster.run_for(ms(200));
    assert_eq!(cluster.node(leader).unwrap().commit_index(), before);
    cluster.run_for(ms(10_000));
    assert_eq!(cluster.leader(), None);
}

/// Guards against loss of quorum after a member was replaced: a learner whose
/// promotion is committed but hasn't reached it must still vote when a second
/// member fails permanently.
#[test]
fn a_promoted_learner_votes_before_it_receives_its_promotion() {
    let mut cluster = Cluster::new(2, 2);
    add_learner(&mut cluster, 3);
    let leader = wait_for_leader(&mut cluster);
    cluster.net.cut_links.insert((leader, 3));
    assert!(cluster.change(leader, MemberChange::Promote(3)));
    cluster.run_for(ms(100));
    let node = cluster.node(leader).unwrap();
    assert!(
        node.commit_index() == node.last_index(),
        "the promotion is committed"
    );
    assert!(!cluster.node(3).unwrap().membership().is_voter(3));
    cluster.lose_disk(leader);
    let new_leader = wait_for_leader(&mut cluster);
    assert!(cluster.propose(new_leader));
    cluster.run_for(ms(500));
    assert!(cluster.node(3).unwrap().membership().is_voter(3));
    assert!(cluster.acked_index > 0);
}

/// Guards against a candidate that wins with votes granted in an earlier term.
#[test]
fn votes_of_an_old_term_do_not_count() {
    let mut node = new_member(1, &[1, 2, 3]);
    let grant = VoteReply { granted: true };
    for term in 1..=2 {
        node.tick(node.deadline());
        let now = node.deadline() - ms(1);
        node.step(now, 2, message(1, term, Body::PreVoteReply(grant)));
        assert_eq!((node.role(), node.term()), (Role::Candidate, term));
    }
    let now = node.deadline() - ms(1);
    node.step(now, 2, message(1, 1, Body::VoteReply(grant)));
    assert_eq!(node.role(), Role::Candidate);
    node.step(now, 2, message(1, 2, Body::VoteReply(grant)));
    assert_eq!(node.role(), Role::Leader);
}

/// Creates a member of a group of three whose log has entries of these terms.
fn member_with_log(terms: &[u64]) -> Node {
    let entry = |(at, term): (usize, &u64)| Entry {
        index: at as u64 + 1,
        term: *term,
        ..Entry::default()
    };
    let restored = RestoredState {
        hard_state: HardState {
            term: terms.last().copied().unwrap_or_default(),
            ..HardState::default()
        },
        entries: terms.iter().enumerate().map(entry).collect(),
        snapshot: initial_snapshot(&[1, 2, 3]),
    };
    Node::new(NodeConfig::new(1, 0), restored, ms(0), 1)
}

fn granted(fx: &Effects) -> Option<bool> {
    match &fx.messages_after_sync.first()?.1.body {
        Some(Body::VoteReply(r) | Body::PreVoteReply(r)) => Some(r.granted),
        _ => None,
    }
}

/// Guards against a second vote in one term, also after a restart, and against a
/// vote that isn't persisted because the term was already known.
#[test]
fn a_member_votes_once_a_term() {
    let mut node = new_member(1, &[1, 2, 3]);
    let req = VoteRequest {
        last_index: 5,
        last_term: 1,
    };
    node.step(
        ms(1),
        3,
        message(
            1,
            4,
            Body::AppendEntriesReply(AppendEntriesReply::default()),
        ),
    );
    assert_eq!(node.take_effects(ms(1)).hard_state.unwrap().term, 4);
    node.step(ms(1), 2, message(1, 4, Body::Vote(req)));
    let fx = node.take_effects(ms(1));
    assert_eq!(granted(&fx), Some(true));
    let hard_state = fx.hard_state.expect("a vote is persisted");
    let restored = RestoredState {
        hard_state,
        ..RestoredState::default()
    };
    let mut restarted = Node::new(NodeConfig::new(1, 0), restored, ms(2), 2);
    for node in [&mut node, &mut restarted] {
        node.step(ms(2), 3, message(1, 4, Body::Vote(req)));
        assert_eq!(granted(&node.take_effects(ms(2))), Some(false));
    }
}

/// Guards against the election of a leader that lacks committed entries, and
/// against a candidate that deposes a leader which is in contact with others.
#[rstest]
#[case::shorter(2, 1, None, Some(false))]
#[case::older_term(9, 1, None, Some(false))]
#[case::equal(3, 2, None, Some(true))]
#[case::within_leader_timeout(3, 2, Some(100), None)]
#[case::after_leader_timeout(3, 2, Some(301), Some(true))]
fn votes_require_an_up_to_date_log(
    #[case] last_index: u64,
    #[case] last_term: u64,
    #[case] after_leader_ms: Option<u64>,
    #[case] expected: Option<bool>,
) {
    let req = VoteRequest {
        last_index,
        last_term,
    };
    for (body, expected) in [
        (Body::Vote(req), expected),
        // A pre-vote always gets a reply, so that the sender learns the term.
        (Body::PreVote(req), Some(expected == Some(true))),
    ] {
        let mut node = member_with_log(&[1, 2, 2]);
        let mut now = ms(10);
        if let Some(elapsed) = after_leader_ms {
            let heartbeat = AppendEntries::default();
            node.step(now, 3, message(1, 2, Body::AppendEntries(heartbeat)));
            node.take_effects(now);
            now += ms(elapsed);
        }
        node.step(now, 2, message(1, 3, body));
        assert_eq!(granted(&node.take_effects(now)), expected);
    }
}

/// Guards against a member that raises its term while it has no contact to the
/// leader, and so deposes the leader once the connection is restored.
#[test]
fn a_member_without_leader_contact_keeps_the_term() {
    let mut cluster = Cluster::new(6, 3);
    let leader = wait_for_leader(&mut cluster);
    let term = cluster.node(leader).unwrap().term();
    cluster.net.cut_links.insert((leader, leader % 3 + 1));
    cluster.run_for(ms(10_000));
    cluster.net.cut_links.clear();
    cluster.run_for(ms(2_000));
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.node(leader).unwrap().term(), term);
}

/// Guards against committing entries that another leader can still replace
/// (Raft, figure 3.7): a majority that stores an entry of an older term is not
/// sufficient.
#[test]
fn entries_of_older_terms_are_not_committed_by_counting() {
    let mut node = member_with_log(&[1]);
    let grant = VoteReply { granted: true };
    node.tick(node.deadline());
    let now = node.deadline() - ms(1);
    node.step(now, 2, message(1, 2, Body::PreVoteReply(grant)));
    node.step(now, 2, message(1, 2, Body::VoteReply(grant)));
    let token = node.take_effects(now).token;
    node.on_persisted(now, token);
    for (index, commit) in [(1, 0), (2, 2)] {
        let reply = AppendEntriesReply {
            stored: true,
            index,
            ..AppendEntriesReply::default()
        };
        node.step(now, 2, message(1, 2, Body::AppendEntriesReply(reply)));
        assert_eq!(node.commit_index(), commit);
    }
}

/// Guards against committing entries that the leader may not have: a follower
/// commits only entries that an append proved to match.
#[test]
fn a_commit_index_covers_matching_entries_only() {
    let mut node = member_with_log(&[1, 1, 1]);
    let heartbeat = AppendEntries {
        prev_index: 1,
        prev_term: 1,
        leader_commit: 3,
        ..AppendEntries::default()
    };
    node.step(ms(1), 2, message(1, 2, Body::AppendEntries(heartbeat)));
    assert_eq!(node.commit_index(), 1);
}

/// Guards against a member that disturbs the group when it reconnects after an
/// hour of isolation, and against an isolated leader that doesn't step down.
#[rstest]
#[case::follower(false)]
#[case::leader(true)]
fn an_isolated_member_rejoins_without_disturbing_the_group(#[case] isolate_leader: bool) {
    let mut cluster = Cluster::new(3, 3);
    let first = wait_for_leader(&mut cluster);
    let isolated = if isolate_leader { first } else { first % 3 + 1 };
    cluster.isolate(isolated, true);
    cluster.run_for(ms(5_000));
    let leader = wait_for_leader(&mut cluster);
    assert_ne!(leader, isolated);
    let term = cluster.node(leader).unwrap().term();
    cluster.run_for(ms(3_600_000));
    assert_ne!(cluster.node(isolated).unwrap().role(), Role::Leader);
    for _ in 0..100 {
        cluster.propose(leader);
        cluster.run_for(ms(5));
    }
    cluster.isolate(isolated, false);
    cluster.run_for(ms(2_000));
    let returned = cluster.node(isolated).unwrap();
    assert_eq!((returned.leader(), returned.term()), (Some(leader), term));
    assert_eq!(
        cluster.state_machine(isolated),
        cluster.state_machine(leader)
    );
}

/// Guards against stale reads: a leader that was deposed while its process was
/// stalled must not confirm a read when it resumes.
#[test]
fn a_deposed_leader_answers_no_read() {
    let mut cluster = Cluster::new(4, 3);
    let old = wait_for_leader(&mut cluster);
    assert!(cluster.read(old));
    cluster.run_for(ms(100));
    assert_eq!(cluster.reads_done, 1, "a leader answers reads");
    cluster.hosts.get_mut(&old).unwrap().stalled_until = cluster.now + ms(3_000);
    cluster.run_for(ms(2_500));
    let new = wait_for_leader(&mut cluster);
    assert_ne!(new, old);
    assert!(cluster.propose(new));
    cluster.run_for(ms(100));
    // It resumes with a read before it handles any message. The cluster panics
    // on a read that misses acknowledged entries.
    cluster.hosts.get_mut(&old).unwrap().stalled_until = ms(0);
    assert!(
        cluster.read(old),
        "the deposed leader still has the leader role"
    );
    cluster.run_for(ms(1_000));
    assert_eq!(cluster.reads_done, 1);
}

/// Guards against overlapping membership changes, and against promotion of a
/// learner that lacks committed entries.
#[test]
fn changes_are_serialised_and_learners_must_catch_up() {
    let mut cluster = Cluster::new(5, 3);
    let leader = wait_for_leader(&mut cluster);
    let learner = |id| MemberChange::AddLearner {
        id,
        address: String::new(),
    };
    let mut errors = Vec::new();
    let membership = cluster.node(leader).unwrap().membership().clone();
    let mut node = new_member(1, &[1]);
    node.tick(node.deadline());
    let now = node.deadline();
    for change in [learner(8), learner(9)] {
        errors.push(node.propose_change(now, change).err());
        let token = node.take_effects(now).token;
        if errors.len() == 1 {
            node.on_persisted(now, token);
            assert_eq!(node.propose_change(now, learner(8)), Ok(2));
            assert_eq!(
                node.propose_change(now, MemberChange::Promote(8)),
                Err(ProposeError::ChangePending)
            );
            let token = node.take_effects(now).token;
            node.on_persisted(now, token);
        }
    }
    // No change is accepted before the first entry of the term is committed.
    assert_eq!(errors, [Some(ProposeError::ChangePending), None]);
    let token = node.take_effects(now).token;
    node.on_persisted(now, token);
    assert_eq!(
        node.propose_change(now, MemberChange::Promote(8)),
        Err(ProposeError::NotCaughtUp)
    );
    assert_eq!(
        node.propose_change(now, MemberChange::Remove(1)),
        Err(ProposeError::InvalidChange("the last voter must stay"))
    );
    assert_eq!(membership.voters().count(), 3);
}

/// Guards against a group that waits for full election timeouts after all its
/// members start at once, when no member can be in contact with a leader.
#[test]
fn a_group_started_at_once_elects_a_leader_quickly() {
    for seed in 0..50 {
        let mut cluster = Cluster::new(seed, 5);
        wait_for_leader(&mut cluster);
        (1..=5).for_each(|id| cluster.crash(id));
        (1..=5).for_each(|id| cluster.start(id));
        // Covers the first timeout, half of its spread and a sync for each vote.
        let has_leader = cluster.wait_until(ms(430), |c| c.leader().is_some());
        assert!(has_leader, "seed {seed}");
    }
}

/// Guards against a restarted member that deposes the leader because its first
/// election timeout is short.
#[test]
fn a_restarted_member_does_not_depose_the_leader() {
    for seed in 0..50 {
        let mut cluster = Cluster::new(seed, 5);
        let leader = wait_for_leader(&mut cluster);
        let term = cluster.node(leader).unwrap().term();
        let other = leader % 5 + 1;
        cluster.crash(other);
        cluster.run_for(ms(500));
        cluster.start(other);
        cluster.run_for(ms(2_000));
        assert_eq!(cluster.leader(), Some(leader), "seed {seed}");
        assert_eq!(cluster.node(leader).unwrap().term(), term, "seed {seed}");
    }
}

/// Guards against a sole voter that waits for an election timeout at each start,
/// and against members of a larger group that don't wait.
#[test]
fn only_a_sole_voter_skips_the_election_timeout() {
    let mut sole = new_member(1, &[1]);
    sole.tick(ms(0));
    assert_eq!(sole.role(), Role::Leader);
    let mut one_of_two = new_member(1, &[1, 2]);
    one_of_two.tick(ms(299));
    assert_eq!(one_of_two.role(), Role::Follower);
}

/// Guards against loss of acknowledged entries in a power failure: a leader
/// counts itself towards the majority only after its own sync.
#[test]
fn a_leader_counts_itself_after_its_sync() {
    let mut node = new_member(1, &[1]);
    let now = node.deadline();
    node.tick(now);
    node.propose(now, b"x".to_vec()).unwrap();
    let fx = node.take_effects(now);
    assert_eq!((fx.entries.len(), fx.committed.len()), (2, 0));
    assert!(node.take_effects(now).committed.is_empty());
    node.on_persisted(now, fx.token);
    assert_eq!(node.take_effects(now).committed.len(), 2);
}

/// Guards against a host that replies under its old id after it lost its disk,
/// and against messages of another group.
#[rstest]
#[case::old_id(7, 0)]
#[case::other_group(1, 3)]
fn messages_for_another_id_or_group_are_dropped(#[case] to: u64, #[case] group: u32) {
    let mut node = new_member(1, &[1, 2, 3]);
    let req = VoteRequest {
        last_index: 9,
        last_term: 9,
    };
    let mut msg = message(to, 9, Body::Vote(req));
    msg.group = group;
    node.step(ms(1), 2, msg);
    let fx = node.take_effects(ms(1));
    assert!(fx.messages_after_sync.is_empty() && !fx.must_sync());
    assert_eq!(node.term(), 0);
}

/// Guards against panics on malformed messages of an authenticated peer, such as
/// overflows on extreme numbers.
#[test]
fn malformed_messages_never_panic() {
    for seed in 0..3_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut node = member_with_log(&[1, 2, 2]);
        let mut now = ms(0);
        for _ in 0..40 {
            let mut n = || match rng.random_range(0..8) {
                0 => u64::MAX,
                1 => u64::MAX - rng.random_range(0..3),
                2 => 1 << 62,
                _ => rng.random_range(0..6),
            };
            let vote = VoteRequest {
                last_index: n(),
                last_term: n(),
            };
            let entry = Entry {
                index: n(),
                term: n(),
                kind: i32::try_from(n() % 4).unwrap(),
                data: vec![7; 3],
            };
            let bodies = [
                Body::PreVote(vote),
                Body::Vote(vote),
                Body::PreVoteReply(VoteReply { granted: true }),
                Body::VoteReply(VoteReply { granted: true }),
                Body::AppendEntries(AppendEntries {
                    prev_index: n(),
                    prev_term: n(),
                    entries: vec![entry.clone(), entry],
                    leader_commit: n(),
                    read_round: n(),
                }),
                Body::AppendEntriesReply(AppendEntriesReply {
                    stored: n() % 2 == 0,
                    index: n(),
                    hint: n(),
                    read_round: n(),
                }),
                Body::InstallSnapshot(InstallSnapshot {
                    index: n(),
                    last_term: n(),
                    membership: None,
                    total_bytes: n(),
                    offset: n(),
                    data: vec![1; 4],
                    read_round: n(),
                }),
                Body::InstallSnapshotReply(InstallSnapshotReply {
                    index: n(),
                    offset: n(),
                    done: n() % 2 == 0,
                    read_round: n(),
                }),
            ];
            let term = if rng.random_bool(0.5) {
                node.term() + rng.random_range(0..2)
            } else {
                *[0, 1 << 62, u64::MAX].choose(&mut rng).unwrap()
            };
            let body = bodies.choose(&mut rng).unwrap().clone();
            let from = rng.random_range(2..5);
            now += ms(rng.random_range(0..200));
            node.step(now, from, message(1, term, body));
            node.tick(now);
            let _ = node.propose(now, vec![1]);
            let _ = node.request_read(now, 1);
            let token = node.take_effects(now).token;
            node.on_persisted(now, token);
        }
    }
}
