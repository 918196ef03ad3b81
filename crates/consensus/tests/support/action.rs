//! Scheduled actions of a simulation, and bugs to inject.

use consensus::message::Envelope;

use crate::plan::Fault;

/// A mistake in the driver, injected to show that the checker finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bug {
    None,
    /// Term and vote are not written.
    VoteNotPersisted,
    /// Messages are sent before the write that they wait for is durable.
    RepliesBeforeSync,
    /// A replica that lost its disk keeps its old identity.
    IdentityKept,
    /// A leader answers reads without confirmation by a quorum.
    ReadsWithoutQuorum,
}

#[derive(Clone, Debug)]
pub enum Action {
    Tick(usize),
    Deliver(Envelope),
    /// A write becomes durable, unless the host has restarted since (`epoch`).
    Synced {
        host: usize,
        epoch: u64,
        number: u64,
    },
    /// A client proposes a command or reads.
    Client,
    /// Each leader proposes the next membership change; the logs are compared.
    Reconfigure,
    /// A fault begins.
    Fault(Fault),
    /// A crashed host restarts.
    Start {
        host: usize,
        epoch: u64,
    },
    /// A pause or partition ends.
    EndFault {
        host: usize,
    },
}
