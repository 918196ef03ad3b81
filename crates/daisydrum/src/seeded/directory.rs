//! State of the fleet as this instance knows it: targets, other instances and the newest configuration.

pub(crate) mod config;
mod delivery;
mod instances;
mod predecessor;
mod transfer;
mod versions;

use std::{
    cmp::Reverse,
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use common::{
    clock::{self, Moment},
    collections::Map,
    name,
};
use credentials::lease::Reading;
use distribution::{download::Download, history};
use fleet::{
    config::Config,
    departure::{Departure, Restored},
    exchange::{Answer, Cursor, Identity, Kind, Question, ServiceVersions, Update},
    register::Document,
    registry::{Merge, Registry, State, Target},
    roster, succession,
};
use placement::continuity::{History, ledger::Ledger, lifetime};
use tokio::{sync::watch, time};

/// Time without a poll after which another instance counts as gone; instances poll at least once a second.
const INSTANCE_TIMEOUT: Duration = roster::TIMEOUT;

/// Time for which software versions are kept that no target has any more: a record of any lifetime may be lost that names
/// one.
const VERSION_RETENTION: Duration = lifetime::LONGEST.saturating_add(lifetime::MARGIN);

/// State of the fleet as this instance knows it; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Directory {
    own: Arc<Identity>,
    /// Distinguishes this process from earlier ones of the same instance, whose revisions can't be compared
    /// with its own.
    incarnation: u64,
    inner: Arc<Mutex<Inner>>,
    /// Revision of the last change that affects the request path.
    changed: watch::Sender<u64>,
    /// Number of polls received; each poll carries the revision that its subscriber has reached.
    polled: watch::Sender<u64>,
    document: watch::Sender<Option<Arc<Document>>>,
    newest: watch::Sender<Newest>,
    contact: watch::Sender<Contact>,
    /// The transfer of a newer configuration to this instance.
    download: Arc<Mutex<Download>>,
    /// Held while a segment of it is asked for, unless that takes long.
    download_turn: Arc<tokio::sync::Mutex<()>>,
    /// What this instance serves to others.
    patches: Arc<Mutex<history::History>>,
    /// The last reading of the configuration's version through the leader, and when it began.
    reading: Arc<Mutex<Option<(u64, Moment)>>>,
}

/// Whether this instance's replica is in contact with the leader of the replicated log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Contact {
    /// It is the leader or follows one.
    Held,
    /// It has no leader, or this instance has no replica.
    Lost,
}

/// The newest configuration, decoded, and whether others hold a newer one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Newest {
    /// The newest one that this instance holds.
    pub(crate) held: Option<Arc<Config>>,
    /// The newest version that a control instance holds; this one may not have it yet.
    pub(crate) announced: u64,
}

#[derive(Debug)]
struct Inner {
    registry: Registry,
    /// Paths of the health checks of services.
    health_paths: Map<name::Service, String>,
    /// Targets that an earlier process of this instance saved.
    restored: Restored,
    /// Software versions of the services.
    history: History,
    /// Origins of streams that entry instances recorded at this control instance.
    ledger: Ledger,
    subscribers: Map<name::Instance, Subscriber>,
    /// Digest of the entry instances among them.
    roster: u64,
    /// Addresses on which the other control instances listen for peers.
    control: BTreeSet<SocketAddr>,
    /// Engines that are changing their stage, by the control instance that reported them; those that this instance
    /// changes are under its own address.
    changing: Map<SocketAddr, Vec<name::Target>>,
    /// Other entry instances, as control instances report them.
    entries: roster::Members,
    /// When a control instance in contact with the leader first reported them.
    entries_reported_at: Option<Moment>,
    /// Processes that poll this one.
    processes: succession::Processes,
    /// What control instances tell of an earlier process of this instance.
    evidence: succession::Evidence,
}

/// An instance that polls this one for updates.
#[derive(Debug)]
struct Subscriber {
    identity: Identity,
    cursor: Cursor,
    seen: Moment,
}

impl Inner {
    fn new() -> Inner {
        Inner {
            registry: Registry::default(),
            restored: Restored::default(),
            history: History::default(),
            ledger: Ledger::new(Moment::now()),
            subscribers: Map::default(),
            roster: roster::digest([]),
            health_paths: Map::default(),
            control: BTreeSet::new(),
            changing: Map::default(),
            entries: roster::Members::default(),
            entries_reported_at: None,
            processes: succession::Processes::new(Moment::now()),
            evidence: succession::Evidence::default(),
        }
    }
}

