//! Announcements that arrive late, twice, out of order or in conflict, and the replicated register.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use common::{clock::Moment, name};
use credentials::lease::Reading;
use fleet::{
    capacity::{Capacity, Limits},
    exchange,
    register::{Command, Document, Grant, Register, Reply},
    registry::{Merge, Registry, Stage, State, Target},
    usage,
};
use proptest::prelude::{Strategy, any, prop_assert_eq, proptest};

const NOW: Moment = Moment(1_000_000);

fn target(name: &str, port: u16, started: u64, sequence: u64, state: State) -> Target {
    Target {
        name: name::Target::from(name),
        service: name::Service::from("engines"),
        address: format!("10.0.0.1:{port}").parse().unwrap(),
        data_centre: name::DataCentre::from("suva"),
        state,
        stage: Some(Stage::Decode),
        slots: 64,
        started_unix_ms: started,
        software: name::Software::from("v1"),
        reclaimable: false,
        sequence,
    }
}

/// An empty registry of a fleet with two services.
fn registry() -> Registry {
    let mut registry = Registry::default();
    registry.set_services(0, ["engines", "portal"].map(name::Service::from));
    registry
}

fn state(registry: &Registry, name: &str) -> Option<State> {
    registry.target(&name::Target::from(name)).map(|target| target.state)
}

#[test]
fn a_late_announcement_does_not_make_a_draining_target_ready() {
    let mut registry = registry();
    assert_eq!(registry.merge(target("a", 1, 5, 1, State::Ready), NOW), Merge::Changed);
    assert_eq!(registry.merge(target("a", 1, 5, 3, State::Draining), NOW), Merge::Changed);
    assert_eq!(registry.merge(target("a", 1, 5, 2, State::Ready), NOW), Merge::Stale);
    assert_eq!(state(&registry, "a"), Some(State::Draining));
}

#[test]
fn a_gone_target_comes_back_only_with_a_later_start() {
    let mut registry = registry();
    registry.merge(target("a", 1, 5, 1, State::Ready), NOW);
    assert_eq!(registry.leave(&name::Target::from("a"), NOW), Merge::Changed);
    assert_eq!(registry.merge(target("a", 1, 5, 9, State::Ready), NOW), Merge::Stale);
    assert_eq!(registry.merge(target("a", 1, 6, 1, State::Ready), NOW), Merge::Changed);
    assert_eq!(state(&registry, "a"), Some(State::Ready));
}

#[test]
fn a_new_target_at_an_address_retires_the_earlier_one_whose_late_announcements_are_stale() {
    let mut registry = registry();
    registry.merge(target("a", 1, 5, 1, State::Ready), NOW);
    registry.merge(target("b", 1, 6, 1, State::Ready), NOW);
    assert_eq!(state(&registry, "a"), Some(State::Lost));
    assert_eq!(registry.merge(target("a", 1, 5, 7, State::Ready), NOW), Merge::Stale);
    assert_eq!(state(&registry, "b"), Some(State::Ready));
    registry.leave(&name::Target::from("b"), NOW);
    assert_eq!(state(&registry, "a"), Some(State::Gone));
    assert_eq!(registry.merge(target("a", 1, 5, 8, State::Ready), NOW), Merge::Stale);
}

/// Announces a target again and again for a time; returns when it was ready first.
fn announce_for(registry: &mut Registry, name: &str, started: u64, length_ms: u64) -> Option<u64> {
    let mut ready_at = None;
    for elapsed_ms in (0..length_ms).step_by(1_200) {
        let sequence = 10 + elapsed_ms;
        let now = NOW + Duration::from_millis(elapsed_ms);
        registry.announce(target(name, 1, started, sequence, State::Ready), now);
        if state(registry, name) == Some(State::Ready) {
            ready_at = ready_at.or(Some(elapsed_ms));
        }
    }
    ready_at
}

