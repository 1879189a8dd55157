//! Attribution of endpoint crashes to requests and to parts of their prompts.

#![expect(clippy::expect_used, reason = "a failed expectation fails the test")]

mod support;

use anvilloft_ledger::Ledger;
use anvilloft_wire::Command;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::Crash;
use anvilloft_wire::command::CrashedRequest;
use anvilloft_wire::command::Expire;
use anvilloft_wire::command::ReleaseQuarantine;
use anvilloft_wire::command::Reply;
use anvilloft_wire::command::ReportCrashes;
use anvilloft_wire::command::RequestTrait;
use anvilloft_wire::control::Query;
use support::apply_at;
use support::refusal_code;
use support::test_ledger;

/// Time between two crashes with causes of their own, in milliseconds.
const APART_MS: u64 = 1_000;

/// A request at a crashed endpoint: its number, its parts, and those of them that were
/// answered before.
struct Seen {
    whole: u8,
    parts: &'static [u8],
    answered: &'static [u8],
    /// Number of its prompt.
    prompt: Option<u8>,
    /// Whether another endpoint had broken it off before.
    sent_on: bool,
}

fn seen(whole: u8, parts: &'static [u8], answered: &'static [u8]) -> Seen {
    Seen {
        whole,
        parts,
        answered,
        prompt: None,
        sent_on: false,
    }
}

impl Seen {
    fn with_prompt(mut self, n: u8) -> Self {
        self.prompt = Some(n);
        self
    }

    fn sent_on(mut self) -> Self {
        self.sent_on = true;
        self
    }
}

fn to_trait(n: u8, answered: &[u8]) -> RequestTrait {
    RequestTrait {
        fingerprint: vec![n; 16],
        answered: answered.contains(&n),
        ..RequestTrait::default()
    }
}

fn crash(endpoint: usize, requests: &[Seen]) -> Body {
    let requests = requests.iter().map(|r| CrashedRequest {
        whole: Some(to_trait(r.whole, r.answered)),
        parts: r.parts.iter().map(|p| to_trait(*p, r.answered)).collect(),
        prompt: r.prompt.map(|n| vec![n; 16]).unwrap_or_default(),
        sent_on: r.sent_on,
    });
    Body::ReportCrashes(ReportCrashes {
        crashes: vec![Crash {
            endpoint: format!("e{endpoint}"),
            endpoint_incarnation: 1,
            requests: requests.collect(),
            age_ms: 0,
        }],
    })
}

fn report(ledger: &mut Ledger, at_ms: u64, body: Body) -> Vec<u8> {
    match apply_at(ledger, at_ms, body) {
        Reply::Quarantined(q) => q.fingerprints.iter().map(|f| f[0]).collect(),
        other => panic!("not a reply to a report: {other:?}"),
    }
}

struct Case {
    name: &'static str,
    /// Requests seen at each crash.
    crashes: Vec<Vec<Seen>>,
    /// Time between two crashes, in milliseconds.
    apart_ms: u64,
    /// What is quarantined after the last crash.
    want: &'static [u8],
}

