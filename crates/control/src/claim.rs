//! Claims on calls that may not be repeated.
//!
//! A claim is in the log before the call is sent. It is dropped only when the call was certainly not sent, or after
//! its retention in the log's time, which never runs ahead of real time.

use std::collections::{BTreeMap, BTreeSet};

use common::name;
use serde::{Deserialize, Serialize};

use crate::time;

/// Claims of one branch.
pub const MAX_CLAIMS: usize = 200_000;
/// Bytes of all kept answers together.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;
/// Expired claims that one command drops at most, so that no command takes long.
const MAX_DROPPED: usize = 1_000;

/// What a caller names its call by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The service.
    pub service: name::Service,
    /// The organisation that calls, so that keys of two never meet.
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
    /// What it asks for.
    pub digest: Digest,
    /// The instance that will send it.
    pub claimant: name::Instance,
    /// Unique for each request that reaches an instance. A resend of the command with the same attempt is granted
    /// again, so the claimant sends the call only after it has stopped resending.
    pub attempt: String,
    /// Time after which an unfinished call counts as lost, in milliseconds.
    pub deadline_ms: u64,
    /// How long the claim is kept, in milliseconds.
    pub retention_ms: u64,
}

/// Takes over a claim from the instance that handed the call on, so that only one may send it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeOver {
    /// The call.
    pub key: Key,
    /// What it asks for.
    pub digest: Digest,
    /// The attempt that holds the claim; afterwards it holds nothing.
    pub from: String,
    /// The instance that will send the call.
    pub claimant: name::Instance,
    /// The attempt that holds the claim afterwards.
    pub attempt: String,
}

/// Records the answer of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// The call.
    pub key: Key,
    /// The attempt that holds the claim.
    pub attempt: String,
    /// The answer; left out where it is too large to be kept.
    pub answer: Option<Answer>,
}

/// Gives a claim back whose call was certainly not sent, or was refused before it ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Abandon {
    /// The call.
    pub key: Key,
    /// The attempt that holds the claim.
    pub attempt: String,
}

/// Records that the outcome of a call that was sent can't be known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MarkLost {
    /// The call.
    pub key: Key,
    /// The attempt that holds the claim.
    pub attempt: String,
}

/// An answer that is kept for resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers to give again.
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

/// How far a claimed call has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// It may be running.
    Running,
    /// It ran; the answer is there unless it was too large.
    Finished(Option<Answer>),
    /// It was sent, and nobody knows whether it ran.
    Lost,
}

/// The answer to a command on claims.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The call is claimed; it may be sent once.
    Claimed,
    /// Another attempt may be running it.
    InProgress,
    /// It ran before.
    Finished {
        /// Its answer, where it was kept.
        answer: Option<Answer>,
    },
    /// It may have run; nobody can know.
    Unknown,
    /// The key was used for another call.
    OtherBody,
    /// As many calls are claimed as can be kept; this one is not, and did not run.
    Full,
    /// The outcome is recorded.
    Recorded,
    /// The claim is not this attempt's, or is no longer kept.
    NotHeld,
}

/// A claim.
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

    /// Bytes of the kept answers.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// What a resend of a call is told, if the call is claimed.
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

    /// Hands a claim from one attempt to another; of several that ask, one gets it.
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

    /// Records an answer; without room for it, only that the call ran.
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

    /// Drops a claim whose call did not run.
    pub fn abandon(&mut self, abandon: &Abandon) -> Reply {
        let running = self.unfinished(&abandon.key, &abandon.attempt);
        if running.is_none_or(|claim| claim.progress != Progress::Running) {
            return Reply::NotHeld;
        }
        self.remove(&abandon.key);
        Reply::Recorded
    }

    /// Records that a call's outcome can't be known.
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
