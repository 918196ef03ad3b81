//! Which peer takes a request of a service that this instance doesn't reach.

#[path = "support/relays.rs"]
mod relays;

use std::time::Duration;

use common::{
    clock::Moment,
    collections::{Map, Set},
    name,
    random::Random,
};
use fleet::exchange::{MAX_CUT_OFF, Reach};
use placement::relay::{MAX_INSTANCES, MAX_RELAYED, Outcome, Peer, Peers, STATE_TTL};
use relays::{CONTACT_MS, Cut, Failure, Figures, Part, Plan, Policy, simulate};
use yare::parameterized;

const SEEDS: u64 = 40;

fn at(ms: u64) -> Moment {
    Moment(1_000_000 + ms)
}

fn service() -> name::Service {
    name::Service::from("search")
}

fn instance(number: usize) -> name::Instance {
    name::Instance(format!("entry-{number}"))
}

/// Peers 1 to `same` are in the data centre of the instance, the next `other` in others.
fn peers(same: usize, other: usize, seed: u64) -> Peers {
    let mut peers = Peers::new("here".into(), seed);
    let data_centre = |number: usize| if number <= same { "here" } else { "there" };
    let all = (1..=same + other)
        .map(|number| Peer { instance: instance(number), data_centre: data_centre(number).into() });
    peers.set_peers(all.collect());
    peers
}

fn reach(number: usize, started_unix_ms: u64, sequence: u64, services: &[&str]) -> Reach {
    Reach {
        instance: instance(number),
        started_unix_ms,
        number: sequence,
        cut_off: services.iter().map(|service| name::Service::from(*service)).collect(),
    }
}

/// All peers that are chosen when each chosen one is avoided from then on.
fn choosable(peers: &mut Peers, now: Moment) -> Vec<String> {
    let mut avoid = Vec::new();
    while let Some(chosen) = peers.choose(&service(), &avoid, now) {
        peers.record_end(&chosen, &service(), Outcome::Answered, now);
        avoid.push(chosen);
    }
    let mut names: Vec<String> = avoid.into_iter().map(|instance| instance.0).collect();
    names.sort();
    names
}

#[parameterized(
    nothing_known = { &[], 0, &["entry-1", "entry-2", "entry-3"] },
    cut_off_from_it = { &[reach(1, 5, 1, &["search"])], 0, &["entry-2", "entry-3"] },
    cut_off_from_another_service = {
        &[reach(1, 5, 1, &["plain"])], 0, &["entry-1", "entry-2", "entry-3"]
    },
    healed = {
        &[reach(1, 5, 1, &["search"]), reach(1, 5, 2, &[])], 0, &["entry-1", "entry-2", "entry-3"]
    },
    healed_told_in_another_order = {
        &[reach(1, 5, 2, &[]), reach(1, 5, 1, &["search"])], 0, &["entry-1", "entry-2", "entry-3"]
    },
    restarted = {
        &[reach(1, 5, 9, &["search"]), reach(1, 6, 1, &[])], 0, &["entry-1", "entry-2", "entry-3"]
    },
    restarted_told_in_another_order = {
        &[reach(1, 6, 1, &["search"]), reach(1, 5, 9, &[])], 0, &["entry-2", "entry-3"]
    },
    not_renewed = { &[reach(1, 5, 1, &["search"])], 5_000, &["entry-1", "entry-2", "entry-3"] },
    an_instance_that_is_no_peer = {
        &[reach(9, 5, 1, &["search"])], 0, &["entry-1", "entry-2", "entry-3"]
    },
    all_cut_off = {
        &[reach(1, 5, 1, &["search"]), reach(2, 5, 1, &["search"]), reach(3, 5, 1, &["search"])], 0, &[]
    },
)]
fn peers_that_are_not_cut_off_are_chosen(states: &[Reach], after_ms: u64, expected: &[&str]) {
    let mut peers = peers(1, 2, 1);
    for state in states {
        peers.merge(state, at(0));
    }
    assert_eq!(choosable(&mut peers, at(after_ms)), expected);
    assert_eq!(peers.may_reach(&service(), at(after_ms)), !expected.is_empty());
}

