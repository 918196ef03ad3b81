//! `daisyctl get`: the declarations and settings in force.

use std::collections::BTreeMap;

use common::name;
use serde::Serialize;
use settings::effective::{self, Settings};

use crate::{
    arguments,
    client::Daemon,
    command::branches::{self, Branch},
    error::Error,
    output,
};

/// Runs the command.
///
/// # Errors
///
/// Returns an [`Error`] when the daemon can't be reached or no service matches.
pub fn run(arguments: &arguments::Get) -> Result<(), Error> {
    let mut all = branches::fetch_all(Daemon { address: arguments.instance })?;
    if let Some(partner) = &arguments.partner {
        all.retain(|branch| branch.name.0 == *partner);
    }
    if arguments.effective {
        return show_effective(&all, arguments);
    }
    let declared: Vec<Declared<'_>> = all.iter().map(Declared::of).collect();
    output::json(&declared);
    Ok(())
}

#[derive(Serialize)]
struct Declared<'a> {
    branch: &'a name::Branch,
    #[serde(flatten)]
    version: &'a control::query::Declarations,
}

impl Declared<'_> {
    fn of(branch: &Branch) -> Declared<'_> {
        Declared { branch: &branch.name, version: &branch.declarations }
    }
}

fn show_effective(all: &[Branch], arguments: &arguments::Get) -> Result<(), Error> {
    let mut services: BTreeMap<String, Settings> = BTreeMap::new();
    for branch in all.iter().filter(|branch| !branches::is_venture(&branch.name)) {
        let content = &branch.declarations.content;
        let partner = name::Partner(branch.name.0.clone());
        let wanted = |service: &&name::Service| {
            arguments.service.as_ref().is_none_or(|only| service.0 == *only)
        };
        for service in content.branch.services.keys().filter(wanted) {
            let settings =
                effective::settings(&content.venture, &partner, &content.branch, service);
            services.insert(format!("{partner}/{service}"), settings);
        }
    }
    if services.is_empty() {
        return Err(Error::Refused { reason: String::from("no such service") });
    }
    match arguments.output.unwrap_or_default() {
        output::Format::Json => output::json(&services),
        output::Format::Table => output::text(&render(&services)),
    }
    Ok(())
}

fn render(services: &BTreeMap<String, Settings>) -> String {
    let mut table = output::Table::new(&["SERVICE", "SETTING", "VALUE", "SET BY", "FILE"]);
    for (service, settings) in services {
        for (key, setting) in settings {
            table.row(vec![
                service.clone(),
                key.clone(),
                setting.value.to_string(),
                setting.origin.to_string(),
                setting.file.clone(),
            ]);
        }
    }
    table.render()
}
