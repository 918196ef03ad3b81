//! Half of a fleet starts again at once, and each instance learns from one that has stayed.

use std::time::Duration;

use common::{clock::Moment, name, random::Random};
use fleet::{
    exchange::{Identity, Kind},
    warmup::{self, Throttle},
};

const CENTRES: usize = 5;
/// Time that a question takes which is answered with nothing, and one that is answered.
const REFUSAL: Duration = Duration::from_millis(2);
const LESSON: Duration = Duration::from_millis(350);
/// Time that a question takes to an instance that is down.
const DOWN: Duration = Duration::from_millis(700);

fn identity(number: usize) -> Identity {
    Identity {
        instance: name::Instance(format!("entry-{number}")),
        address: std::net::SocketAddr::from(([10, 1, 0, 1], 7_000)),
        data_centre: name::DataCentre(format!("centre-{}", number % CENTRES)),
        kind: Kind::Entry,
    }
}

/// When each of `learners` knows what one of `teachers` told it; `down` others answer nothing.
fn play(learners: usize, teachers: usize, down: usize) -> Vec<Duration> {
    let mut throttles = vec![Throttle::default(); teachers];
    let identities: Vec<Identity> = (0..teachers + down).map(identity).collect();
    let mut due: Vec<(Duration, usize, Vec<Identity>)> = (0..learners)
        .map(|learner| {
            let mut random = Random::new(learner as u64);
            let own = name::DataCentre(format!("centre-{}", learner % CENTRES));
            (Duration::ZERO, learner, warmup::order(identities.clone(), &own, &mut random))
        })
        .collect();
    let mut learnt = Vec::new();
    while let Some(next) = (0..due.len()).min_by_key(|index| (due[*index].0, due[*index].1)) {
        let (at, learner, mut order) = due.swap_remove(next);
        let asked = order.remove(0);
        let teacher =
            identities.iter().position(|identity| *identity == asked).expect("it is one of them");
        let now = Moment(1_000 + u64::try_from(at.as_millis()).expect("it is short"));
        let taken = throttles.get_mut(teacher).map(|throttle| throttle.try_acquire(now));
        if taken == Some(true) {
            learnt.push(at + LESSON);
            continue;
        }
        let took = if taken.is_some() { REFUSAL } else { DOWN };
        order.push(asked);
        due.push((at + took, learner, order));
    }
    learnt
}

#[test]
fn half_of_the_fleet_learns_within_three_seconds_while_some_are_down() {
    // Those that learn answer each other at once that they know nothing; a few more are down.
    let learnt = play(33, 33, 4);
    assert_eq!(learnt.len(), 33);
    let slowest = learnt.iter().max();
    assert!(slowest.is_some_and(|slowest| *slowest < Duration::from_secs(3)), "{slowest:?}");
}

#[test]
fn one_instance_answers_one_after_the_other() {
    let learnt = play(4, 1, 0);
    let times: Vec<u128> = learnt.iter().map(|time| time.as_millis()).collect();
    assert_eq!(times, [350, 850, 1_350, 1_850]);
}

#[test]
fn those_of_the_own_data_centre_are_asked_first_and_each_learner_has_its_own_order() {
    let identities: Vec<Identity> = (0..20).map(identity).collect();
    let own = name::DataCentre::from("centre-2");
    let order = |seed| warmup::order(identities.clone(), &own, &mut Random::new(seed));
    let centres: Vec<bool> = order(1).iter().map(|identity| identity.data_centre == own).collect();
    assert_eq!(centres, [vec![true; 4], vec![false; 16]].concat());
    assert_ne!(order(1), order(2));
    assert_eq!(order(3), order(3));
}
