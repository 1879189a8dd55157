//! Carries out the API's calls.

use std::sync::Arc;
use std::time::Duration;

use anvilloft_wire::Control;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::ReleaseQuarantine;
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
use super::auth::hashes_equal;
use super::calls::Operation;
use super::calls::match_call;
use super::change;
use super::change::ChangeMetadata;
use super::change::reject_unknown_fields;
use super::change::take_field;
use super::change::take_text;
use super::error::ApiError;
use super::items::ItemKind;
use super::items::parse_hash;
use super::items::set_op;
use super::read::MAX_ROWS;
use super::status;

/// Maximum number of requests in flight.
const MAX_REQUESTS: usize = 128;

/// Options of the administration API.
#[derive(Clone, Debug)]
pub struct AdminOptions {
    /// Maximum time that a request waits for the control group.
    pub timeout: Duration,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// SHA-256 of the first operator key, which is not part of the configuration.
    pub operator_hash: Option<[u8; 32]>,
}

/// Response to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: Value,
}

/// Administration API of a control group.
pub struct Admin {
    pub(super) control: Arc<dyn Control>,
    pub(super) options: AdminOptions,
    permits: Semaphore,
    pub(super) log: Logger,
}

impl std::fmt::Debug for Admin {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Admin").finish_non_exhaustive()
    }
}

impl Admin {
    /// Creates the API.
    pub fn new(control: Arc<dyn Control>, options: AdminOptions, log: Logger) -> Self {
        Self {
            control,
            options,
            permits: Semaphore::new(MAX_REQUESTS),
            log,
        }
    }

    /// Carries out one call. `query` is the part of the URL after `?`, and
    /// `authorization` is the value of that header.
    pub async fn handle(
        &self,
        method: &str,
        path: &str,
        query: &str,
        authorization: Option<&str>,
        body: &[u8],
    ) -> Reply {
        match self
            .dispatch(method, path, query, authorization, body)
            .await
        {
            Ok(reply) => reply,
            Err(err) => Reply {
                status: err.status(),
                body: err.to_json(),
            },
        }
    }

    async fn dispatch(
        &self,
        method: &str,
        path: &str,
        query: &str,
        authorization: Option<&str>,
        body: &[u8],
    ) -> Result<Reply, ApiError> {
        let _permit = self.permits.try_acquire().map_err(|_| ApiError::Busy)?;
        let caller = self.authenticate(authorization).await?;
        let (spec, params) =
            match_call(method, path).ok_or_else(|| ApiError::NotFound("such call".to_owned()))?;
        caller.check_access(spec.access)?;
        let ok_reply = |body| Ok(Reply { status: 200, body });
        let body = match body.is_empty() {
            true => Map::new(),
            false => serde_json::from_slice(body)
                .map_err(|err| ApiError::BadRequest(format!("body: {err}")))?,
        };
        match spec.operation {
            Operation::Status => ok_reply(self.fleet_status(&caller).await?),
            Operation::Config => ok_reply(self.read_config(&caller, &ItemKind::ALL).await?),
            Operation::History => ok_reply(self.read_rows("history", &caller, query).await?),
            Operation::Orders => ok_reply(self.read_rows("orders", &caller, query).await?),
            Operation::Routers => {
                ok_reply(json!({ "routers": self.read_rows("routers", &caller, query).await? }))
            }
            Operation::Endpoints => ok_reply(self.list_endpoints(query).await?),
            Operation::Members => ok_reply(self.call_group(GroupAction::Status, 0, "").await?),
            Operation::AddMember => self.add_member(&caller, body).await,
            Operation::PromoteMember => {
                self.change_member(&caller, GroupAction::Promote, &params, body)
                    .await
            }
            Operation::RemoveMember => {
                self.change_member(&caller, GroupAction::Remove, &params, body)
                    .await
            }
            Operation::ReplaceMember => self.replace_member(&caller, &params, body).await,
            Operation::ChangeItems => self.change_items(&caller, body).await,
            Operation::ApplyFile => self.apply_file(&caller, body).await,
            Operation::CreateKey => self.create_key(&caller, body).await,
            Operation::RotateKey => self.rotate_key(&caller, &params, body).await,
            Operation::TopUp => self.top_up(&caller, &params, body).await,
            Operation::Balances => self.list_balances(query).await,
            Operation::Quarantines => {
                ok_reply(json!({ "quarantines": self.query("quarantines", "", "", 0).await? }))
            }
            Operation::ReleaseQuarantine => self.release_quarantine(&caller, &params, body).await,
            Operation::Evacuations => ok_reply(self.query("evacuations", "", "", 0).await?),
            Operation::StartEvacuation => self.evacuate(&caller, &params, body, true).await,
            Operation::EndEvacuation => self.evacuate(&caller, &params, body, false).await,
            Operation::ListItems => self.list_items(&caller, &params, query).await,
            Operation::GetItem => self.get_item(&caller, &params).await,
            Operation::SetItem => self.set_item(&caller, &params, body).await,
            Operation::DeleteItem => self.delete_item(&caller, &params, body).await,
        }
    }

