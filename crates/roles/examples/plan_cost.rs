//! Measures the time to compute a plan, by the number of engines.
//!
//! `cargo run --release -p roles --example plan_cost`

#![allow(clippy::print_stdout, reason = "an example prints its table")]

use std::{
    hint,
    time::{Duration, Instant},
};

use common::{clock::Moment, name, role::Role};
use roles::{
    demand::{Demand, Estimate, Load, Sample},
    fleet::{Engine, Fleet, State},
    plan,
    policy::{Policy, Rule},
    pool::{self, Pool},
};
use settings::service::Roles;

const RUNS: u32 = 200;
/// Number of engines, pools and data centres of each measurement.
const SIZES: [(u32, u32, u32); 4] = [(20, 1, 1), (280, 1, 1), (280, 20, 1), (12_000, 860, 43)];

fn main() {
    println!("engines   pools    changes   microseconds a plan");
    for (engines, pools, data_centres) in SIZES {
        let (demand, fleet, policy) = inputs(engines, pools, data_centres);
        let now = Moment(1_000_000_000);
        let started = Instant::now();
        for _ in 0..RUNS {
            hint::black_box(plan::plan(hint::black_box(&demand), &fleet, &policy, now));
        }
        let each: Duration = started.elapsed() / RUNS;
        let changes = plan::plan(&demand, &fleet, &policy, now).changes.len();
        println!("{engines:>7} {pools:>7} {changes:>10} {:>12}", each.as_micros());
    }
}

/// Inputs of a plan in which half of the pools need other roles than they have.
fn inputs(engines: u32, pools: u32, data_centres: u32) -> (Demand, Fleet, Policy) {
    let roles = Roles { lend_to: vec![String::from("other")], ..Roles::default() };
    let per_pool = engines / pools;
    let mut policy = Policy::default();
    let mut demand = Demand::default();
    for index in 0..pools {
        let pool = Pool {
            partner: name::Partner::from("partner"),
            service: name::Service(format!("service-{}", index / data_centres)),
            data_centre: name::DataCentre(format!("dc-{}", index % data_centres)),
        };
        policy.rules.push(Rule { pool, roles: roles.clone() });
        demand.loads.push(Some(load(f64::from(per_pool), index % 2 == 1, &roles)));
    }
    let engines = (0..engines)
        .map(|index| Engine {
            name: name::Target(format!("engine-{index}")),
            pool: pool::Key(index % pools),
            role: if (index / pools).is_multiple_of(4) { Role::Prefill } else { Role::Decode },
            state: State::Ready,
            changed_at: None,
            running: index % 7,
        })
        .collect();
    (demand, Fleet { engines }, policy)
}

/// Load of a pool; `fits` if its prefill share is that of the engines' roles.
fn load(engines: f64, fits: bool, roles: &Roles) -> Load {
    let share = if fits { 0.25 } else { 0.5 };
    let prefill = engines * 0.9 * share * roles.prefill_rate;
    let decode = engines * 0.9 * (1.0 - share) * roles.decode_rate;
    let requests = engines * 2.0;
    let estimate = |mean| Estimate { mean, deviation: mean * 0.05 };
    Load {
        requests,
        prefill: estimate(prefill),
        decode: estimate(decode),
        persistence_s: 3_600.0,
        past: vec![Sample { requests, prefill, decode }; 60],
    }
}
