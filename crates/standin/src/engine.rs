//! A small engine with continuous batching, a prefix cache, orders and KV transfer, whose output can be checked.

mod batch;
mod cache;
mod call;
mod kv;
mod order;
mod report;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use common::{cancel, clock, name, role::Role};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use tokio::{net::TcpListener, sync::Notify};
use wire::target;

use crate::{announce, http, pause};

/// How an engine is set up.
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
    /// Models that it can serve at the start.
    pub models: Vec<String>,
    /// Role at the start.
    pub role: Role,
    /// Whether it checks fencing tokens.
    pub fencing: target::Fencing,
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// Maximum number of requests that wait; more are refused as full.
    pub max_waiting: u32,
    /// Capacity of its prefix cache, in pieces.
    pub cache_pieces: u32,
    /// How fast it works.
    pub speed: Speed,
    /// Delay and completeness of its reports.
    pub reports: Reports,
    /// Weight store that models are fetched from; without one, a load takes `speed.load`.
    pub weight_store: Option<SocketAddr>,
    /// Whether it stops half way through its first role change, load or unload.
    pub crash_during_change: bool,
    /// Whether it refuses every call as full while it reports free slots.
    pub rejects_all_as_full: bool,
    /// Number of output tokens after which the whole engine stops.
    pub crash_after_tokens: Option<u64>,
    /// Pauses of each response, after which it goes on.
    pub pauses: Vec<pause::Pause>,
    /// How each accepted call fails, if it does.
    pub fault: Option<Fault>,
}

/// How an engine fails the calls that it has accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It responds with status 500.
    Error,
    /// It sends the head of its response and closes the connection.
    BreakOff,
}

/// How fast an engine works.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Prompt tokens computed per second.
    pub prefill_tokens_s: f64,
    /// Duration of a decode step with one stream.
    pub step: Duration,
    /// Duration that each further stream adds to a decode step.
    pub step_stream: Duration,
    /// Duration of a role change or unload.
    pub change: Duration,
    /// Duration of a load without a weight store.
    pub load: Duration,
    /// Rate at which an import fetches KV cache, in tokens per second.
    pub import_tokens_s: f64,
    /// Factor on all durations.
    pub scale: f64,
}

impl Default for Speed {
    fn default() -> Speed {
        Speed {
            prefill_tokens_s: 8_000.0,
            step: Duration::from_millis(20),
            step_stream: Duration::from_micros(500),
            change: Duration::from_secs(4),
            load: Duration::from_secs(8),
            import_tokens_s: 100_000.0,
            scale: 1.0,
        }
    }
}

/// Delay and completeness of an engine's reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reports {
    /// Delay of load reports.
    pub load_lag: Duration,
    /// Number of announcements by which cache events are delayed.
    pub event_lag: u32,
    /// Share of cache events that are lost, in percent.
    pub event_loss_percent: u32,
}

impl Options {
    /// An engine named `name` that listens on a free loopback port and announces itself to `control`.
    pub fn new(name: &str, partner: &str, service: &str, control: Vec<SocketAddr>) -> Options {
        Options {
            name: name::Target::from(name),
            partner: name::Partner::from(partner),
            service: name::Service::from(service),
            data_centre: name::DataCentre::from("local"),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            announced_address: None,
            announcements: announce::Schedule {
                control,
                interval: Duration::from_secs(1),
                seed: 1,
            },
            models: vec![String::from("small")],
            role: Role::Mixed,
            fencing: target::Fencing::Checked,
            slots: 16,
            max_waiting: 16,
            cache_pieces: 64,
            speed: Speed::default(),
            reports: Reports::default(),
            weight_store: None,
            crash_during_change: false,
            rejects_all_as_full: false,
            crash_after_tokens: None,
            pauses: Vec::new(),
            fault: None,
        }
    }
}

/// A running engine.
#[derive(Clone, Debug)]
pub struct Engine {
    address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    options: Options,
    incarnation: u64,
    state: Mutex<State>,
    work: Notify,
    gate: pause::Gate,
    token: cancel::Token,
}

/// The mutable state of an engine.
#[derive(Debug)]
struct State {
    batch: batch::Batch,
    cache: cache::Cache,
    exports: kv::Exports,
    orders: order::Orders,
    role: Role,
    models: Vec<String>,
    phase: target::Phase,
    totals: Totals,
}