/// Guards against a part that crashes one endpoint after the other, and against sound
/// requests that are refused in its place.
#[test]
fn what_crashes_have_in_common_is_quarantined() {
    // Part 1 is shared by sound requests, part 9 crashes endpoints.
    let deadly = |whole| seen(whole, &[1, 9], &[1]);
    let cases = [
        Case {
            name: "two crashes are too few",
            crashes: vec![vec![deadly(101)], vec![deadly(102)]],
            apart_ms: APART_MS,
            want: &[],
        },
        Case {
            name: "a part in different requests",
            crashes: vec![vec![deadly(101)], vec![deadly(102)], vec![deadly(103)]],
            apart_ms: APART_MS,
            want: &[9],
        },
        Case {
            name: "a first part that no router saw answered clears nothing",
            crashes: (101..104).map(|w| vec![seen(w, &[1, 9], &[])]).collect(),
            apart_ms: APART_MS,
            want: &[9],
        },
        Case {
            name: "a part among bystanders",
            crashes: (0..3)
                .map(|n| {
                    vec![
                        deadly(101 + n),
                        seen(111 + n, &[1, 2], &[1]),
                        seen(121 + n, &[3], &[3]),
                    ]
                })
                .collect(),
            apart_ms: APART_MS,
            want: &[9],
        },
        Case {
            name: "copies of one request",
            crashes: (0..3).map(|_| vec![deadly(101)]).collect(),
            apart_ms: APART_MS,
            want: &[101],
        },
        Case {
            name: "a part in requests that differ in their prompts alone",
            crashes: (201..204)
                .map(|n| vec![seen(101, &[1, 9], &[1, 101]).with_prompt(n)])
                .collect(),
            apart_ms: APART_MS,
            want: &[9],
        },
        Case {
            name: "copies of a request that was answered before",
            crashes: (0..5)
                .map(|_| vec![seen(101, &[1, 9], &[1, 101]).with_prompt(201)])
                .collect(),
            apart_ms: APART_MS,
            want: &[],
        },
        Case {
            name: "a request that was never answered, with any prompt",
            crashes: (201..204)
                .map(|n| vec![seen(101, &[1, 9], &[1]).with_prompt(n)])
                .collect(),
            apart_ms: APART_MS,
            want: &[101],
        },
        Case {
            name: "a request without a prompt",
            crashes: (0..3).map(|_| vec![seen(101, &[], &[])]).collect(),
            apart_ms: APART_MS,
            want: &[101],
        },
        Case {
            name: "copies of one request, then others with its part",
            crashes: vec![
                vec![deadly(101)],
                vec![deadly(101)],
                vec![deadly(101)],
                vec![deadly(102)],
            ],
            apart_ms: APART_MS,
            want: &[9, 101],
        },
        Case {
            name: "endpoints that fail together",
            crashes: (101..109).map(|w| vec![seen(w, &[2], &[])]).collect(),
            apart_ms: 10,
            want: &[],
        },
        Case {
            name: "a request that is sent on from one crash to the next",
            crashes: vec![
                vec![seen(101, &[], &[]), seen(111, &[], &[])],
                vec![seen(101, &[], &[]).sent_on(), seen(111, &[], &[]).sent_on()],
                vec![seen(101, &[], &[]).sent_on(), seen(112, &[], &[])],
            ],
            apart_ms: 10,
            want: &[101],
        },
        Case {
            name: "copies of one request at endpoints that fail together",
            crashes: (0..8).map(|_| vec![seen(101, &[], &[])]).collect(),
            apart_ms: 10,
            want: &[],
        },
        Case {
            name: "a request that is sent on while other endpoints fail, too",
            crashes: [101, 102, 101, 103, 101, 101]
                .map(|w| vec![seen(w, &[], &[]).sent_on()])
                .into(),
            apart_ms: 10,
            want: &[],
        },
        Case {
            name: "equal requests that were answered before, as endpoints fail together",
            crashes: (0..8)
                .map(|_| vec![seen(101, &[], &[101]).sent_on()])
                .collect(),
            apart_ms: 10,
            want: &[],
        },
        Case {
            name: "crashes without anything in common",
            crashes: (0..20)
                .map(|n| vec![seen(100 + n, &[1], &[1])])
                .take(5)
                .collect(),
            apart_ms: APART_MS,
            want: &[],
        },
        Case {
            name: "a part that was sound before",
            crashes: (101..107).map(|w| vec![seen(w, &[1], &[1])]).collect(),
            apart_ms: APART_MS,
            want: &[1],
        },
        Case {
            name: "two parts",
            crashes: vec![
                vec![seen(101, &[1, 8], &[1])],
                vec![seen(102, &[1, 9], &[1])],
                vec![seen(103, &[1, 8], &[1])],
                vec![seen(104, &[1, 9], &[1])],
                vec![seen(105, &[1, 8], &[1])],
                vec![seen(106, &[1, 9], &[1])],
            ],
            apart_ms: APART_MS,
            want: &[8, 9],
        },
    ];
    for case in cases {
        let mut ledger = test_ledger();
        let mut quarantined = Vec::new();
        for (n, requests) in case.crashes.iter().enumerate() {
            let at_ms = (n as u64 + 1) * case.apart_ms;
            quarantined = report(&mut ledger, at_ms, crash(n, requests));
            ledger = Ledger::decode(&ledger.encode()).expect("an intact snapshot");
        }
        assert_eq!(quarantined, case.want, "{}", case.name);
    }
}

