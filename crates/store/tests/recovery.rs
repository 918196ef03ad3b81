//! Recovery after torn writes, after truncated, changed or missing files, and after failed writes.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "support/memory.rs"]
mod memory;

use expect_test::expect;
use memory::{Files, Memory};
use store::{
    entry::{Entry, Position, Recovery, Snapshot},
    error::Error,
    log::{Log, Options},
};

const OPTIONS: Options = Options { segment_bytes: 160 };

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        position: Position { index, term },
        payload: format!("entry {index}.{term}").into_bytes(),
    }
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    Snapshot { last: Position { index, term }, data: format!("state {index}").into_bytes() }
}

/// Writes a log with a replaced suffix and a snapshot, and syncs everything.
fn write(folder: &Memory) -> Result<(), Error> {
    let (mut log, _) = Log::open(folder.clone(), OPTIONS)?;
    log.set_hard_state(b"term 1");
    for index in 1..=4 {
        log.append(&entry(index, 1));
        log.sync()?;
    }
    log.set_hard_state(b"term 2");
    log.append(&entry(4, 2));
    log.append(&entry(5, 2));
    log.sync()?;
    log.save_snapshot(&snapshot(3, 1))?;
    for index in 6..=9 {
        log.append(&entry(index, 2));
        log.sync()?;
    }
    Ok(())
}

fn open(files: &Files) -> Result<Recovery, Error> {
    Log::open(Memory::with_files(files.clone()), OPTIONS).map(|(_, recovery)| recovery)
}

fn written() -> (Files, Recovery) {
    let folder = Memory::default();
    write(&folder).unwrap();
    let files = folder.files();
    let recovery = open(&files).unwrap();
    (files, recovery)
}

/// Requires that the log either recovers everything or refuses to open.
fn check(files: &Files, whole: &Recovery, fault: &str) {
    match open(files) {
        Ok(recovery) => assert_eq!(recovery, *whole, "{fault}"),
        Err(Error::Corrupt { .. }) => {}
        Err(error) => panic!("{fault}: {error}"),
    }
}

