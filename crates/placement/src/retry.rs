//! How often the targets of a service may be sent a request once more.
//!
//! All instances together may send `ratio` of the requests and `slack` beside it once more in a window. Each
//! instance takes `ratio` of its own requests and an equal part of the slack, so no exchange is needed; a part is
//! held back for instances that this one does not know of.

use std::{collections::VecDeque, time::Duration};

use common::clock::Moment;

/// Part of the bounds that is used; the rest covers instances that are not known yet and the edges of windows.
const USED_SHARE: f64 = 0.75;

/// Bounds of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Length of a window.
    pub window: Duration,
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beside those, in a window, of all instances together.
    pub slack: f64,
}

/// What one instance has used for one service.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    requests: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

impl Budget {
    /// Counts a request that is sent for the first time.
    pub fn count(&mut self, bounds: &Bounds, now: Moment) {
        self.trim(bounds, now);
        self.requests.push_back(now);
    }

    /// Takes a repeat out of the budget; `false` if none is left among `instances`.
    pub fn take(&mut self, bounds: &Bounds, instances: usize, now: Moment) -> bool {
        if self.left(bounds, instances, now) < 1.0 {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    /// Repeats that are left in this window.
    pub fn left(&mut self, bounds: &Bounds, instances: usize, now: Moment) -> f64 {
        self.trim(bounds, now);
        let own = bounds.slack / instances.max(1) as f64;
        let allowed = USED_SHARE * (bounds.ratio * self.requests.len() as f64 + own);
        allowed - self.repeats.len() as f64
    }

    fn trim(&mut self, bounds: &Bounds, now: Moment) {
        for moments in [&mut self.requests, &mut self.repeats] {
            while moments.front().is_some_and(|moment| now.since(*moment) > bounds.window) {
                moments.pop_front();
            }
        }
    }
}
