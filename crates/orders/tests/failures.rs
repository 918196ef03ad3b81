//! Failures of lease holders and engines, for engines that check fencing tokens and for ones that don't.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "support/fixture.rs"]
mod support;

use std::time::Duration;

use common::{cancel, clock::Moment, role::Role};
use orders::{
    client::{self, Answer, Call, Error, Operation},
    intent::Ending,
    lease::{Cell, Lease},
};
use standin::{engine::Engine, weights::Store};
use support::{Event, Fixture, proposal, role, wait_until};
use wire::target::{Action, Fencing, Order, Phase, Reply};
use yare::parameterized;

fn call(engine: &Engine, fencing: u64) -> Call {
    let order = Order { id: String::from("old"), fencing, action: role(Role::Decode) };
    Call {
        target: engine.state().target,
        address: engine.address(),
        operation: Operation::Send(order),
        epoch: 0,
    }
}

fn lease(fencing: u64, until: Moment) -> Cell {
    let cell = Cell::default();
    cell.set(Lease { fencing, until });
    cell
}

#[parameterized(checked = { Fencing::Checked }, unchecked = { Fencing::Unchecked })]
fn no_order_is_sent_after_the_lease_term(fencing: Fencing) {
    let fixture = Fixture::new();
    let engine = fixture.engine("engine", |options| options.fencing = fencing);
    let cell = lease(1, Moment::now());
    let result = fixture.runtime.block_on(client::call(&cell, &call(&engine, 1)));
    assert!(matches!(result, Err(Error::NoLease)), "{result:?}");
    assert_eq!(engine.totals().orders, 0);
}

#[test]
fn a_checking_engine_refuses_a_former_holder_whose_clock_is_late() {
    let fixture = Fixture::new();
    let engine = fixture.engine("engine", |_| {});
    let client = fixture.log.client(1);
    let (_handle, _token) = fixture.executor(&client);
    wait_until("the engine has seen the holder's fencing token", || engine.state().fencing > 0);
    let number = engine.state().fencing;
    let cell = lease(number - 1, Moment::now() + Duration::from_secs(60));
    let result = fixture.runtime.block_on(client::call(&cell, &call(&engine, number - 1))).unwrap();
    assert_eq!(result, Answer::Reply(Reply::Stale { highest: number }));
    assert_eq!(engine.state().role, Role::Mixed);
}

#[parameterized(checked = { Fencing::Checked }, unchecked = { Fencing::Unchecked })]
fn a_holder_disconnected_past_its_term_sends_no_order(fencing: Fencing) {
    let fixture = Fixture::new();
    let engine = fixture.engine("engine", |options| options.fencing = fencing);
    let (old_client, new_client) = (fixture.log.client(1), fixture.log.client(2));
    let (old, _old_token) = fixture.executor(&old_client);
    wait_until("the first process holds the lease", || old.monitor.report().fencing.is_some());
    old_client.disconnect();
    let (new, _new_token) = fixture.executor(&new_client);
    wait_until("the second process holds the lease", || new.monitor.report().fencing.is_some());
    assert_eq!(old.monitor.report().fencing, None);
    old.proposals.send(proposal("engine", role(Role::Decode))).unwrap();
    new.proposals.send(proposal("engine", role(Role::Prefill))).unwrap();
    wait_until("the order of the second process is done", || {
        fixture.log.endings().contains(&(role(Role::Prefill), Ending::Done))
    });
    assert_eq!(engine.state().role, Role::Prefill);
    let opened = fixture.log.events().into_iter().filter(
        |event| matches!(event, Event::Opened(intent) if intent.action == role(Role::Decode)),
    );
    assert_eq!(opened.count(), 0);
    fixture.log.assert_one_open_intent_per_target();
}

#[parameterized(checked = { Fencing::Checked }, unchecked = { Fencing::Unchecked })]
fn a_successor_settles_open_intents_before_new_ones(fencing: Fencing) {
    let fixture = Fixture::new();
    let engine = fixture.engine("engine", |options| {
        options.fencing = fencing;
        options.speed.change = Duration::from_secs(20);
    });
    let old_client = fixture.log.client(1);
    let (old, old_token) = fixture.executor(&old_client);
    old.proposals.send(proposal("engine", role(Role::Prefill))).unwrap();
    wait_until("the change is running", || engine.state().phase == Phase::Changing);
    old_client.disconnect();
    old_token.cancel();
    old.thread.join().unwrap();
    let client = fixture.log.client(2);
    let (new, _token) = fixture.executor(&client);
    new.proposals.send(proposal("engine", role(Role::Decode))).unwrap();
    wait_until("the second role change is done", || {
        fixture.log.endings().contains(&(role(Role::Decode), Ending::Done))
    });
    let roles: Vec<(Action, Ending)> = fixture
        .log
        .endings()
        .into_iter()
        .filter(|(action, _)| matches!(action, Action::Role { .. }))
        .collect();
    let done = |to| (role(to), Ending::Done);
    assert_eq!(roles, [done(Role::Prefill), done(Role::Decode)]);
    assert_eq!(engine.state().role, Role::Decode);
    fixture.log.assert_one_open_intent_per_target();
}

