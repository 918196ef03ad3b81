//! `daisyctl status`: an instance and the targets it knows.

use wire::operator;

use crate::{arguments, client, error::Fault, output};

/// Runs the command.
///
/// # Errors
///
/// Returns a [`Fault`] when the instance can't be reached.
pub fn run(arguments: &arguments::Status) -> Result<(), Fault> {
    let daemon = client::Daemon { address: arguments.instance };
    let status: operator::Status = daemon.get(operator::STATUS_PATH)?;
    match arguments.output.unwrap_or_default() {
        output::Format::Json => output::json(&status),
        output::Format::Table => output::text(&render(&status)),
    }
    Ok(())
}

/// The status as text.
pub fn render(status: &operator::Status) -> String {
    let ready = if status.ready { "ready" } else { "not ready" };
    let mut table = output::Table::new(&[
        "TARGET",
        "PARTNER",
        "SERVICE",
        "DATA CENTRE",
        "KIND",
        "ROLE",
        "PHASE",
        "OUTSTANDING",
        "MODELS",
    ]);
    for target in &status.targets {
        table.row(row(target));
    }
    format!("instance {} in {}: {ready}\n\n{}", status.instance, status.data_centre, table.render())
}

fn row(target: &operator::Target) -> Vec<String> {
    vec![
        target.name.to_string(),
        target.partner.to_string(),
        target.service.to_string(),
        target.data_centre.to_string(),
        target.kind.to_string(),
        target.role.to_string(),
        target.phase.to_string(),
        target.outstanding.to_string(),
        target.models.join(","),
    ]
}
