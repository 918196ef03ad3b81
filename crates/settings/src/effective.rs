//! Effective settings of a service, with the level of the tree that sets each value.

use std::collections::BTreeMap;

use common::name;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{
    schema,
    service::Service,
    tree::{self, Branch, Venture},
};

/// The level of the tree that a value comes from.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Origin {
    /// The program's own default.
    Default,
    /// The venture's defaults.
    Venture,
    /// The partner's defaults.
    Partner,
    /// The service's own file.
    Service,
}

/// An effective value and its origin.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Setting {
    /// The value.
    pub value: Value,
    /// The level that set it.
    pub origin: Origin,
    /// The file that set it, relative to the tree's folder; empty for the program's default.
    pub file: String,
}

/// The effective settings of one service by key, such as `limits.deadline_ms`.
pub type Settings = BTreeMap<String, Setting>;

/// Computes the effective settings of a service with their origins.
pub fn settings(
    venture: &Venture,
    partner: &name::Partner,
    branch: &Branch,
    service: &name::Service,
) -> Settings {
    let mut settings = Settings::new();
    let defaults = serde_json::to_value(Service::default()).unwrap_or_default();
    let empty = Map::new();
    let levels = [
        (Origin::Default, String::new(), defaults.as_object().unwrap_or(&empty)),
        (Origin::Venture, String::from(tree::VENTURE_FILE), &venture.defaults),
        (Origin::Partner, tree::partner_file(partner), &branch.partner.defaults),
        (
            Origin::Service,
            tree::service_file(partner, service),
            branch.services.get(service).map_or(&empty, AsRef::as_ref),
        ),
    ];
    for (origin, file, values) in levels {
        let level = Level { origin, file };
        level.overlay("", values, &mut settings);
    }
    settings
}

struct Level {
    origin: Origin,
    file: String,
}

impl Level {
    fn overlay(&self, path: &str, values: &Map<String, Value>, settings: &mut Settings) {
        for (key, value) in values {
            let key = schema::join(path, key);
            if let Value::Object(inner) = value {
                self.overlay(&key, inner, settings);
                continue;
            }
            let setting =
                Setting { value: value.clone(), origin: self.origin, file: self.file.clone() };
            settings.insert(key, setting);
        }
    }
}
