//! Whether the process of a target has ended after a connection to it was lost.
//!
//! An instance that is cut off from a service's targets sees what it would see if they had ended: connections are reset
//! and new ones refused. So an end needs evidence that a cut can't give: other instances are refused, too, while other
//! targets of the service accept their connections, or another process has started in its place.

use std::{collections::VecDeque, time::Duration};

use common::clock::Moment;
use fleet::{
    exchange::{Access, Process},
    registry::{State, Target},
};

/// Peers whose refusals are evidence enough, however many are asked.
const SUFFICIENT_REFUSALS: usize = 2;
/// Time after the loss of a connection within which the start of another process shows that the connection's has ended.
const REPLACEMENT_TIME: Duration = Duration::from_secs(5);
/// Suspects whose processes are watched for a replacement.
const MAX_WATCHED: usize = 1_024;

/// Whether a process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It has.
    Ended,
    /// It hasn't, as far as other instances can tell.
    Refuted,
    /// Nothing shows it yet.
    Open,
}

/// Decides whether a process has ended, by what the instance sees itself and by the answers so far of the `asked` peers;
/// those that don't answer count as [`Access::Unknown`].
pub fn decide(own: Access, asked: usize, answers: &[Access]) -> Verdict {
    let count = |reach| answers.iter().filter(|answer| **answer == reach).count();
    if count(Access::Replaced) > 0 {
        return Verdict::Ended;
    }
    if count(Access::Accepted) > 0 {
        return Verdict::Refuted;
    }
    if !matches!(own, Access::Refused | Access::RefusedAlone) {
        return Verdict::Open;
    }
    if asked == 0 {
        return if own == Access::RefusedAlone { Verdict::Ended } else { Verdict::Open };
    }
    let refusals = count(Access::RefusedAlone);
    let complete = answers.len() >= asked;
    if refusals >= SUFFICIENT_REFUSALS || (complete && refusals > 0) {
        Verdict::Ended
    } else {
        Verdict::Open
    }
}

/// Whether a target's process is a later one than `process`, in its place.
pub fn replaces(target: &Target, process: &Process) -> bool {
    target.state < State::Lost
        && target.started_unix_ms > process.started_unix_ms
        && (target.address == process.address || target.name == process.target)
}

/// Processes that may have ended, each with what is to be done if it has.
#[derive(Clone, Debug)]
pub struct Watch<T> {
    suspects: VecDeque<Suspect<T>>,
}

#[derive(Clone, Debug)]
struct Suspect<T> {
    process: Process,
    until: Moment,
    consequence: T,
}

impl<T> Default for Watch<T> {
    fn default() -> Watch<T> {
        Watch { suspects: VecDeque::new() }
    }
}

impl<T> Watch<T> {
    /// Watches a process to which a connection was lost now; the oldest suspect goes when there are too many.
    pub fn add(&mut self, process: Process, consequence: T, now: Moment) {
        self.suspects.retain(|suspect| now < suspect.until);
        if self.suspects.len() >= MAX_WATCHED {
            self.suspects.pop_front();
        }
        let until = now + REPLACEMENT_TIME;
        self.suspects.push_back(Suspect { process, until, consequence });
    }

    /// Returns the consequences of the end of a process.
    pub fn end(&mut self, process: &Process) -> Vec<T> {
        self.take(|suspect| suspect.process == *process)
    }

    /// Returns the consequences of the ends that a target's announcement shows.
    pub fn see(&mut self, target: &Target, now: Moment) -> Vec<T> {
        self.take(|suspect| now < suspect.until && replaces(target, &suspect.process))
    }

    fn take(&mut self, ended: impl Fn(&Suspect<T>) -> bool) -> Vec<T> {
        if !self.suspects.iter().any(&ended) {
            return Vec::new();
        }
        let (taken, kept): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.suspects).into_iter().partition(ended);
        self.suspects = kept;
        taken.into_iter().map(|suspect| suspect.consequence).collect()
    }
}
