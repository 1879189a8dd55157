//! Configuration leases compared with serving without a lease during network
//! partitions.
//!
//! Runs the production [`Ledger`] and [`Config`] through a simulated day of
//! partitions, with a lease renewal every second, while keys are revoked. A
//! refusal is false when the key is valid and only the lease is missing. An
//! answer is stale when the key was revoked before.

use std::fmt;

use anvilloft_ledger::Config;
use anvilloft_ledger::Ledger;
use anvilloft_wire::Command;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::ConfigChange;
use anvilloft_wire::command::Reply;
use anvilloft_wire::config::Budget;
use anvilloft_wire::config::ConfigItem;
use anvilloft_wire::config::ConfigOp;
use anvilloft_wire::config::Item;
use anvilloft_wire::config::ItemRef;
use anvilloft_wire::config::Key;
use anvilloft_wire::config::Kind;
use anvilloft_wire::config::Op;
use anvilloft_wire::config::Team;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

/// Number of routers, three in each data centre.
const ROUTERS: usize = 9;
const DATA_CENTRES: usize = 3;
/// Number of valid keys at any time; a revoked key is replaced.
const ACTIVE_KEYS: usize = 50;
/// Requests per second to each router.
const REQUESTS_PER_S: usize = 2;
/// Mean time between partitions of one router from control, in seconds.
const MEAN_ROUTER_PARTITION_INTERVAL_S: f64 = 4.0 * 3600.0;
/// Mean time between partitions of a data centre from the others, in seconds.
const MEAN_DATA_CENTRE_PARTITION_INTERVAL_S: f64 = 12.0 * 3600.0;
/// Mean length of a partition, in seconds.
const MEAN_PARTITION_S: f64 = 600.0;
/// Configuration changes per day, each of which revokes a key.
const CHANGES_PER_DAY: f64 = 500.0;

/// Parameters of [`run`].
#[derive(Clone, Debug)]
pub struct LeaseConfig {
    /// Seed of partitions, changes and requests.
    pub seed: u64,
    /// Simulated time, in seconds.
    pub seconds: u64,
}

impl Default for LeaseConfig {
    fn default() -> Self {
        Self {
            seed: 1,
            seconds: 86_400,
        }
    }
}

/// Result of one policy.
#[derive(Clone, Debug, Serialize)]
pub struct LeaseRow {
    /// Length of the lease, in seconds; 0 for serving without a lease.
    pub lease_s: u64,
    /// Whether a router may renew its lease through a peer.
    pub relay: bool,
    /// Requests with a valid key.
    pub valid: u64,
    /// Valid requests that were refused for lack of a lease or of a new key.
    pub false_refusals: u64,
    /// Requests with a revoked key that were served.
    pub stale_answers: u64,
    /// Longest time from the revocation of a key to an answer under it, in
    /// seconds.
    pub max_stale_s: u64,
}

/// Results of all policies under the same partitions, changes and requests.
#[derive(Clone, Debug, Serialize)]
pub struct LeaseReport {
    /// Seed of the run.
    pub seed: u64,
    /// Simulated time, in seconds.
    pub seconds: u64,
    /// One row per policy.
    pub rows: Vec<LeaseRow>,
}

impl fmt::Display for LeaseReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}, {} s simulated", self.seed, self.seconds)?;
        writeln!(
            f,
            "{:>8} {:>6} {:>9} {:>15} {:>9} {:>14} {:>12}",
            "lease s", "relay", "valid", "false refusals", "share", "stale answers", "max stale s"
        )?;
        for r in &self.rows {
            let lease = match r.lease_s {
                0 => "none".to_string(),
                s => s.to_string(),
            };
            writeln!(
                f,
                "{:>8} {:>6} {:>9} {:>15} {:>8.3}% {:>14} {:>12}",
                lease,
                r.relay,
                r.valid,
                r.false_refusals,
                100.0 * r.false_refusals as f64 / r.valid.max(1) as f64,
                r.stale_answers,
                r.max_stale_s
            )?;
        }
        Ok(())
    }
}

