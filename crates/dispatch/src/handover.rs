//! Decides when a request that waits for a silent endpoint may move to another one.
//!
//! A silent endpoint may be sound and go on, so it is given up only once another
//! endpoint has the request. Another endpoint that is full would only queue it, which is
//! no gain while the first may go on.
//!
//! A busy engine reads other prompts before it sends the first event, so silence alone
//! doesn't tell it from a dead one. Moving its prompt makes another engine read the shared
//! parts again, which delays the prompts there until they move as well. An engine without
//! evidence against it therefore keeps a prompt for longer.

use anvilloft_types::prelude::*;

/// Silence after which an endpoint is left for one that may queue the request, or though
/// the request can't return to it, as a multiple of the silence after which another
/// endpoint is asked.
const LONG_SILENCE_FACTOR: u32 = 2;

/// Time for which an engine without evidence against it keeps a request before the first
/// event, as a multiple of the objective. Callers wait for four objectives at least.
const SOUND_WAIT_OBJECTIVES: u32 = 4;
/// Maximum of that time for long objectives, unless the common wait is longer.
const MAX_SOUND_WAIT: Duration = Duration::from_millis(2_400);
/// Interval at which evidence is looked for while there is none.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(100);

/// What supports the decision to ask another endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// A connection to the endpoint failed or broke since the request was sent.
    ConnectionFailed,
    /// The endpoint's announcements are overdue, while most others' are not.
    AnnouncementsOverdue,
    /// The endpoint has left, has restarted or isn't known any more.
    Gone,
    /// Only the length of the silence.
    Silence,
}

impl Evidence {
    /// Returns the evidence for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionFailed => "connection_failed",
            Self::AnnouncementsOverdue => "announcements_overdue",
            Self::Gone => "gone",
            Self::Silence => "silence",
        }
    }
}

/// Returns how long an engine without evidence against it keeps a request before the first
/// event. `common_wait` is the wait with such evidence.
pub fn sound_engine_wait(objective: Duration, common_wait: Duration) -> Duration {
    let wait = objective.saturating_mul(SOUND_WAIT_OBJECTIVES);
    wait.min(MAX_SOUND_WAIT).max(common_wait)
}

/// Why a request isn't left to another endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepReason {
    /// The request may have run and must not run twice.
    NotRepeatable,
    /// The route's limit of endpoints is reached.
    EndpointLimit,
    /// No endpoint that the request wasn't sent to is usable, or has the free slot that it
    /// needs.
    NoneUsable,
    /// The retry budget of the service is used up.
    RetryBudget,
    /// The deadline of the request has passed.
    Deadline,
    /// Requests like this one crash endpoints.
    Quarantined,
    /// The silent endpoint has answered other requests meanwhile.
    AnswersOthers,
    /// The silent endpoint is leaving, so the request couldn't return to it.
    Leaving,
    /// There is no evidence that the silent engine is dead.
    NoEvidence,
}

impl KeepReason {
    /// Returns the reason for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRepeatable => "not_repeatable",
            Self::EndpointLimit => "endpoint_limit",
            Self::NoneUsable => "none_usable",
            Self::RetryBudget => "retry_budget",
            Self::Deadline => "deadline",
            Self::Quarantined => "quarantined",
            Self::AnswersOthers => "answers_others",
            Self::Leaving => "leaving",
            Self::NoEvidence => "no_evidence",
        }
    }
}

/// Where a request has been so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentState {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether an endpoint may have run it.
    pub may_have_run: bool,
    /// Number of endpoints that received it.
    pub sent: u32,
    /// The route's limit of endpoints.
    pub max_endpoints: u32,
}

impl SentState {
    /// Checks whether the request may be sent to one more endpoint.
    ///
    /// # Errors
    ///
    /// Returns why it may not.
    pub fn may_send_again(&self) -> Result<(), KeepReason> {
        if self.sent == 0 {
            return Ok(());
        }
        if self.may_have_run && !self.repeatable {
            return Err(KeepReason::NotRepeatable);
        }
        if self.sent >= self.max_endpoints {
            return Err(KeepReason::EndpointLimit);
        }
        Ok(())
    }
}

/// Says when to ask for another endpoint because the current one is silent: first
/// after `limit`, then every `interval`.
#[derive(Clone, Copy, Debug)]
pub struct SilenceTimer {
    limit: Duration,
    interval: Duration,
    heard_at: Duration,
    /// When another endpoint is to be asked for, if not after `limit`.
    due_at: Option<Duration>,
    /// Time before which an endpoint is kept without evidence against it.
    sound_until: Option<Duration>,
}

impl SilenceTimer {
    /// Creates a timer for an endpoint that was heard at `now`.
    pub fn new(limit: Duration, interval: Duration, now: Duration) -> Self {
        Self {
            limit,
            interval,
            heard_at: now,
            due_at: None,
            sound_until: None,
        }
    }

    /// Keeps the endpoint until `at` if there is no evidence against it.
    pub fn keep_sound_until(mut self, at: Duration) -> Self {
        self.sound_until = Some(at);
        self
    }

    /// Returns what supports asking another endpoint after the limit, or `None` if the
    /// silent one is kept. `suspicion` is the evidence against that one.
    pub fn evidence(&self, now: Duration, suspicion: Option<Evidence>) -> Option<Evidence> {
        match self.sound_until {
            Some(at) if now < at => suspicion,
            Some(_) => Some(suspicion.unwrap_or(Evidence::Silence)),
            None => Some(Evidence::Silence),
        }
    }

    /// Records that there was no evidence.
    pub fn kept(&mut self, now: Duration) {
        let next = now.saturating_add(EVIDENCE_INTERVAL);
        self.due_at = Some(self.sound_until.map_or(next, |at| at.clamp(now, next)));
    }

    /// Records that the endpoint was heard.
    pub fn heard(&mut self, now: Duration) {
        self.heard_at = now;
        self.due_at = None;
    }

    /// Records that another endpoint was asked for.
    pub fn asked(&mut self, now: Duration) {
        self.due_at = Some(now.saturating_add(self.interval));
    }

    /// Returns for how long the endpoint has been silent.
    pub fn silent_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.heard_at)
    }

    /// Whether the endpoint has been silent for the whole limit.
    pub fn is_over(&self, now: Duration) -> bool {
        self.silent_for(now) >= self.limit
    }

    /// Whether only an endpoint with a free slot may be asked. `answers_others` tells that
    /// the silent one has answered other requests meanwhile.
    pub fn needs_free_slot(&self, now: Duration, answers_others: bool) -> bool {
        answers_others || !self.is_long(now)
    }

    /// Whether the endpoint has been silent for so long that it is left even where that
    /// may be no gain.
    pub fn is_long(&self, now: Duration) -> bool {
        self.silent_for(now) >= self.limit.saturating_mul(LONG_SILENCE_FACTOR)
    }

    /// Returns the time until another endpoint is to be asked for.
    pub fn until_ask(&self, now: Duration) -> Duration {
        let first_due_at = self.heard_at.saturating_add(self.limit);
        self.due_at.unwrap_or(first_due_at).saturating_sub(now)
    }
}
