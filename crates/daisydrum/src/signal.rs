//! Waits for the signals that stop the daemon.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// SIGTERM and SIGINT.
#[derive(Debug)]
pub struct Stop {
    terminate: Signal,
    interrupt: Signal,
}

impl Stop {
    /// Starts to listen for the signals.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when the handlers can't be set.
    pub fn new() -> io::Result<Stop> {
        Ok(Stop {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