    /// Finds the caller that the key of a request belongs to.
    async fn authenticate(&self, authorization: Option<&str>) -> Result<Caller, ApiError> {
        let hash = bearer_hash(authorization)?;
        if let Some(operator_hash) = &self.options.operator_hash
            && hashes_equal(operator_hash, &hash)
        {
            return Caller::new("bootstrap", "operator", "");
        }
        // The leader answers the query, so even a member that lags behind
        // refuses a revoked key at once.
        let key = self.query("key", &hex::encode(hash), "", 0).await?;
        let text = |field: &str| key[field].as_str().unwrap_or_default();
        if text("name").is_empty() {
            return Err(ApiError::Unauthorized);
        }
        Caller::new(text("name"), text("role"), text("team"))
    }

    /// Queries the ledger.
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
            ..Query::default()
        };
        let reply = self
            .control
            .call(query.into(), self.options.timeout)
            .await?;
        parse_query_result(reply.answer)
    }

    /// Sends a membership request to the control group.
    async fn call_group(
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
                _ => Err(ApiError::Internal(
                    "unexpected reply from the control group".to_owned(),
                )),
            },
            answer => parse_query_result(answer),
        }
    }

    async fn fleet_status(&self, caller: &Caller) -> Result<Value, ApiError> {
        let team = caller.team();
        let ledger = self.query("status", "", team, 0).await?;
        let budgets = self.query("budgets", "", team, MAX_ROWS).await?;
        let name = "small_budget_tokens";
        let item = self.query("item/defaults", name, team, 0).await?;
        let low_budget_tokens = item["item"]["value"].as_u64().unwrap_or(0);
        if !team.is_empty() {
            return Ok(status::team_status(&ledger, &budgets, low_budget_tokens));
        }
        let group = self.call_group(GroupAction::Status, 0, "").await?;
        let routers = self.query("routers", "", "", 0).await?;
        Ok(status::fleet_status(
            &ledger,
            &group,
            &routers,
            &budgets,
            low_budget_tokens,
        ))
    }

    /// Proposes operations. A dry run only validates them and returns their
    /// diff.
    async fn propose(
        &self,
        caller: &Caller,
        metadata: &ChangeMetadata,
        config: &Value,
        ops: Vec<ConfigOp>,
    ) -> Result<Value, ApiError> {
        let diff = change::diff(config, &ops);
        let body = metadata.to_command(&caller.key, ops);
        let reply = self.control.call(body.into(), self.options.timeout).await?;
        let reply = match reply.answer {
            Some(Answer::Applied(reply)) => reply.reply,
            Some(answer) => return Err(answer.into()),
            None => None,
        };
        match reply {
            Some(LedgerReply::Accepted(accepted)) if metadata.dry_run => {
                Ok(json!({ "dry_run": true, "revision": accepted.revision, "diff": diff }))
            }
            Some(LedgerReply::Accepted(accepted)) => {
                info!(self.log, "configuration changed";
                    "author" => &caller.key, "change_id" => &metadata.change_id,
                    "revision" => accepted.revision, "reason" => &metadata.reason);
                Ok(json!({ "revision": accepted.revision }))
            }
            Some(LedgerReply::Conflict(conflict)) => Err(ApiError::Conflict(conflict.current)),
            Some(LedgerReply::Refused(refused)) => Err(refused.into()),
            _ => Err(ApiError::Internal(
                "unexpected reply from the control group".to_owned(),
            )),
        }
    }

    async fn set_item(
        &self,
        caller: &Caller,
        params: &[String],
        mut body: Map<String, Value>,
    ) -> Result<Reply, ApiError> {
        let kind = ItemKind::from_path(&params[0])?;
        let metadata = ChangeMetadata::take_from(&mut body)?;
        let item = take_field(&mut body, "item")?;
        reject_unknown_fields(&body)?;
        let name = params[1..].join("/");
        let config = self.read_item_config(caller, kind, &name).await?;
        let item = change::parse_item(&config, kind, Some(&name), item)?;
        let body = self
            .propose(caller, &metadata, &config, vec![set_op(item)])
            .await?;
        Ok(Reply { status: 200, body })
    }

    async fn delete_item(
        &self,
        caller: &Caller,
        params: &[String],
        mut body: Map<String, Value>,
    ) -> Result<Reply, ApiError> {
        let kind = ItemKind::from_path(&params[0])?;
        let metadata = ChangeMetadata::take_from(&mut body)?;
        reject_unknown_fields(&body)?;
        let name = params[1..].join("/");
        let config = self.read_item_config(caller, kind, &name).await?;
        let ops = vec![kind.delete_op(&name)];
        let body = self.propose(caller, &metadata, &config, ops).await?;
        Ok(Reply { status: 200, body })
    }

    /// Applies the operations of a request as one change.
    async fn change_items(
        &self,
        caller: &Caller,
        mut body: Map<String, Value>,
    ) -> Result<Reply, ApiError> {
        let metadata = ChangeMetadata::take_from(&mut body)?;
        let ops = take_field(&mut body, "ops")?;
        reject_unknown_fields(&body)?;
        let config = self
            .read_config(caller, &change::kinds_in_ops(&ops))
            .await?;
        let ops = change::parse_ops(&config, &ops)?;
        let body = self.propose(caller, &metadata, &config, ops).await?;
        Ok(Reply { status: 200, body })
    }

    /// Makes the configuration equal to a file.
    async fn apply_file(
        &self,
        caller: &Caller,
        mut body: Map<String, Value>,
    ) -> Result<Reply, ApiError> {
        let file = take_field(&mut body, "file")?;
        let has_section = |kind: &ItemKind| file.get(kind.path).is_some();
        let kinds: Vec<ItemKind> = ItemKind::ALL.into_iter().filter(has_section).collect();
        let config = self.read_config(caller, &kinds).await?;
        // Without a base revision the file is applied to the revision just
        // read.
        if !body.contains_key("base_revision") {
            body.insert("base_revision".to_owned(), config["revision"].clone());
        }
        let metadata = ChangeMetadata::take_from(&mut body)?;
        let prune = body.remove("prune").is_some_and(|prune| prune == true);
        reject_unknown_fields(&body)?;
        let ops = change::ops_to_match_file(&config, &file, prune)?;
        let op_count = ops.len();
        let mut body = match op_count {
            // The configuration equals the file already, for example because
            // the first copy of a resent request was applied.
            0 => json!({ "revision": config["revision"], "diff": [] }),
            _ => self.propose(caller, &metadata, &config, ops).await?,
        };
        body["operations"] = json!(op_count);
        Ok(Reply { status: 200, body })
    }

    async fn create_key(
        &self,
        caller: &Caller,
        mut body: Map<String, Value>,
    ) -> Result<Reply, ApiError> {
        let kind = ItemKind::from_path("keys")?;
        let metadata = ChangeMetadata::take_from(&mut body)?;
        let name = take_text(&mut body, "name")?;
        let (secret, hash) = new_secret(&take_text(&mut body, "sha256")?)?;
        let config = self.read_item_config(caller, kind, &name).await?;
        // A resent request finds the key that its first copy created. If the
        // client sent the hash, both have the same content, so the change is
        // proposed again and the ledger recognises its id.
        if let Some(old) = change::find_item(&config, kind, &name)
            && (secret.is_some() || old["sha256"] != hex::encode(&hash))
        {
            return Err(ApiError::Refused(
                "key_exists".to_owned(),
                format!("key {name} exists; rotate it, or choose another name"),
            ));
        }
        body.insert("name".to_owned(), json!(name));
        body.insert("sha256".to_owned(), json!(hex::encode(&hash)));
        let item = change::parse_item(&config, kind, None, Value::Object(body))?;
        let reply = self
            .propose(caller, &metadata, &config, vec![set_op(item)])
            .await?;
        Ok(with_secret(reply, &metadata, &name, secret))
    }

    async fn rotate_key(
        &self,
        caller: &Caller,
        params: &[String],
        mut body: Map<String, Value>,
    ) -> Result<Reply, ApiError> {
        let kind = ItemKind::from_path("keys")?;
        let metadata = ChangeMetadata::take_from(&mut body)?;
        let (secret, hash) = new_secret(&take_text(&mut body, "sha256")?)?;
        reject_unknown_fields(&body)?;
        let name = &params[0];
        let config = self.read_item_config(caller, kind, name).await?;
        let Some(old) = change::find_item(&config, kind, name) else {
            return Err(ApiError::NotFound(format!("key {name}")));
        };
        let mut item = change::parse_item(&config, kind, Some(name), old.clone())?;
        if let Item::Key(key) = &mut item {
            key.hash = hash;
        }
        let reply = self
            .propose(caller, &metadata, &config, vec![set_op(item)])
            .await?;
        Ok(with_secret(reply, &metadata, name, secret))
    }

    async fn top_up(
        &self,
        caller: &Caller,
        params: &[String],
        mut body: Map<String, Value>,
    ) -> Result<Reply, ApiError> {
        let id = take_text(&mut body, "id")?;
        change::check_id("id", &id)?;
        let reason = take_text(&mut body, "reason")?;
        change::check_reason(&reason)?;
        let amount = take_field(&mut body, "amount")?;
        reject_unknown_fields(&body)?;
        let Some(amount) = amount.as_i64() else {
            return Err(ApiError::BadRequest("amount must be an integer".to_owned()));
        };
        let budget = params[0].clone();
        let top_up = TopUp {
            id: id.clone(),
            budget: budget.clone(),
            amount,
            author: caller.key.clone(),
            reason,
        };
        self.apply(Body::TopUp(top_up)).await?;
        info!(self.log, "budget topped up";
            "author" => &caller.key, "id" => &id, "budget" => &budget, "amount" => amount);
        let body = json!({ "id": id, "budget": budget, "amount": amount });
        Ok(Reply { status: 200, body })
    }

    /// Waits until a command whose reply has no content is applied.
    async fn apply(&self, command: Body) -> Result<(), ApiError> {
        let reply = self.control.call(command.into(), self.options.timeout);
        match reply.await?.answer {
            Some(Answer::Applied(reply)) => match reply.reply {
                Some(LedgerReply::Ok(_)) => Ok(()),
                Some(LedgerReply::Refused(refused)) => Err(refused.into()),
                _ => Err(ApiError::Internal(
                    "unexpected reply from the control group".to_owned(),
                )),
            },
            Some(answer) => Err(answer.into()),
            None => Err(ApiError::Internal(
                "empty reply from the control group".to_owned(),
            )),
        }
    }

    async fn release_quarantine(
        &self,
        caller: &Caller,
        params: &[String],
        body: Map<String, Value>,
    ) -> Result<Reply, ApiError> {
        let (change_id, reason) = change::take_id_and_reason(body)?;
        let fingerprint = &params[0];
        let Ok(bytes) = hex::decode(fingerprint) else {
            return Err(ApiError::BadRequest(
                "a fingerprint must have 32 hexadecimal digits".to_owned(),
            ));
        };
        let release = ReleaseQuarantine {
            change_id: change_id.clone(),
            author: caller.key.clone(),
            reason: reason.clone(),
            fingerprint: bytes,
        };
        self.apply(Body::ReleaseQuarantine(release)).await?;
        info!(self.log, "quarantine released";
            "author" => &caller.key, "change_id" => &change_id,
            "fingerprint" => fingerprint, "reason" => &reason);
        let body = json!({ "fingerprint": fingerprint, "released": true });
        Ok(Reply { status: 200, body })
    }

    async fn add_member(
        &self,
        caller: &Caller,
        mut body: Map<String, Value>,
    ) -> Result<Reply, ApiError> {
        let (id, address) = take_member(&mut body)?;
        reject_unknown_fields(&body)?;
        let reply = self
            .call_group(GroupAction::AddLearner, id, &address)
            .await?;
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
        params: &[String],
        body: Map<String, Value>,
    ) -> Result<Reply, ApiError> {
        reject_unknown_fields(&body)?;
        let id = parse_member_id(&params[0])?;
        let reply = self.call_group(action, id, "").await?;
        info!(self.log, "member changed";
            "author" => &caller.key, "member" => format!("{id:016x}"), "action" => ?action);
        Ok(Reply {
            status: 200,
            body: reply,
        })
    }

    /// Replaces a member whose disk is lost. The new member is added as a
    /// learner first, so that it catches up while the old one is removed; the
    /// leader promotes it once it has caught up.
    async fn replace_member(
        &self,
        caller: &Caller,
        params: &[String],
        mut body: Map<String, Value>,
    ) -> Result<Reply, ApiError> {
        let old = parse_member_id(&params[0])?;
        let (id, address) = take_member(&mut body)?;
        reject_unknown_fields(&body)?;
        if old == id {
            return Err(ApiError::BadRequest(
                "the new member has the id of the old one; a host that lost its disk starts with a new id".to_owned(),
            ));
        }
        self.call_group(GroupAction::AddLearner, id, &address)
            .await?;
        let reply = self.call_group(GroupAction::Remove, old, "").await?;
        info!(self.log, "member replaced"; "author" => &caller.key,
            "old" => format!("{old:016x}"), "new" => format!("{id:016x}"));
        Ok(Reply {
            status: 200,
            body: reply,
        })
    }
}

