//! Which partner and service a call belongs to, by the hash of its key.

use std::sync::Arc;

use common::{collections, name};
use settings::{key, service, tree};

/// Whom a key stands for.
#[derive(Clone, Debug)]
pub struct Binding {
    /// The partner.
    pub partner: name::Partner,
    /// The service.
    pub service: name::Service,
    /// The organisation that the key was given to.
    pub organisation: name::Organisation,
    /// The service's effective settings.
    pub settings: Arc<service::Service>,
}

/// The keys of a tree.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    bindings: collections::Map<key::Hash, Binding>,
}

impl Directory {
    /// Indexes the keys of a tree.
    ///
    /// # Errors
    ///
    /// Returns the reason why the settings of a service don't have the form of a service.
    pub fn new(tree: &tree::Tree) -> Result<Directory, serde_json::Error> {
        let mut directory = Directory::default();
        for (partner, branch) in &tree.partners {
            for service in branch.services.keys() {
                let settings = Arc::new(tree::effective(&tree.venture, branch, service)?);
                directory.insert(partner, service, &settings);
            }
        }
        Ok(directory)
    }

    /// Finds whom a key stands for.
    pub fn find(&self, key: &str) -> Option<&Binding> {
        self.bindings.get(&key::Hash::of(key))
    }

    fn insert(
        &mut self,
        partner: &name::Partner,
        service: &name::Service,
        settings: &Arc<service::Service>,
    ) {
        for key in &settings.keys {
            let binding = Binding {
                partner: partner.clone(),
                service: service.clone(),
                organisation: name::Organisation(key.organisation.clone()),
                settings: Arc::clone(settings),
            };
            self.bindings.insert(key.sha256.clone(), binding);
        }
    }
}
