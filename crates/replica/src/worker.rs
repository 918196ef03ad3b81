//! Worker thread: steps the consensus node and applies commands to the state machine.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use common::{cancel, clock::Moment, collections::Map, name, ring};
use consensus::{
    effect::{Effect, Event, Proposal},
    entry::{Entry, Payload, Position, Snapshot},
    member::{Change, Config, Id, Member},
    message::Envelope,
    node::Node,
    reconfiguration,
    status::{Role, Status},
};
use slog::{Logger, error, info};
use wire::log::{self, Outcome};

use crate::{
    codec,
    disk::{self, Job},
    host::JoinPolicy,
    pending::{self, Pending, Query, Responder},
    state_machine::StateMachine,
    transport::Transport,
};

/// Capacity of the queue to a worker.
pub(crate) const RING_INPUTS: usize = 4_096;
const TICK: Duration = Duration::from_millis(20);
const BATCH_INPUTS: usize = 512;
const MAX_PENDING: usize = 4_096;
/// Fewest entries between two snapshots, unless they are large.
const SNAPSHOT_ENTRIES: u64 = 256;
/// Size of the entries between two snapshots, in bytes, from which on their number doesn't matter.
const SNAPSHOT_BYTES: usize = 8 * 1024 * 1024;

/// Input of a worker.
#[derive(Debug)]
pub(crate) enum Input {
    /// A write has become durable.
    Wake,
    /// Messages from the replica on an instance.
    Messages(name::Instance, Vec<Envelope>),
    Submit(Vec<u8>, Responder),
    Query(Query),
    Members(log::Change, Responder),
}

/// State of a worker thread.
pub(crate) struct Worker<M> {
    pub instance: name::Instance,
    pub node: Node,
    pub join_policy: JoinPolicy,
    pub machine: M,
    pub applied: u64,
    pub inputs: ring::Receiver<Input>,
    pub jobs: ring::Sender<Job>,
    pub synced: Arc<AtomicU64>,
    pub transport: Transport,
    pub status: Arc<Mutex<Option<Status>>>,
    pub logger: Logger,
    pub end: cancel::Token,
    /// Cancelled when the disk thread has ended.
    pub disk_ended: cancel::Token,
    pub state: State,
}

/// What a worker remembers between its rounds.
#[derive(Debug, Default)]
pub(crate) struct State {
    pending: Pending,
    /// Instances of the known replicas, by identity.
    instances: Map<Id, name::Instance>,
    /// Identities of the replicas that asked to join, by instance.
    join_requests: Map<name::Instance, Id>,
    last_synced: u64,
    /// Index of the last snapshot.
    snapshot_index: u64,
    /// Size of the last snapshot, in bytes.
    snapshot_bytes: usize,
    /// Size of the entries applied since then, in bytes.
    applied_bytes: usize,
    leads: bool,
    stopped: bool,
}

impl State {
    /// The state of a worker whose last snapshot ends at `index`.
    pub(crate) fn at_snapshot(index: u64) -> State {
        State { snapshot_index: index, ..State::default() }
    }
}

impl<M: StateMachine> Worker<M> {
    /// Runs until the token is cancelled or the disk fails. A replica that can't write must not go on as the leader.
    pub(crate) fn run(mut self) {
        self.update_instances();
        let mut ticked = Moment::now();
        while !self.end.is_cancelled() && !self.disk_ended.is_cancelled() && !self.state.stopped {
            let first = self.inputs.recv_timeout(TICK).ok();
            let rest: Vec<Input> = self.inputs.try_iter().take(BATCH_INPUTS).collect();
            self.process(first.into_iter().chain(rest).collect());
            self.report_synced();
            let now = Moment::now();
            if now.since(ticked) >= TICK {
                ticked = now;
                self.step(Event::Tick);
                self.continue_reconfiguration();
            }
            self.publish();
        }
        *self.status.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    /// Processes a batch of inputs. Its commands share one write, and its queries one read.
    fn process(&mut self, inputs: Vec<Input>) {
        let mut proposals = Vec::new();
        let mut queries = Vec::new();
        for input in inputs {
            match input {
                Input::Wake => {}
                Input::Messages(from, envelopes) => self.receive(&from, envelopes),
                Input::Submit(command, responder) => {
                    proposals.extend(self.check_command(command, responder));
                }
                Input::Query(query) => queries.push(query),
                Input::Members(change, responder) => self.change_members(change, responder),
            }
        }
        if !proposals.is_empty() {
            self.step(Event::Propose(proposals));
        }
        if !queries.is_empty() {
            let operation = self.state.pending.read(queries);
            self.step(Event::Read(operation));
        }
    }

    fn receive(&mut self, from: &name::Instance, envelopes: Vec<Envelope>) {
        for envelope in envelopes {
            if self.state.instances.get(&envelope.from) != Some(from) {
                self.state.instances.insert(envelope.from, from.clone());
            }
            // The sender repeats lost messages, so they can be dropped while half of the disk's queue is full.
            if self.jobs.depth() < disk::RING_JOBS / 2 {
                self.step(Event::Receive(envelope));
            }
        }
    }

    /// Makes a proposal of a command, or refuses it if it can't be decoded or too much is pending.
    fn check_command(&mut self, command: Vec<u8>, responder: Responder) -> Option<Proposal> {
        if let Err(error) = codec::decode::<M::Command>(&command) {
            pending::respond(
                responder,
                Outcome::Refused { reason: format!("the command can't be decoded: {error}") },
            );
            return None;
        }
        if self.state.pending.len() >= MAX_PENDING || self.jobs.depth() >= disk::RING_JOBS / 2 {
            pending::respond(
                responder,
                Outcome::Refused { reason: String::from("busy: too many pending calls or writes") },
            );
            return None;
        }
        Some(Proposal { operation: self.state.pending.propose(responder), command })
    }

    /// Tells the node which writes have become durable.
    fn report_synced(&mut self) {
        let synced = self.synced.load(Ordering::Acquire);
        if synced > self.state.last_synced {
            self.state.last_synced = synced;
            self.step(Event::Synced(synced));
        }
    }

    fn step(&mut self, event: Event) {
        for effect in self.node.step(event, Moment::now()) {
            self.execute(effect);
        }
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Write(write) => self.send_to_disk(Job::Write(write)),
            Effect::Send { after, envelope } => self.send(after, envelope),
            Effect::Restore(snapshot) => self.restore(&snapshot),
            Effect::Apply(entries) => self.apply(&entries),
            Effect::Appended(operation, position) => {
                self.state.pending.record_appended(operation, position);
            }
            Effect::Readable(operation, _) => self.answer_questions(operation),
            Effect::Refused(operation, refusal) => self.state.pending.refuse(operation, refusal),
        }
    }

