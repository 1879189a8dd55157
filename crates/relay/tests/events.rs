//! Tests of the splitter of event streams.

use anvilloft_relay::EventSplitter;
use proptest::prelude::*;

const STREAM: &str =
    ": c\n\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n\n\nid: 3\n\nid: 4\nda";

fn split(cuts: &[usize]) -> (Vec<u8>, Vec<u8>, u64, Option<String>) {
    let mut splitter = EventSplitter::default();
    let mut whole = Vec::new();
    let mut from = 0;
    for cut in cuts {
        let events = splitter.push(&STREAM.as_bytes()[from..*cut]);
        whole.extend_from_slice(&events.unwrap_or_default());
        from = *cut;
    }
    let last_id = splitter.last_id().map(str::to_owned);
    let count = splitter.event_count();
    (whole, splitter.take_remainder().to_vec(), count, last_id)
}

proptest! {
    /// Guards against an event that is missing, split or counted twice when a stream
    /// arrives in pieces.
    #[test]
    fn pieces_do_not_change_the_events(mut cuts in proptest::collection::vec(0..STREAM.len(), 0..20)) {
        cuts.push(STREAM.len());
        cuts.sort_unstable();
        prop_assert_eq!(split(&cuts), split(&[STREAM.len()]));
        let (whole, rest, count, last_id) = split(&cuts);
        prop_assert_eq!([whole, rest].concat(), STREAM.as_bytes());
        prop_assert_eq!(count, 4);
        prop_assert_eq!(last_id.as_deref(), Some("3"));
    }
}

/// Guards against joining the events of an endpoint that goes on at another place.
#[test]
fn only_the_following_event_is_joined() {
    struct Case {
        before: &'static str,
        after: &'static str,
        joined: bool,
    }
    let case = |before, after, joined| Case {
        before,
        after,
        joined,
    };
    let cases = [
        case("id: 1\n\nid: 2\n\n", "id: 3\n\n", true),
        case("id: 1\n\nid: 2\n\n", ": c\n\nid: 3\n\n", true),
        case("id: 1\n\nid: 2\n\n", "id: 4\n\n", false),
        case("id: 1\n\nid: 2\n\n", "id: 2\n\n", false),
        case("id: 1\n\nid: 2\n\n", "id: x\n\n", false),
        case("id: 1\n\nid: 2\n\n", "data: c\n\n", false),
        case("id: 1\n\n", "id: 3\n\n", false),
        // A stream that began after an event that the caller had.
        case("id: 7\n\nid: 8\n\n", "id: 10\n\n", false),
        case("id: 7\n\n", "id: 9\n\n", true),
        // Ids with steps.
        case("id: 4\n\nid: 8\n\nid: 12\n\n", "id: 14\n\n", true),
        case("id: 4\n\nid: 8\n\nid: 12\n\n", "id: 12\n\n", false),
        case("id: a\n\nid: b\n\n", "id: c\n\n", true),
        case("id: a\n\nid: b\n\n", "id: b\n\n", false),
        case("", "id: 7\n\n", true),
        case("", "data: a\n\n", true),
        case("", "HTTP/1.1 500 Error\r\nx: y\r\n\r\n", false),
        case("id: 1\n\n", "HTTP/1.1 500 Error\r\nx: y\r\n\r\n", false),
        case(
            "id: 18446744073709551614\n\nid: 18446744073709551615\n\n",
            "id: 0\n\n",
            false,
        ),
    ];
    for c in cases {
        let mut splitter = EventSplitter::default();
        splitter.push(c.before.as_bytes()).unwrap_or_default();
        splitter.push(b"id: 3\nda").unwrap_or_default();
        splitter.resume();
        let events = splitter.push(c.after.as_bytes());
        let joined = c.joined.then_some(c.after.as_bytes());
        assert_eq!(events.as_deref(), joined, "{:?} {:?}", c.before, c.after);
    }
}
