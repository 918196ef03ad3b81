//! A cluster of replicas in one process, each with its own runtime, listener and folder.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use common::{cancel, collections::Map, name};
use consensus::{message::Envelope, options::Options, status::Role, status::Status};
use futures::StreamExt;
use replica::{
    client::Client,
    host::{self, Bootstrap, Handle, Host},
    transport::Peer as TransportPeer,
};
use tarpc::{
    context, serde_transport,
    server::{self, Channel},
    tokio_serde::formats::Bincode,
};
use telemetry::log as logger;
use tokio::{runtime::Runtime, sync::watch};
use tokio_util::codec::LengthDelimitedCodec;
use wire::{
    link::{self, Link},
    log::{Change, Outcome, State},
    peer::{self, Peer},
    spread,
};

use crate::machine::RecentCommands;

const SUBMIT_LIMIT: Duration = Duration::from_millis(500);

/// Submits one command; returns whether it was accepted.
pub async fn submit(client: &Client, bytes: usize) -> bool {
    client.submit::<Vec<u8>, u64>(&branch(), &vec![7; bytes], SUBMIT_LIMIT).await.is_ok()
}

fn branch() -> name::Branch {
    name::Branch::from("venture")
}

pub struct Cluster {
    pub client: Client,
    folder: PathBuf,
    options: Options,
    addresses: Vec<SocketAddr>,
    delays: Vec<Arc<AtomicU64>>,
    running: Mutex<Vec<Option<Running>>>,
}

struct Running {
    handle: Handle,
    threads: Vec<JoinHandle<()>>,
    end: cancel::Token,
    runtime: Runtime,
}

