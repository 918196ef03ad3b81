//! Stores the declarations in force on the instance's disk, so that a restart does not revert to older ones.

use std::{
    fs::{self, File},
    io::{self, Write},
    path::{Path, PathBuf},
};

use common::name;
use control::query::Declarations;
use derive_more::{Display, Error, From};

/// Length of the CRC-32 checksum at the start of a file.
const CHECKSUM_BYTES: usize = 4;
const EXTENSION: &str = "declarations";

/// Why declarations can't be stored or read.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The operating system's error.
    #[display("can't store or read declarations: {_0}")]
    Io(io::Error),
    /// A file's checksum or encoding is wrong.
    #[display("{} is corrupt; delete it, and the instance fetches the declarations again", path.display())]
    #[from(ignore)]
    Corrupt {
        /// The file.
        path: PathBuf,
    },
}

/// Folder that stores an instance's declarations, one file per branch.
#[derive(Clone, Debug)]
pub struct Disk {
    folder: PathBuf,
}

impl Disk {
    /// Opens the folder, creating it if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an [`enum@Error`] if the folder can't be created.
    pub fn open(folder: &Path) -> Result<Disk, Error> {
        fs::create_dir_all(folder)?;
        Ok(Disk { folder: folder.to_path_buf() })
    }

    /// Reads the declarations stored of a branch; `None` if there are none.
    ///
    /// # Errors
    ///
    /// Returns an [`enum@Error`] if the file can't be read or is corrupt.
    pub fn read(&self, branch: &name::Branch) -> Result<Option<Declarations>, Error> {
        let path = self.path(branch);
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(Error::Io(error)),
        };
        let content = bytes
            .split_at_checked(CHECKSUM_BYTES)
            .filter(|(checksum, content)| *checksum == crc32fast::hash(content).to_le_bytes());
        let declarations = content.and_then(|(_, content)| postcard::from_bytes(content).ok());
        declarations.map(Some).ok_or(Error::Corrupt { path })
    }

    /// Stores the declarations of a branch; returns once they are durable.
    ///
    /// # Errors
    ///
    /// Returns an [`enum@Error`] if the file can't be written or synced.
    pub fn write(&self, branch: &name::Branch, declarations: &Declarations) -> Result<(), Error> {
        let content = postcard::to_stdvec(declarations).map_err(io::Error::other)?;
        let path = self.path(branch);
        let temporary = path.with_extension("next");
        let mut file = File::create(&temporary)?;
        file.write_all(&crc32fast::hash(&content).to_le_bytes())?;
        file.write_all(&content)?;
        file.sync_all()?;
        fs::rename(&temporary, &path)?;
        File::open(&self.folder)?.sync_all()?;
        Ok(())
    }

    fn path(&self, branch: &name::Branch) -> PathBuf {
        self.folder.join(format!("{branch}.{EXTENSION}"))
    }
}
