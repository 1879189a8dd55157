//! The choice of an endpoint, one rule at a time.

use std::net::SocketAddr;
use std::time::Duration;

use anvilloft_dispatch::Announcement;
use anvilloft_dispatch::Ask;
use anvilloft_dispatch::Change;
use anvilloft_dispatch::Dispatcher;
use anvilloft_dispatch::DispatcherConfig;
use anvilloft_dispatch::NoEndpoint;
use anvilloft_dispatch::Outcome;
use anvilloft_dispatch::Part;
use anvilloft_dispatch::Reason;
use anvilloft_dispatch::RepeatBudget;

const SECOND: Duration = Duration::from_secs(1);
const MEMORY: u64 = 400_000;

fn said(id: &str, centre: &str) -> Announcement {
    Announcement {
        id: id.into(),
        incarnation: 1,
        seq: 1,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        service: "s".into(),
        data_centre: centre.into(),
        slots: 4,
        leaving: false,
        left: false,
        warm_up: Duration::ZERO,
        age: Duration::ZERO,
    }
}

fn dispatcher(ids: &[(&str, &str)]) -> Dispatcher {
    let mut d = Dispatcher::new(DispatcherConfig::new("a"), 1);
    for (id, centre) in ids {
        assert_eq!(d.announce(Duration::ZERO, said(id, centre)), Change::Added);
    }
    d
}

fn plain<'a>(tried: &'a [String]) -> Ask<'a> {
    Ask {
        service: "s",
        engine_memory: None,
        level: 0,
        prompt: &[],
        tried,
    }
}

fn prompt(shared: u64, own: u64) -> [Part; 2] {
    [
        Part {
            id: shared,
            tokens: 13_000,
        },
        Part {
            id: own,
            tokens: 3_000,
        },
    ]
}

fn engine<'a>(prompt: &'a [Part], level: u8) -> Ask<'a> {
    Ask {
        service: "s",
        engine_memory: Some(MEMORY),
        level,
        prompt,
        tried: &[],
    }
}

/// Guards against work for an endpoint that is leaving, was tried, or is of
/// another service, and against a wait in the own data centre while a slot
/// elsewhere is free.
#[test]
fn a_plain_request_goes_to_a_free_endpoint_nearby() {
    let mut d = dispatcher(&[("e1", "a"), ("e2", "b")]);
    let pick =
        |d: &mut Dispatcher, tried: &[String]| d.choose(SECOND, &plain(tried)).map(|p| p.endpoint);
    assert_eq!(pick(&mut d, &[]), Ok("e1".into()));
    assert_eq!(pick(&mut d, &["e1".into()]), Ok("e2".into()));
    assert_eq!(
        pick(&mut d, &["e1".into(), "e2".into()]),
        Err(NoEndpoint::Tried)
    );
    for no in 0..4 {
        d.started(SECOND, "e1", no, &plain(&[]));
    }
    assert_eq!(pick(&mut d, &[]), Ok("e2".into()));
    let leaving = Announcement {
        leaving: true,
        seq: 2,
        ..said("e2", "b")
    };
    assert_eq!(d.announce(SECOND, leaving), Change::Leaving);
    assert_eq!(pick(&mut d, &[]), Ok("e1".into()));
    let other = Ask {
        service: "t",
        ..plain(&[])
    };
    assert_eq!(d.choose(SECOND, &other), Err(NoEndpoint::None));
}

/// Guards against an endpoint that fails every request and still gets its
/// share, because its health check passes.
#[test]
fn an_endpoint_that_fails_is_avoided_until_it_answers_again() {
    struct Case {
        outcome: Outcome,
        count: u64,
    }
    let cases = [
        Case {
            outcome: Outcome::Unreachable,
            count: 1,
        },
        Case {
            outcome: Outcome::Broken,
            count: 1,
        },
        Case {
            outcome: Outcome::Failed,
            count: 6,
        },
        Case {
            outcome: Outcome::Full,
            count: 1,
        },
    ];
    for c in cases {
        let mut d = dispatcher(&[("e1", "a"), ("e2", "b")]);
        for no in 0..c.count {
            d.started(SECOND, "e1", no, &plain(&[]));
            d.finished(SECOND, "e1", 1, no, c.outcome);
            d.started(SECOND, "e2", no, &plain(&[]));
            d.finished(SECOND, "e2", 1, no, Outcome::Ok);
        }
        let pick = d.choose(SECOND, &plain(&[])).unwrap();
        assert_eq!(pick.endpoint, "e2", "after {:?}", c.outcome);
        let only = d.choose(SECOND, &plain(&["e2".into()])).unwrap();
        assert_eq!(only.reason, Reason::LastResort, "after {:?}", c.outcome);
    }
}

/// Guards against a router that forgets all endpoints while it is cut off from
/// control, and against one that keeps a dead endpoint while it is not.
#[test]
fn silence_counts_only_in_touch_with_control() {
    let mut d = dispatcher(&[("e1", "a")]);
    assert_eq!(d.expire(30 * SECOND, false), Vec::<String>::new());
    assert!(d.choose(30 * SECOND, &plain(&[])).is_ok());
    let mut d = dispatcher(&[("e1", "a"), ("e2", "a")]);
    d.announce(
        6 * SECOND,
        Announcement {
            seq: 2,
            ..said("e2", "a")
        },
    );
    let pick = d.choose(6 * SECOND, &plain(&[])).unwrap();
    assert_eq!(pick.endpoint, "e2", "e1 is silent");
    assert_eq!(d.expire(10 * SECOND, true), ["e1"]);
}

