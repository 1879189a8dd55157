//! The typed configuration, used by the ledger and by every router.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::ops::Bound;

use anvilloft_types::Revision;
use anvilloft_wire::config::Budget;
use anvilloft_wire::config::ConfigItem;
use anvilloft_wire::config::ConfigOp;
use anvilloft_wire::config::ConfigUpdate;
use anvilloft_wire::config::DefaultValue;
use anvilloft_wire::config::Exception;
use anvilloft_wire::config::Item;
use anvilloft_wire::config::ItemRef;
use anvilloft_wire::config::Key;
use anvilloft_wire::config::Kind;
use anvilloft_wire::config::Model;
use anvilloft_wire::config::Op;
use anvilloft_wire::config::Rank;
use anvilloft_wire::config::Service;
use anvilloft_wire::config::Team;
use quick_error::quick_error;

use crate::defaults::built_in_ranks;
use crate::defaults::default_spec;

quick_error! {
    /// Errors of applying a configuration update.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ConfigError {
        /// The update starts after the revision in force, so changes are missing.
        Gap(have: Revision, from: Revision) {
            display("the update starts at revision {} but {} is in force", from, have)
        }
        /// The update ends before it starts.
        Backwards(from: Revision, to: Revision) {
            display("the update goes from revision {} back to {}", from, to)
        }
        /// An operation is empty or names an unknown kind.
        Malformed {
            display("the update holds an operation without an item")
        }
    }
}

/// The configuration at one revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    revision: Revision,
    teams: BTreeMap<String, Team>,
    keys: BTreeMap<String, Key>,
    budgets: BTreeMap<String, Budget>,
    ranks: BTreeMap<String, Rank>,
    models: BTreeMap<String, Model>,
    services: BTreeMap<String, Service>,
    defaults: BTreeMap<String, DefaultValue>,
    exceptions: BTreeMap<String, Exception>,
    // Names of keys by the SHA-256 of their secret.
    key_names_by_hash: HashMap<[u8; 32], String>,
}

impl Default for Config {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the name under which an exception is stored and deleted.
pub fn exception_name(team: &str, default: &str) -> String {
    format!("{team}/{default}")
}

/// Returns the kind and name of an item.
pub fn item_ref(item: &Item) -> ItemRef {
    let (kind, name) = match item {
        Item::Team(i) => (Kind::Team, i.name.clone()),
        Item::Key(i) => (Kind::Key, i.name.clone()),
        Item::Budget(i) => (Kind::Budget, i.name.clone()),
        Item::Rank(i) => (Kind::Rank, i.name.clone()),
        Item::Model(i) => (Kind::Model, i.name.clone()),
        Item::Service(i) => (Kind::Service, i.name.clone()),
        Item::Default(i) => (Kind::Default, i.name.clone()),
        Item::Exception(i) => (Kind::Exception, exception_name(&i.team, &i.name)),
    };
    ItemRef {
        kind: kind.into(),
        name,
    }
}

/// Returns the operation that sets an item.
pub fn set_op(item: Item) -> ConfigOp {
    ConfigOp {
        op: Some(Op::Set(ConfigItem { item: Some(item) })),
    }
}

/// Returns the operation that deletes an item.
pub fn delete_op(kind: Kind, name: &str) -> ConfigOp {
    ConfigOp {
        op: Some(Op::Delete(ItemRef {
            kind: kind.into(),
            name: name.into(),
        })),
    }
}

// Returns the items whose names are greater than `name`, sorted by name.
fn range_after<'a, T>(
    items: &'a BTreeMap<String, T>,
    name: &str,
) -> impl Iterator<Item = &'a T> + use<'a, T> {
    items
        .range::<str, _>((Bound::Excluded(name), Bound::Unbounded))
        .map(|(_, item)| item)
}

impl Config {
    /// Returns the configuration of revision 0: the built-in ranks and defaults.
    pub fn new() -> Self {
        let mut cfg = Self::empty();
        for r in built_in_ranks() {
            cfg.ranks.insert(r.name.clone(), r);
        }
        cfg
    }

    fn empty() -> Self {
        Self {
            revision: 0,
            teams: BTreeMap::new(),
            keys: BTreeMap::new(),
            budgets: BTreeMap::new(),
            ranks: BTreeMap::new(),
            models: BTreeMap::new(),
            services: BTreeMap::new(),
            defaults: BTreeMap::new(),
            exceptions: BTreeMap::new(),
            key_names_by_hash: HashMap::new(),
        }
    }

