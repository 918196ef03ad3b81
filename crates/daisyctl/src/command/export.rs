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

/// Maximum number of versions of each branch in an export.
const MAX_HISTORY: usize = 1_000;

/// Runs the command.
///
/// # Errors
///
/// Returns an [`Error`] when the daemon can't be reached or the folder can't be written.
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
    write_with_context(folder, |folder| fs::create_dir(folder))?;
    let tree = compose(&all);
    write_json(folder, tree::VENTURE_FILE, &tree.venture)?;
    for (partner, declared) in &tree.partners {
        write_json(folder, &tree::partner_file(partner), &declared.partner)?;
        for (service, settings) in &declared.services {
            write_json(folder, &tree::service_file(partner, service), settings)?;
        }
    }
    for branch in &all {
        write_history(folder, daemon, branch)?;
    }
    output::text(&format!("exported {} branches to {}\n", all.len(), arguments.folder));
    Ok(())
}

/// Combines all branches into one tree; the root is the venture's own, or without it the one that a partner uses.
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

fn write_history(folder: &Path, daemon: Daemon, branch: &Branch) -> Result<(), Error> {
    let path = format!("{}?branch={}&limit={MAX_HISTORY}", branch::HISTORY_PATH, branch.name);
    let records: Vec<Record> = daemon.get(&path)?;
    // The folder is hidden, so that the export can be checked and applied as a tree.
    write_json(folder, &format!(".history/{}.json", branch.name), &records)
}

fn write_json(folder: &Path, relative: &str, value: &impl Serialize) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(value)
        .expect("invariant: values whose map keys are strings serialise to JSON");
    let path: PathBuf = folder.join(relative);
    write_with_context(&path, |path| {
        if let Some(parent) = path.parent() {
            fs::create_dir_all(parent)?;
        }
        fs::write(path, text + "\n")
    })
}

/// Writes to `path`; an error names the path.
fn write_with_context(
    path: &Path,
    work: impl FnOnce(&Path) -> io::Result<()>,
) -> Result<(), Error> {
    work(path).map_err(|cause| Error::File { path: path.display().to_string(), cause })
}
