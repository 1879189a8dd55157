//! Settlements and returns on their way to control, in numbered reports.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use anvilloft_types::BudgetId;
use anvilloft_types::Incarnation;
use anvilloft_types::RouterId;
use anvilloft_types::Tokens;
use anvilloft_wire::command::Report;
use anvilloft_wire::command::ReportEntry;

/// Longest time that an entry waits for others of the same report while an
/// earlier report has no answer. Without one it leaves at once, so that reports
/// follow each other at the pace of their round trip.
const BATCH_WAIT: Duration = Duration::from_millis(20);
/// Largest count of entries of a report.
const BATCH_ENTRIES: usize = 256;
/// Time after which an unacknowledged report is sent again.
const RESEND: Duration = Duration::from_millis(500);

#[derive(Debug)]
pub(crate) struct Outbox {
    router: RouterId,
    incarnation: Incarnation,
    // Entries without a request key are merged for each budget.
    merged: BTreeMap<BudgetId, (Tokens, Tokens)>,
    keyed: Vec<ReportEntry>,
    oldest: Option<Duration>,
    urgent: bool,
    // Reports that control has not acknowledged, in order. The reservations
    // behind them bound their count.
    sealed: VecDeque<Report>,
    next_seq: u64,
    // Number of the next report to copy to the peer.
    next_copy: u64,
    sent: Option<(u64, Duration)>,
    // Fixed wait of entries for others, instead of the round trip.
    pace: Option<Duration>,
}

impl Outbox {
    pub(crate) fn new(router: RouterId, incarnation: Incarnation) -> Self {
        Self {
            router,
            incarnation,
            merged: BTreeMap::new(),
            keyed: Vec::new(),
            oldest: None,
            urgent: false,
            sealed: VecDeque::new(),
            next_seq: 1,
            next_copy: 1,
            sent: None,
            pace: None,
        }
    }

    pub(crate) fn set_pace(&mut self, pace: Duration) {
        self.pace = Some(pace);
    }

    pub(crate) fn settled(
        &mut self,
        now: Duration,
        budget: &str,
        used: Tokens,
        key: Option<[u8; 16]>,
    ) {
        if used == 0 {
            return;
        }
        if let Some(key) = key {
            self.keyed.push(ReportEntry {
                budget: budget.into(),
                settled: used,
                returned: 0,
                request_key: key.to_vec(),
            });
            self.added(now);
        } else {
            let sums = self.merged.entry(budget.into()).or_default();
            sums.0 = sums.0.saturating_add(used);
            self.added(now);
        }
    }

    pub(crate) fn returned(&mut self, now: Duration, budget: &str, amount: Tokens) {
        if amount > 0 {
            let sums = self.merged.entry(budget.into()).or_default();
            sums.1 = sums.1.saturating_add(amount);
            self.added(now);
        }
    }

    fn added(&mut self, now: Duration) {
        self.oldest.get_or_insert(now);
    }

    /// Lets the entries so far leave without waiting for others.
    pub(crate) fn hurry(&mut self) {
        self.urgent = true;
    }

    /// Lets everything so far leave. Returns the number of the last report.
    pub(crate) fn seal_all(&mut self, now: Duration) -> u64 {
        self.urgent = true;
        self.seal(now);
        self.next_seq - 1
    }

    fn seal(&mut self, now: Duration) {
        let waited = |wait| self.oldest.is_some_and(|t| now.saturating_sub(t) >= wait);
        let due = match self.pace {
            Some(pace) => waited(pace),
            None => self.sealed.is_empty() || waited(BATCH_WAIT),
        };
        while let Some(oldest) = self.oldest
            && (due || self.urgent || self.merged.len() + self.keyed.len() >= BATCH_ENTRIES)
        {
            let mut entries = Vec::new();
            while entries.len() < BATCH_ENTRIES
                && let Some((budget, (settled, returned))) = self.merged.pop_first()
            {
                entries.push(ReportEntry {
                    budget,
                    settled,
                    returned,
                    request_key: Vec::new(),
                });
            }
            let keyed = (BATCH_ENTRIES - entries.len()).min(self.keyed.len());
            entries.extend(self.keyed.drain(..keyed));
            self.sealed.push_back(Report {
                router: self.router.clone(),
                incarnation: self.incarnation,
                seq: self.next_seq,
                entries,
            });
            self.next_seq += 1;
            let rest = self.merged.len() + self.keyed.len();
            self.oldest = (rest > 0).then_some(oldest);
        }
        self.urgent = false;
    }

    pub(crate) fn next_report(&mut self, now: Duration) -> Option<Report> {
        self.seal(now);
        let report = self.sealed.front()?;
        if let Some((seq, at)) = self.sent
            && seq == report.seq
            && now.saturating_sub(at) < RESEND
        {
            return None;
        }
        self.sent = Some((report.seq, now));
        Some(report.clone())
    }

    pub(crate) fn next_copy(&mut self, now: Duration) -> Option<Report> {
        self.seal(now);
        let first = self.sealed.front()?.seq;
        self.next_copy = self.next_copy.max(first);
        let i = usize::try_from(self.next_copy - first).ok()?;
        let report = self.sealed.get(i)?.clone();
        self.next_copy += 1;
        Some(report)
    }

    pub(crate) fn copy_again(&mut self) {
        self.next_copy = 0;
    }

    /// Returns the notice that lets the peer drop acknowledged copies.
    pub(crate) fn release(&self) -> Report {
        Report {
            router: self.router.clone(),
            incarnation: self.incarnation,
            seq: self.sealed.front().map_or(self.next_seq, |r| r.seq) - 1,
            entries: Vec::new(),
        }
    }

    pub(crate) fn acknowledge(&mut self, seq: u64) {
        while self.sealed.front().is_some_and(|r| r.seq <= seq) {
            self.sealed.pop_front();
        }
    }

    /// Whether every entry so far is in a report.
    pub(crate) fn is_sealed(&self) -> bool {
        self.oldest.is_none()
    }

    pub(crate) fn unacknowledged(&self) -> usize {
        self.sealed.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.sealed.is_empty() && self.oldest.is_none()
    }
}
