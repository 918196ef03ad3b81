//! `daisyctl apply`: makes a folder of declarations the settings in force.

use std::{
    thread,
    time::{Duration, Instant},
};

use common::name;
use control::declaration::{Change, Reply};
use settings::{
    delta::{self, Content},
    tree::Tree,
};
use wire::spread::Version;

use crate::{
    arguments,
    client::Daemon,
    command::{
        branches::{self, Branch},
        request::{self, Identity, Outcome},
        wait,
    },
    error::Error,
};

/// Longest wait for a partner's branch to adopt new defaults of the venture.
const ADOPTION_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Runs the command.
///
/// # Errors
///
/// Returns an [`Error`] when the files are invalid, a branch refuses the change or an outcome is unknown.
pub fn run(arguments: &arguments::Apply) -> Result<(), Error> {
    let tree = branches::load(&arguments.folder)?;
    let daemon = Daemon { address: arguments.instance };
    let identity = Identity::new(arguments.operator.as_ref(), arguments.request_id.as_ref());
    let names = select_branches(daemon, arguments.branch.as_deref(), &tree)?;
    if arguments.base.is_some() && names.len() != 1 {
        let problem = String::from("--base needs --branch, since each branch has its own versions");
        return Err(Error::Usage { problem });
    }
    let mut run = Run { daemon, identity, tree, base: arguments.base, outcomes: Vec::new() };
    let outcome = names.iter().try_for_each(|name| run.branch(name));
    request::show(&run.outcomes, arguments.output.unwrap_or_default())?;
    outcome?;
    if arguments.wait {
        wait::until_in_force(daemon, &run.versions(), arguments.timeout_s)?;
    }
    Ok(())
}

fn select_branches(
    daemon: Daemon,
    only: Option<&str>,
    tree: &Tree,
) -> Result<Vec<name::Branch>, Error> {
    let known: Vec<name::Branch> =
        branches::summaries(daemon)?.into_iter().map(|branch| branch.branch).collect();
    let unknown =
        tree.partners.keys().find(|partner| !known.iter().any(|name| name.0 == partner.0));
    if let Some(partner) = unknown {
        let reason = format!("no instance keeps a replicated log of branch `{partner}`");
        return Err(Error::Refused { reason });
    }
    let wanted = |name: &name::Branch| only.is_none_or(|only| name.0 == only);
    Ok(known.into_iter().filter(wanted).collect())
}

struct Run {
    daemon: Daemon,
    identity: Identity,
    tree: Tree,
    base: Option<u64>,
    outcomes: Vec<Outcome>,
}

impl Run {
    fn branch(&mut self, name: &name::Branch) -> Result<(), Error> {
        if let Some(outcome) = self.identity.answered(self.daemon, name)? {
            self.outcomes.push(outcome);
            return Ok(());
        }
        let current = self.fetch(name)?;
        let base = self.base.unwrap_or(current.declarations.version);
        let after = self.declared(name, &current.declarations.content);
        let delta = delta::between(&current.declarations.content, &after);
        let outcome = if delta.is_empty() {
            let reply = Reply::Unchanged { version: current.declarations.version };
            let request = self.identity.author(name).request;
            Outcome { branch: name.clone(), request, reply }
        } else {
            self.identity.change(self.daemon, name, base, Change::Apply(delta))?
        };
        let is_refused = request::accepted_version(&outcome).is_none();
        self.outcomes.push(outcome);
        if is_refused {
            // The remaining branches are not changed; `show` has printed the reason.
            let reason = format!("branch `{name}` was not changed");
            return Err(Error::Refused { reason });
        }
        Ok(())
    }

    /// Reads a branch; that of a partner once it has adopted the venture's version that was applied before.
    fn fetch(&self, name: &name::Branch) -> Result<Branch, Error> {
        let venture = self.outcomes.iter().find(|outcome| branches::is_venture(&outcome.branch));
        let wanted = venture.and_then(request::accepted_version).unwrap_or(0);
        let started = Instant::now();
        loop {
            let branch = branches::fetch(self.daemon, name)?;
            let adopted =
                branches::is_venture(name) || branch.declarations.venture_version >= wanted;
            if adopted || started.elapsed() >= ADOPTION_TIMEOUT {
                return Ok(branch);
            }
            request::progress(&format!(
                "waiting until branch {name} adopts the venture's version {wanted}"
            ));
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn declared(&self, name: &name::Branch, current: &Content) -> Content {
        let mut after = current.clone();
        if branches::is_venture(name) {
            after.venture = self.tree.venture.clone();
        } else {
            let partner = name::Partner(name.0.clone());
            after.branch = self.tree.partners.get(&partner).cloned().unwrap_or_default();
        }
        after
    }

    fn versions(&self) -> Vec<Version> {
        let accepted = |outcome: &Outcome| {
            let version = request::accepted_version(outcome)?;
            Some(Version { branch: outcome.branch.clone(), version })
        };
        self.outcomes.iter().filter_map(accepted).collect()
    }
}
