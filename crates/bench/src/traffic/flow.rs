//! The life of a request in the model: what the gateway does around the
//! decision code.

use std::time::Duration;

use anvilloft_admission::AdmissionRequest;
use anvilloft_admission::Capacity;
use anvilloft_admission::Decision;
use anvilloft_routing::Failure;
use anvilloft_routing::NoRoute;
use anvilloft_routing::Outcome;
use anvilloft_routing::suspect::PendingStrike;
use anvilloft_routing::suspect::Permission;
use anvilloft_types::Fingerprint;
use anvilloft_types::Incarnation;

use super::ledger::Permit;
use super::tally;
use super::workload::RANKS;
use super::world::Attempt;
use super::world::COMMIT;
use super::world::Ev;
use super::world::Resend;
use super::world::TRIP;
use super::world::World;

/// Attempts of one request, the first included.
const MOST_TRIES: u32 = 4;
/// Time after which a suspect asks for its permit again.
const PERMIT_RETRY: Duration = Duration::from_millis(250);
/// Longest time that a suspect waits for a permit.
const PERMIT_WAIT: Duration = Duration::from_secs(30);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    Served,
    Refused,
    Failed,
    Cut,
    Condemned,
}

impl World {
    pub(super) fn capacity(&mut self, r: usize) {
        let req = anvilloft_routing::RouteRequest {
            model: super::engine::MODEL,
            ..Default::default()
        };
        let router = &mut self.routers[r];
        let room = router.selector.capacity(self.now, &req);
        router.admission.set_capacity(
            self.now,
            Capacity {
                urgent_slots: room.max_in_flight,
                ..Capacity::slots(room.slots)
            },
        );
    }

    pub(super) fn arrive(&mut self, no: usize) {
        let req = &self.reqs[no];
        let (a, r) = (req.a, req.router);
        if !req.resent && a.at >= self.warm {
            self.tally.cell(a.team, a.rank).offered += 1;
            self.tally.offered_tokens += f64::from(a.prompt + a.out);
        }
        if self.routers[r].condemned.contains(&a.fingerprint) {
            self.end(no, End::Condemned);
            return;
        }
        let offer = AdmissionRequest {
            id: no as u64,
            team: format!("team{:02}", a.team),
            weight: 1,
            rank: RANKS[a.rank].to_owned(),
            tokens: u64::from(a.estimate),
            max_wait: None,
            urgent_share_percent: None,
        };
        match self.routers[r].admission.enqueue(self.now, offer) {
            Ok(()) => self.pump(r),
            Err(_) => self.end(no, End::Refused),
        }
    }

    /// Takes the decisions that are due at a router.
    pub(super) fn pump(&mut self, r: usize) {
        self.capacity(r);
        for no in std::mem::take(&mut self.routers[r].pending) {
            if !self.try_route(no) {
                self.routers[r].pending.push_back(no);
            }
        }
        for verdict in self.routers[r].admission.poll(self.now) {
            match verdict {
                Decision::Start { id, level, .. } => {
                    let no = id as usize;
                    self.reqs[no].admitted = true;
                    self.reqs[no].level = level;
                    self.route(no);
                }
                Decision::Refuse { id, .. } => self.end(id as usize, End::Refused),
            }
        }
    }

    pub(super) fn route(&mut self, no: usize) {
        if !self.reqs[no].ended && !self.try_route(no) {
            let r = self.reqs[no].router;
            self.routers[r].pending.push_back(no);
        }
    }

    /// Returns whether the request needs no other call of this function.
    fn try_route(&mut self, no: usize) -> bool {
        if self.reqs[no].ended {
            return true;
        }
        let r = self.reqs[no].router;
        let req = &self.reqs[no];
        let mut wanted = Self::route_request(req, &req.tried);
        let suspects = &self.routers[r].suspects;
        let permit = suspects.check(&wanted.fingerprint) == Permission::PermitRequired;
        wanted.suspect = permit;
        let choice = match self.routers[r].selector.choose(self.now, &wanted) {
            Ok(choice) => choice,
            Err(NoRoute::Excluded) => {
                self.reqs[no].tried.clear();
                return false;
            }
            Err(_) => {
                let waited = self.now.saturating_sub(self.reqs[no].a.at);
                if waited > PERMIT_WAIT * 2 {
                    self.end(no, End::Failed);
                    return true;
                }
                return false;
            }
        };
        let ep = self
            .engines
            .binary_search_by(|e| e.id.cmp(&choice.endpoint))
            .unwrap_or(0);
        let at = self.attempts.len();
        self.attempts.push(Attempt {
            req: no,
            router: r,
            ep,
            inc: choice.incarnation,
            open: true,
            permit,
            sent: self.now,
            engine_start: None,
            first: None,
            gap: Duration::ZERO,
        });
        let tokens = u64::from(self.reqs[no].a.estimate);
        let router = &mut self.routers[r];
        router
            .selector
            .started(self.now, &choice.endpoint, at as u128, tokens);
        if permit {
            // A suspect may wait long for its permit; its slot goes to others.
            if self.reqs[no].admitted {
                self.reqs[no].admitted = false;
                router.admission.finish(self.now, no as u64, 0);
            }
            self.after(TRIP, Ev::PermitAsk(at));
        } else {
            self.send(at);
        }
        true
    }

