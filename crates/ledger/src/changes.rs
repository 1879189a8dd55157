//! Configuration changes, their history and the replies kept for resent changes.

use std::collections::HashMap;
use std::collections::VecDeque;

use anvilloft_types::Revision;
use anvilloft_wire::command::Accepted;
use anvilloft_wire::command::ConfigChange;
use anvilloft_wire::command::Conflict;
use anvilloft_wire::command::Reply;
use anvilloft_wire::config::ConfigOp;
use anvilloft_wire::config::ConfigUpdate;
use anvilloft_wire::config::Item;
use anvilloft_wire::config::Kind;
use anvilloft_wire::config::Op;
use prost::Message;
use sha2::Digest;
use sha2::Sha256;

use crate::code;
use crate::code::refused;
use crate::ledger::Ledger;
use crate::ledger::drain_expired;
use crate::validate::MAX_OPS;
use crate::validate::MAX_REASON_BYTES;
use crate::validate::Violation;
use crate::validate::check_applied_ops;
use crate::validate::check_name;
use crate::validate::check_op;

/// Maximum number of changes in the history.
const MAX_HISTORY: usize = 4_096;
/// Maximum number of operations in the history. Routers that are further behind
/// get the full configuration.
const MAX_HISTORY_OPS: usize = 65_536;
/// Maximum number of change ids kept for detecting resends.
const MAX_CHANGE_IDS: usize = 262_144;
/// Ranks that can't be deleted, because admission relies on them.
const REQUIRED_RANKS: [&str; 3] = ["low", "normal", "urgent"];

/// One accepted configuration change.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ChangeRecord {
    #[prost(uint64, tag = "1")]
    pub(crate) revision: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) at_ms: u64,
    #[prost(string, tag = "3")]
    pub(crate) author: String,
    #[prost(string, tag = "4")]
    pub(crate) reason: String,
    #[prost(string, tag = "5")]
    pub(crate) change_id: String,
    #[prost(message, repeated, tag = "6")]
    pub(crate) ops: Vec<ConfigOp>,
}

/// The reply to a configuration change, kept for resends of the change.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ChangeReply {
    #[prost(string, tag = "1")]
    pub(crate) change_id: String,
    #[prost(uint64, tag = "2")]
    pub(crate) at_ms: u64,
    /// SHA-256 of the change. Distinguishes a resent change from another change
    /// under the same id.
    #[prost(bytes = "vec", tag = "3")]
    pub(crate) digest: Vec<u8>,
    #[prost(message, optional, tag = "4")]
    pub(crate) reply: Option<anvilloft_wire::CommandReply>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Changes {
    /// Accepted changes, oldest first. Their revisions have no gaps and end at the
    /// one in force.
    pub(crate) history: VecDeque<ChangeRecord>,
    /// Number of operations in `history`.
    history_ops: usize,
    pub(crate) replies: HashMap<String, ChangeReply>,
    /// Reply times and change ids, oldest first.
    pub(crate) reply_queue: VecDeque<(u64, String)>,
}

impl Changes {
    /// Returns the changes after a revision as one update, or `None` if the
    /// history doesn't reach back to it.
    pub(crate) fn since(&self, revision: Revision) -> Option<ConfigUpdate> {
        let first = self.history.front()?.revision;
        let skip = (revision.checked_add(1)?).checked_sub(first)?;
        let records = self.history.iter().skip(usize::try_from(skip).ok()?);
        Some(ConfigUpdate {
            from: revision,
            to: self.history.back()?.revision,
            full: false,
            ops: records.flat_map(|r| r.ops.iter().cloned()).collect(),
        })
    }

    /// Adds a change to the history and drops the oldest ones beyond its limits.
    pub(crate) fn push(&mut self, record: ChangeRecord) {
        self.history_ops += record.ops.len();
        self.history.push_back(record);
        while self.history.len() > MAX_HISTORY || self.history_ops > MAX_HISTORY_OPS {
            let Some(dropped) = self.history.pop_front() else {
                break;
            };
            self.history_ops -= dropped.ops.len();
        }
    }

    /// Returns the refusal of a change when no further id can be kept.
    pub(crate) fn check_room(&self) -> Result<(), Reply> {
        if self.reply_queue.len() < MAX_CHANGE_IDS {
            return Ok(());
        }
        Err(refused(
            code::TABLE_FULL,
            format!("at most {MAX_CHANGE_IDS} change ids are kept"),
        ))
    }

    /// Returns the reply to a change that was made before under this id, or the refusal of
    /// another change under it.
    pub(crate) fn repeated_reply(&self, change_id: &str, digest: &[u8]) -> Option<Reply> {
        let stored = self.replies.get(change_id)?;
        let reply = stored.reply.as_ref()?.reply.clone()?;
        Some(match stored.digest == digest {
            true => reply,
            false => id_reused(change_id),
        })
    }

    pub(crate) fn store_reply(&mut self, reply: ChangeReply) {
        self.reply_queue
            .push_back((reply.at_ms, reply.change_id.clone()));
        self.replies.insert(reply.change_id.clone(), reply);
    }

