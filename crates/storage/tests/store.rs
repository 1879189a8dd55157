//! Guards against loss of synced data, and against a store that keeps running after
//! such a loss.

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

const SEGMENT_BYTES: u64 = 300;

fn effects_with_entries(from: u64, to: u64, term: u64) -> Effects {
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

fn effects_with_snapshot(index: u64, reset: bool) -> Effects {
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
    Store::open_with_segment_bytes(Box::new(disk.clone()), 0, SEGMENT_BYTES)
}

fn entry_indexes(restored: &RestoredState) -> Vec<u64> {
    restored.entries.iter().map(|e| e.index).collect()
}

/// Guards against loss of data that `save` acknowledged, with power failures at
/// random points of many random histories, and against a store that stops when its
/// disk is full for a while. `full_share` is the share of saves with a full disk.
#[rstest]
#[case::never_full(0.0)]
#[case::sometimes_full(0.3)]
fn saved_data_survives_power_failures(#[case] full_share: f64) {
    for seed in 0..300 {
        let mut rng = StdRng::seed_from_u64(seed);
        let disk = MemDisk::new();
        let (mut store, _) = open(&disk).unwrap();
        let mut log: Vec<(u64, u64)> = Vec::new();
        let mut base = 0;
        let mut hard_state = HardState::default();
        for term in 1..60 {
            let last = base + log.len() as u64;
            let from = rng.random_range(last.saturating_sub(3).max(base) + 1..=last + 1);
            let to = from + rng.random_range(0..4);
            let mut fx = effects_with_entries(from, to, term);
            let mut log_after = log.clone();
            log_after.truncate((from - base - 1) as usize);
            log_after.extend((from..=to).map(|i| (i, term)));
            let mut base_after = base;
            if rng.random_bool(0.2) {
                base_after = rng.random_range(base..=to);
                let reset = rng.random_bool(0.3);
                fx.snapshot = effects_with_snapshot(base_after, reset).snapshot;
                fx.reset = reset;
                if reset {
                    // A snapshot that replaces the log has no entries with it.
                    fx.entries.clear();
                    log_after.clear();
                } else {
                    // A snapshot covers only entries that were saved before.
                    base_after = base_after.min(last);
                    fx.snapshot = effects_with_snapshot(base_after, false).snapshot;
                    log_after.retain(|(i, _)| *i > base_after);
                    if base_after >= from {
                        continue;
                    }
                }
            }
            let new_hard_state = HardState {
                term,
                vote: 1,
                ..HardState::default()
            };
            if rng.random_bool(0.5) {
                fx.hard_state = Some(new_hard_state);
            }
            let inject_failure = rng.random_bool(0.15);
            if inject_failure {
                disk.fail_power_after(rng.random_range(0..8));
            }
            if let Some(s) = &fx.snapshot
                && rng.random_bool(0.5)
            {
                // Stages all parts of the snapshot, or only the first ones.
                while let Ok(false) = store.stage_snapshot(s, 40) {
                    if rng.random_bool(0.2) {
                        break;
                    }
                }
            }
            let is_full = rng.random_bool(full_share);
            let mut save_result = Err(StorageError::Failed);
            let mut tries = if is_full { rng.random_range(1..4) } else { 0 };
            while tries > 0 {
                disk.set_room(Some(rng.random_range(0..200)));
                disk.fill_after(rng.random_bool(0.5).then(|| rng.random_range(0..6)));
                save_result = store.save(&fx);
                let waits = matches!(save_result, Ok(()) | Err(StorageError::Full(_)));
                assert!(waits || inject_failure, "seed {seed}: {save_result:?}");
                tries = match save_result {
                    Err(StorageError::Full(_)) => tries - 1,
                    _ => 0,
                };
            }
            disk.set_room(None);
            disk.fill_after(None);
            // A member may also be stopped while its disk is full.
            let is_waiting = matches!(save_result, Err(StorageError::Full(_)));
            if !is_full || (is_waiting && rng.random_bool(0.7)) {
                save_result = store.save(&fx);
                assert!(
                    save_result.is_ok() || inject_failure,
                    "seed {seed}: {save_result:?}"
                );
            }
            if save_result.is_ok() {
                (log, base) = (log_after, base_after);
                hard_state = fx.hard_state.unwrap_or(hard_state);
            }
            if save_result.is_err() || inject_failure {
                disk.crash(&mut rng);
                let (reopened, restored) = open(&disk).unwrap();
                store = reopened;
                let restored_log: Vec<(u64, u64)> =
                    restored.entries.iter().map(|e| (e.index, e.term)).collect();
                let restored_base = restored.snapshot.map_or(0, |s| s.index);
                if save_result.is_ok() {
                    assert_eq!((&restored_log, restored_base), (&log, base), "seed {seed}");
                    assert_eq!(restored.hard_state, hard_state, "seed {seed}");
                }
                // A failed save may have written any part of its effects.
                (log, base, hard_state) = (restored_log, restored_base, restored.hard_state);
            }
        }
    }
}

/// Guards against a member that fails to restart after a torn write.
#[rstest]
#[case::short(3)]
#[case::header(8)]
#[case::record_part(30)]
fn a_torn_tail_is_truncated(#[case] extra: usize) {
    let mut disk = MemDisk::new();
    let (mut store, _) = open(&disk).unwrap();
    store.save(&effects_with_entries(1, 2, 1)).unwrap();
    drop(store);
    disk.append("0-log-0000000000", &vec![0xee; extra]).unwrap();
    let (mut store, restored) = open(&disk).unwrap();
    assert_eq!(entry_indexes(&restored), [1, 2]);
    store.save(&effects_with_entries(3, 3, 1)).unwrap();
    assert_eq!(entry_indexes(&open(&disk).unwrap().1), [1, 2, 3]);
}

/// Guards against silent loss of synced entries: corruption before synced data
/// must be an error that leaves the file unchanged.
#[rstest]
#[case::length(0)]
#[case::checksum(5)]
#[case::offset(9)]
#[case::entry(27)]
fn corruption_before_synced_data_is_an_error(#[case] at: usize) {
    let disk = MemDisk::new();
    let (mut store, _) = open(&disk).unwrap();
    store.save(&effects_with_entries(1, 2, 1)).unwrap();
    store.save(&effects_with_entries(3, 3, 1)).unwrap();
    drop(store);
    disk.corrupt("0-log-0000000000", at);
    let before = disk.read("0-log-0000000000").unwrap();
    let err = open(&disk).err();
    assert!(matches!(err, Some(StorageError::Corrupt(_, 0))), "{err:?}");
    assert_eq!(disk.read("0-log-0000000000").unwrap(), before);
}

/// Guards against repairs that drop data: corruption in a segment other than the
/// last, and in the files that are replaced atomically, must be an error.
#[rstest]
#[case::old_segment("0-log-0000000000", 9)]
#[case::hard_state("0-hard", 9)]
#[case::snapshot_head("0-snapshot", 9)]
#[case::snapshot_state("0-snapshot", 50)]
fn corruption_in_other_files_is_an_error(#[case] file: &str, #[case] at: usize) {
    let disk = MemDisk::new();
    let (mut store, _) = open(&disk).unwrap();
    store.save(&effects_with_entries(1, 20, 1)).unwrap();
    store.save(&effects_with_entries(21, 21, 1)).unwrap();
    let mut fx = effects_with_snapshot(1, false);
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

/// Guards against a retry after a failed sync, which some systems report as
/// successful although the data is lost.
#[test]
fn a_failed_sync_stops_the_store() {
    let disk = MemDisk::new();
    let (mut store, _) = open(&disk).unwrap();
    disk.fail_syncs(1);
    assert!(matches!(
        store.save(&effects_with_entries(1, 1, 1)),
        Err(StorageError::Io(_))
    ));
    assert!(matches!(
        store.save(&effects_with_entries(1, 1, 1)),
        Err(StorageError::Failed)
    ));
}

/// Guards against entries that reappear after a leader's snapshot replaced the
/// log, and against segments that are never removed.
#[test]
fn snapshots_remove_obsolete_segments() {
    let disk = MemDisk::new();
    let (mut store, _) = open(&disk).unwrap();
    for i in 1..=40 {
        store.save(&effects_with_entries(i, i, 1)).unwrap();
    }
    let before = disk.total_bytes();
    store.save(&effects_with_snapshot(38, false)).unwrap();
    assert!(disk.total_bytes() < before / 2, "old segments are removed");
    assert_eq!(entry_indexes(&open(&disk).unwrap().1), [39, 40]);
    store.save(&effects_with_snapshot(30, true)).unwrap();
    let (_, restored) = open(&disk).unwrap();
    assert!(restored.entries.is_empty());
    assert_eq!(restored.snapshot.map(|s| s.index), Some(30));
}

/// Guards against a real folder that behaves unlike the in-memory disk, a changed
/// member id, and two processes with the same member id.
#[test]
fn a_real_folder_persists_all_state() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("data");
    for round in 0..3 {
        let mut disk = RealDisk::open(&path).unwrap();
        assert!(RealDisk::open(&path).is_err(), "the folder is locked");
        assert_eq!(load_or_create_member_id(&mut disk, 77 + round).unwrap(), 77);
        let (mut store, restored) =
            Store::open_with_segment_bytes(Box::new(disk), 0, SEGMENT_BYTES).unwrap();
        assert_eq!(restored.hard_state.term, round);
        let from = round * 30;
        assert_eq!(restored.entries.len() as u64, from);
        let mut fx = effects_with_entries(from + 1, from + 30, 1);
        fx.hard_state = Some(HardState {
            term: round + 1,
            ..HardState::default()
        });
        store.save(&fx).unwrap();
    }
}

/// Guards against entries whose age is unknown after a restart, and against an age
/// that is kept for an entry that was replaced.
#[test]
fn write_times_survive_a_restart() {
    let disk = MemDisk::default();
    let (mut store, _) = open(&disk).unwrap();
    store.save(&effects_with_entries(1, 4, 1)).unwrap();
    std::thread::sleep(std::time::Duration::from_millis(150));
    store.save(&effects_with_entries(5, 6, 1)).unwrap();
    std::thread::sleep(std::time::Duration::from_millis(150));
    store.save(&effects_with_entries(5, 8, 2)).unwrap();
    let (mut store, restored) = open(&disk).unwrap();
    assert_eq!(entry_indexes(&restored), (1..=8).collect::<Vec<_>>());
    let times = store.take_write_times();
    let indexes: Vec<u64> = times.iter().map(|(index, _)| *index).collect();
    assert_eq!(indexes, [1, 5], "one of entries written together");
    assert!(times[1].1 >= times[0].1 + 250, "{times:?}");
}
