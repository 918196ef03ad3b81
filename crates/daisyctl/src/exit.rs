//! Exit codes of `daisyctl`.

/// The command was completed.
pub const DONE: u8 = 0;
/// The command failed or was refused; the request that failed changed nothing.
pub const REFUSED: u8 = 1;
/// The command line is invalid.
pub const USAGE: u8 = 2;
/// The command may have been executed; send it again with the same request id.
pub const OUTCOME_UNKNOWN: u8 = 3;
