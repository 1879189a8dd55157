//! Headers by which endpoints say whether they want further requests.

use std::time::Duration;

use anvilloft_gateway::notice::LEAVING_HEADER;
use anvilloft_gateway::notice::endpoint_notice;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;

struct Case {
    name: &'static str,
    status: u16,
    headers: &'static [(&'static str, &'static str)],
    leaving: bool,
    pause_ms: Option<u64>,
}

const fn leaving(name: &'static str, values: &'static [(&'static str, &'static str)]) -> Case {
    Case {
        name,
        status: 200,
        headers: values,
        leaving: true,
        pause_ms: None,
    }
}

const fn stays(name: &'static str, values: &'static [(&'static str, &'static str)]) -> Case {
    Case {
        leaving: false,
        ..leaving(name, values)
    }
}

const fn pause(
    name: &'static str,
    values: &'static [(&'static str, &'static str)],
    pause_ms: Option<u64>,
) -> Case {
    Case {
        name,
        status: 503,
        headers: values,
        leaving: false,
        pause_ms,
    }
}

const CASES: &[Case] = &[
    leaving("plain", &[(LEAVING_HEADER, "1")]),
    leaving("list", &[(LEAVING_HEADER, "1, 1")]),
    leaving("twice", &[(LEAVING_HEADER, "1"), (LEAVING_HEADER, "1")]),
    leaving("mixed", &[(LEAVING_HEADER, "0"), (LEAVING_HEADER, " 1 ")]),
    stays("absent", &[]),
    stays("zero", &[(LEAVING_HEADER, "0")]),
    stays("empty", &[(LEAVING_HEADER, "")]),
    stays("another number", &[(LEAVING_HEADER, "11")]),
    stays("Retry-After beside a success", &[("retry-after", "3")]),
    pause("no Retry-After", &[], None),
    pause("seconds", &[("retry-after", "3")], Some(3_000)),
    pause("fraction", &[("retry-after", "0.25")], Some(250)),
    pause("zero", &[("retry-after", "0")], Some(0)),
    pause("negative", &[("retry-after", "-3")], None),
    pause("exponent", &[("retry-after", "1e9")], None),
    pause("infinite", &[("retry-after", "inf")], None),
    pause("no number", &[("retry-after", "NaN")], None),
    pause("two points", &[("retry-after", "1.2.3")], None),
    pause(
        "date",
        &[("retry-after", "Sat, 05 Dec 2026 15:00:00 GMT")],
        None,
    ),
    pause(
        "several",
        &[("retry-after", "1, x"), ("retry-after", "2.5")],
        Some(2_500),
    ),
];

/// Guards against an odd value that takes a sound endpoint out, or hides that one leaves
/// or asks for a pause.
#[test]
fn odd_values_neither_hide_a_notice_nor_make_one() {
    for case in CASES {
        let mut headers = HeaderMap::new();
        for (name, value) in case.headers {
            headers.append(
                HeaderName::from_static(name),
                HeaderValue::from_static(value),
            );
        }
        let status = StatusCode::from_u16(case.status).unwrap();
        let notice = endpoint_notice(status, &headers, LEAVING_HEADER);
        assert_eq!(notice.leaving, case.leaving, "{}", case.name);
        let pause_ms = case.pause_ms.map(Duration::from_millis);
        assert_eq!(notice.pause, pause_ms, "{}", case.name);
    }
}

/// Guards against a number of seconds too large for a duration, which would panic.
#[test]
fn an_absurd_pause_is_read_as_the_longest() {
    let mut headers = HeaderMap::new();
    let digits = HeaderValue::from_str(&"9".repeat(400)).unwrap();
    headers.insert("retry-after", digits);
    let notice = endpoint_notice(StatusCode::SERVICE_UNAVAILABLE, &headers, LEAVING_HEADER);
    assert_eq!(notice.pause, Some(Duration::MAX));
}
