//! The thread that keeps the table of targets and instances, and exchanges it with the other instances.

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

const RING_COMMANDS: usize = 4_096;
/// Longest wait for a peer's answer.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Other data centres that summaries are exchanged with in one round.
const FAR_EXCHANGES: usize = 2;
/// Longest wait for the router's own counts.
const ROUTER_LIMIT: Duration = Duration::from_millis(200);

/// Messages to the thread.
#[derive(Debug)]
pub enum Command {
    /// A target announced itself here.
    Announce(Box<target::Announcement>),
    /// A peer sent a message and waits for the answer.
    GossipRequest(Vec<u8>, oneshot::Sender<Vec<u8>>),
    /// A peer answered.
    GossipResponse(name::Instance, Vec<u8>),
    /// An instance of another data centre sent its summary and waits for the own one.
    SummaryRequest(Vec<u8>, oneshot::Sender<Vec<u8>>),
    /// An instance of another data centre answered with its summary.
    SummaryResponse(Vec<u8>),
}

/// Sends commands to the thread.
#[derive(Clone, Debug)]
pub struct Handle(ring::Sender<Command>);

impl Handle {
    /// Takes in an announcement without waiting.
    ///
    /// # Errors
    ///
    /// Returns the ring's refusal when it is full or the thread has ended.
    pub fn announce(&self, announcement: target::Announcement) -> Result<(), ring::Refusal> {
        self.0.send(Command::Announce(Box::new(announcement)))
    }

    /// Answers a peer's message; empty where the thread is too busy.
    pub async fn gossip(&self, message: Vec<u8>) -> Vec<u8> {
        let (reply, answer) = oneshot::channel();
        if self.0.send(Command::GossipRequest(message, reply)).is_err() {
            return Vec::new();
        }
        answer.await.unwrap_or_default()
    }

    /// Takes in another data centre's summary and answers with the own one; empty where the thread is too busy.
    pub async fn exchange_summary(&self, summary: Vec<u8>) -> Vec<u8> {
        let (reply, answer) = oneshot::channel();
        if self.0.send(Command::SummaryRequest(summary, reply)).is_err() {
            return Vec::new();
        }
        answer.await.unwrap_or_default()
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
    let duty = Duty::new(context, router, registry, sender.clone());
    let end = context.end.clone();
    let thread = thread::Builder::new()
        .name(String::from("membership"))
        .spawn(move || duty.run(&receiver, &end))?;
    Ok((Handle(sender), thread))
}

/// What another data centre can take, as the router is told.
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

struct Duty {
    table: Table,
    /// The other data centre whose turn it is.
    far_turn: usize,
    links: Map<name::Instance, Arc<Link>>,
    router: router::Handle,
    /// Takes announcements for orders.
    registry: Registry,
    neighbours: Map<name::Target, u32>,
    instances: u32,
    commands: ring::Sender<Command>,
    runtime: runtime::Handle,
    log: Logger,
}

impl Duty {
    fn new(
        context: &Context,
        router: router::Handle,
        registry: Registry,
        commands: ring::Sender<Command>,
    ) -> Duty {
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
        Duty {
            far_turn: 0,
            table: Table::new(origin, &seeds, incarnation, Moment::now()),
            links: links.collect(),
            router,
            registry,
            neighbours: Map::default(),
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
                self.round();
                next = Moment::now() + self.table.exchange_period();
            }
            self.pass_on();
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Announce(announcement) => self.announce(*announcement),
            Command::GossipRequest(bytes, reply) => {
                let answer = self.answer(&bytes).map(|answer| answer.encode());
                // A peer that has given up asks again in its next round.
                let _unsent = reply.send(answer.unwrap_or_default());
            }
            Command::SummaryRequest(bytes, reply) => {
                self.hear_summary(&bytes);
                let _unsent = reply.send(self.table.summary(clock::unix_ms()).encode());
            }
            Command::SummaryResponse(bytes) => self.hear_summary(&bytes),
            Command::GossipResponse(peer, bytes) => {
                if let Some(last) = self.answer(&bytes).filter(|last| !last.deltas.is_empty()) {
                    self.send(&peer, &last);
                }
            }
        }
    }

    fn announce(&mut self, announcement: target::Announcement) {
        let before = self.table.own_version();
        let now = Moment::now();
        if self.table.receive_announcement(announcement, now) != Outcome::Changed {
            return;
        }
        let push = self.table.updates_since(before, now);
        let neighbours: Vec<name::Instance> = self.table.local_peers().cloned().collect();
        for neighbour in neighbours {
            self.send(&neighbour, &push);
        }
    }

    fn answer(&mut self, bytes: &[u8]) -> Option<Message> {
        let message = Message::decode(bytes).ok()?;
        Some(self.table.receive(message, Moment::now()))
    }

