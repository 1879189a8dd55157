//! Arbitrary commands: determinism, snapshots and absence of panics.

#![expect(clippy::expect_used, reason = "a failed expectation fails the test")]

mod support;

use anvilloft_ledger::Ledger;
use anvilloft_ledger::LedgerError;
use anvilloft_ledger::delete_op;
use anvilloft_wire::Command;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::Expire;
use anvilloft_wire::command::OrderOutcome;
use anvilloft_wire::command::RouterState;
use anvilloft_wire::command::SuspectBegin;
use anvilloft_wire::config::Kind;
use proptest::prelude::*;
use prost::Message;
use support::*;

fn router() -> impl Strategy<Value = &'static str> {
    prop_oneof![Just("r1"), Just("r2"), Just("r3")]
}

fn budget_name() -> impl Strategy<Value = &'static str> {
    prop_oneof![Just("main"), Just("b2"), Just("none")]
}

fn amount() -> impl Strategy<Value = u64> {
    prop_oneof![0..1_000_u64, Just(u64::MAX), any::<u64>()]
}

fn body() -> impl Strategy<Value = Body> {
    let change = (0..6_u8, 0..5_u64, 0..4_u8).prop_map(|(id, base, kind)| {
        let ops = match kind {
            0 => vec![budget("b2", "alder")],
            1 => vec![delete_op(Kind::Budget, "b2")],
            2 => vec![key(&format!("k{id}"), "alder", "main", id)],
            _ => vec![default("settle_hold_ms", 60_000 + u64::from(id))],
        };
        change(&format!("c{id}"), base, ops)
    });
    prop_oneof![
        change,
        (0..9_u8, budget_name(), any::<i64>()).prop_map(|(id, b, a)| top_up(&id.to_string(), b, a)),
        (0..9_u8, budget_name(), -500..500_i64).prop_map(|(id, b, a)| top_up(
            &id.to_string(),
            b,
            a
        )),
        (router(), 0..4_u64, 0..3_u8, 0..3_i32).prop_map(|(r, n, a, s)| {
            let state = RouterState::try_from(s).expect("a state");
            open_incarnation_at(r, n, &format!("127.0.0.{a}"), state)
        }),
        (router(), 0..4_u64).prop_map(|(r, n)| close_incarnation(r, n)),
        (router(), 0..6_u64, budget_name(), amount(), amount())
            .prop_map(|(r, s, b, need, want)| grant(r, s, b, need, want)),
        (
            router(),
            0..6_u64,
            budget_name(),
            amount(),
            amount(),
            any::<Option<bool>>()
        )
            .prop_map(|(r, s, b, settled, returned, key)| {
                report(r, s, &[(b, settled, returned, key.map(u8::from))])
            }),
        (router(), 0..4_u64, 0..3_u8, 0..2_u8, 0..4_u8).prop_map(|(r, n, k, b, a)| begin_order(
            r,
            n,
            &k.to_string(),
            b,
            a
        )),
        (0..3_u8, 0..4_u8, 0..3_i32).prop_map(|(k, a, o)| {
            let outcome = OrderOutcome::try_from(o).expect("an outcome");
            finish_order(&k.to_string(), a, outcome, vec![a; 9])
        }),
        (0..3_u8, router()).prop_map(|(f, e)| {
            Body::Strike(anvilloft_wire::command::Strike {
                fingerprint: vec![f; 16],
                endpoint: e.into(),
                endpoint_incarnation: 1,
            })
        }),
        (0..3_u8, router(), router()).prop_map(|(f, r, e)| {
            Body::SuspectBegin(SuspectBegin {
                fingerprint: vec![f; 16],
                router: r.into(),
                incarnation: 1,
                endpoint: e.into(),
            })
        }),
        Just(Body::Expire(Expire {})),
    ]
}

fn commands() -> impl Strategy<Value = Vec<Command>> {
    let at = prop_oneof![Just(0_u64), 0..200_000_u64, 0..2_000_000_000_u64];
    let cmd = (at, body()).prop_map(|(at_ms, body)| Command {
        at_ms,
        body: Some(body),
    });
    proptest::collection::vec(cmd, 1..120)
}

// Returns the number of cases. The default is small, as each case applies up to
// 240 commands.
fn cases() -> u32 {
    std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(128)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(cases()))]

    /// Guards against a command that panics or breaks an invariant, a snapshot
    /// that loses or reorders state, and members that diverge after a restart.
    #[test]
    fn a_restored_ledger_behaves_like_the_original(before in commands(), after in commands()) {
        let mut original = test_ledger();
        for cmd in &before {
            let revision = original.config().revision();
            original.apply(cmd);
            original.assert_invariants();
            prop_assert!(original.config().revision() >= revision);
        }
        let buf = original.encode();
        let mut restored = Ledger::decode(&buf).expect("an intact snapshot");
        prop_assert!(restored == original, "the restored state differs");
        prop_assert_eq!(restored.encode(), buf);
        for cmd in &after {
            prop_assert_eq!(original.apply(cmd), restored.apply(cmd));
        }
        prop_assert_eq!(original.encode(), restored.encode());
    }

    /// Guards against commands from the network that make the ledger panic.
    #[test]
    fn arbitrary_bytes_do_not_panic(bufs in proptest::collection::vec(
        proptest::collection::vec(any::<u8>(), 0..64), 1..40,
    )) {
        let mut ledger = test_ledger();
        for buf in bufs {
            if let Ok(cmd) = Command::decode(buf.as_slice()) {
                ledger.apply(&cmd);
                ledger.assert_invariants();
            }
        }
    }
}

/// Guards against a damaged snapshot that is accepted as an intact one.
#[test]
fn a_damaged_snapshot_is_refused() {
    let ledger = test_ledger();
    let buf = ledger.encode();
    for i in 0..buf.len() {
        let mut damaged = buf.clone();
        damaged[i] ^= 0x10;
        assert!(Ledger::decode(&damaged).is_err(), "byte {i}");
    }
    assert!(Ledger::decode(&buf[..buf.len() - 1]).is_err());
    assert!(Ledger::decode(&[]).is_err());
    let mut newer_format = buf;
    newer_format[1] = 2;
    assert_eq!(
        Ledger::decode(&newer_format).err(),
        Some(LedgerError::UnsupportedFormat(2))
    );
}
