//! A small tree of declarations for tests: two partners, each with a model and a plain service.

use std::{
    fs,
    path::{Path, PathBuf},
};

use serde_json::{Value, json};
use settings::key;

/// A partner of the test tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Partner {
    /// Name of the partner.
    pub name: &'static str,
    /// Its model service.
    pub model_service: &'static str,
    /// The model service's model.
    pub model: &'static str,
    /// Key of the model service's callers.
    pub model_key: &'static str,
    /// Its plain service.
    pub plain_service: &'static str,
    /// Key of the plain service's callers.
    pub plain_key: &'static str,
    /// Path of the plain service whose calls may not be repeated.
    pub claimed_path: &'static str,
}

/// The first partner.
pub const ASSOCIATION: Partner = Partner {
    name: "association",
    model_service: "vent-llm",
    model: "vent-7b",
    model_key: "vent-test-key",
    plain_service: "member-portal",
    plain_key: "portal-test-key",
    claimed_path: "/certificates",
};

/// The second partner.
pub const INKLEAF: Partner = Partner {
    name: "inkleaf",
    model_service: "inkmind",
    model: "ink-7b",
    model_key: "ink-test-key",
    plain_service: "otagate",
    plain_key: "ota-test-key",
    claimed_path: "/push",
};

/// Prefix of the names of the second partner's data centres.
const INKLEAF_PREFIX: &str = "ink-";
/// Data centre of a partner for which `write` is given none.
const INKLEAF_DATA_CENTRE: &str = "ink-1";

/// Writes the tree into `folder` and returns its path; data centres whose names start with `ink-` are the second
/// partner's, the others the first one's.
///
/// # Panics
///
/// Panics when the folder can't be written.
pub fn write(folder: &Path, data_centres: &[&str]) -> PathBuf {
    let root = folder.join("tree");
    save(&root.join("venture.jsonc"), &json!({ "name": "test-venture" }));
    for partner in [ASSOCIATION, INKLEAF] {
        let branch = root.join(partner.name);
        let mut names: Vec<&str> = data_centres.to_vec();
        names.retain(|name| name.starts_with(INKLEAF_PREFIX) == (partner == INKLEAF));
        if names.is_empty() {
            names.push(INKLEAF_DATA_CENTRE);
        }
        let head = json!({ "title": partner.name, "data_centres": names });
        save(&branch.join("partner.jsonc"), &head);
        let model = json!({
            "kind": "model",
            "models": [{ "name": partner.model }],
            "keys": [caller(partner.model_key)],
            "limits": { "deadline_ms": 20_000, "progress_ms": 1_000 },
        });
        save(&branch.join(format!("services/{}.jsonc", partner.model_service)), &model);
        let plain = json!({
            "kind": "plain",
            "keys": [caller(partner.plain_key)],
            "limits": { "deadline_ms": 20_000, "progress_ms": 5_000 },
            "claims": { "paths": [partner.claimed_path] },
        });
        save(&branch.join(format!("services/{}.jsonc", partner.plain_service)), &plain);
    }
    root
}

fn caller(key: &str) -> Value {
    json!({ "sha256": key::Hash::of(key), "organisation": "testers" })
}

fn save(file: &Path, value: &Value) {
    let folder = file.parent().expect("invariant: files of a tree stand in a folder");
    fs::create_dir_all(folder).expect("the test's folder can be written");
    fs::write(file, value.to_string()).expect("the test's folder can be written");
}
