//! Logs: one line of key=value pairs for each event, on standard error.

use std::io;

use slog::{Drain, Level, Logger, o};
use slog_async::{Async, OverflowStrategy};
use slog_logfmt::Logfmt;

const RING_LINES: usize = 4_096;

/// Starts the thread that writes log lines and returns the root logger.
///
/// Lines that find the ring full are dropped and counted in a later line, so that a slow terminal never
/// delays a request.
pub fn start(level: Level) -> Logger {
    let drain = Logfmt::new(io::stderr()).set_prefix(prefix).print_msg(false).build().fuse();
    let drain = Async::new(drain)
        .chan_size(RING_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .filter_level(level)
        .fuse();
    Logger::root(drain, o!())
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
