//! Retry decisions and budgets, the prefix index, and the decision on disaggregation, each without a router.

use common::{clock::Moment, random::Random};
use route::{
    disaggregation, prefix,
    request::{Event, Retry, Target},
    retry,
};
use settings::service;
use slotmap::SlotMap;
use wire::target::{self, Change};
use yare::parameterized;

const NOW: Moment = Moment(1_000);

#[parameterized(
    repeatable = { Event::Broken, Retry::Allowed, 1, 60_000, true },
    not_repeatable_sent = { Event::Broken, Retry::Never, 1, 60_000, false },
    not_repeatable_unsent = { Event::Unsent, Retry::Never, 1, 60_000, true },
    not_repeatable_refused = { Event::Full, Retry::Never, 1, 60_000, true },
    attempts_exhausted = { Event::Broken, Retry::Allowed, 3, 60_000, false },
    refusals_do_not_count_as_attempts = { Event::Full, Retry::Allowed, 5, 60_000, true },
    too_close_to_the_deadline = { Event::Broken, Retry::Allowed, 1, 1_060, false },
)]
fn retry_decision(event: Event, retry: Retry, attempts: u32, deadline: u64, retried: bool) {
    let deadline = Moment(deadline);
    let failure = retry::Failure { event, retry, attempts, begun: false, deadline };
    let settings = service::Retry::default();
    let mut budget = retry::Budget::default();
    let decision = retry::decide(&failure, &settings, &mut budget, &mut Random::new(1), NOW);
    assert_eq!(matches!(decision, retry::Decision::Retry(_)), retried);
}

#[test]
fn retries_stay_a_bounded_share_of_first_attempts() {
    let settings = service::Retry { budget_percent: 20, ..service::Retry::default() };
    let mut budget = retry::Budget::default();
    let retries = (0..1_000).filter(|_| {
        budget.deposit(&settings);
        budget.withdraw().is_ok()
    });
    assert_eq!(retries.count(), 205);
}

fn targets() -> [Target; 2] {
    let mut keys = SlotMap::<Target, ()>::with_key();
    [keys.insert(()), keys.insert(())]
}

fn event(number: u64, piece: u64, change: Change) -> target::Event {
    target::Event { number, piece, change }
}

#[test]
fn the_longest_prefix_is_found_and_evictions_are_applied() {
    let [one, two] = targets();
    let mut index = prefix::Index::default();
    index.record_dispatch(one, &[1, 2, 3], NOW);
    index.record_dispatch(two, &[1], NOW);
    let best = index.longest_matches(&[1, 2, 3, 4], NOW).next().unwrap();
    assert_eq!((best.target, best.pieces), (one, 3));
    for (number, piece) in [(1, 3), (2, 2), (3, 1)] {
        index.apply_event(one, &event(number, piece, Change::Removed), NOW);
    }
    let best = index.longest_matches(&[1, 2, 3, 4], NOW).next().unwrap();
    assert_eq!((best.target, best.pieces), (two, 1));
}

#[test]
fn a_late_removal_does_not_undo_a_newer_store() {
    let [one, _] = targets();
    let mut index = prefix::Index::default();
    index.apply_event(one, &event(1, 9, Change::Stored), NOW);
    index.apply_event(one, &event(3, 9, Change::Stored), NOW);
    index.apply_event(one, &event(2, 9, Change::Removed), NOW);
    assert_eq!(index.longest_matches(&[9], NOW).count(), 1);
    assert!(index.expected_pieces(one, &[9], NOW) > 0.99, "the gap was filled");
}

#[test]
fn confidence_falls_with_age_and_with_each_missed_event() {
    let [one, _] = targets();
    let mut index = prefix::Index::default();
    index.apply_event(one, &event(1, 9, Change::Stored), NOW);
    let initial = index.expected_pieces(one, &[9], NOW);
    let aged = index.expected_pieces(one, &[9], Moment(121_000));
    index.apply_event(one, &event(31, 8, Change::Stored), NOW);
    let gapped = index.expected_pieces(one, &[9], NOW);
    assert!(aged < 0.51 * initial && gapped < 0.6 * initial, "{initial} {aged} {gapped}");
    assert!(
        index.expected_pieces(one, &[8], NOW) > 0.99,
        "a missed event does not affect later entries"
    );
}

#[parameterized(
    cached_here = { 500, 50_000, 8_000, disaggregation::Plan::Local },
    long_and_queued_here = { 8_000, 20_000, 8_000, disaggregation::Plan::Disaggregated },
    nothing_queued = { 8_000, 0, 8_000, disaggregation::Plan::Local },
)]
fn disaggregation_decision(tokens: u64, queued: u64, prompt: u64, plan: disaggregation::Plan) {
    let local = disaggregation::Compute { tokens, queued_tokens: queued, ms_per_token: 0.05 };
    let remote = disaggregation::Compute { tokens: prompt, queued_tokens: 0, ms_per_token: 0.05 };
    let decided =
        disaggregation::decide(&local, &remote, prompt, &disaggregation::Transfer::default());
    assert_eq!(decided, plan);
}
