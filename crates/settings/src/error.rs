//! Faults in settings, each with the place it was found at.

use derive_more::{Display, Error};

/// A fault in a file of settings.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{file}:{line}:{column}: {key}: {problem}")]
pub struct Fault {
    /// The file as the operator named it.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// Path of the key, such as `retry.max_attempts`, or `-` where the file is no JSON.
    pub key: String,
    /// What is wrong and what form is expected.
    pub problem: String,
}
