//! What control instances remember of earlier processes, and what a process learns from it.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use common::{clock::Moment, name};
use fleet::{
    exchange::{self, Answer, Cursor, Identity, Kind, Question, Update},
    succession::{Evidence, Predecessor, Processes},
};

const WINDOW: Duration = Duration::from_secs(10);
const HEARD: fn(u64) -> Predecessor = |age_ms| Predecessor::Heard { age_ms };
const UNHEARD: fn(u64) -> Predecessor = |for_ms| Predecessor::Unheard { for_ms };

#[test]
fn a_control_instance_knows_when_it_last_heard_of_the_process_before() {
    let mut processes = Processes::new(Moment(1_000));
    let mut hear = |instance: &str, started, now_ms| {
        processes.hear(&name::Instance::from(instance), started, Moment(now_ms))
    };
    let heard = [
        hear("a", 1, 5_000),
        hear("a", 1, 7_000),
        hear("b", 4, 7_000),
        // The next process, twice.
        hear("a", 2, 9_000),
        hear("a", 2, 9_500),
        // A late poll of the first one.
        hear("a", 1, 10_000),
        hear("a", 2, 10_500),
        // The memory lasts longer than any window.
        hear("b", 5, 2_000_000),
    ];
    let expected = [
        UNHEARD(4_000),
        UNHEARD(6_000),
        UNHEARD(6_000),
        HEARD(2_000),
        HEARD(2_500),
        HEARD(0),
        HEARD(500),
        HEARD(1_993_000),
    ];
    assert_eq!(heard, expected);
    let mut processes = Processes::new(Moment(1_000));
    processes.begin();
    let heard = processes.hear(&name::Instance::from("a"), 1, Moment(1_200));
    assert_eq!(heard, UNHEARD(u64::MAX));
}

#[test]
fn an_earlier_process_is_excluded_only_by_one_that_would_know_it() {
    let rows: [(&[Predecessor], bool); 8] = [
        (&[], false),
        (&[UNHEARD(9_999)], false),
        (&[UNHEARD(10_000)], true),
        (&[UNHEARD(u64::MAX), UNHEARD(100)], true),
        (&[HEARD(9_999)], false),
        (&[HEARD(10_000)], true),
        // Another one was cut off from it.
        (&[UNHEARD(60_000), HEARD(500)], false),
        (&[HEARD(500), HEARD(60_000)], false),
    ];
    for (predecessors, expected) in rows {
        let mut evidence = Evidence::default();
        predecessors.iter().for_each(|predecessor| evidence.add(*predecessor));
        assert_eq!(evidence.excludes(WINDOW), expected, "{predecessors:?}");
    }
}

/// Guards against messages that a build without processes can't read, and against ones of it that this build can't read.
#[test]
fn processes_follow_what_an_earlier_build_reads() {
    let from = Identity {
        instance: name::Instance::from("a"),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: name::DataCentre::from("suva"),
        kind: Kind::Entry,
    };
    let follow = |started_unix_ns| {
        let (from, cursor) = (from.clone(), Cursor::default());
        Question::FollowChanges { from, cursor, version: 1, wait_ms: 2, roster: 3, started_unix_ns }
    };
    let bytes = exchange::encode_question(&follow(4));
    let earlier = exchange::encode(&follow(4));
    assert!(bytes.starts_with(&earlier));
    assert_eq!(exchange::decode_question(&bytes), Some(follow(4)));
    assert_eq!(exchange::decode_question(&earlier), Some(follow(0)));
    assert_eq!(exchange::decode::<Question>(&bytes), Some(follow(0)));

    let update = |predecessor| {
        Answer::Update(Update { version: 3, roster: 7, predecessor, ..Update::default() })
    };
    let earlier = exchange::encode_answer(&update(None));
    assert_eq!(exchange::decode_answer(&earlier), Some(update(None)));
    for predecessor in [HEARD(5), UNHEARD(u64::MAX)] {
        let answer = update(Some(predecessor));
        let bytes = exchange::encode_answer(&answer);
        assert!(bytes.starts_with(&earlier));
        assert_eq!(exchange::decode_answer(&bytes), Some(answer));
    }
}
