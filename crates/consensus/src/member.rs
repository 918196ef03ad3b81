//! Members of a log, quorums and membership changes.

use common::name;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Identity of a replica: generated at random when its data folder is empty, and stored there.
///
/// A replica that lost its disk restarts with a new identity, so it can't vote twice in one term.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0:016x}")]
pub struct Id(pub u64);

/// One member of a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity of the replica.
    pub id: Id,
    /// The instance that runs the replica; `place` in JSON.
    #[serde(rename = "place")]
    pub instance: name::Instance,
    /// Whether it votes. A member without a vote is a learner: it replicates the log and doesn't count for quorums.
    pub voter: bool,
    /// The member to remove once this one votes.
    pub replaces: Option<Id>,
}

/// The configuration of a log: its members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    members: Vec<Member>,
}

/// A change of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a learner, which takes the place of another learner on its instance, or changes what a learner replaces.
    #[serde(rename = "Learn")]
    AddLearner(Member),
    /// Makes a learner a voter.
    Promote(Id),
    /// Removes a member.
    Remove(Id),
}

/// Why a membership change is refused.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum Error {
    /// The replica is already a member.
    #[display("the replica is already a member")]
    Known,
    /// The replica is not a member.
    #[display("the replica is not a member")]
    Unknown,
    /// The learner lags by more than [`max_promotion_lag`](crate::options::Options::max_promotion_lag), or has not confirmed
    /// the change that added it.
    #[display("the learner has not caught up with the leader's log")]
    Behind,
    /// The change would leave no voter.
    #[display("the change would leave no voter")]
    Last,
}

impl Config {
    /// Creates a configuration with these members.
    pub fn new(mut members: Vec<Member>) -> Config {
        members.sort_by_key(|member| member.id);
        Config { members }
    }

    /// All members, sorted by identity.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The member with this identity.
    pub fn member(&self, id: Id) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Whether this identity belongs to a voter.
    pub fn is_voter(&self, id: Id) -> bool {
        self.member(id).is_some_and(|member| member.voter)
    }

    /// Identities of all voters.
    pub fn voters(&self) -> impl Iterator<Item = Id> {
        self.members.iter().filter(|member| member.voter).map(|member| member.id)
    }

    /// Identities of the voters whose successors vote, too.
    pub fn replaced_voters(&self) -> impl Iterator<Item = Id> {
        let successors = self.members.iter().filter(|member| member.voter);
        successors.filter_map(|member| member.replaces).filter(|old| self.is_voter(*old))
    }

    /// Whether the voters for which `holds` returns true form a quorum: a majority.
    ///
    /// As long as voters are members beside their successors, it takes a majority of those before the replacement and one of
    /// those after it (joint consensus; Ongaro's dissertation, section 4.3). Builds that take a majority of all voters
    /// instead have a common member with each such quorum.
    pub fn has_quorum(&self, holds: impl Fn(Id) -> bool) -> bool {
        let is_majority = |voters: Vec<Id>| {
            let count = voters.iter().filter(|id| holds(**id)).count();
            count > voters.len() / 2
        };
        is_majority(self.voters_before()) && is_majority(self.voters_after())
    }

    /// The highest index up to which a quorum holds the log, where `held` returns that of a voter.
    pub fn quorum_index(&self, held: impl Fn(Id) -> u64) -> u64 {
        let median = |voters: Vec<Id>| {
            let mut indexes: Vec<u64> = voters.into_iter().map(&held).collect();
            indexes.sort_unstable_by(|left, right| right.cmp(left));
            indexes.get(indexes.len() / 2).copied().unwrap_or(0)
        };
        median(self.voters_before()).min(median(self.voters_after()))
    }

    /// The voters without those that have taken the place of another one.
    fn voters_before(&self) -> Vec<Id> {
        let succeeds = |member: &Member| member.replaces.is_some_and(|old| self.is_voter(old));
        let voters = self.members.iter().filter(|member| member.voter);
        voters.filter(|member| !succeeds(member)).map(|member| member.id).collect()
    }

    /// The voters without those whose place another one has taken.
    fn voters_after(&self) -> Vec<Id> {
        let replaced: Vec<Id> = self.replaced_voters().collect();
        self.voters().filter(|id| !replaced.contains(id)).collect()
    }

    /// The configuration after `change`.
    ///
    /// # Errors
    ///
    /// Returns an [`enum@Error`] when the change doesn't fit this configuration.
    pub fn with_change(&self, change: &Change) -> Result<Config, Error> {
        let mut members = self.members.clone();
        match change {
            Change::AddLearner(member)
                if self
                    .member(member.id)
                    .is_some_and(|known| known.voter || known.replaces == member.replaces) =>
            {
                return Err(Error::Known);
            }
            Change::AddLearner(member) => {
                members.retain(|other| other.voter || other.instance != member.instance);
                forget(&mut members, member.id);
                members.push(Member { voter: false, ..member.clone() });
            }
            Change::Promote(id) => {
                let learner = members.iter_mut().find(|member| member.id == *id);
                learner.ok_or(Error::Unknown)?.voter = true;
            }
            Change::Remove(id) if self.member(*id).is_none() => return Err(Error::Unknown),
            Change::Remove(id) => {
                members.retain(|member| member.id != *id);
                forget(&mut members, *id);
            }
        }
        let config = Config::new(members);
        if config.voters().next().is_none() { Err(Error::Last) } else { Ok(config) }
    }
}

/// Forgets that a replica was replaced: it may return with its identity.
fn forget(members: &mut [Member], replaced: Id) {
    let successors = members.iter_mut().filter(|member| member.replaces == Some(replaced));
    successors.for_each(|successor| successor.replaces = None);
}
