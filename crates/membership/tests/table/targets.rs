//! Targets: latest announcements, leases, outstanding requests of other instances, and summaries.

use std::time::Duration;

use membership::{
    event::{Event, Outstanding},
    table::Outcome,
};
use wire::target::{Announcement, Load, Phase};

use crate::cluster::{Cluster, announcement};

const FOUR: [&str; 4] = ["suva"; 4];

#[test]
fn a_target_announced_to_one_instance_is_known_to_all() {
    let mut cluster = Cluster::new(&FOUR);
    cluster.tables[2].receive_announcement(announcement("e", 1), cluster.now);
    cluster.run(Duration::from_secs(2));
    assert_eq!(cluster.phases("e"), [Some(Phase::Ready); 4]);
}

#[test]
fn the_latest_announcement_wins_wherever_it_arrives() {
    let mut cluster = Cluster::new(&FOUR);
    let leaving = Announcement { phase: Phase::Leaving, ..announcement("e", 8) };
    cluster.tables[0].receive_announcement(leaving, cluster.now);
    cluster.run(Duration::from_secs(2));
    assert_eq!(
        cluster.tables[3].receive_announcement(announcement("e", 7), cluster.now),
        Outcome::Stale
    );
    cluster.run(Duration::from_secs(2));
    assert_eq!(cluster.phases("e"), [Some(Phase::Leaving); 4]);
    let restarted = Announcement { incarnation: 2, ..announcement("e", 1) };
    assert_eq!(cluster.tables[3].receive_announcement(restarted, cluster.now), Outcome::Changed);
    cluster.run(Duration::from_secs(2));
    assert_eq!(cluster.phases("e"), [Some(Phase::Ready); 4]);
}

#[test]
fn pushed_updates_make_a_leaving_target_known_at_once() {
    let mut cluster = Cluster::new(&FOUR);
    cluster.tables[0].receive_announcement(announcement("e", 1), cluster.now);
    cluster.run(Duration::from_secs(3));
    let before = cluster.tables[1].own_version();
    let leaving = Announcement { phase: Phase::Leaving, ..announcement("e", 2) };
    assert_eq!(cluster.tables[1].receive_announcement(leaving, cluster.now), Outcome::Changed);
    for to in [0, 2, 3] {
        let updates = cluster.tables[1].updates_since(before, cluster.now);
        cluster.send(1, to, &updates);
    }
    assert_eq!(cluster.phases("e"), [Some(Phase::Leaving); 4]);
}

#[test]
fn passing_an_announcement_on_does_not_extend_its_lease() {
    let mut cluster = Cluster::new(&FOUR);
    cluster.tables[0].receive_announcement(announcement("e", 1), cluster.now);
    cluster.run(Duration::from_secs(4));
    assert_eq!(cluster.phases("e"), [Some(Phase::Ready); 4]);
    cluster.run(Duration::from_secs(2));
    assert_eq!(cluster.phases("e"), [None; 4]);
}

#[test]
fn many_targets_lost_at_once_are_one_event() {
    let mut cluster = Cluster::new(&FOUR);
    for target in 0..20 {
        cluster.tables[0].receive_announcement(announcement(&format!("e{target}"), 1), cluster.now);
    }
    cluster.run(Duration::from_secs(8));
    for events in &cluster.events {
        let lost: Vec<usize> = events
            .iter()
            .filter_map(|event| match event {
                Event::TargetsLost(names) => Some(names.len()),
                _ => None,
            })
            .collect();
        assert_eq!(lost, [20]);
    }
}

#[test]
fn a_load_report_ages_while_it_is_passed_on() {
    let mut cluster = Cluster::new(&["suva"; 2]);
    cluster.tables[0].receive_announcement(announcement("e", 1), cluster.now);
    cluster.run(Duration::from_secs(1));
    let loaded = Announcement {
        load: Load { age_ms: 100, running: 5, ..Load::default() },
        ..announcement("e", 2)
    };
    cluster.tables[0].receive_announcement(loaded, cluster.now);
    cluster.events[1].clear();
    cluster.run(Duration::from_secs(1));
    let load = cluster.events[1].iter().find_map(|event| match event {
        Event::Announced(announcement) => Some(announcement.load),
        _ => None,
    });
    let load = load.unwrap();
    assert!(load.running == 5 && load.age_ms > 100, "{load:?}");
}

#[test]
fn outstanding_requests_of_peers_are_summed_while_the_peers_are_alive() {
    let mut cluster = Cluster::new(&FOUR);
    cluster.tables[0].receive_announcement(announcement("e", 1), cluster.now);
    cluster.run(Duration::from_secs(1));
    for at in 1..4 {
        let own = Outstanding { target: "e".into(), requests: 3 };
        cluster.tables[at].set_outstanding([own]);
    }
    cluster.run(Duration::from_secs(2));
    assert_eq!(last_peer_outstanding(&cluster, 0), 9);
    cluster.dead.insert(3);
    for sequence in 2..8 {
        cluster.tables[0].receive_announcement(announcement("e", sequence), cluster.now);
        cluster.run(Duration::from_secs(3));
    }
    assert_eq!(last_peer_outstanding(&cluster, 0), 6);
}

fn last_peer_outstanding(cluster: &Cluster, at: usize) -> u32 {
    let outstanding = cluster.events[at].iter().rev().find_map(|event| match event {
        Event::PeerOutstanding(outstanding) => Some(outstanding[0].requests),
        _ => None,
    });
    outstanding.unwrap()
}

#[test]
fn a_summary_reaches_all_instances_of_another_data_centre() {
    let mut cluster = Cluster::new(&["suva", "suva", "nadi", "nadi", "nadi"]);
    cluster.tables[0].receive_announcement(announcement("e", 1), cluster.now);
    cluster.run(Duration::from_secs(1));
    assert!(cluster.tables[0].is_representative() && !cluster.tables[1].is_representative());
    let summary = cluster.tables[0].summary(1);
    assert_eq!((summary.services[0].slots, summary.callers.len()), (16, 2));
    cluster.tables[3].receive_summary(summary, cluster.now);
    cluster.run(Duration::from_secs(2));
    let received =
        [2, 3, 4].map(|at| cluster.tables[at].summary_received_at(&"suva".into()).is_some());
    assert_eq!(received, [true; 3]);
}
