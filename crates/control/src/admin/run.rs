//! Carries out the calls.

use std::sync::Arc;
use std::time::Duration;

use anvilloft_wire::Control;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::Reply as LedgerReply;
use anvilloft_wire::command::TopUp;
use anvilloft_wire::config::ConfigOp;
use anvilloft_wire::config::Item;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::GroupAction;
use anvilloft_wire::control::GroupRequest;
use anvilloft_wire::control::Query;
use rand::TryRngCore;
use rand::rngs::OsRng;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;
use slog::Logger;
use slog::info;
use tokio::sync::Semaphore;

use super::auth::Caller;
use super::auth::bearer_hash;
use super::auth::hash_secret;
use super::auth::same_hash;
use super::calls::Run;
use super::calls::find;
use super::change;
use super::change::Head;
use super::change::check_empty;
use super::change::take;
use super::change::take_text;
use super::error::ApiError;
use super::items::ItemKind;
use super::items::parse_hash;
use super::items::set;
use super::read::MAX_ROWS;
use super::status;

/// Requests that run at once.
const MAX_REQUESTS: usize = 128;

/// Settings of the API.
#[derive(Clone, Debug)]
pub struct AdminOptions {
    /// Time that a request waits for the group.
    pub timeout: Duration,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// SHA-256 of the first operator key.
    pub operator_hash: Option<[u8; 32]>,
}

/// An answer: status and JSON body.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Value,
}

/// The administration API over a control group.
pub struct Admin {
    control: Arc<dyn Control>,
    pub(super) options: AdminOptions,
    permits: Semaphore,
    log: Logger,
}

impl std::fmt::Debug for Admin {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Admin").finish_non_exhaustive()
    }
}

impl Admin {
    /// Makes the API.
    pub fn new(control: Arc<dyn Control>, options: AdminOptions, log: Logger) -> Self {
        Self {
            control,
            options,
            permits: Semaphore::new(MAX_REQUESTS),
            log,
        }
    }

    /// Carries out one call. `query` is the part of the address after `?` and
    /// `authorization` the header of that name.
    pub async fn handle(
        &self,
        method: &str,
        path: &str,
        query: &str,
        authorization: Option<&str>,
        body: &[u8],
    ) -> Reply {
        match self.run(method, path, query, authorization, body).await {
            Ok(reply) => reply,
            Err(err) => Reply {
                status: err.status(),
                body: err.to_json(),
            },
        }
    }

    async fn run(
        &self,
        method: &str,
        path: &str,
        query: &str,
        authorization: Option<&str>,
        body: &[u8],
    ) -> Result<Reply, ApiError> {
        let _permit = self.permits.try_acquire().map_err(|_| ApiError::Busy)?;
        let caller = self.authenticate(authorization).await?;
        let (spec, values) =
            find(method, path).ok_or_else(|| ApiError::NotFound("such call".to_owned()))?;
        caller.check(spec.access)?;
        let ok = |body| Ok(Reply { status: 200, body });
        let body = match body.is_empty() {
            true => Map::new(),
            false => serde_json::from_slice(body)
                .map_err(|err| ApiError::BadRequest(format!("body: {err}")))?,
        };
        match spec.run {
            Run::Status => ok(self.status(&caller).await?),
            Run::Config => ok(self.sections(&caller, &ItemKind::ALL).await?),
            Run::History => ok(self.rows("history", &caller, query).await?),
            Run::Orders => ok(self.rows("orders", &caller, query).await?),
            Run::Routers => ok(json!({ "routers": self.rows("routers", &caller, query).await? })),
            Run::Endpoints => ok(self.endpoints(query).await?),
            Run::Members => ok(self.group(GroupAction::Status, 0, "").await?),
            Run::AddMember => self.add_member(&caller, body).await,
            Run::PromoteMember => {
                self.change_member(&caller, GroupAction::Promote, &values, body)
                    .await
            }
            Run::RemoveMember => {
                self.change_member(&caller, GroupAction::Remove, &values, body)
                    .await
            }
            Run::ReplaceMember => self.replace_member(&caller, &values, body).await,
            Run::Change => self.change(&caller, body).await,
            Run::Apply => self.apply(&caller, body).await,
            Run::MakeKey => self.make_key(&caller, body).await,
            Run::RotateKey => self.rotate_key(&caller, &values, body).await,
            Run::TopUp => self.top_up(&caller, &values, body).await,
            Run::List => self.list(&caller, &values, query).await,
            Run::Get => self.get(&caller, &values).await,
            Run::Set => self.set(&caller, &values, body).await,
            Run::Delete => self.delete(&caller, &values, body).await,
        }
    }

