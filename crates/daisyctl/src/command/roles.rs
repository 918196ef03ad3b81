//! `daisyctl roles`: simulates the role policy on a recorded trace, without engines.

use std::{fs, path::Path, time::Duration};

use common::name;
use roles::{
    baseline::{
        clairvoyant::{self, Parameters},
        fixed::Fixed,
        planned::Planned,
        threshold::Threshold,
    },
    policy::{Policy, Rule},
    pool,
    simulation::{self, Event, Outcome},
    trace::Trace,
};
use serde::Serialize;
use settings::{error::Faults, service::Roles, tree};

use crate::{arguments, error::Error, output};

/// Delay of load reports in the simulation.
const REPORT_LAG: Duration = Duration::from_secs(5);

/// The result of the simulation.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The changes that the policy would make.
    pub changes: Vec<Change>,
    /// The totals of the policy and of its baselines.
    pub totals: Vec<Total>,
}

/// A change that the policy would make.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// Seconds since the trace's start.
    pub at_s: u64,
    /// The engine.
    pub engine: String,
    /// What would change.
    pub change: String,
    /// Reason, with the figures that decided.
    pub reason: String,
}

/// The totals of one controller.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Total {
    /// Name of the controller.
    pub controller: &'static str,
    /// Number of requests answered within their limits.
    pub goodput: f64,
    /// Number of role changes.
    pub changes: u32,
    /// Score by the weights in the service's settings.
    pub score: f64,
}

/// Runs the command.
///
/// # Errors
///
/// Returns an [`Error`] when the trace or the settings can't be read.
pub fn run(arguments: &arguments::Roles) -> Result<(), Error> {
    let trace = read_trace(&arguments.trace)?;
    let roles = read_roles(arguments)?;
    let result = dry_run(&trace, roles);
    match arguments.output.unwrap_or_default() {
        output::Format::Json => output::json(&result),
        output::Format::Table => output::text(&render(&result)),
    }
    Ok(())
}

/// Runs the policy and its baselines over a trace.
pub fn dry_run(trace: &Trace, roles: Roles) -> Report {
    let parameters = Parameters {
        rates: Rule { roles: roles.clone(), ..Rule::default() }.rates(),
        weight: roles.goodput_weight,
        price: roles.change_price,
        changes_at_once: roles.changes_at_once,
    };
    let policy = Policy { rules: vec![Rule { roles, pool: pool::Pool::default() }] };
    let start = trace.average_split(parameters.rates);
    let mut planned = Planned::new(policy.clone(), trace, REPORT_LAG);
    let mut threshold =
        Threshold::new(parameters.rates, trace.step_seconds(), parameters.changes_at_once);
    let policy_outcome = simulation::run(&mut planned, trace, &policy, start);
    let total = |controller, outcome: &Outcome| Total {
        controller,
        goodput: outcome.goodput,
        changes: outcome.changes,
        score: outcome.score(parameters.weight, parameters.price),
    };
    let totals = vec![
        total("policy", &policy_outcome),
        total("fixed split", &simulation::run(&mut Fixed, trace, &policy, start)),
        total("threshold", &simulation::run(&mut threshold, trace, &policy, start)),
        total("clairvoyant bound", &clairvoyant::best(trace, start, &parameters)),
    ];
    let changes = policy_outcome.events.iter().map(|event| change(trace, event)).collect();
    Report { changes, totals }
}

fn change(trace: &Trace, event: &Event) -> Change {
    Change {
        at_s: u64::try_from(event.step).unwrap_or(u64::MAX).saturating_mul(trace.step_s),
        engine: event.engine.to_string(),
        change: format!("{} to {}", event.from, event.to),
        reason: event.reason.clone(),
    }
}

/// The result as text.
pub fn render(result: &Report) -> String {
    let mut changes = output::Table::new(&["SECOND", "ENGINE", "CHANGE", "REASON"]);
    for change in &result.changes {
        changes.row(vec![
            change.at_s.to_string(),
            change.engine.clone(),
            change.change.clone(),
            change.reason.clone(),
        ]);
    }
    let mut totals = output::Table::new(&["DECIDED BY", "GOODPUT", "CHANGES", "SCORE"]);
    for total in &result.totals {
        totals.row(vec![
            total.controller.to_string(),
            format!("{:.0}", total.goodput),
            total.changes.to_string(),
            format!("{:.0}", total.score),
        ]);
    }
    format!("{}\n{}", changes.render(), totals.render())
}

fn read_trace(path: &str) -> Result<Trace, Error> {
    let text =
        fs::read_to_string(path).map_err(|cause| Error::File { path: path.to_owned(), cause })?;
    serde_json::from_str(&text)
        .map_err(|error| Error::Usage { problem: format!("{path} is not a valid trace: {error}") })
}

fn read_roles(arguments: &arguments::Roles) -> Result<Roles, Error> {
    let (Some(folder), Some(service)) = (&arguments.tree, &arguments.service) else {
        return Ok(Roles::default());
    };
    let usage = |problem: String| Error::Usage { problem };
    let (partner, service) = service
        .split_once('/')
        .ok_or_else(|| usage(format!("{service} is not of the form PARTNER/SERVICE")))?;
    let tree = tree::read(Path::new(folder))
        .map_err(|error| Error::Settings(Faults::from(vec![error])))?;
    let branch = tree
        .partners
        .get(&name::Partner::from(partner))
        .ok_or_else(|| usage(format!("{folder} has no partner {partner}")))?;
    let service = name::Service::from(service);
    if !branch.services.contains_key(&service) {
        return Err(usage(format!("partner {partner} has no service {service}")));
    }
    let settings = tree::effective(&tree.venture, branch, &service)
        .map_err(|error| usage(error.to_string()))?;
    Ok(settings.roles)
}
