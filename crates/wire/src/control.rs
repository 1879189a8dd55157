//! The trait through which routers and administrators reach the replicated
//! ledger, and the requests that it carries.

use std::time::Duration;

use anvilloft_types::BoxFuture;
use quick_error::quick_error;

use crate::command::Command;
use crate::command::CommandReply;
use crate::command::OpenIncarnation;
use crate::config::ConfigUpdate;
use crate::frame::EndpointUpdate;

/// A request to the control members.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ControlRequest {
    /// The request itself.
    #[prost(oneof = "Request", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub request: Option<Request>,
}

/// The kinds of requests.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Request {
    /// Appends a command to the replicated log.
    #[prost(message, tag = "1")]
    Propose(Command),
    /// Renews a configuration lease.
    #[prost(message, tag = "2")]
    Renew(RenewLease),
    /// Reads state.
    #[prost(message, tag = "3")]
    Query(Query),
    /// Reads or changes the membership of the control group. Answered with a
    /// `QueryResult` or with `Applied` that holds `Ok` or `Refused`.
    #[prost(message, tag = "4")]
    Group(GroupRequest),
    /// Asks a peer router for tokens that it holds. Answered with `Lent`.
    #[prost(message, tag = "5")]
    Loan(LoanRequest),
    /// Asks for the route table that the member itself holds. Any member
    /// answers, with `Table`.
    #[prost(message, tag = "6")]
    Table(TableRequest),
    /// Gives another member a copy of what an endpoint announced. That member answers
    /// for itself, with `Applied` once it holds the copy or something newer.
    #[prost(message, tag = "7")]
    Copy(EndpointUpdate),
}

/// Asks a control member for the published route table.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct TableRequest {
    /// Version that the requester has. Only a newer one is returned.
    #[prost(uint64, tag = "1")]
    pub held_version: u64,
}

/// Asks a peer router to reserve tokens of its own allotment for a request that
/// the requester runs. The lender settles the tokens that were used, so the
/// ledger is not involved.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct LoanRequest {
    /// Budget of the tokens.
    #[prost(string, tag = "1")]
    pub budget: String,
    /// Maximum number of tokens to lend.
    #[prost(uint64, tag = "2")]
    pub max_tokens: u64,
    /// Whether the lender is asked as the holder of the requester's reserve, and counts
    /// the request as demand of its own.
    #[prost(bool, tag = "3")]
    pub as_holder: bool,
}

/// Tokens that a router reserved for a peer.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct LoanGrant {
    /// Id of the loan at the lender, for `LoanEnd`.
    #[prost(uint64, tag = "1")]
    pub loan_id: u64,
    /// Number of tokens lent; 0 when the lender has none idle.
    #[prost(uint64, tag = "2")]
    pub amount: u64,
}

/// Reads or changes the membership of the control group.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct GroupRequest {
    /// What to do.
    #[prost(enumeration = "GroupAction", tag = "1")]
    pub action: i32,
    /// Member that the change is for.
    #[prost(uint64, tag = "2")]
    pub member: u64,
    /// Peer address of an added member, `ip:port`.
    #[prost(string, tag = "3")]
    pub address: String,
}

/// Actions on the membership. Each is idempotent, so that it can be resent after
/// a lost reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum GroupAction {
    /// Returns members, leader and progress as JSON.
    Status = 0,
    /// Adds a learner.
    AddLearner = 1,
    /// Makes a learner that has caught up a voter.
    Promote = 2,
    /// Removes a voter or learner.
    Remove = 3,
}

/// Renews the configuration lease of a router incarnation.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct RenewLease {
    /// Name of the router.
    #[prost(string, tag = "1")]
    pub router: String,
    /// Incarnation of the router.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Configuration revision that the router has.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Version of the router directory that the router has.
    #[prost(uint64, tag = "4")]
    pub directory_version: u64,
    /// Input for the placement of models; not part of every renewal.
    #[prost(message, optional, tag = "5")]
    pub report: Option<PlacementReport>,
    /// Version of the published route table that the router has.
    #[prost(uint64, tag = "6")]
    pub publication_version: u64,
    /// Time since the router's process was started, when it sent this, in
    /// milliseconds. May be less.
    #[prost(uint64, tag = "7")]
    pub age_ms: u64,
}

