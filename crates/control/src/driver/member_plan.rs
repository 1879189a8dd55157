//! Decides which member the leader adds to the voters or removes next.

use anvilloft_consensus::MemberChange;
use anvilloft_types::prelude::*;

/// Time without a reply after which a member counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without a reply after which a learner is removed that would ask to join again,
/// and from an even group a voter that would not. Longer than partitions of a single host
/// usually last.
const GONE_TIMEOUT: Duration = Duration::from_secs(12);

/// A member, as its leader sees it.
#[derive(Clone, Debug)]
pub(super) struct MemberView<'a> {
    pub(super) id: MemberId,
    pub(super) address: &'a str,
    pub(super) voter: bool,
    pub(super) is_caught_up: bool,
    /// Time since the last reply, or since the election if there was none. Zero for the
    /// leader itself.
    pub(super) silent_for: Duration,
    /// Whether the member has replied to this leader.
    pub(super) has_replied: bool,
}

/// Settings of the decisions.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PlanConfig {
    /// Whether members that were removed ask to join again by themselves.
    pub(super) members_rejoin: bool,
    /// Time without a reply after which a member that rejoins counts as silent if it hasn't
    /// replied to this leader at all. Each new leader starts to measure anew, so that a longer one
    /// would keep dead voters while leaders are replaced in series.
    pub(super) first_reply_timeout: Duration,
}

impl PlanConfig {
    pub(super) fn is_silent(&self, m: &MemberView<'_>) -> bool {
        let limit = match m.has_replied || !self.members_rejoin {
            true => SILENCE_TIMEOUT,
            false => self.first_reply_timeout.min(SILENCE_TIMEOUT),
        };
        m.silent_for >= limit
    }

    /// Returns the next change, if any.
    ///
    /// A learner that has caught up is promoted at once, which never lowers the number of
    /// failures that the group tolerates. If a voter is silent, that one is removed
    /// first, so that the majority doesn't rise with it.
    pub(super) fn next_change(&self, members: &[MemberView<'_>]) -> Option<MemberChange> {
        let taken_over = |m: &MemberView<'_>| {
            members.iter().find(|o| {
                o.id != m.id
                    && o.address == m.address
                    && !o.address.is_empty()
                    && self.is_silent(o)
                    && !self.is_silent(m)
            })
        };
        let longest_silent = members
            .iter()
            .filter(|m| m.voter && self.is_silent(m))
            .max_by_key(|m| m.silent_for);
        let mut ready = members.iter().filter(|m| m.voter || m.is_caught_up);
        if let Some(old) = ready.find_map(taken_over) {
            return Some(MemberChange::Remove(old.id));
        }
        if let Some(learner) = members.iter().find(|m| !m.voter && m.is_caught_up) {
            return Some(match longest_silent {
                Some(old) => MemberChange::Remove(old.id),
                None => MemberChange::Promote(learner.id),
            });
        }
        let surplus = longest_silent.filter(|m| self.is_surplus(members, m));
        let gone = surplus.or_else(|| members.iter().find(|m| self.is_gone_learner(m)));
        gone.map(|m| MemberChange::Remove(m.id))
    }

    /// Returns whether a learner may never return, such as one that was replaced before it
    /// had caught up. One that does return asks to join again.
    fn is_gone_learner(&self, m: &MemberView<'_>) -> bool {
        self.members_rejoin && !m.voter && m.silent_for >= GONE_TIMEOUT
    }

    /// Returns whether the group tolerates more failures without a silent voter.
    ///
    /// An even group always does. An odd one does once two voters are gone; these are
    /// kept while so few others are left that they may be needed when they return.
    fn is_surplus(&self, members: &[MemberView<'_>], voter: &MemberView<'_>) -> bool {
        let voters = members.iter().filter(|m| m.voter);
        let (silent, live): (Vec<_>, Vec<_>) = voters.partition(|m| self.is_silent(m));
        let is_even = (silent.len() + live.len()).is_multiple_of(2);
        match self.members_rejoin {
            true => is_even || (silent.len() >= 2 && live.len() > 2 * silent.len()),
            false => is_even && voter.silent_for >= GONE_TIMEOUT,
        }
    }
}
