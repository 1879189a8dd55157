//! Commands of the replicated ledger and their replies.
//!
//! Applying the same commands in the same order gives the same state on every
//! control member. Times are stamped by the leader.

use crate::config::ConfigOp;

mod crashes;
mod evacuations;

pub use crashes::Crash;
pub use crashes::CrashedRequest;
pub use crashes::Quarantined;
pub use crashes::ReleaseQuarantine;
pub use crashes::ReportCrashes;
pub use crashes::RequestTrait;
pub use evacuations::Evacuate;
pub use evacuations::Evacuations;

/// A command of the replicated ledger.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Command {
    /// Time of the proposal by the leader's clock, in milliseconds since the
    /// Unix epoch. The ledger's own clock never goes back.
    #[prost(uint64, tag = "1")]
    pub at_ms: u64,
    /// The command itself.
    #[prost(
        oneof = "Body",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18"
    )]
    pub body: Option<Body>,
}

/// The kinds of commands.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Changes the configuration.
    #[prost(message, tag = "2")]
    ConfigChange(ConfigChange),
    /// Tops up or corrects a budget.
    #[prost(message, tag = "3")]
    TopUp(TopUp),
    /// Registers a router incarnation or changes its state.
    #[prost(message, tag = "4")]
    OpenIncarnation(OpenIncarnation),
    /// Ends a router incarnation.
    #[prost(message, tag = "5")]
    CloseIncarnation(CloseIncarnation),
    /// Allots tokens of a budget to a router incarnation.
    #[prost(message, tag = "6")]
    Grant(Grant),
    /// Settles and returns allotted tokens.
    #[prost(message, tag = "7")]
    Report(Report),
    /// Records a non-idempotent call before it is sent.
    #[prost(message, tag = "8")]
    OrderBegin(OrderBegin),
    /// Records the outcome of a non-idempotent call.
    #[prost(message, tag = "9")]
    OrderFinish(OrderFinish),
    /// Records that an endpoint died while it ran a request.
    #[prost(message, tag = "10")]
    Strike(Strike),
    /// Asks for permission to run a suspect request.
    #[prost(message, tag = "11")]
    SuspectBegin(SuspectBegin),
    /// Ends the run of a suspect request.
    #[prost(message, tag = "12")]
    SuspectEnd(SuspectEnd),
    /// Drops records whose retention has passed at `at_ms`.
    #[prost(message, tag = "13")]
    Expire(Expire),
    /// Publishes a route table with the prepaid amounts of its teams.
    #[prost(message, tag = "14")]
    Publish(Publish),
    /// Returns the tokens that a dead router incarnation can't have used.
    #[prost(message, tag = "15")]
    RestoreReserve(RestoreReserve),
    /// Records endpoints that crashed, with what the requests there may have in
    /// common with other requests that crash endpoints.
    #[prost(message, tag = "16")]
    ReportCrashes(ReportCrashes),
    /// Ends the quarantine of a trait of requests.
    #[prost(message, tag = "17")]
    ReleaseQuarantine(ReleaseQuarantine),
    /// Starts or ends the evacuation of a data centre.
    #[prost(message, tag = "18")]
    Evacuate(Evacuate),
}

/// Publishes a whole route table. The highest version is in force; one that is
/// not higher than it changes nothing.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Publish {
    /// Version, chosen by the operator.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The table as the operator wrote it, compressed by
    /// [`crate::compression::compress`]. Routers decode it, and reads return it
    /// unchanged.
    #[prost(bytes = "vec", tag = "2")]
    pub source: Vec<u8>,
    /// Prepaid amounts by team.
    #[prost(message, repeated, tag = "3")]
    pub prepaid: Vec<Prepaid>,
}

/// The prepaid amount of one team.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Prepaid {
    /// Name of the team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Sum of everything that the team has paid for, in tokens.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// Changes the configuration, whole or not at all.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigChange {
    /// Id chosen by the operator's client; a resent change has the same id.
    #[prost(string, tag = "1")]
    pub change_id: String,
    /// Revision that the change was made against.
    #[prost(uint64, tag = "2")]
    pub base_revision: u64,
    /// Name of the operator's key.
    #[prost(string, tag = "3")]
    pub author: String,
    /// Why the change was made.
    #[prost(string, tag = "4")]
    pub reason: String,
    /// Operations, applied in order.
    #[prost(message, repeated, tag = "5")]
    pub ops: Vec<ConfigOp>,
    /// Checks the change without applying it.
    #[prost(bool, tag = "6")]
    pub dry_run: bool,
}

