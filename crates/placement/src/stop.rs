//! What an instance that stops does with requests that may last longer than it runs.
//!
//! Load: a planned stop while requests keep coming, until callers and load balancers have noticed; few of them last as long as
//! their deadlines allow.

use common::clock::Moment;
use fleet::config::Retry;

/// What is done with a request that has just been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is served until then.
    Until(Moment),
    /// It is refused as not run, so that its caller goes to another instance.
    Refuse,
}

/// Decides on a request whose response must be complete at `deadline`, if the instance stops at `end`.
///
/// One that can't be repeated is refused unless the instance is there until its deadline: it could end without an answer, and
/// its caller could not try it elsewhere. Others are served, with what is left of the time.
pub fn decide(deadline: Moment, end: Option<Moment>, retry: Retry) -> Decision {
    match (end, retry) {
        (Some(end), Retry::Never) if end < deadline => Decision::Refuse,
        (Some(end), _) => Decision::Until(deadline.min(end)),
        (None, _) => Decision::Until(deadline),
    }
}
