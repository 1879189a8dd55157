//! Checks of a configuration change.

use anvilloft_wire::config::ConfigOp;
use anvilloft_wire::config::Item;
use anvilloft_wire::config::Kind;
use anvilloft_wire::config::Op;

use crate::code;
use crate::config::Config;
use crate::config::item_ref;
use crate::defaults::DefaultSpec;
use crate::defaults::default_spec;

/// Largest length of a name, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Largest length of a reason, in bytes.
pub(crate) const MAX_REASON_BYTES: usize = 1_024;
/// Largest count of operations in one change.
pub(crate) const MAX_OPS: usize = 16_384;
/// Largest count of teams.
const MAX_TEAMS: usize = 65_536;
/// Largest count of budgets, and of keys.
const MAX_BUDGETS: usize = 4_194_304;
/// Largest count of models, services and ranks, each.
const MAX_SMALL: usize = 4_096;
/// Largest count of exceptions. The list is meant to be short.
const MAX_EXCEPTIONS: usize = 65_536;
/// Largest output limit of a model, in tokens.
const MAX_MODEL_TOKENS: u32 = 16 * 1024 * 1024;
/// Largest time in a queue, in milliseconds.
const MAX_QUEUE_MS: u32 = 600_000;
/// Roles of a key on the administration API.
const ROLES: [&str; 4] = ["", "operator", "read-only", "team"];

/// A broken rule: its code and the reason for people.
pub(crate) type Fault = (&'static str, String);

fn fault<T>(code: &'static str, message: impl Into<String>) -> Result<T, Fault> {
    Err((code, message.into()))
}

/// Checks that a name can be used as part of an item reference and in a log.
pub(crate) fn check_name(name: &str) -> Result<(), Fault> {
    if name.is_empty()
        || name.len() > MAX_NAME_BYTES
        || name.contains('/')
        || name.chars().any(char::is_control)
    {
        return fault(
            code::BAD_NAME,
            format!("a name has 1 to {MAX_NAME_BYTES} bytes without / and control characters"),
        );
    }
    Ok(())
}

/// Checks an operation before it is applied, except for its references.
pub(crate) fn check_op(cfg: &Config, op: &ConfigOp) -> Result<(), Fault> {
    match &op.op {
        Some(Op::Set(item)) => match &item.item {
            Some(item) => check_item(cfg, item),
            None => fault(code::MALFORMED, "an operation sets no item"),
        },
        Some(Op::Delete(target)) => {
            let Ok(kind) = Kind::try_from(target.kind) else {
                return fault(code::MALFORMED, "unknown kind of item");
            };
            if cfg.contains(kind, &target.name) {
                Ok(())
            } else {
                fault(
                    code::UNKNOWN_ITEM,
                    format!("there is no {kind:?} named {}", target.name),
                )
            }
        }
        None => fault(code::MALFORMED, "an operation neither sets nor deletes"),
    }
}

fn check_item(cfg: &Config, item: &Item) -> Result<(), Fault> {
    match item {
        Item::Team(i) => check_name(&i.name),
        Item::Key(i) => {
            check_name(&i.name)?;
            let Ok(hash) = <[u8; 32]>::try_from(i.hash.as_slice()) else {
                return fault(code::MALFORMED, "the hash of a key has 32 bytes");
            };
            if cfg.key_by_hash(&hash).is_some_and(|k| k.name != i.name) {
                return fault(code::DUPLICATE_KEY_HASH, "another key has the same hash");
            }
            if !ROLES.contains(&i.role.as_str()) {
                return fault(code::OUT_OF_RANGE, format!("unknown role {}", i.role));
            }
            Ok(())
        }
        Item::Budget(i) => {
            check_name(&i.name)?;
            // Tokens are prepaid by one team, so they can't change hands.
            if cfg.budget(&i.name).is_some_and(|b| b.team != i.team) {
                return fault(code::BUDGET_MOVED, "a budget stays with its team");
            }
            Ok(())
        }
        Item::Rank(i) => {
            check_name(&i.name)?;
            if i.floor_percent > 100 || i.queue_ms > MAX_QUEUE_MS {
                return fault(
                    code::OUT_OF_RANGE,
                    format!("a floor is at most 100 percent, a queue at most {MAX_QUEUE_MS} ms"),
                );
            }
            Ok(())
        }
        Item::Model(i) => {
            check_name(&i.name)?;
            if i.max_tokens > MAX_MODEL_TOKENS || i.default_max_tokens > i.max_tokens {
                return fault(
                    code::OUT_OF_RANGE,
                    format!(
                        "the default output limit is at most max_tokens, which is at most {MAX_MODEL_TOKENS}"
                    ),
                );
            }
            Ok(())
        }
        Item::Service(i) => {
            check_name(&i.name)?;
            if i.price > 1 << 40 {
                return fault(code::OUT_OF_RANGE, "a price is at most 2^40 tokens");
            }
            Ok(())
        }
        Item::Default(i) => check_value(&i.name, i.value).map(drop),
        Item::Exception(i) => {
            let spec = check_value(&i.name, i.value)?;
            if !spec.per_team {
                return fault(
                    code::NO_EXCEPTION,
                    format!("{} is the same for all teams", i.name),
                );
            }
            if i.reason.trim().is_empty() {
                return fault(code::EMPTY_REASON, "an exception needs a reason");
            }
            if i.reason.len() > MAX_REASON_BYTES {
                return fault(
                    code::OUT_OF_RANGE,
                    format!("a reason has at most {MAX_REASON_BYTES} bytes"),
                );
            }
            Ok(())
        }
    }
}

fn check_value(name: &str, value: u64) -> Result<&'static DefaultSpec, Fault> {
    let Some(spec) = default_spec(name) else {
        return fault(code::UNKNOWN_DEFAULT, format!("there is no default {name}"));
    };
    if !(spec.min..=spec.max).contains(&value) {
        return fault(
            code::OUT_OF_RANGE,
            format!("{name} is between {} and {}", spec.min, spec.max),
        );
    }
    Ok(spec)
}

