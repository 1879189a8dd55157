//! CPU time of threads and resident memory, read from `/proc`.

use std::fs;

/// Clock ticks per second in `/proc`, the same on every Linux platform.
const TICKS_PER_S: f64 = 100.0;
/// Size of a memory page, in KiB.
const PAGE_SIZE_KIB: u64 = 4;

/// Returns the CPU seconds used by this process's threads whose names start
/// with `prefix`, or 0 where `/proc` isn't available.
pub(super) fn thread_seconds(prefix: &str) -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    let mut ticks = 0;
    for task in tasks.flatten() {
        let Ok(stat) = fs::read_to_string(task.path().join("stat")) else {
            continue;
        };
        // The name is in parentheses; user and system time are the 12th and
        // 13th field after it.
        let (Some(open), Some(close)) = (stat.find('('), stat.rfind(')')) else {
            continue;
        };
        if !stat[open + 1..close].starts_with(prefix) {
            continue;
        }
        let fields: Vec<&str> = stat[close + 1..].split_whitespace().collect();
        let field = |n: usize| fields.get(n).and_then(|f| f.parse::<u64>().ok());
        ticks += field(11).unwrap_or(0) + field(12).unwrap_or(0);
    }
    ticks as f64 / TICKS_PER_S
}

/// Returns the resident memory of this process, in KiB.
pub(super) fn resident_kib() -> u64 {
    fs::read_to_string("/proc/self/statm")
        .ok()
        .and_then(|s| s.split_whitespace().nth(1)?.parse::<u64>().ok())
        .map_or(0, |pages| pages * PAGE_SIZE_KIB)
}
