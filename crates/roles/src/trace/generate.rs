//! Seeded generator of synthetic traces.
//!
//! The demand consists of three kinds of requests: record lookups (2,000 prompt tokens, 400 output tokens), checklist
//! drafts (400 and 1,200) and crash reports (6,000 and 200). 30% of the prompt tokens are cached. A shape defines how
//! many engines each kind keeps busy over time. The number of requests in a step is drawn from a normal distribution
//! with the mean and variance of a Poisson one; the tokens of single requests have a coefficient of variation of 0.5.

use std::f64::consts::TAU;

use common::random::Random;

use crate::{
    capacity::{Rates, Work},
    trace::{Step, Trace},
};

/// Length of a step in seconds.
pub const STEP_S: u64 = 10;
const HOUR_STEPS: f64 = 360.0;
const MINUTE_STEPS: f64 = 6.0;
/// Share of the prompt tokens that are cached.
const CACHED_SHARE: f64 = 0.3;
/// Coefficient of variation of the tokens of single requests.
const TOKEN_DEVIATION: f64 = 0.5;
/// Number of engines for which the shapes below are defined; for other numbers they are scaled.
const REFERENCE_ENGINES: f64 = 20.0;

const LOOKUP: Kind = Kind { prompt: 2_000.0, output: 400.0 };
const CHECKLIST: Kind = Kind { prompt: 400.0, output: 1_200.0 };
const CRASH: Kind = Kind { prompt: 6_000.0, output: 200.0 };

/// The shape of a trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Twelve hours with two mornings of checklist drafts.
    Mornings,
    /// Eight hours with two batches of crash reports.
    Crashes,
    /// Ten hours in which a morning and a batch overlap.
    Both,
    /// A day in which the prefill share of the work varies by half around 26%.
    Day,
    /// Six hours of constant demand with strong noise.
    Noise,
    /// Four hours in which the prefill share of the work alternates every 3 minutes.
    Steps,
}

/// All shapes.
pub const SHAPES: [Shape; 6] =
    [Shape::Mornings, Shape::Crashes, Shape::Both, Shape::Day, Shape::Noise, Shape::Steps];

/// Token counts of one kind of request.
#[derive(Clone, Copy)]
struct Kind {
    prompt: f64,
    output: f64,
}

/// Number of engines that each kind of request keeps busy.
#[derive(Clone, Copy, Default)]
struct BusyEngines {
    lookup: f64,
    checklist: f64,
    crash: f64,
}

/// Generates the trace of a shape for `engines` engines; the same seed gives the same trace.
pub fn generate(shape: Shape, engines: u32, rates: Rates, seed: u64) -> Trace {
    let mut random = Random::new(seed);
    let mut noise = Noise::default();
    let scale = f64::from(engines) / REFERENCE_ENGINES;
    let steps = (0..shape.length())
        .map(|step| {
            let flows = shape.flows(f64::from(step), rates, &mut noise, &mut random);
            arrivals(&flows, scale, &mut random)
        })
        .collect();
    Trace { name: String::from(shape.name()), step_s: STEP_S, engines, steps }
}

impl Shape {
    /// Name of the shape, as in reports.
    pub fn name(self) -> &'static str {
        match self {
            Shape::Mornings => "checklist mornings",
            Shape::Crashes => "batches of crash reports",
            Shape::Both => "both at once",
            Shape::Day => "prefill share over a day",
            Shape::Noise => "noise",
            Shape::Steps => "a step each 3 minutes",
        }
    }

    /// Number of steps.
    fn length(self) -> u32 {
        let hours = match self {
            Shape::Mornings => 12,
            Shape::Crashes => 8,
            Shape::Both => 10,
            Shape::Day => 24,
            Shape::Noise => 6,
            Shape::Steps => 4,
        };
        hours * 360
    }

    /// Request rates of each kind at a step.
    fn flows(self, step: f64, rates: Rates, noise: &mut Noise, random: &mut Random) -> Vec<Flow> {
        let busy = match self {
            Shape::Mornings => BusyEngines {
                lookup: 8.0,
                checklist: 11.0
                    * pulses(
                        step,
                        1.0 * HOUR_STEPS,
                        2.5 * HOUR_STEPS,
                        6.0 * HOUR_STEPS,
                        20.0 * MINUTE_STEPS,
                    ),
                crash: 0.0,
            },
            Shape::Crashes => BusyEngines {
                lookup: 8.0,
                checklist: 0.0,
                crash: 11.0
                    * pulses(
                        step,
                        1.5 * HOUR_STEPS,
                        0.75 * HOUR_STEPS,
                        4.0 * HOUR_STEPS,
                        MINUTE_STEPS,
                    ),
            },
            Shape::Both => BusyEngines {
                lookup: 4.0,
                checklist: 10.0
                    * pulse(step, 1.0 * HOUR_STEPS, 5.0 * HOUR_STEPS, 20.0 * MINUTE_STEPS),
                crash: 12.0 * pulse(step, 4.0 * HOUR_STEPS, 3.5 * HOUR_STEPS, MINUTE_STEPS),
            },
            Shape::Day => return share_flows(18.0, day_share(step), rates),
            Shape::Noise => {
                noise.advance(random);
                return noise.flows(rates);
            }
            Shape::Steps => {
                let odd = (step / (3.0 * MINUTE_STEPS)).rem_euclid(2.0) >= 1.0;
                return share_flows(18.0, if odd { 0.4 } else { 0.15 }, rates);
            }
        };
        vec![
            Flow::new(LOOKUP, busy.lookup, rates),
            Flow::new(CHECKLIST, busy.checklist, rates),
            Flow::new(CRASH, busy.crash, rates),
        ]
    }
}

