//! Completed flushes of a connection.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use futures::task::AtomicWaker;

/// Counts the completed flushes of one connection; clones share the count.
///
/// A flush is completed when the kernel has accepted all bytes that were written before.
#[derive(Clone, Debug, Default)]
pub struct Counter(Arc<State>);

#[derive(Debug, Default)]
struct State {
    completed: AtomicU64,
    waiting: AtomicWaker,
}

impl Counter {
    /// Number of completed flushes.
    pub fn completed(&self) -> u64 {
        self.0.completed.load(Ordering::Acquire)
    }

    /// Records a completed flush.
    pub fn record(&self) {
        self.0.completed.fetch_add(1, Ordering::AcqRel);
        self.0.waiting.wake();
    }

    /// Is ready once more than `completed` flushes are completed. Only the task that asked last is woken.
    pub fn poll_beyond(&self, completed: u64, context: &mut Context<'_>) -> Poll<()> {
        self.0.waiting.register(context.waker());
        if self.completed() > completed { Poll::Ready(()) } else { Poll::Pending }
    }
}
