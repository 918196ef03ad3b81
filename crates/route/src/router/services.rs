//! Services and their variants, as the tree in force declares them.

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
    /// Adds a service or puts new settings in force; requests that wait keep their place.
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
        for wanted in wanted_variants(&settings) {
            variants.push(self.variant(key, owner, &settings, wanted));
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
        let lends = service.settings.roles.lend_to != settings.roles.lend_to;
        service.settings = settings;
        if lends {
            self.reassign_all();
        }
    }

    /// The variant of a request: a version drawn by weight among those that have targets.
    pub(super) fn variant_of(
        &mut self,
        service: request::Service,
        request: &Request,
    ) -> Option<request::Variant> {
        let fits = |key: &&request::Variant| {
            let variant = &self.variants[**key];
            let pool = &self.pools[variant.pool];
            let here = !pool.members.keys().is_empty();
            let far = request.origin == Origin::Caller && !pool.remote.keys().is_empty();
            let served = here || far;
            variant.weight > 0 && variant.name == request.model && served
        };
        let variants: Vec<request::Variant> =
            self.services[service].variants.iter().filter(fits).copied().collect();
        let sum: u32 = variants.iter().map(|key| self.variants[*key].weight).sum();
        let mut drawn = self.random.below(usize::try_from(sum).unwrap_or_default());
        variants.into_iter().find(|key| {
            let weight = usize::try_from(self.variants[*key].weight).unwrap_or_default();
            let hit = drawn < weight;
            drawn = drawn.saturating_sub(weight);
            hit
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

    fn variant(
        &mut self,
        service: request::Service,
        owner: &Owner,
        settings: &service::Service,
        wanted: Wanted,
    ) -> request::Variant {
        let known = self.services[service].variants.iter().copied().find(|key| {
            let variant = &self.variants[*key];
            variant.name == wanted.name && variant.version == wanted.version
        });
        if let Some(key) = known {
            self.variants[key].weight = wanted.weight;
            return key;
        }
        let pool = self.pool(scope(owner, settings.kind, wanted.version.as_ref()));
        let Wanted { name, version, weight } = wanted;
        let key = self.variants.insert(Variant { name, version, weight, pool });
        self.scheduler.add_variant(key, service);
        key
    }

    fn pool(&mut self, scope: pool::Scope) -> request::Pool {
        if let Some(key) = self.scopes.get(&scope) {
            return *key;
        }
        let key = self.pools.insert(pool::Pool::new(scope.clone()));
        self.scopes.insert(scope, key);
        self.reassign_all();
        key
    }

    /// Whether a service's engines also serve the requests of `partner`.
    pub(super) fn lends(&self, owner: &Owner, partner: &name::Partner) -> bool {
        let service = self.service_names.get(owner).map(|key| &self.services[*key]);
        service.is_some_and(|service| service.settings.roles.lend_to.contains(&partner.0))
    }
}

impl Service {
    /// How long a request may wait and still meet the goal for its first token.
    pub(super) fn time_to_wait(&self) -> Duration {
        const LEAST_PART: u32 = 4;
        let goal = Duration::from_millis(self.settings.limits.first_token_ms);
        goal.saturating_sub(self.first_token.upper_bound()).max(goal / LEAST_PART)
    }
}

#[derive(Clone, Debug)]
struct Wanted {
    name: Option<String>,
    version: Option<String>,
    weight: u32,
}

fn wanted_variants(settings: &service::Service) -> Vec<Wanted> {
    if settings.kind == Kind::Plain {
        return vec![Wanted { name: None, version: None, weight: 1 }];
    }
    let models = settings.models.iter();
    models
        .map(|model| Wanted {
            name: Some(model.name.clone()),
            version: Some(model.version.clone().unwrap_or_else(|| model.name.clone())),
            weight: model.weight,
        })
        .collect()
}

fn scope(owner: &Owner, kind: Kind, version: Option<&String>) -> pool::Scope {
    match kind {
        Kind::Model => {
            pool::Scope::Model(owner.partner.clone(), version.cloned().unwrap_or_default())
        }
        Kind::Plain => pool::Scope::Plain(owner.partner.clone(), owner.service.clone()),
    }
}
