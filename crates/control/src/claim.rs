//! Claims on calls that must run at most once.
//!
//! A claim is in the log before the call is sent to a target. It is dropped only if the call certainly did not run, or
//! after its retention, measured in the log's time, which is never ahead of real time.

use std::collections::{BTreeMap, BTreeSet};

use common::name;
use serde::{Deserialize, Serialize};

use crate::time;

/// Most claims of one branch.
pub const MAX_CLAIMS: usize = 200_000;
/// Most bytes that all kept answers of a branch take together.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;
/// Most expired claims that one command drops, so that no command takes long.
const MAX_DROPPED: usize = 1_000;

/// Identifies a call that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The service.
    pub service: name::Service,
    /// The caller's organisation, so that equal keys of two organisations are different calls.
    pub organisation: name::Organisation,
    /// The caller's idempotency key.
    pub key: String,
}

/// SHA-256 of the call: method, path and body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

/// Claims a call before it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begin {
    /// The call.
    pub key: Key,
    /// The digest of the call, which distinguishes it from another call with the same key.
    pub digest: Digest,
    /// The instance that will send it.
    pub claimant: name::Instance,
    /// Unique for each request that reaches an instance. A resend of the command with the same attempt gets the claim
    /// again, so the claimant sends the call only once it no longer resends the command.
    pub attempt: String,
    /// Time from the claim after which an unfinished call counts as lost, in milliseconds.
    pub deadline_ms: u64,
    /// Time from the claim for which it is kept, at least until the deadline, in milliseconds.
    pub retention_ms: u64,
}

/// Transfers a claim from the instance that forwarded the call, so that only one instance may send it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeOver {
    /// The call.
    pub key: Key,
    /// The digest of the call, which distinguishes it from another call with the same key.
    pub digest: Digest,
    /// The attempt that has held the claim so far.
    pub from: String,
    /// The instance that will send the call.
    pub claimant: name::Instance,
    /// The attempt that holds the claim from now on.
    pub attempt: String,
}

/// Records the answer of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// The call.
    pub key: Key,
    /// The attempt that holds the claim.
    pub attempt: String,
    /// The answer; `None` if it is too large to be kept.
    pub answer: Option<Answer>,
}

/// Drops the claim of a call that certainly did not run: it was not sent, or was refused before it ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Abandon {
    /// The call.
    pub key: Key,
    /// The attempt that holds the claim.
    pub attempt: String,
}

/// Records that a call was sent and it can't be known whether it ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MarkLost {
    /// The call.
    pub key: Key,
    /// The attempt that holds the claim.
    pub attempt: String,
}

/// The HTTP response to a call, kept for resends of the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// The headers that a resend gets.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Vec<u8>,
}

/// One header of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Its name.
    pub name: String,
    /// Its value.
    pub value: String,
}

/// How far a claimed call has progressed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// It may be running.
    Running,
    /// It ran; the answer is kept unless it was too large.
    Finished(Option<Answer>),
    /// It was sent, and it can't be known whether it ran.
    Lost,
}

/// The reply to a command about claims.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The attempt holds the claim and may send the call once.
    Claimed,
    /// Another attempt holds the claim and may be running the call.
    InProgress,
    /// The call has run.
    Finished {
        /// Its answer, if it was kept.
        answer: Option<Answer>,
    },
    /// The call may have run; it can't be known.
    Unknown,
    /// The key was used for a call with another digest.
    OtherBody,
    /// The branch has [`MAX_CLAIMS`] claims already, or the key is longer than [`MAX_KEY_BYTES`]. The call is not
    /// claimed and did not run.
    Full,
    /// The outcome is recorded.
    Recorded,
    /// This attempt doesn't hold the claim, or the claim is no longer kept.
    NotHeld,
}

/// A claim on a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    digest: Digest,
    claimant: name::Instance,
    attempt: String,
    lost_at_ms: u64,
    expires_at_ms: u64,
    progress: Progress,
}

/// The claims of a branch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    claims: BTreeMap<Key, Claim>,
    expiries: BTreeSet<Expiry>,
    answer_bytes: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Expiry {
    at_ms: u64,
    key: Key,
}

impl Table {
    /// Number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Bytes that all kept answers take.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// The reply that a resend of a call gets, if the call is claimed.
    pub fn find(&self, now: time::Clock, key: &Key) -> Option<Reply> {
        self.claims.get(key).map(|claim| claim.reply(now))
    }

