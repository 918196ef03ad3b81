//! Faults in settings, each with the place it was found at.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Key of a fault that concerns a whole file.
pub const NO_KEY: &str = "-";

/// A fault in a file of settings.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
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

impl Fault {
    /// A fault of a whole file.
    pub fn of_file(file: &str, problem: String) -> Fault {
        Fault { file: String::from(file), line: 1, column: 1, key: String::from(NO_KEY), problem }
    }
}

/// Faults of one check, one a line.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{}", faults.iter().map(Fault::to_string).collect::<Vec<_>>().join("\n"))]
pub struct Faults {
    /// The faults, at least one.
    pub faults: Vec<Fault>,
}

impl From<Vec<Fault>> for Faults {
    fn from(faults: Vec<Fault>) -> Faults {
        Faults { faults }
    }
}
