//! Callers' keys, of which only hashes are kept.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// SHA-256 of a caller's key in lower-case hexadecimal.
#[derive(
    Clone,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(transparent)]
pub struct Hash(#[schemars(length(equal = 64))] pub String);

/// Hexadecimal digits of a hash.
const HASH_DIGITS: usize = 64;

impl Hash {
    /// Hashes a key as a caller presents it.
    pub fn of(key: &str) -> Hash {
        let digest = Sha256::digest(key.as_bytes());
        Hash(digest.iter().map(|byte| format!("{byte:02x}")).collect())
    }

    /// Whether it has the form of a hash.
    pub fn is_valid(&self) -> bool {
        let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        self.0.len() == HASH_DIGITS && self.0.bytes().all(digit)
    }
}

/// A caller's key and whom it stands for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// SHA-256 of the key in lower-case hexadecimal, as `daisyctl hash-key` prints it.
    pub sha256: Hash,
    /// The organisation that the key was given to.
    #[schemars(length(min = 1))]
    pub organisation: String,
}
