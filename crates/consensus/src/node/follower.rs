//! Follower: appends entries from the leader.

use common::clock::Moment;

use super::{Node, Timing};
use crate::{
    entry::{Entry, Position},
    member::Id,
    message::{Append, AppendOutcome, AppendReply, Body},
};

impl Node {
    pub(super) fn handle_append(&mut self, from: Id, append: Append, now: Moment) {
        self.record_leader_contact(from, now);
        let outcome = self.append_matching(append.previous, append.entries, append.commit);
        if let AppendOutcome::Accepted { match_index } = outcome
            && match_index > self.durable_index
        {
            // The leader must not take a replica for lost because its disk is slow.
            let durable = AppendOutcome::Accepted { match_index: self.durable_index };
            self.reply_to_append(from, append.round, durable, Timing::Immediate);
            return self.reply_to_append(from, append.round, outcome, Timing::AfterSync);
        }
        self.reply_to_append(from, append.round, outcome, Timing::Immediate);
    }

    fn reply_to_append(&mut self, to: Id, round: u64, outcome: AppendOutcome, timing: Timing) {
        self.send(to, Body::AppendReply(AppendReply { round, outcome }), timing);
    }

    /// Appends the entries if the log contains the one before them, and advances the commit index.
    fn append_matching(
        &mut self,
        previous: Position,
        entries: Vec<Entry>,
        commit: u64,
    ) -> AppendOutcome {
        let covered = previous.index + entries.len() as u64;
        if covered <= self.commit {
            return AppendOutcome::Accepted { match_index: covered };
        }
        let agrees =
            previous.index <= self.commit || self.log.term(previous.index) == Some(previous.term);
        if !agrees {
            let hint = self.log.last_possible_match(previous);
            return AppendOutcome::Rejected { previous_index: previous.index, hint };
        }
        for entry in entries {
            self.append_received(entry);
        }
        self.commit_to(commit.min(covered));
        AppendOutcome::Accepted { match_index: covered }
    }

    /// Appends an entry unless it is in the log already; it replaces conflicting ones.
    fn append_received(&mut self, entry: Entry) {
        let Position { index, term } = entry.position;
        if index <= self.commit || self.log.term(index) == Some(term) {
            return;
        }
        if index <= self.log.last().index {
            self.truncate(index);
        }
        self.push(entry);
    }
}
