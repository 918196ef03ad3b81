//! Loads, policies and traces for tests.

#![allow(dead_code, reason = "each test file uses a part")]

use std::time::Duration;

use common::clock::Moment;
use roles::{
    baseline::planned::Planned,
    demand::{Estimate, Load, Sample},
    fleet::Fleet,
    policy::{Policy, Rule},
    simulation::{Change, Controller},
    trace::{Step, Trace},
};
use settings::service::Roles;

const HOUR_S: f64 = 3_600.0;
const STEP_S: u64 = 10;

/// The default settings.
pub fn roles() -> Roles {
    Roles::default()
}

/// A policy of one pool.
pub fn one_pool(roles: Roles) -> Policy {
    Policy { rules: vec![Rule { roles, ..Rule::default() }] }
}

/// A steady load that keeps `prefill` and `decode` engines busy.
pub fn load(requests: f64, prefill: f64, decode: f64) -> Load {
    let sample = sample(requests, prefill, decode);
    let estimate = |mean| Estimate { mean, deviation: 0.0 };
    Load {
        requests,
        prefill: estimate(sample.prefill),
        decode: estimate(sample.decode),
        persistence_s: HOUR_S,
        past: Vec::new(),
    }
}

/// Past demand that kept `prefill` and `decode` engines busy.
pub fn sample(requests: f64, prefill: f64, decode: f64) -> Sample {
    let roles = roles();
    Sample { requests, prefill: prefill * roles.prefill_rate, decode: decode * roles.decode_rate }
}

/// A trace whose steps keep these numbers of engines busy with prefill and decode.
pub fn trace(works: &[(f64, f64)]) -> Trace {
    let roles = roles();
    let steps = works
        .iter()
        .map(|(prefill, decode)| Step {
            requests: 200.0,
            prompt_tokens: prefill * roles.prefill_rate * 10.0,
            cached_tokens: 0.0,
            output_tokens: decode * roles.decode_rate * 10.0,
        })
        .collect();
    Trace { name: String::from("test"), step_s: STEP_S, engines: 20, steps }
}

/// The policy with reports that arrive without delay.
pub struct Undelayed(Planned);

impl Undelayed {
    /// Makes a controller for a trace.
    pub fn new(policy: &Policy, trace: &Trace) -> Undelayed {
        Undelayed(Planned::new(policy.clone(), trace, Duration::ZERO))
    }
}

impl Controller for Undelayed {
    fn observe(&mut self, middle: Moment, step: &Step) {
        self.0.observe(middle, step);
    }

    fn decide(&mut self, fleet: &Fleet, now: Moment) -> Vec<Change> {
        self.0.decide(fleet, now)
    }
}
