//! Failure 19: any two faults at once, drawn from a fixed seed.

use std::time::Duration;

use common::random::Random;
use load::run;
use standin::{
    engine,
    harness::{cluster::Cluster, tree::ASSOCIATION},
    proxy::{Conditions, Flow},
};
use tokio::time;
use yare::parameterized;

use crate::support;

const ENGINES: usize = 4;

/// A fault that lasts from one third of the load to two thirds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    KilledDaemon,
    PausedDaemon,
    KilledEngine,
    CutDataCentre,
    SilentConnections,
    FullEngine,
}

const FAULTS: [Fault; 6] = [
    Fault::KilledDaemon,
    Fault::PausedDaemon,
    Fault::KilledEngine,
    Fault::CutDataCentre,
    Fault::SilentConnections,
    Fault::FullEngine,
];

#[parameterized(
    one = { 1 }, two = { 2 }, three = { 3 }, four = { 4 }, five = { 5 }, six = { 6 }, seven = { 7 }, eight = { 8 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn no_response_is_wrong_or_cut_under_two_faults_at_once(seed: u64) {
    let faults = draw(seed);
    let data_centres = [support::data_centre("suva", 2), support::data_centre("lautoka", 2)];
    let mut cluster = support::cluster(&format!("pair-{seed}"), &data_centres).await;
    let mut engines = Vec::new();
    for data_centre in data_centres {
        for number in 0..ENGINES / data_centres.len() {
            let name = format!("{}-engine-{number}", data_centre.name);
            let mut options = cluster.engine(&name, ASSOCIATION, data_centre.name);
            options.rejects_all_as_full = number == 0 && faults.contains(&Fault::FullEngine);
            engines.push(cluster.start_engine(options).await);
        }
    }
    cluster.until_targets(ENGINES / data_centres.len()).await;
    let streams = vec![support::completions(ASSOCIATION, 12.0)];
    let load = tokio::spawn(run::run(support::scenario(cluster.callers(), 6.0, streams)));
    time::sleep(Duration::from_secs(2)).await;
    for fault in faults {
        begin(fault, &mut cluster, &engines);
    }
    time::sleep(Duration::from_secs(2)).await;
    for fault in faults {
        end(fault, &mut cluster);
    }
    let report = load.await.unwrap();
    assert!(report.is_clean(), "{faults:?}\n{}", report.text());
}

/// Draws two different faults.
fn draw(seed: u64) -> [Fault; 2] {
    let mut random = Random::new(seed);
    let first = random.below(FAULTS.len());
    let second = (first + 1 + random.below(FAULTS.len() - 1)) % FAULTS.len();
    [FAULTS[first], FAULTS[second]]
}

fn begin(fault: Fault, cluster: &mut Cluster, engines: &[engine::Engine]) {
    match fault {
        Fault::KilledDaemon => cluster.daemons[0].kill(),
        Fault::PausedDaemon => cluster.daemons[1].pause(),
        Fault::KilledEngine => engines[ENGINES - 1].kill(),
        Fault::CutDataCentre => {
            let cut = Conditions {
                upstream: Flow::Hold,
                downstream: Flow::Hold,
                ..Conditions::default()
            };
            cluster.set("lautoka", cut, cut);
        }
        Fault::SilentConnections => cluster.silence_open(),
        Fault::FullEngine => {}
    }
}

fn end(fault: Fault, cluster: &mut Cluster) {
    match fault {
        Fault::KilledDaemon => cluster.daemons[0].restart(),
        Fault::PausedDaemon => cluster.daemons[1].resume(),
        Fault::CutDataCentre => {
            cluster.set("lautoka", Conditions::default(), Conditions::default());
        }
        Fault::KilledEngine | Fault::SilentConnections | Fault::FullEngine => {}
    }
}
