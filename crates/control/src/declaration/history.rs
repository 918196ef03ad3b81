//! The declarations in force and the accepted changes that led to them.

use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};
use settings::{
    delta::{self, Content, Delta},
    tree::Venture,
};

use crate::declaration::{
    Author, Cause, Change, Record, Refusal, Reply, Request,
    request::{self, Table},
};

/// Most changes that are kept for rollbacks and for instances that lag behind; the oldest is dropped first.
pub const MAX_REVISIONS: usize = 1_000;
/// Most bytes that all kept changes take together.
pub const MAX_REVISION_BYTES: usize = 8 * 1024 * 1024;

/// An accepted change and its inverse.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Revision {
    /// The version that it created, and how.
    pub record: Record,
    /// The venture's version whose defaults are part of that version.
    pub venture_version: u64,
    /// The change.
    #[serde(with = "settings::text")]
    pub forward: Delta,
    /// The change that undoes it.
    #[serde(with = "settings::text")]
    pub backward: Delta,
    bytes: usize,
}

/// The declarations in force and the accepted changes that led to them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    version: u64,
    venture_version: u64,
    #[serde(with = "settings::text")]
    content: Content,
    revisions: VecDeque<Revision>,
    revision_bytes: usize,
    requests: Table,
}

impl History {
    /// The version in force; 0 before the first change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The venture's version whose defaults are in force.
    pub fn venture_version(&self) -> u64 {
        self.venture_version
    }

    /// The declarations in force.
    pub fn content(&self) -> &Content {
        &self.content
    }

    /// The kept changes, oldest first.
    pub fn revisions(&self) -> impl DoubleEndedIterator<Item = &Revision> {
        self.revisions.iter()
    }

    /// The changes after `version`; `None` if some of them are no longer kept or `version` is ahead.
    pub fn since(&self, version: u64) -> Option<Vec<&Revision>> {
        if version > self.version || version < self.oldest() {
            return None;
        }
        Some(self.revisions.iter().filter(|revision| revision.record.version > version).collect())
    }

    /// The oldest version that can be restored.
    pub fn oldest(&self) -> u64 {
        self.version - self.revisions.len() as u64
    }

    /// Makes a change, once for each request id. `refusal` is the reason why the branch takes no changes now, if any.
    pub fn declare(
        &mut self,
        index: u64,
        request: &Request,
        refusal: Option<Refusal>,
        keep_venture: KeepVenture,
    ) -> Reply {
        let digest = request::Digest::of(&(request.base, &request.change));
        if let Some(reply) = self.requests.find(&request.author.request, digest) {
            return reply;
        }
        let reply = match refusal {
            Some(refusal) => Reply::Refused(refusal),
            None => self.perform(index, request, keep_venture),
        };
        self.requests.keep(&request.author.request, digest, &reply);
        reply
    }

    /// The reply that a request got, if it is kept.
    pub fn reply_to(&self, request: &str) -> Option<&Reply> {
        self.requests.reply_to(request)
    }

    /// Replaces the declarations by `after`, in which the venture's defaults are part of the branch.
    pub fn write_out(&mut self, index: u64, author: &Author, after: &Content) -> Reply {
        let delta = delta::between(&self.content, after);
        self.change(index, author, self.version, Cause::WriteOut, &delta)
    }

    /// The declarations of an earlier version, if it is still kept.
    pub fn content_at(&self, version: u64) -> Option<Content> {
        let later = self.since(version)?;
        let mut content = self.content.clone();
        for revision in later.into_iter().rev() {
            delta::apply(&mut content, &revision.backward).ok()?;
        }
        Some(content)
    }

