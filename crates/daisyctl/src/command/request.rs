//! Operators' requests: their ids, authors and answers.

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

/// Who asks, and under which id.
#[derive(Clone, Debug)]
pub struct Identity {
    operator: String,
    id: String,
    resend: bool,
}

/// The answer of one branch.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The branch.
    pub branch: name::Branch,
    /// Id of the request.
    pub request: String,
    /// The answer.
    pub reply: Reply,
}

impl Identity {
    /// Takes the operator's name and id, or makes an id and prints it.
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

    /// The answer that a resent request got before, if it is kept.
    ///
    /// # Errors
    ///
    /// Returns a [`Error`] when the daemon can't be reached.
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

    /// Asks for a change.
    ///
    /// # Errors
    ///
    /// Returns a [`Error`] when the daemon refuses, or [`Error::OutcomeUnknown`] with how to ask again.
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
            Err(fault) => Err(fault),
        }
    }
}

/// Prints answers, and fails if one of them is no success.
///
/// # Errors
///
/// Returns [`Error::Refused`] for the first conflict or refusal.
pub fn show(answers: &[Outcome], format: output::Format) -> Result<(), Error> {
    match format {
        output::Format::Json => output::json(&answers),
        output::Format::Table => {
            let mut table = output::Table::new(&["BRANCH", "VERSION", "RESULT"]);
            for answer in answers {
                table.row(row(answer));
            }
            output::text(&table.render());
        }
    }
    match answers.iter().find(|answer| accepted_version(answer).is_none()) {
        Some(answer) => {
            Err(Error::Refused { reason: format!("{}: {}", answer.branch, words(&answer.reply)) })
        }
        None => Ok(()),
    }
}

/// The version that an answer says is in force with the operator's declarations.
pub fn accepted_version(answer: &Outcome) -> Option<u64> {
    match answer.reply {
        Reply::Accepted { version } | Reply::Unchanged { version } => Some(version),
        Reply::Conflict { .. } | Reply::Refused(_) => None,
    }
}

/// Writes to standard error if it is a terminal.
pub fn progress(text: &str) {
    if io::stderr().is_terminal() {
        eprintln!("{text}");
    }
}

fn row(answer: &Outcome) -> Vec<String> {
    let version = match &answer.reply {
        Reply::Accepted { version }
        | Reply::Unchanged { version }
        | Reply::Conflict { version, .. } => version.to_string(),
        Reply::Refused(_) => String::from("-"),
    };
    vec![answer.branch.to_string(), version, words(&answer.reply)]
}

fn words(reply: &Reply) -> String {
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
