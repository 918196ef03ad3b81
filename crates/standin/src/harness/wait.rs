//! Waits for conditions, with limits that also hold on a busy machine.

use std::time::Duration;

use tokio::time::{self, Instant};

/// Longest wait for any condition of a test.
pub const LIMIT: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(20);

/// Waits until `condition` holds.
///
/// # Panics
///
/// Panics with `what` when it doesn't hold within [`LIMIT`].
pub async fn until(what: &str, condition: impl AsyncFnMut() -> bool) {
    assert!(
        holds_within(LIMIT, condition).await,
        "condition did not hold within {LIMIT:?}: {what}"
    );
}

/// Whether `condition` holds at some time within `limit`.
pub async fn holds_within(limit: Duration, mut condition: impl AsyncFnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if condition().await {
            return true;
        }
        time::sleep(PAUSE).await;
    }
    false
}
