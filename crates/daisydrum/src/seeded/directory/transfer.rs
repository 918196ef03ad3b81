//! Transfers of the configuration: to this instance, and from a control instance to others.

use std::sync::{MutexGuard, PoisonError};

use distribution::download::{self, Download, Step};
use fleet::exchange::segment::{Segment, Wanted};
use tokio::task;

use crate::seeded::directory::Directory;

impl Directory {
    /// Waits for the turn to ask for a segment: concurrent transfers would share the bandwidth of a slow link.
    pub(crate) async fn take_download_turn(&self) -> tokio::sync::MutexGuard<'_, ()> {
        self.download_turn.lock().await
    }

    /// The transfer of a newer configuration to this instance.
    pub(crate) fn download(&self) -> MutexGuard<'_, Download> {
        self.download.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a segment to the transfer, and installs the configuration that it completes.
    ///
    /// # Errors
    ///
    /// Returns a [`download::Error`] if the transfer can't be used; it begins anew.
    pub(crate) fn receive(&self, segment: &Segment) -> Result<(), download::Error> {
        let held = self.document();
        let step = self.download().receive(segment, held.as_deref())?;
        if let Step::Complete(document) = step {
            self.install(document);
        }
        Ok(())
    }

    /// The segment that another instance asks for.
    pub(super) async fn segment(&self, wanted: Wanted) -> Option<Segment> {
        let directory = self.clone();
        let segment = move || {
            directory.record_patch();
            directory.patches.lock().unwrap_or_else(PoisonError::into_inner).segment(&wanted)
        };
        // Differences between large documents take some time.
        task::spawn_blocking(segment).await.ok().flatten()
    }

    /// Records the difference to each new configuration, before instances ask for it.
    pub(crate) async fn follow_patches(self) {
        let mut documents = self.document.subscribe();
        while documents.changed().await.is_ok() {
            let directory = self.clone();
            let _ended = task::spawn_blocking(move || directory.record_patch()).await;
        }
    }

    fn record_patch(&self) {
        let mut patches = self.patches.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(document) = self.document() {
            patches.record(&document);
        }
    }
}
