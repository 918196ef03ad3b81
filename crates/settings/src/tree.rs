//! The tree: the venture's defaults, each partner's overrides and each service's own.
//!
//! On disk a tree is a folder with `venture.jsonc` and, for each partner, a folder with `partner.jsonc`
//! and `services/NAME.jsonc`.

use std::{collections::BTreeMap, fs, io, path::Path};

use common::name;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{document, error::Fault, service::Service};

/// A declared tree.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tree {
    /// The root.
    pub venture: Venture,
    /// The partners by name.
    pub partners: BTreeMap<name::Partner, Branch>,
}

/// The root of the tree.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Venture {
    /// Name of the venture.
    pub name: String,
    /// Settings that partners and services inherit.
    #[serde(default)]
    pub defaults: Map<String, Value>,
}

/// A partner and its services.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Branch {
    /// The partner.
    pub partner: Partner,
    /// Settings of its services by name, without what they inherit.
    pub services: BTreeMap<name::Service, Map<String, Value>>,
}

/// A partner's own file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Partner {
    /// Full name of the partner.
    pub title: String,
    /// Data centres of its deployment.
    pub data_centres: Vec<String>,
    /// Settings that its services inherit.
    #[serde(default)]
    pub defaults: Map<String, Value>,
}

/// Reads a tree from its folder.
///
/// # Errors
///
/// Returns the first [`Fault`] found.
pub fn read(folder: &Path) -> Result<Tree, Fault> {
    let venture = document::read(&folder.join("venture.jsonc"))?;
    let mut partners = BTreeMap::new();
    for entry in entries(folder)? {
        let file = entry.join("partner.jsonc");
        if file.exists() {
            partners.insert(name::Partner(stem(&entry)), read_branch(&entry)?);
        }
    }
    Ok(Tree { venture, partners })
}

/// Works out the effective settings of a service: the service's own over the partner's over the venture's.
///
/// # Errors
///
/// Returns the reason why the merged settings don't have the form of a service.
pub fn effective(
    venture: &Venture,
    branch: &Branch,
    service: &name::Service,
) -> Result<Service, serde_json::Error> {
    let mut merged = venture.defaults.clone();
    merge(&mut merged, &branch.partner.defaults);
    if let Some(own) = branch.services.get(service) {
        merge(&mut merged, own);
    }
    serde_json::from_value(Value::Object(merged))
}

/// Puts `over` on top of `base`: objects are merged key by key, anything else is replaced.
pub fn merge(base: &mut Map<String, Value>, over: &Map<String, Value>) {
    for (key, value) in over {
        match (base.get_mut(key), value) {
            (Some(Value::Object(inner)), Value::Object(value)) => merge(inner, value),
            _ => {
                base.insert(key.clone(), value.clone());
            }
        }
    }
}

fn read_branch(folder: &Path) -> Result<Branch, Fault> {
    let partner = document::read(&folder.join("partner.jsonc"))?;
    let mut services = BTreeMap::new();
    let services_folder = folder.join("services");
    if services_folder.exists() {
        for file in entries(&services_folder)? {
            if file.extension().is_some_and(|extension| extension == "jsonc") {
                services.insert(name::Service(stem(&file)), document::read(&file)?);
            }
        }
    }
    Ok(Branch { partner, services })
}

fn entries(folder: &Path) -> Result<Vec<std::path::PathBuf>, Fault> {
    let list = || -> io::Result<Vec<_>> {
        let mut paths: Vec<_> = fs::read_dir(folder)?
            .map(|entry| entry.map(|entry| entry.path()))
            .collect::<io::Result<_>>()?;
        paths.sort();
        Ok(paths)
    };
    list().map_err(|error| Fault {
        file: folder.display().to_string(),
        line: 1,
        column: 1,
        key: String::from("-"),
        problem: format!("can't be read: {error}"),
    })
}

fn stem(path: &Path) -> String {
    path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default()
}
