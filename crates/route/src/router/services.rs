//! Services and their variants, as the settings in force declare them.

use std::time::Duration;

use common::name;
use settings::service::{self, Kind};

use super::{Owner, Router, Service, Variant};
use crate::{
    admission, fair_queue, pool,
    request::{self, Origin, Request},
    retry,
};

impl Router {
    /// Adds a service or applies new settings to it; waiting requests keep their place.
    ///
    /// Variants that the settings no longer declare get weight 0, so that requests waiting for them are still served.
    pub fn configure(&mut self, owner: &Owner, settings: service::Service) {
        let key = match self.service_names.get(owner) {
            Some(key) => *key,
            None => self.add_service(owner),
        };
        let weights = fair_queue::Weights {
            service: settings.admission.share,
            partner: settings.admission.partner_share,
        };
        self.scheduler.set_service(key, &owner.partner, weights);
        let mut variants = Vec::new();
        for spec in variant_specs(&settings) {
            variants.push(self.variant(key, owner, &settings, spec));
        }
        for old in &self.services[key].variants {
            if !variants.contains(old) {
                self.variants[*old].weight = 0;
            }
        }
        let service = &mut self.services[key];
        let retired = std::mem::take(&mut service.variants);
        variants
            .extend(retired.into_iter().filter(|old| !variants.contains(old)).collect::<Vec<_>>());
        service.variants = variants;
        let lending_changed = service.settings.roles.lend_to != settings.roles.lend_to;
        service.settings = settings;
        if lending_changed {
            self.reassign_pools();
        }
    }

    /// Draws a variant for a request, by weight among the versions of the requested model that have targets; `None` if
    /// there is none.
    pub(super) fn choose_variant(
        &mut self,
        service: request::Service,
        request: &Request,
    ) -> Option<request::Variant> {
        let is_eligible = |key: &&request::Variant| {
            let variant = &self.variants[**key];
            let pool = &self.pools[variant.pool];
            let local = !pool.members.keys().is_empty();
            let remote = request.origin == Origin::Caller && !pool.remote.keys().is_empty();
            let served = local || remote;
            variant.weight > 0 && variant.name == request.model && served
        };
        let variants: Vec<request::Variant> =
            self.services[service].variants.iter().filter(is_eligible).copied().collect();
        let sum: u32 = variants.iter().map(|key| self.variants[*key].weight).sum();
        let mut drawn = self.random.below(usize::try_from(sum).unwrap_or_default());
        variants.into_iter().find(|key| {
            let weight = usize::try_from(self.variants[*key].weight).unwrap_or_default();
            let chosen = drawn < weight;
            drawn = drawn.saturating_sub(weight);
            chosen
        })
    }

    fn add_service(&mut self, owner: &Owner) -> request::Service {
        let service = Service {
            owner: owner.clone(),
            settings: service::Service::default(),
            controller: admission::Controller::default(),
            first_token: admission::Latency::default(),
            budget: retry::Budget::default(),
            variants: Vec::new(),
            running: std::collections::BTreeSet::new(),
            starved_since: None,
        };
        let key = self.services.insert(service);
        self.service_names.insert(owner.clone(), key);
        key
    }

    /// The variant for `spec`, with its weight; adds the variant if the service has none for the version.
    fn variant(
        &mut self,
        service: request::Service,
        owner: &Owner,
        settings: &service::Service,
        spec: Spec,
    ) -> request::Variant {
        let existing = self.services[service].variants.iter().copied().find(|key| {
            let variant = &self.variants[*key];
            variant.name == spec.name && variant.version == spec.version
        });
        if let Some(key) = existing {
            self.variants[key].weight = spec.weight;
            return key;
        }
        let pool = self.pool(scope_of(owner, settings.kind, spec.version.as_ref()));
        let Spec { name, version, weight } = spec;
        let key = self.variants.insert(Variant { name, version, weight, pool });
        self.scheduler.add_variant(key, service);
        key
    }

    /// The pool for a scope; adds the pool if there is none.
    fn pool(&mut self, scope: pool::Scope) -> request::Pool {
        if let Some(key) = self.scopes.get(&scope) {
            return *key;
        }
        let key = self.pools.insert(pool::Pool::new(scope.clone()));
        self.scopes.insert(scope, key);
        self.reassign_pools();
        key
    }

    /// Whether a service lends its engines to `partner`, and so serves the partner's requests, too.
    pub(super) fn lends_to(&self, owner: &Owner, partner: &name::Partner) -> bool {
        let service = self.service_names.get(owner).map(|key| &self.services[*key]);
        service.is_some_and(|service| service.settings.roles.lend_to.contains(&partner.0))
    }
}

impl Service {
    /// Wait after which a request can no longer be expected to meet the goal for its first token; at least a quarter of
    /// the goal.
    pub(super) fn late_after(&self) -> Duration {
        const MIN_WAIT_DIVISOR: u32 = 4;
        let goal = Duration::from_millis(self.settings.limits.first_token_ms);
        goal.saturating_sub(self.first_token.upper_bound()).max(goal / MIN_WAIT_DIVISOR)
    }
}

/// Variant as the settings declare it.
#[derive(Clone, Debug)]
struct Spec {
    name: Option<String>,
    version: Option<String>,
    weight: u32,
}

fn variant_specs(settings: &service::Service) -> Vec<Spec> {
    if settings.kind == Kind::Plain {
        return vec![Spec { name: None, version: None, weight: 1 }];
    }
    let models = settings.models.iter();
    models
        .map(|model| Spec {
            name: Some(model.name.clone()),
            version: Some(model.version.clone().unwrap_or_else(|| model.name.clone())),
            weight: model.weight,
        })
        .collect()
}

fn scope_of(owner: &Owner, kind: Kind, version: Option<&String>) -> pool::Scope {
    match kind {
        Kind::Model => {
            pool::Scope::Model(owner.partner.clone(), version.cloned().unwrap_or_default())
        }
        Kind::Plain => pool::Scope::Plain(owner.partner.clone(), owner.service.clone()),
    }
}
