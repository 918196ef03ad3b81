//! Entries taken from a leader.

use common::clock::Moment;

use super::{Node, Order};
use crate::{
    entry::{Entry, Position},
    member::Id,
    message::{Append, AppendOutcome, AppendReply, Body},
};

impl Node {
    pub(super) fn accept_entries(&mut self, from: Id, append: Append, now: Moment) {
        self.hear_leader(from, now);
        let outcome = self.match_entries(append.previous, append.entries, append.commit);
        self.send(
            from,
            Body::AppendReply(AppendReply { round: append.round, outcome }),
            Order::Synced,
        );
    }

    fn match_entries(
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
            let hint = self.log.agreement(previous);
            return AppendOutcome::Rejected { previous_index: previous.index, hint };
        }
        for entry in entries {
            self.accept_entry(entry);
        }
        self.commit_to(commit.min(covered));
        AppendOutcome::Accepted { match_index: covered }
    }

    fn accept_entry(&mut self, entry: Entry) {
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
