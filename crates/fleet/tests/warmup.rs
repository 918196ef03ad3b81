//! Half of a fleet restarts at once, and each restarted instance fetches a large answer from one that kept running.

use std::time::Duration;

use common::{clock::Moment, name, random::Random};
use fleet::{
    exchange::{Identity, Kind},
    warmup::{self, Throttle},
};

const CENTRES: usize = 5;
/// Time until a question is refused.
const REFUSAL: Duration = Duration::from_millis(2);
/// Time to transfer a large answer.
const TRANSFER: Duration = Duration::from_millis(350);
/// Time after which a question to an instance that is down is given up.
const TIMEOUT: Duration = Duration::from_millis(700);

fn identity(number: usize) -> Identity {
    Identity {
        instance: name::Instance(format!("entry-{number}")),
        address: std::net::SocketAddr::from(([10, 1, 0, 1], 7_000)),
        data_centre: name::DataCentre(format!("centre-{}", number % CENTRES)),
        kind: Kind::Entry,
    }
}

/// Simulates `clients` that ask until one of `servers` answers; `down` more peers never answer.
///
/// Returns when each client has its answer, in the order in which they get it.
fn simulate(clients: usize, servers: usize, down: usize) -> Vec<Duration> {
    let mut throttles = vec![Throttle::default(); servers];
    let identities: Vec<Identity> = (0..servers + down).map(identity).collect();
    let mut due: Vec<(Duration, usize, Vec<Identity>)> = (0..clients)
        .map(|client| {
            let mut random = Random::new(client as u64);
            let own = name::DataCentre(format!("centre-{}", client % CENTRES));
            (Duration::ZERO, client, warmup::order(identities.clone(), &own, &mut random))
        })
        .collect();
    let mut answered = Vec::new();
    while let Some(next) = (0..due.len()).min_by_key(|index| (due[*index].0, due[*index].1)) {
        let (at, client, mut order) = due.swap_remove(next);
        let asked = order.remove(0);
        let server =
            identities.iter().position(|identity| *identity == asked).expect("it is one of them");
        let now = Moment(1_000 + u64::try_from(at.as_millis()).expect("it is short"));
        let allowed = throttles.get_mut(server).map(|throttle| throttle.try_acquire(now));
        if allowed == Some(true) {
            answered.push(at + TRANSFER);
            continue;
        }
        let took = if allowed.is_some() { REFUSAL } else { TIMEOUT };
        order.push(asked);
        due.push((at + took, client, order));
    }
    answered
}

#[test]
fn half_of_the_fleet_is_answered_within_three_seconds_while_some_peers_are_down() {
    let answered = simulate(33, 33, 4);
    assert_eq!(answered.len(), 33);
    let slowest = answered.iter().max();
    assert!(slowest.is_some_and(|slowest| *slowest < Duration::from_secs(3)), "{slowest:?}");
}

#[test]
fn one_instance_answers_clients_one_after_another() {
    let answered = simulate(4, 1, 0);
    let times: Vec<u128> = answered.iter().map(|time| time.as_millis()).collect();
    assert_eq!(times, [350, 850, 1_350, 1_850]);
}

#[test]
fn peers_of_the_same_data_centre_come_first_and_the_order_depends_on_the_seed() {
    let identities: Vec<Identity> = (0..20).map(identity).collect();
    let own = name::DataCentre::from("centre-2");
    let order = |seed| warmup::order(identities.clone(), &own, &mut Random::new(seed));
    let centres: Vec<bool> = order(1).iter().map(|identity| identity.data_centre == own).collect();
    assert_eq!(centres, [vec![true; 4], vec![false; 16]].concat());
    assert_ne!(order(1), order(2));
    assert_eq!(order(3), order(3));
}
