//! Checks the properties that must hold in every schedule.

use std::collections::BTreeMap;

use consensus::{
    entry::{Entry, Payload, Position},
    member::Id,
    node::Node,
    status::Role,
};

/// A violated property.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two leaders in one term.
    TwoLeaders { term: u64 },
    /// A leader lacks an entry that was committed in an earlier term.
    LeaderLacks { index: u64 },
    /// Two entries with the same index and term differ, or two logs that match at a later entry differ at `index`;
    /// `term` is that of the first.
    LogsDiffer { index: u64, term: u64 },
    /// Two replicas applied different entries at this index.
    AppliedDiffers { index: u64 },
    /// A replica skipped or repeated an entry.
    AppliedOutOfOrder { index: u64 },
    /// A snapshot holds other commands than those up to its index.
    StateDiffers { index: u64 },
    /// A read saw the state at `index`, although `accepted` was accepted before it.
    StaleRead { index: u64, accepted: u64 },
    /// The cluster did not recover in time after all faults had ended.
    NoProgress,
}

#[derive(Default)]
pub struct Checker {
    /// Leader of each term.
    leaders: BTreeMap<u64, Id>,
    /// Written entries by index and term.
    written: BTreeMap<(u64, u64), Entry>,
    committed: Vec<Entry>,
    /// For each committed entry, the term of the replica that applied it first.
    committed_in: Vec<u64>,
    /// Highest index of a proposal that was reported as accepted.
    pub accepted: u64,
}

impl Checker {
    /// A term has one leader, and its log contains everything committed in earlier terms.
    pub fn check_leader(&mut self, node: &Node) -> Result<(), Violation> {
        let status = node.status();
        if status.role != Role::Leader {
            return Ok(());
        }
        let known = self.leaders.insert(status.term, status.id);
        match known {
            Some(id) if id == status.id => return Ok(()),
            Some(_) => return Err(Violation::TwoLeaders { term: status.term }),
            None => {}
        }
        let older = self.committed_in.iter().take_while(|term| **term < status.term).count();
        for entry in &self.committed[..older] {
            let Position { index, term } = entry.position;
            // A compacted entry is held.
            let held = node.term_at(index).is_none_or(|own_term| own_term == term)
                && index <= status.last.index;
            if !held {
                return Err(Violation::LeaderLacks { index });
            }
        }
        Ok(())
    }

    /// Entries with the same index and term are the same entry.
    pub fn check_written(&mut self, entries: &[Entry]) -> Result<(), Violation> {
        for entry in entries {
            let Position { index, term } = entry.position;
            let first = self.written.entry((index, term)).or_insert_with(|| entry.clone());
            if first != entry {
                return Err(Violation::LogsDiffer { index, term });
            }
        }
        Ok(())
    }

    /// Logs that match at an entry match at all entries before it.
    pub fn check_logs(&self, left: &Node, right: &Node) -> Result<(), Violation> {
        let end = left.status().last.index.min(right.status().last.index);
        let mut agreed = false;
        for index in (1..=end).rev() {
            let (Some(first), Some(second)) = (left.term_at(index), right.term_at(index)) else {
                return Ok(());
            };
            if agreed && first != second {
                return Err(Violation::LogsDiffer { index, term: first });
            }
            agreed |= first == second;
        }
        Ok(())
    }

    /// Entries are applied in order, and every replica applies the same ones.
    pub fn check_applied(
        &mut self,
        before: u64,
        term: u64,
        entries: &[Entry],
    ) -> Result<(), Violation> {
        for (expected, entry) in (before + 1..).zip(entries) {
            let index = entry.position.index;
            if index != expected {
                return Err(Violation::AppliedOutOfOrder { index });
            }
            let at = usize::try_from(index - 1).unwrap();
            match self.committed.get(at) {
                Some(known) if known != entry => return Err(Violation::AppliedDiffers { index }),
                Some(_) => {}
                None if at > self.committed.len() => {
                    return Err(Violation::AppliedOutOfOrder { index });
                }
                None => {
                    self.committed.push(entry.clone());
                    self.committed_in.push(term);
                }
            }
        }
        Ok(())
    }

    /// A snapshot holds exactly the commands up to its index.
    pub fn check_snapshot(&self, index: u64, state: &[u64]) -> Result<(), Violation> {
        if self.commands(index) == state { Ok(()) } else { Err(Violation::StateDiffers { index }) }
    }

    /// A read sees everything accepted before it was requested.
    pub fn check_read(&self, index: u64, accepted: u64) -> Result<(), Violation> {
        if index >= accepted { Ok(()) } else { Err(Violation::StaleRead { index, accepted }) }
    }

    /// Commands up to `index`, in order.
    pub fn commands(&self, index: u64) -> Vec<u64> {
        let upto = self.committed.iter().take_while(|entry| entry.position.index <= index);
        upto.filter_map(command).collect()
    }

    /// Number of terms that had a leader.
    pub fn terms_led(&self) -> usize {
        self.leaders.len()
    }

    /// Index of the last entry that any replica has applied.
    pub fn last(&self) -> u64 {
        self.committed.len() as u64
    }
}

/// The number in an entry's command, if it is a command.
pub fn command(entry: &Entry) -> Option<u64> {
    match &entry.payload {
        Payload::Command(bytes) => Some(u64::from_le_bytes(bytes[..].try_into().unwrap())),
        Payload::Empty | Payload::Config(_) => None,
    }
}
