//! Why a proposal was not taken.

use quick_error::quick_error;

quick_error! {
    /// Why a proposal, change or read was not taken. Nothing was appended.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ProposeError {
        /// This member doesn't lead.
        NotLeader {
            display("this member does not lead")
        }
        /// Too many entries or reads wait for a majority.
        Busy {
            display("too many entries or reads wait for a majority")
        }
        /// The entry is longer than `NodeConfig::max_entry_bytes`.
        TooLarge(len: usize) {
            display("an entry of {} bytes is too long", len)
        }
        /// Another membership change, or the first entry of the term, is not
        /// yet committed.
        ChangePending {
            display("another membership change is not yet committed")
        }
        /// The change doesn't fit the membership.
        InvalidChange(reason: &'static str) {
            display("invalid membership change: {}", reason)
        }
        /// The learner's log hasn't caught up with the leader's commit index.
        NotCaughtUp {
            display("the learner has not caught up")
        }
    }
}
