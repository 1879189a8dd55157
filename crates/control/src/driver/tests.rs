//! Tests of the incarnation clocks, whose shortest holds are too long to wait
//! for.

use anvilloft_ledger::Ledger;
use anvilloft_types::prelude::*;
use anvilloft_wire::Command;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::OpenIncarnation;
use anvilloft_wire::command::RouterState;

use super::clocks::Clocks;

const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Lease and longest request by default, with 1 % of drift: (3 + 600) s.
const LOST: Duration = Duration::from_millis(609_030);
/// Default hold of a lost router, with 1 % of drift: 2 h.
const HOLD: Duration = Duration::from_secs(7_272);
/// Default hold of a replaced process, with 1 % of drift: 30 s.
const FLUSH: Duration = Duration::from_millis(30_300);

/// A ledger and its leader's clocks.
#[derive(Default)]
struct Leader {
    ledger: Ledger,
    clocks: Clocks,
}

impl Leader {
    fn open(&mut self, incarnation: Incarnation) {
        self.apply(Body::OpenIncarnation(OpenIncarnation {
            router: "r".into(),
            incarnation,
            caller_address: "r:1".into(),
            peer_address: "r:2".into(),
            data_centre: "a".into(),
            state: RouterState::Alive.into(),
        }));
    }

    fn apply(&mut self, body: Body) {
        let cmd = Command {
            at_ms: 0,
            body: Some(body),
        };
        self.ledger.apply(&cmd);
    }

    /// Checks that nothing is due just before a time and something at it, and
    /// applies what is due.
    fn due_at(&mut self, at: Duration) -> &'static str {
        let early = self.clocks.due(at - Duration::from_millis(1), &self.ledger);
        assert!(early.is_empty(), "{early:?} before {at:?}");
        let mut due = self.clocks.due(at, &self.ledger);
        let body = due.pop().expect("something is due");
        assert!(due.is_empty());
        let what = match &body {
            Body::OpenIncarnation(o) if o.state() == RouterState::Lost => "lost",
            Body::CloseIncarnation(_) => "close",
            other => panic!("{other:?}"),
        };
        self.apply(body);
        what
    }
}

/// Guards against allotments that are returned while their router may still
/// use or settle them.
#[test]
fn a_router_is_lost_after_its_last_request_and_closed_after_the_hold() {
    let mut leader = Leader::default();
    leader.open(1);
    leader.clocks.due(secs(100), &leader.ledger);
    leader.clocks.heard(secs(200), "r", 1);
    let lost = secs(200) + LOST;
    assert_eq!(leader.due_at(lost), "lost");
    assert!(leader.clocks.due(lost, &leader.ledger).is_empty());
    assert_eq!(leader.due_at(lost + HOLD), "close");
}

/// Guards against a new leader that goes by what an earlier one had heard, or
/// by what itself had heard in an earlier term.
#[test]
fn a_new_term_starts_every_clock_again() {
    let mut leader = Leader::default();
    leader.open(1);
    leader.clocks.due(secs(0), &leader.ledger);
    leader.clocks.restart();
    leader.clocks.due(secs(500), &leader.ledger);
    let lost = secs(500) + LOST;
    assert_eq!(leader.due_at(lost), "lost");
    leader.clocks.due(lost, &leader.ledger);
    leader.clocks.restart();
    let again = lost + secs(3_600);
    leader.clocks.due(again, &leader.ledger);
    assert_eq!(leader.due_at(again + HOLD), "close");
}

/// Guards against a hold of hours for a process that was replaced, and against
/// one that counts the time before the replacement.
#[test]
fn a_replaced_process_is_held_for_the_flush_only() {
    let mut leader = Leader::default();
    leader.open(1);
    leader.clocks.due(secs(0), &leader.ledger);
    assert_eq!(leader.due_at(LOST), "lost");
    leader.clocks.due(LOST, &leader.ledger);
    let replaced = LOST + secs(1_000);
    leader.open(2);
    leader.clocks.due(replaced, &leader.ledger);
    assert_eq!(leader.due_at(replaced + FLUSH), "close");
    assert!(leader.ledger.is_incarnation_open("r", 2));
}
