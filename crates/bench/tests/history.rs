//! The history checker: what it accepts and what it must reject.

#![expect(clippy::expect_used, reason = "a failed expectation fails the test")]

use anvilloft_bench::history::BudgetCall;
use anvilloft_bench::history::BudgetReply;
use anvilloft_bench::history::BudgetSpec;
use anvilloft_bench::history::ConfigCall;
use anvilloft_bench::history::ConfigReply;
use anvilloft_bench::history::ConfigSpec;
use anvilloft_bench::history::History;
use anvilloft_bench::history::OrderCall;
use anvilloft_bench::history::OrderEnd;
use anvilloft_bench::history::OrderReply;
use anvilloft_bench::history::OrderSpec;
use anvilloft_bench::history::Spec;
use anvilloft_bench::history::Violation;
use anvilloft_bench::history::check;
use anvilloft_bench::history::check_rising;
use anvilloft_ledger::Ledger;
use anvilloft_ledger::set_op;
use anvilloft_wire::Command;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::ConfigChange;
use anvilloft_wire::command::Grant;
use anvilloft_wire::command::OpenIncarnation;
use anvilloft_wire::command::Reply;
use anvilloft_wire::command::Report;
use anvilloft_wire::command::ReportEntry;
use anvilloft_wire::command::TopUp;
use anvilloft_wire::config::Budget;
use anvilloft_wire::config::Item;
use anvilloft_wire::config::Team;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use todc_utils::Action;
use todc_utils::Specification;
use todc_utils::WGLChecker;

/// Steps of a history: `C` makes call `n`, `R` brings its reply.
enum Step<C, R> {
    C(C),
    R(usize, R),
}
use Step::C;
use Step::R;

fn verdict<S: Spec>(spec: S, steps: Vec<Step<S::Call, S::Reply>>) -> Result<(), Violation> {
    let history = History::new();
    for step in steps {
        match step {
            C(call) => {
                history.call(call);
            }
            R(n, reply) => history.reply(n, reply),
        }
    }
    check(&spec, &history)
}

/// Guards against a checker that accepts an overspend, a top-up that applied
/// twice, a stale read or a settlement that got lost.
#[test]
fn budget_histories() {
    use BudgetCall::*;
    use BudgetReply::*;
    let top_up = || TopUp("t".into(), 10);
    let grant = |router: &str, seq, need| Grant(router.into(), seq, need);
    let cases = [
        (
            true,
            "sequential",
            vec![C(top_up()), R(0, Ok), C(Read), R(1, Amounts(10, 10, 0, 0))],
        ),
        (
            true,
            "resent",
            vec![
                C(top_up()),
                C(top_up()),
                R(0, Ok),
                R(1, Ok),
                C(Read),
                R(2, Amounts(10, 10, 0, 0)),
            ],
        ),
        (
            false,
            "applied twice",
            vec![
                C(top_up()),
                C(top_up()),
                R(0, Ok),
                R(1, Ok),
                C(Read),
                R(2, Amounts(20, 20, 0, 0)),
            ],
        ),
        (
            true,
            "unknown outcome, applied",
            vec![C(top_up()), C(Read), R(1, Amounts(10, 10, 0, 0))],
        ),
        (
            true,
            "unknown outcome, not applied",
            vec![C(top_up()), C(Read), R(1, Amounts(0, 0, 0, 0))],
        ),
        (
            false,
            "unknown outcome, undone",
            vec![
                C(top_up()),
                C(Read),
                R(1, Amounts(10, 10, 0, 0)),
                C(Read),
                R(2, Amounts(0, 0, 0, 0)),
            ],
        ),
        (
            false,
            "stale read",
            vec![C(top_up()), R(0, Ok), C(Read), R(1, Amounts(0, 0, 0, 0))],
        ),
        (
            true,
            "concurrent read",
            vec![C(top_up()), C(Read), R(0, Ok), R(1, Amounts(0, 0, 0, 0))],
        ),
        (
            false,
            "overspent",
            vec![
                C(top_up()),
                R(0, Ok),
                C(grant("a", 1, 6)),
                C(grant("b", 1, 6)),
                R(1, Granted(6)),
                R(2, Granted(6)),
            ],
        ),
        (
            true,
            "one is refused",
            vec![
                C(top_up()),
                R(0, Ok),
                C(grant("a", 1, 6)),
                C(grant("b", 1, 6)),
                R(1, Insufficient),
                R(2, Granted(6)),
            ],
        ),
        (
            false,
            "refused although covered",
            vec![
                C(top_up()),
                R(0, Ok),
                C(grant("a", 1, 6)),
                R(1, Insufficient),
            ],
        ),
        (
            false,
            "smaller than the need",
            vec![C(top_up()), R(0, Ok), C(grant("a", 1, 6)), R(1, Granted(5))],
        ),
        (
            false,
            "a resent grant gets more",
            vec![
                C(top_up()),
                R(0, Ok),
                C(grant("a", 1, 3)),
                R(1, Granted(3)),
                C(grant("a", 1, 3)),
                R(2, Granted(4)),
            ],
        ),
        (
            false,
            "a settlement got lost",
            vec![
                C(top_up()),
                R(0, Ok),
                C(grant("a", 1, 6)),
                R(1, Granted(6)),
                C(Report("a".into(), 1, 5, 1)),
                R(2, Ok),
                C(Read),
                R(3, Amounts(10, 5, 0, 4)),
            ],
        ),
    ];
    for (good, name, steps) in cases {
        assert_eq!(verdict(BudgetSpec, steps).is_ok(), good, "{name}");
    }
}

