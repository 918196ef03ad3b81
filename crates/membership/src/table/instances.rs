//! Failure detection of instances by the versions that arrive, directly or through others.
//!
//! Each instance increments its version in every period, and all exchanges spread the versions (van Renesse, Minsky
//! and Hayden 1998). So an instance that this one can't reach directly stays alive as long as any other reaches it. A
//! restarted instance has a higher incarnation, which supersedes what is known of the previous process.

use std::time::Duration;

use common::{clock::Moment, collections::Set, name};

use super::{Instance, Seed, State, Table};
use crate::{event::Event, message::Origin};

/// Time without a new version after which an instance is suspect.
const SUSPECT_AFTER: Duration = Duration::from_secs(4);
/// Time without a new version after which an instance is gone.
const GONE_AFTER: Duration = Duration::from_secs(10);
/// For how long new versions of an instance that was gone must arrive before it is alive again; doubles with each
/// loss.
const FIRST_RECOVERY: Duration = Duration::from_millis(500);
/// Limit of the doublings of [`FIRST_RECOVERY`].
const MAX_DOUBLINGS: u32 = 6;
/// Time for which an instance must stay alive until its earlier losses are forgotten.
const FLAP_MEMORY: Duration = Duration::from_mins(2);
/// Time for which updates of a process that is gone are kept, so that its targets stay known until their own leases
/// expire.
const SOURCE_MEMORY: Duration = Duration::from_mins(2);

impl Instance {
    pub(super) fn new(seed: &Seed, now: Moment) -> Instance {
        Instance {
            data_centre: seed.data_centre.clone(),
            state: State::Unknown,
            key: None,
            incarnation: 0,
            version: 0,
            since: now,
            flaps: 0,
            recovering: None,
        }
    }
}

impl Table {
    /// State of an instance; `None` if it is not known.
    pub fn state(&self, instance: &name::Instance) -> Option<State> {
        self.instances.get(instance).map(|instance| instance.state)
    }

    /// Number of instances of the own data centre that are alive, including this one.
    pub fn alive_instances(&self) -> u32 {
        let own = &self.sources[&self.own].origin.data_centre;
        let near = self.instances.values().filter(|instance| instance.data_centre == *own);
        let alive = near.filter(|instance| instance.state == State::Alive).count();
        u32::try_from(alive).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Records that a version of a process arrived; `false` if this version, a later one or a newer process of the
    /// instance has arrived before, or if it is a process of this instance.
    pub(super) fn record_version(
        &mut self,
        key: u32,
        origin: &Origin,
        version: u64,
        now: Moment,
    ) -> bool {
        let own = &self.sources[&self.own].origin.instance;
        if origin.instance == *own {
            return false;
        }
        let seed =
            Seed { instance: origin.instance.clone(), data_centre: origin.data_centre.clone() };
        let instance = self
            .instances
            .entry(origin.instance.clone())
            .or_insert_with(|| Instance::new(&seed, now));
        let is_known = instance.key == Some(key) && version <= instance.version;
        if origin.incarnation < instance.incarnation || is_known {
            return false;
        }
        instance.incarnation = origin.incarnation;
        instance.key = Some(key);
        instance.version = version;
        true
    }

    pub(super) fn is_alive(&self, key: u32) -> bool {
        let Some(source) = self.sources.get(&key) else {
            return false;
        };
        let instance = self.instances.get(&source.origin.instance);
        instance.is_some_and(|instance| {
            instance.key == Some(key) && matches!(instance.state, State::Alive | State::Suspect)
        })
    }

    pub(super) fn update_instances(&mut self, now: Moment) {
        let mut up = Vec::new();
        let mut lost = Vec::new();
        for (name, instance) in &mut self.instances {
            let received_at =
                instance.key.and_then(|key| self.sources.get(&key)).map(|s| s.received_at);
            let Some(received_at) = received_at else {
                continue;
            };
            let before = instance.state;
            instance.update(now.since(received_at), now);
            match (before, instance.state) {
                (State::Unknown | State::Gone, State::Alive) => up.push(name.clone()),
                (State::Alive | State::Suspect, State::Gone) => lost.push(name.clone()),
                _ => {}
            }
        }
        if !up.is_empty() {
            self.events.push_back(Event::InstancesUp(up));
        }
        if !lost.is_empty() {
            let data_centres = self.lost_data_centres(&lost);
            self.events.push_back(Event::InstancesLost { instances: lost, data_centres });
        }
    }

    pub(super) fn forget_sources(&mut self, now: Moment) {
        let own = self.own;
        let used: Set<u32> = self
            .targets
            .values()
            .flat_map(|target| [target.described.origin, target.heartbeat.origin])
            .chain(self.data_centres.values().map(|known| known.stamp.origin))
            .collect();
        self.sources.retain(|key, source| {
            *key == own || used.contains(key) || now.since(source.received_at) < SOURCE_MEMORY
        });
    }

    fn lost_data_centres(&self, lost: &[name::Instance]) -> Vec<name::DataCentre> {
        let affected: Set<&name::DataCentre> =
            lost.iter().filter_map(|name| Some(&self.instances.get(name)?.data_centre)).collect();
        let is_lost = |data_centre: &&name::DataCentre| {
            let of =
                self.instances.values().filter(|instance| instance.data_centre == **data_centre);
            of.into_iter().all(|instance| matches!(instance.state, State::Gone | State::Unknown))
        };
        let mut data_centres: Vec<name::DataCentre> =
            affected.into_iter().filter(is_lost).cloned().collect();
        data_centres.sort();
        data_centres
    }
}

impl Instance {
    fn update(&mut self, silence: Duration, now: Moment) {
        let next = match self.state {
            _ if silence >= GONE_AFTER => State::Gone,
            State::Unknown => State::Alive,
            State::Gone => self.recover(silence, now),
            State::Alive | State::Suspect if silence >= SUSPECT_AFTER => State::Suspect,
            State::Alive | State::Suspect => State::Alive,
        };
        if next == self.state {
            let steady = next == State::Alive && now.since(self.since) > FLAP_MEMORY;
            if steady {
                self.flaps = 0;
            }
            return;
        }
        if next == State::Gone {
            self.flaps += 1;
        }
        self.state = next;
        self.since = now;
    }

    /// State of an instance that was gone: alive once new versions have arrived for long enough.
    fn recover(&mut self, silence: Duration, now: Moment) -> State {
        if silence >= SUSPECT_AFTER {
            self.recovering = None;
            return State::Gone;
        }
        let start = *self.recovering.get_or_insert(now);
        let doublings = self.flaps.saturating_sub(1).min(MAX_DOUBLINGS);
        let needed = FIRST_RECOVERY * 2_u32.pow(doublings);
        if now.since(start) < needed {
            return State::Gone;
        }
        self.recovering = None;
        State::Alive
    }
}
