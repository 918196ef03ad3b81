//! A claimed call is sent at most once while its claim is kept.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use common::collections::Map;
use control::{
    claim::{Abandon, Answer, Begin, Digest, Finish, Key, MarkLost, Reply, TakeOver},
    command::Command,
    reply,
    state::State,
    time::{Advance, MAX_STEP_MS},
};
use expect_test::expect;
use proptest::prelude::*;

const RETENTION_MS: u64 = 20_000;
const DEADLINE_MS: u64 = 5_000;

fn key(name: &str) -> Key {
    Key { service: "portal".into(), organisation: "suva".into(), key: name.into() }
}

fn begin(name: &str, body: u8, attempt: &str) -> Command {
    Command::Claim(Begin {
        key: key(name),
        digest: Digest([body; 32]),
        claimant: "suva-1".into(),
        attempt: attempt.into(),
        deadline_ms: DEADLINE_MS,
        retention_ms: RETENTION_MS,
    })
}

fn answer(body: Vec<u8>) -> Answer {
    Answer { status: 201, headers: Vec::new(), body }
}

fn finish(name: &str, attempt: &str, body: Vec<u8>) -> Command {
    Command::Finish(Finish { key: key(name), attempt: attempt.into(), answer: Some(answer(body)) })
}

fn abandon(name: &str, attempt: &str) -> Command {
    Command::Abandon(Abandon { key: key(name), attempt: attempt.into() })
}

fn lose(name: &str, attempt: &str) -> Command {
    Command::MarkLost(MarkLost { key: key(name), attempt: attempt.into() })
}

fn take(name: &str, body: u8, from: &str, attempt: &str) -> Command {
    Command::TakeOver(TakeOver {
        key: key(name),
        digest: Digest([body; 32]),
        from: from.into(),
        claimant: "nadi-1".into(),
        attempt: attempt.into(),
    })
}

#[test]
fn only_the_first_attempt_takes_over_a_claim() {
    let mut state = State::default();
    assert_eq!(apply(&mut state, 1, &take("k", 1, "a", "b")), Reply::NotHeld, "nothing is claimed");
    assert_eq!(apply(&mut state, 2, &begin("k", 1, "a")), Reply::Claimed);
    assert_eq!(apply(&mut state, 3, &take("k", 2, "a", "b")), Reply::OtherBody);
    assert_eq!(apply(&mut state, 4, &take("k", 1, "x", "b")), Reply::InProgress, "x never held it");
    assert_eq!(apply(&mut state, 5, &take("k", 1, "a", "b")), Reply::Claimed);
    assert_eq!(apply(&mut state, 6, &take("k", 1, "a", "c")), Reply::InProgress, "b was first");
    assert_eq!(apply(&mut state, 7, &begin("k", 1, "a")), Reply::InProgress, "a holds it no more");
    assert_eq!(apply(&mut state, 8, &abandon("k", "a")), Reply::NotHeld);
    assert_eq!(apply(&mut state, 9, &finish("k", "b", vec![7])), Reply::Recorded);
    let kept = Reply::Finished { answer: Some(answer(vec![7])) };
    assert_eq!(apply(&mut state, 10, &take("k", 1, "b", "d")), kept);
}

fn apply(state: &mut State, index: u64, command: &Command) -> Reply {
    match state.apply(index, command) {
        reply::Reply::Claim(reply) => reply,
        other => panic!("{other:?}"),
    }
}

fn pass(state: &mut State, now_ms: &mut u64, span_ms: u64) {
    for _ in 0..span_ms.div_ceil(MAX_STEP_MS) {
        state.apply(0, &Command::Advance(Advance { from_ms: *now_ms, elapsed_ms: MAX_STEP_MS }));
        *now_ms += MAX_STEP_MS;
    }
}

