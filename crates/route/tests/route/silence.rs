//! Silent attempts: which attempt goes on, when a request ends, and where new requests go.

use common::{clock::Moment, random::Random};
use route::{
    request::{Action, Dispatch, Event, Execution, Request, Retry},
    router::Router,
};

use crate::support::{
    START, after, announcement, dispatches, drain, finish, request, router, send,
};

/// Longer than the pause before a retry.
const PAUSE_MS: u64 = 100;

fn fleet(names: &[&str], slots: u32) -> Router {
    let mut router = router(&["a"]);
    for name in names {
        router.handle_announcement(&announcement(name, "a", slots), START);
    }
    router
}

fn report(router: &mut Router, attempt: &Dispatch, event: Event, now: Moment) {
    router.report(attempt.ticket, attempt.attempt, event, now);
}

/// Reports an attempt as silent and returns the attempt that is tried beside it.
fn silence(router: &mut Router, attempt: &Dispatch, at: u64) -> Dispatch {
    report(router, attempt, Event::Silent, after(at));
    router.tick(after(at + PAUSE_MS));
    dispatches(router).pop().expect("another attempt is made")
}

fn outstanding(router: &Router) -> Vec<String> {
    let mut names: Vec<String> =
        router.outstanding().map(|outstanding| outstanding.target.0).collect();
    names.sort_unstable();
    names
}

#[test]
fn a_silent_attempt_that_resumes_goes_on_and_the_other_ends() {
    let mut router = fleet(&["one", "two"], 4);
    let first = send(&mut router, request("a"), START);
    report(&mut router, &first, Event::Started, after(1));
    let second = silence(&mut router, &first, 1_000);
    assert_ne!(first.target, second.target);
    report(&mut router, &first, Event::Resumed, after(1_300));
    assert_eq!(outstanding(&router), [first.target.to_string()]);
    finish(&mut router, &second, after(1_301));
    assert_eq!(router.totals().running, 1, "reports on the cancelled attempt are ignored");
    finish(&mut router, &first, after(1_400));
    assert_eq!((router.totals().running, outstanding(&router)), (0, Vec::new()));
}

#[test]
fn a_silent_attempt_ends_once_another_makes_progress() {
    let mut router = fleet(&["one", "two"], 4);
    let first = send(&mut router, request("a"), START);
    let second = silence(&mut router, &first, 1_000);
    report(&mut router, &second, Event::Started, after(1_200));
    report(&mut router, &first, Event::Broken, after(1_201));
    report(&mut router, &first, Event::Resumed, after(1_202));
    assert_eq!(outstanding(&router), [second.target.to_string()]);
    report(&mut router, &second, Event::Broken, after(1_300));
    router.tick(after(1_300 + PAUSE_MS));
    assert_eq!(dispatches(&mut router).len(), 1, "the stream is resumed");
}

#[yare::parameterized(
    full = { Event::Full }, unavailable = { Event::Unavailable },
    unsent = { Event::Unsent }, broken = { Event::Broken },
)]
fn a_silent_attempt_is_waited_for_whatever_the_others_do(event: Event) {
    let mut router = fleet(&["one", "two"], 4);
    let first = send(&mut router, request("a"), START);
    report(&mut router, &first, Event::Silent, after(1_000));
    let mut now = 1_000;
    while now < 60_000 {
        now += PAUSE_MS;
        router.tick(after(now));
        for action in drain(&mut router) {
            let Action::Dispatch(other) = action else {
                panic!("the request ended: {action:?}");
            };
            report(&mut router, &other, event, after(now));
        }
    }
    finish(&mut router, &first, after(now));
    assert_eq!(drain(&mut router), []);
    assert_eq!((router.totals().waiting, outstanding(&router)), (0, Vec::new()));
}

#[test]
fn a_request_ends_once_its_last_silent_attempt_fails_and_no_retry_is_left() {
    let mut router = fleet(&["one", "two", "three"], 4);
    let first = send(&mut router, request("a"), START);
    let second = silence(&mut router, &first, 1_000);
    let third = silence(&mut router, &second, 2_000);
    report(&mut router, &third, Event::Silent, after(3_000));
    router.tick(after(3_000 + PAUSE_MS));
    assert_eq!(drain(&mut router), [], "no more than max_attempts");
    for attempt in [&second, &third] {
        report(&mut router, attempt, Event::Broken, after(4_000));
        assert_eq!(drain(&mut router), []);
    }
    report(&mut router, &first, Event::Broken, after(5_000));
    let ended = Action::Fail { ticket: first.ticket, execution: Execution::MayHaveRun };
    assert_eq!(drain(&mut router), [ended]);
}

#[test]
fn a_call_that_may_not_be_repeated_waits_for_its_silent_attempt() {
    let mut router = fleet(&["one", "two"], 4);
    let once = Request { retry: Retry::Never, ..request("a") };
    let sent = send(&mut router, once, START);
    report(&mut router, &sent, Event::Silent, after(1_000));
    for second in 1..100 {
        router.tick(after(1_000 * second));
        assert_eq!(drain(&mut router), []);
    }
    finish(&mut router, &sent, after(100_000));
    assert_eq!((drain(&mut router), router.totals().waiting), (Vec::new(), 0));
}

#[test]
fn a_silent_connection_to_the_only_target_is_replaced_although_its_slots_were_in_use() {
    let mut router = fleet(&["one"], 1);
    let first = send(&mut router, request("a"), START);
    let second = silence(&mut router, &first, 1_000);
    assert_eq!(first.target, second.target);
    finish(&mut router, &second, after(1_200));
    assert_eq!((router.totals().waiting, outstanding(&router)), (0, Vec::new()));
}

