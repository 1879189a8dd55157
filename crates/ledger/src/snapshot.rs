//! Encoding of the whole state as a snapshot, with a format version and a
//! checksum.

use std::collections::HashMap;
use std::sync::Arc;

use anvilloft_types::Tokens;
use anvilloft_wire::command::OpenIncarnation;
use anvilloft_wire::config::ConfigUpdate;
use anvilloft_wire::control::Publication;
use prost::Message;
use sha2::Digest;
use sha2::Sha256;

use crate::accounts::Account;
use crate::accounts::Amounts;
use crate::accounts::TopUpRecord;
use crate::changes::ChangeRecord;
use crate::changes::ChangeReply;
use crate::config::Config;
use crate::crashes::Crash;
use crate::crashes::Quarantine;
use crate::evacuations::Evacuation;
use crate::ledger::Ledger;
use crate::ledger::LedgerError;
use crate::orders::Order;
use crate::publication::RouteTable;
use crate::reserves::Reserve;
use crate::routers::Allotment;
use crate::routers::Phase;
use crate::routers::RouterIncarnation;
use crate::suspects::Suspect;

/// Format version that this build writes, and the only one that it reads.
const FORMAT_VERSION: u32 = 1;

#[derive(Clone, PartialEq, prost::Message)]
struct Envelope {
    #[prost(uint32, tag = "1")]
    format: u32,
    /// SHA-256 of the content.
    #[prost(bytes = "vec", tag = "2")]
    checksum: Vec<u8>,
    #[prost(bytes = "vec", tag = "3")]
    content: Vec<u8>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Content {
    #[prost(uint64, tag = "1")]
    now_ms: u64,
    #[prost(message, optional, tag = "2")]
    config: Option<ConfigUpdate>,
    #[prost(message, repeated, tag = "3")]
    history: Vec<ChangeRecord>,
    #[prost(message, repeated, tag = "4")]
    change_replies: Vec<ChangeReply>,
    #[prost(message, repeated, tag = "5")]
    budgets: Vec<BudgetState>,
    #[prost(message, repeated, tag = "6")]
    top_ups: Vec<TopUpRecord>,
    #[prost(message, repeated, tag = "7")]
    request_keys: Vec<RequestKeyState>,
    #[prost(uint64, tag = "8")]
    request_keys_evicted: u64,
    #[prost(uint64, tag = "9")]
    written_off_unknown: u64,
    #[prost(uint64, tag = "10")]
    reported_excess: u64,
    #[prost(message, repeated, tag = "11")]
    incarnations: Vec<IncarnationState>,
    #[prost(uint64, tag = "12")]
    directory_version: u64,
    #[prost(uint64, tag = "13")]
    grants_scanned_ms: u64,
    #[prost(message, repeated, tag = "14")]
    orders: Vec<Order>,
    #[prost(message, repeated, tag = "15")]
    ended_orders: Vec<EndedOrder>,
    #[prost(message, repeated, tag = "16")]
    suspects: Vec<Suspect>,
    #[prost(message, repeated, tag = "17")]
    reply_queue: Vec<QueuedReply>,
    #[prost(message, optional, tag = "18")]
    route_table: Option<Publication>,
    #[prost(message, repeated, tag = "19")]
    crashes: Vec<Crash>,
    #[prost(message, repeated, tag = "20")]
    quarantines: Vec<Quarantine>,
    #[prost(uint64, tag = "21")]
    quarantine_version: u64,
    #[prost(message, optional, tag = "22")]
    evacuation: Option<Evacuation>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct BudgetState {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "2")]
    topped_up: u64,
    #[prost(uint64, tag = "3")]
    unspent: u64,
    #[prost(uint64, tag = "4")]
    allotted: u64,
    #[prost(uint64, tag = "5")]
    settled: u64,
    #[prost(uint64, tag = "6")]
    written_off: u64,
    #[prost(uint64, optional, tag = "7")]
    published_total: Option<u64>,
    #[prost(uint64, tag = "8")]
    forfeited: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct RequestKeyState {
    #[prost(uint64, tag = "1")]
    at_ms: u64,
    #[prost(bytes = "vec", tag = "2")]
    key: Vec<u8>,
    /// Tokens billed under the key; `None` in snapshots of older versions.
    #[prost(uint64, optional, tag = "3")]
    tokens: Option<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct QueuedReply {
    #[prost(uint64, tag = "1")]
    at_ms: u64,
    #[prost(string, tag = "2")]
    change_id: String,
}

#[derive(Clone, PartialEq, prost::Message)]
struct EndedOrder {
    #[prost(uint64, tag = "1")]
    at_ms: u64,
    #[prost(string, tag = "2")]
    team: String,
    #[prost(string, tag = "3")]
    key: String,
}

#[derive(Clone, PartialEq, prost::Message)]
struct IncarnationState {
    #[prost(message, required, tag = "1")]
    registration: OpenIncarnation,
    /// Phase: 0 is open, 1 is lost, 2 is closed.
    #[prost(uint32, tag = "2")]
    phase: u32,
    #[prost(bool, tag = "3")]
    superseded: bool,
    #[prost(uint64, tag = "4")]
    since_ms: u64,
    #[prost(uint64, tag = "5")]
    last_report_seq: u64,
    #[prost(uint64, tag = "6")]
    stale_grant_seq: u64,
    #[prost(message, repeated, tag = "7")]
    allotments: Vec<AllotmentState>,
    #[prost(message, optional, tag = "8")]
    reserve: Option<Reserve>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct AllotmentState {
    #[prost(string, tag = "1")]
    budget: String,
    #[prost(uint64, tag = "2")]
    amount: u64,
    #[prost(uint64, tag = "3")]
    grant_seq: u64,
    #[prost(uint64, tag = "4")]
    granted_at_ms: u64,
    #[prost(uint64, tag = "5")]
    granted: u64,
    #[prost(uint64, tag = "6")]
    budget_unspent: u64,
    #[prost(uint64, tag = "7")]
    budget_allotted: u64,
}

fn corrupt(reason: impl std::fmt::Display) -> LedgerError {
    LedgerError::Corrupt(reason.to_string())
}

impl Ledger {
    /// Encodes the whole state as a snapshot. Equal states have equal encodings.
    pub fn encode(&self) -> Vec<u8> {
        let content = self.to_content().encode_to_vec();
        Envelope {
            format: FORMAT_VERSION,
            checksum: Sha256::digest(&content).to_vec(),
            content,
        }
        .encode_to_vec()
    }

    /// Decodes a snapshot that [`Self::encode`] wrote.
    ///
    /// # Errors
    ///
    /// `UnsupportedFormat` if the snapshot has another format version, `Corrupt` if
    /// it is damaged.
    pub fn decode(buf: &[u8]) -> Result<Self, LedgerError> {
        let envelope = Envelope::decode(buf).map_err(corrupt)?;
        if envelope.format != FORMAT_VERSION {
            return Err(LedgerError::UnsupportedFormat(envelope.format));
        }
        if Sha256::digest(&envelope.content).as_slice() != envelope.checksum {
            return Err(corrupt("checksum mismatch"));
        }
        let content = Content::decode(envelope.content.as_slice()).map_err(corrupt)?;
        Self::from_content(content)
    }

    fn to_content(&self) -> Content {
        let mut change_replies: Vec<_> = self.changes.replies.values().cloned().collect();
        change_replies.sort_unstable_by(|a, b| a.change_id.cmp(&b.change_id));
        let mut budgets: Vec<_> = self
            .accounts
            .by_name
            .iter()
            .map(|(name, account)| BudgetState {
                name: name.to_string(),
                topped_up: account.amounts.topped_up,
                unspent: account.amounts.unspent,
                allotted: account.amounts.allotted,
                settled: account.amounts.settled,
                written_off: account.amounts.written_off,
                published_total: account.published_total,
                forfeited: account.amounts.forfeited,
            })
            .collect();
        budgets.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        let mut orders: Vec<_> = self.orders.by_key.values().cloned().collect();
        orders.sort_unstable_by(|a, b| {
            (&a.begin.team, &a.begin.key).cmp(&(&b.begin.team, &b.begin.key))
        });
        Content {
            now_ms: self.now_ms,
            config: Some(self.config.to_update()),
            history: self.changes.history.iter().cloned().collect(),
            change_replies,
            reply_queue: self
                .changes
                .reply_queue
                .iter()
                .map(|(at_ms, id)| QueuedReply {
                    at_ms: *at_ms,
                    change_id: id.clone(),
                })
                .collect(),
            budgets,
            top_ups: self
                .accounts
                .top_up_queue
                .iter()
                .filter_map(|(_, id)| self.accounts.top_ups.get(id).cloned())
                .collect(),
            request_keys: self
                .accounts
                .request_key_queue
                .iter()
                .map(|(at_ms, key)| RequestKeyState {
                    at_ms: *at_ms,
                    key: key.to_vec(),
                    tokens: self.accounts.request_keys.get(key).copied(),
                })
                .collect(),
            request_keys_evicted: self.accounts.request_keys_evicted,
            written_off_unknown: self.accounts.written_off_unknown,
            reported_excess: self.accounts.reported_excess,
            incarnations: self.routers.all().map(incarnation_state).collect(),
            directory_version: self.routers.directory_version,
            grants_scanned_ms: self.routers.grants_scanned_ms,
            orders,
            ended_orders: self
                .orders
                .ended_queue
                .iter()
                .map(|(at_ms, (team, key))| EndedOrder {
                    at_ms: *at_ms,
                    team: team.clone(),
                    key: key.clone(),
                })
                .collect(),
            suspects: self.suspects.by_fingerprint.values().cloned().collect(),
            route_table: self.publication_since(0),
            crashes: self.crashes.crashes.iter().cloned().collect(),
            quarantines: self.crashes.quarantines.values().cloned().collect(),
            quarantine_version: self.crashes.version,
            evacuation: Some(self.evacuation.clone()),
        }
    }

    fn from_content(c: Content) -> Result<Self, LedgerError> {
        let mut ledger = Self::new();
        ledger.now_ms = c.now_ms;
        let update = c
            .config
            .ok_or_else(|| corrupt("the configuration is missing"))?;
        if update.to > 0 {
            ledger.config = Config::new();
            ledger.config.apply(&update).map_err(corrupt)?;
        }
        for record in c.history {
            ledger.changes.push(record);
        }
        for reply in c.change_replies {
            let id = reply.change_id.clone();
            ledger.changes.replies.insert(id, reply);
        }
        ledger.changes.reply_queue = c
            .reply_queue
            .into_iter()
            .map(|r| (r.at_ms, r.change_id))
            .collect();
        for b in c.budgets {
            let amounts = Amounts {
                topped_up: b.topped_up,
                unspent: b.unspent,
                allotted: b.allotted,
                settled: b.settled,
                written_off: b.written_off,
                forfeited: b.forfeited,
            };
            let account = Account {
                amounts,
                holders: Vec::new(),
                published_total: b.published_total,
            };
            ledger.accounts.by_name.insert(b.name.into(), account);
        }
        for r in c.top_ups {
            let id = r.top_up.id.clone();
            ledger
                .accounts
                .top_up_queue
                .push_back((r.at_ms, id.clone()));
            ledger.accounts.top_ups.insert(id, r);
        }
        for k in c.request_keys {
            let key = <[u8; 16]>::try_from(k.key.as_slice()).map_err(corrupt)?;
            // Without an amount, nothing more is billed under the key.
            let tokens = k.tokens.unwrap_or(Tokens::MAX);
            ledger.accounts.request_keys.insert(key, tokens);
            ledger.accounts.request_key_queue.push_back((k.at_ms, key));
        }
        ledger.accounts.request_keys_evicted = c.request_keys_evicted;
        ledger.accounts.written_off_unknown = c.written_off_unknown;
        ledger.accounts.reported_excess = c.reported_excess;
        for i in c.incarnations {
            ledger.restore_incarnation(i)?;
        }
        ledger.routers.directory_version = c.directory_version;
        ledger.routers.grants_scanned_ms = c.grants_scanned_ms;
        for order in c.orders {
            ledger.orders.insert(order);
        }
        ledger.orders.ended_queue = c
            .ended_orders
            .into_iter()
            .map(|o| (o.at_ms, (o.team, o.key)))
            .collect();
        for s in c.suspects {
            let f = s.fingerprint.as_slice().try_into().map_err(corrupt)?;
            ledger.suspects.insert(f, s);
        }
        ledger.crashes.crashes = c.crashes.into();
        for q in c.quarantines {
            let f = q.fingerprint.as_slice().try_into().map_err(corrupt)?;
            ledger.crashes.quarantines.insert(f, q);
        }
        ledger.crashes.version = c.quarantine_version;
        ledger.evacuation = c.evacuation.unwrap_or_default();
        if let Some(t) = c.route_table {
            ledger.route_table = RouteTable {
                version: t.version,
                source: t.source.into(),
            };
        }
        Ok(ledger)
    }

    fn restore_incarnation(&mut self, state: IncarnationState) -> Result<(), LedgerError> {
        let name: Arc<str> = match self
            .routers
            .by_name
            .get_key_value(state.registration.router.as_str())
        {
            Some((name, _)) => name.clone(),
            None => state.registration.router.as_str().into(),
        };
        let incarnation = state.registration.incarnation;
        let mut allotments = HashMap::with_capacity(state.allotments.len());
        for a in state.allotments {
            let Some((budget, _)) = self.accounts.by_name.get_key_value(a.budget.as_str()) else {
                return Err(corrupt(format!(
                    "an allotment refers to the missing budget {}",
                    a.budget
                )));
            };
            let budget = budget.clone();
            if a.amount > 0
                && let Some(account) = self.accounts.by_name.get_mut(&budget)
            {
                account.add_holder(&name, incarnation);
            }
            allotments.insert(
                budget,
                Allotment {
                    amount: a.amount,
                    grant_seq: a.grant_seq,
                    granted_at_ms: a.granted_at_ms,
                    granted: a.granted,
                    budget_unspent: a.budget_unspent,
                    budget_allotted: a.budget_allotted,
                },
            );
        }
        let phase = match state.phase {
            0 => Phase::Open,
            1 => Phase::Lost,
            2 => Phase::Closed,
            n => return Err(corrupt(format!("unknown incarnation phase {n}"))),
        };
        self.routers
            .by_name
            .entry(name.clone())
            .or_default()
            .insert(
                incarnation,
                RouterIncarnation {
                    name,
                    registration: state.registration,
                    phase,
                    superseded: state.superseded,
                    since_ms: state.since_ms,
                    last_report_seq: state.last_report_seq,
                    stale_grant_seq: state.stale_grant_seq,
                    allotments,
                    reserve: state.reserve.unwrap_or_default(),
                },
            );
        self.routers.count += 1;
        Ok(())
    }
}

fn incarnation_state(i: &RouterIncarnation) -> IncarnationState {
    let mut allotments: Vec<_> = i
        .allotments
        .iter()
        .map(|(budget, a)| AllotmentState {
            budget: budget.to_string(),
            amount: a.amount,
            grant_seq: a.grant_seq,
            granted_at_ms: a.granted_at_ms,
            granted: a.granted,
            budget_unspent: a.budget_unspent,
            budget_allotted: a.budget_allotted,
        })
        .collect();
    allotments.sort_unstable_by(|a, b| a.budget.cmp(&b.budget));
    IncarnationState {
        registration: i.registration.clone(),
        phase: match i.phase {
            Phase::Open => 0,
            Phase::Lost => 1,
            Phase::Closed => 2,
        },
        superseded: i.superseded,
        since_ms: i.since_ms,
        last_report_seq: i.last_report_seq,
        stale_grant_seq: i.stale_grant_seq,
        allotments,
        reserve: (i.reserve != Reserve::default()).then(|| i.reserve.clone()),
    }
}
