//! Replicas of a log and the quorums that they form.

use common::name;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Identity of a replica: drawn at random when its disk is empty, and kept on that disk.
///
/// A replica whose disk was lost comes back under another identity, so it can't vote twice in a term.
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

/// One replica of a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its identity.
    pub id: Id,
    /// The instance that keeps it.
    #[serde(rename = "place")]
    pub instance: name::Instance,
    /// Whether it votes; a learner only follows.
    pub voter: bool,
    /// The member that it takes the place of once it votes.
    pub replaces: Option<Id>,
}

/// The replicas of a log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    members: Vec<Member>,
}

/// A change of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a replica that follows and doesn't vote.
    #[serde(rename = "Learn")]
    AddLearner(Member),
    /// Lets a learner vote.
    Promote(Id),
    /// Removes a replica.
    Remove(Id),
}

/// Why a change can't be made.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum Error {
    /// The identity is a member already.
    #[display("the replica is a member already")]
    Known,
    /// The identity is no member.
    #[display("the replica is no member")]
    Unknown,
    /// The learner hasn't caught up.
    #[display("the replica has not caught up")]
    Behind,
    /// The change would leave no voter.
    #[display("no voter would be left")]
    Last,
}

impl Config {
    /// Makes a configuration of `members`.
    pub fn new(mut members: Vec<Member>) -> Config {
        members.sort_by_key(|member| member.id);
        Config { members }
    }

    /// All members, by identity.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The member with this identity.
    pub fn member(&self, id: Id) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Whether this identity votes.
    pub fn is_voter(&self, id: Id) -> bool {
        self.member(id).is_some_and(|member| member.voter)
    }

    /// Identities of all voters.
    pub fn voters(&self) -> impl Iterator<Item = Id> {
        self.members.iter().filter(|member| member.voter).map(|member| member.id)
    }

    /// Voters that make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether the voters for which `holds` is true are a quorum.
    pub fn has_quorum(&self, holds: impl Fn(Id) -> bool) -> bool {
        let count = self.voters().filter(|id| holds(*id)).count();
        count >= self.quorum()
    }

    /// The configuration after `change`.
    ///
    /// # Errors
    ///
    /// Returns the error that makes the change impossible.
    pub fn with_change(&self, change: &Change) -> Result<Config, Error> {
        let mut members = self.members.clone();
        match change {
            Change::AddLearner(member) if self.member(member.id).is_some() => {
                return Err(Error::Known);
            }
            Change::AddLearner(member) => members.push(Member { voter: false, ..member.clone() }),
            Change::Promote(id) => {
                let learner = members.iter_mut().find(|member| member.id == *id);
                learner.ok_or(Error::Unknown)?.voter = true;
            }
            Change::Remove(id) if self.member(*id).is_none() => return Err(Error::Unknown),
            Change::Remove(id) => members.retain(|member| member.id != *id),
        }
        let config = Config::new(members);
        if config.voters().next().is_none() { Err(Error::Last) } else { Ok(config) }
    }
}
