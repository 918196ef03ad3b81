//! The daemon: reads its settings, starts its components and stops them in order.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

pub mod arguments;
pub mod claims;
pub mod component;
pub mod context;
pub mod daemon;
pub mod error;
pub mod http;
pub mod lifecycle;
pub mod links;
pub mod replicated_logs;
pub mod seeded;
mod signal;

const EXIT_REFUSED: u8 = 1;

/// Environment variable with the path of the settings file, used by `join` without `--settings`.
const SETTINGS_VARIABLE: &str = "DAISYDRUM_CONFIG";

/// Runs the subcommand that the command line names and returns the process's exit code.
pub fn main() -> ExitCode {
    let arguments = arguments::Daisydrum::from_env_or_exit();
    let result = match arguments.subcommand {
        arguments::DaisydrumCmd::Run(run) => daemon::run(Path::new(&run.settings)),
        arguments::DaisydrumCmd::Join(join) => {
            join_path(join.settings).and_then(|path| seeded::run(&path))
        }
        arguments::DaisydrumCmd::Check(check) => daemon::check(Path::new(&check.settings)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("daisydrum: {error}");
            ExitCode::from(EXIT_REFUSED)
        }
    }
}

fn join_path(argument: Option<String>) -> Result<PathBuf, error::Error> {
    let path = argument.or_else(|| std::env::var(SETTINGS_VARIABLE).ok());
    path.map(PathBuf::from).ok_or(error::Error::NoSettings)
}
