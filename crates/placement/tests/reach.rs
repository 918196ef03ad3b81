//! When an instance is cut off from a service's targets, and what it publishes of that.

use common::{clock::Moment, name, random::Random};
use fleet::exchange::{self, MAX_CUT_OFF, Notice, Reach};
use placement::reach::{Change, Own, Table};
use yare::parameterized;

const STARTED_UNIX_MS: u64 = 1_700_000_000_000;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A connection to the target with this number failed.
    Unreached(usize),
    /// A target accepted a connection or sent something.
    Reached,
}
use Event::{Reached, Unreached};

fn at(ms: u64) -> Moment {
    Moment(1_000_000 + ms)
}

fn service() -> name::Service {
    name::Service::from("search")
}

fn target(number: usize) -> name::Target {
    name::Target(format!("t-{number}"))
}

/// Plays events at their times in milliseconds; returns the changes with their times.
fn play(targets: usize, events: &[(u64, Event)]) -> Vec<(u64, Change)> {
    let mut table = Table::default();
    let mut changes = Vec::new();
    for (ms, event) in events {
        let change = match event {
            Unreached(number) => {
                table.record_unreached(&service(), &target(*number), targets, at(*ms))
            }
            Reached => table.record_reached(&service(), at(*ms)),
        };
        changes.extend(change.map(|change| (*ms, change)));
        let began = changes.last().is_some_and(|(_, change)| *change == Change::CutOff);
        assert_eq!(table.is_cut_off(&service()), began);
        assert_eq!(table.cut_off().count(), usize::from(began));
    }
    changes
}

#[parameterized(
    three_of_many = {
        20, &[(0, Unreached(1)), (300, Unreached(2)), (600, Unreached(3))], &[(600, Change::CutOff)]
    },
    two_of_many = { 20, &[(0, Unreached(1)), (300, Unreached(2))], &[] },
    the_same_target_of_many = {
        20, &[(0, Unreached(1)), (200, Unreached(1)), (400, Unreached(1)), (600, Unreached(1))], &[]
    },
    two_targets_again_and_again = {
        20, &[(0, Unreached(1)), (200, Unreached(2)), (400, Unreached(1)), (600, Unreached(2))], &[]
    },
    over_a_longer_time = {
        20, &[(0, Unreached(1)), (1_500, Unreached(2)), (3_000, Unreached(3)), (4_500, Unreached(4))], &[]
    },
    one_reached_in_between = {
        20, &[(0, Unreached(1)), (200, Unreached(2)), (300, Reached), (400, Unreached(3))], &[]
    },
    all_of_two = { 2, &[(0, Unreached(1)), (200, Unreached(2))], &[(200, Change::CutOff)] },
    one_of_two = { 2, &[(0, Unreached(1)), (200, Unreached(1)), (400, Unreached(1))], &[] },
    the_only_one_once = { 1, &[(0, Unreached(1))], &[] },
    the_only_one_twice = { 1, &[(0, Unreached(1)), (200, Unreached(1))], &[(200, Change::CutOff)] },
    the_only_one_in_attempts_that_began_together = { 1, &[(0, Unreached(1)), (5, Unreached(1))], &[] },
    none_takes_requests = { 0, &[(0, Unreached(1)), (200, Unreached(1))], &[(200, Change::CutOff)] },
    ends_at_the_first_reached = {
        20,
        &[(0, Unreached(1)), (1, Unreached(2)), (2, Unreached(3)), (5_000, Unreached(4)), (5_001, Reached)],
        &[(2, Change::CutOff), (5_001, Change::Reached)]
    },
    says_each_change_once = {
        20,
        &[(0, Unreached(1)), (1, Unreached(2)), (2, Unreached(3)), (3, Unreached(4)), (4, Unreached(5)),
            (9, Reached), (10, Reached)],
        &[(2, Change::CutOff), (9, Change::Reached)]
    },
    targets_that_failed_while_others_were_reached = {
        20,
        &[(0, Unreached(1)), (1, Unreached(2)), (2, Reached), (3, Unreached(3)), (4, Reached),
            (500, Unreached(1)), (500, Unreached(2)), (500, Unreached(3))],
        &[]
    },
    others_beside_those = {
        20,
        &[(0, Unreached(1)), (2, Reached), (500, Unreached(1)), (501, Unreached(4)), (502, Unreached(5)),
            (503, Unreached(6))],
        &[(503, Change::CutOff)]
    },
    all_that_failed_one_by_one_before = {
        3,
        &[(0, Unreached(1)), (1, Reached), (2, Unreached(2)), (3, Reached), (4, Unreached(3)), (5, Reached),
            (500, Unreached(1)), (600, Unreached(2)), (700, Unreached(3))],
        &[(700, Change::CutOff)]
    },
    those_once_their_fault_is_long_ago = {
        20,
        &[(0, Unreached(1)), (1, Unreached(2)), (2, Reached), (6_000, Unreached(1)), (6_001, Unreached(2)),
            (6_002, Unreached(3))],
        &[(6_002, Change::CutOff)]
    },
    failures_before_it_was_reached_do_not_count_again = {
        20,
        &[(0, Unreached(1)), (1, Unreached(2)), (2, Unreached(3)), (9, Reached), (10, Unreached(4))],
        &[(2, Change::CutOff), (9, Change::Reached)]
    },
)]
fn cut_off_by_failures_at_several_targets_with_none_reached(
    targets: usize,
    events: &[(u64, Event)],
    expected: &[(u64, Change)],
) {
    assert_eq!(play(targets, events), expected);
}

