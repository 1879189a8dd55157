//! Requests that may have crashed an endpoint, as one router sees them.
//!
//! When a connection breaks off before the answer is whole, the router checks whether
//! the endpoint has crashed. If so, it reports the requests that waited there to
//! control, which finds out what crashes of the whole fleet have in common and
//! quarantines it. Requests with a quarantined trait are refused.

use anvilloft_types::prelude::*;
use xxhash_rust::xxh3::Xxh3;

use crate::cache::PromptPart;

/// Time for which a broken request waits for the check of its endpoint, and for which
/// a crash is known.
const RETENTION: Duration = Duration::from_secs(5);
/// Maximum number of broken requests that wait for the check of their endpoint.
/// Further ones are not reported.
const MAX_BROKEN: usize = 1_024;
/// Maximum number of whole requests, and of parts, of which an answer is remembered.
/// Those that were answered least recently are forgotten first. Parts are few beside the
/// requests that share them.
const MAX_ANSWERED: usize = 4_096;
/// A trait that was last answered less than this before a crash isn't its cause, so that
/// the crash of a busy endpoint isn't blamed on the parts that most prompts share.
const RECENT_ANSWER: Duration = Duration::from_secs(2);
/// Maximum number of quarantined traits that are kept.
const MAX_QUARANTINED: usize = 4_096;

/// Identity of a request in the search for what crashes endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestTraits {
    /// Fingerprint of the request as a whole. The same when its caller repeats it.
    pub whole: Fingerprint,
    /// Fingerprints of the parts of the prompt that other requests may share, in order.
    pub parts: Vec<Fingerprint>,
    /// Fingerprint of all parts of the prompt, with the one of the request itself.
    pub prompt: Fingerprint,
}

impl RequestTraits {
    /// Returns the traits of a request. `fields` identify it as a whole. The last part
    /// of a prompt belongs to one request or session.
    pub fn new(fields: &[&[u8]], prompt: &[PromptPart]) -> Self {
        let shared = prompt.len().saturating_sub(1);
        let ids: Vec<u8> = prompt.iter().flat_map(|p| p.id.to_be_bytes()).collect();
        Self {
            whole: fingerprint(b"request", fields),
            parts: prompt[..shared]
                .iter()
                .map(|p| fingerprint(b"part", &[&p.id.to_be_bytes()]))
                .collect(),
            prompt: fingerprint(b"prompt", &[&ids]),
        }
    }

    fn all(&self) -> impl Iterator<Item = &Fingerprint> {
        self.parts.iter().chain([&self.whole])
    }
}

/// Returns the hash of a list of fields. `domain` separates kinds of lists.
fn fingerprint(domain: &[u8], fields: &[&[u8]]) -> Fingerprint {
    let mut hash = Xxh3::new();
    for field in [domain].iter().chain(fields) {
        hash.update(&(field.len() as u64).to_be_bytes());
        hash.update(field);
    }
    hash.digest128().to_be_bytes()
}

/// A trait of a request that waited at a crashed endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedTrait {
    /// The trait.
    pub fingerprint: Fingerprint,
    /// When this router last saw an answer to a request with it: for the whole request its
    /// end, for a part also that it went on.
    pub answered_at: Option<Duration>,
    /// Whether that was shortly before the crash.
    pub answered_lately: bool,
}

/// A request that waited at a crashed endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedRequest {
    /// The request as a whole.
    pub whole: ReportedTrait,
    /// The parts that other requests may share, in order.
    pub parts: Vec<ReportedTrait>,
    /// Fingerprint of the whole prompt.
    pub prompt: Fingerprint,
    /// Whether it was sent there after another endpoint had broken it off.
    pub sent_on: bool,
}

/// A crash to report to control.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashedEndpoint {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Incarnation that crashed.
    pub incarnation: Incarnation,
    /// The requests that waited there for their whole answers.
    pub requests: Vec<ReportedRequest>,
    /// Time at which the first of them broke off.
    pub at: Duration,
}

/// A request whose connection broke off.
#[derive(Clone, Debug)]
pub struct BrokenRequest {
    /// Its traits.
    pub traits: RequestTraits,
    /// Whether it was sent there after another endpoint had broken it off.
    pub sent_on: bool,
}

impl From<RequestTraits> for BrokenRequest {
    fn from(traits: RequestTraits) -> Self {
        Self {
            traits,
            sent_on: false,
        }
    }
}

