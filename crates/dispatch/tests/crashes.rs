//! What one router reports of crashed endpoints.

use std::time::Duration;

use anvilloft_dispatch::CrashWatch;
use anvilloft_dispatch::CrashedEndpoint;
use anvilloft_dispatch::PromptPart;
use anvilloft_dispatch::QuarantineList;
use anvilloft_dispatch::RequestTraits;
use anvilloft_types::Fingerprint;

const START: Duration = Duration::from_secs(100);

fn traits(body: &str, parts: &[u64]) -> RequestTraits {
    let prompt: Vec<PromptPart> = parts
        .iter()
        .chain([&99])
        .map(|id| PromptPart {
            id: *id,
            tokens: 10,
        })
        .collect();
    RequestTraits::new(&[body.as_bytes()], &prompt)
}

fn list(version: Option<u64>, traits: Vec<Fingerprint>) -> QuarantineList {
    QuarantineList { traits, version }
}

struct Case {
    name: &'static str,
    /// Time from an answer with part 1 to the crash; `None` without an answer.
    answered_before: Option<Duration>,
    /// Result of the check of the endpoint.
    crashed: bool,
    /// Reported parts, and whether each was answered before, and shortly before.
    want: Option<&'static [(u64, bool, bool)]>,
}

/// Guards against reports that blame parts which endpoints answer all the time, or
/// endpoints that only broke a connection.
#[test]
fn only_requests_that_may_have_crashed_an_endpoint_are_reported() {
    let cases = [
        Case {
            name: "nothing answered",
            answered_before: None,
            crashed: true,
            want: Some(&[(1, false, false), (9, false, false)]),
        },
        Case {
            name: "the first part was answered just before",
            answered_before: Some(Duration::from_millis(500)),
            crashed: true,
            want: Some(&[(1, true, true), (9, false, false)]),
        },
        Case {
            name: "the first part was answered long before",
            answered_before: Some(Duration::from_secs(10)),
            crashed: true,
            want: Some(&[(1, true, false), (9, false, false)]),
        },
        Case {
            name: "the endpoint is alive",
            answered_before: None,
            crashed: false,
            want: None,
        },
    ];
    for case in cases {
        let mut watch = CrashWatch::default();
        if let Some(before) = case.answered_before {
            watch.record_answer(START - before, &traits("sound", &[1]));
        }
        let broken = traits("deadly", &[1, 9]);
        assert!(watch.record_broken(START, "e1", 7, broken.clone()));
        assert!(
            !watch.record_broken(START, "e1", 7, broken.clone()),
            "{}: one check at a time",
            case.name
        );
        assert!(watch.take_reports(START).is_empty(), "{}", case.name);
        watch.record_check(START, "e1", 7, case.crashed);
        let reports = watch.take_reports(START);
        let part = |id: &u64| traits("", &[*id]).parts[0];
        let got: Option<Vec<_>> = reports.first().map(|r| {
            assert_eq!((r.endpoint.as_str(), r.incarnation), ("e1", 7));
            assert_eq!(r.requests.len(), 2, "{}", case.name);
            assert_eq!(r.requests[0].whole.fingerprint, broken.whole);
            r.requests[0]
                .parts
                .iter()
                .map(|p| (p.fingerprint, p.answered_at.is_some(), p.answered_lately))
                .collect()
        });
        let want: Option<Vec<_>> = case.want.map(|w| {
            w.iter()
                .map(|(id, answered, lately)| (part(id), *answered, *lately))
                .collect()
        });
        assert_eq!(got, want, "{}", case.name);
        assert!(watch.take_reports(START).is_empty(), "reported once");
    }
}

