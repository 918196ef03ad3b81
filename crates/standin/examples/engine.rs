//! Runs a stand-in engine until it is stopped.

use std::time::Duration;

use common::{cancel, name};
use standin::engine;
use wire::target;

mod flags {
    #![allow(missing_docs, reason = "the generated items carry no comments")]

    use std::net::SocketAddr;

    use common::role::Role;

    xflags::xflags! {
        /// Runs a stand-in engine that announces itself to the daemons at the control addresses.
        cmd engine {
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
            /// A model that it can serve.
            repeated --model model: String
            /// Role at the start: prefill, decode or mixed.
            optional --role role: Role
            /// Maximum number of requests that run at once.
            optional --slots slots: u32
            /// Capacity of its prefix cache, in pieces.
            optional --cache-pieces cache_pieces: u32
            /// Execute orders whatever their fencing token.
            optional --unchecked
            /// Delay of load reports, in milliseconds.
            optional --load-lag-ms load_lag_ms: u64
            /// Share of cache events that are lost, in percent.
            optional --event-loss-percent event_loss_percent: u32
            /// Factor on all durations.
            optional --scale scale: f64
        }
    }
}

#[tokio::main]
#[allow(clippy::print_stdout, reason = "tells the caller where it listens")]
async fn main() -> std::io::Result<()> {
    let flags = flags::Engine::from_env_or_exit();
    let engine = engine::Engine::start(options(flags), cancel::Token::new()).await?;
    println!("listening on {}", engine.address());
    tokio::signal::ctrl_c().await
}

fn options(flags: flags::Engine) -> engine::Options {
    let mut options = engine::Options::new(
        flags.name.as_deref().unwrap_or("engine-1"),
        flags.partner.as_deref().unwrap_or("association"),
        flags.service.as_deref().unwrap_or("vent-llm"),
        flags.control,
    );
    options.data_centre = name::DataCentre(flags.data_centre.unwrap_or_else(|| "suva".into()));
    options.listen = flags.listen.unwrap_or(options.listen);
    if !flags.model.is_empty() {
        options.models = flags.model;
    }
    options.role = flags.role.unwrap_or_default();
    options.slots = flags.slots.unwrap_or(options.slots);
    options.cache_pieces = flags.cache_pieces.unwrap_or(options.cache_pieces);
    if flags.unchecked {
        options.fencing = target::Fencing::Unchecked;
    }
    options.reports.load_lag = Duration::from_millis(flags.load_lag_ms.unwrap_or_default());
    options.reports.event_loss_percent = flags.event_loss_percent.unwrap_or_default();
    options.speed.scale = flags.scale.unwrap_or(1.0);
    options.announcements.seed = standin::output::hash(&options.name.0);
    options
}