// LOST: one entry with the address of a sound target and a later start took it out of service for good.
#[test]
fn a_target_that_goes_on_announcing_itself_outlives_an_entry_that_does_not() {
    for later_start in [6, u64::MAX] {
        let mut registry = registry();
        registry.announce(target("a", 1, 5, 1, State::Ready), NOW);
        registry.announce(target("odd", 1, later_start, 1, State::Ready), NOW);
        assert_eq!(state(&registry, "a"), Some(State::Lost));
        let ready_at = announce_for(&mut registry, "a", 5, 12_000);
        assert!(ready_at.is_some_and(|ms| ms < 5_000), "{ready_at:?}");
        assert_eq!(state(&registry, "odd"), Some(State::Lost));
    }
}

#[test]
fn late_announcements_do_not_bring_back_a_target_whose_successor_goes_on() {
    let mut registry = registry();
    registry.announce(target("a", 1, 5, 1, State::Ready), NOW);
    registry.announce(target("b", 1, 6, 1, State::Ready), NOW);
    announce_for(&mut registry, "b", 6, 12_000);
    let late = NOW + Duration::from_secs(16);
    assert_eq!(registry.announce(target("a", 1, 5, 9, State::Ready), late), Merge::Stale);
    assert_eq!(state(&registry, "b"), Some(State::Ready));
}

#[test]
fn an_announcement_with_another_service_or_address_is_stale() {
    let mut registry = registry();
    registry.merge(target("a", 1, 5, 1, State::Ready), NOW);
    let moved =
        Target { service: name::Service::from("portal"), ..target("a", 1, 5, 2, State::Ready) };
    assert_eq!(registry.merge(moved, NOW), Merge::Stale);
    assert_eq!(registry.merge(target("a", 2, 5, 2, State::Ready), NOW), Merge::Stale);
}

#[test]
fn a_silent_target_is_lost_until_its_next_announcement() {
    let mut registry = registry();
    registry.merge(target("a", 1, 5, 1, State::Ready), NOW);
    let later = NOW + Duration::from_secs(20);
    let lost = registry.expire(NOW + Duration::from_secs(1), later);
    assert_eq!(lost, [name::Target::from("a")]);
    assert_eq!(registry.merge(target("a", 1, 5, 1, State::Ready), later), Merge::Stale);
    assert_eq!(registry.merge(target("a", 1, 5, 2, State::Ready), later), Merge::Changed);
}

#[test]
fn a_repeated_announcement_that_changes_no_routing_field_is_confirmed() {
    let mut registry = registry();
    registry.merge(target("a", 1, 5, 1, State::Ready), NOW);
    let revision = registry.revision();
    assert_eq!(registry.merge(target("a", 1, 5, 2, State::Ready), NOW), Merge::Confirmed);
    assert_eq!(registry.changed_since(revision).count(), 0);
    assert_eq!(registry.announced_since(revision).count(), 1);
}

fn announcements() -> impl Strategy<Value = Vec<Target>> {
    let one = (0_usize..3, 1_u64..4, 1_u64..6, any::<bool>()).prop_map(
        |(name, started, sequence, drains)| {
            let names = ["a", "b", "c"];
            let state = if drains && sequence > 3 { State::Draining } else { State::Ready };
            // Announcements with the same sequence number have the same content.
            let state = if sequence == 5 {
                State::Draining
            } else if sequence == 4 {
                State::Ready
            } else {
                state
            };
            let port = 1 + u16::try_from(name).unwrap();
            target(names[name], port, started, sequence, state)
        },
    );
    proptest::collection::vec(one, 1..24)
}

proptest! {
    #[test]
    fn registries_converge_in_any_order_of_arrival(announcements in announcements()) {
        let mut forward = registry();
        let mut backward = registry();
        for target in &announcements {
            forward.merge(target.clone(), NOW);
        }
        for target in announcements.iter().rev().chain(&announcements) {
            backward.merge(target.clone(), NOW);
        }
        for name in ["a", "b", "c"] {
            let name = name::Target::from(name);
            prop_assert_eq!(forward.target(&name), backward.target(&name));
        }
    }
}

