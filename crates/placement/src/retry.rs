//! Retry budgets: limits on the retries to the targets of a service.
//!
//! In a sliding window, all instances together may retry at most a share `ratio` of their requests plus `slack`
//! more. Each instance uses `ratio` of its own requests and an equal share of the slack, so the instances need not
//! coordinate. A reserve is left unused for instances that this one doesn't know of. A process that takes the place of an
//! earlier one has no slack for a window ([`Start`]).

use std::{collections::VecDeque, time::Duration};

use common::clock::Moment;

/// Share of the bounds that is used; the rest covers instances that aren't known yet and the edges of windows.
const USED_SHARE: f64 = 0.75;

/// Bounds on the retries of all instances together, for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries allowed per request.
    pub ratio: f64,
    /// Further retries allowed in a window, independent of the number of requests.
    pub slack: f64,
}

/// Start of the process that counts.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// When it started.
    pub at: Moment,
    /// Whether an earlier process of the instance may have used its share of the slack shortly before.
    pub has_predecessor: bool,
}

impl Start {
    /// The bounds that hold for the process.
    pub fn bounds(&self, bounds: &Bounds, now: Moment) -> Bounds {
        let is_used = self.has_predecessor && now.since(self.at) < bounds.window;
        let slack = if is_used { 0.0 } else { bounds.slack };
        Bounds { slack, ..*bounds }
    }
}

/// Retry budget of one instance for one service.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    /// Times of the first attempts in the window.
    requests: VecDeque<Moment>,
    /// Times of the retries in the window.
    retries: VecDeque<Moment>,
}

impl Budget {
    /// Counts the first attempt of a request.
    pub fn count(&mut self, bounds: &Bounds, now: Moment) {
        self.trim(bounds, now);
        self.requests.push_back(now);
    }

    /// Takes a retry from the budget, which `instances` share; `false` if none is left.
    pub fn take(&mut self, bounds: &Bounds, instances: usize, now: Moment) -> bool {
        if self.left(bounds, instances, now) < 1.0 {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Retries that are left in the current window.
    pub fn left(&mut self, bounds: &Bounds, instances: usize, now: Moment) -> f64 {
        self.trim(bounds, now);
        let own_slack = bounds.slack / instances.max(1) as f64;
        let allowed = USED_SHARE * (bounds.ratio * self.requests.len() as f64 + own_slack);
        allowed - self.retries.len() as f64
    }

    /// Removes what has left the window.
    fn trim(&mut self, bounds: &Bounds, now: Moment) {
        for moments in [&mut self.requests, &mut self.retries] {
            while moments.front().is_some_and(|moment| now.since(*moment) > bounds.window) {
                moments.pop_front();
            }
        }
    }
}
