//! The daemon that runs on every entry instance.

use std::process::ExitCode;

fn main() -> ExitCode {
    daisydrum::main()
}
