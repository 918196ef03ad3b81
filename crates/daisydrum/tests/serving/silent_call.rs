//! A call that may not be repeated runs longer than the limits on silence.

use std::fs;

use load::{
    arrival::{Arrival, Content},
    call,
};
use standin::{
    harness::{
        cluster::{Cluster, DataCentre},
        tree::ASSOCIATION,
        wait,
    },
    plain,
};
use tokio::time::{Duration, Instant};

use crate::support;

const DATA_CENTRE: DataCentre = DataCentre { name: "suva", daemons: 3, replicas: 3 };
/// Longer than twice `limits.progress_ms` of the service, shorter than its deadline.
const RUN_TIME: Duration = Duration::from_secs(12);
const KEY: &str = "lodgement-1";

async fn start(name: &str) -> (Cluster, plain::Service) {
    let cluster = support::cluster(name, &[DATA_CENTRE]).await;
    let options = cluster.plain("plain-1", ASSOCIATION, "suva");
    let plain = cluster.start_plain(plain::Options { delay: RUN_TIME, ..options }).await;
    cluster.until_targets(1).await;
    (cluster, plain)
}

async fn send(cluster: &Cluster) -> call::Verdict {
    let scenario =
        support::scenario(cluster.callers(), 1.0, vec![support::claims(ASSOCIATION, 1.0)]);
    let content = Content::Plain { key: String::from(KEY), body: String::from("body") };
    let arrival = Arrival { at: Duration::ZERO, stream: 0, content };
    call::send(&scenario, &arrival, 1, Instant::now()).await.verdict
}

/// Writes a shorter limit on silence into the settings of the plain service.
fn shorten_limit(cluster: &Cluster) {
    let name = format!("{}/services/{}.jsonc", ASSOCIATION.name, ASSOCIATION.plain_service);
    let file = cluster.tree().join(name);
    let mut service: serde_json::Value =
        serde_json::from_str(&fs::read_to_string(&file).unwrap()).unwrap();
    service["limits"]["progress_ms"] = serde_json::json!(500);
    fs::write(file, service.to_string()).unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_may_not_be_repeated_keeps_its_response_while_its_target_is_silent() {
    let (cluster, plain) = start("silent-call").await;
    assert_eq!(send(&cluster).await, call::Verdict::Whole);
    assert_eq!(plain.counts().keys[KEY], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_call_keeps_its_response_while_its_settings_change() {
    let (cluster, plain) = start("silent-call-settings").await;
    let change = async {
        wait::until("the call runs", async || plain.counts().keys.contains_key(KEY)).await;
        shorten_limit(&cluster);
        wait::until("the settings are accepted", async || support::apply(&cluster).await).await;
    };
    let (verdict, ()) = tokio::join!(send(&cluster), change);
    assert_eq!(verdict, call::Verdict::Whole);
    assert_eq!(plain.counts().keys[KEY], 1);
}
