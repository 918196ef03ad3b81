//! `daisyctl dissolve`: shows what each branch keeps after a dissolution, and executes the dissolution in steps.

pub mod plan;

use std::{thread, time::Duration};

use common::name;
use control::{
    dissolution::{Action, Reply, Step},
    query::Summary,
};
use serde::Serialize;
use serde_json::Value;
use settings::tree;
use wire::operator::branch;

use crate::{
    arguments,
    client::Daemon,
    command::{
        branches::{self, Branch},
        dissolve::plan::Next,
        request::{self, Identity},
    },
    error::Error,
    output,
};

/// Maximum number of polls for a branch to adopt the venture's defaults.
const MAX_WAITS: u32 = 100;
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// What a branch keeps and loses in a dissolution.
#[derive(Clone, Debug, Serialize)]
pub struct Preview {
    /// The branch.
    pub branch: name::Branch,
    /// Phase of its dissolution.
    pub phase: String,
    /// The version in force.
    pub version: u64,
    /// Number of services.
    pub services: usize,
    /// Number of callers' keys.
    pub keys: usize,
    /// Number of claims that are kept, with their responses.
    pub claims: usize,
    /// Number of open orders.
    pub open_orders: usize,
    /// Groups of the venture's default settings that are written out into the branch.
    pub written_out: Vec<String>,
    /// Number of loans of engines to other partners, which end.
    pub ended_loans: usize,
}

/// Runs the command.
///
/// # Errors
///
/// Returns an [`Error`] when a branch can't be read or refuses a step.
pub fn run(arguments: &arguments::Dissolve) -> Result<(), Error> {
    let daemon = Daemon { address: arguments.instance };
    let previews = previews(daemon)?;
    match arguments.output.unwrap_or_default() {
        output::Format::Json => output::json(&previews),
        output::Format::Table => output::text(&render(&previews)),
    }
    let run = Run {
        daemon,
        plan: arguments.plan.clone(),
        identity: Identity::new(arguments.operator.as_ref(), Some(&arguments.plan)),
    };
    match (arguments.execute, arguments.undo) {
        (true, true) => {
            Err(Error::Usage { problem: String::from("--execute and --undo can't be combined") })
        }
        (true, false) => run.execute(),
        (false, true) => run.undo(),
        (false, false) => Ok(()),
    }
}

struct Run {
    daemon: Daemon,
    plan: String,
    identity: Identity,
}

impl Run {
    /// Executes steps until none is left; each is derived from the branches' phases, so that an interrupted dissolution
    /// continues where it stopped.
    fn execute(&self) -> Result<(), Error> {
        let mut waits = 0;
        loop {
            let next = plan::next(&self.plan, &summaries(self.daemon)?)
                .map_err(|conflict| Error::Refused { reason: conflict.to_string() })?;
            match next {
                Next::Done => return Ok(()),
                Next::Step(branch, action) => self.step(&branch, action)?,
                Next::Wait(branch) if waits < MAX_WAITS => {
                    request::progress(&format!(
                        "waiting until branch {branch} adopts the venture's defaults"
                    ));
                    waits += 1;
                    thread::sleep(POLL_INTERVAL);
                }
                Next::Wait(branch) => {
                    let reason = format!(
                        "branch `{branch}` did not adopt the venture's defaults within {MAX_WAITS} polls"
                    );
                    return Err(Error::Refused { reason });
                }
            }
        }
    }

    fn undo(&self) -> Result<(), Error> {
        for summary in summaries(self.daemon)? {
            self.step(&summary.branch, Action::Thaw)?;
        }
        Ok(())
    }

    fn step(&self, branch: &name::Branch, action: Action) -> Result<(), Error> {
        request::progress(&format!("branch {branch}: {action:?}"));
        let step = Step { author: self.identity.author(branch), plan: self.plan.clone(), action };
        let step = branch::Step { branch: branch.clone(), step };
        match self.daemon.post(branch::DISSOLUTION_PATH, &step) {
            Ok(Reply::Done { phase, .. }) => {
                output::text(&format!("{branch}: {phase}\n"));
                Ok(())
            }
            Ok(Reply::Refused { phase, version }) => {
                let reason = format!("branch `{branch}` is {phase} at version {version}");
                Err(Error::Refused { reason })
            }
            Err(Error::OutcomeUnknown { reason }) => Err(Error::OutcomeUnknown {
                reason: format!("{reason}; run the same command again"),
            }),
            Err(error) => Err(error),
        }
    }
}

fn summaries(daemon: Daemon) -> Result<Vec<Summary>, Error> {
    let branches = branches::summaries(daemon)?;
    let read = |branch: branch::Branch| {
        let problem = branch.problem.unwrap_or_default();
        let reason = format!("branch `{}` can't be read: {problem}", branch.branch);
        branch.summary.ok_or(Error::Refused { reason })
    };
    branches.into_iter().map(read).collect()
}

fn previews(daemon: Daemon) -> Result<Vec<Preview>, Error> {
    let preview = |summary: Summary| {
        let branch = branches::fetch(daemon, &summary.branch)?;
        Ok(Preview::of(&summary, &branch))
    };
    summaries(daemon)?.into_iter().map(preview).collect()
}

impl Preview {
    fn of(summary: &Summary, branch: &Branch) -> Preview {
        let content = &branch.declarations.content;
        let declared = &content.branch;
        let count_entries = |group: &'static str| {
            let services = declared.services.values().filter_map(move |service| service.get(group));
            services.filter_map(Value::as_array).map(Vec::len).sum()
        };
        let mut defaults = content.venture.defaults.clone();
        tree::merge(&mut defaults, &declared.partner.defaults);
        let venture = branches::is_venture(&branch.name);
        let inherited = defaults.iter().filter(|(group, value)| {
            !venture && declared.partner.defaults.get(*group) != Some(*value)
        });
        let loans =
            declared.services.values().map(AsRef::as_ref).chain([&declared.partner.defaults]);
        Preview {
            branch: branch.name.clone(),
            phase: summary.phase.to_string(),
            version: summary.version,
            services: declared.services.len(),
            keys: count_entries("keys"),
            claims: summary.claims,
            open_orders: summary.open_intents,
            written_out: inherited.map(|(group, _)| group.clone()).collect(),
            ended_loans: loans.filter(|settings| has_loan(settings)).count(),
        }
    }
}

fn has_loan(settings: &serde_json::Map<String, Value>) -> bool {
    settings.get("roles").and_then(|roles| roles.get("lend_to")).is_some()
}

fn render(previews: &[Preview]) -> String {
    let mut table = output::Table::new(&[
        "BRANCH",
        "PHASE",
        "VERSION",
        "SERVICES",
        "KEYS",
        "CLAIMS",
        "OPEN ORDERS",
        "ENDED LOANS",
        "WRITTEN OUT",
    ]);
    for preview in previews {
        table.row(vec![
            preview.branch.to_string(),
            preview.phase.clone(),
            preview.version.to_string(),
            preview.services.to_string(),
            preview.keys.to_string(),
            preview.claims.to_string(),
            preview.open_orders.to_string(),
            preview.ended_loans.to_string(),
            preview.written_out.join(","),
        ]);
    }
    table.render()
}
