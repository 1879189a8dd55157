//! Tests of the incarnation timers, whose shortest holds are too long to wait
//! for in real time.

mod contacts;
mod member_plan;
mod proposal_clock;

use anvilloft_ledger::Ledger;
use anvilloft_types::prelude::*;
use anvilloft_wire::Command;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::LockedReserve;
use anvilloft_wire::command::OpenIncarnation;
use anvilloft_wire::command::Report;
use anvilloft_wire::command::RouterState;

use super::timers::IncarnationTimers;

const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Default lease and longest request, (3 + 600) s, with 1 % of clock drift.
const LOST_AFTER: Duration = Duration::from_millis(609_030);
/// Default hold of a lost router, 2 h, with 1 % of clock drift.
const LOST_HOLD: Duration = Duration::from_secs(7_272);
/// Default hold of a replaced process, 30 s, with 1 % of clock drift.
const REPLACED_HOLD: Duration = Duration::from_millis(30_300);

/// A ledger and the timers of its leader.
#[derive(Default)]
struct Leader {
    ledger: Ledger,
    timers: IncarnationTimers,
    log_index: u64,
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
        self.log_index += 1;
        self.ledger.apply_at(self.log_index, &cmd);
    }

    /// Checks that nothing is due just before a time and one proposal is due at
    /// it. Applies the proposal and returns its kind.
    fn apply_due_at(&mut self, at: Duration) -> &'static str {
        let early = self
            .timers
            .due_proposals(at - Duration::from_millis(1), &self.ledger);
        assert!(early.is_empty(), "{early:?} before {at:?}");
        let mut due = self.timers.due_proposals(at, &self.ledger);
        let body = due.pop().expect("something is due");
        assert!(due.is_empty());
        let kind = match &body {
            Body::OpenIncarnation(o) if o.state() == RouterState::Lost => "lost",
            Body::CloseIncarnation(_) => "close",
            other => panic!("{other:?}"),
        };
        self.apply(body);
        kind
    }
}

/// Guards against allotments that are returned while their router may still
/// use or settle them.
#[test]
fn a_router_is_lost_after_its_last_request_and_closed_after_the_hold() {
    let mut leader = Leader::default();
    leader.open(1);
    leader.timers.due_proposals(secs(100), &leader.ledger);
    leader.timers.record_renewal(secs(200), "r", 1);
    let lost = secs(200) + LOST_AFTER;
    assert_eq!(leader.apply_due_at(lost), "lost");
    assert!(leader.timers.due_proposals(lost, &leader.ledger).is_empty());
    assert_eq!(leader.apply_due_at(lost + LOST_HOLD), "close");
}

/// Guards against a new leader that relies on lease renewals of an earlier
/// term, whether received by another leader or by itself.
#[test]
fn a_new_term_restarts_every_timer() {
    let mut leader = Leader::default();
    leader.open(1);
    leader.timers.due_proposals(secs(0), &leader.ledger);
    leader.timers.reset();
    leader.timers.due_proposals(secs(500), &leader.ledger);
    let lost = secs(500) + LOST_AFTER;
    assert_eq!(leader.apply_due_at(lost), "lost");
    leader.timers.due_proposals(lost, &leader.ledger);
    leader.timers.reset();
    let restarted = lost + secs(3_600);
    leader.timers.due_proposals(restarted, &leader.ledger);
    assert_eq!(leader.apply_due_at(restarted + LOST_HOLD), "close");
}

/// Guards against holding the allotments of a replaced process for hours, and
/// against a hold that counts the time before the replacement.
#[test]
fn a_replaced_process_gets_the_short_hold() {
    let mut leader = Leader::default();
    leader.open(1);
    leader.timers.due_proposals(secs(0), &leader.ledger);
    assert_eq!(leader.apply_due_at(LOST_AFTER), "lost");
    leader.timers.due_proposals(LOST_AFTER, &leader.ledger);
    let replaced = LOST_AFTER + secs(1_000);
    leader.open(2);
    leader.timers.due_proposals(replaced, &leader.ledger);
    assert_eq!(leader.apply_due_at(replaced + REPLACED_HOLD), "close");
    assert!(leader.ledger.is_incarnation_open("r", 2));
}

/// Guards against a reserve that is restored before the successor has told when it was
/// started, with a bound that ends after that, or more than once.
#[test]
fn a_reserve_is_restored_once_its_successor_is_known() {
    let mut leader = Leader::default();
    let report = |seq: u64| {
        Body::Report(Report {
            router: "r".into(),
            incarnation: 1,
            seq,
            entries: Vec::new(),
            locked: (seq == 2).then(|| LockedReserve {
                acked_seq: 1,
                unlock_ms: 8_000,
                amounts: Vec::new(),
            }),
        })
    };
    leader.open(1);
    leader.apply(report(1));
    leader.apply(report(2));
    let contact_at = secs(100);
    let elapsed = |until: Duration, _| Some(until.saturating_sub(contact_at));
    let due = |leader: &mut Leader, now| leader.timers.due_restores(now, &leader.ledger, elapsed);
    assert!(due(&mut leader, secs(101)).is_empty(), "it is open");
    leader.open(2);
    assert!(due(&mut leader, secs(103)).is_empty(), "no renewal yet");
    // The renewal at 103.2 s is of a process that was started at 101.2 s.
    let renewed_at = secs(103) + Duration::from_millis(200);
    leader.timers.record_age(renewed_at, "r", 2, secs(2));
    let restores = due(&mut leader, renewed_at);
    assert_eq!(restores.len(), 1);
    assert_eq!(restores[0].0.died_within_ms, 1_201);
    assert!(due(&mut leader, renewed_at).is_empty(), "proposed before");
    leader.apply(Body::RestoreReserve(restores[0].0.clone()));
    assert!(
        due(&mut leader, renewed_at + secs(10)).is_empty(),
        "restored"
    );
}
