//! File operations that the log needs, behind traits so that tests can inject faults.

use std::{
    fs, io,
    os::unix::fs::FileExt,
    path::{Path, PathBuf},
};

use rustix::fs::FlockOperation;

const LOCK_FILE: &str = "lock";

/// A folder of files.
pub trait Folder {
    /// A file open for writing.
    type File: File;

    /// Names of all files.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Contents of a file.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Opens a file for writing; creates it if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn open(&self, name: &str) -> io::Result<Self::File>;

    /// Renames a file, replacing `to`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes created, renamed and removed names durable.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn sync(&self) -> io::Result<()>;
}

/// A file open for writing.
pub trait File {
    /// Writes all of `bytes` at `offset`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error. Any part of `bytes` may have been written.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Sets the length, in bytes.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn truncate(&mut self, length: u64) -> io::Result<()>;

    /// Makes the contents durable.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error. It is then unknown what is durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// A folder on disk, locked so that only one process uses it.
#[derive(Debug)]
pub struct Disk {
    path: PathBuf,
    _lock: fs::File,
}

impl Disk {
    /// Creates the folder if needed and locks it.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error, also when another process holds the lock.
    pub fn open(path: &Path) -> io::Result<Disk> {
        fs::create_dir_all(path)?;
        sync_ancestors(path)?;
        let lock = fs::File::create(path.join(LOCK_FILE))?;
        rustix::fs::flock(&lock, FlockOperation::NonBlockingLockExclusive)?;
        Ok(Disk { path: path.to_path_buf(), _lock: lock })
    }
}

/// Syncs the parent folders, so that the names of newly created folders are durable.
///
/// Stops at the first one that this process may not read.
fn sync_ancestors(path: &Path) -> io::Result<()> {
    for ancestor in path.ancestors().skip(1).filter(|ancestor| !ancestor.as_os_str().is_empty()) {
        match fs::File::open(ancestor) {
            Ok(folder) => folder.sync_all()?,
            Err(error) if error.kind() == io::ErrorKind::PermissionDenied => return Ok(()),
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

impl Folder for Disk {
    type File = fs::File;

    fn list(&self) -> io::Result<Vec<String>> {
        fs::read_dir(&self.path)?
            .map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned()))
            .collect()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn open(&self, name: &str) -> io::Result<fs::File> {
        let mut options = fs::OpenOptions::new();
        options.write(true).create(true).truncate(false).open(self.path.join(name))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync(&self) -> io::Result<()> {
        fs::File::open(&self.path)?.sync_all()
    }
}

impl File for fs::File {
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.write_all_at(bytes, offset)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}
