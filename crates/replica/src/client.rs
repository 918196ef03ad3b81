//! Client of the replicated logs, for use on any instance.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use common::{collections::Map, name};
use consensus::member::Id;
use serde::{Serialize, de::DeserializeOwned};
use wire::{
    link,
    log::{Change, Error, Outcome},
    peer::PeerClient,
};

use crate::{codec, host::Host, transport::Peer};

/// Pause before the next replica is tried after a failed attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(30);
/// Pause before the replica is tried that another one named as the leader.
const REDIRECT_PAUSE: Duration = Duration::from_millis(2);
/// Timeout of one attempt of a query, which can be repeated at another replica.
const QUERY_ATTEMPT_LIMIT: Duration = Duration::from_secs(1);

/// Client of the replicated logs. Clones share connections and known leaders.
#[derive(Clone, Debug)]
pub struct Client {
    instance: name::Instance,
    host: Host,
    peers: Arc<[Peer]>,
    /// Instance whose replica led last, by branch.
    leaders: Arc<Mutex<Map<name::Branch, name::Instance>>>,
}

/// A call to a replica.
#[derive(Clone, Debug)]
enum Call {
    Submit(Vec<u8>),
    Query(Vec<u8>),
    Members(Change),
}

/// Result of one attempt.
enum Attempt {
    Outcome(Outcome),
    /// The call was certainly not sent.
    NotSent(String),
    /// The call may have arrived, but no answer came.
    Lost(String),
}

impl Client {
    /// Creates a client on `instance`. It calls the replicas of `host` directly, and those of `peers` over the network.
    pub fn new(instance: name::Instance, host: Host, peers: Vec<Peer>) -> Client {
        Client { instance, host, peers: Arc::from(peers), leaders: Arc::default() }
    }

    /// Appends a command to a branch's log and waits for its reply, at most `limit`.
    ///
    /// Another replica is tried only while the command is certainly not in the log, so it is applied at most once.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotAccepted`] when the command is certainly not in the log, else [`Error::Unknown`].
    pub async fn submit<C: Serialize, R: DeserializeOwned>(
        &self,
        branch: &name::Branch,
        command: &C,
        limit: Duration,
    ) -> Result<R, Error> {
        self.call(branch, Call::Submit(codec::encode(command)), limit).await
    }

    /// Queries a branch's state. The answer reflects every command accepted before the call.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotAccepted`] when no replica answered within `limit`, and [`Error::Unknown`] when the
    /// answer can't be decoded.
    pub async fn query<Q: Serialize, A: DeserializeOwned>(
        &self,
        branch: &name::Branch,
        query: &Q,
        limit: Duration,
    ) -> Result<A, Error> {
        self.call(branch, Call::Query(codec::encode(query)), limit).await
    }

    /// Replaces the replica on instance `old` by the one on instance `new`, which must have asked to join.
    ///
    /// # Errors
    ///
    /// As [`Client::submit`].
    pub async fn replace(
        &self,
        branch: &name::Branch,
        old: name::Instance,
        new: name::Instance,
        limit: Duration,
    ) -> Result<(), Error> {
        self.call(branch, Call::Members(Change::Replace { old, new }), limit).await
    }

    /// Gives up the membership of the replica with this identity, which is about to stop.
    ///
    /// # Errors
    ///
    /// As [`Client::submit`]; also if too few voters would stay.
    pub async fn leave(&self, branch: &name::Branch, id: Id, limit: Duration) -> Result<(), Error> {
        self.call(branch, Call::Members(Change::Leave { id }), limit).await
    }

