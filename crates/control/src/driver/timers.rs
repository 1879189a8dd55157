//! Timeouts of router incarnations, tracked by the leader alone.
//!
//! A new leader restarts every timer, so none expires early.

use std::collections::HashMap;
use std::collections::HashSet;

use anvilloft_ledger::Ledger;
use anvilloft_ledger::LostIncarnation;
use anvilloft_types::prelude::*;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::CloseIncarnation;
use anvilloft_wire::command::OpenIncarnation;
use anvilloft_wire::command::RestoreReserve;
use anvilloft_wire::command::RouterState;

/// Interval after which a proposal that had no effect is repeated.
const PROPOSAL_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum wait for the first renewal of a dead router's successor, which tells when
/// it was started.
const SUCCESSOR_WAIT: Duration = Duration::from_secs(1);

type IncarnationKey = (RouterId, Incarnation);

/// Last lease renewal of each open incarnation, and the time since which the
/// allotments of each lost one are frozen.
#[derive(Debug, Default)]
pub(crate) struct IncarnationTimers {
    last_renewals: HashMap<IncarnationKey, Duration>,
    /// Start of the hold: the time for which a lost incarnation's allotments
    /// stay frozen. The flag in the key says whether the process is known to
    /// have ended: the hold then starts again, with another length.
    held_since: HashMap<(RouterId, Incarnation, bool), Duration>,
    proposed_at: HashMap<IncarnationKey, Duration>,
    /// Time by which the process of each open incarnation had been started.
    started_at: HashMap<IncarnationKey, Duration>,
    /// When the restore of each dead incarnation's reserve was last proposed.
    restored_at: HashMap<IncarnationKey, Duration>,
    /// Largest limit on a router's silence in this term. Work that began under
    /// an older, longer limit may still be running.
    max_silence: Duration,
}

impl IncarnationTimers {
    /// Clears all timers at the start of a term.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Records that an incarnation renewed its lease.
    pub(crate) fn record_renewal(&mut self, now: Duration, router: &str, incarnation: Incarnation) {
        self.last_renewals
            .insert((router.to_owned(), incarnation), now);
    }

    /// Records that the process of an incarnation has been running for some time.
    pub(crate) fn record_age(
        &mut self,
        now: Duration,
        router: &str,
        incarnation: Incarnation,
        age: Duration,
    ) {
        let started_at = now.saturating_sub(age);
        self.started_at
            .entry((router.to_owned(), incarnation))
            .and_modify(|at| *at = started_at.min(*at))
            .or_insert(started_at);
    }

    /// Returns the routers with an open incarnation that has not renewed its
    /// lease for a whole lease period, sorted by name.
    pub(crate) fn silent_routers(&self, now: Duration, ledger: &Ledger) -> Vec<RouterId> {
        let lease = Duration::from_millis(ledger.config().value("config_lease_ms", ""));
        let mut silent: Vec<RouterId> = self
            .last_renewals
            .iter()
            .filter(|((router, incarnation), renewed_at)| {
                now > **renewed_at + lease && ledger.is_incarnation_open(router, *incarnation)
            })
            .map(|((router, _), _)| router.clone())
            .collect();
        silent.sort();
        silent
    }

