//! One simulated router process: real allotments and settlement copies with a
//! minimal driver.

use std::collections::BTreeMap;
use std::time::Duration;

use anvilloft_budget::Allotments;
use anvilloft_budget::GrantResult;
use anvilloft_budget::SettlementCopies;
use anvilloft_ledger::Config;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::OpenIncarnation;
use anvilloft_wire::command::OrderBegin;
use anvilloft_wire::command::OrderFinish;
use anvilloft_wire::command::OrderOutcome;
use anvilloft_wire::command::OrderState;
use anvilloft_wire::command::Reply;
use anvilloft_wire::command::RouterState;
use rand::Rng;
use rand::rngs::SmallRng;

/// A request that waits for tokens or is in flight.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) budget: String,
    pub(crate) amount: u64,
    pub(crate) key: Option<[u8; 16]>,
}

/// An attempt to run an order.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) begin: OrderBegin,
    pub(crate) last_sent: Duration,
    pub(crate) finish: Option<OrderFinish>,
}

#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) open: OpenIncarnation,
    pub(crate) opened: bool,
    pub(crate) closed: bool,
    pub(crate) lease_renewed: Duration,
    pub(crate) allotments: Allotments,
    pub(crate) copies: SettlementCopies,
    pub(crate) config: Config,
    pub(crate) in_flight: Vec<(u64, Request)>,
    pub(crate) needs: BTreeMap<u64, Request>,
    pub(crate) attempts: BTreeMap<Vec<u8>, Attempt>,
    // Settled tokens by budget, and those of them that were copied to the peer.
    pub(crate) settled: BTreeMap<String, u64>,
    pub(crate) copied: BTreeMap<String, u64>,
    // Sequence number of the last report that was copied.
    pub(crate) last_copied_seq: u64,
    pub(crate) drained: bool,
}

impl Process {
    pub(crate) fn new(router: &str, incarnation: u64, address: u64) -> Self {
        Self {
            open: OpenIncarnation {
                router: router.into(),
                incarnation,
                caller_address: format!("127.0.0.{address}:80"),
                peer_address: format!("127.0.0.{address}:81"),
                data_centre: "a".into(),
                state: RouterState::Alive.into(),
            },
            opened: false,
            closed: false,
            lease_renewed: Duration::ZERO,
            allotments: Allotments::new(router.into(), incarnation),
            copies: SettlementCopies::new(),
            config: Config::new(),
            in_flight: Vec::new(),
            needs: BTreeMap::new(),
            attempts: BTreeMap::new(),
            settled: BTreeMap::new(),
            copied: BTreeMap::new(),
            last_copied_seq: 0,
            drained: false,
        }
    }

    pub(crate) fn id(&self) -> (String, u64) {
        (self.open.router.clone(), self.open.incarnation)
    }

    /// Returns whether the process may take new work.
    pub(crate) fn may_serve(&self, now: Duration) -> bool {
        self.opened
            && !self.closed
            && now.saturating_sub(self.lease_renewed) < Duration::from_secs(3)
    }

    pub(crate) fn request(&mut self, now: Duration, req: Request) {
        match self.allotments.reserve(now, &req.budget, req.amount) {
            Ok(id) => self.in_flight.push((id, req)),
            Err(need) => {
                self.needs.insert(need.need(), req);
            }
        }
    }

    /// Ends a random request in flight. Returns its budget and the tokens billed, or
    /// `None` if none was settled.
    pub(crate) fn finish_one(
        &mut self,
        now: Duration,
        rng: &mut SmallRng,
    ) -> Option<(String, u64)> {
        if self.in_flight.is_empty() {
            return None;
        }
        let i = rng.random_range(0..self.in_flight.len());
        let (id, req) = self.in_flight.swap_remove(i);
        if rng.random_ratio(1, 10) {
            self.allotments.release(now, id);
            return None;
        }
        // An engine may exceed the reservation; the excess must not be billed.
        let used = rng.random_range(0..=req.amount + 5);
        let billed = self.allotments.settle(now, id, used, req.key);
        assert!(billed <= req.amount, "a settlement exceeds its reservation");
        *self.settled.entry(req.budget.clone()).or_default() += billed;
        Some((req.budget, billed))
    }

    pub(crate) fn on_results(
        &mut self,
        now: Duration,
        results: Vec<GrantResult>,
        rng: &mut SmallRng,
    ) {
        for r in results {
            let Some(req) = self.needs.remove(&r.need) else {
                // The caller has disconnected.
                if let Ok(id) = r.outcome {
                    self.allotments.release(now, id);
                }
                continue;
            };
            if let Ok(id) = r.outcome {
                if rng.random_ratio(1, 20) {
                    self.allotments.release(now, id);
                } else {
                    self.in_flight.push((id, req));
                }
            }
        }
    }

    /// Handles the reply to `OrderBegin`. Returns whether the order is now sent to an
    /// endpoint and may have run there.
    pub(crate) fn on_order(
        &mut self,
        begin: &OrderBegin,
        reply: &Reply,
        rng: &mut SmallRng,
    ) -> bool {
        let Some(attempt) = self.attempts.get_mut(&begin.attempt) else {
            return false;
        };
        if attempt.finish.is_some() {
            return false;
        }
        let Reply::Order(o) = reply else {
            self.attempts.remove(&begin.attempt);
            return false;
        };
        if o.state() != OrderState::Run {
            self.attempts.remove(&begin.attempt);
            return false;
        }
        let outcome = match rng.random_range(0..10) {
            0..=5 => OrderOutcome::Done,
            6..=8 => OrderOutcome::NotRun,
            _ => OrderOutcome::Unknown,
        };
        attempt.finish = Some(OrderFinish {
            team: begin.team.clone(),
            key: begin.key.clone(),
            attempt: begin.attempt.clone(),
            outcome: outcome.into(),
            status: 200,
            content_type: String::new(),
            body: b"answer".to_vec(),
            body_dropped: false,
        });
        outcome != OrderOutcome::NotRun
    }

    /// Returns the commands that the process sends to control now.
    pub(crate) fn take_commands(&mut self, now: Duration) -> Vec<Body> {
        let mut commands = Vec::new();
        if !self.opened && !self.closed {
            commands.push(Body::OpenIncarnation(self.open.clone()));
        }
        if self.opened {
            while let Some(grant) = self.allotments.next_grant(now) {
                commands.push(Body::Grant(grant));
            }
        }
        if let Some(report) = self.allotments.next_report(now) {
            commands.push(Body::Report(report));
        }
        for a in self.attempts.values_mut() {
            if now.saturating_sub(a.last_sent) >= Duration::from_millis(500) {
                a.last_sent = now;
                commands.push(match &a.finish {
                    Some(f) => Body::OrderFinish(f.clone()),
                    None => Body::OrderBegin(a.begin.clone()),
                });
            }
        }
        commands
    }
}