#[parameterized(
    answered = { Outcome::Answered, 0, true },
    cut_off = { Outcome::CutOff, 900, false },
    cut_off_for_a_time = { Outcome::CutOff, 1_000, true },
    busy = { Outcome::Busy, 0, true },
    unreached = { Outcome::Unreached, 900, false },
    unreached_for_a_time = { Outcome::Unreached, 1_000, true },
)]
fn an_outcome_decides_whether_the_only_peer_is_chosen_again(
    outcome: Outcome,
    after_ms: u64,
    is_chosen: bool,
) {
    let mut peers = peers(0, 1, 1);
    assert_eq!(peers.choose(&service(), &[], at(0)), Some(instance(1)));
    peers.record_end(&instance(1), &service(), outcome, at(0));
    assert_eq!(peers.may_reach(&service(), at(after_ms)), is_chosen);
    assert_eq!(peers.choose(&service(), &[], at(after_ms)).is_some(), is_chosen);
}

#[test]
fn a_peer_cut_off_from_one_service_takes_requests_of_another() {
    let mut peers = peers(0, 1, 1);
    peers.choose(&service(), &[], at(0));
    peers.record_end(&instance(1), &service(), Outcome::CutOff, at(0));
    assert_eq!(peers.choose(&"plain".into(), &[], at(0)), Some(instance(1)));
}

#[test]
fn a_state_published_after_a_refusal_holds() {
    let mut peers = peers(0, 1, 1);
    peers.choose(&service(), &[], at(0));
    peers.record_end(&instance(1), &service(), Outcome::CutOff, at(0));
    assert!(peers.merge(&reach(1, 5, 2, &[]), at(100)));
    assert!(peers.may_reach(&service(), at(100)));
}

#[test]
fn one_request_tries_an_unreached_peer_and_its_pause_doubles_once_for_many_failures() {
    let mut peers = peers(0, 1, 1);
    for _ in 0..10 {
        peers.choose(&service(), &[], at(0));
    }
    for _ in 0..10 {
        peers.record_end(&instance(1), &service(), Outcome::Unreached, at(0));
    }
    assert_eq!(peers.choose(&service(), &[], at(1_000)), Some(instance(1)));
    assert_eq!(peers.choose(&service(), &[], at(1_000)), None);
    peers.record_end(&instance(1), &service(), Outcome::Unreached, at(1_000));
    assert!(!peers.may_reach(&service(), at(2_900)));
    assert!(peers.may_reach(&service(), at(3_000)));
    peers.choose(&service(), &[], at(3_000));
    peers.record_end(&instance(1), &service(), Outcome::Answered, at(3_000));
    assert!(peers.may_reach(&service(), at(3_000)));
}

#[test]
fn a_peer_that_never_answers_is_tried_at_least_every_eight_seconds() {
    let mut peers = peers(0, 1, 1);
    let mut tried = Vec::new();
    for ms in 0..100_000 {
        if peers.choose(&service(), &[], at(ms)).is_some() {
            tried.push(ms);
            peers.record_end(&instance(1), &service(), Outcome::Unreached, at(ms));
        }
    }
    assert!(tried.len() <= 20, "{} requests", tried.len());
    assert!(tried.windows(2).all(|pair| pair[1] - pair[0] <= 8_000), "{tried:?}");
}

#[test]
fn a_restarted_peer_is_tried_at_once() {
    let mut peers = peers(0, 1, 1);
    peers.merge(&reach(1, 5, 1, &[]), at(0));
    peers.choose(&service(), &[], at(0));
    peers.record_end(&instance(1), &service(), Outcome::Unreached, at(0));
    peers.merge(&reach(1, 6, 1, &[]), at(10));
    assert!(peers.may_reach(&service(), at(10)));
}

#[test]
fn a_peer_that_refused_gets_fewer_requests_for_a_while() {
    let mut peers = peers(2, 0, 1);
    let busy = peers.choose(&service(), &[], at(0)).expect("a peer");
    peers.record_end(&busy, &service(), Outcome::Busy, at(0));
    let chosen = (0..40).filter(|_| peers.choose(&service(), &[], at(10)) == Some(busy.clone()));
    assert!(chosen.count() <= 20);
}

#[test]
fn requests_stay_in_the_data_centre_while_its_peers_can_take_them() {
    let mut peers = peers(3, 30, 1);
    for _ in 0..60 {
        let chosen = peers.choose(&service(), &[], at(0)).expect("a peer");
        assert!((1..=3).any(|number| chosen == instance(number)), "{chosen}");
    }
}

