//! Queries of the administration API, answered as JSON text.

use anvilloft_wire::compression::decompress;
use anvilloft_wire::control::Query;
use serde_json::Value;
use serde_json::json;

use crate::accounts::Amounts;
use crate::items::ITEM_KINDS;
use crate::ledger::Ledger;
use crate::ledger::LedgerError;
use crate::orders::Progress;
use crate::routers::Phase;

/// Maximum number of rows of a result if the query names no limit.
const DEFAULT_ROWS: u32 = 100;
/// Maximum number of rows of a result.
const MAX_ROWS: u32 = 10_000;

impl Ledger {
    /// Answers a query. A query for a team sees only that team's data.
    ///
    /// # Errors
    ///
    /// `UnknownQuery`, or `NotFound` when the named item doesn't exist or
    /// belongs to another team.
    pub fn query(&self, q: &Query) -> Result<String, LedgerError> {
        let limit = match q.limit {
            0 => DEFAULT_ROWS,
            n => n.min(MAX_ROWS),
        } as usize;
        if q.kind == "publication" {
            let max_bytes = q.max_source_bytes as usize;
            if max_bytes > 0 && self.route_table.source.len() > max_bytes {
                return Ok(self.route_table.version.to_string());
            }
            // Returned as the operator wrote it, so it is not parsed.
            if self.route_table.version == 0 {
                return Ok(String::new());
            }
            let damaged = |reason: String| LedgerError::Corrupt(reason);
            let source =
                decompress(&self.route_table.source).map_err(|e| damaged(e.to_string()))?;
            return String::from_utf8(source).map_err(|e| damaged(e.to_string()));
        }
        let value = match q.kind.as_str() {
            "balances" => self.query_balances(q, limit),
            "budget" => self.query_budget(q)?,
            "budgets" => self.query_budgets(q, limit),
            "config" => self.query_config(q),
            "history" => self.query_history(q, limit),
            "key" => self.query_key(q),
            "routers" => self.query_routers(q),
            "quarantines" => self.query_quarantines(),
            "evacuations" => self.query_evacuations(limit),
            "orders" => self.query_orders(q, limit),
            "status" => self.query_status(q),
            kind => {
                let found = match kind.split_once('/') {
                    Some(("item", kind)) => self.query_item(kind, q),
                    Some(("items", kind)) => self.query_items(kind, q, limit),
                    _ => None,
                };
                found.ok_or_else(|| LedgerError::UnknownQuery(kind.into()))?
            }
        };
        Ok(value.to_string())
    }

    fn query_budget(&self, q: &Query) -> Result<Value, LedgerError> {
        match (self.config.budget(&q.name), self.accounts.get(&q.name)) {
            (Some(b), Some(a)) if may_see(q, &b.team) => Ok(budget_row(&b.name, &b.team, a)),
            _ => Err(LedgerError::NotFound(format!("budget {}", q.name))),
        }
    }

    fn query_budgets(&self, q: &Query, limit: usize) -> Value {
        self.config
            .budgets_after(&q.name)
            .filter(|b| may_see(q, &b.team))
            .filter_map(|b| Some(budget_row(&b.name, &b.team, self.accounts.get(&b.name)?)))
            .take(limit)
            .collect()
    }

    // The size grows with the number of items; `items/KIND` is for large fleets.
    fn query_config(&self, q: &Query) -> Value {
        let mut config = json!({ "revision": self.config.revision() });
        let all = Query {
            name: String::new(),
            ..q.clone()
        };
        for (kind, _) in ITEM_KINDS {
            if let Some(mut page) = self.query_items(kind, &all, usize::MAX) {
                config[kind] = page["items"].take();
            }
        }
        config
    }

    // Returns `null`, not an error, for an unknown key: the requester then refuses
    // the call that carries the key.
    fn query_key(&self, q: &Query) -> Value {
        let key = parse_sha256(&q.name).and_then(|hash| self.config.key_by_hash(&hash));
        key.map_or(
            Value::Null,
            |k| json!({ "name": k.name, "team": k.team, "role": k.role }),
        )
    }

