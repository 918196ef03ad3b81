//! `daisyctl diff`: what a folder of declarations would change, by service.

use common::name;
use serde_json::Value;
use settings::{
    diff::{self, Change, Difference},
    tree::Tree,
};

use crate::{arguments, client::Daemon, command::branches, error::Error, output};

/// Maximum length of a value in the table, in characters; longer ones are truncated.
const MAX_VALUE_CHARACTERS: usize = 60;

/// Runs the command.
///
/// # Errors
///
/// Returns an [`Error`] when the files are invalid or the daemon can't be reached.
pub fn run(arguments: &arguments::Diff) -> Result<(), Error> {
    let after = branches::load(&arguments.folder)?;
    let before = branches::fetch_all(Daemon { address: arguments.instance })?;
    let changes = changes(&before, &after);
    match arguments.output.unwrap_or_default() {
        output::Format::Json => output::json(&changes),
        output::Format::Table => output::text(&render(&changes)),
    }
    Ok(())
}

/// Compares the settings in force of each partner with those of a tree.
pub fn changes(before: &[branches::Branch], after: &Tree) -> Vec<Change> {
    let partners = before.iter().filter(|branch| !branches::is_venture(&branch.name));
    partners
        .flat_map(|branch| {
            let name = name::Partner(branch.name.0.clone());
            let mut next = Tree { venture: after.venture.clone(), ..Tree::default() };
            if let Some(declared) = after.partners.get(&name) {
                next.partners.insert(name, declared.clone());
            }
            diff::between(&branches::partner_tree(branch), &next)
        })
        .collect()
}

/// The changes as text.
pub fn render(changes: &[Change]) -> String {
    if changes.is_empty() {
        return String::from("no setting in force changes\n");
    }
    let mut table = output::Table::new(&[
        "PARTNER", "SERVICE", "CHANGE", "SETTING", "BEFORE", "AFTER", "SET BY",
    ]);
    for change in changes {
        for difference in &change.settings {
            table.row(row(change, difference));
        }
    }
    table.render()
}

fn row(change: &Change, difference: &Difference) -> Vec<String> {
    vec![
        change.partner.to_string(),
        change.service.to_string(),
        change.kind.to_string(),
        difference.key.clone(),
        short(difference.before.as_ref()),
        short(difference.after.as_ref()),
        difference.origin.to_string(),
    ]
}

fn short(value: Option<&Value>) -> String {
    let text = value.map_or_else(|| String::from("-"), Value::to_string);
    if text.chars().count() <= MAX_VALUE_CHARACTERS {
        return text;
    }
    let start: String = text.chars().take(MAX_VALUE_CHARACTERS).collect();
    format!("{start}...")
}
