//! Queue model of an engine.

use std::collections::VecDeque;

use wire::target;

/// Model of an engine: a queue of jobs, prompts that are computed one after the other, and a prefix cache.
#[derive(Debug, Default)]
pub struct Engine {
    /// Number of running jobs.
    pub running: usize,
    /// Waiting jobs, in order of arrival.
    pub waiting: VecDeque<usize>,
    /// Time at which all accepted prompts are computed, in milliseconds.
    pub prompts_until_ms: f64,
    /// Cached pieces, the least recently used first.
    pub cache: Vec<u64>,
    /// Changes of the cache since the last announcement.
    pub events: Vec<target::Event>,
    /// Sequence number of the last cache event.
    pub number: u64,
    /// Sequence number of the last announcement.
    pub sequence: u64,
}

/// Adds a prompt's pieces to an engine's cache of `capacity` pieces, and evicts the least recently used.
pub fn store(engine: &mut Engine, pieces: &[u64], capacity: usize) {
    for piece in pieces {
        if let Some(position) = engine.cache.iter().position(|cached| cached == piece) {
            engine.cache.remove(position);
        } else {
            record(engine, *piece, target::Change::Stored);
        }
        engine.cache.push(*piece);
    }
    while engine.cache.len() > capacity {
        let evicted = engine.cache.remove(0);
        record(engine, evicted, target::Change::Removed);
    }
}

fn record(engine: &mut Engine, piece: u64, change: target::Change) {
    engine.number += 1;
    engine.events.push(target::Event { number: engine.number, piece, change });
}
