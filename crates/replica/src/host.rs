//! The replicas of one instance.

use std::{
    hash::{BuildHasher, RandomState},
    io,
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError, atomic::AtomicU64},
    thread::{self, JoinHandle},
    time::Duration,
};

use common::{cancel, clock::Moment, collections::Map, name, ring};
use consensus::{
    effect::{HardState, InitialState},
    entry::{Entry, Snapshot},
    member::Id,
    message::Envelope,
    node::Node,
    options::Options,
    status::Status,
};
use slog::{Logger, info, o};
use store::{entry::Recovery, folder::Disk, log::Log};
use tokio::{runtime, sync::oneshot};
use wire::log::{Outcome, Standing, Wish};

use crate::{
    codec,
    disk::{self, Writer},
    error::{Cause, Error},
    founding::{self, Beginning},
    pending::{Question, Reply},
    state_machine::StateMachine,
    transport::{Peer, Transport},
    worker::{self, Input, Worker},
};

/// Pause before a replica whose disk failed is opened again; a full or broken disk may work again by then.
const REOPEN_PAUSE: Duration = Duration::from_millis(250);

/// How a replica begins when its folder is empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bootstrap {
    /// As one of the first members, together with all peers that keep a replica of the branch.
    Founder,
    /// By joining a log that exists.
    Learner,
}

/// Who adds replicas at places where none stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JoinPolicy {
    /// An operator, in the place of another replica.
    Manual,
    /// The leader, as soon as one asks to be taken in.
    Automatic,
}

/// What a replica needs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The branch.
    pub branch: name::Branch,
    /// The own instance.
    pub instance: name::Instance,
    /// Folder of the replica's files.
    pub folder: PathBuf,
    /// How it begins when the folder is empty.
    pub bootstrap: Bootstrap,
    /// The other instances that keep a replica of the branch.
    pub peers: Vec<Peer>,
    /// Who adds replicas at new places.
    pub join_policy: JoinPolicy,
    /// Timeouts and bounds.
    pub options: Options,
    /// Runs calls to peers.
    pub runtime: runtime::Handle,
    /// Takes log lines.
    pub logger: Logger,
    /// Ends the replica.
    pub end: cancel::Token,
}

/// The replicas of one instance; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Host {
    replicas: Arc<Map<name::Branch, Handle>>,
}

/// A way to one replica's threads.
#[derive(Clone, Debug)]
pub struct Handle {
    inputs: ring::Sender<Input>,
    status: Arc<Mutex<Option<Status>>>,
    standing: Arc<Mutex<Standing>>,
}

/// A replica that was started.
#[derive(Debug)]
pub struct Started {
    /// The way to it.
    pub handle: Handle,
    /// Its threads, which end with the settings' token.
    pub threads: Vec<JoinHandle<()>>,
}

/// Everything between the opening of the folder and the first step.
struct Opening<M> {
    settings: Settings,
    hard: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
    machine: M,
    log: Log<Disk>,
    standing: Arc<Mutex<Standing>>,
}

impl Host {
    /// Makes a host of replicas by branch.
    pub fn new(replicas: Map<name::Branch, Handle>) -> Host {
        Host { replicas: Arc::new(replicas) }
    }

    /// The replica of a branch.
    pub fn replica(&self, branch: &name::Branch) -> Option<&Handle> {
        self.replicas.get(branch)
    }

    /// Branches with a replica here.
    pub fn branches(&self) -> impl Iterator<Item = &name::Branch> {
        self.replicas.keys()
    }
}

impl Handle {
    /// Takes messages from the replica at `from`; they may be dropped.
    pub fn receive(&self, from: name::Instance, envelopes: Vec<Envelope>) {
        let _dropped = self.inputs.send(Input::Messages(from, envelopes));
    }

    /// Puts an encoded command into the log, if this replica leads.
    pub async fn submit(&self, command: Vec<u8>) -> Outcome {
        self.ask(|reply| Input::Submit(command, reply)).await
    }

    /// Answers an encoded question, if this replica leads.
    pub async fn query(&self, query: Vec<u8>) -> Outcome {
        self.ask(|reply| Input::Query(Question { query, reply })).await
    }

