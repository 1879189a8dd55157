//! In-memory part of the replicated log, and the memberships that it contains.

use std::collections::VecDeque;
use std::sync::Arc;

use prost::Message as _;

use crate::message::Entry;
use crate::message::EntryKind;
use crate::message::Membership;
use crate::message::Snapshot;
use crate::types::LogIndex;
use crate::types::Term;

/// Log entries above a compacted base, and the newest snapshot.
#[derive(Debug)]
pub(crate) struct Log {
    /// Index and term of the entry before the first one in memory.
    base: (LogIndex, Term),
    entries: VecDeque<Entry>,
    /// Memberships with the index from which each is in effect, ascending. The
    /// first one is at or below the base.
    memberships: Vec<(LogIndex, Membership)>,
    snapshot: Option<Arc<Snapshot>>,
}

impl Log {
    pub(crate) fn new(snapshot: Option<Arc<Snapshot>>, entries: Vec<Entry>) -> Self {
        let (base, membership) = match &snapshot {
            Some(s) => ((s.index, s.term), s.membership.clone().unwrap_or_default()),
            None => ((0, 0), Membership::default()),
        };
        let mut log = Self {
            base,
            entries: VecDeque::new(),
            memberships: vec![(base.0, membership)],
            snapshot,
        };
        for e in entries {
            log.push(e);
        }
        log
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        self.base.0 + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base.1, |e| e.term)
    }

    pub(crate) fn base_index(&self) -> LogIndex {
        self.base.0
    }

    pub(crate) fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    pub(crate) fn get(&self, index: LogIndex) -> Option<&Entry> {
        let i = index.checked_sub(self.base.0 + 1)?;
        self.entries.get(usize::try_from(i).ok()?)
    }

    /// Returns the term of the entry at an index, or `None` if it isn't in memory.
    pub(crate) fn term(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.get(index).map(|e| e.term)
    }

    /// Returns the newest membership, whether or not it is committed.
    pub(crate) fn membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1].1
    }

    /// Returns the index of the entry that holds the newest membership.
    pub(crate) fn membership_index(&self) -> LogIndex {
        self.memberships[self.memberships.len() - 1].0
    }

    fn membership_at(&self, index: LogIndex) -> Membership {
        self.memberships
            .iter()
            .rev()
            .find(|(from, _)| *from <= index)
            .map(|(_, m)| m.clone())
            .unwrap_or_default()
    }

    /// Appends an entry, whose index must follow the last one.
    pub(crate) fn push(&mut self, e: Entry) {
        debug_assert_eq!(e.index, self.last_index() + 1);
        if e.kind() == EntryKind::Members
            && let Ok(m) = Membership::decode(e.data.as_slice())
        {
            self.memberships.push((e.index, m));
        }
        self.entries.push_back(e);
    }

    /// Drops the entry at `index` and all that follow it.
    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        let kept = index.saturating_sub(self.base.0 + 1);
        self.entries.truncate(usize::try_from(kept).unwrap_or(0));
        while self.memberships.len() > 1 && self.membership_index() >= index {
            self.memberships.pop();
        }
    }

    /// Returns entries starting at `from`, limited to `max_bytes` but at least
    /// one if there is any.
    pub(crate) fn slice(&self, from: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        let mut index = from;
        while let Some(e) = self.get(index) {
            bytes += e.data.len() + 24;
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(e.clone());
            index += 1;
        }
        entries
    }

    /// Replaces the whole log with a snapshot.
    pub(crate) fn reset(&mut self, snapshot: Arc<Snapshot>) {
        *self = Self::new(Some(snapshot), Vec::new());
    }

    /// Builds a snapshot at an index. Returns `None` if the index isn't in memory
    /// or an equal or newer snapshot exists.
    pub(crate) fn build_snapshot(
        &self,
        group: u32,
        index: LogIndex,
        state: Vec<u8>,
    ) -> Option<Arc<Snapshot>> {
        if self.snapshot.as_ref().is_some_and(|s| s.index >= index) {
            return None;
        }
        Some(Arc::new(Snapshot {
            group,
            index,
            term: self.term(index)?,
            membership: Some(self.membership_at(index)),
            state,
        }))
    }

    /// Stores a snapshot and drops the entries that are more than
    /// `trailing_entries` below it.
    pub(crate) fn compact(&mut self, snapshot: Arc<Snapshot>, trailing_entries: u64) {
        let new_base = snapshot.index.saturating_sub(trailing_entries);
        self.snapshot = Some(snapshot);
        while self.base.0 < new_base {
            let Some(e) = self.entries.pop_front() else {
                break;
            };
            self.base = (e.index, e.term);
        }
        while self.memberships.len() > 1 && self.memberships[1].0 <= self.base.0 {
            self.memberships.remove(0);
        }
    }
}
