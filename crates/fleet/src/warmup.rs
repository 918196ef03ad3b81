//! Who is asked for a large answer by instances that have just started, and how often one gives it.
//!
//! Answers the load after half of a fleet has lost power: dozens of instances ask for several hundred kilobytes at
//! once, over links that carry a megabyte in a second. Asked in the same order, all wait for the same few.

use std::time::Duration;

use common::{clock::Moment, name, random::Random};

use crate::exchange::Identity;

/// Time that one answer takes over a link of 10 Mbit/s, and half as much for what else the link carries.
const SPACING: Duration = Duration::from_millis(500);

/// The order in which others are asked: those of the own data centre first, each group at random.
pub fn order(
    mut others: Vec<Identity>,
    data_centre: &name::DataCentre,
    random: &mut Random,
) -> Vec<Identity> {
    others.sort_by_cached_key(|identity| (identity.data_centre != *data_centre, random.word()));
    others
}

/// Spaces the large answers of one instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throttle {
    last: Option<Moment>,
}

impl Throttle {
    /// Whether an answer may be given now; if so, the next one has to wait.
    pub fn try_acquire(&mut self, now: Moment) -> bool {
        let free = self.last.is_none_or(|last| now.since(last) >= SPACING);
        if free {
            self.last = Some(now);
        }
        free
    }
}
