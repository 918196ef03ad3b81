//! Validates a document against a JSON schema and reports what was expected.
//!
//! Supports only the keywords that `schemars` generates for this crate's types.

use std::net::{IpAddr, SocketAddr};

use schemars::Schema;
use serde_json::{Map, Value};

use crate::{document::Document, error::Fault, unit};

/// Joins the path of an object and the name of a key in it.
pub fn join(path: &str, key: &str) -> String {
    if path.is_empty() { String::from(key) } else { format!("{path}.{key}") }
}

/// Checks a document and returns all faults.
pub fn check(document: &Document, schema: &Schema) -> Vec<Fault> {
    let mut checker = Checker { document, root: schema.as_value(), faults: Vec::new() };
    checker.value("", &document.value, schema.as_value());
    checker.faults
}

struct Checker<'a> {
    document: &'a Document,
    root: &'a Value,
    faults: Vec<Fault>,
}

impl<'a> Checker<'a> {
    fn report(&mut self, key: &str, problem: String) {
        self.faults.push(self.document.fault(key, problem));
    }

    fn resolve(&self, schema: &'a Value) -> &'a Value {
        let Some(reference) = schema["$ref"].as_str() else {
            return schema;
        };
        self.root.pointer(reference.trim_start_matches('#')).unwrap_or(&Value::Null)
    }

    fn value(&mut self, key: &str, value: &Value, schema: &'a Value) {
        let schema = self.alternative(value, self.resolve(schema));
        if let Some(options) = options(schema) {
            if !options.contains(&value) {
                self.mismatch(key, value, schema);
            }
            return;
        }
        if !has_type(value, &schema["type"]) {
            self.mismatch(key, value, schema);
            return;
        }
        match value {
            Value::Object(object) => self.object(key, object, schema),
            Value::Array(elements) => self.elements(key, elements, schema),
            Value::Number(_) => self.bounds(key, value, schema),
            Value::String(text) => self.text(key, text, schema),
            Value::Null | Value::Bool(_) => {}
        }
    }

    /// Selects the alternative of an optional value that matches its type, or else the first.
    fn alternative(&self, value: &Value, schema: &'a Value) -> &'a Value {
        let Some(alternatives) = schema["anyOf"].as_array() else {
            return schema;
        };
        let fitting = alternatives.iter().map(|alternative| self.resolve(alternative));
        fitting
            .clone()
            .find(|alternative| has_type(value, &alternative["type"]))
            .or_else(|| fitting.clone().next())
            .unwrap_or(schema)
    }

    fn mismatch(&mut self, key: &str, value: &Value, schema: &Value) {
        let problem = format!("expected {}, found {}", expected(key, schema), found(value));
        self.report(key, problem);
    }

    fn object(&mut self, key: &str, object: &Map<String, Value>, schema: &'a Value) {
        let properties = schema["properties"].as_object();
        for (name, value) in object {
            let inner = join(key, name);
            match properties.and_then(|properties| properties.get(name)) {
                Some(schema) => self.value(&inner, value, schema),
                None if schema["additionalProperties"] == Value::Bool(false) => {
                    self.report(&inner, unknown(name, properties));
                }
                None => {}
            }
        }
        let required = schema["required"].as_array().into_iter().flatten();
        for name in required.filter_map(Value::as_str) {
            if !object.contains_key(name) {
                let form = properties
                    .and_then(|properties| properties.get(name))
                    .map(|schema| expected(name, self.resolve(schema)))
                    .unwrap_or_default();
                self.report(&join(key, name), format!("is missing; expected {form}"));
            }
        }
    }

    fn elements(&mut self, key: &str, elements: &[Value], schema: &'a Value) {
        for (position, element) in elements.iter().enumerate() {
            self.value(&format!("{key}[{position}]"), element, &schema["items"]);
        }
    }

    fn bounds(&mut self, key: &str, value: &Value, schema: &Value) {
        let number = value.as_f64().unwrap_or_default();
        let low = schema["minimum"].as_f64().is_some_and(|minimum| number < minimum);
        let high = schema["maximum"].as_f64().is_some_and(|maximum| number > maximum);
        if low || high {
            self.mismatch(key, value, schema);
        }
    }

    fn text(&mut self, key: &str, text: &str, schema: &Value) {
        let length = text.chars().count();
        let short = schema["minLength"].as_u64().is_some_and(|least| (length as u64) < least);
        let long = schema["maxLength"].as_u64().is_some_and(|most| length as u64 > most);
        let malformed = match schema["format"].as_str() {
            Some("ip-port") => text.parse::<SocketAddr>().is_err(),
            Some("ip") => text.parse::<IpAddr>().is_err(),
            _ => false,
        };
        if short || long || malformed {
            self.mismatch(key, &Value::from(text), schema);
        }
    }
}

/// The values that an enumeration allows; `None` if the schema is not an enumeration.
fn options(schema: &Value) -> Option<Vec<&Value>> {
    if let Some(values) = schema["enum"].as_array() {
        return Some(values.iter().collect());
    }
    let alternatives = schema["oneOf"].as_array()?;
    alternatives.iter().map(|alternative| alternative.get("const")).collect()
}

fn has_type(value: &Value, kind: &Value) -> bool {
    match kind {
        Value::String(kind) => is(value, kind),
        Value::Array(kinds) => kinds.iter().filter_map(Value::as_str).any(|kind| is(value, kind)),
        _ => true,
    }
}

fn is(value: &Value, kind: &str) -> bool {
    match kind {
        "object" => value.is_object(),
        "array" => value.is_array(),
        "string" => value.is_string(),
        "boolean" => value.is_boolean(),
        "integer" => value.is_i64() || value.is_u64(),
        "number" => value.is_number(),
        "null" => value.is_null(),
        _ => true,
    }
}

fn unknown(name: &str, properties: Option<&Map<String, Value>>) -> String {
    let known: Vec<&str> = properties.into_iter().flat_map(Map::keys).map(String::as_str).collect();
    match unit::nearest(name, &known) {
        Some(near) => format!("unknown key; did you mean `{near}`{}?", unit::clause(near)),
        None => format!("unknown key; expected one of {}", known.join(", ")),
    }
}

/// Describes in words the values that a schema accepts.
pub fn expected(key: &str, schema: &Value) -> String {
    if let Some(options) = options(schema) {
        let words: Vec<String> = options.into_iter().map(Value::to_string).collect();
        return format!("one of {}", words.join(", "));
    }
    let kinds: Vec<&str> = match &schema["type"] {
        Value::String(kind) => vec![kind],
        Value::Array(kinds) => kinds.iter().filter_map(Value::as_str).collect(),
        _ => Vec::new(),
    };
    let mut words: Vec<String> = kinds.into_iter().map(|kind| article(kind, schema)).collect();
    if words.is_empty() {
        words.push(String::from("another type"));
    }
    format!("{}{}{}", words.join(" or "), unit::clause(key), range(schema))
}

fn article(kind: &str, schema: &Value) -> String {
    let words = match kind {
        "object" => "an object",
        "array" => "a list",
        "string" if schema["format"] == "ip-port" => "an address such as \"127.0.0.1:8080\"",
        "string" if schema["format"] == "ip" => "an address such as \"127.0.0.1\"",
        "string" => "a string",
        "boolean" => "true or false",
        "integer" => "an integer",
        "number" => "a number",
        other => other,
    };
    String::from(words)
}

fn range(schema: &Value) -> String {
    let bound = |name: &str| schema[name].as_f64();
    let length = |name: &str| schema[name].as_u64();
    match (bound("minimum"), bound("maximum"), length("minLength"), length("maxLength")) {
        (Some(low), Some(high), _, _) => format!(" from {low} to {high}"),
        (Some(low), None, _, _) => format!(" of at least {low}"),
        (None, Some(high), _, _) => format!(" of at most {high}"),
        (_, _, Some(low), Some(high)) if low == high => format!(" of {low} characters"),
        (_, _, Some(low), _) => format!(" of at least {low} characters"),
        _ => String::new(),
    }
}

fn found(value: &Value) -> String {
    match value {
        Value::Object(_) => String::from("an object"),
        Value::Array(_) => String::from("a list"),
        other => other.to_string(),
    }
}
