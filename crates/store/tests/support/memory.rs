//! A folder in memory that fails at a chosen operation and tracks what would survive a kill or a power failure.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    io::{Error, ErrorKind, Result},
    rc::Rc,
};

use store::folder::{File, Folder};

/// Contents of files by name.
pub type Files = BTreeMap<String, Vec<u8>>;

#[derive(Debug, Default)]
struct Contents {
    files: Files,
    /// Synced contents by name, even if the name is not durable.
    synced: Files,
    /// Files that survive a power failure.
    durable: Files,
    operations: usize,
    fails_at: Option<usize>,
}

/// A folder in memory; clones share its contents.
#[derive(Clone, Debug, Default)]
pub struct Memory(Rc<RefCell<Contents>>);

impl Memory {
    /// A folder with these files, all of them durable.
    pub fn with_files(files: Files) -> Memory {
        let contents = Contents {
            synced: files.clone(),
            durable: files.clone(),
            files,
            ..Contents::default()
        };
        Memory(Rc::new(RefCell::new(contents)))
    }

    /// Makes this write operation, counted from 1, fail after half of its work, and all later ones too.
    pub fn fail_at(&self, operation: usize) {
        self.0.borrow_mut().fails_at = Some(operation);
    }

    /// Number of write operations so far.
    pub fn operations(&self) -> usize {
        self.0.borrow().operations
    }

    /// Files that survive a kill of the process.
    pub fn files(&self) -> Files {
        self.0.borrow().files.clone()
    }

    /// Files that survive a power failure.
    pub fn durable(&self) -> Files {
        self.0.borrow().durable.clone()
    }

    fn change(&self, work: impl FnOnce(&mut Contents, bool)) -> Result<()> {
        let mut contents = self.0.borrow_mut();
        contents.operations += 1;
        let fails = contents.fails_at.is_some_and(|at| contents.operations >= at);
        work(&mut contents, fails);
        if fails { Err(Error::from(ErrorKind::StorageFull)) } else { Ok(()) }
    }
}

impl Folder for Memory {
    type File = Handle;

    fn list(&self) -> Result<Vec<String>> {
        Ok(self.0.borrow().files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> Result<Vec<u8>> {
        self.0.borrow().files.get(name).cloned().ok_or_else(|| Error::from(ErrorKind::NotFound))
    }

    fn open(&self, name: &str) -> Result<Handle> {
        self.0.borrow_mut().files.entry(name.to_owned()).or_default();
        Ok(Handle { folder: self.clone(), name: name.to_owned() })
    }

    fn rename(&self, from: &str, to: &str) -> Result<()> {
        self.change(|contents, fails| {
            if !fails && let Some(file) = contents.files.remove(from) {
                contents.files.insert(to.to_owned(), file);
                let synced = contents.synced.remove(from).unwrap_or_default();
                contents.synced.insert(to.to_owned(), synced);
            }
        })
    }

    fn remove(&self, name: &str) -> Result<()> {
        self.change(|contents, fails| {
            if !fails {
                contents.files.remove(name);
                contents.synced.remove(name);
            }
        })
    }

    fn sync(&self) -> Result<()> {
        self.change(|contents, fails| {
            if !fails {
                let names = contents.files.keys();
                let synced = &contents.synced;
                contents.durable = names
                    .map(|name| (name.clone(), synced.get(name).cloned().unwrap_or_default()))
                    .collect();
            }
        })
    }
}

/// An open file of a [`Memory`].
#[derive(Debug)]
pub struct Handle {
    folder: Memory,
    name: String,
}

impl File for Handle {
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> Result<()> {
        let start = usize::try_from(offset).unwrap();
        self.folder.change(|contents, fails| {
            let written = if fails { &bytes[..bytes.len() / 2] } else { bytes };
            let file = contents.files.entry(self.name.clone()).or_default();
            file.resize(file.len().max(start + written.len()), 0);
            file[start..start + written.len()].copy_from_slice(written);
        })
    }

    fn truncate(&mut self, length: u64) -> Result<()> {
        let length = usize::try_from(length).unwrap();
        self.folder.change(|contents, fails| {
            if !fails {
                contents.files.entry(self.name.clone()).or_default().resize(length, 0);
            }
        })
    }

    fn sync(&mut self) -> Result<()> {
        self.folder.change(|contents, fails| {
            if !fails {
                let file = contents.files.get(&self.name).cloned().unwrap_or_default();
                contents.synced.insert(self.name.clone(), file.clone());
                if let Some(durable) = contents.durable.get_mut(&self.name) {
                    *durable = file;
                }
            }
        })
    }
}
