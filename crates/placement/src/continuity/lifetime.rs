//! How long the caller of a stream may come back to it.
//!
//! The caller says it with the request that begins the stream, and only for that stream; the timeouts of the routes say how
//! long one response may last, and change while streams run.

use std::time::Duration;

/// Longest lifetime of a stream that need not be recorded. Longer ones are recorded also while there is one version.
pub const UNRECORDED: Duration = Duration::from_secs(15);
/// Time added to what a caller states: clocks differ and jump by seconds, and the age of what is on disk goes by them.
pub const MARGIN: Duration = Duration::from_secs(5);
/// Shortest lifetime for which a record is kept: a caller may state the time of one attempt only.
pub const LEAST_RECORDED: Duration = Duration::from_secs(30);
/// Longest lifetime; a caller that states more is held to it, so that no record is kept for ever.
pub const LONGEST: Duration = Duration::from_secs(2 * 60 * 60);
/// Responses for which a caller that states no time may wait, one after the other.
const UNSTATED_RESPONSES: u32 = 2;

/// Time for which the record of a stream is kept that may be taken up for so many milliseconds; instances of earlier builds
/// don't state them.
pub fn recorded(lifetime_ms: Option<u64>) -> Duration {
    lifetime_ms.map_or(LEAST_RECORDED, Duration::from_millis).min(LONGEST + MARGIN)
}

/// The lifetime of a stream whose caller waits for `stated`, on a route with this timeout.
pub fn stream(stated: Option<Duration>, timeout: Duration) -> Duration {
    stated.unwrap_or(timeout * UNSTATED_RESPONSES).min(LONGEST)
}
