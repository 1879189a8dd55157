//! Conversion of configuration items from and to JSON.

use anvilloft_wire::config::Budget;
use anvilloft_wire::config::ConfigItem;
use anvilloft_wire::config::ConfigOp;
use anvilloft_wire::config::DefaultValue;
use anvilloft_wire::config::Exception;
use anvilloft_wire::config::Item;
use anvilloft_wire::config::ItemRef;
use anvilloft_wire::config::Key;
use anvilloft_wire::config::Kind;
use anvilloft_wire::config::Model;
use anvilloft_wire::config::Op;
use anvilloft_wire::config::Rank;
use anvilloft_wire::config::Service;
use anvilloft_wire::config::Team;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::error::ApiError;

/// Kind of configuration items.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemKind {
    /// Name in paths and files, such as `teams`.
    pub path: &'static str,
    /// Name of one item, such as `team`.
    pub singular: &'static str,
    pub(super) kind: Kind,
}

const fn kind(path: &'static str, singular: &'static str, kind: Kind) -> ItemKind {
    ItemKind {
        path,
        singular,
        kind,
    }
}

impl ItemKind {
    /// Every kind, in an order in which items refer to earlier kinds only.
    pub const ALL: [Self; 8] = [
        kind("ranks", "rank", Kind::Rank),
        kind("models", "model", Kind::Model),
        kind("services", "service", Kind::Service),
        kind("teams", "team", Kind::Team),
        kind("budgets", "budget", Kind::Budget),
        kind("keys", "key", Kind::Key),
        kind("defaults", "default", Kind::Default),
        kind("exceptions", "exception", Kind::Exception),
    ];

    /// Returns the kind with this name in paths.
    pub(super) fn from_path(path: &str) -> Result<Self, ApiError> {
        let found = Self::ALL.into_iter().find(|kind| kind.path == path);
        found.ok_or_else(|| ApiError::NotFound(format!("call or kind of items {path}")))
    }

    /// Returns the operation that deletes an item.
    pub(super) fn delete_op(self, name: &str) -> ConfigOp {
        ConfigOp {
            op: Some(Op::Delete(ItemRef {
                kind: self.kind as i32,
                name: name.to_owned(),
            })),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TeamFields {
    name: String,
    #[serde(default = "normal")]
    default_rank: String,
    #[serde(default = "one")]
    weight: u32,
    #[serde(default)]
    disabled: bool,
}

fn normal() -> String {
    "normal".to_owned()
}

fn one() -> u32 {
    1
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyFields {
    name: String,
    #[serde(default)]
    team: String,
    #[serde(default)]
    budget: String,
    #[serde(default)]
    role: String,
    /// SHA-256 of the secret in hexadecimal digits.
    sha256: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BudgetFields {
    name: String,
    team: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RankFields {
    name: String,
    level: u32,
    #[serde(default = "one")]
    weight: u32,
    floor_percent: u32,
    queue_ms: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ModelFields {
    name: String,
    #[serde(default)]
    version: String,
    default_max_tokens: u32,
    max_tokens: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceFields {
    name: String,
    idempotent: bool,
    price: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DefaultFields {
    name: String,
    value: u64,
    /// Part of responses; ignored in requests.
    #[serde(default, rename = "built_in")]
    _built_in: Option<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ExceptionFields {
    team: String,
    name: String,
    value: u64,
    reason: String,
}

fn parse_fields<T: DeserializeOwned>(kind: ItemKind, value: &Value) -> Result<T, ApiError> {
    T::deserialize(value).map_err(|err| ApiError::BadRequest(format!("{}: {err}", kind.singular)))
}

/// Parses a SHA-256 in hexadecimal digits.
pub(super) fn parse_hash(text: &str) -> Result<Vec<u8>, ApiError> {
    match hex::decode(text) {
        Ok(hash) if hash.len() == 32 => Ok(hash),
        _ => Err(ApiError::BadRequest(
            "sha256 must have 64 hexadecimal digits".to_owned(),
        )),
    }
}

/// Parses an item.
pub(super) fn item_from_json(kind: ItemKind, value: &Value) -> Result<Item, ApiError> {
    Ok(match kind.kind {
        Kind::Team => {
            let f: TeamFields = parse_fields(kind, value)?;
            Item::Team(Team {
                name: f.name,
                default_rank: f.default_rank,
                weight: f.weight,
                disabled: f.disabled,
            })
        }
        Kind::Key => {
            let f: KeyFields = parse_fields(kind, value)?;
            Item::Key(Key {
                hash: parse_hash(&f.sha256)?,
                name: f.name,
                team: f.team,
                budget: f.budget,
                role: f.role,
            })
        }
        Kind::Budget => {
            let f: BudgetFields = parse_fields(kind, value)?;
            Item::Budget(Budget {
                name: f.name,
                team: f.team,
            })
        }
        Kind::Rank => {
            let f: RankFields = parse_fields(kind, value)?;
            Item::Rank(Rank {
                name: f.name,
                level: f.level,
                weight: f.weight,
                floor_percent: f.floor_percent,
                queue_ms: f.queue_ms,
            })
        }
        Kind::Model => {
            let f: ModelFields = parse_fields(kind, value)?;
            Item::Model(Model {
                name: f.name,
                version: f.version,
                default_max_tokens: f.default_max_tokens,
                max_tokens: f.max_tokens,
            })
        }
        Kind::Service => {
            let f: ServiceFields = parse_fields(kind, value)?;
            Item::Service(Service {
                name: f.name,
                idempotent: f.idempotent,
                price: f.price,
            })
        }
        Kind::Default => {
            let f: DefaultFields = parse_fields(kind, value)?;
            Item::Default(DefaultValue {
                name: f.name,
                value: f.value,
            })
        }
        Kind::Exception => {
            let f: ExceptionFields = parse_fields(kind, value)?;
            Item::Exception(Exception {
                team: f.team,
                name: f.name,
                value: f.value,
                reason: f.reason,
            })
        }
    })
}

/// Returns the name that identifies an item within its kind.
pub(super) fn item_name(kind: ItemKind, value: &Value) -> String {
    let text = |field: &str| value[field].as_str().unwrap_or_default();
    match kind.kind {
        Kind::Exception => format!("{}/{}", text("team"), text("name")),
        _ => text("name").to_owned(),
    }
}

/// Returns the operation that sets an item.
pub(super) fn set_op(item: Item) -> ConfigOp {
    ConfigOp {
        op: Some(Op::Set(ConfigItem { item: Some(item) })),
    }
}
