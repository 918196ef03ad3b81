//! Checks that the samples, the settings page and the committed schemas match the types.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{
    fs,
    path::{Path, PathBuf},
};

use settings::{check, document::Document, reference, schema, tree};
use yare::parameterized;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

#[test]
fn committed_pages_and_schemas_match_the_types() {
    for page in reference::pages() {
        let committed = fs::read_to_string(root().join(page.path)).unwrap();
        assert!(
            committed == page.text,
            "{} is out of date: cargo run -p settings --example reference",
            page.path
        );
    }
}

#[parameterized(
    single = { "examples/single.jsonc" },
    instance = { "examples/instance.jsonc" },
    replica = { "examples/replica.jsonc" },
)]
fn sample_of_an_instance_is_valid(file: &str) {
    let file = root().join(file);
    let instance = check::instance(&file).unwrap();
    let tree = tree::read(&root().join("examples/venture")).unwrap();
    assert_eq!(check::data_centres(&file, &instance, &tree), []);
}

#[test]
fn sample_tree_is_valid() {
    let loaded = tree::load(&root().join("examples/venture"));
    assert_eq!(loaded.faults, []);
    let services: Vec<String> = loaded
        .tree
        .partners
        .iter()
        .flat_map(|(partner, branch)| {
            branch.services.keys().map(move |service| format!("{partner}/{service}"))
        })
        .collect();
    let expected =
        ["association/member-portal", "association/vent-llm", "inkleaf/inkmind", "inkleaf/otagate"];
    assert_eq!(services, expected);
}

#[test]
fn committed_schemas_accept_the_samples() {
    let pairs = [
        ("schema/instance.json", "examples/instance.jsonc"),
        ("schema/instance.json", "examples/replica.jsonc"),
        ("schema/venture.json", "examples/venture/venture.jsonc"),
        ("schema/partner.json", "examples/venture/inkleaf/partner.jsonc"),
        ("schema/service.json", "examples/venture/inkleaf/services/otagate.jsonc"),
    ];
    for (schema, sample) in pairs {
        let text = fs::read_to_string(root().join(schema)).unwrap();
        let schema = serde_json::from_str(&text).unwrap();
        let document = Document::read(&root().join(sample)).unwrap();
        assert_eq!(schema::check(&document, &schema), [], "{sample}");
    }
}