/// Guards against one crash that counts several times because several routers saw it.
#[test]
fn reports_of_one_crash_are_merged() {
    let mut ledger = test_ledger();
    for n in 0..5 {
        let got = report(
            &mut ledger,
            n * APART_MS,
            crash(0, &[seen(100 + n as u8, &[9], &[])]),
        );
        assert!(got.is_empty(), "report {n}");
    }
}

/// Guards against a sound part that is refused because a router that has not served it
/// lately saw requests with it at endpoints that failed for other reasons.
#[test]
fn a_part_that_another_router_served_just_before_is_not_blamed() {
    let mut ledger = test_ledger();
    for n in 0..10_u8 {
        let at_ms = u64::from(n) * APART_MS;
        let mut busy = to_trait(1, &[1]);
        busy.answered_lately = true;
        let busy = Body::ReportCrashes(ReportCrashes {
            crashes: vec![Crash {
                endpoint: format!("e{n}"),
                endpoint_incarnation: 1,
                requests: vec![CrashedRequest {
                    whole: Some(to_trait(100 + n, &[])),
                    parts: vec![busy],
                    prompt: Vec::new(),
                    ..CrashedRequest::default()
                }],
                age_ms: 0,
            }],
        });
        report(&mut ledger, at_ms, busy);
        let idle = crash(usize::from(n), &[seen(150 + n, &[1], &[])]);
        let got = report(&mut ledger, at_ms + 1, idle);
        assert!(got.is_empty(), "crash {n}");
    }
}

/// Guards against a sound part that is refused because endpoints that failed together
/// were reported one after the other.
#[test]
fn crashes_that_are_reported_late_count_from_when_they_were_noticed() {
    let mut ledger = test_ledger();
    for n in 0..4_u8 {
        let mut body = crash(usize::from(n), &[seen(101 + n, &[9], &[])]);
        let age_ms = u64::from(n) * 300;
        if let Body::ReportCrashes(r) = &mut body {
            r.crashes[0].age_ms = age_ms;
        }
        let got = report(&mut ledger, 10_000 + age_ms, body);
        assert!(got.is_empty(), "crash {n}");
    }
}

/// Guards against a deadly part that isn't found because control was unreachable, so that
/// all crashes were reported at once.
#[test]
fn crashes_that_are_reported_together_count_from_when_they_were_noticed() {
    let mut ledger = test_ledger();
    let crashes = (0..3_u8).map(|n| {
        let Body::ReportCrashes(r) = crash(usize::from(n), &[seen(101 + n, &[1, 9], &[1])]) else {
            panic!("not a report");
        };
        let mut crash = r.crashes[0].clone();
        crash.age_ms = 20_000 - u64::from(n) * APART_MS;
        crash
    });
    let together = Body::ReportCrashes(ReportCrashes {
        crashes: crashes.collect(),
    });
    assert_eq!(report(&mut ledger, 30_000, together), [9]);
}

/// Guards against a deadly part that is free again for as many crashes as at first.
#[test]
fn one_crash_after_the_quarantine_renews_it() {
    let mut ledger = test_ledger();
    let quarantine_ms = ledger.config().value("condemn_ms", "");
    let deadly = |n: u8| crash(usize::from(n), &[seen(100 + n, &[1, 9], &[1])]);
    for n in 0..3 {
        report(&mut ledger, u64::from(n) * APART_MS, deadly(n));
    }
    let end_ms = 2 * APART_MS + quarantine_ms;
    let late = report(&mut ledger, end_ms - 1, deadly(3));
    assert_eq!(late, [9], "a request that was sent before it was known");
    apply_at(&mut ledger, end_ms, Body::Expire(Expire {}));
    assert!(ledger.quarantined_fingerprints().is_empty(), "released");
    assert_eq!(report(&mut ledger, end_ms + 1, deadly(4)), [9], "renewed");
}

/// Guards against a sound part that is refused again after each crash of an endpoint,
/// though it was answered since its release.
#[test]
fn one_crash_after_an_answer_does_not_renew_a_quarantine() {
    let mut ledger = test_ledger();
    let quarantine_ms = ledger.config().value("condemn_ms", "");
    for n in 0..3 {
        let body = crash(n, &[seen(100 + n as u8, &[9], &[])]);
        report(&mut ledger, n as u64 * APART_MS, body);
    }
    let end_ms = 2 * APART_MS + quarantine_ms;
    let answered = crash(4, &[seen(104, &[9], &[9])]);
    assert!(report(&mut ledger, end_ms + 1, answered).is_empty());
}

