//! Bootstrap of a log: how its first replicas agree on the initial members, and how later ones join.
//!
//! Each founder generates an identity and stores it. The founder whose instance has the smallest name waits until all
//! others have replied with their identities and none of them knows the log; then it stores the list of members, and
//! the others copy it. A founder that lost its disk finds a list without its new identity, and joins as a learner.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use common::{cancel, name};
use consensus::{
    member::{Config, Id, Member},
    status::Status,
};
use futures::{
    future,
    stream::{FuturesUnordered, StreamExt},
};
use wire::{
    link::Link,
    log::{Change, Outcome, State},
    peer::PeerClient,
};

use crate::{host::Settings, transport::Peer};

const RETRY_PAUSE: Duration = Duration::from_millis(200);
const JOIN_PAUSE: Duration = Duration::from_millis(500);
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// How a replica without state starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// As a founder of a log with these initial members.
    Founder(Config),
    /// By joining an existing log.
    Learner,
}

/// Answer of another founder.
#[derive(Clone, Debug)]
struct Answer {
    instance: name::Instance,
    standing: State,
}

/// Asks the other founders until it is known how to start; none if the replica is ended first.
pub(crate) async fn run(
    branch: &name::Branch,
    own: &Member,
    peers: &[Peer],
    end: &cancel::Token,
) -> Option<Decision> {
    loop {
        let answers = future::join_all(peers.iter().map(|peer| query_standing(branch, peer))).await;
        if let Some(decision) = decide(own, &answers) {
            return Some(decision);
        }
        end.run_until_cancelled(tokio::time::sleep(RETRY_PAUSE)).await?;
    }
}

fn decide(own: &Member, answers: &[Answer]) -> Option<Decision> {
    let founded = answers.iter().find_map(|answer| match &answer.standing {
        State::Founded(config) => Some(config),
        _ => None,
    });
    if let Some(config) = founded {
        let member = config.member(own.id).is_some();
        return Some(if member { Decision::Founder(config.clone()) } else { Decision::Learner });
    }
    if answers.iter().any(|answer| answer.standing == State::Joined) {
        return Some(Decision::Learner);
    }
    let founders = || answers.iter().filter(|answer| answer.standing != State::Learner);
    if founders().any(|founder| founder.instance < own.instance) {
        return None;
    }
    let others = founders().map(|answer| match answer.standing {
        State::Waiting(id) => Some(founder(id, &answer.instance)),
        _ => None,
    });
    let mut members = others.collect::<Option<Vec<Member>>>()?;
    members.push(own.clone());
    Some(Decision::Founder(Config::new(members)))
}

/// A founder as a member.
pub(crate) fn founder(id: Id, instance: &name::Instance) -> Member {
    Member { id, instance: instance.clone(), voter: true, replaces: None }
}

async fn query_standing(branch: &name::Branch, peer: &Peer) -> Answer {
    let call = async |client: &PeerClient, context| client.standing(context, branch.clone()).await;
    let standing = peer.link.call(CALL_LIMIT, call).await.unwrap_or(State::Absent);
    Answer { instance: peer.instance.clone(), standing }
}

/// Asks the other replicas to add this one while it is no member or has no leader.
///
/// A replica that was removed while it didn't reply still finds itself in its own log, but gets no messages.
pub(crate) async fn join(settings: Settings, id: Id, status: Arc<Mutex<Option<Status>>>) {
    let change = Change::Join { id, instance: settings.instance.clone() };
    loop {
        let pause = settings.stop.run_until_cancelled(tokio::time::sleep(JOIN_PAUSE)).await;
        if pause.is_none() || settings.end.is_cancelled() {
            return;
        }
        let known = status.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if known.is_some_and(|status| status.leader.is_some() && status.config.member(id).is_some())
        {
            continue;
        }
        let contacts = settings.contacts.borrow().clone();
        let links = links(&settings.peers, &contacts, &settings.instance);
        let asked = |leader: &name::Instance| {
            contacts.contains(leader) || settings.peers.iter().any(|peer| peer.instance == *leader)
        };
        // Concurrently and with a limit: instances that are gone must not delay the request to the leader.
        let round = async {
            let mut requests: FuturesUnordered<_> =
                links.iter().map(|link| request_join(&settings, link, &change)).collect();
            while let Some(leader) = requests.next().await {
                if let Some(leader) = leader.filter(|leader| !asked(leader))
                    && let Ok(address) = leader.0.parse()
                {
                    request_join(&settings, &Link::new(address), &change).await;
                }
            }
        };
        // The next round repeats what is left.
        let _elapsed = tokio::time::timeout(CALL_LIMIT, round).await;
    }
}

/// Connections to the peers, and to those contacts that are no peers.
fn links(peers: &[Peer], contacts: &[name::Instance], own: &name::Instance) -> Vec<Arc<Link>> {
    let known = |contact: &&name::Instance| {
        peers.iter().any(|peer| peer.instance == **contact) || *contact == own
    };
    let others = contacts
        .iter()
        .filter(|contact| !known(contact))
        .filter_map(|contact| Some(Arc::new(Link::new(contact.0.parse().ok()?))));
    peers.iter().map(|peer| Arc::clone(&peer.link)).chain(others).collect()
}

/// Sends a request to join. Returns the leader if the replica names another one. Failures are ignored, since the
/// request is repeated.
async fn request_join(settings: &Settings, link: &Link, change: &Change) -> Option<name::Instance> {
    let call = async |client: &PeerClient, context| {
        client.change_members(context, settings.branch.clone(), change.clone()).await
    };
    match link.call(CALL_LIMIT, call).await {
        Ok(Outcome::NotLeader { leader }) => leader,
        Ok(Outcome::Done(_) | Outcome::Refused { .. } | Outcome::Unknown { .. }) | Err(_) => None,
    }
}
