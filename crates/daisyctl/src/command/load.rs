//! `daisyctl load`: runs a load scenario and reports the outcomes of the requests.

use std::{fs, path::Path};

use load::{report::Report, run, scenario::Scenario};
use settings::{document::Document, error::Faults};
use tokio::runtime;

use crate::{arguments::Load, error::Error, output};

/// Runs the command.
///
/// # Errors
///
/// Returns an [`Error`] when the scenario can't be read, a report can't be written or a request failed.
pub fn run(arguments: &Load) -> Result<(), Error> {
    let mut scenario = read(Path::new(&arguments.scenario))?;
    if !arguments.callers.is_empty() {
        scenario.callers.clone_from(&arguments.callers);
    }
    if !arguments.control.is_empty() {
        scenario.control.clone_from(&arguments.control);
    }
    if scenario.callers.is_empty() {
        return Err(Error::Usage {
            problem: String::from(
                "no address for callers: give one in the scenario or with --callers",
            ),
        });
    }
    scenario.seed = arguments.seed.unwrap_or(scenario.seed);
    let runtime = runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.map_err(|cause| Error::File { path: String::from("runtime"), cause })?;
    let report = runtime.block_on(run::run(scenario));
    write(arguments, &report)?;
    output::text(&report.text());
    if report.is_clean() {
        return Ok(());
    }
    Err(Error::Refused {
        reason: String::from("requests failed or an idempotency key ran twice; see the report"),
    })
}

fn read(path: &Path) -> Result<Scenario, Error> {
    let document =
        Document::read(path).map_err(|error| Error::Settings(Faults::from(vec![error])))?;
    serde_json::from_value(document.value.clone())
        .map_err(|error| Error::Settings(Faults::from(vec![document.fault("", error.to_string())])))
}

fn write(arguments: &Load, report: &Report) -> Result<(), Error> {
    if let Some(path) = &arguments.json {
        let json = serde_json::to_string_pretty(report)
            .expect("invariant: values whose map keys are strings serialise to JSON");
        save(path, &json)?;
    }
    if let Some(path) = &arguments.page {
        save(path, &report.page())?;
    }
    Ok(())
}

fn save(path: &str, text: &str) -> Result<(), Error> {
    fs::write(path, text).map_err(|cause| Error::File { path: path.to_owned(), cause })
}
