//! The parts of a completion request that routing and engines need, and the pieces of its prompt.

use serde::{Deserialize, Serialize};

/// Bytes of a prompt that count as one token where no tokenizer is at hand.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens in one piece of a prefix cache.
pub const TOKENS_PER_PIECE: usize = 2_000;
/// Output tokens of a request that names no limit.
pub const DEFAULT_MAX_TOKENS: u32 = 16;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// A completion or chat completion; other fields are left to the engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Name of the model.
    pub model: String,
    /// Prompt of a completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt: Option<String>,
    /// Messages of a chat completion.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub messages: Vec<Message>,
    /// Whether tokens are sent as they come.
    #[serde(default)]
    pub stream: bool,
    /// Output tokens at most.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Handle of an imported KV cache that holds the prompt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_handle: Option<String>,
}

/// A message of a chat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who said it.
    pub role: String,
    /// What was said.
    pub content: String,
}

impl Request {
    /// The prompt as one text; messages are joined as `role: content` lines.
    pub fn text(&self) -> String {
        let mut text = self.prompt.clone().unwrap_or_default();
        for message in &self.messages {
            text.push_str(&message.role);
            text.push_str(": ");
            text.push_str(&message.content);
            text.push('\n');
        }
        text
    }

    /// Output tokens at most.
    pub fn max_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }
}

/// Tokens of a prompt, by its length.
pub fn tokens(prompt: &str) -> u64 {
    u64::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u64::MAX)
}

/// Chained hashes (FNV-1a) of the prompt's whole pieces: each covers the prompt from its start to the piece's end.
pub fn pieces(prompt: &str) -> Vec<u64> {
    let mut hash = FNV_OFFSET;
    let mut pieces = Vec::new();
    for piece in prompt.as_bytes().chunks_exact(TOKENS_PER_PIECE * BYTES_PER_TOKEN) {
        for &byte in piece {
            hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
        pieces.push(hash);
    }
    pieces
}
