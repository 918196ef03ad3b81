//! Chained hashes of a prompt's pieces, which identify cached prefixes to routers and engines.

use crate::random;

/// Tokens of one piece.
pub const TOKENS: usize = 2_000;
/// Bytes of text that are counted as one token, since no tokenizer is available.
pub const BYTES_PER_TOKEN: usize = 4;
/// Maximum number of pieces of one prompt that are hashed.
pub const MAX_PIECES: usize = 64;

const PIECE_BYTES: usize = TOKENS * BYTES_PER_TOKEN;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes each whole piece of `text`, chained to all pieces before it (FNV-1a, 64 bits).
///
/// The chain starts with the model's name, since models don't share caches.
pub fn chain(model: &str, text: &str) -> Vec<u64> {
    let start = fnv1a(FNV_OFFSET, model.as_bytes());
    text.as_bytes()
        .chunks_exact(PIECE_BYTES)
        .take(MAX_PIECES)
        .scan(start, |state, piece| {
            *state = fnv1a(*state, piece);
            Some(*state)
        })
        .collect()
}

/// Hashes a name; the hash is the same on every instance.
pub fn hash(name: &str) -> u64 {
    random::mix(fnv1a(FNV_OFFSET, name.as_bytes()))
}

/// Estimated number of tokens of `text`, rounded up.
pub fn tokens(text: &str) -> u64 {
    u64::try_from(text.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u64::MAX)
}

/// Continues an FNV-1a hash with `bytes`.
fn fnv1a(state: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(state, |state, byte| (state ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}
