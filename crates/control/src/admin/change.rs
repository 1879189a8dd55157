//! Requests that change the configuration, and their diffs.

use anvilloft_ledger::item_json;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::ConfigChange;
use anvilloft_wire::config::ConfigOp;
use anvilloft_wire::config::Item;
use anvilloft_wire::config::Kind;
use anvilloft_wire::config::Op;
use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use super::error::ApiError;
use super::items::ItemKind;
use super::items::from_json;
use super::items::name_of;
use super::items::set;

/// Longest id of a change, in bytes.
const MAX_ID_BYTES: usize = 128;

/// Fields of every change request.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Head {
    /// Chosen by the client; a resent change has the same id.
    pub(super) change_id: String,
    /// Revision that the change was made against.
    pub(super) base_revision: u64,
    /// Why the change is made.
    pub(super) reason: String,
    /// Checks and shows the change without making it.
    #[serde(default)]
    pub(super) dry_run: bool,
}

impl Head {
    /// Takes the fields of the head out of a body.
    pub(super) fn take(body: &mut Map<String, Value>) -> Result<Self, ApiError> {
        let mut head = Map::new();
        for field in ["change_id", "base_revision", "reason", "dry_run"] {
            if let Some(value) = body.remove(field) {
                head.insert(field.to_owned(), value);
            }
        }
        let head: Self = serde_json::from_value(Value::Object(head))
            .map_err(|err| ApiError::BadRequest(err.to_string()))?;
        check_id("change_id", &head.change_id)?;
        check_reason(&head.reason)?;
        Ok(head)
    }

    /// Makes the command.
    pub(super) fn command(&self, author: &str, ops: Vec<ConfigOp>) -> Body {
        Body::ConfigChange(ConfigChange {
            change_id: self.change_id.clone(),
            base_revision: self.base_revision,
            author: author.to_owned(),
            reason: self.reason.clone(),
            ops,
            dry_run: self.dry_run,
        })
    }
}

pub(super) fn check_id(field: &str, id: &str) -> Result<(), ApiError> {
    if id.is_empty() || id.len() > MAX_ID_BYTES {
        return Err(ApiError::BadRequest(format!(
            "{field} must have 1 to {MAX_ID_BYTES} bytes"
        )));
    }
    Ok(())
}

pub(super) fn check_reason(reason: &str) -> Result<(), ApiError> {
    if reason.trim().is_empty() {
        return Err(ApiError::BadRequest("reason must be given".to_owned()));
    }
    Ok(())
}

/// Refuses fields that no call knows, so that a misspelt one is not ignored.
pub(super) fn check_empty(body: &Map<String, Value>) -> Result<(), ApiError> {
    match body.keys().next() {
        None => Ok(()),
        Some(field) => Err(ApiError::BadRequest(format!("unknown field {field}"))),
    }
}

/// Takes a value out of a body.
pub(super) fn take(body: &mut Map<String, Value>, field: &str) -> Result<Value, ApiError> {
    body.remove(field)
        .ok_or_else(|| ApiError::BadRequest(format!("{field} must be given")))
}

/// Takes a text out of a body; empty when it is missing.
pub(super) fn take_text(body: &mut Map<String, Value>, field: &str) -> Result<String, ApiError> {
    match body.remove(field) {
        None => Ok(String::new()),
        Some(Value::String(text)) => Ok(text),
        Some(_) => Err(ApiError::BadRequest(format!("{field} must be a text"))),
    }
}

/// Finds an item of the ledger's `config` query.
pub(super) fn find<'a>(config: &'a Value, kind: ItemKind, name: &str) -> Option<&'a Value> {
    let items = config[kind.path].as_array()?;
    items.iter().find(|item| name_of(kind, item) == name)
}

/// Returns an item without the fields that are computed.
fn plain(item: &Value) -> Value {
    let mut item = item.clone();
    if let Some(fields) = item.as_object_mut() {
        fields.remove("built_in");
    }
    item
}

/// Fills in the hash of an existing key, which clients need not repeat.
fn with_hash(config: &Value, kind: ItemKind, mut item: Value) -> Value {
    if kind.kind == Kind::Key
        && item.get("sha256").is_none()
        && let Some(old) = find(config, kind, &name_of(kind, &item))
        && let Some(fields) = item.as_object_mut()
    {
        fields.insert("sha256".to_owned(), old["sha256"].clone());
    }
    item
}

/// Reads an item of a request; `name` is that of the path.
pub(super) fn read_item(
    config: &Value,
    kind: ItemKind,
    name: Option<&str>,
    mut item: Value,
) -> Result<Item, ApiError> {
    let Some(fields) = item.as_object_mut() else {
        return Err(ApiError::BadRequest("item must be an object".to_owned()));
    };
    if let Some(name) = name {
        let parts: Vec<(&str, &str)> = match name.split_once('/') {
            Some((team, name)) => vec![("team", team), ("name", name)],
            None => vec![("name", name)],
        };
        for (field, value) in parts {
            let given = fields.entry(field).or_insert_with(|| json!(value));
            if given != value {
                return Err(ApiError::BadRequest(format!(
                    "{field} differs from the path; items can't be renamed"
                )));
            }
        }
    }
    from_json(kind, &with_hash(config, kind, item))
}

