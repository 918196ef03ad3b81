//! Checks that involve several settings, which a schema can't express.

use std::path::Path;

use common::{collections::Map, name};
use schemars::JsonSchema;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    document::{self, Document},
    error::Fault,
    instance::Instance,
    seeded::Seeded,
    service::{Kind, Service},
    tree::{self, Branch, Documents, Partner, Tree, Venture},
};

/// Name of the venture's branch, which is the root of the tree.
pub const VENTURE_BRANCH: &str = "venture";

/// Reads an instance's settings file and collects all faults.
///
/// # Errors
///
/// Returns all faults, at least one.
pub fn instance(path: &Path) -> Result<Instance, Vec<Fault>> {
    let document = Document::read(path).map_err(|fault| vec![fault])?;
    let instance: Instance = document::deserialize(&document)?;
    let faults = instance_faults(&instance, &document);
    if faults.is_empty() { Ok(instance) } else { Err(faults) }
}

/// Reads the settings file of an instance that discovers the others through seeds, and collects all faults.
///
/// # Errors
///
/// Returns all faults, at least one.
pub fn seeded(path: &Path) -> Result<Seeded, Vec<Fault>> {
    let document = Document::read(path).map_err(|fault| vec![fault])?;
    let settings: Seeded = document::deserialize(&document)?;
    let mut faults = Vec::new();
    let mut report = |key: &str, problem: &str| {
        faults.push(document.fault(key, String::from(problem)));
    };
    if settings.callers.is_none() && settings.control.is_none() {
        report("callers", "the instance has nothing to do; expected `callers` or `control`");
    }
    if settings.callers.is_some() && settings.readiness.is_none() {
        report(
            "readiness",
            "is missing; required with `callers`, for readiness checks of load balancers",
        );
    }
    if settings.control.is_some() && settings.data_folder.is_none() {
        report(
            "data_folder",
            "is missing; required with `control`, since the instance stores state on disk",
        );
    }
    if settings.seeds.is_empty() {
        report("seeds", "is empty; expected the control address of at least one instance");
    }
    if faults.is_empty() { Ok(settings) } else { Err(faults) }
}

/// Checks that a partner of the tree declares the data centres of an instance and its peers.
pub fn data_centres(path: &Path, instance: &Instance, tree: &Tree) -> Vec<Fault> {
    let Ok(document) = Document::read(path) else {
        return Vec::new();
    };
    let known: Vec<&str> = tree
        .partners
        .values()
        .flat_map(|branch| &branch.partner.data_centres)
        .map(String::as_str)
        .collect();
    let own = std::iter::once((String::from("data_centre"), &instance.data_centre));
    let peers = instance
        .peers
        .iter()
        .enumerate()
        .map(|(position, peer)| (format!("peers[{position}].data_centre"), &peer.data_centre));
    own.chain(peers)
        .filter(|(_, data_centre)| !known.contains(&data_centre.as_str()))
        .map(|(key, data_centre)| {
            let known = known.join(", ");
            let problem = format!("unknown data centre `{data_centre}`; expected one of {known}");
            document.fault(&key, problem)
        })
        .collect()
}

/// Checks a whole tree. If `documents` is empty, faults name files without lines.
pub fn tree(tree: &Tree, documents: &Documents) -> Vec<Fault> {
    let mut checker = Checker { tree, documents, faults: Vec::new(), keys: Map::default() };
    checker.data_centres();
    for (partner, branch) in &tree.partners {
        if partner.0 == VENTURE_BRANCH {
            let problem = format!(
                "`{VENTURE_BRANCH}` is reserved for the root; give the partner another name"
            );
            checker.report(&tree::partner_file(partner), "title", problem);
        }
        for service in branch.services.keys() {
            checker.service(partner, branch, service);
        }
    }
    checker.faults
}

/// Checks a tree that was not read from files: each part against its schema, then the whole tree.
pub fn declared(tree: &Tree) -> Vec<Fault> {
    let mut faults = schema_faults::<Venture>(tree::VENTURE_FILE, &tree.venture);
    for (partner, branch) in &tree.partners {
        faults.extend(schema_faults::<Partner>(&tree::partner_file(partner), &branch.partner));
        for (service, settings) in &branch.services {
            faults.extend(schema_faults::<Service>(
                &tree::service_file(partner, service),
                settings.as_ref(),
            ));
        }
    }
    if faults.is_empty() { self::tree(tree, &Documents::new()) } else { faults }
}

