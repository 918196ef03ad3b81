//! Output of commands: tables for people, JSON for programs.

use derive_more::{Display, FromStr};
use serde::Serialize;

/// How a command prints its result.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum Format {
    /// Aligned columns.
    #[default]
    Table,
    /// One JSON value.
    Json,
}

/// Rows of aligned columns.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with these column headings.
    pub fn new(heads: &[&str]) -> Table {
        Table { rows: vec![heads.iter().map(ToString::to_string).collect()] }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// The table as lines of text.
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            self.rows
                .iter()
                .filter_map(|row| row.get(column))
                .map(|cell| cell.chars().count())
                .max()
                .unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        self.rows.iter().map(|row| line(row, &widths)).collect()
    }
}

/// Prints a value as JSON.
#[allow(clippy::print_stdout, reason = "the result of a command goes to standard output")]
pub fn json<T: Serialize>(value: &T) {
    let text = serde_json::to_string_pretty(value)
        .expect("invariant: values whose map keys are strings serialise to JSON");
    println!("{text}");
}

/// Prints text.
#[allow(clippy::print_stdout, reason = "the result of a command goes to standard output")]
pub fn text(text: &str) {
    print!("{text}");
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<String> =
        row.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}")).collect();
    format!("{}\n", cells.join("  ").trim_end())
}
