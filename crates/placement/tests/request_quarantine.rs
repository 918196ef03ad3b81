//! Requests that end targets, on simulated fleets: copies at all instances at once, lost notices, restarts, instances that
//! start, partitions, and sound requests beside them.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "support/crash_requests.rs"]
mod crash_requests;

use std::time::Duration;

use common::{clock::Moment, random::Random};
use crash_requests::{Plan, simulate};
use fleet::exchange::{self, Crashes, Digest, MAX_SUSPICIONS, Notice};
use placement::quarantine::request::{Content, MAX_ENDS, Place, Quarantine};
use yare::parameterized;

/// Copies of the request that may reach targets later than three seconds after the third end.
const MOST_LATE: usize = 3;
/// Longest time for which polls are refused, wherever they come.
const LONGEST_REFUSAL_MS: u64 = 10_000;
const SEEDS: u64 = 12;
const REQUEST: Digest = Digest(7);
const ALONE: Option<Place> = Some(Place { position: 0, instances: 1 });

const PLAN: Plan = Plan {
    instances: 7,
    targets: 6,
    copies_per_s: 4.0,
    round_ms: 1_500,
    sound_per_s: 60.0,
    common_ends: 0,
    loss: 0.0,
    restarts: 0,
    starts: 0,
    cuts: 0,
};
const LARGE: Plan = Plan { instances: 70, targets: 40, copies_per_s: 40.0, ..PLAN };

#[parameterized(
    one_instance = { Plan { instances: 1, ..PLAN } },
    seven_instances = { PLAN },
    seventy_instances = { LARGE },
    a_single_target = { Plan { targets: 1, ..PLAN } },
    two_targets_at_seventy = { Plan { targets: 2, ..LARGE } },
    rare_copies = { Plan { copies_per_s: 0.05, round_ms: 0, ..PLAN } },
    rare_rounds_at_seventy = { Plan { copies_per_s: 0.0, round_ms: 10_000, ..LARGE } },
    lost_notices = { Plan { loss: 0.2, ..PLAN } },
    lost_notices_at_seventy = { Plan { loss: 0.2, ..LARGE } },
    restarts = { Plan { restarts: 8, loss: 0.05, ..PLAN } },
    restarts_at_seventy = { Plan { restarts: 80, loss: 0.05, ..LARGE } },
    instances_that_start = { Plan { starts: 3, loss: 0.05, ..PLAN } },
    instances_that_start_at_seventy = { Plan { starts: 20, loss: 0.05, ..LARGE } },
    cuts = { Plan { cuts: 4, ..PLAN } },
    cuts_at_seventy = { Plan { cuts: 30, loss: 0.05, ..LARGE } },
    common_ends = { Plan { common_ends: 4, ..PLAN } },
    all_at_once = { Plan { common_ends: 2, loss: 0.1, restarts: 4, starts: 1, cuts: 2, ..PLAN } },
)]
fn a_crashing_request_reaches_targets_three_times_at_most_once_all_could_know(plan: Plan) {
    for seed in 0..SEEDS {
        let figures = simulate(&plan, seed);
        assert!(figures.ends >= MAX_ENDS, "too few ends: {plan:?}: {figures:?}");
        assert!(figures.late <= MOST_LATE, "seed {seed}, {plan:?}: {figures:?}");
        assert_eq!(figures.refused, 0, "seed {seed}, {plan:?}: {figures:?}");
    }
}

#[parameterized(
    one_instance = { Plan { instances: 1, copies_per_s: 0.0, round_ms: 0, common_ends: 6, ..PLAN } },
    seven_instances = { Plan { copies_per_s: 0.0, round_ms: 0, common_ends: 6, ..PLAN } },
    seventy_instances = { Plan { copies_per_s: 0.0, round_ms: 0, common_ends: 6, ..LARGE } },
    beside_a_crashing_request = { Plan { common_ends: 4, ..PLAN } },
    beside_one_at_seventy = { Plan { common_ends: 4, ..LARGE } },
)]
fn polls_are_served_again_soon_after_all_targets_ended_twice(plan: Plan) {
    for seed in 0..SEEDS {
        let figures = simulate(&plan, seed);
        assert!(
            figures.longest_refusal_ms <= LONGEST_REFUSAL_MS,
            "seed {seed}, {plan:?}: {figures:?}"
        );
    }
}

fn at(ms: u64) -> Moment {
    Moment(1_000_000 + ms)
}

/// Quarantines a request by ends of different processes.
fn quarantine(quarantine: &mut Quarantine, request: Digest, ms: u64) -> Vec<Crashes> {
    let end = |process| quarantine.record_end(request, process, at(ms));
    (1..=MAX_ENDS as u64).flat_map(end).collect()
}

#[test]
fn the_same_process_counts_once_whoever_sees_its_end() {
    let (mut first, mut second) = (Quarantine::default(), Quarantine::default());
    for quarantine in [&mut first, &mut second] {
        for process in [1, 1, 2] {
            quarantine.record_end(REQUEST, process, at(0));
        }
    }
    for state in second.states(at(10)) {
        first.merge(&state, at(10));
    }
    assert!(first.admit(REQUEST, None, at(20)).is_ok());
    first.record_end(REQUEST, 3, at(30));
    assert!(first.admit(REQUEST, ALONE, at(40)).is_err());
}