#[test]
fn what_was_synced_is_recovered() {
    let (files, recovery) = written();
    let indexes: Vec<String> = recovery
        .entries
        .iter()
        .map(|entry| format!("{}.{}", entry.position.index, entry.position.term))
        .collect();
    let state = String::from_utf8(recovery.hard_state.unwrap()).unwrap();
    let names: Vec<&String> = files.keys().collect();
    expect![[r#"
        4.2 5.2 6.2 7.2 8.2 9.2
        state term 2, snapshot Some(Position { index: 3, term: 1 })
        ["segment-000000000002", "segment-000000000003", "segment-000000000004", "segment-000000000005", "snapshot-00000000000000000003", "synced"]"#]]
    .assert_eq(&format!(
        "{}\nstate {state}, snapshot {:?}\n{names:?}",
        indexes.join(" "),
        recovery.snapshot.map(|snapshot| snapshot.last)
    ));
}

#[test]
fn a_file_truncated_at_any_byte_is_refused_or_fully_recovered() {
    let (files, whole) = written();
    for (name, bytes) in &files {
        for length in 0..bytes.len() {
            let mut cut = files.clone();
            cut.get_mut(name).unwrap().truncate(length);
            check(&cut, &whole, &format!("{name} cut at {length}"));
        }
    }
}

#[test]
fn a_file_changed_at_any_byte_is_refused_or_fully_recovered() {
    let (files, whole) = written();
    for (name, bytes) in &files {
        for offset in 0..bytes.len() {
            for mask in [0x01, 0x80, 0xff] {
                let mut flipped = files.clone();
                flipped.get_mut(name).unwrap()[offset] ^= mask;
                check(&flipped, &whole, &format!("{name} flipped at {offset} by {mask:#x}"));
            }
        }
    }
}

#[test]
fn a_folder_without_one_file_is_refused_or_fully_recovered() {
    let (files, whole) = written();
    for name in files.keys() {
        let mut fewer = files.clone();
        fewer.remove(name);
        check(&fewer, &whole, &format!("{name} removed"));
    }
}

#[test]
fn the_error_names_the_corrupt_file_and_offset() {
    let (mut files, _) = written();
    files.get_mut("segment-000000000003").unwrap()[60] ^= 1;
    let error = open(&files).unwrap_err();
    expect!["segment-000000000003 is damaged at byte 53: synced records are missing; copy the folder for later analysis, then empty it: the replica joins again under a new identity and gets the log from the others"]
        .assert_eq(&error.to_string());
}

#[test]
fn a_torn_write_is_truncated() {
    let folder = Memory::default();
    write(&folder).unwrap();
    let before = folder.files();
    let whole = open(&before).unwrap();
    let (mut log, _) = Log::open(folder.clone(), OPTIONS).unwrap();
    log.append(&entry(10, 2));
    log.append(&entry(11, 2));
    log.sync().unwrap();
    let mut after = folder.files();
    after.insert("synced".to_owned(), before["synced"].clone());
    let name = "segment-000000000005";
    for length in before[name].len()..after[name].len() {
        let mut torn = after.clone();
        torn.retain(|file, _| file != "segment-000000000006");
        torn.get_mut(name).unwrap().truncate(length);
        let recovery = open(&torn).unwrap();
        assert_eq!(recovery.hard_state, whole.hard_state);
        assert!(recovery.entries.starts_with(&whole.entries), "cut at {length}");
    }
}

#[test]
fn a_failed_operation_poisons_the_log_and_loses_nothing_synced() {
    let folder = Memory::default();
    write(&folder).unwrap();
    for operation in 1..=folder.operations() {
        let folder = Memory::default();
        folder.fail_at(operation);
        let (acknowledged, error) = append_until_error(&folder);
        assert!(matches!(error, Error::Io(_)), "operation {operation}: {error}");
        for files in [folder.files(), folder.durable()] {
            let recovery = open(&files).unwrap();
            let last = recovery.entries.last().map(|entry| entry.position.index);
            let last = last.or(recovery.snapshot.map(|snapshot| snapshot.last.index)).unwrap_or(0);
            assert!(last >= acknowledged, "operation {operation}: {last} < {acknowledged}");
        }
    }
}

/// Returns the last index whose sync succeeded, and the first error.
fn append_until_error(folder: &Memory) -> (u64, Error) {
    let mut log = match Log::open(folder.clone(), OPTIONS) {
        Ok((log, _)) => log,
        Err(error) => return (0, error),
    };
    let mut acknowledged = 0;
    let error = loop {
        let index = acknowledged + 1;
        log.append(&entry(index, 1));
        if let Err(error) = log.sync() {
            break error;
        }
        acknowledged = index;
        if index.is_multiple_of(3)
            && let Err(error) = log.save_snapshot(&snapshot(index, 1))
        {
            break error;
        }
    };
    assert!(matches!(log.sync(), Err(Error::Poisoned)));
    assert!(matches!(log.save_snapshot(&snapshot(1, 1)), Err(Error::Poisoned)));
    (acknowledged, error)
}

#[test]
fn a_received_snapshot_discards_conflicting_entries() {
    let folder = Memory::default();
    write(&folder).unwrap();
    let (mut log, _) = Log::open(folder.clone(), OPTIONS).unwrap();
    log.save_snapshot(&snapshot(8, 7)).unwrap();
    log.append(&entry(9, 7));
    log.sync().unwrap();
    let recovery = open(&folder.files()).unwrap();
    assert_eq!(recovery.snapshot, Some(snapshot(8, 7)));
    assert_eq!(recovery.entries, [entry(9, 7)]);
}

/// The process is killed after a received snapshot was saved and before its reset record was written.
#[test]
fn stale_entries_are_discarded_if_the_reset_record_of_a_snapshot_is_missing() {
    let folder = Memory::default();
    write(&folder).unwrap();
    let other = Memory::default();
    let (mut log, _) = Log::open(other.clone(), OPTIONS).unwrap();
    log.save_snapshot(&snapshot(20, 7)).unwrap();
    let mut files = folder.files();
    let name = "snapshot-00000000000000000020";
    files.insert(name.to_owned(), other.files()[name].clone());
    let folder = Memory::with_files(files);
    let (mut log, recovery) = Log::open(folder.clone(), OPTIONS).unwrap();
    assert_eq!(recovery.entries, []);
    log.append(&entry(21, 7));
    log.sync().unwrap();
    assert_eq!(open(&folder.files()).unwrap().entries, [entry(21, 7)]);
}

#[test]
fn a_folder_is_locked_by_one_owner() {
    let path = std::env::temp_dir().join(format!("daisydrum-store-{}", std::process::id()));
    let first = store::folder::Disk::open(&path).unwrap();
    assert!(store::folder::Disk::open(&path).is_err());
    drop(first);
    let (mut log, _) =
        Log::open(store::folder::Disk::open(&path).unwrap(), Options::default()).unwrap();
    log.append(&entry(1, 1));
    log.sync().unwrap();
    drop(log);
    let (_, recovery) =
        Log::open(store::folder::Disk::open(&path).unwrap(), Options::default()).unwrap();
    assert_eq!(recovery.entries, [entry(1, 1)]);
    std::fs::remove_dir_all(path).unwrap();
}