/// Simulates every policy.
pub fn run(cfg: &LeaseConfig) -> LeaseReport {
    let mut rows = Vec::new();
    for (lease_s, relay) in [
        (0, false),
        (0, true),
        (3, false),
        (3, true),
        (10, true),
        (60, true),
        (600, true),
    ] {
        rows.push(Simulation::new(cfg.seed).run(cfg.seconds, lease_s, relay));
    }
    LeaseReport {
        seed: cfg.seed,
        seconds: cfg.seconds,
        rows,
    }
}

struct Router {
    config: Config,
    lease_expires: u64,
    partitioned_until: u64,
}

struct Simulation {
    ledger: Ledger,
    routers: Vec<Router>,
    data_centre_partitioned_until: [u64; DATA_CENTRES],
    keys: Vec<[u8; 32]>,
    // Hashes of revoked keys with the time of revocation, in seconds.
    revoked: Vec<([u8; 32], u64)>,
    keys_created: u64,
    change_count: u64,
    // One generator per purpose, so that every policy sees the same partitions,
    // changes and requests.
    partition_rng: SmallRng,
    change_rng: SmallRng,
    request_rng: SmallRng,
}

fn set_item(item: Item) -> ConfigOp {
    ConfigOp {
        op: Some(Op::Set(ConfigItem { item: Some(item) })),
    }
}

