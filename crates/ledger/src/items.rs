//! Configuration items as JSON. Lists are paginated, so that the size of a reply
//! doesn't depend on the number of items.

use anvilloft_wire::config::Item;
use anvilloft_wire::config::Kind;
use anvilloft_wire::control::Query;
use serde_json::Value;
use serde_json::json;

use crate::defaults::DEFAULTS;
use crate::ledger::Ledger;

/// Item kinds, with the names that queries and files use.
pub(crate) const ITEM_KINDS: [(&str, Kind); 8] = [
    ("teams", Kind::Team),
    ("keys", Kind::Key),
    ("budgets", Kind::Budget),
    ("ranks", Kind::Rank),
    ("models", Kind::Model),
    ("services", Kind::Service),
    ("defaults", Kind::Default),
    ("exceptions", Kind::Exception),
];

/// Returns an item as JSON.
pub fn item_json(item: &Item) -> Value {
    match item {
        Item::Team(i) => json!({
            "name": i.name,
            "default_rank": i.default_rank,
            "weight": i.weight,
            "disabled": i.disabled,
        }),
        Item::Key(i) => json!({
            "name": i.name,
            "team": i.team,
            "budget": i.budget,
            "role": i.role,
            "sha256": hex(&i.hash),
        }),
        Item::Budget(i) => json!({ "name": i.name, "team": i.team }),
        Item::Rank(i) => json!({
            "name": i.name,
            "level": i.level,
            "weight": i.weight,
            "floor_percent": i.floor_percent,
            "queue_ms": i.queue_ms,
        }),
        Item::Model(i) => json!({
            "name": i.name,
            "version": i.version,
            "default_max_tokens": i.default_max_tokens,
            "max_tokens": i.max_tokens,
        }),
        Item::Service(i) => json!({
            "name": i.name,
            "idempotent": i.idempotent,
            "price": i.price,
        }),
        Item::Default(i) => json!({ "name": i.name, "value": i.value }),
        Item::Exception(i) => json!({
            "team": i.team,
            "name": i.name,
            "value": i.value,
            "reason": i.reason,
        }),
    }
}

/// Returns the team that an item belongs to, if it belongs to one.
fn owning_team(item: &Item) -> Option<&str> {
    match item {
        Item::Team(i) => Some(&i.name),
        Item::Key(i) => Some(&i.team),
        Item::Budget(i) => Some(&i.team),
        Item::Exception(i) => Some(&i.team),
        Item::Rank(_) | Item::Model(_) | Item::Service(_) | Item::Default(_) => None,
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

impl Ledger {
    /// Answers `items/KIND`: the items whose names are greater than `q.name`,
    /// sorted by name.
    pub(crate) fn query_items(&self, kind: &str, q: &Query, limit: usize) -> Option<Value> {
        let items: Vec<Value> = self
            .item_rows(kind, &q.name, &q.team)?
            .take(limit)
            .collect();
        Some(json!({ "revision": self.config().revision(), "items": items }))
    }

    /// Answers `item/KIND`: the named item, or `null` if it doesn't exist or belongs
    /// to another team.
    pub(crate) fn query_item(&self, kind: &str, q: &Query) -> Option<Value> {
        let kind = ITEM_KINDS.iter().find(|(name, _)| *name == kind)?.1;
        let item = match kind {
            Kind::Default => self
                .default_rows("", &q.team)
                .find(|d| d["name"] == *q.name),
            _ => self
                .config()
                .item(kind, &q.name)
                .filter(|item| is_visible_to(item, &q.team))
                .map(|item| item_json(&item)),
        };
        Some(json!({ "revision": self.config().revision(), "item": item }))
    }

    fn item_rows(
        &self,
        kind: &str,
        after: &str,
        team: &str,
    ) -> Option<Box<dyn Iterator<Item = Value> + '_>> {
        let kind = ITEM_KINDS.iter().find(|(name, _)| *name == kind)?.1;
        let team = team.to_owned();
        Some(match kind {
            Kind::Default => Box::new(self.default_rows(after, &team)),
            _ => Box::new(
                self.config()
                    .items_after(kind, after)
                    .filter(move |item| is_visible_to(item, &team))
                    .map(|item| item_json(&item)),
            ),
        })
    }

    fn default_rows(&self, after: &str, team: &str) -> impl Iterator<Item = Value> + use<'_> {
        let (after, team) = (after.to_owned(), team.to_owned());
        DEFAULTS
            .iter()
            .filter(move |d| d.name > after.as_str())
            .map(move |d| {
                json!({
                    "name": d.name,
                    "value": self.config().value(d.name, &team),
                    "built_in": d.value,
                })
            })
    }
}

/// Returns whether a query for a team may see an item. An empty team sees all.
fn is_visible_to(item: &Item, team: &str) -> bool {
    team.is_empty() || owning_team(item).is_none_or(|owner| owner == team)
}
