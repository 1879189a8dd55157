//! Tests for the parser of engines' event streams.

use anvilloft_gateway::sse::EventScanner;
use anvilloft_gateway::sse::MAX_EVENT_BYTES;
use proptest::prelude::*;

fn sample_stream() -> String {
    let mut text = String::new();
    text.push_str(": keep-alive\n\n");
    for n in 0..6 {
        // The word in the content must not be mistaken for the engine's usage.
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
    /// Guards against lost, duplicated or split events when a stream is divided into
    /// chunks at arbitrary positions, and against output after `[DONE]`.
    #[test]
    fn chunk_boundaries_do_not_change_the_events(
        cuts in proptest::collection::vec(0usize..800, 0..40),
        forward in any::<bool>(),
    ) {
        let text = sample_stream() + "data: {\"choices\":[1]}\n\ndata: [DONE]\n\n";
        let mut cuts: Vec<usize> = cuts.into_iter().filter(|c| *c < text.len()).collect();
        cuts.push(text.len());
        cuts.sort_unstable();
        let mut scanner = EventScanner::new(forward);
        let mut out = Vec::new();
        let mut from = 0;
        for cut in cuts {
            let chunk = &text.as_bytes()[from..cut];
            from = cut;
            let events = scanner.push(chunk, 1000).unwrap();
            // The output always ends with a whole event.
            prop_assert!(events.is_empty() || events.ends_with(b"\n"));
            out.extend_from_slice(&events);
        }
        let mut expected = sample_stream();
        if !forward {
            let start = expected.find("data: {\"choices\":[],").unwrap();
            let end = expected.find("data: [DONE]").unwrap();
            expected.replace_range(start..end, "");
        }
        prop_assert_eq!(String::from_utf8(out).unwrap(), expected);
        prop_assert!(scanner.done);
        prop_assert_eq!(scanner.data_events, 7);
        prop_assert_eq!(scanner.usage.unwrap().total(), 9);
    }

    /// Guards against panics on arbitrary bytes.
    #[test]
    fn arbitrary_bytes_do_not_panic(chunks in proptest::collection::vec(
        proptest::collection::vec(prop_oneof![Just(b'\n'), Just(b'\r'), Just(b'"'), Just(b'u'), any::<u8>()], 0..60),
        0..20,
    )) {
        let mut scanner = EventScanner::new(false);
        for chunk in &chunks {
            scanner.push(chunk, 3).unwrap();
        }
    }
}

/// Guards against unbounded memory for an event without end, against streams longer
/// than their limit, and against error events forwarded as data.
#[test]
fn streams_are_bounded() {
    let mut scanner = EventScanner::new(false);
    let chunk = vec![b'x'; 64 * 1024];
    let accepted = (0..100)
        .take_while(|_| scanner.push(&chunk, 10).is_ok())
        .count();
    assert!(accepted * chunk.len() <= MAX_EVENT_BYTES);

    let mut scanner = EventScanner::new(false);
    let event = "data: {\"choices\":[1]}\n\n";
    let out = scanner.push(event.repeat(50).as_bytes(), 10).unwrap();
    assert_eq!(out.len(), 11 * event.len());
    assert_eq!(scanner.data_events, 11);

    let mut scanner = EventScanner::new(false);
    let text = format!("{event}data: {{\"error\":{{\"message\":\"no\"}}}}\n\n{event}");
    let out = scanner.push(text.as_bytes(), 10).unwrap();
    assert_eq!(out, event.as_bytes());
    assert!(scanner.error_seen);
}
