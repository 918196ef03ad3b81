//! Messages to the other replicas: a bounded queue for each, emptied by a task on the peers' runtime.

use std::{
    mem,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use common::{collections::Map, name};
use consensus::message::Envelope;
use futures::{StreamExt, stream::FuturesUnordered};
use tokio::sync::mpsc;
use wire::{link::Link, peer::PeerClient};

use crate::host::Settings;

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
    pub branches: Vec<name::Branch>,
    /// The connection to it.
    pub link: Arc<Link>,
}

/// Queues by instance; an instance whose name is its address needs not be among the peers.
#[derive(Clone, Debug)]
pub(crate) struct Transport {
    queues: Arc<Mutex<Map<name::Instance, mpsc::Sender<Envelope>>>>,
    settings: Arc<Settings>,
}

impl Transport {
    /// Starts a task for each peer; they end with the settings' token.
    pub(crate) fn start(settings: &Settings) -> Transport {
        let queue = |peer: &Peer| (peer.instance.clone(), start_queue(settings, &peer.link));
        let queues = settings.peers.iter().map(queue).collect();
        Transport { queues: Arc::new(Mutex::new(queues)), settings: Arc::new(settings.clone()) }
    }

    /// Queues a message; a full queue drops it, as the network may.
    pub(crate) fn send(&self, place: &name::Instance, envelope: Envelope) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        if !queues.contains_key(place)
            && let Ok(address) = place.0.parse()
        {
            let queue = start_queue(&self.settings, &Arc::new(Link::new(address)));
            queues.insert(place.clone(), queue);
        }
        if let Some(queue) = queues.get(place) {
            let _dropped = queue.try_send(envelope);
        }
    }
}

/// Starts the task that delivers to one peer.
fn start_queue(settings: &Settings, link: &Arc<Link>) -> mpsc::Sender<Envelope> {
    let (sender, receiver) = mpsc::channel(QUEUE_MESSAGES);
    let delivery = Delivery {
        branch: settings.branch.clone(),
        from: settings.instance.clone(),
        link: Arc::clone(link),
    };
    let end = settings.end.clone();
    let run = async move { end.run_until_cancelled(delivery.run(receiver)).await };
    settings.runtime.spawn(run);
    sender
}

/// The way to one peer.
struct Delivery {
    branch: name::Branch,
    from: name::Instance,
    link: Arc<Link>,
}

impl Delivery {
    async fn run(&self, mut queue: mpsc::Receiver<Envelope>) {
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
                    calls.push(self.call(mem::take(&mut batch)));
                }
            }
        }
    }

    /// Delivers a batch; what is lost is sent again by the leader.
    async fn call(&self, batch: Vec<Envelope>) {
        let call = async |client: &PeerClient, context| {
            client.log_step(context, self.branch.clone(), self.from.clone(), batch).await
        };
        let _lost = self.link.call(CALL_LIMIT, call).await;
    }
}
