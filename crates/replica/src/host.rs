//! Starts the replicas of an instance and gives access to them.

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
    reconfiguration::Removal,
    status::Status,
};
use slog::{Logger, info, o};
use store::{entry::Recovery, folder::Disk, log::Log};
use tokio::{
    runtime,
    sync::{oneshot, watch},
};
use wire::log::{Change, Outcome, State};

use crate::{
    bootstrap::{self, Decision},
    codec,
    disk::{self, Writer},
    error::{Cause, Error},
    pending::{Query, Responder},
    state_machine::StateMachine,
    transport::{Peer, Transport},
    worker::{self, Input, Worker},
};

/// Pause before a replica whose disk failed is opened again, since a full or failing disk may recover.
const REOPEN_PAUSE: Duration = Duration::from_millis(250);

/// How a replica starts when its folder is empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bootstrap {
    /// As a founder of a new log, together with all peers that keep a replica of the branch.
    Founder,
    /// As a learner that joins an existing log.
    Learner,
}

/// Who adds replicas on instances without one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JoinPolicy {
    /// An operator, as the replacement of another replica.
    Manual,
    /// The leader, as soon as a replica asks to join. It also removes members that don't reply.
    Automatic(Removal),
}

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The branch whose log is replicated.
    pub branch: name::Branch,
    /// The instance on which the replica runs.
    pub instance: name::Instance,
    /// The folder with the replica's files.
    pub folder: PathBuf,
    /// How the replica starts when the folder is empty.
    pub bootstrap: Bootstrap,
    /// The other instances that keep a replica of the branch.
    pub peers: Vec<Peer>,
    /// Further instances, named by their addresses, that may keep a replica of the branch.
    pub contacts: watch::Receiver<Vec<name::Instance>>,
    /// Who adds replicas on instances without one.
    pub join_policy: JoinPolicy,
    /// Timeouts and limits of the consensus node.
    pub options: Options,
    /// Runtime of the calls to peers.
    pub runtime: runtime::Handle,
    /// Receives the log lines.
    pub logger: Logger,
    /// Cancelled when the instance is about to stop: the replica no longer asks to join.
    pub stop: cancel::Token,
    /// Ends the replica when cancelled.
    pub end: cancel::Token,
}

/// The replicas that an instance hosts, by branch. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Host {
    replicas: Arc<Map<name::Branch, Handle>>,
}

/// Handle to the threads of a replica.
#[derive(Clone, Debug)]
pub struct Handle {
    inputs: ring::Sender<Input>,
    status: Arc<Mutex<Option<Status>>>,
    standing: Arc<Mutex<State>>,
}

/// A started replica.
#[derive(Debug)]
pub struct Started {
    /// Handle to the replica.
    pub handle: Handle,
    /// Its threads. They end when [`Settings::end`] is cancelled.
    pub threads: Vec<JoinHandle<()>>,
}

/// A replica whose folder is open and whose threads have not been started.
struct Opened<M> {
    settings: Settings,
    hard: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
    machine: M,
    log: Log<Disk>,
    standing: Arc<Mutex<State>>,
}

impl Host {
    /// Creates a host of these replicas.
    pub fn new(replicas: Map<name::Branch, Handle>) -> Host {
        Host { replicas: Arc::new(replicas) }
    }

    /// The replica of a branch, if this instance hosts one.
    pub fn replica(&self, branch: &name::Branch) -> Option<&Handle> {
        self.replicas.get(branch)
    }

    /// Branches of which this instance hosts a replica.
    pub fn branches(&self) -> impl Iterator<Item = &name::Branch> {
        self.replicas.keys()
    }
}

impl Handle {
    /// Receives messages from the replica on instance `from`. They are dropped when the queue is full.
    pub fn receive(&self, from: name::Instance, envelopes: Vec<Envelope>) {
        let _dropped = self.inputs.send(Input::Messages(from, envelopes));
    }

    /// Appends an encoded command to the log if this replica leads, and waits for its outcome.
    pub async fn submit(&self, command: Vec<u8>) -> Outcome {
        self.call(|responder| Input::Submit(command, responder)).await
    }

    /// Answers an encoded query if this replica leads.
    pub async fn query(&self, payload: Vec<u8>) -> Outcome {
        self.call(|responder| Input::Query(Query { payload, responder })).await
    }

    /// Starts a membership change if this replica leads, and waits until the change is committed.
    pub async fn change_members(&self, change: Change) -> Outcome {
        self.call(|responder| Input::Members(change, responder)).await
    }