#[derive(Clone, Debug)]
struct Broken {
    endpoint: EndpointId,
    incarnation: Incarnation,
    at: Duration,
    request: BrokenRequest,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CheckState {
    Running,
    Crashed,
}

/// The check of an endpoint whose connections broke.
#[derive(Clone, Debug)]
struct Check {
    endpoint: EndpointId,
    incarnation: Incarnation,
    state: CheckState,
    /// When the endpoint came to this state.
    since: Duration,
}

impl Check {
    fn is_of(&self, endpoint: &str, incarnation: Incarnation) -> bool {
        self.endpoint == endpoint && self.incarnation == incarnation
    }
}

/// When requests with a trait were last answered.
#[derive(Debug, Default)]
struct Answers {
    // Sorted by trait.
    last: Vec<(Fingerprint, Duration)>,
}

impl Answers {
    fn record(&mut self, now: Duration, f: &Fingerprint) {
        match self.last.binary_search_by_key(f, |(f, _)| *f) {
            Ok(at) => {
                if let Some((_, answered_at)) = self.last.get_mut(at) {
                    *answered_at = now;
                }
            }
            Err(at) => self.last.insert(at, (*f, now)),
        }
        if self.last.len() > MAX_ANSWERED {
            self.forget_oldest();
        }
    }

    /// Forgets the older half.
    fn forget_oldest(&mut self) {
        let mut times: Vec<Duration> = self.last.iter().map(|(_, at)| *at).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.last.retain(|(_, at)| *at > median);
    }

    /// Forgets some traits, which are sorted.
    fn forget(&mut self, traits: &[Fingerprint]) {
        self.last.retain(|(f, _)| traits.binary_search(f).is_err());
    }

    fn last(&self, f: &Fingerprint) -> Option<Duration> {
        let at = self.last.binary_search_by_key(f, |(f, _)| *f).ok()?;
        self.last.get(at).map(|(_, at)| *at)
    }
}

/// A list of quarantined traits, as control sent it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineList {
    /// The traits.
    pub traits: Vec<Fingerprint>,
    /// Version of the list. A larger one is newer; older members don't send it.
    pub version: Option<u64>,
}

impl QuarantineList {
    /// Whether control made the list before the one of another version.
    fn is_older_than(&self, version: Option<u64>) -> bool {
        matches!((self.version, version), (Some(own), Some(other)) if own < other)
    }
}

/// The requests that broke off lately, and the quarantined traits.
#[derive(Debug, Default)]
pub struct CrashWatch {
    broken: Vec<Broken>,
    /// Endpoints that are being checked or have crashed.
    checks: Vec<Check>,
    answered_requests: Answers,
    answered_parts: Answers,
    // Sorted.
    quarantined: Vec<Fingerprint>,
    /// Version of the list of quarantined traits.
    version: Option<u64>,
}

