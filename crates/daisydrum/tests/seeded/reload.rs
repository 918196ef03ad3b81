//! Settings of an instance that are reloaded, on a signal or because the file has changed.

use std::fs;

use rustix::process::Signal;

use crate::fleet::{self, Fleet, until};

/// Starts a fleet and then removes one seed from the entry instance's settings file.
async fn with_fewer_seeds(name: &str) -> Fleet {
    let fleet = fleet::start(name);
    let entry = &fleet.entries[0];
    until("the entry instance has started", async || entry.log().contains("event=\"started\""))
        .await;
    let file = entry.settings_file();
    let settings = fs::read_to_string(file).unwrap();
    let seed = fleet.control[0].control().to_string();
    fs::write(file, settings.replace(&format!("\"{seed}\", "), "")).unwrap();
    fleet
}

#[tokio::test]
async fn changed_seeds_are_applied_and_invalid_settings_leave_the_old_ones_in_force() {
    let fleet = with_fewer_seeds("seeded-reload").await;
    let entry = &fleet.entries[0];
    entry.signal(Signal::HUP);
    until("the changed seeds are applied", async || entry.log().contains("settings_reloaded"))
        .await;
    fs::write(entry.settings_file(), "{ \"name\": 7 }").unwrap();
    entry.signal(Signal::HUP);
    until("the settings are refused", async || entry.log().contains("settings_refused")).await;
    fleet.declare(3).await;
    until("the entry instance still follows the configuration", async || {
        entry.log().contains("config_in_force")
    })
    .await;
}

#[tokio::test]
async fn a_changed_file_is_reloaded_without_a_signal() {
    let fleet = with_fewer_seeds("seeded-noticed").await;
    let entry = &fleet.entries[0];
    until("the changed seeds are applied", async || entry.log().contains("settings_reloaded"))
        .await;
}
