//! Models, adapters and versions that engines should have loaded.
//!
//! Every engine of a service loads all versions that the service names, so that requests can be shifted between
//! them by weight and back. A version that is no longer named is unloaded only after [`UNLOAD_AFTER`].

use std::time::Duration;

use common::{clock::Moment, collections::Map, name};
use settings::service::Service;
use wire::target::{Action, Announcement, Phase};

use super::Input;
use crate::intent::Proposal;

/// Time for which a version that is no longer named stays loaded, so that a shift of requests can be reverted.
const UNLOAD_AFTER: Duration = Duration::from_secs(600);

/// When each loaded version was first seen without being named by its service.
#[derive(Debug, Default)]
pub struct History {
    unnamed: Map<Loaded, Moment>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Loaded {
    target: name::Target,
    model: String,
}

impl History {
    /// Proposes the loads and unloads that are needed, at most one for each engine.
    pub fn proposals(&mut self, input: Input<'_>, now: Moment) -> Vec<Proposal> {
        let mut proposals = Vec::new();
        let mut unnamed = Map::default();
        for target in super::engines(input.targets) {
            let Some(service) = service_of(input, target) else { continue };
            let named = versions(service);
            // A service that names no versions keeps what its engines have loaded.
            if named.is_empty() {
                continue;
            }
            for model in target.models.iter().filter(|model| !named.contains(&model.as_str())) {
                let loaded = Loaded { target: target.target.clone(), model: model.clone() };
                let since = self.unnamed.get(&loaded).copied().unwrap_or(now);
                unnamed.insert(loaded, since);
            }
            let has_open_order = input.open.iter().any(|task| task.intent.target == target.target);
            if target.phase != Phase::Ready || has_open_order {
                continue;
            }
            let due = |model: &&String| {
                let loaded = Loaded { target: target.target.clone(), model: (*model).clone() };
                unnamed.get(&loaded).is_some_and(|since| now.since(*since) >= UNLOAD_AFTER)
            };
            let missing = named.iter().find(|model| !target.models.iter().any(|own| own == *model));
            let unneeded = target.models.iter().find(due);
            let action = match (missing, unneeded) {
                (Some(model), _) => Action::Load { model: (*model).to_owned() },
                (None, Some(model)) => Action::Unload { model: model.clone() },
                (None, None) => continue,
            };
            let reason =
                String::from("the engine's models differ from the versions that the service names");
            proposals.push(Proposal { target: target.target.clone(), action, reason });
        }
        self.unnamed = unnamed;
        proposals
    }
}

fn service_of<'a>(input: Input<'a>, target: &Announcement) -> Option<&'a Service> {
    let pool = super::pool_of(target);
    input.deployments.iter().find(|item| item.pool == pool).map(|item| &item.service)
}

fn versions(service: &Service) -> Vec<&str> {
    let mut versions: Vec<&str> = service
        .models
        .iter()
        .map(|model| model.version.as_deref().unwrap_or(&model.name))
        .collect();
    versions.dedup();
    versions
}