/// Tops up a budget, or corrects it when the amount is negative.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct TopUp {
    /// Id chosen by the operator's client; applies once.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Budget to change.
    #[prost(string, tag = "2")]
    pub budget: String,
    /// Tokens to add.
    #[prost(sint64, tag = "3")]
    pub amount: i64,
    /// Name of the operator's key.
    #[prost(string, tag = "4")]
    pub author: String,
    /// Why the amount changed.
    #[prost(string, tag = "5")]
    pub reason: String,
}

/// State of a router, as listed by `/v1/entry`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum RouterState {
    /// Accepts new callers.
    Alive = 0,
    /// Finishes its work and accepts no new callers.
    Draining = 1,
    /// Nothing is received from it; its allotments are frozen.
    Lost = 2,
}

/// Registers a router incarnation, or updates its state when it is registered
/// already.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct OpenIncarnation {
    /// Name of the router.
    #[prost(string, tag = "1")]
    pub router: String,
    /// Incarnation, larger than every earlier one of this router.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Address for callers, `ip:port`.
    #[prost(string, tag = "3")]
    pub caller_address: String,
    /// Address for peers, `ip:port`.
    #[prost(string, tag = "4")]
    pub peer_address: String,
    /// Data centre of the router.
    #[prost(string, tag = "5")]
    pub data_centre: String,
    /// A [`RouterState`]. Only the leader proposes `Lost`.
    #[prost(enumeration = "RouterState", tag = "6")]
    pub state: i32,
}

/// Ends a router incarnation and takes back the tokens that it holds.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct CloseIncarnation {
    /// Name of the router.
    #[prost(string, tag = "1")]
    pub router: String,
    /// Incarnation to end.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// Returns the locked tokens that a dead router incarnation can't have used.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct RestoreReserve {
    /// Name of the router.
    #[prost(string, tag = "1")]
    pub router: String,
    /// Incarnation whose process has ended.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Upper bound of the time from the contact that its lock counts from to the end
    /// of its process, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub died_within_ms: u64,
}

/// Allots tokens of a budget to a router incarnation.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Grant {
    /// Name of the router.
    #[prost(string, tag = "1")]
    pub router: String,
    /// Incarnation that requests the grant.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of the grant, counted from 1 in each incarnation. A resent grant
    /// has the same number and gets the reply to the first one.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// Budget to allot from.
    #[prost(string, tag = "4")]
    pub budget: String,
    /// Minimum amount to grant, in tokens.
    #[prost(uint64, tag = "5")]
    pub need: u64,
    /// Preferred amount, in tokens.
    #[prost(uint64, tag = "6")]
    pub want: u64,
    /// Whether routers lend tokens to each other. The budget may then be allotted
    /// to the last token, and nothing is recalled for this grant.
    #[prost(bool, tag = "7")]
    pub lending: bool,
}

/// Settles and returns allotted tokens. The reports of an incarnation are
/// applied in the order of `seq`, each once.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Report {
    /// Name of the router.
    #[prost(string, tag = "1")]
    pub router: String,
    /// Incarnation that held the allotments.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of the report, counted from 1 without gaps.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// Entries of the report.
    #[prost(message, repeated, tag = "4")]
    pub entries: Vec<ReportEntry>,
    /// Idle tokens that the router has locked. Replaces those of earlier reports.
    #[prost(message, optional, tag = "5")]
    pub locked: Option<LockedReserve>,
}

/// Idle tokens of a router that become usable only once it has heard nothing from
/// control for a while. If the router dies, those that were still locked are not lost.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct LockedReserve {
    /// Number of the last acknowledged report. The lock counts from the moment at
    /// which the router received that acknowledgement.
    #[prost(uint64, tag = "1")]
    pub acked_seq: u64,
    /// Time until all tokens are usable, in milliseconds; see [`still_locked`].
    #[prost(uint64, tag = "2")]
    pub unlock_ms: u64,
    /// Locked tokens by budget.
    #[prost(message, repeated, tag = "3")]
    pub amounts: Vec<LockedAmount>,
}

/// Locked tokens of one budget.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct LockedAmount {
    /// Budget.
    #[prost(string, tag = "1")]
    pub budget: String,
    /// Tokens.
    #[prost(uint64, tag = "2")]
    pub amount: u64,
}

/// One settlement or return.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct ReportEntry {
    /// Budget that the allotment is from.
    #[prost(string, tag = "1")]
    pub budget: String,
    /// Tokens used.
    #[prost(uint64, tag = "2")]
    pub settled: u64,
    /// Tokens returned unused.
    #[prost(uint64, tag = "3")]
    pub returned: u64,
    /// Hash of the team and the caller's idempotency key, 16 bytes; empty when
    /// the caller sent no key. An entry whose key was billed before settles
    /// nothing.
    #[prost(bytes = "vec", tag = "4")]
    pub request_key: Vec<u8>,
}