impl CrashWatch {
    /// Returns a quarantined trait of a request, if it has one.
    pub fn find_quarantined<'a>(&self, traits: &'a RequestTraits) -> Option<&'a Fingerprint> {
        traits
            .all()
            .find(|f| self.quarantined.binary_search(f).is_ok())
    }

    /// Returns whether a request has a quarantined trait.
    pub fn is_quarantined(&self, traits: &RequestTraits) -> bool {
        self.find_quarantined(traits).is_some()
    }

    /// Replaces the quarantined traits, unless a newer list is known. Returns whether they
    /// changed.
    pub fn set_quarantined(&mut self, list: QuarantineList) -> bool {
        if list.is_older_than(self.version) {
            return false;
        }
        self.version = list.version;
        self.replace_quarantined(list.traits)
    }

    /// Takes a list that was sent ahead of the next lease. Without a version, it may be
    /// older than the known one, so its traits are only added.
    pub fn push_quarantined(&mut self, mut list: QuarantineList) -> bool {
        if list.version.is_some() {
            return self.set_quarantined(list);
        }
        list.traits.extend_from_slice(&self.quarantined);
        self.replace_quarantined(list.traits)
    }

    /// Takes the next list whatever its version is, as control may have lost its log.
    pub fn forget_quarantine_version(&mut self) {
        self.version = None;
    }

    /// Answers from before a quarantine say nothing about a trait after it.
    fn replace_quarantined(&mut self, mut list: Vec<Fingerprint>) -> bool {
        list.sort_unstable();
        list.dedup();
        list.truncate(MAX_QUARANTINED);
        let changed = list != self.quarantined;
        self.quarantined = list;
        if changed {
            self.answered_requests.forget(&self.quarantined);
            self.answered_parts.forget(&self.quarantined);
        }
        changed
    }

    /// Returns the number of quarantined traits.
    pub fn quarantined_count(&self) -> usize {
        self.quarantined.len()
    }

    /// Records that a request was answered in full.
    pub fn record_answer(&mut self, now: Duration, traits: &RequestTraits) {
        self.answered_requests.record(now, &traits.whole);
        self.record_progress(now, traits);
    }

    /// Records that an endpoint goes on after the beginning of an answer. The parts of the
    /// prompt count as answered then: after a restart of all routers, the first streams end
    /// only seconds later, and a part that most prompts share must not be blamed until then.
    pub fn record_progress(&mut self, now: Duration, traits: &RequestTraits) {
        for part in &traits.parts {
            self.answered_parts.record(now, part);
        }
    }

    /// Records that the connection of a request broke off before the answer was whole.
    /// Returns whether the endpoint must be checked now.
    pub fn record_broken(
        &mut self,
        now: Duration,
        endpoint: &str,
        incarnation: Incarnation,
        request: impl Into<BrokenRequest>,
    ) -> bool {
        self.expire(now);
        if self.broken.len() >= MAX_BROKEN {
            return false;
        }
        self.broken.push(Broken {
            endpoint: endpoint.to_owned(),
            incarnation,
            at: now,
            request: request.into(),
        });
        let is_known = self.checks.iter().any(|c| c.is_of(endpoint, incarnation));
        if !is_known {
            self.checks.push(Check {
                endpoint: endpoint.to_owned(),
                incarnation,
                state: CheckState::Running,
                since: now,
            });
        }
        !is_known
    }

    /// Records the result of the check of an endpoint.
    pub fn record_check(
        &mut self,
        now: Duration,
        endpoint: &str,
        incarnation: Incarnation,
        crashed: bool,
    ) {
        if crashed {
            for check in &mut self.checks {
                if check.is_of(endpoint, incarnation) {
                    check.since = now;
                    check.state = CheckState::Crashed;
                }
            }
        } else {
            self.checks.retain(|c| !c.is_of(endpoint, incarnation));
            self.broken
                .retain(|b| b.endpoint != endpoint || b.incarnation != incarnation);
        }
    }

    /// Returns the crashes to report, with the requests that broke off there since the
    /// last call.
    pub fn take_reports(&mut self, now: Duration) -> Vec<CrashedEndpoint> {
        let mut reports: Vec<CrashedEndpoint> = Vec::new();
        let (crashed, waiting): (Vec<Broken>, Vec<Broken>) =
            std::mem::take(&mut self.broken).into_iter().partition(|b| {
                self.checks
                    .iter()
                    .any(|c| c.state == CheckState::Crashed && c.is_of(&b.endpoint, b.incarnation))
            });
        self.broken = waiting;
        for b in crashed {
            let request = self.report_of(&b);
            let known = reports
                .iter_mut()
                .find(|r| r.endpoint == b.endpoint && r.incarnation == b.incarnation);
            match known {
                Some(report) => report.requests.push(request),
                None => reports.push(CrashedEndpoint {
                    endpoint: b.endpoint,
                    incarnation: b.incarnation,
                    requests: vec![request],
                    at: b.at,
                }),
            }
        }
        self.expire(now);
        reports
    }

    /// Returns what speaks for and against a request.
    fn report_of(&self, b: &Broken) -> ReportedRequest {
        let reported = |f: &Fingerprint, answers: &Answers| {
            let answered_at = answers.last(f);
            ReportedTrait {
                fingerprint: *f,
                answered_at,
                answered_lately: answered_at.is_some_and(|at| at + RECENT_ANSWER > b.at),
            }
        };
        let traits = &b.request.traits;
        let parts = traits.parts.iter();
        ReportedRequest {
            whole: reported(&traits.whole, &self.answered_requests),
            parts: parts.map(|f| reported(f, &self.answered_parts)).collect(),
            prompt: traits.prompt,
            sent_on: b.request.sent_on,
        }
    }

    fn expire(&mut self, now: Duration) {
        let is_recent = |at: Duration| now.saturating_sub(at) < RETENTION;
        self.broken.retain(|b| is_recent(b.at));
        self.checks.retain(|c| is_recent(c.since));
    }
}
