//! Configuration leases against serving on during isolation.
//!
//! Drives the shipping [`Ledger`] and [`Config`] through a day of partitions
//! with a renewal every second. Keys are revoked meanwhile. A refusal is false
//! when the key is valid and only the lease was missing; an answer is stale
//! when the key had been revoked before.

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

/// Routers, three in each of the data centres.
const ROUTERS: usize = 9;
const DATA_CENTRES: usize = 3;
/// Keys in force at any time; a revoked key is replaced.
const KEYS: usize = 50;
/// Requests that each router gets in a second.
const REQUESTS_PER_S: usize = 2;
/// Mean time between cuts of one router from control, in seconds.
const HOST_CUT_EVERY_S: f64 = 4.0 * 3600.0;
/// Mean time between cuts of a data centre from the others, in seconds.
const CENTRE_CUT_EVERY_S: f64 = 12.0 * 3600.0;
/// Mean length of a cut, in seconds.
const CUT_MEAN_S: f64 = 600.0;
/// Configuration changes a day, each of which revokes a key.
const CHANGES_PER_DAY: f64 = 500.0;

/// What to run.
#[derive(Clone, Debug)]
pub struct LeaseConfig {
    /// Seed of cuts, changes and requests.
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
    /// Length of the lease in seconds; 0 for serving on without one.
    pub lease_s: u64,
    /// Whether renewals may go through a peer.
    pub relay: bool,
    /// Requests with a valid key.
    pub valid: u64,
    /// Valid requests that were refused for want of a lease.
    pub false_refusals: u64,
    /// Requests with a revoked key that were served.
    pub stale_answers: u64,
    /// Longest time from a revocation to an answer under that key, in seconds.
    pub max_stale_s: u64,
}

/// Results of all policies under the same cuts, changes and requests.
#[derive(Clone, Debug, Serialize)]
pub struct LeaseReport {
    /// Seed of the run.
    pub seed: u64,
    /// Simulated time, in seconds.
    pub seconds: u64,
    /// A row for each policy.
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

/// Runs every policy.
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
        rows.push(Study::new(cfg.seed).run(cfg.seconds, lease_s, relay));
    }
    LeaseReport {
        seed: cfg.seed,
        seconds: cfg.seconds,
        rows,
    }
}

struct Member {
    config: Config,
    lease_until: u64,
    cut_until: u64,
}

struct Study {
    ledger: Ledger,
    routers: Vec<Member>,
    centre_cut_until: [u64; DATA_CENTRES],
    keys: Vec<[u8; 32]>,
    revoked: Vec<([u8; 32], u64)>,
    made: u64,
    changes: u64,
    // One generator a purpose: every policy sees the same cuts, changes and
    // requests.
    cuts: SmallRng,
    edits: SmallRng,
    requests: SmallRng,
}

fn set(item: Item) -> ConfigOp {
    ConfigOp {
        op: Some(Op::Set(ConfigItem { item: Some(item) })),
    }
}

fn hash_of(number: u64) -> [u8; 32] {
    let mut hash = [0; 32];
    hash[..8].copy_from_slice(&number.to_be_bytes());
    hash
}

impl Study {
    fn new(seed: u64) -> Self {
        let mut study = Self {
            ledger: Ledger::new(),
            routers: Vec::new(),
            centre_cut_until: [0; DATA_CENTRES],
            keys: Vec::new(),
            revoked: Vec::new(),
            made: 0,
            changes: 0,
            cuts: SmallRng::seed_from_u64(seed),
            edits: SmallRng::seed_from_u64(seed + 1),
            requests: SmallRng::seed_from_u64(seed + 2),
        };
        let mut ops = vec![
            set(Item::Team(Team {
                name: "team".into(),
                default_rank: "normal".into(),
                weight: 1,
                disabled: false,
            })),
            set(Item::Budget(Budget {
                name: "budget".into(),
                team: "team".into(),
            })),
        ];
        for _ in 0..KEYS {
            ops.push(study.new_key());
        }
        study.change(ops);
        for _ in 0..ROUTERS {
            study.routers.push(Member {
                config: Config::new(),
                lease_until: 0,
                cut_until: 0,
            });
        }
        study
    }