fn schema_faults<T: DeserializeOwned + JsonSchema>(
    file: &str,
    value: &impl Serialize,
) -> Vec<Fault> {
    let value = serde_json::to_value(value).unwrap_or_default();
    document::deserialize::<T>(&Document::of_value(file, value)).err().unwrap_or_default()
}

fn instance_faults(instance: &Instance, document: &Document) -> Vec<Fault> {
    let mut faults = Vec::new();
    if !instance.replicas.is_empty() && instance.data_folder.is_none() {
        let problem = String::from("a replica needs `data_folder`, a folder on a disk");
        faults.push(document.fault("replicas", problem));
    }
    if instance.callers == instance.control {
        let problem = format!("{} is already used by `callers`", instance.control);
        faults.push(document.fault("control", problem));
    }
    let mut names: Map<&str, usize> = Map::default();
    for (position, peer) in instance.peers.iter().enumerate() {
        if peer.name == instance.name {
            let key = format!("peers[{position}].name");
            faults.push(document.fault(&key, String::from("is the instance itself")));
        }
        if let Some(first) = names.insert(&peer.name, position) {
            let problem = format!("`{}` is already the name of peers[{first}]", peer.name);
            faults.push(document.fault(&format!("peers[{position}].name"), problem));
        }
        let same =
            instance.peers[..position].iter().position(|other| other.address == peer.address);
        if let Some(first) = same {
            let problem = format!("{} is already the address of peers[{first}]", peer.address);
            faults.push(document.fault(&format!("peers[{position}].address"), problem));
        }
    }
    let mut branches: Map<&str, usize> = Map::default();
    for (position, replica) in instance.replicas.iter().enumerate() {
        if let Some(first) = branches.insert(&replica.branch, position) {
            let problem =
                format!("`{}` is already the branch of replicas[{first}]", replica.branch);
            faults.push(document.fault(&format!("replicas[{position}].branch"), problem));
        }
    }
    faults
}

struct Checker<'a> {
    tree: &'a Tree,
    documents: &'a Documents,
    faults: Vec<Fault>,
    keys: Map<String, String>,
}

