//! Log lines: one line of key=value pairs for each event, on standard error.

use std::{
    io,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread,
    time::Duration,
};

use slog::{Drain, Level, Logger, o};
use slog_async::{AsyncCore, AsyncGuard};
use slog_logfmt::Logfmt;

const RING_LINES: usize = 4_096;
/// Longest time that an ending process waits until its last lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// Event of the line that counts the lines dropped because the ring was full.
const DROPPED: &str = "log_lines_dropped";
/// Event of the line that counts the debug lines above the rate limit.
const LEFT_OUT: &str = "log_lines_left_out";

/// Starts the thread that writes log lines, and returns the root logger.
///
/// At most `details_per_s` debug lines are written per second; the rest is left out and counted in a later line. Lines
/// of higher levels are not limited. While the ring to the thread is full, lines are dropped and counted in a later
/// line, so that a slow terminal never delays a request. Dropping the [`Flush`] writes the last lines.
pub fn start(level: Level, details_per_s: u64) -> (Logger, Flush) {
    let drain = Logfmt::new(io::stderr()).set_prefix(prefix).print_msg(false).build();
    let (writer, flush) = Writer::new(Lossy(drain));
    let drain = writer.filter_level(level).fuse();
    (Logger::root(Limiter::new(drain, details_per_s).fuse(), o!()), flush)
}

/// A drain that drops and counts the lines that another one can't write, such as those for a file on a full disk.
struct Lossy<D>(D);

impl<D: Drain> Drain for Lossy<D> {
    type Ok = ();
    type Err = slog::Never;

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<(), slog::Never> {
        if self.0.log(record, values).is_err() {
            metrics::counter!("daisydrum_log_lines_dropped_total").increment(1);
        }
        Ok(())
    }
}

/// Passes lines to the thread that writes them, and drops lines while the ring to the thread is full.
pub struct Writer {
    ring: AsyncCore,
    /// Lines dropped since the last one that was accepted.
    dropped: AtomicU64,
}

impl Writer {
    /// Starts the thread that passes lines to `drain`.
    pub fn new(drain: impl Drain<Ok = (), Err = slog::Never> + Send + 'static) -> (Writer, Flush) {
        let (ring, guard) =
            AsyncCore::custom(drain).chan_size(RING_LINES).blocking(false).build_with_guard();
        (Writer { ring, dropped: AtomicU64::new(0) }, Flush(Some(guard)))
    }
}

/// Writes the remaining lines when it is dropped, even while other threads still hold the logger.
///
/// It waits for a bounded time only, so that a reader that has stopped reading can't keep the process from ending.
#[must_use = "the last lines are written when it is dropped"]
pub struct Flush(Option<AsyncGuard>);

impl Drain for Writer {
    type Ok = ();
    type Err = slog::Never;

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<(), slog::Never> {
        if self.ring.log(record, values).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("daisydrum_log_lines_dropped_total").increment(1);
            return Ok(());
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let location = slog::record_static!(Level::Warning, "");
            let count = slog::b!("count" => dropped);
            let message = format_args!("{DROPPED}");
            // If the ring is full again, the count is carried over to the next line.
            if self.ring.log(&slog::Record::new(&location, &message, count), values).is_err() {
                self.dropped.fetch_add(dropped, Ordering::Relaxed);
            }
        }
        Ok(())
    }
}

impl Drop for Flush {
    fn drop(&mut self) {
        let guard = self.0.take();
        let (end, ended) = mpsc::channel();
        let flush = thread::Builder::new().name(String::from("log flush")).spawn(move || {
            drop(guard);
            let _waiting = end.send(());
        });
        if flush.is_ok() {
            let _in_time = ended.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// A drain that passes a bounded number of debug lines per second on to another; lines of higher levels always pass.
#[derive(Debug)]
pub struct Limiter<D> {
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

impl<D> Limiter<D> {
    /// Limits the debug lines that `drain` gets to `per_s` per second.
    pub fn new(drain: D, per_s: u64) -> Limiter<D> {
        Limiter { drain, per_s, window: Mutex::default() }
    }

    /// Returns whether a debug line may pass, and how many were left out in the previous second with debug lines.
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

impl<D: Drain<Ok = (), Err = slog::Never>> Drain for Limiter<D> {
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
            let location = slog::record_static!(Level::Info, "");
            let count = slog::b!("count" => left_out);
            self.drain
                .log(&slog::Record::new(&location, &format_args!("{LEFT_OUT}"), count), values)?;
        }
        if passes { self.drain.log(record, values) } else { Ok(()) }
    }
}

/// Returns a logger that writes nothing, for tests and examples.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Writes the pairs that begin each line: its time, level and event.
fn prefix(output: &mut dyn io::Write, record: &slog::Record<'_>) -> slog::Result {
    let level = record.level().as_str().to_ascii_lowercase();
    let event = record.msg();
    write!(output, "ts_ms={} level={level} event=\"{event}\" ", common::clock::unix_ms())?;
    Ok(())
}
