//! Whether instances are alive, from the versions that reach this one over any way.
//!
//! Each instance's version grows with every period, and travels with all exchanges (van Renesse, Minsky and
//! Hayden 1998), so an instance that can't be reached directly stays alive as long as anyone hears it. A restart
//! has a new incarnation, which outdoes whatever is believed of the old one.

use std::time::Duration;

use common::{clock::Moment, collections::Set, name};

use super::{Instance, Seed, State, Table};
use crate::{event::Event, message::Origin};

/// Silence after which an instance is suspect.
const SUSPECT_AFTER: Duration = Duration::from_secs(4);
/// Silence after which an instance is gone.
const GONE_AFTER: Duration = Duration::from_secs(10);
/// An instance that was suspect or gone has to be heard for this long, doubled with each time.
const FIRST_RECOVERY: Duration = Duration::from_millis(500);
const MAX_DOUBLINGS: u32 = 6;
/// Time without a fault after which an instance's earlier ones are forgotten.
const FLAP_MEMORY: Duration = Duration::from_mins(2);
/// Updates of a process that is gone are kept this long, so that targets' leases decide on them.
const SOURCE_MEMORY: Duration = Duration::from_mins(2);

impl Instance {
    pub(super) fn new(seed: &Seed, now: Moment) -> Instance {
        Instance {
            data_centre: seed.data_centre.clone(),
            state: State::Unknown,
            key: None,
            incarnation: 0,
            since: now,
            flaps: 0,
            recovering: None,
        }
    }
}

impl Table {
    /// State of an instance.
    pub fn state(&self, instance: &name::Instance) -> Option<State> {
        self.instances.get(instance).map(|instance| instance.state)
    }

    /// Instances of the own data centre that work, this one included.
    pub fn alive_instances(&self) -> u32 {
        let own = &self.sources[&self.own].origin.data_centre;
        let near = self.instances.values().filter(|instance| instance.data_centre == *own);
        let alive = near.filter(|instance| instance.state == State::Alive).count();
        u32::try_from(alive).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Takes in that a process was heard of; `false` when a newer one of the instance is known.
    pub(super) fn hear(&mut self, key: u32, origin: &Origin, now: Moment) -> bool {
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
        if origin.incarnation < instance.incarnation {
            return false;
        }
        instance.incarnation = origin.incarnation;
        instance.key = Some(key);
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

    pub(super) fn judge_instances(&mut self, now: Moment) {
        let mut up = Vec::new();
        let mut lost = Vec::new();
        for (name, instance) in &mut self.instances {
            let heard = instance.key.and_then(|key| self.sources.get(&key)).map(|s| s.heard);
            let Some(heard) = heard else {
                continue;
            };
            let before = instance.state;
            instance.update(now.since(heard), now);
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
            .chain(self.places.values().map(|place| place.stamp.origin))
            .collect();
        self.sources.retain(|key, source| {
            *key == own || used.contains(key) || now.since(source.heard) < SOURCE_MEMORY
        });
    }

    fn lost_data_centres(&self, lost: &[name::Instance]) -> Vec<name::DataCentre> {
        let places: Set<&name::DataCentre> =
            lost.iter().filter_map(|name| Some(&self.instances.get(name)?.data_centre)).collect();
        let whole = |place: &&name::DataCentre| {
            let of = self.instances.values().filter(|instance| instance.data_centre == **place);
            of.into_iter().all(|instance| matches!(instance.state, State::Gone | State::Unknown))
        };
        let mut whole: Vec<name::DataCentre> = places.into_iter().filter(whole).cloned().collect();
        whole.sort();
        whole
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

    /// Whether an instance that was gone has been heard for long enough.
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
