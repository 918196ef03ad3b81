//! Instances of the fleet by the lists that control instances report, and digests of these, by which an instance that polls
//! shows which list it has.

use std::{net::SocketAddr, time::Duration};

use common::{clock::Moment, collections::Map, name, random};

use crate::exchange::Identity;

/// Time without a report after which an instance counts as gone.
pub const TIMEOUT: Duration = Duration::from_secs(4);

/// Digest of instances in any order; never 0.
pub fn digest<'a>(instances: impl IntoIterator<Item = &'a Identity>) -> u64 {
    let hashes = instances.into_iter().map(hash);
    hashes.fold(0, u64::wrapping_add) | 1
}

fn hash(identity: &Identity) -> u64 {
    let Identity { instance, address, data_centre, .. } = identity;
    let text = format!("{instance} {address} {data_centre}");
    text.bytes().fold(0, |hash, byte| random::mix(hash ^ u64::from(byte)))
}

/// The instances that control instances have reported lately.
///
/// A report that repeats the one before costs the same at any size of the fleet.
#[derive(Debug, Default)]
pub struct Members {
    reports: Map<SocketAddr, Report>,
    members: Map<name::Instance, Member>,
    revision: u64,
    /// Time until which no member can expire.
    check_at: Moment,
}

/// The last report of a control instance.
#[derive(Debug)]
struct Report {
    digest: u64,
    instances: Vec<name::Instance>,
    at: Moment,
}

#[derive(Debug)]
struct Member {
    identity: Identity,
    /// When it was last reported, as far as that is not in the [`Report`]s.
    seen: Moment,
}

impl Members {
    /// Digest of the list that a control instance has reported last; 0 for none.
    pub fn digest(&self, from: SocketAddr) -> u64 {
        self.reports.get(&from).map_or(0, |report| report.digest)
    }

    /// Applies a report of a control instance: a list and its digest, which is 0 from builds that send none. `list` is
    /// `None` if the list has the digest that the control instance was asked with; the report counts only while that is
    /// still the digest of its last one.
    pub fn report(
        &mut self,
        from: SocketAddr,
        digest: u64,
        list: Option<Vec<Identity>>,
        now: Moment,
    ) {
        let known = self.reports.get_mut(&from).filter(|report| report.digest == digest);
        if let Some(report) = known.filter(|_| digest != 0) {
            report.at = now;
            return;
        }
        let Some(list) = list else {
            return;
        };
        self.forget(from);
        let instances = list.iter().map(|identity| identity.instance.clone()).collect();
        self.reports.insert(from, Report { digest, instances, at: now });
        for identity in list {
            match self.members.get_mut(&identity.instance) {
                Some(member) if member.identity == identity => member.seen = now,
                _ => {
                    let instance = identity.instance.clone();
                    self.members.insert(instance, Member { identity, seen: now });
                    self.revision += 1;
                }
            }
        }
    }

    /// Forgets the list of a control instance, so that its next report has to come whole.
    pub fn forget(&mut self, from: SocketAddr) {
        if let Some(report) = self.reports.remove(&from) {
            apply(&mut self.members, &report);
        }
    }

    /// Removes the instances that were not reported for [`TIMEOUT`], and forgets the lists that are as old.
    pub fn expire(&mut self, now: Moment) {
        if now < self.check_at {
            return;
        }
        for report in self.reports.values() {
            apply(&mut self.members, report);
        }
        // A list that is repeated later would not bring back the members that are removed.
        self.reports.retain(|_, report| now.since(report.at) < TIMEOUT);
        let count = self.members.len();
        self.members.retain(|_, member| now.since(member.seen) < TIMEOUT);
        self.revision += u64::from(self.members.len() != count);
        let oldest = self.members.values().map(|member| member.seen).min();
        self.check_at = oldest.unwrap_or(now) + TIMEOUT;
    }

    /// Grows whenever the members change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The members.
    pub fn iter(&self) -> impl Iterator<Item = &Identity> {
        self.members.values().map(|member| &member.identity)
    }

    /// A member by its name.
    pub fn get(&self, instance: &name::Instance) -> Option<&Identity> {
        self.members.get(instance).map(|member| &member.identity)
    }
}

/// Records when a report last named its instances.
fn apply(members: &mut Map<name::Instance, Member>, report: &Report) {
    for instance in &report.instances {
        if let Some(member) = members.get_mut(instance) {
            member.seen = member.seen.max(report.at);
        }
    }
}
