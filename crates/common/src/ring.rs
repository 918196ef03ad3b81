//! Bounded queues between the threads of a process.
//!
//! A sender never waits: a full ring returns an error at once.

use crossbeam::channel;
use derive_more::{Display, Error};

/// Why a message was not accepted.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Refusal {
    /// The ring holds as many messages as it can.
    #[display("the ring is full")]
    Full,
    /// The receiver was dropped.
    #[display("the ring is closed")]
    Closed,
}

/// The sending half of a ring.
#[derive(Debug)]
pub struct Sender<T>(channel::Sender<T>);

/// The receiving half of a ring.
pub type Receiver<T> = channel::Receiver<T>;

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Sender<T> {
        Sender(self.0.clone())
    }
}

impl<T> Sender<T> {
    /// Sends without waiting.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the ring is full or closed; the message is dropped.
    pub fn send(&self, message: T) -> Result<(), Refusal> {
        self.0.try_send(message).map_err(|error| match error {
            channel::TrySendError::Full(_) => Refusal::Full,
            channel::TrySendError::Disconnected(_) => Refusal::Closed,
        })
    }

    /// Number of messages in the ring.
    pub fn depth(&self) -> usize {
        self.0.len()
    }
}

/// Creates a ring that holds at most `capacity` messages.
pub fn bounded<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (sender, receiver) = channel::bounded(capacity);
    (Sender(sender), receiver)
}
