//! The bound on details in logs.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use slog::{Drain, Logger, debug, info, o};
use telemetry::log::Limiter;

/// Counts lines by level.
#[derive(Clone, Default)]
struct Count {
    details: Arc<AtomicUsize>,
    others: Arc<AtomicUsize>,
}

impl Drain for Count {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record<'_>, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        let counter =
            if record.level() == slog::Level::Debug { &self.details } else { &self.others };
        counter.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }
}

#[test]
fn details_are_bounded_and_other_lines_are_always_written() {
    let count = Count::default();
    let log = Logger::root(Limiter::new(count.clone(), 10).fuse(), o!());
    for _ in 0..1_000 {
        debug!(log, "detail");
        info!(log, "failure");
    }
    let details = count.details.load(Ordering::Relaxed);
    // The loop may run across the end of a second or two.
    assert!((10..=40).contains(&details), "{details}");
    assert!(count.others.load(Ordering::Relaxed) >= 1_000);
}
