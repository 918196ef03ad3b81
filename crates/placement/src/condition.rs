//! What a target says of itself in its responses: that it leaves, for how long it wants no requests, and how many it
//! takes.

use std::time::Duration;

use common::{clock::Moment, name};
use fleet::condition::{Rate, Report};

use crate::quota::{Bucket, Fleet};

/// Time after which a limit that no response has confirmed, here or at another instance, is taken for lifted.
const LIMIT_TTL: Duration = Duration::from_secs(20);
/// Shortest time between two notices to the other instances that say the same.
const NOTICE_INTERVAL: Duration = Duration::from_secs(1);

/// Condition of a target's process, as this instance knows it.
#[derive(Clone, Debug, Default)]
pub struct Condition {
    leaving: bool,
    /// Until when the target wants no requests from this instance.
    paused_until: Option<Moment>,
    limit: Option<Limit>,
    notified_at: Option<Moment>,
}

/// A limit on the requests that the target takes from all instances together.
#[derive(Clone, Copy, Debug)]
struct Limit {
    rate: Rate,
    /// This instance's share of it, in requests a second.
    share: f64,
    bucket: Bucket,
    /// When the target, or a notice, last named it.
    confirmed_at: Moment,
}

/// What a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// Nothing, but the other instances should be notified again.
    Confirmed,
    /// The condition.
    Changed,
}

impl Condition {
    /// Time until a request may be sent to the target; none if never.
    pub fn wait(&self, now: Moment) -> Option<Duration> {
        Some(self.wait_with_permit(now)?.max(self.permit_wait(now)?))
    }

    /// Like [`Condition::wait`], for a request that holds a permit already.
    pub fn wait_with_permit(&self, now: Moment) -> Option<Duration> {
        let pause = self.paused_until.map_or(Duration::ZERO, |until| until.since(now));
        (!self.leaving).then_some(pause)
    }

    fn permit_wait(&self, now: Moment) -> Option<Duration> {
        match self.active_limit(now) {
            Some(limit) => limit.bucket.wait(limit.share, now),
            None => Some(Duration::ZERO),
        }
    }

    fn active_limit(&self, now: Moment) -> Option<&Limit> {
        self.limit.as_ref().filter(|limit| now.since(limit.confirmed_at) < LIMIT_TTL)
    }

    /// Records a request that is sent now.
    pub fn take_permit(&mut self, now: Moment) {
        if let Some(limit) = &mut self.limit {
            limit.bucket.take(limit.share, now);
        }
    }

    /// Records that a request for which a permit was taken is not sent.
    pub fn put_permit_back(&mut self) {
        if let Some(limit) = &mut self.limit {
            limit.bucket.put_back();
        }
    }

    /// Applies what a response says, to a request that was sent at `sent_at`.
    pub fn apply_response(
        &mut self,
        report: &Report,
        target: &name::Target,
        fleet: &Fleet,
        sent_at: Moment,
        now: Moment,
    ) -> Change {
        if let Some(pause) = report.retry_after {
            self.paused_until = self.paused_until.max(Some(now + pause));
        }
        let before = (self.leaving, self.limit.map(|limit| limit.rate));
        self.leaving |= report.leaving;
        // A response to a request that was sent before the limit was named may be older than the limit.
        let outdated = |limit: &Limit| sent_at <= limit.confirmed_at;
        if report.limit.is_some() || !self.limit.as_ref().is_some_and(outdated) {
            self.set_limit(report.limit, target, fleet, now);
        }
        let after = (self.leaving, self.limit.map(|limit| limit.rate));
        let restricted = self.leaving || self.limit.is_some();
        let due = self.notified_at.is_none_or(|at| now.since(at) >= NOTICE_INTERVAL);
        if before != after {
            self.notified_at = Some(now);
            Change::Changed
        } else if restricted && due {
            self.notified_at = Some(now);
            Change::Confirmed
        } else {
            Change::None
        }
    }

    /// Applies a notice of another instance, which doesn't concern pauses; returns whether it changes the condition.
    pub fn apply_notice(
        &mut self,
        report: &Report,
        target: &name::Target,
        fleet: &Fleet,
        now: Moment,
    ) -> bool {
        let before = (self.leaving, self.limit.map(|limit| limit.rate));
        self.leaving |= report.leaving;
        self.set_limit(report.limit, target, fleet, now);
        before != (self.leaving, self.limit.map(|limit| limit.rate))
    }

    /// Divides the limit anew after a change of the fleet.
    pub fn update_share(&mut self, target: &name::Target, fleet: &Fleet, now: Moment) {
        if let Some(limit) = &mut self.limit {
            limit.bucket.accrue(limit.share, now);
            limit.share = fleet.share(target, limit.rate);
        }
    }

    /// What other instances should know.
    pub fn report(&self) -> Report {
        let limit = self.limit.map(|limit| limit.rate);
        Report { leaving: self.leaving, retry_after: None, limit }
    }

    fn set_limit(&mut self, rate: Option<Rate>, target: &name::Target, fleet: &Fleet, now: Moment) {
        let Some(rate) = rate else {
            self.limit = None;
            return;
        };
        match &mut self.limit {
            Some(limit) if limit.rate == rate => limit.confirmed_at = now,
            known => {
                let mut bucket = known.map_or_else(|| Bucket::new(now), |limit| limit.bucket);
                if let Some(limit) = known {
                    bucket.accrue(limit.share, now);
                }
                let share = fleet.share(target, rate);
                *known = Some(Limit { rate, share, bucket, confirmed_at: now });
            }
        }
    }
}
