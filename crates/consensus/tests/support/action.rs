//! What happens in a run.

use consensus::message::Envelope;

use crate::plan::Fault;

/// A mistake in the host that the checker has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bug {
    None,
    /// Term and vote are not written.
    VoteNotPersisted,
    /// Messages leave before the write that they wait for.
    RepliesBeforeSync,
    /// A replica that lost its disk goes on under its old identity.
    IdentityKept,
    /// A leader answers reads without asking a quorum.
    ReadsWithoutQuorum,
}

#[derive(Clone, Debug)]
pub enum Action {
    Tick(usize),
    Deliver(Envelope),
    Synced { host: usize, epoch: u64, number: u64 },
    Client,
    Reconfigure,
    Fault(Fault),
    Start { host: usize, epoch: u64 },
    EndFault { host: usize },
}
