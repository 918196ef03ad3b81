//! Division of a limit on requests to a target among all instances that send to it, without a message for each request.
//!
//! A limit is held by as many instances as can each send at least once in a turn of two seconds, the others send
//! nothing. The holders are the first instances for the target by [`crate::rendezvous`], so instances that know the same
//! fleet agree on them. Each holder has a token bucket with an
//! equal share of the rate and room for what accrues in one turn: in any window, all of them together send at most what
//! the rate allows in the window and one turn.
//!
//! An instance that doesn't know the fleet yet, since it has just started, holds nothing. One that is cut off keeps to
//! the fleet that it knew, so the two sides of a partition don't both use the whole limit.

use std::time::Duration;

use common::{clock::Moment, name};
use fleet::condition::Rate;

use crate::{quarantine::request::Place, rendezvous::rank};

/// Time in which each holder of a limit may send at least one request.
const TURN: Duration = Duration::from_secs(2);
/// The instances that send requests, as one of them knows them.
#[derive(Clone, Debug)]
pub struct Fleet {
    own: name::Instance,
    /// The others, sorted; none while they are not known.
    others: Option<Vec<name::Instance>>,
}

impl Fleet {
    /// The view of an instance that has just started and knows no other one.
    pub fn new(own: name::Instance) -> Fleet {
        Fleet { own, others: None }
    }

    /// Sets the other instances; returns whether that changes the view.
    pub fn set_others(&mut self, mut others: Vec<name::Instance>) -> bool {
        others.sort_unstable();
        let changed = self.others.as_ref() != Some(&others);
        self.others = Some(others);
        changed
    }

    /// Whether this instance is the one of the fleet to act for a number, by the same hash as for limits; `false` while
    /// the others are not known.
    pub fn is_first(&self, number: u64) -> bool {
        let key = format!("{number:x}");
        let own = rank(&key, &self.own);
        self.others
            .as_ref()
            .is_some_and(|others| others.iter().all(|other| rank(&key, other) > own))
    }

    /// The place of this instance in the order of names; `None` while the others are not known.
    pub fn place(&self) -> Option<Place> {
        let others = self.others.as_ref()?;
        let before = others.partition_point(|other| *other < self.own);
        Some(Place {
            position: u32::try_from(before).unwrap_or(u32::MAX),
            instances: u32::try_from(others.len() + 1).unwrap_or(u32::MAX),
        })
    }

    /// Requests a second that this instance may send of the `rate` that a target takes from all; 0 if others hold it.
    pub fn share(&self, target: &name::Target, rate: Rate) -> f64 {
        let rate = rate.per_second();
        let Some(others) = &self.others else {
            return 0.0;
        };
        let holders = holder_count(rate, others.len() + 1);
        let own = rank(&target.0, &self.own);
        let ahead = others.iter().filter(|other| rank(&target.0, other) < own).count();
        if ahead < holders { rate / holders as f64 } else { 0.0 }
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "saturates, and the result is clamped"
)]
fn holder_count(rate: f64, instances: usize) -> usize {
    ((rate * TURN.as_secs_f64()) as usize).clamp(1, instances)
}

/// Token bucket of one instance for one target. It starts empty, since others may just have sent.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    tokens: f64,
    updated: Moment,
}

impl Bucket {
    /// An empty bucket.
    pub fn new(now: Moment) -> Bucket {
        Bucket { tokens: 0.0, updated: now }
    }

    /// Time until a request may be sent at `rate` requests a second; none if never.
    pub fn wait(&self, rate: f64, now: Moment) -> Option<Duration> {
        let missing = 1.0 - self.tokens_at(rate, now);
        if missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        Duration::try_from_secs_f64(missing / rate).ok()
    }

    /// Takes the token of a request that is sent now. A request that is sent without one delays the next.
    pub fn take(&mut self, rate: f64, now: Moment) {
        self.tokens = self.tokens_at(rate, now) - 1.0;
        self.updated = now;
    }

    /// Returns the token of a request that was not sent.
    pub fn put_back(&mut self) {
        self.tokens += 1.0;
    }

    /// Credits what has accrued at `rate` until now, before the rate changes.
    pub fn accrue(&mut self, rate: f64, now: Moment) {
        self.tokens = self.tokens_at(rate, now);
        self.updated = now;
    }

    fn tokens_at(&self, rate: f64, now: Moment) -> f64 {
        let capacity = (rate * TURN.as_secs_f64()).max(1.0);
        (self.tokens + rate * now.since(self.updated).as_secs_f64()).min(capacity)
    }
}