    async fn authenticate(&self, authorization: Option<&str>) -> Result<Caller, ApiError> {
        let hash = bearer_hash(authorization)?;
        if let Some(first) = &self.options.operator_hash
            && same_hash(first, &hash)
        {
            return Caller::new("bootstrap", "operator", "");
        }
        // Asked from the leader, so a revoked key is refused at once even by
        // a member that is behind.
        let key = self.query("key", &hex::encode(hash), "", 0).await?;
        let text = |field: &str| key[field].as_str().unwrap_or_default();
        if text("name").is_empty() {
            return Err(ApiError::Unauthorized);
        }
        Caller::new(text("name"), text("role"), text("team"))
    }

    pub(super) async fn query(
        &self,
        kind: &str,
        name: &str,
        team: &str,
        limit: u32,
    ) -> Result<Value, ApiError> {
        let query = Query {
            kind: kind.to_owned(),
            name: name.to_owned(),
            team: team.to_owned(),
            limit,
        };
        let reply = self
            .control
            .call(query.into(), self.options.timeout)
            .await?;
        read_json(reply.answer)
    }

    async fn group(
        &self,
        action: GroupAction,
        member: u64,
        address: &str,
    ) -> Result<Value, ApiError> {
        let req = GroupRequest {
            action: action as i32,
            member,
            address: address.to_owned(),
        };
        let reply = self.control.call(req.into(), self.options.timeout).await?;
        match reply.answer {
            Some(Answer::Applied(reply)) => match reply.reply {
                Some(LedgerReply::Ok(_)) => Ok(json!({ "done": true })),
                Some(LedgerReply::Refused(refused)) => Err(refused.into()),
                _ => Err(ApiError::Internal("unexpected reply".to_owned())),
            },
            answer => read_json(answer),
        }
    }

    async fn status(&self, caller: &Caller) -> Result<Value, ApiError> {
        let team = caller.team();
        let ledger = self.query("status", "", team, 0).await?;
        let budgets = self.query("budgets", "", team, MAX_ROWS).await?;
        let small = "small_budget_tokens";
        let small = self.query("item/defaults", small, team, 0).await?;
        let small = small["item"]["value"].as_u64().unwrap_or(0);
        if !team.is_empty() {
            return Ok(status::team_status(&ledger, &budgets, small));
        }
        let group = self.group(GroupAction::Status, 0, "").await?;
        let routers = self.query("routers", "", "", 0).await?;
        Ok(status::status(&ledger, &group, &routers, &budgets, small))
    }

    /// Proposes operations, or shows their diff in a dry run.
    async fn propose(
        &self,
        caller: &Caller,
        head: &Head,
        config: &Value,
        ops: Vec<ConfigOp>,
    ) -> Result<Value, ApiError> {
        let diff = change::diff(config, &ops);
        let body = head.command(&caller.key, ops);
        let reply = self.control.call(body.into(), self.options.timeout).await?;
        let reply = match reply.answer {
            Some(Answer::Applied(reply)) => reply.reply,
            Some(answer) => return Err(answer.into()),
            None => None,
        };
        match reply {
            Some(LedgerReply::Accepted(accepted)) if head.dry_run => {
                Ok(json!({ "dry_run": true, "revision": accepted.revision, "diff": diff }))
            }
            Some(LedgerReply::Accepted(accepted)) => {
                info!(self.log, "configuration changed";
                    "author" => &caller.key, "change_id" => &head.change_id,
                    "revision" => accepted.revision, "reason" => &head.reason);
                Ok(json!({ "revision": accepted.revision }))
            }
            Some(LedgerReply::Conflict(conflict)) => Err(ApiError::Conflict(conflict.current)),
            Some(LedgerReply::Refused(refused)) => Err(refused.into()),
            _ => Err(ApiError::Internal("unexpected reply".to_owned())),
        }
    }

    async fn set(
        &self,
        caller: &Caller,
        values: &[String],
        mut body: Map<String, Value>,
    ) -> Result<Reply, ApiError> {
        let kind = ItemKind::find(&values[0])?;
        let head = Head::take(&mut body)?;
        let item = take(&mut body, "item")?;
        check_empty(&body)?;
        let name = values[1..].join("/");
        let config = self.one(caller, kind, &name).await?;
        let item = change::read_item(&config, kind, Some(&name), item)?;
        let body = self
            .propose(caller, &head, &config, vec![set(item)])
            .await?;
        Ok(Reply { status: 200, body })
    }

    async fn delete(
        &self,
        caller: &Caller,
        values: &[String],
        mut body: Map<String, Value>,
    ) -> Result<Reply, ApiError> {
        let kind = ItemKind::find(&values[0])?;
        let head = Head::take(&mut body)?;
        check_empty(&body)?;
        let name = values[1..].join("/");
        let config = self.one(caller, kind, &name).await?;
        let ops = vec![kind.delete(&name)];
        let body = self.propose(caller, &head, &config, ops).await?;
        Ok(Reply { status: 200, body })
    }

