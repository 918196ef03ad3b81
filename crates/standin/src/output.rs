//! Output of the stand-in engine: tokens that are computed from the prompt alone, so that any reader can check them.
//!
//! Token `n` of a prompt is `" n:hash"`, where the hash is that of the prompt and `n`.

use std::fmt::Write;

use derive_more::{Display, Error};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Why a text is not the output for a prompt.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// A token is missing, duplicated, out of order or belongs to another prompt.
    #[display("token {position} is {found:?}, expected {expected:?}")]
    Token {
        /// Position of the first wrong token.
        position: usize,
        /// The token at this position of the text.
        found: String,
        /// The token that belongs at this position.
        expected: String,
    },
    /// The text has too few or too many tokens.
    #[display("the text has {found} tokens, expected {expected}")]
    Length {
        /// Tokens found.
        found: usize,
        /// Tokens expected.
        expected: usize,
    },
}

/// Token `position` of the output for `prompt`.
pub fn token(prompt: &str, position: usize) -> String {
    token_of(hash(prompt), position)
}

/// Token `position` of the output for the prompt with the hash `prompt`.
pub fn token_of(prompt: u64, position: usize) -> String {
    let mixed = (prompt ^ position as u64).wrapping_mul(FNV_PRIME) >> 32;
    format!(" {position}:{mixed:08x}")
}

/// The first `tokens` tokens of the output for `prompt`.
pub fn text(prompt: &str, tokens: usize) -> String {
    let hash = hash(prompt);
    let mut text = String::new();
    for position in 0..tokens {
        let _ = write!(text, "{}", token_of(hash, position));
    }
    text
}

/// Checks that `text` is the complete output of `tokens` tokens for `prompt`, each once and in order.
///
/// # Errors
///
/// Returns the first difference.
pub fn check(prompt: &str, tokens: usize, text: &str) -> Result<(), Error> {
    let hash = hash(prompt);
    let found: Vec<&str> = text.split(' ').skip(1).collect();
    for (position, word) in found.iter().enumerate().take(tokens) {
        let expected = token_of(hash, position);
        if expected.trim_start() != *word {
            return Err(Error::Token { position, found: (*word).to_string(), expected });
        }
    }
    if found.len() == tokens {
        Ok(())
    } else {
        Err(Error::Length { found: found.len(), expected: tokens })
    }
}

/// FNV-1a hash of a prompt.
pub fn hash(prompt: &str) -> u64 {
    prompt.bytes().fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}
