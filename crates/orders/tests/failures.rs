//! Faults around orders to engines that check fencing numbers and ones that don't.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "support/site.rs"]
mod support;

use std::time::Duration;

use common::{cancel, clock::Moment, role::Role};
use orders::{
    client::{self, Answer, Call, Error, Operation},
    intent::Ending,
    lease::{Cell, Lease},
};
use standin::{engine::Engine, weights::Store};
use support::{Event, Site, proposal, role, until};
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
fn no_order_is_written_after_the_term(fencing: Fencing) {
    let site = Site::new();
    let engine = site.engine("engine", |options| options.fencing = fencing);
    let cell = lease(1, Moment::now());
    let result = site.runtime.block_on(client::call(&cell, &call(&engine, 1)));
    assert!(matches!(result, Err(Error::NoLease)), "{result:?}");
    assert_eq!(engine.totals().orders, 0);
}

#[test]
fn a_checking_engine_refuses_a_holder_whose_clock_is_wrong() {
    let site = Site::new();
    let engine = site.engine("engine", |_| {});
    let client = site.log.client(1);
    let (_handle, _token) = site.executor(&client);
    until("the engine knows the holder", || engine.state().fencing > 0);
    let number = engine.state().fencing;
    let cell = lease(number - 1, Moment::now() + Duration::from_secs(60));
    let result = site.runtime.block_on(client::call(&cell, &call(&engine, number - 1))).unwrap();
    assert_eq!(result, Answer::Reply(Reply::Stale { highest: number }));
    assert_eq!(engine.state().role, Role::Mixed);
}

#[parameterized(checked = { Fencing::Checked }, unchecked = { Fencing::Unchecked })]
fn a_holder_cut_off_past_its_term_orders_nothing(fencing: Fencing) {
    let site = Site::new();
    let engine = site.engine("engine", |options| options.fencing = fencing);
    let (old_client, new_client) = (site.log.client(1), site.log.client(2));
    let (old, _old_token) = site.executor(&old_client);
    until("the first holds the lease", || old.monitor.report().fencing.is_some());
    old_client.cut();
    let (new, _new_token) = site.executor(&new_client);
    until("the second holds the lease", || new.monitor.report().fencing.is_some());
    assert_eq!(old.monitor.report().fencing, None);
    old.proposals.send(proposal("engine", role(Role::Decode))).unwrap();
    new.proposals.send(proposal("engine", role(Role::Prefill))).unwrap();
    until("the second's order is carried out", || {
        site.log.endings().contains(&(role(Role::Prefill), Ending::Done))
    });
    assert_eq!(engine.state().role, Role::Prefill);
    let opened = site.log.events().into_iter().filter(
        |event| matches!(event, Event::Opened(intent) if intent.action == role(Role::Decode)),
    );
    assert_eq!(opened.count(), 0);
    site.log.check_one_open();
}

#[parameterized(checked = { Fencing::Checked }, unchecked = { Fencing::Unchecked })]
fn a_successor_settles_what_was_open_before_anything_new(fencing: Fencing) {
    let site = Site::new();
    let engine = site.engine("engine", |options| {
        options.fencing = fencing;
        options.speed.change = Duration::from_secs(20);
    });
    let old_client = site.log.client(1);
    let (old, old_token) = site.executor(&old_client);
    old.proposals.send(proposal("engine", role(Role::Prefill))).unwrap();
    until("the change runs", || engine.state().phase == Phase::Changing);
    old_client.cut();
    old_token.cancel();
    old.thread.join().unwrap();
    let client = site.log.client(2);
    let (new, _token) = site.executor(&client);
    new.proposals.send(proposal("engine", role(Role::Decode))).unwrap();
    until("both ended", || site.log.endings().contains(&(role(Role::Decode), Ending::Done)));
    let roles: Vec<(Action, Ending)> = site
        .log
        .endings()
        .into_iter()
        .filter(|(action, _)| matches!(action, Action::Role { .. }))
        .collect();
    let done = |to| (role(to), Ending::Done);
    assert_eq!(roles, [done(Role::Prefill), done(Role::Decode)]);
    assert_eq!(engine.state().role, Role::Decode);
    site.log.check_one_open();
}

