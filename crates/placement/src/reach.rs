//! Which services' targets this instance is cut off from, by the connections that it tries to make to them.
//!
//! Failures to connect to several targets in a short time, with none of them reached in between, are taken for a fault
//! on this instance's side. The first target that is reached ends it. A target that failed while others were reached is at
//! fault itself, so that it doesn't count for some time.

use std::time::Duration;

use common::{clock::Moment, collections::Map, name};
use fleet::exchange::{self, MAX_CUT_OFF};

/// Time within which the failures must fall.
const WINDOW: Duration = Duration::from_millis(1_000);
/// Targets that must have failed, or all that the service has.
const MIN_FAILED: usize = 3;
/// Failures at a target that are closer together count once: attempts that begin together fail together.
const MIN_SEPARATION: Duration = Duration::from_millis(20);
/// Time for which a target that failed while others were reached doesn't count, since it last failed.
const FAULT_TTL: Duration = Duration::from_secs(5);
/// Targets that failed before a shorter cut are at fault themselves: the first probe reached another one.
const MIN_CUT: Duration = Duration::from_millis(300);
/// Targets at fault that are kept for a service.
const MAX_FAULTS: usize = 32;
/// Time between two rounds of probes to a service's targets.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest time between two published states.
const MIN_NOTICE_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a state that names services is published again.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);
/// How often a state is published again at the shortest interval, for those that a notice didn't reach.
const REPEATS: u32 = 3;

/// What became of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// None of its targets is reached any more.
    CutOff,
    /// One of its targets is reached again.
    Reached,
}

/// Failure to connect to a target.
#[derive(Clone, Debug)]
struct Failure {
    target: name::Target,
    first: Moment,
    last: Moment,
}

#[derive(Debug, Default)]
struct Entry {
    /// At most [`MIN_FAILED`], of different targets, since one was last reached; the latest at the end.
    failures: Vec<Failure>,
    /// Targets that failed while others were reached, at most [`MAX_FAULTS`], each with when it last failed.
    faults: Vec<(name::Target, Moment)>,
    cut_off_since: Option<Moment>,
    probed_at: Option<Moment>,
}

/// What is known of each service.
#[derive(Debug, Default)]
pub struct Table {
    services: Map<name::Service, Entry>,
}

impl Table {
    /// Records that a target of the service accepted a connection or sent something.
    pub fn record_reached(&mut self, service: &name::Service, now: Moment) -> Option<Change> {
        let entry = self.services.get_mut(service)?;
        let since = entry.cut_off_since.take();
        if since.is_some_and(|since| now.since(since) >= MIN_CUT) {
            entry.failures.clear();
        }
        entry.record_faults(now);
        since.map(|_| Change::Reached)
    }

    /// Records that no connection could be made to a target; `targets` is the number of the service's targets that take
    /// requests.
    pub fn record_unreached(
        &mut self,
        service: &name::Service,
        target: &name::Target,
        targets: usize,
        now: Moment,
    ) -> Option<Change> {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Entry::default());
        }
        let entry = self.services.get_mut(service)?;
        entry.record_failure(target, targets, now);
        if entry.cut_off_since.is_some() || !entry.is_verdict(targets) {
            return None;
        }
        entry.cut_off_since = Some(now);
        Some(Change::CutOff)
    }

    /// Whether this instance is cut off from the service's targets.
    pub fn is_cut_off(&self, service: &name::Service) -> bool {
        self.services.get(service).is_some_and(|entry| entry.cut_off_since.is_some())
    }

    /// Whether a target was not reached lately, so that others should be probed now; marks the round of probes as begun.
    /// The next one begins after an interval.
    pub fn take_probe(&mut self, service: &name::Service, now: Moment) -> bool {
        let Some(entry) = self.services.get_mut(service) else {
            return false;
        };
        let failed_lately =
            entry.failures.last().is_some_and(|failure| now.since(failure.last) <= WINDOW);
        if !failed_lately && entry.cut_off_since.is_none() {
            return false;
        }
        if entry.probed_at.is_some_and(|probed| now.since(probed) < PROBE_INTERVAL) {
            return false;
        }
        entry.probed_at = Some(now);
        true
    }

    /// Services that are cut off, each with when that began.
    pub fn cut_off(&self) -> impl Iterator<Item = (&name::Service, Moment)> {
        self.services
            .iter()
            .filter_map(|(service, entry)| entry.cut_off_since.map(|since| (service, since)))
    }

    /// Forgets services that are no longer declared.
    pub fn retain(&mut self, declared: impl Fn(&name::Service) -> bool) {
        self.services.retain(|service, _| declared(service));
    }
}

