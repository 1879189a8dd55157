//! Slots of an endpoint, given out by priority.

use std::collections::BinaryHeap;
use std::sync::Arc;
use std::sync::Mutex;

use anvilloft_types::lock;
use tokio::sync::oneshot;

struct Waiter {
    priority: u32,
    seq: u64,
    tx: oneshot::Sender<()>,
}

impl PartialEq for Waiter {
    fn eq(&self, other: &Self) -> bool {
        self.seq == other.seq
    }
}

impl Eq for Waiter {}

impl PartialOrd for Waiter {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Waiter {
    // The heap gives the largest first: the lowest level, then the oldest.
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.priority, other.seq).cmp(&(self.priority, self.seq))
    }
}

#[derive(Default)]
struct State {
    running: u32,
    max_running: u32,
    seq: u64,
    waiting: BinaryHeap<Waiter>,
}

/// Slots with a queue ordered by priority.
pub(crate) struct Slots {
    slots: u32,
    state: Mutex<State>,
}

/// A slot in use.
pub(crate) struct Slot(Arc<Slots>);

impl Slots {
    pub(crate) fn new(slots: u32) -> Arc<Self> {
        Arc::new(Self {
            slots,
            state: Mutex::new(State::default()),
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Waits for a slot.
    pub(crate) async fn take(self: &Arc<Self>, priority: u32) -> Slot {
        let rx = {
            let mut state = self.lock();
            if state.running < self.slots {
                state.running += 1;
                state.max_running = state.max_running.max(state.running);
                return Slot(Arc::clone(self));
            }
            state.seq += 1;
            let seq = state.seq;
            let (tx, rx) = oneshot::channel();
            state.waiting.push(Waiter { priority, seq, tx });
            rx
        };
        // The sender hands its slot over; it never drops without sending
        // while this side waits.
        rx.await.ok();
        Slot(Arc::clone(self))
    }

    /// Returns running, waiting and the most that ran at once.
    pub(crate) fn counts(&self) -> (u32, u32, u32) {
        let state = self.lock();
        let waiting = state.waiting.iter().filter(|w| !w.tx.is_closed()).count();
        (state.running, waiting as u32, state.max_running)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        while let Some(next) = state.waiting.pop() {
            if next.tx.send(()).is_ok() {
                return;
            }
        }
        state.running -= 1;
    }
}
