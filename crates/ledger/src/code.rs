//! Stable, machine-readable codes of refused commands.

use anvilloft_wire::command::Refused;
use anvilloft_wire::command::Reply;

/// The command has no body, or a field has the wrong length.
pub const MALFORMED: &str = "malformed";
/// A name is empty, too long, or holds a `/` or a control character.
pub const BAD_NAME: &str = "bad_name";
/// The budget doesn't exist.
pub const UNKNOWN_BUDGET: &str = "unknown_budget";
/// The team doesn't exist.
pub const UNKNOWN_TEAM: &str = "unknown_team";
/// The item to delete doesn't exist.
pub const UNKNOWN_ITEM: &str = "unknown_item";
/// The default doesn't exist.
pub const UNKNOWN_DEFAULT: &str = "unknown_default";
/// The default has no exceptions for teams.
pub const NO_EXCEPTION: &str = "no_exception";
/// The value is outside the range of the default or field.
pub const OUT_OF_RANGE: &str = "out_of_range";
/// An item refers to an item that doesn't exist.
pub const DANGLING_REFERENCE: &str = "dangling_reference";
/// An exception has no reason.
pub const EMPTY_REASON: &str = "empty_reason";
/// The budget holds unspent or allotted tokens.
pub const BUDGET_IN_USE: &str = "budget_in_use";
/// A budget can't move to another team.
pub const BUDGET_MOVED: &str = "budget_moved";
/// Another key has the same hash.
pub const DUPLICATE_KEY_HASH: &str = "duplicate_key_hash";
/// The floors of all ranks exceed 100 percent.
pub const FLOORS_EXCEEDED: &str = "floors_exceeded";
/// Another change was accepted under this change id.
pub const CHANGE_ID_REUSED: &str = "change_id_reused";
/// A top-up with this id was applied with another budget or amount.
pub const TOP_UP_ID_REUSED: &str = "top_up_id_reused";
/// A table that grows with commands from outside has reached its size limit.
pub const TABLE_FULL: &str = "table_full";
/// The amount is zero.
pub const ZERO_AMOUNT: &str = "zero_amount";
/// A correction exceeds the unspent tokens of the budget.
pub const INSUFFICIENT_UNSPENT: &str = "insufficient_unspent";
/// A number would exceed the maximum that the ledger can store.
pub const OVERFLOW: &str = "overflow";
/// The router incarnation was never opened, or its record has expired.
pub const UNKNOWN_INCARNATION: &str = "unknown_incarnation";
/// The router incarnation is closed.
pub const INCARNATION_CLOSED: &str = "incarnation_closed";
/// The router incarnation is lost or superseded.
pub const INCARNATION_LOST: &str = "incarnation_lost";
/// A newer incarnation of the router was opened.
pub const OLD_INCARNATION: &str = "old_incarnation";
/// Another incarnation of the router is open at another address.
pub const STILL_ALIVE: &str = "still_alive";
/// The allotments of a lost incarnation stay frozen until the hold has passed.
pub const STILL_HELD: &str = "still_held";
/// The number of the grant is not higher than those of earlier grants; retry
/// with a new number.
pub const STALE_GRANT: &str = "stale_grant";
/// An earlier report is missing; resend from the expected number.
pub const REPORT_GAP: &str = "report_gap";
/// The order doesn't exist.
pub const UNKNOWN_ORDER: &str = "unknown_order";
/// The attempt has ended, or another attempt runs the order.
pub const STALE_ATTEMPT: &str = "stale_attempt";
/// Nothing with this fingerprint is in quarantine.
pub const UNKNOWN_QUARANTINE: &str = "unknown_quarantine";
/// The evacuation of the data centre was changed after the state that the command is
/// based on.
pub const EVACUATION_CHANGED: &str = "evacuation_changed";

/// Returns a reply that refuses a command.
pub(crate) fn refused(code: &str, message: impl Into<String>) -> Reply {
    Reply::Refused(Refused {
        code: code.into(),
        message: message.into(),
    })
}
