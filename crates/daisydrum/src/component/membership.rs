//! Keeps the table of targets and instances on a thread of its own and exchanges it with other instances by gossip.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use ::orders::registry::Registry;
use common::{cancel, clock, clock::Moment, collections::Map, name, ring};
use entry::router;
use membership::{
    event::{self, Event},
    message::{Capacity, Message, Origin, Summary},
    table::{Outcome, Seed, Table},
};
use route::router::{Outstanding, Owner};
use slog::{Logger, info, warn};
use tokio::{runtime, sync::oneshot, time};
use wire::{link::Link, target};

use crate::context::Context;

/// Commands that the thread's ring holds; further ones are refused.
const RING_COMMANDS: usize = 4_096;
/// Longest wait for a peer's response.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of other data centres with which summaries are exchanged in one round.
const SUMMARIES_PER_ROUND: usize = 2;
/// Longest wait for the router's counts of outstanding requests.
const ROUTER_TIMEOUT: Duration = Duration::from_millis(200);

/// Commands to the thread.
#[derive(Debug)]
pub enum Command {
    /// A target announced itself here.
    Announce(Box<target::Announcement>),
    /// A peer sent a gossip message and waits for the response.
    GossipRequest(Vec<u8>, oneshot::Sender<Vec<u8>>),
    /// A peer responded to a gossip message of this instance.
    GossipResponse(name::Instance, Vec<u8>),
    /// An instance of another data centre sent its summary and waits for this data centre's.
    SummaryRequest(Vec<u8>, oneshot::Sender<Vec<u8>>),
    /// An instance of another data centre responded with its summary.
    SummaryResponse(Vec<u8>),
}

/// Sends commands to the thread; clones share its ring.
#[derive(Clone, Debug)]
pub struct Handle(ring::Sender<Command>);

impl Handle {
    /// Passes an announcement to the thread without waiting.
    ///
    /// # Errors
    ///
    /// Returns the ring's refusal when it is full or the thread has ended.
    pub fn announce(&self, announcement: target::Announcement) -> Result<(), ring::Refusal> {
        self.0.send(Command::Announce(Box::new(announcement)))
    }

    /// Responds to a peer's gossip message; the response is empty if the ring is full or the thread has ended.
    pub async fn gossip(&self, message: Vec<u8>) -> Vec<u8> {
        let (reply, response) = oneshot::channel();
        if self.0.send(Command::GossipRequest(message, reply)).is_err() {
            return Vec::new();
        }
        response.await.unwrap_or_default()
    }

    /// Records another data centre's summary and responds with this one's; the response is empty if the ring is full
    /// or the thread has ended.
    pub async fn exchange_summary(&self, summary: Vec<u8>) -> Vec<u8> {
        let (reply, response) = oneshot::channel();
        if self.0.send(Command::SummaryRequest(summary, reply)).is_err() {
            return Vec::new();
        }
        response.await.unwrap_or_default()
    }
}

/// Starts the thread; it ends once `context.end` is cancelled.
///
/// # Errors
///
/// Returns the operating system's error when the thread can't be started.
pub fn start(
    context: &Context,
    router: router::Handle,
    registry: Registry,
) -> io::Result<(Handle, JoinHandle<()>)> {
    let (sender, receiver) = ring::bounded(RING_COMMANDS);
    let worker = Worker::new(context, router, registry, sender.clone());
    let end = context.end.clone();
    let thread = thread::Builder::new()
        .name(String::from("membership"))
        .spawn(move || worker.run(&receiver, &end))?;
    Ok((Handle(sender), thread))
}

/// Converts another data centre's summary to the capacity that the router accounts for.
fn remote_capacity(summary: Summary) -> router::RemoteCapacity {
    let service = |capacity: Capacity| router::ServiceCapacity {
        owner: Owner { partner: capacity.partner, service: capacity.service },
        kind: capacity.kind,
        models: capacity.models,
        slots: capacity.slots,
        load: capacity.load,
    };
    router::RemoteCapacity {
        data_centre: summary.data_centre,
        addresses: summary.callers,
        services: summary.services.into_iter().map(service).collect(),
    }
}

struct Worker {
    table: Table,
    /// Index of the data centre with which summaries are exchanged next, before the remainder is taken.
    next_data_centre: usize,
    links: Map<name::Instance, Arc<Link>>,
    router: router::Handle,
    /// Announcements from which orders are planned.
    registry: Registry,
    /// Other instances' requests on each target, as last sent to the router.
    peer_outstanding: Map<name::Target, u32>,
    /// Number of live instances last sent to the router.
    instances: u32,
    commands: ring::Sender<Command>,
    runtime: runtime::Handle,
    log: Logger,
}

