//! An engine as a simple queue.

use std::collections::VecDeque;

use wire::target;

/// An engine: a queue, a serial computation of prompts and a prefix cache.
#[derive(Debug, Default)]
pub struct Engine {
    /// Requests that run.
    pub running: usize,
    /// Jobs that wait, in order.
    pub waiting: VecDeque<usize>,
    /// When the prompts taken so far are computed, in milliseconds.
    pub prompt_until: f64,
    /// Cached pieces, the least recently used first.
    pub cache: Vec<u64>,
    /// Changes of the cache since the last announcement.
    pub events: Vec<target::Event>,
    /// Number of the last change.
    pub number: u64,
    /// Number of the last announcement.
    pub sequence: u64,
}

/// Puts a prompt's pieces into an engine's cache of `capacity` pieces.
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
