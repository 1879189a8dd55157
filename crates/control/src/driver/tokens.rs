//! Log lines and metrics of where the tokens of all budgets are.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use anvilloft_ledger::Balance;
use anvilloft_types::prelude::*;

use super::core::Core;
use super::status::LARGEST_LOSSES;
use super::status::TokenStats;

/// Interval between updates while dead routers hold tokens.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between updates otherwise. An update visits every budget, and the leader
/// answers no call meanwhile.
const CALM_UPDATE_INTERVAL: Duration = Duration::from_secs(10);

/// What happens to the tokens of routers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Phase {
    /// No dead router holds tokens.
    #[default]
    Normal,
    /// Locked tokens of dead routers may be restored.
    Restore,
    /// Dead or lost routers hold tokens until their hold ends.
    Held,
}

impl Phase {
    fn of(balance: &Balance) -> Self {
        match (balance.dead.restorable, balance.dead.total()) {
            (0, 0) => Self::Normal,
            (0, _) => Self::Held,
            _ => Self::Restore,
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            Self::Normal => "normal",
            Self::Restore => "restore",
            Self::Held => "held",
        }
    }
}

/// When the tokens were last accounted for, and the phase at that time.
#[derive(Debug, Default)]
pub(super) struct TokenLog {
    next: Duration,
    phase: Phase,
}

impl TokenLog {
    /// Clears the metrics when leadership is won or lost.
    pub(super) fn reset(&mut self, stats: &TokenStats) {
        *self = Self::default();
        set(stats, &Balance::default(), &[0; LARGEST_LOSSES]);
    }

    /// Returns whether an update is due: at its time, and as soon as a router is lost.
    pub(super) fn is_due(&mut self, now: Duration, has_lost_routers: bool) -> bool {
        let is_new = has_lost_routers && self.phase == Phase::Normal;
        if now < self.next && !(is_new && self.next > now + UPDATE_INTERVAL) {
            return false;
        }
        self.next = now
            + match has_lost_routers {
                true => UPDATE_INTERVAL,
                false => CALM_UPDATE_INTERVAL,
            };
        true
    }

    /// Records the phase. Returns it if a line is to be logged: at a change, and while
    /// dead routers hold tokens.
    pub(super) fn on_balance(&mut self, balance: &Balance) -> Option<&'static str> {
        let phase = Phase::of(balance);
        let is_logged = phase != self.phase || phase != Phase::Normal;
        self.phase = phase;
        is_logged.then(|| phase.as_str())
    }
}

fn set(stats: &TokenStats, b: &Balance, losses: &[Tokens; LARGEST_LOSSES]) {
    let set = |gauge: &AtomicU64, n: Tokens| gauge.store(n, Ordering::Relaxed);
    set(&stats.topped_up, b.topped_up);
    set(&stats.unspent, b.unspent);
    set(&stats.settled, b.settled);
    set(&stats.forfeited, b.forfeited);
    set(&stats.live, b.live);
    set(&stats.locked, b.locked);
    set(&stats.unconfirmed, b.dead.unconfirmed);
    set(&stats.restorable, b.dead.restorable);
    set(&stats.usable_at_death, b.dead.usable_at_death);
    for (gauge, loss) in stats.largest_losses.iter().zip(losses) {
        set(gauge, *loss);
    }
}

impl Core {
    /// Updates the metrics of tokens, and logs them while dead routers hold some.
    pub(super) fn account_tokens(&mut self, now: Duration) {
        let has_lost_routers = !self.ledger.lost_incarnations().is_empty();
        if !self.token_log.is_due(now, has_lost_routers) {
            return;
        }
        let balance = self.ledger.total_balance();
        let rows = match has_lost_routers {
            true => self.ledger.dead_holdings(),
            false => Vec::new(),
        };
        let mut losses = [0; LARGEST_LOSSES];
        for (loss, (_, holdings)) in losses.iter_mut().zip(&rows) {
            *loss = holdings.total();
        }
        set(&self.stats.tokens, &balance, &losses);
        if let Some(phase) = self.token_log.on_balance(&balance) {
            let largest: Vec<String> = rows
                .iter()
                .take(LARGEST_LOSSES)
                .map(|(budget, holdings)| format!("{budget}={}", holdings.total()))
                .collect();
            slog::info!(self.log, "tokens of all budgets"; "phase" => phase,
                "topped_up" => balance.topped_up, "settled" => balance.settled,
                "forfeited" => balance.forfeited, "unspent" => balance.unspent,
                "live" => balance.live, "locked" => balance.locked,
                "unconfirmed" => balance.dead.unconfirmed,
                "restorable" => balance.dead.restorable,
                "usable_at_death" => balance.dead.usable_at_death,
                "largest" => largest.join(" "));
        }
    }
}

#[cfg(test)]
mod tests {
    use anvilloft_ledger::DeadHoldings;
    use rstest::rstest;

    use super::*;

    fn balance(restorable: Tokens, usable_at_death: Tokens) -> Balance {
        let dead = DeadHoldings {
            restorable,
            usable_at_death,
            unconfirmed: 0,
        };
        Balance {
            dead,
            ..Balance::default()
        }
    }

    struct Case {
        before: (Tokens, Tokens),
        after: (Tokens, Tokens),
        logged: Option<&'static str>,
    }

    /// Guards against a loss of tokens without a log line, and against a line each time
    /// while nothing is lost.
    #[rstest]
    #[case(Case { before: (0, 0), after: (0, 0), logged: None })]
    #[case(Case { before: (0, 0), after: (5, 1), logged: Some("restore") })]
    #[case(Case { before: (5, 1), after: (5, 1), logged: Some("restore") })]
    #[case(Case { before: (5, 1), after: (0, 1), logged: Some("held") })]
    #[case(Case { before: (0, 1), after: (0, 0), logged: Some("normal") })]
    fn phases_are_logged(#[case] c: Case) {
        let mut log = TokenLog::default();
        log.on_balance(&balance(c.before.0, c.before.1));
        let logged = log.on_balance(&balance(c.after.0, c.after.1));
        assert_eq!(logged, c.logged);
    }

    /// Guards against a loss that shows only with the next update of calm times.
    #[test]
    fn a_loss_is_accounted_for_at_once_and_then_each_second() {
        let mut log = TokenLog::default();
        let s = Duration::from_secs;
        assert!(log.is_due(s(1), false));
        assert!(!log.is_due(s(2), false));
        assert!(log.is_due(s(2), true));
        assert!(!log.is_due(s(2) + s(1) / 2, true));
        assert!(log.is_due(s(3), true));
    }
}
