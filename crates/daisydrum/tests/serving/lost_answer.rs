//! Failure 11: the response to a call that may not be repeated is lost, and the caller resends the call to other
//! instances.

use load::{
    arrival::{Arrival, Content},
    call,
};
use standin::{
    harness::{cluster::DataCentre, tree::ASSOCIATION, wait},
    plain,
};
use tokio::time::{Duration, Instant};

use crate::support;

const DATA_CENTRE: DataCentre = DataCentre { name: "suva", daemons: 3, replicas: 3 };

#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_response_is_lost_runs_once() {
    let cluster = support::cluster("lost-answer", &[DATA_CENTRE]).await;
    let options = cluster.plain("plain-1", ASSOCIATION, "suva");
    let plain =
        cluster.start_plain(plain::Options { behaviour: plain::Behaviour::Drop, ..options }).await;
    cluster.until_targets(1).await;
    let scenario =
        support::scenario(cluster.callers(), 1.0, vec![support::claims(ASSOCIATION, 1.0)]);
    let content = Content::Plain { key: String::from("lodgement-1"), body: String::from("body") };
    let arrival = Arrival { at: Duration::ZERO, stream: 0, content };
    wait::until("the call has run", async || {
        call::send(&scenario, &arrival, 1, Instant::now()).await;
        plain.counts().keys.contains_key("lodgement-1")
    })
    .await;
    for seed in 0..12 {
        let outcome = call::send(&scenario, &arrival, seed, Instant::now()).await;
        assert_eq!(outcome.verdict, call::Verdict::MayHaveRun);
    }
    assert_eq!(plain.counts().keys["lodgement-1"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resend_to_another_instance_gets_the_stored_response() {
    let cluster = support::cluster("kept-answer", &[DATA_CENTRE]).await;
    let plain = cluster.start_plain(cluster.plain("plain-1", ASSOCIATION, "suva")).await;
    cluster.until_targets(1).await;
    let scenario =
        support::scenario(cluster.callers(), 1.0, vec![support::claims(ASSOCIATION, 1.0)]);
    let content = Content::Plain { key: String::from("lodgement-1"), body: String::from("body") };
    let arrival = Arrival { at: Duration::ZERO, stream: 0, content };
    wait::until("the call is answered", async || {
        call::send(&scenario, &arrival, 1, Instant::now()).await.verdict.is_whole()
    })
    .await;
    for seed in 0..12 {
        let outcome = call::send(&scenario, &arrival, seed, Instant::now()).await;
        assert_eq!(outcome.verdict, call::Verdict::Whole);
    }
    assert_eq!(plain.counts().keys["lodgement-1"], 1);
}
