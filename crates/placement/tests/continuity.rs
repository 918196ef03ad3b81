//! Where streams go on that callers take up, on simulated fleets: lost calls, restarts, partitions and killed instances.

#[path = "support/returns.rs"]
mod returns;

use std::time::Duration;

use common::{clock::Moment, name};
use fleet::exchange::{Origin, Testimony, VersionAge};
use placement::continuity::{
    self, Answers, Decision, Origins, Versions,
    ledger::Ledger,
    tally::{Outcome, Tally},
    testimony::{self, Verdict},
};
use returns::{Plan, Power, simulate};
use yare::parameterized;

const SEEDS: u64 = 10;
/// Of the streams that are taken up, this many in ten go on, and soon after a loss of power of all instances.
const LEAST_IN_TEN: usize = 9;
const LEAST_IN_TEN_IN_RECOVERY: usize = 7;

const PLAN: Plan = Plan {
    instances: 7,
    streams_per_s: 20.0,
    loss: 0.0,
    restarts: 0,
    cuts: 0,
    killed: 0.0,
    power: Power::Stays,
    long_lived: 0.0,
    absence_ms: None,
};
const LARGE: Plan = Plan { instances: 70, streams_per_s: 30.0, ..PLAN };

#[parameterized(
    one_instance = { Plan { instances: 1, ..PLAN } },
    seven_instances = { PLAN },
    seventy_instances = { LARGE },
    three_hundred_instances = { Plan { instances: 300, streams_per_s: 40.0, ..PLAN } },
    lost_calls = { Plan { loss: 0.3, ..PLAN } },
    lost_calls_at_seventy = { Plan { loss: 0.3, ..LARGE } },
    restarts = { Plan { restarts: 6, ..PLAN } },
    restarts_at_seventy = { Plan { restarts: 60, ..LARGE } },
    cuts = { Plan { cuts: 3, ..PLAN } },
    cuts_at_seventy = { Plan { cuts: 20, ..LARGE } },
    killed_first_instances = { Plan { killed: 0.01, ..PLAN } },
    killed_at_seventy = { Plan { killed: 0.02, ..LARGE } },
    power_of_one = { Plan { instances: 1, power: Power::EntriesLose, ..PLAN } },
    power_of_the_entries = { Plan { power: Power::EntriesLose, ..PLAN } },
    power_of_seventy = { Plan { power: Power::EntriesLose, ..LARGE } },
    power_of_all_at_seventy = { Plan { power: Power::AllLose, ..LARGE } },
    the_first_version_returns_soon = { Plan { absence_ms: Some(3_000), killed: 0.02, ..PLAN } },
    it_returns_before_all_have_forgotten_it = { Plan { absence_ms: Some(9_000), killed: 0.02, ..PLAN } },
    it_returns = { Plan { absence_ms: Some(13_000), killed: 0.02, ..PLAN } },
    it_returns_at_one = { Plan { instances: 1, absence_ms: Some(13_000), killed: 0.02, ..PLAN } },
    it_returns_late_at_seventy = { Plan { absence_ms: Some(50_000), killed: 0.02, ..LARGE } },
    it_returns_with_losses = {
        Plan { absence_ms: Some(13_000), loss: 0.2, restarts: 3, cuts: 2, killed: 0.02, ..PLAN }
    },
    it_returns_after_all_lost_power = {
        Plan { absence_ms: Some(13_000), power: Power::AllLose, killed: 0.02, ..PLAN }
    },
    long_lived = { Plan { long_lived: 0.5, killed: 0.02, ..PLAN } },
    long_lived_with_restarts_at_seventy = { Plan { long_lived: 0.5, restarts: 60, ..LARGE } },
    long_lived_and_power_of_all = {
        Plan { long_lived: 0.5, restarts: 3, power: Power::AllLose, ..PLAN }
    },
    long_lived_and_the_first_version_returns = {
        Plan { long_lived: 0.5, absence_ms: Some(13_000), killed: 0.02, ..PLAN }
    },
    all_at_once = { Plan { loss: 0.1, restarts: 3, cuts: 2, killed: 0.005, power: Power::EntriesLose, ..PLAN } },
)]
fn streams_go_on_at_their_software_version_and_most_do(plan: Plan) {
    for seed in 0..SEEDS {
        let figures = simulate(&plan, seed);
        assert_eq!(figures.mixed, 0, "{plan:?}: {figures:?}");
        assert!(figures.taken_up >= 12, "{plan:?}: {figures:?}");
        assert!(10 * figures.went_on >= LEAST_IN_TEN * figures.taken_up, "{plan:?}: {figures:?}");
        let (went_on, taken_up) = (figures.went_on_in_recovery, figures.taken_up_in_recovery);
        assert!(
            10 * went_on >= LEAST_IN_TEN_IN_RECOVERY * taken_up || taken_up < 12,
            "{plan:?}: {figures:?}"
        );
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
    let decision = continuity::decide(None, Answers::Known(origin("v2", 0)), RETENTION);
    let service = Some(name::Service::from("engines"));
    assert_eq!(decision, Decision::At { service, software: "v2".into() });
}

/// What a control instance says that has no record: versions with the times since each was first and last seen.
fn testimony(complete_ms: u64, versions: &[(&str, u64, u64)]) -> Testimony {
    let age = |(software, first_ms, last_ms): &(&str, u64, u64)| VersionAge {
        software: name::Software::from(*software),
        first_ms: *first_ms,
        last_ms: *last_ms,
    };
    Testimony { origin: None, complete_ms, versions: versions.iter().map(age).collect() }
}

const LONG_MS: u64 = 60_000;

#[parameterized(
    one_version = { &[testimony(LONG_MS, &[("v1", 20_000, 0)])], Some("v1") },
    one_version_after_a_restart_of_all = { &[testimony(500, &[("v1", 20_000, 0)])], Some("v1") },
    began_before_the_second_version_came = {
        &[testimony(LONG_MS, &[("v1", 20_000, 0), ("v2", 5_000, 0)])], Some("v1")
    },
    some_know_the_first_only = {
        &[testimony(LONG_MS, &[("v1", 20_000, 0), ("v2", 5_000, 0)]), testimony(LONG_MS, &[("v1", 20_000, 0)])],
        Some("v1")
    },
    began_long_after_the_second_version_came = {
        &[testimony(LONG_MS, &[("v1", 20_000, 0), ("v2", 9_000, 0)])], Some("v1")
    },
    one_knows_both_since_it_started = {
        &[testimony(LONG_MS, &[("v1", 4_000, 0), ("v2", 4_000, 0)]),
          testimony(LONG_MS, &[("v1", 20_000, 0), ("v2", 9_000, 0)])],
        Some("v1")
    },
    both_came_within_a_second = {
        &[testimony(LONG_MS, &[("v1", 5_900, 0), ("v2", 5_000, 0)])], None
    },
    records_may_be_lost = { &[testimony(500, &[("v1", 20_000, 0), ("v2", 5_000, 0)])], None },
    one_of_three_may_have_lost_records = {
        &[testimony(500, &[("v1", 20_000, 0), ("v2", 5_000, 0)]),
          testimony(LONG_MS, &[("v1", 20_000, 0), ("v2", 5_000, 0)]),
          testimony(LONG_MS, &[("v1", 20_000, 0), ("v2", 5_000, 0)])],
        Some("v1")
    },
    one_of_two_may_have_lost_records = {
        &[testimony(500, &[("v1", 20_000, 0), ("v2", 5_000, 0)]),
          testimony(LONG_MS, &[("v1", 20_000, 0), ("v2", 5_000, 0)])],
        None
    },
    records_of_long_ago_may_be_lost = {
        &[testimony(500, &[("v1", 90_000, 40_000), ("v2", 60_000, 0)])], None
    },
    both_were_there_at_the_start = {
        &[testimony(LONG_MS, &[("v1", 5_000, 0), ("v2", 5_000, 0)])], None
    },
    the_first_has_gone_long_ago = {
        &[testimony(LONG_MS, &[("v1", 60_000, 9_000), ("v2", 30_000, 0)])], Some("v2")
    },
    no_target_is_known = { &[testimony(LONG_MS, &[])], None },
    the_first_has_returned = {
        &[testimony(LONG_MS, &[("v1", 60_000, 20_000), ("v1", 800, 0), ("v2", 30_000, 0)])], Some("v2")
    },
    only_one_has_learnt_of_its_return = {
        &[testimony(LONG_MS, &[("v1", 60_000, 20_000), ("v2", 30_000, 0)]),
          testimony(LONG_MS, &[("v1", 60_000, 20_000), ("v1", 100, 0), ("v2", 30_000, 0)])],
        Some("v2")
    },
    one_was_just_started_and_has_not_learnt_of_its_absence = {
        &[testimony(LONG_MS, &[("v1", 60_000, 0), ("v2", 30_000, 0)]),
          testimony(LONG_MS, &[("v1", 60_000, 20_000), ("v1", 800, 0), ("v2", 30_000, 0)])],
        Some("v2")
    },
    the_first_was_away_for_a_moment = {
        &[testimony(LONG_MS, &[("v1", 60_000, 5_000), ("v1", 800, 0), ("v2", 30_000, 0)])], Some("v1")
    },
    some_instances_may_have_forgotten_the_first = {
        &[testimony(LONG_MS, &[("v1", 60_000, 9_000), ("v1", 800, 0), ("v2", 30_000, 0)])], None
    },
    the_second_was_away = {
        &[testimony(LONG_MS, &[("v1", 60_000, 0), ("v2", 50_000, 30_000), ("v2", 800, 0)])], Some("v1")
    },
    the_first_returns_as_the_third_comes = {
        &[testimony(LONG_MS, &[("v1", 60_000, 20_000), ("v1", 800, 0), ("v3", 900, 0), ("v2", 30_000, 0)])],
        Some("v2")
    },
)]
fn without_a_record_only_a_version_that_was_alone_is_taken(
    testimonies: &[Testimony],
    expected: Option<&str>,
) {
    let software = testimony::conclude(testimonies, RETENTION);
    assert_eq!(software, expected.map(name::Software::from));
}

