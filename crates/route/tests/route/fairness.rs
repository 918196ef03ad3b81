//! Fair queueing among partners, services, classes and organisations, and preemption.

use common::clock::Moment;
use route::{
    request::{Action, Dispatch, Request},
    router::Router,
};
use settings::service::Priority;

use crate::support::{
    START, after, announcement, dispatches, drain, fill, finish, owner, request, router, settings,
};

/// Ends running requests one at a time until `count` others were sent, and returns those in order.
fn served(router: &mut Router, running: Vec<Dispatch>, count: usize, now: Moment) -> Vec<Dispatch> {
    let mut running = std::collections::VecDeque::from(running);
    let mut served = Vec::new();
    while served.len() < count {
        finish(router, &running.pop_front().unwrap(), now);
        for next in dispatches(router) {
            running.push_back(next.clone());
            served.push(next);
        }
    }
    served
}

#[test]
fn partners_share_by_weight_regardless_of_their_demand() {
    let mut router = router(&["a", "b"]);
    router.handle_announcement(&announcement("e", "a", 2), START);
    let running = fill(&mut router, "a", 2, START);
    let mut owners = std::collections::BTreeMap::new();
    for at in 0..110 {
        let partner = if at % 11 == 0 { "b" } else { "a" };
        owners.insert(router.submit(request(partner), START).unwrap(), partner);
    }
    let order = served(&mut router, running, 20, after(1));
    let b_served = order.iter().filter(|dispatch| owners[&dispatch.ticket] == "b").count();
    assert_eq!(b_served, 10, "half of the dispatches while both wait");
}

#[test]
fn organisations_of_a_partner_take_turns() {
    let mut router = router(&["a"]);
    router.handle_announcement(&announcement("e", "a", 1), START);
    let running = fill(&mut router, "a", 1, START);
    for _ in 0..50 {
        router.submit(Request { organisation: 7, ..request("a") }, START).unwrap();
    }
    let small = router.submit(Request { organisation: 8, ..request("a") }, START).unwrap();
    let order = served(&mut router, running, 3, after(1));
    assert!(order.iter().any(|dispatch| dispatch.ticket == small));
}

#[test]
fn interactive_requests_go_first_but_batch_requests_do_not_starve() {
    let mut router = router(&["a"]);
    router.handle_announcement(&announcement("e", "a", 1), START);
    let running = fill(&mut router, "a", 1, START);
    let mut batches = Vec::new();
    for _ in 0..40 {
        let batch = Request { priority: Priority::Batch, ..request("a") };
        batches.push(router.submit(batch, START).unwrap());
        let person = Request { priority: Priority::Interactive, ..request("a") };
        router.submit(person, START).unwrap();
    }
    let order = served(&mut router, running, 32, after(1));
    let batches_served = order.iter().filter(|dispatch| batches.contains(&dispatch.ticket)).count();
    assert_eq!(batches_served, 2);
}

#[test]
fn earlier_deadlines_go_first() {
    let mut router = router(&["a"]);
    router.handle_announcement(&announcement("e", "a", 1), START);
    let running = fill(&mut router, "a", 1, START);
    router.submit(request("a"), START).unwrap();
    let urgent = Request { deadline: after(30_000), ..request("a") };
    let urgent = router.submit(urgent, START).unwrap();
    let order = served(&mut router, running, 1, after(1));
    assert_eq!(order[0].ticket, urgent);
}

#[test]
fn preemption_restores_a_guaranteed_share_within_a_second() {
    let mut router = router(&["a", "b"]);
    router.handle_announcement(&announcement("e", "a", 4), START);
    fill(&mut router, "a", 4, START);
    let first = router.submit(request("b"), after(10)).unwrap();
    let second = router.submit(request("b"), after(10)).unwrap();
    let third = router.submit(request("b"), after(10)).unwrap();
    let mut sent = Vec::new();
    let mut preempted = 0;
    for tick in 1..40 {
        router.tick(after(10 + tick * 20));
        for action in drain(&mut router) {
            match action {
                Action::Dispatch(dispatch) => sent.push(dispatch.ticket),
                Action::Preempt { .. } => preempted += 1,
                other => panic!("{other:?}"),
            }
        }
    }
    assert_eq!((sent, preempted), (vec![first, second], 2), "half of the slots and no more");
    assert!(router.totals().waiting == 3, "the preempted requests wait, and so does {third:?}");
}

#[test]
fn services_of_a_partner_share_by_weight() {
    let mut router = router(&["a"]);
    let mut small = settings(&[]);
    small.admission.share = 50;
    router.configure(&owner("a", "small"), small);
    router.handle_announcement(&announcement("e", "a", 1), START);
    let running = fill(&mut router, "a", 1, START);
    let mut small_requests = Vec::new();
    for _ in 0..30 {
        router.submit(request("a"), START).unwrap();
        let other = Request { service: "small".into(), ..request("a") };
        small_requests.push(router.submit(other, START).unwrap());
    }
    let order = served(&mut router, running, 30, after(1));
    let count = order.iter().filter(|dispatch| small_requests.contains(&dispatch.ticket)).count();
    assert!((9..=11).contains(&count), "{count} of 30");
}
