//! Parses JSON with comments and records the line and column of each key.

use std::{fs, path::Path};

use common::collections::Map;
use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{Object, Value as Node},
    common::Ranged,
    errors::ParseError,
    parse_to_ast,
};
use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{
    error::{Fault, NO_KEY},
    schema,
};

/// JSON with comments and trailing commas, without any other extension.
const SYNTAX: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_trailing_commas: true,
    allow_loose_object_property_names: false,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Line and column, both from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
}

/// A parsed file.
#[derive(Clone, Debug)]
pub struct Document {
    /// The file as the operator named it.
    pub file: String,
    /// The value, without comments.
    pub value: Value,
    /// Keys that occur more than once in one object.
    pub duplicates: Vec<Fault>,
    positions: Map<String, Position>,
}

impl Document {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the file can't be read or is not valid JSON with comments.
    pub fn read(path: &Path) -> Result<Document, Fault> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path)
            .map_err(|error| Fault::of_file(&file, format!("can't be read: {error}")))?;
        Document::parse(&file, &text)
    }

    /// Parses a text; faults name `file`.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the text is not valid JSON with comments.
    pub fn parse(file: &str, text: &str) -> Result<Document, Fault> {
        let result = parse_to_ast(text, &CollectOptions::default(), &SYNTAX)
            .map_err(|error| syntax(file, &error))?;
        let Some(node) = result.value else {
            return Err(Fault::of_file(file, String::from("is empty; expected an object")));
        };
        let mut document = Document {
            file: String::from(file),
            value: Value::Null,
            duplicates: Vec::new(),
            positions: Map::default(),
        };
        let lines = Lines::of(text);
        document.collect("", &node, &lines);
        document.value = Value::from(node);
        Ok(document)
    }

    /// Makes a document from a value without text; its faults have line 1 and column 1.
    pub fn of_value(file: &str, value: Value) -> Document {
        Document {
            file: String::from(file),
            value,
            duplicates: Vec::new(),
            positions: Map::default(),
        }
    }

    /// Whether the file sets `key`, such as `limits.deadline_ms`.
    pub fn sets(&self, key: &str) -> bool {
        self.positions.contains_key(key)
    }

    /// Makes a fault at the position of `key`, or of the innermost enclosing key that the file sets.
    pub fn fault(&self, key: &str, problem: String) -> Fault {
        let mut located = key;
        while !self.positions.contains_key(located) {
            match located.rfind(['.', '[']) {
                Some(end) => located = &located[..end],
                None => break,
            }
        }
        let position =
            self.positions.get(located).copied().unwrap_or(Position { line: 1, column: 1 });
        let key = if key.is_empty() { NO_KEY } else { key };
        Fault {
            file: self.file.clone(),
            line: position.line,
            column: position.column,
            key: String::from(key),
            problem,
        }
    }

    fn collect(&mut self, key: &str, node: &Node<'_>, lines: &Lines<'_>) {
        match node {
            Node::Object(object) => self.collect_object(key, object, lines),
            Node::Array(array) => {
                for (position, element) in array.elements.iter().enumerate() {
                    let key = format!("{key}[{position}]");
                    self.positions.insert(key.clone(), lines.position(element.start()));
                    self.collect(&key, element, lines);
                }
            }
            _ => {}
        }
    }

    fn collect_object(&mut self, key: &str, object: &Object<'_>, lines: &Lines<'_>) {
        for property in &object.properties {
            let inner = schema::join(key, property.name.as_str());
            let position = lines.position(property.start());
            if let Some(first) = self.positions.insert(inner.clone(), position) {
                let problem = format!("duplicate key; first set in line {}", first.line);
                self.duplicates.push(self.fault(&inner, problem));
            }
            self.collect(&inner, &property.value, lines);
        }
    }
}

/// Reads a file into `T` and checks it against the schema of `T`.
///
/// # Errors
///
/// Returns the first [`Fault`].
pub fn read<T: DeserializeOwned + JsonSchema>(path: &Path) -> Result<T, Fault> {
    deserialize(&Document::read(path)?).map_err(first)
}

/// Parses a text into `T` and checks it against the schema of `T`; faults name `file`.
///
/// # Errors
///
/// Returns the first [`Fault`].
pub fn parse<T: DeserializeOwned + JsonSchema>(file: &str, text: &str) -> Result<T, Fault> {
    deserialize(&Document::parse(file, text)?).map_err(first)
}

/// Checks a document against the schema of `T` and deserializes it.
///
/// # Errors
///
/// Returns all faults, at least one.
pub fn deserialize<T: DeserializeOwned + JsonSchema>(document: &Document) -> Result<T, Vec<Fault>> {
    let mut faults = document.duplicates.clone();
    faults.extend(schema::check(document, &schemars::schema_for!(T)));
    if !faults.is_empty() {
        return Err(faults);
    }
    serde_json::from_value(document.value.clone())
        .map_err(|error| vec![document.fault("", error.to_string())])
}

fn first(mut faults: Vec<Fault>) -> Fault {
    faults.swap_remove(0)
}

fn syntax(file: &str, error: &ParseError) -> Fault {
    Fault {
        file: String::from(file),
        line: error.line_display(),
        column: error.column_display(),
        key: String::from(NO_KEY),
        problem: format!("not valid JSON with comments: {}", error.kind()),
    }
}

/// A text and the offsets at which its lines start.
struct Lines<'a> {
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> Lines<'a> {
    fn of(text: &'a str) -> Lines<'a> {
        let breaks = text.match_indices('\n').map(|(position, _)| position + 1);
        Lines { text, starts: std::iter::once(0).chain(breaks).collect() }
    }

    fn position(&self, offset: usize) -> Position {
        let line = self.starts.partition_point(|&start| start <= offset);
        let start = self.starts[line - 1];
        Position { line, column: self.text[start..offset].chars().count() + 1 }
    }
}
