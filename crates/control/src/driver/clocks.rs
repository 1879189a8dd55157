//! Time limits of router incarnations, kept by the leader alone.
//!
//! A new leader restarts every clock, so none ever runs out early.

use std::collections::HashMap;
use std::collections::HashSet;

use anvilloft_ledger::Ledger;
use anvilloft_types::prelude::*;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::CloseIncarnation;
use anvilloft_wire::command::OpenIncarnation;
use anvilloft_wire::command::RouterState;

/// Time after which a proposal that had no effect is made again.
const ASK_AGAIN: Duration = Duration::from_secs(5);

type Key = (RouterId, Incarnation);

/// When routers were last heard, and since when lost ones are frozen.
#[derive(Debug, Default)]
pub(crate) struct Clocks {
    heard: HashMap<Key, Duration>,
    /// Start of the hold. It starts again when the process is known to have
    /// ended, because another hold then applies.
    frozen: HashMap<(RouterId, Incarnation, bool), Duration>,
    asked: HashMap<Key, Duration>,
    /// Longest limit in this term: work that began under an older, longer
    /// limit may still run.
    limit: Duration,
}

impl Clocks {
    /// Forgets everything, at the start of a term.
    pub(crate) fn restart(&mut self) {
        *self = Self::default();
    }

    /// Records that an incarnation renewed its lease.
    pub(crate) fn heard(&mut self, now: Duration, router: &str, incarnation: Incarnation) {
        self.heard.insert((router.to_owned(), incarnation), now);
    }

    /// Returns the open incarnations' routers that have not renewed for a whole
    /// lease, by name.
    pub(crate) fn silent(&self, now: Duration, ledger: &Ledger) -> Vec<RouterId> {
        let lease = Duration::from_millis(ledger.config().value("config_lease_ms", ""));
        let mut silent: Vec<RouterId> = self
            .heard
            .iter()
            .filter(|((router, incarnation), heard)| {
                now > **heard + lease && ledger.is_incarnation_open(router, *incarnation)
            })
            .map(|((router, _), _)| router.clone())
            .collect();
        silent.sort();
        silent
    }

    /// Returns the proposals that are due.
    pub(crate) fn due(&mut self, now: Duration, ledger: &Ledger) -> Vec<Body> {
        let mut due = Vec::new();
        self.limit = self.limit.max(silence_limit(ledger));
        let open = ledger.open_incarnations();
        let lost = ledger.lost_incarnations();
        let known: HashSet<Key> = open
            .iter()
            .map(|o| (o.router.clone(), o.incarnation))
            .collect();
        self.heard.retain(|key, _| known.contains(key));
        for o in open {
            let key = (o.router.clone(), o.incarnation);
            let heard = *self.heard.entry(key.clone()).or_insert(now);
            if now >= heard + self.limit && self.may_ask(now, key) {
                due.push(Body::OpenIncarnation(OpenIncarnation {
                    state: RouterState::Lost.into(),
                    ..o
                }));
            }
        }
        let known: HashSet<(RouterId, Incarnation, bool)> = lost
            .iter()
            .map(|l| (l.router.clone(), l.incarnation, l.known_dead))
            .collect();
        self.frozen.retain(|key, _| known.contains(key));
        for l in lost {
            let hold = with_drift(Duration::from_millis(l.hold_ms));
            let key = (l.router.clone(), l.incarnation, l.known_dead);
            let since = *self.frozen.entry(key).or_insert(now);
            let key = (l.router.clone(), l.incarnation);
            if now >= since + hold && self.may_ask(now, key) {
                due.push(Body::CloseIncarnation(CloseIncarnation {
                    router: l.router,
                    incarnation: l.incarnation,
                }));
            }
        }
        self.asked.retain(|_, at| now < *at + ASK_AGAIN);
        due
    }

    fn may_ask(&mut self, now: Duration, key: Key) -> bool {
        let again = self.asked.get(&key).is_none_or(|at| now >= *at + ASK_AGAIN);
        if again {
            self.asked.insert(key, now);
        }
        again
    }
}

/// Returns the silence after which an incarnation can have no work in flight:
/// the lease under which it took its last request, and that request itself.
fn silence_limit(ledger: &Ledger) -> Duration {
    let config = ledger.config();
    let longest = config
        .exceptions()
        .filter(|e| e.name == "stream_limit_ms")
        .map(|e| e.value)
        .fold(config.value("stream_limit_ms", ""), u64::max);
    let lease = config.value("config_lease_ms", "");
    with_drift(Duration::from_millis(lease.saturating_add(longest)))
}

/// Adds 1 % for the drift of another process's clock.
fn with_drift(time: Duration) -> Duration {
    time + time / 100
}
