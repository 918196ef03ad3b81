//! Meters the load that callers offer to each model service, for the planning of roles.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use common::collections::Map;
use route::{
    request::{Origin, Request},
    router::Owner,
};
use wire::peer::Offered;

/// Counters since the instance's start; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Meter(Arc<Mutex<Map<Owner, Offered>>>);

impl Meter {
    /// Counts a request from a caller, whether it is admitted or not.
    ///
    /// A request that another instance forwarded was counted there.
    pub fn record_arrival(&self, request: &Request) {
        if request.model.is_none() || request.origin == Origin::Instance {
            return;
        }
        let owner = Owner { partner: request.partner.clone(), service: request.service.clone() };
        let mut counters = self.lock();
        let offered = counters.entry(owner).or_default();
        offered.requests += 1;
        offered.prompt_tokens += request.prompt_tokens;
    }

    /// Counts a request that has ended and its output tokens, unless there are none.
    pub fn record_completion(&self, owner: &Owner, output_tokens: u32) {
        if output_tokens == 0 {
            return;
        }
        if let Some(offered) = self.lock().get_mut(owner) {
            offered.answered += 1;
            offered.output_tokens += u64::from(output_tokens);
        }
    }

    /// Returns the counters of all services that were called.
    pub fn snapshot(&self) -> Vec<Offered> {
        self.lock()
            .iter()
            .map(|(owner, offered)| Offered {
                partner: owner.partner.clone(),
                service: owner.service.clone(),
                ..offered.clone()
            })
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Map<Owner, Offered>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
