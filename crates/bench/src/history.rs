//! Checks that a recorded concurrent run is linearizable: that its replies
//! could have come from one object that ran the calls one at a time, each
//! between its call and its reply.
//!
//! The search is the one of Wing and Gong ("Testing and verifying concurrent
//! objects", 1993) with the memory of visited states by Lowe ("Testing for
//! linearizability", 2017). A call without a reply may have run at any time
//! after it was made, or never.

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

/// Most states that a check visits before it gives up.
const MAX_STATES: usize = 4_000_000;

/// What the object does when it runs one call at a time.
pub trait Spec {
    /// State of the object.
    type State: Clone + Eq + Hash;
    /// A call.
    type Call: Clone + Debug;
    /// A reply.
    type Reply: Clone + Debug;

    /// Returns the state before any call.
    fn initial(&self) -> Self::State;

    /// Returns the states in which the object may be after it ran the call in
    /// `state` and gave that reply; none when it would not give it. Without a
    /// reply, any reply may have been given.
    fn step(
        &self,
        state: &Self::State,
        call: &Self::Call,
        reply: Option<&Self::Reply>,
    ) -> Vec<Self::State>;
}

/// Number of a recorded call.
pub type CallNo = usize;

#[derive(Clone, Debug)]
struct Entry<C, R> {
    call: C,
    called: usize,
    reply: Option<(R, usize)>,
}

#[derive(Debug)]
struct Log<C, R> {
    time: usize,
    entries: Vec<Entry<C, R>>,
}

/// Calls and replies in the order in which they happened. It can be shared by
/// the clients of a run.
#[derive(Debug)]
pub struct History<C, R> {
    log: Mutex<Log<C, R>>,
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
            log: Mutex::new(Log {
                time: 0,
                entries: Vec::new(),
            }),
        }
    }

    /// Records a call, just before it is made.
    pub fn call(&self, call: C) -> CallNo {
        let mut log = lock(&self.log);
        log.time += 1;
        let called = log.time;
        log.entries.push(Entry {
            call,
            called,
            reply: None,
        });
        log.entries.len() - 1
    }

    /// Records the reply to a call, just after it arrived. A call whose
    /// outcome is unknown gets none.
    pub fn reply(&self, call: CallNo, reply: R) {
        let mut log = lock(&self.log);
        log.time += 1;
        let time = log.time;
        if let Some(entry) = log.entries.get_mut(call) {
            entry.reply = Some((reply, time));
        }
    }

    /// Returns the count of calls.
    pub fn len(&self) -> usize {
        let log = lock(&self.log);
        log.entries.len()
    }

    /// Whether no call was recorded.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

quick_error! {
    /// Why a history was not accepted.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Violation {
        /// No order of the calls explains the replies. Names the calls that
        /// remained in the longest order found.
        NotLinearizable(rest: String) {
            display("no order of the calls explains the replies; left over: {}", rest)
        }
        /// The history has too many concurrent calls to be searched.
        TooLong(states: usize) {
            display("no verdict after {} states", states)
        }
    }
}

/// Checks a history against what the object does.
///
/// # Errors
///
/// `NotLinearizable` when no order explains the replies, `TooLong` when the
/// search was given up.
pub fn check<S: Spec>(spec: &S, history: &History<S::Call, S::Reply>) -> Result<(), Violation> {
    let log = lock(&history.log);
    let entries = &log.entries;
    let replied = entries.iter().filter(|e| e.reply.is_some()).count();
    let mut visited: HashSet<(Vec<u64>, S::State)> = HashSet::new();
    let start = (vec![0_u64; entries.len().div_ceil(64)], 0, spec.initial());
    let mut open = vec![start];
    let mut longest = (0, Vec::new());
    while let Some((done, count, state)) = open.pop() {
        if count == replied {
            return Ok(());
        }
        if count >= longest.0 {
            longest = (count, done.clone());
        }
        // A call can be next only if no other that is left had its reply
        // before this one was made.
        let bound = entries
            .iter()
            .enumerate()
            .filter(|(i, _)| !is_set(&done, *i))
            .filter_map(|(_, e)| e.reply.as_ref().map(|(_, t)| *t))
            .min()
            .unwrap_or(usize::MAX);
        for (i, e) in entries.iter().enumerate().rev() {
            if is_set(&done, i) || e.called > bound {
                continue;
            }
            let reply = e.reply.as_ref().map(|(r, _)| r);
            for next in spec.step(&state, &e.call, reply) {
                let mut done = done.clone();
                done[i / 64] |= 1 << (i % 64);
                if visited.insert((done.clone(), next.clone())) {
                    let count = count + usize::from(reply.is_some());
                    open.push((done, count, next));
                }
            }
        }
        if visited.len() > MAX_STATES {
            return Err(Violation::TooLong(visited.len()));
        }
    }
    let rest: Vec<String> = entries
        .iter()
        .enumerate()
        .filter(|(i, e)| !is_set(&longest.1, *i) && e.reply.is_some())
        .take(8)
        .map(|(_, e)| format!("{:?} -> {:?}", e.call, e.reply.as_ref().map(|(r, _)| r)))
        .collect();
    Err(Violation::NotLinearizable(rest.join("; ")))
}

/// Checks that a series of revisions, as one router saw them, never falls.
///
/// # Errors
///
/// `NotLinearizable` with the two revisions.
pub fn check_rising(revisions: &[u64]) -> Result<(), Violation> {
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
