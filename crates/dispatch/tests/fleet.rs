//! What callers get from many routers that each hear from a few others.

#![expect(clippy::expect_used, reason = "helpers of tests fail like tests")]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use anvilloft_dispatch::Announcement;
use anvilloft_dispatch::Ask;
use anvilloft_dispatch::Dispatcher;
use anvilloft_dispatch::DispatcherConfig;
use anvilloft_dispatch::Outcome;
use anvilloft_dispatch::Part;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const ROUTERS: usize = 60;
const ENGINES: usize = 100;
/// Peers whose work a router hears of.
const PEERS: usize = 10;
const TELL_EVERY_MS: u64 = 500;
const ANNOUNCE_EVERY_MS: u64 = 1_200;
const MEMORY: u64 = 395_000;
/// Prompt tokens that an engine reads in a millisecond.
const READ_PER_MS: f64 = 51.0;
/// Time that an answer takes after its first event.
const ANSWER_MS: f64 = 600.0;
/// Shared parts in use, and their length in tokens.
const PARTS: u64 = 700;
const SHARED: u64 = 13_300;
/// Longest time to the first event that is on time.
const OBJECTIVE_MS: f64 = 1_000.0;
const RUN_MS: u64 = 30_000;

/// An engine that reads prompts one after another and keeps all shared parts.
#[derive(Default)]
struct Engine {
    free_ms: f64,
    kept: BTreeSet<u64>,
}

struct Running {
    router: usize,
    engine: String,
    no: u64,
    first_ms: f64,
    told: bool,
}

#[derive(Debug)]
struct Outcomes {
    /// Shared parts that were read though some engine kept them, as a share of
    /// all requests.
    read_again: f64,
    /// Share of the requests with a first event in time.
    in_time: f64,
}

fn said(at: usize, seq: u64) -> Announcement {
    Announcement {
        id: format!("e{at:03}"),
        incarnation: 1,
        seq,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        service: "s".into(),
        data_centre: format!("dc{}", at % 3),
        slots: 24,
        leaving: false,
        left: false,
        warm_up: Duration::ZERO,
        age: Duration::ZERO,
    }
}

/// Plays prompts that arrive at random routers, `per_s` in all.
fn play(per_s: f64) -> Outcomes {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut routers: Vec<Dispatcher> = (0..ROUTERS)
        .map(|r| {
            let mut d = Dispatcher::new(DispatcherConfig::new(format!("dc{}", r % 3)), r as u64);
            d.set_routers(ROUTERS);
            for e in 0..ENGINES {
                d.announce(Duration::ZERO, said(e, 1));
            }
            d
        })
        .collect();
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
    let mut anywhere = BTreeSet::new();
    let mut running: Vec<Running> = Vec::new();
    let (mut asked, mut again, mut good) = (0_u32, 0_u32, 0_u32);
    for ms in 0..RUN_MS {
        let now = Duration::from_millis(ms);
        let at = ms as f64;
        if ms % ANNOUNCE_EVERY_MS == 0 {
            for d in &mut routers {
                for e in 0..ENGINES {
                    d.announce(now, said(e, ms + 2));
                }
            }
        }
        // Routers tell their peers in turn.
        for r in (0..ROUTERS).filter(|r| (ms + *r as u64 * 7).is_multiple_of(TELL_EVERY_MS)) {
            let (work, reads) = (routers[r].own_work(now), routers[r].take_reads());
            for p in 1..=PEERS {
                let peer = &mut routers[(r + p) % ROUTERS];
                peer.peer_work(now, &format!("r{r}"), work.clone());
                peer.peer_reads(&reads, |_| Some(MEMORY));
            }
        }
        if rng.random::<f64>() < per_s / 1e3 {
            let r = rng.random_range(0..ROUTERS);
            let part = rng.random_range(0..PARTS);
            let no = u64::from(asked);
            asked += 1;
            let own = rng.random_range(500..7_000);
            let prompt = [
                Part {
                    id: part,
                    tokens: SHARED,
                },
                Part {
                    id: 1 << 40 | no,
                    tokens: own,
                },
            ];
            let ask = Ask {
                service: "s",
                engine_memory: Some(MEMORY),
                level: 0,
                prompt: &prompt,
                tried: &[],
            };
            let pick = routers[r].choose(now, &ask).expect("engines are there");
            routers[r].started(now, &pick.endpoint, no, &ask);
            let index: usize = pick.endpoint[1..].parse().expect("a number");
            let engine = &mut engines[index];
            let mut read = own;
            if engine.kept.insert(part) {
                read += SHARED;
                again += u32::from(!anywhere.insert(part));
            }
            let first_ms = engine.free_ms.max(at) + read as f64 / READ_PER_MS;
            engine.free_ms = first_ms;
            good += u32::from(first_ms - at <= OBJECTIVE_MS);
            running.push(Running {
                router: r,
                engine: pick.endpoint,
                no,
                first_ms,
                told: false,
            });
        }
        for run in running.iter_mut().filter(|r| !r.told && r.first_ms <= at) {
            run.told = true;
            routers[run.router].first_event(now, &run.engine, run.no);
        }
        running.retain(|run| {
            let ended = run.first_ms + ANSWER_MS <= at;
            if ended {
                routers[run.router].finished(now, &run.engine, 1, run.no, Outcome::Ok);
            }
            !ended
        });
    }
    let share = |count: u32| f64::from(count) / f64::from(asked);
    Outcomes {
        read_again: share(again),
        in_time: share(good),
    }
}

struct Case {
    /// Requests a second; the engines can read 1,300 if no shared part is read
    /// again, and 300 if all are.
    per_s: f64,
    /// Least share in time.
    in_time: f64,
    /// Largest share for which a shared part is read again.
    read_again: f64,
}

const CASES: [Case; 2] = [
    Case {
        per_s: 120.0,
        in_time: 0.99,
        read_again: 0.01,
    },
    Case {
        per_s: 600.0,
        in_time: 0.9,
        read_again: 0.05,
    },
];

/// The load: prompts with shared parts from 60 routers, each of which hears from
/// 10 others. Guards against routers that take one prompt of a peer for a queue of
/// the whole fleet and send prompts away from the engine that keeps their part.
#[test]
fn prompts_stay_with_the_engine_that_keeps_their_part() {
    for case in CASES {
        let got = play(case.per_s);
        assert!(got.in_time >= case.in_time, "{}/s: {got:?}", case.per_s);
        assert!(
            got.read_again <= case.read_again,
            "{}/s: {got:?}",
            case.per_s
        );
    }
}
