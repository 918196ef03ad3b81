//! Control instances whose disks are full for a while. A limit on the size of files refuses their writes, as a full disk does.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use platform_standin::client;
use rustix::process::{Pid, Resource, Rlimit, prlimit};
use tokio::time;

use crate::fleet::{self, Daemon, Fleet, until};

/// Time for which a disk is full, and between two of them.
const FULL: Duration = Duration::from_millis(4_000);
const BETWEEN: Duration = Duration::from_millis(1_500);

/// Has all writes of a process to files refused, or none.
fn limit_files(daemon: &Daemon, bytes: Option<u64>) {
    let pid = Pid::from_raw(i32::try_from(daemon.process_id()).unwrap());
    prlimit(pid, Resource::Fsize, Rlimit { current: bytes, maximum: None }).unwrap();
}

/// Sends a configuration to one control instance until that acknowledges it.
async fn declare_at(fleet: &Fleet, control: usize, config: &serde_json::Value) {
    let address = fleet.control[control].control();
    until("the instance acknowledges a change", async || {
        client::declare_config(address, config).await == Some(200)
    })
    .await;
}

/// Declares versions at random control instances for as long as it is polled.
async fn declare_on_and_on(fleet: &Fleet, version: &AtomicU64, routes: usize) {
    let addresses = fleet.control_addresses();
    loop {
        let next = version.fetch_add(1, Ordering::SeqCst) + 1;
        let config = client::large_config(next, routes);
        let at = usize::try_from(next).unwrap() % addresses.len();
        let _status = client::declare_config(addresses[at], &config).await;
        time::sleep(Duration::from_millis(50)).await;
    }
}

async fn fill_disks_in_turn(fleet: &Fleet) {
    for control in &fleet.control {
        limit_files(control, Some(0));
        time::sleep(FULL).await;
        limit_files(control, None);
        time::sleep(BETWEEN).await;
    }
}

/// Guards against changes that are refused for good after disks were full for seconds, one after another.
async fn changes_are_acknowledged_again(name: &str, routes: usize) {
    let fleet = fleet::start(name);
    fleet.declare(3).await;
    let version = AtomicU64::new(3);
    tokio::select! {
        () = declare_on_and_on(&fleet, &version, routes) => {}
        () = fill_disks_in_turn(&fleet) => {}
    }
    for control in 0..fleet.control.len() {
        let next = version.fetch_add(1, Ordering::SeqCst) + 1;
        declare_at(&fleet, control, &client::config(next)).await;
        until("the change is in force", async || {
            fleet.entries[0].log().lines().any(|line| {
                line.contains("config_in_force") && line.contains(&format!("version={next}"))
            })
        })
        .await;
        let address = fleet.control[control].control();
        until("the change is read back", async || {
            client::read_config_version(address).await == Ok(next)
        })
        .await;
    }
}

#[tokio::test]
async fn changes_are_acknowledged_after_disks_were_full_in_turn() {
    changes_are_acknowledged_again("seeded-full-disks", 0).await;
}

/// Snapshots are written while disks are full.
#[tokio::test]
async fn large_changes_are_acknowledged_after_disks_were_full_in_turn() {
    changes_are_acknowledged_again("seeded-full-disks-large", 4_000).await;
}

#[tokio::test]
async fn an_instance_that_starts_with_a_full_disk_joins_once_it_has_room() {
    let mut fleet = fleet::start("seeded-full-disk-start");
    fleet.declare(3).await;
    fleet.control[2].kill();
    fleet.wipe(2);
    fleet.control[2].start();
    limit_files(&fleet.control[2], Some(0));
    time::sleep(FULL).await;
    limit_files(&fleet.control[2], None);
    declare_at(&fleet, 2, &client::config(4)).await;
    until("its own log goes on, too", async || !fleet.control[2].log().is_empty()).await;
    until("the instance votes in place of its old replica", async || {
        let log = fleet.control[0].log();
        let members = log.lines().rfind(|line| line.contains("members changed"));
        members
            .is_some_and(|line| line.matches(":voter").count() == 3 && !line.contains(":learner"))
    })
    .await;
    fleet.control[0].kill();
    declare_at(&fleet, 2, &client::config(5)).await;
}
