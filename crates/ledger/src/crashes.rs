//! Finds out which requests crash endpoints, and quarantines them.
//!
//! A request that crashes an endpoint takes others down with it, so one crash says
//! little about any of them. What they have in common with the requests of other
//! crashes says more: a part of the prompt, or the whole request if its caller sends
//! it again. Such a trait is quarantined once enough endpoints crashed while requests
//! with it waited for their whole answers. Then the crashes are explained, and the
//! other traits that were seen there are cleared of them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use anvilloft_types::EndpointId;
use anvilloft_types::Fingerprint;
use anvilloft_types::Incarnation;
use anvilloft_wire::CommandReply;
use anvilloft_wire::command::Crash as CrashReport;
use anvilloft_wire::command::Ok as OkReply;
use anvilloft_wire::command::Quarantined;
use anvilloft_wire::command::ReleaseQuarantine;
use anvilloft_wire::command::Reply;
use anvilloft_wire::command::ReportCrashes;
use anvilloft_wire::command::RequestTrait;
use prost::Message;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

use crate::changes::ChangeReply;
use crate::code;
use crate::code::refused;
use crate::ledger::Ledger;
use crate::ledger::has_elapsed;
use crate::validate::MAX_REASON_BYTES;
use crate::validate::check_name;

/// Time for which a crash counts, in milliseconds.
const CRASH_RETENTION_MS: u64 = 600_000;
/// Maximum number of crashes that are kept; the oldest are dropped first.
const MAX_CRASHES: usize = 64;
/// Maximum number of suspected traits that are kept of one crash, and of those that were
/// answered lately. Further ones stay unsuspected.
const MAX_TRAITS: usize = 256;
/// Maximum number of crashes in one report.
const MAX_REPORTED: usize = 64;
/// Maximum number of quarantined traits. The longest quarantined are released first.
const MAX_QUARANTINED: usize = 1_024;
/// Crashes after which a trait is quarantined if no request with it was answered.
const MIN_CRASHES: usize = 3;
/// The same if some request with it was answered, so that it's harmless as far as is
/// known: many requests share it, so it's present at most crashes.
const MIN_CRASHES_ANSWERED: usize = 6;
/// Different requests with a part that must have waited at crashed endpoints before
/// the part is quarantined. Copies of one request say nothing about its parts.
const MIN_REQUESTS: usize = 2;
/// Time within which crashes may have a cause that they share, in milliseconds, such as
/// the loss of a rack. They count as one, except for a request that was never answered, was
/// sent on from one that had broken off, and waited at every endpoint that crashed then.
const SAME_CAUSE_MS: u64 = 100;

/// A trait of the requests that waited at an endpoint when it crashed.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Suspect {
    #[prost(bytes = "vec", tag = "1")]
    pub(crate) fingerprint: Vec<u8>,
    #[prost(bool, tag = "2")]
    pub(crate) answered: bool,
    /// Place of a part in the prompt; those that more requests share are first.
    #[prost(uint32, tag = "3")]
    pub(crate) place: u32,
    /// Fingerprints of some requests with a part, at most [`MIN_REQUESTS`]. Empty for
    /// a whole request.
    #[prost(bytes = "vec", repeated, tag = "4")]
    pub(crate) requests: Vec<Vec<u8>>,
    /// Whether some router saw an answer to a request with it shortly before the crash.
    /// The crash doesn't speak against it then, whatever other routers saw.
    #[prost(bool, tag = "5")]
    pub(crate) answered_lately: bool,
    /// Ledger time of the last answer to a request with it; 0 if unknown.
    #[prost(uint64, tag = "6")]
    pub(crate) answered_at_ms: u64,
    /// Whether a request was sent there after another endpoint had broken it off.
    #[prost(bool, tag = "7")]
    pub(crate) sent_on: bool,
}

impl Suspect {
    fn is_part(&self) -> bool {
        !self.requests.is_empty()
    }
}

/// Returns what tells a request from copies of it. The whole request doesn't if it was
/// answered before, as with another prompt.
fn request_id<'a>(whole: &'a RequestTrait, prompt: &'a [u8]) -> &'a [u8] {
    // Older routers don't send the prompt.
    match whole.answered && !prompt.is_empty() {
        true => prompt,
        false => &whole.fingerprint,
    }
}

