//! Waits until a version is in force on all live instances.

use std::{
    fmt::Write,
    thread,
    time::{Duration, Instant},
};

use common::name;
use wire::{
    operator::branch::{self, Instance},
    spread::Version,
};

use crate::{client::Daemon, command::request, error::Error};

/// Longest wait if the command line gives none, in seconds.
pub const DEFAULT_TIMEOUT_S: u64 = 30;
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Waits until the versions `wanted` are in force on all live instances.
///
/// # Errors
///
/// Returns [`Error::OutcomeUnknown`] with the instances on which they are not in force, after the timeout.
pub fn until_in_force(
    daemon: Daemon,
    wanted: &[Version],
    timeout_s: Option<u64>,
) -> Result<(), Error> {
    let limit = Duration::from_secs(timeout_s.unwrap_or(DEFAULT_TIMEOUT_S));
    let started = Instant::now();
    loop {
        let instances: Vec<Instance> = daemon.get(branch::INSTANCES_PATH)?;
        let report = Report::of(&instances, wanted);
        request::progress(&report.line());
        if report.behind.is_empty() {
            eprint!("{}", report.summary());
            return Ok(());
        }
        if started.elapsed() >= limit {
            return Err(Error::OutcomeUnknown { reason: report.summary() });
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// The instances by whether the wanted versions are in force on them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Instances on which they are in force.
    pub current: Vec<name::Instance>,
    /// Instances that respond and on which they are not in force.
    pub behind: Vec<name::Instance>,
    /// Instances that don't respond.
    pub silent: Vec<name::Instance>,
}

impl Report {
    /// Groups instances by whether the versions `wanted` are in force on them.
    pub fn of(instances: &[Instance], wanted: &[Version]) -> Report {
        let mut report = Report::default();
        for instance in instances {
            let list = match &instance.in_force {
                None => &mut report.silent,
                Some(have) if wanted.iter().all(|wanted| covers(have, wanted)) => {
                    &mut report.current
                }
                Some(_) => &mut report.behind,
            };
            list.push(instance.instance.clone());
        }
        report
    }

    fn line(&self) -> String {
        let (current, behind, silent) = (self.current.len(), self.behind.len(), self.silent.len());
        format!("in force on {current} instances, not on {behind}, {silent} don't answer")
    }

    /// The report as text.
    pub fn summary(&self) -> String {
        let mut text = format!("{}\n", self.line());
        for (word, list) in [("behind", &self.behind), ("no answer", &self.silent)] {
            for instance in list {
                let _ = writeln!(text, "{word}: {instance}");
            }
        }
        text
    }
}

fn covers(have: &[Version], wanted: &Version) -> bool {
    have.iter().any(|have| have.branch == wanted.branch && have.version >= wanted.version)
}
