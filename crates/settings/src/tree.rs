//! The tree of settings: the venture's defaults, each partner's overrides and each service's own settings.
//!
//! On disk a tree is a folder with `venture.jsonc` and, for each partner, a folder with `partner.jsonc`
//! and `services/NAME.jsonc`.

use std::{
    collections::BTreeMap,
    fs, io,
    path::{Path, PathBuf},
    sync::Arc,
};

use common::name;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::{Map, Value};

use crate::{
    check,
    document::{self, Document},
    error::Fault,
    service::{self, Service},
};

/// File of the root, relative to the tree's folder.
pub const VENTURE_FILE: &str = "venture.jsonc";
const PARTNER_FILE: &str = "partner.jsonc";
const SERVICES_FOLDER: &str = "services";
const EXTENSION: &str = "jsonc";

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
    #[schemars(length(min = 1))]
    pub name: String,
    /// Settings that partners and services inherit.
    #[serde(default)]
    #[schemars(with = "service::Service")]
    pub defaults: Map<String, Value>,
}

/// A partner and its services.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Branch {
    /// The partner.
    pub partner: Partner,
    /// Settings of its services by name, without inherited ones; shared, since callers' keys make them large.
    pub services: BTreeMap<name::Service, Arc<Map<String, Value>>>,
}

/// A partner's own file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Partner {
    /// Full name of the partner.
    #[schemars(length(min = 1))]
    pub title: String,
    /// Data centres of its deployment.
    pub data_centres: Vec<String>,
    /// Settings that its services inherit.
    #[serde(default)]
    #[schemars(with = "service::Service")]
    pub defaults: Map<String, Value>,
}

/// Parsed files of a tree, by their path relative to the tree's folder.
pub type Documents = BTreeMap<String, Document>;

/// A tree as read from its folder, with all faults found.
#[derive(Clone, Debug, Default)]
pub struct Loaded {
    /// The tree; files that do not match their schema are left out.
    pub tree: Tree,
    /// The files.
    pub documents: Documents,
    /// The faults, sorted by file and line.
    pub faults: Vec<Fault>,
}

/// Reads a tree from its folder and checks it.
///
/// # Errors
///
/// Returns the first [`Fault`] found.
pub fn read(folder: &Path) -> Result<Tree, Fault> {
    let mut loaded = load(folder);
    if loaded.faults.is_empty() { Ok(loaded.tree) } else { Err(loaded.faults.swap_remove(0)) }
}

/// Reads a tree from its folder and collects every fault.
pub fn load(folder: &Path) -> Loaded {
    let mut loader = Loader { folder, loaded: Loaded::default() };
    loader.load();
    let mut loaded = loader.loaded;
    if loaded.faults.is_empty() {
        loaded.faults = check::tree(&loaded.tree, &loaded.documents);
    }
    loaded.faults.sort_by(|one, other| (&one.file, one.line).cmp(&(&other.file, other.line)));
    loaded
}

/// Path of a partner's file, relative to the tree's folder.
pub fn partner_file(partner: &name::Partner) -> String {
    format!("{partner}/{PARTNER_FILE}")
}

/// Path of a service's file, relative to the tree's folder.
pub fn service_file(partner: &name::Partner, service: &name::Service) -> String {
    format!("{partner}/{SERVICES_FOLDER}/{service}.{EXTENSION}")
}

/// Merges the effective settings of a service: the service's own override the partner's, which override the venture's.
///
/// # Errors
///
/// Returns the deserializer's error if the merged settings are not valid settings of a service.
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

/// Overrides values of `base` with those of `over`: objects are merged key by key, other values are replaced.
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

/// Removes the setting that lends engines to other partners.
pub fn end_loans(settings: &mut Map<String, Value>) {
    if let Some(Value::Object(roles)) = settings.get_mut("roles") {
        roles.shift_remove("lend_to");
    }
}

struct Loader<'a> {
    folder: &'a Path,
    loaded: Loaded,
}

impl Loader<'_> {
    fn load(&mut self) {
        if let Some(venture) = self.file(VENTURE_FILE) {
            self.loaded.tree.venture = venture;
        }
        for entry in self.entries(self.folder) {
            if entry.join(PARTNER_FILE).exists() {
                self.partner(&entry);
            } else if entry.is_dir() {
                let file = entry.display().to_string();
                self.loaded.faults.push(Fault::of_file(&file, format!("has no {PARTNER_FILE}")));
            }
        }
    }

    fn partner(&mut self, folder: &Path) {
        let name = name::Partner(stem(folder));
        let mut branch = Branch::default();
        if let Some(partner) = self.file(&partner_file(&name)) {
            branch.partner = partner;
        }
        let services = folder.join(SERVICES_FOLDER);
        let files = if services.exists() { self.entries(&services) } else { Vec::new() };
        for file in files {
            if file.extension().is_none_or(|extension| extension != EXTENSION) {
                continue;
            }
            let service = name::Service(stem(&file));
            let relative = service_file(&name, &service);
            if self.file::<Service>(&relative).is_some() {
                let own = self.loaded.documents[&relative].value.as_object().cloned();
                branch.services.insert(service, Arc::new(own.unwrap_or_default()));
            }
        }
        self.loaded.tree.partners.insert(name, branch);
    }

    fn file<T: DeserializeOwned + JsonSchema>(&mut self, relative: &str) -> Option<T> {
        let document = match Document::read(&self.folder.join(relative)) {
            Ok(document) => document,
            Err(fault) => {
                self.loaded.faults.push(fault);
                return None;
            }
        };
        let value = document::deserialize(&document);
        self.loaded.documents.insert(String::from(relative), document);
        value.map_err(|faults| self.loaded.faults.extend(faults)).ok()
    }

    fn entries(&mut self, folder: &Path) -> Vec<PathBuf> {
        sorted(folder).unwrap_or_else(|error| {
            let file = folder.display().to_string();
            self.loaded.faults.push(Fault::of_file(&file, format!("can't be read: {error}")));
            Vec::new()
        })
    }
}

fn sorted(folder: &Path) -> io::Result<Vec<PathBuf>> {
    let entries = fs::read_dir(folder)?.map(|entry| entry.map(|entry| entry.path()));
    let mut paths: Vec<PathBuf> = entries.collect::<io::Result<_>>()?;
    paths.retain(|path| !stem(path).starts_with('.'));
    paths.sort();
    Ok(paths)
}

fn stem(path: &Path) -> String {
    path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default()
}
