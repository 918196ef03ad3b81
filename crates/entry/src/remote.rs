//! Other data centres as targets of the router: their instances accept requests for which this data centre is full.

use std::{net::SocketAddr, time::Duration};

use common::{clock::Moment, collections, name, role::Role};
use route::{router::Router, target::Description};
use wire::target;

use crate::router::{RemoteCapacity, ServiceCapacity};

/// Cost of forwarding a request to another data centre, so that the router prefers targets of its own data centre.
const DISTANCE: Duration = Duration::from_millis(50);
/// How long a data centre is used after its last report.
const LEASE: Duration = Duration::from_secs(60);

/// The targets that stand for a data centre.
#[derive(Debug)]
struct DataCentre {
    targets: collections::Set<name::Target>,
    expires: Moment,
}

/// The other data centres, by name.
#[derive(Debug, Default)]
pub(crate) struct DataCentres {
    data_centres: collections::Map<name::DataCentre, DataCentre>,
}

impl DataCentres {
    /// Applies the reported capacity of a data centre; each of its instances becomes one target for each service.
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
        let previous = match self.data_centres.insert(capacity.data_centre.clone(), data_centre) {
            Some(old) => old.targets,
            None => return,
        };
        let current = &self.data_centres[&capacity.data_centre].targets;
        for target in previous.iter().filter(|target| !current.contains(*target)) {
            router.remove_target(target);
        }
    }

    /// Removes data centres whose last report has expired.
    pub(crate) fn expire(&mut self, router: &mut Router, now: Moment) {
        self.data_centres.retain(|_, data_centre| {
            let is_valid = data_centre.expires > now;
            if !is_valid {
                data_centre.targets.iter().for_each(|target| router.remove_target(target));
            }
            is_valid
        });
    }
}

/// Describes an instance of the data centre as a target of a service.
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

/// Returns an instance's share of the load of a service.
fn load(capacity: &RemoteCapacity, service: &ServiceCapacity) -> target::Load {
    target::Load { running: share(service.load, capacity), ..Default::default() }
}

/// Returns an instance's share of a total of its data centre, rounded up.
fn share(total: u32, capacity: &RemoteCapacity) -> u32 {
    total.div_ceil(u32::try_from(capacity.addresses.len()).unwrap_or(u32::MAX).max(1))
}