#[parameterized(
    began_before_the_second_version_came = { &[("v1", 0), ("v2", 20_000)], Answers::UnrecordedAtEntries, Some("v1") },
    it_came_long_ago = { &[("v1", 0), ("v2", 10_000)], Answers::UnrecordedAtEntries, Some("v1") },
    both_were_there_at_the_start = { &[("v1", 20_000), ("v2", 20_000)], Answers::UnrecordedAtEntries, None },
    an_entry_does_not_answer = { &[("v1", 0), ("v2", 20_000)], Answers::MissingAtEntries, None },
    one_version = { &[("v1", 0)], Answers::MissingAtEntries, Some("v1") },
    no_target_is_known = { &[], Answers::UnrecordedAtEntries, None },
    control_does_not_answer = { &[("v1", 0)], Answers::Missing, None },
)]
fn beside_control_instances_of_an_earlier_build_the_instances_own_view_decides(
    seen: &[(&str, u64)],
    answers: Answers,
    expected: Option<&str>,
) {
    let decision = continuity::decide(Some(&versions(seen)), answers, RETENTION);
    let expected = expected.map_or(Decision::Refuse, |software| Decision::At {
        service: None,
        software: software.into(),
    });
    assert_eq!(decision, expected);
}

#[test]
fn a_version_is_settled_once_no_stream_of_another_one_may_be_taken_up() {
    let mut versions = versions(&[("v1", 0)]);
    assert_eq!(versions.settled(RETENTION, at(7_999)), None);
    assert_eq!(versions.settled(RETENTION, at(8_000)), Some(&name::Software::from("v1")));
    versions.see(&name::Software::from("v2"), at(9_000));
    assert_eq!(versions.settled(RETENTION, at(9_000)), None);
}

