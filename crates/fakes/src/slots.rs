//! Concurrency slots of an endpoint, assigned by priority.

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
    // `BinaryHeap` pops the largest: the lowest priority number, then the oldest
    // waiter.
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

/// A fixed number of slots with a queue ordered by priority.
pub(crate) struct Slots {
    capacity: u32,
    state: Mutex<State>,
}

/// A slot in use. Dropping it hands the slot to the next waiter.
pub(crate) struct Slot(Arc<Slots>);

impl Slots {
    pub(crate) fn new(capacity: u32) -> Arc<Self> {
        Arc::new(Self {
            capacity,
            state: Mutex::new(State::default()),
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Waits for a slot. A lower `priority` number is served first.
    pub(crate) async fn acquire(self: &Arc<Self>, priority: u32) -> Slot {
        let rx = {
            let mut state = self.lock();
            if state.running < self.capacity {
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
        // A dropped `Slot` is handed over through the channel. The sender is not
        // dropped unsent while this side waits, so the result can be ignored.
        rx.await.ok();
        Slot(Arc::clone(self))
    }

    /// Returns the number running, the number waiting and the highest number that
    /// ran at once.
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