/// Guards against a checker that accepts an order that ran twice or whose
/// answer changed.
#[test]
fn order_histories() {
    use OrderCall::*;
    use OrderReply::*;
    let done = || Finish(1, OrderEnd::Done(7));
    let cases = [
        (
            true,
            "replayed",
            vec![
                C(Begin(1, 9)),
                R(0, Run),
                C(done()),
                R(1, Ok),
                C(Begin(2, 9)),
                R(2, Finished(7)),
            ],
        ),
        (
            false,
            "ran twice",
            vec![C(Begin(1, 9)), C(Begin(2, 9)), R(0, Run), R(1, Run)],
        ),
        (
            true,
            "the first resent",
            vec![C(Begin(1, 9)), C(Begin(1, 9)), R(0, Run), R(1, Run)],
        ),
        (
            false,
            "ran after unknown",
            vec![
                C(Begin(1, 9)),
                R(0, Run),
                C(Begin(2, 9)),
                R(1, Unknown),
                C(Begin(3, 9)),
                R(2, Run),
            ],
        ),
        (
            false,
            "running after unknown",
            vec![
                C(Begin(1, 9)),
                R(0, Run),
                C(Begin(2, 9)),
                R(1, Unknown),
                C(Begin(3, 9)),
                R(2, Running),
            ],
        ),
        (
            true,
            "not run, then run",
            vec![
                C(Begin(1, 9)),
                R(0, Run),
                C(Finish(1, OrderEnd::NotRun)),
                R(1, Ok),
                C(Begin(2, 9)),
                R(2, Run),
            ],
        ),
        (
            false,
            "another answer",
            vec![
                C(Begin(1, 9)),
                R(0, Run),
                C(done()),
                R(1, Ok),
                C(Begin(2, 9)),
                R(2, Finished(8)),
            ],
        ),
        (
            false,
            "finished before it was",
            vec![
                C(Begin(1, 9)),
                R(0, Run),
                C(Begin(2, 9)),
                R(1, Finished(7)),
                C(done()),
                R(2, Ok),
            ],
        ),
        (
            false,
            "another body runs",
            vec![C(Begin(1, 9)), R(0, Run), C(Begin(2, 8)), R(1, Running)],
        ),
        (
            true,
            "unknown begin ran",
            vec![C(Begin(1, 9)), C(Begin(2, 9)), R(1, Running)],
        ),
    ];
    for (good, name, steps) in cases {
        assert_eq!(verdict(OrderSpec, steps).is_ok(), good, "{name}");
    }
}

