//! Messages to the other replicas: a bounded queue for each, emptied by a task on the peers' runtime.

use std::{sync::Arc, time::Duration};

use common::{cancel, collections::Map, name};
use consensus::message::Envelope;
use futures::{StreamExt, stream::FuturesUnordered};
use tokio::{runtime, sync::mpsc};
use wire::{link::Link, peer::PeerClient};

const QUEUE_MESSAGES: usize = 256;
const BATCH_MESSAGES: usize = 64;
const CALLS_UNDER_WAY: usize = 8;
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// Another instance that keeps a replica.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name.
    pub instance: name::Instance,
    /// Branches whose log it keeps a replica of.
    pub replicas: Vec<name::Branch>,
    /// The connection to it.
    pub link: Arc<Link>,
}

/// Queues by instance.
#[derive(Clone, Debug)]
pub(crate) struct Outbox {
    queues: Arc<Map<name::Instance, mpsc::Sender<Envelope>>>,
}

impl Outbox {
    /// Starts a task for each peer; they end with `end`.
    pub(crate) fn start(
        branch: &name::Branch,
        peers: &[Peer],
        runtime: &runtime::Handle,
        end: &cancel::Token,
    ) -> Outbox {
        let mut queues = Map::default();
        for peer in peers {
            let (sender, receiver) = mpsc::channel(QUEUE_MESSAGES);
            queues.insert(peer.instance.clone(), sender);
            let deliver = deliver(branch.clone(), Arc::clone(&peer.link), receiver);
            let end = end.clone();
            runtime.spawn(async move { end.run_until_cancelled(deliver).await });
        }
        Outbox { queues: Arc::new(queues) }
    }

    /// Queues a message; a full queue drops it, as the network may.
    pub(crate) fn send(&self, place: &name::Instance, envelope: Envelope) {
        if let Some(queue) = self.queues.get(place) {
            let _dropped = queue.try_send(envelope);
        }
    }
}

async fn deliver(branch: name::Branch, link: Arc<Link>, mut queue: mpsc::Receiver<Envelope>) {
    let mut calls = FuturesUnordered::new();
    let mut batch = Vec::new();
    loop {
        tokio::select! {
            biased;
            Some(()) = calls.next(), if !calls.is_empty() => {}
            count = queue.recv_many(&mut batch, BATCH_MESSAGES), if calls.len() < CALLS_UNDER_WAY => {
                if count == 0 {
                    return;
                }
                calls.push(call(&link, branch.clone(), std::mem::take(&mut batch)));
            }
        }
    }
}

/// Delivers a batch; what is lost is sent again by the leader.
async fn call(link: &Link, branch: name::Branch, batch: Vec<Envelope>) {
    let call = async |client: &PeerClient, context| client.log_step(context, branch, batch).await;
    let _lost = link.call(CALL_LIMIT, call).await;
}