/// Guards against a sound part that is blamed while the first streams with it still run, as
/// after a restart of all routers, and against a request that is cleared by the beginning
/// of its answer.
#[test]
fn a_stream_that_goes_on_clears_its_parts_but_not_itself() {
    let mut watch = CrashWatch::default();
    let request = traits("any", &[1]);
    watch.record_progress(START, &request);
    watch.record_broken(START, "e1", 7, request);
    watch.record_check(START, "e1", 7, true);
    let reports = watch.take_reports(START);
    let reported = &reports[0].requests[0];
    assert_eq!(reported.whole.answered_at, None);
    assert_eq!(reported.parts[0].answered_at, Some(START));
}

/// Guards against a request that is missing in the report because its connection broke
/// after the crash was known.
#[test]
fn a_request_that_breaks_after_the_check_is_reported() {
    let mut watch = CrashWatch::default();
    watch.record_broken(START, "e1", 7, traits("a", &[1]));
    watch.record_check(START, "e1", 7, true);
    watch.take_reports(START);
    assert!(!watch.record_broken(START, "e1", 7, traits("b", &[2])));
    let reports: Vec<CrashedEndpoint> = watch.take_reports(START);
    assert_eq!(reports.len(), 1);
    assert_eq!(
        reports[0].requests[0].whole.fingerprint,
        traits("b", &[2]).whole
    );
}

/// Guards against a deadly part that isn't found because the requests with it have equal
/// bodies.
#[test]
fn requests_with_equal_bodies_are_told_apart_by_their_prompts() {
    let request = |own: u64| {
        let prompt = [1, 9, own].map(|id| PromptPart { id, tokens: 10 });
        RequestTraits::new(&[b"body"], &prompt)
    };
    assert_eq!(request(5).whole, request(6).whole);
    assert_eq!(request(5).prompt, request(5).prompt);
    assert_ne!(request(5).prompt, request(6).prompt);
    let mut watch = CrashWatch::default();
    watch.record_broken(START, "e1", 7, request(5));
    watch.record_check(START, "e1", 7, true);
    let reports = watch.take_reports(START);
    assert_eq!(reports[0].requests[0].prompt, request(5).prompt);
}

/// Guards against sound requests that are refused for the last part of a prompt, which
/// is their own, or for another part.
#[test]
fn only_requests_with_a_quarantined_trait_are_refused() {
    let mut watch = CrashWatch::default();
    let deadly = traits("a", &[1, 9]);
    let quarantined = vec![deadly.parts[1], traits("copy", &[]).whole];
    watch.set_quarantined(list(None, quarantined));
    for (name, request, want) in [
        ("the part", traits("b", &[2, 9]), true),
        ("the whole request", traits("copy", &[]), true),
        ("another part", traits("c", &[1, 2]), false),
        ("the same last part", traits("d", &[1]), false),
    ] {
        assert_eq!(watch.is_quarantined(&request), want, "{name}");
    }
    assert!(watch.set_quarantined(list(None, Vec::new())));
    assert!(!watch.is_quarantined(&deadly), "released");
}

/// How a list of quarantined traits reached the router.
#[derive(Clone, Copy, Debug)]
enum Source {
    Lease,
    Push,
}

struct ListCase {
    name: &'static str,
    /// Lists in the order of their arrival: source, version, and whether it has the trait.
    lists: &'static [(Source, Option<u64>, bool)],
    want: bool,
}

