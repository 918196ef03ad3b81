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

/// Longest wait for a partner's branch to take over new defaults of the venture.
const ADOPTION_LIMIT: Duration = Duration::from_secs(10);
const INTERVAL: Duration = Duration::from_millis(200);

/// Runs the command.
///
/// # Errors
///
/// Returns a [`Error`] when the files have faults, a branch refuses or an outcome is not known.
pub fn run(arguments: &arguments::Apply) -> Result<(), Error> {
    let tree = branches::load(&arguments.folder)?;
    let daemon = Daemon { address: arguments.instance };
    let identity = Identity::new(arguments.operator.as_ref(), arguments.request_id.as_ref());
    let names = selected(daemon, arguments.branch.as_deref(), &tree)?;
    if arguments.base.is_some() && names.len() != 1 {
        let problem =
            String::from("--base needs --branch, since each branch has versions of its own");
        return Err(Error::Usage { problem });
    }
    let mut run = Run { daemon, identity, tree, base: arguments.base, answers: Vec::new() };
    let outcome = names.iter().try_for_each(|name| run.branch(name));
    request::show(&run.answers, arguments.output.unwrap_or_default())?;
    outcome?;
    if arguments.wait {
        wait::until_in_force(daemon, &run.versions(), arguments.timeout_s)?;
    }
    Ok(())
}

fn selected(daemon: Daemon, only: Option<&str>, tree: &Tree) -> Result<Vec<name::Branch>, Error> {
    let known: Vec<name::Branch> =
        branches::summaries(daemon)?.into_iter().map(|branch| branch.branch).collect();
    let strange =
        tree.partners.keys().find(|partner| !known.iter().any(|name| name.0 == partner.0));
    if let Some(partner) = strange {
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
    answers: Vec<Outcome>,
}

impl Run {
    fn branch(&mut self, name: &name::Branch) -> Result<(), Error> {
        if let Some(answer) = self.identity.answered(self.daemon, name)? {
            self.answers.push(answer);
            return Ok(());
        }
        let current = self.fetch(name)?;
        let base = self.base.unwrap_or(current.declarations.version);
        let after = self.declared(name, &current.declarations.content);
        let delta = delta::between(&current.declarations.content, &after);
        let answer = if delta.is_empty() {
            let reply = Reply::Unchanged { version: current.declarations.version };
            let request = self.identity.author(name).request;
            Outcome { branch: name.clone(), request, reply }
        } else {
            self.identity.change(self.daemon, name, base, Change::Apply(delta))?
        };
        let refused = request::accepted_version(&answer).is_none();
        self.answers.push(answer);
        if refused {
            // The other branches are left alone; `show` names the reason.
            let reason = format!("branch `{name}` was not changed");
            return Err(Error::Refused { reason });
        }
        Ok(())
    }

    /// Reads a branch; a partner's once it has taken over the venture's version that was applied before.
    fn fetch(&self, name: &name::Branch) -> Result<Branch, Error> {
        let venture = self.answers.iter().find(|answer| branches::is_venture(&answer.branch));
        let wanted = venture.and_then(request::accepted_version).unwrap_or(0);
        let started = Instant::now();
        loop {
            let branch = branches::fetch(self.daemon, name)?;
            let adopted =
                branches::is_venture(name) || branch.declarations.venture_version >= wanted;
            if adopted || started.elapsed() >= ADOPTION_LIMIT {
                return Ok(branch);
            }
            request::progress(&format!("branch {name} takes over the venture's version {wanted}"));
            thread::sleep(INTERVAL);
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
        let have = |answer: &Outcome| {
            let version = request::accepted_version(answer)?;
            Some(Version { branch: answer.branch.clone(), version })
        };
        self.answers.iter().filter_map(have).collect()
    }
}