/// Counters of an engine since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Prompt tokens computed.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Output tokens generated.
    pub output_tokens: u64,
    /// Calls that were accepted.
    pub accepted: u64,
    /// Calls that were refused before running.
    pub refused: u64,
    /// Calls that were ended before their last token.
    pub interrupted: u64,
    /// Orders that were accepted for the first time.
    pub orders: u64,
}

impl Engine {
    /// Starts an engine on the current runtime; cancelling `token` stops it at once.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when it can't listen.
    pub async fn start(options: Options, token: cancel::Token) -> io::Result<Engine> {
        let listener = TcpListener::bind(options.listen).await?;
        let engine = Engine {
            address: listener.local_addr()?,
            shared: Arc::new(Shared::new(options, token)),
        };
        let (shared, token) = (&engine.shared, &engine.shared.token);
        tokio::spawn(batch::run(Arc::clone(shared)));
        let source = report::Source::new(engine.address, Arc::clone(shared));
        tokio::spawn(announce::run(shared.options.announcements.clone(), source, token.clone()));
        tokio::spawn(http::serve(listener, token.clone(), engine.clone()));
        Ok(engine)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its counters since its start.
    pub fn totals(&self) -> Totals {
        self.shared.lock().totals
    }

    /// The state that it reports to daemons.
    pub fn state(&self) -> target::State {
        self.shared.report_state()
    }

    /// Its current load.
    pub fn load(&self) -> target::Load {
        self.shared.lock().load()
    }

    /// Pauses all its calls and responses for a time; connections stay open and new ones are accepted.
    pub fn pause_for(&self, length: Duration) {
        self.shared.gate.close_for(length);
    }

    /// Stops it at once and drops all its connections.
    pub fn kill(&self) {
        self.shared.token.cancel();
    }

    /// Whether it was killed or has crashed as its options say.
    pub fn is_stopped(&self) -> bool {
        self.shared.token.is_cancelled()
    }
}

impl Shared {
    fn new(options: Options, token: cancel::Token) -> Shared {
        let state = State {
            batch: batch::Batch::default(),
            cache: cache::Cache::new(options.cache_pieces),
            exports: kv::Exports::default(),
            orders: order::Orders::default(),
            role: options.role,
            models: options.models.clone(),
            phase: target::Phase::Ready,
            totals: Totals::default(),
        };
        Shared {
            options,
            incarnation: clock::unix_ms(),
            state: Mutex::new(state),
            work: Notify::new(),
            gate: pause::Gate::default(),
            token,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn scaled(&self, span: Duration) -> Duration {
        span.mul_f64(self.options.speed.scale)
    }

    fn report_state(&self) -> target::State {
        let state = self.lock();
        target::State {
            target: self.options.name.clone(),
            incarnation: self.incarnation,
            role: state.role,
            models: state.models.clone(),
            phase: state.phase,
            running: state.batch.load().running,
            fencing: state.orders.fencing,
            open_order: state.orders.open.clone(),
            last_order: state.orders.last.clone(),
        }
    }
}

impl State {
    fn load(&self) -> target::Load {
        target::Load {
            prompt_tokens: self.totals.prompt_tokens,
            cached_tokens: self.totals.cached_tokens,
            output_tokens: self.totals.output_tokens,
            ..self.batch.load()
        }
    }
}

impl http::Handler for Engine {
    async fn handle(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<http::Body>, http::Error> {
        let shared = &self.shared;
        shared.gate.passed().await;
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/completions") => {
                call::run(shared, request, call::Shape::Text).await
            }
            (&Method::POST, "/v1/chat/completions") => {
                call::run(shared, request, call::Shape::Chat).await
            }
            (&Method::POST, target::CANCEL_PATH) => Ok(call::cancel(shared, &request)),
            (&Method::POST, target::ORDERS_PATH) => order::take(shared, request).await,
            (&Method::GET, target::STATE_PATH) => {
                http::json(StatusCode::OK, &shared.report_state())
            }
            (&Method::POST, target::EXPORT_PATH) => kv::export(shared, request).await,
            (&Method::POST, target::IMPORT_PATH) => kv::import(shared, request).await,
            (&Method::GET, kv::FETCH_PATH) => kv::fetch(shared, &request),
            _ => Ok(http::text(StatusCode::NOT_FOUND, "no such path")),
        }
    }
}
