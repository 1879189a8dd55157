//! Guards against loss of synced data, and against going on without it.

use std::sync::Arc;

use anvilloft_consensus::Effects;
use anvilloft_consensus::Entry;
use anvilloft_consensus::HardState;
use anvilloft_consensus::RestoredState;
use anvilloft_consensus::Snapshot;
use anvilloft_storage::Disk;
use anvilloft_storage::MemDisk;
use anvilloft_storage::RealDisk;
use anvilloft_storage::StorageError;
use anvilloft_storage::Store;
use anvilloft_storage::load_or_create_member_id;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const SEGMENT: u64 = 300;

fn entries(from: u64, to: u64, term: u64) -> Effects {
    Effects {
        entries: (from..=to)
            .map(|index| Entry {
                index,
                term,
                kind: 0,
                data: vec![index as u8; (index % 40) as usize],
            })
            .collect(),
        ..Effects::default()
    }
}

fn snapshot(index: u64, reset: bool) -> Effects {
    Effects {
        snapshot: Some(Arc::new(Snapshot {
            index,
            term: 1,
            state: vec![9; 50],
            ..Snapshot::default()
        })),
        reset,
        ..Effects::default()
    }
}

fn open(disk: &MemDisk) -> Result<(Store, RestoredState), StorageError> {
    Store::open_with_segment_bytes(Box::new(disk.clone()), 0, SEGMENT)
}

fn indexes(restored: &RestoredState) -> Vec<u64> {
    restored.entries.iter().map(|e| e.index).collect()
}

/// Guards against loss of what `save` acknowledged, whatever the point at
/// which the power fails, over many random histories.
#[test]
fn what_was_saved_survives_power_failures() {
    for seed in 0..300 {
        let mut rng = StdRng::seed_from_u64(seed);
        let disk = MemDisk::new();
        let (mut store, _) = open(&disk).unwrap();
        let mut log: Vec<(u64, u64)> = Vec::new();
        let mut base = 0;
        let mut hard = HardState::default();
        for term in 1..60 {
            let last = base + log.len() as u64;
            let from = rng.random_range(last.saturating_sub(3).max(base) + 1..=last + 1);
            let to = from + rng.random_range(0..4);
            let mut fx = entries(from, to, term);
            let mut after = log.clone();
            after.truncate((from - base - 1) as usize);
            after.extend((from..=to).map(|i| (i, term)));
            let mut base_after = base;
            if rng.random_bool(0.2) {
                base_after = rng.random_range(base..=to);
                let reset = rng.random_bool(0.3);
                fx.snapshot = snapshot(base_after, reset).snapshot;
                fx.reset = reset;
                if reset {
                    // A snapshot that replaces the log comes without entries.
                    fx.entries.clear();
                    after.clear();
                } else {
                    // A snapshot stands for entries that were saved before.
                    base_after = base_after.min(last);
                    fx.snapshot = snapshot(base_after, false).snapshot;
                    after.retain(|(i, _)| *i > base_after);
                    if base_after >= from {
                        continue;
                    }
                }
            }
            let voted = HardState {
                term,
                vote: 1,
                ..HardState::default()
            };
            if rng.random_bool(0.5) {
                fx.hard_state = Some(voted);
            }
            let fails = rng.random_bool(0.15);
            if fails {
                disk.fail_power_after(rng.random_range(0..8));
            }
            if let Some(s) = &fx.snapshot
                && rng.random_bool(0.5)
            {
                // Written ahead in parts, all of them or only the first.
                while let Ok(false) = store.stage_snapshot(s, 40) {
                    if rng.random_bool(0.2) {
                        break;
                    }
                }
            }
            let saved = store.save(&fx);
            if saved.is_ok() {
                (log, base) = (after, base_after);
                hard = fx.hard_state.unwrap_or(hard);
            }
            if saved.is_err() || fails {
                disk.crash(&mut rng);
                let (reopened, restored) = open(&disk).unwrap();
                store = reopened;
                let got: Vec<(u64, u64)> =
                    restored.entries.iter().map(|e| (e.index, e.term)).collect();
                let got_base = restored.snapshot.map_or(0, |s| s.index);
                if saved.is_ok() {
                    assert_eq!((&got, got_base), (&log, base), "seed {seed}");
                    assert_eq!(restored.hard_state, hard, "seed {seed}");
                }
                // A failed save may have written any part of its batch.
                (log, base, hard) = (got, got_base, restored.hard_state);
            }
        }
    }
}