    /// Applies an update as a whole. Returns `false` if the update has nothing
    /// newer than the revision in force.
    ///
    /// # Errors
    ///
    /// `Gap` when changes between the revision in force and the update are
    /// missing, `Backwards` and `Malformed` when the update is invalid. The
    /// configuration is then unchanged.
    pub fn apply(&mut self, update: &ConfigUpdate) -> Result<bool, ConfigError> {
        if update.to < update.from {
            return Err(ConfigError::Backwards(update.from, update.to));
        }
        if update.to <= self.revision {
            return Ok(false);
        }
        // Operations are idempotent, as each sets or deletes a whole item. An
        // update may therefore overlap with changes that are already applied.
        if !update.full && update.from > self.revision {
            return Err(ConfigError::Gap(self.revision, update.from));
        }
        if !update.ops.iter().all(is_well_formed) {
            return Err(ConfigError::Malformed);
        }
        if update.full {
            *self = Self::empty();
        }
        for op in &update.ops {
            self.apply_op(op);
        }
        self.revision = update.to;
        Ok(true)
    }

    /// Applies one operation. Returns the operation that reverts it, or `None` if
    /// nothing changed.
    pub(crate) fn apply_op(&mut self, op: &ConfigOp) -> Option<ConfigOp> {
        match op.op.as_ref()? {
            Op::Set(item) => {
                let item = item.item.as_ref()?;
                let target = item_ref(item);
                let kind = Kind::try_from(target.kind).ok()?;
                let previous = self.remove(kind, &target.name);
                self.insert(item.clone());
                Some(previous.map_or_else(|| delete_op(kind, &target.name), set_op))
            }
            Op::Delete(target) => {
                let kind = Kind::try_from(target.kind).ok()?;
                self.remove(kind, &target.name).map(set_op)
            }
        }
    }

    pub(crate) fn contains(&self, kind: Kind, name: &str) -> bool {
        match kind {
            Kind::Team => self.teams.contains_key(name),
            Kind::Key => self.keys.contains_key(name),
            Kind::Budget => self.budgets.contains_key(name),
            Kind::Rank => self.ranks.contains_key(name),
            Kind::Model => self.models.contains_key(name),
            Kind::Service => self.services.contains_key(name),
            Kind::Default => self.defaults.contains_key(name),
            Kind::Exception => self.exceptions.contains_key(name),
        }
    }

    pub(crate) fn set_revision(&mut self, revision: Revision) {
        self.revision = revision;
    }

    fn insert(&mut self, item: Item) {
        match item {
            Item::Team(i) => drop(self.teams.insert(i.name.clone(), i)),
            Item::Key(i) => {
                if let Ok(hash) = <[u8; 32]>::try_from(i.hash.as_slice()) {
                    self.key_names_by_hash.insert(hash, i.name.clone());
                }
                self.keys.insert(i.name.clone(), i);
            }
            Item::Budget(i) => drop(self.budgets.insert(i.name.clone(), i)),
            Item::Rank(i) => drop(self.ranks.insert(i.name.clone(), i)),
            Item::Model(i) => drop(self.models.insert(i.name.clone(), i)),
            Item::Service(i) => drop(self.services.insert(i.name.clone(), i)),
            Item::Default(i) => drop(self.defaults.insert(i.name.clone(), i)),
            Item::Exception(i) => {
                let name = exception_name(&i.team, &i.name);
                self.exceptions.insert(name, i);
            }
        }
    }

    fn remove(&mut self, kind: Kind, name: &str) -> Option<Item> {
        match kind {
            Kind::Team => self.teams.remove(name).map(Item::Team),
            Kind::Key => {
                let key = self.keys.remove(name)?;
                if let Ok(hash) = <[u8; 32]>::try_from(key.hash.as_slice())
                    && self.key_names_by_hash.get(&hash).is_some_and(|n| n == name)
                {
                    self.key_names_by_hash.remove(&hash);
                }
                Some(Item::Key(key))
            }
            Kind::Budget => self.budgets.remove(name).map(Item::Budget),
            Kind::Rank => self.ranks.remove(name).map(Item::Rank),
            Kind::Model => self.models.remove(name).map(Item::Model),
            Kind::Service => self.services.remove(name).map(Item::Service),
            Kind::Default => self.defaults.remove(name).map(Item::Default),
            Kind::Exception => self.exceptions.remove(name).map(Item::Exception),
        }
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the team of that name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.get(name)
    }

    /// Returns the key of that name.
    pub fn key(&self, name: &str) -> Option<&Key> {
        self.keys.get(name)
    }

    /// Returns the key whose secret has that SHA-256.
    pub fn key_by_hash(&self, hash: &[u8; 32]) -> Option<&Key> {
        self.keys.get(self.key_names_by_hash.get(hash)?)
    }

    /// Returns the budget of that name.
    pub fn budget(&self, name: &str) -> Option<&Budget> {
        self.budgets.get(name)
    }

    /// Returns the rank of that name.
    pub fn rank(&self, name: &str) -> Option<&Rank> {
        self.ranks.get(name)
    }

