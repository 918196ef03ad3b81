//! Inheritance and origins of settings, differences between trees, and deltas.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{path::Path, sync::Arc};

use common::name;
use expect_test::expect;
use proptest::prelude::*;
use serde_json::{Map, Value, json};
use settings::{
    delta::{self, Content},
    diff, effective,
    tree::{self, Tree},
};

fn sample() -> Tree {
    tree::read(&Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/venture")).unwrap()
}

fn service(tree: &mut Tree) -> &mut Map<String, Value> {
    let branch = tree.partners.get_mut(&name::Partner::from("association")).unwrap();
    Arc::make_mut(branch.services.get_mut(&name::Service::from("member-portal")).unwrap())
}

#[test]
fn each_value_names_its_origin() {
    let tree = sample();
    let partner = name::Partner::from("association");
    let branch = &tree.partners[&partner];
    let settings = effective::settings(&tree.venture, &partner, branch, &"member-portal".into());
    let keys = [
        "limits.deadline_ms",
        "limits.first_token_ms",
        "limits.progress_ms",
        "roles.changes_at_once",
        "claims.paths",
    ];
    let lines: String = keys
        .iter()
        .map(|key| {
            let setting = &settings[*key];
            format!("{key} = {} ({} {})\n", setting.value, setting.origin, setting.file)
        })
        .collect();
    expect![[r#"
        limits.deadline_ms = 30000 (service association/services/member-portal.jsonc)
        limits.first_token_ms = 820 (venture venture.jsonc)
        limits.progress_ms = 5000 (default )
        roles.changes_at_once = 2 (partner association/partner.jsonc)
        claims.paths = ["/certificates"] (service association/services/member-portal.jsonc)
    "#]]
    .assert_eq(&lines);
}

#[test]
fn differences_are_those_of_effective_values() {
    let before = sample();
    let mut after = before.clone();
    after.venture.defaults.insert(String::from("limits"), json!({ "deadline_ms": 90_000 }));
    service(&mut after).shift_remove("claims");
    let inkleaf = after.partners.get_mut(&name::Partner::from("inkleaf")).unwrap();
    inkleaf.services.remove(&name::Service::from("otagate"));
    let lines: String = diff::between(&before, &after)
        .into_iter()
        .map(|change| {
            let keys: Vec<String> = change
                .settings
                .iter()
                .filter(|_| change.kind == diff::Kind::Changed)
                .map(|setting| format!(" {} {}", setting.key, setting.origin))
                .collect();
            format!("{}/{} {}{}\n", change.partner, change.service, change.kind, keys.concat())
        })
        .collect();
    expect![[r#"
        association/member-portal changed claims.paths default claims.retention_s default
        association/vent-llm changed limits.deadline_ms venture
        inkleaf/inkmind changed limits.deadline_ms venture
        inkleaf/otagate removed
    "#]]
    .assert_eq(&lines);
    assert_eq!(diff::between(&before, &before), []);
}

#[test]
fn adding_a_key_is_a_small_delta() {
    let before = sample();
    let mut after = before.clone();
    let key = json!({ "sha256": "0".repeat(64), "organisation": "new" });
    service(&mut after)["keys"].as_array_mut().unwrap().push(key);
    let delta = delta::between(&content(&before), &content(&after));
    expect![[r#"
        {
          "venture": null,
          "partner": null,
          "services": {
            "member-portal": {
              "edited": {
                "set": {},
                "unset": [],
                "added_keys": [
                  {
                    "sha256": "0000000000000000000000000000000000000000000000000000000000000000",
                    "organisation": "new"
                  }
                ],
                "removed_keys": []
              }
            }
          }
        }"#]]
    .assert_eq(&serde_json::to_string_pretty(&delta).unwrap());
}

#[test]
fn delta_that_edits_an_unknown_service_changes_nothing() {
    let mut before = content(&sample());
    let mut after = before.clone();
    after.venture.name = String::from("other");
    let service = Arc::make_mut(after.branch.services.values_mut().next().unwrap());
    service.insert("kind".into(), json!("plain"));
    service.shift_remove("claims");
    let delta = delta::between(&before, &after);
    before.branch.services.clear();
    let untouched = before.clone();
    assert!(delta::apply(&mut before, &delta).is_err());
    assert_eq!(before, untouched);
}

fn content(tree: &Tree) -> Content {
    Content {
        venture: tree.venture.clone(),
        branch: tree.partners[&name::Partner::from("association")].clone(),
    }
}

fn any_service() -> impl Strategy<Value = Map<String, Value>> {
    let group = prop_oneof![Just("limits"), Just("retry"), Just("admission")];
    let groups = prop::collection::btree_map(group, 0..4u32, 0..3);
    let keys = (Just((0..6u32).collect::<Vec<_>>()).prop_shuffle(), 0..6usize).prop_map(
        |(mut keys, length)| {
            keys.truncate(length);
            keys
        },
    );
    (groups, keys).prop_map(|(groups, keys)| {
        let mut service: Map<String, Value> = groups
            .into_iter()
            .map(|(group, value)| (group.into(), json!({ "x": value })))
            .collect();
        let keys: Vec<Value> =
            keys.into_iter().map(|key| json!({ "sha256": key.to_string() })).collect();
        service.insert(String::from("keys"), Value::Array(keys));
        service
    })
}

fn any_content() -> impl Strategy<Value = Content> {
    let services = prop::collection::btree_map("[a-c]", any_service(), 0..4);
    (services, 0..3u32, 0..3u32).prop_map(|(services, name, title)| {
        let mut content = Content::default();
        content.venture.name = name.to_string();
        content.branch.partner.title = title.to_string();
        content.branch.services =
            services.into_iter().map(|(name, service)| (name.into(), Arc::new(service))).collect();
        content
    })
}

proptest! {
    #[test]
    fn delta_turns_one_content_into_the_other(before in any_content(), after in any_content()) {
        let delta = delta::between(&before, &after);
        let mut result = before.clone();
        delta::apply(&mut result, &delta).unwrap();
        prop_assert_eq!(&result, &after);
        prop_assert_eq!(delta.is_empty(), before == after);
    }
}