#[test]
fn the_register_keeps_the_first_content_of_the_highest_version() {
    let mut register = Register::default();
    let offer = |version, byte| Command::Offer(Document { version, bytes: vec![byte] });
    assert_eq!(register.apply(1, &offer(3, 1)), Reply::Held(3));
    assert_eq!(register.apply(2, &offer(3, 2)), Reply::Held(3));
    assert_eq!(register.apply(3, &offer(2, 3)), Reply::Held(3));
    assert_eq!(register.newest().unwrap().bytes, [1]);
    assert_eq!(register.apply(4, &offer(5, 4)), Reply::Held(5));
}

#[test]
fn each_grant_has_a_higher_fence_and_names_the_previous_holder() {
    let mut register = Register::default();
    let claim = |name: &str| Command::Claim(name::Instance::from(name));
    let grant = |fence, previous: Option<&str>| {
        Reply::Granted(Grant { fence, previous: previous.map(name::Instance::from) })
    };
    assert_eq!(register.apply(4, &claim("a")), grant(4, None));
    assert_eq!(register.apply(5, &claim("a")), grant(5, None));
    assert_eq!(register.apply(9, &claim("b")), grant(9, Some("a")));
    assert_eq!(register.apply(12, &claim("a")), grant(12, Some("b")));
}

#[test]
fn invalid_bytes_decode_to_none() {
    assert_eq!(exchange::decode::<exchange::Question>(&[250, 1, 2]), None);
    let question = exchange::Question::Fetch { above: 4 };
    assert_eq!(exchange::decode(&exchange::encode(&question)), Some(question));
}

#[test]
fn targets_carry_their_software_and_are_read_with_and_without_it() {
    let targets = vec![target("a", 1, 5, 1, State::Ready), target("b", 2, 5, 1, State::Ready)];
    let bytes = exchange::encode_targets(&targets);
    assert_eq!(exchange::decode_targets(&bytes), Some(targets.clone()));
    // An earlier build sends and reads the targets alone.
    let unknown =
        |target: &Target| Target { software: name::Software::default(), ..target.clone() };
    let without: Vec<Target> = targets.iter().map(unknown).collect();
    assert_eq!(exchange::decode_targets(&exchange::encode(&targets)), Some(without.clone()));
    assert_eq!(exchange::decode::<Vec<Target>>(&bytes), Some(without));
    let update = exchange::Update {
        reading: None,
        predecessor: None,
        cursor: exchange::Cursor::default(),
        contact: true,
        version: 3,
        targets,
        changing: Vec::new(),
        control: Vec::new(),
        entries: Vec::new(),
        versions: vec![exchange::ServiceVersions {
            service: "engines".into(),
            ages: vec![exchange::VersionAge {
                software: "v1".into(),
                first_ms: 5_000,
                last_ms: 200,
            }],
        }],
        roster: 7,
    };
    let answer = exchange::Answer::Update(update.clone());
    let bytes = exchange::encode_answer(&answer);
    assert_eq!(exchange::decode_answer(&bytes), Some(answer.clone()));
    // The build before sends no digest, and leaves it unread.
    let without_digest = exchange::Update { roster: 0, ..update.clone() };
    let software = exchange::encode(&["v1", "v1"].as_slice());
    let earlier =
        [exchange::encode(&answer), software, exchange::encode(&update.versions)].concat();
    assert_eq!(
        exchange::decode_answer(&earlier),
        Some(exchange::Answer::Update(without_digest.clone()))
    );
    assert!(bytes.starts_with(&earlier));
    // The one before that sends no ages, and leaves them unread.
    let without =
        exchange::Answer::Update(exchange::Update { versions: Vec::new(), ..without_digest });
    let software = exchange::encode(&["v1", "v1"].as_slice());
    let earlier = [exchange::encode(&answer), software].concat();
    assert_eq!(exchange::decode_answer(&earlier), Some(without));
    assert!(bytes.starts_with(&earlier));
}

