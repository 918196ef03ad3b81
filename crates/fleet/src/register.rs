//! The replicated register that holds the newest configuration as the operator sent it.

use serde::{Deserialize, Serialize};

/// A configuration as an operator sent it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Its version.
    pub version: u64,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// The state that the log builds up.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Register {
    newest: Option<Document>,
}

impl Register {
    /// Keeps a document unless one of the same or a higher version is held; returns the version held then.
    pub fn offer(&mut self, document: &Document) -> u64 {
        match &self.newest {
            Some(held) if held.version >= document.version => held.version,
            Some(_) | None => {
                self.newest = Some(document.clone());
                document.version
            }
        }
    }

    /// The newest document.
    pub fn newest(&self) -> Option<&Document> {
        self.newest.as_ref()
    }
}
