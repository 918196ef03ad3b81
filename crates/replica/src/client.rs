//! Reaches the replicated logs from any instance.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use common::{collections::Map, name};
use serde::{Serialize, de::DeserializeOwned};
use wire::{
    link,
    log::{Failure, Outcome, Wish},
    peer::PeerClient,
};

use crate::{codec, host::Host, transport::Peer};

/// Pause before a replica is asked again whether there is a leader.
const PAUSE: Duration = Duration::from_millis(30);
/// Pause before a replica is asked that another one names as the leader.
const REDIRECT_PAUSE: Duration = Duration::from_millis(2);
/// Longest time for one try of a question, which may be asked elsewhere afterwards.
const QUERY_LIMIT: Duration = Duration::from_secs(1);

/// Reaches the replicated logs from any instance; clones share the connections.
#[derive(Clone, Debug)]
pub struct Client {
    place: name::Instance,
    host: Host,
    peers: Arc<[Peer]>,
    leaders: Arc<Mutex<Map<name::Branch, name::Instance>>>,
}

/// What is sent to a replica.
#[derive(Clone, Debug)]
enum Call {
    Submit(Vec<u8>),
    Query(Vec<u8>),
    Members(Wish),
}

/// What one try showed.
enum Try {
    Outcome(Outcome),
    /// The call certainly was not sent.
    NotSent(String),
    /// The call may have arrived.
    Lost(String),
}

impl Client {
    /// A client on the instance `place`, with its own replicas and its peers.
    pub fn new(place: name::Instance, host: Host, peers: Vec<Peer>) -> Client {
        Client { place, host, peers: Arc::from(peers), leaders: Arc::default() }
    }

    /// Puts a command into a branch's log and waits for its reply.
    ///
    /// A command is sent to another replica only while it certainly is not in the log.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::NotAccepted`] only when the command certainly is not in the log.
    pub async fn submit<C: Serialize, R: DeserializeOwned>(
        &self,
        branch: &name::Branch,
        command: &C,
        limit: Duration,
    ) -> Result<R, Failure> {
        self.call(branch, Call::Submit(codec::encode(command)), limit).await
    }

    /// Reads from a branch's state everything that was accepted before the call.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::NotAccepted`] when no replica answered within `limit`.
    pub async fn query<Q: Serialize, A: DeserializeOwned>(
        &self,
        branch: &name::Branch,
        query: &Q,
        limit: Duration,
    ) -> Result<A, Failure> {
        self.call(branch, Call::Query(codec::encode(query)), limit).await
    }

    /// Puts the replica of one instance in the place of another's.
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
    ) -> Result<(), Failure> {
        self.call(branch, Call::Members(Wish::Replace { old, new }), limit).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        branch: &name::Branch,
        call: Call,
        limit: Duration,
    ) -> Result<T, Failure> {
        let end = Instant::now() + limit;
        let places = self.places(branch);
        let mut next = 0;
        let mut reason = String::from("no instance keeps a replica of the branch");
        while !places.is_empty() {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let place = self.leader(branch).unwrap_or_else(|| places[next % places.len()].clone());
            let repeatable = matches!(call, Call::Query(_));
            let limit = if repeatable { left.min(QUERY_LIMIT) } else { left };
            match self.attempt(&place, branch, call.clone(), limit).await {
                Try::Outcome(Outcome::Done(bytes)) => {
                    self.note_leader(branch, Some(place));
                    return decode(&bytes);
                }
                Try::Outcome(Outcome::Unknown { reason: why }) | Try::Lost(why) if !repeatable => {
                    self.note_leader(branch, None);
                    return Err(Failure::Unknown { reason: why });
                }
                Try::Outcome(Outcome::NotLeader { leader: Some(leader) }) if leader != place => {
                    reason = format!("{place} does not lead");
                    self.note_leader(branch, Some(leader));
                    tokio::time::sleep(REDIRECT_PAUSE).await;
                    continue;
                }
                Try::Outcome(Outcome::NotLeader { .. }) => reason = String::from("no leader"),
                Try::Outcome(
                    Outcome::Refused { reason: why } | Outcome::Unknown { reason: why },
                )
                | Try::NotSent(why)
                | Try::Lost(why) => reason = format!("{place}: {why}"),
            }
            self.note_leader(branch, None);
            next += 1;
            tokio::time::sleep(PAUSE).await;
        }
        Err(Failure::NotAccepted { reason })
    }

    /// Instances that keep a replica, the own one first.
    fn places(&self, branch: &name::Branch) -> Vec<name::Instance> {
        let own = self.host.replica(branch).map(|_| self.place.clone());
        let peers = self.peers.iter().filter(|peer| peer.branches.contains(branch));
        own.into_iter().chain(peers.map(|peer| peer.instance.clone())).collect()
    }

    async fn attempt(
        &self,
        place: &name::Instance,
        branch: &name::Branch,
        call: Call,
        limit: Duration,
    ) -> Try {
        if *place == self.place
            && let Some(handle) = self.host.replica(branch)
        {
            let outcome = async {
                match call {
                    Call::Submit(command) => handle.submit(command).await,
                    Call::Query(query) => handle.query(query).await,
                    Call::Members(wish) => handle.change_members(wish).await,
                }
            };
            let outcome = tokio::time::timeout(limit, outcome).await;
            return outcome.map_or_else(|_| Try::Lost(String::from("timeout")), Try::Outcome);
        }
        let Some(peer) = self.peers.iter().find(|peer| peer.instance == *place) else {
            return Try::NotSent(format!("{place} is not among the peers"));
        };
        let branch = branch.clone();
        let send = async |client: &PeerClient, context| match call {
            Call::Submit(command) => client.submit(context, branch, command).await,
            Call::Query(query) => client.query(context, branch, query).await,
            Call::Members(wish) => client.change_members(context, branch, wish).await,
        };
        match peer.link.call(limit, send).await {
            Ok(outcome) => Try::Outcome(outcome),
            Err(link::Fault::Connect(cause)) => Try::NotSent(cause.to_string()),
            Err(link::Fault::Call(cause)) => Try::Lost(cause.to_string()),
        }
    }

    fn leader(&self, branch: &name::Branch) -> Option<name::Instance> {
        self.leaders.lock().unwrap_or_else(PoisonError::into_inner).get(branch).cloned()
    }

    fn note_leader(&self, branch: &name::Branch, leader: Option<name::Instance>) {
        let mut leaders = self.leaders.lock().unwrap_or_else(PoisonError::into_inner);
        match leader {
            Some(leader) => drop(leaders.insert(branch.clone(), leader)),
            None => drop(leaders.remove(branch)),
        }
    }
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Failure> {
    codec::decode(bytes).map_err(|fault| Failure::Unknown { reason: format!("reply: {fault}") })
}