/// Guards against an encoding that the previous build can't read, and against a flag that is lost on the way.
#[test]
fn which_targets_are_reclaimable_follows_what_an_earlier_build_reads() {
    let reclaimable = Target { reclaimable: true, ..target("b", 2, 5, 1, State::Ready) };
    let targets = vec![target("a", 1, 5, 1, State::Ready), reclaimable.clone()];
    let bytes = exchange::encode_targets(&targets);
    assert_eq!(exchange::decode_targets(&bytes), Some(targets.clone()));
    let software = exchange::encode(&["v1", "v1"].as_slice());
    let earlier = [exchange::encode(&targets), software.clone()].concat();
    assert!(bytes.starts_with(&earlier));
    let update = exchange::Update {
        cursor: exchange::Cursor::default(),
        contact: true,
        version: 3,
        targets,
        changing: Vec::new(),
        control: Vec::new(),
        entries: Vec::new(),
        versions: Vec::new(),
        roster: 7,
        reading: None,
        predecessor: None,
    };
    let answer = exchange::Answer::Update(update.clone());
    let bytes = exchange::encode_answer(&answer);
    assert_eq!(exchange::decode_answer(&bytes), Some(answer.clone()));
    let extension = exchange::encode(&(&update.versions, update.roster));
    let earlier = [exchange::encode(&answer), software, extension.clone()].concat();
    assert!(bytes.starts_with(&earlier));
    // A build with readings alone finds one from long ago, or the one that there is.
    let start = [exchange::encode(&answer), exchange::encode(&["v1", "v1"].as_slice()), extension];
    let tail = bytes[start.concat().len()..].to_vec();
    let reading: Reading = exchange::decode(&tail).unwrap();
    assert_eq!(reading.began_at(NOW), Moment(0));
    let reading = Some(Reading { version: 3, age_ms: 20, held_ms: 10 });
    let answer = exchange::Answer::Update(exchange::Update { reading, ..update });
    let bytes = exchange::encode_answer(&answer);
    assert_eq!(exchange::decode_answer(&bytes), Some(answer));
    assert_eq!(exchange::decode(&bytes[start.concat().len()..]), reading);
    // An instance of an earlier build passes the target on without the flag.
    let mut registry = registry();
    registry.merge(reclaimable, NOW);
    registry.merge(target("b", 2, 5, 2, State::Draining), NOW);
    assert!(registry.target(&name::Target::from("b")).unwrap().reclaimable);
    registry.merge(target("b", 2, 6, 1, State::Ready), NOW);
    assert!(!registry.target(&name::Target::from("b")).unwrap().reclaimable);
}

#[test]
fn an_earlier_build_refuses_the_questions_that_it_does_not_know() {
    // The last question that the build before knows is the eighth.
    let origin = exchange::Origin { service: "engines".into(), software: "v1".into(), run: 0 };
    let beginning = exchange::Beginning { stream: "s".into(), origin, lifetime_ms: None };
    let keep = exchange::Question::KeepOrigins(vec![beginning]);
    let testify = exchange::Question::Testify { stream: "s".into(), service: None };
    assert_eq!(exchange::encode(&keep)[0], 7);
    assert_eq!(exchange::encode(&testify)[0], 8);
}

#[test]
fn an_earlier_build_reads_the_answer_without_the_requests_that_end_targets() {
    let parts = exchange::Notice::Suspicions { service: "a".into(), suspicions: Vec::new() };
    let crashes = exchange::Crashes {
        request: exchange::Digest(u128::MAX),
        clearings: 1,
        processes: vec![3, 4],
        trials: 0,
        age_ms: 20,
    };
    let answer =
        exchange::Answer::Suspicions(vec![parts.clone(), exchange::Notice::Crashes(vec![crashes])]);
    let bytes = exchange::encode_answer(&answer);
    assert_eq!(exchange::decode_answer(&bytes), Some(answer));
    let earlier = exchange::Answer::Suspicions(vec![parts]);
    assert_eq!(exchange::decode(&bytes), Some(earlier.clone()));
    assert_eq!(exchange::decode_answer(&exchange::encode(&earlier)), Some(earlier));
}

