//! What endpoints say in their answers about further requests.

use std::time::Duration;

/// Longest pause that an endpoint can ask for. A longer one would keep a faulty endpoint
/// unused long after it recovered.
pub const MAX_PAUSE: Duration = Duration::from_secs(600);
/// Longest time after a pause over which its requesters return, in addition to the pause.
const MAX_RETURN_SPREAD: Duration = Duration::from_millis(500);
/// The same as a divisor of the pause, for short pauses.
const RETURN_SPREAD_DIVISOR: u32 = 4;

/// What an answer of an endpoint says about further requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointNotice {
    /// The endpoint is leaving and takes no new work.
    pub leaving: bool,
    /// Time from the answer for which the endpoint takes no requests from this host.
    pub pause: Option<Duration>,
}

impl EndpointNotice {
    /// Whether the answer says nothing about further requests.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Whether one incarnation of an endpoint takes requests, by its answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Availability {
    is_leaving: bool,
    paused_until: Duration,
}

impl Availability {
    /// Applies the notice of an answer that arrived at `now`. Returns whether it changes
    /// anything.
    ///
    /// An endpoint that leaves does so for the rest of its incarnation, and the longest of
    /// several pauses holds. `spread`, from 0 to 1, is this host's place in the time over
    /// which the hosts return after a pause.
    pub fn apply(&mut self, now: Duration, notice: EndpointNotice, spread: f64) -> bool {
        let before = (self.is_leaving, self.paused_until);
        self.is_leaving |= notice.leaving;
        if let Some(pause) = notice.pause.filter(|p| !p.is_zero()) {
            let pause = pause.min(MAX_PAUSE);
            let over = (pause / RETURN_SPREAD_DIVISOR).min(MAX_RETURN_SPREAD);
            let until = now + pause + over.mul_f64(spread.clamp(0.0, 1.0));
            self.paused_until = self.paused_until.max(until);
        }
        before != (self.is_leaving, self.paused_until)
    }

    /// Whether the endpoint is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns how long the endpoint still takes no requests from this host, if it asked
    /// for a pause.
    pub fn pause_left(&self, now: Duration) -> Option<Duration> {
        let left = self.paused_until.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }
}
