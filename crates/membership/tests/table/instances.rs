//! Failure detection: instances that are alive, suspect, gone and alive again.

use std::time::Duration;

use common::name;
use membership::{
    event::Event,
    table::{State, Table},
};

use crate::cluster::{Cluster, instance};

fn state(table: &Table, at: usize) -> State {
    table.state(&instance(at)).unwrap()
}

fn lost(events: &[Event]) -> Vec<(Vec<name::Instance>, Vec<name::DataCentre>)> {
    let lost = events.iter().filter_map(|event| match event {
        Event::InstancesLost { instances, data_centres } => {
            Some((instances.clone(), data_centres.clone()))
        }
        _ => None,
    });
    lost.collect()
}

#[test]
fn a_dead_instance_is_suspect_and_then_gone() {
    let mut cluster = Cluster::new(&["suva"; 5]);
    cluster.run(Duration::from_secs(3));
    cluster.dead.insert(4);
    cluster.run(Duration::from_secs(7));
    assert_eq!(state(&cluster.tables[0], 4), State::Suspect);
    cluster.run(Duration::from_secs(10));
    let states: Vec<State> = (0..4).map(|at| state(&cluster.tables[at], 4)).collect();
    assert_eq!(states, [State::Gone; 4]);
    assert_eq!(cluster.tables[0].alive_instances(), 4);
}

#[test]
fn a_dead_instance_does_not_return_when_its_updates_are_forgotten() {
    let mut cluster = Cluster::new(&["suva"; 3]);
    cluster.run(Duration::from_secs(3));
    cluster.dead.insert(2);
    cluster.run(Duration::from_secs(20));
    assert_eq!(state(&cluster.tables[0], 2), State::Gone);
    cluster.events.iter_mut().for_each(Vec::clear);
    cluster.run(Duration::from_mins(10));
    for (at, events) in cluster.events.iter().enumerate() {
        let up = events.iter().filter(|event| matches!(event, Event::InstancesUp(_))).count();
        assert_eq!((up, lost(events)), (0, Vec::new()), "at instance {at}");
    }
    cluster.restart(2, 2);
    cluster.run(Duration::from_secs(20));
    assert_eq!(state(&cluster.tables[0], 2), State::Alive);
}

#[test]
fn links_cut_in_one_direction_lose_no_instance() {
    let mut cluster = Cluster::new(&["suva"; 6]);
    cluster.run(Duration::from_secs(3));
    cluster.cut.extend([(0, 1), (0, 2), (3, 0), (4, 0)]);
    cluster.run(Duration::from_mins(1));
    for (at, events) in cluster.events.iter().enumerate() {
        assert_eq!(lost(events), Vec::new(), "at instance {at}");
    }
}

#[test]
fn a_restarted_instance_supersedes_its_old_process() {
    let mut cluster = Cluster::new(&["suva"; 3]);
    cluster.run(Duration::from_secs(3));
    cluster.restart(2, 2);
    cluster.run(Duration::from_secs(5));
    assert_eq!(state(&cluster.tables[0], 2), State::Alive);
    cluster.restart(2, 3);
    cluster.run(Duration::from_secs(5));
    assert_eq!(state(&cluster.tables[1], 2), State::Alive);
}

#[test]
fn a_flapping_instance_recovers_more_slowly_each_time() {
    let mut cluster = Cluster::new(&["suva"; 3]);
    cluster.run(Duration::from_secs(3));
    let mut waits = Vec::new();
    for _ in 0..4 {
        cluster.cut_off(&[2]);
        cluster.run(Duration::from_secs(14));
        assert_eq!(state(&cluster.tables[0], 2), State::Gone);
        cluster.cut.clear();
        let since = cluster.now;
        for _ in 0..200 {
            if state(&cluster.tables[0], 2) != State::Alive {
                cluster.run(Duration::from_millis(250));
            }
        }
        assert_eq!(state(&cluster.tables[0], 2), State::Alive);
        waits.push(cluster.now.since(since));
    }
    assert!(waits[3] > waits[0] * 2 && waits[3] < Duration::from_secs(30), "{waits:?}");
}

#[test]
fn a_data_centre_lost_at_once_is_one_event() {
    let data_centres = ["suva", "suva", "nadi", "nadi", "nadi", "nadi"];
    let mut cluster = Cluster::new(&data_centres);
    cluster.run(Duration::from_secs(5));
    cluster.cut_off(&[2, 3, 4, 5]);
    cluster.run(Duration::from_secs(30));
    let seen = lost(&cluster.events[0]);
    assert!(seen.len() <= 2, "few events for four instances: {seen:?}");
    assert_eq!(seen.last().unwrap().1, [name::DataCentre::from("nadi")]);
    assert_eq!(
        state(&cluster.tables[2], 3),
        State::Alive,
        "the instances that are cut off still reach each other"
    );
    cluster.cut.clear();
    cluster.run(Duration::from_secs(30));
    assert_eq!(state(&cluster.tables[0], 2), State::Alive);
}

#[test]
fn bytes_that_encode_no_message_are_refused() {
    assert!(membership::message::Message::decode(&[0xff; 40]).is_err());
}
