//! A detached branch has all the settings that it needs, and leases from before its detachment are void.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{path::Path, sync::Arc};

use common::name;
use control::{
    claim::{Begin, Digest, Key},
    command::Command,
    declaration::{Author, Change, Request},
    dissolution::{Action, FENCING_STRIDE, Phase, Reply, Step},
    intent,
    lease::{self, Grant, Session},
    query::{Answer, Query, Summary},
    reply,
    state::State,
    time::{Advance, MAX_STEP_MS},
};
use expect_test::expect;
use serde_json::json;
use settings::{
    check,
    delta::{self, Content},
    tree::{self, Tree},
};

const BRANCH: &str = "association";

fn author(request: &str) -> Author {
    Author { request: request.into(), operator: "mere".into(), wall_ms: 1 }
}

fn sample() -> Content {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/venture");
    let tree = tree::read(&folder).unwrap();
    let mut branch = tree.partners[&name::Partner::from(BRANCH)].clone();
    let service = Arc::make_mut(branch.services.values_mut().next().unwrap());
    service.insert("roles".into(), json!({ "lend_to": ["inkleaf"], "dwell_s": 7 }));
    Content { venture: tree.venture, branch }
}

fn declare(state: &mut State, index: u64, base: u64, after: &Content) -> reply::Reply {
    let delta = delta::between(state.declarations().content(), after);
    let author = author(&format!("r{index}"));
    state.apply(index, &Command::Declare(Request { author, base, change: Change::Apply(delta) }))
}

fn loaded() -> State {
    let mut state = State::new(BRANCH.into());
    declare(&mut state, 1, 0, &sample());
    state.apply(2, &Command::Grant(grant(1)));
    let open = intent::Open {
        data_centre: "suva".into(),
        fencing: 2,
        target: "e1".into(),
        id: "o1".into(),
        action: "{}".into(),
    };
    state.apply(3, &Command::Open(open));
    let claim = Begin {
        key: Key { service: "member-portal".into(), organisation: "o".into(), key: "k".into() },
        digest: Digest([1; 32]),
        claimant: "suva-1".into(),
        attempt: "a".into(),
        deadline_ms: 60_000,
        retention_ms: 600_000,
    };
    state.apply(4, &Command::Claim(claim));
    state
}

fn grant(session: u64) -> Grant {
    Grant {
        data_centre: "suva".into(),
        holder: "suva-1".into(),
        session: Session(session),
        term_ms: 5_000,
    }
}

fn step(state: &mut State, index: u64, plan: &str, action: Action) -> Reply {
    let step = Step { author: author(plan), plan: plan.into(), action };
    match state.apply(index, &Command::Dissolve(step)) {
        reply::Reply::Dissolution(reply) => reply,
        other => panic!("{other:?}"),
    }
}

fn actions() -> [Action; 3] {
    [
        Action::Freeze { version: 1 },
        Action::WriteOut,
        Action::Detach { identity: "association-alone".into() },
    ]
}

fn summary(state: &State) -> Summary {
    match state.query(&Query::Summary) {
        Answer::Summary(summary) => summary,
        other => panic!("{other:?}"),
    }
}

