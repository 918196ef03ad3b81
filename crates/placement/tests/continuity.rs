//! Where streams go on that callers take up, on simulated fleets: lost calls, restarts, partitions and killed instances.

#[path = "support/returns.rs"]
mod returns;

use std::time::Duration;

use common::{clock::Moment, name};
use fleet::exchange::Origin;
use placement::continuity::{self, Answers, Decision, Origins, Versions};
use returns::{Plan, simulate};
use yare::parameterized;

/// Streams that may go on at another version.
const MOST_MIXED: usize = 2;
const SEEDS: u64 = 10;

const PLAN: Plan =
    Plan { instances: 7, streams_per_s: 20.0, loss: 0.0, restarts: 0, cuts: 0, killed: 0.0 };

#[parameterized(
    one_instance = { Plan { instances: 1, ..PLAN } },
    seven_instances = { PLAN },
    seventy_instances = { Plan { instances: 70, streams_per_s: 30.0, ..PLAN } },
    lost_calls = { Plan { loss: 0.3, ..PLAN } },
    lost_calls_at_seventy = { Plan { instances: 70, streams_per_s: 30.0, loss: 0.3, ..PLAN } },
    restarts = { Plan { restarts: 6, ..PLAN } },
    restarts_at_seventy = { Plan { instances: 70, streams_per_s: 30.0, restarts: 60, ..PLAN } },
    cuts = { Plan { cuts: 3, ..PLAN } },
    cuts_at_seventy = { Plan { instances: 70, streams_per_s: 30.0, cuts: 20, ..PLAN } },
    killed_first_instances = { Plan { killed: 0.01, ..PLAN } },
    killed_at_seventy = { Plan { instances: 70, streams_per_s: 30.0, killed: 0.02, ..PLAN } },
    all_at_once = { Plan { loss: 0.1, restarts: 3, cuts: 2, killed: 0.005, ..PLAN } },
)]
fn streams_go_on_at_their_software_version_and_most_do(plan: Plan) {
    for seed in 0..SEEDS {
        let figures = simulate(&plan, seed);
        assert!(figures.mixed <= MOST_MIXED, "{plan:?}: {figures:?}");
        assert!(figures.taken_up >= 12, "{plan:?}: {figures:?}");
        assert!(2 * figures.went_on >= figures.taken_up, "{plan:?}: {figures:?}");
    }
}

const RETENTION: Duration = Duration::from_secs(8);

fn at(ms: u64) -> Moment {
    Moment(1_000_000 + ms)
}

fn origin(software: &str, run: u32) -> Origin {
    Origin { service: name::Service::from("engines"), software: software.into(), run }
}

fn versions(seen: &[(&str, u64)]) -> Versions {
    let mut versions = Versions::default();
    for (software, ms) in seen {
        versions.see(&name::Software::from(*software), at(*ms));
    }
    versions
}

#[test]
fn a_known_origin_decides() {
    let decision = continuity::decide(None, Answers::Known(origin("v2", 0)), RETENTION, at(0));
    let service = Some(name::Service::from("engines"));
    assert_eq!(decision, Decision::At { service, software: "v2".into() });
}

#[parameterized(
    began_before_the_second_version_came = { &[("v1", 0), ("v2", 20_000)], Answers::Unknown, Some("v1") },
    the_second_came_too_long_ago = { &[("v1", 0), ("v2", 10_000)], Answers::Unknown, None },
    both_were_there_at_the_start = { &[("v1", 20_000), ("v2", 20_000)], Answers::Unknown, None },
    nobody_answers = { &[("v1", 0), ("v2", 20_000)], Answers::Missing, None },
    no_target_is_known = { &[], Answers::Unknown, None },
)]
fn without_an_origin_only_the_sole_version_of_before_is_taken(
    seen: &[(&str, u64)],
    answers: Answers,
    expected: Option<&str>,
) {
    let decision = continuity::decide(Some(&versions(seen)), answers, RETENTION, at(25_000));
    let expected = expected.map_or(Decision::Refuse, |software| Decision::At {
        service: None,
        software: software.into(),
    });
    assert_eq!(decision, expected);
}

#[test]
fn a_version_that_has_gone_counts_until_no_caller_comes_back_to_its_streams() {
    let mut versions = versions(&[("v1", 0), ("v2", 1_000)]);
    versions.see(&name::Software::from("v2"), at(9_000));
    versions.expire(RETENTION, at(7_900));
    assert_eq!(versions.sole(), None);
    versions.expire(RETENTION, at(8_000));
    assert_eq!(versions.sole(), Some(&name::Software::from("v2")));
}

#[test]
fn of_several_origins_that_of_the_latest_run_holds_in_any_order() {
    for order in [[0, 1], [1, 0]] {
        let mut origins = Origins::default();
        for run in order {
            origins.record("a", origin(&format!("v{run}"), run), RETENTION, at(0));
        }
        assert_eq!(origins.get("a"), Some(&origin("v1", 1)));
    }
}

#[test]
fn memory_is_bounded_and_the_latest_origins_are_kept() {
    let mut origins = Origins::default();
    for stream in 0..60_000 {
        origins.record(&format!("s{stream}"), origin("v1", 0), RETENTION, at(stream / 100));
    }
    assert!(origins.len() <= 16_384, "{}", origins.len());
    assert!(origins.get("s59999").is_some());
    origins.expire(RETENTION, at(60_000));
    assert!(origins.is_empty());
}
