//! Spreads the questions of instances that have just started over their peers, and throttles the large answers.
//!
//! When half of a fleet restarts after a power loss, dozens of instances ask for several hundred kilobytes at once,
//! over links that carry about a megabyte a second. If all asked in the same order, all would wait for the same few
//! peers.

use std::time::Duration;

use common::{clock::Moment, name, random::Random};

use crate::exchange::Identity;

/// Minimum time between two large answers: about one and a half times what one takes over a link of 10 Mbit/s, so
/// that a third of the link stays free for other traffic.
const INTERVAL: Duration = Duration::from_millis(500);

/// The order in which to ask peers: those in `data_centre` first, then the others, each group in random order.
pub fn order(
    mut peers: Vec<Identity>,
    data_centre: &name::DataCentre,
    random: &mut Random,
) -> Vec<Identity> {
    peers.sort_by_cached_key(|peer| (peer.data_centre != *data_centre, random.next_u64()));
    peers
}

/// Limits the rate of an instance's large answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throttle {
    last: Option<Moment>,
}

impl Throttle {
    /// Whether an answer may be given now; if so, further ones are refused until the interval has passed.
    pub fn try_acquire(&mut self, now: Moment) -> bool {
        let allowed = self.last.is_none_or(|last| now.since(last) >= INTERVAL);
        if allowed {
            self.last = Some(now);
        }
        allowed
    }
}
