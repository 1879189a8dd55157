//! Snapshots of the whole state, with a format version and a checksum.

use std::collections::HashMap;
use std::sync::Arc;

use anvilloft_wire::command::OpenIncarnation;
use anvilloft_wire::config::ConfigUpdate;
use anvilloft_wire::control::Publication;
use prost::Message;
use sha2::Digest;
use sha2::Sha256;

use crate::accounts::Account;
use crate::accounts::Amounts;
use crate::accounts::TopUpRecord;
use crate::changes::ChangeAnswer;
use crate::changes::ChangeRecord;
use crate::config::Config;
use crate::ledger::Ledger;
use crate::ledger::LedgerError;
use crate::orders::Order;
use crate::publication::Table;
use crate::routers::Held;
use crate::routers::Phase;
use crate::routers::RouterIncarnation;
use crate::suspects::Suspect;

/// Format written by this build, and the only one that it reads.
const FORMAT: u32 = 1;

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
    answers: Vec<ChangeAnswer>,
    #[prost(message, repeated, tag = "5")]
    budgets: Vec<BudgetState>,
    #[prost(message, repeated, tag = "6")]
    top_ups: Vec<TopUpRecord>,
    #[prost(message, repeated, tag = "7")]
    request_keys: Vec<KeyState>,
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
    scanned_ms: u64,
    #[prost(message, repeated, tag = "14")]
    orders: Vec<Order>,
    #[prost(message, repeated, tag = "15")]
    ended_orders: Vec<EndedOrder>,
    #[prost(message, repeated, tag = "16")]
    suspects: Vec<Suspect>,
    #[prost(message, repeated, tag = "17")]
    answer_order: Vec<AnswerOrder>,
    #[prost(message, optional, tag = "18")]
    table: Option<Publication>,
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
    total: Option<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct KeyState {
    #[prost(uint64, tag = "1")]
    at_ms: u64,
    #[prost(bytes = "vec", tag = "2")]
    key: Vec<u8>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct AnswerOrder {
    #[prost(uint64, tag = "1")]
    at_ms: u64,
    #[prost(string, tag = "2")]
    id: String,
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
    open: OpenIncarnation,
    /// 0 open, 1 lost, 2 closed.
    #[prost(uint32, tag = "2")]
    phase: u32,
    #[prost(bool, tag = "3")]
    superseded: bool,
    #[prost(uint64, tag = "4")]
    since_ms: u64,
    #[prost(uint64, tag = "5")]
    reports: u64,
    #[prost(uint64, tag = "6")]
    grant_floor: u64,
    #[prost(message, repeated, tag = "7")]
    held: Vec<HeldState>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct HeldState {
    #[prost(string, tag = "1")]
    budget: String,
    #[prost(uint64, tag = "2")]
    amount: u64,
    #[prost(uint64, tag = "3")]
    seq: u64,
    #[prost(uint64, tag = "4")]
    at_ms: u64,
    #[prost(uint64, tag = "5")]
    granted: u64,
    #[prost(uint64, tag = "6")]
    unspent: u64,
    #[prost(uint64, tag = "7")]
    allotted: u64,
}

fn corrupt(reason: impl std::fmt::Display) -> LedgerError {
    LedgerError::Corrupt(reason.to_string())
}

impl Ledger {
    /// Encodes the whole state. Equal states have equal encodings.
    pub fn encode(&self) -> Vec<u8> {
        let content = self.to_content().encode_to_vec();
        Envelope {
            format: FORMAT,
            checksum: Sha256::digest(&content).to_vec(),
            content,
        }
        .encode_to_vec()
    }

    /// Decodes a state that [`Self::encode`] wrote.
    ///
    /// # Errors
    ///
    /// `UnsupportedFormat` when another build wrote it, `Corrupt` when it is damaged.
    pub fn decode(buf: &[u8]) -> Result<Self, LedgerError> {
        let envelope = Envelope::decode(buf).map_err(corrupt)?;
        if envelope.format != FORMAT {
            return Err(LedgerError::UnsupportedFormat(envelope.format));
        }
        if Sha256::digest(&envelope.content).as_slice() != envelope.checksum {
            return Err(corrupt("the checksum differs"));
        }
        let content = Content::decode(envelope.content.as_slice()).map_err(corrupt)?;
        Self::from_content(content)
    }

    fn to_content(&self) -> Content {
        let mut answers: Vec<_> = self.changes.answers.values().cloned().collect();
        answers.sort_unstable_by(|a, b| a.change_id.cmp(&b.change_id));
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
                total: account.total,
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
            answers,
            answer_order: self
                .changes
                .answer_order
                .iter()
                .map(|(at_ms, id)| AnswerOrder {
                    at_ms: *at_ms,
                    id: id.clone(),
                })
                .collect(),
            budgets,
            top_ups: self
                .accounts
                .top_up_order
                .iter()
                .filter_map(|(_, id)| self.accounts.top_ups.get(id).cloned())
                .collect(),
            request_keys: self
                .accounts
                .request_key_order
                .iter()
                .map(|(at_ms, key)| KeyState {
                    at_ms: *at_ms,
                    key: key.to_vec(),
                })
                .collect(),
            request_keys_evicted: self.accounts.request_keys_evicted,
            written_off_unknown: self.accounts.written_off_unknown,
            reported_excess: self.accounts.reported_excess,
            incarnations: self.routers.all().map(incarnation_state).collect(),
            directory_version: self.routers.directory_version,
            scanned_ms: self.routers.scanned_ms,
            orders,
            ended_orders: self
                .orders
                .ended_order
                .iter()
                .map(|(at_ms, (team, key))| EndedOrder {
                    at_ms: *at_ms,
                    team: team.clone(),
                    key: key.clone(),
                })
                .collect(),
            suspects: self.suspects.by_fingerprint.values().cloned().collect(),
            table: self.publication_since(0),
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
        for answer in c.answers {
            let id = answer.change_id.clone();
            ledger.changes.answers.insert(id, answer);
        }
        ledger.changes.answer_order = c
            .answer_order
            .into_iter()
            .map(|o| (o.at_ms, o.id))
            .collect();
        for b in c.budgets {
            let amounts = Amounts {
                topped_up: b.topped_up,
                unspent: b.unspent,
                allotted: b.allotted,
                settled: b.settled,
                written_off: b.written_off,
            };
            let account = Account {
                amounts,
                holders: Vec::new(),
                total: b.total,
            };
            ledger.accounts.by_name.insert(b.name.into(), account);
        }
        for r in c.top_ups {
            let id = r.top_up.id.clone();
            ledger
                .accounts
                .top_up_order
                .push_back((r.at_ms, id.clone()));
            ledger.accounts.top_ups.insert(id, r);
        }
        for k in c.request_keys {
            let key = <[u8; 16]>::try_from(k.key.as_slice()).map_err(corrupt)?;
            ledger.accounts.request_keys.insert(key);
            ledger.accounts.request_key_order.push_back((k.at_ms, key));
        }
        ledger.accounts.request_keys_evicted = c.request_keys_evicted;
        ledger.accounts.written_off_unknown = c.written_off_unknown;
        ledger.accounts.reported_excess = c.reported_excess;
        for i in c.incarnations {
            ledger.restore_incarnation(i)?;
        }
        ledger.routers.directory_version = c.directory_version;
        ledger.routers.scanned_ms = c.scanned_ms;
        for order in c.orders {
            ledger.orders.insert(order);
        }
        ledger.orders.ended_order = c
            .ended_orders
            .into_iter()
            .map(|o| (o.at_ms, (o.team, o.key)))
            .collect();
        for s in c.suspects {
            let f = s.fingerprint.as_slice().try_into().map_err(corrupt)?;
            ledger.suspects.insert(f, s);
        }
        if let Some(t) = c.table {
            ledger.table = Table {
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
            .get_key_value(state.open.router.as_str())
        {
            Some((name, _)) => name.clone(),
            None => state.open.router.as_str().into(),
        };
        let incarnation = state.open.incarnation;
        let mut held = HashMap::with_capacity(state.held.len());
        for h in state.held {
            let Some((budget, _)) = self.accounts.by_name.get_key_value(h.budget.as_str()) else {
                return Err(corrupt(format!("budget {} is missing", h.budget)));
            };
            let budget = budget.clone();
            if h.amount > 0
                && let Some(account) = self.accounts.by_name.get_mut(&budget)
            {
                account.add_holder(&name, incarnation);
            }
            held.insert(
                budget,
                Held {
                    amount: h.amount,
                    seq: h.seq,
                    at_ms: h.at_ms,
                    granted: h.granted,
                    unspent: h.unspent,
                    allotted: h.allotted,
                },
            );
        }
        let phase = match state.phase {
            0 => Phase::Open,
            1 => Phase::Lost,
            2 => Phase::Closed,
            n => return Err(corrupt(format!("unknown phase {n}"))),
        };
        self.routers
            .by_name
            .entry(name.clone())
            .or_default()
            .insert(
                incarnation,
                RouterIncarnation {
                    name,
                    open: state.open,
                    phase,
                    superseded: state.superseded,
                    since_ms: state.since_ms,
                    reports: state.reports,
                    grant_floor: state.grant_floor,
                    held,
                },
            );
        self.routers.count += 1;
        Ok(())
    }
}

fn incarnation_state(i: &RouterIncarnation) -> IncarnationState {
    let mut held: Vec<_> = i
        .held
        .iter()
        .map(|(budget, h)| HeldState {
            budget: budget.to_string(),
            amount: h.amount,
            seq: h.seq,
            at_ms: h.at_ms,
            granted: h.granted,
            unspent: h.unspent,
            allotted: h.allotted,
        })
        .collect();
    held.sort_unstable_by(|a, b| a.budget.cmp(&b.budget));
    IncarnationState {
        open: i.open.clone(),
        phase: match i.phase {
            Phase::Open => 0,
            Phase::Lost => 1,
            Phase::Closed => 2,
        },
        superseded: i.superseded,
        since_ms: i.since_ms,
        reports: i.reports,
        grant_floor: i.grant_floor,
        held,
    }
}
