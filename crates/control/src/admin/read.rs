//! Reads of the API. Lists come from the ledger in pages, so that no reply
//! between processes grows with the count of items.

use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use super::auth::Caller;
use super::auth::Role;
use super::change::find;
use super::error::ApiError;
use super::items::ItemKind;
use super::items::name_of;
use super::run::Admin;
use super::run::Reply;
use crate::driver::ENDPOINTS_QUERY;

/// Largest count of rows that a client may ask for, and of a page.
pub(super) const MAX_ROWS: u32 = 1_000;
/// Largest count of items in one answer. A larger fleet is read by kind and
/// page.
const MAX_ITEMS: usize = 100_000;
/// Attempts to read several pages at one revision.
const ATTEMPTS: usize = 5;

/// Removes the hashes of keys, which only operators see.
fn hide(caller: &Caller, items: &mut Value) {
    if caller.role != Role::Operator
        && let Some(items) = items.as_array_mut()
    {
        for item in items.iter_mut().filter_map(Value::as_object_mut) {
            item.remove("sha256");
        }
    }
}

/// Reads `limit` and `after` of a query string.
fn page_of(query: &str) -> Result<(u32, String), ApiError> {
    let bad = || ApiError::BadRequest(format!("only after=NAME and limit=1..{MAX_ROWS} are known"));
    let mut page = (MAX_ROWS, String::new());
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        match pair.split_once('=') {
            Some(("limit", value)) => {
                let limit = value.parse().ok().filter(|n| (1..=MAX_ROWS).contains(n));
                page.0 = limit.ok_or_else(bad)?;
            }
            Some(("after", value)) => page.1 = super::calls::decode(value).ok_or_else(bad)?,
            _ => return Err(bad()),
        }
    }
    Ok(page)
}

impl Admin {
    /// Reads one item, as a configuration that holds nothing else.
    pub(super) async fn one(
        &self,
        caller: &Caller,
        kind: ItemKind,
        name: &str,
    ) -> Result<Value, ApiError> {
        let query = format!("item/{}", kind.path);
        let page = self.query(&query, name, caller.team(), 0).await?;
        let mut items = match &page["item"] {
            Value::Null => json!([]),
            item => json!([item]),
        };
        hide(caller, &mut items);
        Ok(json!({ "revision": page["revision"], kind.path: items }))
    }

    /// Reads a page of the endpoints that routers report to the leader.
    pub(super) async fn endpoints(&self, query: &str) -> Result<Value, ApiError> {
        let (limit, after) = page_of(query)?;
        let page = self.query(ENDPOINTS_QUERY, &after, "", limit).await?;
        let rows = page.as_array().map_or(&[][..], Vec::as_slice);
        let next = match rows.last() {
            Some(last) if rows.len() == limit as usize => last["id"].clone(),
            _ => Value::Null,
        };
        Ok(json!({ "endpoints": rows, "next": next }))
    }

    /// Reads all items of some kinds at one revision.
    pub(super) async fn sections(
        &self,
        caller: &Caller,
        kinds: &[ItemKind],
    ) -> Result<Value, ApiError> {
        for _ in 0..ATTEMPTS {
            if let Some(config) = self.try_sections(caller, kinds).await? {
                return Ok(config);
            }
        }
        Err(ApiError::Unavailable(
            "the configuration changed during each attempt to read it".to_owned(),
        ))
    }

    /// Returns nothing when the revision changed between two pages.
    async fn try_sections(
        &self,
        caller: &Caller,
        kinds: &[ItemKind],
    ) -> Result<Option<Value>, ApiError> {
        // An item without a name doesn't exist: this asks for the revision alone.
        let ledger = self.query("item/ranks", "", caller.team(), 0).await?;
        let mut config = json!({ "revision": ledger["revision"] });
        let mut count = 0;
        for kind in kinds {
            let query = format!("items/{}", kind.path);
            let mut all = Vec::new();
            let mut after = String::new();
            loop {
                let page = self.query(&query, &after, caller.team(), MAX_ROWS).await?;
                if page["revision"] != ledger["revision"] {
                    return Ok(None);
                }
                let items = page["items"].as_array().cloned().unwrap_or_default();
                count += items.len();
                if count > MAX_ITEMS {
                    return Err(ApiError::Refused(
                        "too_many_items".to_owned(),
                        format!("there are over {MAX_ITEMS} items; read each kind in pages"),
                    ));
                }
                let full = items.len() == MAX_ROWS as usize;
                after = items.last().map(|i| name_of(*kind, i)).unwrap_or_default();
                all.extend(items);
                if !full {
                    break;
                }
            }
            let mut all = Value::Array(all);
            hide(caller, &mut all);
            config[kind.path] = all;
        }
        Ok(Some(config))
    }

    /// Reads rows of a table with the newest first.
    pub(super) async fn rows(
        &self,
        kind: &str,
        caller: &Caller,
        query: &str,
    ) -> Result<Value, ApiError> {
        let limit = match query {
            "" => 0,
            _ => page_of(query)?.0,
        };
        self.query(kind, "", caller.team(), limit).await
    }

    /// Reads one page of a kind.
    pub(super) async fn list(
        &self,
        caller: &Caller,
        values: &[String],
        query: &str,
    ) -> Result<Reply, ApiError> {
        let kind = ItemKind::find(&values[0])?;
        let (limit, after) = page_of(query)?;
        let path = format!("items/{}", kind.path);
        let mut page = self.query(&path, &after, caller.team(), limit).await?;
        let mut items = match kind.path {
            // With amounts.
            "budgets" => self.query("budgets", &after, caller.team(), limit).await?,
            _ => page["items"].take(),
        };
        hide(caller, &mut items);
        let rows = items.as_array().map_or(&[][..], Vec::as_slice);
        let full = rows.len() == limit as usize;
        let next = rows.last().filter(|_| full).map(|i| name_of(kind, i));
        let mut body = Map::new();
        body.insert("revision".to_owned(), page["revision"].clone());
        body.insert("next".to_owned(), json!(next));
        body.insert(kind.path.to_owned(), items);
        let body = Value::Object(body);
        Ok(Reply { status: 200, body })
    }

    /// Reads one item.
    pub(super) async fn get(&self, caller: &Caller, values: &[String]) -> Result<Reply, ApiError> {
        let kind = ItemKind::find(&values[0])?;
        let name = values[1..].join("/");
        let config = self.one(caller, kind, &name).await?;
        // An item of another team is as absent as one that doesn't exist.
        let Some(item) = find(&config, kind, &name) else {
            return Err(ApiError::NotFound(format!("{} {name}", kind.singular)));
        };
        let item = match kind.path {
            "budgets" => self.query("budget", &name, caller.team(), 0).await?,
            _ => item.clone(),
        };
        let body = json!({ "revision": config["revision"], kind.singular: item });
        Ok(Reply { status: 200, body })
    }
}
