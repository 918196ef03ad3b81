//! Plans are decided by their seed, and never lose more than a fleet bears.

use std::time::Duration;

use soak::plan::{self, Event, Fault, Size, Victim};

const SIZE: Size = Size { control: 3, entries: 3, engines: 4, plain_targets: 2 };
const LENGTH: Duration = Duration::from_secs(15);

fn plans() -> impl Iterator<Item = Vec<Event>> {
    (0..500).map(|seed| plan::draw(seed, SIZE, LENGTH))
}

#[test]
fn a_seed_gives_the_same_plan_again() {
    assert_eq!(plan::draw(7, SIZE, LENGTH), plan::draw(7, SIZE, LENGTH));
    assert_ne!(plan::draw(7, SIZE, LENGTH), plan::draw(8, SIZE, LENGTH));
}

#[test]
fn a_victim_suffers_one_fault_at_a_time() {
    for events in plans() {
        for (number, event) in events.iter().enumerate() {
            let same = events[number + 1..].iter().filter(|other| other.victim == event.victim);
            assert!(same.clone().all(|other| other.at > event.at + event.duration), "{events:?}");
        }
    }
}

#[test]
fn one_disk_at_most_is_lost_and_beside_no_other_disturbance_of_kept_state() {
    let mut wiped = 0;
    for events in plans() {
        let wipes: Vec<&Event> = events.iter().filter(|event| event.fault == Fault::Wipe).collect();
        assert!(wipes.len() <= 1, "{events:?}");
        wiped += wipes.len();
        for wipe in wipes {
            let beside = events.iter().filter(|event| {
                matches!(event.victim, Victim::Control(_))
                    && event.victim != wipe.victim
                    && event.at <= wipe.at + wipe.duration
                    && wipe.at <= event.at + event.duration
            });
            assert_eq!(beside.count(), 0, "{events:?}");
        }
    }
    assert!(wiped > 50, "only {wiped} of 500 plans lose a disk");
}

#[test]
fn plans_hold_every_fault_and_some_kill_all_instances_that_keep_state() {
    let all: Vec<Event> = plans().flatten().collect();
    let text: std::collections::BTreeSet<String> =
        all.iter().map(|event| event.fault.to_string()).collect();
    assert_eq!(text.len(), 16, "{text:?}");
    let together = plans().filter(|events| {
        let kills = |at| {
            let same = events.iter().filter(|event| event.at == at && event.fault == Fault::Kill);
            same.filter(|event| matches!(event.victim, Victim::Control(_))).count()
        };
        events.iter().any(|event| kills(event.at) == SIZE.control)
    });
    let together = together.count();
    assert!((60..200).contains(&together), "{together} of 500");
}