/// Returns the kinds that the operations of a `changes` request name.
pub(super) fn kinds_of(ops: &Value) -> Vec<ItemKind> {
    let ops = ops.as_array().map_or(&[][..], Vec::as_slice);
    let named: Vec<&str> = ops
        .iter()
        .filter_map(Value::as_object)
        .flat_map(|op| op.values())
        .filter_map(|target| target["kind"].as_str())
        .collect();
    ItemKind::ALL
        .into_iter()
        .filter(|kind| named.contains(&kind.path))
        .collect()
}

/// Reads the operations of a `changes` request.
pub(super) fn read_ops(config: &Value, ops: &Value) -> Result<Vec<ConfigOp>, ApiError> {
    let bad = |reason: &str| ApiError::BadRequest(format!("ops: {reason}"));
    let Some(ops) = ops.as_array() else {
        return Err(bad("must be a list"));
    };
    ops.iter()
        .map(|op| {
            let Some((verb, target)) = op
                .as_object()
                .filter(|op| op.len() == 1)
                .and_then(|op| op.iter().next())
            else {
                return Err(bad("each must be {\"set\": ..} or {\"delete\": ..}"));
            };
            let kind = ItemKind::find(target["kind"].as_str().unwrap_or_default())
                .map_err(|_| bad("kind must be given, such as teams"))?;
            match verb.as_str() {
                "set" => read_item(config, kind, None, target["item"].clone()).map(set),
                "delete" => match target["name"].as_str() {
                    Some(name) => Ok(kind.delete(name)),
                    None => Err(bad("name must be given")),
                },
                _ => Err(bad("each must be {\"set\": ..} or {\"delete\": ..}")),
            }
        })
        .collect()
}

/// Returns the operations that make the configuration equal to a file. Kinds
/// that the file doesn't hold stay as they are; items that it doesn't hold
/// are deleted with `prune` only.
pub(super) fn plan(config: &Value, file: &Value, prune: bool) -> Result<Vec<ConfigOp>, ApiError> {
    let Some(file) = file.as_object() else {
        return Err(ApiError::BadRequest("file must be an object".to_owned()));
    };
    for section in file.keys() {
        // `revision` comes with a file that was made from the answer to GET.
        if section != "revision" && ItemKind::find(section).is_err() {
            return Err(ApiError::BadRequest(format!(
                "file: unknown section {section}"
            )));
        }
    }
    let mut sets = Vec::new();
    let mut deletes = Vec::new();
    for kind in ItemKind::ALL {
        let Some(section) = file.get(kind.path) else {
            continue;
        };
        let Some(section) = section.as_array() else {
            return Err(ApiError::BadRequest(format!(
                "file: {} must be a list",
                kind.path
            )));
        };
        let mut names = Vec::new();
        for item in section {
            let item = read_item(config, kind, None, item.clone())?;
            let after = item_json(&item);
            let name = name_of(kind, &after);
            if names.contains(&name) {
                return Err(ApiError::BadRequest(format!(
                    "file: {} {name} is listed twice",
                    kind.singular
                )));
            }
            if find(config, kind, &name).map(plain) != Some(after) {
                sets.push(set(item));
            }
            names.push(name);
        }
        if prune && let Some(items) = config[kind.path].as_array() {
            // A default without an item of its own has its built-in value.
            let built_in = |item: &Value| item.get("built_in").is_some_and(|b| *b == item["value"]);
            let gone = items
                .iter()
                .filter(|item| !names.contains(&name_of(kind, item)) && !built_in(item));
            deletes.extend(gone.map(|item| kind.delete(&name_of(kind, item))));
        }
    }
    // Items are deleted before those that they refer to.
    deletes.reverse();
    sets.extend(deletes);
    Ok(sets)
}

/// Shows what operations change, item by item.
pub(super) fn diff(config: &Value, ops: &[ConfigOp]) -> Value {
    let kind_of = |kind: Kind| ItemKind::ALL.into_iter().find(|k| k.kind == kind);
    ops.iter()
        .filter_map(|op| match op.op.as_ref()? {
            Op::Set(item) => {
                let item = item.item.as_ref()?;
                let kind = kind_of(match item {
                    Item::Team(_) => Kind::Team,
                    Item::Key(_) => Kind::Key,
                    Item::Budget(_) => Kind::Budget,
                    Item::Rank(_) => Kind::Rank,
                    Item::Model(_) => Kind::Model,
                    Item::Service(_) => Kind::Service,
                    Item::Default(_) => Kind::Default,
                    Item::Exception(_) => Kind::Exception,
                })?;
                let after = item_json(item);
                let name = name_of(kind, &after);
                let before = find(config, kind, &name).map(plain);
                let verb = match &before {
                    None => "add",
                    Some(before) if *before == after => "keep",
                    Some(_) => "change",
                };
                Some(json!({
                    "op": verb,
                    "kind": kind.singular,
                    "name": name,
                    "before": before,
                    "after": after,
                }))
            }
            Op::Delete(target) => {
                let kind = kind_of(Kind::try_from(target.kind).ok()?)?;
                Some(json!({
                    "op": "delete",
                    "kind": kind.singular,
                    "name": target.name,
                    "before": find(config, kind, &target.name).map(plain),
                    "after": null,
                }))
            }
        })
        .collect()
}
