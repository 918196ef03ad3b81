//! Random loads of jobs whose prompts share prefixes.

use common::{clock::Moment, random::Random};

use crate::fleet::Job;

/// A stream of jobs of one partner.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    /// Name of the partner.
    pub partner: &'static str,
    /// Average rate, in jobs per second.
    pub per_second: f64,
    /// Start, in seconds.
    pub from_s: u64,
    /// End, in seconds; no job arrives at it or later.
    pub to_s: u64,
}

const PREFIXES: usize = 60;
const PREFIX_PIECES: u64 = 3;
const MIN_OUTPUT_TOKENS: usize = 20;
const OUTPUT_TOKENS_RANGE: usize = 160;
const MIN_SUFFIX_TOKENS: usize = 100;
const SUFFIX_TOKENS_RANGE: usize = 900;
const ORGANISATIONS: usize = 50;

/// Draws the jobs of `streams`, each a Poisson process, in the order of their arrival.
pub fn draw(streams: &[Stream], seed: u64) -> Vec<Job> {
    let mut random = Random::new(seed);
    let mut jobs: Vec<Job> =
        streams.iter().flat_map(|stream| draw_stream(stream, &mut random)).collect();
    jobs.sort_by_key(|job| job.arrival);
    jobs.iter_mut().enumerate().for_each(|(id, job)| job.id = id);
    jobs
}

fn draw_stream(stream: &Stream, random: &mut Random) -> Vec<Job> {
    let mut jobs = Vec::new();
    let mut at_ms = stream.from_s as f64 * 1_000.0;
    loop {
        at_ms += -(1.0 - random.unit()).ln() * 1_000.0 / stream.per_second;
        if at_ms >= stream.to_s as f64 * 1_000.0 {
            return jobs;
        }
        let prefix = random.below(PREFIXES) as u64;
        let pieces = (1..=PREFIX_PIECES).map(|piece| common::random::mix(prefix * 100 + piece));
        let suffix = MIN_SUFFIX_TOKENS + random.below(SUFFIX_TOKENS_RANGE);
        jobs.push(Job {
            id: 0,
            partner: stream.partner,
            organisation: random.below(ORGANISATIONS) as u64,
            pieces: pieces.collect(),
            prompt: PREFIX_PIECES * common::piece::TOKENS as u64 + suffix as u64,
            output: (MIN_OUTPUT_TOKENS + random.below(OUTPUT_TOKENS_RANGE)) as u64,
            arrival: Moment(at_ms as u64),
        });
    }
}
