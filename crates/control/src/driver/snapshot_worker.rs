//! Encodes snapshots on a separate thread from a second copy of the ledger.
//!
//! Encoding 740,000 budgets took 1.8 s, six times the shortest election
//! timeout, so it must not block the control thread. Between snapshots the copy
//! stays at the state of the last one. When the next one is due, the entries in
//! between are sent to it from the log in memory, and it encodes its state.

use std::io;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::thread;

use anvilloft_consensus::Entry;
use anvilloft_consensus::EntryKind;
use anvilloft_consensus::LogIndex;
use anvilloft_consensus::Snapshot;
use anvilloft_ledger::Ledger;
use anvilloft_wire::Command;
use prost::Message;

/// Maximum number of tasks queued for the thread.
const MAX_QUEUED_TASKS: usize = 4;

enum Task {
    /// Replaces the state with that of a snapshot.
    Reset(Option<Arc<Snapshot>>),
    /// Applies the next log entries.
    Apply(Vec<Entry>),
    /// Encodes the state.
    Encode,
}

/// Access of the control thread to the snapshot thread.
pub(super) struct SnapshotWorker {
    tasks: SyncSender<Task>,
    states: Receiver<(LogIndex, Vec<u8>)>,
    /// Index of the last entry sent to the thread.
    sent_index: LogIndex,
    /// Index of the snapshot in progress.
    target: Option<LogIndex>,
    /// Snapshot to reset the state to, not sent to the thread yet.
    pending_reset: Option<Option<Arc<Snapshot>>>,
}

impl SnapshotWorker {
    /// Starts the thread with the state of a snapshot. It ends when this value
    /// is dropped.
    pub(super) fn start(snapshot: Option<Arc<Snapshot>>) -> io::Result<Self> {
        let (tasks, rx) = sync_channel(MAX_QUEUED_TASKS);
        let (tx, states) = sync_channel(MAX_QUEUED_TASKS);
        thread::Builder::new()
            .name("snapshots".to_owned())
            .spawn(move || run(&rx, &tx))?;
        let mut worker = Self {
            tasks,
            states,
            sent_index: 0,
            target: None,
            pending_reset: None,
        };
        worker.reset(snapshot);
        Ok(worker)
    }

    /// Resets the state to that of a snapshot. A snapshot in progress is
    /// abandoned.
    pub(super) fn reset(&mut self, snapshot: Option<Arc<Snapshot>>) {
        self.sent_index = snapshot.as_ref().map_or(0, |s| s.index);
        self.target = None;
        self.pending_reset = Some(snapshot);
    }

    /// Starts a snapshot at the index of an applied entry unless one is in
    /// progress.
    pub(super) fn begin(&mut self, index: LogIndex) {
        self.target.get_or_insert(index);
    }

    /// Returns whether a snapshot is in progress.
    pub(super) fn is_busy(&self) -> bool {
        self.target.is_some()
    }

    /// Advances the snapshot in progress as far as possible without blocking.
    /// Returns the snapshot's index and state once it is finished. `entries`
    /// returns a batch of log entries, starting at an index.
    pub(super) fn advance(
        &mut self,
        entries: impl Fn(LogIndex) -> Vec<Entry>,
    ) -> Option<(LogIndex, Vec<u8>)> {
        if let Some(snapshot) = self.pending_reset.take()
            && let Err(Task::Reset(snapshot)) = self.send(Task::Reset(snapshot))
        {
            self.pending_reset = Some(snapshot);
            return None;
        }
        let target = self.target?;
        while self.sent_index < target {
            let mut next = entries(self.sent_index + 1);
            next.retain(|e| e.index <= target);
            let last = next.last()?.index;
            if self.send(Task::Apply(next)).is_err() {
                return None;
            }
            self.sent_index = last;
            if last == target && self.send(Task::Encode).is_err() {
                // The queue is full. The last entry will be sent again, which
                // the thread detects by its index.
                self.sent_index = target - 1;
                return None;
            }
        }
        let (index, state) = self.states.try_recv().ok()?;
        if index != target {
            return None;
        }
        self.target = None;
        Some((index, state))
    }

    fn send(&self, task: Task) -> Result<(), Task> {
        self.tasks.try_send(task).map_err(|e| match e {
            TrySendError::Full(task) | TrySendError::Disconnected(task) => task,
        })
    }
}

fn run(tasks: &Receiver<Task>, states: &SyncSender<(LogIndex, Vec<u8>)>) {
    let mut ledger = Ledger::new();
    let mut index = 0;
    while let Ok(task) = tasks.recv() {
        match task {
            Task::Reset(snapshot) => {
                let state = snapshot.as_ref().map_or(&[][..], |s| s.state.as_slice());
                ledger = match state {
                    [] => Ledger::new(),
                    // The control thread decodes the same state and stops if
                    // that fails.
                    state => match Ledger::decode(state) {
                        Ok(ledger) => ledger,
                        Err(_) => return,
                    },
                };
                index = snapshot.map_or(0, |s| s.index);
            }
            Task::Apply(entries) => {
                for e in entries.iter().filter(|e| e.index > index) {
                    if e.kind() == EntryKind::Command
                        && let Ok(cmd) = Command::decode(e.data.as_slice())
                    {
                        ledger.apply_at(e.index, &cmd);
                    }
                }
                index = entries.last().map_or(index, |e| index.max(e.index));
            }
            Task::Encode => {
                if states.send((index, ledger.encode())).is_err() {
                    return;
                }
            }
        }
    }
}