    async fn change(
        &self,
        caller: &Caller,
        mut body: Map<String, Value>,
    ) -> Result<Reply, ApiError> {
        let head = Head::take(&mut body)?;
        let ops = take(&mut body, "ops")?;
        check_empty(&body)?;
        let config = self.sections(caller, &change::kinds_of(&ops)).await?;
        let ops = change::read_ops(&config, &ops)?;
        let body = self.propose(caller, &head, &config, ops).await?;
        Ok(Reply { status: 200, body })
    }

    async fn apply(
        &self,
        caller: &Caller,
        mut body: Map<String, Value>,
    ) -> Result<Reply, ApiError> {
        let file = take(&mut body, "file")?;
        let in_file = |kind: &ItemKind| file.get(kind.path).is_some();
        let kinds: Vec<ItemKind> = ItemKind::ALL.into_iter().filter(in_file).collect();
        let config = self.sections(caller, &kinds).await?;
        // Without a base the file is applied to the revision just read.
        if !body.contains_key("base_revision") {
            body.insert("base_revision".to_owned(), config["revision"].clone());
        }
        let head = Head::take(&mut body)?;
        let prune = body.remove("prune").is_some_and(|prune| prune == true);
        check_empty(&body)?;
        let ops = change::plan(&config, &file, prune)?;
        let operations = ops.len();
        let mut body = match operations {
            // The file is in force already, for example because a resent
            // request was applied the first time.
            0 => json!({ "revision": config["revision"], "diff": [] }),
            _ => self.propose(caller, &head, &config, ops).await?,
        };
        body["operations"] = json!(operations);
        Ok(Reply { status: 200, body })
    }

    async fn make_key(
        &self,
        caller: &Caller,
        mut body: Map<String, Value>,
    ) -> Result<Reply, ApiError> {
        let kind = ItemKind::find("keys")?;
        let head = Head::take(&mut body)?;
        let name = take_text(&mut body, "name")?;
        let (secret, hash) = new_secret(&take_text(&mut body, "sha256")?)?;
        let config = self.one(caller, kind, &name).await?;
        // A resent request finds its own key, so only the change id decides.
        if let Some(old) = change::find(&config, kind, &name)
            && (secret.is_some() || old["sha256"] != hex::encode(&hash))
        {
            return Err(ApiError::Refused(
                "key_exists".to_owned(),
                format!("key {name} exists; rotate it, or choose another name"),
            ));
        }
        body.insert("name".to_owned(), json!(name));
        body.insert("sha256".to_owned(), json!(hex::encode(&hash)));
        let item = change::read_item(&config, kind, None, Value::Object(body))?;
        let reply = self
            .propose(caller, &head, &config, vec![set(item)])
            .await?;
        Ok(with_secret(reply, &head, &name, secret))
    }

    async fn rotate_key(
        &self,
        caller: &Caller,
        values: &[String],
        mut body: Map<String, Value>,
    ) -> Result<Reply, ApiError> {
        let kind = ItemKind::find("keys")?;
        let head = Head::take(&mut body)?;
        let (secret, hash) = new_secret(&take_text(&mut body, "sha256")?)?;
        check_empty(&body)?;
        let name = &values[0];
        let config = self.one(caller, kind, name).await?;
        let Some(old) = change::find(&config, kind, name) else {
            return Err(ApiError::NotFound(format!("key {name}")));
        };
        let mut item = change::read_item(&config, kind, Some(name), old.clone())?;
        if let Item::Key(key) = &mut item {
            key.hash = hash;
        }
        let reply = self
            .propose(caller, &head, &config, vec![set(item)])
            .await?;
        Ok(with_secret(reply, &head, name, secret))
    }

    async fn top_up(
        &self,
        caller: &Caller,
        values: &[String],
        mut body: Map<String, Value>,
    ) -> Result<Reply, ApiError> {
        let id = take_text(&mut body, "id")?;
        change::check_id("id", &id)?;
        let reason = take_text(&mut body, "reason")?;
        change::check_reason(&reason)?;
        let amount = take(&mut body, "amount")?;
        check_empty(&body)?;
        let Some(amount) = amount.as_i64() else {
            return Err(ApiError::BadRequest(
                "amount must be a whole number".to_owned(),
            ));
        };
        let budget = values[0].clone();
        let top_up = TopUp {
            id: id.clone(),
            budget: budget.clone(),
            amount,
            author: caller.key.clone(),
            reason,
        };
        let req = Body::TopUp(top_up).into();
        let reply = self.control.call(req, self.options.timeout).await?;
        match reply.answer {
            Some(Answer::Applied(reply)) => match reply.reply {
                Some(LedgerReply::Ok(_)) => {
                    info!(self.log, "budget topped up";
                        "author" => &caller.key, "id" => &id, "budget" => &budget, "amount" => amount);
                    let body = json!({ "id": id, "budget": budget, "amount": amount });
                    Ok(Reply { status: 200, body })
                }
                Some(LedgerReply::Refused(refused)) => Err(refused.into()),
                _ => Err(ApiError::Internal("unexpected reply".to_owned())),
            },
            Some(answer) => Err(answer.into()),
            None => Err(ApiError::Internal("the reply is empty".to_owned())),
        }
    }

