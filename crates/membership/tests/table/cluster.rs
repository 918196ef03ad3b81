//! Tables that exchange messages over simulated links, which can be cut.

use std::time::Duration;

use common::{clock::Moment, collections::Set, name, role::Role};
use membership::{
    event::Event,
    message::{Message, Origin},
    table::{Seed, Table},
};
use wire::target::{Announcement, Fencing, Kind, Load, Phase};

pub const STEP: Duration = Duration::from_millis(250);

/// Instances `i0`, `i1`, `i2`, ... of the given data centres.
pub struct Cluster {
    pub now: Moment,
    pub tables: Vec<Table>,
    pub events: Vec<Vec<Event>>,
    pub dead: Set<usize>,
    /// Links that lose all messages, as sender and receiver.
    pub cut: Set<(usize, usize)>,
    data_centres: Vec<&'static str>,
}

impl Cluster {
    pub fn new(data_centres: &[&'static str]) -> Cluster {
        let now = Moment(1_000_000);
        let tables = (0..data_centres.len()).map(|at| table(at, data_centres, 1, now)).collect();
        Cluster {
            now,
            tables,
            events: vec![Vec::new(); data_centres.len()],
            dead: Set::default(),
            cut: Set::default(),
            data_centres: data_centres.to_vec(),
        }
    }

    pub fn restart(&mut self, at: usize, incarnation: u64) {
        self.tables[at] = table(at, &self.data_centres, incarnation, self.now);
        self.dead.remove(&at);
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            for at in 0..self.tables.len() {
                if !self.dead.contains(&at) {
                    self.round(at);
                }
            }
        }
    }

    pub fn exchange(&mut self, from: usize, to: usize) {
        let first = self.tables[from].start_exchange();
        let Some(reply) = self.send(from, to, &first) else {
            return;
        };
        if let Some(last) = self.send(to, from, &reply) {
            self.send(from, to, &last);
        }
    }

    pub fn send(&mut self, from: usize, to: usize, message: &Message) -> Option<Message> {
        let lost = self.dead.contains(&to) || self.cut.contains(&(from, to));
        let read = Message::decode(&message.encode()).unwrap();
        (!lost).then(|| self.tables[to].receive(read, self.now))
    }

    pub fn cut_off(&mut self, side: &[usize]) {
        for inside in side {
            for outside in (0..self.tables.len()).filter(|at| !side.contains(at)) {
                self.cut.insert((*inside, outside));
                self.cut.insert((outside, *inside));
            }
        }
    }

    pub fn phases(&self, target: &str) -> Vec<Option<Phase>> {
        let phase = |table: &Table| {
            table.targets().find(|known| known.target.0 == target).map(|known| known.phase)
        };
        self.tables.iter().map(phase).collect()
    }

    fn round(&mut self, at: usize) {
        self.tables[at].tick(self.now);
        while let Some(event) = self.tables[at].next_event() {
            self.events[at].push(event);
        }
        let mut peers = self.tables[at].gossip_peers();
        peers.extend(self.tables[at].remote_peers());
        for peer in peers {
            let to = (0..self.tables.len()).find(|to| instance(*to) == peer).unwrap();
            self.exchange(at, to);
        }
    }
}

pub fn instance(at: usize) -> name::Instance {
    name::Instance(format!("i{at}"))
}

fn table(at: usize, data_centres: &[&'static str], incarnation: u64, now: Moment) -> Table {
    let origin = Origin {
        instance: instance(at),
        data_centre: data_centres[at].into(),
        incarnation,
        callers: "127.0.0.1:8000".parse().unwrap(),
    };
    let others = (0..data_centres.len()).filter(|other| *other != at);
    let seeds: Vec<Seed> = others
        .map(|other| Seed { instance: instance(other), data_centre: data_centres[other].into() })
        .collect();
    Table::new(origin, &seeds, at as u64, now)
}

pub fn announcement(target: &str, sequence: u64) -> Announcement {
    Announcement {
        target: target.into(),
        incarnation: 1,
        sequence,
        address: "127.0.0.1:9000".parse().unwrap(),
        kind: Kind::Engine,
        partner: "association".into(),
        service: "vent-llm".into(),
        data_centre: "suva".into(),
        models: vec![String::from("vent-7b")],
        role: Role::Mixed,
        fencing: Fencing::Checked,
        cache_pieces: 64,
        slots: 16,
        lease_ms: 5_000,
        phase: Phase::Ready,
        load: Load::default(),
        cache_events: Vec::new(),
    }
}
