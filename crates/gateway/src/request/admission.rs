//! Admits requests on which no target ends.

use common::{clock::Moment, name};
use placement::{
    balancer::{
        Balancer,
        selection::{Reason, Refusal},
    },
    quarantine::Trials,
};

use crate::{dispatch::Admission, error::Error, request::Pending};

impl Pending {
    /// Admits the request unless targets end on it, or engines on a part of its prompt.
    pub(super) fn admit(
        &self,
        balancer: &Balancer,
        service: &name::Service,
        now: Moment,
    ) -> Result<Admission, Error> {
        let trials = |part| {
            if balancer.fleet().is_first(part) { Trials::Allowed } else { Trials::Denied }
        };
        let shared = self.metadata.shared_parts();
        let quarantine = &self.gateway.quarantine;
        let admitted = quarantine
            .admit_request(self.content, balancer.fleet().place(), now)
            .and_then(|()| quarantine.admit(service, shared, trials, now));
        match admitted {
            Ok(ticket) => Ok(Admission { service: service.clone(), ticket, content: self.content }),
            Err(retry_after) => Err(Error::Refused(Refusal {
                reason: Reason::Quarantined,
                retry_after,
                expected: None,
            })),
        }
    }

    /// Whether the request is quarantined, so that a single send to a target tries it.
    pub(super) fn is_trial(&self) -> bool {
        self.gateway.quarantine.is_request_quarantined(self.content)
    }
}