    /// Claims a call.
    pub fn begin(&mut self, now: time::Clock, begin: &Begin) -> Reply {
        if let Some(claim) = self.claims.get(&begin.key) {
            let running = claim.progress == Progress::Running;
            return match claim.digest == begin.digest {
                false => Reply::OtherBody,
                true if running && claim.attempt == begin.attempt => Reply::Claimed,
                true => claim.reply(now),
            };
        }
        if self.claims.len() >= MAX_CLAIMS || begin.key.key.len() > MAX_KEY_BYTES {
            return Reply::Full;
        }
        let expires_at_ms = now.now_ms + begin.retention_ms.max(begin.deadline_ms);
        let claim = Claim {
            digest: begin.digest,
            claimant: begin.claimant.clone(),
            attempt: begin.attempt.clone(),
            lost_at_ms: now.now_ms + begin.deadline_ms + time::MAX_STEP_MS,
            expires_at_ms: expires_at_ms + time::MAX_STEP_MS,
            progress: Progress::Running,
        };
        self.expiries.insert(Expiry { at_ms: claim.expires_at_ms, key: begin.key.clone() });
        self.claims.insert(begin.key.clone(), claim);
        Reply::Claimed
    }

    /// Transfers a claim from one attempt to another. If several ask, only the first gets it.
    pub fn take_over(&mut self, now: time::Clock, take: &TakeOver) -> Reply {
        let Some(claim) = self.claims.get_mut(&take.key) else {
            return Reply::NotHeld;
        };
        if claim.digest != take.digest {
            return Reply::OtherBody;
        }
        let running = claim.reply(now) == Reply::InProgress;
        if running && claim.attempt == take.from {
            claim.claimant = take.claimant.clone();
            claim.attempt = take.attempt.clone();
            return Reply::Claimed;
        }
        if running && claim.attempt == take.attempt {
            return Reply::Claimed;
        }
        claim.reply(now)
    }

    /// Records the answer of a call, or only that it ran if the answer doesn't fit into [`MAX_ANSWER_BYTES`].
    pub fn finish(&mut self, finish: &Finish) -> Reply {
        let room = MAX_ANSWER_BYTES - self.answer_bytes;
        let Some(claim) = self.unfinished(&finish.key, &finish.attempt) else {
            return Reply::NotHeld;
        };
        let answer = finish.answer.clone().filter(|answer| answer.bytes() <= room);
        let bytes = answer.as_ref().map_or(0, Answer::bytes);
        claim.progress = Progress::Finished(answer);
        self.answer_bytes += bytes;
        Reply::Recorded
    }

    /// Drops the claim of a call that did not run.
    pub fn abandon(&mut self, abandon: &Abandon) -> Reply {
        let running = self.unfinished(&abandon.key, &abandon.attempt);
        if running.is_none_or(|claim| claim.progress != Progress::Running) {
            return Reply::NotHeld;
        }
        self.remove(&abandon.key);
        Reply::Recorded
    }

    /// Records that it can't be known whether a call ran.
    pub fn mark_lost(&mut self, lost: &MarkLost) -> Reply {
        let Some(claim) = self.unfinished(&lost.key, &lost.attempt) else {
            return Reply::NotHeld;
        };
        claim.progress = Progress::Lost;
        Reply::Recorded
    }

    /// Drops claims whose retention is over.
    pub fn expire(&mut self, now: time::Clock) {
        for _ in 0..MAX_DROPPED {
            let Some(first) = self.expiries.first().filter(|first| first.at_ms <= now.now_ms)
            else {
                return;
            };
            let key = first.key.clone();
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &Key) {
        if let Some(claim) = self.claims.remove(key) {
            self.expiries.remove(&Expiry { at_ms: claim.expires_at_ms, key: key.clone() });
            if let Progress::Finished(Some(answer)) = &claim.progress {
                self.answer_bytes -= answer.bytes();
            }
        }
    }

    fn unfinished(&mut self, key: &Key, attempt: &str) -> Option<&mut Claim> {
        self.claims.get_mut(key).filter(|claim| {
            claim.attempt == attempt && !matches!(claim.progress, Progress::Finished(_))
        })
    }
}

impl Claim {
    fn reply(&self, now: time::Clock) -> Reply {
        match &self.progress {
            Progress::Finished(answer) => Reply::Finished { answer: answer.clone() },
            Progress::Running if now.now_ms < self.lost_at_ms => Reply::InProgress,
            Progress::Running | Progress::Lost => Reply::Unknown,
        }
    }
}

impl Answer {
    fn bytes(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|header| header.name.len() + header.value.len()).sum();
        self.body.len() + headers
    }
}
