//! Index from API keys to the services and organisations that they belong to.

use std::sync::Arc;

use common::{collections, name};
use route::router::Owner;
use serde_json::{Map, Value};
use settings::{key, service, tree};

/// The service and organisation that a key belongs to.
#[derive(Clone, Debug)]
pub struct Binding {
    /// The service and its settings.
    pub service: Arc<Service>,
    /// The organisation that holds the key.
    pub organisation: name::Organisation,
}

/// A service of the declarations in force.
#[derive(Clone, Debug)]
pub struct Service {
    /// The partner and the service.
    pub owner: Owner,
    /// Its effective settings.
    pub settings: Arc<service::Service>,
}

/// The services and keys of a tree of declarations.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    services: Vec<Arc<Entry>>,
}

/// A service with its keys and the declarations that it was built from.
#[derive(Debug)]
struct Entry {
    source: Source,
    service: Arc<Service>,
    bindings: collections::Map<key::Digest, Binding>,
}

/// The declarations that are merged into the effective settings of a service.
#[derive(Clone, Debug)]
struct Source {
    venture: Arc<Map<String, Value>>,
    partner: Arc<Map<String, Value>>,
    own: Arc<Map<String, Value>>,
}

impl Source {
    /// Compares pointers first, since most declarations are shared between versions of the tree.
    fn is_same(&self, other: &Source) -> bool {
        let same = |one: &Arc<_>, other: &Arc<_>| Arc::ptr_eq(one, other) || one == other;
        same(&self.own, &other.own)
            && same(&self.partner, &other.partner)
            && same(&self.venture, &other.venture)
    }
}

impl Directory {
    /// Indexes the services and keys of a tree.
    ///
    /// # Errors
    ///
    /// Returns an error if the merged settings of a service can't be deserialized.
    pub fn new(tree: &tree::Tree) -> Result<Directory, serde_json::Error> {
        Directory::default().next(tree)
    }

    /// Indexes the next version of the tree; services that did not change are shared with this directory.
    ///
    /// # Errors
    ///
    /// Returns an error if the merged settings of a service can't be deserialized.
    pub fn next(&self, tree: &tree::Tree) -> Result<Directory, serde_json::Error> {
        let known: collections::Map<&Owner, &Arc<Entry>> =
            self.services.iter().map(|entry| (&entry.service.owner, entry)).collect();
        let venture = Arc::new(tree.venture.defaults.clone());
        let mut services = Vec::new();
        for (partner, branch) in &tree.partners {
            let defaults = Arc::new(branch.partner.defaults.clone());
            for (name, own) in &branch.services {
                let source = Source {
                    venture: Arc::clone(&venture),
                    partner: Arc::clone(&defaults),
                    own: Arc::clone(own),
                };
                let owner = Owner { partner: partner.clone(), service: name.clone() };
                let same = known.get(&owner).filter(|entry| entry.source.is_same(&source));
                if let Some(entry) = same {
                    services.push(Arc::clone(entry));
                    continue;
                }
                let settings = tree::effective(&tree.venture, branch, name)?;
                services.push(Arc::new(Entry::new(source, owner, settings)));
            }
        }
        Ok(Directory { services })
    }

    /// Looks up the service and organisation that a key belongs to.
    pub fn find(&self, key: &str) -> Option<&Binding> {
        let digest = key::Digest::of(key);
        self.services.iter().find_map(|entry| entry.bindings.get(&digest))
    }

    /// Returns the services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.iter().map(|entry| entry.service.as_ref())
    }
}

impl Entry {
    /// Indexes the keys of a service and removes them from its settings, since there are many.
    fn new(source: Source, owner: Owner, mut settings: service::Service) -> Entry {
        let keys = std::mem::take(&mut settings.keys);
        let service = Arc::new(Service { owner, settings: Arc::new(settings) });
        let bindings = keys
            .into_iter()
            .filter_map(|key| {
                let organisation = name::Organisation(key.organisation);
                let binding = Binding { service: Arc::clone(&service), organisation };
                Some((key.sha256.digest()?, binding))
            })
            .collect();
        Entry { source, service, bindings }
    }
}
