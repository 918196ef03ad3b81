//! The entry instances of the fleet.

use std::{net::SocketAddr, time::Duration};

use common::{clock::Moment, name};
use fleet::{
    exchange::{Identity, Kind},
    succession::Predecessor,
};

use crate::seeded::directory::{Contact, Directory, Inner};

/// Time after the first report of entry instances in which the rest become known; each polls every second.
const ENTRIES_SETTLE_TIME: Duration = Duration::from_secs(2);

impl Directory {
    /// Records the entry instances that a control instance reports; see [`fleet::roster::Members::report`].
    ///
    /// Only reports in contact with the leader remove those that were not reported for [`fleet::roster::TIMEOUT`]: an instance
    /// that is cut off keeps to the fleet that it knew.
    pub(crate) fn update_entry_instances(
        &self,
        from: SocketAddr,
        digest: u64,
        mut list: Option<Vec<Identity>>,
        contact: Contact,
        now: Moment,
    ) {
        if let Some(list) = &mut list {
            list.retain(|identity| identity.instance != self.own.instance);
        }
        let mut inner = self.lock();
        inner.entries.report(from, digest, list, now);
        if contact == Contact::Held {
            inner.entries_reported_at.get_or_insert(now);
            inner.entries.expire(now);
        }
    }

    /// Digest of the entry instances that a control instance has reported last; 0 for none.
    pub(crate) fn entries_digest(&self, from: SocketAddr) -> u64 {
        self.lock().entries.digest(from)
    }

    /// Grows whenever the other entry instances change.
    pub(crate) fn entries_revision(&self) -> u64 {
        self.lock().entries.revision()
    }

    /// Whether a control instance in contact with the leader has reported the other entry instances that it knows.
    pub(crate) fn has_entries_report(&self) -> bool {
        self.lock().entries_reported_at.is_some()
    }

    /// Whether the other entry instances are known: all of them have polled a control instance since the first report.
    pub(crate) fn knows_entry_instances(&self, now: Moment) -> bool {
        self.lock().entries_reported_at.is_some_and(|at| now.since(at) >= ENTRIES_SETTLE_TIME)
    }

    /// When this process started, in nanoseconds since the Unix epoch by its clock.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Records that the fleet starts for the first time: no instance had an earlier process.
    pub(crate) fn begin_fleet(&self) {
        let mut inner = self.lock();
        inner.processes.begin();
        inner.evidence.add(Predecessor::Unheard { for_ms: u64::MAX });
    }

    /// Records a poll of a process, and returns what is known of the one before; `None` if the start of the process isn't
    /// known.
    pub(super) fn hear_process(
        &self,
        instance: &name::Instance,
        started_unix_ns: u64,
        now: Moment,
    ) -> Option<Predecessor> {
        let predecessor = self.lock().processes.hear(instance, started_unix_ns, now);
        (started_unix_ns > 0).then_some(predecessor)
    }

    /// Records what a control instance knows of an earlier process of this instance.
    pub(crate) fn hear_predecessor(&self, predecessor: Predecessor) {
        self.lock().evidence.add(predecessor);
    }

    /// Whether no earlier process of this instance ran within `window` before it started.
    pub(crate) fn excludes_predecessor(&self, window: Duration) -> bool {
        self.lock().evidence.excludes(window)
    }

    /// Other entry instances.
    pub(crate) fn entry_instances(&self) -> Vec<Identity> {
        self.lock().entries.iter().cloned().collect()
    }

    /// Address of another entry instance for its peers; `None` if it isn't known.
    pub(crate) fn entry_address(&self, instance: &name::Instance) -> Option<SocketAddr> {
        self.lock().entries.get(instance).map(|identity| identity.address)
    }
}

impl Inner {
    /// The entry instances that poll this one.
    pub(super) fn entry_subscribers(&self) -> impl Iterator<Item = &Identity> {
        let identities = self.subscribers.values().map(|subscriber| &subscriber.identity);
        identities.filter(|identity| identity.kind == Kind::Entry)
    }
}
