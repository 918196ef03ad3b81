//! Tests the order of a dissolution's steps, which is derived from the branches' summaries (phase and versions).

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use control::{
    command::Command,
    declaration::{self, Author},
    dissolution::{Phase, Step},
    query::{Answer, Query, Summary},
    state::State,
};
use daisyctl::command::dissolve::plan::{self, Next};
use settings::{delta::Delta, tree::Venture};

const PLAN: &str = "end";

/// The venture at version 1 and two partners that have not adopted its defaults yet.
fn branches() -> Vec<State> {
    let mut states: Vec<State> =
        ["venture", "a", "b"].into_iter().map(|name| State::new(name.into())).collect();
    let venture = Venture { name: "v".into(), ..Venture::default() };
    let delta = Delta { venture: Some(venture), ..Delta::default() };
    declare(&mut states[0], declaration::Change::Apply(delta));
    states
}

fn declare(state: &mut State, change: declaration::Change) {
    let base = state.declarations().version();
    let request = declaration::Request { author: Author::default(), base, change };
    state.apply(1, &Command::Declare(request));
}

fn adopt(state: &mut State) {
    let venture = Venture { name: "v".into(), ..Venture::default() };
    declare(state, declaration::Change::Adopt { venture_version: 1, venture });
}

fn summaries(states: &[State]) -> Vec<Summary> {
    let summary = |state: &State| match state.query(&Query::Summary) {
        Answer::Summary(summary) => summary,
        other => panic!("{other:?}"),
    };
    states.iter().map(summary).collect()
}

fn apply_step(states: &mut [State], next: &Next) {
    let Next::Step(branch, action) = next else { panic!("{next:?}") };
    let state = states.iter_mut().find(|state| state.branch() == branch).unwrap();
    let step = Step { author: Author::default(), plan: PLAN.into(), action: action.clone() };
    state.apply(2, &Command::Dissolve(step));
}

#[test]
fn a_partner_is_frozen_only_after_it_has_adopted_the_ventures_last_defaults() {
    let mut states = branches();
    let first = plan::next(PLAN, &summaries(&states)).unwrap();
    apply_step(&mut states, &first);
    assert_eq!(plan::next(PLAN, &summaries(&states)), Ok(Next::Wait("a".into())));
    adopt(&mut states[1]);
    assert!(matches!(plan::next(PLAN, &summaries(&states)), Ok(Next::Step(..))));
}

#[test]
fn steps_end_and_no_partner_is_detached_before_all_partners_are_written_out() {
    let mut states = branches();
    states[1..].iter_mut().for_each(adopt);
    let mut applied = Vec::new();
    loop {
        let before = summaries(&states);
        let next = plan::next(PLAN, &before).unwrap();
        let Next::Step(branch, action) = &next else {
            assert_eq!(next, Next::Done);
            break;
        };
        let name = format!("{action:?}").split([' ', '{']).next().unwrap().to_owned();
        applied.push(format!("{branch} {name}"));
        apply_step(&mut states, &next);
    }
    let expected = [
        "venture Freeze",
        "a Freeze",
        "b Freeze",
        "a WriteOut",
        "b WriteOut",
        "a Detach",
        "b Detach",
        "venture Close",
    ];
    assert_eq!(applied, expected);
}

#[test]
fn another_dissolution_in_progress_is_a_conflict() {
    let mut states = branches();
    let next = plan::next(PLAN, &summaries(&states)).unwrap();
    apply_step(&mut states, &next);
    let conflict = plan::next("other", &summaries(&states)).unwrap_err();
    assert_eq!(conflict.phase, Phase::Frozen { plan: PLAN.into() });
    assert_eq!(conflict.to_string(), "branch `venture` is frozen by end");
}
