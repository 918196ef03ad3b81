//! Division of the engines of a service into cells, so that what an instance sends, keeps and computes for the choice of
//! an engine doesn't depend on the size of the fleet.
//!
//! A cell is a group of about [`ENGINES_PER_CELL`] engines, of one data centre where that has enough of them. Each prompt
//! has a home cell by rendezvous hashing of its longest shared prefix, weighted by the engines that prefill (Schindelhauer
//! and Schomaker 2005), so that the engines that may have the prefix cached are known without a message. The first
//! [`KEEPERS`] instances for a cell are its keepers: they are notified of all that is sent to its engines. The others ask the
//! first of them that answers before they choose; it counts the request as sent from then on, so that its estimates don't
//! depend on the age of the notices. Instances that know the same fleet agree on all of this, and one that gets no answer
//! chooses alone.

use common::{collections::Map, name, random};
use fleet::{
    exchange::Part,
    registry::{Stage, State, Target},
};
use slotmap::SecondaryMap;

use crate::{balancer::Key, relay::Peer, rendezvous};

/// Instances that are notified of what is sent to the engines of a cell.
pub const KEEPERS: usize = 4;
/// Engines of a cell, on average; up to twice as many where there are fewer than for two cells.
pub const ENGINES_PER_CELL: usize = 16;
/// Engines of a data centre below which it shares its cells with others.
const MIN_ENGINES_OF_DATA_CENTRE: usize = 12;
/// Instances of a data centre below which those of all data centres keep its cells.
const MIN_KEEPERS_OF_DATA_CENTRE: usize = 3;
/// Weight of an engine that decodes, relative to one that prefills.
const DECODE_WEIGHT: f64 = 0.02;

/// Identifies a cell; the same at all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

/// A group of engines of one service.
#[derive(Clone, Debug)]
pub struct Cell {
    /// Identifies the cell.
    pub id: Id,
    /// The service.
    pub service: name::Service,
    /// The engines.
    pub engines: Vec<Key>,
    /// The instances that know what is sent to the engines; the first for the cell comes first.
    pub keepers: Vec<name::Instance>,
    /// Share of the prompts that have their home here, relative to the other cells.
    weight: f64,
}

/// The cells of all services.
#[derive(Clone, Debug, Default)]
pub struct Division {
    cells: Vec<Cell>,
    services: Map<name::Service, Vec<usize>>,
    by_engine: SecondaryMap<Key, usize>,
}

/// Where a group of cells is: a service in a data centre, or in all those that have few engines.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Group {
    service: name::Service,
    data_centre: Option<name::DataCentre>,
}

impl Group {
    fn cell(&self, index: usize) -> String {
        let data_centre = self.data_centre.as_ref().map_or("", |name| name.0.as_str());
        format!("{}/{data_centre}/{index}", self.service)
    }
}

impl Division {
    /// Divides the engines among these; `peers` are the instances that may keep cells.
    pub fn new<'a>(engines: impl Iterator<Item = (Key, &'a Target)>, peers: &[Peer]) -> Division {
        let engines: Vec<(Key, &Target)> =
            engines.filter(|(_, target)| target.stage.is_some()).collect();
        let mut division = Division::default();
        for (group, members) in groups(&engines) {
            division.add_group(&group, &members, peers);
        }
        division
    }

    fn add_group(&mut self, group: &Group, members: &[(Key, &Target)], peers: &[Peer]) {
        let ready = members.iter().filter(|(_, target)| target.state == State::Ready).count();
        let count = (ready / ENGINES_PER_CELL).max(1);
        let first = self.cells.len();
        let candidates = candidates(group, peers);
        for index in 0..count {
            let name = group.cell(index);
            let id = Id(hash(&name));
            let keepers = rendezvous::first(&name, candidates.iter().copied(), KEEPERS);
            let service = group.service.clone();
            self.cells.push(Cell { id, service, engines: Vec::new(), keepers, weight: 0.0 });
        }
        for (key, target) in members {
            let engine = hash(&target.name.0);
            let rank = |index: &usize| random::mix(self.cells[first + index].id.0 ^ engine);
            let index = (0..count).max_by_key(rank).unwrap_or_default();
            let cell = &mut self.cells[first + index];
            cell.engines.push(*key);
            if target.state == State::Ready {
                cell.weight +=
                    if target.stage == Some(Stage::Prefill) { 1.0 } else { DECODE_WEIGHT };
            }
            self.by_engine.insert(*key, first + index);
        }
        let indices = self.services.entry(group.service.clone()).or_default();
        indices.extend(first..first + count);
    }

    /// The cells of a service in the order in which they are tried for a prompt; the first is its home.
    pub fn order(&self, service: &name::Service, parts: &[Part]) -> Vec<&Cell> {
        let Some(prefix) = prefix(parts) else {
            return Vec::new();
        };
        let indices = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let mut cells: Vec<(f64, &Cell)> = indices
            .iter()
            .map(|index| &self.cells[*index])
            .filter(|cell| cell.weight > 0.0)
            .map(|cell| (distance(cell, prefix), cell))
            .collect();
        cells.sort_by(|a, b| a.0.total_cmp(&b.0));
        cells.into_iter().map(|(_, cell)| cell).collect()
    }

    /// The cell of an engine.
    pub fn of_engine(&self, key: Key) -> Option<&Cell> {
        self.by_engine.get(key).map(|index| &self.cells[*index])
    }

    /// A cell by its id.
    pub fn cell(&self, id: Id) -> Option<&Cell> {
        self.cells.iter().find(|cell| cell.id == id)
    }

    /// All cells.
    pub fn cells(&self) -> &[Cell] {
        &self.cells
    }
}

