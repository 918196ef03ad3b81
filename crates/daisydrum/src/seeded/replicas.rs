//! This instance's replica of the configuration register, stored on its disk, and the client of the register's log.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{Arc, OnceLock},
    time::Duration,
};

use common::name;
use consensus::{options::Options, reconfiguration::Removal, status::Role};
use fleet::{
    capacity::{Capacities, Capacity},
    register::{Command, Document, Grant, Query, Register, Reply},
    usage::{Counts, Fixed, Window},
};
use replica::{
    client::Client,
    host::{self, Bootstrap, Handle, Host, JoinPolicy},
    state_machine::StateMachine,
    transport,
};
use slog::{info, warn};
use tokio::{runtime, sync::watch, time};
use wire::log::Error;

use crate::seeded::{
    context::Context,
    directory::{Contact, Directory},
    entry::spawn,
};

/// Name of the register's log, where other instances keep logs of branches.
pub(crate) const BRANCH: &str = "fleet";
/// Folder of the replica's files inside the data folder.
const FOLDER: &str = "fleet";
/// Log entries kept for replicas that lag; few, since each is a whole configuration of up to megabytes.
const RETAINED_ENTRIES: u64 = 16;
/// Control instances run in one region, where a round trip takes a few milliseconds.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(80);
const ELECTION_TIMEOUT_MIN: Duration = Duration::from_millis(320);
const ELECTION_TIMEOUT_MAX: Duration = Duration::from_millis(600);
/// Time without a reply after which a control instance loses its vote. Shorter than the time that a replacement has
/// before another instance may be lost, so that those that are gone never add up.
const REMOVE_AFTER: Duration = Duration::from_secs(3);
/// Fewest voters that removals leave.
const MIN_VOTERS: usize = 3;
/// Delay after the replica could not be opened.
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time between two reads of the replica's status.
const CONTACT_INTERVAL: Duration = Duration::from_millis(100);
/// Longest delay of a stop to give up the vote.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for a call to the log; operators try another instance after a second.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// State machine that applies commands to the register and installs each committed configuration in the directory.
#[derive(Clone, Debug)]
struct PublishingRegister {
    register: Register,
    directory: Directory,
    usage: watch::Sender<Fixed>,
    capacities: watch::Sender<Capacities>,
}

impl PublishingRegister {
    fn publish(&self) {
        self.usage.send_if_modified(|known| {
            let is_changed = known != self.register.usage();
            if is_changed {
                known.clone_from(self.register.usage());
            }
            is_changed
        });
        self.capacities.send_if_modified(|known| {
            let is_changed = known != self.register.capacities();
            if is_changed {
                known.clone_from(self.register.capacities());
            }
            is_changed
        });
        let newest = self.register.newest();
        if let Some(document) = newest.filter(|newest| newest.version > self.directory.version()) {
            self.directory.install(document.clone());
        }
    }
}

impl StateMachine for PublishingRegister {
    type Command = Command;
    type Reply = Reply;
    type Query = Query;
    type Answer = Option<Document>;
    type Error = String;

    fn apply(&mut self, index: u64, command: &Command) -> Reply {
        self.register.apply(index, command)
    }

    fn finish_batch(&self) {
        self.publish();
    }

    fn query(&self, query: &Query) -> Option<Document> {
        self.register.query(*query)
    }

    fn encode(&self) -> Vec<u8> {
        self.register.encode()
    }

    fn decode(&self, bytes: &[u8]) -> Result<PublishingRegister, String> {
        let register = Register::decode(bytes).ok_or("the snapshot is not an encoded register")?;
        let machine = PublishingRegister { register, ..self.clone() };
        machine.publish();
        Ok(machine)
    }
}

/// This instance's replica and access to the others; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Replicas {
    context: Context,
    directory: Directory,
    handle: Arc<OnceLock<Handle>>,
    /// Control instances that are known now.
    contacts: watch::Sender<Vec<name::Instance>>,
    /// Windows whose usage is fixed, as far as this instance's replica knows.
    usage: watch::Sender<Fixed>,
    /// Capacities of services, as far as this instance's replica knows.
    capacities: watch::Sender<Capacities>,
}

