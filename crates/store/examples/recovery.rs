//! Measures the time to open logs of different sizes, and the time of a sync.
//!
//! `cargo run --release -p store --example recovery -- FOLDER`

#![allow(clippy::print_stdout, clippy::unwrap_used, reason = "a benchmark prints its figures")]

use std::{env, fs, path::Path, time::Instant};

use store::{
    entry::{Entry, Position},
    folder::Disk,
    log::{Log, Options},
};

const PAYLOAD_BYTES: usize = 512;
const ENTRIES_PER_SYNC: u64 = 100;
const SYNCS: u32 = 200;

fn main() {
    let folder = env::args().nth(1).expect("usage: recovery FOLDER");
    let path = Path::new(&folder).join("bench-recovery");
    for entries in [1_000, 10_000, 100_000] {
        let _absent = fs::remove_dir_all(&path);
        let bytes = fill(&path, entries);
        let start = Instant::now();
        let (_, recovery) = Log::open(Disk::open(&path).unwrap(), Options::default()).unwrap();
        assert_eq!(recovery.entries.len() as u64, entries);
        println!(
            "entries={entries} bytes={bytes} open_ms={:.1}",
            start.elapsed().as_secs_f64() * 1e3
        );
    }
    let _absent = fs::remove_dir_all(&path);
    time_syncs(&path);
    fs::remove_dir_all(&path).unwrap();
}

fn fill(path: &Path, entries: u64) -> u64 {
    let (mut log, _) = Log::open(Disk::open(path).unwrap(), Options::default()).unwrap();
    for index in 1..=entries {
        log.append(&entry(index));
        if index.is_multiple_of(ENTRIES_PER_SYNC) {
            log.sync().unwrap();
        }
    }
    log.sync().unwrap();
    log.size_bytes()
}

fn time_syncs(path: &Path) {
    let (mut log, _) = Log::open(Disk::open(path).unwrap(), Options::default()).unwrap();
    let mut times: Vec<f64> = (1..=SYNCS)
        .map(|index| {
            let start = Instant::now();
            log.append(&entry(index.into()));
            log.sync().unwrap();
            start.elapsed().as_secs_f64() * 1e3
        })
        .collect();
    times.sort_by(f64::total_cmp);
    println!("sync_ms p50={:.2} p99={:.2}", times[times.len() / 2], times[times.len() * 99 / 100]);
}

fn entry(index: u64) -> Entry {
    Entry { position: Position { index, term: 1 }, payload: vec![7; PAYLOAD_BYTES] }
}
