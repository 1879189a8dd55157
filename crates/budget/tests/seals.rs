//! Sealed reserves of routers that are cut off, killed and started again.

#![expect(clippy::unwrap_used, reason = "a failed call fails the test")]

use std::time::Duration;

use anvilloft_budget::Allotments;
use anvilloft_budget::Reserve;
use anvilloft_ledger::Amounts;
use anvilloft_ledger::Ledger;
use anvilloft_ledger::prepaid_budget;
use anvilloft_wire::CommandReply;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::Command;
use anvilloft_wire::command::OpenIncarnation;
use anvilloft_wire::command::Prepaid;
use anvilloft_wire::command::Publish;
use anvilloft_wire::command::RouterState;
use anvilloft_wire::command::SEAL;
use anvilloft_wire::pack::pack;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const STEP: Duration = Duration::from_millis(50);
const PREPAID: u64 = 40_000;

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap()
}

/// A control group of one, whose time of day may be wrong.
struct Control {
    ledger: Ledger,
    skew_ms: u64,
}

impl Control {
    fn new() -> Self {
        let mut control = Self {
            ledger: Ledger::new(),
            skew_ms: 1_000_000,
        };
        let publish = Publish {
            version: 1,
            source: pack(b"t").unwrap(),
            prepaid: vec![Prepaid {
                team: "t".into(),
                tokens: PREPAID,
            }],
        };
        control.apply(Duration::ZERO, Body::Publish(publish));
        control
    }

    fn apply(&mut self, now: Duration, body: Body) -> CommandReply {
        let reply = self.ledger.apply(&Command {
            at_ms: millis(now) + self.skew_ms,
            body: Some(body),
        });
        self.ledger.check();
        reply
    }

    fn amounts(&self) -> Amounts {
        self.ledger.amounts(&prepaid_budget("t")).unwrap()
    }
}

/// One process of a router.
struct Router {
    name: String,
    incarnation: u64,
    start: Duration,
    /// When the host booted.
    boot: Duration,
    allotments: Allotments,
    registered: bool,
    cut_until: Duration,
    running: Vec<(u64, u64)>,
}

impl Router {
    fn start(name: &str, incarnation: u64, now: Duration, boot: Duration) -> Self {
        let mut allotments = Allotments::new(name.into(), incarnation);
        allotments.set_demand_window(Duration::from_secs(5));
        let reserve = Reserve {
            every: Duration::from_secs(1),
            lasts: Duration::from_secs(10),
            open: Duration::from_millis(2_200),
            step: Duration::from_millis(2_500),
        };
        allotments.set_lending(reserve, now - boot);
        Self {
            name: name.into(),
            incarnation,
            start: now,
            boot,
            allotments,
            registered: false,
            cut_until: Duration::ZERO,
            running: Vec::new(),
        }
    }

    fn open(&self) -> Body {
        Body::OpenIncarnation(OpenIncarnation {
            router: self.name.clone(),
            incarnation: self.incarnation,
            caller_address: format!("{}:1", self.name),
            peer_address: format!("{}:2", self.name),
            state: RouterState::Alive.into(),
            host_ms: millis(self.start - self.boot),
            boot_unix_ms: 1_700_000_000_000 + millis(self.boot),
            ..OpenIncarnation::default()
        })
    }

    /// Serves callers for one step. Returns the tokens used.
    fn serve(&mut self, now: Duration, rng: &mut StdRng) -> u64 {
        let here = now - self.start;
        let mut used = 0;
        while rng.random_bool(0.5) {
            let most = rng.random_range(1..60);
            match self.allotments.reserve(here, &prepaid_budget("t"), most) {
                // What an endpoint has begun counts as used, whoever dies.
                Ok(id) => {
                    let amount = rng.random_range(0..=most);
                    used += amount;
                    self.running.push((id, amount));
                }
                Err(need) => self.allotments.cancel(&prepaid_budget("t"), need.need()),
            }
        }
        while self.running.len() > 3 || (!self.running.is_empty() && rng.random_bool(0.4)) {
            let (id, amount) = self.running.remove(0);
            self.allotments.settle(here, id, amount, None);
        }
        used
    }

    /// Asks for the grants that are due, and takes the replies.
    fn ask_grants(&mut self, here: Duration, control: &mut Control) {
        while let Some(grant) = self.allotments.next_grant(here) {
            let seq = grant.seq;
            let reply = control.apply(self.start + here, Body::Grant(grant));
            self.allotments.on_grant(here, seq, &reply);
        }
    }

