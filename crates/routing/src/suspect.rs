//! Requests that may have crashed an endpoint.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

use anvilloft_types::prelude::*;

use crate::Failure;

/// Time in which a broken connection and a stopped announcement count as one
/// death of an endpoint.
const DEATH_WINDOW: Duration = Duration::from_secs(5);
/// Most endpoints with a recent sign of death that are remembered.
const MOST_SIGNS: usize = 4096;

/// A fingerprint to strike: it was in flight where an endpoint died.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PendingStrike {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Endpoint that died.
    pub endpoint: EndpointId,
    /// Incarnation of the endpoint.
    pub incarnation: Incarnation,
    /// Attempt that was in flight.
    pub attempt: AttemptId,
}

/// What a router must do before it runs a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Permission {
    /// Run it.
    Run,
    /// Ask for a fleet-wide permit first.
    PermitRequired,
}

#[derive(Clone, Debug)]
struct InFlight {
    attempt: AttemptId,
    fingerprint: Fingerprint,
    /// The connection of the attempt failed; the request is struck if the
    /// endpoint proves dead.
    failed: Option<Duration>,
}

/// A router's view of suspects.
///
/// An endpoint counts as dead when its incarnation changes, or when a
/// connection breaks and then either no new one can be made or the
/// announcement stops. A timeout or a broken connection alone is no death: the
/// endpoint may only be slow, or the network may have failed.
#[derive(Debug, Default)]
pub struct Suspects {
    /// Struck or quarantined fingerprints of the whole fleet.
    struck: HashSet<Fingerprint>,
    /// Strikes of this router that the fleet-wide list may not yet have.
    own: HashMap<Fingerprint, Duration>,
    in_flight: BTreeMap<(EndpointId, Incarnation), Vec<InFlight>>,
    /// Signs of death by endpoint.
    signs: BTreeMap<EndpointId, Signs>,
}

#[derive(Clone, Copy, Debug)]
struct Signs {
    incarnation: Incarnation,
    reset: Option<Duration>,
    unreachable: Option<Duration>,
}

impl Signs {
    fn recent(at: Option<Duration>, now: Duration) -> bool {
        at.is_some_and(|at| now.saturating_sub(at) <= DEATH_WINDOW)
    }
}

impl Suspects {
    /// Makes an empty view.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the fleet-wide list.
    pub fn set_struck(&mut self, now: Duration, list: impl IntoIterator<Item = Fingerprint>) {
        self.struck = list.into_iter().collect();
        let struck = &self.struck;
        self.own
            .retain(|f, at| !struck.contains(f) && now.saturating_sub(*at) < DEATH_WINDOW);
    }

    /// Returns whether a request may run without a permit.
    pub fn check(&self, fingerprint: &Fingerprint) -> Permission {
        if self.struck.contains(fingerprint) || self.own.contains_key(fingerprint) {
            Permission::PermitRequired
        } else {
            Permission::Run
        }
    }

    /// Notes that an attempt was sent.
    pub fn started(&mut self, ep: &str, inc: Incarnation, id: AttemptId, f: Fingerprint) {
        self.in_flight
            .entry((ep.to_owned(), inc))
            .or_default()
            .push(InFlight {
                attempt: id,
                fingerprint: f,
                failed: None,
            });
    }

    /// Notes that an attempt ended and its endpoint answered or was left by
    /// the caller.
    pub fn finished(&mut self, ep: &str, inc: Incarnation, attempt: AttemptId) {
        let key = (ep.to_owned(), inc);
        if let Some(list) = self.in_flight.get_mut(&key) {
            list.retain(|a| a.attempt != attempt);
            if list.is_empty() {
                self.in_flight.remove(&key);
            }
        }
    }

    /// Notes that an attempt failed. Returns whether its caller must wait for
    /// the verdict on the endpoint, which [`endpoint_died`](Self::endpoint_died),
    /// [`endpoint_announced`](Self::endpoint_announced) or [`expire`](Self::expire) gives.
    pub fn failed(
        &mut self,
        now: Duration,
        ep: &str,
        inc: Incarnation,
        attempt: AttemptId,
        failure: Failure,
    ) -> bool {
        if !matches!(failure, Failure::Connect | Failure::Reset) {
            self.finished(ep, inc, attempt);
            return false;
        }
        if self.signs.len() < MOST_SIGNS || self.signs.contains_key(ep) {
            let fresh = Signs {
                incarnation: inc,
                reset: None,
                unreachable: None,
            };
            let signs = self.signs.entry(ep.to_owned()).or_insert(fresh);
            if signs.incarnation != inc {
                *signs = fresh;
            }
            match failure {
                Failure::Reset => signs.reset = Some(now),
                _ => signs.unreachable = Some(now),
            }
        }
        if failure == Failure::Connect {
            // Nothing was sent, so the request can't have caused it.
            self.finished(ep, inc, attempt);
            return false;
        }
        let Some(list) = self.in_flight.get_mut(&(ep.to_owned(), inc)) else {
            return false;
        };
        for a in list.iter_mut().filter(|a| a.attempt == attempt) {
            a.failed = Some(now);
        }
        true
    }

    /// Returns whether the reported failures of an endpoint count as its
    /// death. `lease_lost` tells whether its announcement stopped.
    pub fn is_dead(&self, now: Duration, ep: &str, inc: Incarnation, lease_lost: bool) -> bool {
        self.signs.get(ep).is_some_and(|s| {
            s.incarnation == inc
                && Signs::recent(s.reset, now)
                && (lease_lost || Signs::recent(s.unreachable, now))
        })
    }

    /// Notes that an endpoint died. Returns what to strike, one entry for each
    /// request that was in flight there.
    pub fn endpoint_died(
        &mut self,
        now: Duration,
        ep: &str,
        inc: Incarnation,
    ) -> Vec<PendingStrike> {
        self.signs.remove(ep);
        let list = self
            .in_flight
            .remove(&(ep.to_owned(), inc))
            .unwrap_or_default();
        for a in &list {
            self.own.insert(a.fingerprint, now);
        }
        list.into_iter()
            .map(|a| PendingStrike {
                fingerprint: a.fingerprint,
                endpoint: ep.to_owned(),
                incarnation: inc,
                attempt: a.attempt,
            })
            .collect()
    }

    /// Notes an announcement. Returns what to strike when the endpoint runs as
    /// a new incarnation.
    pub fn endpoint_announced(
        &mut self,
        now: Duration,
        ep: &str,
        inc: Incarnation,
    ) -> Vec<PendingStrike> {
        let older: Vec<Incarnation> = self
            .in_flight
            .range((ep.to_owned(), 0)..(ep.to_owned(), inc))
            .map(|((_, i), _)| *i)
            .collect();
        let mut due = Vec::new();
        for i in older {
            due.extend(self.endpoint_died(now, ep, i));
        }
        due
    }

    /// Drops failed attempts whose endpoint did not die within the window.
    /// Returns them: their callers need not wait longer.
    pub fn expire(&mut self, now: Duration) -> Vec<AttemptId> {
        let mut out = Vec::new();
        self.in_flight.retain(|_, list| {
            list.retain(|a| {
                let late = a
                    .failed
                    .is_some_and(|at| now.saturating_sub(at) > DEATH_WINDOW);
                if late {
                    out.push(a.attempt);
                }
                !late
            });
            !list.is_empty()
        });
        self.signs
            .retain(|_, s| Signs::recent(s.reset, now) || Signs::recent(s.unreachable, now));
        out
    }

    /// Returns the attempts in flight, for metrics.
    pub fn in_flight(&self) -> usize {
        self.in_flight.values().map(Vec::len).sum()
    }
}
