//! Logs: one line of key=value pairs for each event, on standard error.

use std::{
    io,
    sync::{Mutex, PoisonError},
};

use slog::{Drain, Level, Logger, o};
use slog_async::{Async, OverflowStrategy};
use slog_logfmt::Logfmt;

const RING_LINES: usize = 4_096;
/// Event of the line that tells how many lines were left out.
const LEFT_OUT: &str = "log_lines_left_out";

/// Starts the thread that writes log lines and returns the root logger.
///
/// Lines that find the ring full are dropped and counted in a later line, so that a slow terminal never
/// delays a request.
pub fn start(level: Level) -> Logger {
    start_limited(level, u64::MAX)
}

/// As [`start`], with at most `details_per_s` lines of the level debug in a second; the rest is left out and counted
/// in a line, while lines of the other levels are always written.
pub fn start_limited(level: Level, details_per_s: u64) -> Logger {
    let drain = Logfmt::new(io::stderr()).set_prefix(prefix).print_msg(false).build().fuse();
    let drain = Async::new(drain)
        .chan_size(RING_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .filter_level(level)
        .fuse();
    Logger::root(Limit::new(drain, details_per_s).fuse(), o!())
}

/// Passes a bounded number of details on in each second.
#[derive(Debug)]
pub struct Limit<D> {
    drain: D,
    per_s: u64,
    window: Mutex<Window>,
}

#[derive(Debug, Default)]
struct Window {
    second: u64,
    passed: u64,
    left_out: u64,
}

impl<D> Limit<D> {
    /// Bounds what `drain` gets.
    pub fn new(drain: D, per_s: u64) -> Limit<D> {
        Limit { drain, per_s, window: Mutex::default() }
    }

    /// Whether a detail may pass now, and how many were left out in the second before.
    fn admit(&self, second: u64) -> (bool, u64) {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let mut left_out = 0;
        if window.second != second {
            left_out = window.left_out;
            *window = Window { second, ..Window::default() };
        }
        let passes = window.passed < self.per_s;
        if passes {
            window.passed += 1;
        } else {
            window.left_out += 1;
        }
        (passes, left_out)
    }
}

impl<D: Drain<Ok = (), Err = slog::Never>> Drain for Limit<D> {
    type Ok = ();
    type Err = slog::Never;

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<(), slog::Never> {
        if record.level().is_at_least(Level::Info) {
            return self.drain.log(record, values);
        }
        let (passes, left_out) = self.admit(common::clock::unix_ms() / 1_000);
        if left_out > 0 {
            metrics::counter!("daisydrum_log_lines_left_out_total").increment(left_out);
            let place = slog::record_static!(Level::Info, "");
            let count = slog::b!("count" => left_out);
            self.drain
                .log(&slog::Record::new(&place, &format_args!("{LEFT_OUT}"), count), values)?;
        }
        if passes { self.drain.log(record, values) } else { Ok(()) }
    }
}

/// A logger that writes nothing, for tests and examples.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn prefix(output: &mut dyn io::Write, record: &slog::Record<'_>) -> slog::Result {
    let level = record.level().as_str().to_ascii_lowercase();
    let event = record.msg();
    write!(output, "ts_ms={} level={level} event=\"{event}\" ", common::clock::unix_ms())?;
    Ok(())
}
