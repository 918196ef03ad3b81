//! The times and contents of a run's requests, drawn before the run from its seed.

use std::time::Duration;

use common::{piece, random::Random};

use crate::scenario::{Range, Scenario, Shape, Stream};

/// A request to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When it is sent, relative to the start of the run.
    pub at: Duration,
    /// Index of its stream in the scenario.
    pub stream: usize,
    /// Its content.
    pub content: Content,
}

/// The content of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// A completion.
    Completion {
        /// The prompt, which differs from all others of the run.
        prompt: String,
        /// Number of output tokens.
        output_tokens: u32,
    },
    /// A call of a plain service.
    Plain {
        /// The idempotency key.
        key: String,
        /// The body, which differs from all others of the run.
        body: String,
    },
}

/// Draws all requests of a scenario, ordered by time.
///
/// The arrivals of a stream are a Poisson process; a changing rate is modelled by thinning (Lewis and Shedler 1979).
pub fn draw(scenario: &Scenario) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (index, stream) in scenario.streams.iter().enumerate() {
        let mut random = Random::new(scenario.seed.wrapping_add(piece::hash(&stream.name)));
        let times = times(stream, scenario.duration_s, &mut random);
        for (number, at) in times.into_iter().enumerate() {
            let tag = format!("{}-{}-{number}", scenario.seed, stream.name);
            let content = content(&stream.shape, &tag, &mut random);
            arrivals.push(Arrival { at, stream: index, content });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals.truncate(usize::try_from(scenario.max_requests).unwrap_or(usize::MAX));
    arrivals
}

fn times(stream: &Stream, duration_s: f64, random: &mut Random) -> Vec<Duration> {
    let highest = stream.rates.iter().map(|rate| rate.per_s).fold(0.0, f64::max);
    let mut times = Vec::new();
    if highest <= 0.0 {
        return times;
    }
    let mut at_s = 0.0;
    loop {
        at_s -= (1.0 - random.unit()).ln() / highest;
        if at_s >= duration_s {
            return times;
        }
        if random.unit() * highest < stream.rate(at_s) {
            times.push(Duration::from_secs_f64(at_s));
        }
    }
}

fn content(shape: &Shape, tag: &str, random: &mut Random) -> Content {
    match shape {
        Shape::Completion { prompt_tokens, output_tokens, prefixes, prefix_tokens, .. } => {
            let mut prompt = String::new();
            if *prefixes > 0 {
                let prefix = random.below(usize::try_from(*prefixes).unwrap_or(1));
                fill(&mut prompt, &format!("prefix {prefix} "), bytes(*prefix_tokens));
            }
            let unique = bytes(uniform(*prompt_tokens, random));
            let length = prompt.len() + unique.max(tag.len());
            fill(&mut prompt, tag, length);
            Content::Completion { prompt, output_tokens: uniform(*output_tokens, random) }
        }
        Shape::Plain { body_bytes, .. } => {
            let length = usize::try_from(uniform(*body_bytes, random)).unwrap_or_default();
            let mut body = String::new();
            fill(&mut body, tag, length.max(tag.len()));
            Content::Plain { key: String::from(tag), body }
        }
    }
}

fn uniform(range: Range, random: &mut Random) -> u32 {
    let span = usize::try_from(range.to.saturating_sub(range.from)).unwrap_or_default() + 1;
    range.from + u32::try_from(random.below(span)).unwrap_or_default()
}

fn bytes(tokens: u32) -> usize {
    usize::try_from(tokens).unwrap_or_default() * piece::BYTES_PER_TOKEN
}

/// Appends repetitions of `unit` until `text` has `length` bytes.
fn fill(text: &mut String, unit: &str, length: usize) {
    while text.len() < length {
        let left = length - text.len();
        text.push_str(&unit[..unit.len().min(left)]);
    }
}
