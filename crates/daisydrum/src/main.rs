//! Entry point of the `daisydrum` process.

use std::process::ExitCode;

fn main() -> ExitCode {
    daisydrum::main()
}