    fn perform(&mut self, index: u64, request: &Request, keep_venture: KeepVenture) -> Reply {
        let (author, base) = (&request.author, request.base);
        match &request.change {
            Change::Apply(delta) => self.change(index, author, base, Cause::Apply, delta),
            Change::Adopt { venture_version, venture } => {
                self.adopt(index, author, base, *venture_version, venture)
            }
            Change::Rollback { to } => {
                let Some(mut earlier) = self.content_at(*to) else {
                    let oldest = self.oldest();
                    return Reply::Refused(Refusal::NoVersion { version: *to, oldest });
                };
                if keep_venture == KeepVenture::Yes {
                    earlier.venture = self.content.venture.clone();
                }
                let delta = delta::between(&self.content, &earlier);
                self.change(index, author, base, Cause::Rollback { to: *to }, &delta)
            }
        }
    }

    fn adopt(
        &mut self,
        index: u64,
        author: &Author,
        base: u64,
        venture_version: u64,
        venture: &Venture,
    ) -> Reply {
        if venture_version <= self.venture_version {
            return Reply::Refused(Refusal::OldVenture { version: self.venture_version });
        }
        let delta = Delta { venture: Some(venture.clone()), ..Delta::default() };
        let earlier = std::mem::replace(&mut self.venture_version, venture_version);
        let reply = self.change(index, author, base, Cause::Adopt { venture_version }, &delta);
        if !matches!(reply, Reply::Accepted { .. } | Reply::Unchanged { .. }) {
            self.venture_version = earlier;
        }
        reply
    }

    fn change(
        &mut self,
        index: u64,
        author: &Author,
        base: u64,
        cause: Cause,
        forward: &Delta,
    ) -> Reply {
        if base != self.version {
            return self.conflict(base);
        }
        let mut after = self.content.clone();
        if let Err(mismatch) = delta::apply(&mut after, forward) {
            return Reply::Refused(Refusal::Mismatch { problem: mismatch.to_string() });
        }
        let backward = delta::between(&after, &self.content);
        if backward.is_empty() {
            return Reply::Unchanged { version: self.version };
        }
        self.version += 1;
        self.content = after;
        let record = Record { version: self.version, cause, author: author.clone(), index };
        let bytes = encode(forward).len() + encode(&backward).len();
        let (venture_version, forward) = (self.venture_version, forward.clone());
        self.push(Revision { record, venture_version, forward, backward, bytes });
        Reply::Accepted { version: self.version }
    }

    fn conflict(&self, base: u64) -> Reply {
        let next = self.revisions.iter().find(|revision| revision.record.version == base + 1);
        let winner = next.or(self.revisions.back()).map(|revision| revision.record.clone());
        Reply::Conflict { version: self.version, winner }
    }

    fn push(&mut self, revision: Revision) {
        self.revision_bytes += revision.bytes;
        self.revisions.push_back(revision);
        while self.revisions.len() > MAX_REVISIONS || self.revision_bytes > MAX_REVISION_BYTES {
            let Some(oldest) = self.revisions.pop_front() else {
                return;
            };
            self.revision_bytes -= oldest.bytes;
        }
    }
}

/// Whether a rollback leaves the venture's defaults as they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepVenture {
    /// It does, on a partner's branch: only the venture changes them.
    Yes,
    /// It doesn't, on the venture's own branch.
    No,
}

/// The declarations with the venture's defaults copied into the branch, which then needs no venture.
///
/// Loans of engines to other partners end, since the partners no longer belong together.
pub fn written_out(content: &Content) -> Content {
    let mut after = content.clone();
    let partner = &mut after.branch.partner;
    let mut defaults = content.venture.defaults.clone();
    settings::tree::merge(&mut defaults, &partner.defaults);
    partner.defaults = defaults;
    settings::tree::end_loans(&mut partner.defaults);
    for service in after.branch.services.values_mut() {
        settings::tree::end_loans(Arc::make_mut(service));
    }
    after.venture = Venture { name: content.venture.name.clone(), ..Venture::default() };
    after
}

/// The delta as it is encoded in the log.
fn encode(delta: &Delta) -> Vec<u8> {
    #[derive(Serialize)]
    struct Text<'a>(#[serde(with = "settings::text")] &'a Delta);
    postcard::to_stdvec(&Text(delta)).unwrap_or_default()
}
