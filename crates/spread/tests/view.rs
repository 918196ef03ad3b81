//! Versions in a view never decrease, whatever updates arrive in whatever order.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{
    sync::{Arc, LazyLock},
    time::Duration,
};

use common::{clock::Moment, name};
use control::{
    command::Command,
    declaration::{Author, Change, Request},
    query::{Answer, Query},
    state::State,
};
use proptest::prelude::*;
use serde_json::json;
use settings::{
    delta::{self, Content},
    tree::{self, Venture},
};
use spread::view::{Outcome, View};
use wire::spread::{Update, Version};

const BRANCH: &str = "association";

/// A log with so many versions, and the declarations of each.
fn history(versions: u64) -> (State, Vec<Content>) {
    let mut state = State::new(BRANCH.into());
    let mut contents = vec![Content::default()];
    for version in 0..versions {
        let mut after = state.declarations().content().clone();
        after.branch.partner.title = version.to_string();
        let service = after.branch.services.entry(format!("s{}", version % 3).into()).or_default();
        Arc::make_mut(service).insert(String::from("limits"), json!({ "deadline_ms": version }));
        let delta = delta::between(state.declarations().content(), &after);
        let author = Author { request: version.to_string(), ..Author::default() };
        let request = Request { author, base: version, change: Change::Apply(delta) };
        state.apply(version + 1, &Command::Declare(request));
        contents.push(state.declarations().content().clone());
    }
    (state, contents)
}

/// The log at each of its versions, and the declarations of all versions.
static STAGES: LazyLock<(Vec<State>, Vec<Content>)> =
    LazyLock::new(|| ((0..30).map(|versions| history(versions).0).collect(), history(30).1));

/// The update that a replica of the log sends to an instance that has version `since`.
fn update(state: &State, since: u64, age_ms: Option<u64>) -> Update {
    match state.query(&Query::Changes { since }) {
        Answer::Changes(changes) => Update {
            branch: BRANCH.into(),
            version: state.declarations().version(),
            age_ms,
            changes,
        },
        other => panic!("{other:?}"),
    }
}

fn have(version: u64) -> Version {
    Version { branch: BRANCH.into(), version }
}

fn content(view: &View) -> Content {
    let branch = view.branches().get(&name::Branch::from(BRANCH));
    branch.map(|held| held.declarations.content.clone()).unwrap_or_default()
}

proptest! {
    /// Instances pull from each other and from the log at any stage, in any order, with delayed and lost updates:
    /// each always holds the declarations of one version of the log, and never of a lower one than before.
    #[test]
    fn versions_in_a_view_never_decrease(
        pulls in prop::collection::vec((0..4usize, 0..5usize, 0..30u64, any::<bool>()), 1..80),
    ) {
        let (stages, contents) = &*STAGES;
        let mut views: Vec<View> = vec![View::default(); 4];
        let mut delayed_update: Option<Update> = None;
        for (to, from, stage, delayed) in pulls {
            let before = views[to].version(&BRANCH.into());
            let pulled = match from {
                4 => update(&stages[stage as usize], before, Some(0)),
                from => views[from].update_since(&have(before), Moment(1_000)),
            };
            let arriving = if delayed { delayed_update.replace(pulled) } else { Some(pulled) };
            if let Some(update) = arriving {
                views[to].apply(update, Moment(1_000));
            }
            let after = views[to].version(&BRANCH.into());
            prop_assert!(after >= before);
            prop_assert_eq!(&content(&views[to]), &contents[after as usize]);
        }
    }
}

#[test]
fn a_requester_far_behind_gets_a_snapshot_and_others_get_deltas() {
    let (state, contents) = history(200);
    let mut relay = View::default();
    relay.apply(update(&history(100).0, 0, Some(0)), Moment(0));
    assert_eq!(relay.apply(update(&state, 100, Some(0)), Moment(0)), Outcome::Advanced);
    for since in [0, 50, 190, 200, 250] {
        let update = relay.update_since(&have(since), Moment(0));
        let kind = format!("{:?}", update.changes).chars().take(4).collect::<String>();
        let expected = match since {
            0 | 50 => "Snap",
            190 => "Delt",
            _ => "None",
        };
        assert_eq!(kind, expected, "since {since}");
    }
    assert_eq!(content(&relay), contents[200]);
}

#[test]
fn an_update_from_a_relay_that_the_log_has_not_confirmed_confirms_nothing() {
    let (state, _) = history(3);
    let (mut relay, mut view) = (View::default(), View::default());
    relay.apply(update(&state, 0, None), Moment(0));
    view.apply(relay.update_since(&have(0), Moment(9_000)), Moment(9_000));
    let branch = name::Branch::from(BRANCH);
    assert_eq!(view.branches()[&branch].confirmed, None);
    relay.apply(update(&state, 3, Some(0)), Moment(10_000));
    view.apply(relay.update_since(&have(3), Moment(12_000)), Moment(12_500));
    let expected = Moment(12_500) - Duration::from_millis(2_000);
    assert_eq!(view.branches()[&branch].confirmed, Some(expected));
}

#[test]
fn partners_that_adopted_different_defaults_keep_their_own() {
    let mut view = View::default();
    for (branch, deadline) in [("association", 1_000), ("inkleaf", 2_000)] {
        let mut state = State::new(branch.into());
        let defaults = json!({ "limits": { "deadline_ms": deadline } });
        let venture = Venture { name: "v".into(), defaults: defaults.as_object().unwrap().clone() };
        let mut after = Content { venture, ..Content::default() };
        after.branch.services.insert("s".into(), Arc::default());
        let delta = delta::between(&Content::default(), &after);
        let request = Request { author: Author::default(), base: 0, change: Change::Apply(delta) };
        state.apply(1, &Command::Declare(request));
        let Answer::Changes(changes) = state.query(&Query::Changes { since: 0 }) else { panic!() };
        view.apply(Update { branch: branch.into(), version: 1, age_ms: None, changes }, Moment(0));
    }
    let tree = view.tree();
    for (partner, deadline) in [("association", 1_000), ("inkleaf", 2_000)] {
        let branch = &tree.partners[&name::Partner::from(partner)];
        let service = tree::effective(&tree.venture, branch, &"s".into()).unwrap();
        assert_eq!(service.limits.deadline_ms, deadline);
    }
}
