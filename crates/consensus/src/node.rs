//! The Raft state machine of one replica.

mod change;
mod election;
mod follower;
mod leader;
mod read;
mod replication;
mod snapshot_transfer;

use std::collections::VecDeque;

use common::{clock::Moment, collections::Set, random::Random};

use crate::{
    effect::{Effect, Event, HardState, InitialState, OperationId, Proposal, Refusal, Write},
    entry::{Entry, Payload, Position, Snapshot},
    log::Log,
    member::{Id, Member},
    message::{Body, Envelope},
    options::Options,
    status::{Lag, Role, Status},
};

/// One replica of one log. Reacts to events in [`Node::step`] and does no I/O itself.
#[derive(Debug)]
pub struct Node {
    options: Options,
    random: Random,
    hard: HardState,
    log: Log,
    role: Role,
    leader: Option<Id>,
    commit: u64,
    /// Time of the last message from the leader.
    last_leader_contact: Option<Moment>,
    election_deadline: Moment,
    votes: Set<Id>,
    /// Campaigns without a result since a leader was known.
    failed_campaigns: u32,
    /// Number of the write that makes this candidate's vote for itself durable; only then is it counted.
    vote_write: u64,
    leader_state: leader::State,
    incoming_snapshot: Option<snapshot_transfer::Incoming>,
    /// Index up to which this replica's log is durable.
    durable_index: u64,
    /// Writes that the driver has not reported as durable.
    pending_writes: VecDeque<PendingWrite>,
    /// What this step writes.
    write: Write,
    /// Messages that this step sends.
    messages: Vec<Message>,
    effects: Vec<Effect>,
}

/// A write that is not durable yet, and the last index that it makes durable.
#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    number: u64,
    last: u64,
}

/// A message that is sent at the end of the step.
#[derive(Debug)]
struct Message {
    envelope: Envelope,
    timing: Timing,
}

/// When a message may be sent.
#[derive(Clone, Copy, Debug)]
enum Timing {
    /// At once.
    Immediate,
    /// Once every write up to this step is durable.
    AfterSync,
}

impl Node {
    /// Creates a node from its recovered state.
    pub fn new(initial: InitialState, options: Options) -> Node {
        let founders = Snapshot { config: initial.hard.founders.clone(), ..Snapshot::default() };
        let snapshot = initial.snapshot.unwrap_or(founders);
        let commit = snapshot.last.index;
        let mut log = Log::new(snapshot);
        for entry in initial.entries {
            log.push(entry);
        }
        let mut random = Random::new(initial.seed ^ initial.hard.id.0);
        let election_deadline = initial.now + options.election_timeout(&mut random);
        Node {
            options,
            random,
            hard: initial.hard,
            durable_index: log.last().index,
            log,
            role: Role::Follower,
            leader: None,
            commit,
            last_leader_contact: None,
            election_deadline,
            votes: Set::default(),
            failed_campaigns: 0,
            vote_write: 0,
            leader_state: leader::State::default(),
            incoming_snapshot: None,
            pending_writes: VecDeque::new(),
            write: Write::default(),
            messages: Vec::new(),
            effects: Vec::new(),
        }
    }

    /// Handles one event and returns the effects to carry out, in this order.
    pub fn step(&mut self, event: Event, now: Moment) -> Vec<Effect> {
        match event {
            Event::Tick => self.tick(now),
            Event::Receive(envelope) if envelope.to == self.hard.id => self.receive(envelope, now),
            Event::Receive(_) => {}
            Event::Propose(proposals) => self.propose(proposals, now),
            Event::Change(operation, change) => self.change(operation, &change, now),
            Event::Read(operation) => self.read(operation, now),
            Event::Synced(number) => self.synced(number, now),
            Event::TransferLeadership(to) => self.transfer_leadership(to, now),
            Event::Compact(snapshot) => self.compact(snapshot),
        }
        self.finish()
    }

    /// Observable state of the node.
    pub fn status(&self) -> Status {
        let last = self.log.last();
        let lag = |id: &Id| Lag {
            id: *id,
            entries: last.index.saturating_sub(self.leader_state.match_index(*id)),
        };
        let peers = self.log.config().members().iter().map(|member| member.id);
        let peers: Vec<Id> = peers.filter(|id| *id != self.hard.id).collect();
        let leads = self.role == Role::Leader;
        Status {
            id: self.hard.id,
            role: self.role,
            term: self.hard.term,
            leader: self.leader,
            commit: self.commit,
            last,
            config: self.log.config().clone(),
            settled: leads && self.changes_allowed(),
            lags: if leads { peers.iter().map(lag).collect() } else { Vec::new() },
        }
    }

    /// The configuration that held at `index`, for a snapshot taken there.
    pub fn config_at(&self, index: u64) -> crate::member::Config {
        self.log.config_at(index).clone()
    }

