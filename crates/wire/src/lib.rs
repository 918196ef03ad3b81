//! Messages between daemons, targets and operators.

pub mod completion;
pub mod dial;
pub mod flush;
pub mod link;
pub mod log;
pub mod operator;
pub mod outcome;
pub mod peer;
pub mod socket;
pub mod spread;
pub mod target;
pub mod unanswered;
pub mod unread;
