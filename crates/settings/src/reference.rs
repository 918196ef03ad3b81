//! The committed JSON schemas and the page that documents every key, made from the types.

use schemars::JsonSchema;
use serde_json::Value;

use crate::{
    instance::Instance,
    schema,
    seeded::Seeded,
    service::Service,
    tree::{Partner, Venture},
};

const HEAD: &str = "\
# Settings

Made by `cargo run -p settings --example reference`; a test fails when this page, the schemas in `schema/` or the
samples in `examples/` differ from the program.

Files are JSON with comments and trailing commas. `daisydrum check --settings FILE` checks an instance's file,
`daisyctl check FOLDER` a tree. Samples: `examples/instance.jsonc`, `examples/replica.jsonc`, `examples/seeded.jsonc`,
`examples/venture/`.

A unit is part of a key's name: `_ms` milliseconds, `_s` seconds, `_kb` kilobytes, `_percent` percent.

A tree is a folder:

    venture.jsonc                    the root: name and defaults
    PARTNER/partner.jsonc            a partner: title, data centres, defaults
    PARTNER/services/SERVICE.jsonc   a service

A service's settings come from the program's defaults, then the venture's `defaults`, then the partner's, then the
service's own file. Objects are merged key by key; lists and single values are replaced.
`daisyctl get --effective` shows where each value comes from.
";

/// A generated file, with its path from the root of the repository.
pub struct Page {
    /// Path from the root of the repository.
    pub path: &'static str,
    /// What it holds.
    pub text: String,
}

/// Makes all generated files.
pub fn pages() -> Vec<Page> {
    vec![
        Page { path: "schema/instance.json", text: schema_text::<Instance>() },
        Page { path: "schema/seeded.json", text: schema_text::<Seeded>() },
        Page { path: "schema/venture.json", text: schema_text::<Venture>() },
        Page { path: "schema/partner.json", text: schema_text::<Partner>() },
        Page { path: "schema/service.json", text: schema_text::<Service>() },
        Page { path: "docs/SETTINGS.md", text: keys_page() },
    ]
}

fn schema_text<T: JsonSchema>() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(T)).unwrap_or_default() + "\n"
}

fn keys_page() -> String {
    let mut page = String::from(HEAD);
    section::<Instance>(&mut page, "An instance's file");
    section::<Seeded>(&mut page, "The file of an instance that finds the others from seeds");
    section::<Venture>(&mut page, "`venture.jsonc`");
    section::<Partner>(&mut page, "`PARTNER/partner.jsonc`");
    section::<Service>(&mut page, "`PARTNER/services/SERVICE.jsonc` and `defaults`");
    page
}

fn section<T: JsonSchema>(page: &mut String, title: &str) {
    let schema = schemars::schema_for!(T);
    let rows = Rows { root: schema.as_value() };
    page.push_str(&format!(
        "\n## {title}\n\n| key | form | default | meaning |\n|---|---|---|---|\n"
    ));
    rows.object(page, "", schema.as_value());
}

struct Rows<'a> {
    root: &'a Value,
}

impl<'a> Rows<'a> {
    fn resolve(&self, schema: &'a Value) -> &'a Value {
        match schema["$ref"].as_str() {
            Some(reference) => {
                self.root.pointer(reference.trim_start_matches('#')).unwrap_or(schema)
            }
            None => schema,
        }
    }

    fn object(&self, page: &mut String, path: &str, schema: &'a Value) {
        for (name, property) in schema["properties"].as_object().into_iter().flatten() {
            self.row(page, &schema::join(path, name), name, property, schema);
        }
    }

    fn row(&self, page: &mut String, path: &str, name: &str, property: &'a Value, parent: &Value) {
        if name == "defaults" {
            page.push_str(&format!(
                "| `{path}` | settings of a service | none | {} |\n",
                text(property)
            ));
            return;
        }
        let form = self.resolve(property);
        if form["properties"].is_object() {
            self.object(page, path, form);
            return;
        }
        let default = default(property, name, parent);
        let words = schema::expected(name, form);
        page.push_str(&format!("| `{path}` | {words} | {default} | {} |\n", text(property)));
        let element = self.resolve(&form["items"]);
        if element["properties"].is_object() {
            self.object(page, &format!("{path}[]"), element);
        }
    }
}

fn default(property: &Value, name: &str, parent: &Value) -> String {
    let required = parent["required"].as_array().into_iter().flatten().any(|key| key == name);
    let value = match property.get("default") {
        Some(value) => Some(value),
        None => parent["default"].get(name),
    };
    match value {
        _ if required => String::from("required"),
        Some(Value::Null) | None => String::from("none"),
        Some(value) => format!("`{value}`"),
    }
}

fn text(property: &Value) -> String {
    property["description"].as_str().unwrap_or_default().replace('\n', " ")
}