#[parameterized(checked = { Fencing::Checked }, unchecked = { Fencing::Unchecked })]
fn an_engine_that_dies_in_a_change_gets_no_second_order_while_one_is_open(fencing: Fencing) {
    let site = Site::new();
    let engine = site.engine("engine", |options| {
        options.fencing = fencing;
        options.crash_in_change = true;
    });
    let client = site.log.client(1);
    let (handle, _token) = site.executor(&client);
    handle.proposals.send(proposal("engine", role(Role::Prefill))).unwrap();
    until("the engine died", || engine.is_dead());
    handle.proposals.send(proposal("engine", role(Role::Decode))).unwrap();
    until("the second proposal waits", || handle.monitor.report().waiting == 1);
    let restarted = site.engine("engine", |options| options.fencing = fencing);
    until("the second change ended", || {
        site.log.endings().contains(&(role(Role::Decode), Ending::Done))
    });
    assert_eq!(restarted.state().role, Role::Decode);
    assert!(site.log.endings().contains(&(role(Role::Prefill), Ending::Failed)));
    site.log.check_one_open();
}

#[test]
fn an_engine_that_never_returns_takes_its_intent_with_it() {
    let site = Site::new();
    let engine = site.engine("engine", |options| options.crash_in_change = true);
    let client = site.log.client(1);
    let (handle, _token) = site.executor(&client);
    handle.proposals.send(proposal("engine", role(Role::Prefill))).unwrap();
    until("the engine died", || engine.is_dead());
    site.withdraw("engine");
    until("the intent is settled", || {
        site.log.endings().contains(&(role(Role::Prefill), Ending::Gone))
    });
}

#[parameterized(checked = { Fencing::Checked }, unchecked = { Fencing::Unchecked })]
fn a_restarted_engine_is_brought_back_to_its_intended_state(fencing: Fencing) {
    let site = Site::new();
    let engine = site.engine("engine", |options| options.fencing = fencing);
    let client = site.log.client(1);
    let (handle, _token) = site.executor(&client);
    site.log.want_drained(&["engine"]);
    until("it drains", || site.log.endings().contains(&(Action::Drain, Ending::Done)));
    engine.kill();
    let restarted = site.engine("engine", |options| options.fencing = fencing);
    until("it drains again", || restarted.state().phase == Phase::Draining);
    site.log.want_drained(&[]);
    until("it takes work again", || restarted.state().phase == Phase::Ready);
    drop(handle);
    site.log.check_one_open();
}

#[test]
fn loads_are_bounded_by_the_weight_store() {
    let site = Site::new();
    let load = Duration::from_millis(100);
    let store = site.runtime.block_on(Store::start(load, cancel::Token::new())).unwrap();
    let names: Vec<String> = (0..6).map(|number| format!("engine-{number}")).collect();
    let engines: Vec<Engine> = names
        .iter()
        .map(|name| site.engine(name, |options| options.weights = Some(store.address())))
        .collect();
    let client = site.log.client(1);
    let (handle, _token) = site.executor(&client);
    let action = Action::Load { model: String::from("large") };
    for name in &names {
        handle.proposals.send(proposal(name, action.clone())).unwrap();
    }
    until("all have loaded", || {
        engines.iter().all(|engine| engine.state().models.contains(&String::from("large")))
    });
    assert!(store.peak() <= 2, "{} loads at once", store.peak());
}

#[test]
fn a_graceful_end_gives_the_lease_back() {
    let site = Site::new();
    let old_client = site.log.client(1);
    let (old, token) = site.executor(&old_client);
    until("the first holds the lease", || old.monitor.report().fencing.is_some());
    token.cancel();
    old.thread.join().unwrap();
    assert!(site.log.is_free(), "the successor needn't wait");
    let (new, _token) = site.executor(&site.log.client(2));
    until("the second holds the lease", || new.monitor.report().fencing.is_some());
}