/// What is known to have crashed an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum Explanation {
    /// Nothing.
    None = 0,
    /// A request. A part of its prompt may be the deeper cause.
    Request = 1,
    /// A part of a prompt.
    Part = 2,
}

/// An endpoint that crashed.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Crash {
    #[prost(uint64, tag = "1")]
    pub(crate) at_ms: u64,
    #[prost(string, tag = "2")]
    pub(crate) endpoint: EndpointId,
    #[prost(uint64, tag = "3")]
    pub(crate) incarnation: Incarnation,
    /// Sorted by fingerprint, without those that the explanation clears.
    #[prost(message, repeated, tag = "4")]
    pub(crate) suspects: Vec<Suspect>,
    #[prost(enumeration = "Explanation", tag = "5")]
    pub(crate) explanation: i32,
}

impl Crash {
    /// Returns the place of a trait among the suspects, or the one at which it would be
    /// inserted.
    fn position(&self, f: &[u8]) -> Result<usize, usize> {
        self.suspects
            .binary_search_by(|s| s.fingerprint.as_slice().cmp(f))
    }

    fn suspect(&self, f: &[u8]) -> Option<&Suspect> {
        self.suspects.get(self.position(f).ok()?)
    }

    fn count(&self, answered_lately: bool) -> usize {
        self.suspects
            .iter()
            .filter(|s| s.answered_lately == answered_lately)
            .count()
    }

    /// Adds a trait of a request, unless the crash is explained without it.
    fn add(&mut self, now_ms: u64, t: &RequestTrait, place: u32, part_of: Option<&[u8]>) {
        let is_cleared = match self.explanation() {
            Explanation::None => false,
            Explanation::Request => part_of.is_none(),
            Explanation::Part => true,
        };
        if is_cleared || Fingerprint::try_from(t.fingerprint.as_slice()).is_err() {
            return;
        }
        let at = match self.position(&t.fingerprint) {
            Ok(at) => at,
            Err(_) if self.count(t.answered_lately) >= MAX_TRAITS => return,
            Err(at) => {
                let suspect = Suspect {
                    fingerprint: t.fingerprint.clone(),
                    answered_lately: t.answered_lately,
                    ..Suspect::default()
                };
                self.suspects.insert(at, suspect);
                at
            }
        };
        let Some(suspect) = self.suspects.get_mut(at) else {
            return;
        };
        suspect.answered |= t.answered;
        suspect.answered_lately |= t.answered_lately;
        if let Some(age_ms) = t.answer_age_ms {
            let answered_at_ms = now_ms.saturating_sub(age_ms);
            suspect.answered_at_ms = suspect.answered_at_ms.max(answered_at_ms);
        }
        suspect.place = suspect.place.max(place);
        if let Some(request) = part_of
            && Fingerprint::try_from(request).is_ok()
            && suspect.requests.len() < MIN_REQUESTS
            && !suspect.requests.iter().any(|r| r == request)
        {
            suspect.requests.push(request.to_vec());
        }
    }

    /// Records that a request was sent there after another endpoint had broken it off.
    fn set_sent_on(&mut self, f: &[u8]) {
        if let Ok(at) = self.position(f)
            && let Some(suspect) = self.suspects.get_mut(at)
        {
            suspect.sent_on = true;
        }
    }

    /// Takes a suspect as the cause, which clears the others. A request doesn't clear
    /// the parts of its prompt.
    fn explain(&mut self, f: &Fingerprint) {
        match self.suspect(f).map(Suspect::is_part) {
            None => {}
            Some(true) => {
                self.suspects.clear();
                self.set_explanation(Explanation::Part);
            }
            Some(false) => {
                self.suspects.retain(Suspect::is_part);
                self.set_explanation(Explanation::Request);
            }
        }
    }
}

/// A trait whose requests are or were refused.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Quarantine {
    #[prost(bytes = "vec", tag = "1")]
    pub(crate) fingerprint: Vec<u8>,
    /// Ledger time from which requests with the trait may run again. One more crash
    /// quarantines it again, unless a request with it was answered meanwhile.
    #[prost(uint64, tag = "2")]
    pub(crate) until_ms: u64,
    /// Whether requests with the trait run again.
    #[prost(bool, tag = "3")]
    pub(crate) is_over: bool,
    /// Ledger time of its start.
    #[prost(uint64, tag = "4")]
    pub(crate) since_ms: u64,
    /// Whether the trait is a part of prompts, not a whole request.
    #[prost(bool, tag = "5")]
    pub(crate) is_part: bool,
    /// Number of crashes that spoke against it.
    #[prost(uint32, tag = "6")]
    pub(crate) crashes: u32,
}

