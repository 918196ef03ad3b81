//! Faults name the file, line, column and key, and what was expected there.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{fs, path::PathBuf};

use expect_test::{Expect, expect};
use settings::{
    check, document, error::Fault, instance::Instance, seeded::Seeded, service::Service, tree,
};
use yare::parameterized;

#[parameterized(
    no_unit = { r#"{ "limits": { "deadline": 5 } }"#, "f:1:15: limits.deadline: unknown key; did you mean `deadline_ms` in milliseconds?" },
    wrong_unit = { r#"{ "limits": { "deadline_s": 5 } }"#, "f:1:15: limits.deadline_s: unknown key; did you mean `deadline_ms` in milliseconds?" },
    misspelt = { r#"{ "retyr": {} }"#, "f:1:3: retyr: unknown key; did you mean `retry`?" },
    wrong_type = { "{\n  \"limits\": {\n    \"deadline_ms\": \"120s\"\n  }\n}", "f:3:5: limits.deadline_ms: expected an integer in milliseconds from 1 to 3600000, found \"120s\"" },
    fraction = { r#"{ "retry": { "max_attempts": 1.5 } }"#, "f:1:14: retry.max_attempts: expected an integer from 1 to 10, found 1.5" },
    range = { r#"{ "retry": { "max_attempts": 0 } }"#, "f:1:14: retry.max_attempts: expected an integer from 1 to 10, found 0" },
    option = { r#"{ "kind": "engine" }"#, "f:1:3: kind: expected one of \"model\", \"plain\", found \"engine\"" },
    missing = { r#"{ "models": [{ "weight": 1 }] }"#, "f:1:14: models[0].name: is missing; expected a string of at least 1 characters" },
    element = { r#"{ "claims": { "paths": ["/a", 7] } }"#, "f:1:31: claims.paths[1]: expected a string, found 7" },
    group = { r#"{ "limits": 7 }"#, "f:1:3: limits: expected an object, found 7" },
    twice = { "{ \"kind\": \"plain\",\n\"kind\": \"model\" }", "f:2:1: kind: duplicate key; first set in line 1" },
    hash = { r#"{ "keys": [{ "sha256": "ab", "organisation": "o" }] }"#, "f:1:14: keys[0].sha256: expected a string of 64 characters, found \"ab\"" },
)]
fn value_that_violates_the_schema_is_reported(text: &str, expected: &str) {
    let fault = document::parse::<Service>("f", text).unwrap_err();
    assert_eq!(fault.to_string(), expected);
}

#[parameterized(
    comma = { "{ \"a\": 1\n  \"b\": 2 }" },
    quotes = { "{ 'a': 1 }" },
    empty = { "" },
    cut = { "{ \"kind\": " },
    nested = { "[[[[[[[[" },
    words = { "{ kind: plain }" },
)]
fn text_that_is_not_json_is_refused(text: &str) {
    let fault = document::parse::<Service>("f", text).unwrap_err();
    assert_eq!(fault.key, "-");
}

#[test]
fn invalid_address_of_an_instance_is_reported() {
    let text = r#"{ "name": "a", "data_centre": "suva", "callers": "localhost",
        "control": "127.0.0.1:1", "peers_listen": "127.0.0.1:2" }"#;
    let fault = document::parse::<Instance>("f", text).unwrap_err();
    expect![[
        r#"f:1:39: callers: expected an address such as "127.0.0.1:8080", found "localhost""#
    ]]
    .assert_eq(&fault.to_string());
}

#[test]
fn invalid_source_of_connections_to_targets_is_reported() {
    let text = r#"{ "name": "a", "data_centre": "suva", "targets_source": "127.0.0.1:1",
        "peers_listen": "127.0.0.1:2", "seeds": [] }"#;
    let fault = document::parse::<Seeded>("f", text).unwrap_err();
    expect![[r#"f:1:39: targets_source: expected an address such as "127.0.0.1" or null, found "127.0.0.1:1""#]].assert_eq(&fault.to_string());
}

#[test]
fn contradictions_in_the_settings_of_an_instance_are_reported() {
    let folder = Folder::new("instance");
    folder.write(
        "instance.jsonc",
        r#"{
    "name": "suva-1", "data_centre": "suva",
    "callers": "127.0.0.1:1", "control": "127.0.0.1:1", "peers_listen": "127.0.0.1:3",
    "replicas": [{ "branch": "venture" }, { "branch": "venture" }],
    "peers": [
        { "name": "suva-1", "data_centre": "suva", "address": "127.0.0.1:4" },
        { "name": "nadi-1", "data_centre": "nadi", "address": "127.0.0.1:5" },
        { "name": "nadi-1", "data_centre": "nadi", "address": "127.0.0.1:5" }
    ]
}"#,
    );
    let faults = check::instance(&folder.0.join("instance.jsonc")).unwrap_err();
    folder.show(
        &faults,
        &expect![[r#"
            instance.jsonc:4:5: replicas: a replica needs `data_folder`, a folder on a disk
            instance.jsonc:3:31: control: 127.0.0.1:1 is already used by `callers`
            instance.jsonc:6:11: peers[0].name: is the instance itself
            instance.jsonc:8:11: peers[2].name: `nadi-1` is already the name of peers[1]
            instance.jsonc:8:52: peers[2].address: 127.0.0.1:5 is already the address of peers[1]
            instance.jsonc:4:45: replicas[1].branch: `venture` is already the branch of replicas[0]
        "#]],
    );
}

#[test]
fn data_centre_that_no_partner_declares_is_reported() {
    let folder = Folder::new("places");
    folder.write(
        "instance.jsonc",
        r#"{ "name": "a", "data_centre": "nadi", "callers": "127.0.0.1:1",
    "control": "127.0.0.1:2", "peers_listen": "127.0.0.1:3",
    "peers": [{ "name": "b", "data_centre": "suvva", "address": "127.0.0.1:4" }] }"#,
    );
    folder.write("venture.jsonc", r#"{ "name": "v" }"#);
    folder.write("a/partner.jsonc", r#"{ "title": "A", "data_centres": ["suva", "nadi"] }"#);
    let path = folder.0.join("instance.jsonc");
    let instance = check::instance(&path).unwrap();
    let faults = check::data_centres(&path, &instance, &tree::read(&folder.0).unwrap());
    folder.show(&faults, &expect![[r#"
        instance.jsonc:3:30: peers[0].data_centre: unknown data centre `suvva`; expected one of suva, nadi
    "#]]);
}

#[test]
fn contradictions_in_a_tree_are_reported() {
    let folder = Folder::new("tree");
    let key = "0".repeat(64);
    folder.write(
        "venture.jsonc",
        r#"{ "name": "v", "defaults": { "limits": { "deadline_ms": 500 } } }"#,
    );
    folder.write("a/partner.jsonc", r#"{ "title": "A", "data_centres": ["suva"] }"#);
    folder.write(
        "a/services/portal.jsonc",
        &format!(
            r#"{{ "kind": "plain", "models": [{{ "name": "m" }}], "limits": {{ "progress_ms": 400 }},
  "claims": {{ "paths": ["push"] }}, "roles": {{ "lend_to": ["c"] }},
  "keys": [{{ "sha256": "{key}", "organisation": "o" }}] }}"#
        ),
    );
    folder.write("b/partner.jsonc", r#"{ "title": "B", "data_centres": ["suva"] }"#);
    folder.write(
        "b/services/llm.jsonc",
        &format!(
            r#"{{ "keys": [{{ "sha256": "{key}", "organisation": "o" }}],
  "limits": {{ "first_token_ms": 900, "deadline_ms": 800, "progress_ms": 400 }},
  "roles": {{ "prefill_floor": 0, "decode_floor": 0 }} }}"#
        ),
    );
    let loaded = tree::load(&folder.0);
    folder.show(
        &loaded.faults,
        &expect![[r#"
            a/services/portal.jsonc:1:20: models: a service of kind `plain` has no models
            a/services/portal.jsonc:2:25: claims.paths[0]: `push`: expected a path that begins with `/`
            a/services/portal.jsonc:2:59: roles.lend_to[0]: `c`: expected the name of another partner
            b/partner.jsonc:1:34: data_centres[0]: `suva` is already a data centre of `a`
            b/services/llm.jsonc:1:1: models: a service of kind `model` needs at least one model
            b/services/llm.jsonc:1:14: keys[0].sha256: the same key is already used in a/services/portal.jsonc; expected a different key for each service
            b/services/llm.jsonc:2:15: limits.first_token_ms: limits.first_token_ms 900 contradicts limits.deadline_ms 800; expected at most the deadline, in milliseconds
            b/services/llm.jsonc:3:14: roles.prefill_floor: both floors are 0, so that a role may be left without engines; expected one of at least 1
            venture.jsonc:1:42: defaults.limits.deadline_ms: limits.first_token_ms 820 contradicts limits.deadline_ms 500; expected at most the deadline, in milliseconds
        "#]],
    );
}

#[test]
fn faults_in_all_files_of_a_tree_are_reported() {
    let folder = Folder::new("files");
    folder.write("venture.jsonc", "{ \"nam\": 1 }");
    folder.write("a/partner.jsonc", "{}");
    folder.write("a/services/s.jsonc", "{ ");
    folder.write("b/readme.jsonc", "{}");
    folder.show(
        &tree::load(&folder.0).faults,
        &expect![[r#"
            a/partner.jsonc:1:1: title: is missing; expected a string of at least 1 characters
            a/partner.jsonc:1:1: data_centres: is missing; expected a list
            a/services/s.jsonc:1:1: -: not valid JSON with comments: Unterminated object
            b:1:1: -: has no partner.jsonc
            venture.jsonc:1:3: nam: unknown key; did you mean `name`?
            venture.jsonc:1:1: name: is missing; expected a string of at least 1 characters
        "#]],
    );
}

/// A temporary folder that is removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("settings-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn write(&self, file: &str, text: &str) {
        let path = self.0.join(file);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, text).unwrap();
    }

    fn show(&self, faults: &[Fault], expected: &Expect) {
        let prefix = format!("{}/", self.0.display());
        let lines: String = faults.iter().map(|fault| format!("{fault}\n")).collect();
        expected.assert_eq(&lines.replace(&prefix, ""));
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
