//! Cost of choosing peers and of merging their states, and what relaying changes for callers of cut-off instances.
//!
//! `cargo run --release -p placement --example relay`

#![allow(clippy::print_stdout, reason = "prints figures")]

#[path = "../tests/support/relays.rs"]
mod relays;

use std::{hint::black_box, time::Instant};

use common::{clock::Moment, name};
use fleet::exchange::{self, Notice, Reach};
use placement::{
    reach::Table,
    relay::{Outcome, Peer, Peers},
};
use relays::{CONTACT_MS, Cut, Failure, Part, Plan, Policy, simulate};

const ROUNDS: u32 = 200_000;
const SEEDS: u64 = 10;
const STARTED_UNIX_MS: u64 = 1_700_000_000_000;
const SERVICES: usize = 20;

fn main() {
    for (instances, data_centres) in [(70, 7), (1_900, 43)] {
        println!(
            "{instances} peers, half of them cut off: {:.0} ns for a choice and its end, {:.0} ns for a merge",
            measure_choice(instances, data_centres),
            measure_merge(instances, data_centres),
        );
    }
    println!("{:.0} ns for a target that was reached", measure_reached());
    for services in [0, 1, SERVICES] {
        let notice = Notice::Reach(state(1, 1, services));
        println!(
            "{} bytes for a state of {services} services",
            exchange::encode(&vec![notice]).len()
        );
    }
    println!(
        "{} KB of memory for 1,900 peers, half of them cut off from {SERVICES} services",
        memory_kb()
    );
    simulate_fleets();
}

fn instance(number: usize) -> name::Instance {
    name::Instance(format!("entry-instance-{number}"))
}

fn service(number: usize) -> name::Service {
    name::Service(format!("service-of-partner-{number:02}"))
}

fn state(number: usize, sequence: u64, services: usize) -> Reach {
    Reach {
        instance: instance(number),
        started_unix_ms: STARTED_UNIX_MS,
        number: sequence,
        cut_off: (0..services).map(service).collect(),
    }
}

fn half_cut_off(instances: usize, data_centres: usize) -> Peers {
    let data_centre = |number: usize| name::DataCentre(format!("dc-{}", number % data_centres));
    let mut peers = Peers::new(data_centre(0), 1);
    peers.set_peers(
        (0..instances)
            .map(|number| Peer { instance: instance(number), data_centre: data_centre(number) })
            .collect(),
    );
    for number in 0..instances {
        // Neighbours in one data centre differ.
        let is_cut_off = (number / data_centres + number).is_multiple_of(2);
        peers.merge(&state(number, 1, if is_cut_off { SERVICES } else { 0 }), Moment(0));
    }
    peers
}

fn measure_choice(instances: usize, data_centres: usize) -> f64 {
    let mut peers = half_cut_off(instances, data_centres);
    let service = service(SERVICES - 1);
    let rounds = ROUNDS / 10;
    let began = Instant::now();
    for _ in 0..rounds {
        if let Some(chosen) = black_box(peers.choose(&service, &[], Moment(1))) {
            peers.record_end(&chosen, &service, Outcome::Answered, Moment(1));
        }
    }
    began.elapsed().as_secs_f64() * 1e9 / f64::from(rounds)
}

fn measure_merge(instances: usize, data_centres: usize) -> f64 {
    let mut peers = half_cut_off(instances, data_centres);
    let mut states: Vec<Reach> = (0..instances).map(|number| state(number, 2, SERVICES)).collect();
    let began = Instant::now();
    for round in 0..ROUNDS as usize {
        let state = &mut states[round % instances];
        black_box(peers.merge(state, Moment(1)));
        state.number += 1;
    }
    began.elapsed().as_secs_f64() * 1e9 / f64::from(ROUNDS)
}

fn measure_reached() -> f64 {
    let mut table = Table::default();
    for number in 0..SERVICES {
        table.record_unreached(&service(number), &"target".into(), 20, Moment(0));
    }
    let service = service(1);
    let began = Instant::now();
    for round in 0..ROUNDS {
        black_box(table.record_reached(&service, Moment(u64::from(round))));
    }
    began.elapsed().as_secs_f64() * 1e9 / f64::from(ROUNDS)
}

/// Growth of the process's resident memory.
fn memory_kb() -> usize {
    let before = resident_kb();
    let peers: Vec<Peers> = (0..10).map(|_| half_cut_off(1_900, 43)).collect();
    let grown = resident_kb().saturating_sub(before) / peers.len();
    black_box(peers);
    grown
}

fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or_default()
}

fn simulate_fleets() {
    println!(
        "instances, cut, notices lost, connections, policy: served at cut-off instances from {CONTACT_MS} ms on, first one relayed after ms, largest load of a peer by its own (worst of {SEEDS} seeds); notices, probes (most)"
    );
    for (instances, part, loss, failure) in [
        (7, Part::One, 0.0, Failure::Hangs),
        (7, Part::DataCentre, 0.0, Failure::Hangs),
        (70, Part::Tenth, 0.0, Failure::Hangs),
        (70, Part::DataCentre, 0.0, Failure::IsRefused),
        (70, Part::DataCentre, 0.5, Failure::Hangs),
        (70, Part::AllButOne, 0.0, Failure::Hangs),
        (300, Part::DataCentre, 0.3, Failure::Hangs),
    ] {
        for policy in [Policy::Merged, Policy::Unmerged, Policy::Alone] {
            let plan = Plan { failure, policy, ..plan(instances, part, loss) };
            let plays: Vec<_> = (0..SEEDS).map(|seed| simulate(&plan, seed)).collect();
            let served = plays.iter().map(|play| play.served_cut_off).fold(1.0, f64::min);
            let first = plays.iter().map(|play| play.first_relayed_ms).max().unwrap_or(0);
            let load = plays.iter().map(|play| play.largest_load).fold(0.0, f64::max);
            let notices = plays.iter().map(|play| play.notices).max().unwrap_or(0);
            let probes = plays.iter().map(|play| play.probes).max().unwrap_or(0);
            let first = if first == u64::MAX { String::from("never") } else { first.to_string() };
            println!(
                "  {instances}, {part:?}, {loss}, {failure:?}, {policy:?}: {:.1}%, {first}, {load:.2}; {notices}, {probes}",
                served * 100.0
            );
        }
    }
}

fn plan(instances: usize, part: Part, loss: f64) -> Plan {
    Plan {
        instances,
        data_centres: if instances < 20 { 3 } else { instances / 10 },
        targets: 20,
        dead: 0,
        requests_per_s: 10.0,
        cuts: vec![Cut { from_ms: 2_000, until_ms: 10_000, part }],
        failure: Failure::Hangs,
        loss,
        restarts: 0,
        policy: Policy::Merged,
    }
}