/// A published route table.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Publication {
    /// Version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The table as the operator wrote it, compressed by
    /// [`crate::compression::compress`].
    #[prost(bytes = "vec", tag = "2")]
    pub source: Vec<u8>,
}

/// One router's input for the placement of models. It replaces the previous
/// report of the router.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct PlacementReport {
    /// Demand by model.
    #[prost(message, repeated, tag = "1")]
    pub demand: Vec<ModelDemand>,
    /// Model engines that this router reports. Each engine is reported by the
    /// first router assigned to it that still renews its lease.
    #[prost(message, repeated, tag = "2")]
    pub endpoints: Vec<ReportedEndpoint>,
}

/// Demand for one model at one router.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct ModelDemand {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Demand in thousandths of a token per second, refused requests included.
    #[prost(uint64, tag = "2")]
    pub millitokens_per_s: u64,
}

/// A model engine as it announced itself to a router.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct ReportedEndpoint {
    /// Name of the endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Incarnation of the endpoint.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Address, `ip:port`.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Data centre of the endpoint.
    #[prost(string, tag = "4")]
    pub data_centre: String,
    /// Names of the loaded models.
    #[prost(string, repeated, tag = "5")]
    pub models: Vec<String>,
    /// Maximum number of requests that run at once.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// Whether the endpoint refuses old fencing numbers.
    #[prost(bool, tag = "7")]
    pub checks_fencing: bool,
    /// Whether the endpoint takes no new work.
    #[prost(bool, tag = "8")]
    pub leaving: bool,
    /// Number of the announcement within the incarnation.
    #[prost(uint64, tag = "9")]
    pub seq: u64,
}

/// A configuration lease.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseGrant {
    /// Validity in milliseconds, counted by the receiver from the time that it
    /// sent the request. 0 when the incarnation is closed: the router must
    /// open a new one.
    #[prost(uint64, tag = "1")]
    pub valid_ms: u64,
    /// Configuration changes since the router's revision.
    #[prost(message, optional, tag = "2")]
    pub config: Option<ConfigUpdate>,
    /// Version of the router directory.
    #[prost(uint64, tag = "3")]
    pub directory_version: u64,
    /// The whole router directory when its version differs.
    #[prost(message, repeated, tag = "4")]
    pub routers: Vec<OpenIncarnation>,
    /// Fingerprints of all suspect requests of the fleet, 16 bytes each.
    #[prost(bytes = "vec", repeated, tag = "5")]
    pub suspects: Vec<Vec<u8>>,
    /// Budgets of which the router is to return idle allotments.
    #[prost(string, repeated, tag = "6")]
    pub recalls: Vec<String>,
    /// Routers of the directory that have not renewed for a whole lease. They
    /// can't take new work, so callers are not sent to them.
    #[prost(string, repeated, tag = "7")]
    pub silent_routers: Vec<String>,
    /// The published route table, if newer than the router's.
    #[prost(message, optional, tag = "8")]
    pub publication: Option<Publication>,
    /// Peer addresses of the control members, `ip:port`.
    #[prost(string, repeated, tag = "9")]
    pub members: Vec<String>,
    /// Fingerprints of the traits of requests that are refused because such
    /// requests crashed endpoints, 16 bytes each.
    #[prost(bytes = "vec", repeated, tag = "10")]
    pub quarantined: Vec<Vec<u8>>,
    /// Version of that list, as in [`crate::command::Quarantined`].
    #[prost(uint64, optional, tag = "11")]
    pub quarantine_version: Option<u64>,
    /// The data centres that are evacuated. Older members don't send it.
    #[prost(message, optional, tag = "12")]
    pub evacuations: Option<crate::command::Evacuations>,
}

/// Reads state. The result is JSON, because people and scripts read it.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Query {
    /// What to read: `budget`, `budgets`, `config`, `history`, `key` (named by
    /// the SHA-256 of its secret in hexadecimal digits), `routers`, `orders`,
    /// `status`, `evacuations`, `publication` (the source of the published route table).
    #[prost(string, tag = "1")]
    pub kind: String,
    /// Name, where the kind needs one.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Restricts the result to one team unless empty.
    #[prost(string, tag = "3")]
    pub team: String,
    /// Maximum number of rows; 0 for the default.
    #[prost(uint32, tag = "4")]
    pub limit: u32,
    /// Maximum size of the source of the `publication`, compressed, in bytes; 0 for no
    /// limit. Of a longer one only the version is returned. Older members return the source
    /// all the same.
    #[prost(uint32, tag = "5")]
    pub max_source_bytes: u32,
}