/// Guards against a checker that accepts a lost update, a change that reverts
/// or a revision that falls.
#[test]
fn config_histories() {
    use ConfigCall::*;
    use ConfigReply::*;
    let change = |id: &str, content, base| Change(id.into(), content, base);
    let read = |n, c| ConfigReply::Read(n, c);
    let cases = [
        (
            true,
            "one wins",
            vec![
                C(change("a", 1, 0)),
                C(change("b", 2, 0)),
                R(0, Conflict(1)),
                R(1, Accepted(1)),
            ],
        ),
        (
            false,
            "both win",
            vec![
                C(change("a", 1, 0)),
                C(change("b", 2, 0)),
                R(0, Accepted(1)),
                R(1, Accepted(1)),
            ],
        ),
        (
            true,
            "resent",
            vec![
                C(change("a", 1, 0)),
                C(change("a", 1, 0)),
                R(1, Accepted(1)),
                R(0, Accepted(1)),
            ],
        ),
        (
            false,
            "resent, applied again",
            vec![
                C(change("a", 1, 0)),
                R(0, Accepted(1)),
                C(change("a", 1, 0)),
                R(1, Conflict(1)),
            ],
        ),
        (
            false,
            "reverted",
            vec![
                C(change("a", 1, 0)),
                R(0, Accepted(1)),
                C(ConfigCall::Read),
                R(1, read(0, 0)),
            ],
        ),
        (
            false,
            "lost update",
            vec![
                C(change("a", 1, 0)),
                R(0, Accepted(1)),
                C(change("b", 2, 1)),
                R(1, Accepted(2)),
                C(ConfigCall::Read),
                R(2, read(2, 1)),
            ],
        ),
    ];
    for (good, name, steps) in cases {
        assert_eq!(verdict(ConfigSpec, steps).is_ok(), good, "{name}");
    }
    assert!(check_rising(&[1, 1, 4]).is_ok());
    assert!(check_rising(&[1, 4, 3]).is_err());
}

struct Register;

/// A register's call and reply.
type RegisterOp = (Option<u8>, u8);

impl Spec for Register {
    type State = u8;
    type Call = Option<u8>;
    type Reply = u8;

    fn initial(&self) -> u8 {
        0
    }

    fn step(&self, state: &u8, call: &Option<u8>, reply: Option<&u8>) -> Vec<u8> {
        match call {
            Some(value) => vec![*value],
            None if reply.is_none_or(|r| r == state) => vec![*state],
            None => vec![],
        }
    }
}

impl Specification for Register {
    type State = u8;
    type Operation = RegisterOp;

    fn init() -> u8 {
        0
    }

    fn apply((call, reply): &Self::Operation, state: &u8) -> (bool, u8) {
        match call {
            Some(value) => (true, *value),
            None => (reply == state, *state),
        }
    }
}

/// Guards against a search that is wrong: on random histories of a register
/// the verdicts agree with those of another checker.
#[test]
fn verdicts_agree_with_todc_utils() {
    let mut counts = [0, 0];
    for seed in 0..4_000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let ours = History::new();
        let mut theirs = Vec::new();
        // Per process: the call in flight, with its reply.
        let mut flying: [Option<(usize, RegisterOp)>; 4] = [None; 4];
        let mut last = 0;
        for step in 0..20 {
            let p = rng.random_range(0..4);
            if let Some((n, op)) = flying[p].take() {
                ours.reply(n, op.1);
                theirs.push((p, Action::Response(op)));
            } else if step < 14 {
                let call = rng.random_bool(0.4).then(|| rng.random_range(1..4));
                last = call.unwrap_or(last);
                // Mostly the last value, so that both verdicts occur.
                let reply = if rng.random_bool(0.85) {
                    last
                } else {
                    rng.random_range(0..4)
                };
                flying[p] = Some((ours.call(call), (call, reply)));
                theirs.push((p, Action::Call((call, reply))));
            }
        }
        for (p, call) in flying.iter().enumerate() {
            if let Some((n, op)) = call {
                ours.reply(*n, op.1);
                theirs.push((p, Action::Response(*op)));
            }
        }
        let want =
            WGLChecker::<Register>::is_linearizable(todc_utils::History::from_actions(theirs));
        assert_eq!(check(&Register, &ours).is_ok(), want, "seed {seed}");
        counts[usize::from(want)] += 1;
    }
    assert!(
        counts.iter().all(|n| *n > 400),
        "both verdicts occur: {counts:?}"
    );
}

fn call_body(call: &BudgetCall) -> Option<Body> {
    let budget = "b".to_string();
    Some(match call {
        BudgetCall::TopUp(id, amount) => Body::TopUp(TopUp {
            id: id.clone(),
            budget,
            amount: *amount,
            ..TopUp::default()
        }),
        BudgetCall::Grant(router, seq, need) => Body::Grant(Grant {
            router: router.clone(),
            incarnation: 1,
            seq: *seq,
            budget,
            need: *need,
            want: *need,
            lending: false,
        }),
        BudgetCall::Report(router, seq, settled, returned) => Body::Report(Report {
            router: router.clone(),
            incarnation: 1,
            seq: *seq,
            entries: vec![ReportEntry {
                budget,
                settled: *settled,
                returned: *returned,
                request_key: Vec::new(),
            }],
        }),
        BudgetCall::Read => return None,
    })
}

