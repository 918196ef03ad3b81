//! The replicated configuration: founding, growth, lost disks and invalid declarations.

use std::fs;

use platform_standin::client;
use rustix::process::Signal;
use serde_json::json;

use crate::fleet::{self, Fleet, Start, until};

#[tokio::test]
async fn seeds_started_one_after_another_found_one_log_and_read_the_same_version() {
    let mut fleet = fleet::new("seeded-founding");
    // A seed that starts late delays the founding of the log; no seed founds a log of its own.
    fleet.add_control(Start::First);
    fleet.add_control(Start::First);
    let early = fleet.control[0].control();
    until("the first seed answers", async || {
        let status = client::declare_config(early, &client::config(3)).await;
        assert!(status.is_none_or(|status| status == 503), "{status:?}");
        status.is_some()
    })
    .await;
    fleet.add_control(Start::First);
    fleet.declare(3).await;
    for control in fleet.control_addresses() {
        until("the instance reads the version", async || {
            client::read_config_version(control).await == Ok(3)
        })
        .await;
    }
}

#[tokio::test]
async fn an_added_instance_becomes_a_voter_and_then_a_seed_may_be_lost() {
    let mut fleet = fleet::start("seeded-growth");
    fleet.declare(3).await;
    let fourth = fleet.add_control(Start::Later);
    let address = fleet.control[fourth].control();
    until("the fourth reads the version", async || {
        client::read_config_version(address).await == Ok(3)
    })
    .await;
    until("the fourth votes", async || {
        let log = fleet.control[fourth].log();
        log.contains("127.") && log.matches(":voter").count() >= 4
    })
    .await;
    fleet.control[0].kill();
    fleet.declare(5).await;
    until("the fourth reads the next version", async || {
        client::read_config_version(address).await == Ok(5)
    })
    .await;
}

#[tokio::test]
async fn an_instance_with_an_empty_disk_becomes_a_voter_and_then_a_seed_may_be_lost() {
    let mut fleet = fleet::start("seeded-wiped");
    fleet.declare(3).await;
    fleet.control[1].kill();
    fleet.wipe(1);
    fleet.control[1].start();
    let wiped = fleet.control[1].control();
    until("the wiped instance reads the version", async || {
        client::read_config_version(wiped).await == Ok(3)
    })
    .await;
    // The replica under its new identity votes, and the one whose disk was lost is no longer a member.
    until("the replacement is finished", async || {
        let log = fleet.control[1].log();
        let last = log.lines().rev().find(|line| line.contains("members changed"));
        last.is_some_and(|line| line.matches(":voter").count() == 3 && !line.contains(":learner"))
    })
    .await;
    fleet.control[0].kill();
    until("the version is read without the instance that was killed", async || {
        client::read_config_version(wiped).await == Ok(3)
    })
    .await;
    fleet.declare(4).await;
}

#[tokio::test]
async fn two_instances_replaced_for_good_do_not_cost_the_quorum_when_a_disk_is_lost() {
    let mut fleet = fleet::start("seeded-replaced");
    fleet.add_control(Start::Later);
    fleet.declare(3).await;
    let mut running = vec![0, 1, 2, 3];
    for gone in [1, 2] {
        until_members(&fleet, &running).await;
        fleet.control[gone].kill();
        running.retain(|number| *number != gone);
        running.push(fleet.add_control(Start::Later));
    }
    until_members(&fleet, &running).await;
    let lost = running[3];
    fleet.control[lost].kill();
    fleet.wipe(lost);
    fleet.control[lost].start();
    fleet.declare(4).await;
    until_members(&fleet, &running).await;
}

#[tokio::test]
async fn an_instance_that_was_taken_for_gone_votes_again_when_it_returns() {
    let mut fleet = fleet::start("seeded-returned");
    fleet.add_control(Start::Later);
    fleet.declare(3).await;
    until_members(&fleet, &[0, 1, 2, 3]).await;
    fleet.control[3].kill();
    until_members(&fleet, &[0, 1, 2]).await;
    fleet.declare(4).await;
    fleet.control[3].start();
    until_members(&fleet, &[0, 1, 2, 3]).await;
    fleet.control[0].kill();
    fleet.declare(5).await;
}

