//! Whether the origin of a stream is recorded, so that its first event may be forwarded.

use crate::continuity::testimony;

/// What became of the calls to the instances that are to keep an origin.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Control instances that would keep it.
    pub control: usize,
    /// Those of them that were sent it, and may have it.
    pub sent: usize,
    /// Those of them that have acknowledged it.
    pub kept: usize,
    /// Those of them that keep no records, since they are of an earlier build.
    pub refused: usize,
    /// Those of them that could not save it, and don't have it.
    pub unsaved: usize,
    /// Whether an entry instance keeps it.
    pub kept_at_entry: bool,
    /// Whether it is sent to no further instances.
    pub withdrawn: bool,
}

/// Whether an instance that takes the stream up finds the origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It does.
    Recorded,
    /// It doesn't, and never will.
    Unrecorded,
    /// It may.
    Uncertain,
}

impl Tally {
    /// Records that the origin is sent to a control instance; `false` if it must not be any more.
    pub fn send(&mut self) -> bool {
        self.sent += usize::from(!self.withdrawn);
        !self.withdrawn
    }

    /// Whether any instance that takes the stream up finds the origin: a majority of the control instances has it, or, if
    /// a majority of them keeps none, an entry instance.
    pub fn is_recorded(&self) -> bool {
        let majority = testimony::majority(self.control);
        if self.control > 0 && self.kept >= majority {
            return true;
        }
        self.kept_at_entry && (self.control == 0 || self.refused >= majority)
    }

    /// Stops waiting for acknowledgements.
    pub fn withdraw(&mut self) -> Outcome {
        self.withdrawn = true;
        let may_have = self.sent.saturating_sub(self.refused + self.unsaved);
        if self.is_recorded() {
            Outcome::Recorded
        } else if self.control > 0 && may_have >= testimony::majority(self.control) {
            Outcome::Uncertain
        } else {
            Outcome::Unrecorded
        }
    }
}