/// A reply of the control members.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ControlReply {
    /// The reply itself.
    #[prost(oneof = "Answer", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub answer: Option<Answer>,
}

/// The kinds of replies.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Answer {
    /// The command was committed and applied.
    #[prost(message, tag = "1")]
    Applied(CommandReply),
    /// A lease was granted. Boxed, as it is much larger than the other kinds.
    #[prost(message, tag = "2")]
    Lease(Box<LeaseGrant>),
    /// JSON text.
    #[prost(string, tag = "3")]
    QueryResult(String),
    /// The member is not the leader. Holds the leader's peer address, or is empty
    /// when the member doesn't know it.
    #[prost(string, tag = "4")]
    NotLeader(String),
    /// The request was not run, for example without a majority.
    #[prost(string, tag = "5")]
    Unavailable(String),
    /// The command may have been committed; resend it with the same ids.
    #[prost(string, tag = "6")]
    Unknown(String),
    /// Tokens that a peer router reserved.
    #[prost(message, tag = "7")]
    Lent(LoanGrant),
    /// The route table that the member holds; version 0 when it has none that
    /// is newer than the requester's.
    #[prost(message, tag = "8")]
    Table(Publication),
}

quick_error! {
    /// Why a call to the control members has no reply.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum CallError {
        /// The request was not run.
        Unavailable(reason: String) {
            display("the control group is unavailable: {}", reason)
        }
        /// The request may have been run. Resend it with the same ids.
        Unknown(reason: String) {
            display("the control group may have run the request: {}", reason)
        }
    }
}

/// Access to the replicated ledger.
pub trait Control: Send + Sync {
    /// Sends a request and waits for its reply, at most for `timeout`.
    ///
    /// # Errors
    ///
    /// `CallError::Unavailable` when the request certainly changed nothing,
    /// `CallError::Unknown` when it may have been run.
    fn call(
        &self,
        req: ControlRequest,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<ControlReply, CallError>>;
}

impl From<Command> for ControlRequest {
    fn from(cmd: Command) -> Self {
        Self {
            request: Some(Request::Propose(cmd)),
        }
    }
}

impl From<crate::command::Body> for ControlRequest {
    fn from(body: crate::command::Body) -> Self {
        Command {
            at_ms: 0,
            body: Some(body),
        }
        .into()
    }
}

impl From<EndpointUpdate> for ControlRequest {
    fn from(update: EndpointUpdate) -> Self {
        Self {
            request: Some(Request::Copy(update)),
        }
    }
}

impl From<TableRequest> for ControlRequest {
    fn from(req: TableRequest) -> Self {
        Self {
            request: Some(Request::Table(req)),
        }
    }
}

impl From<RenewLease> for ControlRequest {
    fn from(req: RenewLease) -> Self {
        Self {
            request: Some(Request::Renew(req)),
        }
    }
}

impl From<Query> for ControlRequest {
    fn from(req: Query) -> Self {
        Self {
            request: Some(Request::Query(req)),
        }
    }
}

impl From<LoanRequest> for ControlRequest {
    fn from(req: LoanRequest) -> Self {
        Self {
            request: Some(Request::Loan(req)),
        }
    }
}

impl From<GroupRequest> for ControlRequest {
    fn from(req: GroupRequest) -> Self {
        Self {
            request: Some(Request::Group(req)),
        }
    }
}

impl From<Answer> for ControlReply {
    fn from(answer: Answer) -> Self {
        Self {
            answer: Some(answer),
        }
    }
}

impl From<CallError> for ControlReply {
    fn from(err: CallError) -> Self {
        match err {
            CallError::Unavailable(reason) => Answer::Unavailable(reason),
            CallError::Unknown(reason) => Answer::Unknown(reason),
        }
        .into()
    }
}

impl ControlReply {
    /// Returns the reply, or the error that it stands for.
    ///
    /// # Errors
    ///
    /// `Unavailable` and `Unknown`, when the member answered with them.
    pub fn into_result(self) -> Result<Self, CallError> {
        match self.answer {
            Some(Answer::Unavailable(reason)) => Err(CallError::Unavailable(reason)),
            Some(Answer::Unknown(reason)) => Err(CallError::Unknown(reason)),
            _ => Ok(self),
        }
    }
}
