//! Prompt parts that end engines, on simulated fleets: lost notices, restarts, partitions and sound requests beside them.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "support/crashes.rs"]
mod crashes;

use std::time::Duration;

use common::{clock::Moment, random::Random};
use crashes::{Figures, Plan, simulate};
use fleet::exchange::Suspicion;
use placement::quarantine::{MAX_ENDS, Quarantine, Trials};
use yare::parameterized;

/// Requests with the part that may reach engines later than three seconds after the fifth end.
const MOST_LATE: usize = 3;
const SEEDS: u64 = 12;

const PLAN: Plan = Plan {
    instances: 7,
    engines: 6,
    crashing_per_s: 4.0,
    random_ends_per_s: 0.0,
    loss: 0.0,
    restarts: 0,
    cuts: 0,
    sound_from_ms: 0,
};

fn check(plan: &Plan, figures: &Figures) {
    assert!(figures.ends > 0, "no engine ended: {plan:?}");
    assert!(figures.late <= MOST_LATE, "{plan:?}: {figures:?}");
    let served_before = if plan.sound_from_ms > 0 { 1.0 } else { figures.served_before };
    assert!(figures.served_after >= served_before / 2.0, "{plan:?}: {figures:?}");
}

#[parameterized(
    one_instance = { Plan { instances: 1, ..PLAN } },
    seven_instances = { PLAN },
    seventy_instances = { Plan { instances: 70, engines: 40, ..PLAN } },
    a_single_engine = { Plan { engines: 1, ..PLAN } },
    many_such_requests = { Plan { crashing_per_s: 30.0, ..PLAN } },
    many_at_seventy = { Plan { instances: 70, engines: 40, crashing_per_s: 100.0, ..PLAN } },
    lost_notices = { Plan { loss: 0.5, ..PLAN } },
    lost_notices_at_seventy = { Plan { instances: 70, engines: 40, loss: 0.5, ..PLAN } },
    restarts = { Plan { restarts: 6, ..PLAN } },
    restarts_at_seventy = { Plan { instances: 70, engines: 40, restarts: 60, loss: 0.2, ..PLAN } },
    cuts = { Plan { cuts: 3, ..PLAN } },
    cuts_at_seventy = { Plan { instances: 70, engines: 40, cuts: 20, loss: 0.2, ..PLAN } },
    other_ends_beside = { Plan { random_ends_per_s: 0.5, ..PLAN } },
    no_sound_request_before = { Plan { sound_from_ms: 8_000, ..PLAN } },
    none_before_at_seventy = { Plan { instances: 70, engines: 40, sound_from_ms: 8_000, ..PLAN } },
    all_at_once = { Plan { random_ends_per_s: 0.5, loss: 0.3, restarts: 4, cuts: 2, ..PLAN } },
)]
fn a_crashing_part_is_quarantined_everywhere_and_sound_requests_are_served(plan: Plan) {
    for seed in 0..SEEDS {
        check(&plan, &simulate(&plan, seed));
    }
}

#[parameterized(
    one_instance = { Plan { instances: 1, crashing_per_s: 0.0, random_ends_per_s: 1.0, ..PLAN } },
    seven_instances = { Plan { crashing_per_s: 0.0, random_ends_per_s: 1.0, ..PLAN } },
    seventy_instances = {
        Plan { instances: 70, engines: 40, crashing_per_s: 0.0, random_ends_per_s: 4.0, ..PLAN }
    },
    lost_notices = { Plan { crashing_per_s: 0.0, random_ends_per_s: 1.0, loss: 0.5, ..PLAN } },
)]
fn engines_that_end_by_themselves_quarantine_no_common_part(plan: Plan) {
    for seed in 0..SEEDS {
        let figures = simulate(&plan, seed);
        assert_eq!(figures.refused_common, 0, "{plan:?}: {figures:?}");
    }
}

fn at(ms: u64) -> Moment {
    Moment(1_000_000 + ms)
}

