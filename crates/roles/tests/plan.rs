//! Planned changes: which ones pay, which rules forbid them, and that floors, dwell time and limits always hold.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "support/cases.rs"]
mod support;

use common::{clock::Moment, name, role::Role};
use expect_test::expect;
use proptest::prelude::*;
use roles::{
    capacity::Mix,
    demand::Demand,
    fleet::State,
    plan::{self, Plan, change::Reason},
    policy::{Policy, Rule},
    pool, simulation,
};
use settings::service::Roles;
use support::{Undelayed, load, one_pool, roles, trace};

const NOW: Moment = Moment(1_000_000);
const SPLIT: Mix = Mix { prefill: 5, decode: 15, mixed: 0 };

#[test]
fn a_change_shows_its_payoff_and_a_hold_its_reason() {
    let demand = Demand { loads: vec![Some(load(40.0, 9.0, 9.0))] };
    let plan = plan::plan(&demand, &simulation::fleet(SPLIT), &one_pool(roles()), NOW);
    expect![[r#"
        decode to prefill: gain 844, lost during the change 0, price 20
        hold 6/14/0: limit of 1 concurrent changes reached: gain 844, lost during the change 0, price 20
    "#]]
    .assert_eq(&render(&plan));
}

#[test]
fn few_requests_that_are_all_served_need_no_change() {
    let demand = Demand { loads: vec![Some(load(0.1, 0.3, 0.1))] };
    let plan = plan::plan(&demand, &simulation::fleet(SPLIT), &one_pool(roles()), NOW);
    assert_eq!(plan.changes, []);
    assert_eq!(plan.pools[0].reason, Reason::Balanced);
}

#[test]
fn there_is_no_change_while_the_demand_is_unknown() {
    let demand = Demand { loads: vec![None] };
    let plan = plan::plan(&demand, &simulation::fleet(SPLIT), &one_pool(roles()), NOW);
    assert_eq!(plan.changes, []);
    assert_eq!(plan.pools[0].reason, Reason::UnknownDemand);
}

#[test]
fn mixed_engines_are_preferred_if_the_demand_shifts_often() {
    let mut swinging = load(40.0, 3.0, 15.0);
    swinging.persistence_s = 1.0;
    swinging.past = vec![support::sample(40.0, 9.0, 9.0), support::sample(40.0, 3.0, 15.0)];
    let demand = Demand { loads: vec![Some(swinging)] };
    let plan = plan::plan(
        &demand,
        &simulation::fleet(SPLIT),
        &one_pool(Roles { hysteresis_percent: 0, ..roles() }),
        NOW,
    );
    assert_eq!(plan.changes.iter().map(|change| change.to).collect::<Vec<_>>(), [Role::Mixed]);
}

#[test]
fn another_engine_changes_if_the_first_is_lost_during_its_change() {
    let demand = Demand { loads: vec![Some(load(40.0, 9.0, 9.0))] };
    let policy = one_pool(roles());
    let mut fleet = simulation::fleet(SPLIT);
    let first = plan::plan(&demand, &fleet, &policy, NOW).changes[0];
    fleet.engines[first.engine.index()].state = State::Changing(first.to);
    assert_eq!(plan::plan(&demand, &fleet, &policy, NOW).changes, [], "the limit is reached");
    fleet.engines[first.engine.index()].state = State::Gone;
    let second = plan::plan(&demand, &fleet, &policy, NOW).changes[0];
    assert_ne!(second.engine, first.engine);
    assert_eq!((second.from, second.to), (first.from, first.to));
}

#[test]
fn a_pool_changes_for_another_partner_only_if_it_lends_to_that_partner() {
    let lender = Rule { pool: named("inkleaf", "sapporo-a"), roles: roles() };
    let borrower = Rule { pool: named("association", "suva"), roles: roles() };
    let demand = Demand { loads: vec![Some(load(1.0, 0.1, 0.2)), Some(load(40.0, 18.0, 2.0))] };
    let mut fleet = simulation::fleet(SPLIT);
    let mut own = simulation::fleet(SPLIT).engines;
    own.iter_mut().for_each(|engine| engine.pool = pool::Key(1));
    fleet.engines.extend(own);
    let changed_pools = |lend_to: &[&str]| {
        let mut lender = lender.clone();
        lender.roles.lend_to = lend_to.iter().map(|name| String::from(*name)).collect();
        let policy = Policy { rules: vec![lender, borrower.clone()] };
        let plan = plan::plan(&demand, &fleet, &policy, NOW);
        plan.changes.iter().map(|change| change.pool.0).collect::<Vec<_>>()
    };
    assert_eq!(changed_pools(&[]), [1]);
    assert_eq!(changed_pools(&["association"]), [0, 1]);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn floors_dwell_time_and_the_limit_on_changes_always_hold(
        works in prop::collection::vec((0.0..20.0, 0.0..20.0), 30..90),
        changes_at_once in 1_u32..4,
        floor in 1_u32..5,
        dwell_steps in 1_u64..12,
        change_price in 0.0..50.0,
    ) {
        let settings = Roles {
            changes_at_once,
            prefill_floor: floor,
            decode_floor: floor,
            dwell_s: dwell_steps * 10,
            change_price,
            hysteresis_percent: 0,
            ..roles()
        };
        let trace = trace(&works);
        let policy = one_pool(settings.clone());
        let mut controller = Undelayed::new(&policy, &trace);
        let outcome = simulation::run(&mut controller, &trace, &policy, SPLIT);
        for mix in &outcome.mixes {
            prop_assert!(mix.can_prefill() >= floor && mix.can_decode() >= floor, "{mix:?}");
            prop_assert!(20 - mix.total() <= changes_at_once);
        }
        for (place, event) in outcome.events.iter().enumerate() {
            let next = outcome.events[place + 1..].iter().find(|later| later.engine == event.engine);
            if let Some(next) = next {
                let pause = u64::try_from(next.step - event.step).unwrap() - 1;
                prop_assert!(pause >= dwell_steps, "{event:?} {next:?}");
            }
        }
    }

    #[test]
    fn no_engine_changes_twice_or_late_on_constant_demand(prefill in 0.1..15.0, decode in 0.1..15.0) {
        let trace = trace(&vec![(prefill, decode); 120]);
        let policy = one_pool(Roles { hysteresis_percent: 0, ..roles() });
        let mut controller = Undelayed::new(&policy, &trace);
        let outcome = simulation::run(&mut controller, &trace, &policy, SPLIT);
        let mut engines: Vec<&name::Target> =
            outcome.events.iter().map(|event| &event.engine).collect();
        let changes = engines.len();
        engines.sort();
        engines.dedup();
        prop_assert_eq!(engines.len(), changes, "an engine changed twice: {:?}", outcome.events);
        let late = outcome.events.iter().filter(|event| event.step > 60).count();
        prop_assert_eq!(late, 0);
    }
}

fn named(partner: &str, data_centre: &str) -> pool::Pool {
    pool::Pool {
        partner: name::Partner::from(partner),
        service: name::Service::from("model"),
        data_centre: name::DataCentre::from(data_centre),
    }
}

fn render(plan: &Plan) -> String {
    let mut lines: Vec<String> = plan.changes.iter().map(|change| format!("{change}\n")).collect();
    for state in &plan.pools {
        let Mix { prefill, decode, mixed } = state.mix;
        lines.push(format!("hold {prefill}/{decode}/{mixed}: {}\n", state.reason));
    }
    lines.concat()
}