    fn send(&mut self, at: usize) {
        let a = &mut self.attempts[at];
        a.sent = self.now;
        let (r, no, ep, inc) = (a.router, a.req, a.ep, a.inc);
        self.reqs[no].tries += 1;
        let f = fingerprint(self.reqs[no].a.fingerprint);
        let id = &self.engines[ep].id;
        self.routers[r].suspects.started(id, inc, at as u128, f);
        self.after(TRIP, Ev::AtEngine(at));
        self.first_byte_limit(at);
    }

    pub(super) fn permit_ask(&mut self, at: usize) {
        let a = &self.attempts[at];
        let f = self.reqs[a.req].a.fingerprint;
        let reply = self.ledger.begin(f, a.ep);
        self.after(COMMIT + TRIP, Ev::PermitReply(at, reply));
    }

    pub(super) fn permit_reply(&mut self, at: usize, reply: Permit) {
        let (r, no, ep) = {
            let a = &self.attempts[at];
            (a.router, a.req, a.ep)
        };
        if reply == Permit::Run {
            self.send(at);
            return;
        }
        self.attempts[at].open = false;
        let id = self.engines[ep].id.clone();
        self.routers[r]
            .selector
            .finished(self.now, &id, at as u128, Outcome::Cancelled);
        if reply == Permit::Condemned {
            self.end(no, End::Condemned);
        } else if self.now.saturating_sub(self.reqs[no].a.at) > PERMIT_WAIT {
            self.end(no, End::Failed);
        } else {
            self.after(PERMIT_RETRY, Ev::Retry(no));
        }
    }

    pub(super) fn first_byte(&mut self, at: usize) {
        let a = &mut self.attempts[at];
        // The endpoint may have died in the meantime.
        let runs = self.engines[a.ep]
            .running
            .iter()
            .any(|j| j.attempt == at as u128);
        if !a.open || !runs {
            return;
        }
        a.first = Some(self.now);
        let (r, ep, no) = (a.router, a.ep, a.req);
        self.reqs[no].first_byte = true;
        let id = &self.engines[ep].id;
        self.routers[r]
            .selector
            .first_byte(self.now, id, at as u128);
    }

    pub(super) fn done(&mut self, at: usize) {
        if !self.attempts[at].open {
            return;
        }
        let a = &mut self.attempts[at];
        a.open = false;
        let (r, no, ep, inc) = (a.router, a.req, a.ep, a.inc);
        let (permit, gap, sent) = (a.permit, a.gap, a.sent);
        let first = a.first.unwrap_or(self.now).saturating_sub(sent);
        let engine_start = a.engine_start.unwrap_or(self.now);
        let id = self.engines[ep].id.clone();
        let outcome = Outcome::Done {
            first_token: first,
            gap,
        };
        let router = &mut self.routers[r];
        router.selector.finished(self.now, &id, at as u128, outcome);
        router.suspects.finished(&id, inc, at as u128);
        router.retries.record_success(self.now);
        if permit {
            self.after(TRIP, Ev::Release(at, true));
        }
        let a = self.reqs[no].a;
        if tally::measured(self.now, self.warm, self.end) {
            self.tally.tokens[a.rank] += f64::from(a.prompt + a.out);
        }
        if !self.reqs[no].resent && a.at >= self.warm {
            // Two trips: caller to router and router to endpoint.
            let wait = engine_start.saturating_sub(a.at + 2 * TRIP).as_secs_f32();
            let inside = engine_start.saturating_sub(sent + TRIP).as_secs_f32();
            self.tally.engine_waits[a.rank].push(inside);
            self.tally.cell(a.team, a.rank).waits.push(wait);
            self.tally.first.push(wait + first.as_secs_f32());
            self.tally.gaps.push(gap.as_secs_f32());
        }
        self.end(no, End::Served);
        self.pump(r);
    }

    pub(super) fn failed(&mut self, at: usize, failure: Failure) {
        if !self.attempts[at].open {
            return;
        }
        let a = &mut self.attempts[at];
        a.open = false;
        let (r, no, ep, inc, permit) = (a.router, a.req, a.ep, a.inc, a.permit);
        let id = self.engines[ep].id.clone();
        let router = &mut self.routers[r];
        router
            .selector
            .finished(self.now, &id, at as u128, Outcome::Failed(failure));
        let waits = router
            .suspects
            .failed(self.now, &id, inc, at as u128, failure);
        if waits {
            self.after(2 * TRIP, Ev::Probe(r, ep, inc));
        } else {
            if permit {
                self.after(TRIP, Ev::Release(at, false));
            }
            self.retry(no, ep);
        }
        self.pump(r);
    }

