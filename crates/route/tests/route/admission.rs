//! Admission control: queue limits, early refusal, expiry and cancellation.

use std::time::Duration;

use route::request::{Reason, Request};

use crate::support::{
    START, after, announcement, drain, fill, finish, owner, refusals, request, router, send,
    settings,
};

#[test]
fn a_request_without_any_target_is_refused_at_once() {
    let refusal = router(&["a"]).submit(request("a"), START).unwrap_err();
    assert_eq!(refusal.reason, Reason::NoTarget);
    assert_eq!(refusal.status(), 503);
    assert!(refusal.retry_after >= Duration::from_secs(1));
}

#[test]
fn a_request_that_arrives_before_the_settings_of_its_service_may_be_repeated() {
    let refusal = router(&["a"]).submit(request("b"), START).unwrap_err();
    assert_eq!(refusal.reason, Reason::UnknownService);
    assert_eq!(refusal.status(), 503);
    assert!(refusal.retry_after >= Duration::from_secs(1));
}

#[test]
fn the_queue_is_bounded_by_requests_and_by_tokens() {
    let mut router = router(&["a"]);
    let mut bounded = settings(&["a"]);
    bounded.admission.queue_requests = 2;
    bounded.admission.queue_tokens = 1_000;
    router.configure(&owner("a", "llm"), bounded);
    router.handle_announcement(&announcement("e", "a", 1), START);
    fill(&mut router, "a", 1, START);
    let large = Request { prompt_tokens: 2_000, ..request("a") };
    assert_eq!(router.submit(large, START).unwrap_err().reason, Reason::QueueFull);
    router.submit(request("a"), START).unwrap();
    router.submit(Request { organisation: 2, ..request("a") }, START).unwrap();
    let refusal = router.submit(request("a"), START).unwrap_err();
    assert_eq!(refusal.reason, Reason::QueueFull);
    assert_eq!(refusal.status(), 429);
}

#[test]
fn a_request_that_cannot_be_answered_in_time_is_refused_on_arrival() {
    let mut router = router(&["a"]);
    router.handle_announcement(&announcement("e", "a", 1), START);
    let mut running = send(&mut router, request("a"), START);
    for _ in 0..100 {
        router.submit(request("a"), START).unwrap();
    }
    for tenth in 1..8 {
        finish(&mut router, &running, after(tenth * 100));
        running = crate::support::dispatches(&mut router).pop().unwrap();
    }
    let refusal = router.submit(request("a"), after(700)).unwrap_err();
    assert_eq!(refusal.reason, Reason::TooLate);
    assert!(refusal.retry_after > Duration::from_secs(8), "{refusal:?}");
}

#[test]
fn a_request_is_refused_when_its_queue_deadline_passes() {
    let mut router = router(&["a"]);
    router.handle_announcement(&announcement("e", "a", 1), START);
    fill(&mut router, "a", 1, START);
    let short = Request { deadline: after(500), ..request("a") };
    let ticket = router.submit(short, START).unwrap();
    let due = router.next_timer().unwrap();
    assert!(due <= after(500), "refused before the request's deadline");
    router.tick(due);
    let refused = refusals(drain(&mut router));
    assert_eq!(refused.len(), 1);
    assert_eq!((refused[0].0, refused[0].1.reason), (ticket, Reason::TooLate));
}

#[test]
fn cancelling_a_request_frees_its_queue_place_or_its_slot() {
    let mut router = router(&["a"]);
    router.handle_announcement(&announcement("e", "a", 1), START);
    let running = send(&mut router, request("a"), START);
    let waiting = router.submit(request("a"), START).unwrap();
    router.cancel(waiting, after(1));
    assert_eq!(router.totals().waiting, 0);
    router.cancel(running.ticket, after(2));
    assert_eq!(router.totals().running, 0);
    send(&mut router, request("a"), after(3));
}