/// How strongly crashes speak against a trait.
#[derive(Clone, Debug, Default)]
struct Evidence<'a> {
    crashes: usize,
    last_at_ms: u64,
    answered: bool,
    place: u32,
    /// Different requests with a part. Empty for a whole request.
    requests: Vec<&'a [u8]>,
}

impl<'a> Evidence<'a> {
    /// Adds a crash at which a trait was seen. `is_alone` tells whether no endpoint crashed
    /// at about the same time without the trait.
    fn add(&mut self, crash: &Crash, s: &'a Suspect, is_alone: impl FnOnce() -> bool) {
        if s.answered_lately {
            return;
        }
        self.place = self.place.max(s.place);
        for request in &s.requests {
            if !self.requests.contains(&request.as_slice()) {
                self.requests.push(request);
            }
        }
        let since_last = crash.at_ms.saturating_sub(self.last_at_ms);
        let may_share_cause = self.crashes > 0 && since_last < SAME_CAUSE_MS;
        let is_sent_on = s.sent_on && !s.is_part() && !self.answered;
        if !may_share_cause || (is_sent_on && is_alone()) {
            self.crashes += 1;
            self.last_at_ms = crash.at_ms;
        }
    }

    fn is_sufficient(&self) -> bool {
        let min_crashes = match self.answered {
            true => MIN_CRASHES_ANSWERED,
            false => MIN_CRASHES,
        };
        let is_copies_of_one = !self.requests.is_empty() && self.requests.len() < MIN_REQUESTS;
        self.crashes >= min_crashes && !is_copies_of_one
    }