    /// Term of the entry at `index`, if it is in memory.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        self.log.term(index)
    }

    fn tick(&mut self, now: Moment) {
        match self.role {
            Role::Leader => self.tick_leader(now),
            Role::Follower | Role::PreCandidate | Role::Candidate => {
                if now >= self.election_deadline {
                    self.start_pre_vote(now);
                }
            }
        }
    }

    fn receive(&mut self, envelope: Envelope, now: Moment) {
        if !self.adopt_term(&envelope, now) {
            return;
        }
        let Envelope { from, term, body, .. } = envelope;
        match body {
            Body::PreVote { last } => self.handle_pre_vote(from, term, last, now),
            Body::PreVoteReply { granted } => self.record_pre_vote(from, granted, now),
            Body::Vote { last, .. } => self.handle_vote(from, last, now),
            Body::VoteReply { granted } => self.record_vote(from, granted, now),
            Body::Append(append) => self.handle_append(from, append, now),
            Body::AppendReply(reply) => self.handle_append_reply(from, reply, now),
            Body::SnapshotChunk(chunk) => self.handle_snapshot_chunk(from, chunk, now),
            Body::SnapshotChunkReply { last, received } => {
                self.handle_snapshot_chunk_reply(from, last, received, now);
            }
            Body::TimeoutNow => {
                self.campaign(crate::message::ElectionCause::LeadershipTransfer, now);
            }
        }
    }

    fn synced(&mut self, number: u64, now: Moment) {
        while let Some(written) =
            self.pending_writes.front().copied().filter(|written| written.number <= number)
        {
            self.durable_index = written.last;
            self.pending_writes.pop_front();
        }
        match self.role {
            Role::Candidate if number >= self.vote_write => {
                self.record_vote(self.hard.id, true, now);
            }
            Role::Leader => {
                self.advance_commit(now);
                self.resolve_reads();
            }
            Role::Candidate | Role::Follower | Role::PreCandidate => {}
        }
    }

    fn compact(&mut self, snapshot: Snapshot) {
        if snapshot.last.index <= self.log.snapshot.last.index {
            return;
        }
        let (entries, bytes) = (self.options.retained_entries, self.options.retained_bytes);
        self.log.compact(snapshot.clone(), entries, bytes);
        self.write.snapshot = Some(snapshot);
    }

    /// Appends an entry of the current term.
    fn append(&mut self, payload: Payload) -> Position {
        let position = Position { index: self.log.last().index + 1, term: self.hard.term };
        self.push(Entry { position, payload });
        position
    }

    fn push(&mut self, entry: Entry) {
        self.write.entries.push(entry.clone());
        self.log.push(entry);
    }

    /// Removes the entries from `index` on, which conflict with the leader's log.
    fn truncate(&mut self, index: u64) {
        assert!(index > self.commit, "invariant: committed entries are never removed");
        self.log.truncate(index);
        self.write.entries.retain(|entry| entry.position.index < index);
        self.durable_index = self.durable_index.min(index - 1);
        for written in &mut self.pending_writes {
            written.last = written.last.min(index - 1);
        }
    }

    /// Advances the commit index up to `commit` or the end of the log, and applies the entries.
    fn commit_to(&mut self, commit: u64) {
        let commit = commit.min(self.log.last().index);
        if commit > self.commit {
            let entries = self.log.range(self.commit + 1, commit);
            self.commit = commit;
            self.effects.push(Effect::Apply(entries));
        }
    }

    fn set_hard(&mut self, term: u64, vote: Option<Id>) {
        self.hard.term = term;
        self.hard.vote = vote;
        self.write.hard = Some(self.hard.clone());
    }

    fn send(&mut self, to: Id, body: Body, timing: Timing) {
        self.send_in_term(to, self.hard.term, body, timing);
    }

    fn send_in_term(&mut self, to: Id, term: u64, body: Body, timing: Timing) {
        let envelope = Envelope { from: self.hard.id, to, term, body };
        self.messages.push(Message { envelope, timing });
    }

    fn refuse(&mut self, operation: OperationId, refusal: Refusal) {
        self.effects.push(Effect::Refused(operation, refusal));
    }

    fn refuse_all(&mut self, proposals: &[Proposal], refusal: &Refusal) {
        for proposal in proposals {
            self.refuse(proposal.operation, refusal.clone());
        }
    }

    fn not_leader(&self) -> Refusal {
        let leader: Option<&Member> = self.leader.and_then(|id| self.log.config().member(id));
        Refusal::NotLeader { leader: leader.cloned() }
    }

    /// Numbers the write of this step and returns the effects in order: write, messages, the rest.
    fn finish(&mut self) -> Vec<Effect> {
        let mut effects = Vec::new();
        let write = std::mem::take(&mut self.write);
        let number = write.number;
        let changed = write.hard.is_some() || write.snapshot.is_some() || !write.entries.is_empty();
        self.write.number = number + u64::from(changed);
        if changed {
            let number = self.write.number;
            self.pending_writes.push_back(PendingWrite { number, last: self.log.last().index });
            effects.push(Effect::Write(Write { number, ..write }));
        }
        let number = self.write.number;
        effects.extend(self.messages.drain(..).map(|message| match message.timing {
            Timing::Immediate => Effect::Send { after: 0, envelope: message.envelope },
            Timing::AfterSync => Effect::Send { after: number, envelope: message.envelope },
        }));
        effects.append(&mut self.effects);
        effects
    }
}
