//! Doubt whether the process at the address of a target is still the one that announced itself.
//!
//! A connection that is refused, breaks or is closed early may mean that the process has ended. Its successor may have the
//! same name and other software, and nobody knows that before it announces itself. A sound process settles the doubt by
//! saying when it started; one that can't be asked is trusted again once a successor would have announced itself.

use std::time::Duration;

use common::clock::Moment;

/// Time after which a successor has announced itself: targets do so every 1.2 s, and announcements may arrive seconds late.
pub const LONGEST: Duration = Duration::from_secs(5);

/// The doubt about one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Doubt {
    since: Option<Moment>,
}

impl Doubt {
    /// Raises the doubt, or renews it.
    pub fn raise(&mut self, now: Moment) {
        self.since = Some(now);
    }

    /// Ends the doubt: the process is the one that announced itself.
    pub fn settle(&mut self) {
        self.since = None;
    }

    /// Whether the doubt holds.
    pub fn holds(&self, now: Moment) -> bool {
        self.since.is_some_and(|since| now.since(since) < LONGEST)
    }
}