#[test]
fn a_cut_that_begins_and_ends_each_second_is_seen_each_time() {
    let mut events = Vec::new();
    let mut expected = Vec::new();
    for second in 0..10 {
        let begin = second * 1_000;
        events.extend((1..=3).map(|number| (begin + 100, Unreached(number))));
        events.push((begin + 500, Reached));
        expected.extend([(begin + 100, Change::CutOff), (begin + 500, Change::Reached)]);
    }
    assert_eq!(play(20, &events), expected);
}

#[test]
fn services_are_judged_apart_and_forgotten_once_undeclared() {
    let mut table = Table::default();
    let plain = name::Service::from("plain");
    for number in 0..3 {
        table.record_unreached(&service(), &target(number), 5, at(0));
        table.record_reached(&plain, at(0));
    }
    assert!(table.is_cut_off(&service()));
    assert!(!table.is_cut_off(&plain));
    table.retain(|declared| *declared != service());
    assert!(!table.is_cut_off(&service()));
    assert_eq!(table.record_reached(&service(), at(1)), None);
}

#[test]
fn probes_come_in_rounds_while_a_target_was_not_reached_lately() {
    let mut table = Table::default();
    assert!(!table.take_probe(&service(), at(0)));
    table.record_unreached(&service(), &target(1), 20, at(0));
    assert!(table.take_probe(&service(), at(0)));
    assert!(!table.take_probe(&service(), at(10)));
    table.record_reached(&service(), at(20));
    table.record_unreached(&service(), &target(2), 20, at(30));
    assert!(!table.take_probe(&service(), at(30)), "a round began less than an interval ago");
    assert!(!table.take_probe(&service(), at(3_000)), "the failure is long ago");
}

#[test]
fn a_dead_target_that_is_tried_again_and_again_causes_few_probes() {
    let mut table = Table::default();
    let mut rounds = 0;
    for ms in (0..60_000).step_by(500) {
        table.record_unreached(&service(), &target(1), 20, at(ms));
        rounds += usize::from(table.take_probe(&service(), at(ms)));
        table.record_reached(&service(), at(ms + 100));
    }
    assert_eq!(rounds, 1);
}

#[test]
fn dead_targets_that_are_tried_again_together_do_not_flap() {
    let mut table = Table::default();
    let mut changes = 0;
    for ms in (0..60_000).step_by(500) {
        for number in 0..5 {
            changes += usize::from(
                table.record_unreached(&service(), &target(number), 20, at(ms)).is_some(),
            );
        }
        table.record_reached(&service(), at(ms + 1));
    }
    assert!(changes <= 2, "{changes}");
}

#[test]
fn a_cut_off_service_is_probed_until_it_is_reached_at_a_bounded_rate() {
    let mut table = Table::default();
    for number in 0..3 {
        table.record_unreached(&service(), &target(number), 20, at(0));
    }
    let rounds = |table: &mut Table, from_ms: u64| {
        (from_ms..from_ms + 10_000).filter(|ms| table.take_probe(&service(), at(*ms))).count()
    };
    let in_cut = rounds(&mut table, 0);
    assert!((10..=20).contains(&in_cut), "{in_cut} rounds in 10 s");
    table.record_reached(&service(), at(10_000));
    assert_eq!(rounds(&mut table, 10_000), 0);
}

