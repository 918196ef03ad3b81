//! Flush of the last log lines when a process ends.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use slog::{Drain, Logger, info, o};
use telemetry::log::Writer;

const LINES: usize = 20;

/// A drain that counts lines and takes a while for each.
#[derive(Clone)]
struct SlowDrain {
    written: Arc<AtomicUsize>,
    pause: Duration,
}

impl Drain for SlowDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, _: &slog::Record<'_>, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        thread::sleep(self.pause);
        self.written.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }
}

/// Logs lines and drops the flush while the logger is still held elsewhere; returns how many lines were written, and how
/// long the drop took.
fn log_and_flush(pause: Duration) -> (usize, Duration) {
    let written = Arc::new(AtomicUsize::new(0));
    let (writer, flush) = Writer::new(SlowDrain { written: Arc::clone(&written), pause });
    let log = Logger::root(writer.fuse(), o!());
    std::mem::forget(log.clone());
    (0..LINES).for_each(|_| info!(log, "line"));
    drop(log);
    let since = Instant::now();
    drop(flush);
    (written.load(Ordering::Relaxed), since.elapsed())
}

#[test]
fn last_lines_are_written_while_another_thread_holds_the_logger() {
    assert_eq!(log_and_flush(Duration::from_millis(2)).0, LINES);
}

#[test]
fn a_reader_that_has_stopped_does_not_delay_the_end() {
    let (written, took) = log_and_flush(Duration::from_secs(600));
    assert_eq!(written, 0);
    assert!(took < Duration::from_secs(60), "{took:?}");
}