#[test]
fn settings_in_force_stay_and_the_branch_needs_no_venture() {
    let mut state = loaded();
    let before = state.declarations().content().clone();
    for (position, action) in actions().into_iter().enumerate() {
        let reply = step(&mut state, 10 + position as u64, "p", action);
        assert!(matches!(reply, Reply::Done { .. }), "{reply:?}");
    }
    let after = state.declarations().content().clone();
    assert!(after.venture.defaults.is_empty());
    for service in before.branch.services.keys() {
        let mut old = tree::effective(&before.venture, &before.branch, service).unwrap();
        let new = tree::effective(&after.venture, &after.branch, service).unwrap();
        old.roles.lend_to.clear();
        assert_eq!(old, new);
    }
    let mut alone = Tree { venture: after.venture, ..Tree::default() };
    alone.partners.insert(BRANCH.into(), after.branch);
    assert_eq!(check::tree(&alone, &tree::Documents::new()), []);
    expect![[r#"
        {
          "branch": "association",
          "version": 2,
          "venture_version": 0,
          "phase": {
            "Detached": {
              "plan": "p"
            }
          },
          "identity": {
            "name": "association-alone",
            "fencing_base": 1099511627776
          },
          "claims": 1,
          "open_intents": 1
        }"#]]
    .assert_eq(&serde_json::to_string_pretty(&summary(&state)).unwrap());
}

#[test]
fn repeating_a_step_after_a_crash_changes_nothing() {
    let mut once = loaded();
    let mut again = loaded();
    for (position, action) in actions().into_iter().enumerate() {
        let index = 10 + position as u64;
        step(&mut once, index, "p", action.clone());
        let first = step(&mut again, index, "p", action.clone());
        again = State::decode(&again.encode()).unwrap();
        assert_eq!(step(&mut again, index, "p", action), first);
    }
    assert_eq!(once, again);
    let reply = step(&mut again, 20, "p", Action::WriteOut);
    assert!(
        matches!(reply, Reply::Done { phase: Phase::Detached { .. }, version: 2 }),
        "{reply:?}"
    );
}

#[test]
fn steps_out_of_order_or_of_another_plan_are_refused() {
    let refused = |reply: Reply| matches!(reply, Reply::Refused { .. });
    let mut state = loaded();
    assert!(refused(step(&mut state, 10, "p", Action::WriteOut)));
    assert!(refused(step(&mut state, 11, "p", Action::Detach { identity: "x".into() })));
    assert!(refused(step(&mut state, 12, "p", Action::Freeze { version: 0 })));
    step(&mut state, 13, "p", Action::Freeze { version: 1 });
    assert!(refused(step(&mut state, 14, "q", Action::Freeze { version: 1 })));
    assert!(refused(step(&mut state, 15, "q", Action::WriteOut)));
    assert!(refused(step(&mut state, 16, "p", Action::Detach { identity: "x".into() })));
    let reply = declare(&mut state, 17, 1, &Content::default());
    assert!(format!("{reply:?}").contains("Frozen"), "{reply:?}");
    step(&mut state, 18, "p", Action::Thaw);
    let reply = declare(&mut state, 19, 1, &Content::default());
    assert!(format!("{reply:?}").contains("Accepted"), "{reply:?}");
}

#[test]
fn leases_from_before_are_void_and_new_fencing_tokens_are_higher() {
    let mut state = loaded();
    for (position, action) in actions().into_iter().enumerate() {
        step(&mut state, 10 + position as u64, "p", action);
    }
    let settle = intent::Settle {
        data_centre: "suva".into(),
        fencing: 2,
        target: "e1".into(),
        id: "o1".into(),
        ending: intent::Ending::Done,
    };
    let reply = state.apply(20, &Command::Settle(settle.clone()));
    assert_eq!(reply, reply::Reply::Intent(intent::Reply::Stale));
    let held = state.apply(21, &Command::Grant(grant(1)));
    assert!(matches!(held, reply::Reply::Lease(lease::Reply::Held { .. })), "{held:?}");
    for second in 0..10 {
        let advance = Advance { from_ms: second * MAX_STEP_MS, elapsed_ms: MAX_STEP_MS };
        state.apply(22 + second, &Command::Advance(advance));
    }
    let fencing = FENCING_STRIDE + 40;
    let granted = state.apply(40, &Command::Grant(grant(2)));
    let expected = lease::Reply::Granted { fencing, term_ms: 5_000 };
    assert_eq!(granted, reply::Reply::Lease(expected));
    let reply = state.apply(41, &Command::Settle(intent::Settle { fencing, ..settle }));
    assert_eq!(reply, reply::Reply::Intent(intent::Reply::Settled));
}

#[test]
fn a_closed_venture_refuses_changes() {
    let mut state = State::new(check::VENTURE_BRANCH.into());
    step(&mut state, 1, "p", Action::Freeze { version: 0 });
    assert!(matches!(step(&mut state, 2, "p", Action::Close), Reply::Done { .. }));
    assert!(matches!(step(&mut state, 3, "p", Action::Thaw), Reply::Refused { .. }));
    let reply = declare(&mut state, 4, 0, &sample());
    assert!(format!("{reply:?}").contains("Closed"), "{reply:?}");
}