/// A kind of request with its rate.
#[derive(Clone, Copy)]
struct Flow {
    kind: Kind,
    /// Requests per second.
    rate: f64,
}

impl Flow {
    fn new(kind: Kind, engines: f64, rates: Rates) -> Flow {
        let work = kind.work(rates);
        Flow { kind, rate: engines / (work.prefill + work.decode) }
    }
}

impl Kind {
    fn work(self, rates: Rates) -> Work {
        Work::new(self.prompt * (1.0 - CACHED_SHARE), self.output, rates)
    }

    fn prefill_share(self, rates: Rates) -> f64 {
        let work = self.work(rates);
        work.prefill / (work.prefill + work.decode)
    }
}

/// Checklist drafts and crash reports that keep `engines` engines busy, a share of `share` with prefill.
fn share_flows(engines: f64, share: f64, rates: Rates) -> Vec<Flow> {
    let low = CHECKLIST.prefill_share(rates);
    let high = CRASH.prefill_share(rates);
    let crash = ((share - low) / (high - low)).clamp(0.0, 1.0);
    vec![
        Flow::new(CHECKLIST, engines * (1.0 - crash), rates),
        Flow::new(CRASH, engines * crash, rates),
    ]
}

/// Prefill share of the work at a step of a day.
fn day_share(step: f64) -> f64 {
    0.26 * (1.0 + 0.5 * (step / (24.0 * HOUR_STEPS) * TAU).sin())
}

/// 1 from `start` for `length` steps, 0 elsewhere, with linear ramps of `ramp` steps before and after.
fn pulse(step: f64, start: f64, length: f64, ramp: f64) -> f64 {
    let up = (step - start) / ramp + 1.0;
    let down = (start + length - step) / ramp + 1.0;
    up.min(down).clamp(0.0, 1.0)
}

/// Two pulses, the second one `period` steps after the first.
fn pulses(step: f64, start: f64, length: f64, period: f64, ramp: f64) -> f64 {
    pulse(step, start, length, ramp).max(pulse(step, start + period, length, ramp))
}

/// Random variation of the load and of the prefill share, as first-order autoregressive processes.
#[derive(Default)]
struct Noise {
    load: f64,
    mix: f64,
}

impl Noise {
    const AUTOCORRELATION: f64 = 0.7;
    const LOAD_DEVIATION: f64 = 0.12;
    const MIX_DEVIATION: f64 = 0.06;

    fn advance(&mut self, random: &mut Random) {
        let innovation = (1.0 - Noise::AUTOCORRELATION.powi(2)).sqrt();
        self.load = Noise::AUTOCORRELATION * self.load
            + innovation * Noise::LOAD_DEVIATION * normal(random);
        self.mix =
            Noise::AUTOCORRELATION * self.mix + innovation * Noise::MIX_DEVIATION * normal(random);
    }

    fn flows(&self, rates: Rates) -> Vec<Flow> {
        share_flows(17.0 * self.load.exp(), (0.26 + self.mix).clamp(0.05, 0.6), rates)
    }
}

/// Draws the arrivals of a step.
fn arrivals(flows: &[Flow], scale: f64, random: &mut Random) -> Step {
    let mut sum = Step::default();
    for flow in flows {
        let expected = flow.rate * scale * std::time::Duration::from_secs(STEP_S).as_secs_f64();
        let requests = (expected + expected.sqrt() * normal(random)).max(0.0);
        let spread = TOKEN_DEVIATION / requests.max(1.0).sqrt();
        let prompt = requests * flow.kind.prompt * (1.0 + spread * normal(random)).max(0.0);
        sum.requests += requests;
        sum.prompt_tokens += prompt;
        sum.cached_tokens += prompt * CACHED_SHARE;
        sum.output_tokens += requests * flow.kind.output * (1.0 + spread * normal(random)).max(0.0);
    }
    sum
}

/// Draws from the standard normal distribution, by the Box-Muller transform.
fn normal(random: &mut Random) -> f64 {
    let radius = (-2.0 * (1.0 - random.unit()).ln()).sqrt();
    radius * (TAU * random.unit()).cos()
}
