//! A second copy of the ledger, on a thread of its own, that makes snapshots.
//!
//! Encoding 740,000 budgets took 1.8 s where it was measured, six times the
//! shortest election timeout, so the control thread must not do it. The copy
//! stands at the last snapshot. When the next one is due, it is fed the
//! entries in between from the log in memory, and encodes its state.

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

/// Tasks that wait for the thread.
const QUEUE_TASKS: usize = 4;

enum Task {
    /// Starts over from a snapshot.
    Reset(Option<Arc<Snapshot>>),
    /// Applies the entries that follow.
    Apply(Vec<Entry>),
    /// Encodes the state.
    Encode,
}

/// What the control thread knows about the copy.
pub(super) struct Shadow {
    tasks: SyncSender<Task>,
    states: Receiver<(LogIndex, Vec<u8>)>,
    /// Last entry that the copy was given.
    fed: LogIndex,
    /// Snapshot that is being made.
    target: Option<LogIndex>,
    /// Snapshot to start over from.
    reset: Option<Option<Arc<Snapshot>>>,
}

impl Shadow {
    /// Starts the thread with the state of a snapshot. It ends when this value
    /// is dropped.
    pub(super) fn start(snapshot: Option<Arc<Snapshot>>) -> io::Result<Self> {
        let (tasks, rx) = sync_channel(QUEUE_TASKS);
        let (tx, states) = sync_channel(QUEUE_TASKS);
        thread::Builder::new()
            .name("snapshots".to_owned())
            .spawn(move || run(&rx, &tx))?;
        let mut shadow = Self {
            tasks,
            states,
            fed: 0,
            target: None,
            reset: None,
        };
        shadow.reset(snapshot);
        Ok(shadow)
    }

    /// Starts over from a snapshot. One that is being made is given up.
    pub(super) fn reset(&mut self, snapshot: Option<Arc<Snapshot>>) {
        self.fed = snapshot.as_ref().map_or(0, |s| s.index);
        self.target = None;
        self.reset = Some(snapshot);
    }

    /// Begins a snapshot at an applied entry unless one is being made.
    pub(super) fn begin(&mut self, index: LogIndex) {
        self.target.get_or_insert(index);
    }

    /// Whether a snapshot is being made.
    pub(super) fn is_busy(&self) -> bool {
        self.target.is_some()
    }

    /// Moves the snapshot on, as far as it goes without waiting. `entries`
    /// returns some of the entries from an index on. Returns a snapshot that
    /// is finished.
    pub(super) fn advance(
        &mut self,
        entries: impl Fn(LogIndex) -> Vec<Entry>,
    ) -> Option<(LogIndex, Vec<u8>)> {
        if let Some(snapshot) = self.reset.take()
            && let Err(Task::Reset(snapshot)) = self.send(Task::Reset(snapshot))
        {
            self.reset = Some(snapshot);
            return None;
        }
        let target = self.target?;
        while self.fed < target {
            let mut next = entries(self.fed + 1);
            next.retain(|e| e.index <= target);
            let last = next.last()?.index;
            if self.send(Task::Apply(next)).is_err() {
                return None;
            }
            self.fed = last;
            if last == target && self.send(Task::Encode).is_err() {
                // The queue is full; the last entry is sent again, which the
                // copy knows by its index.
                self.fed = target - 1;
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
                    // The control thread reads the same state and stops when
                    // it can't.
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
                        ledger.apply(&cmd);
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
