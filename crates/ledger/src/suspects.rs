//! Suspects: requests that were in flight when an endpoint died. A request that
//! crashes endpoints is quarantined after it has crashed two.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::btree_map::Entry;

use anvilloft_types::Fingerprint;
use anvilloft_types::Incarnation;
use anvilloft_wire::command::Ok as OkReply;
use anvilloft_wire::command::Reply;
use anvilloft_wire::command::Strike;
use anvilloft_wire::command::SuspectBegin;
use anvilloft_wire::command::SuspectEnd;
use anvilloft_wire::command::SuspectReply;

use crate::code;
use crate::code::refused;
use crate::ledger::Ledger;
use crate::ledger::has_elapsed;
use crate::validate::check_name;

/// Maximum number of suspect fingerprints.
const MAX_SUSPECTS: usize = 65_536;
/// Delay after which a router retries when it was refused a permit, in
/// milliseconds.
const PERMIT_RETRY_MS: u64 = 250;

/// Permit of a router incarnation to run a suspect request at an endpoint.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct Permit {
    #[prost(string, tag = "1")]
    pub(crate) router: String,
    #[prost(uint64, tag = "2")]
    pub(crate) incarnation: u64,
    #[prost(string, tag = "3")]
    pub(crate) endpoint: String,
}

/// A request that has a strike, a permit, or is quarantined.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Suspect {
    #[prost(bytes = "vec", tag = "1")]
    pub(crate) fingerprint: Vec<u8>,
    /// Ledger time of the last strike.
    #[prost(uint64, tag = "2")]
    pub(crate) at_ms: u64,
    /// Ledger time at which the quarantine ends, or 0 if not quarantined.
    #[prost(uint64, tag = "3")]
    pub(crate) quarantined_until_ms: u64,
    #[prost(message, optional, tag = "4")]
    pub(crate) permit: Option<Permit>,
    /// Endpoint whose death caused the first strike. Empty until that strike is
    /// applied.
    #[prost(string, tag = "5")]
    pub(crate) first_endpoint: String,
    /// Incarnation of `first_endpoint` that died.
    #[prost(uint64, tag = "6")]
    pub(crate) first_endpoint_incarnation: u64,
}

