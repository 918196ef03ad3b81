//! Failure 12: an entry instance is killed between claim and dispatch, and between dispatch and response.

use load::{
    arrival::{Arrival, Content},
    call,
    scenario::Scenario,
};
use standin::{
    harness::{
        cluster::{Cluster, DataCentre},
        tree::ASSOCIATION,
        wait,
    },
    plain,
    proxy::{Conditions, Flow, Proxy},
};
use tokio::time::{Duration, Instant};

use crate::support;

const DATA_CENTRE: DataCentre = DataCentre { name: "suva", daemons: 4, replicas: 3 };
/// Number of the daemon that is killed; it keeps no replica.
const KILLED: usize = 3;
const KEY: &str = "lodgement-1";

#[tokio::test(flavor = "multi_thread")]
async fn a_call_runs_once_when_its_entry_instance_is_killed_before_the_response() {
    let mut cluster = support::cluster("killed-after", &[DATA_CENTRE]).await;
    let options = cluster.plain("plain-1", ASSOCIATION, "suva");
    let delay = Duration::from_secs(3);
    let plain = cluster.start_plain(plain::Options { delay, ..options }).await;
    cluster.until_targets(1).await;
    let interrupted = send_through_killed(&cluster);
    wait::until("the call runs", async || plain.counts().keys.contains_key(KEY)).await;
    cluster.daemons[KILLED].kill();
    interrupted.await.unwrap();
    resend(&cluster, &plain).await;
    assert_eq!(plain.counts().keys[KEY], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_runs_at_most_once_when_its_entry_instance_is_killed_during_dispatch() {
    let mut cluster = support::cluster("killed-before", &[DATA_CENTRE]).await;
    let plain = cluster.start_plain(cluster.plain("plain-1", ASSOCIATION, "suva")).await;
    let proxy = Proxy::start(plain.address()).await.unwrap();
    proxy.set(Conditions { upstream: Flow::Hold, ..Conditions::default() });
    let mut options = cluster.plain("plain-0", ASSOCIATION, "suva");
    options.announced_address = Some(proxy.address());
    plain.kill();
    let plain = cluster.start_plain(options).await;
    cluster.until_targets(1).await;
    let interrupted = send_through_killed(&cluster);
    wait::until("the call was dispatched", async || proxy.opened() > 0).await;
    cluster.daemons[KILLED].kill();
    interrupted.await.unwrap();
    proxy.set(Conditions::default());
    resend(&cluster, &plain).await;
    assert!(plain.counts().keys.get(KEY).copied().unwrap_or_default() <= 1);
}

fn one_call(callers: Vec<std::net::SocketAddr>, resends: u32) -> Scenario {
    let streams = vec![support::claims(ASSOCIATION, 1.0)];
    Scenario { resends, ..support::scenario(callers, 1.0, streams) }
}

fn arrival() -> Arrival {
    let content = Content::Plain { key: String::from(KEY), body: String::from("body") };
    Arrival { at: Duration::ZERO, stream: 0, content }
}

/// Sends the call through the daemon that will be killed, again as long as it is refused as not run.
fn send_through_killed(cluster: &Cluster) -> tokio::task::JoinHandle<call::Outcome> {
    let scenario = one_call(vec![cluster.callers()[KILLED]], 0);
    tokio::spawn(async move {
        loop {
            let outcome = call::send(&scenario, &arrival(), 1, Instant::now()).await;
            if !outcome.verdict.is_not_run() {
                return outcome;
            }
        }
    })
}

/// Sends the call again through the other daemons; each outcome that they report must be true.
async fn resend(cluster: &Cluster, plain: &plain::Service) {
    let scenario = one_call(cluster.callers()[..KILLED].to_vec(), 0);
    for seed in 0..6 {
        let outcome = call::send(&scenario, &arrival(), seed, Instant::now()).await;
        match outcome.verdict {
            call::Verdict::MayHaveRun | call::Verdict::NotRun(_) => {}
            call::Verdict::Whole => assert_eq!(plain.counts().keys[KEY], 1),
            other => panic!("the call was resent and got an outcome that can't be true: {other}"),
        }
    }
}