// ORDER: an instance that was stopped for some seconds must not take the targets for having been away.
#[test]
fn only_an_absence_that_was_observed_counts() {
    let (first, second) = (name::Software::from("v1"), name::Software::from("v2"));
    let mut versions = versions(&[("v1", 0), ("v2", 20_000)]);
    versions.see(&first, at(40_000));
    assert_eq!(versions.oldest(RETENTION), Some(&first));
    assert!(!versions.observe(|_| true, at(60_000)));
    assert!(!versions.observe(|software| *software == second, at(60_500)));
    assert!(versions.observe(|software| *software == second, at(61_500)));
    assert!(!versions.is_present(&first));
    versions.see(&first, at(72_000));
    assert!(versions.is_present(&first));
    assert_eq!(versions.oldest(RETENTION), Some(&second));
    let mut learnt = Versions::default();
    learnt.learn_ages(&versions.ages(at(72_000)), at(72_000));
    assert_eq!(learnt.oldest(RETENTION), Some(&second));
}

#[test]
fn an_absence_outlives_a_restart_and_the_restart_is_none() {
    let (first, second) = (name::Software::from("v1"), name::Software::from("v2"));
    let mut before = versions(&[("v1", 0), ("v2", 20_000)]);
    before.observe(|software| *software == second, at(22_000));
    let saved = before.ages(at(22_000));
    let mut versions = Versions::default();
    versions.restore(&saved, at(22_000));
    versions.resume(at(50_000));
    versions.see(&first, at(51_000));
    versions.see(&second, at(51_000));
    assert_eq!(versions.oldest(RETENTION), Some(&second));
    let restored = versions.ages(at(51_000));
    assert_eq!(restored.iter().filter(|age| age.software == second).count(), 1, "{restored:?}");
}