fn key_hash(key_number: u64) -> [u8; 32] {
    let mut hash = [0; 32];
    hash[..8].copy_from_slice(&key_number.to_be_bytes());
    hash
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            ledger: Ledger::new(),
            routers: Vec::new(),
            data_centre_partitioned_until: [0; DATA_CENTRES],
            keys: Vec::new(),
            revoked: Vec::new(),
            keys_created: 0,
            change_count: 0,
            partition_rng: SmallRng::seed_from_u64(seed),
            change_rng: SmallRng::seed_from_u64(seed + 1),
            request_rng: SmallRng::seed_from_u64(seed + 2),
        };
        let mut ops = vec![
            set_item(Item::Team(Team {
                name: "team".into(),
                default_rank: "normal".into(),
                weight: 1,
                disabled: false,
            })),
            set_item(Item::Budget(Budget {
                name: "budget".into(),
                team: "team".into(),
            })),
        ];
        for _ in 0..ACTIVE_KEYS {
            ops.push(simulation.new_key());
        }
        simulation.apply_change(ops);
        for _ in 0..ROUTERS {
            simulation.routers.push(Router {
                config: Config::new(),
                lease_expires: 0,
                partitioned_until: 0,
            });
        }
        simulation
    }

    fn new_key(&mut self) -> ConfigOp {
        self.keys_created += 1;
        let hash = key_hash(self.keys_created);
        self.keys.push(hash);
        set_item(Item::Key(Key {
            name: format!("key-{}", self.keys_created),
            team: "team".into(),
            budget: "budget".into(),
            hash: hash.to_vec(),
            role: String::new(),
        }))
    }

    fn apply_change(&mut self, ops: Vec<ConfigOp>) {
        self.change_count += 1;
        let reply = self.ledger.apply(&Command {
            at_ms: self.change_count,
            body: Some(Body::ConfigChange(ConfigChange {
                change_id: format!("change-{}", self.change_count),
                base_revision: self.ledger.config().revision(),
                author: "study".into(),
                reason: "key rotation".into(),
                ops,
                dry_run: false,
            })),
        });
        assert!(
            matches!(reply.reply, Some(Reply::Accepted(_))),
            "a change of the simulation must be accepted: {reply:?}"
        );
    }

    fn rotate_key(&mut self, now: u64) {
        let hash = self
            .keys
            .swap_remove(self.change_rng.random_range(0..ACTIVE_KEYS));
        let name = self
            .ledger
            .config()
            .key_by_hash(&hash)
            .map(|k| k.name.clone())
            .unwrap_or_default();
        let create = self.new_key();
        let delete = ConfigOp {
            op: Some(Op::Delete(ItemRef {
                kind: Kind::Key.into(),
                name,
            })),
        };
        self.apply_change(vec![delete, create]);
        self.revoked.push((hash, now));
    }

    fn start_partitions(&mut self, now: u64) {
        for i in 0..ROUTERS {
            if self
                .partition_rng
                .random_bool(1.0 / MEAN_ROUTER_PARTITION_INTERVAL_S)
            {
                self.routers[i].partitioned_until =
                    now + partition_length_s(&mut self.partition_rng);
            }
        }
        for until in &mut self.data_centre_partitioned_until {
            if self
                .partition_rng
                .random_bool(1.0 / MEAN_DATA_CENTRE_PARTITION_INTERVAL_S)
            {
                *until = now + partition_length_s(&mut self.partition_rng);
            }
        }
    }

    // Returns whether the router can renew its lease now. The control quorum is
    // outside a partitioned data centre. With `relay`, a router that alone is
    // cut off from control renews through a peer.
    fn can_renew(&self, router: usize, now: u64, relay: bool) -> bool {
        let data_centre = router % DATA_CENTRES;
        if self.data_centre_partitioned_until[data_centre] > now {
            return false;
        }
        self.routers[router].partitioned_until <= now
            || relay && self.routers.iter().any(|r| r.partitioned_until <= now)
    }

    fn run(mut self, seconds: u64, lease_s: u64, relay: bool) -> LeaseRow {
        let mut row = LeaseRow {
            lease_s,
            relay,
            valid: 0,
            false_refusals: 0,
            stale_answers: 0,
            max_stale_s: 0,
        };
        for now in 0..seconds {
            self.start_partitions(now);
            if self.change_rng.random_bool(CHANGES_PER_DAY / 86_400.0) {
                self.rotate_key(now);
            }
            for i in 0..ROUTERS {
                if self.can_renew(i, now, relay) {
                    let state = &mut self.routers[i];
                    if let Some(update) = self.ledger.config_since(state.config.revision()) {
                        let applied = state.config.apply(&update);
                        assert_eq!(
                            applied.ok(),
                            Some(true),
                            "a configuration update must apply"
                        );
                    }
                    state.lease_expires = now + lease_s;
                }
                for _ in 0..REQUESTS_PER_S {
                    self.simulate_request(i, now, &mut row);
                }
            }
        }
        row
    }

    fn simulate_request(&mut self, router: usize, now: u64, row: &mut LeaseRow) {
        // One request in twenty carries one of the last five revoked keys.
        let use_revoked = self.request_rng.random_ratio(1, 20);
        let index = self.request_rng.random_range(0..ACTIVE_KEYS);
        let revoked_index = self.revoked.len().saturating_sub(1 + index % 5);
        let (hash, revoked_at) = match self.revoked.get(revoked_index) {
            Some((hash, at)) if use_revoked => (*hash, Some(*at)),
            _ => (self.keys[index], None),
        };
        row.valid += u64::from(revoked_at.is_none());
        let state = &self.routers[router];
        if row.lease_s > 0 && state.lease_expires <= now {
            row.false_refusals += u64::from(revoked_at.is_none());
            return;
        }
        match (state.config.key_by_hash(&hash).is_some(), revoked_at) {
            (true, Some(at)) => {
                row.stale_answers += 1;
                row.max_stale_s = row.max_stale_s.max(now - at);
            }
            // A router that serves without a lease doesn't know the keys
            // created during the partition.
            (false, None) => row.false_refusals += 1,
            _ => {}
        }
    }
}

fn partition_length_s(rng: &mut SmallRng) -> u64 {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    (-uniform.ln() * MEAN_PARTITION_S).ceil() as u64
}
