//! The commands of `daisyctl`.

pub mod status;
pub mod trace;

use crate::{
    arguments::{Daisyctl, DaisyctlCmd},
    error::Fault,
};

/// Runs one command.
///
/// # Errors
///
/// Returns the [`Fault`] that the command failed with.
pub fn run(arguments: Daisyctl) -> Result<(), Fault> {
    match arguments.subcommand {
        DaisyctlCmd::Status(arguments) => status::run(&arguments),
        DaisyctlCmd::Trace(arguments) => trace::run(&arguments),
    }
}