#[test]
fn few_peers_left_in_the_data_centre_do_not_take_the_requests_of_all_others() {
    let mut peers = peers(9, 30, 1);
    for number in 1..=8 {
        peers.merge(&reach(number, 5, 1, &["search"]), at(0));
    }
    let mut here = 0;
    for _ in 0..900 {
        let chosen = peers.choose(&service(), &[], at(0)).expect("a peer");
        here += usize::from(chosen == instance(9));
        peers.record_end(&chosen, &service(), Outcome::Answered, at(0));
    }
    // A ninth of the requests of each of nine instances is what one of them has.
    assert!((50..=150).contains(&here), "{here} of 900");
}

#[test]
fn a_peer_has_a_bounded_number_of_requests_and_gets_more_when_some_end() {
    let mut peers = peers(1, 1, 1);
    let chosen: Vec<name::Instance> =
        std::iter::from_fn(|| peers.choose(&service(), &[], at(0))).collect();
    assert_eq!(chosen.len(), 2 * MAX_RELAYED);
    assert!(peers.may_reach(&service(), at(0)));
    peers.record_end(&instance(2), &service(), Outcome::Answered, at(0));
    assert_eq!(peers.choose(&service(), &[], at(0)), Some(instance(2)));
    assert_eq!(peers.choose(&service(), &[], at(0)), None);
}

#[test]
fn all_cut_off_instances_together_have_a_bounded_number_of_requests_at_a_peer() {
    let instances = 70;
    let mut total = 0;
    for _ in 1..instances {
        let mut peers = peers(0, instances - 1, 1);
        for number in 2..instances {
            peers.merge(&reach(number, 5, 1, &["search"]), at(0));
        }
        total += std::iter::from_fn(|| peers.choose(&service(), &[], at(0))).count();
    }
    assert!((MAX_RELAYED / 2..=MAX_RELAYED).contains(&total), "{total}");
}

#[test]
fn requests_at_a_peer_that_leaves_and_comes_back_stay_counted() {
    let mut peers = peers(0, 1, 1);
    let before = std::iter::from_fn(|| peers.choose(&service(), &[], at(0))).count();
    peers.set_peers(Vec::new());
    assert_eq!(peers.choose(&service(), &[], at(0)), None);
    peers.set_peers(vec![Peer { instance: instance(1), data_centre: "there".into() }]);
    assert_eq!(peers.choose(&service(), &[], at(0)), None);
    for _ in 0..before {
        peers.record_end(&instance(1), &service(), Outcome::Answered, at(0));
    }
    assert_eq!(std::iter::from_fn(|| peers.choose(&service(), &[], at(0))).count(), before);
}

#[test]
fn a_state_that_came_before_the_peer_was_known_holds() {
    let mut peers = peers(0, 1, 1);
    peers.merge(&reach(2, 5, 1, &["search"]), at(0));
    peers.set_peers(
        (1..=2)
            .map(|number| Peer { instance: instance(number), data_centre: "there".into() })
            .collect(),
    );
    assert_eq!(choosable(&mut peers, at(0)), ["entry-1"]);
}

#[test]
fn a_clock_that_was_set_back_does_not_silence_an_instance_for_good() {
    let mut peers = peers(0, 1, 1);
    assert!(peers.merge(&reach(1, 9_000_000, 1, &[]), at(0)));
    assert!(!peers.merge(&reach(1, 5, 1, &["search"]), at(1_000)));
    assert!(peers.merge(&reach(1, 5, 40, &["search"]), at(60_000)));
    assert!(!peers.may_reach(&service(), at(60_000)));
}

#[test]
fn states_of_instances_that_are_no_peers_are_bounded_and_do_not_displace_peers() {
    let mut peers = peers(0, 2, 1);
    for number in 10..3 * MAX_INSTANCES {
        peers.merge(&reach(number, 5, 1, &["search"]), at(0));
    }
    assert!(peers.merge(&reach(1, 5, 1, &["search"]), at(0)));
    assert!(!peers.merge(&reach(4 * MAX_INSTANCES, 5, 1, &[]), at(0)));
    assert!(peers.merge(&reach(4 * MAX_INSTANCES, 5, 1, &[]), at(60_000)));
    assert_eq!(choosable(&mut peers, at(100)), ["entry-2"]);
}