#[parameterized(checked = { Fencing::Checked }, unchecked = { Fencing::Unchecked })]
fn an_engine_that_crashes_in_a_change_gets_no_second_order_while_one_is_open(fencing: Fencing) {
    let fixture = Fixture::new();
    let engine = fixture.engine("engine", |options| {
        options.fencing = fencing;
        options.crash_during_change = true;
    });
    let client = fixture.log.client(1);
    let (handle, _token) = fixture.executor(&client);
    handle.proposals.send(proposal("engine", role(Role::Prefill))).unwrap();
    wait_until("the engine died", || engine.is_stopped());
    handle.proposals.send(proposal("engine", role(Role::Decode))).unwrap();
    wait_until("the second proposal is waiting", || handle.monitor.report().waiting == 1);
    let restarted = fixture.engine("engine", |options| options.fencing = fencing);
    wait_until("the second change is done", || {
        fixture.log.endings().contains(&(role(Role::Decode), Ending::Done))
    });
    assert_eq!(restarted.state().role, Role::Decode);
    assert!(fixture.log.endings().contains(&(role(Role::Prefill), Ending::Failed)));
    fixture.log.assert_one_open_intent_per_target();
}

#[test]
fn the_intent_of_an_engine_that_never_returns_ends_as_gone() {
    let fixture = Fixture::new();
    let engine = fixture.engine("engine", |options| options.crash_during_change = true);
    let client = fixture.log.client(1);
    let (handle, _token) = fixture.executor(&client);
    handle.proposals.send(proposal("engine", role(Role::Prefill))).unwrap();
    wait_until("the engine died", || engine.is_stopped());
    fixture.withdraw("engine");
    wait_until("the intent is settled", || {
        fixture.log.endings().contains(&(role(Role::Prefill), Ending::Gone))
    });
}

#[parameterized(checked = { Fencing::Checked }, unchecked = { Fencing::Unchecked })]
fn a_restarted_engine_is_brought_back_to_its_intended_state(fencing: Fencing) {
    let fixture = Fixture::new();
    let engine = fixture.engine("engine", |options| options.fencing = fencing);
    let client = fixture.log.client(1);
    let (handle, _token) = fixture.executor(&client);
    fixture.log.set_drains(&["engine"]);
    wait_until("the engine is drained", || {
        fixture.log.endings().contains(&(Action::Drain, Ending::Done))
    });
    engine.kill();
    let restarted = fixture.engine("engine", |options| options.fencing = fencing);
    wait_until("the restarted engine is draining", || restarted.state().phase == Phase::Draining);
    fixture.log.set_drains(&[]);
    wait_until("the engine accepts work again", || restarted.state().phase == Phase::Ready);
    drop(handle);
    fixture.log.assert_one_open_intent_per_target();
}

#[test]
fn a_holder_with_much_to_record_in_a_slow_log_keeps_its_lease() {
    let fixture = Fixture::new();
    let names: Vec<String> = (0..24).map(|number| format!("engine-{number}")).collect();
    let engines: Vec<Engine> = names.iter().map(|name| fixture.engine(name, |_| {})).collect();
    // To record all intents takes longer than the term.
    let client = fixture.log.slow_client(1, Duration::from_millis(60));
    let (handle, _token) = fixture.executor(&client);
    for name in &names {
        handle.proposals.send(proposal(name, role(Role::Prefill))).unwrap();
    }
    wait_until("all engines have changed", || {
        engines.iter().all(|engine| engine.state().role == Role::Prefill)
    });
    let events = fixture.log.events();
    let granted = events.iter().filter(|event| matches!(event, Event::Granted(_))).count();
    assert_eq!(granted, 1, "the lease was lost and taken again");
}

#[test]
fn loads_are_bounded_by_the_weight_store() {
    let fixture = Fixture::new();
    let load = Duration::from_millis(100);
    let store = fixture.runtime.block_on(Store::start(load, cancel::Token::new())).unwrap();
    let names: Vec<String> = (0..6).map(|number| format!("engine-{number}")).collect();
    let engines: Vec<Engine> = names
        .iter()
        .map(|name| fixture.engine(name, |options| options.weight_store = Some(store.address())))
        .collect();
    let client = fixture.log.client(1);
    let (handle, _token) = fixture.executor(&client);
    let action = Action::Load { model: String::from("large") };
    for name in &names {
        handle.proposals.send(proposal(name, action.clone())).unwrap();
    }
    wait_until("all engines have loaded the model", || {
        engines.iter().all(|engine| engine.state().models.contains(&String::from("large")))
    });
    assert!(store.peak() <= 2, "{} loads at once", store.peak());
}

#[test]
fn a_graceful_stop_releases_the_lease() {
    let fixture = Fixture::new();
    let old_client = fixture.log.client(1);
    let (old, token) = fixture.executor(&old_client);
    wait_until("the first holds the lease", || old.monitor.report().fencing.is_some());
    token.cancel();
    old.thread.join().unwrap();
    assert!(fixture.log.is_free(), "the lease is still held after a graceful stop");
    let (new, _token) = fixture.executor(&fixture.log.client(2));
    wait_until("the second holds the lease", || new.monitor.report().fencing.is_some());
}