    /// Whether and how the replica belongs to its log.
    pub fn standing(&self) -> State {
        self.standing.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// State of the replica's consensus node; none while it isn't running.
    pub fn status(&self) -> Option<Status> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn call(&self, input: impl FnOnce(Responder) -> Input) -> Outcome {
        if matches!(self.standing(), State::Waiting(_) | State::Absent) {
            return Outcome::NotLeader { leader: None };
        }
        let (responder, outcome) = oneshot::channel();
        match self.inputs.send(input(responder)) {
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
/// Returns an [`struct@Error`] when the folder can't be opened or is corrupt, or a thread can't be started.
pub fn start<M: StateMachine>(settings: Settings, machine: M) -> Result<Started, Error> {
    let branch = settings.branch.clone();
    let logger = settings.logger.new(o!("branch" => settings.branch.0.clone()));
    let settings = Settings { logger, ..settings };
    let error = |cause| Error { branch: branch.clone(), cause };
    let opened = open(settings.clone(), &machine).map_err(error)?;
    start_threads(settings, machine, opened).map_err(|cause| error(Cause::from(cause)))
}

fn open<M: StateMachine>(settings: Settings, initial: &M) -> Result<Opened<M>, Cause> {
    let disk = Disk::open(&settings.folder)?;
    let (mut log, recovery) = Log::open(disk, store::log::Options::default())?;
    let hard = match codec::load_hard_state(recovery.hard_state.as_deref())? {
        Some(hard) => hard,
        None => create_identity(&mut log)?,
    };
    let Recovery { snapshot, entries, .. } = recovery;
    let snapshot = snapshot.as_ref().map(codec::load_snapshot).transpose()?;
    // Frees each stored entry as soon as it is decoded: a log may take much of the memory.
    let entries = entries.into_iter().map(|entry| codec::load_entry(&entry));
    let entries = entries.collect::<Result<Vec<Entry>, _>>()?;
    let machine = match &snapshot {
        Some(snapshot) => initial
            .decode(&snapshot.data)
            .map_err(|error| Cause::SnapshotFormat(error.to_string()))?,
        None => initial.clone(),
    };
    let has_state = snapshot.is_some() || !entries.is_empty();
    let founded = !hard.founders.members().is_empty();
    let standing = match settings.bootstrap {
        _ if founded => State::Founded(hard.founders.clone()),
        Bootstrap::Founder if !has_state => State::Waiting(hard.id),
        Bootstrap::Learner if !has_state => State::Learner,
        Bootstrap::Founder | Bootstrap::Learner => State::Joined,
    };
    info!(settings.logger, "replica opened"; "id" => %hard.id, "term" => hard.term,
        "entries" => entries.len(), "snapshot" => snapshot.as_ref().map_or(0, |snapshot| snapshot.last.index));
    let standing = Arc::new(Mutex::new(standing));
    Ok(Opened { settings, hard, snapshot, entries, machine, log, standing })
}

/// Starts the thread that runs the replica. After a failure it opens the replica again from its folder.
fn start_threads<M: StateMachine>(
    settings: Settings,
    initial: M,
    opened: Opened<M>,
) -> io::Result<Started> {
    let (inputs, receiver) = ring::bounded(worker::RING_INPUTS);
    let status = Arc::new(Mutex::new(None));
    let standing = Arc::new(Mutex::new(opened.lock_standing().clone()));
    let handle = Handle {
        inputs: inputs.clone(),
        status: Arc::clone(&status),
        standing: Arc::clone(&standing),
    };
    let name = format!("log-{}", settings.branch);
    let run = move || {
        let mut opened = Some(Opened { standing: Arc::clone(&standing), ..opened });
        while !settings.end.is_cancelled() {
            if let Some(opened) = opened.take() {
                opened.run(inputs.clone(), receiver.clone(), Arc::clone(&status));
            }
            if settings.end.is_cancelled() {
                return;
            }
            thread::sleep(REOPEN_PAUSE);
            match open(settings.clone(), &initial) {
                Ok(reopened) => {
                    let current = reopened.lock_standing().clone();
                    *standing.lock().unwrap_or_else(PoisonError::into_inner) = current;
                    opened = Some(Opened { standing: Arc::clone(&standing), ..reopened });
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

/// Stores a new random identity in an empty folder.
fn create_identity(log: &mut Log<Disk>) -> Result<HardState, Cause> {
    let id = Id(RandomState::new().hash_one(common::clock::unix_ns()));
    let hard = HardState { id, ..HardState::default() };
    log.set_hard_state(&codec::encode(&hard));
    log.sync()?;
    Ok(hard)
}

impl<M: StateMachine> Opened<M> {
    fn run(
        mut self,
        inputs: ring::Sender<Input>,
        receiver: ring::Receiver<Input>,
        status: Arc<Mutex<Option<Status>>>,
    ) {
        if !self.agree_on_members() {
            return;
        }
        let settings = self.settings;
        let transport = Transport::start(&settings);
        let (jobs, queue) = ring::bounded(disk::RING_JOBS);
        let disk_ended = cancel::Token::new();
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
            disk_ended: disk_ended.clone(),
            state: worker::State::at_snapshot(snapshot),
        };
        let joining = settings.end.child_token();
        let _joined = joining.clone().drop_guard();
        let join = bootstrap::join(settings.clone(), id, status);
        settings.runtime.spawn(async move { joining.run_until_cancelled(join).await });
        let disk_thread =
            thread::Builder::new().name(format!("disk-{}", settings.branch)).spawn(move || {
                let _ended = disk_ended.drop_guard();
                writer.run();
            });
        match disk_thread {
            Ok(disk_thread) => {
                worker.run();
                disk_thread.join().expect("invariant: the disk thread does not panic");
            }
            Err(cause) => slog::error!(settings.logger, "replica stopped"; "cause" => %cause),
        }
    }

    /// Agrees with the other founders on the initial members if there is no state yet. Returns false if the replica
    /// must not run: it was ended, or the members can't be stored.
    fn agree_on_members(&mut self) -> bool {
        let waiting = matches!(*self.lock_standing(), State::Waiting(_));
        if !waiting {
            return true;
        }
        let settings = &self.settings;
        let own = bootstrap::founder(self.hard.id, &settings.instance);
        let decision = bootstrap::run(&settings.branch, &own, &settings.peers, &settings.end);
        let standing = match settings.runtime.block_on(decision) {
            None => return false,
            Some(Decision::Learner) => State::Joined,
            Some(Decision::Founder(config)) => {
                self.hard.founders = config.clone();
                self.log.set_hard_state(&codec::encode(&self.hard));
                if let Err(error) = self.log.sync() {
                    slog::error!(settings.logger, "replica stopped"; "cause" => %error);
                    return false;
                }
                State::Founded(config)
            }
        };
        info!(self.settings.logger, "replica begins"; "standing" => %standing);
        *self.lock_standing() = standing;
        true
    }

    fn lock_standing(&self) -> std::sync::MutexGuard<'_, State> {
        self.standing.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
