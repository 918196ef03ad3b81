//! The policy of this crate as a controller.

use std::time::Duration;

use common::clock::Moment;

use crate::{
    demand::{
        Demand,
        estimator::{Estimator, Report},
    },
    fleet::Fleet,
    plan::{self, Plan},
    policy::Policy,
    simulation::{Change, Controller},
    trace::{Step, Trace},
};

/// Plans each step from the reports of the earlier steps.
#[derive(Clone, Debug)]
pub struct Planned {
    policy: Policy,
    estimator: Estimator,
    last: Plan,
}

impl Planned {
    /// Makes a controller for a policy with one pool, whose reports arrive `lag` late.
    pub fn new(policy: Policy, trace: &Trace, lag: Duration) -> Planned {
        let estimator = Estimator::new(Duration::from_secs(trace.step_s), lag);
        Planned { policy, estimator, last: Plan::default() }
    }

    /// The last plan.
    pub fn last(&self) -> &Plan {
        &self.last
    }
}

impl Controller for Planned {
    fn observe(&mut self, middle: Moment, step: &Step) {
        self.estimator.observe(&Report {
            at: middle,
            requests: step.requests,
            prompt_tokens: step.prompt_tokens,
            cached_tokens: step.cached_tokens,
            output_tokens: step.output_tokens,
        });
    }

    fn decide(&mut self, fleet: &Fleet, now: Moment) -> Vec<Change> {
        let demand = Demand { loads: vec![self.estimator.estimate(now)] };
        self.last = plan::plan(&demand, fleet, &self.policy, now);
        self.last
            .changes
            .iter()
            .map(|change| Change {
                engine: change.engine,
                to: change.to,
                reason: change.payoff.to_string(),
            })
            .collect()
    }
}