#[test]
fn absences_are_bounded_and_the_longest_are_kept() {
    let software = name::Software::from("v1");
    let mut versions = versions(&[("v1", 0)]);
    versions.observe(|_| false, at(2_000));
    versions.see(&software, at(30_000));
    for flap in 1..100 {
        versions.see(&software, at(30_000 + flap * 3_000));
        versions.observe(|_| false, at(31_500 + flap * 3_000));
    }
    let ages = versions.ages(at(400_000));
    assert!(ages.len() <= 5, "{ages:?}");
    assert!(ages.iter().any(|age| age.first_ms == 370_000), "{ages:?}");
}

#[test]
fn a_ledger_that_evicts_says_since_when_it_is_complete() {
    let mut ledger = Ledger::new(at(0));
    ledger.restore(Moment::default());
    for stream in 0..140_000 {
        let began = at(stream / 100);
        let until = began + Duration::from_secs(40);
        ledger.keep(&format!("s{stream}"), origin("v1", 0), until, began);
    }
    let testimony = ledger.testify("s139999", None, at(1_400));
    assert_eq!(testimony.origin, Some(origin("v1", 0)));
    assert!(testimony.complete_ms < 1_000, "{testimony:?}");
    assert!(ledger.testify("s0", None, at(1_400)).origin.is_none());
    let is_complete = |ledger: &Ledger, ms| {
        let complete_ms = ledger.testify("s0", None, at(ms)).complete_ms;
        Duration::from_millis(complete_ms) >= continuity::RETENTION
    };
    // The last stream that had to go began at 0.65 s or later.
    assert!(!is_complete(&ledger, 40_600));
    assert!(is_complete(&ledger, 40_800));
    ledger.expire(at(60_000));
    assert!(ledger.is_empty());
}

fn with_origin(software: &str, run: u32) -> Testimony {
    Testimony { origin: Some(origin(software, run)), ..testimony(LONG_MS, &[]) }
}

fn recorded(software: &str, run: u32) -> Verdict {
    Verdict::Recorded(origin(software, run))
}