impl Replicas {
    /// Starts the task that opens the replica in the data folder, with retries until that succeeds, and the task that
    /// watches its status.
    pub(crate) fn start(
        context: &Context,
        directory: &Directory,
        runtime: &runtime::Handle,
    ) -> Replicas {
        let replicas = Replicas {
            context: context.clone(),
            directory: directory.clone(),
            handle: Arc::default(),
            contacts: watch::Sender::default(),
            usage: watch::Sender::default(),
            capacities: watch::Sender::default(),
        };
        spawn(context, replicas.clone().open(runtime.clone()));
        spawn(context, replicas.clone().watch());
        replicas
    }

    /// This instance's replica, once it is open.
    pub(crate) fn handle(&self) -> Option<&Handle> {
        self.handle.get()
    }

    /// Offers a configuration to the register, which keeps the newest; returns the version that it then holds.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotAccepted`] if no leader accepted it, [`Error::Unknown`] if it may have been accepted.
    pub(crate) async fn offer(&self, document: Document) -> Result<u64, Error> {
        match self.submit(&Command::Offer(document)).await? {
            Reply::Held(version) => Ok(version),
            Reply::Granted(_) | Reply::Usage(_) | Reply::Recorded => Err(unexpected_reply()),
        }
    }

    /// Claims the lease on orders to engines for this instance.
    ///
    /// # Errors
    ///
    /// As [`Replicas::offer`].
    pub(crate) async fn claim(&self) -> Result<Grant, Error> {
        match self.submit(&Command::Claim(self.context.identity.instance.clone())).await? {
            Reply::Granted(grant) => Ok(grant),
            Reply::Held(_) | Reply::Usage(_) | Reply::Recorded => Err(unexpected_reply()),
        }
    }

    /// Fixes the usage of a window, unless it is fixed; returns what holds then.
    ///
    /// # Errors
    ///
    /// As [`Replicas::offer`].
    pub(crate) async fn fix_usage(&self, window: u64, counts: Counts) -> Result<Window, Error> {
        match self.submit(&Command::FixUsage { window, counts }).await? {
            Reply::Usage(state) => Ok(state),
            Reply::Held(_) | Reply::Granted(_) | Reply::Recorded => Err(unexpected_reply()),
        }
    }

    /// Records that the platform has accepted the usage of a window.
    ///
    /// # Errors
    ///
    /// As [`Replicas::offer`].
    pub(crate) async fn settle_usage(&self, window: u64) -> Result<(), Error> {
        self.submit(&Command::SettleUsage { window }).await.map(drop)
    }

    /// The windows whose usage is fixed, as far as this instance's replica knows.
    pub(crate) fn fixed_usage(&self) -> Fixed {
        self.usage.borrow().clone()
    }

    /// Records the capacity of a service.
    ///
    /// # Errors
    ///
    /// As [`Replicas::offer`].
    pub(crate) async fn record_capacity(
        &self,
        service: name::Service,
        capacity: Capacity,
    ) -> Result<(), Error> {
        self.submit(&Command::RecordCapacity { service, capacity }).await.map(drop)
    }

    /// The capacities of services, as far as this instance's replica knows.
    pub(crate) fn capacities(&self) -> Capacities {
        self.capacities.borrow().clone()
    }

    /// Gives up the vote of this instance's replica, so that the log does not count on it while it is stopped.
    pub(crate) async fn leave(&self) {
        let Some(status) = self.handle().and_then(Handle::status) else {
            return;
        };
        let left = self.client().leave(&name::Branch::from(BRANCH), status.id, LEAVE_TIMEOUT).await;
        match left {
            Ok(()) => info!(self.context.log, "vote_given_up"),
            Err(failure) => info!(self.context.log, "vote_kept"; "failure" => %failure),
        }
    }

    /// Whether this instance's replica is the leader.
    pub(crate) fn is_leader(&self) -> bool {
        self.leading_term().is_some()
    }

    /// The term in which this instance's replica is the leader, if it is.
    pub(crate) fn leading_term(&self) -> Option<u64> {
        let status = self.handle().and_then(Handle::status)?;
        (status.role == Role::Leader).then_some(status.term)
    }

    async fn submit(&self, command: &Command) -> Result<Reply, Error> {
        self.client().submit(&name::Branch::from(BRANCH), command, CALL_TIMEOUT).await
    }

    /// Reads the newest configuration that was accepted before the call.
    ///
    /// # Errors
    ///
    /// Returns why no leader answered.
    pub(crate) async fn read(&self) -> Result<Option<Document>, Error> {
        self.client().query(&name::Branch::from(BRANCH), &Query::Newest, CALL_TIMEOUT).await
    }

