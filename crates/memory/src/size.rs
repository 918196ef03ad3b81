//! Limits derived from the memory of an instance's machine.

/// Bytes of a megabyte, as machines are sold and their limits declared.
const MEGABYTE: usize = 1_000_000;
/// Share of the memory that may be held for others, in percent. The rest is for the process itself, its tables and the
/// buffers of connections.
const HELD_PERCENT: usize = 40;
/// Connections of callers, targets and operators to one listener, for each megabyte. With its buffers and an incomplete head of 16
/// KiB a connection costs up to 30 KB, so that all of a listener need at most a quarter of the memory.
const CONNECTIONS_PER_MB: usize = 8;
/// Connections of other instances, which send no heads, for each megabyte.
const PEERS_PER_MB: usize = 16;
/// Connections to a listener on the smallest machine.
const MIN_CONNECTIONS: usize = 64;

/// Memory of an instance's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    megabytes: usize,
}

impl Machine {
    /// A machine with this much memory, in MB of 1,000,000 bytes.
    pub fn new(megabytes: u64) -> Machine {
        Machine { megabytes: usize::try_from(megabytes).unwrap_or(usize::MAX / MEGABYTE) }
    }

    /// Bytes that may be held for callers, targets and peers together.
    pub fn held_bytes(self) -> usize {
        self.megabytes.saturating_mul(MEGABYTE / 100).saturating_mul(HELD_PERCENT)
    }

    /// Open connections to a listener for callers, targets or operators.
    pub fn connections(self) -> usize {
        self.megabytes.saturating_mul(CONNECTIONS_PER_MB).max(MIN_CONNECTIONS)
    }

    /// Open connections to the listener of other instances.
    pub fn peer_connections(self) -> usize {
        self.megabytes.saturating_mul(PEERS_PER_MB).max(MIN_CONNECTIONS)
    }
}
