//! Bounds how long ago an entry of the log was committed.
//!
//! The leader needs the bound to tell how long a dead router can have served after
//! its last contact. While it leads, its own clock shows it. For entries from before
//! a restart, the members say how old their copies of them are by their hosts' wall
//! clocks. An entry is committed once a majority has written it, so at least one copy
//! of any majority is as old as the commit or older, and the oldest copy gives the
//! bound. A clock that was set back during an outage makes copies look younger: one
//! more copy than a majority is required, so that no single clock decides.

use std::collections::VecDeque;

use anvilloft_consensus::LogIndex;
use anvilloft_types::prelude::*;
use anvilloft_wire::frame::EntryAge;

/// Minimum time between two applied entries that are recorded.
const APPLY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of applied entries that are recorded: those of the last minute or
/// more.
const MAX_APPLIED: usize = 1_200;
/// Maximum number of entries whose age a member may send.
const MAX_AGES: usize = 64;
/// Number of messages to a new leader that contain the ages of a member's entries: more
/// than one, as messages may be lost.
const AGE_MESSAGES: u32 = 20;
/// Minimum number of members whose copies must be known, however small the group.
const MIN_COPIES: usize = 3;

/// Ages of the entries that one member wrote before it was started.
#[derive(Clone, Debug)]
struct Copies {
    member: MemberId,
    // Sorted by index.
    ages: Vec<EntryAge>,
}

/// Times of entries, as known to this member in one term.
#[derive(Debug, Default)]
pub(crate) struct Contacts {
    /// A time at which this member was not yet the leader of the term.
    term_start: Duration,
    /// Entries that this member applied as the leader.
    applied: VecDeque<(LogIndex, Duration)>,
    // Sorted by member.
    copies: Vec<Copies>,
}

impl Contacts {
    /// Discards all times at the start of a term. `not_leader_at` is a time at which
    /// this member was not yet its leader.
    pub(crate) fn reset(&mut self, not_leader_at: Duration) {
        *self = Self {
            term_start: not_leader_at,
            ..Self::default()
        };
    }

    /// Records that this member applied an entry as the leader.
    pub(crate) fn record_applied(&mut self, now: Duration, index: LogIndex) {
        let last = self.applied.back();
        if last.is_some_and(|(_, at)| now < *at + APPLY_INTERVAL) {
            return;
        }
        self.applied.push_back((index, now));
        if self.applied.len() > MAX_APPLIED {
            self.applied.pop_front();
        }
    }

    /// Records the ages of a member's copies, which it sent in this term.
    pub(crate) fn record_ages(&mut self, member: MemberId, ages: &[EntryAge]) {
        let Err(at) = self.copies.binary_search_by_key(&member, |c| c.member) else {
            return;
        };
        let mut ages = ages.to_vec();
        ages.truncate(MAX_AGES);
        ages.sort_unstable_by_key(|a| a.index);
        self.copies.insert(at, Copies { member, ages });
    }

    /// Returns an upper bound of the time from the commit of an entry to `until`, or
    /// `None` if too little is known. `voters` are the members that vote, sorted.
    pub(crate) fn elapsed_until(
        &self,
        until: Duration,
        index: LogIndex,
        voters: &[MemberId],
    ) -> Option<Duration> {
        let known = self.applied.partition_point(|(i, _)| *i <= index);
        if let Some((_, at)) = known.checked_sub(1).and_then(|at| self.applied.get(at)) {
            return Some(until.saturating_sub(*at));
        }
        let ages: Vec<u64> = self
            .copies
            .iter()
            .filter(|c| voters.binary_search(&c.member).is_ok())
            .filter_map(|c| c.age_of(index))
            .collect();
        let majority = voters.len() / 2 + 1;
        if ages.len() < (majority + 1).max(MIN_COPIES) {
            return None;
        }
        // A member sends its ages after the election, so they count from the start of
        // the term at the earliest.
        let oldest = Duration::from_millis(ages.into_iter().max()?);
        Some((oldest + until).saturating_sub(self.term_start))
    }
}

impl Copies {
    /// Returns the age of the newest entry up to `index`, in milliseconds.
    fn age_of(&self, index: LogIndex) -> Option<u64> {
        let known = self.ages.partition_point(|a| a.index <= index);
        self.ages.get(known.checked_sub(1)?).map(|a| a.age_ms)
    }
}

/// Entries that this member wrote before it was started.
#[derive(Debug, Default)]
pub(crate) struct OwnCopies {
    // Index and age at `started_at`, sorted by index.
    ages: Vec<(LogIndex, Duration)>,
    started_at: Duration,
    /// Term in which the ages are sent to the leader.
    sent_term: u64,
    /// Number of messages in that term that contained them.
    sent_count: u32,
}

impl OwnCopies {
    /// Takes the write times that the store read, in milliseconds since the Unix
    /// epoch, and the same clock's time now.
    pub(crate) fn new(now: Duration, wall_ms: u64, write_times: &[(LogIndex, u64)]) -> Self {
        let ages = write_times.iter().filter_map(|(index, written_ms)| {
            // An entry from the future shows that the clock was set back.
            let age_ms = wall_ms.checked_sub(*written_ms)?;
            Some((*index, Duration::from_millis(age_ms)))
        });
        Self {
            ages: ages.collect(),
            started_at: now,
            sent_term: 0,
            sent_count: 0,
        }
    }

    /// Returns the ages for the next message to the leader of a term: none once enough
    /// messages have contained them.
    pub(crate) fn next_ages(&mut self, now: Duration, term: u64) -> Vec<EntryAge> {
        if self.sent_term != term {
            self.sent_term = term;
            self.sent_count = 0;
        }
        if self.sent_count == AGE_MESSAGES {
            return Vec::new();
        }
        self.sent_count += 1;
        self.ages(now)
    }

    /// Returns the ages now.
    pub(crate) fn ages(&self, now: Duration) -> Vec<EntryAge> {
        let since = now.saturating_sub(self.started_at);
        self.ages
            .iter()
            .map(|(index, age)| EntryAge {
                index: *index,
                // Rounded up, as an upper bound is sought.
                age_ms: u64::try_from((*age + since).as_millis() + 1).unwrap_or(u64::MAX),
            })
            .collect()
    }
}
