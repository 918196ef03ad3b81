//! Proposals that the planner makes from announcements, counters and settings.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{net::SocketAddr, time::Duration};

use common::{clock::Moment, name, role::Role};
use expect_test::expect;
use orders::{
    executor::Task,
    intent::{Intent, Proposal},
    planner::{Deployment, Input, Output, Planner, Process},
};
use roles::pool::Pool;
use settings::service::{Model, Roles, Service};
use wire::{
    peer::Offered,
    target::{Action, Announcement, Fencing, Kind, Load, Phase},
};

const START: Moment = Moment(1_000_000);
const READING_INTERVAL: Duration = Duration::from_secs(5);
const READINGS: u64 = 24;

fn engine(number: u32, role: Role) -> Announcement {
    Announcement {
        target: name::Target(format!("engine-{number}")),
        incarnation: 1,
        sequence: 1,
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        kind: Kind::Engine,
        partner: name::Partner::from("association"),
        service: name::Service::from("vent-llm"),
        data_centre: name::DataCentre::from("suva"),
        models: vec![String::from("small")],
        role,
        fencing: Fencing::Checked,
        cache_pieces: 0,
        slots: 16,
        lease_ms: 3_000,
        phase: Phase::Ready,
        load: Load::default(),
        cache_events: Vec::new(),
    }
}

fn engines() -> Vec<Announcement> {
    (0..6)
        .map(|number| engine(number, if number < 2 { Role::Prefill } else { Role::Decode }))
        .collect()
}

fn deployment(models: &[&str]) -> Deployment {
    let target = engine(0, Role::Mixed);
    let model = |name: &&str| Model { name: (*name).to_owned(), version: None, weight: 100 };
    Deployment {
        pool: Pool {
            partner: target.partner,
            service: target.service,
            data_centre: target.data_centre,
        },
        service: Service {
            models: models.iter().map(model).collect(),
            roles: Roles::default(),
            ..Service::default()
        },
    }
}

/// Feeds the planner with the counters of two instances. Together they count 8 requests a second, with `prompt` prompt
/// tokens and `output` output tokens each. Returns the time of the last reading.
fn observe(planner: &mut Planner, prompt: u64, output: u64) -> Moment {
    let mut now = START;
    for reading in 0..READINGS {
        now = START + READING_INTERVAL * u32::try_from(reading).unwrap();
        for instance in ["entry-1", "entry-2"] {
            let requests = reading * 20;
            let offered = Offered {
                partner: name::Partner::from("association"),
                service: name::Service::from("vent-llm"),
                requests,
                prompt_tokens: requests * prompt,
                answered: requests,
                output_tokens: requests * output,
            };
            let process = Process { instance: name::Instance::from(instance), incarnation: 1 };
            planner.observe(&name::DataCentre::from("suva"), &process, &[offered], now);
        }
    }
    now
}

fn render(output: &Output) -> String {
    let mut lines: Vec<String> = output.proposals.iter().map(line).collect();
    for pool in &output.pools {
        lines.push(format!(
            "{} now {} intended {}, {:.1} requests, {:.0} prefill, {:.0} decode\n",
            pool.service,
            pool.current,
            pool.intended,
            pool.requests.unwrap_or_default(),
            pool.prefill_tokens.unwrap_or_default(),
            pool.decode_tokens.unwrap_or_default(),
        ));
    }
    lines.concat()
}

fn line(proposal: &Proposal) -> String {
    format!("{}: {}\n", proposal.target, proposal.action)
}

#[test]
fn plans_for_the_demand_that_instances_counted() {
    let mut planner = Planner::default();
    let now = observe(&mut planner, 5_000, 200);
    let deployments = [deployment(&["small"])];
    let input = Input { deployments: &deployments, targets: &engines(), open: &[] };
    let output = planner.plan(input, now);
    expect![[r#"
        engine-2: role prefill
        vent-llm now 2/4/0 intended 3/3/0, 8.0 requests, 40000 prefill, 1600 decode
    "#]]
    .assert_eq(&render(&output));
}

#[test]
fn proposes_nothing_for_an_engine_with_an_open_intent() {
    let mut planner = Planner::default();
    let now = observe(&mut planner, 5_000, 200);
    let deployments = [deployment(&["small", "large"])];
    let intent = Intent {
        id: String::from("1"),
        target: name::Target::from("engine-2"),
        action: Action::Role { role: Role::Prefill },
    };
    let open = [Task { intent, reason: String::new() }];
    let input = Input { deployments: &deployments, targets: &engines(), open: &open };
    let proposals = planner.plan(input, now).proposals;
    assert!(proposals.iter().all(|proposal| proposal.target.0 != "engine-2"), "{proposals:?}");
    assert!(
        proposals.iter().all(|proposal| matches!(proposal.action, Action::Load { .. })),
        "{proposals:?}"
    );
}

#[test]
fn proposes_nothing_while_demand_is_unknown() {
    let mut planner = Planner::default();
    let deployments = [deployment(&["small"])];
    let input = Input { deployments: &deployments, targets: &engines(), open: &[] };
    let output = planner.plan(input, START);
    assert_eq!(output.proposals, []);
    assert_eq!(output.pools[0].reason, "demand is unknown");
}

#[test]
fn unloads_a_version_ten_minutes_after_it_is_no_longer_named() {
    let mut planner = Planner::default();
    let deployments = [deployment(&["next"])];
    let mut targets = engines();
    let load = |model: &str| Action::Load { model: model.to_owned() };
    let mut actions = |targets: &[Announcement], now| {
        let input = Input { deployments: &deployments, targets, open: &[] };
        let proposals = planner.plan(input, now).proposals;
        proposals.into_iter().map(|proposal| proposal.action).collect::<Vec<Action>>()
    };
    assert_eq!(actions(&targets, START), vec![load("next"); 6]);
    for target in &mut targets {
        target.models.push(String::from("next"));
    }
    assert_eq!(actions(&targets, START + Duration::from_secs(300)), []);
    let unload = Action::Unload { model: String::from("small") };
    assert_eq!(actions(&targets, START + Duration::from_secs(601)), vec![unload; 6]);
}
