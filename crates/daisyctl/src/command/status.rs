//! `daisyctl status`: an instance and the targets it knows.

use wire::operator;

use crate::{arguments, client, error::Error, output};

/// Runs the command.
///
/// # Errors
///
/// Returns an [`Error`] when the instance can't be reached, or its response is an error or can't be decoded.
pub fn run(arguments: &arguments::Status) -> Result<(), Error> {
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
    let orders = status.orders.as_ref().map(render_orders).unwrap_or_default();
    format!(
        "instance {} in {}: {ready}\n\n{}{orders}",
        status.instance,
        status.data_centre,
        table.render()
    )
}

fn render_orders(orders: &operator::Orders) -> String {
    let mut pools = output::Table::new(&[
        "PARTNER",
        "SERVICE",
        "ROLES NOW",
        "INTENDED",
        "REQUESTS/S",
        "PREFILL/S",
        "DECODE/S",
        "WHY",
    ]);
    for pool in &orders.pools {
        pools.row(vec![
            pool.partner.to_string(),
            pool.service.to_string(),
            pool.current.to_string(),
            pool.intended.to_string(),
            rate(pool.requests),
            rate(pool.prefill_tokens),
            rate(pool.decode_tokens),
            pool.reason.clone(),
        ]);
    }
    let mut table = output::Table::new(&["ENGINE", "ORDER", "STATE", "WHY"]);
    for order in orders.open.iter().chain(&orders.ended) {
        table.row(vec![
            order.target.to_string(),
            order.action.clone(),
            order.state.clone(),
            order.reason.clone(),
        ]);
    }
    format!(
        "\nlease held with fencing token {}, {} orders waiting; roles are prefill/decode/mixed\n\n{}\n{}",
        orders.fencing,
        orders.waiting,
        pools.render(),
        table.render()
    )
}

fn rate(value: Option<f64>) -> String {
    value.map_or_else(|| String::from("unknown"), |value| format!("{value:.1}"))
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