#[test]
fn ends_that_different_instances_see_add_up() {
    let mut all = Quarantine::default();
    for process in 1..=MAX_ENDS as u64 {
        let mut other = Quarantine::default();
        let states = other.record_end(REQUEST, process, at(0));
        assert_eq!(all.merge(&states[0], at(10)), None);
    }
    assert_eq!(all.quarantined_count(), 1);
}

#[test]
fn states_merge_to_the_same_in_any_order_and_repeatedly() {
    let mut random = Random::new(5);
    let mut source = Quarantine::default();
    let mut changes = quarantine(&mut source, REQUEST, 0);
    changes.extend(source.begin(REQUEST, ALONE, at(6_000)).unwrap());
    changes.extend(quarantine(&mut source, Digest(8), 6_000));
    changes.extend(source.record_success(Digest(8), at(6_100)));
    let standings = |quarantine: &Quarantine| {
        let mut states = quarantine.states(at(7_000));
        states.iter_mut().for_each(|state| state.age_ms = 0);
        states
    };
    for _ in 0..200 {
        let mut other = Quarantine::default();
        let mut order = changes.clone();
        order.extend(changes.iter().filter(|_| random.below(2) == 0).cloned());
        while !order.is_empty() {
            let next = order.swap_remove(random.below(order.len()));
            assert_eq!(other.merge(&next, at(7_000)), None);
        }
        assert_eq!(standings(&other), standings(&source));
    }
}

#[test]
fn a_trial_counts_when_it_is_sent_and_the_next_one_is_long_after() {
    let mut quarantined = Quarantine::default();
    quarantine(&mut quarantined, REQUEST, 0);
    let mut trials = Vec::new();
    for second in 0..1_000 {
        let now = at(second * 1_000);
        assert!(quarantined.admit(REQUEST, None, now).is_err());
        if quarantined.begin(REQUEST, ALONE, now).is_ok() {
            trials.push(second);
        }
    }
    assert_eq!(trials, [3, 153, 753]);
}

#[test]
fn instances_take_turns_at_trials() {
    let mut quarantined = Quarantine::default();
    quarantine(&mut quarantined, REQUEST, 0);
    let mut turns = 0;
    for ms in 0..60_000 {
        let admits = |position| {
            let place = Some(Place { position, instances: 7 });
            quarantined.admit(REQUEST, place, at(ms)).is_ok()
        };
        let admitted = (0..7).filter(|position| admits(*position)).count();
        assert!(admitted <= 1, "{admitted} at {ms} ms");
        turns += admitted;
    }
    assert!(turns > 0);
}

#[test]
fn a_refused_caller_that_waits_as_told_meets_the_turn_of_its_instance() {
    let mut quarantined = Quarantine::default();
    quarantine(&mut quarantined, REQUEST, 0);
    for position in 0..70 {
        let place = Some(Place { position, instances: 70 });
        for ms in [0, 5_000, 17_321, 80_000] {
            let Err(wait) = quarantined.admit(REQUEST, place, at(ms)) else {
                continue;
            };
            assert!(quarantined.admit(REQUEST, place, at(ms) + wait).is_ok());
        }
    }
}

#[test]
fn a_success_clears_a_request_and_an_instance_where_it_succeeds_objects() {
    let (mut blaming, mut serving) = (Quarantine::default(), Quarantine::default());
    let blamed = quarantine(&mut blaming, REQUEST, 0);
    serving.record_success(REQUEST, at(500));
    let objection = serving.merge(blamed.last().unwrap(), at(600)).unwrap();
    blaming.merge(&objection, at(700));
    assert!(blaming.admit(REQUEST, None, at(800)).is_ok());
}

#[test]
fn a_request_that_succeeded_before_is_quarantined_once_it_ends_targets() {
    let mut quarantined = Quarantine::default();
    quarantined.record_success(REQUEST, at(0));
    for ms in (100..3_100).step_by(200) {
        quarantined.record_end(REQUEST, ms, at(ms));
    }
    assert!(quarantined.admit(REQUEST, ALONE, at(3_100)).is_err());
}

/// Ends of six processes at once.
fn end_all(quarantine: &mut Quarantine, ms: u64) -> Vec<Crashes> {
    let end = |process| quarantine.record_end(REQUEST, ms + process, at(ms + process));
    (0..6).flat_map(end).collect()
}

#[test]
fn targets_that_end_together_again_right_after_their_return_quarantine_no_sound_request() {
    let mut quarantined = Quarantine::default();
    quarantined.record_success(REQUEST, at(0));
    end_all(&mut quarantined, 10);
    end_all(&mut quarantined, 2_610);
    assert!(quarantined.admit(REQUEST, ALONE, at(2_700)).is_ok());
}

