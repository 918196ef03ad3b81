//! Other data centres as targets of the router: their instances take requests that find no room here.

use std::{net::SocketAddr, time::Duration};

use common::{clock::Moment, collections, name, role::Role};
use route::{router::Router, target::Description};
use wire::target;

use crate::router::{RemoteCapacity, ServiceCapacity};

/// Cost of handing a request over, by which targets of the own data centre come first.
const DISTANCE: Duration = Duration::from_millis(50);
/// How long a data centre counts after it was last heard of.
const LEASE: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct DataCentre {
    targets: collections::Set<name::Target>,
    expires: Moment,
}

/// The other data centres by name.
#[derive(Debug, Default)]
pub(crate) struct DataCentres {
    data_centres: collections::Map<name::DataCentre, DataCentre>,
}

impl DataCentres {
    /// Takes in what a data centre can take; each of its instances counts as one target of each service.
    pub(crate) fn apply(&mut self, router: &mut Router, capacity: &RemoteCapacity, now: Moment) {
        let mut targets = collections::Set::default();
        for service in capacity.services.iter().filter(|service| service.slots > 0) {
            for address in &capacity.addresses {
                let description = describe(capacity, service, *address);
                targets.insert(description.name.clone());
                router.upsert_target(description, &load(capacity, service), now);
            }
        }
        let data_centre = DataCentre { targets, expires: now + LEASE };
        let gone = match self.data_centres.insert(capacity.data_centre.clone(), data_centre) {
            Some(old) => old.targets,
            None => return,
        };
        let left = &self.data_centres[&capacity.data_centre].targets;
        for target in gone.iter().filter(|target| !left.contains(*target)) {
            router.remove_target(target);
        }
    }

    /// Forgets data centres that were not heard of for long.
    pub(crate) fn expire(&mut self, router: &mut Router, now: Moment) {
        self.data_centres.retain(|_, data_centre| {
            let counts = data_centre.expires > now;
            if !counts {
                data_centre.targets.iter().for_each(|target| router.remove_target(target));
            }
            counts
        });
    }
}

fn describe(
    capacity: &RemoteCapacity,
    service: &ServiceCapacity,
    address: SocketAddr,
) -> Description {
    let owner = &service.owner;
    let name = format!("{}/{}/{}@{address}", capacity.data_centre, owner.partner, owner.service);
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
        slots: share(service.slots, capacity),
        distance: DISTANCE,
    }
}

fn load(capacity: &RemoteCapacity, service: &ServiceCapacity) -> target::Load {
    target::Load { running: share(service.load, capacity), ..Default::default() }
}

/// An instance's share of what its data centre has.
fn share(whole: u32, capacity: &RemoteCapacity) -> u32 {
    whole.div_ceil(u32::try_from(capacity.addresses.len()).unwrap_or(u32::MAX).max(1))
}
