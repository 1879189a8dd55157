//! Bound of the requests in flight at a router.

use anvilloft_dispatch::accepts_request;

/// Guards against a router that takes more requests than its memory holds, and against
/// low ranks that leave no place for urgent work.
#[test]
fn lower_ranks_leave_places_for_urgent_requests() {
    struct Case {
        rank: u8,
        limit: usize,
        accepted: usize,
    }
    let case = |rank, limit, accepted| Case {
        rank,
        limit,
        accepted,
    };
    let cases = [
        case(0, 800, 800),
        case(1, 800, 700),
        case(2, 800, 600),
        case(255, 800, 600),
        case(0, 0, 0),
        case(0, usize::MAX, usize::MAX / 8),
    ];
    for c in cases {
        let last = c.accepted.checked_sub(1);
        assert!(last.is_none_or(|n| accepts_request(n, c.limit, c.rank)));
        assert!(!accepts_request(c.accepted, c.limit, c.rank));
    }
}