/// Guards against memory that grows with every crash and every request.
#[test]
fn records_of_crashes_are_bounded() {
    let mut ledger = test_ledger();
    for n in 0..200_usize {
        let fingerprint = |kind: u64, k: u64| {
            let id = (n as u64) << 32 | k << 4 | kind;
            RequestTrait {
                fingerprint: [id.to_be_bytes(), id.to_be_bytes()].concat(),
                ..RequestTrait::default()
            }
        };
        let requests = (0..200).map(|k| CrashedRequest {
            whole: Some(fingerprint(0, k)),
            parts: vec![fingerprint(1, k)],
            prompt: Vec::new(),
            ..CrashedRequest::default()
        });
        let body = Body::ReportCrashes(ReportCrashes {
            crashes: vec![Crash {
                endpoint: format!("e{n}"),
                endpoint_incarnation: 1,
                requests: requests.collect(),
                age_ms: 0,
            }],
        });
        apply_at(&mut ledger, n as u64, body);
    }
    let bytes = ledger.encode().len();
    assert!(bytes < 2 * 1024 * 1024, "the snapshot has {bytes} bytes");
}

/// Guards against a list of quarantined traits that routers take for an older one.
#[test]
fn each_change_of_the_quarantined_traits_has_a_larger_version() {
    let mut ledger = test_ledger();
    let quarantine_ms = ledger.config().value("condemn_ms", "");
    let deadly = |n: usize| crash(n, &[seen(100 + n as u8, &[1, 9], &[1])]);
    let after_quarantine_ms = 3 * APART_MS + quarantine_ms;
    let steps = [
        ("the first crash", APART_MS, deadly(0), 0),
        ("the second crash", 2 * APART_MS, deadly(1), 0),
        ("the quarantine", 3 * APART_MS, deadly(2), 13),
        ("a late report", 3 * APART_MS + 1, deadly(2), 13),
        ("an hour", after_quarantine_ms, Body::Expire(Expire {}), 15),
        ("the renewal", after_quarantine_ms + 1, deadly(3), 16),
    ];
    for (index, (name, at_ms, body, want)) in (11..).zip(steps) {
        let cmd = Command {
            at_ms,
            body: Some(body),
        };
        ledger.apply_at(index, &cmd);
        assert_eq!(ledger.quarantine_version(), want, "{name}");
        assert_eq!(ledger.quarantined().version, Some(want), "{name}");
        ledger = Ledger::decode(&ledger.encode()).expect("an intact snapshot");
    }
}

struct AnswerCase {
    name: &'static str,
    /// Parts of the requests at each crash, in order. Part 9 is deadly.
    parts: &'static [u8],
    /// Time from the last answer with each other part to each crash, in milliseconds.
    sound_before_ms: u64,
    /// Number of crashes.
    crashes: u64,
    want: &'static [u8],
}

/// Guards against a sound part that is refused, in place of the deadly one or for crashes
/// of other causes, though it was answered between the crashes.
#[test]
fn a_part_that_was_answered_between_crashes_is_not_blamed_for_the_earlier_ones() {
    /// Time between two crashes, in milliseconds.
    const SLOW_MS: u64 = 5_000;
    let cases = [
        AnswerCase {
            name: "crashes of other causes",
            parts: &[1],
            sound_before_ms: 3_000,
            crashes: 20,
            want: &[],
        },
        AnswerCase {
            name: "a deadly first part that was answered before it became deadly",
            parts: &[9, 1],
            sound_before_ms: 3_000,
            crashes: 6,
            want: &[9],
        },
        AnswerCase {
            name: "a deadly middle part that was answered before it became deadly",
            parts: &[1, 9, 2],
            sound_before_ms: 3_000,
            crashes: 6,
            want: &[9],
        },
        AnswerCase {
            name: "a part that was not answered since the first crash",
            parts: &[1],
            sound_before_ms: 60_000,
            crashes: 6,
            want: &[1],
        },
    ];
    for case in cases {
        let mut ledger = test_ledger();
        let mut quarantined = Vec::new();
        for n in 0..case.crashes {
            let at_ms = 100_000 + n * SLOW_MS;
            let parts = case.parts.iter().map(|part| RequestTrait {
                fingerprint: vec![*part; 16],
                answered: true,
                answered_lately: false,
                answer_age_ms: Some(match part {
                    9 => 50_000 + n * SLOW_MS,
                    _ => case.sound_before_ms,
                }),
            });
            let request = CrashedRequest {
                whole: Some(to_trait(100 + n as u8, &[])),
                parts: parts.collect(),
                prompt: Vec::new(),
                ..CrashedRequest::default()
            };
            let body = Body::ReportCrashes(ReportCrashes {
                crashes: vec![Crash {
                    endpoint: format!("e{n}"),
                    endpoint_incarnation: 1,
                    requests: vec![request],
                    age_ms: 0,
                }],
            });
            quarantined = report(&mut ledger, at_ms, body);
            ledger = Ledger::decode(&ledger.encode()).expect("an intact snapshot");
        }
        assert_eq!(quarantined, case.want, "{}", case.name);
    }
}

