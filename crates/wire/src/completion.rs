//! The parts of a completion request that routing and engines need.

use common::piece;
use serde::{Deserialize, Serialize};

/// Maximum number of output tokens of a request that sets none.
pub const DEFAULT_MAX_TOKENS: u32 = 16;

/// A completion or chat completion request; its other fields are passed to the engine unread.
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
    /// Whether tokens are streamed as they are generated.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of output tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Handle of an imported KV cache that holds the prompt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_handle: Option<String>,
}

/// A message of a chat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Role of its author, such as `user`.
    pub role: String,
    /// Its text.
    pub content: String,
}

impl Request {
    /// The prompt as a single text, the input of `common::piece::chain`.
    pub fn text(&self) -> String {
        if let Some(prompt) = &self.prompt {
            return prompt.clone();
        }
        let contents: Vec<&str> =
            self.messages.iter().map(|message| message.content.as_str()).collect();
        contents.join("\n")
    }

    /// Estimated number of prompt tokens.
    pub fn prompt_tokens(&self) -> u64 {
        piece::tokens(&self.text())
    }

    /// Chained hashes of the prompt's whole pieces, which identify cached prefixes to routers and engines.
    pub fn pieces(&self) -> Vec<u64> {
        piece::chain(&self.model, &self.text())
    }

    /// Maximum number of output tokens, [`DEFAULT_MAX_TOKENS`] if the request sets none.
    pub fn max_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }
}
