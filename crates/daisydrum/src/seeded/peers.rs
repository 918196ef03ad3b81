//! The peers' listener of a seeded instance.

use std::sync::{Arc, Mutex, PoisonError};

use common::{
    clock::{self, Moment},
    name,
};
use fleet::{
    exchange::{self, Answer, Question},
    warmup,
};
use gateway::{ends, relay::server, state::Gateway};
use memory::{budget::Connection, frames};
use placement::continuity::lifetime;
use replica::host::Handle;
use slog::{debug, info};
use tarpc::server::Channel;
use tokio::net::TcpStream;
use wire::peer::{self, Peer};

use crate::{
    component::peers::{self, Handler, Server},
    error::Error,
    seeded::{
        context::Context,
        control::Control,
        departures::Departures,
        directory::Directory,
        entry::{Entry, bind, spawn},
        ledger::Ledger,
        origins,
        replicas::{BRANCH, Replicas},
        standings::Standings,
        usage::keeper::Keeper,
    },
};

/// The components that handle peers' calls on a seeded instance, which keeps no branches' logs, at most the log of the
/// fleet's configuration.
#[derive(Clone)]
struct Components {
    context: Context,
    directory: Directory,
    replicas: Option<Replicas>,
    gateway: Option<Arc<Gateway>>,
    /// Where a control instance keeps the origins of streams.
    ledger: Option<Ledger>,
    departures: Option<Departures>,
    standings: Option<Standings>,
    /// Where a control instance keeps usage.
    usage: Option<Keeper>,
    /// Limits how often the large list of the engines' cached parts is sent.
    throttle: Arc<Mutex<warmup::Throttle>>,
}

impl Components {
    /// Answers what is known of a stream's origin after `change`.
    fn origin(&self, stream: &str, change: impl FnOnce(&Gateway)) -> Answer {
        let Some(gateway) = &self.gateway else {
            return Answer::Refused;
        };
        change(gateway);
        origins::own_answer(gateway, stream)
    }

    fn suspicions(&self) -> Answer {
        let gateway = self.gateway.as_ref().filter(|gateway| gateway.quarantine.is_known());
        let seen = gateway.map(|gateway| gateway.quarantine.notices());
        let kept = self.standings.as_ref().map(Standings::notices);
        if seen.is_none() && kept.is_none() {
            return Answer::Refused;
        }
        Answer::Suspicions([seen, kept].into_iter().flatten().flatten().collect())
    }

    fn usage(&self, question: &Question) -> Answer {
        match (&self.usage, question) {
            (Some(keeper), Question::KeepUsage(report)) => keeper.keep(report),
            (Some(keeper), Question::Usage(windows)) => Answer::Usage(keeper.collection(windows)),
            (Some(_), Question::Time) => Answer::Time { unix_ms: clock::unix_ms() },
            _ => Answer::Refused,
        }
    }

    fn holdings(&self) -> Answer {
        let Some(gateway) = self.gateway.as_ref().filter(|other| other.are_holdings_known()) else {
            return Answer::Refused;
        };
        let mut throttle = self.throttle.lock().unwrap_or_else(PoisonError::into_inner);
        if throttle.try_acquire(Moment::now()) {
            Answer::Holdings(gateway.balancer().holdings())
        } else {
            Answer::Later
        }
    }
}

impl Handler for Components {
    fn identity(&self) -> peer::Identity {
        peer::Identity {
            version: peer::VERSION,
            instance: self.context.identity.instance.clone(),
            data_centre: self.context.identity.data_centre.clone(),
        }
    }

    fn replica(&self, branch: &name::Branch) -> Option<&Handle> {
        self.replicas.as_ref().filter(|_| branch.0 == BRANCH)?.handle()
    }

    async fn exchange(&self, question: Vec<u8>) -> Vec<u8> {
        let answer = match exchange::decode_question(&question) {
            Some(Question::Holdings) => self.holdings(),
            Some(Question::Suspicions) => self.suspicions(),
            Some(Question::RecordOrigin { stream, origin, lifetime_ms }) => {
                let until = Moment::now() + lifetime::recorded(lifetime_ms);
                self.origin(&stream, |gateway| gateway.origins.keep(&stream, origin, until))
            }
            Some(Question::Origin { stream }) => self.origin(&stream, |_| {}),
            Some(Question::Access(process)) => match &self.gateway {
                Some(gateway) => Answer::Access(ends::probe(gateway, &process).await),
                None => Answer::Refused,
            },
            Some(Question::KeepOrigins(beginnings)) => match &self.ledger {
                Some(ledger) => ledger.keep(beginnings).await,
                None => Answer::Refused,
            },
            Some(Question::KeepDepartures(departures)) => match (&self.departures, &self.ledger) {
                (Some(component), Some(ledger)) => component.keep(departures, ledger).await,
                _ => Answer::Refused,
            },
            Some(Question::KeepStandings(records)) => match &self.standings {
                Some(standings) => standings.keep(records).await,
                None => Answer::Refused,
            },
            Some(question @ (Question::KeepUsage(_) | Question::Usage(_) | Question::Time)) => {
                self.usage(&question)
            }
            Some(question) => self.directory.answer(question).await,
            None => Answer::Refused,
        };
        exchange::encode_answer(&answer)
    }
}

/// Starts the peers' listener.
///
/// # Errors
///
/// Returns an [`enum@Error`] when the address can't be listened on.
pub(crate) async fn start(
    context: &Context,
    directory: &Directory,
    entry: Option<&Entry>,
    control: Option<&Control>,
) -> Result<(), Error> {
    let socket = bind(context.settings.peers_listen, "other instances").await?;
    let components = Components {
        context: context.clone(),
        directory: directory.clone(),
        replicas: control.map(|control| control.replicas.clone()),
        gateway: entry.map(|entry| Arc::clone(&entry.gateway)),
        ledger: control.map(|control| control.ledger.clone()),
        departures: control.map(|control| control.departures.clone()),
        standings: control.map(|control| control.standings.clone()),
        usage: control.and_then(|control| control.usage.clone()),
        throttle: Arc::default(),
    };
    let serve = move |stream| serve(components.clone(), stream);
    spawn(context, peers::accept(socket, serve, context.end.clone()));
    Ok(())
}

/// Serves a connection: the calls of another instance, or the requests that it passes on.
async fn serve(components: Components, stream: TcpStream) {
    let (memory, log) = (components.context.memory.clone(), components.context.log.clone());
    // Dropping the stream closes it.
    let Some(accepted) = memory.connect("peers", memory.machine().peer_connections()) else {
        return;
    };
    tokio::select! {
        () = serve_accepted(components, stream, &accepted) => {}
        () = accepted.closed() => {
            info!(log, "connection_shed"; "listener" => "peers", "bytes" => accepted.sheddable());
        }
    }
}

async fn serve_accepted(components: Components, stream: TcpStream, accepted: &Connection) {
    if let Some(gateway) = &components.gateway {
        match server::is_relay(&stream).await {
            Ok(false) => {}
            Ok(true) => {
                let stop = components.context.stop.clone();
                return server::serve(stream, accepted, Arc::clone(gateway), stop).await;
            }
            Err(error) => {
                debug!(components.context.log, "peer_connection_failed"; "error" => %error);
                return;
            }
        }
    }
    let stream = frames::Stream::new(stream, accepted.clone(), frames::Kept::UntilRead, 0);
    peers::execute(peers::channel(stream).execute(Server(components).serve())).await;
}