/// A long poll; see [`Question::FollowChanges`].
#[derive(Clone, Debug)]
struct Poll {
    from: Identity,
    cursor: Cursor,
    version: u64,
    wait_ms: u64,
    roster: u64,
    started_unix_ns: u64,
}

impl Directory {
    pub(crate) fn new(own: Identity) -> Directory {
        Directory {
            own: Arc::new(own),
            incarnation: clock::unix_ns(),
            inner: Arc::new(Mutex::new(Inner::new())),
            changed: watch::Sender::new(0),
            polled: watch::Sender::new(0),
            document: watch::Sender::new(None),
            newest: watch::Sender::default(),
            contact: watch::Sender::new(Contact::Lost),
            download: Arc::default(),
            download_turn: Arc::default(),
            patches: Arc::default(),
            reading: Arc::default(),
        }
    }

    pub(crate) fn contact(&self) -> Contact {
        *self.contact.borrow()
    }

    pub(crate) fn set_contact(&self, contact: Contact) {
        self.contact.send_if_modified(|held| std::mem::replace(held, contact) != contact);
    }

    /// Watches the revision of the last change that affects the request path.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Merges the announcement of a target into the registry.
    pub(crate) fn announce(&self, target: Target, now: Moment) -> Merge {
        let mut inner = self.lock();
        let name = target.name.clone();
        let merge = inner.registry.announce(target, now);
        self.apply(&mut inner, &name, merge, now);
        merge
    }

    /// Merges other instances' reports of targets into the registry.
    pub(crate) fn merge(&self, mut targets: Vec<Target>, now: Moment) {
        // One that is lost makes way for another one at its address.
        targets.sort_by_key(|target| Reverse(target.state));
        let mut inner = self.lock();
        for target in targets {
            let name = target.name.clone();
            let merge = inner.registry.merge(target, now);
            self.apply(&mut inner, &name, merge, now);
        }
    }

    /// Records the software of a target that was merged, and publishes a change. A stale announcement doesn't show that a
    /// target has the software now.
    fn apply(&self, inner: &mut Inner, target: &name::Target, merge: Merge, now: Moment) {
        let Inner { registry, history, .. } = inner;
        if merge != Merge::Stale
            && let Some(target) = registry.target(target)
            && target.state < State::Lost
        {
            history.see(&target.service, &target.software, now);
        }
        if merge == Merge::Changed {
            self.changed.send_replace(registry.revision());
        }
    }

    /// Whether an announcement says nothing new.
    pub(crate) fn is_stale(&self, target: &Target) -> bool {
        self.lock().registry.is_stale(target)
    }

    /// Keeps targets that an earlier process of this instance saved until they may be used; at its last save it knew the
    /// control instances `members`.
    pub(crate) fn restore(&self, targets: Vec<Target>, members: Vec<SocketAddr>) {
        let own = self.own.address;
        let members = members.into_iter().chain([own]);
        let mut restored = Restored::new(targets, members);
        // An instance that is alone has heard of all others.
        let usable = restored.hear(own, []);
        self.lock().restored = restored;
        self.merge(usable, Moment::now());
    }

    /// Records that the full state of another control instance has arrived, so that restored targets may become usable.
    pub(crate) fn hear_control(&self, from: SocketAddr, now: Moment) {
        let mut inner = self.lock();
        let known: Vec<SocketAddr> = inner.control.iter().copied().collect();
        let targets = inner.restored.hear(from, known);
        drop(inner);
        self.merge(targets, now);
    }

    /// Targets that take requests, restored ones included.
    pub(crate) fn ready_targets(&self) -> Vec<Target> {
        let inner = self.lock();
        let is_unknown = |target: &&Target| inner.registry.target(&target.name).is_none();
        let restored = inner.restored.targets().iter().filter(is_unknown);
        let known = inner.registry.targets().filter(|target| target.state == State::Ready);
        known.chain(restored).cloned().collect()
    }

    /// Targets that leave or have left lately.
    pub(crate) fn departures(&self) -> Vec<Departure> {
        self.lock().registry.targets().filter_map(Departure::new).collect()
    }