    fn new_key(&mut self) -> ConfigOp {
        self.made += 1;
        let hash = hash_of(self.made);
        self.keys.push(hash);
        set(Item::Key(Key {
            name: format!("key-{}", self.made),
            team: "team".into(),
            budget: "budget".into(),
            hash: hash.to_vec(),
            role: String::new(),
        }))
    }

    fn change(&mut self, ops: Vec<ConfigOp>) {
        self.changes += 1;
        let reply = self.ledger.apply(&Command {
            at_ms: self.changes,
            body: Some(Body::ConfigChange(ConfigChange {
                change_id: format!("change-{}", self.changes),
                base_revision: self.ledger.config().revision(),
                author: "study".into(),
                reason: "key rotation".into(),
                ops,
                dry_run: false,
            })),
        });
        assert!(
            matches!(reply.reply, Some(Reply::Accepted(_))),
            "the study's changes are valid: {reply:?}"
        );
    }

    fn revoke(&mut self, now: u64) {
        let hash = self.keys.swap_remove(self.edits.random_range(0..KEYS));
        let name = self
            .ledger
            .config()
            .key_by_hash(&hash)
            .map(|k| k.name.clone())
            .unwrap_or_default();
        let add = self.new_key();
        let delete = ConfigOp {
            op: Some(Op::Delete(ItemRef {
                kind: Kind::Key.into(),
                name,
            })),
        };
        self.change(vec![delete, add]);
        self.revoked.push((hash, now));
    }

    fn cut(&mut self, now: u64) {
        for i in 0..ROUTERS {
            if self.cuts.random_bool(1.0 / HOST_CUT_EVERY_S) {
                self.routers[i].cut_until = now + cut_length(&mut self.cuts);
            }
        }
        for until in &mut self.centre_cut_until {
            if self.cuts.random_bool(1.0 / CENTRE_CUT_EVERY_S) {
                *until = now + cut_length(&mut self.cuts);
            }
        }
    }

    // The control majority is outside a cut data centre. A peer in the same
    // data centre relays for a router that alone lost control.
    fn reaches(&self, router: usize, now: u64, relay: bool) -> bool {
        let centre = router % DATA_CENTRES;
        if self.centre_cut_until[centre] > now {
            return false;
        }
        self.routers[router].cut_until <= now
            || relay && self.routers.iter().any(|m| m.cut_until <= now)
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
            self.cut(now);
            if self.edits.random_bool(CHANGES_PER_DAY / 86_400.0) {
                self.revoke(now);
            }
            for i in 0..ROUTERS {
                if self.reaches(i, now, relay) {
                    let member = &mut self.routers[i];
                    if let Some(update) = self.ledger.config_since(member.config.revision()) {
                        let applied = member.config.apply(&update);
                        assert_eq!(applied.ok(), Some(true), "an update applies");
                    }
                    member.lease_until = now + lease_s;
                }
                for _ in 0..REQUESTS_PER_S {
                    self.request(i, now, &mut row);
                }
            }
        }
        row
    }

    fn request(&mut self, router: usize, now: u64, row: &mut LeaseRow) {
        // One request in twenty comes with a key that was revoked lately.
        let old = self.requests.random_ratio(1, 20);
        let pick = self.requests.random_range(0..KEYS);
        let recent = self.revoked.len().saturating_sub(1 + pick % 5);
        let (hash, revoked_at) = match self.revoked.get(recent) {
            Some((hash, at)) if old => (*hash, Some(*at)),
            _ => (self.keys[pick], None),
        };
        row.valid += u64::from(revoked_at.is_none());
        let member = &self.routers[router];
        if row.lease_s > 0 && member.lease_until <= now {
            row.false_refusals += u64::from(revoked_at.is_none());
            return;
        }
        match (member.config.key_by_hash(&hash).is_some(), revoked_at) {
            (true, Some(at)) => {
                row.stale_answers += 1;
                row.max_stale_s = row.max_stale_s.max(now - at);
            }
            // A router that serves on doesn't know keys made meanwhile.
            (false, None) => row.false_refusals += 1,
            _ => {}
        }
    }
}

fn cut_length(rng: &mut SmallRng) -> u64 {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    (-uniform.ln() * CUT_MEAN_S).ceil() as u64
}
