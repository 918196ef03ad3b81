//! Cancellation of a process's threads, connections and requests.

/// A cancellation token; cancelling it cancels its clones and child tokens.
pub type Token = tokio_util::sync::CancellationToken;
