//! Replicas of a log in real daemons: kills, restarts, lost disks and corrupt files.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "support/replicas.rs"]
mod replicas;

use std::fs;

use consensus::status::Status;
use replicas::Cluster;
use standin::harness::wait;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_leader_is_replaced_and_no_accepted_claim_is_lost() {
    let mut cluster = Cluster::start("kill", 3).await;
    let mut accepted = cluster.claim_all(0, 100).await;
    assert_eq!(accepted.len(), 100);
    let leader = cluster.leader().await;
    cluster.daemons[leader].kill();
    accepted.extend(cluster.claim_all(100, 200).await);
    cluster.daemons[leader].restart();
    accepted.extend(cluster.claim_all(200, 300).await);
    assert!(accepted.len() >= 200, "{}", accepted.len());
    assert_eq!(cluster.missing(&accepted).await, Vec::<u64>::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_replica_that_missed_many_entries_catches_up_by_snapshot() {
    let mut cluster = Cluster::start("restart", 3).await;
    let stopped = (cluster.leader().await + 1) % 3;
    cluster.daemons[stopped].kill();
    let mut accepted = Vec::new();
    for first in (0..3_000).step_by(500) {
        accepted.extend(cluster.claim_all(first, first + 500).await);
    }
    assert_eq!(accepted.len(), 3_000);
    cluster.daemons[stopped].restart();
    let end = cluster.statuses().await.iter().flatten().map(|status| status.commit).max().unwrap();
    wait::until("the replica has caught up", async || {
        cluster.statuses().await[stopped].as_ref().is_some_and(|status| status.commit >= end)
    })
    .await;
    let names = fs::read_dir(cluster.replica_folder(stopped)).unwrap();
    let mut names = names.map(|entry| entry.unwrap().file_name().into_string().unwrap());
    assert!(names.any(|name| name.starts_with("snapshot-")));
    let other = (0..3).find(|number| *number != stopped).unwrap();
    cluster.daemons[other].kill();
    assert_eq!(cluster.missing(&accepted[2_900..]).await, Vec::<u64>::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_wiped_replica_is_replaced_and_the_leader_may_be_lost_right_after() {
    let mut cluster = Cluster::start("wipe", 3).await;
    let accepted = cluster.claim_all(0, 300).await;
    let leader = cluster.leader().await;
    let wiped = (leader + 1) % 3;
    let old = cluster.statuses().await[wiped].as_ref().unwrap().id;
    cluster.wipe(wiped);
    cluster.daemons[wiped].restart();
    let repaired = |status: &Status| {
        let config = &status.config;
        status.settled && config.voters().count() == 3 && config.member(old).is_none()
    };
    cluster.until("the repair is finished", repaired).await;
    let leader = cluster.leader().await;
    cluster.daemons[leader].kill();
    let later = cluster.claim_all(300, 400).await;
    assert_eq!(cluster.missing(&accepted).await, Vec::<u64>::new());
    assert_eq!(cluster.missing(&later).await, Vec::<u64>::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_operator_replaces_a_replica_whose_instance_is_gone() {
    let mut cluster = Cluster::start_with_learners("replace", 3, 1).await;
    let accepted = cluster.claim_all(0, 100).await;
    assert_eq!(accepted.len(), 100);
    let gone = 3;
    cluster.daemons[gone].kill();
    wait::until("the replacement is accepted", async || cluster.replace("i3", "i0").await).await;
    let replaced = |status: &Status| {
        let instances: Vec<&str> = status
            .config
            .voters()
            .filter_map(|id| Some(status.config.member(id)?.instance.0.as_str()))
            .collect();
        status.settled
            && instances.len() == 3
            && instances.contains(&"i0")
            && !instances.contains(&"i3")
    };
    cluster.until("the replacement is finished", replaced).await;
    let leader = cluster.leader().await;
    cluster.daemons[leader].kill();
    assert_eq!(cluster.missing(&accepted).await, Vec::<u64>::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_torn_write_is_truncated_and_a_corrupt_log_is_refused() {
    let mut cluster = Cluster::start("damage", 3).await;
    let accepted = cluster.claim_all(0, 100).await;
    let affected = (cluster.leader().await + 1) % 3;
    cluster.daemons[affected].kill();
    let names = fs::read_dir(cluster.replica_folder(affected)).unwrap();
    let segments = names.map(|entry| entry.unwrap().path());
    let segment = segments
        .filter(|path| path.file_name().unwrap().to_string_lossy().starts_with("segment-"))
        .max()
        .unwrap();
    let intact = fs::read(&segment).unwrap();

    let mut torn = intact.clone();
    torn.extend_from_slice(&[1, 2, 3, 4, 5]);
    fs::write(&segment, &torn).unwrap();
    cluster.daemons[affected].restart();
    wait::until("the replica serves again", async || cluster.statuses().await[affected].is_some())
        .await;
    cluster.daemons[affected].kill();

    let mut corrupt = intact;
    let middle = corrupt.len() / 2;
    corrupt[middle] ^= 1;
    fs::write(&segment, &corrupt).unwrap();
    cluster.daemons[affected].restart();
    let mut ended = false;
    wait::until("the daemon has refused to start", async || {
        ended = ended || cluster.daemons[affected].has_ended();
        ended
    })
    .await;
    let log = cluster.daemons[affected].log();
    assert!(log.contains("is damaged at byte"), "{log}");
    assert_eq!(cluster.missing(&accepted).await, Vec::<u64>::new());
}