    /// Talks to control, whose replies may be lost on the way.
    fn talk(&mut self, now: Duration, control: &mut Control, rng: &mut StdRng) {
        if now < self.cut_until {
            return;
        }
        if !self.registered {
            control.apply(now, self.open());
            self.registered = rng.random_bool(0.8);
            return;
        }
        let here = now - self.start;
        while let Some(grant) = self.allotments.next_grant(here) {
            let seq = grant.seq;
            let reply = control.apply(now, Body::Grant(grant));
            if rng.random_bool(0.8) {
                for result in self.allotments.on_grant(here, seq, &reply) {
                    if let Ok(id) = result.outcome {
                        self.allotments.release(here, id);
                    }
                }
            }
        }
        while let Some(report) = self.allotments.next_report(here) {
            let seq = report.seq;
            control.apply(now, Body::Report(report));
            if rng.random_bool(0.2) {
                break;
            }
            self.allotments.on_report_ack(here, seq);
        }
    }
}

/// Serves an even demand of 200 tokens a second for 10 s, with settlements. Returns
/// the router's time and what it then holds without a use.
fn grow_reserve(router: &mut Router, control: &mut Control) -> (Duration, u64) {
    control.apply(router.start, router.open());
    let budget = prepaid_budget("t");
    let mut here = Duration::ZERO;
    for _ in 0..200 {
        here += STEP;
        let reserved = router.allotments.reserve(here, &budget, 10);
        router.ask_grants(here, control);
        let id = reserved.unwrap_or_else(|need| need.need());
        router.allotments.settle(here, id, 10, None);
        while let Some(report) = router.allotments.next_report(here) {
            let seq = report.seq;
            control.apply(router.start + here, Body::Report(report));
            router.allotments.on_report_ack(here, seq);
        }
    }
    (here, router.allotments.holding(&budget).idle)
}

/// Guards against a team that gets more than it has paid for because tokens
/// come back that a killed router had used, over kills, cuts, lost replies,
/// recalls, hosts that boot anew and a leader whose time of day jumps.
#[test]
fn sealed_tokens_come_back_only_unused() {
    for seed in 0..300 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut control = Control::new();
        let mut used = 0;
        let begin = Duration::from_secs(100);
        let mut routers: Vec<Router> = (0..3)
            .map(|n| Router::start(&format!("r{n}"), 1, begin, Duration::ZERO))
            .collect();
        for step in 0..1_200_u32 {
            let now = begin + STEP * step;
            for router in &mut routers {
                if now < router.start {
                    continue;
                }
                used += router.serve(now, &mut rng);
                router.talk(now, &mut control, &mut rng);
                if rng.random_bool(0.004) {
                    router.cut_until = now + STEP * rng.random_range(1..160);
                }
                if rng.random_bool(0.002) {
                    let here = now - router.start;
                    router.allotments.recall(here, &prepaid_budget("t"));
                }
                if rng.random_bool(0.004) {
                    let back = now + STEP * rng.random_range(0..80);
                    let boot = match rng.random_bool(0.3) {
                        true => back - STEP,
                        false => router.boot,
                    };
                    let cut_until = router.cut_until;
                    *router = Router::start(&router.name, router.incarnation + 1, back, boot);
                    router.cut_until = cut_until;
                }
            }
            if rng.random_bool(0.002) {
                control.skew_ms = rng.random_range(990_000..1_010_000);
            }
            if rng.random_bool(0.005) {
                control.ledger = Ledger::decode(&control.ledger.encode()).unwrap();
            }
            // What is used, what may be used, and what may be granted.
            let held = |r: &Router| r.allotments.holding(&prepaid_budget("t")).idle;
            let idle: u64 = routers.iter().map(held).sum();
            let exposed = used + idle + control.amounts().unspent;
            assert!(exposed <= PREPAID, "seed {seed}, step {step}: {exposed}");
        }
    }
}

/// The load: even demand, and a process that is killed and started again. Guards
/// against tokens that nobody uses until the end of the day although they were
/// sealed, and against those that come back although the seals were broken.
#[test]
fn a_killed_router_gives_back_what_was_sealed() {
    struct Case {
        name: &'static str,
        /// Time without a reply before the kill.
        cut: Duration,
        /// Time from the kill to the next process.
        gap: Duration,
        /// When the host booted, before the kill and, if it boots anew, after it.
        booted: Duration,
        boots_after: Option<Duration>,
        /// Largest part of what the router held that is lost.
        lost: f64,
        /// Least part of it.
        least: f64,
    }
    let ms = Duration::from_millis;
    let cases = [
        Case {
            name: "killed in touch",
            cut: ms(0),
            gap: ms(800),
            booted: ms(0),
            boots_after: None,
            lost: 0.5,
            least: 0.0,
        },
        Case {
            name: "killed after a cut",
            cut: SEAL + ms(500),
            gap: ms(800),
            booted: ms(0),
            boots_after: None,
            lost: 1.0,
            least: 1.0,
        },
        Case {
            name: "started late",
            cut: ms(0),
            gap: SEAL + ms(100),
            booted: ms(0),
            boots_after: None,
            lost: 1.0,
            least: 1.0,
        },
        Case {
            name: "the host boots",
            cut: ms(0),
            gap: ms(800),
            booted: ms(0),
            boots_after: Some(ms(10)),
            lost: 1.0,
            least: 1.0,
        },
        // By uptime alone, 0.9 s seem to pass.
        Case {
            name: "the host boots and is up for as long again",
            cut: SEAL + ms(500),
            gap: ms(21_000),
            booted: ms(90_000),
            boots_after: Some(ms(100)),
            lost: 1.0,
            least: 1.0,
        },
    ];
    for c in cases {
        let begin = Duration::from_secs(100);
        let mut router = Router::start("r", 1, begin, c.booted);
        let mut control = Control::new();
        let (here, _) = grow_reserve(&mut router, &mut control);
        let held = control.amounts().allotted;
        assert!(held > 1_500, "{}: {held} held", c.name);
        let died = begin + here + c.cut;
        let boot = c.boots_after.map_or(c.booted, |after| died + after);
        let next = Router::start("r", 2, died + c.gap, boot);
        control.apply(died + c.gap, next.open());
        let left = control.amounts().allotted as f64 / held as f64;
        assert!(
            (c.least..=c.lost).contains(&left),
            "{}: {left:.2} lost",
            c.name
        );
    }
}

