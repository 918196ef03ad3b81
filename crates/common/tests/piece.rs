//! Chained hashes of a prompt's pieces.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use common::piece;

const PIECE_BYTES: usize = piece::TOKENS * piece::BYTES_PER_TOKEN;

#[test]
fn prompts_with_a_common_prefix_share_the_hashes_of_its_pieces() {
    let shared = "a".repeat(2 * PIECE_BYTES);
    let first = piece::chain("m", &format!("{shared}{}", "b".repeat(PIECE_BYTES)));
    let second = piece::chain("m", &format!("{shared}{}", "c".repeat(PIECE_BYTES)));
    assert_eq!(first.len(), 3);
    assert_eq!(first[..2], second[..2]);
    assert_ne!(first[2], second[2]);
    assert_ne!(first[0], first[1]);
}

#[test]
fn models_share_no_hashes_and_an_incomplete_piece_has_none() {
    let text = "a".repeat(PIECE_BYTES);
    assert_ne!(piece::chain("m", &text), piece::chain("n", &text));
    assert!(piece::chain("m", "short").is_empty());
}
