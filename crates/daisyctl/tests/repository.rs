//! Checks on the files of the repository as a whole.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{
    fs,
    path::{Path, PathBuf},
};

use common::collections::Set;
use sha2::{Digest, Sha256};

const MIN_LINE_CHARACTERS: usize = 60;
const DIGEST_BYTES: usize = 8;
const MAX_SOURCE_LINES: usize = 500;
/// Folders of development machines; split so that this file does not contain their names.
const MACHINE_FOLDERS: [&str; 3] =
    [concat!("/wo", "rk"), concat!("/ro", "ot"), concat!("/tm", "p")];
/// Files and folders that are not part of the repository.
const IGNORED: [&str; 5] = [".git", "target", "data", "journal", "spans.jsonl"];
/// Prefixes of the names of working notes, which do not belong in the repository.
const NOTES: [&str; 4] = ["note", "todo", "scratch", "draft"];
/// Contains the users' house style word for word, as they ask.
const HOUSE_STYLE_FILE: &str = "CONTRIBUTING.md";

#[test]
fn holds_no_line_of_a_given_document() {
    let root = root();
    let sums = fs::read_to_string(root.join(".ci/given.sha256")).unwrap();
    let given: Set<&str> = sums.lines().collect();
    assert!(!given.is_empty());
    let mut files = Vec::new();
    collect(&root, &mut files);
    let copied: Vec<String> = files.iter().flat_map(|file| copied_lines(file, &given)).collect();
    assert!(copied.is_empty(), "lines of given documents: {copied:#?}");
}

#[test]
fn recognises_a_given_line() {
    let line = "a line of sixty characters or more that stands in a document somewhere";
    let sum = digest(line);
    assert!(is_copied(&format!("  {line} "), &Set::from_iter([sum.as_str()])));
}

#[test]
fn sources_keep_the_house_style() {
    let root = root();
    let mut files = Vec::new();
    collect(&root, &mut files);
    let faults: Vec<String> = files.iter().flat_map(|file| style_faults(file)).collect();
    assert!(faults.is_empty(), "{faults:#?}");
}

#[yare::parameterized(
    head = { "src/a.rs", "fn a() {}\n", 1 },
    module = { "src/a/mod.rs", "//! A.\n", 1 },
    sound = { "src/a.rs", "//! A.\n", 0 },
)]
fn recognises_style_faults(file: &str, text: &str, count: usize) {
    assert_eq!(source_faults(file, text).len(), count);
}

#[test]
fn recognises_long_sources_and_machine_paths() {
    let long = format!("//! A.\n{}", "//\n".repeat(MAX_SOURCE_LINES));
    assert_eq!(source_faults("src/a.rs", &long).len(), 1);
    let path = format!("//! See {}/a.\n", MACHINE_FOLDERS[0]);
    assert_eq!(path_faults("src/a.rs", &path).len(), 1);
}

#[test]
fn no_working_notes_lie_in_the_repository() {
    let mut files = Vec::new();
    collect(&root(), &mut files);
    let notes: Vec<&PathBuf> = files.iter().filter(|file| is_note(file)).collect();
    assert!(notes.is_empty(), "{notes:#?}");
}

#[yare::parameterized(
    note = { "NOTE-FROM-A.md", true },
    scratch = { "docs/scratch.txt", true },
    page = { "docs/DESIGN.md", false },
    source = { "src/notes.rs", false },
)]
fn recognises_working_notes(file: &str, note: bool) {
    assert_eq!(is_note(Path::new(file)), note);
}

fn is_note(file: &Path) -> bool {
    let name = file.file_name().unwrap_or_default().to_string_lossy().to_ascii_lowercase();
    !name.ends_with(".rs") && NOTES.iter().any(|note| name.starts_with(note))
}

fn style_faults(file: &Path) -> Vec<String> {
    let Ok(text) = fs::read_to_string(file) else {
        return Vec::new();
    };
    let name = file.display().to_string();
    let mut faults = path_faults(&name, &text);
    if name.ends_with(".rs") {
        faults.extend(source_faults(&name, &text));
    }
    faults
}

fn path_faults(name: &str, text: &str) -> Vec<String> {
    let names_machine =
        |line: &&str| MACHINE_FOLDERS.iter().any(|folder| line.contains(&format!("{folder}/")));
    let lines = text.lines().filter(names_machine);
    lines.map(|line| format!("{name}: names a folder of a machine: {line}")).collect()
}

fn source_faults(name: &str, text: &str) -> Vec<String> {
    let mut faults = Vec::new();
    if !text.starts_with("//!") {
        faults.push(format!("{name}: has no head"));
    }
    if text.lines().count() > MAX_SOURCE_LINES {
        faults.push(format!("{name}: is longer than {MAX_SOURCE_LINES} lines"));
    }
    if name.ends_with("/mod.rs") {
        faults.push(format!("{name}: should be a file beside its folder"));
    }
    faults
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn collect(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        if IGNORED.contains(&name.as_str()) {
            continue;
        }
        if path.is_dir() {
            collect(&path, files);
        } else if name != HOUSE_STYLE_FILE {
            files.push(path);
        }
    }
}

fn copied_lines(file: &Path, given: &Set<&str>) -> Vec<String> {
    let Ok(text) = fs::read_to_string(file) else {
        return Vec::new();
    };
    text.lines()
        .filter(|line| is_copied(line, given))
        .map(|line| format!("{}: {line}", file.display()))
        .collect()
}

fn is_copied(line: &str, given: &Set<&str>) -> bool {
    let line = line.trim();
    line.chars().count() >= MIN_LINE_CHARACTERS && given.contains(digest(line).as_str())
}

fn digest(line: &str) -> String {
    let hash = Sha256::digest(line.as_bytes());
    hash[..DIGEST_BYTES].iter().map(|byte| format!("{byte:02x}")).collect()
}