/// Guards against a late announcement of an earlier run, and of an endpoint
/// that has left.
#[test]
fn an_older_announcement_changes_nothing() {
    let mut d = dispatcher(&[("e1", "a")]);
    let later = Announcement {
        incarnation: 2,
        ..said("e1", "a")
    };
    assert_eq!(d.announce(SECOND, later), Change::Added);
    assert_eq!(
        d.announce(
            SECOND,
            Announcement {
                seq: 9,
                ..said("e1", "a")
            }
        ),
        Change::Stale
    );
    let left = Announcement {
        incarnation: 2,
        left: true,
        leaving: true,
        ..said("e1", "a")
    };
    assert_eq!(d.announce(SECOND, left), Change::Leaving);
    let renewed = Announcement {
        incarnation: 2,
        seq: 5,
        ..said("e1", "a")
    };
    assert_eq!(d.announce(SECOND, renewed), Change::Stale);
    assert_eq!(d.choose(SECOND, &plain(&[])), Err(NoEndpoint::None));
}

/// Guards against a notice of leaving that is dropped because it reached a
/// control member which had not heard of the endpoint before.
#[test]
fn a_notice_of_leaving_without_an_incarnation_holds_for_the_known_one() {
    let mut d = dispatcher(&[("e1", "a")]);
    let left = Announcement {
        incarnation: 0,
        seq: 0,
        left: true,
        leaving: true,
        ..said("e1", "a")
    };
    assert_eq!(d.announce(SECOND, left.clone()), Change::Leaving);
    assert_eq!(d.announce(SECOND, left), Change::Stale);
    assert_eq!(d.choose(SECOND, &plain(&[])), Err(NoEndpoint::None));
}

/// Guards against routers that send prompts with the same shared part to
/// different engines, each of which would read it.
#[test]
fn routers_that_know_nothing_of_each_other_choose_one_engine() {
    let ids: Vec<String> = (0..12).map(|n| format!("e{n}")).collect();
    let known: Vec<(&str, &str)> = ids.iter().map(|id| (id.as_str(), "a")).collect();
    for shared in 0..20 {
        let picks: Vec<String> = (0..8)
            .map(|seed| {
                let mut d = Dispatcher::new(DispatcherConfig::new("a"), seed);
                for (id, centre) in &known {
                    d.announce(Duration::ZERO, said(id, centre));
                }
                let prompt = prompt(shared, 1_000 + seed);
                d.choose(SECOND, &engine(&prompt, 0)).unwrap().endpoint
            })
            .collect();
        assert!(
            picks.iter().all(|p| *p == picks[0]),
            "part {shared}: {picks:?}"
        );
    }
}

/// The load: prompts that begin with one of 4 parts that many have in common,
/// then with one of 733 that few do, at a large pool and at a small one. Guards
/// against a few engines that get the prompts of the whole pool.
#[test]
fn common_first_parts_leave_no_engine_idle() {
    /// Share of the prompts at one engine, over an even share, when a quarter of
    /// the engines gets them all.
    const MOST: f64 = 4.0;
    struct Case {
        engines: u64,
        /// Engines that get any prompt, at least.
        used: usize,
    }
    let cases = [
        Case {
            engines: 12,
            used: 8,
        },
        Case {
            engines: 140,
            used: 90,
        },
    ];
    for c in cases {
        let mut counts = vec![0_u64; c.engines as usize];
        let prompts = 4_000;
        let mut d = Dispatcher::new(DispatcherConfig::new("a"), 1);
        // Other routers exist, of which nothing is known.
        d.set_routers(75);
        for n in 0..c.engines {
            d.announce(Duration::ZERO, said(&format!("e{n}"), "a"));
        }
        for n in 0..prompts {
            let part = |id, tokens| Part { id, tokens };
            let last = n * 7_919 % 733;
            let parts = [
                part(1 + last % 4, 2_520),
                part(100 + last, 3_780),
                part(10_000 + n, 2_890),
            ];
            let pick = d.choose(SECOND, &engine(&parts, 1)).unwrap();
            let at: usize = pick.endpoint[1..].parse().unwrap();
            counts[at] += 1;
        }
        let most = *counts.iter().max().unwrap() as f64 * c.engines as f64 / prompts as f64;
        let used = counts.iter().filter(|n| **n > 0).count();
        assert!(most <= MOST, "{} engines: {most:.1}", c.engines);
        assert!(used >= c.used, "{} engines: {used} used", c.engines);
    }
}

/// Guards against urgent prompts that leave the engine which has read their
/// shared part because a less urgent request waits there.
#[test]
fn less_urgent_requests_delay_no_urgent_prompt() {
    let mut d = dispatcher(&[("e1", "a"), ("e2", "a")]);
    let (first, low) = (prompt(7, 1), prompt(8, 2));
    let home = d.choose(SECOND, &engine(&first, 0)).unwrap().endpoint;
    d.started(SECOND, &home, 1, &engine(&first, 0));
    d.first_event(SECOND, &home, 1);
    d.started(SECOND, &home, 2, &engine(&low, 2));
    let later = 5 * SECOND;
    let (again, lower) = (prompt(7, 3), prompt(7, 4));
    assert_eq!(d.choose(later, &engine(&again, 0)).unwrap().endpoint, home);
    assert_ne!(d.choose(later, &engine(&lower, 2)).unwrap().endpoint, home);
}

/// The load: an outage in which every request is repeated. Guards against
/// repeats beyond the share of the requests.
#[test]
fn repeats_stay_a_share_of_the_requests() {
    let mut budget = RepeatBudget::new(10 * SECOND, 0.1, 2.0);
    let mut taken = 0;
    for n in 0..100_u32 {
        let now = n * Duration::from_millis(50);
        budget.request(now);
        taken += u32::from(budget.take(now));
    }
    assert_eq!(taken, 12);
    assert!(!budget.take(5 * SECOND));
    assert!(budget.take(30 * SECOND), "the window has passed");
}
