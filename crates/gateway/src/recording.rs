//! The record of a stream's origin while it is made: the request that began the stream waits for it, and the calls to the
//! instances that keep it report to it. The decisions are in [`placement::continuity::tally`].

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use placement::continuity::tally::{Outcome, Tally};
use tokio::{sync::Notify, time};

/// Longest wait until it is recorded where a stream begins; that is done while the prompt is computed.
const RECORD_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest further wait while it isn't certain whether it is.
const CERTAINTY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The record of a stream's origin; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Recording(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    tally: Mutex<Tally>,
    recorded: Notify,
}

impl Recording {
    /// Sets the number of control instances that are to keep the origin.
    pub fn set_holders(&self, control: usize) {
        self.tally().control = control;
    }

    /// Records that the origin is sent to a control instance; `false` if it must not be any more.
    pub fn send(&self) -> bool {
        self.tally().send()
    }

    /// Applies an acknowledgement.
    pub fn apply(&self, change: impl FnOnce(&mut Tally)) {
        let mut tally = self.tally();
        change(&mut tally);
        if tally.is_recorded() {
            self.0.recorded.notify_waiters();
        }
    }

    /// Whether an instance that takes the stream up finds the origin.
    pub(crate) fn is_recorded(&self) -> bool {
        self.tally().is_recorded()
    }

    /// Waits until an instance that takes the stream up finds the origin; whether one does.
    pub(crate) async fn resolve(&self) -> bool {
        time::timeout(RECORD_TIMEOUT, self.wait()).await.is_ok()
    }

    /// Stops waiting.
    pub(crate) fn withdraw(&self) -> Outcome {
        self.tally().withdraw()
    }

    /// Waits further while it isn't certain; whether an instance that takes the stream up finds the origin.
    pub(crate) async fn ascertain(&self) -> bool {
        time::timeout(CERTAINTY_TIMEOUT, self.wait()).await.is_ok()
    }

    async fn wait(&self) {
        loop {
            let notified = self.0.recorded.notified();
            if self.tally().is_recorded() {
                return;
            }
            notified.await;
        }
    }

    fn tally(&self) -> MutexGuard<'_, Tally> {
        self.0.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
