//! `daisyctl check`: validates a folder of declarations.

use crate::{arguments, command::branches, error::Error, output};

/// Runs the command.
///
/// # Errors
///
/// Returns all errors found in the files.
pub fn run(arguments: &arguments::Check) -> Result<(), Error> {
    let tree = branches::load(&arguments.folder)?;
    match arguments.output.unwrap_or_default() {
        output::Format::Json => output::json(&tree),
        output::Format::Table => {
            let services: usize = tree.partners.values().map(|branch| branch.services.len()).sum();
            let partners = tree.partners.len();
            output::text(&format!("{partners} partners, {services} services: no faults\n"));
        }
    }
    Ok(())
}
