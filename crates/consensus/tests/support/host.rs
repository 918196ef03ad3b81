//! A simulated replica: a node, its state machine and a disk that loses what was not synced.

use std::{collections::BTreeMap, sync::Arc};

use common::{clock::Moment, name};
use consensus::{
    effect::{HardState, InitialState, OperationId, Write},
    entry::{Entry, Position, Snapshot},
    member::{Config, Id},
    message::Envelope,
    node::Node,
    options::Options,
};

/// The durable data of a replica.
#[derive(Clone, Default)]
pub struct Disk {
    pub hard: HardState,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry>,
}

impl Disk {
    pub fn apply(&mut self, write: Write) {
        if let Some(hard) = write.hard {
            self.hard = hard;
        }
        if let Some(snapshot) = write.snapshot {
            let at = self.entries.iter().position(|entry| entry.position == snapshot.last);
            match at {
                Some(at) => drop(self.entries.drain(..=at)),
                None if self.base() == snapshot.last => {}
                None => self.entries.clear(),
            }
            self.snapshot = Some(snapshot);
        }
        for entry in write.entries {
            self.entries.retain(|held| held.position.index < entry.position.index);
            self.entries.push(entry);
        }
    }

    fn base(&self) -> Position {
        self.snapshot.as_ref().map_or(Position::default(), |snapshot| snapshot.last)
    }
}

pub struct Host {
    pub instance: name::Instance,
    pub id: Id,
    /// None while the process is down.
    pub node: Option<Node>,
    pub disk: Disk,
    /// Writes that are not durable yet.
    pub unsynced: Vec<Write>,
    /// Messages that wait for a write, with its number.
    pub held: Vec<(u64, Envelope)>,
    pub paused_until: Moment,
    /// Number of starts.
    pub epoch: u64,
    pub applied: u64,
    pub state: Vec<u64>,
    /// Positions of proposals by index.
    pub proposed: BTreeMap<u64, Position>,
    /// Pending reads, with the highest index accepted when each was requested.
    pub reads: BTreeMap<OperationId, u64>,
}

impl Host {
    pub fn new(number: usize, id: Id, founders: Config) -> Host {
        let hard = HardState { id, founders, ..HardState::default() };
        Host {
            instance: name::Instance(format!("instance-{number}")),
            id,
            node: None,
            disk: Disk { hard, ..Disk::default() },
            unsynced: Vec::new(),
            held: Vec::new(),
            paused_until: Moment(0),
            epoch: 0,
            applied: 0,
            state: Vec::new(),
            proposed: BTreeMap::new(),
            reads: BTreeMap::new(),
        }
    }

    pub fn start(&mut self, options: Options, seed: u64, now: Moment) {
        self.epoch += 1;
        let Disk { hard, snapshot, entries } = self.disk.clone();
        let (applied, state) = snapshot
            .as_ref()
            .map_or((0, Vec::new()), |snapshot| (snapshot.last.index, decode(&snapshot.data)));
        self.applied = applied;
        self.state = state;
        self.node = Some(Node::new(InitialState { hard, snapshot, entries, seed, now }, options));
    }

    /// Stops the process; everything that is not on disk is lost.
    pub fn stop(&mut self) {
        self.node = None;
        self.unsynced.clear();
        self.held.clear();
        self.proposed.clear();
        self.reads.clear();
    }

    /// A snapshot of the state after the last applied entry.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let node = self.node.as_ref()?;
        let last = Position { index: self.applied, term: node.term_at(self.applied)? };
        let data = Arc::new(encode(&self.state));
        Some(Snapshot { last, config: node.config_at(self.applied), data })
    }
}

pub fn encode(state: &[u64]) -> Vec<u8> {
    state.iter().flat_map(|number| number.to_le_bytes()).collect()
}

pub fn decode(bytes: &[u8]) -> Vec<u64> {
    bytes.chunks(8).map(|chunk| u64::from_le_bytes(chunk.try_into().unwrap())).collect()
}