    /// Returns the model of that name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.get(name)
    }

    /// Returns the service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns every team, sorted by name.
    pub fn teams(&self) -> impl ExactSizeIterator<Item = &Team> {
        self.teams.values()
    }

    /// Returns every key, sorted by name.
    pub fn keys(&self) -> impl ExactSizeIterator<Item = &Key> {
        self.keys.values()
    }

    /// Returns every budget, sorted by name.
    pub fn budgets(&self) -> impl ExactSizeIterator<Item = &Budget> {
        self.budgets.values()
    }

    /// Returns every rank, sorted by name.
    pub fn ranks(&self) -> impl ExactSizeIterator<Item = &Rank> {
        self.ranks.values()
    }

    /// Returns every model, sorted by name.
    pub fn models(&self) -> impl ExactSizeIterator<Item = &Model> {
        self.models.values()
    }

    /// Returns every service, sorted by name.
    pub fn services(&self) -> impl ExactSizeIterator<Item = &Service> {
        self.services.values()
    }

    /// Returns every default that a change has set, sorted by name.
    pub fn defaults(&self) -> impl ExactSizeIterator<Item = &DefaultValue> {
        self.defaults.values()
    }

    /// Returns every exception, sorted by team and name.
    pub fn exceptions(&self) -> impl ExactSizeIterator<Item = &Exception> {
        self.exceptions.values()
    }

    /// Returns the budgets whose names are greater than `name`, sorted by name.
    pub(crate) fn budgets_after(&self, name: &str) -> impl Iterator<Item = &Budget> {
        range_after(&self.budgets, name)
    }

    /// Returns the items of a kind whose names are greater than `name`, sorted by
    /// name.
    pub(crate) fn items_after(
        &self,
        kind: Kind,
        name: &str,
    ) -> Box<dyn Iterator<Item = Item> + '_> {
        match kind {
            Kind::Team => Box::new(range_after(&self.teams, name).cloned().map(Item::Team)),
            Kind::Key => Box::new(range_after(&self.keys, name).cloned().map(Item::Key)),
            Kind::Budget => Box::new(range_after(&self.budgets, name).cloned().map(Item::Budget)),
            Kind::Rank => Box::new(range_after(&self.ranks, name).cloned().map(Item::Rank)),
            Kind::Model => Box::new(range_after(&self.models, name).cloned().map(Item::Model)),
            Kind::Service => Box::new(
                range_after(&self.services, name)
                    .cloned()
                    .map(Item::Service),
            ),
            Kind::Default => Box::new(
                range_after(&self.defaults, name)
                    .cloned()
                    .map(Item::Default),
            ),
            Kind::Exception => Box::new(
                range_after(&self.exceptions, name)
                    .cloned()
                    .map(Item::Exception),
            ),
        }
    }

    /// Returns the named item of a kind.
    pub(crate) fn item(&self, kind: Kind, name: &str) -> Option<Item> {
        match kind {
            Kind::Team => self.teams.get(name).cloned().map(Item::Team),
            Kind::Key => self.keys.get(name).cloned().map(Item::Key),
            Kind::Budget => self.budgets.get(name).cloned().map(Item::Budget),
            Kind::Rank => self.ranks.get(name).cloned().map(Item::Rank),
            Kind::Model => self.models.get(name).cloned().map(Item::Model),
            Kind::Service => self.services.get(name).cloned().map(Item::Service),
            Kind::Default => self.defaults.get(name).cloned().map(Item::Default),
            Kind::Exception => self.exceptions.get(name).cloned().map(Item::Exception),
        }
    }

    /// Returns the value of a default for a team.
    ///
    /// It is the team's exception if there is one, else the value set by a change,
    /// else the built-in value. With an empty team, exceptions are ignored. The
    /// value of an unknown name is 0.
    pub fn value(&self, name: &str, team: &str) -> u64 {
        if !team.is_empty()
            && !self.exceptions.is_empty()
            && let Some(e) = self.exceptions.get(&exception_name(team, name))
        {
            return e.value;
        }
        match self.defaults.get(name) {
            Some(d) => d.value,
            None => default_spec(name).map_or(0, |d| d.value),
        }
    }

    /// Returns the full update, which replaces any other configuration by this one.
    pub fn to_update(&self) -> ConfigUpdate {
        let mut ops = Vec::new();
        ops.extend(self.ranks.values().cloned().map(Item::Rank).map(set_op));
        ops.extend(self.teams.values().cloned().map(Item::Team).map(set_op));
        ops.extend(self.budgets.values().cloned().map(Item::Budget).map(set_op));
        ops.extend(self.keys.values().cloned().map(Item::Key).map(set_op));
        ops.extend(self.models.values().cloned().map(Item::Model).map(set_op));
        ops.extend(
            self.services
                .values()
                .cloned()
                .map(Item::Service)
                .map(set_op),
        );
        ops.extend(
            self.defaults
                .values()
                .cloned()
                .map(Item::Default)
                .map(set_op),
        );
        ops.extend(
            self.exceptions
                .values()
                .cloned()
                .map(Item::Exception)
                .map(set_op),
        );
        ConfigUpdate {
            from: 0,
            to: self.revision,
            full: true,
            ops,
        }
    }
}

fn is_well_formed(op: &ConfigOp) -> bool {
    match &op.op {
        Some(Op::Set(item)) => item.item.is_some(),
        Some(Op::Delete(target)) => Kind::try_from(target.kind).is_ok(),
        None => false,
    }
}
