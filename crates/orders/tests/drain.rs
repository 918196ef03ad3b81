//! Planned changes of an engine end no running stream.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "support/fixture.rs"]
mod support;

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread::{self, JoinHandle},
    time::Duration,
};

use common::role::Role;
use orders::intent::Ending;
use standin::engine::Engine;
use support::{Fixture, proposal, role, wait_until};
use wire::target::{Action, Fencing, Phase};
use yare::parameterized;

const TOKENS: usize = 60;

/// Starts a stream at an engine; the thread returns the number of events received.
fn stream(engine: &Engine) -> JoinHandle<usize> {
    let address = engine.address();
    let body = format!(r#"{{"model":"small","prompt":"p","stream":true,"max_tokens":{TOKENS}}}"#);
    let reader = thread::spawn(move || {
        let mut socket = TcpStream::connect(address).unwrap();
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: engine\r\ncontent-type: application/json\r\n\
             connection: close\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        socket.write_all(head.as_bytes()).unwrap();
        socket.write_all(body.as_bytes()).unwrap();
        let mut answer = String::new();
        socket.read_to_string(&mut answer).unwrap();
        assert!(answer.contains("data: [DONE]"), "{answer}");
        answer.matches("data: {").count()
    });
    wait_until("the stream is running", || engine.load().running == 1);
    reader
}

#[parameterized(checked = { Fencing::Checked }, unchecked = { Fencing::Unchecked })]
fn a_role_change_waits_for_the_streams_to_end(fencing: Fencing) {
    let fixture = Fixture::new();
    let engine = fixture.engine("engine", |options| {
        options.fencing = fencing;
        options.speed.scale = 1.0;
        options.speed.change = Duration::from_millis(100);
    });
    let (handle, _token) = fixture.executor(&fixture.log.client(1));
    let reader = stream(&engine);
    handle.proposals.send(proposal("engine", role(Role::Decode))).unwrap();
    wait_until("the engine is draining", || engine.state().phase == Phase::Draining);
    assert_eq!(engine.state().role, Role::Mixed);
    let events = reader.join().unwrap();
    wait_until("the role change is done", || {
        fixture.log.endings().contains(&(role(Role::Decode), Ending::Done))
    });
    assert!(events >= TOKENS, "{events} events");
    assert_eq!(engine.state().role, Role::Decode);
    assert_eq!(engine.state().phase, Phase::Ready);
    assert_eq!(engine.totals().interrupted, 0);
}

#[parameterized(
    role = { Action::Role { role: Role::Decode } },
    unload = { Action::Unload { model: String::from("small") } },
)]
fn past_the_drain_limit_the_change_fails_and_the_drain_is_undone(action: Action) {
    let mut fixture = Fixture::new();
    fixture.drain_limit = Duration::from_millis(100);
    let engine = fixture.engine("engine", |options| options.speed.scale = 2.0);
    let (handle, _token) = fixture.executor(&fixture.log.client(1));
    let reader = stream(&engine);
    handle.proposals.send(proposal("engine", action.clone())).unwrap();
    wait_until("the change has failed", || {
        fixture.log.endings().contains(&(action.clone(), Ending::Failed))
    });
    assert_eq!(engine.state().phase, Phase::Ready);
    assert_eq!(engine.state().role, Role::Mixed);
    assert!(reader.join().unwrap() >= TOKENS);
    assert_eq!(engine.totals().interrupted, 0);
}