/// Records this many ends of engines, each of a request that was sent after the one before.
fn end_in_turn(quarantine: &mut Quarantine, part: u64, ends: u32, from: u64) -> Vec<Suspicion> {
    let mut changed = Vec::new();
    for end in 0..u64::from(ends) {
        let now = at(from + 100 * end);
        let ticket = quarantine.admit([part].into_iter(), |_| Trials::Denied, now).unwrap();
        changed.extend(quarantine.record_end([part].into_iter(), &ticket, now));
    }
    changed
}

fn is_refused(quarantine: &mut Quarantine, part: u64, ms: u64) -> bool {
    quarantine.admit([part].into_iter(), |_| Trials::Denied, at(ms)).is_err()
}

#[test]
fn engines_that_end_together_count_once() {
    let mut quarantine = Quarantine::default();
    let tickets: Vec<_> = (0..20)
        .map(|_| quarantine.admit([7].into_iter(), |_| Trials::Denied, at(0)).unwrap())
        .collect();
    for ticket in &tickets {
        quarantine.record_end([7].into_iter(), ticket, at(10));
    }
    assert_eq!(quarantine.suspicions(at(20))[0].ends, 1);
}

#[test]
fn a_success_clears_a_part_and_a_quarantined_one_is_refused() {
    let mut quarantine = Quarantine::default();
    end_in_turn(&mut quarantine, 7, 2, 0);
    assert!(!quarantine.may_retry([7].into_iter()));
    quarantine.record_success([7].into_iter(), at(900));
    assert!(quarantine.may_retry([7].into_iter()));
    end_in_turn(&mut quarantine, 8, MAX_ENDS, 1_000);
    assert!(is_refused(&mut quarantine, 8, 2_000));
    assert!(!is_refused(&mut quarantine, 7, 2_000));
}

#[test]
fn states_merge_to_the_same_in_any_order_and_repeatedly() {
    let mut random = Random::new(5);
    let mut source = Quarantine::default();
    let mut changes = end_in_turn(&mut source, 7, MAX_ENDS, 0);
    changes.extend(source.record_success([7].into_iter(), at(500)));
    changes.extend(end_in_turn(&mut source, 8, 2, 600));
    changes.extend(source.suspicions(at(900)));
    let expected = expect_standings(&source);
    for _ in 0..200 {
        let mut other = Quarantine::default();
        // Each change at least once, in random order, half of them twice.
        let mut order: Vec<Suspicion> = changes.clone();
        order.extend(changes.iter().filter(|_| random.below(2) == 0));
        while !order.is_empty() {
            let next = order.swap_remove(random.below(order.len()));
            assert_eq!(other.merge(&next, at(1_000)), None);
        }
        assert_eq!(expect_standings(&other), expected);
    }
}

fn expect_standings(quarantine: &Quarantine) -> Vec<(u64, u32, u32)> {
    let standing = |suspicion: Suspicion| (suspicion.part, suspicion.clearings, suspicion.ends);
    let mut standings: Vec<_> =
        quarantine.suspicions(at(1_000)).into_iter().map(standing).collect();
    standings.sort_unstable();
    standings
}

#[test]
fn an_instance_where_answers_succeed_objects_to_a_suspicion() {
    let (mut blaming, mut serving) = (Quarantine::default(), Quarantine::default());
    serving.record_success([7].into_iter(), at(0));
    let blamed = end_in_turn(&mut blaming, 7, 1, 1_000);
    let objection = serving.merge(&blamed[0], at(1_100)).unwrap();
    blaming.merge(&objection, at(1_200));
    assert!(blaming.may_retry([7].into_iter()));
    assert_eq!(blaming.suspicions(at(1_300))[0].ends, 0);
}