    /// A router tries to connect to an endpoint whose connection broke.
    pub(super) fn probe(&mut self, r: usize, ep: usize, inc: Incarnation) {
        let engine = &self.engines[ep];
        let suspects = &mut self.routers[r].suspects;
        if engine.alive && engine.incarnation == inc {
            return;
        }
        let _ = suspects.failed(self.now, &engine.id, inc, u128::MAX, Failure::Connect);
        if suspects.is_dead(self.now, &engine.id, inc, false) {
            let due = suspects.endpoint_died(self.now, &engine.id, inc);
            self.routers[r].selector.remove(&engine.id);
            self.strike_all(due);
        }
    }

    pub(super) fn strike_all(&mut self, due: Vec<PendingStrike>) {
        for strike in due {
            self.after(TRIP + COMMIT, Ev::Strike(strike.attempt as usize));
        }
    }

    /// A strike is committed: the list goes to the routers, and the request
    /// goes on.
    pub(super) fn strike(&mut self, at: usize) {
        let a = &self.attempts[at];
        let (no, ep, inc) = (a.req, a.ep, a.inc);
        let f = self.reqs[no].a.fingerprint;
        self.ledger.strike(f, ep, inc);
        self.push_list();
        if self.attempts[at].open {
            self.attempts[at].open = false;
            let (r, id) = (self.attempts[at].router, self.engines[ep].id.clone());
            let outcome = Outcome::Failed(Failure::Reset);
            self.routers[r]
                .selector
                .finished(self.now, &id, at as u128, outcome);
        }
        self.retry(no, ep);
    }

    pub(super) fn push_list(&mut self) {
        for r in 0..self.routers.len() {
            let list = self.ledger.list();
            self.after(TRIP, Ev::List(r, list));
        }
    }

    pub(super) fn list(&mut self, r: usize, list: Vec<u64>) {
        let condemned = self.ledger.condemned();
        let router = &mut self.routers[r];
        router
            .suspects
            .set_struck(self.now, list.into_iter().map(fingerprint));
        router.condemned = condemned.into_iter().collect();
    }

    fn retry(&mut self, no: usize, ep: usize) {
        let req = &mut self.reqs[no];
        if req.ended {
            return;
        }
        if req.a.stream && req.first_byte {
            self.end(no, End::Cut);
            return;
        }
        if req.tries >= MOST_TRIES || !self.routers[req.router].retries.try_take(self.now) {
            self.end(no, End::Failed);
            return;
        }
        let id = self.engines[ep].id.clone();
        self.reqs[no].tried.push(id);
        self.route(no);
    }

    /// Ends a request and answers its caller.
    pub(super) fn end(&mut self, no: usize, how: End) {
        let req = &mut self.reqs[no];
        if req.ended {
            return;
        }
        req.ended = true;
        self.open -= 1;
        let (a, r, resent, left) = (req.a, req.router, req.resent, req.left);
        if req.admitted {
            req.admitted = false;
            let used = match how {
                End::Served => u64::from(a.prompt + a.out),
                _ => 0,
            };
            self.routers[r].admission.finish(self.now, no as u64, used);
        }
        if !resent && a.at >= self.warm && !a.poison {
            let cell = self.tally.cell(a.team, a.rank);
            match how {
                End::Served => cell.served += 1,
                End::Refused => cell.refused += 1,
                End::Failed => cell.failed += 1,
                End::Cut => cell.cut += 1,
                End::Condemned => cell.condemned += 1,
            }
        }
        if a.poison {
            self.resend(no, resent, left);
        }
    }

    /// The caller of a crashing request sends it again.
    fn resend(&mut self, no: usize, resent: bool, left: u32) {
        let at = self.now + 2 * TRIP;
        match self.cfg.resend {
            Resend::InTurn if !resent || left > 0 => {
                let a = super::workload::Arrival {
                    at,
                    ..self.reqs[no].a
                };
                let router = (self.reqs[no].router + 1) % self.routers.len();
                let copy = self.add_request(a, router, true);
                self.reqs[copy].left = if resent { left - 1 } else { 19 };
            }
            Resend::AtOnce if !resent => self.send_copies(no, at),
            _ => {}
        }
    }
}

/// Widens a fingerprint of the model.
fn fingerprint(f: u64) -> Fingerprint {
    let mut out = [0; 16];
    out[..8].copy_from_slice(&f.to_le_bytes());
    out
}
