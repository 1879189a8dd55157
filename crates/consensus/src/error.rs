//! Error of a rejected proposal, membership change or read.

use quick_error::quick_error;

quick_error! {
    /// Reason for which a proposal, membership change or read was rejected.
    /// Nothing was appended to the log.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ProposeError {
        /// This member isn't the leader.
        NotLeader {
            display("this member is not the leader")
        }
        /// Too many entries or reads are waiting for a majority.
        Busy {
            display("too many entries or reads are waiting for a majority")
        }
        /// The entry is larger than `NodeConfig::max_entry_bytes`.
        TooLarge(len: usize) {
            display("entry of {} bytes exceeds the maximum entry size", len)
        }
        /// Another membership change, or the first entry of the leader's term,
        /// is not yet committed.
        ChangePending {
            display("another membership change, or the first entry of the term, is not yet committed")
        }
        /// The change is invalid for the current membership.
        InvalidChange(reason: &'static str) {
            display("invalid membership change: {}", reason)
        }
        /// The learner's log hasn't caught up with the leader's commit index.
        NotCaughtUp {
            display("the learner has not caught up with the leader")
        }
    }
}