/// Guards against a quarantine that a lease from before it takes back, and against a
/// released trait that a late message quarantines again.
#[test]
fn a_list_from_before_the_known_one_changes_no_quarantine() {
    use Source::Lease;
    use Source::Push;
    let cases = [
        ListCase {
            name: "a lease from before the first quarantine",
            lists: &[(Push, Some(7), true), (Lease, Some(0), false)],
            want: true,
        },
        ListCase {
            name: "a lease from before a later quarantine",
            lists: &[
                (Lease, Some(3), false),
                (Push, Some(7), true),
                (Lease, Some(3), false),
            ],
            want: true,
        },
        ListCase {
            name: "a push from before the release",
            lists: &[(Lease, Some(9), false), (Push, Some(7), true)],
            want: false,
        },
        ListCase {
            name: "a release",
            lists: &[(Lease, Some(7), true), (Push, Some(9), false)],
            want: false,
        },
        ListCase {
            name: "a push of an older member",
            lists: &[(Push, None, true), (Push, None, false)],
            want: true,
        },
        ListCase {
            name: "a lease of an older member",
            lists: &[(Push, Some(7), true), (Lease, None, false)],
            want: false,
        },
        ListCase {
            name: "a lease after one of an older member",
            lists: &[(Lease, None, false), (Lease, Some(7), true)],
            want: true,
        },
    ];
    let deadly = traits("a", &[1, 9]);
    for case in cases {
        let mut watch = CrashWatch::default();
        for (source, version, has_trait) in case.lists {
            let known = match has_trait {
                true => vec![deadly.parts[1]],
                false => Vec::new(),
            };
            match source {
                Lease => watch.set_quarantined(list(*version, known)),
                Push => watch.push_quarantined(list(*version, known)),
            };
        }
        assert_eq!(watch.is_quarantined(&deadly), case.want, "{}", case.name);
    }
}

/// Guards against quarantines that never change again after control lost its log.
#[test]
fn the_list_of_a_new_log_replaces_that_of_the_lost_one() {
    let deadly = traits("a", &[1, 9]);
    let mut watch = CrashWatch::default();
    watch.set_quarantined(list(Some(900), deadly.parts.clone()));
    watch.forget_quarantine_version();
    assert!(watch.is_quarantined(&deadly), "until the next list");
    watch.set_quarantined(list(Some(0), Vec::new()));
    assert!(!watch.is_quarantined(&deadly));
}

/// Guards against a part that counts as harmless after its quarantine because of an
/// answer from before it.
#[test]
fn answers_from_before_a_quarantine_are_forgotten() {
    let mut watch = CrashWatch::default();
    let deadly = traits("a", &[1, 9]);
    watch.record_answer(START, &deadly);
    watch.set_quarantined(list(None, vec![deadly.parts[1]]));
    watch.set_quarantined(list(None, Vec::new()));
    watch.record_broken(START, "e1", 7, deadly);
    watch.record_check(START, "e1", 7, true);
    let reports = watch.take_reports(START);
    let parts = &reports[0].requests[0].parts;
    let answered: Vec<bool> = parts.iter().map(|p| p.answered_at.is_some()).collect();
    assert_eq!(answered, [true, false]);
}

/// Guards against memory that grows with every request.
#[test]
fn answers_that_are_remembered_are_bounded() {
    let mut watch = CrashWatch::default();
    for n in 0..20_000_u64 {
        let now = START + Duration::from_millis(n);
        watch.record_answer(now, &traits(&n.to_string(), &[n]));
    }
    let now = START + Duration::from_secs(20);
    watch.record_broken(now, "e1", 7, traits("x", &[1, 19_999]));
    watch.record_check(now, "e1", 7, true);
    let reports = watch.take_reports(now);
    let answered: Vec<(bool, bool)> = reports[0].requests[0]
        .parts
        .iter()
        .map(|p| (p.answered_at.is_some(), p.answered_lately))
        .collect();
    assert_eq!(
        answered,
        [(false, false), (true, true)],
        "the newest is remembered, the oldest not"
    );
}

/// Guards against a part that counts as never answered because many requests without it
/// were answered since.
#[test]
fn answered_parts_outlast_the_requests_that_share_them() {
    let mut watch = CrashWatch::default();
    watch.record_answer(START, &traits("seldom", &[1]));
    for n in 0..20_000_u64 {
        let now = START + Duration::from_millis(n);
        watch.record_answer(now, &traits(&n.to_string(), &[2]));
    }
    let now = START + Duration::from_secs(20);
    watch.record_broken(now, "e1", 7, traits("x", &[1]));
    watch.record_check(now, "e1", 7, true);
    let reports = watch.take_reports(now);
    assert_eq!(reports[0].requests[0].parts[0].answered_at, Some(START));
}
