//! The choice of the upstream, the readiness of a starting instance, and stored declarations.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use common::{clock::Moment, name};
use control::query::Declarations;
use settings::instance::Instance;
use spread::{
    disk::{Disk, Error},
    readiness::{MAX_PEER_WAIT, Readiness},
    upstream::{self, RETRY_AFTER, Selector, Upstream},
    view::View,
};
use wire::spread::Version;

const BRANCH: &str = "association";

/// Settings of an instance of `data_centre`. Each of two data centres has four instances, the first with a replica.
fn instance(name: &str, data_centre: &str) -> Instance {
    let mut peers = Vec::new();
    for place in ["suva", "nadi"] {
        for number in 0..4 {
            let peer = format!("{place}-{number}");
            let replicas = if number == 0 { vec![BRANCH] } else { vec![] };
            if peer != name {
                peers.push(serde_json::json!({ "name": peer, "data_centre": place,
                    "address": "127.0.0.1:1", "replicas": replicas }));
            }
        }
    }
    serde_json::from_value(serde_json::json!({ "name": name, "data_centre": data_centre,
        "callers": "127.0.0.1:1", "control": "127.0.0.1:2", "peers_listen": "127.0.0.1:3",
        "peers": peers }))
    .unwrap()
}

fn chosen(name: &str) -> Upstream {
    Selector::new(&instance(name, name.split('-').next().unwrap()), &BRANCH.into())
        .choose(Moment(0))
}

#[test]
fn instances_of_a_data_centre_choose_the_same_relay() {
    for place in ["suva", "nadi"] {
        let mut relays = Vec::new();
        for number in 0..4 {
            match chosen(&format!("{place}-{number}")) {
                Upstream::Peer(peer) if peer.0.starts_with(place) => relays.push(peer),
                Upstream::Peer(peer) => assert!(peer.0.ends_with("-0"), "{peer} keeps no replica"),
                other => panic!("{other:?}"),
            }
        }
        relays.dedup();
        assert!(relays.len() <= 1 || relays.iter().all(|relay| *relay == relays[0]), "{relays:?}");
        assert!(!relays.is_empty());
    }
}

#[test]
fn an_upstream_that_fails_or_is_out_of_date_is_skipped_for_a_while() {
    let mut selector = (0..4)
        .map(|number| Selector::new(&instance(&format!("suva-{number}"), "suva"), &BRANCH.into()))
        .max_by_key(Selector::len)
        .unwrap();
    assert_eq!(
        selector.len(),
        4,
        "three preceding instances and the one with a replica in the other data centre"
    );
    let Upstream::Peer(first) = selector.choose(Moment(0)) else { panic!() };
    selector.record_failure(&first, Moment(0));
    let Upstream::Peer(second) = selector.choose(Moment(1)) else { panic!() };
    assert_ne!(first, second);
    selector.record_response(&second, Some(Duration::from_secs(60)), Moment(1));
    let Upstream::Peer(third) = selector.choose(Moment(2)) else { panic!() };
    assert!(third != first && third != second);
    selector.record_response(&third, Some(Duration::ZERO), Moment(2));
    assert_eq!(selector.choose(Moment(3)), Upstream::Peer(third));
    assert_eq!(selector.choose(Moment(0) + RETRY_AFTER), Upstream::Peer(first));
}

#[test]
fn an_instance_without_peers_has_no_upstream() {
    let mut alone = instance("suva-1", "suva");
    alone.peers.clear();
    assert_eq!(Selector::new(&alone, &BRANCH.into()).choose(Moment(0)), Upstream::None);
    assert_eq!(upstream::branches(&alone), []);
    assert!(Readiness::new(Vec::new(), &[], Moment(0)).is_ready(&View::default(), Moment(0)));
}

fn have(version: u64) -> Version {
    Version { branch: BRANCH.into(), version }
}

fn view(version: u64) -> View {
    let mut view = View::default();
    view.restore(&BRANCH.into(), Declarations { version, ..Declarations::default() });
    view
}

#[test]
fn an_instance_is_ready_once_it_has_the_highest_known_version() {
    let branches = vec![name::Branch::from(BRANCH)];
    let mut readiness = Readiness::new(branches.clone(), &[], Moment(0));
    assert!(!readiness.is_ready(&View::default(), Moment(100_000)));
    readiness.record_versions(&[have(7)]);
    readiness.record_versions(&[have(5)]);
    assert!(!readiness.is_ready(&view(6), Moment(100_000)));
    assert!(readiness.is_ready(&view(7), Moment(1)));

    let kept = Readiness::new(branches, &[have(4)], Moment(0));
    assert!(!kept.is_ready(&view(3), Moment(100_000)));
    assert!(!kept.is_ready(&view(4), Moment(1)), "peers may have a higher version");
    assert!(
        kept.is_ready(&view(4), Moment(0) + MAX_PEER_WAIT),
        "no peer has responded, so the stored version is served"
    );
}

#[test]
fn stored_declarations_are_read_back_and_corrupt_files_are_refused() {
    let folder = std::env::temp_dir().join(format!("spread-disk-{}", std::process::id()));
    let branch = name::Branch::from(BRANCH);
    let disk = Disk::open(&folder).unwrap();
    assert!(disk.read(&branch).unwrap().is_none());
    let version = Declarations { version: 9, ..Declarations::default() };
    disk.write(&branch, &version).unwrap();
    assert_eq!(disk.read(&branch).unwrap(), Some(version));
    let path = folder.join(format!("{BRANCH}.declarations"));
    let intact = std::fs::read(&path).unwrap();
    for position in 0..intact.len() {
        let mut flipped = intact.clone();
        flipped[position] ^= 1;
        std::fs::write(&path, &flipped).unwrap();
        assert!(matches!(disk.read(&branch), Err(Error::Corrupt { .. })), "byte {position}");
        std::fs::write(&path, &intact[..position]).unwrap();
        assert!(matches!(disk.read(&branch), Err(Error::Corrupt { .. })), "cut at {position}");
    }
    std::fs::remove_dir_all(&folder).unwrap();
}
