//! Requests of operators: their ids, authors and outcomes.

use std::{
    env,
    hash::{BuildHasher, Hasher, RandomState},
    io::{self, IsTerminal},
};

use common::{clock, name};
use control::declaration::{Author, Change, Reply, Request};
use serde::Serialize;
use wire::operator::branch;

use crate::{client::Daemon, error::Error, output};

/// The operator and the request id of a command.
#[derive(Clone, Debug)]
pub struct Identity {
    operator: String,
    id: String,
    resend: bool,
}

/// The outcome of a request to one branch.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The branch.
    pub branch: name::Branch,
    /// Id of the request.
    pub request: String,
    /// The branch's reply.
    pub reply: Reply,
}

impl Identity {
    /// Takes the operator's name and the request id; without an id, generates one and prints it.
    pub fn new(operator: Option<&String>, id: Option<&String>) -> Identity {
        let user = || env::var("USER").unwrap_or_else(|_| String::from("operator"));
        let operator = operator.cloned().unwrap_or_else(user);
        match id {
            Some(id) => Identity { operator, id: id.clone(), resend: true },
            None => {
                let mut hasher = RandomState::new().build_hasher();
                hasher.write_u64(clock::unix_ns());
                let id = format!("{:016x}", hasher.finish());
                progress(&format!("request id {id}"));
                Identity { operator, id, resend: false }
            }
        }
    }

    /// The author of a request to one branch.
    pub fn author(&self, branch: &name::Branch) -> Author {
        Author {
            request: format!("{}-{branch}", self.id),
            operator: self.operator.clone(),
            wall_ms: 0,
        }
    }

    /// The outcome of a request that was sent before under the same id, if the branch still keeps it.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the daemon can't be reached.
    pub fn answered(
        &self,
        daemon: Daemon,
        branch: &name::Branch,
    ) -> Result<Option<Outcome>, Error> {
        if !self.resend {
            return Ok(None);
        }
        let request = self.author(branch).request;
        let path = format!("{}?branch={branch}&id={request}", branch::REQUESTS_PATH);
        let reply: Option<Reply> = daemon.get(&path)?;
        Ok(reply.map(|reply| Outcome { branch: branch.clone(), request, reply }))
    }

    /// Requests a change of a branch.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the daemon refuses, or [`Error::OutcomeUnknown`] with the command to send again.
    pub fn change(
        &self,
        daemon: Daemon,
        branch: &name::Branch,
        base: u64,
        change: Change,
    ) -> Result<Outcome, Error> {
        let author = self.author(branch);
        let request = author.request.clone();
        let change =
            branch::Change { branch: branch.clone(), request: Request { author, base, change } };
        let result = daemon.post(branch::DECLARATIONS_PATH, &change);
        match result {
            Ok(reply) => Ok(Outcome { branch: branch.clone(), request, reply }),
            Err(Error::OutcomeUnknown { reason }) => Err(Error::OutcomeUnknown {
                reason: format!("{reason}; run the same command with --request-id {}", self.id),
            }),
            Err(error) => Err(error),
        }
    }
}

/// Prints outcomes, and fails if one of them is a conflict or refusal.
///
/// # Errors
///
/// Returns [`Error::Refused`] for the first conflict or refusal.
pub fn show(outcomes: &[Outcome], format: output::Format) -> Result<(), Error> {
    match format {
        output::Format::Json => output::json(&outcomes),
        output::Format::Table => {
            let mut table = output::Table::new(&["BRANCH", "VERSION", "RESULT"]);
            for outcome in outcomes {
                table.row(row(outcome));
            }
            output::text(&table.render());
        }
    }
    match outcomes.iter().find(|outcome| accepted_version(outcome).is_none()) {
        Some(outcome) => Err(Error::Refused {
            reason: format!("{}: {}", outcome.branch, describe(&outcome.reply)),
        }),
        None => Ok(()),
    }
}

/// The version under which the operator's declarations are in force; `None` after a conflict or refusal.
pub fn accepted_version(outcome: &Outcome) -> Option<u64> {
    match outcome.reply {
        Reply::Accepted { version } | Reply::Unchanged { version } => Some(version),
        Reply::Conflict { .. } | Reply::Refused(_) => None,
    }
}

/// Prints `text` to standard error if that is a terminal.
pub fn progress(text: &str) {
    if io::stderr().is_terminal() {
        eprintln!("{text}");
    }
}

fn row(outcome: &Outcome) -> Vec<String> {
    let version = match &outcome.reply {
        Reply::Accepted { version }
        | Reply::Unchanged { version }
        | Reply::Conflict { version, .. } => version.to_string(),
        Reply::Refused(_) => String::from("-"),
    };
    vec![outcome.branch.to_string(), version, describe(&outcome.reply)]
}

fn describe(reply: &Reply) -> String {
    match reply {
        Reply::Accepted { .. } => String::from("accepted"),
        Reply::Unchanged { .. } => String::from("unchanged"),
        Reply::Conflict { version, winner: None } => {
            format!("conflict: version {version} is in force")
        }
        Reply::Conflict { version, winner: Some(winner) } => format!(
            "conflict: {} made version {} first (request {}); version {version} is in force",
            winner.author.operator, winner.version, winner.author.request
        ),
        Reply::Refused(refusal) => format!("refused: {refusal}"),
    }
}