impl Worker {
    fn new(
        context: &Context,
        router: router::Handle,
        registry: Registry,
        commands: ring::Sender<Command>,
    ) -> Worker {
        let incarnation = clock::unix_ms();
        let origin = origin(context, context.settings.callers, incarnation);
        let seeds: Vec<Seed> = context
            .peers
            .iter()
            .map(|peer| Seed {
                instance: peer.instance.clone(),
                data_centre: peer.data_centre.clone(),
            })
            .collect();
        let links =
            context.peers.iter().map(|peer| (peer.instance.clone(), Arc::clone(&peer.link)));
        Worker {
            next_data_centre: 0,
            table: Table::new(origin, &seeds, incarnation, Moment::now()),
            links: links.collect(),
            router,
            registry,
            peer_outstanding: Map::default(),
            instances: 0,
            commands,
            runtime: context.runtime.clone(),
            log: context.log.clone(),
        }
    }

    fn run(mut self, commands: &ring::Receiver<Command>, end: &cancel::Token) {
        let mut next = Moment::now();
        while !end.is_cancelled() {
            let wait = next.since(Moment::now());
            if let Ok(command) = commands.recv_timeout(wait) {
                self.handle(command);
            }
            if Moment::now() >= next {
                self.run_round();
                next = Moment::now() + self.table.exchange_period();
            }
            self.forward_events();
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Announce(announcement) => self.announce(*announcement),
            Command::GossipRequest(bytes, reply) => {
                let response = self.respond(&bytes).map(|response| response.encode());
                // A peer that no longer waits sends another message in its next round.
                let _unsent = reply.send(response.unwrap_or_default());
            }
            Command::SummaryRequest(bytes, reply) => {
                self.handle_summary(&bytes);
                let _unsent = reply.send(self.table.summary(clock::unix_ms()).encode());
            }
            Command::SummaryResponse(bytes) => self.handle_summary(&bytes),
            Command::GossipResponse(peer, bytes) => {
                if let Some(last) = self.respond(&bytes).filter(|last| !last.deltas.is_empty()) {
                    self.send(&peer, &last);
                }
            }
        }
    }

    /// Records an announcement and pushes it to peers at once if the table considers it urgent.
    fn announce(&mut self, announcement: target::Announcement) {
        let before = self.table.own_version();
        let now = Moment::now();
        if self.table.receive_announcement(announcement, now) != Outcome::Changed {
            return;
        }
        let push = self.table.updates_since(before, now);
        let peers: Vec<name::Instance> = self.table.local_peers().cloned().collect();
        for peer in peers {
            self.send(&peer, &push);
        }
    }

    /// Merges a peer's message into the table and builds the message that continues the exchange; `None` if the peer's
    /// can't be decoded.
    fn respond(&mut self, bytes: &[u8]) -> Option<Message> {
        let message = Message::decode(bytes).ok()?;
        Some(self.table.receive(message, Moment::now()))
    }

    fn run_round(&mut self) {
        if let Some(own) = self.own_outstanding() {
            self.table.set_outstanding(own);
        }
        self.table.tick(Moment::now());
        let alive = self.table.alive_instances();
        if alive != self.instances && self.send_to_router(router::Command::Instances(alive)).is_ok()
        {
            self.instances = alive;
        }
        let open = self.table.start_exchange();
        for peer in self.table.gossip_peers() {
            self.send(&peer, &open);
        }
        if self.table.is_representative() {
            self.exchange_summaries();
        }
    }

    /// Exchanges summaries with [`SUMMARIES_PER_ROUND`] other data centres, round-robin.
    fn exchange_summaries(&mut self) {
        let mut peers = self.table.remote_peers();
        if peers.is_empty() {
            return;
        }
        let turn = self.next_data_centre % peers.len();
        self.next_data_centre = turn + SUMMARIES_PER_ROUND;
        peers.rotate_left(turn);
        let summary = self.table.summary(clock::unix_ms()).encode();
        for peer in peers.iter().take(SUMMARIES_PER_ROUND) {
            self.send_summary(peer, summary.clone());
        }
    }

