//! A folder for the files of one test, which is removed with its contents when dropped.

use std::{
    env, fs,
    path::{Path, PathBuf},
    process,
    sync::atomic::{AtomicU32, Ordering},
};

static NEXT: AtomicU32 = AtomicU32::new(0);

/// A temporary folder.
#[derive(Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// Creates a folder whose name contains `name`.
    ///
    /// # Panics
    ///
    /// Panics when it can't be created.
    pub fn new(name: &str) -> Folder {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = env::temp_dir().join(format!("daisydrum-{}-{number}-{name}", process::id()));
        fs::create_dir_all(&path).expect("the temporary folder can be written");
        Folder(path)
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
