//! The thread that steps a replica and keeps its state.

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
    options::Options,
    reconfiguration,
    status::{Role, Status},
};
use slog::{Logger, error, info};
use wire::log::{Outcome, Wish};

use crate::{
    codec,
    disk::{self, Job},
    host::JoinPolicy,
    pending::{self, Pending, Question, Reply},
    state_machine::StateMachine,
    transport::Transport,
};

/// Inputs that may wait for a worker.
pub(crate) const RING_INPUTS: usize = 4_096;
const TICK: Duration = Duration::from_millis(20);
const BATCH_INPUTS: usize = 512;
const MAX_PENDING: usize = 4_096;
/// Entries between two snapshots, at least.
const SNAPSHOT_ENTRIES: u64 = 256;

/// What a worker takes in.
#[derive(Debug)]
pub(crate) enum Input {
    /// Something is durable.
    Wake,
    /// Messages from the replica at a place.
    Messages(name::Instance, Vec<Envelope>),
    Submit(Vec<u8>, Reply),
    Query(Question),
    Members(Wish, Reply),
}

/// The thread that steps a replica and keeps its state.
pub(crate) struct Worker<M> {
    pub instance: name::Instance,
    pub node: Node,
    pub options: Options,
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
    pub state: State,
}

/// What a worker keeps between its rounds.
#[derive(Debug, Default)]
pub(crate) struct State {
    pending: Pending,
    /// Places of the members by identity.
    places: Map<Id, name::Instance>,
    /// Replicas that asked to be taken in.
    candidates: Map<name::Instance, Id>,
    seen_synced: u64,
    /// Index of the last snapshot.
    snapshot: u64,
    /// Size of the last snapshot.
    snapshot_bytes: usize,
    /// Size of the entries applied since.
    applied_bytes: usize,
    leads: bool,
    stopped: bool,
}

impl State {
    /// The state of a worker whose last snapshot ends at `index`.
    pub(crate) fn at_snapshot(index: u64) -> State {
        State { snapshot: index, ..State::default() }
    }
}

