//! `daisyctl export`: the declarations in force as a folder, with the history of each branch.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use control::declaration::Record;
use serde::Serialize;
use settings::tree::{self, Tree};
use wire::operator::branch;

use crate::{
    arguments,
    client::Daemon,
    command::branches::{self, Branch},
    error::Error,
    output,
};

/// Versions that an export holds at most for each branch.
const MAX_HISTORY: usize = 1_000;

/// Runs the command.
///
/// # Errors
///
/// Returns a [`Error`] when the daemon can't be reached or the folder can't be written.
pub fn run(arguments: &arguments::Export) -> Result<(), Error> {
    let daemon = Daemon { address: arguments.instance };
    let mut all = branches::fetch_all(daemon)?;
    if let Some(only) = &arguments.branch {
        all.retain(|branch| branch.name.0 == *only);
    }
    if all.is_empty() {
        return Err(Error::Refused { reason: String::from("no such branch") });
    }
    let folder = Path::new(&arguments.folder);
    write(folder, |folder| fs::create_dir(folder))?;
    let tree = compose(&all);
    file(folder, tree::VENTURE_FILE, &tree.venture)?;
    for (partner, declared) in &tree.partners {
        file(folder, &tree::partner_file(partner), &declared.partner)?;
        for (service, settings) in &declared.services {
            file(folder, &tree::service_file(partner, service), settings)?;
        }
    }
    for branch in &all {
        history(folder, daemon, branch)?;
    }
    output::text(&format!("exported {} branches to {}\n", all.len(), arguments.folder));
    Ok(())
}

/// One tree of all branches; the root is the venture's own, or that which a lone partner has.
pub fn compose(all: &[Branch]) -> Tree {
    let mut whole = Tree::default();
    for branch in all {
        let own = branches::partner_tree(branch);
        if branches::is_venture(&branch.name) || whole.venture == tree::Venture::default() {
            whole.venture = own.venture;
        }
        whole.partners.extend(own.partners);
    }
    whole
}

fn history(folder: &Path, daemon: Daemon, branch: &Branch) -> Result<(), Error> {
    let path = format!("{}?branch={}&limit={MAX_HISTORY}", branch::HISTORY_PATH, branch.name);
    let records: Vec<Record> = daemon.get(&path)?;
    // A hidden folder, so that the export can be checked and applied as a tree.
    file(folder, &format!(".history/{}.json", branch.name), &records)
}

fn file(folder: &Path, relative: &str, value: &impl Serialize) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(value).expect("invariant: settings have text keys");
    let path: PathBuf = folder.join(relative);
    write(&path, |path| {
        if let Some(parent) = path.parent() {
            fs::create_dir_all(parent)?;
        }
        fs::write(path, text + "\n")
    })
}

fn write(path: &Path, work: impl FnOnce(&Path) -> io::Result<()>) -> Result<(), Error> {
    work(path).map_err(|cause| Error::File { path: path.display().to_string(), cause })
}