impl Checker<'_> {
    fn report(&mut self, file: &str, key: &str, problem: String) {
        self.faults.push(match self.documents.get(file) {
            Some(document) => document.fault(key, problem),
            None => Fault { key: String::from(key), ..Fault::of_file(file, problem) },
        });
    }

    fn data_centres(&mut self) {
        let mut owners: Map<&str, &name::Partner> = Map::default();
        for (partner, branch) in &self.tree.partners {
            let file = tree::partner_file(partner);
            if branch.partner.data_centres.is_empty() {
                let problem = String::from("expected at least one data centre");
                self.report(&file, "data_centres", problem);
            }
            for (position, data_centre) in branch.partner.data_centres.iter().enumerate() {
                if let Some(owner) = owners.insert(data_centre, partner) {
                    let problem = format!("`{data_centre}` is already a data centre of `{owner}`");
                    self.report(&file, &format!("data_centres[{position}]"), problem);
                }
            }
        }
    }

    fn service(&mut self, partner: &name::Partner, branch: &Branch, service: &name::Service) {
        let file = tree::service_file(partner, service);
        let effective = match tree::effective(&self.tree.venture, branch, service) {
            Ok(effective) => effective,
            Err(error) => {
                self.report(&file, "", error.to_string());
                return;
            }
        };
        let scope = Scope { partner, file };
        self.limits(&scope, &effective);
        self.models(&scope, &effective);
        self.paths(&scope, &effective);
        self.lending(&scope, &effective);
        self.keys(&scope, &effective);
    }

    /// Reports a problem at the lowest level of the tree that sets one of `keys`.
    fn report_at(&mut self, scope: &Scope<'_>, keys: &[&str], problem: String) {
        let partner = tree::partner_file(scope.partner);
        let levels = [
            (scope.file.as_str(), ""),
            (partner.as_str(), "defaults."),
            (tree::VENTURE_FILE, "defaults."),
        ];
        for (file, prefix) in levels {
            for key in keys {
                let path = format!("{prefix}{key}");
                if self.documents.get(file).is_some_and(|document| document.sets(&path)) {
                    self.report(file, &path, problem);
                    return;
                }
            }
        }
        self.report(&scope.file, keys.first().copied().unwrap_or_default(), problem);
    }

    fn limits(&mut self, scope: &Scope<'_>, service: &Service) {
        let (limits, defaults) = (&service.limits, Service::default());
        // A default of the program may exceed a short deadline: the deadline then ends the wait first.
        let bounded = [
            ("limits.first_token_ms", limits.first_token_ms, None),
            ("limits.progress_ms", limits.progress_ms, Some(defaults.limits.progress_ms)),
            ("retry.backoff_ms", service.retry.backoff_ms, Some(defaults.retry.backoff_ms)),
        ];
        for (key, value, default) in bounded {
            if value > limits.deadline_ms && Some(value) != default {
                let problem = format!(
                    "{key} {value} contradicts limits.deadline_ms {}; expected at most the deadline, in milliseconds",
                    limits.deadline_ms
                );
                self.report_at(scope, &[key, "limits.deadline_ms"], problem);
            }
        }
    }

    fn models(&mut self, scope: &Scope<'_>, service: &Service) {
        match (service.kind, service.models.is_empty()) {
            (Kind::Model, true) => {
                let problem = String::from("a service of kind `model` needs at least one model");
                self.report_at(scope, &["models", "kind"], problem);
            }
            (Kind::Plain, false) => {
                let problem = String::from("a service of kind `plain` has no models");
                self.report_at(scope, &["models", "kind"], problem);
            }
            _ => {}
        }
        for (position, model) in service.models.iter().enumerate() {
            let same = |other: &&crate::service::Model| {
                other.name == model.name && other.version == model.version
            };
            if service.models[..position].iter().find(same).is_some() {
                let problem = format!("`{}` is listed twice with the same version", model.name);
                self.report_at(scope, &[&format!("models[{position}].name"), "models"], problem);
            }
            let versions = service.models.iter().filter(|other| other.name == model.name);
            if versions.map(|other| u64::from(other.weight)).sum::<u64>() == 0 {
                let problem = format!("all versions of `{}` have weight 0", model.name);
                self.report_at(scope, &[&format!("models[{position}].weight"), "models"], problem);
            }
        }
        self.floors(scope, service);
    }

    fn floors(&mut self, scope: &Scope<'_>, service: &Service) {
        let roles = &service.roles;
        if service.kind == Kind::Model && roles.prefill_floor + roles.decode_floor == 0 {
            let problem = String::from(
                "both floors are 0, so that a role may be left without engines; expected one of at least 1",
            );
            self.report_at(scope, &["roles.prefill_floor", "roles.decode_floor"], problem);
        }
    }

    fn paths(&mut self, scope: &Scope<'_>, service: &Service) {
        for (position, path) in service.claims.paths.iter().enumerate() {
            if !path.starts_with('/') {
                let key = format!("claims.paths[{position}]");
                let problem = format!("`{path}`: expected a path that begins with `/`");
                self.report_at(scope, &[&key, "claims.paths"], problem);
            }
        }
    }

    fn lending(&mut self, scope: &Scope<'_>, service: &Service) {
        for (position, partner) in service.roles.lend_to.iter().enumerate() {
            let known = self.tree.partners.contains_key(&name::Partner(partner.clone()));
            let own = *partner == scope.partner.0;
            if own || !known {
                let key = format!("roles.lend_to[{position}]");
                let problem = format!("`{partner}`: expected the name of another partner");
                self.report_at(scope, &[&key, "roles.lend_to"], problem);
            }
        }
    }

    fn keys(&mut self, scope: &Scope<'_>, service: &Service) {
        for (position, key) in service.keys.iter().enumerate() {
            let path = format!("keys[{position}].sha256");
            if !key.sha256.is_valid() {
                let problem = String::from(
                    "expected 64 lower-case hexadecimal digits, as `daisyctl hash-key` prints",
                );
                self.report_at(scope, &[&path], problem);
            }
            if let Some(first) = self.keys.insert(key.sha256.0.clone(), scope.file.clone()) {
                let problem = format!(
                    "the same key is already used in {first}; expected a different key for each service"
                );
                self.report_at(scope, &[&path, "keys"], problem);
            }
        }
    }
}

/// The service that is being checked.
struct Scope<'a> {
    partner: &'a name::Partner,
    file: String,
}
