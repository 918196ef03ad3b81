//! Choice of a target: load, health, prefix caches, other data centres, model versions and disaggregation.

use std::time::Duration;

use common::{name, role::Role};
use route::{
    disaggregation,
    request::{Action, Event, Execution, Origin, Reason, Request, Retry},
    router::{Router, Setup},
    target,
};
use settings::service::Model;
use wire::target::{Announcement, Load, Phase};

use crate::support::{
    START, after, announcement, dispatches, drain, finish, owner, request, router, send, settings,
};

fn two_targets() -> Router {
    let mut router = router(&["a"]);
    router.handle_announcement(&announcement("one", "a", 4), START);
    router.handle_announcement(&announcement("two", "a", 4), START);
    router
}

fn name(dispatch: &route::request::Dispatch) -> &str {
    &dispatch.target.0
}

#[test]
fn own_dispatches_correct_a_stale_report() {
    let mut router = two_targets();
    let counts = (0..6).map(|_| send(&mut router, request("a"), after(1)));
    let sent_to_one = counts.filter(|dispatch| name(dispatch) == "one").count();
    assert_eq!(sent_to_one, 3, "reports still say that both are idle");
    let stale = Announcement {
        load: Load { age_ms: 5_000, ..Load::default() },
        ..announcement("one", "a", 4)
    };
    router.handle_announcement(&stale, after(2));
    assert_eq!(router.load_of(&"one".into(), after(2)), Some(3));
}

#[test]
fn dispatches_of_other_instances_correct_a_report() {
    let mut router = two_targets();
    router.set_peer_outstanding(&"one".into(), 3, START);
    for _ in 0..3 {
        assert_eq!(name(&send(&mut router, request("a"), after(1))), "two");
    }
}

#[test]
fn a_target_that_refused_as_full_gets_no_requests_for_a_time() {
    let mut router = two_targets();
    let first = send(&mut router, request("a"), START);
    router.report(first.ticket, first.attempt, Event::Full, after(1));
    router.tick(after(60));
    let second = dispatches(&mut router).pop().unwrap();
    assert_ne!(first.target, second.target);
    for _ in 0..3 {
        assert_eq!(send(&mut router, request("a"), after(61)).target, second.target);
    }
}

#[test]
fn a_leaving_target_gets_no_new_requests() {
    let mut router = two_targets();
    let leaving = Announcement { phase: Phase::Leaving, ..announcement("one", "a", 4) };
    router.handle_announcement(&leaving, after(1));
    for _ in 0..4 {
        assert_eq!(name(&send(&mut router, request("a"), after(2))), "two");
    }
    router.submit(request("a"), after(2)).unwrap();
    assert_eq!(dispatches(&mut router), Vec::new());
}

#[test]
fn at_most_half_of_the_targets_are_ejected_and_probed_one_request_at_a_time() {
    let mut router = router(&["a"]);
    for target in ["one", "two", "three", "four"] {
        router.handle_announcement(&announcement(target, "a", 100), START);
    }
    let all: Vec<name::Target> = ["one", "two", "three", "four"].map(name::Target::from).into();
    for at in 0..60 {
        let sent = send(&mut router, request("a"), after(at));
        router.report(sent.ticket, sent.attempt, Event::Unsent, after(at));
        router.cancel(sent.ticket, after(at));
        drain(&mut router);
    }
    let ejected: Vec<_> = all.iter().filter(|name| router.is_ejected(name)).collect();
    assert_eq!(ejected.len(), 2, "at most half are ejected");
    let out = ejected[0].clone();
    router.tick(after(10_000));
    assert!(!router.is_ejected(&out));
    let mut probed = 0;
    for _ in 0..40 {
        let sent = send(&mut router, request("a"), after(10_000));
        probed += usize::from(sent.target == out);
    }
    assert_eq!(probed, 1, "one probe at a time");
}

