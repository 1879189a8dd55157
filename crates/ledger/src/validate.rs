//! Validation of configuration changes.

use anvilloft_wire::config::ConfigOp;
use anvilloft_wire::config::Item;
use anvilloft_wire::config::Kind;
use anvilloft_wire::config::Op;

use crate::code;
use crate::config::Config;
use crate::config::item_ref;
use crate::defaults::DefaultSpec;
use crate::defaults::default_spec;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Maximum length of a reason, in bytes.
pub(crate) const MAX_REASON_BYTES: usize = 1_024;
/// Maximum number of operations in one change.
pub(crate) const MAX_OPS: usize = 16_384;
/// Maximum number of teams.
const MAX_TEAMS: usize = 65_536;
/// Maximum number of budgets, and of keys.
const MAX_BUDGETS: usize = 4_194_304;
/// Maximum number of ranks, of models and of services.
const MAX_RANKS_MODELS_SERVICES: usize = 4_096;
/// Maximum number of exceptions. Few are expected.
const MAX_EXCEPTIONS: usize = 65_536;
/// Maximum output limit of a model, in tokens.
const MAX_MODEL_OUTPUT_TOKENS: u32 = 16 * 1024 * 1024;
/// Maximum time that a request of a rank may be queued, in milliseconds.
const MAX_QUEUE_MS: u32 = 600_000;
/// Roles of a key on the administration API.
const ROLES: [&str; 4] = ["", "operator", "read-only", "team"];

/// Code and human-readable message of a violated rule.
pub(crate) type Violation = (&'static str, String);

fn violation<T>(code: &'static str, message: impl Into<String>) -> Result<T, Violation> {
    Err((code, message.into()))
}

/// Checks that a name can be part of an item reference and be written to a log.
pub(crate) fn check_name(name: &str) -> Result<(), Violation> {
    if name.is_empty()
        || name.len() > MAX_NAME_BYTES
        || name.contains('/')
        || name.chars().any(char::is_control)
    {
        return violation(
            code::BAD_NAME,
            format!("a name has 1 to {MAX_NAME_BYTES} bytes without / and control characters"),
        );
    }
    Ok(())
}

/// Checks an operation before it is applied, except for its references.
pub(crate) fn check_op(cfg: &Config, op: &ConfigOp) -> Result<(), Violation> {
    match &op.op {
        Some(Op::Set(item)) => match &item.item {
            Some(item) => check_item(cfg, item),
            None => violation(code::MALFORMED, "an operation sets no item"),
        },
        Some(Op::Delete(target)) => {
            let Ok(kind) = Kind::try_from(target.kind) else {
                return violation(code::MALFORMED, "unknown kind of item");
            };
            if cfg.contains(kind, &target.name) {
                Ok(())
            } else {
                violation(
                    code::UNKNOWN_ITEM,
                    format!("there is no {kind:?} named {}", target.name),
                )
            }
        }
        None => violation(code::MALFORMED, "an operation neither sets nor deletes"),
    }
}

fn check_item(cfg: &Config, item: &Item) -> Result<(), Violation> {
    match item {
        Item::Team(i) => check_name(&i.name),
        Item::Key(i) => {
            check_name(&i.name)?;
            let Ok(hash) = <[u8; 32]>::try_from(i.hash.as_slice()) else {
                return violation(code::MALFORMED, "the hash of a key has 32 bytes");
            };
            if cfg.key_by_hash(&hash).is_some_and(|k| k.name != i.name) {
                return violation(code::DUPLICATE_KEY_HASH, "another key has the same hash");
            }
            if !ROLES.contains(&i.role.as_str()) {
                return violation(code::OUT_OF_RANGE, format!("unknown role {}", i.role));
            }
            Ok(())
        }
        Item::Budget(i) => {
            check_name(&i.name)?;
            // One team has paid for the tokens, so another team can't get them.
            if cfg.budget(&i.name).is_some_and(|b| b.team != i.team) {
                return violation(code::BUDGET_MOVED, "a budget stays with its team");
            }
            Ok(())
        }
        Item::Rank(i) => {
            check_name(&i.name)?;
            if i.floor_percent > 100 || i.queue_ms > MAX_QUEUE_MS {
                return violation(
                    code::OUT_OF_RANGE,
                    format!("a floor is at most 100 percent, a queue at most {MAX_QUEUE_MS} ms"),
                );
            }
            Ok(())
        }
        Item::Model(i) => {
            check_name(&i.name)?;
            if i.max_tokens > MAX_MODEL_OUTPUT_TOKENS || i.default_max_tokens > i.max_tokens {
                return violation(
                    code::OUT_OF_RANGE,
                    format!(
                        "the default output limit is at most max_tokens, which is at most {MAX_MODEL_OUTPUT_TOKENS}"
                    ),
                );
            }
            Ok(())
        }
        Item::Service(i) => {
            check_name(&i.name)?;
            if i.price > 1 << 40 {
                return violation(code::OUT_OF_RANGE, "a price is at most 2^40 tokens");
            }
            Ok(())
        }
        Item::Default(i) => check_value(&i.name, i.value).map(drop),
        Item::Exception(i) => {
            let spec = check_value(&i.name, i.value)?;
            if !spec.per_team {
                return violation(
                    code::NO_EXCEPTION,
                    format!("{} is the same for all teams", i.name),
                );
            }
            if i.reason.trim().is_empty() {
                return violation(code::EMPTY_REASON, "an exception needs a reason");
            }
            if i.reason.len() > MAX_REASON_BYTES {
                return violation(
                    code::OUT_OF_RANGE,
                    format!("a reason has at most {MAX_REASON_BYTES} bytes"),
                );
            }
            Ok(())
        }
    }
}

fn check_value(name: &str, value: u64) -> Result<&'static DefaultSpec, Violation> {
    let Some(spec) = default_spec(name) else {
        return violation(code::UNKNOWN_DEFAULT, format!("there is no default {name}"));
    };
    if !(spec.min..=spec.max).contains(&value) {
        return violation(
            code::OUT_OF_RANGE,
            format!("{name} is between {} and {}", spec.min, spec.max),
        );
    }
    Ok(spec)
}