    /// Changes the members, if this replica leads.
    pub async fn change_members(&self, wish: Wish) -> Outcome {
        self.ask(|reply| Input::Members(wish, reply)).await
    }

    /// How the replica stands to its log.
    pub fn standing(&self) -> Standing {
        self.standing.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// What the replica shows of itself; nothing before it has begun or after it has stopped.
    pub fn status(&self) -> Option<Status> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn ask(&self, input: impl FnOnce(Reply) -> Input) -> Outcome {
        if matches!(self.standing(), Standing::Waiting(_) | Standing::Absent) {
            return Outcome::NotLeader { leader: None };
        }
        let (reply, outcome) = oneshot::channel();
        match self.inputs.send(input(reply)) {
            Ok(()) => outcome.await.unwrap_or_else(|_| Outcome::Unknown {
                reason: String::from("the replica stopped"),
            }),
            Err(refusal) => Outcome::Refused { reason: refusal.to_string() },
        }
    }
}

/// Opens a replica's folder and starts its threads.
///
/// # Errors
///
/// Returns a [`Error`] when the folder can't be read or was damaged.
pub fn start<M: StateMachine>(settings: Settings, machine: M) -> Result<Started, Error> {
    let branch = settings.branch.clone();
    let logger = settings.logger.new(o!("branch" => settings.branch.0.clone()));
    let settings = Settings { logger, ..settings };
    let fault = |cause| Error { branch: branch.clone(), cause };
    let opening = open(settings.clone(), &machine).map_err(fault)?;
    start_threads(settings, machine, opening).map_err(|cause| fault(Cause::from(cause)))
}

fn open<M: StateMachine>(settings: Settings, empty: &M) -> Result<Opening<M>, Cause> {
    let disk = Disk::open(&settings.folder)?;
    let (mut log, recovery) = Log::open(disk, store::log::Options::default())?;
    let hard = match codec::load_hard(recovery.hard_state.as_deref())? {
        Some(hard) => hard,
        None => draw_identity(&mut log)?,
    };
    let Recovery { snapshot, entries, .. } = recovery;
    let snapshot = snapshot.as_ref().map(codec::load_snapshot).transpose()?;
    let entries = entries.iter().map(codec::load_entry).collect::<Result<Vec<Entry>, _>>()?;
    let machine = match &snapshot {
        Some(snapshot) => empty
            .decode(&snapshot.data)
            .map_err(|fault| Cause::SnapshotFormat(fault.to_string()))?,
        None => empty.clone(),
    };
    let began = snapshot.is_some() || !entries.is_empty();
    let founded = !hard.founders.members().is_empty();
    let standing = match settings.bootstrap {
        _ if founded => Standing::Founded(hard.founders.clone()),
        Bootstrap::Founder if !began => Standing::Waiting(hard.id),
        Bootstrap::Learner if !began => Standing::Learner,
        Bootstrap::Founder | Bootstrap::Learner => Standing::Joined,
    };
    info!(settings.logger, "replica opened"; "id" => %hard.id, "term" => hard.term,
        "entries" => entries.len(), "snapshot" => snapshot.as_ref().map_or(0, |snapshot| snapshot.last.index));
    let standing = Arc::new(Mutex::new(standing));
    Ok(Opening { settings, hard, snapshot, entries, machine, log, standing })
}

/// Starts the thread that runs the replica, and opens it again from its folder after a failure of the disk.
fn start_threads<M: StateMachine>(
    settings: Settings,
    empty: M,
    opening: Opening<M>,
) -> io::Result<Started> {
    let (inputs, receiver) = ring::bounded(worker::RING_INPUTS);
    let status = Arc::new(Mutex::new(None));
    let standing = Arc::new(Mutex::new(opening.lock_standing().clone()));
    let handle = Handle {
        inputs: inputs.clone(),
        status: Arc::clone(&status),
        standing: Arc::clone(&standing),
    };
    let name = format!("log-{}", settings.branch);
    let run = move || {
        let mut opening = Some(Opening { standing: Arc::clone(&standing), ..opening });
        while !settings.end.is_cancelled() {
            if let Some(opening) = opening.take() {
                opening.run(inputs.clone(), receiver.clone(), Arc::clone(&status));
            }
            if settings.end.is_cancelled() {
                return;
            }
            thread::sleep(REOPEN_PAUSE);
            match open(settings.clone(), &empty) {
                Ok(again) => {
                    let stands = again.lock_standing().clone();
                    *standing.lock().unwrap_or_else(PoisonError::into_inner) = stands;
                    opening = Some(Opening { standing: Arc::clone(&standing), ..again });
                }
                Err(cause) => {
                    slog::warn!(settings.logger, "replica not reopened"; "cause" => %cause);
                }
            }
        }
    };
    let thread = thread::Builder::new().name(name).spawn(run)?;
    Ok(Started { handle, threads: vec![thread] })
}

/// Gives an empty folder an identity that no replica had before.
fn draw_identity(log: &mut Log<Disk>) -> Result<HardState, Cause> {
    let id = Id(RandomState::new().hash_one(common::clock::unix_ns()));
    let hard = HardState { id, ..HardState::default() };
    log.set_hard_state(&codec::encode(&hard));
    log.sync()?;
    Ok(hard)
}

impl<M: StateMachine> Opening<M> {
    fn run(
        mut self,
        inputs: ring::Sender<Input>,
        receiver: ring::Receiver<Input>,
        status: Arc<Mutex<Option<Status>>>,
    ) {
        if !self.begin() {
            return;
        }
        let settings = self.settings;
        let transport = Transport::start(&settings);
        let (jobs, queue) = ring::bounded(disk::RING_JOBS);
        let synced = Arc::new(AtomicU64::new(0));
        let writer = Writer {
            log: self.log,
            jobs: queue,
            transport: transport.clone(),
            synced: Arc::clone(&synced),
            inputs,
            logger: settings.logger.clone(),
        };
        let snapshot = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.last.index);
        let id = self.hard.id;
        let initial = InitialState {
            hard: self.hard,
            snapshot: self.snapshot,
            entries: self.entries,
            seed: common::clock::unix_ns(),
            now: Moment::now(),
        };
        let worker = Worker {
            instance: settings.instance.clone(),
            node: Node::new(initial, settings.options),
            options: settings.options,
            join_policy: settings.join_policy,
            machine: self.machine,
            applied: snapshot,
            inputs: receiver,
            jobs,
            synced,
            transport,
            status: Arc::clone(&status),
            logger: settings.logger.clone(),
            end: settings.end.clone(),
            state: worker::State::at_snapshot(snapshot),
        };
        settings.runtime.spawn(founding::join(settings.clone(), id, status));
        let writing = thread::Builder::new()
            .name(format!("disk-{}", settings.branch))
            .spawn(move || writer.run());
        match writing {
            Ok(writing) => {
                worker.run();
                writing.join().expect("invariant: the disk's thread ends without a panic");
            }
            Err(cause) => slog::error!(settings.logger, "replica stopped"; "cause" => %cause),
        }
    }

    /// Finds the first members if there is no state yet; returns whether to go on.
    fn begin(&mut self) -> bool {
        let waiting = matches!(*self.lock_standing(), Standing::Waiting(_));
        if !waiting {
            return true;
        }
        let settings = &self.settings;
        let own = founding::founder(self.hard.id, &settings.instance);
        let begin = founding::begin(&settings.branch, &own, &settings.peers, &settings.end);
        let standing = match settings.runtime.block_on(begin) {
            None => return false,
            Some(Beginning::Learner) => Standing::Joined,
            Some(Beginning::Founder(config)) => {
                self.hard.founders = config.clone();
                self.log.set_hard_state(&codec::encode(&self.hard));
                if let Err(fault) = self.log.sync() {
                    slog::error!(settings.logger, "replica stopped"; "cause" => %fault);
                    return false;
                }
                Standing::Founded(config)
            }
        };
        info!(self.settings.logger, "replica begins"; "standing" => %standing);
        *self.lock_standing() = standing;
        true
    }

    fn lock_standing(&self) -> std::sync::MutexGuard<'_, Standing> {
        self.standing.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