#[test]
fn resends_get_the_reply_for_the_state_of_the_claim() {
    let mut state = State::new("association".into());
    let mut now_ms = 0;
    let commands = [
        begin("k", 1, "a1"),
        begin("k", 1, "a1"),
        begin("k", 1, "a2"),
        begin("k", 2, "a3"),
        finish("k", "a2", vec![7]),
        finish("k", "a1", vec![7]),
        begin("k", 1, "a4"),
        abandon("k", "a1"),
        begin("l", 1, "a5"),
        abandon("l", "a5"),
        begin("l", 1, "a6"),
        lose("l", "a6"),
        begin("l", 1, "a7"),
        abandon("l", "a6"),
        finish("l", "a6", vec![8]),
        begin("l", 1, "a8"),
    ];
    let mut lines: Vec<String> = commands
        .iter()
        .enumerate()
        .map(|(position, command)| format!("{:?}", apply(&mut state, position as u64, command)))
        .collect();
    apply(&mut state, 20, &begin("m", 1, "a9"));
    pass(&mut state, &mut now_ms, DEADLINE_MS + MAX_STEP_MS);
    lines.push(format!("after the deadline {:?}", apply(&mut state, 30, &begin("m", 1, "b1"))));
    pass(&mut state, &mut now_ms, RETENTION_MS);
    lines.push(format!("after the retention {:?}", apply(&mut state, 60, &begin("k", 1, "b2"))));
    expect![[r#"
        Claimed
        Claimed
        InProgress
        OtherBody
        NotHeld
        Recorded
        Finished { answer: Some(Answer { status: 201, headers: [], body: [7] }) }
        NotHeld
        Claimed
        Recorded
        Claimed
        Recorded
        Unknown
        NotHeld
        Recorded
        Finished { answer: Some(Answer { status: 201, headers: [], body: [8] }) }
        after the deadline Unknown
        after the retention Claimed"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn answers_above_the_bound_are_dropped_but_the_run_is_recorded() {
    let mut state = State::new("association".into());
    let large = 24 * 1024 * 1024;
    for number in 0..3 {
        let (name, attempt) = (number.to_string(), format!("a{number}"));
        apply(&mut state, number, &begin(&name, 1, &attempt));
        assert_eq!(
            apply(&mut state, 10, &finish(&name, &attempt, vec![0; large])),
            Reply::Recorded
        );
    }
    assert_eq!(apply(&mut state, 20, &begin("2", 1, "b")), Reply::Finished { answer: None });
}

#[derive(Clone, Debug)]
enum Step {
    /// A caller sends its call to some instance.
    Send { key: u8 },
    /// A claimed call is sent to the target.
    Dispatch,
    /// A dispatched call ends and its answer is recorded; the command is sent twice.
    End,
    /// A claim is abandoned before its call is sent.
    Abandon,
    /// The instance that holds all open claims crashes.
    Crash,
    /// The log's time advances.
    Pass,
    /// The state is restored from its snapshot.
    Restart,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3u8).prop_map(|key| Step::Send { key }),
        2 => Just(Step::Dispatch),
        2 => Just(Step::End),
        1 => Just(Step::Abandon),
        1 => Just(Step::Crash),
        1 => Just(Step::Pass),
        1 => Just(Step::Restart),
    ]
}

proptest! {
    #[test]
    fn each_key_is_dispatched_at_most_once(steps in prop::collection::vec(any_step(), 1..60)) {
        let mut state = State::new("association".into());
        let mut now_ms = 0;
        let mut claimed: Vec<(u8, String)> = Vec::new();
        let mut sent: Vec<(u8, String)> = Vec::new();
        let mut runs: Map<u8, u32> = Map::default();
        for (number, step) in steps.iter().enumerate() {
            let index = number as u64 + 1;
            match step {
                Step::Send { key } => {
                    let attempt = format!("a{number}");
                    let reply = apply(&mut state, index, &begin(&key.to_string(), 1, &attempt));
                    if reply == Reply::Claimed {
                        claimed.push((*key, attempt));
                    } else if runs.contains_key(key) {
                        prop_assert!(reply != Reply::OtherBody && reply != Reply::Full);
                    }
                }
                Step::Dispatch => if let Some((key, attempt)) = claimed.pop() {
                    *runs.entry(key).or_default() += 1;
                    sent.push((key, attempt));
                },
                Step::End => if let Some((key, attempt)) = sent.pop() {
                    let command = finish(&key.to_string(), &attempt, vec![key]);
                    apply(&mut state, index, &command);
                    apply(&mut state, index, &command);
                },
                Step::Abandon => if let Some((key, attempt)) = claimed.pop() {
                    apply(&mut state, index, &abandon(&key.to_string(), &attempt));
                },
                Step::Crash => {
                    claimed.clear();
                    sent.clear();
                }
                // The log's time stays below the retention, so that no claim expires.
                Step::Pass => if now_ms < RETENTION_MS - 2 * MAX_STEP_MS {
                    pass(&mut state, &mut now_ms, MAX_STEP_MS);
                },
                Step::Restart => state = State::decode(&state.encode()).unwrap(),
            }
            prop_assert!(runs.values().all(|&runs| runs <= 1));
        }
    }
}