impl Entry {
    fn record_failure(&mut self, target: &name::Target, targets: usize, now: Moment) {
        self.faults.retain(|(_, failed)| now.since(*failed) <= FAULT_TTL);
        let are_others_enough = targets >= self.faults.len() + MIN_FAILED;
        if let Some((_, failed)) = self.faults.iter_mut().find(|(fault, _)| fault == target) {
            *failed = now;
            if are_others_enough {
                return;
            }
        }
        self.failures.retain(|failure| now.since(failure.last) <= WINDOW);
        let known = self.failures.iter().position(|failure| failure.target == *target);
        let first = known.map_or(now, |index| self.failures.remove(index).first);
        let first = if now.since(first) > WINDOW { now } else { first };
        if self.failures.len() == MIN_FAILED {
            self.failures.remove(0);
        }
        self.failures.push(Failure { target: target.clone(), first, last: now });
    }

    /// Blames the targets that failed while another one was reached.
    fn record_faults(&mut self, now: Moment) {
        for failure in self.failures.drain(..) {
            self.faults.retain(|(fault, _)| *fault != failure.target);
            if self.faults.len() == MAX_FAULTS {
                self.faults.remove(0);
            }
            self.faults.push((failure.target, now));
        }
    }

    /// Whether the failures show that the instance, rather than the targets, is at fault.
    fn is_verdict(&self, targets: usize) -> bool {
        if self.failures.len() >= targets.clamp(2, MIN_FAILED) {
            return true;
        }
        let failed_again = |failure: &Failure| failure.last.since(failure.first) >= MIN_SEPARATION;
        targets <= 1 && self.failures.iter().any(failed_again)
    }
}

/// The state of this instance that its peers know.
#[derive(Debug)]
pub struct Own {
    instance: name::Instance,
    started_unix_ms: u64,
    /// Number of the state published last.
    number: u64,
    /// The services in it.
    published: Vec<name::Service>,
    published_at: Option<Moment>,
    repeats_left: u32,
}

impl Own {
    /// Creates the state of a process, which is cut off from nothing.
    pub fn new(instance: name::Instance, started_unix_ms: u64) -> Own {
        Own {
            instance,
            started_unix_ms,
            number: 0,
            published: Vec::new(),
            published_at: None,
            repeats_left: 0,
        }
    }

    /// The state to publish now, if one is due: when it has changed, a few times after that, and at an interval while it
    /// names services. To be called at each change and several times a second.
    pub fn notice(&mut self, table: &Table, now: Moment) -> Option<exchange::Reach> {
        let elapsed = self.published_at.map(|published| now.since(published));
        if elapsed.is_some_and(|elapsed| elapsed < MIN_NOTICE_INTERVAL) {
            return None;
        }
        let cut_off = cut_off_services(table);
        if cut_off != self.published {
            self.published = cut_off;
            self.repeats_left = REPEATS;
        } else if self.repeats_left > 0 {
            self.repeats_left -= 1;
        } else if self.published.is_empty()
            || elapsed.is_some_and(|elapsed| elapsed < RENEWAL_INTERVAL)
        {
            return None;
        }
        self.number += 1;
        self.published_at = Some(now);
        Some(exchange::Reach {
            instance: self.instance.clone(),
            started_unix_ms: self.started_unix_ms,
            number: self.number,
            cut_off: self.published.clone(),
        })
    }
}

/// The services that are cut off, those first that have been so for the longest time.
fn cut_off_services(table: &Table) -> Vec<name::Service> {
    let mut services: Vec<(Moment, &name::Service)> =
        table.cut_off().map(|(service, since)| (since, service)).collect();
    services.sort_unstable();
    services.into_iter().take(MAX_CUT_OFF).map(|(_, service)| service.clone()).collect()
}