/// Returns the part of a locked amount that is still locked some time after the contact
/// that the lock counts from, in milliseconds.
///
/// All of it is locked for two thirds of the time, because most routers that die are
/// replaced by then; the rest of the time unlocks it evenly.
pub fn still_locked(amount: u64, unlock_ms: u64, elapsed_ms: u64) -> u64 {
    let left = u128::from(unlock_ms.saturating_sub(elapsed_ms));
    let ramp = u128::from(unlock_ms.div_ceil(3).max(1));
    let locked = u128::from(amount) * left.min(ramp) / ramp;
    u64::try_from(locked).unwrap_or(amount)
}

/// Adds tokens of a budget to locked amounts, which are sorted by budget.
pub fn lock_more(amounts: &mut Vec<LockedAmount>, budget: &str, tokens: u64) {
    match amounts.binary_search_by(|l| l.budget.as_str().cmp(budget)) {
        Ok(at) => amounts[at].amount = amounts[at].amount.saturating_add(tokens),
        Err(at) => amounts.insert(
            at,
            LockedAmount {
                budget: budget.to_owned(),
                amount: tokens,
            },
        ),
    }
}

/// Removes a budget from locked amounts, which are sorted by budget. A return takes all
/// idle tokens of a router, so nothing stays locked.
pub fn unlock(amounts: &mut [LockedAmount], budget: &str) {
    if let Ok(at) = amounts.binary_search_by(|l| l.budget.as_str().cmp(budget)) {
        amounts[at].amount = 0;
    }
}

/// Records a non-idempotent call before its first byte is sent.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct OrderBegin {
    /// Team of the caller.
    #[prost(string, tag = "1")]
    pub team: String,
    /// The caller's idempotency key.
    #[prost(string, tag = "2")]
    pub key: String,
    /// SHA-256 of service, method, path and body, 32 bytes.
    #[prost(bytes = "vec", tag = "3")]
    pub body_hash: Vec<u8>,
    /// Router that runs the call.
    #[prost(string, tag = "4")]
    pub router: String,
    /// Incarnation that runs the call.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// Attempt id, 16 bytes; a resent command has the same id.
    #[prost(bytes = "vec", tag = "6")]
    pub attempt: Vec<u8>,
}

/// How a non-idempotent call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum OrderOutcome {
    /// The endpoint answered.
    Done = 0,
    /// No byte was sent, or the endpoint refused explicitly.
    NotRun = 1,
    /// The call may have been run.
    Unknown = 2,
}

/// Records the outcome of a non-idempotent call.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct OrderFinish {
    /// Team of the caller.
    #[prost(string, tag = "1")]
    pub team: String,
    /// The caller's idempotency key.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Attempt id of the `OrderBegin` that was answered with
    /// [`OrderState::Run`].
    #[prost(bytes = "vec", tag = "3")]
    pub attempt: Vec<u8>,
    /// Outcome.
    #[prost(enumeration = "OrderOutcome", tag = "4")]
    pub outcome: i32,
    /// HTTP status of the answer.
    #[prost(uint32, tag = "5")]
    pub status: u32,
    /// Content type of the answer.
    #[prost(string, tag = "6")]
    pub content_type: String,
    /// Body of the answer, at most 64 KiB.
    #[prost(bytes = "vec", tag = "7")]
    pub body: Vec<u8>,
    /// Whether the body was too long to keep.
    #[prost(bool, tag = "8")]
    pub body_dropped: bool,
}

/// Records that an endpoint died while it ran a request.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Strike {
    /// Fingerprint of the request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub fingerprint: Vec<u8>,
    /// Endpoint that died.
    #[prost(string, tag = "2")]
    pub endpoint: String,
    /// Incarnation of the endpoint that died.
    #[prost(uint64, tag = "3")]
    pub endpoint_incarnation: u64,
}

/// Asks for permission to run a request whose fingerprint has a strike.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct SuspectBegin {
    /// Fingerprint of the request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub fingerprint: Vec<u8>,
    /// Router that asks for permission.
    #[prost(string, tag = "2")]
    pub router: String,
    /// Incarnation that asks for permission.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Endpoint that would run the request.
    #[prost(string, tag = "4")]
    pub endpoint: String,
}