    fn send_summary(&self, peer: &name::Instance, summary: Vec<u8>) {
        let Some(link) = self.links.get(peer).cloned() else {
            return;
        };
        let commands = self.commands.clone();
        metrics::counter!("daisydrum_membership_sent_bytes_total").increment(summary.len() as u64);
        self.runtime.spawn(async move {
            let call = async |client: &wire::peer::PeerClient, context| {
                client.summary(context, summary).await
            };
            let response = link.call(CALL_TIMEOUT, call).await.unwrap_or_default();
            if !response.is_empty() && commands.send(Command::SummaryResponse(response)).is_err() {
                metrics::counter!("daisydrum_membership_ring_full_total").increment(1);
            }
        });
    }

    fn handle_summary(&mut self, bytes: &[u8]) {
        if let Ok(summary) = Summary::decode(bytes) {
            self.table.receive_summary(summary, Moment::now());
        }
    }

    /// Asks the router for this instance's outstanding requests; `None` if it doesn't reply in time.
    fn own_outstanding(&self) -> Option<Vec<event::Outstanding>> {
        let (reply, counts) = oneshot::channel();
        self.send_to_router(router::Command::ListOutstanding(reply)).ok()?;
        let counts = self.runtime.block_on(async { time::timeout(ROUTER_TIMEOUT, counts).await });
        let counts = counts.ok()?.ok()?.into_iter();
        Some(
            counts
                .map(|own| event::Outstanding { target: own.target, requests: own.requests })
                .collect(),
        )
    }

    /// Sends a message to a peer in the background; the response comes back as a command.
    fn send(&self, peer: &name::Instance, message: &Message) {
        let Some(link) = self.links.get(peer).cloned() else {
            return;
        };
        let (peer, commands) = (peer.clone(), self.commands.clone());
        let bytes = message.encode();
        metrics::counter!("daisydrum_membership_sent_bytes_total").increment(bytes.len() as u64);
        self.runtime.spawn(async move {
            let call = async |client: &wire::peer::PeerClient, context| {
                client.gossip(context, bytes).await
            };
            let response = link.call(CALL_TIMEOUT, call).await.unwrap_or_default();
            if !response.is_empty()
                && commands.send(Command::GossipResponse(peer, response)).is_err()
            {
                metrics::counter!("daisydrum_membership_ring_full_total").increment(1);
            }
        });
    }

    /// Forwards the table's events to the router and the log.
    fn forward_events(&mut self) {
        while let Some(event) = self.table.next_event() {
            match event {
                Event::Announced(announcement) => {
                    self.registry.put(&announcement, Moment::now());
                    // If the ring is full: the target announces itself again within a second.
                    let _full = self.send_to_router(router::Command::Announce(announcement));
                }
                Event::TargetsLost(targets) => self.remove_targets(targets),
                Event::InstancesUp(instances) => {
                    info!(self.log, "instances_up"; "instances" => comma_separated(&instances));
                }
                Event::InstancesLost { instances, data_centres } => {
                    warn!(self.log, "instances_lost"; "instances" => comma_separated(&instances),
                        "whole_data_centres" => comma_separated(&data_centres));
                }
                Event::PeerOutstanding(outstanding) => self.forward_peer_outstanding(outstanding),
                Event::Summary(summary) => {
                    // If the ring is full: the next summary follows within seconds.
                    let _full = self.send_to_router(router::Command::RemoteCapacity(Box::new(
                        remote_capacity(summary),
                    )));
                }
            }
        }
    }

    fn remove_targets(&mut self, targets: Vec<name::Target>) {
        info!(self.log, "targets_lost"; "targets" => comma_separated(&targets));
        for target in targets {
            self.peer_outstanding.remove(&target);
            // If the ring is full: the router also ends the target's lease by itself.
            let _full = self.send_to_router(router::Command::RemoveTarget(target));
        }
    }

    fn forward_peer_outstanding(&mut self, outstanding: Vec<event::Outstanding>) {
        for event::Outstanding { target, requests } in outstanding {
            let before = self.peer_outstanding.get(&target).copied().unwrap_or_default();
            if before == 0 && requests == 0 {
                continue;
            }
            let update = Outstanding { target: target.clone(), requests };
            if self.send_to_router(router::Command::PeerOutstanding(update)).is_ok() {
                self.peer_outstanding.insert(target, requests);
            }
        }
    }

    fn send_to_router(&self, command: router::Command) -> Result<(), ring::Refusal> {
        self.router.send(command)
    }
}

fn origin(context: &Context, callers: SocketAddr, incarnation: u64) -> Origin {
    Origin {
        instance: context.identity.instance.clone(),
        data_centre: context.identity.data_centre.clone(),
        incarnation,
        callers,
    }
}

fn comma_separated<T: ToString>(names: &[T]) -> String {
    names.iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
}
