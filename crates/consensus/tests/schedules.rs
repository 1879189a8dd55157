//! Random fault schedules against the production node and store.
//!
//! `ANVILLOFT_SCHEDULES` sets the number of schedules and `ANVILLOFT_SEED` the
//! first seed. A failure prints the seed that reproduces it.

#![expect(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "helpers of tests fail like tests"
)]

mod cluster;

use std::panic;
use std::panic::AssertUnwindSafe;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use anvilloft_consensus::MemberChange;
use cluster::Cluster;
use cluster::Network;
use cluster::ms;
use rand::Rng;

/// Replacement of a member that lost its disk.
struct Replacement {
    old: u64,
    new: u64,
    remove_first: bool,
}

impl Replacement {
    /// Proposes the next membership change at the leader. Returns whether the
    /// replacement is complete and committed.
    fn advance(&self, cluster: &mut Cluster) -> bool {
        let Some(leader) = cluster.leader() else {
            return false;
        };
        let Some(node) = cluster.node(leader) else {
            return false;
        };
        let members = node.membership().clone();
        let has_old = members.get(self.old).is_some();
        let new = members.get(self.new).map(|m| m.voter);
        let change = match (new, has_old) {
            (None, _) => MemberChange::AddLearner {
                id: self.new,
                address: String::new(),
            },
            (Some(_), true) if self.remove_first => MemberChange::Remove(self.old),
            (Some(false), _) => MemberChange::Promote(self.new),
            (Some(true), true) => MemberChange::Remove(self.old),
            (Some(true), false) => {
                return node.is_leader_ready() && is_fully_committed(cluster, leader);
            }
        };
        cluster.change(leader, change);
        false
    }
}

/// Returns whether every entry that the leader appended is committed.
fn is_fully_committed(cluster: &Cluster, leader: u64) -> bool {
    cluster
        .node(leader)
        .is_some_and(|n| n.commit_index() == n.last_index())
}

/// Totals over all schedules, printed to show that they exercise the cluster.
#[derive(Default)]
struct Totals {
    acked: AtomicU64,
    reads: AtomicU64,
    replaced: AtomicU64,
    crashes: AtomicU64,
}

fn run_schedule(seed: u64, totals: &Totals) {
    let size = if seed % 4 == 3 { 5 } else { 3 };
    let mut cluster = Cluster::new(seed, size);
    let mut next_id = size + 1;
    let mut replacement: Option<Replacement> = None;
    let lossy = cluster.rng.random_bool(0.5);
    cluster.sync_ms = (0, *pick(&mut cluster, &[0, 2, 40]));
    cluster.compact_every = *pick(&mut cluster, &[8, 24, 1_000]);
    let end = cluster.now + ms(cluster.rng.random_range(4_000..16_000));
    while cluster.now < end {
        let ids: Vec<u64> = cluster.hosts.keys().copied().collect();
        let id = ids[cluster.rng.random_range(0..ids.len())];
        let client = match cluster.leader() {
            Some(leader) if cluster.rng.random_bool(0.8) => leader,
            _ => id,
        };
        match cluster.rng.random_range(0..1_000) {
            0..=400 => {
                for _ in 0..cluster.rng.random_range(1..5) {
                    cluster.propose(client);
                }
            }
            401..=600 => {
                // Every member is asked: a deposed leader must not confirm a
                // read.
                for id in &ids {
                    cluster.read(*id);
                }
            }
            601..=620 if cluster.node(id).is_none() => cluster.start(id),
            601..=610 => {
                // The power fails during one of the next writes.
                let after = cluster.rng.random_range(0..12);
                cluster.hosts[&id].disk.fail_power_after(after);
                totals.crashes.fetch_add(1, Ordering::Relaxed);
            }
            611..=616 => {
                cluster.crash(id);
                totals.crashes.fetch_add(1, Ordering::Relaxed);
            }
            617..=620 => cluster.hosts[&id].disk.fail_syncs(1),
            621..=626 => cluster.isolate(id, true),
            627..=636 => {
                let other = ids[cluster.rng.random_range(0..ids.len())];
                cluster.net.cut_links.insert((id, other));
            }
            637..=680 => cluster.net.cut_links.clear(),
            681..=690 if lossy => {
                cluster.net.loss = cluster.rng.random_range(0.0..0.3);
                cluster.net.duplicate = cluster.rng.random_range(0.0..0.3);
                cluster.net.delay_ms = (0, cluster.rng.random_range(1..400));
            }
            691..=700 => {
                let cut_links = std::mem::take(&mut cluster.net.cut_links);
                cluster.net = Network::healthy();
                cluster.net.cut_links = cut_links;
            }
            701..=710 => {
                let time = ms(cluster.rng.random_range(1..2_000));
                cluster.hosts.get_mut(&id).unwrap().stalled_until = cluster.now + time;
            }
            711..=740 if replacement.is_none() => {
                // Only one disk is lost at a time, and the next one only after
                // the replacement: losing a majority of the disks loses data.
                cluster.lose_disk(id);
                cluster.add_host(next_id);
                cluster.start(next_id);
                replacement = Some(Replacement {
                    old: id,
                    new: next_id,
                    remove_first: cluster.rng.random_bool(0.5),
                });
                next_id += 1;
            }
            _ => {}
        }
        if replacement
            .as_ref()
            .is_some_and(|r| r.advance(&mut cluster))
        {
            replacement = None;
            totals.replaced.fetch_add(1, Ordering::Relaxed);
        }
        let step_ms = cluster.rng.random_range(0..60);
        cluster.run_for(ms(step_ms));
    }
    heal_and_verify(&mut cluster, &mut replacement);
    totals
        .acked
        .fetch_add(cluster.acked_entries, Ordering::Relaxed);
    totals
        .reads
        .fetch_add(cluster.reads_done, Ordering::Relaxed);
}

