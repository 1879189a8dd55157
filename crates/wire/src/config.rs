//! Configuration items. Every item has a kind and a name; a change sets or
//! deletes whole items.

/// One item of the configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigItem {
    /// The item itself.
    #[prost(oneof = "Item", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub item: Option<Item>,
}

/// The kinds of configuration items.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Item {
    /// A team.
    #[prost(message, tag = "1")]
    Team(Team),
    /// A bearer key of a team.
    #[prost(message, tag = "2")]
    Key(Key),
    /// A prepaid budget.
    #[prost(message, tag = "3")]
    Budget(Budget),
    /// A rank: a priority class of requests.
    #[prost(message, tag = "4")]
    Rank(Rank),
    /// A model.
    #[prost(message, tag = "5")]
    Model(Model),
    /// A plain service.
    #[prost(message, tag = "6")]
    Service(Service),
    /// A fleet-wide default.
    #[prost(message, tag = "7")]
    Default(DefaultValue),
    /// An exception from a fleet-wide default.
    #[prost(message, tag = "8")]
    Exception(Exception),
}

/// A team.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Team {
    /// Unique name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Rank of requests that name none.
    #[prost(string, tag = "2")]
    pub default_rank: String,
    /// Weight relative to other teams; 0 counts as 1.
    #[prost(uint32, tag = "3")]
    pub weight: u32,
    /// A disabled team's requests are refused.
    #[prost(bool, tag = "4")]
    pub disabled: bool,
}

/// A bearer key of a team. The secret itself is never stored.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Key {
    /// Public name of the key.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Team that owns the key.
    #[prost(string, tag = "2")]
    pub team: String,
    /// Budget that requests with this key draw on.
    #[prost(string, tag = "3")]
    pub budget: String,
    /// SHA-256 of the secret, 32 bytes.
    #[prost(bytes = "vec", tag = "4")]
    pub hash: Vec<u8>,
    /// Role on the administration API: empty for none, `operator`,
    /// `read-only` or `team`.
    #[prost(string, tag = "5")]
    pub role: String,
}

/// A prepaid budget. The ledger holds its amounts.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Budget {
    /// Unique name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Team that owns the budget.
    #[prost(string, tag = "2")]
    pub team: String,
}

/// A rank: a priority class of requests.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Rank {
    /// Unique name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Order of service; 0 is served first.
    #[prost(uint32, tag = "2")]
    pub level: u32,
    /// Weight among ranks of one level.
    #[prost(uint32, tag = "3")]
    pub weight: u32,
    /// Minimum share of tokens for the rank while it has demand, in percent.
    #[prost(uint32, tag = "4")]
    pub floor_percent: u32,
    /// Maximum time in the queue, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub queue_ms: u32,
}

/// A model that callers may name.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Model {
    /// Unique name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Version to serve; empty for any.
    #[prost(string, tag = "2")]
    pub version: String,
    /// Output limit of requests that name none, in tokens.
    #[prost(uint32, tag = "3")]
    pub default_max_tokens: u32,
    /// Largest output limit that a request may name, in tokens.
    #[prost(uint32, tag = "4")]
    pub max_tokens: u32,
}

/// A plain service.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Service {
    /// Unique name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Whether its calls may be retried.
    #[prost(bool, tag = "2")]
    pub idempotent: bool,
    /// Price of one call, in tokens.
    #[prost(uint64, tag = "3")]
    pub price: u64,
}

/// A fleet-wide default.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct DefaultValue {
    /// Name, such as `config_lease_ms`.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value in the unit that the name ends with.
    #[prost(uint64, tag = "2")]
    pub value: u64,
}

/// An exception from a fleet-wide default, for one team.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Exception {
    /// Team that the exception is for.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Name of the default.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Value in the unit that the name ends with.
    #[prost(uint64, tag = "3")]
    pub value: u64,
    /// Why the exception exists. Never empty.
    #[prost(string, tag = "4")]
    pub reason: String,
}

/// The kind of an item, for deletion and lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Kind {
    /// [`Team`].
    Team = 0,
    /// [`Key`].
    Key = 1,
    /// [`Budget`].
    Budget = 2,
    /// [`Rank`].
    Rank = 3,
    /// [`Model`].
    Model = 4,
    /// [`Service`].
    Service = 5,
    /// [`DefaultValue`].
    Default = 6,
    /// [`Exception`]; its name is `team/default`.
    Exception = 7,
}

/// One operation of a configuration change.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigOp {
    /// Set or delete.
    #[prost(oneof = "Op", tags = "1, 2")]
    pub op: Option<Op>,
}

/// The operations on items.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Op {
    /// Adds the item or replaces the item of the same kind and name.
    #[prost(message, tag = "1")]
    Set(ConfigItem),
    /// Deletes an item.
    #[prost(message, tag = "2")]
    Delete(ItemRef),
}

/// Names an item.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct ItemRef {
    /// Kind of the item.
    #[prost(enumeration = "Kind", tag = "1")]
    pub kind: i32,
    /// Name of the item.
    #[prost(string, tag = "2")]
    pub name: String,
}

/// Configuration sent to a router: either everything or the changes since the
/// revision that the router named.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigUpdate {
    /// Revision before the update; 0 with `full` replaces everything.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Revision after the update.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// Whether `ops` holds the whole configuration.
    #[prost(bool, tag = "3")]
    pub full: bool,
    /// Operations in order.
    #[prost(message, repeated, tag = "4")]
    pub ops: Vec<ConfigOp>,
}