/// Parses the result of a query.
fn parse_query_result(answer: Option<Answer>) -> Result<Value, ApiError> {
    match answer {
        Some(Answer::QueryResult(text)) => {
            let value: Value =
                serde_json::from_str(&text).map_err(|err| ApiError::Internal(err.to_string()))?;
            // The control thread returns the error of a query in this field, for
            // example when an item was deleted a moment ago.
            match value["error"].as_str() {
                Some(error) => Err(ApiError::Refused("query".to_owned(), error.to_owned())),
                None => Ok(value),
            }
        }
        Some(answer) => Err(answer.into()),
        None => Err(ApiError::Internal(
            "empty reply from the control group".to_owned(),
        )),
    }
}

fn parse_member_id(text: &str) -> Result<u64, ApiError> {
    match u64::from_str_radix(text, 16) {
        Ok(id) if id != 0 && text.len() == 16 => Ok(id),
        _ => Err(ApiError::BadRequest(
            "a member id must have 16 hexadecimal digits".to_owned(),
        )),
    }
}

/// Removes the id and the address of a member from a body.
fn take_member(body: &mut Map<String, Value>) -> Result<(u64, String), ApiError> {
    let id = parse_member_id(&take_text(body, "id")?)?;
    let address = take_text(body, "address")?;
    if address.parse::<std::net::SocketAddr>().is_err() {
        return Err(ApiError::BadRequest(
            "address must have the form 192.0.2.1:7000".to_owned(),
        ));
    }
    Ok((id, address))
}

/// Returns the hash that the client sent, or generates a secret and its hash.
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

/// Adds the secret to the response. No other response contains it.
fn with_secret(
    mut body: Value,
    metadata: &ChangeMetadata,
    name: &str,
    secret: Option<String>,
) -> Reply {
    body["name"] = json!(name);
    if let (Some(secret), false) = (secret, metadata.dry_run) {
        body["secret"] = json!(secret);
    }
    let status = if metadata.dry_run { 200 } else { 201 };
    Reply { status, body }
}
