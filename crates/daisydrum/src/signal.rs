//! Signals that stop the daemon.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// SIGXFSZ on Linux: a write exceeds the limit on the size of files.
const FILE_SIZE: i32 = 25;

/// Receives SIGTERM and SIGINT.
#[derive(Debug)]
pub struct Stop {
    terminate: Signal,
    interrupt: Signal,
    /// Handled so that such a write fails as on a full disk, instead of ending the process.
    _file_size: Signal,
}

impl Stop {
    /// Installs handlers for these signals.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when a handler can't be installed.
    pub fn new() -> io::Result<Stop> {
        Ok(Stop {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            _file_size: signal(SignalKind::from_raw(FILE_SIZE))?,
        })
    }

    /// Waits for the next of the two signals.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