    async fn add_member(
        &self,
        caller: &Caller,
        mut body: Map<String, Value>,
    ) -> Result<Reply, ApiError> {
        let (id, address) = take_member(&mut body)?;
        check_empty(&body)?;
        let reply = self.group(GroupAction::AddLearner, id, &address).await?;
        info!(self.log, "member added"; "author" => &caller.key, "member" => format!("{id:016x}"));
        Ok(Reply {
            status: 200,
            body: reply,
        })
    }

    async fn change_member(
        &self,
        caller: &Caller,
        action: GroupAction,
        values: &[String],
        body: Map<String, Value>,
    ) -> Result<Reply, ApiError> {
        check_empty(&body)?;
        let id = parse_member(&values[0])?;
        let reply = self.group(action, id, "").await?;
        info!(self.log, "member changed";
            "author" => &caller.key, "member" => format!("{id:016x}"), "action" => ?action);
        Ok(Reply {
            status: 200,
            body: reply,
        })
    }

    /// Adds the successor of a member whose disk is lost and removes the
    /// member. The successor comes first, so that it catches up while the old
    /// one is removed; it gets its vote from the leader once it has caught up.
    async fn replace_member(
        &self,
        caller: &Caller,
        values: &[String],
        mut body: Map<String, Value>,
    ) -> Result<Reply, ApiError> {
        let old = parse_member(&values[0])?;
        let (id, address) = take_member(&mut body)?;
        check_empty(&body)?;
        if old == id {
            return Err(ApiError::BadRequest(
                "a host that lost its disk starts with a new id".to_owned(),
            ));
        }
        self.group(GroupAction::AddLearner, id, &address).await?;
        let reply = self.group(GroupAction::Remove, old, "").await?;
        info!(self.log, "member replaced"; "author" => &caller.key,
            "old" => format!("{old:016x}"), "new" => format!("{id:016x}"));
        Ok(Reply {
            status: 200,
            body: reply,
        })
    }
}

fn read_json(answer: Option<Answer>) -> Result<Value, ApiError> {
    match answer {
        Some(Answer::QueryResult(text)) => {
            let value: Value =
                serde_json::from_str(&text).map_err(|err| ApiError::Internal(err.to_string()))?;
            // How the control thread passes on an error of a query, such as an
            // item that was deleted a moment ago.
            match value["error"].as_str() {
                Some(error) => Err(ApiError::Refused("query".to_owned(), error.to_owned())),
                None => Ok(value),
            }
        }
        Some(answer) => Err(answer.into()),
        None => Err(ApiError::Internal("the reply is empty".to_owned())),
    }
}

fn parse_member(text: &str) -> Result<u64, ApiError> {
    match u64::from_str_radix(text, 16) {
        Ok(id) if id != 0 && text.len() == 16 => Ok(id),
        _ => Err(ApiError::BadRequest(
            "a member id has 16 hexadecimal digits".to_owned(),
        )),
    }
}

fn take_member(body: &mut Map<String, Value>) -> Result<(u64, String), ApiError> {
    let id = parse_member(&take_text(body, "id")?)?;
    let address = take_text(body, "address")?;
    if address.parse::<std::net::SocketAddr>().is_err() {
        return Err(ApiError::BadRequest(
            "address must be like 192.0.2.1:7000".to_owned(),
        ));
    }
    Ok((id, address))
}

/// Returns the hash that the client sent, or makes a secret and its hash.
fn new_secret(sha256: &str) -> Result<(Option<String>, Vec<u8>), ApiError> {
    if !sha256.is_empty() {
        return Ok((None, parse_hash(sha256)?));
    }
    let mut bytes = [0; 32];
    OsRng
        .try_fill_bytes(&mut bytes)
        .map_err(|err| ApiError::Internal(err.to_string()))?;
    let secret = format!("avl_{}", hex::encode(bytes));
    let hash = hash_secret(&secret).to_vec();
    Ok((Some(secret), hash))
}

/// Adds the secret to the only answer that shows it.
fn with_secret(mut body: Value, head: &Head, name: &str, secret: Option<String>) -> Reply {
    body["name"] = json!(name);
    if let (Some(secret), false) = (secret, head.dry_run) {
        body["secret"] = json!(secret);
    }
    let status = if head.dry_run { 200 } else { 201 };
    Reply { status, body }
}