#[test]
fn a_process_keeps_its_software_when_an_earlier_build_reports_it() {
    let mut registry = registry();
    registry.merge(target("a", 1, 5, 1, State::Ready), NOW);
    let report = target("a", 1, 5, 2, State::Ready);
    registry.merge(Target { software: name::Software::default(), ..report }, NOW);
    let software =
        |registry: &Registry| registry.target(&name::Target::from("a")).unwrap().software.clone();
    assert_eq!(software(&registry), name::Software::from("v1"));
    registry.merge(Target { software: "v2".into(), ..target("a", 1, 6, 1, State::Ready) }, NOW);
    assert_eq!(software(&registry), name::Software::from("v2"));
}

// LOST: an entry of another writer took the target at its address out of service.
#[test]
fn a_target_of_a_service_that_is_not_declared_replaces_none() {
    let mut registry = registry();
    registry.merge(target("a", 1, 5, 1, State::Ready), NOW);
    let mut other = target("b", 1, 6, 1, State::Ready);
    other.service = name::Service::from("surveys");
    registry.merge(other.clone(), NOW);
    assert_eq!(state(&registry, "a"), Some(State::Ready));
    assert_eq!(registry.merge(target("a", 1, 5, 2, State::Ready), NOW), Merge::Confirmed);
    registry.set_services(1, ["engines", "surveys"].map(name::Service::from));
    registry.merge(Target { sequence: 2, ..other }, NOW);
    assert_eq!(state(&registry, "a"), Some(State::Lost), "a successor once it is declared");
}

#[test]
fn an_instance_that_hears_of_a_lost_target_keeps_the_one_at_its_address() {
    let mut registry = registry();
    registry.merge(target("a", 1, 5, 8, State::Ready), NOW);
    registry.merge(target("odd", 1, 6, 1, State::Lost), NOW);
    assert_eq!(state(&registry, "a"), Some(State::Ready));
}

#[test]
fn before_the_first_configuration_no_target_replaces_another() {
    let mut registry = Registry::default();
    registry.merge(target("a", 1, 5, 8, State::Ready), NOW);
    registry.merge(target("b", 1, 6, 1, State::Ready), NOW);
    assert_eq!(state(&registry, "a"), Some(State::Ready));
    registry.set_services(1, [name::Service::from("engines")]);
    registry.merge(target("b", 1, 6, 2, State::Ready), NOW);
    assert_eq!(state(&registry, "a"), Some(State::Lost));
}

// DRAIN: the instance that a target told may have an earlier announcement of it than others.
#[test]
fn a_departure_holds_at_an_instance_that_has_a_later_announcement() {
    let mut registry = registry();
    registry.merge(target("a", 1, 5, 9, State::Ready), NOW);
    assert_eq!(registry.merge(target("a", 1, 5, 7, State::Gone), NOW), Merge::Changed);
    assert_eq!(registry.merge(target("a", 1, 5, 10, State::Ready), NOW), Merge::Stale);
    assert_eq!(registry.merge(target("a", 1, 6, 1, State::Ready), NOW), Merge::Changed);
    assert_eq!(registry.merge(target("a", 1, 5, 11, State::Gone), NOW), Merge::Stale);
}

#[test]
fn the_predecessor_of_an_announcement_is_the_target_in_service_at_its_address() {
    let mut registry = registry();
    registry.merge(target("a", 1, 5, 1, State::Ready), NOW);
    registry.merge(target("b", 2, 5, 1, State::Ready), NOW);
    let predecessor = |registry: &Registry, target: &Target| {
        registry.predecessor(target).map(|predecessor| predecessor.name.0.clone())
    };
    let later = target("c", 1, 6, 1, State::Ready);
    assert_eq!(predecessor(&registry, &later).as_deref(), Some("a"));
    assert_eq!(predecessor(&registry, &target("c", 1, 4, 1, State::Ready)), None);
    assert_eq!(predecessor(&registry, &target("c", 3, 6, 1, State::Ready)), None);
    assert_eq!(predecessor(&registry, &target("a", 1, 6, 1, State::Ready)), None);
    let undeclared = Target { service: name::Service::from("surveys"), ..later.clone() };
    assert_eq!(predecessor(&registry, &undeclared), None);
    registry.merge(later, NOW);
    assert_eq!(predecessor(&registry, &target("d", 1, 7, 1, State::Ready)).as_deref(), Some("c"));
    assert_eq!(predecessor(&registry, &target("c", 1, 6, 2, State::Ready)), None);
}