/// Ends all faults and verifies that the members agree, keep every acknowledged
/// entry and accept new ones.
fn heal_and_verify(cluster: &mut Cluster, replacement: &mut Option<Replacement>) {
    cluster.net = Network::healthy();
    cluster.sync_ms = (0, 2);
    let ids: Vec<u64> = cluster.hosts.keys().copied().collect();
    for id in &ids {
        let host = cluster.hosts.get_mut(id).unwrap();
        host.stalled_until = Duration::ZERO;
        host.disk.fail_syncs(0);
        cluster.crash(*id);
        cluster.start(*id);
    }
    let deadline = cluster.now + ms(30_000);
    while let Some(r) = replacement {
        if r.advance(cluster) {
            *replacement = None;
        }
        cluster.run_for(ms(50));
        assert!(cluster.now < deadline, "the replacement did not finish");
    }
    let before = cluster.acked_index;
    let target = loop {
        if let Some(leader) = cluster.leader() {
            cluster.propose(leader);
        }
        cluster.run_for(ms(100));
        assert!(
            cluster.now < deadline,
            "no entry was committed after healing"
        );
        if cluster.acked_index > before {
            break cluster.acked_index;
        }
    };
    let caught_up = cluster.wait_until(ms(10_000), |c| {
        ids.iter()
            .all(|id| c.state_machine(*id).is_some_and(|m| m.index >= target))
    });
    assert!(caught_up, "a member did not catch up");
}

fn pick<'a, T>(cluster: &mut Cluster, from: &'a [T]) -> &'a T {
    &from[cluster.rng.random_range(0..from.len())]
}

fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |v| v.parse().expect("a number"))
}

/// Guards all safety properties of the consensus and the store together: at most
/// one leader per term, committed entries that never change, no stale reads, no
/// loss of acknowledged entries, and progress after the faults end.
#[test]
fn random_schedules_keep_the_invariants() {
    let first = env_or("ANVILLOFT_SEED", 1);
    let count = env_or("ANVILLOFT_SCHEDULES", 300);
    let next = AtomicU64::new(first);
    let totals = Totals::default();
    let failures = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= first + count || !failures.lock().unwrap().is_empty() {
                        break;
                    }
                    let run = AssertUnwindSafe(|| run_schedule(seed, &totals));
                    if panic::catch_unwind(run).is_err() {
                        failures.lock().unwrap().push(seed);
                    }
                }
            });
        }
    });
    println!(
        "{count} schedules from seed {first}: {:?} entries acknowledged, {:?} reads, \
         {:?} crashes, {:?} members replaced",
        totals.acked, totals.reads, totals.crashes, totals.replaced,
    );
    let failures = failures.into_inner().unwrap();
    assert!(
        failures.is_empty(),
        "failed with seeds {failures:?}; replay one with ANVILLOFT_SEED=<seed> ANVILLOFT_SCHEDULES=1",
    );
}