    /// Returns the proposals that are due.
    pub(crate) fn due_proposals(&mut self, now: Duration, ledger: &Ledger) -> Vec<Body> {
        let mut due = Vec::new();
        self.max_silence = self.max_silence.max(max_silence(ledger));
        let open = ledger.open_incarnations();
        let lost = ledger.lost_incarnations();
        let open_keys: HashSet<IncarnationKey> = open
            .iter()
            .map(|o| (o.router.clone(), o.incarnation))
            .collect();
        self.last_renewals.retain(|key, _| open_keys.contains(key));
        self.started_at.retain(|key, _| open_keys.contains(key));
        for o in open {
            let key = (o.router.clone(), o.incarnation);
            let renewed_at = *self.last_renewals.entry(key.clone()).or_insert(now);
            if now >= renewed_at + self.max_silence && may_propose(&mut self.proposed_at, now, key)
            {
                due.push(Body::OpenIncarnation(OpenIncarnation {
                    state: RouterState::Lost.into(),
                    ..o
                }));
            }
        }
        let lost_keys: HashSet<(RouterId, Incarnation, bool)> = lost
            .iter()
            .map(|l| (l.router.clone(), l.incarnation, l.known_dead))
            .collect();
        self.held_since.retain(|key, _| lost_keys.contains(key));
        for l in lost {
            let hold = with_drift(Duration::from_millis(l.hold_ms));
            let key = (l.router.clone(), l.incarnation, l.known_dead);
            let held_since = *self.held_since.entry(key).or_insert(now);
            let key = (l.router.clone(), l.incarnation);
            if now >= held_since + hold && may_propose(&mut self.proposed_at, now, key) {
                due.push(Body::CloseIncarnation(CloseIncarnation {
                    router: l.router,
                    incarnation: l.incarnation,
                }));
            }
        }
        self.restored_at
            .retain(|(router, inc), _| lost_keys.contains(&(router.clone(), *inc, true)));
        self.proposed_at
            .retain(|_, at| now < *at + PROPOSAL_RETRY_INTERVAL);
        due
    }

    /// Returns the reserves of dead incarnations that can be restored. `elapsed`
    /// returns an upper bound of the time from the commit of an entry to another time,
    /// if it is known.
    pub(crate) fn due_restores(
        &mut self,
        now: Duration,
        ledger: &Ledger,
        elapsed: impl Fn(Duration, u64) -> Option<Duration>,
    ) -> Vec<(RestoreReserve, LostIncarnation)> {
        let mut due = Vec::new();
        let open = ledger.open_incarnations();
        for l in ledger.lost_incarnations() {
            let Some(contact) = l.locked_since else {
                continue;
            };
            let key = (l.router.clone(), l.incarnation, l.known_dead);
            let seen_at = *self.held_since.entry(key).or_insert(now);
            // The process had ended when its successor was started.
            let successor = open.iter().find(|o| o.router == l.router);
            let successor = successor.map(|o| (o.router.clone(), o.incarnation));
            let started_at = successor.and_then(|key| self.started_at.get(&key).copied());
            if started_at.is_none() && now < seen_at + SUCCESSOR_WAIT {
                continue;
            }
            let dead_at = started_at.map_or(seen_at, |at| at.min(seen_at));
            let Some(elapsed) = elapsed(dead_at, contact) else {
                continue;
            };
            if may_propose(
                &mut self.restored_at,
                now,
                (l.router.clone(), l.incarnation),
            ) {
                let restore = RestoreReserve {
                    router: l.router.clone(),
                    incarnation: l.incarnation,
                    // Rounded up, as the ledger takes it as an upper bound.
                    died_within_ms: u64::try_from(elapsed.as_millis() + 1).unwrap_or(u64::MAX),
                };
                due.push((restore, l));
            }
        }
        due
    }
}

/// Returns whether a proposal for an incarnation may be made now, and records it if so.
/// `proposed_at` has the last proposal for each incarnation.
fn may_propose(
    proposed_at: &mut HashMap<IncarnationKey, Duration>,
    now: Duration,
    key: IncarnationKey,
) -> bool {
    let last = proposed_at.get(&key);
    let is_due = last.is_none_or(|at| now >= *at + PROPOSAL_RETRY_INTERVAL);
    if is_due {
        proposed_at.insert(key, now);
    }
    is_due
}

/// Returns the silence after which an incarnation can have no request in
/// flight.
///
/// That is the length of a lease, at the end of which it may accept its last
/// request, plus the longest time limit of a request.
fn max_silence(ledger: &Ledger) -> Duration {
    let config = ledger.config();
    let longest_stream = config
        .exceptions()
        .filter(|e| e.name == "stream_limit_ms")
        .map(|e| e.value)
        .fold(config.value("stream_limit_ms", ""), u64::max);
    let lease = config.value("config_lease_ms", "");
    with_drift(Duration::from_millis(lease.saturating_add(longest_stream)))
}

/// Adds 1 % for the clock drift of another process.
fn with_drift(time: Duration) -> Duration {
    time + time / 100
}
