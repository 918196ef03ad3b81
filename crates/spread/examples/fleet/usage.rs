//! CPU time and resident memory of the process.

use std::{fs, time::Duration};

const PAGE_BYTES: u64 = 4_096;
const MS_PER_TICK: u64 = 10;
/// Fields of `/proc/self/stat` after the name in parentheses.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;

/// CPU time that the process has used.
pub fn cpu_time() -> Duration {
    let text = fs::read_to_string("/proc/self/stat").unwrap();
    let (_, rest) = text.rsplit_once(") ").unwrap();
    let fields: Vec<&str> = rest.split(' ').collect();
    let ticks = |field: usize| fields[field].parse::<u64>().unwrap();
    Duration::from_millis((ticks(USER_TICKS) + ticks(SYSTEM_TICKS)) * MS_PER_TICK)
}

/// Resident memory of the process.
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap();
    text.split(' ').nth(1).unwrap().parse::<u64>().unwrap() * PAGE_BYTES
}
