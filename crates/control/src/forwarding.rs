//! Decides where a call of a member's own caller goes: to the leader over one of the
//! sessions with it, or to another member, which forwards it.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Time after which a call may go over a further path.
const FURTHER_PATH_DELAY: Duration = Duration::from_millis(200);
/// Delay before a call is retried after an attempt that ended without an answer.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Member at the other end of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Leader,
    /// A member that forwards the call to the leader that it knows.
    Other,
}

/// State of a path in one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Attempt {
    None,
    InFlight,
    /// The attempt ended without an answer.
    Failed,
}

/// A way to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Path {
    pub(crate) end: End,
    pub(crate) is_responsive: bool,
    pub(crate) attempt: Attempt,
}

impl Path {
    /// Returns the rank of the path; lower is better.
    fn rank(&self) -> u8 {
        match (self.end, self.is_responsive) {
            (End::Leader, true) => 0,
            (End::Other, true) => 1,
            (End::Leader, false) => 2,
            (End::Other, false) => 3,
        }
    }

    /// Returns whether the path may be used now. The leader may be asked again, since it
    /// refuses calls right after its election.
    fn is_free(&self) -> bool {
        match self.attempt {
            Attempt::None => true,
            Attempt::InFlight => false,
            Attempt::Failed => self.end == End::Leader,
        }
    }
}

/// What is known when the next step of a call is decided.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Situation<'a> {
    /// Time since the call arrived.
    pub(crate) elapsed: Duration,
    /// Time since the last attempt started.
    pub(crate) since_attempt: Option<Duration>,
    /// Time since the member lost sight of its leader, if it knows none.
    pub(crate) leaderless: Option<Duration>,
    /// Time that an election takes at most, if no vote is split.
    pub(crate) election_time: Duration,
    /// Paths in the order of preference among equals.
    pub(crate) paths: &'a [Path],
    /// Whether the call may be sent again while an earlier attempt is in flight.
    pub(crate) allows_further: bool,
}

/// What is to be done next for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Send the call over the path with this index.
    Try(usize),
    /// Decide again after this time, or when something has changed.
    Wait(Duration),
    /// Refuse the call, so that its caller tries another member.
    Refuse,
}

impl Situation<'_> {
    pub(crate) fn next_step(&self) -> Step {
        let is_waiting = self.paths.iter().any(|p| p.attempt == Attempt::InFlight);
        let delay = match is_waiting {
            true if !self.allows_further => return Step::Wait(FURTHER_PATH_DELAY),
            true => FURTHER_PATH_DELAY,
            false => RETRY_DELAY,
        };
        let pause = delay.saturating_sub(self.since_attempt.unwrap_or(delay));
        if !pause.is_zero() {
            return Step::Wait(pause);
        }
        let is_election_over = self.leaderless.is_some_and(|t| t >= self.election_time);
        if self.leaderless.is_some() && !is_election_over && self.elapsed < FURTHER_PATH_DELAY {
            return Step::Wait(RETRY_DELAY);
        }
        // A leader that is reached but slow would only get the call twice.
        let in_flight = self.paths.iter().filter(|p| p.attempt == Attempt::InFlight);
        let best = in_flight.filter(|p| p.is_responsive).map(Path::rank).min();
        let paths = self.paths.iter().enumerate();
        let free = paths.filter(|(_, p)| p.is_free() && best.is_none_or(|best| p.rank() < best));
        match free.min_by_key(|(_, p)| (p.rank(), p.attempt == Attempt::Failed)) {
            Some((index, _)) => Step::Try(index),
            None if is_waiting => Step::Wait(FURTHER_PATH_DELAY),
            None if is_election_over => Step::Refuse,
            None => Step::Wait(RETRY_DELAY),
        }
    }
}
