//! The replicated state machine: configuration, budgets, billing, orders,
//! suspects and router incarnations.
//!
//! [`Ledger::apply`] is deterministic: it reads no clock and uses no random
//! numbers, so every control member that applies the same commands in the same
//! order has the same state.

mod accounts;
mod balances;
mod changes;
pub mod code;
mod config;
mod crashes;
mod defaults;
mod evacuations;
mod items;
mod ledger;
mod orders;
mod publication;
mod query;
mod reserves;
mod routers;
mod snapshot;
mod suspects;
mod validate;

pub use accounts::Amounts;
pub use balances::Balance;
pub use balances::DeadHoldings;
pub use config::Config;
pub use config::ConfigError;
pub use config::delete_op;
pub use config::exception_name;
pub use config::item_ref;
pub use config::set_op;
pub use defaults::DEFAULTS;
pub use defaults::DefaultSpec;
pub use defaults::default_spec;
pub use items::item_json;
pub use ledger::Ledger;
pub use ledger::LedgerError;
pub use publication::prepaid_budget;
pub use routers::LostIncarnation;
