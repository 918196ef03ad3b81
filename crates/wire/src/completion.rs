//! The parts of a completion request that routing and engines need.

use common::piece;
use serde::{Deserialize, Serialize};

/// Output tokens of a request that names no limit.
pub const DEFAULT_MAX_TOKENS: u32 = 16;

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
    /// The prompt as one text, as `common::piece::chain` takes it.
    pub fn text(&self) -> String {
        if let Some(prompt) = &self.prompt {
            return prompt.clone();
        }
        let contents: Vec<&str> =
            self.messages.iter().map(|message| message.content.as_str()).collect();
        contents.join("\n")
    }

    /// Tokens that the prompt is taken to have.
    pub fn prompt_tokens(&self) -> u64 {
        piece::tokens(&self.text())
    }

    /// Chained hashes of the prompt's whole pieces, by which routers and engines name cached prefixes.
    pub fn pieces(&self) -> Vec<u64> {
        piece::chain(&self.model, &self.text())
    }

    /// Output tokens at most.
    pub fn max_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }
}
