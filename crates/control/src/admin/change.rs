//! Parses requests that change the configuration, and computes their diffs.

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
use super::items::item_from_json;
use super::items::item_name;
use super::items::set_op;

/// Maximum length of the id of a change or top-up, in bytes.
const MAX_ID_BYTES: usize = 128;

/// Fields that every change request has.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct ChangeMetadata {
    /// Chosen by the client; a resent change has the same id.
    pub(super) change_id: String,
    /// Revision that the change is based on.
    pub(super) base_revision: u64,
    /// Why the change is made.
    pub(super) reason: String,
    /// Validates the change and returns its diff without making it.
    #[serde(default)]
    pub(super) dry_run: bool,
}

impl ChangeMetadata {
    /// Removes the metadata fields from a body and validates them.
    pub(super) fn take_from(body: &mut Map<String, Value>) -> Result<Self, ApiError> {
        let mut metadata = Map::new();
        for field in ["change_id", "base_revision", "reason", "dry_run"] {
            if let Some(value) = body.remove(field) {
                metadata.insert(field.to_owned(), value);
            }
        }
        let metadata: Self = serde_json::from_value(Value::Object(metadata))
            .map_err(|err| ApiError::BadRequest(err.to_string()))?;
        check_id("change_id", &metadata.change_id)?;
        check_reason(&metadata.reason)?;
        Ok(metadata)
    }

    /// Returns the command that makes the change.
    pub(super) fn to_command(&self, author: &str, ops: Vec<ConfigOp>) -> Body {
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

/// Checks the length of an id that the client chose.
pub(super) fn check_id(field: &str, id: &str) -> Result<(), ApiError> {
    if id.is_empty() || id.len() > MAX_ID_BYTES {
        return Err(ApiError::BadRequest(format!(
            "{field} must have 1 to {MAX_ID_BYTES} bytes"
        )));
    }
    Ok(())
}

/// Checks that a reason is given.
pub(super) fn check_reason(reason: &str) -> Result<(), ApiError> {
    if reason.trim().is_empty() {
        return Err(ApiError::BadRequest("reason must not be empty".to_owned()));
    }
    Ok(())
}

/// Takes the id and the reason of a change whose body has nothing else.
pub(super) fn take_id_and_reason(
    mut body: Map<String, Value>,
) -> Result<(String, String), ApiError> {
    let change_id = take_text(&mut body, "change_id")?;
    check_id("change_id", &change_id)?;
    let reason = take_text(&mut body, "reason")?;
    check_reason(&reason)?;
    reject_unknown_fields(&body)?;
    Ok((change_id, reason))
}

/// Refuses the fields left in a body, so that a misspelt field isn't ignored.
pub(super) fn reject_unknown_fields(body: &Map<String, Value>) -> Result<(), ApiError> {
    match body.keys().next() {
        None => Ok(()),
        Some(field) => Err(ApiError::BadRequest(format!("unknown field {field}"))),
    }
}

/// Removes a required field from a body.
pub(super) fn take_field(body: &mut Map<String, Value>, field: &str) -> Result<Value, ApiError> {
    body.remove(field)
        .ok_or_else(|| ApiError::BadRequest(format!("field {field} is required")))
}

/// Removes a string from a body. Returns an empty string when it is missing.
pub(super) fn take_text(body: &mut Map<String, Value>, field: &str) -> Result<String, ApiError> {
    match body.remove(field) {
        None => Ok(String::new()),
        Some(Value::String(text)) => Ok(text),
        Some(_) => Err(ApiError::BadRequest(format!(
            "field {field} must be a string"
        ))),
    }
}

/// Returns an item of a configuration in the form of the ledger's `config`
/// query.
pub(super) fn find_item<'a>(config: &'a Value, kind: ItemKind, name: &str) -> Option<&'a Value> {
    let items = config[kind.path].as_array()?;
    items.iter().find(|item| item_name(kind, item) == name)
}

/// Returns an item without its computed fields.
fn without_computed_fields(item: &Value) -> Value {
    let mut item = item.clone();
    if let Some(fields) = item.as_object_mut() {
        fields.remove("built_in");
    }
    item
}

/// Fills in the hash of an existing key, which clients may leave out.
fn with_key_hash(config: &Value, kind: ItemKind, mut item: Value) -> Value {
    if kind.kind == Kind::Key
        && item.get("sha256").is_none()
        && let Some(old) = find_item(config, kind, &item_name(kind, &item))
        && let Some(fields) = item.as_object_mut()
    {
        fields.insert("sha256".to_owned(), old["sha256"].clone());
    }
    item
}

