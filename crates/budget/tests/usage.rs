//! What a shortage says about a request that comes back.

use anvilloft_budget::Shortage;
use anvilloft_budget::Usage;

/// Guards against a 429 although the requests in flight use nearly all that they reserve,
/// and against a 402 while enough tokens are unspent, locked or about to be returned.
#[test]
fn may_cover_counts_the_tokens_that_are_likely_returned() {
    struct Case {
        name: &'static str,
        /// Reserved and used tokens of the latest requests.
        ended: &'static [(u64, u64)],
        unspent: u64,
        allotted: u64,
        locked: u64,
        /// Largest request that may be covered.
        largest: u64,
    }
    let case = |name, ended, unspent, allotted, locked, largest| Case {
        name,
        ended,
        unspent,
        allotted,
        locked,
        largest,
    };
    let cases = [
        case("no request has ended", &[], 10, 1_000, 0, 1_010),
        case("all of it is used", &[(100, 100); 8], 10, 1_000, 0, 10),
        case(
            "3 in 100 are returned",
            &[(10_000, 9_700); 64],
            10,
            1_008,
            0,
            70,
        ),
        case("half is returned", &[(100, 50); 8], 10, 1_000, 0, 1_010),
        case("no request has run", &[(100, 0); 8], 10, 1_000, 0, 1_010),
        case("a part is locked", &[(100, 100); 8], 10, 1_000, 400, 410),
        case(
            "more is locked than allotted",
            &[(100, 100); 8],
            0,
            10,
            400,
            400,
        ),
        case(
            "odd sums",
            &[(u64::MAX, 0), (u64::MAX, u64::MAX)],
            1,
            u64::MAX,
            0,
            1,
        ),
    ];
    for c in cases {
        let mut usage = Usage::default();
        for (reserved, used) in c.ended {
            usage.record(*reserved, *used);
        }
        let shortage = Shortage {
            unspent: c.unspent,
            allotted: c.allotted,
            locked: c.locked,
        };
        assert!(shortage.may_cover(c.largest, &usage), "{}", c.name);
        if let Some(more) = c.largest.checked_add(1) {
            assert!(!shortage.may_cover(more, &usage), "{}", c.name);
        }
    }
}

/// Guards against an estimate that goes by requests of long ago.
#[test]
fn usage_follows_the_latest_requests() {
    let mut usage = Usage::default();
    for _ in 0..100 {
        usage.record(1_000, 1_000);
    }
    assert_eq!(usage.max_return(1_000), 0);
    for _ in 0..64 {
        usage.record(1_000, 500);
    }
    assert!(usage.max_return(1_000) > 950, "{usage:?}");
}
