//! The log of a replica stays within bounds in bytes, on disk and in memory, however large its commands are.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "support/alone.rs"]
mod alone;

use std::{
    fs,
    path::Path,
    sync::{Mutex, PoisonError},
};

use alone::{COMMAND_BYTES, Replica, empty_folder, until};
use bytes::Bytes;
use consensus::{
    effect::HardState,
    entry::Payload,
    member::{Config, Id, Member},
};
use store::{
    entry::{Entry, Position},
    folder::Disk,
    log::Log,
};

/// Twice the entries after which a snapshot replaces them, two snapshots, and what is written meanwhile.
const MAX_DISK_BYTES: u64 = 32 * 1024 * 1024;
/// Held by each test, as one of them measures the memory of the process.
static TURN: Mutex<()> = Mutex::new(());

/// Guards against logs whose length alone is bounded: some hundred large commands filled the memory and the disk.
#[test]
fn large_commands_are_replaced_by_snapshots_before_they_fill_the_disk() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = empty_folder("log-size");
    let replica = Replica::start(&folder);
    replica.until_leading();
    let mut most = 0;
    for command in 0..50 {
        replica.submit(command).unwrap();
        most = most.max(disk_bytes(&folder));
    }
    assert!(most < MAX_DISK_BYTES, "{most} bytes on disk");
    replica.stop();
    let replica = Replica::start(&folder);
    replica.until_leading();
    assert_eq!(replica.last(), 49);
    replica.stop();
}

fn disk_bytes(folder: &Path) -> u64 {
    let files = fs::read_dir(folder).unwrap();
    files.filter_map(|file| Some(file.ok()?.metadata().ok()?.len())).sum()
}

/// A value of this process's status in bytes.
fn memory(name: &str) -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap();
    line.trim_matches([':', ' ', '\t', 'k', 'B']).trim().parse::<u64>().unwrap() * 1024
}

/// Writes a log without a snapshot, as builds left it that bounded its length alone.
fn write_log(folder: &Path, entries: u64) {
    let (mut log, _) = Log::open(Disk::open(folder).unwrap(), Default::default()).unwrap();
    let own = Member { id: Id(7), instance: "one".into(), voter: true, replaces: None };
    let founders = Config::new(vec![own]);
    let hard = HardState { id: Id(7), term: 1, vote: Some(Id(7)), founders };
    log.set_hard_state(&postcard::to_stdvec(&hard).unwrap());
    for index in 1..=entries {
        let command = vec![u8::try_from(index).unwrap(); COMMAND_BYTES];
        let command = Bytes::from(postcard::to_stdvec(&Bytes::from(command)).unwrap());
        let payload = postcard::to_stdvec(&Payload::Command(command)).unwrap();
        log.append(&Entry { position: Position { index, term: 1 }, payload });
        log.sync().unwrap();
    }
}

/// Guards against replicas that never come back: a log that had grown too large was loaded twice at each start.
#[test]
fn a_log_that_is_too_large_already_is_read_once_and_replaced() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = empty_folder("log-too-large");
    let entries = 100;
    write_log(&folder, entries);
    fs::write("/proc/self/clear_refs", "5").unwrap();
    let before = memory("VmRSS");
    let replica = Replica::start(&folder);
    replica.until_leading();
    assert_eq!(u64::from(replica.last()), entries);
    until(|| disk_bytes(&folder) < MAX_DISK_BYTES);
    let taken = memory("VmHWM") - before;
    let log_bytes = entries * COMMAND_BYTES as u64;
    assert!(taken < log_bytes + log_bytes / 4, "{taken} bytes for a log of {log_bytes}");
    replica.stop();
}