#[test]
fn a_state_that_names_too_many_services_is_cut_to_the_bound() {
    let mut peers = peers(0, 1, 1);
    let names: Vec<String> = (0..=MAX_CUT_OFF).map(|number| number.to_string()).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    peers.merge(&reach(1, 5, 1, &names), at(0));
    assert!(!peers.may_reach(&names[MAX_CUT_OFF - 1].into(), at(0)));
    assert!(peers.may_reach(&names[MAX_CUT_OFF].into(), at(0)));
}

/// States that instances publish in several processes each.
fn published(random: &mut Random, instances: usize) -> Vec<Reach> {
    let services = ["search", "plain", "chat"];
    let mut states = Vec::new();
    for number in 1..=instances {
        for started in 1..=1 + random.below(3) as u64 {
            for sequence in 1..=1 + random.below(8) as u64 {
                let cut_off: Vec<&str> =
                    services.into_iter().filter(|_| random.below(2) == 0).collect();
                states.push(reach(number, started, sequence, &cut_off));
            }
        }
    }
    states
}

#[test]
fn states_merged_in_any_order_with_losses_and_duplicates_give_the_newest() {
    for seed in 0..SEEDS {
        let mut random = Random::new(seed);
        let states = published(&mut random, 8);
        let mut schedule: Vec<&Reach> = Vec::new();
        for state in &states {
            // Lost, once, or several times.
            schedule.extend(std::iter::repeat_n(state, random.below(4)));
        }
        for index in (1..schedule.len()).rev() {
            schedule.swap(index, random.below(index + 1));
        }
        let mut newest: Map<name::Instance, &Reach> = Map::default();
        let mut merged = peers(3, 5, seed);
        for state in schedule {
            let known = newest.get(&state.instance);
            let is_newer = known.is_none_or(|known| {
                (state.started_unix_ms, state.number) > (known.started_unix_ms, known.number)
            });
            assert_eq!(merged.merge(state, at(0)), is_newer, "seed {seed}");
            if is_newer {
                newest.insert(state.instance.clone(), state);
            }
        }
        let expected: Set<String> = (1..=8)
            .map(instance)
            .filter(|instance| {
                newest.get(instance).is_none_or(|state| !state.cut_off.contains(&service()))
            })
            .map(|instance| instance.0)
            .collect();
        let chosen: Set<String> = choosable(&mut merged, at(0)).into_iter().collect();
        assert_eq!(chosen, expected, "seed {seed}");
    }
}

#[test]
fn a_renewed_state_holds_for_as_long_as_it_is_renewed() {
    let mut peers = peers(0, 1, 1);
    let mut now = at(0);
    for sequence in 1..=20 {
        peers.merge(&reach(1, 5, sequence, &["search"]), now);
        // A duplicate renews nothing.
        peers.merge(&reach(1, 5, sequence, &["search"]), now + Duration::from_millis(900));
        now = now + Duration::from_secs(1);
        assert!(!peers.may_reach(&service(), now));
    }
    assert!(peers.may_reach(&service(), now + STATE_TTL - Duration::from_secs(1)));
}

/// Seeds for fleets of up to 70 instances.
const FLEET_SEEDS: u64 = 8;
/// Least share of the requests at cut-off instances that is served, of that at the others.
const MIN_SERVED: f64 = 0.95;
/// Requests that a peer may work on, by its own: its own, those of one cut-off instance, and what chance adds.
const MAX_LOAD: f64 = 2.5;

const fn cut(part: Part) -> Cut {
    Cut { from_ms: 2_000, until_ms: 10_000, part }
}

fn plan(instances: usize, cuts: &[Cut]) -> Plan {
    Plan {
        instances,
        data_centres: if instances < 20 { 3 } else { instances / 10 },
        targets: 20,
        dead: 0,
        requests_per_s: 10.0,
        cuts: cuts.to_vec(),
        failure: Failure::Hangs,
        loss: 0.0,
        restarts: 0,
        policy: Policy::Merged,
    }
}

fn check(plan: &Plan, figures: &Figures) {
    assert!(figures.served_cut_off >= MIN_SERVED * figures.served_others, "{plan:?}: {figures:?}");
    assert!(figures.served_others >= MIN_SERVED, "{plan:?}: {figures:?}");
    assert!(figures.first_relayed_ms <= CONTACT_MS, "{plan:?}: {figures:?}");
    // Several dead targets may be found at once, before another one is reached.
    assert!(figures.mistaken <= usize::from(plan.dead > 0), "{plan:?}: {figures:?}");
}

