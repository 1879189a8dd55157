//! Streams of engines, read event by event.

use anvilloft_gateway::sse::MAX_EVENT_BYTES;
use anvilloft_gateway::sse::Scanner;
use proptest::prelude::*;

fn stream() -> String {
    let mut text = String::new();
    text.push_str(": keep-alive\n\n");
    for n in 0..6 {
        // The word in the content must not count as the engine's usage.
        text.push_str(&format!(
            "data: {{\"choices\":[{{\"delta\":{{\"content\":\"\\\"usage\\\":{n} ü\"}}}}],\"usage\":null}}\n\n"
        ));
    }
    text.push_str("data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\r\n\r\n");
    text.push_str(
        "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":6}}\n\n",
    );
    text.push_str("data: [DONE]\n\n");
    text
}

proptest! {
    /// Guards against lost, doubled or halved events when a stream is cut into
    /// pieces at any place, and against bytes after `[DONE]`.
    #[test]
    fn any_cut_gives_the_same_events(
        cuts in proptest::collection::vec(0usize..800, 0..40),
        forward in any::<bool>(),
    ) {
        let text = stream() + "data: {\"choices\":[1]}\n\ndata: [DONE]\n\n";
        let mut cuts: Vec<usize> = cuts.into_iter().filter(|c| *c < text.len()).collect();
        cuts.push(text.len());
        cuts.sort_unstable();
        let mut scanner = Scanner::new(forward);
        let mut out = Vec::new();
        let mut from = 0;
        for cut in cuts {
            let piece = &text.as_bytes()[from..cut];
            from = cut;
            let whole = scanner.push(piece, 1000).unwrap();
            // Whatever came out ends with a whole event.
            prop_assert!(whole.is_empty() || whole.ends_with(b"\n"));
            out.extend_from_slice(&whole);
        }
        let mut wanted = stream();
        if !forward {
            let start = wanted.find("data: {\"choices\":[],").unwrap();
            let end = wanted.find("data: [DONE]").unwrap();
            wanted.replace_range(start..end, "");
        }
        prop_assert_eq!(String::from_utf8(out).unwrap(), wanted);
        prop_assert!(scanner.done);
        prop_assert_eq!(scanner.events, 7);
        prop_assert_eq!(scanner.usage.unwrap().total(), 9);
    }

    /// Guards against panics on arbitrary bytes.
    #[test]
    fn arbitrary_bytes_do_no_harm(pieces in proptest::collection::vec(
        proptest::collection::vec(prop_oneof![Just(b'\n'), Just(b'\r'), Just(b'"'), Just(b'u'), any::<u8>()], 0..60),
        0..20,
    )) {
        let mut scanner = Scanner::new(false);
        for piece in &pieces {
            scanner.push(piece, 3).unwrap();
        }
    }
}

/// Guards against memory taken by an event without end, against streams longer
/// than their limit, and against errors passed on as answers.
#[test]
fn streams_are_bounded() {
    let mut scanner = Scanner::new(false);
    let piece = vec![b'x'; 64 * 1024];
    let pieces = (0..100)
        .take_while(|_| scanner.push(&piece, 10).is_ok())
        .count();
    assert!(pieces * piece.len() <= MAX_EVENT_BYTES);

    let mut scanner = Scanner::new(false);
    let event = "data: {\"choices\":[1]}\n\n";
    let out = scanner.push(event.repeat(50).as_bytes(), 10).unwrap();
    assert_eq!(out.len(), 11 * event.len());
    assert_eq!(scanner.events, 11);

    let mut scanner = Scanner::new(false);
    let text = format!("{event}data: {{\"error\":{{\"message\":\"no\"}}}}\n\n{event}");
    let out = scanner.push(text.as_bytes(), 10).unwrap();
    assert_eq!(out, event.as_bytes());
    assert!(scanner.failed);
}