    /// The departure of a target; `None` if it isn't known that it leaves.
    pub(crate) fn departure(&self, target: &name::Target) -> Option<Departure> {
        self.lock().registry.target(target).and_then(Departure::new)
    }

    /// Records that a target has left.
    pub(crate) fn leave(&self, target: &name::Target, now: Moment) -> Merge {
        let mut inner = self.lock();
        if let Some(restored) = inner.restored.take(target) {
            let _known = inner.registry.merge(restored, now);
        }
        let merge = inner.registry.leave(target, now);
        if merge == Merge::Changed {
            self.changed.send_replace(inner.registry.revision());
        }
        merge
    }

    /// Marks targets as lost that have not announced themselves for `silence`; returns their names.
    pub(crate) fn expire(&self, silence: Duration, now: Moment) -> Vec<name::Target> {
        let mut inner = self.lock();
        let lost = inner.registry.expire(now - silence, now);
        if !lost.is_empty() {
            self.changed.send_replace(inner.registry.revision());
        }
        lost
    }

    /// Records `now` as the time of every target's last announcement.
    pub(crate) fn mark_all_seen(&self, now: Moment) {
        self.lock().registry.mark_all_seen(now);
    }

    /// Revision of the registry.
    pub(crate) fn revision(&self) -> u64 {
        self.lock().registry.revision()
    }

    /// Targets that changed after a revision, and the revision reached.
    pub(crate) fn changed_since(&self, revision: u64) -> (u64, Vec<Target>) {
        let inner = self.lock();
        (inner.registry.revision(), inner.registry.changed_since(revision).cloned().collect())
    }

    /// Replaces the list of engines that are changing their stage according to the control instance at `address`.
    pub(crate) fn set_changing(&self, address: SocketAddr, targets: Vec<name::Target>) {
        let mut inner = self.lock();
        let held = inner.changing.entry(address).or_default();
        if *held != targets {
            *held = targets;
            let revision = inner.registry.advance_revision();
            self.changed.send_replace(revision);
        }
    }

    /// Engines that are changing their stage according to any control instance.
    pub(crate) fn changing(&self) -> Vec<name::Target> {
        self.lock().changing.values().flatten().cloned().collect()
    }

    /// Adds addresses of control instances; this instance's own is left out.
    pub(crate) fn add_control_instances(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let own = self.own.address;
        let mut inner = self.lock();
        inner.control.extend(addresses.into_iter().filter(|address| *address != own));
    }

    /// Removes a control instance and empties its list of changing engines; the empty list stays.
    pub(crate) fn forget_control(&self, address: SocketAddr) {
        self.set_changing(address, Vec::new());
        let mut inner = self.lock();
        inner.control.remove(&address);
        inner.entries.forget(address);
    }

    /// Addresses on which the other control instances listen for peers.
    pub(crate) fn control_addresses(&self) -> Vec<SocketAddr> {
        self.lock().control.iter().copied().collect()
    }

    /// Answers a question of another instance; long polls wait for an update.
    pub(crate) async fn answer(&self, question: Question) -> Answer {
        match question {
            Question::Testify { stream, service } => match self.own.kind {
                Kind::Control => Answer::Testimony(self.testify(&stream, service.as_ref())),
                Kind::Entry => Answer::Refused,
            },
            Question::Fetch { above } => {
                let held = self.document();
                let newer = held.filter(|document| document.version > above);
                Answer::Document(newer.map(|document| Document::clone(&document)))
            }
            Question::FetchSegment(wanted) => match self.own.kind {
                Kind::Control => Answer::Segment(self.segment(wanted).await),
                Kind::Entry => Answer::Refused,
            },
            Question::Follow { from, cursor, version, wait_ms } => {
                let (roster, started_unix_ns) = (0, 0);
                let poll = Poll { from, cursor, version, wait_ms, roster, started_unix_ns };
                Answer::Update(self.follow(poll).await)
            }
            Question::FollowChanges { from, cursor, version, wait_ms, roster, started_unix_ns } => {
                let poll = Poll { from, cursor, version, wait_ms, roster, started_unix_ns };
                Answer::Update(self.follow(poll).await)
            }
            // Only entry instances know what engines have cached, and which streams have begun. Origins, standings,
            // departures and usage are kept by other components.
            _ => Answer::Refused,
        }
    }

