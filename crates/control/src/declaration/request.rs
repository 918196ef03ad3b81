//! Answers kept by the operator's request id, so that a resend gets the same one.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::declaration::{Refusal, Reply};

/// Requests whose answers are kept; the oldest goes first.
pub const MAX_KEPT: usize = 4_096;
/// Bytes of a digest that tell contents of requests apart.
const DIGEST_BYTES: usize = 16;

/// Answers by request id.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    answers: BTreeMap<String, Answer>,
    order: VecDeque<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Answer {
    digest: Digest,
    reply: Reply,
}

/// Digest of what a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Digests what a request asks for, without its author.
    pub fn of<T: Serialize>(request: &T) -> Digest {
        let bytes = postcard::to_stdvec(request).unwrap_or_default();
        let sha256 = Sha256::digest(&bytes);
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&sha256[..DIGEST_BYTES]);
        Digest(digest)
    }
}

impl Table {
    /// The answer to a request that was answered before.
    pub fn find(&self, request: &str, digest: Digest) -> Option<Reply> {
        let answer = self.answers.get(request)?;
        if answer.digest != digest {
            return Some(Reply::Refused(Refusal::RequestReused));
        }
        Some(answer.reply.clone())
    }

    /// The answer that a request got, whatever it asked for.
    pub fn reply_to(&self, request: &str) -> Option<&Reply> {
        self.answers.get(request).map(|answer| &answer.reply)
    }

    /// Keeps an answer.
    pub fn keep(&mut self, request: &str, digest: Digest, reply: &Reply) {
        if self.order.len() >= MAX_KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.answers.remove(&oldest);
        }
        self.order.push_back(String::from(request));
        self.answers.insert(String::from(request), Answer { digest, reply: reply.clone() });
    }
}