#[tokio::test]
async fn an_instance_that_is_asked_to_stop_gives_up_its_vote_and_gets_it_back() {
    let mut fleet = fleet::start("seeded-stopped");
    fleet.add_control(Start::Later);
    fleet.declare(3).await;
    let all = [0, 1, 2, 3];
    // One of them leads.
    for stopped in all {
        until_members(&fleet, &all).await;
        fleet.control[stopped].signal(Signal::TERM);
        assert_eq!(fleet.control[stopped].wait_for_exit().await, Some(0));
        let rest: Vec<usize> = all.into_iter().filter(|number| *number != stopped).collect();
        until_members(&fleet, &rest).await;
        assert!(fleet.control[stopped].log().contains("vote_given_up"));
        assert!(rest.iter().all(|number| !fleet.control[*number].log().contains("silent member")));
        fleet.control[stopped].start();
    }
    until_members(&fleet, &all).await;
    fleet.declare(4).await;
}

#[tokio::test]
async fn an_instance_whose_seeds_are_all_gone_joins_once_it_knows_others() {
    let mut fleet = fleet::start("seeded-seedless");
    fleet.declare(3).await;
    let late = fleet.add_control(Start::Later);
    until("the instance has a disk", async || fleet.control[late].log().contains("replica opened"))
        .await;
    fleet.control[late].kill();
    fleet.wipe(late);
    let file = fleet.control[late].settings_file().to_path_buf();
    let settings = fs::read_to_string(&file).unwrap();
    let mut without_seeds = settings.clone();
    for seed in &fleet.control_addresses()[..3] {
        without_seeds = without_seeds.replace(&format!("\"{seed}\""), "\"127.0.0.9:8144\"");
    }
    fs::write(&file, without_seeds).unwrap();
    fleet.control[late].start();
    until("the seeds are not reached", async || {
        fleet.control[late].log().contains("control_not_reached")
    })
    .await;
    fs::write(&file, settings).unwrap();
    until_members(&fleet, &[0, 1, 2, late]).await;
}

#[tokio::test]
async fn an_accepted_configuration_survives_a_kill_of_all_control_instances() {
    let mut fleet = fleet::start("seeded-killed");
    fleet.declare(7).await;
    for control in &mut fleet.control {
        control.kill();
    }
    for control in &mut fleet.control {
        control.start();
    }
    let first = fleet.control[0].control();
    until("the version is read", async || client::read_config_version(first).await == Ok(7)).await;
}

#[tokio::test]
async fn an_invalid_configuration_is_refused_and_the_one_in_force_stays() {
    let fleet = fleet::start("seeded-invalid");
    fleet.declare(3).await;
    let control = fleet.control[0].control();
    let mut unknown = client::config(9);
    unknown["routes"][0]["service"] = json!("nobody");
    assert_eq!(client::declare_config(control, &unknown).await, Some(400));
    let mut other_content = client::config(3);
    other_content["routes"][0]["timeout_ms"] = json!(77);
    assert_eq!(client::declare_config(control, &other_content).await, Some(200));
    assert_eq!(client::declare_config(control, &client::config(2)).await, Some(200));
    let body = client::read_config(control).await.body;
    let held: serde_json::Value = serde_json::from_str(&body).unwrap();
    assert_eq!(held, client::config(3));
    assert_eq!(client::declare_config_text(control, "{\"version\": 12, ").await, Some(400));
}

#[tokio::test]
async fn of_two_concurrent_declarations_of_one_version_all_instances_keep_the_same() {
    let fleet = fleet::start("seeded-race");
    fleet.declare(1).await;
    let contents: Vec<serde_json::Value> = (0..2)
        .map(|number| {
            let mut config = client::config(2);
            config["routes"][0]["timeout_ms"] = json!(1_000 + number);
            config
        })
        .collect();
    let (first, second) = tokio::join!(
        client::declare_config(fleet.control[0].control(), &contents[0]),
        client::declare_config(fleet.control[1].control(), &contents[1])
    );
    assert!(first == Some(200) || second == Some(200), "{first:?} {second:?}");
    let mut seen = Vec::new();
    for control in fleet.control_addresses() {
        until("the version is read", async || client::read_config_version(control).await == Ok(2))
            .await;
        seen.push(client::read_config(control).await.body);
    }
    assert!(seen.windows(2).all(|pair| pair[0] == pair[1]));
}

/// Waits until exactly these instances are members of the log, all of them voters.
async fn until_members(fleet: &Fleet, running: &[usize]) {
    until("the running instances are the voters", async || {
        running.iter().all(|number| {
            let log = fleet.control[*number].log();
            let Some(last) = log.lines().rev().find(|line| line.contains("members changed")) else {
                return false;
            };
            let votes = |other: &usize| {
                let host = fleet.control[*other].control().ip();
                last.contains(&format!("{host}:"))
            };
            last.matches(":voter").count() == running.len()
                && !last.contains(":learner")
                && running.iter().all(votes)
        })
    })
    .await;
}