    fn send_to_disk(&mut self, job: Job) {
        if let Err(refusal) = self.jobs.send(job) {
            error!(self.logger, "replica stopped"; "cause" => %refusal);
            self.state.stopped = true;
        }
    }

    /// Sends a message, by way of the disk thread if it must wait for a write.
    fn send(&mut self, after: u64, envelope: Envelope) {
        let Some(instance) = self.instance_of(envelope.to) else {
            return;
        };
        if after > self.state.last_synced {
            self.send_to_disk(Job::Send(instance, envelope));
        } else {
            self.transport.send(&instance, envelope);
        }
    }

    fn instance_of(&mut self, id: Id) -> Option<name::Instance> {
        if !self.state.instances.contains_key(&id) {
            self.update_instances();
        }
        self.state.instances.get(&id).cloned()
    }

    fn update_instances(&mut self) {
        for member in self.node.status().config.members() {
            self.state.instances.insert(member.id, member.instance.clone());
        }
    }

    fn apply(&mut self, entries: &[Entry]) {
        let mut replies = Vec::new();
        for entry in entries {
            self.applied = entry.position.index;
            self.state.applied_bytes += entry.size_bytes();
            let responder = self.state.pending.applied(entry.position);
            match &entry.payload {
                Payload::Empty => {}
                Payload::Command(command) => {
                    let reply = self.apply_command(entry.position, command);
                    replies.extend(responder.map(|responder| (responder, codec::encode(&reply))));
                }
                Payload::Config(config) => self.apply_config(config, responder),
            }
        }
        self.machine.finish_batch();
        for (responder, reply) in replies {
            pending::respond(responder, Outcome::Done(reply));
        }
        if self.is_snapshot_due() {
            self.take_snapshot();
        }
    }

    fn apply_command(&mut self, position: Position, command: &[u8]) -> M::Reply {
        let command: M::Command =
            codec::decode(command).expect("invariant: a command is checked before it is proposed");
        self.machine.apply(position.index, &command)
    }

    fn apply_config(&mut self, config: &Config, responder: Option<Responder>) {
        let member = |member: &Member| {
            let part = if member.voter { "voter" } else { "learner" };
            format!("{}:{}:{part}", member.instance, member.id)
        };
        let members: Vec<String> = config.members().iter().map(member).collect();
        info!(self.logger, "members changed"; "members" => members.join(","));
        self.update_instances();
        if let Some(responder) = responder {
            pending::respond(responder, Outcome::Done(Vec::new()));
        }
    }

    /// Whether to take a snapshot: the entries since the last one are at least as large as it, so that the cost of
    /// snapshots for each byte of entries is bounded, and they are many or large, so that the log is bounded, too.
    fn is_snapshot_due(&self) -> bool {
        let is_long = self.applied >= self.state.snapshot_index + SNAPSHOT_ENTRIES;
        let is_large = self.state.applied_bytes >= SNAPSHOT_BYTES;
        (is_long || is_large) && self.state.applied_bytes >= self.state.snapshot_bytes
    }

