//! Requests that may have crashed an endpoint.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

use anvilloft_types::prelude::*;

use crate::Failure;

/// Time within which a broken connection, together with a failed connect or a
/// stopped announcement, counts as the death of an endpoint.
const DEATH_WINDOW: Duration = Duration::from_secs(5);
/// Maximum number of endpoints whose signs of death are kept.
const MAX_SIGNS: usize = 4096;

/// A strike to record against a request that was in flight at an endpoint when
/// this died.
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

/// Whether a request may run without a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Permission {
    /// The request may run.
    Run,
    /// The request needs a fleet-wide permit first.
    PermitRequired,
}

#[derive(Clone, Debug)]
struct InFlight {
    attempt: AttemptId,
    fingerprint: Fingerprint,
    /// When the connection of the attempt failed. The request gets a strike if
    /// the endpoint proves dead.
    failed_at: Option<Duration>,
}

/// The requests that may have crashed an endpoint, as one router knows them.
///
/// An endpoint counts as dead when its incarnation changes, or when a
/// connection breaks and then either no new one can be made or the announcement
/// stops. A timeout or a broken connection alone doesn't count: the endpoint
/// may only be slow, or the network may have failed.
#[derive(Debug, Default)]
pub struct Suspects {
    /// Struck or quarantined fingerprints of the whole fleet.
    struck: HashSet<Fingerprint>,
    /// Strikes of this router that the fleet-wide list may not contain yet,
    /// with their times.
    own_strikes: HashMap<Fingerprint, Duration>,
    in_flight: BTreeMap<(EndpointId, Incarnation), Vec<InFlight>>,
    /// Signs of death by endpoint.
    death_signs: BTreeMap<EndpointId, DeathSigns>,
}

#[derive(Clone, Copy, Debug)]
struct DeathSigns {
    incarnation: Incarnation,
    /// When a connection last broke.
    reset_at: Option<Duration>,
    /// When a connect last failed.
    unreachable_at: Option<Duration>,
}

impl DeathSigns {
    fn is_recent(at: Option<Duration>, now: Duration) -> bool {
        at.is_some_and(|at| now.saturating_sub(at) <= DEATH_WINDOW)
    }
}

impl Suspects {
    /// Creates an instance without suspects.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the fleet-wide list of struck or quarantined fingerprints.
    pub fn set_struck(&mut self, now: Duration, list: impl IntoIterator<Item = Fingerprint>) {
        self.struck = list.into_iter().collect();
        let struck = &self.struck;
        self.own_strikes
            .retain(|f, at| !struck.contains(f) && now.saturating_sub(*at) < DEATH_WINDOW);
    }

    /// Returns whether a request may run without a permit.
    pub fn check(&self, fingerprint: &Fingerprint) -> Permission {
        if self.struck.contains(fingerprint) || self.own_strikes.contains_key(fingerprint) {
            Permission::PermitRequired
        } else {
            Permission::Run
        }
    }

    /// Records that an attempt was sent.
    pub fn started(&mut self, ep: &str, inc: Incarnation, id: AttemptId, f: Fingerprint) {
        self.in_flight
            .entry((ep.to_owned(), inc))
            .or_default()
            .push(InFlight {
                attempt: id,
                fingerprint: f,
                failed_at: None,
            });
    }

    /// Records that an attempt ended because its endpoint answered or its
    /// caller disconnected.
    pub fn finished(&mut self, ep: &str, inc: Incarnation, attempt: AttemptId) {
        let key = (ep.to_owned(), inc);
        if let Some(list) = self.in_flight.get_mut(&key) {
            list.retain(|a| a.attempt != attempt);
            if list.is_empty() {
                self.in_flight.remove(&key);
            }
        }
    }

    /// Records that an attempt failed. Returns whether its caller must wait
    /// until it is known whether the endpoint died, which
    /// [`endpoint_died`](Self::endpoint_died),
    /// [`endpoint_announced`](Self::endpoint_announced) or
    /// [`expire`](Self::expire) determines.
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
        if self.death_signs.len() < MAX_SIGNS || self.death_signs.contains_key(ep) {
            let no_signs = DeathSigns {
                incarnation: inc,
                reset_at: None,
                unreachable_at: None,
            };
            let death_signs = self.death_signs.entry(ep.to_owned()).or_insert(no_signs);
            if death_signs.incarnation != inc {
                *death_signs = no_signs;
            }
            match failure {
                Failure::Reset => death_signs.reset_at = Some(now),
                _ => death_signs.unreachable_at = Some(now),
            }
        }
        if failure == Failure::Connect {
            // Nothing was sent, so the request can't have caused the failure.
            self.finished(ep, inc, attempt);
            return false;
        }
        let Some(list) = self.in_flight.get_mut(&(ep.to_owned(), inc)) else {
            return false;
        };
        for a in list.iter_mut().filter(|a| a.attempt == attempt) {
            a.failed_at = Some(now);
        }
        true
    }

    /// Returns whether the reported failures of an endpoint count as its death.
    /// `lease_lost` is whether its announcements stopped.
    pub fn is_dead(&self, now: Duration, ep: &str, inc: Incarnation, lease_lost: bool) -> bool {
        self.death_signs.get(ep).is_some_and(|s| {
            s.incarnation == inc
                && DeathSigns::is_recent(s.reset_at, now)
                && (lease_lost || DeathSigns::is_recent(s.unreachable_at, now))
        })
    }

    /// Records that an endpoint died. Returns the strikes to record, one for
    /// each request that was in flight there.
    pub fn endpoint_died(
        &mut self,
        now: Duration,
        ep: &str,
        inc: Incarnation,
    ) -> Vec<PendingStrike> {
        self.death_signs.remove(ep);
        let list = self
            .in_flight
            .remove(&(ep.to_owned(), inc))
            .unwrap_or_default();
        for a in &list {
            self.own_strikes.insert(a.fingerprint, now);
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

    /// Records an announcement. Returns the strikes to record when the endpoint
    /// runs as a new incarnation.
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
        let mut strikes = Vec::new();
        for i in older {
            strikes.extend(self.endpoint_died(now, ep, i));
        }
        strikes
    }

    /// Removes and returns the failed attempts whose endpoint did not die
    /// within `DEATH_WINDOW`. Their callers need not wait any longer.
    pub fn expire(&mut self, now: Duration) -> Vec<AttemptId> {
        let mut attempts = Vec::new();
        self.in_flight.retain(|_, list| {
            list.retain(|a| {
                let expired = a
                    .failed_at
                    .is_some_and(|at| now.saturating_sub(at) > DEATH_WINDOW);
                if expired {
                    attempts.push(a.attempt);
                }
                !expired
            });
            !list.is_empty()
        });
        self.death_signs.retain(|_, s| {
            DeathSigns::is_recent(s.reset_at, now) || DeathSigns::is_recent(s.unreachable_at, now)
        });
        attempts
    }

    /// Returns the number of attempts in flight, for metrics.
    pub fn in_flight(&self) -> usize {
        self.in_flight.values().map(Vec::len).sum()
    }
}
