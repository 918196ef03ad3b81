//! The rate limit of debug lines.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use slog::{Drain, Logger, debug, info, o};
use telemetry::log::Limiter;

/// A drain that counts debug lines and other lines.
#[derive(Clone, Default)]
struct Count {
    debug_lines: Arc<AtomicUsize>,
    others: Arc<AtomicUsize>,
}

impl Drain for Count {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record<'_>, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        let counter =
            if record.level() == slog::Level::Debug { &self.debug_lines } else { &self.others };
        counter.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }
}

#[test]
fn debug_lines_are_limited_and_other_lines_are_always_written() {
    let count = Count::default();
    let log = Logger::root(Limiter::new(count.clone(), 10).fuse(), o!());
    for _ in 0..1_000 {
        debug!(log, "detail");
        info!(log, "failure");
    }
    let debug_lines = count.debug_lines.load(Ordering::Relaxed);
    // The loop may run into a second or third second, each of which passes 10 more.
    assert!((10..=40).contains(&debug_lines), "{debug_lines}");
    assert!(count.others.load(Ordering::Relaxed) >= 1_000);
}