/// The engines by the group to whose cells they belong, in the order of the groups.
fn groups<'a>(engines: &[(Key, &'a Target)]) -> Vec<(Group, Vec<(Key, &'a Target)>)> {
    let mut by_group: Map<Group, Vec<(Key, &Target)>> = Map::default();
    for (key, target) in engines {
        let group = Group {
            service: target.service.clone(),
            data_centre: Some(target.data_centre.clone()),
        };
        by_group.entry(group).or_default().push((*key, target));
    }
    let is_small = |members: &[(Key, &Target)]| {
        let ready = members.iter().filter(|(_, target)| target.state == State::Ready).count();
        ready < MIN_ENGINES_OF_DATA_CENTRE
    };
    let mut merged: Map<Group, Vec<(Key, &Target)>> = Map::default();
    for (group, members) in by_group {
        let data_centre = if is_small(&members) { None } else { group.data_centre };
        let group = Group { service: group.service, data_centre };
        merged.entry(group).or_default().extend(members);
    }
    let mut groups: Vec<(Group, Vec<(Key, &Target)>)> = merged.into_iter().collect();
    groups.sort_unstable_by(|a, b| a.0.cmp(&b.0));
    groups
}

/// The instances that may keep the cells of a group: those of its data centre, unless these are few.
fn candidates<'a>(group: &Group, peers: &'a [Peer]) -> Vec<&'a name::Instance> {
    let is_near = |peer: &&Peer| group.data_centre.as_ref() == Some(&peer.data_centre);
    let near: Vec<&name::Instance> =
        peers.iter().filter(is_near).map(|peer| &peer.instance).collect();
    if near.len() >= MIN_KEEPERS_OF_DATA_CENTRE {
        return near;
    }
    peers.iter().map(|peer| &peer.instance).collect()
}

/// The id of the longest prefix of a prompt that other prompts may share.
fn prefix(parts: &[Part]) -> Option<u64> {
    let (own, shared) = parts.split_last()?;
    Some(shared.last().unwrap_or(own).id)
}

/// Distance of a cell from a prompt's prefix; the nearest one is its home.
fn distance(cell: &Cell, prefix: u64) -> f64 {
    let unit = random::Random::new(random::mix(cell.id.0 ^ prefix)).unit();
    -(1.0 - unit).ln() / cell.weight
}

/// Position of an engine for a prompt, by the engine's hash; the first is where its prefix is cached unless other instances
/// know better.
pub fn position(engine: u64, parts: &[Part]) -> Option<u64> {
    Some(random::mix(engine ^ prefix(parts)?))
}

/// Position of an engine for a request, whose own part has this id; the first are considered.
pub fn draw(engine: u64, own: u64) -> u64 {
    random::mix(random::mix(engine) ^ own)
}

/// Hash of a name.
pub fn hash(text: &str) -> u64 {
    text.bytes().fold(0, |hash, byte| random::mix(hash ^ u64::from(byte)))
}
