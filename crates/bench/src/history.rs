//! Checks that a recorded concurrent run is linearizable: that one object could
//! have given the same replies if it ran the calls one at a time, each at some
//! point between its invocation and its reply.
//!
//! Uses the search of Wing and Gong ("Testing and verifying concurrent
//! objects", 1993) with Lowe's cache of visited states ("Testing for
//! linearizability", 2017). A call without a reply may have run at any time
//! after its invocation, or never.

mod specs;

use std::collections::HashSet;
use std::fmt::Debug;
use std::hash::Hash;
use std::sync::Mutex;

use anvilloft_types::lock;
use quick_error::quick_error;

pub use specs::BudgetCall;
pub use specs::BudgetReply;
pub use specs::BudgetSpec;
pub use specs::ConfigCall;
pub use specs::ConfigReply;
pub use specs::ConfigSpec;
pub use specs::OrderCall;
pub use specs::OrderEnd;
pub use specs::OrderReply;
pub use specs::OrderSpec;

/// Maximum number of states that a check visits before it gives up.
const MAX_STATES: usize = 4_000_000;

/// Sequential specification: what an object does when it runs one call at a
/// time.
pub trait SequentialSpec {
    /// State of the object.
    type State: Clone + Eq + Hash;
    /// A call.
    type Call: Clone + Debug;
    /// A reply.
    type Reply: Clone + Debug;

    /// Returns the state before any call.
    fn initial(&self) -> Self::State;

    /// Returns the possible states after the object ran `call` in `state` and
    /// gave `reply`.
    ///
    /// Empty when the object would not give that reply. Without a reply, the
    /// object may have given any.
    fn step(
        &self,
        state: &Self::State,
        call: &Self::Call,
        reply: Option<&Self::Reply>,
    ) -> Vec<Self::State>;
}

/// Index of a recorded call in its history.
pub type CallId = usize;

#[derive(Clone, Debug)]
struct Entry<C, R> {
    call: C,
    called_at: usize,
    reply: Option<(R, usize)>,
}

#[derive(Debug)]
struct Recording<C, R> {
    last_time: usize,
    entries: Vec<Entry<C, R>>,
}

/// Calls and replies in the order in which they happened.
///
/// The clients of a run can share one history.
#[derive(Debug)]
pub struct History<C, R> {
    log: Mutex<Recording<C, R>>,
}

impl<C, R> Default for History<C, R> {
    fn default() -> Self {
        Self::new()
    }
}

impl<C, R> History<C, R> {
    /// Returns an empty history.
    pub fn new() -> Self {
        Self {
            log: Mutex::new(Recording {
                last_time: 0,
                entries: Vec::new(),
            }),
        }
    }

    /// Records a call. Must be used just before the call is made.
    pub fn call(&self, call: C) -> CallId {
        let mut log = lock(&self.log);
        log.last_time += 1;
        let called_at = log.last_time;
        log.entries.push(Entry {
            call,
            called_at,
            reply: None,
        });
        log.entries.len() - 1
    }

    /// Records the reply to a call. Must be used just after the reply arrived.
    ///
    /// A call whose outcome is unknown gets no reply.
    pub fn reply(&self, call: CallId, reply: R) {
        let mut log = lock(&self.log);
        log.last_time += 1;
        let time = log.last_time;
        if let Some(entry) = log.entries.get_mut(call) {
            entry.reply = Some((reply, time));
        }
    }

    /// Returns the number of calls.
    pub fn len(&self) -> usize {
        let log = lock(&self.log);
        log.entries.len()
    }

    /// Returns whether no call was recorded.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

quick_error! {
    /// Why a history was not accepted.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Violation {
        /// No sequential order of the calls explains the replies. Lists calls
        /// that were not placed in the longest order found.
        NotLinearizable(unplaced: String) {
            display("no sequential order of the calls explains the replies; calls not placed: {}", unplaced)
        }
        /// The search visited too many states and was given up.
        StateLimit(states: usize) {
            display("the search was given up after {} states", states)
        }
    }
}

/// Checks a history against the specification of an object.
///
/// # Errors
///
/// `NotLinearizable` when no order explains the replies, `StateLimit` when the
/// search was given up.
pub fn check<S: SequentialSpec>(
    spec: &S,
    history: &History<S::Call, S::Reply>,
) -> Result<(), Violation> {
    let log = lock(&history.log);
    let entries = &log.entries;
    let reply_count = entries.iter().filter(|e| e.reply.is_some()).count();
    let mut visited: HashSet<(Vec<u64>, S::State)> = HashSet::new();
    let start = (vec![0_u64; entries.len().div_ceil(64)], 0, spec.initial());
    let mut pending = vec![start];
    let mut longest = (0, Vec::new());
    while let Some((done, count, state)) = pending.pop() {
        if count == reply_count {
            return Ok(());
        }
        if count >= longest.0 {
            longest = (count, done.clone());
        }
        // A call can be next only if it was made before the earliest reply
        // among the calls that are not placed yet.
        let earliest_reply = entries
            .iter()
            .enumerate()
            .filter(|(i, _)| !is_set(&done, *i))
            .filter_map(|(_, e)| e.reply.as_ref().map(|(_, t)| *t))
            .min()
            .unwrap_or(usize::MAX);
        for (i, e) in entries.iter().enumerate().rev() {
            if is_set(&done, i) || e.called_at > earliest_reply {
                continue;
            }
            let reply = e.reply.as_ref().map(|(r, _)| r);
            for next in spec.step(&state, &e.call, reply) {
                let mut done = done.clone();
                done[i / 64] |= 1 << (i % 64);
                if visited.insert((done.clone(), next.clone())) {
                    let count = count + usize::from(reply.is_some());
                    pending.push((done, count, next));
                }
            }
        }
        if visited.len() > MAX_STATES {
            return Err(Violation::StateLimit(visited.len()));
        }
    }
    let unplaced: Vec<String> = entries
        .iter()
        .enumerate()
        .filter(|(i, e)| !is_set(&longest.1, *i) && e.reply.is_some())
        .take(8)
        .map(|(_, e)| format!("{:?} -> {:?}", e.call, e.reply.as_ref().map(|(r, _)| r)))
        .collect();
    Err(Violation::NotLinearizable(unplaced.join("; ")))
}

/// Checks that the revisions that one router saw never decrease.
///
/// # Errors
///
/// `NotLinearizable` with the first pair of revisions that decreases.
pub fn check_never_decreases(revisions: &[u64]) -> Result<(), Violation> {
    match revisions.windows(2).find(|w| w[1] < w[0]) {
        None => Ok(()),
        Some(w) => Err(Violation::NotLinearizable(format!(
            "revision {} after {}",
            w[1], w[0]
        ))),
    }
}

fn is_set(done: &[u64], i: usize) -> bool {
    done[i / 64] & (1 << (i % 64)) != 0
}