/// Guards against the last tokens of a budget that stay sealed at one router while
/// a peer lacks them.
#[test]
fn what_a_peer_lacks_is_unsealed() {
    let mut router = Router::start("r", 1, Duration::from_secs(100), Duration::ZERO);
    let mut control = Control::new();
    let (mut here, held) = grow_reserve(&mut router, &mut control);
    let budget = prepaid_budget("t");
    let (_, open) = router
        .allotments
        .reserve_up_to(here, &budget, u64::MAX)
        .unwrap();
    let asked = router.allotments.ask_unseal(&budget, 100);
    assert_eq!(asked, 100.min(held - open));
    assert_eq!(router.allotments.reserve_up_to(here, &budget, 100), None);
    here += Duration::from_millis(10);
    router.ask_grants(here, &mut control);
    let (_, unsealed) = router.allotments.reserve_up_to(here, &budget, 100).unwrap();
    assert_eq!(unsealed, asked);
}

/// Guards against tokens that stay sealed at a router although control counts them
/// as usable: it granted them before it was told of broken seals, and the reply came
/// after that.
#[test]
fn a_reply_that_crosses_broken_seals_leaves_nothing_sealed() {
    let mut router = Router::start("r", 1, Duration::from_secs(100), Duration::ZERO);
    let mut control = Control::new();
    let (mut here, _) = grow_reserve(&mut router, &mut control);
    let budget = prepaid_budget("t");
    // More demand, for which a grant leaves.
    here += Duration::from_secs(1);
    let id = router.allotments.reserve(here, &budget, 150).unwrap();
    let grant = router.allotments.next_grant(here).unwrap();
    assert!(grant.reserve > 0, "{grant:?}");
    let reply = control.apply(router.start + here, Body::Grant(grant.clone()));
    here += SEAL;
    router.allotments.settle(here, id, 150, None);
    router
        .allotments
        .reserve_up_to(here, &budget, u64::MAX)
        .unwrap();
    assert_eq!(router.allotments.seals_broken(), 1);
    let report = router.allotments.next_report(here).unwrap();
    control.apply(router.start + here, Body::Report(report.clone()));
    router.allotments.on_report_ack(here, report.seq);
    router.allotments.on_grant(here, grant.seq, &reply);
    // The next reply says what control counts as sealed.
    let reserved = router.allotments.reserve(here, &budget, PREPAID);
    router.ask_grants(here, &mut control);
    assert!(reserved.is_err());
    let held = router.allotments.holding(&budget).idle;
    let (_, usable) = router
        .allotments
        .reserve_up_to(here, &budget, u64::MAX)
        .unwrap();
    assert_eq!(usable, held);
}

/// Guards against a router that uses what is sealed while control answers, and
/// against one that can't use it when it is cut off.
#[test]
fn seals_break_without_replies() {
    let mut router = Router::start("r", 1, Duration::from_secs(100), Duration::ZERO);
    let mut control = Control::new();
    let (here, held) = grow_reserve(&mut router, &mut control);
    let budget = prepaid_budget("t");
    let (_, open) = router
        .allotments
        .reserve_up_to(here, &budget, u64::MAX)
        .unwrap();
    assert!(open * 2 < held, "{open} of {held} are not sealed");
    let late = here + SEAL - Duration::from_millis(1_100);
    assert_eq!(
        router.allotments.reserve_up_to(late, &budget, u64::MAX),
        None
    );
    let (_, rest) = router
        .allotments
        .reserve_up_to(here + SEAL, &budget, u64::MAX)
        .unwrap();
    assert_eq!(open + rest, held);
}
