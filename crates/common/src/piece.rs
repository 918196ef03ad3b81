//! Chained hashes of a prompt's pieces, by which routers and engines name cached prefixes.

use crate::random;

/// Tokens of one piece.
pub const TOKENS: usize = 2_000;
/// Bytes of text taken as one token where no tokenizer is at hand.
pub const BYTES_PER_TOKEN: usize = 4;
/// Pieces of one prompt that are hashed at most.
pub const MAX_PIECES: usize = 64;

const PIECE_BYTES: usize = TOKENS * BYTES_PER_TOKEN;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes each whole piece of `text` chained to all before it (FNV-1a, 64 bits).
///
/// The model's name starts the chain, since models don't share caches.
pub fn chain(model: &str, text: &str) -> Vec<u64> {
    let start = fold(FNV_OFFSET, model.as_bytes());
    text.as_bytes()
        .chunks_exact(PIECE_BYTES)
        .take(MAX_PIECES)
        .scan(start, |state, piece| {
            *state = fold(*state, piece);
            Some(*state)
        })
        .collect()
}

/// Hashes a name, alike on every instance.
pub fn hash(name: &str) -> u64 {
    random::mix(fold(FNV_OFFSET, name.as_bytes()))
}

/// Tokens that `text` is taken to have.
pub fn tokens(text: &str) -> u64 {
    u64::try_from(text.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u64::MAX)
}

fn fold(state: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(state, |state, byte| (state ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}
