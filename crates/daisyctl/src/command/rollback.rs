//! `daisyctl rollback`: earlier declarations under a new version.

use common::name;
use control::declaration::Change;
use wire::spread::Version;

use crate::{
    arguments,
    client::Daemon,
    command::{
        branches,
        request::{self, Answer, Identity},
        wait,
    },
    error::Fault,
};

/// Runs the command.
///
/// # Errors
///
/// Returns a [`Fault`] when the branch refuses or the outcome is not known.
pub fn run(arguments: &arguments::Rollback) -> Result<(), Fault> {
    let daemon = Daemon { address: arguments.instance };
    let branch = name::Branch::from(arguments.branch.as_str());
    let identity = Identity::new(arguments.operator.as_ref(), arguments.request_id.as_ref());
    let answer = ask(arguments, daemon, &branch, &identity)?;
    request::show(std::slice::from_ref(&answer), arguments.output.unwrap_or_default())?;
    if let Some(version) = request::accepted(&answer).filter(|_| arguments.wait) {
        wait::until_in_force(daemon, &[Version { branch, version }], arguments.timeout_s)?;
    }
    Ok(())
}

fn ask(
    arguments: &arguments::Rollback,
    daemon: Daemon,
    branch: &name::Branch,
    identity: &Identity,
) -> Result<Answer, Fault> {
    if let Some(answer) = identity.answered(daemon, branch)? {
        return Ok(answer);
    }
    let base = match arguments.base {
        Some(base) => base,
        None => branches::fetch(daemon, branch)?.version.version,
    };
    identity.change(daemon, branch, base, Change::Rollback { to: arguments.to })
}
