//! Declarations in force on the instance's disk, so that a restart does not go back.

use std::{
    fs::{self, File},
    io::{self, Write},
    path::{Path, PathBuf},
};

use common::name;
use control::query::Declarations;
use derive_more::{Display, Error, From};

/// Bytes of the checksum at the start of a file.
const SUM_BYTES: usize = 4;
const EXTENSION: &str = "declarations";

/// Why declarations can't be kept or read.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The operating system's error.
    #[display("declarations on disk: {_0}")]
    Io(io::Error),
    /// A file's checksum or form is wrong.
    #[display("{} is damaged; remove it and let the instance fetch the declarations again", path.display())]
    #[from(ignore)]
    Corrupt {
        /// The file.
        path: PathBuf,
    },
}

/// The folder of an instance's declarations.
#[derive(Clone, Debug)]
pub struct Disk {
    folder: PathBuf,
}

impl Disk {
    /// Opens the folder, making it if needed.
    ///
    /// # Errors
    ///
    /// Returns an [`enum@Error`] when the folder can't be made.
    pub fn open(folder: &Path) -> Result<Disk, Error> {
        fs::create_dir_all(folder)?;
        Ok(Disk { folder: folder.to_path_buf() })
    }

    /// Reads what was kept of a branch.
    ///
    /// # Errors
    ///
    /// Returns an [`enum@Error`] when the file can't be read or is damaged.
    pub fn read(&self, branch: &name::Branch) -> Result<Option<Declarations>, Error> {
        let path = self.path(branch);
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(Error::Io(error)),
        };
        let sound = bytes
            .split_at_checked(SUM_BYTES)
            .filter(|(sum, content)| *sum == crc32fast::hash(content).to_le_bytes());
        let version = sound.and_then(|(_, content)| postcard::from_bytes(content).ok());
        version.map(Some).ok_or(Error::Corrupt { path })
    }

    /// Keeps a branch; returns once it is durable.
    ///
    /// # Errors
    ///
    /// Returns an [`enum@Error`] when it can't be written or synced.
    pub fn write(&self, branch: &name::Branch, version: &Declarations) -> Result<(), Error> {
        let content = postcard::to_stdvec(version).map_err(io::Error::other)?;
        let path = self.path(branch);
        let next = path.with_extension("next");
        let mut file = File::create(&next)?;
        file.write_all(&crc32fast::hash(&content).to_le_bytes())?;
        file.write_all(&content)?;
        file.sync_all()?;
        fs::rename(&next, &path)?;
        File::open(&self.folder)?.sync_all()?;
        Ok(())
    }

    fn path(&self, branch: &name::Branch) -> PathBuf {
        self.folder.join(format!("{branch}.{EXTENSION}"))
    }
}
