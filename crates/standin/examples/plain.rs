//! Runs a stand-in plain service until it is stopped.

use std::{net::SocketAddr, time::Duration};

use common::{cancel, name};
use standin::{announce, plain};

mod flags {
    #![allow(missing_docs, reason = "the generated items carry no comments")]

    use std::net::SocketAddr;

    use standin::plain::Behaviour;

    xflags::xflags! {
        /// Runs a stand-in plain service that announces itself to the daemons at the control addresses.
        cmd plain {
            /// Name of the target.
            optional --name name: String
            /// Partner that owns it.
            optional --partner partner: String
            /// Service it runs for.
            optional --service service: String
            /// Data centre that it is in.
            optional --data-centre data_centre: String
            /// Where it listens, as `IP:PORT`.
            optional --listen listen: SocketAddr
            /// A daemon's control address, as `IP:PORT`.
            repeated --control control: SocketAddr
            /// Time that a call takes, in milliseconds.
            optional --delay-ms delay_ms: u64
            /// What happens once a call has run: answer, drop or die.
            optional --fate fate: Behaviour
        }
    }
}

#[tokio::main]
#[allow(clippy::print_stdout, reason = "tells the caller where it listens")]
async fn main() -> std::io::Result<()> {
    let flags = flags::Plain::from_env_or_exit();
    let plain = plain::Service::start(options(flags), cancel::Token::new()).await?;
    println!("listening on {}", plain.address());
    tokio::signal::ctrl_c().await
}

fn options(flags: flags::Plain) -> plain::Options {
    let name = flags.name.unwrap_or_else(|| "plain-1".into());
    plain::Options {
        announcements: announce::Schedule {
            control: flags.control,
            interval: Duration::from_secs(1),
            seed: standin::output::hash(&name),
        },
        name: name::Target(name),
        partner: name::Partner(flags.partner.unwrap_or_else(|| "association".into())),
        service: name::Service(flags.service.unwrap_or_else(|| "member-portal".into())),
        data_centre: name::DataCentre(flags.data_centre.unwrap_or_else(|| "suva".into())),
        listen: flags.listen.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))),
        announced_address: None,
        delay: Duration::from_millis(flags.delay_ms.unwrap_or_default()),
        behaviour: flags.fate.unwrap_or_default(),
        pauses: Vec::new(),
    }
}