#[test]
fn calls_that_may_not_be_repeated_avoid_probed_targets() {
    let mut router = router(&["a"]);
    for target in ["one", "two"] {
        router.handle_announcement(&announcement(target, "a", 100), START);
    }
    for at in 0..20 {
        let sent = send(&mut router, request("a"), after(at));
        let event = if name(&sent) == "one" { Event::Unsent } else { Event::Finished };
        router.report(sent.ticket, sent.attempt, event, after(at));
        router.cancel(sent.ticket, after(at));
        drain(&mut router);
    }
    router.tick(after(5_000));
    for _ in 0..20 {
        let once = Request { retry: Retry::Never, ..request("a") };
        assert_eq!(name(&send(&mut router, once, after(5_000))), "two");
    }
    router.remove_target(&name::Target::from("two"));
    drain(&mut router);
    let once = Request { retry: Retry::Never, ..request("a") };
    let sent = send(&mut router, once, after(5_000));
    assert_eq!(
        name(&sent),
        "one",
        "the last target is probed even by a call that may not be repeated"
    );
    router.report(sent.ticket, sent.attempt, Event::Finished, after(5_010));
    for _ in 0..20 {
        let once = Request { retry: Retry::Never, ..request("a") };
        assert_eq!(name(&send(&mut router, once, after(5_020))), "one", "it is active again");
    }
}

#[test]
fn a_call_that_may_not_be_repeated_is_sent_again_only_if_no_byte_was_sent() {
    let mut router = two_targets();
    let once = Request { retry: Retry::Never, ..request("a") };
    let sent = send(&mut router, once.clone(), START);
    router.report(sent.ticket, sent.attempt, Event::Broken, after(1));
    let ended = Action::Fail { ticket: sent.ticket, execution: Execution::MayHaveRun };
    assert_eq!(drain(&mut router), [ended]);
    let unsent = send(&mut router, once, START);
    router.report(unsent.ticket, unsent.attempt, Event::Unsent, after(1));
    router.tick(after(100));
    assert_eq!(
        dispatches(&mut router).len(),
        1,
        "no byte was sent, so it is sent to another target"
    );
}

#[test]
fn a_retry_prefers_targets_that_have_not_failed_the_request() {
    let mut router = router(&["a"]);
    for target in ["one", "two", "three"] {
        router.handle_announcement(&announcement(target, "a", 4), START);
    }
    let first = send(&mut router, request("a"), START);
    router.report(first.ticket, first.attempt, Event::Broken, after(1));
    router.tick(after(100));
    let second = dispatches(&mut router).pop().unwrap();
    router.report(second.ticket, second.attempt, Event::Broken, after(101));
    router.tick(after(300));
    let third = dispatches(&mut router).pop().unwrap();
    let mut tried = [name(&first), name(&second), name(&third)];
    tried.sort_unstable();
    assert_eq!(tried, ["one", "three", "two"]);
}

#[test]
fn late_reports_on_an_earlier_attempt_are_ignored() {
    let mut router = two_targets();
    let first = send(&mut router, request("a"), START);
    router.report(first.ticket, first.attempt, Event::Broken, after(1));
    router.tick(after(100));
    let second = dispatches(&mut router).pop().unwrap();
    assert_ne!(first.attempt, second.attempt);
    finish(&mut router, &first, after(101));
    assert_eq!(router.totals().running, 1);
    finish(&mut router, &second, after(102));
    assert_eq!(router.totals().running, 0);
}

#[test]
fn a_target_with_the_prefix_cached_is_preferred_until_it_is_loaded() {
    let mut router = router(&["a"]);
    for target in ["one", "two", "three", "four", "five", "six"] {
        router.handle_announcement(&announcement(target, "a", 8), START);
    }
    let long = Request { prompt_tokens: 6_100, pieces: vec![1, 2, 3], ..request("a") };
    let first = send(&mut router, long.clone(), START);
    router.report(first.ticket, first.attempt, Event::Started, after(300));
    for _ in 0..3 {
        let next = send(&mut router, long.clone(), after(301));
        assert_eq!(next.target, first.target);
    }
    let sent: Vec<_> = (0..8).map(|_| send(&mut router, long.clone(), after(302))).collect();
    assert!(sent.iter().any(|dispatch| dispatch.target != first.target));
}

