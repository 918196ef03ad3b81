//! Faults in settings, each with its position in the file.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Key of a fault that concerns the whole file.
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
    /// Path of the key, such as `retry.max_attempts`, or `-` if the whole file is at fault.
    pub key: String,
    /// What is wrong and what was expected.
    pub problem: String,
}

impl Fault {
    /// Makes a fault that concerns the whole file.
    pub fn of_file(file: &str, problem: String) -> Fault {
        Fault { file: String::from(file), line: 1, column: 1, key: String::from(NO_KEY), problem }
    }
}

/// Faults of one check; displayed one per line.
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