    fn round(&mut self) {
        if let Some(own) = self.own_requests() {
            self.table.set_outstanding(own);
        }
        self.table.tick(Moment::now());
        let alive = self.table.alive_instances();
        if alive != self.instances && self.tell(router::Command::Instances(alive)).is_ok() {
            self.instances = alive;
        }
        let open = self.table.start_exchange();
        for partner in self.table.gossip_peers() {
            self.send(&partner, &open);
        }
        if self.table.is_representative() {
            self.exchange_summaries();
        }
    }

    /// Exchanges summaries with a few other data centres, each in its turn.
    fn exchange_summaries(&mut self) {
        let mut partners = self.table.remote_peers();
        if partners.is_empty() {
            return;
        }
        let turn = self.far_turn % partners.len();
        self.far_turn = turn + FAR_EXCHANGES;
        partners.rotate_left(turn);
        let summary = self.table.summary(clock::unix_ms()).encode();
        for partner in partners.iter().take(FAR_EXCHANGES) {
            self.send_summary(partner, summary.clone());
        }
    }

    fn send_summary(&self, partner: &name::Instance, summary: Vec<u8>) {
        let Some(link) = self.links.get(partner).cloned() else {
            return;
        };
        let commands = self.commands.clone();
        metrics::counter!("daisydrum_membership_sent_bytes_total").increment(summary.len() as u64);
        self.runtime.spawn(async move {
            let call = async |client: &wire::peer::PeerClient, context| {
                client.summary(context, summary).await
            };
            let answer = link.call(CALL_LIMIT, call).await.unwrap_or_default();
            if !answer.is_empty() && commands.send(Command::SummaryResponse(answer)).is_err() {
                metrics::counter!("daisydrum_membership_ring_full_total").increment(1);
            }
        });
    }

    fn hear_summary(&mut self, bytes: &[u8]) {
        if let Ok(summary) = Summary::decode(bytes) {
            self.table.receive_summary(summary, Moment::now());
        }
    }

    /// The router's own counts; `None` while it is too busy to tell.
    fn own_requests(&self) -> Option<Vec<event::Outstanding>> {
        let (reply, counts) = oneshot::channel();
        self.tell(router::Command::ListOutstanding(reply)).ok()?;
        let counts = self.runtime.block_on(async { time::timeout(ROUTER_LIMIT, counts).await });
        let counts = counts.ok()?.ok()?.into_iter();
        Some(
            counts
                .map(|own| event::Outstanding { target: own.target, requests: own.requests })
                .collect(),
        )
    }

    /// Sends a message to a peer in the background; its answer comes back as a command.
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
            let answer = link.call(CALL_LIMIT, call).await.unwrap_or_default();
            if !answer.is_empty() && commands.send(Command::GossipResponse(peer, answer)).is_err() {
                metrics::counter!("daisydrum_membership_ring_full_total").increment(1);
            }
        });
    }

    /// Tells the router what the table has learned.
    fn pass_on(&mut self) {
        while let Some(event) = self.table.next_event() {
            match event {
                Event::Announced(announcement) => {
                    self.registry.put(&announcement, Moment::now());
                    // The target announces itself again within a second.
                    let _full = self.tell(router::Command::Announce(announcement));
                }
                Event::TargetsLost(targets) => self.lose(targets),
                Event::InstancesUp(instances) => {
                    info!(self.log, "instances_up"; "instances" => joined(&instances));
                }
                Event::InstancesLost { instances, data_centres } => {
                    warn!(self.log, "instances_lost"; "instances" => joined(&instances),
                        "whole_data_centres" => joined(&data_centres));
                }
                Event::PeerOutstanding(sums) => self.hear_neighbours(sums),
                Event::Summary(summary) => {
                    // The next summary follows within seconds.
                    let _full = self
                        .tell(router::Command::RemoteCapacity(Box::new(remote_capacity(summary))));
                }
            }
        }
    }

    fn lose(&mut self, targets: Vec<name::Target>) {
        info!(self.log, "targets_lost"; "targets" => joined(&targets));
        for target in targets {
            self.neighbours.remove(&target);
            // The router ends the lease by itself, too.
            let _full = self.tell(router::Command::RemoveTarget(target));
        }
    }

    fn hear_neighbours(&mut self, sums: Vec<event::Outstanding>) {
        for event::Outstanding { target, requests } in sums {
            let before = self.neighbours.get(&target).copied().unwrap_or_default();
            if before == 0 && requests == 0 {
                continue;
            }
            let told = Outstanding { target: target.clone(), requests };
            if self.tell(router::Command::PeerOutstanding(told)).is_ok() {
                self.neighbours.insert(target, requests);
            }
        }
    }

    fn tell(&self, command: router::Command) -> Result<(), ring::Refusal> {
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

fn joined<T: ToString>(names: &[T]) -> String {
    names.iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
}