#[test]
fn another_data_centre_gets_requests_only_when_no_local_target_is_free() {
    let mut router = router(&["a"]);
    let local = announcement("near", "a", 1);
    let mut remote = target::Description::from_announcement(&announcement("far", "a", 10));
    remote.distance = Duration::from_millis(3);
    router.upsert_target(remote, &Load::default(), START);
    router.handle_announcement(&local, START);
    let first = send(&mut router, request("a"), after(1));
    assert_eq!((name(&first), first.relay), ("near", false));
    let second = send(&mut router, request("a"), after(1));
    assert_eq!((name(&second), second.relay), ("far", true));
    let relayed = Request { origin: Origin::Instance, ..request("a") };
    router.submit(relayed, after(1)).unwrap();
    assert_eq!(dispatches(&mut router), Vec::new(), "not relayed a second time");
}

#[test]
fn model_versions_share_requests_by_weight_in_both_directions() {
    let mut router = router(&["a"]);
    let both = Announcement {
        models: vec![String::from("m-1"), String::from("m-2")],
        ..announcement("e", "a", 10_000)
    };
    router.handle_announcement(&both, START);
    let mut count_second = |first: u32, second: u32| {
        let model = |version: &str, weight| Model {
            name: String::from("m"),
            version: Some(String::from(version)),
            weight,
        };
        let mut shifted = settings(&[]);
        shifted.models = vec![model("m-1", first), model("m-2", second)];
        router.configure(&owner("a", "llm"), shifted);
        let sent = (0..200).map(|_| {
            let sent = send(&mut router, request("a"), after(1));
            finish(&mut router, &sent, after(1));
            sent
        });
        sent.filter(|dispatch| dispatch.model.as_deref() == Some("m-2")).count()
    };
    assert_eq!(count_second(100, 0), 0);
    let sent_to_second = count_second(90, 10);
    assert!((5..50).contains(&sent_to_second), "{sent_to_second} of 200");
    assert_eq!(count_second(0, 100), 200);
    assert_eq!(count_second(100, 0), 0);
}

#[test]
fn a_long_prompt_is_disaggregated_and_a_short_one_is_not() {
    let setup = Setup {
        transfer: disaggregation::Transfer {
            bytes_per_second: 1.0e11,
            ..disaggregation::Transfer::default()
        },
        ..Setup::default()
    };
    let mut router = Router::new(setup);
    router.configure(&owner("a", "llm"), settings(&[]));
    let prefill = Announcement { role: Role::Prefill, ..announcement("p", "a", 8) };
    let busy = Announcement {
        role: Role::Decode,
        load: Load { queued_prompt_tokens: 3_000, ..Load::default() },
        ..announcement("d", "a", 8)
    };
    router.handle_announcement(&prefill, START);
    router.handle_announcement(&busy, START);
    let long = Request { prompt_tokens: 8_000, ..request("a") };
    let disaggregated = send(&mut router, long, START);
    assert_eq!(name(&disaggregated), "d");
    assert_eq!(disaggregated.prefill.unwrap().target.0, "p");
    assert_eq!(send(&mut router, request("a"), START).prefill, None);
}

#[test]
fn a_relayed_request_is_refused_if_only_other_data_centres_serve_it() {
    let mut router = router(&["a"]);
    let remote = target::Description {
        distance: Duration::from_millis(50),
        ..target::Description::from_announcement(&announcement("nadi", "a", 10))
    };
    router.upsert_target(remote, &Load::default(), START);
    assert!(send(&mut router, request("a"), START).relay);
    let relayed = Request { origin: Origin::Instance, ..request("a") };
    let refusal = router.submit(relayed, START).unwrap_err();
    assert_eq!(refusal.reason, Reason::NoTarget);
}
