//! The executor's calls on the log of a branch, against the branch's real state in memory.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use common::{name, role::Role};
use control::{
    command::Command,
    declaration::Author,
    drain,
    lease::Session,
    time::{Advance, MAX_STEP_MS},
};
use orders::{
    authority::{Authority, Error, Opening},
    branch::Client,
    intent::{Ending, Intent},
};
use spread::replicated_log::{Client as _, Memory};
use tokio::runtime::Runtime;
use wire::target::Action;

const TERM: Duration = Duration::from_secs(8);
const TIMEOUT: Duration = Duration::from_secs(1);

fn client(runtime: &Runtime, log: &Memory, session: u64) -> Client<Memory> {
    Client {
        log: log.clone(),
        branch: name::Branch::from("association"),
        data_centre: name::DataCentre::from("suva"),
        holder: name::Instance(format!("entry-{session}")),
        session: Session(session),
        runtime: runtime.handle().clone(),
    }
}

fn intent(id: &str, role: Role) -> Intent {
    Intent {
        id: String::from(id),
        target: name::Target::from("engine-1"),
        action: Action::Role { role },
    }
}

fn submit(runtime: &Runtime, log: &Memory, command: Command) {
    runtime.block_on(log.submit(&name::Branch::from("association"), command, TIMEOUT)).unwrap();
}

#[test]
fn a_holder_opens_and_settles_one_intent_at_a_time() {
    let runtime = Runtime::new().unwrap();
    let log = Memory::default();
    let mut client = client(&runtime, &log, 1);
    let fencing = client.grant(TERM).unwrap();
    let (first, second) = (intent("1", Role::Prefill), intent("2", Role::Decode));
    assert_eq!(client.open(fencing, &first), Ok(Opening::Opened));
    assert_eq!(client.open(fencing, &first), Ok(Opening::Opened), "a resend");
    assert_eq!(client.open(fencing, &second), Ok(Opening::Busy(first.clone())));
    assert_eq!(client.records().unwrap()[0].open, Some(first.clone()));
    assert_eq!(client.settle(fencing, &first, Ending::Done), Ok(()));
    assert_eq!(client.settle(fencing, &first, Ending::Done), Ok(()), "a resend");
    assert_eq!(client.open(fencing, &first), Ok(Opening::Ended(Ending::Done)));
    assert_eq!(client.open(fencing, &second), Ok(Opening::Opened));
    assert_eq!(client.records().unwrap()[0].last.as_ref().unwrap().intent, first);
}

#[test]
fn a_successor_waits_for_the_lease_to_expire_and_its_predecessor_is_refused() {
    let runtime = Runtime::new().unwrap();
    let log = Memory::default();
    let (mut old, mut new) = (client(&runtime, &log, 1), client(&runtime, &log, 2));
    let fencing = old.grant(TERM).unwrap();
    let mut now_ms = 0;
    while let Err(error) = new.grant(TERM) {
        assert!(matches!(error, Error::Held { .. }), "{error}");
        let advance = Advance { from_ms: now_ms, elapsed_ms: MAX_STEP_MS };
        submit(&runtime, &log, Command::Advance(advance));
        now_ms += MAX_STEP_MS;
        assert!(now_ms < 60_000, "the lease never ends");
    }
    let margin_ms = u64::try_from(wire::socket::ORDER_USER_TIMEOUT.as_millis()).unwrap();
    assert!(now_ms >= 8_000 + margin_ms, "granted after {now_ms} ms");
    assert_eq!(old.renew(fencing), Err(Error::Lost));
    assert_eq!(old.open(fencing, &intent("1", Role::Decode)), Err(Error::Lost));
    assert_eq!(old.settle(fencing, &intent("1", Role::Decode), Ending::Done), Err(Error::Lost));
}

#[test]
fn a_released_lease_is_free_at_once() {
    let runtime = Runtime::new().unwrap();
    let log = Memory::default();
    let (mut old, mut new) = (client(&runtime, &log, 1), client(&runtime, &log, 2));
    let first = old.grant(TERM).unwrap();
    old.release(first).unwrap();
    assert!(new.grant(TERM).unwrap() > first);
}

#[test]
fn reads_the_drain_marks() {
    let runtime = Runtime::new().unwrap();
    let log = Memory::default();
    let mut client = client(&runtime, &log, 1);
    let author =
        Author { request: String::from("1"), operator: String::from("operator"), wall_ms: 0 };
    let set = drain::Set {
        author,
        data_centre: name::DataCentre::from("suva"),
        target: name::Target::from("engine-1"),
        wish: drain::Action::Drain,
    };
    submit(&runtime, &log, Command::Drain(set));
    assert_eq!(client.drains(), Ok(vec![name::Target::from("engine-1")]));
}