#[test]
fn a_request_that_succeeded_shortly_before_is_quarantined_at_the_third_time_that_targets_end() {
    let mut quarantined = Quarantine::default();
    quarantined.record_success(REQUEST, at(0));
    for (ms, admitted) in [(2_100, true), (2_700, true), (3_300, false)] {
        end_all(&mut quarantined, ms);
        assert_eq!(quarantined.admit(REQUEST, ALONE, at(ms + 100)).is_ok(), admitted, "{ms}");
    }
}

#[test]
fn an_instance_without_a_success_learns_that_ends_count_once() {
    let (mut serving, mut blaming) = (Quarantine::default(), Quarantine::default());
    serving.record_success(REQUEST, at(0));
    let mut blamed = end_all(&mut blaming, 2_600);
    assert!(blaming.admit(REQUEST, ALONE, at(2_700)).is_err());
    let objection = serving.merge(&blamed.pop().unwrap(), at(2_710)).unwrap();
    blaming.merge(&objection, at(2_720));
    blaming.record_end(REQUEST, 9, at(2_730));
    assert!(blaming.admit(REQUEST, ALONE, at(2_740)).is_ok());
    assert_eq!(serving.merge(&objection, at(2_750)), None);
}

#[test]
fn an_end_that_shows_late_is_not_blamed_on_a_request_that_succeeded_shortly_before_it() {
    let (mut serving, mut blaming) = (Quarantine::default(), Quarantine::default());
    serving.record_success(REQUEST, at(0));
    assert!(serving.record_late_end(REQUEST, 1, at(500), at(4_000)).is_empty());
    let blamed = blaming.record_late_end(REQUEST, 1, at(500), at(4_000));
    let objection = serving.merge(&blamed[0], at(4_010)).unwrap();
    assert!(objection.processes.is_empty());
    blaming.merge(&objection, at(4_020));
    assert!(blaming.record_late_end(REQUEST, 2, at(510), at(4_030)).is_empty());
}

/// A request with the same body and these shared parts of the prompt.
fn with_parts(parts: u128) -> Content {
    Content { whole: Digest(1_000 + parts), without_parts: Some(REQUEST) }
}

#[test]
fn a_request_whose_parts_differ_each_time_is_quarantined_by_the_rest_of_its_content() {
    let mut quarantine = Quarantine::default();
    for process in 0..MAX_ENDS as u64 {
        quarantine.record_end(with_parts(process.into()), process, at(0));
    }
    assert!(quarantine.admit(with_parts(99), ALONE, at(10)).is_err());
    assert!(quarantine.begin(with_parts(99), ALONE, at(6_000)).is_ok());
    assert!(quarantine.begin(with_parts(100), ALONE, at(60_000)).is_err());
}

#[test]
fn a_request_with_the_same_body_and_other_parts_is_admitted() {
    let mut quarantine = Quarantine::default();
    for process in 0..100 {
        quarantine.record_end(with_parts(1), process, at(0));
    }
    assert!(quarantine.admit(with_parts(1), ALONE, at(10)).is_err());
    assert!(quarantine.admit(with_parts(2), ALONE, at(10)).is_ok());
}

#[test]
fn a_flood_of_other_requests_does_not_release_a_quarantined_one_and_memory_is_bounded() {
    let mut flooded = Quarantine::default();
    quarantine(&mut flooded, REQUEST, 0);
    for number in 0..20_000_u64 {
        let other = Digest(1_000 + u128::from(number));
        flooded.record_end(other, number, at(number));
        flooded.record_success(Digest(1_000_000 + u128::from(number)), at(number));
    }
    assert_eq!(flooded.states(at(20_000)).len(), 4_096);
    assert!(flooded.admit(REQUEST, None, at(20_000)).is_err());
}

#[test]
fn bystanders_of_the_ends_do_not_evict_the_request_before_it_is_quarantined() {
    let mut quarantine = Quarantine::default();
    for process in 0..MAX_ENDS as u64 {
        quarantine.record_end(REQUEST, process, at(process * 1_000));
        for slot in 0..64 {
            let bystander = Digest(1_000 + u128::from(process * 64 + slot));
            quarantine.record_end(bystander, process, at(process * 1_000));
        }
    }
    assert_eq!(quarantine.quarantined_count(), 1);
    // Bystanders are repeated for some time only.
    assert_eq!(quarantine.repeated_states(at(60_000)).len(), 1);
}

#[test]
fn what_is_known_of_requests_that_are_not_quarantined_is_forgotten() {
    let mut quarantine = Quarantine::default();
    quarantine.record_end(REQUEST, 1, at(0));
    assert!(quarantine.states(at(0) + Duration::from_secs(601)).is_empty());
}

#[test]
fn a_notice_with_the_most_states_fits_into_a_packet() {
    let mut quarantine = Quarantine::default();
    for number in 0..MAX_SUSPICIONS as u128 {
        for process in 0..MAX_ENDS as u64 {
            quarantine.record_end(Digest(u128::MAX - number), u64::MAX - process, at(0));
        }
    }
    let crashes = quarantine.states(at(500));
    let notice = Notice::Crashes(crashes);
    let bytes = exchange::encode(&vec![notice]).len();
    assert!(bytes <= 1_400, "{bytes} bytes");
}