    /// Orders traits: the one that explains the crashes best is the largest.
    fn rank(&self) -> (bool, usize, bool, u32) {
        let is_part = !self.requests.is_empty();
        (!self.answered, self.crashes, is_part, self.place)
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Crashes {
    /// Sorted by time.
    pub(crate) crashes: VecDeque<Crash>,
    pub(crate) quarantines: BTreeMap<Fingerprint, Quarantine>,
    /// Log index of the command that last changed which requests are refused.
    pub(crate) version: u64,
}

impl Crashes {
    /// Returns the traits whose requests are refused.
    pub(crate) fn quarantined(&self) -> Vec<Fingerprint> {
        self.quarantines
            .iter()
            .filter(|(_, q)| !q.is_over)
            .map(|(f, _)| *f)
            .collect()
    }

    /// Records what one router saw of a crash.
    fn record(&mut self, report: &CrashReport, now_ms: u64) {
        let at_ms = now_ms.saturating_sub(report.age_ms);
        let known = self.crashes.iter().position(|c| {
            c.endpoint == report.endpoint && c.incarnation == report.endpoint_incarnation
        });
        let known = known.and_then(|at| self.crashes.remove(at));
        let mut crash = known.unwrap_or_else(|| Crash {
            at_ms,
            endpoint: report.endpoint.clone(),
            incarnation: report.endpoint_incarnation,
            suspects: Vec::new(),
            explanation: Explanation::None.into(),
        });
        // The router that noticed it first may report it last.
        crash.at_ms = crash.at_ms.min(at_ms);
        for request in &report.requests {
            let Some(whole) = &request.whole else {
                continue;
            };
            crash.add(now_ms, whole, 0, None);
            if request.sent_on {
                crash.set_sent_on(&whole.fingerprint);
            }
            let id = request_id(whole, &request.prompt);
            for (place, part) in (0..).zip(&request.parts) {
                crash.add(now_ms, part, place, Some(id));
            }
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        let place = self.crashes.partition_point(|c| c.at_ms <= crash.at_ms);
        self.crashes.insert(place, crash);
    }

    fn evidence(&self, f: &Fingerprint) -> Evidence<'_> {
        let seen = || {
            self.crashes
                .iter()
                .filter_map(|crash| Some((crash, crash.suspect(f)?)))
        };
        let mut evidence = Evidence {
            answered: seen().any(|(_, s)| s.answered),
            ..Evidence::default()
        };
        // What was answered since a crash didn't cause it.
        let answered_at_ms = seen().map(|(_, s)| s.answered_at_ms).max().unwrap_or(0);
        for (crash, s) in seen().filter(|(crash, _)| crash.at_ms >= answered_at_ms) {
            evidence.add(crash, s, || self.is_alone(crash, f));
        }
        evidence
    }

    /// Returns whether a trait was seen at every endpoint that crashed at about the same
    /// time as this one.
    fn is_alone(&self, crash: &Crash, f: &Fingerprint) -> bool {
        let is_near = |c: &&Crash| c.at_ms.abs_diff(crash.at_ms) < SAME_CAUSE_MS;
        let mut near = self.crashes.iter().filter(is_near);
        near.all(|c| c.suspect(f).is_some())
    }

    /// Returns the one of some traits that explains the crashes best, if the evidence
    /// suffices.
    fn culprit(&self, traits: &BTreeSet<Fingerprint>) -> Option<Fingerprint> {
        traits
            .iter()
            .map(|f| (f, self.evidence(f)))
            .filter(|(_, e)| e.is_sufficient())
            .max_by_key(|(_, e)| e.rank())
            .map(|(f, _)| *f)
    }

    /// Quarantines a trait, and takes the crashes at which it was seen as explained.
    fn quarantine(&mut self, f: Fingerprint, now_ms: u64, until_ms: u64) {
        if self.quarantines.len() >= MAX_QUARANTINED
            && !self.quarantines.contains_key(&f)
            && let Some(first) = self
                .quarantines
                .iter()
                .min_by_key(|(_, q)| q.until_ms)
                .map(|(f, _)| *f)
        {
            self.quarantines.remove(&first);
        }
        let evidence = self.evidence(&f);
        let quarantine = Quarantine {
            fingerprint: f.to_vec(),
            until_ms,
            is_over: false,
            since_ms: now_ms,
            is_part: !evidence.requests.is_empty(),
            crashes: evidence.crashes as u32,
        };
        self.quarantines.insert(f, quarantine);
        self.explain(&f);
    }

    fn explain(&mut self, f: &Fingerprint) {
        for crash in &mut self.crashes {
            crash.explain(f);
        }
    }

    /// Quarantines those of the reported traits for which the evidence now suffices.
    /// Returns whether there are any.
    fn judge(&mut self, reported: &BTreeSet<Fingerprint>, now_ms: u64, quarantine_ms: u64) -> bool {
        let until_ms = now_ms.saturating_add(quarantine_ms);
        let mut changed = false;
        for f in reported {
            match self.quarantines.get(f).map(|q| q.is_over) {
                None => {}
                Some(true) => {
                    let evidence = self.evidence(f);
                    if evidence.crashes > 0 && !evidence.answered {
                        self.quarantine(*f, now_ms, until_ms);
                        changed = true;
                    }
                }
                // The request was sent before its quarantine was known.
                Some(false) => self.explain(f),
            }
        }
        while let Some(f) = self.culprit(reported) {
            self.quarantine(f, now_ms, until_ms);
            changed = true;
        }
        changed
    }

    /// Ends the quarantine of a trait, and takes the crashes so far as no evidence against
    /// it. Returns the quarantine.
    fn release(&mut self, f: &Fingerprint) -> Option<Quarantine> {
        for crash in &mut self.crashes {
            crash.suspects.retain(|s| s.fingerprint != f);
        }
        self.quarantines.remove(f)
    }

    /// Drops what no longer counts, and ends quarantines. Returns whether any ended.
    fn expire(&mut self, now_ms: u64, quarantine_ms: u64) -> bool {
        self.crashes
            .retain(|c| !has_elapsed(now_ms, c.at_ms, CRASH_RETENTION_MS));
        let mut changed = false;
        self.quarantines.retain(|_, q| {
            if !q.is_over && q.until_ms <= now_ms {
                q.is_over = true;
                changed = true;
            }
            !has_elapsed(now_ms, q.until_ms, quarantine_ms)
        });
        changed
    }
}

fn to_hex(fingerprint: &[u8]) -> String {
    fingerprint.iter().map(|b| format!("{b:02x}")).collect()
}

impl Ledger {
    pub(crate) fn report_crashes(&mut self, c: &ReportCrashes) -> Reply {
        if c.crashes.len() > MAX_REPORTED {
            return refused(
                code::OUT_OF_RANGE,
                format!("a report has at most {MAX_REPORTED} crashes"),
            );
        }
        let now_ms = self.now_ms;
        let quarantine_ms = self.config.value("condemn_ms", "");
        for crash in &c.crashes {
            if let Err((code, message)) = check_name(&crash.endpoint) {
                return refused(code, message);
            }
        }
        for crash in &c.crashes {
            self.crashes.record(crash, now_ms);
        }
        self.expire_crashes();
        let requests = c.crashes.iter().flat_map(|c| &c.requests);
        let reported = requests
            .flat_map(|r| r.whole.iter().chain(&r.parts))
            .filter_map(|t| Fingerprint::try_from(t.fingerprint.as_slice()).ok())
            .collect();
        if self.crashes.judge(&reported, now_ms, quarantine_ms) {
            self.crashes.version = self.log_index;
        }
        Reply::Quarantined(self.quarantined())
    }

    pub(crate) fn expire_crashes(&mut self) {
        let quarantine_ms = self.config.value("condemn_ms", "");
        if self.crashes.expire(self.now_ms, quarantine_ms) {
            self.crashes.version = self.log_index;
        }
    }

    pub(crate) fn release_quarantine(&mut self, c: &ReleaseQuarantine) -> Reply {
        if let Err((code, message)) = check_name(&c.change_id) {
            return refused(code, message);
        }
        if c.reason.len() > MAX_REASON_BYTES || c.author.len() > MAX_REASON_BYTES {
            return refused(
                code::OUT_OF_RANGE,
                format!("a reason and an author have at most {MAX_REASON_BYTES} bytes"),
            );
        }
        let Ok(f) = Fingerprint::try_from(c.fingerprint.as_slice()) else {
            return refused(code::MALFORMED, "a fingerprint has 16 bytes");
        };
        let digest = Sha256::digest(c.encode_to_vec()).to_vec();
        if let Some(reply) = self.changes.repeated_reply(&c.change_id, &digest) {
            return reply;
        }
        if let Err(full) = self.changes.check_room() {
            return full;
        }
        let Some(released) = self.crashes.release(&f) else {
            return refused(
                code::UNKNOWN_QUARANTINE,
                format!("{} is not in quarantine", to_hex(&f)),
            );
        };
        if !released.is_over {
            self.crashes.version = self.log_index;
        }
        let reply = Reply::Ok(OkReply {});
        self.changes.store_reply(ChangeReply {
            change_id: c.change_id.clone(),
            at_ms: self.now_ms,
            digest,
            reply: Some(CommandReply {
                reply: Some(reply.clone()),
            }),
        });
        reply
    }

    /// Returns the quarantined traits as operators see them, the newest first.
    pub(crate) fn query_quarantines(&self) -> Value {
        let mut rows: Vec<&Quarantine> = self.crashes.quarantines.values().collect();
        rows.retain(|q| !q.is_over);
        rows.sort_by_key(|q| Reverse(q.since_ms));
        rows.into_iter()
            .map(|q| {
                json!({
                    "fingerprint": to_hex(&q.fingerprint),
                    "kind": if q.is_part { "part" } else { "request" },
                    "crashes": q.crashes,
                    "since_ms": q.since_ms,
                    "until_ms": q.until_ms,
                })
            })
            .collect()
    }

    /// Returns the fingerprints of the traits whose requests are refused.
    pub fn quarantined_fingerprints(&self) -> Vec<Fingerprint> {
        self.crashes.quarantined()
    }

    /// Returns the log index of the command that last changed these traits, or 0.
    pub fn quarantine_version(&self) -> u64 {
        self.crashes.version
    }

    /// Returns these traits as routers get them.
    pub fn quarantined(&self) -> Quarantined {
        let fingerprints = self.quarantined_fingerprints();
        Quarantined {
            fingerprints: fingerprints.iter().map(|f| f.to_vec()).collect(),
            version: Some(self.crashes.version),
        }
    }
}
