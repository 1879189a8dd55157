//! Requests that were in flight when an endpoint died. Such a request costs
//! at most two endpoints.

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
use crate::ledger::is_past;
use crate::validate::check_name;

/// Largest count of suspect fingerprints.
const MAX_SUSPECTS: usize = 65_536;
/// Time after which a refused asker tries again, in milliseconds.
const RETRY_MS: u64 = 250;

/// Permit to run a suspect request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct Permit {
    #[prost(string, tag = "1")]
    pub(crate) router: String,
    #[prost(uint64, tag = "2")]
    pub(crate) incarnation: u64,
    #[prost(string, tag = "3")]
    pub(crate) endpoint: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Suspect {
    #[prost(bytes = "vec", tag = "1")]
    pub(crate) fingerprint: Vec<u8>,
    /// Ledger time of the last strike.
    #[prost(uint64, tag = "2")]
    pub(crate) at_ms: u64,
    /// 0 unless quarantined.
    #[prost(uint64, tag = "3")]
    pub(crate) until_ms: u64,
    #[prost(message, optional, tag = "4")]
    pub(crate) permit: Option<Permit>,
    /// Endpoint whose death brought the first strike, and its incarnation. Empty
    /// until that strike is applied.
    #[prost(string, tag = "5")]
    pub(crate) died: String,
    #[prost(uint64, tag = "6")]
    pub(crate) died_incarnation: u64,
}

