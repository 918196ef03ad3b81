//! Changed settings.

use std::fs;

use rustix::process::Signal;

use crate::fleet::{self, until};

#[tokio::test]
async fn changed_seeds_are_taken_in_and_unreadable_settings_keep_the_old_ones() {
    let fleet = fleet::start("seeded-reload");
    let entry = &fleet.entries[0];
    until("it has started", async || entry.log().contains("event=\"started\"")).await;
    let file = entry.settings_file();
    let settings = fs::read_to_string(file).unwrap();
    let seed = fleet.control[0].control().to_string();
    fs::write(file, settings.replace(&format!("\"{seed}\", "), "")).unwrap();
    entry.signal(Signal::HUP);
    until("the seeds are taken in", async || entry.log().contains("settings_reloaded")).await;
    fs::write(file, "{ \"name\": 7 }").unwrap();
    entry.signal(Signal::HUP);
    until("the settings are refused", async || entry.log().contains("settings_refused")).await;
    fleet.declare(3).await;
    until("it still follows", async || entry.log().contains("config_in_force")).await;
}

#[tokio::test]
async fn a_file_that_changes_without_a_signal_is_noticed() {
    let fleet = fleet::start("seeded-noticed");
    let entry = &fleet.entries[0];
    until("it has started", async || entry.log().contains("event=\"started\"")).await;
    let file = entry.settings_file();
    let settings = fs::read_to_string(file).unwrap();
    let seed = fleet.control[0].control().to_string();
    fs::write(file, settings.replace(&format!("\"{seed}\", "), "")).unwrap();
    until("the seeds are taken in", async || entry.log().contains("settings_reloaded")).await;
}