impl<M: StateMachine> Worker<M> {
    /// Runs until the token is cancelled or the disk fails.
    pub(crate) fn run(mut self) {
        self.learn_places();
        let mut ticked = Moment::now();
        while !self.end.is_cancelled() && !self.state.stopped {
            let first = self.inputs.recv_timeout(TICK).ok();
            let rest: Vec<Input> = self.inputs.try_iter().take(BATCH_INPUTS).collect();
            self.take(first.into_iter().chain(rest).collect());
            self.note_synced();
            let now = Moment::now();
            if now.since(ticked) >= TICK {
                ticked = now;
                self.step(Event::Tick);
                self.repair();
            }
            self.publish();
        }
        *self.status.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    /// Takes a batch of inputs; its commands share one write and its questions one confirmation.
    fn take(&mut self, inputs: Vec<Input>) {
        let mut proposals = Vec::new();
        let mut questions = Vec::new();
        for input in inputs {
            match input {
                Input::Wake => {}
                Input::Messages(from, envelopes) => self.receive(&from, envelopes),
                Input::Submit(command, reply) => proposals.extend(self.admit(command, reply)),
                Input::Query(question) => questions.push(question),
                Input::Members(wish, reply) => self.change_members(wish, reply),
            }
        }
        if !proposals.is_empty() {
            self.step(Event::Propose(proposals));
        }
        if !questions.is_empty() {
            let operation = self.state.pending.ask(questions);
            self.step(Event::Read(operation));
        }
    }

    fn receive(&mut self, from: &name::Instance, envelopes: Vec<Envelope>) {
        for envelope in envelopes {
            if self.state.places.get(&envelope.from) != Some(from) {
                self.state.places.insert(envelope.from, from.clone());
            }
            // The sender repeats what is lost, and a disk that is behind must not be given more.
            if self.jobs.depth() < disk::RING_JOBS / 2 {
                self.step(Event::Receive(envelope));
            }
        }
    }

    fn admit(&mut self, command: Vec<u8>, reply: Reply) -> Option<Proposal> {
        if let Err(fault) = codec::decode::<M::Command>(&command) {
            pending::answer(reply, Outcome::Refused { reason: format!("no command: {fault}") });
            return None;
        }
        if self.state.pending.len() >= MAX_PENDING || self.jobs.depth() >= disk::RING_JOBS / 2 {
            pending::answer(reply, Outcome::Refused { reason: String::from("busy") });
            return None;
        }
        Some(Proposal { operation: self.state.pending.propose(reply), command })
    }

    fn note_synced(&mut self) {
        let synced = self.synced.load(Ordering::Acquire);
        if synced > self.state.seen_synced {
            self.state.seen_synced = synced;
            self.step(Event::Synced(synced));
        }
    }

    fn step(&mut self, event: Event) {
        for effect in self.node.step(event, Moment::now()) {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Write(write) => self.hand_to_disk(Job::Write(write)),
            Effect::Send { after, envelope } => self.send(after, envelope),
            Effect::Restore(snapshot) => self.restore(&snapshot),
            Effect::Apply(entries) => self.apply(&entries),
            Effect::Appended(operation, position) => self.state.pending.place(operation, position),
            Effect::Readable(operation, _) => self.answer_questions(operation),
            Effect::Refused(operation, refusal) => self.state.pending.refuse(operation, refusal),
        }
    }

    fn hand_to_disk(&mut self, job: Job) {
        if let Err(refusal) = self.jobs.send(job) {
            error!(self.logger, "replica stopped"; "cause" => %refusal);
            self.state.stopped = true;
        }
    }

    fn send(&mut self, after: u64, envelope: Envelope) {
        let Some(place) = self.place_of(envelope.to) else {
            return;
        };
        if after > self.state.seen_synced {
            self.hand_to_disk(Job::Send(place, envelope));
        } else {
            self.transport.send(&place, envelope);
        }
    }

    fn place_of(&mut self, id: Id) -> Option<name::Instance> {
        if !self.state.places.contains_key(&id) {
            self.learn_places();
        }
        self.state.places.get(&id).cloned()
    }

    fn learn_places(&mut self) {
        for member in self.node.status().config.members() {
            self.state.places.insert(member.id, member.instance.clone());
        }
    }

    fn apply(&mut self, entries: &[Entry]) {
        for entry in entries {
            self.applied = entry.position.index;
            self.state.applied_bytes += entry.size_bytes();
            let caller = self.state.pending.applied(entry.position);
            match &entry.payload {
                Payload::Empty => {}
                Payload::Command(command) => self.apply_command(entry.position, command, caller),
                Payload::Config(config) => self.note_config(config, caller),
            }
        }
        if self.is_snapshot_due() {
            self.take_snapshot();
        }
    }

    fn apply_command(&mut self, position: Position, command: &[u8], caller: Option<Reply>) {
        let command: M::Command = codec::decode(command)
            .expect("invariant: commands are decoded before they are proposed");
        let reply = self.machine.apply(position.index, &command);
        if let Some(caller) = caller {
            pending::answer(caller, Outcome::Done(codec::encode(&reply)));
        }
    }

    fn note_config(&mut self, config: &Config, caller: Option<Reply>) {
        let member = |member: &Member| {
            let part = if member.voter { "voter" } else { "learner" };
            format!("{}:{}:{part}", member.instance, member.id)
        };
        let members: Vec<String> = config.members().iter().map(member).collect();
        info!(self.logger, "members changed"; "members" => members.join(","));
        self.learn_places();
        if let Some(caller) = caller {
            pending::answer(caller, Outcome::Done(Vec::new()));
        }
    }

    /// A snapshot is due once the entries since the last one are as large, so its cost for an entry is bounded.
    fn is_snapshot_due(&self) -> bool {
        self.applied >= self.state.snapshot + SNAPSHOT_ENTRIES
            && self.state.applied_bytes >= self.state.snapshot_bytes
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
        self.note_snapshot(snapshot.data.len());
        self.step(Event::Compact(snapshot));
    }

    fn note_snapshot(&mut self, bytes: usize) {
        self.state.snapshot = self.applied;
        self.state.snapshot_bytes = bytes;
        self.state.applied_bytes = 0;
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        match self.machine.decode(&snapshot.data) {
            Ok(machine) => {
                self.machine = machine;
                self.applied = snapshot.last.index;
                self.note_snapshot(snapshot.data.len());
                self.state.pending.passed_over(self.applied);
                self.learn_places();
            }
            Err(fault) => {
                error!(self.logger, "replica stopped"; "cause" => format!("snapshot: {fault}"));
                self.state.stopped = true;
            }
        }
    }

    fn answer_questions(&mut self, operation: consensus::effect::OperationId) {
        for question in self.state.pending.readable(operation) {
            let outcome = match codec::decode(&question.query) {
                Ok(query) => Outcome::Done(codec::encode(&self.machine.query(&query))),
                Err(fault) => Outcome::Refused { reason: format!("no question: {fault}") },
            };
            pending::answer(question.reply, outcome);
        }
    }

    fn change_members(&mut self, wish: Wish, reply: Reply) {
        let status = self.node.status();
        if status.role != Role::Leader {
            let leader = status.leader.and_then(|id| self.place_of(id));
            return pending::answer(reply, Outcome::NotLeader { leader });
        }
        match self.change_for(&status, wish) {
            Some(change) => {
                let operation = self.state.pending.propose(reply);
                self.step(Event::Change(operation, change));
            }
            None => {
                let reason = String::from("no change can be made now; ask again");
                pending::answer(reply, Outcome::Refused { reason });
            }
        }
    }

    fn change_for(&mut self, status: &Status, wish: Wish) -> Option<Change> {
        match wish {
            Wish::Join { id, place } => {
                self.state.places.insert(id, place.clone());
                self.state.candidates.insert(place.clone(), id);
                reconfiguration::rejoin(status, id, &place)
                    .or_else(|| self.grow(status, id, &place))
            }
            Wish::Replace { old, new } => {
                let id = *self.state.candidates.get(&new)?;
                reconfiguration::replace(status, id, &old, &new)
            }
        }
    }

    /// The change that adds a replica at a place where no member stands, if the log grows by itself.
    fn grow(&self, status: &Status, id: Id, place: &name::Instance) -> Option<Change> {
        match self.join_policy {
            JoinPolicy::Manual => None,
            JoinPolicy::Automatic => reconfiguration::add(status, id, place),
        }
    }

    /// Proposes the next change of a replacement that is under way.
    fn repair(&mut self) {
        let status = self.node.status();
        if status.role != Role::Leader {
            return;
        }
        if let Some(change) = reconfiguration::next_change(&status, self.options.max_promotion_lag)
        {
            let (reply, _unread) = tokio::sync::oneshot::channel();
            let operation = self.state.pending.propose(reply);
            self.step(Event::Change(operation, change));
        }
    }

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
