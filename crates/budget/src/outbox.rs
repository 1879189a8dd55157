//! Queue of settlements and returned tokens for control, sent in numbered reports.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use anvilloft_types::BudgetId;
use anvilloft_types::Incarnation;
use anvilloft_types::RouterId;
use anvilloft_types::Tokens;
use anvilloft_wire::command::LockedReserve;
use anvilloft_wire::command::Report;
use anvilloft_wire::command::ReportEntry;

/// Maximum time that an entry is batched while an earlier report is unacknowledged.
/// While no report is unacknowledged, entries are sent at once, so that there is one
/// report per round trip.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of entries in a report.
const MAX_REPORT_ENTRIES: usize = 256;
/// Interval after which an unacknowledged report is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Settlements and returned tokens that control has not acknowledged.
#[derive(Debug)]
pub(crate) struct Outbox {
    router: RouterId,
    incarnation: Incarnation,
    // Settled and returned tokens by budget, of entries without a request key.
    merged: BTreeMap<BudgetId, (Tokens, Tokens)>,
    keyed: Vec<ReportEntry>,
    // When the oldest entry that is in no report was added.
    oldest: Option<Duration>,
    // Whether the entries are sent without waiting for a batch.
    urgent: bool,
    // Reports that control has not acknowledged, in order. Their number is bounded
    // by that of the reservations that they settle.
    sealed: VecDeque<Report>,
    next_seq: u64,
    // Sequence number of the next report to copy to the peer.
    next_copy_seq: u64,
    // The report that was sent last, and when.
    last_sent: Option<(u64, Duration)>,
    // Fixed batching delay, instead of one report per round trip.
    batch_delay: Option<Duration>,
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
            next_copy_seq: 1,
            last_sent: None,
            batch_delay: None,
        }
    }

    pub(crate) fn set_batch_delay(&mut self, delay: Duration) {
        self.batch_delay = Some(delay);
    }

    /// Adds a settlement, with the request key if it has one.
    pub(crate) fn add_settlement(
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
            self.note_added(now);
        } else {
            let sums = self.merged.entry(budget.into()).or_default();
            sums.0 = sums.0.saturating_add(used);
            self.note_added(now);
        }
    }

    /// Makes a report of a budget due, also if nothing of it was settled.
    pub(crate) fn request_report(&mut self, now: Duration, budget: &str) {
        // An entry without tokens: a copy of a report without entries is a release notice.
        self.merged.entry(budget.into()).or_default();
        self.note_added(now);
    }

    /// Adds tokens that the router returns.
    pub(crate) fn add_return(&mut self, now: Duration, budget: &str, amount: Tokens) {
        if amount > 0 {
            let sums = self.merged.entry(budget.into()).or_default();
            sums.1 = sums.1.saturating_add(amount);
            self.note_added(now);
        }
    }

    fn note_added(&mut self, now: Duration) {
        self.oldest.get_or_insert(now);
    }

    /// Makes the queued entries due at once.
    pub(crate) fn flush(&mut self) {
        self.urgent = true;
    }

    /// Seals all queued entries into reports. Returns the sequence number of the last
    /// report.
    pub(crate) fn seal_all(&mut self, now: Duration) -> u64 {
        self.urgent = true;
        self.seal(now);
        self.next_seq - 1
    }

    /// Returns the sequence number that the next report to be sealed gets.
    pub(crate) fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Adds the locked reserve to a report that was not sent yet.
    pub(crate) fn set_locked(&mut self, seq: u64, locked: LockedReserve) {
        if let Some(report) = self.sealed.iter_mut().find(|r| r.seq == seq) {
            report.locked = Some(locked);
        }
    }

    /// Moves queued entries that are due, or that fill a report, into reports.
    pub(crate) fn seal(&mut self, now: Duration) {
        let waited = |delay| self.oldest.is_some_and(|t| now.saturating_sub(t) >= delay);
        let due = match self.batch_delay {
            Some(delay) => waited(delay),
            None => self.sealed.is_empty() || waited(MAX_BATCH_DELAY),
        };
        while let Some(oldest) = self.oldest
            && (due || self.urgent || self.merged.len() + self.keyed.len() >= MAX_REPORT_ENTRIES)
        {
            let mut entries = Vec::new();
            while entries.len() < MAX_REPORT_ENTRIES
                && let Some((budget, (settled, returned))) = self.merged.pop_first()
            {
                entries.push(ReportEntry {
                    budget,
                    settled,
                    returned,
                    request_key: Vec::new(),
                });
            }
            let keyed = (MAX_REPORT_ENTRIES - entries.len()).min(self.keyed.len());
            entries.extend(self.keyed.drain(..keyed));
            self.sealed.push_back(Report {
                router: self.router.clone(),
                incarnation: self.incarnation,
                seq: self.next_seq,
                entries,
                locked: None,
            });
            self.next_seq += 1;
            let remaining = self.merged.len() + self.keyed.len();
            self.oldest = (remaining > 0).then_some(oldest);
        }
        self.urgent = false;
    }

    /// Returns the oldest unacknowledged report if it is due to be sent or resent.
    pub(crate) fn next_report(&mut self, now: Duration) -> Option<Report> {
        self.seal(now);
        let report = self.sealed.front()?;
        if let Some((seq, at)) = self.last_sent
            && seq == report.seq
            && now.saturating_sub(at) < RESEND_INTERVAL
        {
            return None;
        }
        self.last_sent = Some((report.seq, now));
        Some(report.clone())
    }

    /// Returns the next report to copy to the peer.
    pub(crate) fn next_copy(&mut self, now: Duration) -> Option<Report> {
        self.seal(now);
        let first = self.sealed.front()?.seq;
        self.next_copy_seq = self.next_copy_seq.max(first);
        let i = usize::try_from(self.next_copy_seq - first).ok()?;
        let report = self.sealed.get(i)?.clone();
        self.next_copy_seq += 1;
        Some(report)
    }

    /// Starts copying again from the oldest unacknowledged report.
    pub(crate) fn resend_copies(&mut self) {
        self.next_copy_seq = 0;
    }

    /// Returns the release notice, upon which the peer drops acknowledged copies.
    pub(crate) fn release_notice(&self) -> Report {
        Report {
            router: self.router.clone(),
            incarnation: self.incarnation,
            seq: self.sealed.front().map_or(self.next_seq, |r| r.seq) - 1,
            entries: Vec::new(),
            locked: None,
        }
    }

    /// Removes the reports up to `seq`, which control has acknowledged.
    pub(crate) fn acknowledge(&mut self, seq: u64) {
        while self.sealed.front().is_some_and(|r| r.seq <= seq) {
            self.sealed.pop_front();
        }
    }

    /// Returns whether every entry is in a report.
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
