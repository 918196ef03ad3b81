//! Parts of the review's cases: a record, daemons as the deploy file starts them, runners, a proxy, and an HTTP client.
//!
//! Everything runs on loopback addresses and the real clock, with the standard library alone.

pub mod case;
pub mod fleet;
pub mod gate;
pub mod http;
pub mod record;
pub mod runner;
pub mod story;

use std::{
    env,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Whether the disruption of the case is brought about.
pub fn trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Sleeps for milliseconds.
pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Waits until a condition holds; `false` if it doesn't within `limit`.
pub fn until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        sleep_ms(50);
    }
    false
}
