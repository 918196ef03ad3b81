//! A small plain service that counts how often a call with each idempotency key ran.
//!
//! It responds on every path with the request's own body; [`COUNTS_PATH`] returns the counts.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use common::{cancel, name, role::Role};
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Request, Response, StatusCode,
    body::{Bytes, Frame, Incoming},
};
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, time};
use wire::target;

use crate::{announce, http, pause};

/// Header with the idempotency key of a call that may not be repeated.
pub const KEY_HEADER: &str = "idempotency-key";
/// Path that returns the [`Counts`] (`GET`).
pub const COUNTS_PATH: &str = "/control/counts";

/// How a plain service is set up.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the target.
    pub name: name::Target,
    /// Partner that owns it.
    pub partner: name::Partner,
    /// Service it runs for.
    pub service: name::Service,
    /// Data centre that it is in.
    pub data_centre: name::DataCentre,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Address that it announces instead of its own, for a proxy in front of it.
    pub announced_address: Option<SocketAddr>,
    /// Where and how often it announces itself.
    pub announcements: announce::Schedule,
    /// Time that a call takes to run.
    pub delay: Duration,
    /// What happens once a call has run.
    pub behaviour: Behaviour,
    /// Pauses of each response, after which it goes on; with one at [`pause::Point::End`] the length of the response is
    /// not announced.
    pub pauses: Vec<pause::Pause>,
}

impl Options {
    /// A plain service that listens on a free loopback port and responds at once.
    pub fn new(
        name: &str,
        partner: &str,
        service: &str,
        data_centre: &str,
        control: Vec<SocketAddr>,
    ) -> Options {
        Options {
            name: name::Target::from(name),
            partner: name::Partner::from(partner),
            service: name::Service::from(service),
            data_centre: name::DataCentre::from(data_centre),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            announced_address: None,
            announcements: announce::Schedule {
                control,
                interval: Duration::from_secs(1),
                seed: 1,
            },
            delay: Duration::ZERO,
            behaviour: Behaviour::Answer,
            pauses: Vec::new(),
        }
    }
}

/// What happens once a call has run.
#[derive(Clone, Copy, Debug, Default, derive_more::FromStr, PartialEq, Eq)]
pub enum Behaviour {
    /// The response is sent.
    #[default]
    Answer,
    /// The connection is dropped without a response.
    Drop,
    /// The whole service stops without a response.
    Die,
}

/// How often calls ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Runs of calls with a key, by key.
    pub keys: BTreeMap<String, u64>,
    /// Runs of calls without a key.
    pub others: u64,
}

/// A running plain service.
#[derive(Clone, Debug)]
pub struct Service {
    address: SocketAddr,
    options: Arc<Options>,
    counts: Arc<Mutex<Counts>>,
    running: Arc<AtomicU64>,
    gate: Arc<pause::Gate>,
    token: cancel::Token,
}

impl Service {
    /// Starts a plain service on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when it can't listen.
    pub async fn start(options: Options, token: cancel::Token) -> io::Result<Service> {
        let listener = TcpListener::bind(options.listen).await?;
        let plain = Service {
            address: listener.local_addr()?,
            options: Arc::new(options),
            counts: Arc::default(),
            running: Arc::default(),
            gate: Arc::default(),
            token: token.clone(),
        };
        let source =
            Source { plain: plain.clone(), sequence: 0, incarnation: common::clock::unix_ms() };
        tokio::spawn(announce::run(plain.options.announcements.clone(), source, token.clone()));
        tokio::spawn(http::serve(listener, token, plain.clone()));
        Ok(plain)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How often each key ran so far.
    pub fn counts(&self) -> Counts {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Pauses all its calls for a time; connections stay open and new ones are accepted.
    pub fn pause_for(&self, length: Duration) {
        self.gate.close_for(length);
    }

    /// Sends the body in two parts with the pauses before the end between them, or at once if there are none.
    fn respond(&self, body: Bytes) -> Response<http::Body> {
        let pauses = self.options.pauses.clone();
        if !pauses.iter().any(|pause| pause.point == pause::Point::End) {
            return http::text(StatusCode::OK, body);
        }
        let (first, last) = (body.slice(..body.len() / 2), body.slice(body.len() / 2..));
        let last = async move {
            pause::at(pause::Point::End, &pauses).await;
            last
        };
        let first = stream::once(std::future::ready(first));
        let parts = first.chain(stream::once(last)).map(|part| Ok(Frame::data(part)));
        Response::new(StreamBody::new(parts).boxed_unsync())
    }

    /// Stops it at once and drops all its connections.
    pub fn kill(&self) {
        self.token.cancel();
    }

    fn count(&self, key: Option<String>) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        match key {
            Some(key) => *counts.keys.entry(key).or_default() += 1,
            None => counts.others += 1,
        }
    }
}

impl http::Handler for Service {
    async fn handle(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<http::Body>, http::Error> {
        if request.uri().path() == COUNTS_PATH {
            return http::json(StatusCode::OK, &self.counts());
        }
        let key = request.headers().get(KEY_HEADER).and_then(|value| value.to_str().ok());
        let key = key.map(String::from);
        self.running.fetch_add(1, Ordering::Relaxed);
        let body = request.into_body().collect().await?.to_bytes();
        self.count(key);
        time::sleep(self.options.delay).await;
        pause::at(pause::Point::Head, &self.options.pauses).await;
        self.gate.passed().await;
        self.running.fetch_sub(1, Ordering::Relaxed);
        match self.options.behaviour {
            Behaviour::Answer => Ok(self.respond(body)),
            Behaviour::Drop => Err(http::Error::Timeout),
            Behaviour::Die => {
                self.kill();
                Err(http::Error::Timeout)
            }
        }
    }
}

struct Source {
    plain: Service,
    sequence: u64,
    incarnation: u64,
}

impl announce::Source for Source {
    fn announcement(&mut self) -> target::Announcement {
        self.sequence += 1;
        let options = &self.plain.options;
        let running = u32::try_from(self.plain.running.load(Ordering::Relaxed)).unwrap_or(u32::MAX);
        target::Announcement {
            target: options.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            address: options.announced_address.unwrap_or(self.plain.address),
            kind: target::Kind::Plain,
            partner: options.partner.clone(),
            service: options.service.clone(),
            data_centre: options.data_centre.clone(),
            models: Vec::new(),
            role: Role::Mixed,
            fencing: target::Fencing::Unchecked,
            cache_pieces: 0,
            slots: 64,
            lease_ms: 3_000,
            phase: target::Phase::Ready,
            load: target::Load { running, ..target::Load::default() },
            cache_events: Vec::new(),
        }
    }
}