impl Cluster {
    pub async fn start(folder: &Path, count: usize, options: Options) -> Cluster {
        let _absent = std::fs::remove_dir_all(folder);
        let listeners: Vec<TcpListener> =
            (0..count).map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap()).collect();
        let addresses: Vec<SocketAddr> =
            listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
        drop(listeners);
        let peers = peers(&addresses, None);
        let client = Client::new(name::Instance::from("client"), Host::default(), peers);
        let cluster = Cluster {
            client,
            folder: folder.to_path_buf(),
            options,
            delays: addresses.iter().map(|_| Arc::default()).collect(),
            running: Mutex::new(addresses.iter().map(|_| None).collect()),
            addresses,
        };
        for number in 0..count {
            cluster.restart(number).await;
        }
        cluster.leader().await;
        cluster
    }

    pub async fn restart(&self, number: usize) {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let end = cancel::Token::new();
        let settings = host::Settings {
            branch: branch(),
            instance: instance(number),
            folder: self.folder.join(number.to_string()),
            bootstrap: Bootstrap::Founder,
            peers: peers(&self.addresses, Some(number)),
            contacts: watch::Sender::default().subscribe(),
            join_policy: host::JoinPolicy::Manual,
            options: self.options,
            runtime: runtime.handle().clone(),
            logger: logger::discard(),
            stop: end.clone(),
            end: end.clone(),
        };
        let started = host::start(settings, RecentCommands::default()).unwrap();
        let server = Server {
            host: Host::new(Map::from_iter([(branch(), started.handle.clone())])),
            delay_us: Arc::clone(&self.delays[number]),
            receiving: Arc::default(),
        };
        runtime.spawn(serve(self.addresses[number], server));
        let running = Running { handle: started.handle, threads: started.threads, end, runtime };
        self.running.lock().unwrap()[number] = Some(running);
    }

    /// Ends a replica. What it wrote without a sync is kept by the kernel, as when a process is killed.
    pub fn kill(&self, number: usize) {
        let running = self.running.lock().unwrap()[number].take();
        if let Some(running) = running {
            running.end.cancel();
            running.runtime.shutdown_background();
            running.threads.into_iter().for_each(|thread| thread.join().unwrap());
        }
    }

    pub fn stop(self) {
        (0..self.addresses.len()).for_each(|number| self.kill(number));
    }

    /// Delays a replica by this time for each entry that it receives.
    pub fn slow_down(&self, number: usize, delay: Duration) {
        let delay = u64::try_from(delay.as_micros()).unwrap();
        self.delays[number].store(delay, Ordering::Relaxed);
    }

    fn statuses(&self) -> Vec<Option<Status>> {
        let running = self.running.lock().unwrap();
        running.iter().map(|running| running.as_ref()?.handle.status()).collect()
    }

    pub async fn leader(&self) -> usize {
        loop {
            let statuses = self.statuses();
            let leads = |status: &Option<Status>| {
                status.as_ref().is_some_and(|status| status.role == Role::Leader && status.settled)
            };
            if let Some(leader) = statuses.iter().position(leads) {
                return leader;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Entries that a replica lacks.
    pub async fn lag(&self, number: usize) -> u64 {
        let statuses = self.statuses();
        let last = statuses.iter().flatten().map(|status| status.last.index).max().unwrap_or(0);
        last - statuses[number].as_ref().map_or(0, |status| status.last.index)
    }

    pub async fn until_caught_up(&self, number: usize) {
        let end = self.statuses().iter().flatten().map(|status| status.commit).max().unwrap();
        let caught_up = || self.statuses()[number].as_ref().is_some_and(|own| own.commit >= end);
        while !caught_up() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

fn instance(number: usize) -> name::Instance {
    name::Instance(format!("i{number}"))
}

fn peers(addresses: &[SocketAddr], own: Option<usize>) -> Vec<TransportPeer> {
    let peer = |(number, address): (usize, &SocketAddr)| TransportPeer {
        instance: instance(number),
        branches: vec![branch()],
        link: Arc::new(Link::new(*address)),
    };
    addresses.iter().enumerate().filter(|(number, _)| Some(*number) != own).map(peer).collect()
}

#[derive(Clone)]
struct Server {
    host: Host,
    delay_us: Arc<AtomicU64>,
    /// Held while a delayed message is received, so that a slow replica receives one message after the other.
    receiving: Arc<tokio::sync::Mutex<()>>,
}

impl Server {
    fn handle(&self) -> Handle {
        self.host.replica(&branch()).unwrap().clone()
    }
}

impl Peer for Server {
    async fn identify(self, _context: context::Context) -> peer::Identity {
        unreachable!("not called in this example")
    }

    async fn pull(
        self,
        _context: context::Context,
        _have: spread::Version,
        _wait_ms: u64,
    ) -> spread::Update {
        unreachable!("not called in this example")
    }

    async fn gossip(self, _context: context::Context, _message: Vec<u8>) -> Vec<u8> {
        Vec::new()
    }

    async fn summary(self, _context: context::Context, _summary: Vec<u8>) -> Vec<u8> {
        Vec::new()
    }

    async fn exchange(self, _context: context::Context, _question: Vec<u8>) -> Vec<u8> {
        Vec::new()
    }

    async fn offered(self, _context: context::Context) -> peer::Counts {
        unreachable!("not called in this example")
    }

    async fn in_force(self, _context: context::Context) -> Vec<spread::Version> {
        Vec::new()
    }

    async fn log_step(
        self,
        _context: context::Context,
        _branch: name::Branch,
        from: name::Instance,
        envelopes: Vec<Envelope>,
    ) {
        let delay = Duration::from_micros(self.delay_us.load(Ordering::Relaxed));
        if !delay.is_zero() {
            // The task outlives the call, like a backlog in a socket's buffer.
            tokio::spawn(async move {
                let _guard = self.receiving.lock().await;
                let entries = envelopes.iter().map(entries).sum();
                tokio::time::sleep(delay * entries).await;
                self.handle().receive(from, envelopes);
            });
            return;
        }
        self.handle().receive(from, envelopes);
    }

    async fn submit(
        self,
        _context: context::Context,
        _branch: name::Branch,
        command: Vec<u8>,
    ) -> Outcome {
        self.handle().submit(command).await
    }

    async fn query(
        self,
        _context: context::Context,
        _branch: name::Branch,
        query: Vec<u8>,
    ) -> Outcome {
        self.handle().query(query).await
    }

    async fn standing(self, _context: context::Context, _branch: name::Branch) -> State {
        self.handle().standing()
    }

    async fn change_members(
        self,
        _context: context::Context,
        _branch: name::Branch,
        wish: Change,
    ) -> Outcome {
        self.handle().change_members(wish).await
    }

    async fn replica(self, _context: context::Context, _branch: name::Branch) -> Option<Status> {
        self.handle().status()
    }
}

fn entries(envelope: &Envelope) -> u32 {
    match &envelope.body {
        consensus::message::Body::Append(append) => u32::try_from(append.entries.len()).unwrap(),
        _ => 0,
    }
}

async fn serve(address: SocketAddr, server: Server) {
    let listener = tokio::net::TcpSocket::new_v4().unwrap();
    listener.set_reuseaddr(true).unwrap();
    listener.bind(address).unwrap();
    let listener = listener.listen(64).unwrap();
    while let Ok((stream, _)) = listener.accept().await {
        wire::socket::configure(&stream, wire::socket::Kind::Peer).unwrap();
        let mut codec = LengthDelimitedCodec::builder();
        codec.max_frame_length(link::MAX_FRAME_BYTES);
        let transport = serde_transport::new(codec.new_framed(stream), Bincode::default());
        let calls = server::BaseChannel::with_defaults(transport).execute(server.clone().serve());
        tokio::spawn(calls.for_each(|call| async {
            tokio::spawn(call);
        }));
    }
}
