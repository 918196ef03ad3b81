//! Callers' keys, of which only the hashes are stored.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

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

/// Bytes of a hash.
const DIGEST_BYTES: usize = 32;
/// Hexadecimal digits of a hash.
const HASH_DIGITS: usize = 64;

/// SHA-256 of a caller's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Hashes a key in the form that a caller sends.
    pub fn of(key: &str) -> Digest {
        Digest(Sha256::digest(key.as_bytes()).into())
    }
}

impl Hash {
    /// Hashes a key in the form that a caller sends.
    pub fn of(key: &str) -> Hash {
        Hash(Digest::of(key).0.iter().map(|byte| format!("{byte:02x}")).collect())
    }

    /// The hash as bytes; `None` if its first 64 characters are not hexadecimal digits.
    pub fn digest(&self) -> Option<Digest> {
        let mut bytes = [0; DIGEST_BYTES];
        for (position, byte) in bytes.iter_mut().enumerate() {
            let digits = self.0.get(2 * position..2 * position + 2)?;
            *byte = u8::from_str_radix(digits, 16).ok()?;
        }
        Some(Digest(bytes))
    }

    /// Whether the hash consists of 64 lower-case hexadecimal digits.
    pub fn is_valid(&self) -> bool {
        let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        self.0.len() == HASH_DIGITS && self.0.bytes().all(digit)
    }
}

/// A caller's key and the organisation that uses it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// SHA-256 of the key in lower-case hexadecimal, as `daisyctl hash-key` prints it.
    pub sha256: Hash,
    /// The organisation that the key was given to.
    #[schemars(length(min = 1))]
    pub organisation: String,
}
