//! Versions, conflicts, resends, rollbacks and snapshots of declarations.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use control::{
    command::Command,
    declaration::{Author, Change, Refusal, Reply, Request, history},
    query::{Answer, Changes, Query},
    reply,
    state::State,
};
use expect_test::expect;
use proptest::prelude::*;
use serde_json::{Map, json};
use settings::{
    delta::{self, Content, Delta},
    tree::Venture,
};

fn author(request: &str) -> Author {
    Author { request: request.into(), operator: "mere".into(), wall_ms: 1 }
}

/// A delta that sets the title of the partner.
fn titled(state: &State, title: &str) -> Delta {
    let mut after = state.declarations().content().clone();
    after.branch.partner.title = title.into();
    delta::between(state.declarations().content(), &after)
}

fn declare(state: &mut State, index: u64, request: &str, base: u64, change: Change) -> Reply {
    let request = Request { author: author(request), base, change };
    match state.apply(index, &Command::Declare(request)) {
        reply::Reply::Declaration(reply) => reply,
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_second_change_with_a_base_conflicts_and_resends_get_the_same_reply() {
    let mut state = State::new("a".into());
    let (one, other) = (titled(&state, "one"), titled(&state, "other"));
    let mut lines = Vec::new();
    for (index, request, base, delta) in [
        (1, "r1", 0, &one),
        (2, "r2", 0, &other),
        (3, "r1", 0, &one),
        (4, "r2", 0, &other),
        (5, "r1", 0, &other),
    ] {
        let reply = declare(&mut state, index, request, base, Change::Apply(delta.clone()));
        lines.push(serde_json::to_string(&reply).unwrap());
    }
    expect![[r#"
        {"Accepted":{"version":1}}
        {"Conflict":{"version":1,"winner":{"version":1,"cause":"Apply","author":{"request":"r1","operator":"mere","wall_ms":1},"index":1}}}
        {"Accepted":{"version":1}}
        {"Conflict":{"version":1,"winner":{"version":1,"cause":"Apply","author":{"request":"r1","operator":"mere","wall_ms":1},"index":1}}}
        {"Refused":"RequestReused"}"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn unchanged_declarations_create_no_version() {
    let mut state = State::new("a".into());
    let delta = titled(&state, "one");
    declare(&mut state, 1, "r1", 0, Change::Apply(delta.clone()));
    let reply = declare(&mut state, 2, "r2", 1, Change::Apply(delta));
    assert_eq!(reply, Reply::Unchanged { version: 1 });
}

#[test]
fn an_older_version_of_the_venture_is_refused() {
    let mut state = State::new("a".into());
    let venture = |name: &str| Venture { name: name.into(), defaults: Map::new() };
    let adopt = |version, name| Change::Adopt { venture_version: version, venture: venture(name) };
    assert_eq!(declare(&mut state, 1, "v2", 0, adopt(2, "b")), Reply::Accepted { version: 1 });
    let refused = Reply::Refused(Refusal::OldVenture { version: 2 });
    assert_eq!(declare(&mut state, 2, "v1", 1, adopt(1, "a")), refused);
    assert_eq!(state.declarations().content().venture.name, "b");
}

#[test]
fn a_partners_rollback_keeps_the_ventures_defaults() {
    let mut state = State::new("a".into());
    let delta = titled(&state, "one");
    declare(&mut state, 1, "r1", 0, Change::Apply(delta));
    let venture = Venture { name: "v".into(), defaults: Map::new() };
    declare(&mut state, 2, "v1", 1, Change::Adopt { venture_version: 1, venture });
    let reply = declare(&mut state, 3, "r2", 2, Change::Rollback { to: 0 });
    assert_eq!(reply, Reply::Accepted { version: 3 });
    assert_eq!(state.declarations().content().branch.partner.title, "");
    assert_eq!(state.declarations().content().venture.name, "v");
}

#[test]
fn history_is_bounded() {
    let mut state = State::new("a".into());
    let changes = history::MAX_REVISIONS as u64 + 10;
    for version in 0..changes {
        let delta = titled(&state, &version.to_string());
        let reply =
            declare(&mut state, version + 1, &version.to_string(), version, Change::Apply(delta));
        assert_eq!(reply, Reply::Accepted { version: version + 1 });
    }
    let refused = Reply::Refused(Refusal::NoVersion { version: 5, oldest: 10 });
    let reply = declare(&mut state, changes + 1, "back", changes, Change::Rollback { to: 5 });
    assert_eq!(reply, refused);
    assert!(matches!(
        state.query(&Query::Changes { since: 5 }),
        Answer::Changes(Changes::Snapshot(_))
    ));
}

#[derive(Clone, Debug)]
enum Step {
    Apply { lag: u64, title: u8, keys: u8 },
    Adopt { lag: u64, version: u64 },
    Rollback { lag: u64, back: u64 },
    Resend { which: usize },
    Restart,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..2u64, any::<u8>(), 0..4u8)
            .prop_map(|(lag, title, keys)| Step::Apply { lag, title, keys }),
        1 => (0..2u64, 0..9u64).prop_map(|(lag, version)| Step::Adopt { lag, version }),
        1 => (0..2u64, 0..5u64).prop_map(|(lag, back)| Step::Rollback { lag, back }),
        2 => any::<usize>().prop_map(|which| Step::Resend { which }),
        1 => Just(Step::Restart),
    ]
}

fn change(state: &State, step: &Step) -> Option<(u64, Change)> {
    let version = state.declarations().version();
    let base = |lag: u64| version.saturating_sub(lag);
    match step {
        Step::Apply { lag, title, keys } => {
            let mut after = state.declarations().content().clone();
            after.branch.partner.title = title.to_string();
            let keys: Vec<_> = (0..*keys).map(|key| json!({ "sha256": key.to_string() })).collect();
            let service = Map::from_iter([(String::from("keys"), json!(keys))]);
            after.branch.services.insert("s".into(), service.into());
            let delta = delta::between(state.declarations().content(), &after);
            Some((base(*lag), Change::Apply(delta)))
        }
        Step::Adopt { lag, version } => {
            let venture = Venture { name: version.to_string(), defaults: Map::new() };
            Some((base(*lag), Change::Adopt { venture_version: *version, venture }))
        }
        Step::Rollback { lag, back } => {
            Some((base(*lag), Change::Rollback { to: version.saturating_sub(*back) }))
        }
        Step::Resend { .. } | Step::Restart => None,
    }
}

proptest! {
    /// The version increases by one with each accepted change, and each version's content stays readable; a resend
    /// gets the reply of the first request; a follower that applies the deltas gets the content in force.
    #[test]
    fn accepted_changes_are_kept(steps in prop::collection::vec(any_step(), 1..40)) {
        let mut state = State::new("a".into());
        let mut contents = vec![Content::default()];
        let mut answered: Vec<(Request, Reply)> = Vec::new();
        let mut index = 0;
        for (number, step) in steps.iter().enumerate() {
            index += 1;
            if let Step::Restart = step {
                let restored = State::decode(&state.encode()).unwrap();
                prop_assert_eq!(&restored, &state);
                state = restored;
            }
            if let Step::Resend { which } = step
                && let Some((request, reply)) = answered.get(which % answered.len().max(1))
            {
                let again = state.apply(index, &Command::Declare(request.clone()));
                prop_assert_eq!(again, reply::Reply::Declaration(reply.clone()));
            }
            let Some((base, change)) = change(&state, step) else { continue };
            let before = state.declarations().version();
            let request = Request { author: author(&number.to_string()), base, change };
            let reply = match state.apply(index, &Command::Declare(request.clone())) {
                reply::Reply::Declaration(reply) => reply,
                other => panic!("{other:?}"),
            };
            let version = state.declarations().version();
            if let Reply::Accepted { version: accepted } = reply {
                prop_assert_eq!(base, before);
                prop_assert_eq!(accepted, before + 1);
                contents.push(state.declarations().content().clone());
            }
            prop_assert_eq!(version as usize + 1, contents.len());
            prop_assert_eq!(contents.last(), Some(state.declarations().content()));
            answered.push((request, reply));
        }
        for (version, content) in contents.iter().enumerate() {
            let kept = state.declarations().content_at(version as u64);
            prop_assert_eq!(kept.as_ref(), Some(content));
            let mut follower = content.clone();
            if let Answer::Changes(Changes::Deltas(steps)) =
                state.query(&Query::Changes { since: version as u64 })
            {
                for step in steps {
                    delta::apply(&mut follower, &step.delta).unwrap();
                }
            }
            prop_assert_eq!(contents.last(), Some(&follower));
        }
    }

    /// A truncated snapshot is refused; one with a changed byte is refused or decoded, without a panic.
    #[test]
    fn damaged_snapshots_are_refused_or_decode(cut in 0..200usize, flip in 0..200usize) {
        let mut state = State::new("a".into());
        let delta = titled(&state, "one");
        declare(&mut state, 1, "r1", 0, Change::Apply(delta));
        let bytes = state.encode();
        let cut = cut % bytes.len();
        prop_assert!(State::decode(&bytes[..cut]).is_err());
        let mut flipped = bytes.clone();
        flipped[flip % bytes.len()] ^= 0x55;
        let _ = State::decode(&flipped);
    }
}
