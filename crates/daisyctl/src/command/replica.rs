//! `daisyctl replica`: lists the replicas of the logs, and replaces one.

use common::name;
use wire::log;

use crate::{
    arguments::{self, ReplicaCmd},
    client,
    error::Error,
    output,
};

/// Runs the command.
///
/// # Errors
///
/// Returns an [`Error`] when the instance can't be reached or refuses.
pub fn run(arguments: &arguments::Replica) -> Result<(), Error> {
    match &arguments.subcommand {
        ReplicaCmd::List(arguments) => list(arguments),
        ReplicaCmd::Replace(arguments) => replace(arguments),
    }
}

fn list(arguments: &arguments::List) -> Result<(), Error> {
    let daemon = client::Daemon { address: arguments.instance };
    let replicas: Vec<log::Replica> = daemon.get(log::REPLICAS_PATH)?;
    match arguments.output.unwrap_or_default() {
        output::Format::Json => output::json(&replicas),
        output::Format::Table => output::text(&render(&replicas)),
    }
    Ok(())
}

fn replace(arguments: &arguments::Replace) -> Result<(), Error> {
    let daemon = client::Daemon { address: arguments.instance };
    let replacement = log::Replacement {
        branch: name::Branch::from(arguments.branch.as_str()),
        old: name::Instance::from(arguments.old.as_str()),
        new: name::Instance::from(arguments.new.as_str()),
    };
    let branch: name::Branch = daemon.post(log::REPLICAS_PATH, &replacement)?;
    output::text(&format!(
        "{branch}: the replica of {} catches up and then replaces that of {}; the replacement is finished \
         when `replica list` no longer shows {} as a member\n",
        replacement.new, replacement.old, replacement.old
    ));
    Ok(())
}

/// The replicas as text.
pub fn render(replicas: &[log::Replica]) -> String {
    let mut table = output::Table::new(&[
        "BRANCH",
        "INSTANCE",
        "IDENTITY",
        "PART",
        "ROLE",
        "TERM",
        "COMMITTED",
        "LAST",
        "MEMBERS",
    ]);
    for replica in replicas {
        table.row(row(replica));
    }
    table.render()
}

fn row(replica: &log::Replica) -> Vec<String> {
    let mut row = vec![replica.branch.to_string(), replica.instance.to_string()];
    let Some(status) = &replica.status else {
        row.extend(["", "", "no answer", "", "", "", ""].map(String::from));
        return row;
    };
    let part = match status.config.member(status.id) {
        Some(member) if member.voter => "voter",
        Some(_) => "learner",
        None => "none",
    };
    let members: Vec<&str> =
        status.config.members().iter().map(|member| member.instance.0.as_str()).collect();
    row.extend([
        status.id.to_string(),
        String::from(part),
        status.role.to_string(),
        status.term.to_string(),
        status.commit.to_string(),
        status.last.index.to_string(),
        members.join(","),
    ]);
    row
}
