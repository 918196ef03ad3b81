//! Real daemons that find each other from seeds, with stand-ins of the operators' platform.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common_restart;
mod conditions;
mod config_taken_away;
mod connect;
mod content;
mod control;
mod crash;
mod crash_request;
mod credentials;
mod cut_off;
mod early_answers;
mod endless;
mod fleet;
mod framing;
mod full_disk;
mod idle;
mod keepers;
mod large_config;
mod leaving;
mod left_target;
mod lifetime;
mod metrics;
mod odd_answers;
mod odd_entries;
mod path;
mod paused_caller;
mod quarantine_kept;
mod reload;
mod restarted_software;
mod scaling;
mod second_copy;
mod silence;
mod software;
mod spread;
mod stop_late;
mod usage;
mod version_away;
mod version_boundary;
mod version_return;