impl Suspect {
    /// Records a strike. Returns whether the request must be quarantined, because a
    /// second endpoint died, or one that ran the request under its permit.
    fn strike(&mut self, c: &Strike, now_ms: u64) -> bool {
        if self.quarantined_until_ms > 0 {
            return false;
        }
        self.at_ms = now_ms;
        if self.first_endpoint.is_empty() {
            self.first_endpoint.clone_from(&c.endpoint);
            self.first_endpoint_incarnation = c.endpoint_incarnation;
        }
        // Several copies of a request may have run at the endpoint. Their strikes
        // count as one, as they stem from the same death.
        let same_death = self.first_endpoint == c.endpoint
            && self.first_endpoint_incarnation == c.endpoint_incarnation;
        let permit = self.permit.as_ref();
        !same_death || permit.is_some_and(|p| p.endpoint == c.endpoint)
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Suspects {
    pub(crate) by_fingerprint: BTreeMap<Fingerprint, Suspect>,
    /// Fingerprints of permitted requests, by the endpoint that runs them.
    pub(crate) permits_by_endpoint: HashMap<String, Fingerprint>,
}

impl Suspects {
    pub(crate) fn fingerprints(&self) -> Vec<Fingerprint> {
        self.by_fingerprint.keys().copied().collect()
    }

    pub(crate) fn insert(&mut self, fingerprint: Fingerprint, suspect: Suspect) {
        if let Some(p) = &suspect.permit {
            self.permits_by_endpoint
                .insert(p.endpoint.clone(), fingerprint);
        }
        self.by_fingerprint.insert(fingerprint, suspect);
    }

    /// Returns the suspect with a fingerprint, and adds it if there is none.
    fn get_or_insert(&mut self, f: Fingerprint, now_ms: u64) -> Result<&mut Suspect, Reply> {
        let full = self.by_fingerprint.len() >= MAX_SUSPECTS;
        match self.by_fingerprint.entry(f) {
            Entry::Occupied(e) => Ok(e.into_mut()),
            Entry::Vacant(_) if full => Err(refused(
                code::TABLE_FULL,
                format!("at most {MAX_SUSPECTS} suspect requests are kept"),
            )),
            Entry::Vacant(e) => Ok(e.insert(Suspect {
                fingerprint: f.to_vec(),
                at_ms: now_ms,
                ..Suspect::default()
            })),
        }
    }

    fn release_permit(&mut self, fingerprint: &Fingerprint) {
        if let Some(s) = self.by_fingerprint.get_mut(fingerprint)
            && let Some(p) = s.permit.take()
        {
            self.permits_by_endpoint.remove(&p.endpoint);
        }
    }

    fn quarantine(&mut self, fingerprint: &Fingerprint, now_ms: u64, quarantine_ms: u64) {
        self.release_permit(fingerprint);
        if let Some(s) = self.by_fingerprint.get_mut(fingerprint) {
            s.at_ms = now_ms;
            s.quarantined_until_ms = now_ms.saturating_add(quarantine_ms);
        }
    }

    /// Releases the permits of an incarnation that can't end them any more. The
    /// requests are quarantined, as if each had crashed a second endpoint.
    pub(crate) fn abandon(
        &mut self,
        router: &str,
        incarnation: Incarnation,
        now_ms: u64,
        quarantine_ms: u64,
    ) {
        let mut abandoned: Vec<Fingerprint> = self
            .permits_by_endpoint
            .values()
            .filter(|f| {
                self.by_fingerprint
                    .get(*f)
                    .and_then(|s| s.permit.as_ref())
                    .is_some_and(|p| p.router == router && p.incarnation == incarnation)
            })
            .copied()
            .collect();
        abandoned.sort_unstable();
        for f in abandoned {
            self.quarantine(&f, now_ms, quarantine_ms);
        }
    }

    pub(crate) fn expire(&mut self, now_ms: u64, quarantine_ms: u64) {
        self.by_fingerprint.retain(|_, s| {
            if s.quarantined_until_ms > 0 {
                now_ms < s.quarantined_until_ms
            } else {
                s.permit.is_some() || !has_elapsed(now_ms, s.at_ms, quarantine_ms)
            }
        });
    }
}

fn parse_fingerprint(bytes: &[u8]) -> Result<Fingerprint, Reply> {
    Fingerprint::try_from(bytes)
        .map_err(|_| refused(code::MALFORMED, "a fingerprint must have 16 bytes"))
}

impl Ledger {
    pub(crate) fn strike(&mut self, c: &Strike) -> Reply {
        let f = match parse_fingerprint(&c.fingerprint) {
            Ok(f) => f,
            Err(reply) => return reply,
        };
        let now_ms = self.now_ms;
        let quarantine_ms = self.config.value("condemn_ms", "");
        match self
            .suspects
            .get_or_insert(f, now_ms)
            .map(|s| s.strike(c, now_ms))
        {
            Ok(quarantine) => {
                if quarantine {
                    self.suspects.quarantine(&f, now_ms, quarantine_ms);
                }
                Reply::Ok(OkReply {})
            }
            Err(reply) => reply,
        }
    }

    pub(crate) fn suspect_begin(&mut self, c: &SuspectBegin) -> Reply {
        let f = match parse_fingerprint(&c.fingerprint) {
            Ok(f) => f,
            Err(reply) => return reply,
        };
        if let Err((code, message)) = check_name(&c.endpoint) {
            return refused(code, message);
        }
        if !self.is_incarnation_open(&c.router, c.incarnation) {
            return refused(
                code::INCARNATION_CLOSED,
                "the router incarnation is not open",
            );
        }
        let now_ms = self.now_ms;
        let wait = Reply::Suspect(SuspectReply {
            run: false,
            retry_after_ms: PERMIT_RETRY_MS,
            quarantined_until_ms: 0,
        });
        let run = Reply::Suspect(SuspectReply {
            run: true,
            retry_after_ms: 0,
            quarantined_until_ms: 0,
        });
        let permit = Permit {
            router: c.router.clone(),
            incarnation: c.incarnation,
            endpoint: c.endpoint.clone(),
        };
        let busy = self.suspects.permits_by_endpoint.contains_key(&c.endpoint);
        if busy && !self.suspects.by_fingerprint.contains_key(&f) {
            // The fingerprint is unknown, so it has most likely been cleared since
            // the router requested the permit. The request need not wait for the
            // suspect at the endpoint.
            return run;
        }
        // A router may request a permit before its own strike is applied. The permit
        // is recorded nevertheless, so that a death under it counts and other routers
        // don't run the request.
        let s = match self.suspects.get_or_insert(f, now_ms) {
            Ok(s) => s,
            Err(reply) => return reply,
        };
        if s.quarantined_until_ms > now_ms {
            return Reply::Suspect(SuspectReply {
                run: false,
                retry_after_ms: 0,
                quarantined_until_ms: s.quarantined_until_ms,
            });
        }
        if let Some(existing) = &s.permit {
            // An equal permit means a resent command, as a router requests one
            // permit at a time.
            return if *existing == permit { run } else { wait };
        }
        if busy {
            return wait;
        }
        if s.quarantined_until_ms > 0 {
            // The quarantine has ended, but the first strike remains.
            s.quarantined_until_ms = 0;
            s.at_ms = now_ms;
        }
        s.permit = Some(permit);
        self.suspects
            .permits_by_endpoint
            .insert(c.endpoint.clone(), f);
        run
    }

    pub(crate) fn suspect_end(&mut self, c: &SuspectEnd) -> Reply {
        let f = match parse_fingerprint(&c.fingerprint) {
            Ok(f) => f,
            Err(reply) => return reply,
        };
        let holds_permit = self
            .suspects
            .by_fingerprint
            .get(&f)
            .and_then(|s| s.permit.as_ref())
            .is_some_and(|p| {
                p.router == c.router && p.incarnation == c.incarnation && p.endpoint == c.endpoint
            });
        if holds_permit {
            if c.died {
                let quarantine_ms = self.config.value("condemn_ms", "");
                self.suspects.quarantine(&f, self.now_ms, quarantine_ms);
            } else if c.not_run {
                self.suspects.release_permit(&f);
            } else {
                self.suspects.release_permit(&f);
                self.suspects.by_fingerprint.remove(&f);
            }
        }
        Reply::Ok(OkReply {})
    }

    pub(crate) fn assert_suspect_invariants(&self) {
        let permits = self
            .suspects
            .by_fingerprint
            .values()
            .filter(|s| s.permit.is_some())
            .count();
        assert_eq!(
            permits,
            self.suspects.permits_by_endpoint.len(),
            "each endpoint runs at most one suspect request"
        );
        for (f, s) in &self.suspects.by_fingerprint {
            if let Some(p) = &s.permit {
                assert_eq!(self.suspects.permits_by_endpoint.get(&p.endpoint), Some(f));
                assert!(
                    self.is_incarnation_open(&p.router, p.incarnation),
                    "a permit belongs to an open incarnation"
                );
            }
        }
    }
}
