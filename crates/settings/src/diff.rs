//! Differences between two trees in the effective settings of each service.

use std::collections::BTreeSet;

use common::name;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    effective::{self, Origin, Settings},
    tree::Tree,
};

/// What happened to a service.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Kind {
    /// The service is new.
    Added,
    /// The service is gone.
    Removed,
    /// Some of its effective settings differ.
    Changed,
}

/// The change of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The partner.
    pub partner: name::Partner,
    /// The service.
    pub service: name::Service,
    /// What happened to it.
    pub kind: Kind,
    /// The settings that differ, by key.
    pub settings: Vec<Difference>,
}

/// The change of one effective setting.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// The key, such as `limits.deadline_ms`.
    pub key: String,
    /// The value before; `None` for a new service or setting.
    pub before: Option<Value>,
    /// The value after; `None` for a removed service or setting.
    pub after: Option<Value>,
    /// The level that sets the value after the change, or that set it before if it is removed.
    pub origin: Origin,
}

/// Lists the services whose effective settings differ between two trees.
pub fn between(before: &Tree, after: &Tree) -> Vec<Change> {
    let names: BTreeSet<(&name::Partner, &name::Service)> =
        services(before).chain(services(after)).collect();
    names
        .into_iter()
        .filter_map(|(partner, service)| {
            change(
                partner,
                service,
                settings(before, partner, service),
                settings(after, partner, service),
            )
        })
        .collect()
}

fn services(tree: &Tree) -> impl Iterator<Item = (&name::Partner, &name::Service)> {
    tree.partners
        .iter()
        .flat_map(|(partner, branch)| branch.services.keys().map(move |service| (partner, service)))
}

fn settings(tree: &Tree, partner: &name::Partner, service: &name::Service) -> Option<Settings> {
    let branch = tree.partners.get(partner)?;
    branch.services.get(service)?;
    Some(effective::settings(&tree.venture, partner, branch, service))
}

fn change(
    partner: &name::Partner,
    service: &name::Service,
    before: Option<Settings>,
    after: Option<Settings>,
) -> Option<Change> {
    let kind = match (&before, &after) {
        (None, _) => Kind::Added,
        (_, None) => Kind::Removed,
        _ => Kind::Changed,
    };
    let settings = differences(&before.unwrap_or_default(), &after.unwrap_or_default());
    if kind == Kind::Changed && settings.is_empty() {
        return None;
    }
    Some(Change { partner: partner.clone(), service: service.clone(), kind, settings })
}

fn differences(before: &Settings, after: &Settings) -> Vec<Difference> {
    let keys: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    keys.into_iter()
        .filter_map(|key| {
            let (old, new) = (before.get(key), after.get(key));
            if old.map(|old| &old.value) == new.map(|new| &new.value) {
                return None;
            }
            Some(Difference {
                key: key.clone(),
                before: old.map(|setting| setting.value.clone()),
                after: new.map(|setting| setting.value.clone()),
                origin: new.or(old)?.origin,
            })
        })
        .collect()
}
