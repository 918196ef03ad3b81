//! The last lines of a process.

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

/// Counts lines, each of which takes a while to write.
#[derive(Clone)]
struct Slow {
    written: Arc<AtomicUsize>,
    pause: Duration,
}

impl Drain for Slow {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, _: &slog::Record<'_>, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        thread::sleep(self.pause);
        self.written.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }
}

/// Logs lines, and drops what writes them while another thread still holds the logger; how many were written, and
/// how long that took.
fn write(pause: Duration) -> (usize, Duration) {
    let written = Arc::new(AtomicUsize::new(0));
    let (writer, flush) = Writer::new(Slow { written: Arc::clone(&written), pause });
    let log = Logger::root(writer.fuse(), o!());
    std::mem::forget(log.clone());
    (0..LINES).for_each(|_| info!(log, "line"));
    drop(log);
    let since = Instant::now();
    drop(flush);
    (written.load(Ordering::Relaxed), since.elapsed())
}

#[test]
fn are_written_while_another_thread_holds_the_logger() {
    assert_eq!(write(Duration::from_millis(2)).0, LINES);
}

#[test]
fn are_not_waited_for_where_the_reader_has_stopped_reading() {
    let (written, took) = write(Duration::from_secs(600));
    assert_eq!(written, 0);
    assert!(took < Duration::from_secs(60), "{took:?}");
}
