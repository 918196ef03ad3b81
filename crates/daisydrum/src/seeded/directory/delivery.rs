//! Whether other instances have received a change.

use std::time::Duration;

use common::clock::Moment;
use tokio::time;

use crate::seeded::directory::{Directory, INSTANCE_TIMEOUT};

impl Directory {
    /// Waits until all live subscribers have received a revision, at most for `limit`.
    pub(crate) async fn wait_for_delivery(&self, revision: u64, limit: Duration) {
        let mut polled = self.polled.subscribe();
        let all = async {
            while !self.is_delivered(revision, Moment::now()) {
                if polled.changed().await.is_err() {
                    return;
                }
            }
        };
        // A subscriber that can't be reached must not delay the response any longer.
        let _elapsed = time::timeout(limit, all).await;
    }

    fn is_delivered(&self, revision: u64, now: Moment) -> bool {
        let inner = self.lock();
        let alive = inner
            .subscribers
            .values()
            .filter(|subscriber| now.since(subscriber.seen) < INSTANCE_TIMEOUT);
        alive.into_iter().all(|subscriber| {
            subscriber.cursor.incarnation == self.incarnation
                && subscriber.cursor.revision >= revision
        })
    }
}
