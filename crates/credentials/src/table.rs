//! The organisations of a configuration and their API keys.

use common::{collections::Map, name};
use derive_more::{Display, Error};
use settings::key::Digest;

/// An organisation as the configuration declares it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Its name.
    pub name: name::Organisation,
    /// Priority of its requests, in place of their route's; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// Index of an organisation in its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key(usize);

/// The organisations of a configuration, found by the digests of their API keys.
///
/// Only digests are kept: a lookup compares digests, so its duration reveals nothing about a key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    organisations: Vec<Organisation>,
    keys: Map<Digest, Key>,
}

/// Why organisations can't be added to a table.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// An organisation has no name.
    #[display("organisation number {index} has an empty name")]
    EmptyName {
        /// Its position in the declaration.
        index: usize,
    },
    /// One of its API keys is empty.
    #[display("a key of organisation {organisation} is empty")]
    EmptyKey {
        /// Its position in the declaration.
        index: usize,
        /// Its name.
        organisation: name::Organisation,
    },
    /// Another organisation has the same API key.
    #[display("organisations {organisation} and {other} share a key")]
    SharedKey {
        /// Its position in the declaration.
        index: usize,
        /// Its name.
        organisation: name::Organisation,
        /// The organisation that was declared earlier.
        other: name::Organisation,
    },
}

impl Table {
    /// Adds an organisation and its API keys.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`](enum@Error) if the name or a key is empty, or another organisation has one of the keys.
    pub fn add<K: AsRef<str>>(
        &mut self,
        organisation: Organisation,
        keys: impl IntoIterator<Item = K>,
    ) -> Result<(), Error> {
        let index = self.organisations.len();
        let name = organisation.name.clone();
        if name.0.is_empty() {
            return Err(Error::EmptyName { index });
        }
        let own = Key(index);
        for key in keys {
            let key = key.as_ref();
            if key.is_empty() {
                return Err(Error::EmptyKey { index, organisation: name });
            }
            let holder = *self.keys.entry(Digest::of(key)).or_insert(own);
            if holder != own {
                let other = self.organisations[holder.0].name.clone();
                return Err(Error::SharedKey { index, organisation: name, other });
            }
        }
        self.organisations.push(organisation);
        Ok(())
    }

    /// The organisation that holds the API key with this digest.
    pub fn find(&self, key: &Digest) -> Option<&Organisation> {
        self.keys.get(key).map(|key| &self.organisations[key.0])
    }

    /// The organisations in the order of their declaration.
    pub fn organisations(&self) -> &[Organisation] {
        &self.organisations
    }
}
