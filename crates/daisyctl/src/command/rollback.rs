//! `daisyctl rollback`: restores earlier declarations as a new version.

use common::name;
use control::declaration::Change;
use wire::spread::Version;

use crate::{
    arguments,
    client::Daemon,
    command::{
        branches,
        request::{self, Identity, Outcome},
        wait,
    },
    error::Error,
};

/// Runs the command.
///
/// # Errors
///
/// Returns an [`Error`] when the branch refuses or the outcome is unknown.
pub fn run(arguments: &arguments::Rollback) -> Result<(), Error> {
    let daemon = Daemon { address: arguments.instance };
    let branch = name::Branch::from(arguments.branch.as_str());
    let identity = Identity::new(arguments.operator.as_ref(), arguments.request_id.as_ref());
    let outcome = request_rollback(arguments, daemon, &branch, &identity)?;
    request::show(std::slice::from_ref(&outcome), arguments.output.unwrap_or_default())?;
    if let Some(version) = request::accepted_version(&outcome).filter(|_| arguments.wait) {
        wait::until_in_force(daemon, &[Version { branch, version }], arguments.timeout_s)?;
    }
    Ok(())
}

fn request_rollback(
    arguments: &arguments::Rollback,
    daemon: Daemon,
    branch: &name::Branch,
    identity: &Identity,
) -> Result<Outcome, Error> {
    if let Some(outcome) = identity.answered(daemon, branch)? {
        return Ok(outcome);
    }
    let base = match arguments.base {
        Some(base) => base,
        None => branches::fetch(daemon, branch)?.declarations.version,
    };
    identity.change(daemon, branch, base, Change::Rollback { to: arguments.to })
}
