//! A log in memory, stand-in engines on loopback sockets, and executors that use both.

#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::Duration,
};

use common::{cancel, clock::Moment, name, role::Role};
use orders::{
    authority::{Authority, Error, Opening},
    executor::{self, Handle, Options},
    intent::{Ending, Intent, Proposal, Record, Settled},
    inventory::{self, Inventory},
    limiter::Limits,
};
use slog::{Discard, Logger, o};
use standin::engine::{self, Engine};
use tokio::runtime::Runtime;
use wire::target::{Action, Fencing};

const TERM: Duration = Duration::from_millis(900);
const LEASE_MARGIN: Duration = Duration::from_millis(300);
const POLL: Duration = Duration::from_millis(20);
const GONE_AFTER: Duration = Duration::from_millis(400);
const WAIT_LIMIT: Duration = Duration::from_secs(60);
const WAIT_STEP: Duration = Duration::from_millis(10);

/// A change of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Granted(u64),
    Opened(Intent),
    Settled(Intent, Ending),
}

/// The log that all clients share.
#[derive(Clone, Debug, Default)]
pub struct Log(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    index: u64,
    holder: Option<Holder>,
    records: BTreeMap<name::Target, Record>,
    events: Vec<Event>,
    drains: Vec<name::Target>,
}

#[derive(Debug)]
struct Holder {
    session: u64,
    fencing: u64,
    expires_at: Moment,
}

/// The access of one process to the log, which can be disconnected.
#[derive(Clone, Debug)]
pub struct Client {
    log: Log,
    session: u64,
    disconnected: cancel::Token,
    /// How long the log takes for each call.
    latency: Duration,
}

impl Log {
    pub fn client(&self, session: u64) -> Client {
        self.slow_client(session, Duration::ZERO)
    }

    /// A client whose calls each take `latency`.
    pub fn slow_client(&self, session: u64, latency: Duration) -> Client {
        Client { log: self.clone(), session, disconnected: cancel::Token::new(), latency }
    }

    pub fn events(&self) -> Vec<Event> {
        self.lock().events.clone()
    }

    pub fn endings(&self) -> Vec<(Action, Ending)> {
        let of = |event| match event {
            Event::Settled(intent, ending) => Some((intent.action, ending)),
            _ => None,
        };
        self.events().into_iter().filter_map(of).collect()
    }

    pub fn set_drains(&self, targets: &[&str]) {
        self.lock().drains = targets.iter().map(|name| name::Target::from(*name)).collect();
    }

    pub fn is_free(&self) -> bool {
        self.lock().holder.is_none()
    }

    /// Fails if an intent was opened for a target that had an open one.
    pub fn assert_one_open_intent_per_target(&self) {
        let mut open: BTreeMap<name::Target, String> = BTreeMap::new();
        for event in self.events() {
            match event {
                Event::Granted(_) => {}
                Event::Opened(intent) => {
                    assert_eq!(open.insert(intent.target, intent.id), None);
                }
                Event::Settled(intent, _) => {
                    assert_eq!(open.remove(&intent.target), Some(intent.id));
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }
}

impl Client {
    pub fn disconnect(&self) {
        self.disconnected.cancel();
    }

    fn held(&self, fencing: u64) -> Result<MutexGuard<'_, State>, Error> {
        let state = self.connected()?;
        let held = state
            .holder
            .as_ref()
            .is_some_and(|holder| holder.session == self.session && holder.fencing == fencing);
        if held { Ok(state) } else { Err(Error::Lost) }
    }

    fn connected(&self) -> Result<MutexGuard<'_, State>, Error> {
        thread::sleep(self.latency);
        if self.disconnected.is_cancelled() { Err(Error::Unreachable) } else { Ok(self.log.lock()) }
    }
}

impl Authority for Client {
    fn grant(&mut self, term: Duration) -> Result<u64, Error> {
        let mut state = self.connected()?;
        let now = Moment::now();
        if let Some(holder) = &state.holder
            && holder.session != self.session
            && now < holder.expires_at
        {
            return Err(Error::Held { wait: holder.expires_at.since(now) });
        }
        state.index += 1;
        let fencing = state.index;
        let expires_at = now + term + LEASE_MARGIN;
        state.holder = Some(Holder { session: self.session, fencing, expires_at });
        state.events.push(Event::Granted(fencing));
        Ok(fencing)
    }

    fn renew(&mut self, fencing: u64) -> Result<(), Error> {
        let mut state = self.held(fencing)?;
        if let Some(holder) = &mut state.holder {
            holder.expires_at = Moment::now() + TERM + LEASE_MARGIN;
        }
        Ok(())
    }

