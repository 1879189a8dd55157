//! Reads of the API. Lists are read from the ledger in pages, so that no reply
//! between processes grows with the number of items.

use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use super::auth::Caller;
use super::auth::Role;
use super::change::find_item;
use super::error::ApiError;
use super::handlers::Admin;
use super::handlers::Reply;
use super::items::ItemKind;
use super::items::item_name;
use crate::driver::ENDPOINTS_QUERY;

/// Maximum number of rows in a page, and of rows that a client may request.
pub(super) const MAX_ROWS: u32 = 1_000;
/// Maximum number of items in one response. A larger configuration must be read
/// by kind and in pages.
const MAX_ITEMS: usize = 100_000;
/// Maximum number of attempts to read all pages at one revision.
const MAX_READ_ATTEMPTS: usize = 5;

/// Removes the hashes of keys unless the caller is an operator.
fn hide_key_hashes(caller: &Caller, items: &mut Value) {
    if caller.role != Role::Operator
        && let Some(items) = items.as_array_mut()
    {
        for item in items.iter_mut().filter_map(Value::as_object_mut) {
            item.remove("sha256");
        }
    }
}

/// Parses `limit` and `after` of a query string.
fn parse_page_query(query: &str) -> Result<(u32, String), ApiError> {
    let bad_query = || {
        ApiError::BadRequest(format!(
            "the query may contain only after=NAME and limit=1..{MAX_ROWS}"
        ))
    };
    let mut page = (MAX_ROWS, String::new());
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        match pair.split_once('=') {
            Some(("limit", value)) => {
                let limit = value.parse().ok().filter(|n| (1..=MAX_ROWS).contains(n));
                page.0 = limit.ok_or_else(bad_query)?;
            }
            Some(("after", value)) => {
                page.1 = super::calls::percent_decode(value).ok_or_else(bad_query)?
            }
            _ => return Err(bad_query()),
        }
    }
    Ok(page)
}

impl Admin {
    /// Returns a configuration that contains only the named item.
    pub(super) async fn read_item_config(
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
        hide_key_hashes(caller, &mut items);
        Ok(json!({ "revision": page["revision"], kind.path: items }))
    }

    /// Returns a page of the endpoints that routers report to the leader.
    pub(super) async fn list_endpoints(&self, query: &str) -> Result<Value, ApiError> {
        let (limit, after) = parse_page_query(query)?;
        let page = self.query(ENDPOINTS_QUERY, &after, "", limit).await?;
        let rows = page.as_array().map_or(&[][..], Vec::as_slice);
        let next = match rows.last() {
            Some(last) if rows.len() == limit as usize => last["id"].clone(),
            _ => Value::Null,
        };
        Ok(json!({ "endpoints": rows, "next": next }))
    }

    /// Returns all items of the given kinds at one revision.
    pub(super) async fn read_config(
        &self,
        caller: &Caller,
        kinds: &[ItemKind],
    ) -> Result<Value, ApiError> {
        for _ in 0..MAX_READ_ATTEMPTS {
            if let Some(config) = self.try_read_config(caller, kinds).await? {
                return Ok(config);
            }
        }
        Err(ApiError::Unavailable(
            "the configuration changed during each attempt to read it".to_owned(),
        ))
    }

    /// Returns `None` when the revision changed between two pages.
    async fn try_read_config(
        &self,
        caller: &Caller,
        kinds: &[ItemKind],
    ) -> Result<Option<Value>, ApiError> {
        // No item has an empty name, so this reads only the revision.
        let base = self.query("item/ranks", "", caller.team(), 0).await?;
        let mut config = json!({ "revision": base["revision"] });
        let mut count = 0;
        for kind in kinds {
            let query = format!("items/{}", kind.path);
            let mut all = Vec::new();
            let mut after = String::new();
            loop {
                let page = self.query(&query, &after, caller.team(), MAX_ROWS).await?;
                if page["revision"] != base["revision"] {
                    return Ok(None);
                }
                let items = page["items"].as_array().cloned().unwrap_or_default();
                count += items.len();
                if count > MAX_ITEMS {
                    return Err(ApiError::Refused(
                        "too_many_items".to_owned(),
                        format!(
                            "the configuration has over {MAX_ITEMS} items; read each kind in pages"
                        ),
                    ));
                }
                let full = items.len() == MAX_ROWS as usize;
                after = items
                    .last()
                    .map(|i| item_name(*kind, i))
                    .unwrap_or_default();
                all.extend(items);
                if !full {
                    break;
                }
            }
            let mut all = Value::Array(all);
            hide_key_hashes(caller, &mut all);
            config[kind.path] = all;
        }
        Ok(Some(config))
    }

    /// Returns the rows of a table, newest first.
    pub(super) async fn read_rows(
        &self,
        kind: &str,
        caller: &Caller,
        query: &str,
    ) -> Result<Value, ApiError> {
        let limit = match query {
            "" => 0,
            _ => parse_page_query(query)?.0,
        };
        self.query(kind, "", caller.team(), limit).await
    }

    /// Returns one page of the items of a kind.
    pub(super) async fn list_items(
        &self,
        caller: &Caller,
        params: &[String],
        query: &str,
    ) -> Result<Reply, ApiError> {
        let kind = ItemKind::from_path(&params[0])?;
        let (limit, after) = parse_page_query(query)?;
        let path = format!("items/{}", kind.path);
        let mut page = self.query(&path, &after, caller.team(), limit).await?;
        let mut items = match kind.path {
            // This query also returns the budgets' amounts.
            "budgets" => self.query("budgets", &after, caller.team(), limit).await?,
            _ => page["items"].take(),
        };
        hide_key_hashes(caller, &mut items);
        let rows = items.as_array().map_or(&[][..], Vec::as_slice);
        let full = rows.len() == limit as usize;
        let next = rows.last().filter(|_| full).map(|i| item_name(kind, i));
        let mut body = Map::new();
        body.insert("revision".to_owned(), page["revision"].clone());
        body.insert("next".to_owned(), json!(next));
        body.insert(kind.path.to_owned(), items);
        let body = Value::Object(body);
        Ok(Reply { status: 200, body })
    }

    /// Returns one page of the balances of all budgets, prepaid ones included.
    pub(super) async fn list_balances(&self, query: &str) -> Result<Reply, ApiError> {
        let (limit, after) = parse_page_query(query)?;
        let rows = self.query("balances", &after, "", limit).await?;
        let last = rows.as_array().filter(|r| r.len() == limit as usize);
        let next = last.and_then(|r| r.last()).map(|r| r["name"].clone());
        let body = json!({ "balances": rows, "next": next });
        Ok(Reply { status: 200, body })
    }

    /// Returns one item.
    pub(super) async fn get_item(
        &self,
        caller: &Caller,
        params: &[String],
    ) -> Result<Reply, ApiError> {
        let kind = ItemKind::from_path(&params[0])?;
        let name = params[1..].join("/");
        let config = self.read_item_config(caller, kind, &name).await?;
        // An item of another team gets the same error as a missing one.
        let Some(item) = find_item(&config, kind, &name) else {
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
