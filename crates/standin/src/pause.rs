//! Pauses of a sound stand-in: at a point of each response, or of all that it does.

use std::time::Duration;

use tokio::{
    sync::watch,
    time::{self, Instant},
};

/// Where a response pauses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Point {
    /// Before the head.
    Head,
    /// Between the head and the first event.
    FirstEvent,
    /// Before the event of the output token with this position, from 0.
    Event(u32),
    /// Before the closing event.
    End,
}

/// A pause in each response that passes a point; the response then goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pause {
    /// The point.
    pub point: Point,
    /// How long nothing is sent.
    pub length: Duration,
}

/// Waits for the pauses at a point.
pub(crate) async fn at(point: Point, pauses: &[Pause]) {
    for pause in pauses.iter().filter(|pause| pause.point == point) {
        time::sleep(pause.length).await;
    }
}

/// Pauses everything that waits on it.
#[derive(Debug)]
pub(crate) struct Gate(watch::Sender<Instant>);

impl Default for Gate {
    fn default() -> Gate {
        Gate(watch::Sender::new(Instant::now()))
    }
}

impl Gate {
    /// Closes the gate for a time.
    pub(crate) fn close_for(&self, length: Duration) {
        self.0.send_replace(Instant::now() + length);
    }

    /// Waits until the gate is open.
    pub(crate) async fn passed(&self) {
        loop {
            let opens = *self.0.borrow();
            if opens <= Instant::now() {
                return;
            }
            time::sleep_until(opens).await;
        }
    }
}