/// Ends the run of a suspect request.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct SuspectEnd {
    /// Fingerprint of the request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub fingerprint: Vec<u8>,
    /// Router that ran the request.
    #[prost(string, tag = "2")]
    pub router: String,
    /// Incarnation that ran the request.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Whether the endpoint died again.
    #[prost(bool, tag = "4")]
    pub died: bool,
    /// Endpoint that ran the request.
    #[prost(string, tag = "5")]
    pub endpoint: String,
    /// Incarnation of that endpoint.
    #[prost(uint64, tag = "6")]
    pub endpoint_incarnation: u64,
    /// Whether the request was not run to its end, so that its strike stays.
    #[prost(bool, tag = "7")]
    pub not_run: bool,
}

/// Drops records whose retention has passed.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Expire {}

/// Reply to a command.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CommandReply {
    /// The reply itself.
    #[prost(oneof = "Reply", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub reply: Option<Reply>,
}

/// The kinds of replies.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Reply {
    /// The command was applied, or had been before.
    #[prost(message, tag = "1")]
    Ok(Ok),
    /// A configuration change was accepted at this revision.
    #[prost(message, tag = "2")]
    Accepted(Accepted),
    /// A configuration change was made against another revision.
    #[prost(message, tag = "3")]
    Conflict(Conflict),
    /// The command violates a rule of the ledger.
    #[prost(message, tag = "4")]
    Refused(Refused),
    /// Tokens were allotted.
    #[prost(message, tag = "5")]
    Granted(Granted),
    /// The budget can't cover the minimum amount of the grant.
    #[prost(message, tag = "6")]
    Insufficient(Insufficient),
    /// Reply to `OrderBegin`.
    #[prost(message, tag = "7")]
    Order(OrderReply),
    /// Reply to `SuspectBegin`.
    #[prost(message, tag = "8")]
    Suspect(SuspectReply),
    /// Reply to `Publish`.
    #[prost(message, tag = "9")]
    Published(Published),
    /// Reply to `ReportCrashes`.
    #[prost(message, tag = "10")]
    Quarantined(Quarantined),
    /// Reply to `Evacuate`: the state after the command.
    #[prost(message, tag = "11")]
    Evacuations(Evacuations),
}

/// Reply to `Publish`.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Published {
    /// Version in force after the command.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// The command was applied, or had been before.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Ok {}

/// A configuration change was accepted.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Accepted {
    /// Revision after the change.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
}

/// A configuration change was made against another revision.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Conflict {
    /// Revision in force.
    #[prost(uint64, tag = "1")]
    pub current: u64,
}

/// The command violates a rule of the ledger.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Refused {
    /// Stable machine-readable code, such as `unknown_budget`.
    #[prost(string, tag = "1")]
    pub code: String,
    /// Human-readable reason.
    #[prost(string, tag = "2")]
    pub message: String,
}

/// Tokens were allotted.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Granted {
    /// Amount granted, at least [`Grant::need`], in tokens.
    #[prost(uint64, tag = "1")]
    pub amount: u64,
}

/// The budget can't cover the minimum amount of the grant.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Insufficient {
    /// Tokens of the budget that are not allotted.
    #[prost(uint64, tag = "1")]
    pub unspent: u64,
    /// Tokens allotted to routers. A recall may return some of them.
    #[prost(uint64, tag = "2")]
    pub allotted: u64,
    /// Of these, tokens that routers reported as locked. They may be returned, also when
    /// their router is out of contact or was lost a moment ago.
    #[prost(uint64, tag = "3")]
    pub locked: u64,
}

/// State of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum OrderState {
    /// The requester is to run it.
    Run = 0,
    /// It is finished; the reply holds the recorded answer.
    Finished = 1,
    /// Another attempt is running.
    Running = 2,
    /// It may have been run; it is not run again.
    Unknown = 3,
    /// The key was used with another body.
    Mismatch = 4,
}

/// Reply to `OrderBegin`.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct OrderReply {
    /// State of the order.
    #[prost(enumeration = "OrderState", tag = "1")]
    pub state: i32,
    /// HTTP status of the recorded answer.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Content type of the recorded answer.
    #[prost(string, tag = "3")]
    pub content_type: String,
    /// Body of the recorded answer.
    #[prost(bytes = "vec", tag = "4")]
    pub body: Vec<u8>,
    /// Whether the body was too long to keep.
    #[prost(bool, tag = "5")]
    pub body_dropped: bool,
}

/// Reply to `SuspectBegin`.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct SuspectReply {
    /// Whether the request may run now.
    #[prost(bool, tag = "1")]
    pub run: bool,
    /// Time to wait before the next request for permission, in milliseconds; 0
    /// when quarantined.
    #[prost(uint64, tag = "2")]
    pub retry_after_ms: u64,
    /// End of the quarantine, in milliseconds since the Unix epoch; 0 when the
    /// fingerprint is not quarantined.
    #[prost(uint64, tag = "3")]
    pub quarantined_until_ms: u64,
}