    pub(crate) fn expire(&mut self, now_ms: u64, keep_ms: u64) {
        let replies = &mut self.replies;
        drain_expired(
            &mut self.reply_queue,
            |(at, _)| *at,
            now_ms,
            keep_ms,
            |(at, id)| {
                // A later reply under the same id has its own entry in the queue.
                if replies.get(&id).is_some_and(|r| r.at_ms == at) {
                    replies.remove(&id);
                }
            },
        );
    }
}

/// Returns the refusal of a change under the id of another one.
pub(crate) fn id_reused(change_id: &str) -> Reply {
    refused(
        code::CHANGE_ID_REUSED,
        format!("change {change_id} was accepted with different content"),
    )
}

impl Ledger {
    pub(crate) fn config_change(&mut self, change: &ConfigChange) -> Reply {
        if change.dry_run {
            return self.try_change(change);
        }
        if let Err((code, message)) = check_change(change) {
            return refused(code, message);
        }
        let digest = Sha256::digest(change.encode_to_vec()).to_vec();
        if let Some(stored) = self.changes.replies.get(&change.change_id)
            && let Some(reply) = stored.reply.as_ref().and_then(|r| r.reply.clone())
        {
            if stored.digest == digest {
                return reply;
            }
            if matches!(reply, Reply::Accepted(_) | Reply::Ok(_)) {
                return id_reused(&change.change_id);
            }
            // A refused change may be corrected and sent again under its id.
        }
        if let Err(full) = self.changes.check_room() {
            return full;
        }
        let reply = self.try_change(change);
        self.changes.store_reply(ChangeReply {
            change_id: change.change_id.clone(),
            at_ms: self.now_ms,
            digest,
            reply: Some(anvilloft_wire::CommandReply {
                reply: Some(reply.clone()),
            }),
        });
        reply
    }

    // Applies a change as a whole, or reverts it if it breaks a rule or is a dry
    // run.
    fn try_change(&mut self, change: &ConfigChange) -> Reply {
        let current = self.config.revision();
        if change.base_revision != current {
            return Reply::Conflict(Conflict { current });
        }
        let Some(revision) = current.checked_add(1) else {
            return refused(code::OVERFLOW, "the revision can't rise further");
        };
        let mut undo = Vec::with_capacity(change.ops.len());
        let result = self.apply_ops(change, &mut undo);
        if result.is_err() || change.dry_run {
            for op in undo.iter().rev() {
                self.config.apply_op(op);
            }
        }
        if let Err((code, message)) = result {
            return refused(code, message);
        }
        if !change.dry_run {
            self.config.set_revision(revision);
            for op in &change.ops {
                self.sync_account(op);
            }
            self.changes.push(ChangeRecord {
                revision,
                at_ms: self.now_ms,
                author: change.author.clone(),
                reason: change.reason.clone(),
                change_id: change.change_id.clone(),
                ops: change.ops.clone(),
            });
        }
        Reply::Accepted(Accepted { revision })
    }

    // Applies operations until one breaks a rule. `undo` gets the operations that
    // revert the applied ones, to be applied in reverse order.
    fn apply_ops(
        &mut self,
        change: &ConfigChange,
        undo: &mut Vec<ConfigOp>,
    ) -> Result<(), Violation> {
        for op in &change.ops {
            check_op(&self.config, op)?;
            self.check_delete(op)?;
            undo.extend(self.config.apply_op(op));
        }
        check_applied_ops(&self.config, &change.ops)
    }

    fn check_delete(&self, op: &ConfigOp) -> Result<(), Violation> {
        let Some(Op::Delete(target)) = &op.op else {
            return Ok(());
        };
        if target.kind == i32::from(Kind::Budget)
            && let Some(account) = self.accounts.get(&target.name)
            && (account.unspent > 0 || account.allotted > 0)
        {
            return Err((
                code::BUDGET_IN_USE,
                format!(
                    "budget {} has {} unspent and {} allotted tokens",
                    target.name, account.unspent, account.allotted
                ),
            ));
        }
        if target.kind == i32::from(Kind::Rank) && REQUIRED_RANKS.contains(&target.name.as_str()) {
            return Err((
                code::OUT_OF_RANGE,
                format!("rank {} is built in and can't be deleted", target.name),
            ));
        }
        Ok(())
    }

    // Adds or removes the account of a budget that an operation set or deleted, so
    // that each configured budget has one account.
    fn sync_account(&mut self, op: &ConfigOp) {
        let name = match &op.op {
            Some(Op::Set(item)) => match &item.item {
                Some(Item::Budget(b)) => &b.name,
                _ => return,
            },
            Some(Op::Delete(t)) if t.kind == i32::from(Kind::Budget) => &t.name,
            _ => return,
        };
        if self.config.budget(name).is_some() {
            self.accounts.open(name);
        } else {
            self.accounts.remove(name);
            self.drop_allotments(name);
        }
    }
}

fn check_change(change: &ConfigChange) -> Result<(), Violation> {
    check_name(&change.change_id)?;
    if change.ops.len() > MAX_OPS {
        return Err((
            code::OUT_OF_RANGE,
            format!("a change has at most {MAX_OPS} operations"),
        ));
    }
    if change.reason.len() > MAX_REASON_BYTES || change.author.len() > MAX_REASON_BYTES {
        return Err((
            code::OUT_OF_RANGE,
            format!("a reason and an author have at most {MAX_REASON_BYTES} bytes"),
        ));
    }
    Ok(())
}
