//! Runs of all controllers on all traces, with the weightings of both partners.

use std::{
    fmt::{self, Display, Formatter},
    time::Duration,
};

use roles::{
    baseline::{
        clairvoyant::{self, Parameters},
        fixed::Fixed,
        planned::Planned,
        threshold::Threshold,
    },
    capacity::Mix,
    policy::{Policy, Rule},
    simulation::{self, Outcome},
    trace::{
        Trace,
        generate::{self, SHAPES},
    },
};
use settings::service;

const ENGINES: u32 = 20;
/// Delay of the demand reports.
const LAG: Duration = Duration::from_secs(5);

/// Settings by which a partner weights goodput and changes.
pub struct Weighting {
    pub name: &'static str,
    pub roles: service::Roles,
}

/// Result of one controller on one trace.
pub struct Row {
    pub trace: Trace,
    pub weighting: &'static str,
    pub controller: &'static str,
    pub outcome: Outcome,
    pub score: f64,
    /// Goodput in percent of the clairvoyant bound's.
    pub percent: f64,
}

/// The weightings of both partners.
pub fn weightings() -> [Weighting; 2] {
    [
        Weighting {
            name: "association",
            roles: service::Roles { changes_at_once: 2, ..service::Roles::default() },
        },
        Weighting {
            name: "inkleaf",
            roles: service::Roles {
                change_price: 300.0,
                horizon_s: 1_200,
                hysteresis_percent: 100,
                ..service::Roles::default()
            },
        },
    ]
}

/// The rows of all runs; those of the same trace and weighting are adjacent.
pub fn all(seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for shape in SHAPES {
        for weighting in weightings() {
            let rule = Rule { roles: weighting.roles.clone(), ..Rule::default() };
            let trace = generate::generate(shape, ENGINES, rule.rates(), seed);
            rows.extend(trace_rows(&trace, &weighting, rule));
        }
    }
    rows
}

fn trace_rows(trace: &Trace, weighting: &Weighting, rule: Rule) -> Vec<Row> {
    let roles = &weighting.roles;
    let rates = rule.rates();
    let start = trace.average_split(rates);
    let policy = Policy { rules: vec![rule] };
    let parameters = Parameters {
        rates,
        weight: roles.goodput_weight,
        price: roles.change_price,
        changes_at_once: roles.changes_at_once,
    };
    let mut threshold = Threshold::new(rates, trace.step_seconds(), roles.changes_at_once);
    let mut planned = Planned::new(policy.clone(), trace, LAG);
    let best = clairvoyant::best(trace, start, &parameters);
    let bound = best.goodput;
    let outcomes = [
        ("clairvoyant", best),
        ("policy", simulation::run(&mut planned, trace, &policy, start)),
        ("fixed split", simulation::run(&mut Fixed, trace, &policy, start)),
        ("threshold", simulation::run(&mut threshold, trace, &policy, start)),
        ("best fixed", best_fixed(trace, start, &parameters)),
    ];
    outcomes
        .into_iter()
        .map(|(controller, outcome)| Row {
            trace: trace.clone(),
            weighting: weighting.name,
            controller,
            score: outcome.score(roles.goodput_weight, roles.change_price),
            percent: 100.0 * outcome.goodput / bound,
            outcome,
        })
        .collect()
}

/// The fixed mix with the highest goodput in hindsight, including mixed engines.
fn best_fixed(trace: &Trace, start: Mix, parameters: &Parameters) -> Outcome {
    let mut best = Outcome::default();
    let engines = start.total();
    for prefill in 0..=engines {
        for decode in 0..=engines - prefill {
            let mix = Mix { prefill, decode, mixed: engines - prefill - decode };
            let mixes = vec![mix; trace.steps.len()];
            let goodput = trace.goodput(&mixes, parameters.rates);
            if goodput > best.goodput {
                best = Outcome { goodput, mixes, ..Outcome::default() };
            }
        }
    }
    best
}

/// Comparison of the policy with the other controllers, for one seed.
pub struct Comparison {
    /// Runs in which the policy reaches the goal: at least 95% of the bound's goodput, at most twice its changes.
    pub met: usize,
    /// Runs in which it scores higher than both the fixed split and the threshold.
    pub ahead: usize,
    pub runs: usize,
    /// Lowest goodput of any run, in percent of the bound.
    pub percent: f64,
    /// Descriptions of the runs that miss the goal or don't score higher.
    pub misses: Vec<String>,
}

/// Compares the policy with the other controllers of each run.
pub fn compare(rows: &[Row]) -> Comparison {
    let mut comparison =
        Comparison { met: 0, ahead: 0, runs: 0, percent: f64::INFINITY, misses: Vec::new() };
    for run in rows.chunk_by(|a, b| a.trace.name == b.trace.name && a.weighting == b.weighting) {
        let [bound, policy, fixed, threshold, _best_fixed] = run else { continue };
        comparison.runs += 1;
        comparison.percent = comparison.percent.min(policy.percent);
        let allowed = bound.outcome.changes * 2;
        if policy.percent >= 95.0 && policy.outcome.changes <= allowed {
            comparison.met += 1;
        } else {
            comparison.misses.push(format!(
                "{}, {}: {:.1}%, {} changes of {allowed} allowed",
                policy.trace.name, policy.weighting, policy.percent, policy.outcome.changes
            ));
        }
        if policy.score > fixed.score.max(threshold.score) {
            comparison.ahead += 1;
        } else {
            comparison.misses.push(format!(
                "{}, {}: score {:.0}, fixed split {:.0}, threshold {:.0}",
                policy.trace.name, policy.weighting, policy.score, fixed.score, threshold.score
            ));
        }
    }
    comparison
}

impl Row {
    pub const HEADER: &str = "trace                     weighting    controller    goodput  of bound  changes    \
                              score";
}

impl Display for Row {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:<25} {:<12} {:<12} {:>8.0} {:>8.1}% {:>8} {:>8.0}",
            self.trace.name,
            self.weighting,
            self.controller,
            self.outcome.goodput,
            self.percent,
            self.outcome.changes,
            self.score
        )
    }
}