/// Lets all three targets of each service fail.
fn cut_off(table: &mut Table, services: &[&str], now: Moment) {
    for name in services {
        for number in 0..3 {
            table.record_unreached(&name::Service::from(*name), &target(number), 3, now);
        }
    }
}

fn own() -> Own {
    Own::new("entry-1".into(), STARTED_UNIX_MS)
}

/// Asks for the notice each 50 ms; returns the times of those due.
fn notices(own: &mut Own, table: &Table, from_ms: u64, until_ms: u64) -> Vec<(u64, Reach)> {
    let times = (from_ms..until_ms).step_by(50);
    times.filter_map(|ms| own.notice(table, at(ms)).map(|reach| (ms, reach))).collect()
}

#[test]
fn a_state_is_published_at_once_repeated_renewed_and_ended() {
    let mut table = Table::default();
    let mut own = own();
    assert!(notices(&mut own, &table, 0, 5_000).is_empty());

    cut_off(&mut table, &["search"], at(5_000));
    let published = notices(&mut own, &table, 5_000, 10_000);
    let times: Vec<u64> = published.iter().map(|(ms, _)| *ms).collect();
    assert_eq!(times, [5_000, 5_200, 5_400, 5_600, 6_600, 7_600, 8_600, 9_600]);
    assert!(published.iter().all(|(_, reach)| reach.cut_off == [service()]));
    assert!(published.iter().all(|(_, reach)| reach.started_unix_ms == STARTED_UNIX_MS));
    assert!(published.is_sorted_by(|(_, one), (_, next)| one.number < next.number));

    table.record_reached(&service(), at(10_000));
    let ended = notices(&mut own, &table, 10_000, 20_000);
    assert_eq!(
        ended.iter().map(|(ms, _)| *ms).collect::<Vec<_>>(),
        [10_000, 10_200, 10_400, 10_600]
    );
    assert!(ended.iter().all(|(_, reach)| reach.cut_off.is_empty()));
    assert!(ended[0].1.number > published[7].1.number);
}

#[test]
fn a_flapping_instance_publishes_at_a_bounded_rate_and_its_last_state_holds() {
    let mut random = Random::new(7);
    let mut table = Table::default();
    let mut own = own();
    let mut published = Vec::new();
    for ms in 0..10_000 {
        if random.below(2) == 0 {
            cut_off(&mut table, &["search"], at(ms));
        } else {
            table.record_reached(&service(), at(ms));
        }
        published.extend(own.notice(&table, at(ms)));
    }
    assert!(published.len() <= 50, "{} notices in 10 s", published.len());
    cut_off(&mut table, &["search"], at(10_000));
    assert_eq!(
        notices(&mut own, &table, 10_200, 11_000).last().map(|(_, reach)| reach.cut_off.len()),
        Some(1)
    );
}

#[test]
fn a_state_of_more_services_than_fit_names_those_cut_off_for_longest_and_fits_into_a_packet() {
    let mut table = Table::default();
    for number in 0..100 {
        let service = format!("a-service-with-a-long-name-{number:03}");
        cut_off(&mut table, &[&service], at(number));
    }
    let reach = own().notice(&table, at(200)).expect("a change");
    assert_eq!(reach.cut_off.len(), MAX_CUT_OFF);
    assert_eq!(reach.cut_off[0], name::Service::from("a-service-with-a-long-name-000"));
    let bytes = exchange::encode(&vec![Notice::Reach(reach)]).len();
    assert!(bytes <= 1_400, "{bytes} bytes");
}

#[test]
fn a_notice_of_reach_survives_its_encoding() {
    let reach = Reach {
        instance: "entry-1".into(),
        started_unix_ms: STARTED_UNIX_MS,
        number: 3,
        cut_off: vec![service()],
    };
    let notice = Notice::Reach(reach);
    assert!(notice.is_recent());
    assert_eq!(exchange::decode(&exchange::encode(&notice)), Some(notice));
}