    // Newest first. A change may concern several teams, so a query for a team
    // returns no changes, only the team's own top-ups.
    fn query_history(&self, q: &Query, limit: usize) -> Value {
        let changes: Value = self
            .changes
            .history
            .iter()
            .rev()
            .filter(|_| q.team.is_empty())
            .take(limit)
            .map(|c| {
                json!({
                    "revision": c.revision,
                    "at_ms": c.at_ms,
                    "author": c.author,
                    "reason": c.reason,
                    "change_id": c.change_id,
                    "operations": c.ops.len(),
                })
            })
            .collect();
        let top_ups: Value = self
            .accounts
            .top_up_queue
            .iter()
            .rev()
            .filter_map(|(_, id)| self.accounts.top_ups.get(id))
            .filter(|r| {
                q.team.is_empty()
                    || self
                        .config
                        .budget(&r.top_up.budget)
                        .is_some_and(|b| b.team == q.team)
            })
            .take(limit)
            .map(|r| {
                json!({
                    "id": r.top_up.id,
                    "at_ms": r.at_ms,
                    "author": r.top_up.author,
                    "reason": r.top_up.reason,
                    "budget": r.top_up.budget,
                    "amount": r.top_up.amount,
                })
            })
            .collect();
        json!({ "changes": changes, "top_ups": top_ups })
    }

    // A query for a team returns no allotments, as they reveal the traffic of other
    // teams.
    fn query_routers(&self, q: &Query) -> Value {
        self.routers
            .all()
            .filter(|i| i.phase != Phase::Closed)
            .map(|i| {
                let mut row = json!({
                    "router": i.registration.router,
                    "incarnation": i.registration.incarnation,
                    "caller_address": i.registration.caller_address,
                    "peer_address": i.registration.peer_address,
                    "data_centre": i.registration.data_centre,
                    "state": match i.registration.state {
                        0 => "alive",
                        1 => "draining",
                        _ => "lost",
                    },
                    "since_ms": i.since_ms,
                });
                if q.team.is_empty() {
                    row["allotted"] = json!(i.total_allotted());
                }
                row
            })
            .collect()
    }

    fn query_orders(&self, q: &Query, limit: usize) -> Value {
        let mut orders: Vec<_> = self
            .orders
            .by_key
            .iter()
            .filter(|((team, key), _)| may_see(q, team) && (q.name.is_empty() || q.name == *key))
            .collect();
        orders.sort_by(|a, b| b.1.at_ms.cmp(&a.1.at_ms).then_with(|| a.0.cmp(b.0)));
        orders
            .into_iter()
            .take(limit)
            .map(|((team, key), o)| {
                json!({
                    "team": team,
                    "key": key,
                    "state": match Progress::try_from(o.progress) {
                        Ok(Progress::Running) => "running",
                        Ok(Progress::Done) => "finished",
                        Ok(Progress::NotRun) => "not_run",
                        Ok(Progress::Unknown) | Err(_) => "unknown",
                    },
                    "status": o.status,
                    "at_ms": o.at_ms,
                })
            })
            .collect()
    }

    fn query_status(&self, q: &Query) -> Value {
        if !q.team.is_empty() {
            return json!({ "revision": self.config.revision() });
        }
        let sum = |f: fn(&Amounts) -> u64| -> u64 {
            self.accounts
                .by_name
                .values()
                .fold(0, |s, a| s.saturating_add(f(&a.amounts)))
        };
        json!({
            "now_ms": self.now_ms,
            "revision": self.config.revision(),
            "directory_version": self.directory_version(),
            "teams": self.config.teams().len(),
            "budgets": self.accounts.by_name.len(),
            "routers": self.open_incarnations().len(),
            "lost_routers": self.lost_incarnations().len(),
            "orders": self.orders.by_key.len(),
            "suspects": self.suspects.by_fingerprint.len(),
            "request_keys": self.accounts.request_keys.len(),
            "request_keys_evicted": self.accounts.request_keys_evicted,
            "topped_up": sum(|a| a.topped_up),
            "unspent": sum(|a| a.unspent),
            "allotted": sum(|a| a.allotted),
            "settled": sum(|a| a.settled),
            "written_off": sum(|a| a.written_off).saturating_add(self.accounts.written_off_unknown),
            "reported_excess": self.accounts.reported_excess,
        })
    }
}

fn may_see(q: &Query, team: &str) -> bool {
    q.team.is_empty() || q.team == team
}

fn parse_sha256(text: &str) -> Option<[u8; 32]> {
    let mut hash = [0; 32];
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    for (i, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(text.get(2 * i..2 * i + 2)?, 16).ok()?;
    }
    Some(hash)
}

fn budget_row(name: &str, team: &str, a: &Amounts) -> Value {
    json!({
        "name": name,
        "team": team,
        "topped_up": a.topped_up,
        "unspent": a.unspent,
        "allotted": a.allotted,
        "settled": a.settled,
        "written_off": a.written_off,
    })
}