/// Guards against a member that can't restart after a torn write.
#[rstest]
#[case::short(3)]
#[case::header(8)]
#[case::most(30)]
fn a_torn_tail_is_cut(#[case] extra: usize) {
    let mut disk = MemDisk::new();
    let (mut store, _) = open(&disk).unwrap();
    store.save(&entries(1, 2, 1)).unwrap();
    drop(store);
    disk.append("0-log-0000000000", &vec![0xee; extra]).unwrap();
    let (mut store, restored) = open(&disk).unwrap();
    assert_eq!(indexes(&restored), [1, 2]);
    store.save(&entries(3, 3, 1)).unwrap();
    assert_eq!(indexes(&open(&disk).unwrap().1), [1, 2, 3]);
}

/// Guards against silent loss of synced entries: damage before synced data
/// must stop the member and leave the file as it is.
#[rstest]
#[case::length(0)]
#[case::checksum(5)]
#[case::offset(9)]
#[case::entry(27)]
fn damage_before_synced_data_is_an_error(#[case] at: usize) {
    let disk = MemDisk::new();
    let (mut store, _) = open(&disk).unwrap();
    store.save(&entries(1, 2, 1)).unwrap();
    store.save(&entries(3, 3, 1)).unwrap();
    drop(store);
    disk.corrupt("0-log-0000000000", at);
    let before = disk.read("0-log-0000000000").unwrap();
    let err = open(&disk).err();
    assert!(matches!(err, Some(StorageError::Corrupt(_, 0))), "{err:?}");
    assert_eq!(disk.read("0-log-0000000000").unwrap(), before);
}

/// Guards against damage in a segment that isn't the last, and in the files
/// that are replaced as a whole: neither may be repaired by leaving data out.
#[rstest]
#[case::old_segment("0-log-0000000000", 9)]
#[case::hard_state("0-hard", 9)]
#[case::snapshot_head("0-snapshot", 9)]
#[case::snapshot_state("0-snapshot", 50)]
fn damage_elsewhere_is_an_error(#[case] file: &str, #[case] at: usize) {
    let disk = MemDisk::new();
    let (mut store, _) = open(&disk).unwrap();
    store.save(&entries(1, 20, 1)).unwrap();
    store.save(&entries(21, 21, 1)).unwrap();
    let mut fx = snapshot(1, false);
    fx.hard_state = Some(HardState {
        term: 300,
        ..HardState::default()
    });
    store.save(&fx).unwrap();
    drop(store);
    disk.corrupt(file, at);
    let before = disk.read(file).unwrap();
    assert!(matches!(open(&disk).err(), Some(StorageError::Corrupt(..))));
    assert_eq!(disk.read(file).unwrap(), before);
}

/// Guards against a second try after a failed sync, which some systems report
/// as success although the data is gone.
#[test]
fn a_failed_sync_stops_the_store() {
    let disk = MemDisk::new();
    let (mut store, _) = open(&disk).unwrap();
    disk.fail_syncs(1);
    assert!(matches!(
        store.save(&entries(1, 1, 1)),
        Err(StorageError::Io(_))
    ));
    assert!(matches!(
        store.save(&entries(1, 1, 1)),
        Err(StorageError::Failed)
    ));
}

/// Guards against entries that come back after a leader's snapshot replaced
/// the log, and against segments that are never removed.
#[test]
fn snapshots_replace_segments() {
    let disk = MemDisk::new();
    let (mut store, _) = open(&disk).unwrap();
    for i in 1..=40 {
        store.save(&entries(i, i, 1)).unwrap();
    }
    let before = disk.total_bytes();
    store.save(&snapshot(38, false)).unwrap();
    assert!(disk.total_bytes() < before / 2, "old segments are removed");
    assert_eq!(indexes(&open(&disk).unwrap().1), [39, 40]);
    store.save(&snapshot(30, true)).unwrap();
    let (_, restored) = open(&disk).unwrap();
    assert!(restored.entries.is_empty());
    assert_eq!(restored.snapshot.map(|s| s.index), Some(30));
}

/// Guards against a real folder that behaves unlike the disk in memory, a
/// changed identity, and two processes with one identity.
#[test]
fn a_real_folder_keeps_everything() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("data");
    for round in 0..3 {
        let mut disk = RealDisk::open(&path).unwrap();
        assert!(RealDisk::open(&path).is_err(), "the folder is locked");
        assert_eq!(load_or_create_member_id(&mut disk, 77 + round).unwrap(), 77);
        let (mut store, restored) =
            Store::open_with_segment_bytes(Box::new(disk), 0, SEGMENT).unwrap();
        assert_eq!(restored.hard_state.term, round);
        let from = round * 30;
        assert_eq!(restored.entries.len() as u64, from);
        let mut fx = entries(from + 1, from + 30, 1);
        fx.hard_state = Some(HardState {
            term: round + 1,
            ..HardState::default()
        });
        store.save(&fx).unwrap();
    }
}
