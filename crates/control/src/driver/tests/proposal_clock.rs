//! Tests of the times of proposals.

use anvilloft_types::prelude::*;

use super::super::proposal_clock::ProposalClock;

struct Case {
    name: &'static str,
    /// Reads in order: monotonic time, wall clock and ledger time, all in milliseconds, and
    /// the expected time.
    reads: &'static [(u64, u64, u64, u64)],
}

/// Guards against crashes that count as one because the leader's clock was set back.
#[test]
fn proposals_are_as_far_apart_as_they_were_made_when_the_clock_is_set_back() {
    let cases = [
        Case {
            name: "a steady clock",
            reads: &[(0, 50_000, 0, 50_000), (700, 50_700, 50_000, 50_700)],
        },
        Case {
            name: "a step back",
            reads: &[
                (0, 50_000, 0, 50_000),
                (1_000, 21_000, 50_000, 51_000),
                (2_000, 22_000, 51_000, 52_000),
            ],
        },
        Case {
            name: "a step forward",
            reads: &[(0, 50_000, 0, 50_000), (1_000, 81_000, 50_000, 81_000)],
        },
        Case {
            name: "a new leader whose clock is behind",
            reads: &[
                (0, 50_000, 90_000, 90_000),
                (1_000, 51_000, 90_000, 91_000),
                (41_500, 91_500, 91_000, 131_500),
            ],
        },
        Case {
            name: "many reads in a millisecond",
            reads: &[
                (10, 50_000, 90_000, 90_000),
                (10, 50_000, 90_000, 90_000),
                (11, 50_001, 90_000, 90_001),
            ],
        },
    ];
    for case in cases {
        let mut clock = ProposalClock::default();
        for (now_ms, wall_ms, ledger_ms, want) in case.reads {
            let now = Duration::from_millis(*now_ms);
            let got = clock.read(now, *wall_ms, *ledger_ms);
            assert_eq!(got, *want, "{} at {now_ms} ms", case.name);
        }
    }
}
