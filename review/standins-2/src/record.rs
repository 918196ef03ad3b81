//! The record of a case: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// The record; clones share it.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    started: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let file = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        Ok(Record { file, started: Instant::now() })
    }

    /// Milliseconds since the start.
    pub fn ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    /// Writes a line.
    pub fn line(&self, text: impl std::fmt::Display) {
        let mut file = self.file.lock().unwrap();
        let _written = writeln!(file, "{:>7} ms  {text}", self.ms());
        let _flushed = file.flush();
    }
}