#[test]
fn one_request_tries_a_quarantined_part_after_a_delay_that_grows() {
    let mut quarantine = Quarantine::default();
    end_in_turn(&mut quarantine, 7, MAX_ENDS, 0);
    let quarantined_at = 100 * u64::from(MAX_ENDS - 1);
    let mut tries = Vec::new();
    for second in 0..600 {
        let now = at(quarantined_at + second * 1_000);
        assert!(quarantine.admit([7].into_iter(), |_| Trials::Denied, now).is_err());
        if let Ok(ticket) = quarantine.admit([7].into_iter(), |_| Trials::Allowed, now) {
            tries.push(second);
            quarantine.record_end([7].into_iter(), &ticket, now);
        }
    }
    assert_eq!(tries, [30, 150]);
}

/// Quarantines two parts by requests that have both, before any answer has succeeded.
fn quarantine_together(parts: [u64; 2]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for end in 0..u64::from(MAX_ENDS) {
        let now = at(100 * end);
        let ticket = quarantine.admit(parts.into_iter(), |_| Trials::Denied, now).unwrap();
        quarantine.record_end(parts.into_iter(), &ticket, now);
    }
    quarantine
}

#[test]
fn a_sound_part_that_was_quarantined_with_another_is_cleared_by_a_request_that_lacks_that() {
    let mut quarantine = quarantine_together([1, 7]);
    assert!(quarantine.admit([1, 7].into_iter(), |_| Trials::Allowed, at(500)).is_err());
    assert!(quarantine.admit([1, 8].into_iter(), |_| Trials::Denied, at(500)).is_err());
    quarantine.admit([1, 8].into_iter(), |_| Trials::Allowed, at(500)).unwrap();
    assert!(quarantine.admit([1, 9].into_iter(), |_| Trials::Allowed, at(600)).is_err());
    quarantine.record_success([1, 8].into_iter(), at(700));
    assert!(!is_refused(&mut quarantine, 1, 800));
    assert!(is_refused(&mut quarantine, 7, 800));
}

#[test]
fn a_crashing_part_that_was_quarantined_with_another_is_tried_without_that_once() {
    let mut quarantine = quarantine_together([1, 7]);
    let ticket = quarantine.admit([2, 7].into_iter(), |_| Trials::Allowed, at(500)).unwrap();
    quarantine.record_end([2, 7].into_iter(), &ticket, at(600));
    for second in 1..30 {
        let now = at(600 + second * 1_000);
        assert!(quarantine.admit([3, 7].into_iter(), |_| Trials::Allowed, now).is_err());
    }
}

#[test]
fn a_try_that_succeeds_ends_the_quarantine() {
    let mut quarantine = Quarantine::default();
    end_in_turn(&mut quarantine, 7, MAX_ENDS, 0);
    quarantine.admit([7].into_iter(), |_| Trials::Allowed, at(200_000)).unwrap();
    quarantine.record_success([7].into_iter(), at(200_100));
    assert!(!is_refused(&mut quarantine, 7, 200_200));
}

#[test]
fn memory_is_bounded_whatever_parts_come_and_quarantined_ones_are_kept() {
    let mut quarantine = Quarantine::default();
    end_in_turn(&mut quarantine, 7, MAX_ENDS, 0);
    for part in 1_000..21_000 {
        end_in_turn(&mut quarantine, part, 1, part);
        quarantine.record_success([part + 100_000].into_iter(), at(part));
    }
    assert_eq!(quarantine.suspicions(at(21_000)).len(), 1_024);
    assert!(is_refused(&mut quarantine, 7, 21_000));
}

#[test]
fn suspicions_are_forgotten_everywhere_though_instances_repeat_them() {
    let (mut first, mut second) = (Quarantine::default(), Quarantine::default());
    end_in_turn(&mut first, 7, 2, 0);
    for second_number in 0..700 {
        let now = at(second_number * 1_000);
        for known in first.suspicions(now) {
            assert_eq!(second.merge(&known, now), None);
        }
        for known in second.suspicions(now) {
            assert_eq!(first.merge(&known, now), None);
        }
    }
    let end = at(700_000) + Duration::from_secs(1);
    assert_eq!((first.suspicions(end).len(), second.suspicions(end).len()), (0, 0));
}
