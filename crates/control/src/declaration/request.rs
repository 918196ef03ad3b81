//! Replies kept by the operator's request id, so that a resend of the request gets the same reply.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::declaration::{Refusal, Reply};

/// Most requests whose replies are kept; the oldest is dropped first.
pub const MAX_KEPT: usize = 4_096;
/// Bytes that are kept of a SHA-256 digest to tell requests apart.
const DIGEST_BYTES: usize = 16;

/// Replies by request id.
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

/// Digest of what a request asks for, without its author.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Digests the postcard encoding of `request`.
    pub fn of<T: Serialize>(request: &T) -> Digest {
        let bytes = postcard::to_stdvec(request).unwrap_or_default();
        let sha256 = Sha256::digest(&bytes);
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&sha256[..DIGEST_BYTES]);
        Digest(digest)
    }
}

impl Table {
    /// The reply to a request that was answered before, or a refusal if its id was used for a different request.
    pub fn find(&self, request: &str, digest: Digest) -> Option<Reply> {
        let answer = self.answers.get(request)?;
        if answer.digest != digest {
            return Some(Reply::Refused(Refusal::RequestReused));
        }
        Some(answer.reply.clone())
    }

    /// The reply that the request with this id got.
    pub fn reply_to(&self, request: &str) -> Option<&Reply> {
        self.answers.get(request).map(|answer| &answer.reply)
    }

    /// Keeps a reply, and drops the oldest one above [`MAX_KEPT`].
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
