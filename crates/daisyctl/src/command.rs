//! The commands of `daisyctl`.

pub mod apply;
pub mod branches;
pub mod check;
pub mod diff;
pub mod dissolve;
pub mod drain;
pub mod explain;
pub mod export;
pub mod get;
pub mod hash_key;
pub mod history;
pub mod load;
pub mod replica;
pub mod request;
pub mod roles;
pub mod rollback;
pub mod status;
pub mod trace;
pub mod wait;

use control::drain::Action;

use crate::{
    arguments::{Daisyctl, DaisyctlCmd},
    error::Error,
};

/// Runs one command.
///
/// # Errors
///
/// Returns the error with which the command failed.
pub fn run(arguments: Daisyctl) -> Result<(), Error> {
    match arguments.subcommand {
        DaisyctlCmd::Roles(arguments) => roles::run(&arguments),
        DaisyctlCmd::Status(arguments) => status::run(&arguments),
        DaisyctlCmd::Check(arguments) => check::run(&arguments),
        DaisyctlCmd::Diff(arguments) => diff::run(&arguments),
        DaisyctlCmd::Apply(arguments) => apply::run(&arguments),
        DaisyctlCmd::Get(arguments) => get::run(&arguments),
        DaisyctlCmd::History(arguments) => history::run(&arguments),
        DaisyctlCmd::Load(arguments) => load::run(&arguments),
        DaisyctlCmd::Rollback(arguments) => rollback::run(&arguments),
        DaisyctlCmd::Export(arguments) => export::run(&arguments),
        DaisyctlCmd::Dissolve(arguments) => dissolve::run(&arguments),
        DaisyctlCmd::Drain(arguments) => {
            drain::run(&drain::Options::from(arguments), Action::Drain)
        }
        DaisyctlCmd::Undrain(arguments) => {
            drain::run(&drain::Options::from(arguments), Action::Undrain)
        }
        DaisyctlCmd::Replica(arguments) => replica::run(&arguments),
        DaisyctlCmd::HashKey(_) => hash_key::run(),
        DaisyctlCmd::Explain(arguments) => explain::run(&arguments),
        DaisyctlCmd::Trace(arguments) => trace::run(&arguments),
    }
}
