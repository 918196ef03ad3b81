//! Failures injected while real daemons serve callers; `docs/FAILURES.md` lists them by number.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod gapped_cache_events;
mod handed_on;
mod killed_daemon;
mod killed_during_claim;
mod lost_answer;
mod noisy_partner;
mod pairs;
mod partition;
mod silent_call;
mod stale_reports;
mod support;