fn run(ledger: &mut Ledger, call: &BudgetCall) -> BudgetReply {
    let Some(body) = call_body(call) else {
        let a = ledger.amounts("b").expect("the budget exists");
        return BudgetReply::Amounts(a.topped_up, a.unspent, a.allotted, a.settled);
    };
    let cmd = Command {
        at_ms: 0,
        body: Some(body),
    };
    match ledger.apply(&cmd).reply {
        Some(Reply::Ok(_)) => BudgetReply::Ok,
        Some(Reply::Granted(g)) => BudgetReply::Granted(g.amount),
        Some(Reply::Insufficient(_)) => BudgetReply::Insufficient,
        _ => BudgetReply::Refused,
    }
}

/// Guards against rules in the checker that differ from the ledger's: runs of
/// the real ledger with overlapping calls and lost replies are accepted, and
/// the same runs with one changed read are not.
#[test]
fn runs_of_the_ledger_are_accepted_and_changed_ones_are_not() {
    for seed in 0..300 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut ledger = Ledger::new();
        let ops = vec![
            set_op(Item::Team(Team {
                name: "t".into(),
                ..Team::default()
            })),
            set_op(Item::Budget(Budget {
                name: "b".into(),
                team: "t".into(),
            })),
        ];
        let mut setup = vec![Body::ConfigChange(ConfigChange {
            change_id: "c".into(),
            ops,
            ..ConfigChange::default()
        })];
        for router in ["0", "1", "2", "3"] {
            setup.push(Body::OpenIncarnation(OpenIncarnation {
                router: router.into(),
                incarnation: 1,
                ..OpenIncarnation::default()
            }));
        }
        for body in setup {
            ledger.apply(&Command {
                at_ms: 0,
                body: Some(body),
            });
        }
        let (good, bad) = (History::new(), History::new());
        // Per router: call in flight, its reply once it ran, held tokens.
        let mut flying: Vec<Option<(usize, BudgetCall, Option<BudgetReply>)>> = vec![None; 4];
        let mut state = [(0_u64, 0_u64, 0_u64); 4];
        let mut changed = false;
        for step in 0..60 {
            let p = rng.random_range(0..4);
            let (grants, reports, held) = &mut state[p];
            match flying[p].take() {
                None => {
                    let call = match rng.random_range(0..5) {
                        0 => BudgetCall::TopUp(
                            rng.random_range(0..9).to_string(),
                            rng.random_range(-20..60),
                        ),
                        1 | 2 => {
                            *grants += 1;
                            BudgetCall::Grant(p.to_string(), *grants, rng.random_range(1..30))
                        }
                        3 if *held > 0 => {
                            *reports += 1;
                            let settled = rng.random_range(0..=*held);
                            let returned = *held - settled;
                            *held = 0;
                            BudgetCall::Report(p.to_string(), *reports, settled, returned)
                        }
                        _ => BudgetCall::Read,
                    };
                    bad.call(call.clone());
                    flying[p] = Some((good.call(call.clone()), call, None));
                }
                Some((n, call, None)) => {
                    let reply = run(&mut ledger, &call);
                    if let BudgetReply::Granted(amount) = reply {
                        *held += amount;
                    }
                    flying[p] = Some((n, call, Some(reply)));
                }
                // A reply gets lost now and then.
                Some((_, _, Some(_))) if rng.random_ratio(1, 15) => {}
                Some((n, _, Some(reply))) => {
                    good.reply(n, reply.clone());
                    let other = match &reply {
                        BudgetReply::Amounts(t, u, a, s) if !changed && step > 20 => {
                            changed = true;
                            BudgetReply::Amounts(*t, *u, *a, *s + 1_000)
                        }
                        _ => reply,
                    };
                    bad.reply(n, other);
                }
            }
        }
        assert_eq!(check(&BudgetSpec, &good), Ok(()), "seed {seed}");
        if changed {
            assert!(check(&BudgetSpec, &bad).is_err(), "seed {seed}");
        }
    }
}
