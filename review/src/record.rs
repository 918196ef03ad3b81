//! The record of a case: what was sent, answered and run, with milliseconds since the case began.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
};

use crate::unix_ms;

/// The record; clones share the file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: u64,
}

impl Record {
    /// Creates `record.txt` in a folder.
    pub fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Record { file: Arc::new(Mutex::new(file)), start: unix_ms() }
    }

    /// Writes a line, and the same to standard output.
    pub fn line(&self, text: impl AsRef<str>) {
        self.line_at(unix_ms(), text);
    }

    /// Writes a line about a moment, in milliseconds since the Unix epoch.
    pub fn line_at(&self, at: u64, text: impl AsRef<str>) {
        let line = format!("{:>7} {}\n", at as i64 - self.start as i64, text.as_ref());
        let _ignored = self.file.lock().unwrap().write_all(line.as_bytes());
        print!("{line}");
    }
}