/// Parses an item of a request. `name` is the item's name in the path, if any.
pub(super) fn parse_item(
    config: &Value,
    kind: ItemKind,
    name: Option<&str>,
    mut item: Value,
) -> Result<Item, ApiError> {
    let Some(fields) = item.as_object_mut() else {
        return Err(ApiError::BadRequest("item must be an object".to_owned()));
    };
    if let Some(name) = name {
        let expected: Vec<(&str, &str)> = match name.split_once('/') {
            Some((team, name)) => vec![("team", team), ("name", name)],
            None => vec![("name", name)],
        };
        for (field, value) in expected {
            let given = fields.entry(field).or_insert_with(|| json!(value));
            if given != value {
                return Err(ApiError::BadRequest(format!(
                    "{field} differs from the path; items can't be renamed"
                )));
            }
        }
    }
    item_from_json(kind, &with_key_hash(config, kind, item))
}

/// Returns the kinds of items that the operations of a `changes` request use.
pub(super) fn kinds_in_ops(ops: &Value) -> Vec<ItemKind> {
    let ops = ops.as_array().map_or(&[][..], Vec::as_slice);
    let paths: Vec<&str> = ops
        .iter()
        .filter_map(Value::as_object)
        .flat_map(|op| op.values())
        .filter_map(|target| target["kind"].as_str())
        .collect();
    ItemKind::ALL
        .into_iter()
        .filter(|kind| paths.contains(&kind.path))
        .collect()
}

/// Parses the operations of a `changes` request.
pub(super) fn parse_ops(config: &Value, ops: &Value) -> Result<Vec<ConfigOp>, ApiError> {
    let bad_ops = |reason: &str| ApiError::BadRequest(format!("ops: {reason}"));
    let Some(ops) = ops.as_array() else {
        return Err(bad_ops("must be a list"));
    };
    ops.iter()
        .map(|op| {
            let Some((verb, target)) = op
                .as_object()
                .filter(|op| op.len() == 1)
                .and_then(|op| op.iter().next())
            else {
                return Err(bad_ops("each must be {\"set\": ..} or {\"delete\": ..}"));
            };
            let kind = ItemKind::from_path(target["kind"].as_str().unwrap_or_default())
                .map_err(|_| bad_ops("kind is required, for example teams"))?;
            match verb.as_str() {
                "set" => parse_item(config, kind, None, target["item"].clone()).map(set_op),
                "delete" => match target["name"].as_str() {
                    Some(name) => Ok(kind.delete_op(name)),
                    None => Err(bad_ops("name is required")),
                },
                _ => Err(bad_ops("each must be {\"set\": ..} or {\"delete\": ..}")),
            }
        })
        .collect()
}

/// Returns the operations that make the configuration equal to a file. Kinds
/// without a section in the file stay as they are. Items that a section lacks
/// are deleted only with `prune`.
pub(super) fn ops_to_match_file(
    config: &Value,
    file: &Value,
    prune: bool,
) -> Result<Vec<ConfigOp>, ApiError> {
    let Some(file) = file.as_object() else {
        return Err(ApiError::BadRequest("file must be an object".to_owned()));
    };
    for section in file.keys() {
        // A file made from the response of GET contains `revision`.
        if section != "revision" && ItemKind::from_path(section).is_err() {
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
            let item = parse_item(config, kind, None, item.clone())?;
            let after = item_json(&item);
            let name = item_name(kind, &after);
            if names.contains(&name) {
                return Err(ApiError::BadRequest(format!(
                    "file: {} {name} is listed twice",
                    kind.singular
                )));
            }
            if find_item(config, kind, &name).map(without_computed_fields) != Some(after) {
                sets.push(set_op(item));
            }
            names.push(name);
        }
        if prune && let Some(items) = config[kind.path].as_array() {
            // A default that isn't set is listed with its built-in value and has
            // no item to delete.
            let built_in = |item: &Value| item.get("built_in").is_some_and(|b| *b == item["value"]);
            let unlisted = items
                .iter()
                .filter(|item| !names.contains(&item_name(kind, item)) && !built_in(item));
            deletes.extend(unlisted.map(|item| kind.delete_op(&item_name(kind, item))));
        }
    }
    // An item must be deleted before the items that it refers to.
    deletes.reverse();
    sets.extend(deletes);
    Ok(sets)
}

/// Returns the effect of each operation: the item before and after.
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
                let name = item_name(kind, &after);
                let before = find_item(config, kind, &name).map(without_computed_fields);
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
                    "before": find_item(config, kind, &target.name).map(without_computed_fields),
                    "after": null,
                }))
            }
        })
        .collect()
}
