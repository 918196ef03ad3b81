//! Which partner and service a call belongs to, by the hash of its key.

use std::sync::Arc;

use common::{collections, name};
use route::router::Owner;
use serde_json::{Map, Value};
use settings::{key, service, tree};

/// Whom a key stands for.
#[derive(Clone, Debug)]
pub struct Binding {
    /// The service and its settings.
    pub service: Arc<Service>,
    /// The organisation that the key was given to.
    pub organisation: name::Organisation,
}

/// A service in force.
#[derive(Clone, Debug)]
pub struct Service {
    /// The partner and the service.
    pub owner: Owner,
    /// Its effective settings.
    pub settings: Arc<service::Service>,
}

/// The services and keys of a tree.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    services: Vec<Arc<Entry>>,
}

/// One service with what it was made from.
#[derive(Debug)]
struct Entry {
    source: Source,
    service: Arc<Service>,
    bindings: collections::Map<key::Digest, Binding>,
}

/// What the effective settings of a service are made from.
#[derive(Clone, Debug)]
struct Source {
    venture: Arc<Map<String, Value>>,
    partner: Arc<Map<String, Value>>,
    own: Arc<Map<String, Value>>,
}

impl Source {
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
    /// Returns the reason why the settings of a service don't have the form of a service.
    pub fn new(tree: &tree::Tree) -> Result<Directory, serde_json::Error> {
        Directory::default().next(tree)
    }

    /// Indexes a tree that follows this one's; services that did not change are shared.
    ///
    /// # Errors
    ///
    /// Returns the reason why the settings of a service don't have the form of a service.
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

    /// Finds whom a key stands for.
    pub fn find(&self, key: &str) -> Option<&Binding> {
        let digest = key::Digest::of(key);
        self.services.iter().find_map(|entry| entry.bindings.get(&digest))
    }

    /// The services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.iter().map(|entry| entry.service.as_ref())
    }
}

impl Entry {
    /// Indexes the keys and drops them from the settings, since there are many.
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
