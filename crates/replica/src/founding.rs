//! How the first replicas of a log agree on its first members.
//!
//! Each of them draws an identity and keeps it on disk. The one with the smallest name waits until all others
//! have answered with theirs and none knows a log; it writes the list down, and the others take it over. A
//! replica whose disk was lost finds a list without its new identity, and joins instead.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use common::{cancel, name};
use consensus::{
    member::{Config, Id, Member},
    status::Status,
};
use futures::future;
use wire::{
    link::Link,
    log::{Outcome, Standing, Wish},
    peer::PeerClient,
};

use crate::{host::Settings, transport::Peer};

const PAUSE: Duration = Duration::from_millis(200);
const JOIN_PAUSE: Duration = Duration::from_millis(500);
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// How a replica without state begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Beginning {
    /// As one of the first members.
    Founder(Config),
    /// By joining.
    Learner,
}

/// The other founder's answer.
#[derive(Clone, Debug)]
struct Answer {
    place: name::Instance,
    standing: Standing,
}

/// Asks the other founders until it is clear how to begin; nothing if the process ends first.
pub(crate) async fn begin(
    branch: &name::Branch,
    own: &Member,
    peers: &[Peer],
    end: &cancel::Token,
) -> Option<Beginning> {
    loop {
        let answers = future::join_all(peers.iter().map(|peer| ask(branch, peer))).await;
        if let Some(beginning) = decide(own, &answers) {
            return Some(beginning);
        }
        end.run_until_cancelled(tokio::time::sleep(PAUSE)).await?;
    }
}

fn decide(own: &Member, answers: &[Answer]) -> Option<Beginning> {
    let founded = answers.iter().find_map(|answer| match &answer.standing {
        Standing::Founded(config) => Some(config),
        _ => None,
    });
    if let Some(config) = founded {
        let member = config.member(own.id).is_some();
        return Some(if member { Beginning::Founder(config.clone()) } else { Beginning::Learner });
    }
    if answers.iter().any(|answer| answer.standing == Standing::Joined) {
        return Some(Beginning::Learner);
    }
    let founders = || answers.iter().filter(|answer| answer.standing != Standing::Learner);
    if founders().any(|founder| founder.place < own.instance) {
        return None;
    }
    let others = founders().map(|answer| match answer.standing {
        Standing::Waiting(id) => Some(founder(id, &answer.place)),
        _ => None,
    });
    let mut members = others.collect::<Option<Vec<Member>>>()?;
    members.push(own.clone());
    Some(Beginning::Founder(Config::new(members)))
}

/// A first member.
pub(crate) fn founder(id: Id, instance: &name::Instance) -> Member {
    Member { id, instance: instance.clone(), voter: true, replaces: None }
}

async fn ask(branch: &name::Branch, peer: &Peer) -> Answer {
    let call = async |client: &PeerClient, context| client.standing(context, branch.clone()).await;
    let standing = peer.link.call(CALL_LIMIT, call).await.unwrap_or(Standing::Absent);
    Answer { place: peer.instance.clone(), standing }
}

/// Asks the other replicas to be taken in, until the log counts this one as a member.
pub(crate) async fn join(settings: Settings, id: Id, status: Arc<Mutex<Option<Status>>>) {
    let wish = Wish::Join { id, place: settings.instance.clone() };
    loop {
        let pause = settings.end.run_until_cancelled(tokio::time::sleep(JOIN_PAUSE)).await;
        let known = status.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if pause.is_none() || known.is_some_and(|status| status.config.member(id).is_some()) {
            return;
        }
        for peer in &settings.peers {
            if let Some(leader) = ask_in(&settings, &peer.link, &wish).await
                && settings.peers.iter().all(|peer| peer.instance != leader)
                && let Ok(address) = leader.0.parse()
            {
                ask_in(&settings, &Link::new(address), &wish).await;
            }
        }
    }
}

/// Asks one replica; returns the leader that it names. What fails is asked again.
async fn ask_in(settings: &Settings, link: &Link, wish: &Wish) -> Option<name::Instance> {
    let call = async |client: &PeerClient, context| {
        client.change_members(context, settings.branch.clone(), wish.clone()).await
    };
    match link.call(CALL_LIMIT, call).await {
        Ok(Outcome::NotLeader { leader }) => leader,
        Ok(Outcome::Done(_) | Outcome::Refused { .. } | Outcome::Unknown { .. }) | Err(_) => None,
    }
}
