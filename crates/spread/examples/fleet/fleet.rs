//! Instances in one process that communicate over TCP.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use common::{cancel, collections::Map, name};
use entry::directory::Directory;
use futures::{StreamExt, future};
use serde_json::json;
use slog::{Discard, Logger, o};
use spread::{
    peer,
    replicated_log::Memory,
    synchronizer::{Options, Synchronizer},
};
use tarpc::{
    client, context, serde_transport,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::{
    net::{TcpListener, TcpStream},
    runtime::Handle,
    sync::{OnceCell, watch},
};
use tokio_util::codec::LengthDelimitedCodec;
use wire::{
    link,
    spread::{Update, Version},
};

use crate::{BRANCH, count::Counted};

const PER_DATA_CENTRE: usize = 10;
const REPLICAS: usize = 3;
const CALL_LIMIT: Duration = Duration::from_secs(5);

macro_rules! transport {
    ($stream:expr) => {{
        $stream.set_nodelay(true).unwrap();
        let mut codec = LengthDelimitedCodec::builder();
        codec.max_frame_length(link::MAX_FRAME_BYTES);
        serde_transport::new(codec.new_framed(Counted($stream)), Bincode::default())
    }};
}

/// The calls of `wire::peer::Peer` that distribute declarations.
#[tarpc::service]
trait Calls {
    async fn pull(have: Version, wait_ms: u64) -> Update;
    async fn in_force() -> Vec<Version>;
}

#[derive(Clone)]
struct Server(Synchronizer);

impl Calls for Server {
    async fn pull(self, _context: context::Context, have: Version, wait_ms: u64) -> Update {
        self.0.handle_pull(have, wait_ms).await
    }

    async fn in_force(self, _context: context::Context) -> Vec<Version> {
        self.0.in_force()
    }
}

/// Connections to the other instances, made on first use.
#[derive(Clone)]
struct Links(Arc<Map<name::Instance, (SocketAddr, OnceCell<CallsClient>)>>);

impl Links {
    async fn client(&self, peer: &name::Instance) -> &CallsClient {
        let (address, cell) = &self.0[peer];
        cell.get_or_init(|| async {
            let stream = TcpStream::connect(address).await.unwrap();
            CallsClient::new(client::Config::default(), transport!(stream)).spawn()
        })
        .await
    }
}

fn deadline() -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + CALL_LIMIT;
    context
}

impl peer::Client for Links {
    async fn pull(
        &self,
        peer: &name::Instance,
        have: Version,
        wait: Duration,
    ) -> Result<Update, peer::Error> {
        let wait_ms = wait.as_millis() as u64;
        let answer = self.client(peer).await.pull(deadline(), have, wait_ms).await;
        answer.map_err(|error| peer::Error { peer: peer.clone(), cause: error.to_string() })
    }

    async fn in_force(&self, peer: &name::Instance) -> Result<Vec<Version>, peer::Error> {
        let answer = self.client(peer).await.in_force(deadline()).await;
        answer.map_err(|error| peer::Error { peer: peer.clone(), cause: error.to_string() })
    }
}

/// The instances.
pub struct Fleet {
    /// The log that all replicas share.
    pub logs: Memory,
    indexed: Vec<watch::Receiver<u64>>,
}

impl Fleet {
    /// Starts the given number of instances.
    pub async fn start(instances: usize) -> Fleet {
        let logs = Memory::default();
        let mut listeners = Vec::new();
        for _ in 0..instances {
            listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
        }
        let addresses: Vec<SocketAddr> =
            listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
        let indexed = listeners
            .into_iter()
            .enumerate()
            .map(|(own, listener)| start(own, listener, &addresses, &logs))
            .collect();
        Fleet { logs, indexed }
    }

    /// Waits until all instances have indexed a version.
    pub async fn wait_for(&self, version: u64) {
        let waits = self.indexed.iter().cloned().map(|mut indexed| async move {
            indexed.wait_for(|&indexed| indexed >= version).await.unwrap();
        });
        future::join_all(waits).await;
    }
}

fn name(number: usize) -> String {
    format!("instance-{number}")
}

fn data_centre(number: usize) -> String {
    format!("dc-{}", number / PER_DATA_CENTRE)
}

/// Whether an instance keeps a replica: the first one of each of the first data centres, or, with fewer data centres
/// than replicas, evenly spaced instances.
fn keeps_replica(number: usize, instances: usize) -> bool {
    let spacing = PER_DATA_CENTRE.min(instances / REPLICAS);
    number.is_multiple_of(spacing) && number / spacing < REPLICAS
}

fn start(
    own: usize,
    listener: TcpListener,
    addresses: &[SocketAddr],
    logs: &Memory,
) -> watch::Receiver<u64> {
    let branches =
        |number| if keeps_replica(number, addresses.len()) { vec![BRANCH] } else { vec![] };
    let others = || addresses.iter().enumerate().filter(|&(number, _)| number != own);
    let peers: Vec<_> = others()
        .map(|(number, address)| {
            json!({ "name": name(number), "data_centre": data_centre(number),
                "address": address, "replicas": branches(number) })
        })
        .collect();
    let replicas: Vec<_> = branches(own).iter().map(|branch| json!({ "branch": branch })).collect();
    let instance = serde_json::from_value(json!({ "name": name(own),
        "data_centre": data_centre(own), "callers": "127.0.0.1:1", "control": "127.0.0.1:2",
        "peers_listen": "127.0.0.1:3", "peers": peers, "replicas": replicas }))
    .unwrap();
    let links = others()
        .map(|(number, &address)| (name(number).into(), (address, OnceCell::new())))
        .collect();
    let options = Options {
        instance: Arc::new(instance),
        log: Logger::root(Discard, o!()),
        stop: cancel::Token::new(),
    };
    let synchronizer =
        Synchronizer::start(options, logs, &Links(Arc::new(links)), &Handle::current()).unwrap();
    tokio::spawn(accept(listener, synchronizer.clone()));
    let (sender, indexed) = watch::channel(0);
    tokio::spawn(index(synchronizer, sender));
    indexed
}

async fn accept(listener: TcpListener, synchronizer: Synchronizer) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let channel = BaseChannel::with_defaults(transport!(stream));
        let responses = channel.execute(Server(synchronizer.clone()).serve());
        tokio::spawn(responses.for_each(|response| async {
            tokio::spawn(response);
        }));
    }
}

/// Indexes the declarations as the daemon does.
async fn index(synchronizer: Synchronizer, sender: watch::Sender<u64>) {
    let mut views = synchronizer.watch();
    let mut in_force = Directory::default();
    loop {
        let view = Arc::clone(&views.borrow_and_update());
        in_force = in_force.next(&view.tree()).unwrap();
        sender.send_replace(view.version(&BRANCH.into()));
        if views.changed().await.is_err() {
            return;
        }
    }
}
