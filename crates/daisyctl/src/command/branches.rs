//! Declarations of the branches, read from a folder or from a daemon.

use std::path::Path;

use common::name;
use control::query::Declarations;
use settings::{
    check,
    error::Faults,
    tree::{self, Tree},
};
use wire::operator::branch;

use crate::{client::Daemon, error::Error};

/// A branch with its declarations in force.
#[derive(Clone, Debug)]
pub struct Branch {
    /// The branch.
    pub name: name::Branch,
    /// Its declarations.
    pub declarations: Declarations,
}

/// Reads and checks a folder of declarations.
///
/// # Errors
///
/// Returns all errors found in the files.
pub fn load(folder: &str) -> Result<Tree, Error> {
    let loaded = tree::load(Path::new(folder));
    if loaded.faults.is_empty() {
        return Ok(loaded.tree);
    }
    Err(Error::Settings(Faults::from(loaded.faults)))
}

/// Reads the names of the branches, the venture first.
///
/// # Errors
///
/// Returns an [`Error`] when the daemon can't be reached or keeps no branch.
pub fn summaries(daemon: Daemon) -> Result<Vec<branch::Branch>, Error> {
    let mut branches: Vec<branch::Branch> = daemon.get(branch::BRANCHES_PATH)?;
    if branches.is_empty() {
        let reason =
            String::from("no instance keeps a replicated log; the tree is read from its folder");
        return Err(Error::Refused { reason });
    }
    branches.sort_by_key(|branch| (!is_venture(&branch.branch), branch.branch.clone()));
    Ok(branches)
}

/// Reads the declarations of a branch in force.
///
/// # Errors
///
/// Returns an [`Error`] when the daemon can't be reached or refuses.
pub fn fetch(daemon: Daemon, name: &name::Branch) -> Result<Branch, Error> {
    let declarations = daemon.get(&format!("{}?branch={name}", branch::DECLARATIONS_PATH))?;
    Ok(Branch { name: name.clone(), declarations })
}

/// Reads the declarations of all branches in force, the venture first.
///
/// # Errors
///
/// Returns an [`Error`] when the daemon can't be reached or refuses.
pub fn fetch_all(daemon: Daemon) -> Result<Vec<Branch>, Error> {
    summaries(daemon)?.iter().map(|branch| fetch(daemon, &branch.branch)).collect()
}

/// Whether a branch is that of the venture, the root of the tree.
pub fn is_venture(branch: &name::Branch) -> bool {
    branch.0 == check::VENTURE_BRANCH
}

/// The tree of one partner with the venture's defaults that it uses; without partners for the venture itself.
pub fn partner_tree(branch: &Branch) -> Tree {
    let content = &branch.declarations.content;
    let mut tree = Tree { venture: content.venture.clone(), ..Tree::default() };
    if !is_venture(&branch.name) && branch.declarations.version > 0 {
        tree.partners.insert(name::Partner(branch.name.0.clone()), content.branch.clone());
    }
    tree
}
