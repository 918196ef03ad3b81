//! Accounting of the bytes that are held, and the choice of connections that are closed to make room.

use std::time::Duration;

use common::clock::Moment;

/// A connection without progress for this time may be closed to make room.
pub const MIN_STALL: Duration = Duration::from_secs(1);
/// Bytes that count as progress. One byte a second would keep a connection from ever counting as stalled.
pub const PROGRESS_BYTES: usize = 4 * 1024;
/// A holder of no more than this may use all of the budget, so that ordinary requests find room beside large ones.
pub const SMALL_BYTES: usize = 64 * 1024;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Requests of callers, targets and operators, from their first byte until they are answered.
    Requests,
    /// Responses of targets and peers that are being read.
    Responses,
    /// Responses that their recipients have not taken yet.
    Unread,
    /// Frames of other instances.
    Frames,
}

const CLASSES: usize = 4;

/// Bytes that are missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// The number of bytes.
    pub bytes: usize,
}

/// The bytes in use.
#[derive(Clone, Copy, Debug)]
pub struct Ledger {
    total: usize,
    used: [usize; CLASSES],
}

impl Ledger {
    /// An empty ledger of a budget of `total` bytes.
    pub fn new(total: usize) -> Ledger {
        Ledger { total, used: [0; CLASSES] }
    }

    /// Bytes in use.
    pub fn used(&self) -> usize {
        self.used.iter().sum()
    }

    /// Bytes in use by a class.
    pub fn used_by(&self, class: Class) -> usize {
        self.used[class as usize]
    }

    /// Bytes that all large holders of a class may use: five eighths, so that none fills the budget alone.
    pub fn class_limit(&self) -> usize {
        self.total / 8 * 5
    }

    /// Bytes that all large holders may use; the last eighth is for small ones.
    fn large_limit(&self) -> usize {
        self.total / 8 * 7
    }

    /// Counts `more` bytes of a holder that has `held`.
    ///
    /// # Errors
    ///
    /// Returns the [`Shortage`], with nothing changed, if that exceeds a limit.
    pub fn reserve(&mut self, class: Class, held: usize, more: usize) -> Result<(), Shortage> {
        let used = self.used();
        let missing = if held.saturating_add(more) <= SMALL_BYTES {
            used.saturating_add(more).saturating_sub(self.total)
        } else {
            let in_class = self.used_by(class).saturating_add(more);
            let over_class = in_class.saturating_sub(self.class_limit());
            over_class.max(used.saturating_add(more).saturating_sub(self.large_limit()))
        };
        if missing > 0 {
            return Err(Shortage { bytes: missing });
        }
        self.used[class as usize] += more;
        Ok(())
    }

    /// Gives bytes back.
    pub fn release(&mut self, class: Class, bytes: usize) {
        let used = &mut self.used[class as usize];
        *used = used.saturating_sub(bytes);
    }

    /// Counts bytes as another class; the limits of that class apply to later reservations only.
    pub fn reclassify(&mut self, from: Class, to: Class, bytes: usize) {
        self.release(from, bytes);
        self.used[to as usize] += bytes;
    }
}

/// A connection that can be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The connection.
    pub key: u64,
    /// Bytes that it would free: of a request short of its end, or of responses that were not taken.
    pub bytes: usize,
    /// When it last made progress.
    pub progressed_at: Moment,
    /// Whether a request of it runs, so that closing it would lose a response.
    pub runs: bool,
}

impl Holder {
    fn stall(&self, now: Moment) -> Duration {
        now.since(self.progressed_at)
    }

    /// Bytes held times the duration of the stall: the larger, the earlier the connection is closed.
    fn burden(&self, now: Moment) -> u128 {
        self.stall(now).as_millis() * self.bytes as u128
    }
}

/// The connections to close so that `bytes` become free, fewest first; those with progress within [`MIN_STALL`] are never among
/// them.
pub fn choose(holders: &[Holder], bytes: usize, now: Moment) -> Vec<u64> {
    let mut stalled: Vec<&Holder> = holders
        .iter()
        .filter(|holder| holder.bytes > 0 && holder.stall(now) >= MIN_STALL)
        .collect();
    stalled.sort_by_key(|holder| (std::cmp::Reverse(holder.burden(now)), holder.key));
    let mut freed = 0;
    let needed = |holder: &&&Holder| {
        let is_needed = freed < bytes;
        freed += holder.bytes;
        is_needed
    };
    stalled.iter().take_while(needed).map(|holder| holder.key).collect()
}

/// The connection to close for a new one at a listener that has as many as it may: the one that has been without progress and
/// without a running request for longest, if that is at least [`MIN_STALL`].
pub fn choose_idle(holders: &[Holder], now: Moment) -> Option<u64> {
    let idle = holders.iter().filter(|holder| !holder.runs && holder.stall(now) >= MIN_STALL);
    idle.min_by_key(|holder| (holder.progressed_at, holder.key)).map(|holder| holder.key)
}
