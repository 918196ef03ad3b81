//! `daisyctl`, the command line for operators, which includes the load tool.

use std::process::ExitCode;

pub mod arguments;
pub mod client;
pub mod command;
pub mod error;
pub mod exit;
pub mod output;

/// Runs the command line of the process.
pub fn main() -> ExitCode {
    let arguments = match arguments::Daisyctl::from_env() {
        Ok(arguments) => arguments,
        Err(error) if error.is_help() => error.exit(),
        Err(error) => {
            eprintln!("daisyctl: {error}; see `daisyctl --help`");
            return exit::USAGE.into();
        }
    };
    match command::run(arguments) {
        Ok(()) => exit::DONE.into(),
        Err(error) => {
            eprintln!("daisyctl: {error}");
            error.exit().into()
        }
    }
}