#[parameterized(
    one_of_seven = { plan(7, &[cut(Part::One)]) },
    a_data_centre_of_seven = { plan(7, &[cut(Part::DataCentre)]) },
    one_of_seventy = { plan(70, &[cut(Part::One)]) },
    a_tenth_of_seventy = { plan(70, &[cut(Part::Tenth)]) },
    a_data_centre_of_seventy = { plan(70, &[cut(Part::DataCentre)]) },
    connections_are_refused = {
        Plan { failure: Failure::IsRefused, ..plan(70, &[cut(Part::DataCentre)]) }
    },
    few_requests = { Plan { requests_per_s: 1.0, ..plan(70, &[cut(Part::DataCentre)]) } },
    a_single_target = { Plan { targets: 1, ..plan(7, &[cut(Part::DataCentre)]) } },
    two_targets = { Plan { targets: 2, ..plan(7, &[cut(Part::DataCentre)]) } },
    dead_targets_beside = { Plan { dead: 3, ..plan(70, &[cut(Part::DataCentre)]) } },
    half_of_the_notices_lost = { Plan { loss: 0.5, ..plan(70, &[cut(Part::DataCentre)]) } },
    restarts = { Plan { restarts: 10, ..plan(70, &[cut(Part::DataCentre)]) } },
    one_heals_and_is_cut_off_again = {
        plan(7, &[
            Cut { from_ms: 2_000, until_ms: 7_000, part: Part::One },
            Cut { from_ms: 8_000, until_ms: 13_000, part: Part::DataCentre },
        ])
    },
    all_at_once = {
        Plan {
            loss: 0.3,
            dead: 3,
            restarts: 5,
            ..plan(70, &[
                Cut { from_ms: 2_000, until_ms: 7_000, part: Part::DataCentre },
                Cut { from_ms: 8_000, until_ms: 13_000, part: Part::Tenth },
            ])
        }
    },
)]
fn callers_of_cut_off_instances_are_served_by_peers(plan: Plan) {
    for seed in 0..FLEET_SEEDS {
        let figures = simulate(&plan, seed);
        check(&plan, &figures);
        if plan.requests_per_s >= 10.0 {
            assert!(figures.largest_load <= MAX_LOAD, "{plan:?}: {figures:?}");
        }
    }
}

#[parameterized(
    of_seven = { plan(7, &[cut(Part::AllButOne)]) },
    of_seventy = { plan(70, &[cut(Part::AllButOne)]) },
    of_seventy_with_lost_notices = { Plan { loss: 0.5, ..plan(70, &[cut(Part::AllButOne)]) } },
)]
fn the_only_instance_that_reaches_targets_serves_the_callers_of_all_others(plan: Plan) {
    for seed in 0..3 {
        check(&plan, &simulate(&plan, seed));
    }
}

#[parameterized(
    a_tenth = { plan(300, &[cut(Part::Tenth)]) },
    a_data_centre_with_lost_notices = { Plan { loss: 0.3, ..plan(300, &[cut(Part::DataCentre)]) } },
)]
fn callers_of_cut_off_instances_are_served_in_a_fleet_of_three_hundred(plan: Plan) {
    let figures = simulate(&plan, 1);
    check(&plan, &figures);
    assert!(figures.largest_load <= MAX_LOAD, "{plan:?}: {figures:?}");
}

#[test]
fn cuts_of_a_second_each_do_not_refuse_most_requests() {
    let cuts: Vec<Cut> = (1..9)
        .map(|second| Cut {
            from_ms: second * 2_000,
            until_ms: second * 2_000 + 1_000,
            part: Part::DataCentre,
        })
        .collect();
    for seed in 0..FLEET_SEEDS {
        let plan = plan(70, &cuts);
        let figures = simulate(&plan, seed);
        assert!(figures.served_cut_off >= figures.served_others * 2.0 / 3.0, "{figures:?}");
        assert_eq!(figures.mistaken, 0, "{figures:?}");
    }
}

#[test]
fn an_instance_without_peers_serves_again_after_the_cut() {
    let figures = simulate(
        &plan(
            1,
            &[cut(Part::One), Cut { from_ms: 12_000, until_ms: 12_001, part: Part::AllButOne }],
        ),
        1,
    );
    assert_eq!(figures.served_cut_off, 0.0);
    assert_eq!(figures.mistaken, 0);
}