    fn take_snapshot(&mut self) {
        let Some(term) = self.node.term_at(self.applied) else {
            return;
        };
        let snapshot = Snapshot {
            last: Position { index: self.applied, term },
            config: self.node.config_at(self.applied),
            data: Arc::new(self.machine.encode()),
        };
        self.record_snapshot(snapshot.data.len());
        self.step(Event::Compact(snapshot));
    }

    fn record_snapshot(&mut self, bytes: usize) {
        self.state.snapshot_index = self.applied;
        self.state.snapshot_bytes = bytes;
        self.state.applied_bytes = 0;
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        match self.machine.decode(&snapshot.data) {
            Ok(machine) => {
                self.machine = machine;
                self.applied = snapshot.last.index;
                self.record_snapshot(snapshot.data.len());
                self.state.pending.drop_skipped(self.applied);
                self.update_instances();
            }
            Err(error) => {
                error!(self.logger, "replica stopped";
                    "cause" => format!("the leader's snapshot can't be decoded: {error}"));
                self.state.stopped = true;
            }
        }
    }

    fn answer_questions(&mut self, operation: consensus::effect::OperationId) {
        for query in self.state.pending.take_queries(operation) {
            let outcome = match codec::decode(&query.payload) {
                Ok(query) => Outcome::Done(codec::encode(&self.machine.query(&query))),
                Err(error) => {
                    Outcome::Refused { reason: format!("the query can't be decoded: {error}") }
                }
            };
            pending::respond(query.responder, outcome);
        }
    }

    fn change_members(&mut self, change: log::Change, responder: Responder) {
        let status = self.node.status();
        if status.role != Role::Leader {
            let leader = status.leader.and_then(|id| self.instance_of(id));
            return pending::respond(responder, Outcome::NotLeader { leader });
        }
        if change == (log::Change::Leave { id: status.id })
            && let Some(successor) = reconfiguration::successor(&status)
        {
            self.step(Event::TransferLeadership(successor));
            return pending::respond(responder, Outcome::NotLeader { leader: None });
        }
        match self.plan_change(&status, change) {
            Some(change) => {
                let operation = self.state.pending.propose(responder);
                self.step(Event::Change(operation, change));
            }
            None => {
                let reason = String::from("no change of the members is possible now; try again");
                pending::respond(responder, Outcome::Refused { reason });
            }
        }
    }

    fn plan_change(&mut self, status: &Status, change: log::Change) -> Option<Change> {
        match change {
            log::Change::Join { id, instance } => {
                self.state.instances.insert(id, instance.clone());
                self.state.join_requests.insert(instance.clone(), id);
                reconfiguration::rejoin(status, id, &instance)
                    .or_else(|| self.add_automatically(status, id, &instance))
            }
            log::Change::Replace { old, new } => {
                let id = *self.state.join_requests.get(&new)?;
                reconfiguration::replace(status, id, &old, &new)
            }
            log::Change::Leave { id } => match self.join_policy {
                JoinPolicy::Manual => None,
                JoinPolicy::Automatic(removal) => reconfiguration::leave(status, id, &removal),
            },
        }
    }

    /// The change that adds a replica on an instance without one, if the policy allows it.
    fn add_automatically(
        &self,
        status: &Status,
        id: Id,
        instance: &name::Instance,
    ) -> Option<Change> {
        match self.join_policy {
            JoinPolicy::Manual => None,
            JoinPolicy::Automatic(_) => reconfiguration::add(status, id, instance),
        }
    }

    /// Proposes the next membership change: of a replacement in progress, or the removal of a silent member.
    fn continue_reconfiguration(&mut self) {
        let status = self.node.status();
        if status.role != Role::Leader {
            return;
        }
        let removal = match &self.join_policy {
            JoinPolicy::Manual => None,
            JoinPolicy::Automatic(removal) => Some(removal),
        };
        let change = reconfiguration::next_change(&self.node, Moment::now(), removal)
            .or_else(|| self.remove_silent(&status));
        if let Some(change) = change {
            let (responder, _unread) = tokio::sync::oneshot::channel();
            let operation = self.state.pending.propose(responder);
            self.step(Event::Change(operation, change));
        }
    }

    /// The removal of a member that doesn't reply, if the policy allows it.
    fn remove_silent(&self, status: &Status) -> Option<Change> {
        let JoinPolicy::Automatic(removal) = self.join_policy else {
            return None;
        };
        let now = Moment::now();
        let silence = |id| self.node.silence(id, now);
        let change = reconfiguration::remove_silent(status, silence, &removal)?;
        info!(self.logger, "silent member removed"; "change" => ?change,
            "after_ms" => removal.after.as_millis());
        Some(change)
    }

    /// Publishes the node's status, and logs when it starts or stops leading.
    fn publish(&mut self) {
        let status = self.node.status();
        let leads = status.role == Role::Leader;
        if leads != self.state.leads {
            self.state.leads = leads;
            let event = if leads { "leads" } else { "leads no more" };
            info!(self.logger, "{}", event; "term" => status.term, "place" => %self.instance);
        }
        *self.status.lock().unwrap_or_else(PoisonError::into_inner) = Some(status);
    }
}
