//! When a learner counts as caught up, under a steady flow of commands.

#![expect(clippy::unwrap_used, reason = "helpers of tests fail like tests")]

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use anvilloft_consensus::LogIndex;
use anvilloft_consensus::MemberChange;
use anvilloft_consensus::Membership;
use anvilloft_consensus::Message;
use anvilloft_consensus::Node;
use anvilloft_consensus::NodeConfig;
use anvilloft_consensus::RestoredState;
use anvilloft_consensus::Role;
use anvilloft_consensus::Snapshot;
use anvilloft_consensus::message::AppendEntriesReply;
use anvilloft_consensus::message::Body;
use anvilloft_consensus::message::VoteReply;
use rstest::rstest;

const LEARNER: u64 = 4;
/// Interval between commands.
const STEP: Duration = Duration::from_millis(10);

/// The leader of three voters and a learner, which receives replies by hand.
struct Leader {
    node: Node,
    now: Duration,
}

impl Leader {
    fn start() -> Self {
        let membership = Membership::from_voters((1..=3).map(|id| (id, "")));
        let restored = RestoredState {
            snapshot: Some(Arc::new(Snapshot {
                membership: Some(membership),
                ..Snapshot::default()
            })),
            ..RestoredState::default()
        };
        let node = Node::new(NodeConfig::new(1, 0), restored, Duration::ZERO, 1);
        let now = node.deadline();
        let mut leader = Self { node, now };
        leader.node.tick(now);
        let reply = VoteReply { granted: true };
        leader.step(2, Body::PreVoteReply(reply));
        leader.step(2, Body::VoteReply(reply));
        assert_eq!(leader.node.role(), Role::Leader);
        leader.commit();
        let change = MemberChange::AddLearner {
            id: LEARNER,
            address: String::new(),
        };
        leader.node.propose_change(now, change).unwrap();
        leader.commit();
        leader
    }

    fn step(&mut self, from: u64, body: Body) {
        let msg = Message {
            group: 0,
            to: 1,
            term: 1,
            body: Some(body),
        };
        self.node.step(self.now, from, msg);
    }

    fn acknowledge(&mut self, from: u64, index: LogIndex) {
        let reply = AppendEntriesReply {
            stored: true,
            index,
            ..AppendEntriesReply::default()
        };
        self.step(from, Body::AppendEntriesReply(reply));
    }

    /// Syncs and commits everything at all voters at once.
    fn commit(&mut self) {
        let token = self.node.take_effects(self.now).token;
        self.node.on_persisted(self.now, token);
        for voter in [2, 3] {
            self.acknowledge(voter, self.node.last_index());
        }
        assert_eq!(self.node.commit_index(), self.node.last_index());
    }

    /// Commits a command every 10 ms. The learner syncs each `lag` later, and of
    /// `pace.1` entries it syncs `pace.0`. Returns whether it can be promoted.
    fn is_learner_promoted(&mut self, lag: Duration, pace: (u64, u64)) -> bool {
        let mut unacknowledged = VecDeque::new();
        let base = self.node.last_index();
        for n in 0..400 {
            self.now += STEP;
            self.node.propose(self.now, vec![7]).unwrap();
            self.commit();
            unacknowledged.push_back((self.now + lag, base + (n + 1) * pace.0 / pace.1));
            while let Some((at, index)) = unacknowledged.front().copied()
                && at <= self.now
            {
                unacknowledged.pop_front();
                self.acknowledge(LEARNER, index);
            }
            if self.now >= self.node.deadline() {
                self.node.tick(self.now);
            }
        }
        let change = MemberChange::Promote(LEARNER);
        self.node.propose_change(self.now, change).is_ok()
    }
}

struct Case {
    lag_ms: u64,
    /// Entries that the learner syncs in the time of so many commands.
    pace: (u64, u64),
    is_promoted: bool,
}

/// Guards against a learner that is never promoted because it is some entries behind at
/// every moment, and against promoting one that would delay commits for long.
#[rstest]
#[case(Case { lag_ms: 0, pace: (1, 1), is_promoted: true })]
#[case(Case { lag_ms: 50, pace: (1, 1), is_promoted: true })]
#[case(Case { lag_ms: 400, pace: (1, 1), is_promoted: true })]
#[case(Case { lag_ms: 700, pace: (1, 1), is_promoted: false })]
#[case(Case { lag_ms: 5_000, pace: (1, 1), is_promoted: false })]
#[case(Case { lag_ms: 0, pace: (1, 2), is_promoted: false })]
fn a_learner_is_promoted_under_a_steady_flow_of_commands(#[case] case: Case) {
    let mut leader = Leader::start();
    let lag = Duration::from_millis(case.lag_ms);
    let is_promoted = leader.is_learner_promoted(lag, case.pace);
    assert_eq!(is_promoted, case.is_promoted);
}
