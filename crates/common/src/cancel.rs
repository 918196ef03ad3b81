//! Cancellation passed down from a process to its threads, connections and requests.

/// A token whose clones and children observe one cancellation.
pub type Token = tokio_util::sync::CancellationToken;