#[test]
fn a_target_that_is_there_gets_its_address_back_from_later_ones() {
    let mut registry = registry();
    registry.merge(target("a", 1, 5, 1, State::Ready), NOW);
    assert!(!registry.is_replaced(&target("a", 1, 5, 2, State::Ready)));
    registry.merge(target("c", 1, 6, 1, State::Ready), NOW);
    registry.merge(target("b", 2, 9, 1, State::Ready), NOW);
    let again = target("a", 1, 5, 2, State::Ready);
    assert!(registry.is_replaced(&again));
    registry.expire_later_at_address(&again, NOW);
    assert_eq!(registry.announce(again, NOW), Merge::Changed);
    let states = ["a", "b", "c"].map(|name| state(&registry, name));
    assert_eq!(states, [Some(State::Ready), Some(State::Ready), Some(State::Lost)]);
}

/// An older build reads the beginning of a snapshot with usage, and a snapshot of it has none.
#[test]
fn snapshots_with_and_without_usage_are_readable() {
    #[derive(Debug, PartialEq, serde::Deserialize, serde::Serialize)]
    struct Earlier {
        newest: Option<Document>,
        holder: Option<name::Instance>,
    }
    let document = Document { version: 3, bytes: vec![1, 2, 3] };
    let mut register = Register::default();
    register.apply(1, &Command::Offer(document.clone()));
    register.apply(2, &Command::Claim(name::Instance::from("a")));
    let earlier = Earlier { newest: Some(document), holder: Some(name::Instance::from("a")) };
    assert_eq!(register.encode(), exchange::encode(&earlier));
    assert_eq!(Register::decode(&exchange::encode(&earlier)), Some(register.clone()));
    let counts = usage::Counts::from([(name::Organisation::from("opal"), 5)]);
    let reply = register.apply(3, &Command::FixUsage { window: 9, counts: counts.clone() });
    assert_eq!(reply, Reply::Usage(usage::Window::Pending(counts)));
    register.apply(4, &Command::SettleUsage { window: 8 });
    assert_eq!(exchange::decode::<Earlier>(&register.encode()), Some(earlier));
    assert_eq!(Register::decode(&register.encode()), Some(register));
}

/// Guards against a snapshot that builds without capacities can't read, against a capacity that shrinks to what a holder
/// finds later, and against one that outlives the limits under which it was found.
#[test]
fn capacities_grow_under_the_same_limits_and_follow_the_usage_in_a_snapshot() {
    let service = name::Service::from("engines");
    let limits = Limits { min: 1, max: 70 };
    let found = |limits, targets: &[(&str, u32)]| Capacity {
        limits,
        targets: targets.iter().map(|(centre, count)| ((*centre).into(), *count)).collect(),
    };
    let record = |capacity| Command::RecordCapacity { service: service.clone(), capacity };
    let mut register = Register::default();
    assert_eq!(register.apply(1, &record(found(limits, &[("suva", 35)]))), Reply::Recorded);
    register.apply(2, &record(found(limits, &[("suva", 5), ("apia", 36)])));
    let grown = found(limits, &[("suva", 35), ("apia", 36)]);
    assert_eq!(register.capacities().get(&service, limits), Some(&grown));
    // What a build with usage reads: the register without capacities, and the usage.
    let bytes = register.encode();
    let (_, rest) = postcard::take_from_bytes::<Register>(&bytes).unwrap();
    assert_eq!(exchange::decode::<usage::Fixed>(rest), Some(usage::Fixed::default()));
    assert_eq!(Register::decode(&bytes), Some(register.clone()));
    let lower = Limits { max: 20, ..limits };
    register.apply(3, &record(found(lower, &[("suva", 9)])));
    assert_eq!(register.capacities().get(&service, limits), None);
    assert_eq!(register.capacities().get(&service, lower), Some(&found(lower, &[("suva", 9)])));
}
