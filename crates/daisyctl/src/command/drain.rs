//! `daisyctl drain` and `daisyctl undrain`: records or removes the drain of a target.

use std::net::SocketAddr;

use common::name;
use control::drain::{Action, Reply, Set};
use wire::operator::{self, branch};

use crate::{arguments, client::Daemon, command::request::Identity, error::Error, output};

/// Options of both commands.
#[derive(Clone, Debug)]
pub struct Options {
    target: String,
    instance: SocketAddr,
    operator: Option<String>,
    request_id: Option<String>,
    output: output::Format,
}

impl From<arguments::Drain> for Options {
    fn from(arguments: arguments::Drain) -> Options {
        Options {
            target: arguments.target,
            instance: arguments.instance,
            operator: arguments.operator,
            request_id: arguments.request_id,
            output: arguments.output.unwrap_or_default(),
        }
    }
}

impl From<arguments::Undrain> for Options {
    fn from(arguments: arguments::Undrain) -> Options {
        Options {
            target: arguments.target,
            instance: arguments.instance,
            operator: arguments.operator,
            request_id: arguments.request_id,
            output: arguments.output.unwrap_or_default(),
        }
    }
}

/// Records that a target is to be drained, or removes that record.
///
/// # Errors
///
/// Returns an [`Error`] when the instance doesn't know the target or the branch refuses.
pub fn run(options: &Options, action: Action) -> Result<(), Error> {
    let daemon = Daemon { address: options.instance };
    let status: operator::Status = daemon.get(operator::STATUS_PATH)?;
    let target = status.targets.iter().find(|target| target.name.0 == options.target);
    let Some(target) = target else {
        let reason = format!(
            "instance {} knows no target `{}`; use an instance in the target's data centre",
            status.instance, options.target
        );
        return Err(Error::Refused { reason });
    };
    let branch = name::Branch(target.partner.0.clone());
    let identity = Identity::new(options.operator.as_ref(), options.request_id.as_ref());
    let set = Set {
        author: identity.author(&branch),
        data_centre: target.data_centre.clone(),
        target: target.name.clone(),
        wish: action,
    };
    let reply: Reply = daemon.post(branch::DRAINS_PATH, &branch::Drain { branch, set })?;
    match options.output {
        output::Format::Json => output::json(&reply),
        output::Format::Table => output::text(&format!("{}: {action} recorded\n", options.target)),
    }
    match reply {
        Reply::Recorded => Ok(()),
        Reply::Full => Err(Error::Refused {
            reason: String::from("too many targets are drained; undrain one first"),
        }),
    }
}
