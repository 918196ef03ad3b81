//! Calls that may not be repeated and are forwarded, because only another data centre has a target for them.

use load::{
    arrival::{Arrival, Content},
    call,
};
use standin::harness::{cluster::DataCentre, tree::ASSOCIATION, wait};
use tokio::time::{Duration, Instant};

use crate::support;

const DATA_CENTRES: [DataCentre; 3] = [
    DataCentre { name: "suva", daemons: 1, replicas: 1 },
    DataCentre { name: "lautoka", daemons: 1, replicas: 1 },
    DataCentre { name: "nadi", daemons: 1, replicas: 1 },
];
const CALLS: usize = 12;

fn arrival(number: usize) -> Arrival {
    let content =
        Content::Plain { key: format!("lodgement-{number}"), body: format!("body {number}") };
    Arrival { at: Duration::ZERO, stream: 0, content }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_forwarded_to_another_data_centre_runs_once_and_its_response_is_stored() {
    let cluster = support::cluster("handed-on", &DATA_CENTRES).await;
    let plain = cluster.start_plain(cluster.plain("plain-1", ASSOCIATION, "nadi")).await;
    let scenario =
        support::scenario(cluster.callers(), 1.0, vec![support::claims(ASSOCIATION, 1.0)]);
    for address in cluster.callers() {
        let at_instance = load::scenario::Scenario { callers: vec![address], ..scenario.clone() };
        wait::until("the call is answered from each data centre", async || {
            call::send(&at_instance, &arrival(0), 1, Instant::now()).await.verdict.is_whole()
        })
        .await;
        let fresh = arrival(usize::from(address.port()));
        let outcome = call::send(&at_instance, &fresh, 1, Instant::now()).await;
        assert_eq!(outcome.verdict, call::Verdict::Whole, "sent to {address}");
    }
    for number in 1..CALLS {
        for seed in 0..6 {
            let outcome = call::send(&scenario, &arrival(number), seed, Instant::now()).await;
            assert_eq!(outcome.verdict, call::Verdict::Whole);
        }
    }
    let counts = plain.counts();
    let not_run_once: Vec<_> = counts.keys.iter().filter(|(_, runs)| **runs != 1).collect();
    assert!(not_run_once.is_empty(), "{not_run_once:?}");
    assert_eq!(counts.keys.len(), CALLS + DATA_CENTRES.len());
}
