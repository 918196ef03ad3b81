//! Transport of messages to the other replicas: one bounded queue and one sending task for each.

use std::{
    mem,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use common::{clock::Moment, collections::Map, name};
use consensus::message::Envelope;
use futures::{StreamExt, stream::FuturesUnordered};
use tokio::sync::mpsc;
use wire::{dial::Startup, link::Link, peer::PeerClient};

use crate::host::Settings;

const QUEUE_MESSAGES: usize = 256;
const BATCH_MESSAGES: usize = 64;
const MAX_CONCURRENT_CALLS: usize = 8;
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Time in which a restarted fleet elects a leader; connects follow each other more closely until then.
const STARTUP_LIMIT: Duration = Duration::from_secs(10);

/// Another instance that keeps replicas.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Name of the instance.
    pub instance: name::Instance,
    /// Branches of which it keeps a replica.
    pub branches: Vec<name::Branch>,
    /// Connection to the instance.
    pub link: Arc<Link>,
}

/// Queues by instance. An instance whose name is its address can be reached without being among the peers.
#[derive(Clone, Debug)]
pub(crate) struct Transport {
    queues: Arc<Mutex<Map<name::Instance, mpsc::Sender<Envelope>>>>,
    settings: Arc<Settings>,
    startup: Startup,
}

impl Transport {
    /// Starts a sending task for each peer. The tasks end when [`Settings::end`] is cancelled.
    pub(crate) fn start(settings: &Settings) -> Transport {
        let queue = |peer: &Peer| (peer.instance.clone(), start_queue(settings, &peer.link));
        let queues = settings.peers.iter().map(queue).collect();
        Transport {
            queues: Arc::new(Mutex::new(queues)),
            settings: Arc::new(settings.clone()),
            startup: Startup::until(Moment::now() + STARTUP_LIMIT),
        }
    }

    /// Queues a message. It is dropped when the queue is full, as if the network had lost it.
    pub(crate) fn send(&self, instance: &name::Instance, envelope: Envelope) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        if !queues.contains_key(instance)
            && let Ok(address) = instance.0.parse()
        {
            let link = Link::of_starting(address, self.startup.clone());
            let queue = start_queue(&self.settings, &Arc::new(link));
            queues.insert(instance.clone(), queue);
        }
        if let Some(queue) = queues.get(instance) {
            let _dropped = queue.try_send(envelope);
        }
    }
}

/// Starts the task that sends the messages of one queue.
fn start_queue(settings: &Settings, link: &Arc<Link>) -> mpsc::Sender<Envelope> {
    let (sender, receiver) = mpsc::channel(QUEUE_MESSAGES);
    let queue = PeerQueue {
        branch: settings.branch.clone(),
        from: settings.instance.clone(),
        link: Arc::clone(link),
    };
    let end = settings.end.clone();
    let run = async move { end.run_until_cancelled(queue.run(receiver)).await };
    settings.runtime.spawn(run);
    sender
}

/// The task that sends the messages to one peer.
struct PeerQueue {
    branch: name::Branch,
    from: name::Instance,
    link: Arc<Link>,
}

impl PeerQueue {
    async fn run(&self, mut queue: mpsc::Receiver<Envelope>) {
        let mut calls = FuturesUnordered::new();
        let mut batch = Vec::new();
        loop {
            tokio::select! {
                biased;
                Some(()) = calls.next(), if !calls.is_empty() => {}
                count = queue.recv_many(&mut batch, BATCH_MESSAGES), if calls.len() < MAX_CONCURRENT_CALLS => {
                    if count == 0 {
                        return;
                    }
                    calls.push(self.call(mem::take(&mut batch)));
                }
            }
        }
    }

    /// Sends a batch. Lost messages are not repeated here: the consensus node sends again what it still needs.
    async fn call(&self, batch: Vec<Envelope>) {
        let call = async |client: &PeerClient, context| {
            client.log_step(context, self.branch.clone(), self.from.clone(), batch).await
        };
        let _lost = self.link.call(CALL_LIMIT, call).await;
    }
}
