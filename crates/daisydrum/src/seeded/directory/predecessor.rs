//! Targets that announce themselves at one address.

use common::clock::Moment;
use fleet::registry::Target;

use crate::seeded::directory::Directory;

impl Directory {
    /// The target in service that an announcement would replace, with the path of its health check.
    pub(crate) fn predecessor(&self, target: &Target) -> Option<(Target, String)> {
        let inner = self.lock();
        let predecessor = inner.registry.predecessor(target)?;
        let path = inner.health_paths.get(&predecessor.service)?;
        Some((predecessor.clone(), path.clone()))
    }

    /// The path of the health check of a target that announces itself although a later one has replaced it.
    pub(crate) fn health_path_if_replaced(&self, target: &Target) -> Option<String> {
        let inner = self.lock();
        let path = inner.health_paths.get(&target.service)?;
        inner.registry.is_replaced(target).then(|| path.clone())
    }

    /// Marks the later targets at the address of one that is there as lost.
    pub(crate) fn expire_later_at_address(&self, target: &Target) {
        self.lock().registry.expire_later_at_address(target, Moment::now());
    }
}