#[test]
fn silent_targets_are_the_last_choice_but_none_is_ejected_and_no_request_is_refused() {
    let names = ["one", "two", "three", "four"];
    let mut router = fleet(&names, 16);
    let sent: Vec<Dispatch> = (0..24).map(|_| send(&mut router, request("a"), after(1))).collect();
    for attempt in sent.iter().filter(|attempt| attempt.target.0 != "four") {
        report(&mut router, attempt, Event::Silent, after(1_000));
    }
    assert!(names.iter().all(|name| !router.is_ejected(&(*name).into())));
    for _ in 0..4 {
        assert_eq!(send(&mut router, request("a"), after(1_001)).target.0, "four");
    }
    for attempt in sent.iter().filter(|attempt| attempt.target.0 == "four") {
        report(&mut router, attempt, Event::Silent, after(1_002));
    }
    assert!(names.iter().all(|name| !router.is_ejected(&(*name).into())));
    send(&mut router, request("a"), after(1_003));
}

#[test]
fn a_target_that_resumes_is_chosen_again_at_once() {
    let mut router = fleet(&["one", "two"], 16);
    let first = send(&mut router, request("a"), START);
    report(&mut router, &first, Event::Started, after(1));
    let other = silence(&mut router, &first, 1_000);
    assert_eq!(send(&mut router, request("a"), after(1_200)).target, other.target);
    report(&mut router, &first, Event::Resumed, after(1_300));
    let chosen: Vec<Dispatch> =
        (0..4).map(|_| send(&mut router, request("a"), after(1_301))).collect();
    assert!(chosen.iter().any(|attempt| attempt.target == first.target));
}

#[test]
fn late_first_tokens_after_a_silence_do_not_eject_a_target_as_slow() {
    let mut router = fleet(&["one", "two"], 16);
    for _ in 0..20 {
        let sent = send(&mut router, request("a"), after(1));
        report(&mut router, &sent, Event::Started, after(20));
        finish(&mut router, &sent, after(20));
    }
    let sent: Vec<Dispatch> =
        (0..16).map(|_| send(&mut router, request("a"), after(100))).collect();
    for attempt in sent.iter().filter(|attempt| attempt.target.0 == "one") {
        report(&mut router, attempt, Event::Silent, after(1_100));
        report(&mut router, attempt, Event::Started, after(1_500));
    }
    assert!(!router.is_ejected(&"one".into()));
}

/// An attempt of the simulated fleet; the driver's rules decide which of a request's attempts still run.
#[derive(Clone)]
struct Run {
    dispatch: Dispatch,
    silent: bool,
}

#[test]
fn no_request_is_lost_ended_twice_or_left_with_a_slot_whatever_its_attempts_do() {
    for seed in 0..300 {
        let mut random = Random::new(seed);
        let mut router = fleet(&["one", "two", "three"], 2);
        let mut runs: Vec<Run> = Vec::new();
        let (mut admitted, mut ended) = (0, 0);
        for step in 0..400 {
            let now = after(step * 40);
            if step < 200 && random.below(4) == 0 && router.submit(request("a"), now).is_ok() {
                admitted += 1;
            }
            router.tick(now);
            for action in drain(&mut router) {
                match action {
                    Action::Dispatch(dispatch) => runs.push(Run { dispatch, silent: false }),
                    Action::Refuse { ticket, .. } | Action::Fail { ticket, .. } => {
                        ended += 1;
                        let running = runs.iter().any(|run| run.dispatch.ticket == ticket);
                        assert!(!running, "seed {seed}: ended while an attempt runs");
                    }
                    Action::Preempt { .. } => unreachable!("one service"),
                }
            }
            let running = runs.iter().filter(|run| !run.silent).count();
            assert_eq!(router.totals().running, running, "seed {seed}");
            if !runs.is_empty() {
                let at = random.below(runs.len());
                ended += advance(&mut router, &mut runs, at, step, now, &mut random);
            }
        }
        assert_eq!((ended, runs.len()), (admitted, 0), "seed {seed}");
        assert_eq!((router.totals().waiting, outstanding(&router)), (0, Vec::new()), "seed {seed}");
    }
}

/// Lets one attempt silently wait, progress, end or fail; returns 1 if the request's answer is complete.
fn advance(
    router: &mut Router,
    runs: &mut Vec<Run>,
    at: usize,
    step: u64,
    now: Moment,
    random: &mut Random,
) -> usize {
    let Run { dispatch, silent } = runs[at].clone();
    let fails = [Event::Full, Event::Unsent, Event::Broken];
    match random.below(if step < 250 { 4 } else { 1 }) {
        0 => {
            report(router, &dispatch, Event::Finished, now);
            runs.retain(|run| run.dispatch.ticket != dispatch.ticket);
            return 1;
        }
        1 => {
            let event = if silent { Event::Resumed } else { Event::Started };
            report(router, &dispatch, event, now);
            runs.retain(|run| run.dispatch.ticket != dispatch.ticket);
            runs.push(Run { dispatch, silent: false });
        }
        2 => {
            report(router, &dispatch, Event::Silent, now);
            runs[at].silent = true;
        }
        _ => {
            runs.remove(at);
            report(router, &dispatch, fails[random.below(fails.len())], now);
        }
    }
    0
}