#[parameterized(
    a_majority_has_it = { &[with_origin("v1", 0), with_origin("v1", 0)], recorded("v1", 0) },
    of_two_runs_the_later = { &[with_origin("v1", 0), with_origin("v2", 1)], recorded("v2", 1) },
    one_has_it = { &[with_origin("v1", 0)], Verdict::Unclear },
    one_has_it_and_one_lacks_it = { &[with_origin("v1", 0), testimony(LONG_MS, &[])], Verdict::Unclear },
    one_has_it_and_one_may_have_lost_it = { &[with_origin("v1", 0), testimony(100, &[])], Verdict::Unclear },
    two_lack_it = {
        &[with_origin("v1", 0), testimony(LONG_MS, &[]), testimony(LONG_MS, &[])], Verdict::Unrecorded
    },
    a_majority_has_none = { &[testimony(LONG_MS, &[]), testimony(LONG_MS, &[])], Verdict::Unrecorded },
    one_of_two_may_have_lost_it = { &[testimony(LONG_MS, &[]), testimony(100, &[])], Verdict::Unclear },
    one_of_two_may_have_lost_it_and_there_is_one_version = {
        &[testimony(LONG_MS, &[("v1", 20_000, 0)]), testimony(100, &[("v1", 20_000, 0)])],
        Verdict::Unrecorded
    },
    one_of_three_may_have_lost_it = {
        &[testimony(LONG_MS, &[]), testimony(100, &[]), testimony(LONG_MS, &[])], Verdict::Unrecorded
    },
    two_of_three_may_have_lost_it = {
        &[testimony(LONG_MS, &[]), testimony(100, &[]), testimony(100, &[])], Verdict::Unrecorded
    },
    one_answers = { &[testimony(LONG_MS, &[])], Verdict::Unclear },
    nobody_answers = { &[], Verdict::Unclear },
)]
fn an_origin_that_a_minority_has_was_not_recorded_in_time(
    testimonies: &[Testimony],
    expected: Verdict,
) {
    assert_eq!(testimony::judge(testimonies, 3, RETENTION), expected);
}

#[parameterized(
    a_majority_of_three = { Tally { control: 3, kept: 2, ..Tally::default() }, true },
    one_of_three = { Tally { control: 3, kept: 1, kept_at_entry: true, ..Tally::default() }, false },
    one_of_one = { Tally { control: 1, kept: 1, ..Tally::default() }, true },
    earlier_builds = { Tally { control: 3, refused: 2, kept_at_entry: true, ..Tally::default() }, true },
    earlier_builds_and_no_entry = { Tally { control: 3, refused: 3, ..Tally::default() }, false },
    no_control_known = { Tally { kept_at_entry: true, ..Tally::default() }, true },
    nothing = { Tally::default(), false },
)]
fn an_origin_is_recorded_once_all_that_ask_find_it(tally: Tally, recorded: bool) {
    assert_eq!(tally.is_recorded(), recorded);
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

#[parameterized(
    nobody_was_sent_it = { Tally { control: 3, ..Tally::default() }, Outcome::Unrecorded },
    one_may_have_it = { Tally { control: 3, sent: 1, ..Tally::default() }, Outcome::Unrecorded },
    two_may_have_it = { Tally { control: 3, sent: 2, ..Tally::default() }, Outcome::Uncertain },
    two_could_not_save_it = { Tally { control: 3, sent: 3, unsaved: 2, ..Tally::default() }, Outcome::Unrecorded },
    earlier_builds = { Tally { control: 3, sent: 3, refused: 2, ..Tally::default() }, Outcome::Unrecorded },
    two_have_it = { Tally { control: 3, sent: 3, kept: 2, ..Tally::default() }, Outcome::Recorded },
)]
fn a_record_that_is_withdrawn_is_uncertain_if_a_majority_may_have_it(
    tally: Tally,
    expected: Outcome,
) {
    let mut tally = tally;
    assert_eq!(tally.withdraw(), expected);
    assert!(!tally.send(), "it must not be sent any more");
}

#[test]
fn of_several_origins_that_of_the_latest_run_holds_in_any_order() {
    for order in [[0, 1], [1, 0]] {
        let mut origins = Origins::default();
        for run in order {
            origins.record("a", origin(&format!("v{run}"), run), at(8_000), at(0));
        }
        assert_eq!(origins.get("a"), Some(&origin("v1", 1)));
    }
}

#[test]
fn memory_is_bounded_and_the_latest_origins_are_kept() {
    let mut origins = Origins::default();
    for stream in 0..60_000 {
        let began = at(stream / 100);
        let until = began + Duration::from_secs(8);
        origins.record(&format!("s{stream}"), origin("v1", 0), until, began);
    }
    assert!(origins.len() <= 16_384, "{}", origins.len());
    assert!(origins.get("s59999").is_some());
    origins.expire(at(60_000));
    assert!(origins.is_empty());
}