fn release(change_id: &str, reason: &str, fingerprint: &[u8]) -> Body {
    Body::ReleaseQuarantine(ReleaseQuarantine {
        change_id: change_id.into(),
        author: "operator".into(),
        reason: reason.into(),
        fingerprint: fingerprint.to_vec(),
    })
}

/// Guards against a sound part that operators can't release, and against a resent release
/// that ends a later quarantine.
#[test]
fn a_quarantine_is_released_once_for_each_change_id() {
    let mut ledger = test_ledger();
    let deadly = |n: u8| crash(usize::from(n), &[seen(100 + n, &[1, 9], &[1])]);
    for n in 0..3 {
        report(&mut ledger, u64::from(n) * APART_MS, deadly(n));
    }
    let part = [9; 16];
    let id_of_change = "a".repeat(40);
    let cases = [
        ("a wrong length", release("r0", "r", &[9; 3]), "malformed"),
        ("no id", release("", "r", &part), "bad_name"),
        (
            "another part",
            release("r1", "r", &[1; 16]),
            "unknown_quarantine",
        ),
        ("the part", release("r1", "r", &part), ""),
        ("the same again", release("r1", "r", &part), ""),
        (
            "another reason",
            release("r1", "s", &part),
            "change_id_reused",
        ),
        (
            "another id",
            release(&id_of_change, "r", &part),
            "unknown_quarantine",
        ),
    ];
    for (name, body, want) in cases {
        let reply = apply_at(&mut ledger, 4 * APART_MS, body);
        assert_eq!(refusal_code(&reply), want, "{name}");
        ledger = Ledger::decode(&ledger.encode()).expect("an intact snapshot");
    }
    assert!(ledger.quarantined_fingerprints().is_empty(), "released");
    for (n, want) in [(3, &[][..]), (4, &[]), (5, &[9])] {
        let at_ms = (2 + u64::from(n)) * APART_MS;
        assert_eq!(report(&mut ledger, at_ms, deadly(n)), want, "crash {n}");
    }
    apply_at(&mut ledger, 9 * APART_MS, release("r1", "r", &part));
    assert_eq!(
        ledger.quarantined_fingerprints(),
        [part],
        "not released again"
    );
}

/// Guards against operators who don't see what is refused, and why.
#[test]
fn quarantines_are_listed_with_their_kind_and_end() {
    let mut ledger = test_ledger();
    let quarantine_ms = ledger.config().value("condemn_ms", "");
    for n in 0..3_u8 {
        let body = crash(usize::from(n), &[seen(100 + n, &[1, 9], &[1])]);
        report(&mut ledger, u64::from(n) * APART_MS, body);
    }
    for n in 3..6_u8 {
        let body = crash(usize::from(n), &[seen(101, &[], &[])]);
        report(&mut ledger, u64::from(n) * APART_MS, body);
    }
    let query = Query {
        kind: "quarantines".into(),
        ..Query::default()
    };
    let text = ledger.query(&query).expect("a list");
    let row = |n: u8, kind: &str, since_ms: u64| {
        let fingerprint = format!("{n:02x}").repeat(16);
        let until_ms = since_ms + quarantine_ms;
        format!(
            "{{\"crashes\":3,\"fingerprint\":\"{fingerprint}\",\"kind\":\"{kind}\",\
             \"since_ms\":{since_ms},\"until_ms\":{until_ms}}}"
        )
    };
    let want = [
        row(101, "request", 5 * APART_MS),
        row(9, "part", 2 * APART_MS),
    ];
    assert_eq!(text, format!("[{}]", want.join(",")));
}