    /// Reads the version of the newest configuration that was accepted before the call; 0 for none.
    ///
    /// # Errors
    ///
    /// As [`Replicas::read`].
    pub(crate) async fn read_version(&self) -> Result<u64, Error> {
        let branch = name::Branch::from(BRANCH);
        let newest: Option<Document> =
            self.client().query(&branch, &Query::Version, CALL_TIMEOUT).await?;
        Ok(newest.map_or(0, |document| document.version))
    }

    async fn open(self, runtime: runtime::Handle) {
        let machine = PublishingRegister {
            register: Register::default(),
            directory: self.directory.clone(),
            usage: self.usage.clone(),
            capacities: self.capacities.clone(),
        };
        loop {
            match host::start(self.settings(&runtime), machine.clone()) {
                Ok(started) => {
                    let _first = self.handle.set(started.handle);
                    return;
                }
                Err(error) => warn!(self.context.log, "replica_not_opened"; "fault" => %error),
            }
            time::sleep(OPEN_RETRY_DELAY).await;
        }
    }

    /// Keeps the directory informed of the contact with the leader and of the other replicas' addresses.
    async fn watch(self) {
        loop {
            let status = self.handle().and_then(Handle::status);
            let contact = match &status {
                Some(status) if status.role == Role::Leader => Contact::Held,
                Some(status) if status.role == Role::Follower && status.leader.is_some() => {
                    Contact::Held
                }
                Some(_) | None => Contact::Lost,
            };
            self.directory.set_contact(contact);
            let members = status.iter().flat_map(|status| status.config.members());
            let addresses =
                members.filter_map(|member| member.instance.0.parse::<SocketAddr>().ok());
            self.directory.add_control_instances(addresses);
            self.contacts.send_replace(
                self.addresses()
                    .iter()
                    .map(|address| name::Instance(address.to_string()))
                    .collect(),
            );
            time::sleep(CONTACT_INTERVAL).await;
        }
    }

    fn settings(&self, runtime: &runtime::Handle) -> host::Settings {
        let context = &self.context;
        let seeds = context.seeds.borrow().clone();
        let is_founder = context.settings.founding && seeds.contains(&context.identity.address);
        let folder = context.settings.data_folder.clone().unwrap_or_default();
        host::Settings {
            branch: name::Branch::from(BRANCH),
            instance: context.identity.instance.clone(),
            folder: Path::new(&folder).join(FOLDER),
            bootstrap: if is_founder { Bootstrap::Founder } else { Bootstrap::Learner },
            peers: self.peers(seeds),
            contacts: self.contacts.subscribe(),
            join_policy: JoinPolicy::Automatic(self.removal()),
            options: Options {
                retained_entries: RETAINED_ENTRIES,
                heartbeat_interval: HEARTBEAT_INTERVAL,
                election_timeout_min: ELECTION_TIMEOUT_MIN,
                election_timeout_max: ELECTION_TIMEOUT_MAX,
                ..Options::default()
            },
            runtime: runtime.clone(),
            logger: context.log.clone(),
            stop: context.stop.clone(),
            end: context.end.clone(),
        }
    }

    fn removal(&self) -> Removal {
        let lost = self.context.settings.tolerated_losses;
        Removal { after: REMOVE_AFTER, min_voters: (2 * lost + 1).max(MIN_VOTERS) }
    }

    fn peers(&self, addresses: Vec<SocketAddr>) -> Vec<transport::Peer> {
        let others =
            addresses.into_iter().filter(|address| *address != self.context.identity.address);
        let peer = |address: SocketAddr| transport::Peer {
            instance: name::Instance(address.to_string()),
            branches: vec![name::Branch::from(BRANCH)],
            link: self.context.link(address),
        };
        others.map(peer).collect()
    }

    /// Builds a client that reaches all control instances known now.
    fn client(&self) -> Client {
        let own = self.handle().map(|handle| (name::Branch::from(BRANCH), handle.clone()));
        let host = Host::new(own.into_iter().collect());
        Client::new(self.context.identity.instance.clone(), host, self.peers(self.addresses()))
    }

    /// Addresses of all control instances known now.
    fn addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = self.directory.control_addresses();
        addresses.extend(self.context.seeds.borrow().iter().copied());
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }
}

fn unexpected_reply() -> Error {
    Error::Unknown { reason: String::from("the reply belongs to another command") }
}
