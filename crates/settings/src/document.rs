//! Reads JSON with comments and reports faults by line and column.

use std::{fs, path::Path};

use jsonc_parser::{ParseOptions, errors::ParseError, parse_to_serde_value};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error::Fault;

/// Reads a file of JSON with comments into `T`.
///
/// # Errors
///
/// Returns a [`Fault`] when the file can't be read, is no JSON or doesn't have the expected form.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, Fault> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path)
        .map_err(|error| fault(&file, "-", format!("can't be read: {error}")))?;
    parse(&file, &text)
}

/// Parses JSON with comments into `T`; `file` is named in faults.
///
/// # Errors
///
/// Returns a [`Fault`] when the text is no JSON or doesn't have the expected form.
pub fn parse<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, Fault> {
    let value: Value = parse_to_serde_value(text, &ParseOptions::default())
        .map_err(|error| syntax(file, &error))?;
    serde_json::from_value(value).map_err(|error| fault(file, "-", error.to_string()))
}

fn syntax(file: &str, error: &ParseError) -> Fault {
    Fault {
        file: String::from(file),
        line: error.line_display(),
        column: error.column_display(),
        key: String::from("-"),
        problem: error.kind().to_string(),
    }
}

fn fault(file: &str, key: &str, problem: String) -> Fault {
    Fault { file: String::from(file), line: 1, column: 1, key: String::from(key), problem }
}
