//! The newest configuration: its document, and decoded. Decoding a large one takes long enough to delay heartbeats and
//! requests, so it gets a thread of its own.

use std::{future, ops::Deref, panic, sync::Arc};

use fleet::{config::Config, register::Document};
use platform::config::Error;
use slog::error;
use tokio::{sync::watch, task};

use crate::seeded::{
    context::Context,
    directory::{Directory, Newest},
};

/// Size up to which a configuration is decoded in place, in bytes.
const MAX_INLINE_BYTES: usize = 64 * 1024;

/// Decodes a configuration without delaying other tasks.
///
/// # Errors
///
/// Returns an [`enum@Error`] if it can't be decoded or its values are inconsistent.
pub(crate) async fn decode<T>(bytes: T) -> Result<Config, Error>
where
    T: Deref<Target: AsRef<[u8]>> + Send + 'static,
{
    if bytes.deref().as_ref().len() <= MAX_INLINE_BYTES {
        return platform::config::decode(bytes.deref().as_ref());
    }
    match task::spawn_blocking(move || platform::config::decode(bytes.deref().as_ref())).await {
        Ok(decoded) => decoded,
        Err(failure) if failure.is_panic() => panic::resume_unwind(failure.into_panic()),
        // The process stops.
        Err(_cancelled) => future::pending().await,
    }
}

impl Directory {
    /// The newest known configuration, as the operator sent it.
    pub(crate) fn document(&self) -> Option<Arc<Document>> {
        self.document.borrow().clone()
    }

    /// Watches the newest known configuration and the newest version that others hold.
    pub(crate) fn newest(&self) -> watch::Receiver<Newest> {
        self.newest.subscribe()
    }

    /// The newest known configuration, decoded.
    pub(crate) fn config(&self) -> Option<Arc<Config>> {
        self.newest.borrow().held.clone()
    }

    /// Installs a configuration unless one of the same version or a newer one is known.
    pub(crate) fn install(&self, document: Document) {
        self.document.send_if_modified(|held| {
            let newer = held.as_ref().is_none_or(|held| held.version < document.version);
            if newer {
                *held = Some(Arc::new(document));
            }
            newer
        });
    }

    /// Records that a control instance holds a version, which this instance may not have yet.
    pub(crate) fn announce_version(&self, version: u64) {
        self.newest.send_if_modified(|newest| {
            let newer = newest.announced < version;
            newest.announced = newest.announced.max(version);
            newer
        });
    }

    /// Version of the newest known configuration; 0 for none.
    pub(crate) fn version(&self) -> u64 {
        self.document.borrow().as_ref().map_or(0, |document| document.version)
    }

    /// Decodes each new configuration.
    pub(crate) async fn follow_documents(self, context: Context) {
        let mut documents = self.document.subscribe();
        loop {
            let newest = documents.borrow_and_update().clone();
            if let Some(document) = newest {
                let version = document.version;
                match decode(document).await {
                    Ok(config) => self.apply_config(config),
                    Err(error) => error!(context.log, "config_not_readable";
                        "version" => version, "fault" => %error),
                }
            }
            if documents.changed().await.is_err() {
                return;
            }
        }
    }

    fn apply_config(&self, config: Config) {
        let health_paths = config
            .services
            .iter()
            .filter_map(|service| Some((service.name.clone(), service.health_path.clone()?)));
        let mut inner = self.lock();
        inner.health_paths = health_paths.collect();
        let services = config.services.iter().map(|service| service.name.clone());
        inner.registry.set_services(config.version, services);
        drop(inner);
        self.newest.send_if_modified(|newest| {
            let newer = newest.held.as_ref().is_none_or(|held| held.version < config.version);
            if newer {
                newest.held = Some(Arc::new(config));
            }
            newer
        });
    }
}
