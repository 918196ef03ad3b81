//! The last announcement of each target, for the operators' list and for the end of leases.

use std::time::Duration;

use common::{clock::Moment, collections, name};
use route::router::Router;
use wire::{operator, target};

/// A target's last announcement.
#[derive(Debug)]
struct Record {
    announcement: target::Announcement,
    expires: Moment,
}

/// The last announcements, by target.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    records: collections::Map<name::Target, Record>,
}

impl Fleet {
    /// Stores an announcement.
    pub(crate) fn announce(&mut self, announcement: target::Announcement, now: Moment) {
        let expires = now + Duration::from_millis(announcement.lease_ms);
        self.records.insert(announcement.target.clone(), Record { announcement, expires });
    }

    /// Removes a target.
    pub(crate) fn remove(&mut self, target: &name::Target) {
        self.records.remove(target);
    }

    /// Returns the targets whose last announcement has expired.
    pub(crate) fn expired(&self, now: Moment) -> Vec<name::Target> {
        let expired = self.records.iter().filter(|(_, record)| record.expires <= now);
        expired.map(|(target, _)| target.clone()).collect()
    }

    /// Returns the targets, sorted by name.
    pub(crate) fn list(&self, router: &Router) -> Vec<operator::Target> {
        let mut targets: Vec<_> =
            self.records.values().map(|record| describe(record, router)).collect();
        targets.sort_by(|left, right| left.name.cmp(&right.name));
        targets
    }
}

/// Describes a target for operators.
fn describe(record: &Record, router: &Router) -> operator::Target {
    let announcement = &record.announcement;
    operator::Target {
        name: announcement.target.clone(),
        partner: announcement.partner.clone(),
        service: announcement.service.clone(),
        data_centre: announcement.data_centre.clone(),
        kind: announcement.kind,
        role: announcement.role,
        phase: announcement.phase,
        models: announcement.models.clone(),
        outstanding: router.outstanding_on(&announcement.target),
    }
}
