//! Exit codes of `daisyctl`.

/// Everything that was asked for was done.
pub const DONE: u8 = 0;
/// The command was refused; nothing was changed.
pub const REFUSED: u8 = 1;
/// The command line was wrong.
pub const USAGE: u8 = 2;
/// The command may have been carried out; ask again with the same request id.
pub const OUTCOME_UNKNOWN: u8 = 3;
