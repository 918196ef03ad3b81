//! Other data centres as targets of the router: their instances take requests that find no room here.

use std::{net::SocketAddr, time::Duration};

use common::{clock::Moment, collections, name, role::Role};
use route::{router::Router, target::Description};
use wire::target;

use crate::router::{Far, Remote};

/// Cost of handing a request over, by which targets of the own data centre come first.
const DISTANCE: Duration = Duration::from_millis(50);
/// How long a data centre counts after it was last heard of.
const LEASE: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct Place {
    targets: collections::Set<name::Target>,
    expires: Moment,
}

/// The other data centres by name.
#[derive(Debug, Default)]
pub(crate) struct Places {
    places: collections::Map<name::DataCentre, Place>,
}

impl Places {
    /// Takes in what a data centre can take; each of its instances counts as one target of each service.
    pub(crate) fn hear(&mut self, router: &mut Router, far: &Far, now: Moment) {
        let mut targets = collections::Set::default();
        for service in far.services.iter().filter(|service| service.slots > 0) {
            for address in &far.addresses {
                let description = describe(far, service, *address);
                targets.insert(description.name.clone());
                router.upsert_target(description, &load(far, service), now);
            }
        }
        let place = Place { targets, expires: now + LEASE };
        let gone = match self.places.insert(far.data_centre.clone(), place) {
            Some(old) => old.targets,
            None => return,
        };
        let left = &self.places[&far.data_centre].targets;
        for target in gone.iter().filter(|target| !left.contains(*target)) {
            router.remove_target(target);
        }
    }

    /// Forgets data centres that were not heard of for long.
    pub(crate) fn expire(&mut self, router: &mut Router, now: Moment) {
        self.places.retain(|_, place| {
            let counts = place.expires > now;
            if !counts {
                place.targets.iter().for_each(|target| router.remove_target(target));
            }
            counts
        });
    }
}

fn describe(far: &Far, service: &Remote, address: SocketAddr) -> Description {
    let owner = &service.owner;
    let name = format!("{}/{}/{}@{address}", far.data_centre, owner.partner, owner.service);
    Description {
        name: name::Target(name),
        incarnation: 0,
        address,
        kind: service.kind,
        partner: owner.partner.clone(),
        service: owner.service.clone(),
        models: service.models.clone(),
        role: Role::Mixed,
        phase: target::Phase::Ready,
        slots: share(service.slots, far),
        distance: DISTANCE,
    }
}

fn load(far: &Far, service: &Remote) -> target::Load {
    target::Load { running: share(service.load, far), ..Default::default() }
}

/// An instance's share of what its data centre has.
fn share(whole: u32, far: &Far) -> u32 {
    whole.div_ceil(u32::try_from(far.addresses.len()).unwrap_or(u32::MAX).max(1))
}
