//! Which partner and service a call belongs to, by the hash of its key.

use std::sync::Arc;

use common::{collections, name};
use route::router::Owner;
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
    services: Vec<Arc<Service>>,
    bindings: collections::Map<key::Hash, Binding>,
}

impl Directory {
    /// Indexes the services and keys of a tree.
    ///
    /// # Errors
    ///
    /// Returns the reason why the settings of a service don't have the form of a service.
    pub fn new(tree: &tree::Tree) -> Result<Directory, serde_json::Error> {
        let mut directory = Directory::default();
        for (partner, branch) in &tree.partners {
            for name in branch.services.keys() {
                let settings = Arc::new(tree::effective(&tree.venture, branch, name)?);
                let owner = Owner { partner: partner.clone(), service: name.clone() };
                directory.insert(Arc::new(Service { owner, settings }));
            }
        }
        Ok(directory)
    }

    /// Finds whom a key stands for.
    pub fn find(&self, key: &str) -> Option<&Binding> {
        self.bindings.get(&key::Hash::of(key))
    }

    /// The services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.iter().map(AsRef::as_ref)
    }

    fn insert(&mut self, service: Arc<Service>) {
        for key in &service.settings.keys {
            let organisation = name::Organisation(key.organisation.clone());
            let binding = Binding { service: Arc::clone(&service), organisation };
            self.bindings.insert(key.sha256.clone(), binding);
        }
        self.services.push(service);
    }
}
