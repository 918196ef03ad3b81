//! A replica whose disk is full. A limit on the size of files refuses its writes, as a full disk does.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "support/alone.rs"]
mod alone;

use std::time::{Duration, Instant};

use alone::{Replica, empty_folder, until};
use rustix::process::{Resource, Rlimit, setrlimit};
use tokio::signal::unix::{SignalKind, signal};

/// SIGXFSZ on Linux.
const FILE_SIZE: i32 = 25;

fn limit_files(bytes: Option<u64>) {
    setrlimit(Resource::Fsize, Rlimit { current: bytes, maximum: None }).unwrap();
}

/// Guards against changes that stay unanswered: a leader went on without its disk thread, which a failed write had ended.
#[test]
fn a_leader_that_cannot_write_answers_at_once_and_leads_again_once_it_can() {
    let folder = empty_folder("full-disk");
    let replica = Replica::start(&folder);
    // With a handler the limit doesn't end the process.
    let _handler = replica.runtime.block_on(async { signal(SignalKind::from_raw(FILE_SIZE)) });
    replica.until_leading();
    replica.submit(1).unwrap();
    limit_files(Some(0));
    let began = Instant::now();
    let refusal = replica.submit(2).unwrap_err();
    assert!(began.elapsed() < Duration::from_secs(10), "{refusal} after {:?}", began.elapsed());
    limit_files(None);
    until(|| replica.submit(3).is_ok());
    assert_eq!(replica.last(), 3);
    replica.stop();
}
