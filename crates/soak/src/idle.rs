//! Decides for how long callers may keep a connection without a request, and checks that it is kept for so long.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    history::{Change, Disturbance, History, Request},
    plan::{Fault, Victim},
};

/// Share of the idle time within which callers send again.
const SHARE: f64 = 0.8;
/// Time after its acknowledgement from which a version counts as in force.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Whether a connection without a request since `since` may be used at `now`: at each moment the time without a request
/// was within the share of the idle time of each version that may have been in force.
///
/// A version may be in force from when it was sent until a later one has settled, which takes longer beside
/// `disturbances`.
pub fn is_kept(
    changes: &[Change],
    disturbances: &[Disturbance],
    since: Duration,
    now: Duration,
) -> bool {
    changes.iter().enumerate().all(|(number, change)| {
        let later = changes[number + 1..].iter().filter_map(|later| later.acknowledged);
        let superseded = later.map(|at| settled(at, disturbances)).min();
        let until = superseded.map_or(now, |at| at.min(now));
        let was_in_force = change.sent <= now && since <= until;
        !was_in_force || until - since <= change.idle_time.mul_f64(SHARE)
    })
}

/// When a version that was acknowledged at `at` is in force: after some time without a disturbance.
fn settled(at: Duration, disturbances: &[Disturbance]) -> Duration {
    let mut from = at;
    loop {
        let beside = disturbances
            .iter()
            .filter(|other| other.overlaps(from, from.saturating_add(SETTLE_TIME)));
        match beside.map(|other| other.until).max() {
            Some(until) if until > from => from = until.saturating_add(Duration::from_nanos(1)),
            Some(_) | None => return from.saturating_add(SETTLE_TIME),
        }
    }
}

/// Requests on kept connections that were closed although an instance should have kept them.
///
/// A connection that closes under a request that a target has run was not idle.
pub fn closed_early(history: &History) -> Vec<&Request> {
    let runs: BTreeSet<&str> = history.runs.iter().map(|(_, run)| run.id.as_str()).collect();
    let unanswered = history.requests.iter().filter(|request| request.response.status.is_none());
    let closed = unanswered.filter(|request| !runs.contains(request.id.as_str()));
    let closed = closed.filter(|request| {
        request.kept_since.is_some_and(|since| {
            let of_fleet = |other: &Disturbance| match other.victim {
                Victim::Control(_) => true,
                Victim::Entry(entry) => entry == request.entry,
                Victim::Target(_) | Victim::DataCentre(_) | Victim::Targets => false,
            };
            let disturbances: Vec<Disturbance> =
                history.disturbances.iter().copied().filter(of_fleet).collect();
            let ended = disturbances.iter().any(|other| {
                other.victim == Victim::Entry(request.entry)
                    && matches!(other.fault, Fault::Kill | Fault::Stop | Fault::Freeze)
                    && other.overlaps(since, request.ended)
            });
            !ended && is_kept(&history.changes, &disturbances, since, request.sent)
        })
    });
    closed.collect()
}
