//! When an instance that claims the right to act for the fleet may act.

use std::time::Duration;

use common::clock::Moment;

use crate::register::Grant;

/// What a process knows of its own claims.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tenure {
    /// Term of the log's leadership in which it was last granted the right. No other instance is granted it in that term.
    granted_in: Option<u64>,
    /// When it last took the right over from another instance; kept while it isn't the holder, since it may become the
    /// holder again before the calls of that instance have ended.
    taken_over_at: Option<Moment>,
    /// Whether a claim without a reply may have been granted and have taken the right over from another instance, which the
    /// next grant won't name.
    is_unsure: bool,
}

/// Whether a grant is the first one that the process knows of in a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The process took the right over, or was never granted it before.
    New,
    /// The process has been the holder before, and no other since.
    Renewed,
}

impl Tenure {
    /// Whether `wait` has passed since the right was taken over from another instance.
    pub fn has_waited(&self, wait: Duration, now: Moment) -> bool {
        self.taken_over_at.is_none_or(|since| now >= since + wait)
    }

    /// Records the grant of a claim that was sent in a term in which this instance led the log.
    pub fn record_grant(&mut self, grant: &Grant, term: u64, now: Moment) -> Kind {
        let is_taken_over = grant.previous.is_some() || self.is_unsure;
        let kind =
            if is_taken_over || self.granted_in.is_none() { Kind::New } else { Kind::Renewed };
        if is_taken_over {
            self.taken_over_at = Some(now);
        }
        self.granted_in = Some(term);
        self.is_unsure = false;
        kind
    }

    /// Records that a claim, sent in a term in which this instance led the log, got no reply and may have been granted.
    pub fn record_no_reply(&mut self, term: u64) {
        self.is_unsure |= self.granted_in != Some(term);
    }
}
