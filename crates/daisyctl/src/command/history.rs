//! `daisyctl history`: the versions of a branch with who made them and when.

use control::declaration::{Cause, Record};
use wire::operator::branch;

use crate::{arguments, client::Daemon, error::Error, output};

const DEFAULT_LIMIT: usize = 20;

/// Runs the command.
///
/// # Errors
///
/// Returns an [`Error`] when the daemon can't be reached or refuses.
pub fn run(arguments: &arguments::History) -> Result<(), Error> {
    let limit = arguments.limit.unwrap_or(DEFAULT_LIMIT);
    let path = format!("{}?branch={}&limit={limit}", branch::HISTORY_PATH, arguments.branch);
    let records: Vec<Record> = Daemon { address: arguments.instance }.get(&path)?;
    match arguments.output.unwrap_or_default() {
        output::Format::Json => output::json(&records),
        output::Format::Table => output::text(&render(&records)),
    }
    Ok(())
}

/// The versions as text.
pub fn render(records: &[Record]) -> String {
    let mut table =
        output::Table::new(&["VERSION", "UNIX TIME (MS)", "OPERATOR", "CHANGE", "REQUEST"]);
    for record in records {
        table.row(vec![
            record.version.to_string(),
            record.author.wall_ms.to_string(),
            record.author.operator.clone(),
            cause(record.cause),
            record.author.request.clone(),
        ]);
    }
    table.render()
}

fn cause(cause: Cause) -> String {
    match cause {
        Cause::Apply => String::from("applied"),
        Cause::Adopt { venture_version } => format!("venture's version {venture_version}"),
        Cause::Rollback { to } => format!("back to version {to}"),
        Cause::WriteOut => String::from("venture's defaults written out"),
    }
}
