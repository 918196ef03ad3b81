//! Signals that stop the daemon.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Receives SIGTERM and SIGINT.
#[derive(Debug)]
pub struct Stop {
    terminate: Signal,
    interrupt: Signal,
}

impl Stop {
    /// Installs handlers for both signals.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when a handler can't be installed.
    pub fn new() -> io::Result<Stop> {
        Ok(Stop {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
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