/// Checks the references of every item that a change set or deleted, the sum of
/// the rank floors, and the numbers of items, after all operations of the change
/// were applied.
pub(crate) fn check_applied_ops(cfg: &Config, ops: &[ConfigOp]) -> Result<(), Violation> {
    let mut ranks_changed = false;
    for op in ops {
        match &op.op {
            Some(Op::Set(item)) => {
                let Some(item) = &item.item else { continue };
                ranks_changed |= matches!(item, Item::Rank(_));
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
                    check_unreferenced(cfg, kind, &target.name)?;
                }
            }
            None => {}
        }
    }
    if ranks_changed {
        let floors: u32 = cfg.ranks().map(|r| r.floor_percent).sum();
        if floors > 100 {
            return violation(
                code::FLOORS_EXCEEDED,
                format!("the floors of all ranks add up to {floors} percent"),
            );
        }
    }
    check_counts(cfg)
}

fn check_counts(cfg: &Config) -> Result<(), Violation> {
    let counts = [
        (cfg.teams().len(), MAX_TEAMS, "teams"),
        (cfg.keys().len(), MAX_BUDGETS, "keys"),
        (cfg.budgets().len(), MAX_BUDGETS, "budgets"),
        (cfg.ranks().len(), MAX_RANKS_MODELS_SERVICES, "ranks"),
        (cfg.models().len(), MAX_RANKS_MODELS_SERVICES, "models"),
        (cfg.services().len(), MAX_RANKS_MODELS_SERVICES, "services"),
        (cfg.exceptions().len(), MAX_EXCEPTIONS, "exceptions"),
    ];
    for (count, max, what) in counts {
        if count > max {
            return violation(code::TABLE_FULL, format!("there are at most {max} {what}"));
        }
    }
    Ok(())
}

fn check_references(cfg: &Config, item: &Item) -> Result<(), Violation> {
    let dangling = |what: &str, name: &str| -> Result<(), Violation> {
        violation(
            code::DANGLING_REFERENCE,
            format!("there is no {what} named {name}"),
        )
    };
    match item {
        Item::Team(i) if !i.default_rank.is_empty() && cfg.rank(&i.default_rank).is_none() => {
            dangling("rank", &i.default_rank)
        }
        Item::Key(i) => {
            // Operator keys belong to no team.
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
                Some(_) => violation(
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

fn check_unreferenced(cfg: &Config, kind: Kind, name: &str) -> Result<(), Violation> {
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
        Some(r) => violation(
            code::DANGLING_REFERENCE,
            format!("{r} refers to the deleted {kind:?} {name}"),
        ),
        None => Ok(()),
    }
}