/// Checks the references of every item that a change touched, after all of
/// its operations were applied.
pub(crate) fn check_result(cfg: &Config, ops: &[ConfigOp]) -> Result<(), Fault> {
    let mut ranks_touched = false;
    for op in ops {
        match &op.op {
            Some(Op::Set(item)) => {
                let Some(item) = &item.item else { continue };
                ranks_touched |= matches!(item, Item::Rank(_));
                // A later operation of the change may have deleted the item.
                let target = item_ref(item);
                if Kind::try_from(target.kind).is_ok_and(|k| cfg.contains(k, &target.name)) {
                    check_references(cfg, item)?;
                }
            }
            Some(Op::Delete(target)) => {
                if let Ok(kind) = Kind::try_from(target.kind)
                    && !cfg.contains(kind, &target.name)
                {
                    check_no_referrer(cfg, kind, &target.name)?;
                }
            }
            None => {}
        }
    }
    if ranks_touched {
        let floors: u32 = cfg.ranks().map(|r| r.floor_percent).sum();
        if floors > 100 {
            return fault(
                code::FLOORS_EXCEEDED,
                format!("the floors of all ranks add up to {floors} percent"),
            );
        }
    }
    check_counts(cfg)
}

fn check_counts(cfg: &Config) -> Result<(), Fault> {
    let counts = [
        (cfg.teams().len(), MAX_TEAMS, "teams"),
        (cfg.keys().len(), MAX_BUDGETS, "keys"),
        (cfg.budgets().len(), MAX_BUDGETS, "budgets"),
        (cfg.ranks().len(), MAX_SMALL, "ranks"),
        (cfg.models().len(), MAX_SMALL, "models"),
        (cfg.services().len(), MAX_SMALL, "services"),
        (cfg.exceptions().len(), MAX_EXCEPTIONS, "exceptions"),
    ];
    for (count, max, what) in counts {
        if count > max {
            return fault(code::TABLE_FULL, format!("there are at most {max} {what}"));
        }
    }
    Ok(())
}

fn check_references(cfg: &Config, item: &Item) -> Result<(), Fault> {
    let dangling = |what: &str, name: &str| -> Result<(), Fault> {
        fault(
            code::DANGLING_REFERENCE,
            format!("there is no {what} named {name}"),
        )
    };
    match item {
        Item::Team(i) if !i.default_rank.is_empty() && cfg.rank(&i.default_rank).is_none() => {
            dangling("rank", &i.default_rank)
        }
        Item::Key(i) => {
            // Keys for operators belong to no team.
            if i.team.is_empty() && matches!(i.role.as_str(), "operator" | "read-only") {
                if i.budget.is_empty() {
                    return Ok(());
                }
                return dangling("team", "");
            }
            if cfg.team(&i.team).is_none() {
                return dangling("team", &i.team);
            }
            if i.budget.is_empty() {
                return Ok(());
            }
            match cfg.budget(&i.budget) {
                Some(b) if b.team == i.team => Ok(()),
                Some(_) => fault(
                    code::DANGLING_REFERENCE,
                    format!("budget {} belongs to another team", i.budget),
                ),
                None => dangling("budget", &i.budget),
            }
        }
        Item::Budget(i) if cfg.team(&i.team).is_none() => dangling("team", &i.team),
        Item::Exception(i) if cfg.team(&i.team).is_none() => dangling("team", &i.team),
        _ => Ok(()),
    }
}

fn check_no_referrer(cfg: &Config, kind: Kind, name: &str) -> Result<(), Fault> {
    let referrer = match kind {
        Kind::Team => cfg
            .keys()
            .find(|k| k.team == name)
            .map(|k| format!("key {}", k.name))
            .or_else(|| {
                let b = cfg.budgets().find(|b| b.team == name)?;
                Some(format!("budget {}", b.name))
            })
            .or_else(|| {
                let e = cfg.exceptions().find(|e| e.team == name)?;
                Some(format!("the exception from {}", e.name))
            }),
        Kind::Budget => cfg
            .keys()
            .find(|k| k.budget == name)
            .map(|k| format!("key {}", k.name)),
        Kind::Rank => cfg
            .teams()
            .find(|t| t.default_rank == name)
            .map(|t| format!("team {}", t.name)),
        _ => None,
    };
    match referrer {
        Some(r) => fault(
            code::DANGLING_REFERENCE,
            format!("{r} refers to the deleted {kind:?} {name}"),
        ),
        None => Ok(()),
    }
}
