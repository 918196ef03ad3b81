//! Changes of one branch's declarations, small enough to be logged and distributed one by one.
//!
//! A change replaces a whole group of settings, such as `limits`. Only callers' keys are added and removed
//! individually, since a service has many of them.

use std::{collections::BTreeMap, sync::Arc};

use common::{collections::Set, name};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::tree::{Branch, Partner, Venture};

const KEYS: &str = "keys";
const KEY_ID: &str = "sha256";

/// Declarations of one branch, with the venture's defaults that it has adopted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Content {
    /// The venture's declarations: on the venture's branch the current ones, on a partner's branch the ones last
    /// adopted.
    pub venture: Venture,
    /// The partner's declarations; empty on the venture's branch.
    pub branch: Branch,
}

/// Changes that turn one content into another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The venture's declarations after the change; `None` if unchanged.
    pub venture: Option<Venture>,
    /// The partner's file after the change; `None` if unchanged.
    pub partner: Option<Partner>,
    /// Changes of services by name.
    pub services: BTreeMap<name::Service, ServiceChange>,
}

/// The change of one service's declarations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceChange {
    /// The service is new or declared as a whole.
    Declared(Arc<Map<String, Value>>),
    /// The service is removed.
    Removed,
    /// Some of its settings change.
    Edited(Edit),
}

/// Changes of the settings of an existing service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Groups of settings that are replaced.
    pub set: Map<String, Value>,
    /// Groups of settings that are no longer declared.
    pub unset: Vec<String>,
    /// Callers' keys that are added, as written in the service's file.
    pub added_keys: Vec<Value>,
    /// Hashes of callers' keys that are removed.
    pub removed_keys: Vec<String>,
}

/// A delta edits a service that the content does not declare.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("service {service} is not declared")]
pub struct Mismatch {
    /// The service that is missing.
    pub service: name::Service,
}

impl Delta {
    /// Whether the delta changes nothing.
    pub fn is_empty(&self) -> bool {
        self.venture.is_none() && self.partner.is_none() && self.services.is_empty()
    }
}

/// Computes the changes that turn `before` into `after`.
pub fn between(before: &Content, after: &Content) -> Delta {
    let (old, new) = (&before.branch, &after.branch);
    let mut services = BTreeMap::new();
    for service in old.services.keys().filter(|service| !new.services.contains_key(*service)) {
        services.insert(service.clone(), ServiceChange::Removed);
    }
    for (service, settings) in &new.services {
        match old.services.get(service) {
            None => {
                services.insert(service.clone(), ServiceChange::Declared(Arc::clone(settings)));
            }
            // Most services share their settings with the earlier content, so that comparing pointers suffices.
            Some(earlier) if !Arc::ptr_eq(earlier, settings) && earlier != settings => {
                services.insert(service.clone(), service_change(earlier, settings));
            }
            Some(_) => {}
        }
    }
    Delta {
        venture: (before.venture != after.venture).then(|| after.venture.clone()),
        partner: (old.partner != new.partner).then(|| new.partner.clone()),
        services,
    }
}

/// Applies changes in place.
///
/// # Errors
///
/// Returns a [`Mismatch`] and leaves the content unchanged if an edited service is not declared.
pub fn apply(content: &mut Content, delta: &Delta) -> Result<(), Mismatch> {
    let missing = delta.services.iter().find(|(service, change)| {
        matches!(change, ServiceChange::Edited(_))
            && !content.branch.services.contains_key(*service)
    });
    if let Some((service, _)) = missing {
        return Err(Mismatch { service: service.clone() });
    }
    if let Some(venture) = &delta.venture {
        content.venture = venture.clone();
    }
    if let Some(partner) = &delta.partner {
        content.branch.partner = partner.clone();
    }
    let services = &mut content.branch.services;
    for (service, change) in &delta.services {
        match change {
            ServiceChange::Declared(settings) => {
                services.insert(service.clone(), Arc::clone(settings));
            }
            ServiceChange::Removed => {
                services.remove(service);
            }
            ServiceChange::Edited(edit) => {
                apply_edit(Arc::make_mut(services.entry(service.clone()).or_default()), edit);
            }
        }
    }
    Ok(())
}

/// Describes a change as an edit, or as a whole service if an edit would not give the same order of callers' keys.
fn service_change(before: &Map<String, Value>, after: &Arc<Map<String, Value>>) -> ServiceChange {
    let edit = diff(before, after);
    let mut result = before.clone();
    apply_edit(&mut result, &edit);
    if result == **after {
        ServiceChange::Edited(edit)
    } else {
        ServiceChange::Declared(Arc::clone(after))
    }
}

fn diff(before: &Map<String, Value>, after: &Map<String, Value>) -> Edit {
    let mut edit = Edit::default();
    edit.unset.extend(before.keys().filter(|group| !after.contains_key(*group)).cloned());
    for (group, value) in after {
        match (before.get(group), value) {
            (Some(earlier), _) if earlier == value => {}
            (Some(Value::Array(earlier)), Value::Array(later)) if group == KEYS => {
                diff_keys(&mut edit, earlier, later);
            }
            _ => {
                edit.set.insert(group.clone(), value.clone());
            }
        }
    }
    edit
}

fn diff_keys(edit: &mut Edit, before: &[Value], after: &[Value]) {
    let old: Set<String> = before.iter().map(Value::to_string).collect();
    let new: Set<String> = after.iter().map(Value::to_string).collect();
    let gone = before.iter().filter(|key| !new.contains(&key.to_string()));
    edit.removed_keys = gone.map(|key| String::from(id(key))).collect();
    edit.added_keys = after.iter().filter(|key| !old.contains(&key.to_string())).cloned().collect();
}

fn apply_edit(settings: &mut Map<String, Value>, edit: &Edit) {
    for group in &edit.unset {
        settings.shift_remove(group);
    }
    for (group, value) in &edit.set {
        settings.insert(group.clone(), value.clone());
    }
    if edit.added_keys.is_empty() && edit.removed_keys.is_empty() {
        return;
    }
    let keys = settings.entry(KEYS).or_insert_with(|| Value::Array(Vec::new()));
    if let Value::Array(keys) = keys {
        let removed: Set<&str> = edit.removed_keys.iter().map(String::as_str).collect();
        keys.retain(|key| !removed.contains(id(key)));
        keys.extend(edit.added_keys.iter().cloned());
    }
}

fn id(key: &Value) -> &str {
    key[KEY_ID].as_str().unwrap_or_default()
}