    fn release(&mut self, fencing: u64) -> Result<(), Error> {
        self.held(fencing)?.holder = None;
        Ok(())
    }

    fn records(&mut self) -> Result<Vec<Record>, Error> {
        Ok(self.connected()?.records.values().cloned().collect())
    }

    fn drains(&mut self) -> Result<Vec<name::Target>, Error> {
        Ok(self.connected()?.drains.clone())
    }

    fn open(&mut self, fencing: u64, intent: &Intent) -> Result<Opening, Error> {
        let mut state = self.held(fencing)?;
        state.index += 1;
        let target = intent.target.clone();
        let record = state.records.entry(target.clone()).or_insert(Record {
            target,
            open: None,
            last: None,
        });
        if let Some(open) = record.open.clone() {
            return Ok(if open.id == intent.id { Opening::Opened } else { Opening::Busy(open) });
        }
        record.open = Some(intent.clone());
        state.events.push(Event::Opened(intent.clone()));
        Ok(Opening::Opened)
    }

    fn settle(&mut self, fencing: u64, intent: &Intent, ending: Ending) -> Result<(), Error> {
        let mut state = self.held(fencing)?;
        let record = state.records.get_mut(&intent.target).unwrap();
        if record.open.take_if(|open| open.id == intent.id).is_some() {
            record.last = Some(Settled { intent: intent.clone(), ending });
            state.events.push(Event::Settled(intent.clone(), ending));
        }
        Ok(())
    }
}

/// The announced engines, and the limits on loads.
#[derive(Clone, Debug)]
pub struct Engines {
    engines: Arc<Mutex<Vec<inventory::Engine>>>,
    loads: Limits,
}

impl Inventory for Engines {
    fn engines(&self) -> Vec<inventory::Engine> {
        self.engines.lock().unwrap().clone()
    }

    fn load_limits(&self) -> Limits {
        self.loads
    }
}

/// A data centre with its log and its engines.
pub struct Fixture {
    pub runtime: Runtime,
    pub log: Log,
    pub inventory: Engines,
    pub drain_limit: Duration,
}

impl Fixture {
    pub fn new() -> Fixture {
        let loads = Limits { at_once: 2, per_minute: 60_000 };
        Fixture {
            runtime: Runtime::new().unwrap(),
            log: Log::default(),
            inventory: Engines { engines: Arc::default(), loads },
            drain_limit: Duration::from_secs(30),
        }
    }

    /// Starts an engine that runs ten times as fast as by default; `set` changes its options.
    pub fn engine(&self, name: &str, set: impl FnOnce(&mut engine::Options)) -> Engine {
        let mut options = engine::Options::new(name, "partner", "model", Vec::new());
        options.speed.scale = 0.1;
        set(&mut options);
        let fencing = options.fencing;
        let engine = self.runtime.block_on(Engine::start(options, cancel::Token::new())).unwrap();
        self.announce(&engine, fencing);
        engine
    }

    pub fn announce(&self, engine: &Engine, fencing: Fencing) {
        let state = engine.state();
        let mut engines = self.inventory.engines.lock().unwrap();
        engines.retain(|other| other.name != state.target);
        engines.push(inventory::Engine {
            name: state.target,
            address: engine.address(),
            incarnation: state.incarnation,
            fencing,
            drain_limit: self.drain_limit,
        });
    }

    pub fn withdraw(&self, name: &str) {
        self.inventory.engines.lock().unwrap().retain(|engine| engine.name.0 != name);
    }

    /// Starts an executor that uses `client`.
    pub fn executor(&self, client: &Client) -> (Handle, cancel::Token) {
        let options = Options {
            data_centre: name::DataCentre::from("local"),
            term: TERM,
            poll_interval: POLL,
            gone_after: GONE_AFTER,
        };
        let token = cancel::Token::new();
        let log = Logger::root(Discard, o!());
        let handle =
            executor::start(options, client.clone(), self.inventory.clone(), token.clone(), log)
                .unwrap();
        (handle, token)
    }
}

pub fn proposal(target: &str, action: Action) -> Proposal {
    Proposal { target: name::Target::from(target), action, reason: String::from("test") }
}

pub fn role(role: Role) -> Action {
    Action::Role { role }
}

/// Waits until `condition` holds; `what` names it in the failure.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Moment::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Moment::now() < end, "not reached within {WAIT_LIMIT:?}: {what}");
        thread::sleep(WAIT_STEP);
    }
}
