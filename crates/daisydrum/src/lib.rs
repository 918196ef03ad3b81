//! The daemon: reads its settings, starts its duties and stops them in order.

use std::{path::Path, process::ExitCode};

pub mod arguments;
pub mod claims;
pub mod context;
pub mod daemon;
pub mod duties;
pub mod duty;
pub mod error;
pub mod http;
pub mod links;
pub mod logs;
mod signal;

const EXIT_REFUSED: u8 = 1;

/// Runs the command line of the process.
pub fn main() -> ExitCode {
    let arguments = arguments::Daisydrum::from_env_or_exit();
    let result = match arguments.subcommand {
        arguments::DaisydrumCmd::Run(run) => daemon::run(Path::new(&run.settings)),
        arguments::DaisydrumCmd::Check(check) => daemon::check(Path::new(&check.settings)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("daisydrum: {fault}");
            ExitCode::from(EXIT_REFUSED)
        }
    }
}