impl Suspect {
    /// Takes a strike. Returns whether the request is to be quarantined: a second
    /// endpoint died, or one that ran it under its permit.
    fn strike(&mut self, c: &Strike, now_ms: u64) -> bool {
        if self.until_ms > 0 {
            return false;
        }
        self.at_ms = now_ms;
        if self.died.is_empty() {
            self.died.clone_from(&c.endpoint);
            self.died_incarnation = c.endpoint_incarnation;
        }
        // Copies of the request that ran at one endpoint strike for one death.
        let first = self.died == c.endpoint && self.died_incarnation == c.endpoint_incarnation;
        let permitted = self.permit.as_ref();
        !first || permitted.is_some_and(|p| p.endpoint == c.endpoint)
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Suspects {
    pub(crate) by_fingerprint: BTreeMap<Fingerprint, Suspect>,
    /// Endpoints that run a suspect request.
    pub(crate) endpoints: HashMap<String, Fingerprint>,
}

impl Suspects {
    pub(crate) fn fingerprints(&self) -> Vec<Fingerprint> {
        self.by_fingerprint.keys().copied().collect()
    }

    pub(crate) fn insert(&mut self, fingerprint: Fingerprint, suspect: Suspect) {
        if let Some(p) = &suspect.permit {
            self.endpoints.insert(p.endpoint.clone(), fingerprint);
        }
        self.by_fingerprint.insert(fingerprint, suspect);
    }

    /// Returns the suspect with a fingerprint, which is added if it is new.
    fn suspect(&mut self, f: Fingerprint, now_ms: u64) -> Result<&mut Suspect, Reply> {
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

    fn release(&mut self, fingerprint: &Fingerprint) {
        if let Some(s) = self.by_fingerprint.get_mut(fingerprint)
            && let Some(p) = s.permit.take()
        {
            self.endpoints.remove(&p.endpoint);
        }
    }

    fn quarantine(&mut self, fingerprint: &Fingerprint, now_ms: u64, condemn_ms: u64) {
        self.release(fingerprint);
        if let Some(s) = self.by_fingerprint.get_mut(fingerprint) {
            s.at_ms = now_ms;
            s.until_ms = now_ms.saturating_add(condemn_ms);
        }
    }

    /// Releases the permits of an incarnation that can't end them. Each counts
    /// as a second strike.
    pub(crate) fn abandon(
        &mut self,
        router: &str,
        incarnation: Incarnation,
        now_ms: u64,
        condemn_ms: u64,
    ) {
        let mut abandoned: Vec<Fingerprint> = self
            .endpoints
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
            self.quarantine(&f, now_ms, condemn_ms);
        }
    }

    pub(crate) fn expire(&mut self, now_ms: u64, condemn_ms: u64) {
        self.by_fingerprint.retain(|_, s| {
            if s.until_ms > 0 {
                now_ms < s.until_ms
            } else {
                s.permit.is_some() || !is_past(now_ms, s.at_ms, condemn_ms)
            }
        });
    }
}

fn fingerprint(bytes: &[u8]) -> Result<Fingerprint, Reply> {
    Fingerprint::try_from(bytes).map_err(|_| refused(code::MALFORMED, "a fingerprint has 16 bytes"))
}

impl Ledger {
    pub(crate) fn strike(&mut self, c: &Strike) -> Reply {
        let f = match fingerprint(&c.fingerprint) {
            Ok(f) => f,
            Err(reply) => return reply,
        };
        let now_ms = self.now_ms;
        let condemn_ms = self.config.value("condemn_ms", "");
        match self
            .suspects
            .suspect(f, now_ms)
            .map(|s| s.strike(c, now_ms))
        {
            Ok(quarantine) => {
                if quarantine {
                    self.suspects.quarantine(&f, now_ms, condemn_ms);
                }
                Reply::Ok(OkReply {})
            }
            Err(reply) => reply,
        }
    }

    pub(crate) fn suspect_begin(&mut self, c: &SuspectBegin) -> Reply {
        let f = match fingerprint(&c.fingerprint) {
            Ok(f) => f,
            Err(reply) => return reply,
        };
        if let Err((code, message)) = check_name(&c.endpoint) {
            return refused(code, message);
        }
        if !self.is_incarnation_open(&c.router, c.incarnation) {
            return refused(code::INCARNATION_CLOSED, "the incarnation is not open");
        }
        let now_ms = self.now_ms;
        let wait = Reply::Suspect(SuspectReply {
            run: false,
            retry_after_ms: RETRY_MS,
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
        let busy = self.suspects.endpoints.contains_key(&c.endpoint);
        if busy && !self.suspects.by_fingerprint.contains_key(&f) {
            // Most likely cleared meanwhile; it does not wait for a suspect.
            return run;
        }
        // A router may also ask before its own strike is applied. The permit is
        // kept, so that a death under it counts and others don't run the request.
        let s = match self.suspects.suspect(f, now_ms) {
            Ok(s) => s,
            Err(reply) => return reply,
        };
        if s.until_ms > now_ms {
            return Reply::Suspect(SuspectReply {
                run: false,
                retry_after_ms: 0,
                quarantined_until_ms: s.until_ms,
            });
        }
        if let Some(held) = &s.permit {
            // A resent command; a router asks for one request at a time.
            return if *held == permit { run } else { wait };
        }
        if busy {
            return wait;
        }
        if s.until_ms > 0 {
            // The quarantine has ended, and one strike remains.
            s.until_ms = 0;
            s.at_ms = now_ms;
        }
        s.permit = Some(permit);
        self.suspects.endpoints.insert(c.endpoint.clone(), f);
        run
    }

    pub(crate) fn suspect_end(&mut self, c: &SuspectEnd) -> Reply {
        let f = match fingerprint(&c.fingerprint) {
            Ok(f) => f,
            Err(reply) => return reply,
        };
        let ends = self
            .suspects
            .by_fingerprint
            .get(&f)
            .and_then(|s| s.permit.as_ref())
            .is_some_and(|p| {
                p.router == c.router && p.incarnation == c.incarnation && p.endpoint == c.endpoint
            });
        if ends {
            if c.died {
                let condemn_ms = self.config.value("condemn_ms", "");
                self.suspects.quarantine(&f, self.now_ms, condemn_ms);
            } else if c.not_run {
                self.suspects.release(&f);
            } else {
                self.suspects.release(&f);
                self.suspects.by_fingerprint.remove(&f);
            }
        }
        Reply::Ok(OkReply {})
    }

    pub(crate) fn check_suspects(&self) {
        let permits = self
            .suspects
            .by_fingerprint
            .values()
            .filter(|s| s.permit.is_some())
            .count();
        assert_eq!(
            permits,
            self.suspects.endpoints.len(),
            "each endpoint runs at most one suspect request"
        );
        for (f, s) in &self.suspects.by_fingerprint {
            if let Some(p) = &s.permit {
                assert_eq!(self.suspects.endpoints.get(&p.endpoint), Some(f));
                assert!(
                    self.is_incarnation_open(&p.router, p.incarnation),
                    "a permit belongs to an open incarnation"
                );
            }
        }
    }
}