    /// Tries replicas until one that leads has answered, or `limit` has elapsed.
    async fn call<T: DeserializeOwned>(
        &self,
        branch: &name::Branch,
        call: Call,
        limit: Duration,
    ) -> Result<T, Error> {
        let deadline = Instant::now() + limit;
        let instances = self.instances(branch);
        let mut next = 0;
        let mut reason = String::from("no instance keeps a replica of the branch");
        while !instances.is_empty() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let instance =
                self.leader(branch).unwrap_or_else(|| instances[next % instances.len()].clone());
            let repeatable = matches!(call, Call::Query(_));
            let limit = if repeatable { left.min(QUERY_ATTEMPT_LIMIT) } else { left };
            match self.attempt(&instance, branch, call.clone(), limit).await {
                Attempt::Outcome(Outcome::Done(bytes)) => {
                    self.set_leader(branch, Some(instance));
                    return decode(&bytes);
                }
                Attempt::Outcome(Outcome::Unknown { reason: cause }) | Attempt::Lost(cause)
                    if !repeatable =>
                {
                    self.set_leader(branch, None);
                    return Err(Error::Unknown { reason: cause });
                }
                Attempt::Outcome(Outcome::NotLeader { leader: Some(leader) })
                    if leader != instance =>
                {
                    reason = format!("instance {instance} is not the leader of branch {branch}");
                    self.set_leader(branch, Some(leader));
                    tokio::time::sleep(REDIRECT_PAUSE).await;
                    continue;
                }
                Attempt::Outcome(Outcome::NotLeader { .. }) => {
                    reason = String::from("no replica of the branch leads");
                }
                Attempt::Outcome(
                    Outcome::Refused { reason: cause } | Outcome::Unknown { reason: cause },
                )
                | Attempt::NotSent(cause)
                | Attempt::Lost(cause) => reason = format!("instance {instance}: {cause}"),
            }
            self.set_leader(branch, None);
            next += 1;
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        Err(Error::NotAccepted { reason })
    }

    /// Instances that keep a replica of the branch, this one first.
    fn instances(&self, branch: &name::Branch) -> Vec<name::Instance> {
        let own = self.host.replica(branch).map(|_| self.instance.clone());
        let peers = self.peers.iter().filter(|peer| peer.branches.contains(branch));
        own.into_iter().chain(peers.map(|peer| peer.instance.clone())).collect()
    }

    async fn attempt(
        &self,
        instance: &name::Instance,
        branch: &name::Branch,
        call: Call,
        limit: Duration,
    ) -> Attempt {
        if *instance == self.instance
            && let Some(handle) = self.host.replica(branch)
        {
            let outcome = async {
                match call {
                    Call::Submit(command) => handle.submit(command).await,
                    Call::Query(query) => handle.query(query).await,
                    Call::Members(change) => handle.change_members(change).await,
                }
            };
            let outcome = tokio::time::timeout(limit, outcome).await;
            return outcome
                .map_or_else(|_| Attempt::Lost(String::from("timeout")), Attempt::Outcome);
        }
        let Some(peer) = self.peers.iter().find(|peer| peer.instance == *instance) else {
            return Attempt::NotSent(format!(
                "it is not among the peers of this instance for branch {branch}"
            ));
        };
        let branch = branch.clone();
        let send = async |client: &PeerClient, context| match call {
            Call::Submit(command) => client.submit(context, branch, command).await,
            Call::Query(query) => client.query(context, branch, query).await,
            Call::Members(change) => client.change_members(context, branch, change).await,
        };
        match peer.link.call(limit, send).await {
            Ok(outcome) => Attempt::Outcome(outcome),
            Err(link::Error::Connect(cause)) => Attempt::NotSent(cause.to_string()),
            Err(link::Error::Call(cause)) => Attempt::Lost(cause.to_string()),
        }
    }

    fn leader(&self, branch: &name::Branch) -> Option<name::Instance> {
        self.leaders.lock().unwrap_or_else(PoisonError::into_inner).get(branch).cloned()
    }

    fn set_leader(&self, branch: &name::Branch, leader: Option<name::Instance>) {
        let mut leaders = self.leaders.lock().unwrap_or_else(PoisonError::into_inner);
        match leader {
            Some(leader) => drop(leaders.insert(branch.clone(), leader)),
            None => drop(leaders.remove(branch)),
        }
    }
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    codec::decode(bytes)
        .map_err(|error| Error::Unknown { reason: format!("the reply can't be decoded: {error}") })
}
