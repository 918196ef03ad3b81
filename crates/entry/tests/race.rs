//! Which of a request's attempts goes on.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use entry::race::{Progress, Race};

fn race(names: &[&'static str]) -> Race<&'static str> {
    let mut race = Race::default();
    for (number, name) in (1..).zip(names) {
        race.add(number, *name);
    }
    race
}

#[test]
fn another_attempt_starts_only_while_all_are_silent() {
    let mut race = race(&[]);
    assert!(race.admits_another());
    race.add(1, "first");
    assert!(!race.admits_another());
    assert!(race.suspend(1) && !race.suspend(1), "it is suspended once");
    assert!(race.admits_another());
    race.add(2, "second");
    assert!(!race.admits_another());
    race.suspend(2);
    assert!(race.admits_another());
    race.prefer(1).unwrap();
    assert!(!race.admits_another());
}

#[test]
fn the_first_attempt_that_brings_the_next_part_is_the_only_one_that_goes_on() {
    for preferred in 1..=3 {
        let names = ["first", "second", "third"];
        let mut race = race(&names);
        race.suspend(1);
        race.suspend(2);
        let Progress { resumed, mut cancelled } = race.prefer(preferred).unwrap();
        cancelled.sort_unstable();
        let own = names[preferred as usize - 1];
        let others: Vec<&str> = names.into_iter().filter(|name| *name != own).collect();
        assert_eq!((resumed, cancelled), (preferred < 3, others));
        assert_eq!(race.iter_mut().map(|(_, run)| *run).collect::<Vec<_>>(), [own]);
        let again = Progress { resumed: false, cancelled: Vec::new() };
        assert_eq!(race.prefer(preferred), Some(again));
    }
}

#[test]
fn the_end_of_an_attempt_leaves_the_others() {
    let mut race = race(&["silent", "failing"]);
    race.suspend(1);
    assert_eq!(race.remove(2), Some("failing"));
    assert_eq!((race.remove(2), race.prefer(2)), (None, None));
    assert!(!race.is_empty() && race.admits_another());
    assert!(race.prefer(1).unwrap().resumed);
    assert_eq!(race.remove(1), Some("silent"));
    assert!(race.is_empty());
}