    /// Answers a poll as soon as there is an update, or when its wait is over.
    async fn follow(&self, poll: Poll) -> Update {
        let Poll { from, cursor, version, wait_ms, roster, started_unix_ns } = poll;
        let arrived = Moment::now();
        let predecessor = self.hear_process(&from.instance, started_unix_ns, arrived);
        let predecessor = predecessor.filter(|_| cursor.incarnation != self.incarnation);
        let cursor = self.record_subscriber(&from, cursor);
        let wait = Duration::from_millis(wait_ms);
        let mut changes = self.changed.subscribe();
        let mut documents = self.document.subscribe();
        let new = async {
            while !self.has_update(cursor, version) {
                tokio::select! {
                    _ = changes.changed() => {}
                    _ = documents.changed() => {}
                }
            }
        };
        let _elapsed = time::timeout(wait, new).await;
        let update = self.update(&from, cursor, roster);
        Update { reading: self.reading(arrived, Moment::now()), predecessor, ..update }
    }

    /// Sets the newest version of the configuration that the leader confirmed, and when that reading began.
    pub(crate) fn set_reading(&self, version: u64, began_at: Moment) {
        *self.reading.lock().unwrap_or_else(PoisonError::into_inner) = Some((version, began_at));
    }

    /// The reading for the answer to a question that arrived at a moment.
    fn reading(&self, arrived: Moment, now: Moment) -> Option<Reading> {
        let reading = *self.reading.lock().unwrap_or_else(PoisonError::into_inner);
        let (version, began_at) = reading?;
        let ms = |since: Moment| u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX);
        Some(Reading { version, age_ms: ms(began_at), held_ms: ms(arrived) })
    }

    fn record_subscriber(&self, from: &Identity, cursor: Cursor) -> Cursor {
        // A cursor of an earlier process is void.
        let cursor =
            if cursor.incarnation == self.incarnation { cursor } else { Cursor::default() };
        let now = Moment::now();
        let subscriber = Subscriber { identity: from.clone(), cursor, seen: now };
        let mut inner = self.lock();
        let before = inner.subscribers.insert(from.instance.clone(), subscriber);
        let is_same = before.is_some_and(|before| before.identity == *from);
        let count = inner.subscribers.len();
        inner.subscribers.retain(|_, subscriber| now.since(subscriber.seen) < INSTANCE_TIMEOUT);
        if !is_same || inner.subscribers.len() != count {
            inner.roster = roster::digest(inner.entry_subscribers());
        }
        if from.kind == Kind::Control {
            inner.control.insert(from.address);
        }
        drop(inner);
        self.polled.send_modify(|count| *count += 1);
        cursor
    }

    fn has_update(&self, cursor: Cursor, version: u64) -> bool {
        let changed = *self.changed.borrow();
        cursor.incarnation != self.incarnation
            || changed > cursor.revision
            || self.version() > version
    }

    /// The update since a cursor, without the entry instances if the poller has those of this digest.
    fn update(&self, from: &Identity, cursor: Cursor, roster: u64) -> Update {
        let inner = self.lock();
        let registry = &inner.registry;
        let targets: Vec<Target> = match from.kind {
            Kind::Entry => registry.changed_since(cursor.revision).cloned().collect(),
            Kind::Control => registry.announced_since(cursor.revision).cloned().collect(),
        };
        let entries = if roster == inner.roster {
            Vec::new()
        } else {
            inner.entry_subscribers().cloned().collect()
        };
        let own = (self.own.kind == Kind::Control).then_some(self.own.address);
        let mut services: Vec<&name::Service> =
            targets.iter().map(|target| &target.service).collect();
        services.sort_unstable();
        services.dedup();
        let now = Moment::now();
        let versions = services.into_iter().filter_map(|service| {
            let ages = inner.history.versions(service)?.ages(now);
            Some(ServiceVersions { service: service.clone(), ages })
        });
        let versions = versions.collect();
        Update {
            cursor: Cursor { incarnation: self.incarnation, revision: registry.revision() },
            contact: self.contact() == Contact::Held,
            version: self.version(),
            targets,
            changing: inner.changing.get(&self.own.address).cloned().unwrap_or_default(),
            control: inner.control.iter().copied().chain(own).collect(),
            entries,
            versions,
            roster: inner.roster,
            reading: None,
            predecessor: None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
