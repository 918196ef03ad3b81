//! The announcements that have not expired, shared by the thread that receives them and its readers.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use common::{clock::Moment, collections::Map, name};
use wire::target::Announcement;

/// The latest announcement of each target; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Registry(Arc<Mutex<Map<name::Target, Known>>>);

#[derive(Debug)]
struct Known {
    announcement: Announcement,
    until: Moment,
}

impl Registry {
    /// Stores an announcement, unless a newer one of the same target is known.
    pub fn put(&self, announcement: &Announcement, now: Moment) {
        let mut targets = self.lock();
        let order = |other: &Announcement| (other.incarnation, other.sequence);
        let present = targets.get(&announcement.target);
        if present.is_some_and(|known| order(&known.announcement) > order(announcement)) {
            return;
        }
        let until = now + Duration::from_millis(announcement.lease_ms);
        let known = Known { announcement: announcement.clone(), until };
        targets.insert(announcement.target.clone(), known);
    }

    /// The announcements of a data centre that have not expired at `now`.
    pub fn list(&self, data_centre: &name::DataCentre, now: Moment) -> Vec<Announcement> {
        let mut targets = self.lock();
        targets.retain(|_, known| known.until > now);
        targets
            .values()
            .map(|known| &known.announcement)
            .filter(|announcement| announcement.data_centre == *data_centre)
            .cloned()
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Map<name::Target, Known>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
